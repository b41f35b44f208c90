"""
bulrushhollow_daemon.http_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A uvicorn server for HTTP that closes its listener without resetting connections.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Iterator
from typing import TYPE_CHECKING

import uvicorn

from bulrushhollow_daemon.listeners import claim_listener
from bulrushhollow_daemon.settings import Address, Limits

if TYPE_CHECKING:
    # The instances of a domain have no such API; without it they start in half of the time.
    from bulrushhollow_daemon.api import Api

MAX_HEADER_BYTES = 16 * 1024
"""Largest request line and headers of an HTTP request, in bytes."""

KEEP_ALIVE_TIMEOUT = 5
"""Seconds for which an idle connection of a caller is kept open."""


class HttpServer(uvicorn.Server):
    """A server that handles no signals and can close its listener before it stops."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._accepted: list[asyncio.Future[object]] = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the handling of signals to the daemon."""
        yield

    def close_listener(self) -> None:
        """
        Stop accepting connections; further callers are refused at once. Connections that already
        wait in the kernel's backlog are served, because closing the listener would reset them.
        """
        loop = asyncio.get_running_loop()
        for listener in self.servers:
            duplicates = [sock.dup() for sock in listener.sockets]
            listener.close()
            for connection in itertools.chain.from_iterable(map(_accept_waiting, duplicates)):
                accepting = loop.connect_accepted_socket(self._make_protocol, connection)
                self._accepted.append(asyncio.ensure_future(accepting))

    def _make_protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )
        return protocol


def _accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that wait on a listener, then close it."""
    with listener:
        listener.setblocking(False)
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return
            connection.setblocking(False)
            yield connection


def make_server(api: "Api", limits: Limits) -> HttpServer:
    """Return a server for the API; run its ``serve`` with a listening socket."""
    config = uvicorn.Config(
        api,
        loop="none",
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        limit_concurrency=limits.connections,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
        h11_max_incomplete_event_size=MAX_HEADER_BYTES,
    )
    return HttpServer(config)


def open_listener(address: Address) -> socket.socket:
    """
    Return a non-blocking socket that listens on an address.

    :raises OSError: if the address can't be used.
    """
    return claim_listener(address.host, address.port)


def bound_address(sock: socket.socket) -> Address:
    """Return the address of a listening socket, with the port that the kernel assigned."""
    host, port = sock.getsockname()[:2]
    return Address(host, port)
