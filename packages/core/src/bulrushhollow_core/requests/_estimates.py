"""
bulrushhollow_core.requests._estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How long requests of each profile take at an endpoint, as seen by this instance.
"""

from bulrushhollow_core.ids import ProfileName, Seconds

MEMORY = 0.95
"""Weight of the past in the smoothed time, per whole answer."""

FIRST_GUESS = Seconds(0.1)
"""Seconds reckoned for a profile that has not been answered yet."""


class ServiceTimes:
    """Smoothed time of whole answers by profile."""

    def __init__(self) -> None:
        self._by_profile: dict[ProfileName, float] = {}

    def record(self, profile: ProfileName, seconds: float) -> None:
        """Take in the time that one whole answer took."""
        known = self._by_profile.get(profile, seconds)
        self._by_profile[profile] = MEMORY * known + (1 - MEMORY) * seconds

    def known(self, profile: ProfileName) -> Seconds | None:
        """Return the usual time, or None before the first answer."""
        known = self._by_profile.get(profile)
        return None if known is None else Seconds(known)

    def cost(self, profile: ProfileName) -> Seconds:
        """Return the usual time, or a first guess."""
        return Seconds(self._by_profile.get(profile, FIRST_GUESS))

    def slowness(self, profile: ProfileName, seconds: float) -> float:
        """Return how long an answer took relative to the usual time."""
        return seconds / max(1e-4, self.cost(profile))

    def keep(self, profiles: set[ProfileName]) -> None:
        """Forget all profiles but these."""
        for profile in self._by_profile.keys() - profiles:
            del self._by_profile[profile]
