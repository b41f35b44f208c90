"""
bench.domain_load
~~~~~~~~~~~~~~~~~

Seeded traffic for a scheduling domain: three kinds of jobs like those of the users' sites, with the
same spread of sizes, durations and estimates.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from bulrushhollow_core.domain import Resources, Step, Work
from bulrushhollow_core.ids import JobId, Seconds

ACCELERATORS = (1, 2, 4, 8, 8)
"""Accelerators of a task of a usual or urgent job; each entry is equally likely."""

RACK_ACCELERATORS = 64
"""Most accelerators of a gang that asks for one rack."""

RACK_CORES = 500_000
"""Most thousandths of a core of a gang that asks for one rack."""

ESTIMATE_ERROR = 0.5
"""Largest relative error of an estimate."""


class JobKind(msgspec.Struct, frozen=True):
    """
    A kind of job with the distributions of its size, duration and value.

    :param jobs_per_second: jobs per second on 176 workers.
    :param mean_tasks: mean number of tasks of a step.
    :param mean_work: mean duration of a task in seconds.
    :param gang_share: share of the jobs whose tasks run only together.
    :param same_rack_share: share of the gangs that ask for one rack.
    :param checkpointable_share: share of the jobs that keep checkpoints.
    :param data_rack_share: share of the jobs whose data is in one rack.
    :param slack: factor on the longest chain of work in a job's objective.
    :param allowance: seconds that are added to the objective.
    :param on_time_credit: credit of a job of mean size that is on time.
    :param late_credit: credit of a job of mean size that is late.
    :param mean_steps: 1 plus the share of the jobs that have a second step.
    :param work_spread: largest relative deviation of a task's duration within its step.
    """

    name: str
    urgency: int
    jobs_per_second: float
    mean_tasks: float
    mean_work: float
    needs: Resources
    accelerators: tuple[int, ...]
    gang_share: float
    same_rack_share: float
    checkpointable_share: float
    data_rack_share: float
    slack: float
    allowance: float
    max_attempts: int
    on_time_credit: float
    late_credit: float
    max_tasks: int
    mean_steps: float = 1.0
    work_spread: float = 0.2


USUAL = JobKind(
    "usual",
    1,
    1.08,
    13.0,
    6.8,
    Resources(26_000, 75_000, 0),
    ACCELERATORS,
    1.0,
    0.6,
    0.45,
    0.0,
    3.0,
    1.0,
    3,
    3.0,
    0.9,
    28,
)

URGENT = JobKind(
    "urgent",
    0,
    2.93,
    5.4,
    2.5,
    Resources(7_500, 39_000, 0),
    ACCELERATORS,
    1.0,
    0.8,
    0.0,
    0.0,
    1.5,
    0.3,
    3,
    4.0,
    0.8,
    16,
)

LATER = JobKind(
    "later",
    2,
    0.851,
    39.0,
    7.6,
    Resources(5_600, 29_000, 0),
    (1,),
    0.0,
    0.0,
    0.45,
    0.3,
    3.0,
    3.0,
    2,
    1.0,
    0.3,
    150,
    mean_steps=1.3,
)

KINDS = (USUAL, URGENT, LATER)


class Burst(msgspec.Struct, frozen=True):
    """
    A period with a higher arrival rate of one kind of job.

    :param at: start in seconds.
    :param duration: length in seconds.
    :param factor: factor on the usual rate.
    """

    kind: str
    at: float
    duration: float
    factor: float


class Arrival(msgspec.Struct, frozen=True):
    """
    A job and the time at which it is submitted.

    :param durations: seconds of work of each task, by step.
    :param objective: seconds from submission within which the job is on time.
    :param credit: credit that the job earns if it is on time.
    :param workspace: number of the workspace that submits the job.
    """

    at: float
    job: JobId
    kind: JobKind
    work: Work
    durations: list[list[float]]
    objective: float
    credit: float
    workspace: int


def arrivals(
    seed: int,
    seconds: float,
    traffic_factor: float,
    bursts: list[Burst],
    racks: list[str],
    workspaces: int,
) -> Iterator[Arrival]:
    """
    Yield the jobs of one run in the order of their arrival.

    :param traffic_factor: factor on the traffic of 176 workers.
    """
    rng = random.Random(seed)
    jobs = [
        _make_arrival(at, kind, rng, racks, rng.randrange(workspaces))
        for kind in KINDS
        for at in _arrival_times(kind, seconds, traffic_factor, bursts, rng)
    ]
    yield from sorted(jobs, key=lambda arrival: arrival.at)


def _arrival_times(
    kind: JobKind, seconds: float, traffic_factor: float, bursts: list[Burst], rng: random.Random
) -> Iterator[float]:
    now = 0.0
    while True:
        factor = traffic_factor
        for burst in bursts:
            if burst.kind == kind.name and burst.at <= now < burst.at + burst.duration:
                factor *= burst.factor
        now += rng.expovariate(kind.jobs_per_second * factor)
        if now >= seconds:
            return
        yield now


def _make_arrival(
    at: float, kind: JobKind, rng: random.Random, racks: list[str], workspace: int
) -> Arrival:
    is_checkpointable = rng.random() < kind.checkpointable_share
    is_gang = rng.random() < kind.gang_share
    same_rack = is_gang and rng.random() < kind.same_rack_share
    data_rack = rng.choice(racks) if rng.random() < kind.data_rack_share else ""
    step_count = 1 + (rng.random() < kind.mean_steps - 1)
    steps = []
    durations = []
    for number in range(step_count):
        count = max(1, min(kind.max_tasks, round(_draw_lognormal(kind.mean_tasks, 0.8, rng))))
        work = min(1.6 * kind.mean_work, _draw_lognormal(kind.mean_work, 0.3, rng))
        low, high = 1 - kind.work_spread, 1 + kind.work_spread
        tasks = [work * rng.uniform(low, high) for _ in range(count)]
        accelerators = rng.choice(kind.accelerators)
        steps.append(
            Step(
                count=count,
                needs=Resources(kind.needs.cpu, kind.needs.memory, accelerators),
                estimate=Seconds(work * rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)),
                depends_on=(number - 1,) if number else (),
                is_gang=is_gang,
                same_rack=same_rack
                and count * accelerators <= RACK_ACCELERATORS
                and count * kind.needs.cpu <= RACK_CORES,
                data_rack=data_rack,
                is_checkpointable=is_checkpointable,
            )
        )
        durations.append(tasks)
    critical_path = sum(max(tasks) for tasks in durations)
    relative_size = sum(sum(tasks) for tasks in durations) / (kind.mean_tasks * kind.mean_work)
    return Arrival(
        at=at,
        job=JobId(f"{rng.getrandbits(64):016x}"),
        kind=kind,
        work=Work("spec", tuple(steps)),
        durations=durations,
        objective=kind.slack * critical_path + kind.allowance,
        credit=kind.on_time_credit * (0.3 + 0.7 * min(4.0, relative_size)),
        workspace=workspace,
    )


def _draw_lognormal(mean: float, spread: float, rng: random.Random) -> float:
    """
    Return a random value from a log-normal distribution.

    :param mean: the mean of the value itself.
    :param spread: the standard deviation of its logarithm.
    """
    return rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
