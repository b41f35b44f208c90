"""
bulrushhollow_core.domain.queueing._recent_work
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The mean work of the recent jobs of each queue. It is computed from the replicated jobs, so every
leader gets the same result.
"""

from collections.abc import Iterable
from itertools import islice
from typing import NamedTuple

from bulrushhollow_core.domain.model import Job, QueueName, core_equivalents
from bulrushhollow_core.domain.replica import DomainState

MAX_RECENT_JOBS = 256
"""Latest jobs that count; some minutes of load, and few enough to sum up at each submission."""


class RecentWork(NamedTuple):
    """
    The work of the latest jobs.

    :param mean_work_by_queue: mean core-seconds of a queue's jobs.
    :param value_per_core_second: lowest mean value of a core-second among the queues; what wasted
        work costs, since the least valuable work is the one that does not run instead.
    """

    mean_work_by_queue: dict[QueueName, float]
    value_per_core_second: float


NO_RECENT_WORK = RecentWork({}, 0.0)
"""Recent work before any job was submitted."""


def work_of(job: Job) -> float:
    """Return the estimated core-seconds of all steps of a job."""
    return sum(core_equivalents(step.needs) * step.estimate * step.count for step in job.work.steps)


def base_value(urgency: int) -> float:
    """Return the value of a job of mean size that ends on time, as the users state it."""
    return {0: 4.0, 1: 3.0}.get(urgency, 1.0)


def summarize(jobs: Iterable[Job]) -> RecentWork:
    """Return a summary of jobs; the work of jobs that have ended is no longer known."""
    works_by_queue: dict[QueueName, list[float]] = {}
    urgency_by_queue: dict[QueueName, int] = {}
    for job in jobs:
        if not job.work.steps:
            continue
        works_by_queue.setdefault(job.queue.name, []).append(work_of(job))
        urgency_by_queue[job.queue.name] = job.queue.urgency
    means = {name: sum(works) / len(works) for name, works in works_by_queue.items()}
    prices = [base_value(urgency_by_queue[name]) / mean for name, mean in means.items() if mean]
    return RecentWork(means, min(prices, default=0.0))


class RecentWorkCache:
    """Keeps the summary of the latest jobs until another job is submitted."""

    def __init__(self) -> None:
        """Start without a summary."""
        self._sequence = -1
        self._recent = NO_RECENT_WORK

    def get(self, state: DomainState) -> RecentWork:
        """Return the summary of the latest jobs that have not ended."""
        jobs = state.active_jobs_by_id
        latest = next(reversed(jobs.values()), None)
        if latest is not None and latest.sequence != self._sequence:
            self._sequence = latest.sequence
            self._recent = summarize(islice(reversed(jobs.values()), MAX_RECENT_JOBS))
        return self._recent
