"""
bulrushhollow_daemon.platform_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP client for the worker platform of the data centre.
"""

from collections.abc import Sequence

import httpcore
import msgspec

from bulrushhollow_core.platform import PlatformAnswer, PlatformCall
from bulrushhollow_daemon.exceptions import PlatformUnreachableError

SYNC_PATH = "/v1/sync"
PHASE_TIMEOUT = 2.0
"""Seconds for each phase of a call (connect, read, write); shorter than a worker's lease."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest accepted answer."""


class PlatformClient:
    """
    A client of one worker platform that keeps its connection alive.

    :param url: base URL, ``http://IP:PORT``.
    """

    def __init__(self, url: str) -> None:
        self._url = url + SYNC_PATH
        self._pool = httpcore.AsyncConnectionPool(max_connections=1, retries=0)
        self._decoder = msgspec.json.Decoder(PlatformAnswer)

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
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PlatformUnreachableError(str(error)) from error

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
