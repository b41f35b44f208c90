"""
bench.policy_measures
~~~~~~~~~~~~~~~~~~~~~

Computes the figures that are compared between policies.
"""

import itertools
from collections.abc import Iterable

import msgspec

from bench.policy_trace import Trace, capacity_of, is_large
from bench.report import percentile
from bulrushhollow_core.ids import JobId, RackId
from bulrushhollow_core.models import Adjacency, Configuration, Profile, Resources, Shape, Urgency


class FreeWorker(msgspec.Struct, frozen=True):
    """The free resources of one worker."""

    rack: RackId
    free: Resources


class Integrals(msgspec.Struct):
    """
    Quantities integrated over virtual time.

    :param seconds: length of the whole interval.
    :param busy: accelerators in use.
    :param free: free accelerators.
    :param stranded: free accelerators that no gang of the largest shape can use.
    :param fragmented: stranded accelerators as a share of the free ones.
    """

    seconds: float = 0.0
    busy: float = 0.0
    free: float = 0.0
    stranded: float = 0.0
    fragmented: float = 0.0

    def add(self, workers: Iterable[FreeWorker], shape: Shape, busy: int, seconds: float) -> None:
        """Add an interval in which nothing changes."""
        free_workers = list(workers)
        free = sum(worker.free.accelerators for worker in free_workers)
        size = shape.tasks * shape.per_task.accelerators
        stranded = free - usable_gangs(free_workers, shape) * size
        self.seconds += seconds
        self.busy += busy * seconds
        self.free += free * seconds
        self.stranded += stranded * seconds
        self.fragmented += seconds * stranded / free if free else 0.0


class Outcome(msgspec.Struct):
    """
    The result of replaying a trace under one policy.

    :param started_at_by_job: first moment at which all tasks of a job ran.
    :param succeeded_at_by_job: moment at which a job succeeded.
    :param claims: urgent jobs that could claim a free unit of their guarantee on arrival.
    :param outage_work: accelerator-seconds in use while a data centre was out, or shortly after.
    :param wasted: accelerator-seconds of runs whose progress was lost.
    :param slowest_reclaim: longest time in seconds from a claim to the release of its workers.
    """

    started_at_by_job: dict[JobId, float] = {}
    succeeded_at_by_job: dict[JobId, float] = {}
    claims: set[JobId] = set()
    integrals: Integrals = msgspec.field(default_factory=Integrals)
    outage_work: float = 0.0
    wasted: float = 0.0
    decisions_per_second: float = 0.0
    slowest_reclaim: float = 0.0
    violations: int = 0
    violation_kinds: tuple[str, ...] = ()


class Figure(msgspec.Struct, frozen=True):
    """A measured value with its metric and unit."""

    metric: str
    value: float
    unit: str


def usable_gangs(workers: list[FreeWorker], shape: Shape) -> int:
    """Return how many gangs of a shape fit into the free resources at the same time."""
    rack_tasks = [(worker.rack, _tasks_that_fit(worker.free, shape.per_task)) for worker in workers]
    if shape.adjacency is Adjacency.WORKER:
        return sum(tasks // shape.tasks for _, tasks in rack_tasks)
    if shape.adjacency is Adjacency.DATA_CENTRE:
        data_centres = itertools.groupby(sorted(rack_tasks), key=lambda item: item[0].split("-")[0])
        return sum(sum(tasks for _, tasks in group) // shape.tasks for _, group in data_centres)
    racks = itertools.groupby(sorted(rack_tasks), key=lambda item: item[0])
    return sum(sum(tasks for _, tasks in group) // shape.tasks for _, group in racks)


def _tasks_that_fit(free: Resources, need: Resources) -> int:
    pairs = (
        (free.accelerators, need.accelerators),
        (free.cores, need.cores),
        (free.memory_mb, need.memory_mb),
    )
    return min((available // required for available, required in pairs if required), default=0)


def countable_jobs(trace: Trace) -> list[JobId]:
    """Return the jobs whose completion is measured: those neither cancelled nor always failing."""
    return [job.job for job in trace.jobs if not job.fails and job.cancel_at is None]


def figures(trace: Trace, outcome: Outcome, counted: set[JobId]) -> list[Figure]:
    """
    Return all figures of one policy.

    :param counted: jobs that succeeded under every policy.
    """
    profiles = trace.configuration.profiles_by_name
    jobs = [job for job in trace.jobs if job.job in counted]
    completion_by_job = {job.job: outcome.succeeded_at_by_job[job.job] - job.at for job in jobs}
    waits_by_job = {job.job: outcome.started_at_by_job[job.job] - job.at for job in jobs}
    large_completions = [
        completion_by_job[job.job] for job in jobs if is_large(profiles[job.profile])
    ]
    urgent_waits = [waits_by_job[job.job] for job in jobs if _is_urgent(profiles[job.profile])]
    claim_waits = [waits_by_job[job.job] for job in jobs if job.job in outcome.claims]
    label_completions = [completion_by_job[job.job] for job in jobs if job.profile == "label"]
    integrals = outcome.integrals
    capacity = capacity_of(trace.configuration)
    return [
        Figure("completion_mean", _mean(list(completion_by_job.values())), "s"),
        Figure("completion_p95", _percentile(list(completion_by_job.values()), 0.95), "s"),
        Figure("large_completion_mean", _mean(large_completions), "s"),
        Figure("large_completion_p95", _percentile(large_completions, 0.95), "s"),
        Figure("fragmentation", integrals.stranded / max(1.0, integrals.free), "share"),
        Figure("fragmentation_by_time", integrals.fragmented / integrals.seconds, "share"),
        Figure("stranded", integrals.stranded / (capacity * integrals.seconds), "share"),
        Figure("utilisation", integrals.busy / (capacity * integrals.seconds), "share"),
        Figure("reclaim_max", outcome.slowest_reclaim, "s"),
        Figure("urgent_start_p99", _percentile(urgent_waits, 0.99), "s"),
        Figure("urgent_start_max", max(urgent_waits, default=0.0), "s"),
        Figure("claim_start_max", max(claim_waits, default=0.0), "s"),
        Figure("label_run_p99", _percentile(label_completions, 0.99), "s"),
        Figure("change_work", outcome.outage_work / 3_600.0, "accelerator-hours"),
        Figure("wasted", outcome.wasted / 3_600.0, "accelerator-hours"),
        Figure("decisions_per_second", outcome.decisions_per_second, "1/s"),
        Figure("jobs_counted", len(jobs), "jobs"),
        Figure("jobs_unfinished", _unfinished(trace, outcome), "jobs"),
        Figure("violations", outcome.violations, "count"),
    ]


def _unfinished(trace: Trace, outcome: Outcome) -> int:
    return sum(job not in outcome.succeeded_at_by_job for job in countable_jobs(trace))


def _is_urgent(profile: Profile) -> bool:
    return profile.urgency is Urgency.URGENT


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _percentile(values: list[float], fraction: float) -> float:
    return percentile(values, fraction) if values else 0.0


def largest_shape(configuration: Configuration) -> Shape:
    """Return the shape with the most accelerators of all profiles."""
    shapes = (profile.shape for profile in configuration.profiles_by_name.values())
    return max(shapes, key=lambda shape: shape.tasks * shape.per_task.accelerators)
