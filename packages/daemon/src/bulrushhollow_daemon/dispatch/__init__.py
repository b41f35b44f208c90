"""
bulrushhollow_daemon.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Makes one attempt of a request at an endpoint or at an entry instance of another data centre, and
reports its outcome: a complete answer, not sent, refused, or lost.
"""

from bulrushhollow_daemon.dispatch._connections import Connection, ConnectionPool
from bulrushhollow_daemon.dispatch._dispatcher import AttemptAnswer, Dispatcher
from bulrushhollow_daemon.dispatch._shared_connections import (
    ConnectionsBusyError,
    SharedConnections,
)

__all__ = [
    "AttemptAnswer",
    "Connection",
    "ConnectionPool",
    "ConnectionsBusyError",
    "Dispatcher",
    "SharedConnections",
]
