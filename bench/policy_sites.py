"""
bench.policy_sites
~~~~~~~~~~~~~~~~~~

Defines the sites for which traces are generated, with the jobs that run there.
"""

import random

import msgspec

from bench.policy_trace import (
    JobKind,
    SitePlan,
    gang_shape,
    job_kind,
    random_declaration_factor,
    single_rack,
    site_configuration,
)
from bulrushhollow_core.ids import DataCentreId, GuaranteeName, RackId
from bulrushhollow_core.models import Adjacency, Guarantee, Rack, Resources, Shape, Urgency

TAMARIN_MEMORY_MB = 32_000
BAJIO_MEMORY_MB = 16_000


def tamarin(seed: int) -> SitePlan:
    """Return four data centres of one rack with six workers; long gangs and many small jobs."""
    rng = random.Random(seed)
    memory = TAMARIN_MEMORY_MB
    model = gang_shape(4, 8, memory, Adjacency.RACK)
    pair = gang_shape(2, 8, memory, Adjacency.RACK)
    kinds = (
        job_kind(
            "grip-model",
            "atlas",
            model,
            0.30,
            5_400.0,
            0.8,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "grip-urgent",
            "atlas",
            pair,
            0.06,
            1_800.0,
            0.6,
            urgency=Urgency.URGENT,
            guarantee="grip",
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "tune",
            "basalt",
            gang_shape(1, 8, memory, Adjacency.WORKER),
            0.22,
            2_400.0,
            1.0,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "trace",
            "crews",
            gang_shape(1, 1, memory, Adjacency.WORKER),
            0.14,
            420.0,
            1.3,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "stitch",
            "crews",
            gang_shape(1, 2, memory, Adjacency.WORKER),
            0.10,
            900.0,
            1.2,
            checkpointable=False,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "invoice",
            "basalt",
            gang_shape(1, 1, memory, Adjacency.WORKER),
            0.03,
            300.0,
            0.8,
            idempotent=False,
            checkpointable=False,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "archive",
            "survey",
            gang_shape(1, 4, memory, Adjacency.WORKER),
            0.15,
            3_000.0,
            1.0,
            urgency=Urgency.OVERNIGHT,
            declaration_factor=random_declaration_factor(rng),
        ),
    )
    guarantees = {
        "atlas": (Guarantee(GuaranteeName("grip"), DataCentreId("north"), pair, 2),),
        "basalt": (
            Guarantee(
                GuaranteeName("tune"),
                DataCentreId("south"),
                gang_shape(1, 8, memory, Adjacency.WORKER),
                2,
            ),
        ),
    }
    racks_by_data_centre = {
        name: single_rack(6, 8, memory) for name in ("north", "south", "east", "west")
    }
    return SitePlan(site_configuration(kinds, guarantees, racks_by_data_centre), kinds, 0.80, 24.0)


def bajio(seed: int) -> SitePlan:
    """Return three data centres of one rack with eight workers; labels, forecasts and planning."""
    rng = random.Random(seed)
    memory = BAJIO_MEMORY_MB
    label = gang_shape(1, 1, memory, Adjacency.WORKER)
    plan = gang_shape(6, 8, memory, Adjacency.RACK)
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
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "planning",
            "kitchen",
            plan,
            0.30,
            7_200.0,
            0.7,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "forecast",
            "stalls",
            gang_shape(1, 2, memory, Adjacency.WORKER),
            0.34,
            1_500.0,
            1.2,
            urgency=Urgency.OVERNIGHT,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "restock",
            "stalls",
            gang_shape(1, 1, memory, Adjacency.WORKER),
            0.10,
            600.0,
            1.2,
            checkpointable=False,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "order",
            "shops",
            gang_shape(1, 1, memory, Adjacency.WORKER),
            0.05,
            240.0,
            0.8,
            idempotent=False,
            checkpointable=False,
            declaration_factor=random_declaration_factor(rng),
        ),
        job_kind(
            "recipe",
            "kitchen",
            gang_shape(1, 4, memory, Adjacency.WORKER),
            0.20,
            2_400.0,
            1.0,
            declaration_factor=random_declaration_factor(rng),
        ),
    )
    guarantees = {
        "shops": (Guarantee(GuaranteeName("label"), DataCentreId("leon"), label, 8),),
        "kitchen": (
            Guarantee(
                GuaranteeName("recipe"),
                DataCentreId("celaya"),
                gang_shape(1, 4, memory, Adjacency.WORKER),
                4,
            ),
        ),
    }
    racks_by_data_centre = {
        name: single_rack(8, 8, memory) for name in ("leon", "celaya", "irapuato")
    }
    return SitePlan(site_configuration(kinds, guarantees, racks_by_data_centre), kinds, 0.80, 24.0)


TARGET_JOBS_PER_HOUR = 2_200 / 24
TARGET_TEAMS = 630


def target(seed: int) -> SitePlan:
    """Return eight data centres, 2,900 workers with 5,600 accelerators, and 630 workspaces."""
    rng = random.Random(seed)
    shapes = (
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(64, Resources(1, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(16, Resources(1, 6, 16_000), Adjacency.RACK),
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(64, Resources(0, 6, 16_000), Adjacency.DATA_CENTRE),
        Shape(4, Resources(1, 6, 16_000), Adjacency.RACK),
    )
    data_centre_names = [f"d{number}" for number in range(8)]
    base = Shape(4, Resources(1, 6, 16_000), Adjacency.RACK)
    guarantees: dict[str, tuple[Guarantee, ...]] = {}
    kinds: list[JobKind] = []
    for number in range(TARGET_TEAMS):
        team = f"team{number}"
        home = DataCentreId(data_centre_names[number % 8])
        has_guarantee = number % 6 == 5
        if has_guarantee:
            guarantees[team] = (Guarantee(GuaranteeName("base"), home, base, 1),)
        kind = job_kind(
            f"job{number}",
            team,
            shapes[number % 6],
            0.0,
            14_000.0,
            0.8,
            checkpointable=number % 4 > 0,
            urgency=Urgency.URGENT if has_guarantee else Urgency.NORMAL,
            guarantee="base" if has_guarantee else None,
            declaration_factor=random_declaration_factor(rng),
        )
        per_hour = TARGET_JOBS_PER_HOUR / TARGET_TEAMS
        kinds.append(msgspec.structs.replace(kind, per_hour=per_hour))
    worker = Resources(2, 64, 256_000)
    rack_counts = {name: 21 if number < 1 else 20 for number, name in enumerate(data_centre_names)}
    racks_by_data_centre = {
        name: tuple(Rack(RackId(f"r{rack}"), 18, worker) for rack in range(racks))
        for name, racks in rack_counts.items()
    }
    return SitePlan(
        site_configuration(tuple(kinds), guarantees, racks_by_data_centre), tuple(kinds), 0.7, 16.0
    )


PLANS_BY_SITE = {"tamarin": tamarin, "bajio": bajio, "target": target}
