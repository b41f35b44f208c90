"""
bulrushhollow_daemon.dispatch._connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A pool of connections to one address. A connection carries one request at a time and is reused only
after a complete answer of known length.
"""

import anyio
import httpcore

from bulrushhollow_core.endpoints import is_address
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.dispatch._streams import CountingStream

MAX_IDLE_TIME = Seconds(4.0)
"""Seconds for which an idle connection is kept; shorter than the keep-alive of common servers."""

MAX_IDLE_TIME_NON_IDEMPOTENT = Seconds(1.0)
"""Seconds for which an idle connection is reused for a request that must not run twice."""

CONNECT_TIMEOUT = Seconds(1.0)
"""Seconds allowed for opening a connection."""

_backend = httpcore.AnyIOBackend()


class Connection:
    """
    One HTTP/1.1 connection.

    :param stream: its network stream, which counts the received bytes.
    """

    def __init__(self, origin: httpcore.Origin, stream: CountingStream) -> None:
        self.stream = stream
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)
        self.idle_since = Seconds(0.0)

    def is_usable(self, now: Seconds, max_idle: Seconds) -> bool:
        """Return whether the connection is idle, open at both ends and was used recently."""
        was_used_recently = now - self.idle_since <= max_idle
        return was_used_recently and self.http.is_idle() and not self.http.has_expired()

    async def close(self) -> None:
        """Close the connection, even if it is in use or the task is cancelled."""
        with anyio.CancelScope(shield=True):
            await self.http.aclose()


async def open_connection(address: str, timeout: Seconds) -> Connection:
    """
    Open a connection.

    :param address: ``IP:PORT``.
    :param timeout: seconds allowed, if fewer than ``CONNECT_TIMEOUT``.
    :raises httpcore.ConnectError: if it can't be opened.
    :raises httpcore.ConnectTimeout: if opening it takes too long.
    """
    if not is_address(address):
        raise httpcore.ConnectError(f"{address!r} is not an IP address and a port")
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    stream = await _backend.connect_tcp(host, int(port), timeout=min(timeout, CONNECT_TIMEOUT))
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    return Connection(origin, CountingStream(stream))


class ConnectionPool:
    """
    The connections to one address.

    :param address: ``IP:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[Connection] = []
        self._in_use = 0

    @property
    def is_empty(self) -> bool:
        """Return whether no connection is open or being opened."""
        return not self._idle and self._in_use == 0

    async def acquire(
        self, timeout: Seconds, max_idle: Seconds, max_connections: int
    ) -> Connection:
        """
        Return an idle connection or a new one; pass it to :meth:`release` after use.

        :param timeout: seconds allowed for opening a connection.
        :param max_idle: longest idle time of a reused connection, in seconds.
        :param max_connections: idle connections are closed while more than this are open; those in
            use are not limited.
        :raises httpcore.ConnectError: if a new connection can't be opened.
        :raises httpcore.ConnectTimeout: if opening it takes too long.
        """
        self._in_use += 1
        try:
            now = Seconds(anyio.current_time())
            while self._idle:
                connection = self._idle.pop()
                if connection.is_usable(now, max_idle):
                    return connection
                await connection.close()
            while self._idle and len(self._idle) + self._in_use > max_connections:
                await self._idle.pop(0).close()
            return await open_connection(self._address, timeout)
        except BaseException:
            self._in_use -= 1
            raise

    async def release(self, connection: Connection, is_reusable: bool) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        self._in_use -= 1
        if is_reusable and connection.http.is_idle():
            connection.idle_since = Seconds(anyio.current_time())
            self._idle.append(connection)
        else:
            await connection.close()

    async def prune(self, now: Seconds) -> None:
        """Close connections that were idle for too long or were closed by the other end."""
        stale = [
            connection for connection in self._idle if not connection.is_usable(now, MAX_IDLE_TIME)
        ]
        self._idle = [connection for connection in self._idle if connection not in stale]
        for connection in stale:
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()
