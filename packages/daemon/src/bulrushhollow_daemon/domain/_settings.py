"""
bulrushhollow_daemon.domain._settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The settings of a process of a domain.
"""

import pathlib

import msgspec

from bulrushhollow_core.domain import DomainSettings
from bulrushhollow_core.ids import DataCentreId, Seconds
from bulrushhollow_daemon.caller_server import RESERVED_DESCRIPTORS
from bulrushhollow_daemon.settings import Address

MIN_CONNECTIONS = 64
"""Connections to workers, or from them, that an instance with few descriptors allows."""


class ConnectionBudget(msgspec.Struct, frozen=True):
    """
    Most connections of each kind that one instance keeps open.

    :param workers: connections to workers.
    :param waiting_polls: connections to workers that polls hold for long; orders use the others.
    :param control: connections from workers and operators.
    """

    workers: int
    waiting_polls: int
    control: int


def connection_budget(max_descriptors: int) -> ConnectionBudget:
    """Divide the descriptors of an instance; peers and files keep those that are reserved."""
    available = max(2 * MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)
    workers = available * 2 // 3
    return ConnectionBudget(workers, workers * 3 // 4, available - workers)


class InstanceSettings(msgspec.Struct, frozen=True):
    """
    Settings of one process of a domain.

    :param name: name of the instance, for its logs.
    :param role: role of the instance, for its logs and its status.
    :param address: IP number at which other instances reach this one.
    :param peer_bind: IP number that the peer protocol listens on; differs from ``address`` if a
        proxy stands in front of this instance.
    :param peer_port: port of the peer protocol, the same on every instance.
    :param seeds: IP numbers of some instances with a disk.
    :param is_first_start: whether the whole system starts for the first time.
    :param control_address: listening address for workers and operators; None if this instance
        does not serve them.
    :param entry_address: listening address for callers; None if this instance does not serve them.
    :param readiness_address: listening address for the readiness checks of the load balancer; None
        if this instance does not serve callers.
    :param metrics_address: listening address for the metrics; None if they are not served.
    :param data_folder: folder for durable state; None on an instance without a disk.
    :param grace_period: seconds from the signal to stop to the forced end.
    :param max_descriptors: largest number of open files and connections.
    :param domain: settings of the domain's node.
    :param advice_address: address of the service that knows which workers may run a step; empty if
        there is none.
    """

    name: str
    role: str
    data_centre: DataCentreId
    address: str
    peer_bind: str
    peer_port: int
    seeds: tuple[str, ...]
    is_first_start: bool
    control_address: Address | None
    entry_address: Address | None
    readiness_address: Address | None
    metrics_address: Address | None
    data_folder: pathlib.Path | None
    grace_period: Seconds
    max_descriptors: int
    domain: DomainSettings
    advice_address: str = ""

    @property
    def connections(self) -> "ConnectionBudget":
        """Return how many connections of each kind the descriptors allow."""
        return connection_budget(self.max_descriptors)

    @property
    def is_founder(self) -> bool:
        """
        Return whether this instance founds the log. All instances receive the same seeds at the
        first start, so at most one instance has the lowest of their addresses.
        """
        return self.is_first_start and bool(self.seeds) and self.address == min(self.seeds)


HOUSEKEEPING_INTERVAL = Seconds(1.0)
"""Seconds between two checks for changed settings, and between two reports of unwritten log
lines."""
