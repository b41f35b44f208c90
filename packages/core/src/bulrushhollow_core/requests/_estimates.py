"""
bulrushhollow_core.requests._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long requests of each profile take at an endpoint, as seen by this instance.
"""

import math

from bulrushhollow_core.ids import ProfileName, Seconds
from bulrushhollow_core.models import Urgency

MEMORY = 0.95
"""Weight of the past in the smoothed time, per whole answer."""

FIRST_GUESS = Seconds(0.1)
"""Seconds reckoned for a profile that has not been answered yet."""


LOAD_MEMORY = Seconds(2.0)
"""Seconds over which the load of a class is averaged."""

DEVIATIONS = 2.0
"""Mean deviations above the usual time that a request is given to be answered."""


class _Times:
    """Smoothed time and mean deviation of one profile."""

    def __init__(self, seconds: float) -> None:
        self.usual = seconds
        self.deviation = 0.0

    def record(self, seconds: float) -> None:
        off = abs(seconds - self.usual)
        self.deviation = MEMORY * self.deviation + (1 - MEMORY) * off
        self.usual = MEMORY * self.usual + (1 - MEMORY) * seconds


class SlotLoad:
    """Slot seconds started per second by each class of urgency, over the last few seconds."""

    def __init__(self) -> None:
        self._sums = dict.fromkeys(Urgency, 0.0)
        self._at = Seconds(0.0)

    def record(self, urgency: Urgency, cost: Seconds, now: Seconds) -> None:
        """Take in that a request was started that is expected to take ``cost``."""
        self._decay(now)
        self._sums[urgency] += cost

    def above(self, urgency: Urgency, now: Seconds) -> float:
        """Return how many slots all more urgent classes together keep in use."""
        self._decay(now)
        classes = tuple(Urgency)
        more_urgent = classes[: classes.index(urgency)]
        return sum(self._sums[one] for one in more_urgent) / LOAD_MEMORY

    def _decay(self, now: Seconds) -> None:
        kept = math.exp(-(now - self._at) / LOAD_MEMORY)
        self._at = now
        self._sums = {urgency: kept * value for urgency, value in self._sums.items()}


class ServiceTimes:
    """Smoothed time of whole answers by profile."""

    def __init__(self) -> None:
        self._by_profile: dict[ProfileName, _Times] = {}

    def record(self, profile: ProfileName, seconds: float) -> None:
        """Take in the time that one whole answer took."""
        self._by_profile.setdefault(profile, _Times(seconds)).record(seconds)

    def known(self, profile: ProfileName) -> Seconds | None:
        """Return the usual time, or None before the first answer."""
        times = self._by_profile.get(profile)
        return None if times is None else Seconds(times.usual)

    def cost(self, profile: ProfileName) -> Seconds:
        """Return the usual time, or a first guess."""
        return self.known(profile) or FIRST_GUESS

    def needed(self, profile: ProfileName) -> Seconds:
        """Return the time that is enough for most; 0 before the first answer."""
        times = self._by_profile.get(profile)
        return Seconds(0.0 if times is None else times.usual + DEVIATIONS * times.deviation)

    def slowness(self, profile: ProfileName, seconds: float) -> float:
        """Return how long an answer took relative to the usual time."""
        return seconds / max(1e-4, self.cost(profile))

    def keep(self, profiles: set[ProfileName]) -> None:
        """Forget all profiles but these."""
        for profile in self._by_profile.keys() - profiles:
            del self._by_profile[profile]
