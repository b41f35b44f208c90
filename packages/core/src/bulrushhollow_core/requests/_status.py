"""
bulrushhollow_core.requests._status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Status of a router for operators and metrics.
"""

import msgspec

from bulrushhollow_core.answers import EndpointStatus


class ServiceStatus(msgspec.Struct, frozen=True):
    """
    Status of one service at one instance.

    :param queued: requests in its queue.
    :param capacity: requests that this instance may have in flight in its own data centre.
    :param free: additional requests that this instance could start there now.
    """

    service: str
    queued: int
    capacity: int
    free: int


class RouterStatus(msgspec.Struct, frozen=True):
    """
    Status of one router.

    :param queued: requests in all queues.
    :param in_flight: attempts in flight.
    """

    queued: int
    in_flight: int
    services: tuple[ServiceStatus, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
