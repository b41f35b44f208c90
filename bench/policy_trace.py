"""
bench.policy_trace
~~~~~~~~~~~~~~~~~~

Generates traces of jobs and faults: heavy-tailed run times, declared run times that are wrong by a
factor of up to ten either way, bursts, waves of cancellations, faulty workers, and a data centre
that is taken out of service and brought back.
"""

import itertools
import math
import random
from enum import Enum

import msgspec

from bulrushhollow_core.ids import (
    DataCentreId,
    GuaranteeName,
    JobId,
    ProfileName,
    RackId,
    WorkspaceId,
)
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Guarantee,
    Profile,
    Rack,
    Resources,
    Shape,
    Urgency,
    WorkKind,
    Workspace,
)

HOUR = 3_600.0
MAX_DECLARATION_FACTOR = 10.0
"""Largest factor between a declared run time and the median, either way."""

LARGE_GANG_ACCELERATORS = 16
"""Smallest number of accelerators of a large gang; a gang of one task is never large."""


class Fault(Enum):
    """
    A fault or an operator's action in a trace.

    CRASH and CUT_OFF concern a worker until its RETURN; FAIL_EVERYTHING makes all tasks on a worker
    fail until MEND. OUT and IN take a data centre out of service and back. TAKE_OVER moves its
    lease to another instance.
    """

    CRASH = "crash"
    CUT_OFF = "cut_off"
    RETURN = "return"
    FAIL_EVERYTHING = "fail_everything"
    MEND = "mend"
    OUT = "out"
    IN = "in"
    TAKE_OVER = "take_over"


class TraceJob(msgspec.Struct, frozen=True):
    """
    A job of a trace.

    :param at: when it is submitted.
    :param run: its true run time in seconds.
    :param fails: whether it fails on every worker.
    :param checkpoint_fails: whether its checkpoints fail.
    :param cancel_at: when its caller cancels it; None if never.
    """

    job: JobId
    profile: ProfileName
    at: float
    run: float
    fails: bool = False
    checkpoint_fails: bool = False
    cancel_at: float | None = None


class TraceFault(msgspec.Struct, frozen=True):
    """A fault of a trace; ``worker`` is the worker's index within the data centre."""

    at: float
    fault: Fault
    data_centre: DataCentreId
    worker: int = 0


class Trace(msgspec.Struct, frozen=True):
    """
    The jobs and faults to replay on a site.

    :param end: end of the arrivals, in seconds.
    """

    configuration: Configuration
    jobs: tuple[TraceJob, ...]
    faults: tuple[TraceFault, ...]
    end: float


class JobKind(msgspec.Struct, frozen=True):
    """
    Jobs of one profile in a generated trace, with log-normal run times.

    :param share: share of the accelerator time of all jobs.
    :param median: median of the run time in seconds.
    :param sigma: standard deviation of the logarithm of the run time.
    :param per_hour: jobs that arrive per hour; None to derive it from the share.
    """

    profile: Profile
    share: float
    median: float
    sigma: float
    per_hour: float | None = None

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators of the gang."""
        return self.profile.shape.tasks * self.profile.shape.per_task.accelerators

    @property
    def mean_work(self) -> float:
        """Return the mean accelerator-seconds of a job."""
        return self.accelerators * self.median * math.exp(self.sigma**2 / 2)


class SitePlan(msgspec.Struct, frozen=True):
    """
    The parameters from which a trace is generated.

    :param load: offered load as a share of the capacity.
    :param hours: hours in which jobs arrive.
    """

    configuration: Configuration
    kinds: tuple[JobKind, ...]
    load: float
    hours: float


def generate(plan: SitePlan, seed: int) -> Trace:
    """Return the trace that a plan and a seed determine."""
    rng = random.Random(seed)
    end = plan.hours * HOUR
    jobs = sorted(
        itertools.chain.from_iterable(_generate_jobs(plan, kind, end, rng) for kind in plan.kinds),
        key=lambda job: job.at,
    )
    cancelled = _with_cancel_waves(jobs, end, rng)
    return Trace(plan.configuration, tuple(cancelled), tuple(_generate_faults(plan, end, rng)), end)


def without_faults(trace: Trace) -> Trace:
    """Return the trace without faults, failing jobs and failing checkpoints."""
    jobs = (msgspec.structs.replace(job, fails=False, checkpoint_fails=False) for job in trace.jobs)
    return msgspec.structs.replace(trace, jobs=tuple(jobs), faults=())


def is_large(profile: Profile) -> bool:
    """Return whether the gangs of a profile count as large."""
    shape = profile.shape
    return shape.tasks > 1 and shape.tasks * shape.per_task.accelerators >= LARGE_GANG_ACCELERATORS


def capacity_of(configuration: Configuration) -> int:
    """Return the number of declared accelerators in all data centres."""
    return sum(
        rack.workers * rack.per_worker.accelerators
        for data_centre in configuration.data_centres_by_id.values()
        for rack in data_centre.racks
    )


def _generate_jobs(plan: SitePlan, kind: JobKind, end: float, rng: random.Random) -> list[TraceJob]:
    work = capacity_of(plan.configuration) * end * plan.load * kind.share
    per_hour = kind.per_hour
    count = round(work / kind.mean_work if per_hour is None else per_hour * plan.hours)
    count = max(1, count)
    jobs: list[TraceJob] = []
    while len(jobs) < count:
        at = rng.uniform(0.0, end)
        burst = rng.choice((1, 1, 1, 1, 2, 3, 8))
        for _ in range(min(burst, count - len(jobs))):
            run = min(kind.median * rng.lognormvariate(0.0, kind.sigma), kind.profile.run_limit / 2)
            jobs.append(
                TraceJob(
                    job=JobId(f"{kind.profile.name}-{len(jobs)}"),
                    profile=kind.profile.name,
                    at=at + rng.uniform(0.0, 20.0),
                    run=max(2.0, run),
                    fails=rng.random() < 0.005,
                    checkpoint_fails=rng.random() < 0.03,
                )
            )
    return jobs


def _with_cancel_waves(jobs: list[TraceJob], end: float, rng: random.Random) -> list[TraceJob]:
    waves = [rng.uniform(0.2, 0.9) * end for _ in range(3)]
    return [
        (
            msgspec.structs.replace(job, cancel_at=wave)
            if (wave := _cancel_wave_of(job, waves)) is not None and rng.random() < 0.15
            else job
        )
        for job in jobs
    ]


def _cancel_wave_of(job: TraceJob, waves: list[float]) -> float | None:
    return next((wave for wave in waves if job.at <= wave <= job.at + 0.5 * HOUR), None)


def _generate_faults(plan: SitePlan, end: float, rng: random.Random) -> list[TraceFault]:
    data_centres = list(plan.configuration.data_centres_by_id.values())
    workers_by_data_centre = {dc.id: sum(rack.workers for rack in dc.racks) for dc in data_centres}
    faults: list[TraceFault] = []
    for _ in range(2):
        data_centre = rng.choice(data_centres).id
        worker = rng.randrange(workers_by_data_centre[data_centre])
        at = rng.uniform(0.1, 0.6) * end
        faults.append(TraceFault(at, Fault.FAIL_EVERYTHING, data_centre, worker))
        faults.append(TraceFault(at + 3 * HOUR, Fault.MEND, data_centre, worker))
    for fault in (Fault.CRASH, Fault.CUT_OFF):
        data_centre = rng.choice(data_centres).id
        worker = rng.randrange(workers_by_data_centre[data_centre])
        at = rng.uniform(0.1, 0.8) * end
        faults.append(TraceFault(at, fault, data_centre, worker))
        faults.append(TraceFault(at + 0.5 * HOUR, Fault.RETURN, data_centre, worker))
    faults.append(
        TraceFault(rng.uniform(0.1, 0.9) * end, Fault.TAKE_OVER, rng.choice(data_centres).id)
    )
    out_data_centre = rng.choice(data_centres).id
    at = rng.uniform(0.3, 0.6) * end
    faults.append(TraceFault(at, Fault.OUT, out_data_centre))
    faults.append(TraceFault(at + 2 * HOUR, Fault.IN, out_data_centre))
    return sorted(faults, key=lambda fault: fault.at)


def job_kind(
    name: str,
    workspace: str,
    shape: Shape,
    share: float,
    median: float,
    sigma: float,
    urgency: Urgency = Urgency.NORMAL,
    idempotent: bool = True,
    checkpointable: bool = True,
    guarantee: str | None = None,
    declaration_factor: float = 1.0,
) -> JobKind:
    """
    Return a kind of jobs, with a profile for it.

    :param declaration_factor: declared run time divided by the median.
    """
    profile = Profile(
        name=ProfileName(name),
        kind=WorkKind.JOB,
        workspace=WorkspaceId(workspace),
        urgency=urgency,
        idempotent=idempotent,
        shape=shape,
        guarantee=None if guarantee is None else GuaranteeName(guarantee),
        checkpointable=checkpointable,
        run_limit=max(200.0 * median, 600.0),
        expected_run=median * declaration_factor,
    )
    return JobKind(profile, share, median, sigma)


def site_configuration(
    kinds: tuple[JobKind, ...],
    guarantees: dict[str, tuple[Guarantee, ...]],
    racks_by_data_centre: dict[str, tuple[Rack, ...]],
) -> Configuration:
    """Return the configuration with the kinds' profiles and workspaces and the given racks."""
    names = dict.fromkeys(kind.profile.workspace for kind in kinds)
    return Configuration(
        profiles_by_name={kind.profile.name: kind.profile for kind in kinds},
        workspaces_by_id={
            name: Workspace(name, guarantees=guarantees.get(name, ())) for name in names
        },
        data_centres_by_id={
            DataCentreId(name): DataCentre(DataCentreId(name), racks=racks)
            for name, racks in racks_by_data_centre.items()
        },
    )


def random_declaration_factor(rng: random.Random) -> float:
    """Return a random factor between a declared run time and the median."""
    return MAX_DECLARATION_FACTOR ** rng.uniform(-1.0, 1.0)


def gang_shape(tasks: int, accelerators: int, memory_mb: int, adjacency: Adjacency) -> Shape:
    """Return a shape whose tasks need 8 cores and ``memory_mb`` for each accelerator."""
    per_task = Resources(accelerators, accelerators * 8, accelerators * memory_mb)
    return Shape(tasks, per_task, adjacency)


def single_rack(workers: int, accelerators: int, memory_mb: int) -> tuple[Rack, ...]:
    """Return one rack of equal workers with 8 cores and ``memory_mb`` for each accelerator."""
    capacity = Resources(accelerators, accelerators * 8, accelerators * memory_mb)
    return (Rack(RackId("r1"), workers, capacity),)
