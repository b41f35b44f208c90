"""
soak._proxy
~~~~~~~~~~~

A loopback TCP proxy that can delay, reset or silence its connections, in both directions or only in
one.
"""

import asyncio
from enum import Enum

CHUNK_BYTES = 65_536
"""Greatest number of bytes that are forwarded at once."""


class Mode(Enum):
    """How the proxy treats data."""

    PASS = "pass"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    """Data is forwarded to the target, and none is returned."""


CHUNK_DELAY = 0.15
"""Seconds by which a chunk is delayed; a hundred times a usual round trip."""


class Proxy:
    """
    Forwards connections to another address.

    :param listen: IP address that the proxy listens on.
    :param target: IP address that the process listens on.
    :param port: port of both.
    """

    def __init__(self, listen: str, target: str, port: int) -> None:
        """Forward everything at first."""
        self._listen = listen
        self._target = target
        self._port = port
        self.mode = Mode.PASS
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._calm = asyncio.Event()

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, self._listen, self._port)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection; new ones are accepted."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(self._target, self._port)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_inward=True),
                self._forward(target_reader, writer, is_inward=False),
            )
        except asyncio.CancelledError:
            # The soak has ended; asyncio's server would log the cancellation as an error.
            return
        finally:
            self._writers -= {writer, target_writer}

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_inward: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(CHUNK_DELAY)
                is_silenced = self.mode is Mode.SILENCE or (
                    self.mode is Mode.ONE_WAY and not is_inward
                )
                if is_silenced:
                    # The data is lost, and this direction stays silent until the connection ends.
                    await asyncio.sleep(3600)
                writer.write(data)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()
