"""
bulrushhollow_daemon.dispatch._streams
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A network stream that counts received bytes, to detect bytes after the end of an answer.
"""

import ssl
import typing

import httpcore

HEAD_END = b"\r\n\r\n"
"""End of the headers of an HTTP/1.1 message."""


class CountingStream(httpcore.AsyncNetworkStream):
    """
    Wraps a stream and counts the bytes of one answer at a time.

    :param stream: the wrapped stream.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._head = b""
        self._received = 0
        self._last_chunk = b""

    def reset_counts(self) -> None:
        """Reset the counts before the next answer."""
        self._head = b""
        self._received = 0
        self._last_chunk = b""

    def extra_bytes(self, body_bytes: int) -> bytes:
        """
        Return the bytes received after the end of the answer.

        :param body_bytes: length of the answer's body.
        """
        head_bytes = self._head.find(HEAD_END) + len(HEAD_END)
        extra_length = self._received - head_bytes - body_bytes
        return self._last_chunk[-extra_length:] if extra_length > 0 else b""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read from the stream."""
        data = await self._stream.read(max_bytes, timeout)
        self._received += len(data)
        self._last_chunk = data
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
        """Return information about the wrapped stream."""
        return self._stream.get_extra_info(info)
