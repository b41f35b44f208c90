"""
bulrushhollow_daemon.dispatch._streams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A network stream that counts what it received, so that bytes behind an answer are noticed.
"""

import ssl
import typing

import httpcore

HEAD_END = b"\r\n\r\n"
"""Ends the head of an HTTP/1.1 message."""


class CountingStream(httpcore.AsyncNetworkStream):
    """
    Passes everything to another stream and keeps count of one answer at a time.

    :param stream: the stream to read from and write to.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head = b""
        self._received = 0
        self._tail = b""

    def begin_answer(self) -> None:
        """Start to count anew."""
        self._head = b""
        self._received = 0
        self._tail = b""

    def surplus(self, body_bytes: int) -> bytes:
        """
        Return what was received behind the answer.

        :param body_bytes: length of the answer's body.
        """
        head_bytes = self._head.find(HEAD_END) + len(HEAD_END)
        count = self._received - head_bytes - body_bytes
        return self._tail[-count:] if count > 0 else b""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read from the stream."""
        data = await self._stream.read(max_bytes, timeout)
        self._received += len(data)
        self._tail = data
        if HEAD_END not in self._head:
            self._head += data
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write to the stream."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the stream."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what the stream knows of itself."""
        return self._stream.get_extra_info(info)
