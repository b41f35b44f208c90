"""
bulrushhollow_core.configuration._history
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records when an instance applied each version of the configuration.
"""

from collections import deque

from bulrushhollow_core.ids import Seconds, Version

MAX_HISTORY_ENTRIES = 64
"""Number of versions whose times are kept; older versions count as applied with the oldest kept."""


class VersionHistory:
    """The versions that one instance has applied, in ascending order, with their times."""

    def __init__(self) -> None:
        self._entries: deque[tuple[Seconds, Version]] = deque(maxlen=MAX_HISTORY_ENTRIES)

    @property
    def newest(self) -> Version:
        """Return the newest applied version; 0 before the first."""
        return self._entries[-1][1] if self._entries else Version(0)

    def record(self, version: Version, now: Seconds) -> None:
        """Record an applied version; a version that is not newer is ignored."""
        if version > self.newest:
            self._entries.append((now, version))

    def version_at(self, time: Seconds) -> Version:
        """
        Return the newest version that the instance had applied at a time; 0 if the time is before
        the oldest kept entry.
        """
        versions = (version for since, version in reversed(self._entries) if since <= time)
        return next(versions, Version(0))

    def applied_since(self, version: Version) -> Seconds | None:
        """
        Return the time of the first kept entry with this version or a later one; None if the
        instance has not applied it.
        """
        times = (since for since, applied in self._entries if applied >= version)
        return next(times, None)
