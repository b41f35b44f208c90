"""
bulrushhollow_core.requests._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long requests of each profile take at an endpoint, as seen by this instance.
"""

import math

from bulrushhollow_core.ids import ProfileName, Seconds
from bulrushhollow_core.models import Urgency

HISTORY_WEIGHT = 0.95
"""Weight of the past in the smoothed time, per whole answer."""

DEFAULT_SERVICE_TIME = Seconds(0.1)
"""Seconds reckoned for a profile that has not been answered yet."""


LOAD_WINDOW = Seconds(2.0)
"""Seconds over which the load of a class is averaged."""

DEVIATIONS_ALLOWED = 2.0
"""Mean deviations above the usual time that a request is given to be answered."""


class _ServiceTime:
    """Smoothed time and mean deviation of one profile."""

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = 0.0

    def record(self, seconds: float) -> None:
        error = abs(seconds - self.mean)
        self.deviation = HISTORY_WEIGHT * self.deviation + (1 - HISTORY_WEIGHT) * error
        self.mean = HISTORY_WEIGHT * self.mean + (1 - HISTORY_WEIGHT) * seconds


class SlotLoad:
    """Slot seconds started per second by each class of urgency, over the last few seconds."""

    def __init__(self) -> None:
        self._sums = dict.fromkeys(Urgency, 0.0)
        self._updated_at = Seconds(0.0)

    def record(self, urgency: Urgency, cost: Seconds, now: Seconds) -> None:
        """Take in that a request was started that is expected to take ``cost``."""
        self._decay(now)
        self._sums[urgency] += cost

    def slots_used_above(self, urgency: Urgency, now: Seconds) -> float:
        """Return how many slots all more urgent classes together keep in use."""
        self._decay(now)
        classes = tuple(Urgency)
        more_urgent = classes[: classes.index(urgency)]
        return sum(self._sums[more_urgent_class] for more_urgent_class in more_urgent) / LOAD_WINDOW

    def _decay(self, now: Seconds) -> None:
        decay = math.exp(-(now - self._updated_at) / LOAD_WINDOW)
        self._updated_at = now
        self._sums = {urgency: decay * value for urgency, value in self._sums.items()}


class ServiceTimes:
    """Smoothed time of whole answers by profile."""

    def __init__(self) -> None:
        self._by_profile: dict[ProfileName, _ServiceTime] = {}

    def record(self, profile: ProfileName, seconds: float) -> None:
        """Take in the time that one whole answer took."""
        self._by_profile.setdefault(profile, _ServiceTime(seconds)).record(seconds)

    def mean_or_none(self, profile: ProfileName) -> Seconds | None:
        """Return the usual time, or None before the first answer."""
        times = self._by_profile.get(profile)
        return None if times is None else Seconds(times.mean)

    def expected(self, profile: ProfileName) -> Seconds:
        """Return the usual time, or a first guess."""
        return self.mean_or_none(profile) or DEFAULT_SERVICE_TIME

    def upper_estimate(self, profile: ProfileName) -> Seconds:
        """Return the time that is enough for most; 0 before the first answer."""
        times = self._by_profile.get(profile)
        return Seconds(0.0 if times is None else times.mean + DEVIATIONS_ALLOWED * times.deviation)

    def slowness(self, profile: ProfileName, seconds: float) -> float:
        """Return how long an answer took relative to the usual time."""
        return seconds / max(1e-4, self.expected(profile))

    def retain(self, profiles: set[ProfileName]) -> None:
        """Forget all profiles but these."""
        for profile in self._by_profile.keys() - profiles:
            del self._by_profile[profile]
