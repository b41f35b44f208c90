"""
bulrushhollow_core.authority._witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The witness: the leader of the replicated log, which has a vote on the lease of each data centre
with an even number of instances.
"""

from collections.abc import Mapping

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority._messages import (
    WitnessDenial,
    WitnessGrant,
    WitnessRelease,
    WitnessRequest,
)
from bulrushhollow_core.authority._timing import LEADERSHIP_MAX_AGE, AuthorityTiming
from bulrushhollow_core.authority._voter import Voter
from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    InstanceId,
    InstanceName,
    Seconds,
    Term,
    name_of,
)

TERM_SHIFT = 36
"""Number of bits of an epoch below the log's term. A witness votes only for epochs above those of
earlier terms, since it does not know which epochs earlier leaders voted for."""


class Witness:
    """
    Witness on one instance. It votes only while this instance leads the log, and only once all
    votes that an earlier leader may have granted have run out.

    :param data_centres_by_name: data centre of every instance in the settings.
    """

    def __init__(
        self,
        data_centres_by_name: Mapping[InstanceName, DataCentreId],
        timing: AuthorityTiming | None = None,
    ) -> None:
        self._timing = timing or AuthorityTiming()
        self._data_centres_by_name = dict(data_centres_by_name)
        self._voters_by_data_centre: dict[DataCentreId, Voter] = {}
        self._term: Term | None = None
        self._confirmed_at = Seconds(0.0)
        self._ready_at = Seconds(0.0)

    def set_leading(self, is_leading: bool, term: Term, now: Seconds) -> None:
        """
        Report whether this instance leads the log. Call it at every step, before messages.

        :param is_leading: True only if the quorum was proved within :data:`QUORUM_AGE_LIMIT`,
            counted from the time at which the proof was requested.
        """
        if not is_leading:
            self._term = None
            return
        if term != self._term:
            self._term = term
            self._ready_at = Seconds(now + self._timing.witness_delay)
        self._confirmed_at = now

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Answer a :class:`WitnessRequest`; return nothing while this instance does not lead."""
        if isinstance(message, WitnessRelease):
            self.release(source, message)
        if not isinstance(message, WitnessRequest):
            return []
        answer = self.vote(source, message, now)
        return [] if answer is None else [Send(source, answer)]

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Do nothing, since a witness has no timers."""
        return []

    def vote(
        self, source: InstanceId, request: WitnessRequest, now: Seconds
    ) -> WitnessGrant | WitnessDenial | None:
        """
        Return the vote on a request, which may come from this instance itself.

        :return: None if this instance does not lead the log or the sender is not in the data
            centre.
        """
        is_leading = self._term is not None and now - self._confirmed_at <= LEADERSHIP_MAX_AGE
        if not is_leading or self._data_centres_by_name.get(name_of(source)) != request.data_centre:
            return None
        if now < self._ready_at:
            return WitnessDenial(request.epoch, wait=Seconds(self._ready_at - now))
        voter = self._voter_of(request.data_centre)
        vote = (
            voter.pre_vote(source, now)
            if request.is_pre_vote
            else voter.vote(source, request.epoch, now)
        )
        if vote.granted:
            return WitnessGrant(
                request.epoch, request.sent_at, request.is_pre_vote, vote.highest_epoch
            )
        return WitnessDenial(request.epoch, vote.highest_epoch, vote.wait)

    def release(self, source: InstanceId, message: WitnessRelease) -> None:
        """Free the vote for an epoch that its holder has released."""
        if self._data_centres_by_name.get(name_of(source)) == message.data_centre:
            self._voter_of(message.data_centre).release(source, message.epoch)

    def _voter_of(self, data_centre: DataCentreId) -> Voter:
        new_voter = Voter(self._timing, self._ready_at)
        voter = self._voters_by_data_centre.setdefault(data_centre, new_voter)
        voter.record_epoch(Epoch((self._term or 0) << TERM_SHIFT))
        return voter
