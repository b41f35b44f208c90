"""
bulrushhollow_core.node._views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a node is told at its start and what it shows of itself.
"""

import msgspec

from bulrushhollow_core.authority import AuthorityStatus
from bulrushhollow_core.consensus import ConsensusStatus
from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    InstanceId,
    InstanceName,
    LogIndex,
    Seconds,
    name_of,
)
from bulrushhollow_core.jobs import DataCentreLoad, SchedulerStatus
from bulrushhollow_core.requests import RouterSettings, RouterStatus


class Peer(msgspec.Struct, frozen=True):
    """An instance named in the settings."""

    name: InstanceName
    data_centre: DataCentreId
    has_disk: bool


class Identity(msgspec.Struct, frozen=True):
    """
    Who an instance is and whom it knows.

    :param me: this incarnation.
    :param peers: every other instance.
    :param is_founder: whether it was told to found a log.
    :param has_platform: whether it can call the worker platform of its data centre.
    :param http_address: where other instances may forward requests to.
    """

    me: InstanceId
    data_centre: DataCentreId
    has_disk: bool
    peers: tuple[Peer, ...] = ()
    is_founder: bool = False
    has_platform: bool = False
    http_address: str = ""
    router: RouterSettings = RouterSettings()

    @property
    def name(self) -> InstanceName:
        """Name of the place that this incarnation fills."""
        return name_of(self.me)

    @property
    def data_centres_by_name(self) -> dict[InstanceName, DataCentreId]:
        """The data centre of every instance, this one included."""
        return {self.name: self.data_centre} | {p.name: p.data_centre for p in self.peers}

    def members_of(self, data_centre: DataCentreId) -> frozenset[InstanceName]:
        """Return the names of a data centre's instances."""
        places = self.data_centres_by_name.items()
        return frozenset(name for name, place in places if place == data_centre)


class NodeStatus(msgspec.Struct, frozen=True):
    """Figures of all parts of a node."""

    log: ConsensusStatus
    authority: AuthorityStatus
    scheduler: SchedulerStatus
    router: RouterStatus
    applied: LogIndex
    proposals: int


class HolderReport(msgspec.Struct, frozen=True):
    """
    The last load report of a data centre's lease holder.

    :param heard_at: reading of this process's clock when it came in.
    """

    holder: InstanceId
    epoch: Epoch
    load: DataCentreLoad
    workers: int
    heard_at: Seconds
