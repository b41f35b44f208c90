"""
bulrushhollow_core.node._views
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parameters that a node is started with, and views of its state.
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
    """Another instance that the settings name."""

    name: InstanceName
    data_centre: DataCentreId
    has_disk: bool


class Identity(msgspec.Struct, frozen=True):
    """
    Identity of an instance, its peers and its role.

    :param me: this incarnation.
    :param peers: every other instance.
    :param is_founder: whether the instance was told to found the log.
    :param has_platform: whether the instance can call the worker platform of its data centre.
    :param http_address: address to which other instances may forward requests.
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
        """Name of the instance that this incarnation belongs to."""
        return name_of(self.me)

    @property
    def data_centres_by_name(self) -> dict[InstanceName, DataCentreId]:
        """The data centre of every instance, this one included."""
        return {self.name: self.data_centre} | {peer.name: peer.data_centre for peer in self.peers}

    def members_of(self, data_centre: DataCentreId) -> frozenset[InstanceName]:
        """Return the names of the instances of a data centre."""
        instances = self.data_centres_by_name.items()
        return frozenset(name for name, location in instances if location == data_centre)


class NodeStatus(msgspec.Struct, frozen=True):
    """Status of all components of a node."""

    log: ConsensusStatus
    authority: AuthorityStatus
    scheduler: SchedulerStatus
    router: RouterStatus
    applied: LogIndex
    proposals: int


class HolderReport(msgspec.Struct, frozen=True):
    """
    The last load report of a data centre's lease holder.

    :param received_at: reading of this process's clock when the report arrived.
    """

    holder: InstanceId
    epoch: Epoch
    load: DataCentreLoad
    workers: int
    received_at: Seconds
