"""
bulrushhollow_core.authority._candidacy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One attempt of an instance to acquire the lease: first a pre-vote, which binds no voter, then the
vote.
"""

import random

from bulrushhollow_core.authority._ballot import Ballot
from bulrushhollow_core.authority._timing import CANDIDACY_TIMEOUT
from bulrushhollow_core.ids import Epoch, Seconds

EPOCH_RANDOM_BITS = 16
"""Low bits of an epoch that are drawn at random, so that two holders get different epochs even if
all voters have restarted and forgotten the earlier epoch."""


def next_epoch(highest: Epoch, rng: random.Random) -> Epoch:
    """Return a new epoch above the highest one seen."""
    round_number = (highest >> EPOCH_RANDOM_BITS) + 1
    return Epoch((round_number << EPOCH_RANDOM_BITS) | rng.getrandbits(EPOCH_RANDOM_BITS))


class Candidacy:
    """
    State of one attempt to acquire the lease.

    :param requested_at: when the first requests were sent.
    """

    def __init__(self, votes_needed: int, requested_at: Seconds) -> None:
        self.requested_at = requested_at
        self.pre_votes = Ballot(Epoch(0), votes_needed)
        self.votes: Ballot | None = None
        self._votes_needed = votes_needed
        self._shortest_wait: Seconds | None = None

    def start_vote(self, epoch: Epoch, now: Seconds) -> Ballot:
        """Start the vote that follows a successful pre-vote."""
        self.requested_at = now
        self.votes = Ballot(epoch, self._votes_needed)
        return self.votes

    def record_denial(self, wait: Seconds) -> None:
        """Record the time for which a voter that denied its vote stays bound."""
        waits = (wait, self._shortest_wait) if self._shortest_wait is not None else (wait,)
        self._shortest_wait = min(waits)

    def has_timed_out(self, now: Seconds) -> bool:
        """Return whether the attempt has taken longer than :data:`CANDIDACY_TIMEOUT`."""
        return now >= self.requested_at + CANDIDACY_TIMEOUT

    @property
    def retry_delay(self) -> Seconds:
        """Return the seconds until the first voter that denied its vote is no longer bound."""
        return self._shortest_wait or Seconds(0.0)
