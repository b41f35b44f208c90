"""
bench.domain_load
~~~~~~~~~~~~~~~~~

Seeded traffic for a scheduling domain: three kinds of jobs like those of the users' sites, with
sizes, work and estimates that are as uneven as theirs.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from bulrushhollow_core.domain import Resources, Step, Work
from bulrushhollow_core.ids import JobId, Seconds

ACCELERATORS = (1, 2, 4, 8, 8)
"""Accelerators that a task of a large or urgent job takes, each as likely."""

RACK_ACCELERATORS = 64
"""Accelerators beyond which a gang does not ask for one rack."""

RACK_CORES = 500_000
"""Thousandths of a core beyond which it doesn't either."""

ESTIMATE_ERROR = 0.5
"""Part by which an estimate may be off."""


class Kind(msgspec.Struct, frozen=True):
    """
    One kind of jobs.

    :param per_second: jobs a second on 176 workers.
    :param tasks: mean number of tasks of a step.
    :param work: mean seconds of a task's work.
    :param gangs: share of the jobs whose tasks work only together.
    :param same_rack: share of the gangs that want one rack.
    :param saves: share of the jobs that keep checkpoints.
    :param near_data: share of the jobs whose data lies in one rack.
    :param worth: credit of a usual job that is on time.
    :param late_worth: credit of one that is late.
    """

    name: str
    urgency: int
    per_second: float
    tasks: float
    work: float
    needs: Resources
    accelerators: tuple[int, ...]
    gangs: float
    same_rack: float
    saves: float
    near_data: float
    slack: float
    allowance: float
    attempts: int
    worth: float
    late_worth: float
    most_tasks: int
    steps: float = 1.0
    unevenness: float = 0.2


LARGE = Kind(
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

URGENT = Kind(
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

BACKGROUND = Kind(
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
    steps=1.3,
)

KINDS = (LARGE, URGENT, BACKGROUND)


class Burst(msgspec.Struct, frozen=True):
    """
    More jobs of one kind for a while.

    :param factor: times the usual rate.
    """

    kind: str
    at: float
    length: float
    factor: float


class Arrival(msgspec.Struct, frozen=True):
    """
    A job that is submitted.

    :param durations: seconds of work of each task of each step.
    :param objective: seconds within which it is on time.
    :param credit: what it earns then.
    """

    at: float
    job: JobId
    kind: Kind
    work: Work
    durations: list[list[float]]
    objective: float
    credit: float
    workspace: int


def arrivals(
    seed: int, seconds: float, scale: float, bursts: list[Burst], racks: list[str], workspaces: int
) -> Iterator[Arrival]:
    """
    Return the jobs of one run, by time.

    :param scale: times the traffic of 176 workers.
    """
    rng = random.Random(seed)
    found = [
        _arrival(at, kind, rng, racks, rng.randrange(workspaces))
        for kind in KINDS
        for at in _times(kind, seconds, scale, bursts, rng)
    ]
    yield from sorted(found, key=lambda each: each.at)


def _times(
    kind: Kind, seconds: float, scale: float, bursts: list[Burst], rng: random.Random
) -> Iterator[float]:
    now = 0.0
    while True:
        factor = scale
        for burst in bursts:
            if burst.kind == kind.name and burst.at <= now < burst.at + burst.length:
                factor *= burst.factor
        now += rng.expovariate(kind.per_second * factor)
        if now >= seconds:
            return
        yield now


def _arrival(
    at: float, kind: Kind, rng: random.Random, racks: list[str], workspace: int
) -> Arrival:
    saves = rng.random() < kind.saves
    is_gang = rng.random() < kind.gangs
    same_rack = is_gang and rng.random() < kind.same_rack
    data_rack = rng.choice(racks) if rng.random() < kind.near_data else ""
    count_of_steps = 1 + (rng.random() < kind.steps - 1)
    steps = []
    durations = []
    for number in range(count_of_steps):
        count = max(1, min(kind.most_tasks, round(_spread(kind.tasks, 0.8, rng))))
        work = min(1.6 * kind.work, _spread(kind.work, 0.3, rng))
        low, high = 1 - kind.unevenness, 1 + kind.unevenness
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
                is_checkpointable=saves,
            )
        )
        durations.append(tasks)
    chain = sum(max(tasks) for tasks in durations)
    size = sum(sum(tasks) for tasks in durations) / (kind.tasks * kind.work)
    return Arrival(
        at=at,
        job=JobId(f"{rng.getrandbits(64):016x}"),
        kind=kind,
        work=Work("spec", tuple(steps)),
        durations=durations,
        objective=kind.slack * chain + kind.allowance,
        credit=kind.worth * (0.3 + 0.7 * min(4.0, size)),
        workspace=workspace,
    )


def _spread(mean: float, spread: float, rng: random.Random) -> float:
    """Return a value whose logarithm is spread evenly round a mean."""
    return rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
