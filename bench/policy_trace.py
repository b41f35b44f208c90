"""
bench.policy_trace
~~~~~~~~~~~~~~~~~~

Generates traces of jobs and faults: heavy-tailed run times, declarations that are off by up to
ten times either way, bursts, waves of cancellations, bad workers, and a data centre that is taken
out and brought back.
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
MISDECLARED = 10.0
"""Declared run times are off by up to this factor either way."""

LARGE = 16
"""A gang of more than one task counts as large from this many accelerators on."""


class Fault(Enum):
    """What happens to a worker or a data centre."""

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
    One job of a trace.

    :param run: seconds that it really runs.
    :param fails: whether it fails wherever it runs.
    :param cancel_at: when its caller cancels it, if ever.
    """

    job: JobId
    profile: ProfileName
    at: float
    run: float
    fails: bool = False
    checkpoint_fails: bool = False
    cancel_at: float | None = None


class TraceFault(msgspec.Struct, frozen=True):
    """One fault; ``worker`` is a number within the data centre."""

    at: float
    fault: Fault
    data_centre: DataCentreId
    worker: int = 0


class Trace(msgspec.Struct, frozen=True):
    """
    Everything that happens to one site.

    :param end: when the last job arrives.
    """

    configuration: Configuration
    jobs: tuple[TraceJob, ...]
    faults: tuple[TraceFault, ...]
    end: float


class Kind(msgspec.Struct, frozen=True):
    """
    A kind of work in a generated trace.

    :param share: share of the accelerator time of all work.
    :param median: median of the run time in seconds.
    :param sigma: standard deviation of its logarithm.
    :param per_hour: jobs that arrive in an hour; None if the share decides.
    """

    profile: Profile
    share: float
    median: float
    sigma: float
    per_hour: float | None = None

    @property
    def accelerators(self) -> int:
        """Return the accelerators of the whole gang."""
        return self.profile.shape.tasks * self.profile.shape.per_task.accelerators

    @property
    def mean_work(self) -> float:
        """Return the mean accelerator-seconds of a job."""
        return self.accelerators * self.median * math.exp(self.sigma**2 / 2)


class SitePlan(msgspec.Struct, frozen=True):
    """
    What a trace is generated from.

    :param load: offered work as a share of the capacity.
    :param hours: length of the arrivals.
    """

    configuration: Configuration
    kinds: tuple[Kind, ...]
    load: float
    hours: float


def generate(plan: SitePlan, seed: int) -> Trace:
    """Return the trace of one seed."""
    rng = random.Random(seed)
    end = plan.hours * HOUR
    jobs = sorted(
        itertools.chain.from_iterable(_jobs_of(plan, kind, end, rng) for kind in plan.kinds),
        key=lambda job: job.at,
    )
    cancelled = _with_cancel_waves(jobs, end, rng)
    return Trace(plan.configuration, tuple(cancelled), tuple(_faults(plan, end, rng)), end)


def without_faults(trace: Trace) -> Trace:
    """Return the same trace with no fault in it."""
    jobs = (msgspec.structs.replace(job, fails=False, checkpoint_fails=False) for job in trace.jobs)
    return msgspec.structs.replace(trace, jobs=tuple(jobs), faults=())


def is_large(profile: Profile) -> bool:
    """Return whether a profile's gangs are large."""
    shape = profile.shape
    return shape.tasks > 1 and shape.tasks * shape.per_task.accelerators >= LARGE


def capacity_of(configuration: Configuration) -> int:
    """Return all declared accelerators."""
    return sum(
        rack.workers * rack.per_worker.accelerators
        for data_centre in configuration.data_centres_by_id.values()
        for rack in data_centre.racks
    )


def _jobs_of(plan: SitePlan, kind: Kind, end: float, rng: random.Random) -> list[TraceJob]:
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
            if (wave := _wave_of(job, waves)) is not None and rng.random() < 0.15
            else job
        )
        for job in jobs
    ]


def _wave_of(job: TraceJob, waves: list[float]) -> float | None:
    return next((wave for wave in waves if job.at <= wave <= job.at + 0.5 * HOUR), None)


def _faults(plan: SitePlan, end: float, rng: random.Random) -> list[TraceFault]:
    centres = list(plan.configuration.data_centres_by_id.values())
    workers = {dc.id: sum(rack.workers for rack in dc.racks) for dc in centres}
    faults: list[TraceFault] = []
    for _ in range(2):
        centre = rng.choice(centres).id
        worker = rng.randrange(workers[centre])
        at = rng.uniform(0.1, 0.6) * end
        faults.append(TraceFault(at, Fault.FAIL_EVERYTHING, centre, worker))
        faults.append(TraceFault(at + 3 * HOUR, Fault.MEND, centre, worker))
    for fault in (Fault.CRASH, Fault.CUT_OFF):
        centre = rng.choice(centres).id
        worker = rng.randrange(workers[centre])
        at = rng.uniform(0.1, 0.8) * end
        faults.append(TraceFault(at, fault, centre, worker))
        faults.append(TraceFault(at + 0.5 * HOUR, Fault.RETURN, centre, worker))
    faults.append(TraceFault(rng.uniform(0.1, 0.9) * end, Fault.TAKE_OVER, rng.choice(centres).id))
    out = rng.choice(centres).id
    at = rng.uniform(0.3, 0.6) * end
    faults.append(TraceFault(at, Fault.OUT, out))
    faults.append(TraceFault(at + 2 * HOUR, Fault.IN, out))
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
    declared: float = 1.0,
) -> Kind:
    """
    Return a kind of jobs.

    :param declared: factor by which the declared run time is off.
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
        expected_run=median * declared,
    )
    return Kind(profile, share, median, sigma)


def site_configuration(
    kinds: tuple[Kind, ...],
    guarantees: dict[str, tuple[Guarantee, ...]],
    centres: dict[str, tuple[Rack, ...]],
) -> Configuration:
    """Return the configuration of a site."""
    names = dict.fromkeys(kind.profile.workspace for kind in kinds)
    return Configuration(
        profiles_by_name={kind.profile.name: kind.profile for kind in kinds},
        workspaces_by_id={
            name: Workspace(name, guarantees=guarantees.get(name, ())) for name in names
        },
        data_centres_by_id={
            DataCentreId(name): DataCentre(DataCentreId(name), racks=racks)
            for name, racks in centres.items()
        },
    )


def misdeclared(rng: random.Random) -> float:
    """Return a factor by which a declaration is off."""
    return MISDECLARED ** rng.uniform(-1.0, 1.0)


def gang(tasks: int, accelerators: int, memory_mb: int, adjacency: Adjacency) -> Shape:
    """Return a shape whose tasks take cores and memory in proportion to accelerators."""
    need = Resources(accelerators, accelerators * 8, accelerators * memory_mb)
    return Shape(tasks, need, adjacency)


def rack_of(workers: int, accelerators: int, memory_mb: int) -> tuple[Rack, ...]:
    """Return one rack."""
    capacity = Resources(accelerators, accelerators * 8, accelerators * memory_mb)
    return (Rack(RackId("r1"), workers, capacity),)
