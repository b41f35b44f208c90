"""
bulrushhollow_daemon.dispatch._checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks that the status line and headers of an answer match the request and define its length.
"""

import httpcore
import msgspec

from bulrushhollow_core.endpoints import REQUEST_ID_HEADER
from bulrushhollow_core.ids import RequestId

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of answers without a body."""

MAX_RETRY_AFTER = 60.0
"""Longest ``retry-after`` of an endpoint that is passed on, in seconds."""


class AnswerHead(msgspec.Struct, frozen=True):
    """
    The status line and headers of an answer.

    :param values_by_name: values of each header, by lower-case name.
    :param body_length: length of the body in bytes, or None if it is chunked.
    """

    status: int
    values_by_name: dict[bytes, list[bytes]]
    body_length: int | None

    def header(self, name: str) -> str:
        """Return the value of a header that occurs exactly once, or an empty string."""
        values = self.values_by_name.get(name.encode(), [])
        return values[0].decode("latin-1") if len(values) == 1 else ""

    def retry_after(self) -> float | None:
        """Return the seconds in the ``retry-after`` header, or None if there is no valid one."""
        text = self.header("retry-after")
        return min(float(text), MAX_RETRY_AFTER) if text.isascii() and text.isdigit() else None


class InvalidAnswer(msgspec.Struct, frozen=True):
    """The reason why an answer is rejected."""

    detail: str


def read_answer_head(
    response: httpcore.Response, request_id: RequestId, max_body_bytes: int
) -> AnswerHead | InvalidAnswer:
    """
    Check the status line and headers of an answer.

    :param max_body_bytes: largest length of the body.
    :return: the checked head, or why the answer is rejected.
    """
    values_by_name: dict[bytes, list[bytes]] = {}
    for name, value in response.headers:
        values_by_name.setdefault(name.lower(), []).append(value.strip())
    ids = values_by_name.get(REQUEST_ID_HEADER.encode(), [])
    if ids != [request_id.encode("latin-1")]:
        return InvalidAnswer("the answer does not have this request's id")
    length = _read_body_length(response.status, values_by_name)
    if isinstance(length, InvalidAnswer):
        return length
    if length is not None and length > max_body_bytes:
        return InvalidAnswer("the answer is too long")
    return AnswerHead(response.status, values_by_name, length)


def _read_body_length(
    status: int, values_by_name: dict[bytes, list[bytes]]
) -> int | None | InvalidAnswer:
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if codings:
        is_chunked = [coding.lower() for coding in codings] == [b"chunked"]
        return (
            None
            if is_chunked and not lengths
            else InvalidAnswer("the answer's length is ambiguous")
        )
    if len(lengths) == 1 and lengths[0].isdigit():
        return int(lengths[0])
    if status in BODYLESS_STATUSES and not lengths:
        return 0
    return InvalidAnswer("the answer does not state its length")
