"""
bulrushhollow_core.jobs._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates how long runs take. Declared run times are often wrong by an order of magnitude, so the
times observed for a profile gradually outweigh the time that it declares.
"""

import math

import msgspec

from bulrushhollow_core.ids import ProfileName, Seconds
from bulrushhollow_core.models import Profile

MIN_RUN_TIME = 10.0
"""Shortest run time in estimates, in seconds; the queue need not distinguish shorter runs."""

DECLARED_WEIGHT = 1.0
"""Number of observations that a declared run time counts as."""

MAX_OBSERVATIONS = 30.0
"""Largest number of observations that an estimate weighs; older ones decay."""


class _Observed(msgspec.Struct):
    """The sum of the logarithms of observed run times, and their decayed number."""

    log_sum: float = 0.0
    count: float = 0.0


class Estimates:
    """Expected run times by profile: the geometric mean of the declared and observed times."""

    def __init__(self) -> None:
        self._observed_by_profile: dict[ProfileName, _Observed] = {}

    def observe(self, profile: Profile, run_time: Seconds) -> None:
        """Add the run time of a run that succeeded."""
        observed = self._observed_by_profile.setdefault(profile.name, _Observed())
        decay = (
            MAX_OBSERVATIONS / (MAX_OBSERVATIONS + 1) if observed.count >= MAX_OBSERVATIONS else 1.0
        )
        observed.log_sum = observed.log_sum * decay + math.log(max(run_time, MIN_RUN_TIME))
        observed.count = observed.count * decay + 1

    def expected(self, profile: Profile) -> Seconds:
        """Return the expected run time of a whole run."""
        declared_log = math.log(min(max(profile.expected_run, MIN_RUN_TIME), profile.run_limit))
        observed = self._observed_by_profile.get(profile.name)
        if observed is None:
            return Seconds(math.exp(declared_log))
        count = DECLARED_WEIGHT + observed.count
        return Seconds(math.exp((declared_log * DECLARED_WEIGHT + observed.log_sum) / count))

    def remaining(self, profile: Profile, elapsed: Seconds) -> Seconds:
        """Return the expected remaining time of a run that has run for ``elapsed`` seconds."""
        expected = self.expected(profile)
        return Seconds(max(expected - elapsed, elapsed * MIN_REMAINING_RATIO, MIN_RUN_TIME))


MIN_REMAINING_RATIO = 0.5
"""Smallest expected remaining time of a run, as a share of the time that it has taken."""
