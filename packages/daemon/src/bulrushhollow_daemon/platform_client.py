"""
bulrushhollow_daemon.platform_client
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Posts batches of orders to the worker platform of the data centre.
"""

from collections.abc import Sequence

import httpcore
import msgspec

from bulrushhollow_core.platform import PlatformAnswer, PlatformCall
from bulrushhollow_daemon.exceptions import PlatformUnreachableError

SYNC_PATH = "/v1/sync"
TIMEOUT = 2.0
"""Seconds for each stage of one call; shorter than a worker's lease."""
ANSWER_LIMIT = 16 * 1024 * 1024
"""Largest answer that is read, in bytes."""


class PlatformClient:
    """
    A kept-alive connection to one worker platform.

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
        Post one batch.

        :param headers: sent beside the call's own, such as a trace context.
        :raises PlatformUnreachableError: if there was no whole answer; the batch may have been
            obeyed.
        """
        timeouts = {"connect": TIMEOUT, "read": TIMEOUT, "write": TIMEOUT, "pool": TIMEOUT}
        try:
            async with self._pool.stream(
                "POST",
                self._url,
                headers=[(b"content-type", b"application/json"), *headers],
                content=msgspec.json.encode(call),
                extensions={"timeout": timeouts},
            ) as response:
                body = await self._read(response)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            raise PlatformUnreachableError(repr(error)) from error
        if response.status != 200:
            raise PlatformUnreachableError(f"status {response.status}")
        try:
            return self._decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PlatformUnreachableError(str(error)) from error

    async def _read(self, response: httpcore.Response) -> bytes:
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > ANSWER_LIMIT:
                raise PlatformUnreachableError("the answer is too long")
        return bytes(body)

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.aclose()
