"""
bench.policy_sites
~~~~~~~~~~~~~~~~~~

The sites for which traces are generated.
"""

import random

import msgspec

from bench.policy_trace import (
    Kind,
    SitePlan,
    gang,
    job_kind,
    misdeclared,
    rack_of,
    site_configuration,
)
from bulrushhollow_core.ids import DataCentreId, GuaranteeName, RackId
from bulrushhollow_core.models import Adjacency, Guarantee, Rack, Resources, Shape, Urgency

TAMARIN_MEMORY_MB = 32_000
BAJIO_MEMORY_MB = 16_000


def tamarin(seed: int) -> SitePlan:
    """Four data centres with one rack of six workers each; long adjacent jobs, many small ones."""
    rng = random.Random(seed)
    memory = TAMARIN_MEMORY_MB
    model = gang(4, 8, memory, Adjacency.RACK)
    pair = gang(2, 8, memory, Adjacency.RACK)
    kinds = (
        job_kind("grip-model", "atlas", model, 0.30, 5_400.0, 0.8, declared=misdeclared(rng)),
        job_kind(
            "grip-urgent",
            "atlas",
            pair,
            0.06,
            1_800.0,
            0.6,
            urgency=Urgency.URGENT,
            guarantee="grip",
            declared=misdeclared(rng),
        ),
        job_kind(
            "tune",
            "basalt",
            gang(1, 8, memory, Adjacency.WORKER),
            0.22,
            2_400.0,
            1.0,
            declared=misdeclared(rng),
        ),
        job_kind(
            "trace",
            "crews",
            gang(1, 1, memory, Adjacency.WORKER),
            0.14,
            420.0,
            1.3,
            declared=misdeclared(rng),
        ),
        job_kind(
            "stitch",
            "crews",
            gang(1, 2, memory, Adjacency.WORKER),
            0.10,
            900.0,
            1.2,
            checkpointable=False,
            declared=misdeclared(rng),
        ),
        job_kind(
            "invoice",
            "basalt",
            gang(1, 1, memory, Adjacency.WORKER),
            0.03,
            300.0,
            0.8,
            idempotent=False,
            checkpointable=False,
            declared=misdeclared(rng),
        ),
        job_kind(
            "archive",
            "survey",
            gang(1, 4, memory, Adjacency.WORKER),
            0.15,
            3_000.0,
            1.0,
            urgency=Urgency.OVERNIGHT,
            declared=misdeclared(rng),
        ),
    )
    guarantees = {
        "atlas": (Guarantee(GuaranteeName("grip"), DataCentreId("north"), pair, 2),),
        "basalt": (
            Guarantee(
                GuaranteeName("tune"),
                DataCentreId("south"),
                gang(1, 8, memory, Adjacency.WORKER),
                2,
            ),
        ),
    }
    centres = {name: rack_of(6, 8, memory) for name in ("north", "south", "east", "west")}
    return SitePlan(site_configuration(kinds, guarantees, centres), kinds, 0.80, 24.0)


def bajio(seed: int) -> SitePlan:
    """Three data centres with one rack of eight workers each; label runs, forecasts, planning."""
    rng = random.Random(seed)
    memory = BAJIO_MEMORY_MB
    label = gang(1, 1, memory, Adjacency.WORKER)
    plan = gang(6, 8, memory, Adjacency.RACK)
    kinds = (
        job_kind(
            "label",
            "shops",
            label,
            0.01,
            12.0,
            0.6,
            urgency=Urgency.URGENT,
            guarantee="label",
            declared=misdeclared(rng),
        ),
        job_kind("planning", "kitchen", plan, 0.30, 7_200.0, 0.7, declared=misdeclared(rng)),
        job_kind(
            "forecast",
            "stalls",
            gang(1, 2, memory, Adjacency.WORKER),
            0.34,
            1_500.0,
            1.2,
            urgency=Urgency.OVERNIGHT,
            declared=misdeclared(rng),
        ),
        job_kind(
            "restock",
            "stalls",
            gang(1, 1, memory, Adjacency.WORKER),
            0.10,
            600.0,
            1.2,
            checkpointable=False,
            declared=misdeclared(rng),
        ),
        job_kind(
            "order",
            "shops",
            gang(1, 1, memory, Adjacency.WORKER),
            0.05,
            240.0,
            0.8,
            idempotent=False,
            checkpointable=False,
            declared=misdeclared(rng),
        ),
        job_kind(
            "recipe",
            "kitchen",
            gang(1, 4, memory, Adjacency.WORKER),
            0.20,
            2_400.0,
            1.0,
            declared=misdeclared(rng),
        ),
    )
    guarantees = {
        "shops": (Guarantee(GuaranteeName("label"), DataCentreId("leon"), label, 8),),
        "kitchen": (
            Guarantee(
                GuaranteeName("recipe"),
                DataCentreId("celaya"),
                gang(1, 4, memory, Adjacency.WORKER),
                4,
            ),
        ),
    }
    centres = {name: rack_of(8, 8, memory) for name in ("leon", "celaya", "irapuato")}
    return SitePlan(site_configuration(kinds, guarantees, centres), kinds, 0.80, 24.0)


TARGET_JOBS_PER_HOUR = 2_200 / 24
TARGET_TEAMS = 630


def target(seed: int) -> SitePlan:
    """Eight data centres, 2,900 workers with 5,600 accelerators, 630 workspaces."""
    rng = random.Random(seed)
    shapes = (
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(64, Resources(1, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(16, Resources(1, 6, 16_000), Adjacency.RACK),
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(4, Resources(1, 6, 16_000), Adjacency.RACK),
    )
    names = [f"d{number}" for number in range(8)]
    base = Shape(4, Resources(1, 6, 16_000), Adjacency.RACK)
    guarantees: dict[str, tuple[Guarantee, ...]] = {}
    kinds: list[Kind] = []
    for number in range(TARGET_TEAMS):
        team = f"team{number}"
        home = DataCentreId(names[number % 8])
        claims = number % 6 == 5
        if claims:
            guarantees[team] = (Guarantee(GuaranteeName("base"), home, base, 1),)
        kind = job_kind(
            f"job{number}",
            team,
            shapes[number % 6],
            0.0,
            14_000.0,
            0.8,
            checkpointable=number % 4 > 0,
            urgency=Urgency.URGENT if claims else Urgency.NORMAL,
            guarantee="base" if claims else None,
            declared=misdeclared(rng),
        )
        per_hour = TARGET_JOBS_PER_HOUR / TARGET_TEAMS
        kinds.append(msgspec.structs.replace(kind, per_hour=per_hour))
    worker = Resources(2, 64, 256_000)
    rack_numbers = {name: 21 if number < 1 else 20 for number, name in enumerate(names)}
    centres = {
        name: tuple(Rack(RackId(f"r{rack}"), 18, worker) for rack in range(racks))
        for name, racks in rack_numbers.items()
    }
    return SitePlan(site_configuration(tuple(kinds), guarantees, centres), tuple(kinds), 0.7, 16.0)


PLANS_BY_SITE = {"tamarin": tamarin, "bajio": bajio, "target": target}
