"""
bulrushhollow_daemon.http_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The uvicorn server of the HTTP API, which closes its listener without resetting any connection.
"""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Iterator

import uvicorn

from bulrushhollow_daemon.api import Api
from bulrushhollow_daemon.settings import Address, Limits

HEADER_BYTES = 16 * 1024
"""Largest head of an HTTP request."""

KEEP_ALIVE = 5
"""Seconds for which an idle connection of a caller is kept."""

BACKLOG = 256
"""Connections that may wait to be accepted."""


class HttpServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._taken: list[asyncio.Future[object]] = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield

    def close_listener(self) -> None:
        """
        Accept no further connection; a caller that tries is told so at once. Connections that the
        kernel has accepted already are taken over, since closing would reset them.
        """
        loop = asyncio.get_running_loop()
        for listener in self.servers:
            duplicates = [each.dup() for each in listener.sockets]
            listener.close()
            for connection in itertools.chain.from_iterable(map(_accept_waiting, duplicates)):
                taken = loop.connect_accepted_socket(self._protocol, connection)
                self._taken.append(asyncio.ensure_future(taken))

    def _protocol(self) -> asyncio.Protocol:
        protocol: asyncio.Protocol = self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )
        return protocol


def _accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    """Accept what waits on a listener, and close it."""
    with listener:
        listener.setblocking(False)
        while True:
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                return
            connection.setblocking(False)
            yield connection


def make_server(api: Api, limits: Limits) -> HttpServer:
    """Return a server for the API; run its ``serve`` with a bound socket."""
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
        timeout_keep_alive=KEEP_ALIVE,
        h11_max_incomplete_event_size=HEADER_BYTES,
    )
    return HttpServer(config)


def open_listener(address: Address) -> socket.socket:
    """
    Listen on an address.

    :raises OSError: if it can't be used.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def bound_address(sock: socket.socket) -> Address:
    """Return the address of a listening socket, with the port that the kernel chose."""
    host, port = sock.getsockname()[:2]
    return Address(host, port)
