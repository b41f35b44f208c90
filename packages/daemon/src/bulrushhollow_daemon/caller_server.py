"""
bulrushhollow_daemon.caller_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP server for callers of a domain. It closes slow and idle connections, and a planned stop
lets requests in flight finish.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Any

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.http_server import HttpServer

MAX_CALL_HEADER_BYTES = 32 * 1024
"""Largest request line and headers of a call, in bytes; twice what operators usually allow."""

DEFAULT_MAX_BODY_BYTES = 256 * 1024
"""Largest body of a call, in bytes, until a configuration sets another limit."""

RESERVED_DESCRIPTORS = 400
"""File descriptors reserved for files, peers and workers; callers get the rest."""


class ServerLimits:
    """
    Limits of one server and the connections that they apply to. A configuration may change the
    limits while the server runs.

    :param header_timeout: seconds within which the headers of a call must be complete.
    :param idle_timeout: seconds for which an idle connection is kept open.
    :param max_connections: most open connections; above it, the longest idle one is closed.
    """

    def __init__(
        self, header_timeout: Seconds, idle_timeout: Seconds, max_connections: int
    ) -> None:
        """Set the other limits to their defaults."""
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout
        self.max_connections = max_connections
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.idle_connections: dict[TimedProtocol, None] = {}
        """Connections without a call in flight, the longest idle one first."""
        self.open_connections: set[TimedProtocol] = set()
        self.is_draining = False
        self.drain_deadline = Seconds(math.inf)
        """When a planned stop answers the remaining calls with what is known of them."""

    def add_connection(self, protocol: "TimedProtocol") -> None:
        """Add a new connection; above the limit, close the longest idle one."""
        self.open_connections.add(protocol)
        if len(self.open_connections) > self.max_connections and self.idle_connections:
            next(iter(self.idle_connections)).close_connection()

    def remove_connection(self, protocol: "TimedProtocol") -> None:
        """Remove a closed connection."""
        self.open_connections.discard(protocol)
        self.idle_connections.pop(protocol, None)


class TimedProtocol(H11Protocol):
    """uvicorn's protocol with timeouts for incomplete headers and idle connections."""

    limits: ServerLimits

    def connection_made(self, transport: Any) -> None:
        """Register the connection and start its idle timeout."""
        super().connection_made(transport)
        self._deadline: asyncio.TimerHandle | None = None
        self._is_reading_headers = False
        self.limits.add_connection(self)
        self._mark_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its timeout."""
        self._cancel_deadline()
        self.limits.remove_connection(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start the header timeout at the first byte of a call; cancel it after the headers."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._mark_busy()
        elif not self._is_reading_headers:
            self._is_reading_headers = True
            self._set_deadline(self.limits.header_timeout)

    def on_response_complete(self) -> None:
        """Start the idle timeout again."""
        super().on_response_complete()
        if not self.transport.is_closing() and self.conn.their_state is h11.IDLE:
            self._mark_idle()

    def close_connection(self) -> None:
        """Close the connection, which has no call in flight."""
        self.limits.remove_connection(self)
        self.transport.close()

    def _mark_idle(self) -> None:
        self._is_reading_headers = False
        self.limits.idle_connections[self] = None
        self._set_deadline(self.limits.idle_timeout)

    def _mark_busy(self) -> None:
        self._is_reading_headers = False
        self.limits.idle_connections.pop(self, None)
        self._cancel_deadline()

    def _set_deadline(self, seconds: Seconds) -> None:
        self._cancel_deadline()
        self._deadline = self.loop.call_later(seconds, self.close_connection)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None


def make_caller_server(app: Callable[..., Any], limits: ServerLimits) -> HttpServer:
    """Return a server for an ASGI application; run its ``serve`` with a listening socket."""
    protocol = type("CallerProtocol", (TimedProtocol,), {"limits": limits})
    config = uvicorn.Config(
        app,
        loop="none",
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=3600,
        h11_max_incomplete_event_size=MAX_CALL_HEADER_BYTES,
    )
    return HttpServer(config)
