"""
bulrushhollow_core.consensus._voting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Voter side of elections: the conditions under which an instance supports a candidate.
"""

from bulrushhollow_core.consensus._election import Election, Phase
from bulrushhollow_core.consensus._follower import Follower
from bulrushhollow_core.consensus._messages import RequestVote
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import Timing
from bulrushhollow_core.ids import InstanceId, Seconds


class VotingRules:
    """
    Conditions for votes and pre-votes of one instance.

    :param started_at: when this process started.
    """

    def __init__(
        self,
        replica: Replica,
        follower: Follower,
        election: Election,
        timing: Timing,
        started_at: Seconds,
    ) -> None:
        """Create the rules for the state of one instance."""
        self._replica = replica
        self._follower = follower
        self._election = election
        self._timing = timing
        self._started_at = started_at

    def may_have_forgotten_leader(self, now: Seconds) -> bool:
        """
        Return whether this process started so recently that the process before it may have
        confirmed the lease of a leader that still acts.
        """
        return (
            self._follower.has_never_heard_leader
            and now - self._started_at < self._timing.min_election_timeout
        )

    def hears_leader(self, now: Seconds) -> bool:
        """Return whether this follower has heard its leader within the shortest timeout."""
        is_recent = now - self._follower.last_leader_contact_at < self._timing.min_election_timeout
        return self._follower.leader is not None and is_recent

    def is_up_to_date(self, candidate: RequestVote) -> bool:
        """Return whether a candidate's log has every entry that this one has."""
        log = self._replica.log
        return (log.last_term, log.last_index) <= (candidate.last_term, candidate.last_index)

    def grants_pre_vote(self, source: InstanceId, candidate: RequestVote) -> bool:
        """Return whether a candidate is supported, if no leader is live."""
        return (
            candidate.term > self._replica.term
            and self.is_up_to_date(candidate)
            and not self._has_precedence_over(source, candidate)
        )

    def _has_precedence_over(self, source: InstanceId, candidate: RequestVote) -> bool:
        """Return whether this instance stands as well, and stays the candidate of the two."""
        if self._election.phase is Phase.IDLE:
            return False
        log = self._replica.log
        own_rank = (log.last_term, log.last_index, self._replica.me)
        return own_rank > (candidate.last_term, candidate.last_index, source)
