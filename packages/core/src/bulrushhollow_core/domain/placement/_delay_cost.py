"""
bulrushhollow_core.domain.placement._delay_cost
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the delay of a job costs its caller. A job earns its full value if it ends within its
objective, a fifth of it up to three times the objective, and nothing after that.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Run
from bulrushhollow_core.domain.model import (
    DomainSettings,
    Job,
    Occurrence,
    WallTime,
    core_equivalents,
)
from bulrushhollow_core.domain.queueing import (
    REUSE_DELAY,
    WORTHLESS_FACTOR,
    RecentWork,
    base_value,
    duration_after,
    work_of,
)
from bulrushhollow_core.ids import JobId, Seconds

LATE_SHARE = 0.2
"""Part of its value that a late job still has; the users state 0.1 to 0.9 for their kinds."""

BASE_SHARE = 0.3
"""Part of a job's value that does not depend on its size, as the users state it."""

MAX_SIZE_RATIO = 4.0
"""Multiple of the mean work of its queue above which a job's value no longer grows."""

REQUEUE_WAIT = Seconds(1.0)
"""Seconds that an evicted run is assumed to wait for another place. Evictions happen while capacity
is short, so it will rarely start again at once."""


RECLAIM_WINDOW = Seconds(3.0)
"""Seconds from its submission in which a guaranteed job may take its room back at any cost."""


class JobValue(NamedTuple):
    """
    The value of one occurrence of a job to its caller.

    :param deadline: latest end at which it is on time.
    :param worthless_at: latest end at which it has any value.
    """

    on_time: float
    late: float
    deadline: WallTime
    worthless_at: WallTime

    def at(self, end: float) -> float:
        """Return the value if it ends at a time."""
        if end <= self.deadline:
            return self.on_time
        return self.late if end <= self.worthless_at else 0.0


class EvictionLoss(NamedTuple):
    """
    What an eviction costs the caller of the evicted job.

    :param job_value: value that the job loses by becoming late or worthless; once for each job,
        however many of its runs are evicted.
    :param wasted_value: value of the work that is thrown away.
    """

    job_value: float
    wasted_value: float


def value_of(job: Job, occurrence: Occurrence, recent: RecentWork) -> JobValue:
    """Return the value of an occurrence of a job."""
    mean = recent.mean_work_by_queue.get(job.queue.name, 0.0)
    ratio = work_of(job) / mean if mean > 0 else 1.0
    on_time = base_value(job.queue.urgency) * (
        BASE_SHARE + (1 - BASE_SHARE) * min(MAX_SIZE_RATIO, ratio)
    )
    due = job.due_at(occurrence)
    objective = job.queue.slack_factor * path_from(job, occurrence) + job.queue.slo
    return JobValue(
        on_time,
        LATE_SHARE * on_time,
        WallTime(due + objective),
        WallTime(due + WORTHLESS_FACTOR * objective),
    )


def path_from(job: Job, occurrence: Occurrence, done: bool = False) -> Seconds:
    """
    Return the estimated duration of the critical path through a job's steps.

    :param done: whether the steps that are done count as instantaneous.
    """
    records = job.occurrences_by_number.get(occurrence) if done else None
    ends: list[float] = []
    for number, step in enumerate(job.work.steps):
        start = max(
            (ends[earlier] for earlier in step.depends_on if earlier < len(ends)), default=0.0
        )
        is_done = records is not None and records[number].is_done
        ends.append(start + (0.0 if is_done else step.estimate))
    return Seconds(max(ends, default=0.0))


class DelayPricer:
    """
    Computes the cost of delays for one plan.

    :param recent: summary of the latest jobs.
    """

    def __init__(
        self, settings: DomainSettings, recent: RecentWork, now: Seconds, wall: WallTime
    ) -> None:
        """Create a pricer for the present time."""
        self._settings = settings
        self._recent = recent
        self._now = now
        self._wall = wall
        self._values_by_occurrence: dict[tuple[JobId, Occurrence], JobValue] = {}

    def cost_of_being_late(self, job: Job, occurrence: Occurrence) -> float:
        """Return the value that a waiting job loses by being late."""
        value = self._value_of(job, occurrence)
        return value.on_time - value.late

    def may_defer(self, job: Job, occurrence: Occurrence) -> bool:
        """
        Return whether a job that lost its runs waits for free room: it is late already, and loses
        nothing more until it would be worthless. The guarantee covers its first start.
        """
        if not job.has_started or self._wall - job.due_at(occurrence) < RECLAIM_WINDOW:
            return False
        value = self._value_of(job, occurrence)
        path = path_from(job, occurrence, done=True)
        eviction_time = self._settings.stop_timeout + 2 * REUSE_DELAY
        is_late = self._wall + path > value.deadline
        return is_late and self._wall + path + eviction_time < value.worthless_at

    def loss_of_eviction(self, job: Job, runs: Sequence[Run], preemptions: int) -> EvictionLoss:
        """
        Return what the eviction of runs of one step costs their job's caller.

        :param runs: one run, or all members of a gang.
        :param preemptions: how often they were preempted before.
        """
        step = job.work.steps[runs[0].task.step]
        lost_seconds = max(self.lost_seconds(run, step.is_checkpointable) for run in runs)
        stop_seconds = self._settings.stop_timeout + REUSE_DELAY
        remaining = max(0.0, *(run.remaining(self._now) for run in runs))
        end = self._wall + remaining + duration_after(job, runs[0].task.step)
        value = self._value_of(job, runs[0].task.occurrence)
        wait = REQUEUE_WAIT * (1 + preemptions)
        wasted_work = sum(
            core_equivalents(run.needs)
            * (self.lost_seconds(run, step.is_checkpointable) + stop_seconds)
            for run in runs
        )
        return EvictionLoss(
            value.at(end) - value.at(end + lost_seconds + stop_seconds + wait),
            self._recent.value_per_core_second * wasted_work * (1 + preemptions),
        )

    def _value_of(self, job: Job, occurrence: Occurrence) -> JobValue:
        """Return the value of an occurrence; many victims belong to the same job."""
        key = (job.id, occurrence)
        if key not in self._values_by_occurrence:
            self._values_by_occurrence[key] = value_of(job, occurrence, self._recent)
        return self._values_by_occurrence[key]

    def lost_seconds(self, run: Run, has_checkpoints: bool) -> Seconds:
        """Return the seconds of work that a run loses if it is stopped now."""
        if not has_checkpoints:
            return Seconds(self._now - run.started_at)
        # A run writes a checkpoint when it is stopped.
        return self._settings.restore_time
