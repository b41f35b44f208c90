"""
bulrushhollow_core.domain.fleet._speeds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates the speeds of workers from the progress of their tasks, and decides whether the fleet is
uneven. Nothing states a worker's speed, and estimates of durations are too inaccurate, so a task is
compared only with tasks of the same step on other workers, whose own speeds are taken into account.
"""

import math
from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from bulrushhollow_core.domain.fleet._runs import Run
from bulrushhollow_core.domain.model import StepRef, TaskRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds

UPDATE_INTERVAL = Seconds(0.25)
"""Seconds between two updates of the estimates; plans are made up to 50 times a second."""

SAMPLE_PERCENT = 20
"""Progress, in percent, after which a task is sampled, and again after each further such part.
Tasks of a few seconds show this within the first second; rounding adds at most a twentieth."""

MIN_SAMPLE_TIME = Seconds(0.3)
"""Seconds of progress that a sample needs at least, since progress is listed with some delay."""

MIN_OTHER_WORKERS = 2
"""Other workers with tasks of a step that a comparison needs at least."""

MAX_SAMPLES = 12
"""Latest tasks that count for a worker's speed; a change shows within seven tasks."""

NORMAL_SLOWNESS = 1.0
"""Slowness of a worker of median speed, of a worker without samples, and of the prior sample."""

SLOW_FACTOR = 1.5
"""Slowness, relative to the median, from which a worker is slow. Healthy workers differ by up to
1.3, and tasks of a step by up to 1.3 in work."""

MIN_WORKER_SAMPLES = 1
"""Samples from which on a worker counts as measured. With two, an uneven fleet was found two
seconds later; the prior sample keeps single samples from making a fleet uneven."""

MIN_MEASURED_WORKERS = 20
"""Measured workers that are needed to call a fleet uneven."""

UNEVEN_SHARE = 0.15
"""Share of slow workers among the measured ones from which a fleet is uneven."""

EVEN_SHARE = 0.1
"""Share of slow workers below which an uneven fleet is even again; a lower share than the one above
keeps a fleet near the limit from changing with each sample."""


class PaceSample(NamedTuple):
    """
    Projected duration of a task.

    :param percent: progress, in percent, from which it was projected.
    """

    life: WorkerLife
    percent: int
    seconds: Seconds


class SpeedEstimator:
    """
    Estimates how slow each life of a worker is.

    Usage::

        >>> estimator.observe(run)
        >>> if estimator.update(now):
        ...     log(estimator.is_uneven, estimator.slow_count)
        >>> estimator.slowness_of(life)

    :ivar is_uneven: whether enough workers are slow to treat slow and fast workers differently.
    :ivar measured_count: workers with enough samples.
    :ivar slow_count: measured workers that are slow.
    :ivar slow_factor: median slowness of the slow workers.
    """

    def __init__(self) -> None:
        """Start without samples, as for an even fleet."""
        self.is_uneven = False
        self.measured_count = 0
        self.slow_count = 0
        self.slow_factor = NORMAL_SLOWNESS
        self._update_due = Seconds(-math.inf)
        self._samples_by_step: dict[StepRef, dict[TaskRef, PaceSample]] = {}
        self._steps_by_job: dict[JobId, dict[StepRef, None]] = {}
        """Steps of each job with samples, in the order of their first samples."""
        self._changed_steps: dict[StepRef, None] = {}
        """Steps with samples that are not evaluated yet, in the order of their samples."""
        self._ratios_by_life: dict[WorkerLife, dict[TaskRef, float]] = {}
        """Ratio of the durations of a worker's latest tasks to those of their siblings."""
        self._slowness_by_life: dict[WorkerLife, float] = {}
        """Slowness of each worker with samples, relative to the siblings of its tasks."""
        self._median_slowness = NORMAL_SLOWNESS

    def observe(self, run: Run) -> None:
        """Record the pace of a run whose progress was listed."""
        if run.first_percent is None:
            return
        progress = run.sampled_percent - run.first_percent
        elapsed = run.sampled_at - run.first_percent_at
        samples = self._samples_by_step.get(run.task.step_ref)
        sample = samples.get(run.task) if samples else None
        sampled = sample.percent if sample is not None and sample.life == run.life else 0
        if progress < sampled + SAMPLE_PERCENT or elapsed < MIN_SAMPLE_TIME:
            return
        step = run.task.step_ref
        seconds = Seconds(100 * elapsed / progress)
        self._samples_by_step.setdefault(step, {})[run.task] = PaceSample(
            run.life, progress, seconds
        )
        self._steps_by_job.setdefault(step.job, {})[step] = None
        self._changed_steps[step] = None

    def update(self, now: Seconds) -> bool:
        """
        Update the estimates from the samples since the last update, if one is due.

        :return: whether the fleet has become even or uneven.
        """
        if now < self._update_due:
            return False
        self._update_due = Seconds(now + UPDATE_INTERVAL)
        for step in list(self._changed_steps):
            self._evaluate(step)
        measured = [
            slowness
            for life, slowness in self._slowness_by_life.items()
            if len(self._ratios_by_life[life]) >= MIN_WORKER_SAMPLES
        ]
        self.measured_count = len(measured)
        self._median_slowness = median(measured) if measured else NORMAL_SLOWNESS
        slow = [
            slowness / self._median_slowness for slowness in measured if self._is_slow(slowness)
        ]
        self.slow_count = len(slow)
        self.slow_factor = median(slow) if slow else NORMAL_SLOWNESS
        was_uneven = self.is_uneven
        limit = EVEN_SHARE if was_uneven else UNEVEN_SHARE
        self.is_uneven = (
            self.measured_count >= MIN_MEASURED_WORKERS
            and self.slow_count >= limit * self.measured_count
        )
        if self.is_uneven is was_uneven:
            return False
        for life in self._slowness_by_life:
            self._estimate(life)
        self._changed_steps.update(dict.fromkeys(self._samples_by_step))
        return True

    def slowness_of(self, life: WorkerLife) -> float:
        """
        Return the seconds that a worker takes for a second of work on a worker of median speed.

        It is 1 for workers that are not slow, and for all workers of an even fleet.
        """
        slowness = self._slowness_by_life.get(life)
        if not self.is_uneven or slowness is None or not self._is_slow(slowness):
            return NORMAL_SLOWNESS
        return slowness / self._median_slowness

    def forget_job(self, job: JobId) -> None:
        """Drop the samples of a job that has ended; the estimates from them stay."""
        for step in list(self._steps_by_job.get(job, ())):
            self.forget_step(step)

    def forget_step(self, step: StepRef) -> None:
        """Drop the samples of a step that is done; the estimates from them stay."""
        if step not in self._samples_by_step:
            return
        if step in self._changed_steps:
            self._evaluate(step)
        del self._samples_by_step[step]
        steps = self._steps_by_job[step.job]
        del steps[step]
        if not steps:
            del self._steps_by_job[step.job]

    def forget_worker(self, life: WorkerLife) -> None:
        """
        Drop the estimate for a worker that is gone, and its samples, which would bring it back.

        The caller must not observe the worker's runs afterwards.
        """
        self._ratios_by_life.pop(life, None)
        self._slowness_by_life.pop(life, None)
        for samples in self._samples_by_step.values():
            for task in [task for task, sample in samples.items() if sample.life == life]:
                del samples[task]

    def is_measured(self, life: WorkerLife) -> bool:
        """Return whether a worker has samples."""
        return life in self._slowness_by_life

    def _estimate(self, life: WorkerLife) -> None:
        """
        Estimate a worker's slowness as the median of its ratios. A prior sample keeps single long
        tasks from making a fleet uneven. Once it is uneven, each sample separates the two kinds.
        """
        ratios = self._ratios_by_life[life].values()
        prior = () if self.is_uneven else (NORMAL_SLOWNESS,)
        self._slowness_by_life[life] = median([*prior, *ratios])

    def _is_slow(self, slowness: float) -> bool:
        return slowness >= SLOW_FACTOR * self._median_slowness

    def _evaluate(self, step: StepRef) -> None:
        """Compare the tasks of a step with each other, and update the workers that run them."""
        del self._changed_steps[step]
        samples = self._samples_by_step[step]
        seconds_by_life: dict[WorkerLife, list[float]] = {}
        for sample in samples.values():
            seconds_by_life.setdefault(sample.life, []).append(sample.seconds)
        if len(seconds_by_life) <= MIN_OTHER_WORKERS:
            return
        typical_by_life = _medians_of_others(
            {
                life: median(seconds) / self._slowness_by_life.get(life, NORMAL_SLOWNESS)
                for life, seconds in seconds_by_life.items()
            }
        )
        for task, sample in samples.items():
            ratios = self._ratios_by_life.setdefault(sample.life, {})
            ratios[task] = sample.seconds / typical_by_life[sample.life]
            if len(ratios) > MAX_SAMPLES:
                del ratios[next(iter(ratios))]
        for life in seconds_by_life:
            self._estimate(life)


def _medians_of_others(value_by_life: Mapping[WorkerLife, float]) -> dict[WorkerLife, float]:
    """Return for each worker the median of the values of the others; the lower one of two."""
    ordered = sorted(value_by_life, key=lambda life: value_by_life[life])
    middle = (len(ordered) - 2) // 2
    return {
        life: value_by_life[ordered[middle + 1 if rank <= middle else middle]]
        for rank, life in enumerate(ordered)
    }
