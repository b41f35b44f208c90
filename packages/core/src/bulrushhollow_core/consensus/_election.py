"""
bulrushhollow_core.consensus._election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When an instance asks for votes, and what it does with the answers. A pre-vote comes first, so
that an instance that was cut off does not depose a leader that the others still hear.
"""

import math
import random
from enum import Enum

from bulrushhollow_core.consensus._messages import RequestVote, VoteAnswer
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import Timing
from bulrushhollow_core.ids import InstanceId, Seconds, Term


class Phase(Enum):
    """Stage of an election."""

    IDLE = "idle"
    PRE_VOTE = "pre_vote"
    VOTE = "vote"


class Election:
    """
    The candidate's side of elections.

    :param rng: spreads the election timeouts of the instances.
    """

    def __init__(self, replica: Replica, timing: Timing, rng: random.Random, now: Seconds) -> None:
        """Begin with a full timeout, so that a leader can make itself heard first."""
        self._replica = replica
        self._timing = timing
        self._rng = rng
        self._due = Seconds(-math.inf)
        self.phase = Phase.IDLE
        self.granted: frozenset[InstanceId] = frozenset()
        self.begun_at = now
        self.stop(now)

    @property
    def won(self) -> bool:
        """Return whether a majority granted what the phase asks for."""
        members = self._replica.log.members
        return len(self.granted & members.voters) >= members.quorum

    def stop(self, now: Seconds) -> None:
        """End any election and wait a fresh timeout before the next."""
        timeout = self._rng.uniform(self._timing.min_election_timeout, self._timing.max_election_timeout)
        self._due = Seconds(now + timeout)
        self.phase = Phase.IDLE
        self.granted = frozenset()

    def hurry(self, now: Seconds) -> None:
        """Begin soon, since the connection to the leader was lost; others may still hear it."""
        soon = Seconds(now + self._rng.uniform(0.0, self._timing.disconnect_timeout))
        self._due = min(self._due, soon)

    def is_due(self, now: Seconds) -> bool:
        """Return whether no leader was heard for long enough; a sole voter need not wait."""
        is_sole_voter = self._replica.log.members.voters == {self._replica.me}
        return now >= self._due or is_sole_voter

    def begin_pre_vote(self, now: Seconds) -> None:
        """Ask whether the others would grant a vote."""
        self.stop(now)
        self.phase = Phase.PRE_VOTE
        self._ask(Term(self._replica.term + 1), is_transfer=False, now=now)

    def begin_vote(self, now: Seconds, is_transfer: bool = False) -> None:
        """Enter the next term with a vote for this instance and ask for the others' votes."""
        replica = self._replica
        assert replica.log_id is not None, "a voter has a log"
        self.stop(now)
        self.phase = Phase.VOTE
        replica.set_term(replica.log_id, Term(replica.term + 1), replica.me)
        self._ask(replica.term, is_transfer, now)

    def receive(self, source: InstanceId, answer: VoteAnswer) -> None:
        """Count a vote that answers the present phase."""
        asked_term = self._replica.term + (1 if self.phase is Phase.PRE_VOTE else 0)
        is_current = self.phase is not Phase.IDLE and answer.term == asked_term
        if answer.granted and is_current and answer.is_pre_vote == (self.phase is Phase.PRE_VOTE):
            self.granted |= {source}

    def _ask(self, term: Term, is_transfer: bool, now: Seconds) -> None:
        replica = self._replica
        assert replica.log_id is not None, "a voter has a log"
        self.granted = frozenset({replica.me})
        self.begun_at = now
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
