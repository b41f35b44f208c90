"""
bulrushhollow_core.authority._witness
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The vote that the leader of the replicated log has on the lease of a data centre with an even
number of instances.
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
from bulrushhollow_core.authority._timing import LEADERSHIP_REPORT_MAX_AGE, AuthorityTiming
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
"""Bits of an epoch below the log's term. A witness votes only for epochs above its own term, as it
does not know those that an earlier leader voted for."""


class Witness:
    """
    Votes only while this instance leads the log, and only once every vote that an earlier leader
    may have given has run out.

    :param data_centre_by_name: the data centre of every instance in the settings.
    """

    def __init__(
        self,
        data_centre_by_name: Mapping[InstanceName, DataCentreId],
        timing: AuthorityTiming | None = None,
    ) -> None:
        self._timing = timing or AuthorityTiming()
        self._data_centre_by_name = dict(data_centre_by_name)
        self._voters_by_data_centre: dict[DataCentreId, Voter] = {}
        self._term: Term | None = None
        self._told_at = Seconds(0.0)
        self._ready_at = Seconds(0.0)

    def set_leading(self, is_leading: bool, term: Term, now: Seconds) -> None:
        """
        Tell whether this instance leads the log; to be called with every step, before messages.

        :param is_leading: True only with a proof of the quorum that is not older than
            :data:`QUORUM_AGE_LIMIT`, counted from when the proof was asked for.
        """
        if not is_leading:
            self._term = None
            return
        if term != self._term:
            self._term = term
            self._ready_at = Seconds(now + self._timing.witness_delay)
        self._told_at = now

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Answer a :class:`WitnessRequest`; nothing is said while this instance does not lead."""
        if isinstance(message, WitnessRelease):
            self.release(source, message)
        if not isinstance(message, WitnessRequest):
            return []
        answer = self.vote(source, message, now)
        return [] if answer is None else [Send(source, answer)]

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Let time pass; nothing is ever due."""
        return []

    def vote(
        self, source: InstanceId, request: WitnessRequest, now: Seconds
    ) -> WitnessGrant | WitnessDenial | None:
        """
        Vote, also for this instance itself.

        :return: None if this instance has no say.
        """
        leading = self._term is not None and now - self._told_at <= LEADERSHIP_REPORT_MAX_AGE
        if not leading or self._data_centre_by_name.get(name_of(source)) != request.data_centre:
            return None
        if now < self._ready_at:
            return WitnessDenial(request.epoch, wait=Seconds(self._ready_at - now))
        voter = self._voter(request.data_centre)
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
        """Free the vote given for an epoch that its asker has given up."""
        if self._data_centre_by_name.get(name_of(source)) == message.data_centre:
            self._voter(message.data_centre).release(source, message.epoch)

    def _voter(self, data_centre: DataCentreId) -> Voter:
        fresh = Voter(self._timing, self._ready_at)
        voter = self._voters_by_data_centre.setdefault(data_centre, fresh)
        voter.note(Epoch((self._term or 0) << TERM_SHIFT))
        return voter
