"""
bulrushhollow_core.requests._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates of how long requests of each profile take at an endpoint, and of the slots that each class
of urgency uses. Both come from the requests of this instance alone.
"""

import math

from bulrushhollow_core.ids import ProfileName, Seconds
from bulrushhollow_core.models import Urgency

HISTORY_WEIGHT = 0.95
"""Weight of the previous value in exponential smoothing, per answer."""

DEFAULT_SERVICE_TIME = Seconds(0.1)
"""Seconds assumed for a profile without any answer yet."""

LOAD_WINDOW = Seconds(2.0)
"""Time constant, in seconds, over which the load of a class is averaged."""

DEVIATIONS_ALLOWED = 2.0
"""Mean deviations above the mean that the upper estimate of a service time includes."""


class _ServiceTime:
    """Smoothed mean and mean deviation of one profile's service time."""

    def __init__(self, seconds: float) -> None:
        self.mean = seconds
        self.deviation = 0.0

    def record(self, seconds: float) -> None:
        error = abs(seconds - self.mean)
        self.deviation = HISTORY_WEIGHT * self.deviation + (1 - HISTORY_WEIGHT) * error
        self.mean = HISTORY_WEIGHT * self.mean + (1 - HISTORY_WEIGHT) * seconds


class SlotLoad:
    """Slots used by each class of urgency, averaged over :data:`LOAD_WINDOW`."""

    def __init__(self) -> None:
        self._sums = dict.fromkeys(Urgency, 0.0)
        self._updated_at = Seconds(0.0)

    def record(self, urgency: Urgency, cost: Seconds, now: Seconds) -> None:
        """Record the start of a request that is expected to use a slot for ``cost`` seconds."""
        self._decay(now)
        self._sums[urgency] += cost

    def slots_used_above(self, urgency: Urgency, now: Seconds) -> float:
        """Return the slots that all more urgent classes together use on average."""
        self._decay(now)
        classes = tuple(Urgency)
        more_urgent = classes[: classes.index(urgency)]
        return sum(self._sums[more_urgent_class] for more_urgent_class in more_urgent) / LOAD_WINDOW

    def _decay(self, now: Seconds) -> None:
        decay = math.exp(-(now - self._updated_at) / LOAD_WINDOW)
        self._updated_at = now
        self._sums = {urgency: decay * value for urgency, value in self._sums.items()}


class ServiceTimes:
    """Smoothed service times by profile, from answers that arrived complete."""

    def __init__(self) -> None:
        self._by_profile: dict[ProfileName, _ServiceTime] = {}

    def record(self, profile: ProfileName, seconds: float) -> None:
        """Record the time that one complete answer took."""
        self._by_profile.setdefault(profile, _ServiceTime(seconds)).record(seconds)

    def mean_or_none(self, profile: ProfileName) -> Seconds | None:
        """Return the mean time, or None before the first answer."""
        times = self._by_profile.get(profile)
        return None if times is None else Seconds(times.mean)

    def expected(self, profile: ProfileName) -> Seconds:
        """Return the mean time, or :data:`DEFAULT_SERVICE_TIME` before the first answer."""
        return self.mean_or_none(profile) or DEFAULT_SERVICE_TIME

    def upper_estimate(self, profile: ProfileName) -> Seconds:
        """Return a time within which most requests are answered; 0 before the first answer."""
        times = self._by_profile.get(profile)
        return Seconds(0.0 if times is None else times.mean + DEVIATIONS_ALLOWED * times.deviation)

    def slowness(self, profile: ProfileName, seconds: float) -> float:
        """Return the ratio of an answer's time to the mean time."""
        return seconds / max(1e-4, self.expected(profile))

    def retain(self, profiles: set[ProfileName]) -> None:
        """Drop the times of all other profiles."""
        for profile in self._by_profile.keys() - profiles:
            del self._by_profile[profile]
