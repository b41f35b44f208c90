"""
bulrushhollow_daemon.dispatch._shared_connections
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Connections to many addresses under one limit, so that calls to workers leave enough descriptors for
peers and callers.
"""

from collections import OrderedDict
from typing import Protocol

import anyio

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.dispatch._connections import Connection, open_connection
from bulrushhollow_daemon.patience import wait_patiently


class ConnectionsBusyError(Exception):
    """All connections that may be open are in use."""


class ConnectionOpener(Protocol):
    """Opens a connection to an address; see :func:`open_connection`."""

    async def __call__(self, address: str, timeout: Seconds) -> Connection:
        """Return the new connection."""


class _Route:
    """The connections to one address."""

    def __init__(self, max_connections: int) -> None:
        self.slots = anyio.Semaphore(max_connections, fast_acquire=True)
        self.idle: list[Connection] = []
        self.user_count = 0
        """Requests that hold a connection or wait for one."""


class SharedConnections:
    """
    Connections to many addresses. An idle connection is closed when its place is needed for another
    address, the longest idle one first, or when it was idle for too long.

    :param max_connections: most open connections, idle ones included.
    :param max_per_address: most open connections to one address.
    :param max_idle: longest idle time of a connection, in seconds.
    """

    def __init__(
        self,
        max_connections: int,
        max_per_address: int,
        max_idle: Seconds,
        opener: ConnectionOpener = open_connection,
    ) -> None:
        self._open_connection = opener
        self._max_per_address = max_per_address
        self._max_idle = max_idle
        self._slots = anyio.Semaphore(max_connections, fast_acquire=True)
        self._routes_by_address: dict[str, _Route] = {}
        self._addresses_by_idle: OrderedDict[Connection, str] = OrderedDict()
        """The idle connections, the longest idle one first."""
        self.open_count = 0
        self.waiting_count = 0
        """Requests that wait, since too many connections are in use."""

    async def acquire(self, address: str, timeout: Seconds) -> Connection:
        """
        Return a connection to an address, and wait for one if too many are in use; pass it to
        :meth:`release` after use.

        :param address: ``IP:PORT``.
        :param timeout: seconds allowed for the wait, and again for opening a connection.
        :raises ConnectionsBusyError: if no connection becomes free.
        :raises httpcore.NetworkError: if a new connection can't be opened.
        :raises httpcore.TimeoutException: if opening it takes too long.
        :raises TimeoutError: the same.
        """
        route = self._routes_by_address.get(address)
        if route is None:
            route = self._routes_by_address[address] = _Route(self._max_per_address)
        route.user_count += 1
        try:
            await self._wait_for(route.slots, timeout)
            try:
                connection = await self._take_idle(route)
                return connection or await self._open(address, timeout)
            except BaseException:
                route.slots.release()
                raise
        except BaseException:
            self._leave(address, route)
            raise

    async def _wait_for(self, slots: anyio.Semaphore, timeout: Seconds) -> None:
        try:
            slots.acquire_nowait()
            return
        except anyio.WouldBlock:
            self.waiting_count += 1
        try:
            with anyio.fail_after(timeout):
                await slots.acquire()
        except TimeoutError as error:
            raise ConnectionsBusyError from error
        finally:
            self.waiting_count -= 1

    async def release(self, address: str, connection: Connection, is_reusable: bool) -> None:
        """Return a connection, or close it if it can't be reused or its place is needed."""
        route = self._routes_by_address[address]
        try:
            is_needed_elsewhere = self._slots.statistics().tasks_waiting > 0
            if is_reusable and connection.http.is_idle() and not is_needed_elsewhere:
                connection.idle_since = Seconds(anyio.current_time())
                route.idle.append(connection)
                self._addresses_by_idle[connection] = address
            else:
                await self._close(connection)
        finally:
            route.slots.release()
            self._leave(address, route)
        await self.close_stale(Seconds(anyio.current_time()))

    async def close_stale(self, now: Seconds) -> None:
        """Close the connections that were idle for too long."""
        while self._addresses_by_idle:
            oldest = next(iter(self._addresses_by_idle))
            if now - oldest.idle_since <= self._max_idle:
                return
            await self._evict(oldest)

    async def close(self) -> None:
        """Close all idle connections."""
        while self._addresses_by_idle:
            await self._evict(next(iter(self._addresses_by_idle)))

    async def _take_idle(self, route: _Route) -> Connection | None:
        now = Seconds(anyio.current_time())
        while route.idle:
            connection = route.idle.pop()
            del self._addresses_by_idle[connection]
            if connection.is_usable(now, self._max_idle):
                return connection
            await self._close(connection)
        return None

    async def _open(self, address: str, timeout: Seconds) -> Connection:
        if self._slots.value == 0 and self._addresses_by_idle:
            await self._evict(next(iter(self._addresses_by_idle)))
        await self._wait_for(self._slots, timeout)
        try:
            connection = await wait_patiently(
                lambda: self._open_connection(address, Seconds(2 * timeout)), timeout
            )
        except BaseException:
            self._slots.release()
            raise
        self.open_count += 1
        return connection

    async def _evict(self, connection: Connection) -> None:
        address = self._addresses_by_idle.pop(connection)
        route = self._routes_by_address[address]
        route.idle.remove(connection)
        self._forget_if_unused(address, route)
        await self._close(connection)

    async def _close(self, connection: Connection) -> None:
        self.open_count -= 1
        self._slots.release()
        await connection.close()

    def _leave(self, address: str, route: _Route) -> None:
        route.user_count -= 1
        self._forget_if_unused(address, route)

    def _forget_if_unused(self, address: str, route: _Route) -> None:
        if route.user_count == 0 and not route.idle:
            self._routes_by_address.pop(address, None)
