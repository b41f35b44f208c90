"""
bulrushhollow_core.domain._paces
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells slow workers from long work. Estimates are too far off for that, so a task is only compared
with the others of its step on other workers.
"""

from statistics import median
from typing import NamedTuple

from bulrushhollow_core.domain._fleet import Run
from bulrushhollow_core.domain._jobs import StepRef, TaskRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds

SIBLINGS = 3
"""Tasks of the same step on other workers that a comparison needs."""

CRAWL_FACTOR = 3.5
"""Times the others' duration from which on a worker counts as slow; usual workers differ by a
third, and tasks of a step by about as much."""

WORTH_MOVING = 0.7
"""Part of the others' duration that must be left for a task to gain by starting again."""


LATEST_TASKS = 24
"""Tasks by which a worker is judged; three times what a usual one runs at once."""

PRIOR_TASKS = 3
"""Tasks of usual pace that each worker is credited with; tasks of a step differ by a third."""

SLOW_FROM = 1.15
"""Mean multiple of the siblings' duration from which on a worker counts as slow; half of what the
slower ones of a usual fleet take longer."""


class Pace(NamedTuple):
    """How long a task takes in all on a worker."""

    life: WorkerLife
    total: Seconds


class StragglerDetector:
    """The paces of all tasks of the steps that run, and what they tell of the workers."""

    def __init__(self) -> None:
        """Begin with none."""
        self._durations_by_step: dict[StepRef, dict[TaskRef, Pace]] = {}
        self._ratios_by_life: dict[WorkerLife, dict[TaskRef, float]] = {}
        """Duration of a worker's latest tasks, as multiples of their siblings'."""

    def observe(self, run: Run) -> None:
        """Take in how far a run is."""
        total = run.projected_duration()
        if total is None:
            return
        self._durations_by_step.setdefault(run.task.step_ref, {})[run.task] = Pace(run.life, total)
        usual = self._usual(run)
        if usual is not None:
            self._keep_ratio(run, total / usual)

    def is_straggler(self, run: Run, now: Seconds) -> bool:
        """Return whether a run is so much slower than its siblings that it had better move."""
        total, usual = run.projected_duration(), self._usual(run)
        if total is None or usual is None:
            return False
        return total > CRAWL_FACTOR * usual and run.remaining(now) > WORTH_MOVING * usual

    def is_slow(self, life: WorkerLife) -> bool:
        """Return whether a worker's tasks have taken longer than their siblings elsewhere."""
        ratios = self._ratios_by_life.get(life)
        if not ratios:
            return False
        slowness = (sum(ratios.values()) + PRIOR_TASKS) / (len(ratios) + PRIOR_TASKS)
        return slowness > SLOW_FROM

    def forget_job(self, job: JobId) -> None:
        """Forget a job that is over."""
        for step in [each for each in self._durations_by_step if each.job == job]:
            del self._durations_by_step[step]

    def forget_worker(self, life: WorkerLife) -> None:
        """Forget a worker that is gone."""
        self._ratios_by_life.pop(life, None)

    def _usual(self, run: Run) -> Seconds | None:
        """Return what a run's siblings on other workers take, if there are enough of them."""
        paces = self._durations_by_step.get(run.task.step_ref, {})
        others = [pace.total for pace in paces.values() if pace.life != run.life]
        return Seconds(median(others)) if len(others) >= SIBLINGS else None

    def _keep_ratio(self, run: Run, ratio: float) -> None:
        ratios = self._ratios_by_life.setdefault(run.life, {})
        ratios[run.task] = ratio
        if len(ratios) > LATEST_TASKS:
            del ratios[next(iter(ratios))]
