"""
bulrushhollow_core.domain.replica._recent_starts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The runs whose starts were recorded a short time ago, as one instance knows it.
"""

from collections.abc import Iterable

from bulrushhollow_core.domain.model import RunNumber, TaskRef
from bulrushhollow_core.ids import Seconds


class RecentStarts:
    """
    Remembers when this instance applied the start of each run, for a limited time.

    An instance that begins to lead has no other knowledge of the orders of earlier leaders.

    :param retention: seconds for which a start counts as recent.
    """

    def __init__(self, retention: Seconds) -> None:
        """Start without any recent start."""
        self._retention = retention
        self._applied_at_by_run: dict[tuple[TaskRef, RunNumber], Seconds] = {}

    def record(self, runs: Iterable[tuple[TaskRef, RunNumber]], now: Seconds) -> None:
        """Record that the starts of runs were applied."""
        self._forget_old(now)
        self._applied_at_by_run.update(dict.fromkeys(runs, now))

    def end_by_run(self, now: Seconds) -> dict[tuple[TaskRef, RunNumber], Seconds]:
        """Return the runs whose starts are recent, with when they no longer are."""
        self._forget_old(now)
        return {
            run: Seconds(applied_at + self._retention)
            for run, applied_at in self._applied_at_by_run.items()
        }

    def _forget_old(self, now: Seconds) -> None:
        while self._applied_at_by_run:
            oldest = next(iter(self._applied_at_by_run))
            if now - self._applied_at_by_run[oldest] <= self._retention:
                return
            del self._applied_at_by_run[oldest]
