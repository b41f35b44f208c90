"""
bulrushhollow_core.authority._timing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Durations of the data-centre lease. All of them are measured by monotonic clocks that continue while
a machine is suspended; wall clocks are not used.
"""

import msgspec

from bulrushhollow_core.ids import Seconds

ISOLATION_LIMIT = Seconds(2.0)
"""Seconds without contact to the log's majority after which a data centre set to hold starts no
job."""

QUORUM_AGE_LIMIT = Seconds(1.0)
"""Seconds since the last proof of its quorum within which the log's leader counts as leading."""

LEADERSHIP_MAX_AGE = Seconds(0.25)
"""Seconds for which a witness relies on the last report that its instance leads the log."""

CANDIDACY_TIMEOUT = Seconds(0.3)
"""Seconds within which a candidate must get its votes."""

MAX_CANDIDACY_JITTER = Seconds(0.3)
"""Longest random delay, in seconds, before an instance stands for the lease."""

START_DELAY_LIMIT = Seconds(1.0)
"""Maximum seconds from a start order to the start of its task. An order sent just before a hold can
take effect this long after the hold began."""


class AuthorityTiming(msgspec.Struct, frozen=True):
    """
    Durations that must be the same on all instances of a data centre.

    :param lease_duration: seconds for which the lease is held after a vote.
    :param renew_interval: seconds between two renewals.
    :param max_clock_drift: largest relative error between the clocks of two instances.
    """

    lease_duration: Seconds = Seconds(3.0)
    renew_interval: Seconds = Seconds(1.0)
    max_clock_drift: float = 0.05

    @property
    def vote_duration(self) -> Seconds:
        """Return the seconds for which a voter is bound by its vote, by any instance's clock."""
        return Seconds(self.lease_duration * (1 + self.max_clock_drift))

    @property
    def settle_time(self) -> Seconds:
        """Return the seconds after which no holder lacks a version that a majority has applied."""
        return Seconds(2 * self.lease_duration * (1 + self.max_clock_drift))

    @property
    def witness_delay(self) -> Seconds:
        """Return the seconds for which a new leader of the log may not vote as the witness."""
        earlier_leader_time = QUORUM_AGE_LIMIT + LEADERSHIP_MAX_AGE
        return Seconds((self.lease_duration + earlier_leader_time) * (1 + self.max_clock_drift))


HOLD_LIMIT = Seconds(ISOLATION_LIMIT * (1 + AuthorityTiming().max_clock_drift) + START_DELAY_LIMIT)
"""Seconds from the time a change was recorded until a data centre set to hold starts no more jobs,
whether or not the change has reached it."""
