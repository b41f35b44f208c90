"""
bulrushhollow_daemon.domain._settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a process of a domain is told at its start.
"""

import pathlib

import msgspec

from bulrushhollow_core.domain import DomainSettings
from bulrushhollow_core.ids import DataCentreId, Seconds
from bulrushhollow_daemon.settings import Address


class InstanceSettings(msgspec.Struct, frozen=True):
    """
    Settings of one process of a domain.

    :param name: name of the instance, for its logs.
    :param address: IP number that other instances reach it at.
    :param peer_bind: IP number that the peer protocol listens on; not the address where another
        one stands before it.
    :param peer_port: port of the peer protocol, the same on every instance.
    :param seeds: IP numbers of some instances with a disk.
    :param founds: whether the whole system starts for the first time.
    :param control: where workers and operators call; None where they do not.
    :param entry: where callers call; None where they do not.
    :param ready: where the balancer asks whether to send callers.
    :param metrics: where metrics are read; None for nowhere.
    :param data_folder: folder for durable state; None on an instance without a disk.
    :param grace: seconds from the signal to stop to the forced end.
    :param descriptors: most open files and connections.
    :param advice: address of the service that knows which workers may run a step; empty for none.
    """

    name: str
    role: str
    data_centre: DataCentreId
    address: str
    peer_bind: str
    peer_port: int
    seeds: tuple[str, ...]
    founds: bool
    control: Address | None
    entry: Address | None
    ready: Address | None
    metrics: Address | None
    data_folder: pathlib.Path | None
    grace: Seconds
    descriptors: int
    domain: DomainSettings
    advice: str = ""

    @property
    def is_founder(self) -> bool:
        """
        Return whether this instance founds the log. All receive the same seeds at the first
        start, so at most one instance has the lowest of their addresses.
        """
        return self.founds and bool(self.seeds) and self.address == min(self.seeds)


REPORT_INTERVAL = Seconds(1.0)
"""Seconds between two looks at the settings, and between two reports of folded log lines."""
