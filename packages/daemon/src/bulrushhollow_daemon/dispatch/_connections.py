"""
bulrushhollow_daemon.dispatch._connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The open connections to one address. A connection carries one request at a time, and is kept only
after an answer that left nothing in doubt.
"""

import anyio
import httpcore

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.dispatch._streams import CountingStream

MAX_IDLE_TIME = Seconds(4.0)
"""Seconds for which an idle connection is kept; less than common servers keep theirs."""

MAX_IDLE_TIME_NON_IDEMPOTENT = Seconds(1.0)
"""Seconds for which an idle connection is trusted with a request that may not run twice."""

CONNECT_TIMEOUT = Seconds(1.0)
"""Seconds to wait for a new connection."""


class Connection:
    """
    One connection.

    :param stream: its stream, which counts what is received.
    """

    def __init__(self, origin: httpcore.Origin, stream: CountingStream) -> None:
        self.stream = stream
        self.http = httpcore.AsyncHTTP11Connection(origin, stream)
        self.idle_since = Seconds(0.0)

    def is_usable(self, now: Seconds, idle_for: Seconds) -> bool:
        """Return whether it is idle, open at both ends and was used lately."""
        fresh = now - self.idle_since <= idle_for
        return fresh and self.http.is_idle() and not self.http.has_expired()

    async def close(self) -> None:
        """Close it, whatever it is doing."""
        with anyio.CancelScope(shield=True):
            await self.http.aclose()


class ConnectionPool:
    """
    The connections to one address.

    :param address: IP number and port.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._origin = httpcore.Origin(b"http", self._host.encode(), self._port)
        self._backend = httpcore.AnyIOBackend()
        self._idle: list[Connection] = []
        self._busy = 0

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open or being opened."""
        return not self._idle and self._busy == 0

    async def acquire(self, timeout: Seconds, idle_for: Seconds, limit: int) -> Connection:
        """
        Return an idle connection or a new one; give it back with :meth:`release`.

        :param idle_for: seconds for which the connection may have been idle.
        :param limit: most connections that may be open.
        :raises httpcore.ConnectError: if there is no new connection.
        :raises httpcore.ConnectTimeout: if it takes too long.
        """
        self._busy += 1
        try:
            now = Seconds(anyio.current_time())
            while self._idle:
                connection = self._idle.pop()
                if connection.is_usable(now, idle_for):
                    return connection
                await connection.close()
            while self._idle and len(self._idle) + self._busy > limit:
                await self._idle.pop(0).close()
            stream = await self._backend.connect_tcp(
                self._host, self._port, timeout=min(timeout, CONNECT_TIMEOUT)
            )
            return Connection(self._origin, CountingStream(stream))
        except BaseException:
            self._busy -= 1
            raise

    async def release(self, connection: Connection, reusable: bool) -> None:
        """Take a connection back, and close it unless it can be used again."""
        self._busy -= 1
        if reusable and connection.http.is_idle():
            connection.idle_since = Seconds(anyio.current_time())
            self._idle.append(connection)
        else:
            await connection.close()

    async def prune(self, now: Seconds) -> None:
        """Close connections that were idle for long or that the other end closed."""
        stale = [one for one in self._idle if not one.is_usable(now, MAX_IDLE_TIME)]
        self._idle = [one for one in self._idle if one not in stale]
        for connection in stale:
            await connection.close()

    async def close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()
