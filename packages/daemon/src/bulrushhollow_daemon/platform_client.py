"""
bulrushhollow_daemon.platform_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client for the worker platform of the data centre.
"""

import logging
from collections.abc import Sequence
from typing import Annotated

import httpcore
import msgspec

from bulrushhollow_core.ids import INT64, Epoch, Int64
from bulrushhollow_core.platform import (
    PlatformAnswer,
    PlatformCall,
    WorkerReport,
    find_report_error,
)
from bulrushhollow_daemon.exceptions import PlatformUnreachableError
from bulrushhollow_daemon.json_lists import DECODE_ERRORS, decode_entries, without_odd_values

SYNC_PATH = "/v1/sync"
PHASE_TIMEOUT = 2.0
"""Seconds for each phase of a call (connect, read, write); shorter than a worker's lease."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest accepted answer."""


MAX_LOGGED_TEXT = 80
"""Characters of a text from the platform that are logged."""

logger = logging.getLogger(__name__)


class _AnswerEntries(msgspec.Struct, frozen=True):
    """A :class:`PlatformAnswer` whose reports are not decoded."""

    highest_epoch: Annotated[Epoch, INT64]
    fenced: bool
    cursor: Int64
    workers: tuple[msgspec.Raw, ...] = ()
    number: int = 0
    clock: float = 0.0
    late: bool = False


class PlatformClient:
    """
    A client of one worker platform that keeps its connection alive.

    :param url: base URL, ``http://IP:PORT``.
    """

    def __init__(self, url: str) -> None:
        self._url = url + SYNC_PATH
        self._pool = httpcore.AsyncConnectionPool(max_connections=1, retries=0)
        self._decoder = msgspec.json.Decoder(PlatformAnswer)
        self._entries_decoder = msgspec.json.Decoder(_AnswerEntries)
        self._report_decoder = msgspec.json.Decoder(WorkerReport)

    async def sync(
        self, call: PlatformCall, headers: Sequence[tuple[bytes, bytes]] = ()
    ) -> PlatformAnswer:
        """
        Send one call with its batch of orders.

        :param headers: additional headers, such as a trace context.
        :raises PlatformUnreachableError: if there was no complete and valid answer; the orders may
            have been carried out.
        """
        timeouts = {
            "connect": PHASE_TIMEOUT,
            "read": PHASE_TIMEOUT,
            "write": PHASE_TIMEOUT,
            "pool": PHASE_TIMEOUT,
        }
        try:
            async with self._pool.stream(
                "POST",
                self._url,
                headers=[(b"content-type", b"application/json"), *headers],
                content=msgspec.json.encode(call),
                extensions={"timeout": timeouts},
            ) as response:
                body = await self._read_body(response)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise PlatformUnreachableError(repr(error)) from error
        if response.status != 200:
            raise PlatformUnreachableError(f"status {response.status}")
        answer = self._decode(body)
        usable = tuple(report for report in answer.workers if _is_usable(report))
        return msgspec.structs.replace(answer, workers=usable)

    def _decode(self, body: bytes) -> PlatformAnswer:
        """Decode an answer; reports that can't be read are left out."""
        try:
            return self._decoder.decode(body)
        except DECODE_ERRORS:
            pass
        try:
            entries = self._entries_decoder.decode(without_odd_values(body))
        except DECODE_ERRORS as error:
            raise PlatformUnreachableError(str(error)) from error
        return PlatformAnswer(
            highest_epoch=entries.highest_epoch,
            fenced=entries.fenced,
            cursor=entries.cursor,
            workers=decode_entries(entries.workers, self._report_decoder),
            number=entries.number,
            clock=entries.clock,
            late=entries.late,
        )

    async def _read_body(self, response: httpcore.Response) -> bytes:
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                raise PlatformUnreachableError("the answer is too large")
        return bytes(body)

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.aclose()


def _is_usable(report: WorkerReport) -> bool:
    """Return whether a report names a worker to use; log it if not."""
    reason = find_report_error(report)
    if reason:
        fields = {"worker": report.worker[:MAX_LOGGED_TEXT], "reason": reason}
        logger.warning("report_refused", extra=fields)
    return not reason
