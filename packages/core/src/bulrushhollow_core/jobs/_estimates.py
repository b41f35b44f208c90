"""
bulrushhollow_core.jobs._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long runs take. Declared times are often wrong by an order of magnitude, so what was observed
of a profile replaces what it declares as observations come in.
"""

import math

import msgspec

from bulrushhollow_core.ids import ProfileName, Seconds
from bulrushhollow_core.models import Profile

SHORTEST_RUN = 10.0
"""Seconds; shorter runs are all the same to the queue."""

DECLARED_WEIGHT = 1.0
"""Number of observations that a declaration counts for."""

MEMORY = 30.0
"""Number of past observations that count; older ones fade."""


class _Observed(msgspec.Struct):
    """Sum of the logarithms of observed run times, and their number."""

    logs: float = 0.0
    count: float = 0.0


class Estimates:
    """Expected run times by profile: the geometric mean of declared and observed times."""

    def __init__(self) -> None:
        self._observed_by_profile: dict[ProfileName, _Observed] = {}

    def observe(self, profile: Profile, run: Seconds) -> None:
        """Note how long a run took that ended by itself."""
        observed = self._observed_by_profile.setdefault(profile.name, _Observed())
        fade = MEMORY / (MEMORY + 1) if observed.count >= MEMORY else 1.0
        observed.logs = observed.logs * fade + math.log(max(run, SHORTEST_RUN))
        observed.count = observed.count * fade + 1

    def expected(self, profile: Profile) -> Seconds:
        """Return the expected time of a whole run."""
        declared = math.log(min(max(profile.expected_run, SHORTEST_RUN), profile.run_limit))
        observed = self._observed_by_profile.get(profile.name)
        if observed is None:
            return Seconds(math.exp(declared))
        count = DECLARED_WEIGHT + observed.count
        return Seconds(math.exp((declared * DECLARED_WEIGHT + observed.logs) / count))

    def remaining(self, profile: Profile, elapsed: Seconds) -> Seconds:
        """Return how much longer a run is expected to take, given how long it took so far."""
        expected = self.expected(profile)
        return Seconds(max(expected - elapsed, elapsed * OVERRUN_SHARE, SHORTEST_RUN))


OVERRUN_SHARE = 0.5
"""A run that has overrun is expected to go on for this share of the time it has taken."""
