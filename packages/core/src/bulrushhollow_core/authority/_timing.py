"""
bulrushhollow_core.authority._timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Durations of the data-centre lease. All of them are read from monotonic clocks that go on while a
machine is suspended; wall clocks decide nothing.
"""

import msgspec

from bulrushhollow_core.ids import Seconds

ISOLATION_LIMIT = Seconds(2.0)
"""Seconds without the log's majority after which a data centre that holds starts no job."""

QUORUM_AGE_LIMIT = Seconds(1.0)
"""Oldest proof of its quorum, in seconds, with which the log's leader counts as leading."""

LEADERSHIP_REPORT_MAX_AGE = Seconds(0.25)
"""Seconds for which a witness relies on what it was last told about the log's leader."""

CANDIDACY_TIMEOUT = Seconds(0.3)
"""Seconds within which a candidate must have its votes."""

MAX_CANDIDACY_JITTER = Seconds(0.3)
"""Widest random wait before an instance stands for the lease."""

START_DELAY_LIMIT = Seconds(1.0)
"""Seconds that a start order sent just before a hold may still take to begin."""


class AuthorityTiming(msgspec.Struct, frozen=True):
    """
    What every instance of a data centre must have alike.

    :param lease_duration: seconds for which a vote is given.
    :param renew_interval: seconds between two renewals.
    :param max_clock_drift: largest relative error between the clocks of two instances.
    """

    lease_duration: Seconds = Seconds(3.0)
    renew_interval: Seconds = Seconds(1.0)
    max_clock_drift: float = 0.05

    @property
    def vote_duration(self) -> Seconds:
        """Seconds for which a voter keeps its vote, on whatever clock."""
        return Seconds(self.lease_duration * (1 + self.max_clock_drift))

    @property
    def settle_time(self) -> Seconds:
        """Seconds after which no holder lacks a version that a majority has applied."""
        return Seconds(2 * self.lease_duration * (1 + self.max_clock_drift))

    @property
    def witness_delay(self) -> Seconds:
        """Seconds for which a new leader of the log may not yet vote as the witness."""
        earlier_leader = QUORUM_AGE_LIMIT + LEADERSHIP_REPORT_MAX_AGE
        return Seconds((self.lease_duration + earlier_leader) * (1 + self.max_clock_drift))


HOLD_LIMIT = Seconds(ISOLATION_LIMIT * (1 + AuthorityTiming().max_clock_drift) + START_DELAY_LIMIT)
"""Seconds after a change was recorded within which a data centre that holds starts no more jobs,
whether or not the change has reached it."""
