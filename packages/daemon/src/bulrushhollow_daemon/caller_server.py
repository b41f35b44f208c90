"""
bulrushhollow_daemon.caller_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP server for callers of a domain: limits on slow and idle connections, and a planned stop
that cuts no request.
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

CALL_HEAD_BYTES = 32 * 1024
"""Longest head of a call that is read; twice what operators usually allow."""

BODY_BYTES = 256 * 1024
"""Largest body of a call until a configuration says otherwise."""

RESERVED_DESCRIPTORS = 400
"""Descriptors that are not given to callers: files, peers and workers."""


class ServerLimits:
    """
    Limits of one server, which a configuration may change while it runs.

    :param header_timeout: seconds within which the head of a call must be whole.
    :param idle_timeout: seconds for which a connection without a call is kept.
    :param connections: connections at once; the longest idle one is closed for a new one.
    """

    def __init__(self, header_timeout: Seconds, idle_timeout: Seconds, connections: int) -> None:
        """Begin with defaults."""
        self.header_timeout = header_timeout
        self.idle_timeout = idle_timeout
        self.connections = connections
        self.body_bytes = BODY_BYTES
        self.idle: dict[TimedProtocol, None] = {}
        """Connections without a call, the longest idle one first."""
        self.open: set[TimedProtocol] = set()
        self.is_draining = False
        self.ends_at = Seconds(math.inf)
        """When a planned stop ends: whatever is known of a call by then is its answer."""

    def admit(self, protocol: "TimedProtocol") -> None:
        """Note a new connection."""
        self.open.add(protocol)
        if len(self.open) > self.connections and self.idle:
            next(iter(self.idle)).close_now()

    def forget(self, protocol: "TimedProtocol") -> None:
        """Note that a connection is closed."""
        self.open.discard(protocol)
        self.idle.pop(protocol, None)


class TimedProtocol(H11Protocol):
    """uvicorn's protocol with a limit on the time that a caller may take for a head."""

    limits: ServerLimits

    def connection_made(self, transport: Any) -> None:
        """Begin to count the idle time."""
        super().connection_made(transport)
        self._deadline: asyncio.TimerHandle | None = None
        self._is_reading_head = False
        self.limits.admit(self)
        self._become_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._cancel_deadline()
        self.limits.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the time of a head from its first byte."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._become_busy()
        elif not self._is_reading_head:
            self._is_reading_head = True
            self._set_deadline(self.limits.header_timeout)

    def on_response_complete(self) -> None:
        """Begin to count the idle time again."""
        super().on_response_complete()
        if not self.transport.is_closing() and self.conn.their_state is h11.IDLE:
            self._become_idle()

    def close_now(self) -> None:
        """Close a connection without a call."""
        self.limits.forget(self)
        self.transport.close()

    def _become_idle(self) -> None:
        self._is_reading_head = False
        self.limits.idle[self] = None
        self._set_deadline(self.limits.idle_timeout)

    def _become_busy(self) -> None:
        self._is_reading_head = False
        self.limits.idle.pop(self, None)
        self._cancel_deadline()

    def _set_deadline(self, seconds: Seconds) -> None:
        self._cancel_deadline()
        self._deadline = self.loop.call_later(seconds, self.close_now)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None


def make_caller_server(app: Callable[..., Any], limits: ServerLimits) -> HttpServer:
    """Return a server for an ASGI application; run its ``serve`` with a bound socket."""
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
        h11_max_incomplete_event_size=CALL_HEAD_BYTES,
    )
    return HttpServer(config)
