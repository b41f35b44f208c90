"""
bulrushhollow._checks
~~~~~~~~~~~~~~~~~~~~~

Validates calls before anything is sent.
"""

import math
from urllib.parse import urlsplit

from bulrushhollow import exceptions
from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Reason, Refusal

DEFAULT_ENTRY = "http://127.0.0.1:8000"
"""Address of an entry instance on the same machine."""


def check_header(header: Header) -> None:
    """:raises InvalidCallError: if a header cannot be sent."""
    text = header.name + header.value
    if not header.name or not text.isascii() or not text.isprintable():
        detail = f"{header.name} {header.value!r} is not printable ASCII"
        raise exceptions.InvalidCallError(Refusal(Reason.INVALID, detail))


def check_deadline(deadline: float) -> None:
    """:raises InvalidCallError: if a deadline is not a positive, finite number of seconds."""
    if not 0 < deadline < math.inf:
        detail = f"deadline {deadline!r} is not a positive number of seconds"
        raise exceptions.InvalidCallError(Refusal(Reason.INVALID, detail))


def normalize_entry(entry: str) -> str:
    """
    Return the scheme, host and port of an address, without a trailing slash.

    :raises InvalidCallError: if it is not the base address of an entry instance.
    """
    try:
        parts = urlsplit(entry)
        is_valid = parts.scheme == "http" and bool(parts.hostname) and (parts.port or 80) > 0
    except ValueError:
        is_valid = False
    if not is_valid or parts.path not in ("", "/") or parts.query:
        detail = f"entry {entry!r} is not an address such as {DEFAULT_ENTRY}"
        raise exceptions.InvalidCallError(Refusal(Reason.INVALID, detail))
    return f"http://{parts.netloc}"
