"""
bulrushhollow_core.authority._electorate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The voters on the lease of one data centre, and the messages to them.
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
    The members of a data centre and, if their number is even, the witness.

    :param me: this incarnation of the instance.
    :param members: names of the data centre's instances, including this one.
    :param witness: this instance's own witness, which votes while this instance leads the log.
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
        self.votes_needed = majority(members)
        self.log_leader: InstanceId | None = None
        self._has_witness = len(members) % 2 == 0
        self._own_witness = witness
        self._instances_by_name: dict[InstanceName, InstanceId] = {}

    def peer_connected(self, instance: InstanceId) -> None:
        """Record the current incarnation of a member."""
        name = name_of(instance)
        if name in self.members and instance != self.me:
            self._instances_by_name[name] = instance

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Record that an incarnation can't be reached."""
        if self._instances_by_name.get(name_of(instance)) == instance:
            del self._instances_by_name[name_of(instance)]

    def first_reachable(self, names: Iterable[InstanceName]) -> InstanceId | None:
        """Return the first reachable member by name among the given ones."""
        reachable = sorted(name for name in names if name in self._instances_by_name)
        return self._instances_by_name[reachable[0]] if reachable else None

    def request_votes(self, request: AuthorityRequest) -> list[msgspec.Struct]:
        """Return the requests to all reachable members."""
        return [Send(peer, request) for peer in self._instances_by_name.values()]

    def request_witness_vote(self, request: WitnessRequest) -> list[msgspec.Struct]:
        """Return the request to the witness, if it runs on another instance."""
        if not self._has_witness or self.log_leader in (None, self.me):
            return []
        assert self.log_leader is not None
        return [Send(self.log_leader, request)]

    def request_own_witness_vote(
        self, request: WitnessRequest, now: Seconds
    ) -> WitnessGrant | WitnessDenial | None:
        """Return the answer of this instance's own witness, if this instance leads the log."""
        if not self._has_witness or self.log_leader != self.me or self._own_witness is None:
            return None
        return self._own_witness.vote(self.me, request, now)

    def release_votes(self, release: AuthorityRelease) -> list[msgspec.Struct]:
        """Return the messages to all voters that release an epoch."""
        to_witness = WitnessRelease(self.data_centre, release.epoch)
        actions: list[msgspec.Struct] = [
            Send(peer, release) for peer in self._instances_by_name.values()
        ]
        if not self._has_witness or self.log_leader is None:
            return actions
        if self.log_leader != self.me:
            return [*actions, Send(self.log_leader, to_witness)]
        if self._own_witness is not None:
            self._own_witness.release(self.me, to_witness)
        return actions
