"""
bulrushhollow_daemon.json_lists
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes lists in JSON whose entries may come from other systems, each entry by itself, so that one
that can't be read leaves the others.
"""

import logging
import re
from collections.abc import Iterable
from typing import TypeVar

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
"""What decoding raises for bytes of any content; values that nest deeply exceed the recursion
limit."""

MAX_DEPTH = 64
"""Levels of nesting that are kept; no message has more than ten."""

_TOKENS = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[\[\]{}]|-?Infinity|NaN', re.DOTALL)

logger = logging.getLogger(__name__)

EntryType = TypeVar("EntryType")


def without_odd_values(body: bytes) -> bytes:
    """
    Return JSON with null in place of what makes a whole body unreadable: values that nest deeper
    than ``MAX_DEPTH``, and, below its top level, numbers that some writers add to JSON.
    """
    parts: list[bytes] = []
    kept_to = depth = 0
    for token in _TOKENS.finditer(body):
        match token[0][:1]:
            case b"[" | b"{":
                depth += 1
                if depth == MAX_DEPTH + 1:
                    parts.append(body[kept_to : token.start()])
            case b"]" | b"}":
                depth -= 1
                if depth == MAX_DEPTH:
                    parts.append(b"null")
                    kept_to = token.end()
            case b"N" | b"I" | b"-" if 1 < depth <= MAX_DEPTH:
                parts.extend((body[kept_to : token.start()], b"null"))
                kept_to = token.end()
    return b"".join((*parts, body[kept_to:]))


def decode_entries(
    entries: Iterable[msgspec.Raw], decoder: "msgspec.json.Decoder[EntryType]"
) -> tuple[EntryType, ...]:
    """Return the entries of a list that can be decoded, and log how many can't."""
    decoded: list[EntryType] = []
    errors: list[Exception] = []
    for entry in entries:
        try:
            decoded.append(decoder.decode(entry))
        except DECODE_ERRORS as error:
            errors.append(error)
    if errors:
        fields = {"count": len(errors), "reason": str(errors[0])}
        logger.warning("entries_unreadable", extra=fields)
    return tuple(decoded)
