"""
bulrushhollow_core.configuration._history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Since when an instance has had a version of the configuration.
"""

from collections import deque

from bulrushhollow_core.ids import Seconds, Version

HISTORY_KEPT = 64
"""Latest versions whose times are kept; an older version counts from the oldest kept one."""


class VersionHistory:
    """The versions that one instance went through; a lower one than the newest is ignored."""

    def __init__(self) -> None:
        self._steps: deque[tuple[Seconds, Version]] = deque(maxlen=HISTORY_KEPT)

    @property
    def newest(self) -> Version:
        """The newest version; 0 before the first."""
        return self._steps[-1][1] if self._steps else Version(0)

    def record(self, version: Version, now: Seconds) -> None:
        """Note that the instance has a version."""
        if version > self.newest:
            self._steps.append((now, version))

    def version_at(self, at: Seconds) -> Version:
        """Return the newest version that the instance had at a time, or a lower one."""
        versions = (version for since, version in reversed(self._steps) if since <= at)
        return next(versions, Version(0))

    def applied_since(self, version: Version) -> Seconds | None:
        """Return a time since which the instance has had a version, None if it has not."""
        times = (since for since, reached in self._steps if reached >= version)
        return next(times, None)
