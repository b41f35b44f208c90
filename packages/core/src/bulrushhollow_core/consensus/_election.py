"""
bulrushhollow_core.consensus._election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The election timeout, the vote requests and the count of the votes. A pre-vote precedes each
election, so that an instance that was partitioned does not depose a leader that the others still
hear.
"""

import math
import random
from enum import Enum

from bulrushhollow_core.consensus._messages import RequestVote, VoteAnswer
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import Timing, next_term
from bulrushhollow_core.ids import InstanceId, Seconds, Term

PRE_VOTE_RETRY_SHARE = 0.4
"""Share of the vote timeout after which a pre-vote is repeated; it takes no disk sync."""

YIELD_SHARE = 0.15
"""Share of the vote timeout for which a voter that supports a candidate does not stand itself. This
is shorter than the time after which the candidate stands again, so that a candidate that can't win
does not keep others from standing."""


class Phase(Enum):
    """Stage of an election."""

    IDLE = "idle"
    PRE_VOTE = "pre_vote"
    VOTE = "vote"


class Election:
    """
    Candidate side of elections.

    :param rng: randomizes election timeouts, so that instances rarely stand at the same time.
    :param term_spacing: distance between the terms of successive elections.
    """

    def __init__(
        self,
        replica: Replica,
        timing: Timing,
        rng: random.Random,
        now: Seconds,
        term_spacing: int = 1,
    ) -> None:
        """Start a full election timeout, so that an existing leader can send a heartbeat first."""
        self._replica = replica
        self._timing = timing
        self._rng = rng
        self._term_spacing = term_spacing
        self._timeout_at = Seconds(-math.inf)
        self.phase = Phase.IDLE
        self.granted_by: frozenset[InstanceId] = frozenset()
        self.started_at = now
        self.reset(now)

    @property
    def is_won(self) -> bool:
        """Return whether a majority granted the vote or pre-vote of the current phase."""
        members = self._replica.log.members
        return len(self.granted_by & members.voters) >= members.quorum_size

    @property
    def next_term(self) -> Term:
        """Return the term of the next election."""
        return next_term(self._replica.term, self._term_spacing)

    def reset(self, now: Seconds) -> None:
        """Stop any election and restart the election timeout."""
        jitter = self._rng.uniform(0.0, self._timing.election_jitter)
        self._timeout_at = Seconds(now + self._timing.min_election_timeout + jitter)
        self.phase = Phase.IDLE
        self.granted_by = frozenset()

    def yield_to_candidate(self, now: Seconds) -> None:
        """
        Stop standing and wait a moment, since this instance supports another candidate. Two
        candidates that stand at the same time would split the votes.
        """
        yield_time = YIELD_SHARE * self._timing.vote_timeout
        self._timeout_at = max(self._timeout_at, Seconds(now + yield_time))
        self.phase = Phase.IDLE
        self.granted_by = frozenset()

    def expedite(self, now: Seconds) -> None:
        """
        Shorten the election timeout to at most :attr:`Timing.disconnect_timeout`, since the leader
        is probably gone; others may still hear it and then grant no vote.
        """
        soon = Seconds(now + self._rng.uniform(0.0, self._timing.disconnect_timeout))
        self._timeout_at = min(self._timeout_at, soon)

    def has_timed_out(self, now: Seconds) -> bool:
        """Return whether the election timeout is over; a sole voter does not wait for it."""
        is_sole_voter = self._replica.log.members.voters == {self._replica.me}
        return now >= self._timeout_at or is_sole_voter

    def start_pre_vote(self, now: Seconds) -> None:
        """Ask the other voters whether they would grant a vote."""
        self._stand(Phase.PRE_VOTE, PRE_VOTE_RETRY_SHARE * self._timing.vote_timeout, now)
        self._request_votes(self.next_term, is_transfer=False, now=now)

    def start_vote(self, now: Seconds, is_transfer: bool = False) -> None:
        """Enter the next term, vote for this instance and request the votes of the others."""
        replica = self._replica
        assert replica.log_id is not None, "a voter has a log"
        self._stand(Phase.VOTE, self._timing.vote_timeout, now)
        replica.set_term(replica.log_id, self.next_term, replica.me)
        self._request_votes(replica.term, is_transfer, now)

    def _stand(self, phase: Phase, max_wait: float, now: Seconds) -> None:
        """Enter a phase; the next attempt follows after half to all of the longest wait."""
        self.phase = phase
        self._timeout_at = Seconds(now + max_wait * self._rng.uniform(0.5, 1.0))

    def record_vote(self, source: InstanceId, answer: VoteAnswer) -> None:
        """Count a vote if it answers the request of the current phase."""
        is_pre_vote = self.phase is Phase.PRE_VOTE
        requested_term = self.next_term if is_pre_vote else self._replica.term
        is_current = self.phase is not Phase.IDLE and answer.term == requested_term
        if answer.granted and is_current and answer.is_pre_vote == is_pre_vote:
            self.granted_by |= {source}

    def _request_votes(self, term: Term, is_transfer: bool, now: Seconds) -> None:
        replica = self._replica
        assert replica.log_id is not None, "a voter has a log"
        self.granted_by = frozenset({replica.me})
        self.started_at = now
        message = RequestVote(
            log_id=replica.log_id,
            term=term,
            last_index=replica.log.last_index,
            last_term=replica.log.last_term,
            is_pre_vote=self.phase is Phase.PRE_VOTE,
            is_transfer=is_transfer,
        )
        for voter in sorted(replica.log.members.voters - {replica.me}):
            replica.send(voter, message)
