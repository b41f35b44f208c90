"""
bulrushhollow_core.authority._electorate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Who votes on the lease of one data centre, and how to reach them.
"""

from collections.abc import Iterable

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority._ballot import majority
from bulrushhollow_core.authority._messages import (
    AuthorityRelease,
    AuthorityRequest,
    WitnessDenial,
    WitnessGrant,
    WitnessRelease,
    WitnessRequest,
)
from bulrushhollow_core.authority._witness import Witness
from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName, Seconds, name_of


class Electorate:
    """
    The members of a data centre and, where their number is even, the witness.

    :param me: this incarnation.
    :param members: names of the data centre's own instances, this one among them.
    :param witness: this instance's own witness, asked when this instance leads the log itself.
    """

    def __init__(
        self,
        me: InstanceId,
        data_centre: DataCentreId,
        members: frozenset[InstanceName],
        witness: Witness | None,
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.members = members
        self.needed = majority(members)
        self.leader: InstanceId | None = None
        self._has_witness = len(members) % 2 == 0
        self._own_witness = witness
        self._instance_by_name: dict[InstanceName, InstanceId] = {}

    def peer_connected(self, instance: InstanceId) -> None:
        """Note which incarnation now fills a member's place."""
        name = name_of(instance)
        if name in self.members and instance != self.me:
            self._instance_by_name[name] = instance

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Note that messages can't reach an incarnation."""
        if self._instance_by_name.get(name_of(instance)) == instance:
            del self._instance_by_name[name_of(instance)]

    def first_of(self, names: Iterable[InstanceName]) -> InstanceId | None:
        """Return the first by name of some members that can be reached."""
        reachable = sorted(name for name in names if name in self._instance_by_name)
        return self._instance_by_name[reachable[0]] if reachable else None

    def request_votes(self, request: AuthorityRequest) -> list[msgspec.Struct]:
        """Ask every member that can be reached."""
        return [Send(peer, request) for peer in self._instance_by_name.values()]

    def request_witness_vote(self, request: WitnessRequest) -> list[msgspec.Struct]:
        """Ask the witness on another instance."""
        if not self._has_witness or self.leader in (None, self.me):
            return []
        assert self.leader is not None
        return [Send(self.leader, request)]

    def request_own_witness_vote(
        self, request: WitnessRequest, now: Seconds
    ) -> WitnessGrant | WitnessDenial | None:
        """Ask the witness of this instance, if this instance leads the log."""
        if not self._has_witness or self.leader != self.me or self._own_witness is None:
            return None
        return self._own_witness.vote(self.me, request, now)

    def release(self, release: AuthorityRelease) -> list[msgspec.Struct]:
        """Tell all voters that an epoch is given up."""
        to_witness = WitnessRelease(self.data_centre, release.epoch)
        actions: list[msgspec.Struct] = [
            Send(peer, release) for peer in self._instance_by_name.values()
        ]
        if not self._has_witness or self.leader is None:
            return actions
        if self.leader != self.me:
            return [*actions, Send(self.leader, to_witness)]
        if self._own_witness is not None:
            self._own_witness.release(self.me, to_witness)
        return actions
