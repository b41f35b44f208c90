"""
bulrushhollow_core.authority._candidacy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One try of an instance to be given the lease: first it asks who would vote for it, which binds
nobody, then for the votes.
"""

import random

from bulrushhollow_core.authority._ballot import Ballot
from bulrushhollow_core.authority._timing import CANDIDACY_TIMEOUT
from bulrushhollow_core.ids import Epoch, Seconds

EPOCH_RANDOM_BITS = 16
"""Low bits of an epoch that are drawn at random, so that two holders never share an epoch even if
all voters forgot the earlier one."""


def next_epoch(highest: Epoch, rng: random.Random) -> Epoch:
    """Return an epoch above another one."""
    round_number = (highest >> EPOCH_RANDOM_BITS) + 1
    return Epoch((round_number << EPOCH_RANDOM_BITS) | rng.getrandbits(EPOCH_RANDOM_BITS))


class Candidacy:
    """
    The state of one try.

    :param asked_at: when its first asks were sent.
    """

    def __init__(self, needed: int, asked_at: Seconds) -> None:
        self.asked_at = asked_at
        self.willing = Ballot(Epoch(0), needed)
        self.votes: Ballot | None = None
        self._needed = needed
        self._shortest_wait: Seconds | None = None

    def ask_for_votes(self, epoch: Epoch, now: Seconds) -> Ballot:
        """Begin the second half."""
        self.asked_at = now
        self.votes = Ballot(epoch, self._needed)
        return self.votes

    def denied(self, wait: Seconds) -> None:
        """Note for how long a voter is bound."""
        waits = (wait, self._shortest_wait) if self._shortest_wait is not None else (wait,)
        self._shortest_wait = min(waits)

    def failed(self, now: Seconds) -> bool:
        """Tell whether it has taken too long."""
        return now >= self.asked_at + CANDIDACY_TIMEOUT

    @property
    def wait(self) -> Seconds:
        """Seconds after which another try makes sense."""
        return self._shortest_wait or Seconds(0.0)
