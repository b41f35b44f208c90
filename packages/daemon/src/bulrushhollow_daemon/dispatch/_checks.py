"""
bulrushhollow_daemon.dispatch._checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that the head of an answer belongs to the request and says how long the answer is.
"""

import httpcore
import msgspec

from bulrushhollow_core.endpoints import REQUEST_ID_HEADER
from bulrushhollow_core.ids import RequestId

NO_CONTENT = frozenset({204, 304})
"""Statuses of answers that have no body."""

MOST_RETRY_AFTER = 60.0
"""Seconds; a longer time named by an endpoint is cut to this."""


class Head(msgspec.Struct, frozen=True):
    """
    The head of an answer.

    :param length: bytes of the body, or None if it comes in chunks.
    """

    status: int
    values_by_name: dict[bytes, list[bytes]]
    length: int | None

    def value(self, name: str) -> str:
        """Return the value of a header that is there once, or an empty string."""
        values = self.values_by_name.get(name.encode(), [])
        return values[0].decode("latin-1") if len(values) == 1 else ""

    def retry_after(self) -> float | None:
        """Return the seconds that the answer names in ``retry-after``, if it does."""
        text = self.value("retry-after")
        return min(float(text), MOST_RETRY_AFTER) if text.isascii() and text.isdigit() else None


class Flaw(msgspec.Struct, frozen=True):
    """Why an answer can't be trusted."""

    detail: str


def read_head(response: httpcore.Response, request_id: RequestId, limit: int) -> Head | Flaw:
    """
    Check the head of an answer.

    :param limit: most bytes that the body may have.
    """
    values_by_name: dict[bytes, list[bytes]] = {}
    for name, value in response.headers:
        values_by_name.setdefault(name.lower(), []).append(value.strip())
    ids = values_by_name.get(REQUEST_ID_HEADER.encode(), [])
    if ids != [request_id.encode("latin-1")]:
        return Flaw("the answer is not marked as the answer to this request")
    length = _read_length(response.status, values_by_name)
    if isinstance(length, Flaw):
        return length
    if length is not None and length > limit:
        return Flaw("the answer is too long")
    return Head(response.status, values_by_name, length)


def _read_length(status: int, values_by_name: dict[bytes, list[bytes]]) -> int | None | Flaw:
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if codings:
        is_chunked = [coding.lower() for coding in codings] == [b"chunked"]
        return None if is_chunked and not lengths else Flaw("the answer's length is in doubt")
    if len(lengths) == 1 and lengths[0].isdigit():
        return int(lengths[0])
    if status in NO_CONTENT and not lengths:
        return 0
    return Flaw("the answer does not say how long it is")
