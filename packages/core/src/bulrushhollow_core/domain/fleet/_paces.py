"""
bulrushhollow_core.domain.fleet._paces
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects stragglers: runs, and workers, that are slower than others. Estimates of durations are too
inaccurate for this, so a task is compared only with tasks of the same step on other workers.
"""

from bisect import bisect_left, bisect_right, insort
from typing import NamedTuple

from bulrushhollow_core.domain.fleet._runs import Run
from bulrushhollow_core.domain.model import StepRef, TaskRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds

MIN_SIBLINGS = 3
"""Tasks of the same step on other workers that a comparison needs at least."""

STRAGGLER_FACTOR = 3.5
"""Multiple of its siblings' duration above which a run is a straggler. Healthy workers differ by a
third, and tasks of a step by about as much."""

RESTART_GAIN_FACTOR = 0.7
"""Part of the siblings' duration that a straggler must still need, so that a restart pays off."""


MAX_SAMPLES = 24
"""Latest tasks of a worker that are compared; three times what a usual worker runs at once."""

PRIOR_SAMPLES = 3
"""Samples of normal duration that each worker starts with (a prior), since the tasks of a step
differ by a third."""

SLOW_WORKER_RATIO = 1.15
"""Mean ratio to the siblings' duration above which a worker is slow; half of the excess that the
slower workers of a usual fleet show."""


class ProjectedDuration(NamedTuple):
    """How long a task takes from start to end on a worker, by its progress so far."""

    life: WorkerLife
    seconds: Seconds


class StepDurations:
    """
    Projected durations of the tasks of one step, in order of size.

    The order is kept as durations change, since each run is compared whenever it is listed: a
    comparison costs far less than going through all siblings.
    """

    def __init__(self) -> None:
        """Start without durations."""
        self._duration_by_task: dict[TaskRef, ProjectedDuration] = {}
        self._sorted: list[Seconds] = []
        self._sorted_by_life: dict[WorkerLife, list[Seconds]] = {}

    def record(self, task: TaskRef, duration: ProjectedDuration) -> None:
        """Replace the duration of a task."""
        previous = self._duration_by_task.get(task)
        if previous is not None:
            _remove_sorted(self._sorted, previous.seconds)
            _remove_sorted(self._sorted_by_life[previous.life], previous.seconds)
        self._duration_by_task[task] = duration
        insort(self._sorted, duration.seconds)
        insort(self._sorted_by_life.setdefault(duration.life, []), duration.seconds)

    def median_elsewhere(self, life: WorkerLife) -> Seconds | None:
        """Return the median duration of the tasks on other workers; None if these are too few."""
        own = self._sorted_by_life.get(life, [])
        count = len(self._sorted) - len(own)
        if count < MIN_SIBLINGS:
            return None
        middle = self._nth_elsewhere(own, count // 2)
        if count % 2:
            return middle
        return Seconds((self._nth_elsewhere(own, count // 2 - 1) + middle) / 2)

    def _nth_elsewhere(self, own: list[Seconds], number: int) -> Seconds:
        """Return the duration at a position, from 0 on, among those of other workers."""

        def count_up_to(position: int) -> int:
            value = self._sorted[position]
            return bisect_right(self._sorted, value) - bisect_right(own, value)

        position = bisect_left(range(len(self._sorted)), number + 1, key=count_up_to)
        return self._sorted[position]


class StragglerDetector:
    """Compares the durations of tasks of the same step to find slow runs and slow workers."""

    def __init__(self) -> None:
        """Start without samples."""
        self._durations_by_step: dict[StepRef, StepDurations] = {}
        self._ratios_by_life: dict[WorkerLife, dict[TaskRef, float]] = {}
        """Ratio of the durations of a worker's latest tasks to those of their siblings."""

    def observe(self, run: Run) -> None:
        """Update the projected duration of a run from its progress."""
        duration = run.projected_duration()
        if duration is None:
            return
        durations = self._durations_by_step.setdefault(run.task.step_ref, StepDurations())
        durations.record(run.task, ProjectedDuration(run.life, duration))
        typical = self._median_of_siblings(run)
        if typical is not None:
            self._record_ratio(run, duration / typical)

    def is_straggler(self, run: Run, now: Seconds) -> bool:
        """Return whether a run is so much slower than its siblings that restarting it pays off."""
        duration, typical = run.projected_duration(), self._median_of_siblings(run)
        if duration is None or typical is None:
            return False
        return (
            duration > STRAGGLER_FACTOR * typical
            and run.remaining(now) > RESTART_GAIN_FACTOR * typical
        )

    def is_slow(self, life: WorkerLife) -> bool:
        """Return whether a worker's tasks have taken longer than their siblings elsewhere."""
        ratios = self._ratios_by_life.get(life)
        if not ratios:
            return False
        mean_ratio = (sum(ratios.values()) + PRIOR_SAMPLES) / (len(ratios) + PRIOR_SAMPLES)
        return mean_ratio > SLOW_WORKER_RATIO

    def forget_job(self, job: JobId) -> None:
        """Drop the samples of a job that has ended."""
        for step in [step for step in self._durations_by_step if step.job == job]:
            del self._durations_by_step[step]

    def forget_worker(self, life: WorkerLife) -> None:
        """Drop the samples of a worker that is gone."""
        self._ratios_by_life.pop(life, None)

    def _median_of_siblings(self, run: Run) -> Seconds | None:
        """Return the median duration of a run's siblings on other workers; None if too few."""
        durations = self._durations_by_step.get(run.task.step_ref)
        return durations.median_elsewhere(run.life) if durations is not None else None

    def _record_ratio(self, run: Run, ratio: float) -> None:
        ratios = self._ratios_by_life.setdefault(run.life, {})
        ratios[run.task] = ratio
        if len(ratios) > MAX_SAMPLES:
            del ratios[next(iter(ratios))]


def _remove_sorted(values: list[Seconds], value: Seconds) -> None:
    del values[bisect_left(values, value)]
