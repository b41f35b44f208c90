"""
bulrushhollow_daemon.dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends requests to endpoints and to entry instances of other data centres, once each, and tells what
the attempt proves: a whole answer, not written, refused, or lost.
"""

from bulrushhollow_daemon.dispatch._connections import Connection, ConnectionPool
from bulrushhollow_daemon.dispatch._dispatcher import AttemptAnswer, Dispatcher

__all__ = ["AttemptAnswer", "Connection", "ConnectionPool", "Dispatcher"]
