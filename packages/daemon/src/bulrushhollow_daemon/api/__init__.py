"""
bulrushhollow_daemon.api
~~~~~~~~~~~~~~~~~~~~~~~~

The HTTP API for callers, operators, endpoints and the load balancer, as an ASGI application.
"""

from bulrushhollow_daemon.api._app import Api
from bulrushhollow_daemon.api._backend import Backend, CallerRequest, RequestAnswer

__all__ = ["Api", "Backend", "CallerRequest", "RequestAnswer"]
