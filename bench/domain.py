"""
bench.domain
~~~~~~~~~~~~

What callers of a scheduling domain get under load, and what a decision costs the leader:
``python -m bench domain --seed 1 --workers 176 --day bursts``.
"""

import argparse
import random
from statistics import mean

import msgspec

from bench.domain_load import KINDS, Burst, arrivals
from bench.domain_site import DomainSite, Job
from bench.report import emit, percentile

USUAL_WORKERS = 176
"""Workers for which the traffic is stated."""

SECONDS = 40.0
"""Seconds of traffic."""

AFTER = 30.0
"""Seconds after the traffic within which jobs may end."""

LATE_FACTOR = 3.0
"""Objectives after which a job earns nothing."""

WORKSPACES = 10

GUARANTEED_PART = 0.62
"""Part of all accelerators that guarantees add up to."""


class Day(msgspec.Struct, frozen=True):
    """
    What happens in a run.

    :param outages: when the leader stands still, and for how long.
    :param cuts: when a share of the workers is cut off, and for how long.
    :param leaving: when a share of the workers leaves for good.
    """

    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    outages: tuple[tuple[float, float], ...] = ()
    cuts: tuple[tuple[float, float, float], ...] = ()
    leaving: tuple[tuple[float, float], ...] = ()


DAYS_BY_NAME = {
    "calm": Day(0.62, (Burst("urgent", 12.3, 6.0, 2.2),)),
    "bursts": Day(
        1.1,
        (Burst("urgent", 0.5, 6.0, 2.2), Burst("later", 2.7, 4.1, 2.4)),
    ),
    "late-burst": Day(1.1, (Burst("later", 11.8, 4.1, 2.7), Burst("urgent", 14.4, 6.0, 2.3))),
    "outage": Day(0.85, (Burst("urgent", 10.0, 6.0, 2.0),), outages=((12.0, 4.0),)),
    "losses": Day(
        0.85,
        (Burst("later", 5.0, 4.0, 2.4),),
        cuts=((11.0, 5.0, 0.17),),
        leaving=((7.0, 0.1), (24.0, 0.14)),
    ),
}


class Played(msgspec.Struct):
    """The jobs of one run, and its site."""

    site: DomainSite
    jobs: list[Job]


def play(seed: int, workers: int, day: Day, seconds: float = SECONDS) -> Played:
    """Play one day."""
    scale = workers / USUAL_WORKERS * day.load
    guaranteed = round(GUARANTEED_PART * workers * 8 / WORKSPACES)
    site = DomainSite(seed, workers, WORKSPACES, guaranteed)
    racks = site.racks
    for arrival in arrivals(seed, seconds, scale, list(day.bursts), racks, WORKSPACES):
        site.call_later(arrival.at, lambda each=arrival: site.submit(each))
    for at, length in day.outages:
        site.call_later(at, lambda length=length: site.freeze(length))
    rng = random.Random(seed)
    for at, length, share in day.cuts:
        names = _some(site, share, rng)
        site.call_later(at, lambda names=names: site.cut.update(names))
        site.call_later(at + length, lambda names=names: site.cut.difference_update(names))
    for at, share in day.leaving:
        for name in _some(site, share, rng):
            worker = next(each for each in site.worker_pool.workers if each.name == name)
            site.call_later(at, lambda worker=worker: site.drain(worker, 2.0))
    site.run(seconds + AFTER)
    return Played(site, list(site.jobs_by_id.values()))


def _some(site: DomainSite, share: float, rng: random.Random) -> list[str]:
    names = [worker.name for worker in site.worker_pool.workers]
    return rng.sample(names, round(share * len(names)))


def credit_of(job: Job) -> float:
    """Return what a job earned."""
    if job.done_at is None:
        return 0.0
    kind = job.arrival.kind
    took = job.done_at - job.submitted_at
    if took <= job.arrival.objective:
        return job.arrival.credit
    if took <= LATE_FACTOR * job.arrival.objective:
        return job.arrival.credit * kind.late_worth / kind.worth
    return 0.0


def figures_of(played: Played) -> dict[str, float]:
    """Return the figures of one run."""
    jobs = played.jobs
    found = {"earned": sum(map(credit_of, jobs)) / sum(job.arrival.credit for job in jobs)}
    for kind in KINDS:
        of_kind = [job for job in jobs if job.arrival.kind is kind]
        owed = sum(job.arrival.credit for job in of_kind)
        if owed:
            found[f"earned {kind.name}"] = sum(map(credit_of, of_kind)) / owed
    figures = played.site.figures
    found["wasted"] = figures.wasted / max(1.0, figures.worked)
    waits = [
        job.started_at - job.submitted_at
        for job in jobs
        if job.arrival.kind.urgency == 0 and job.started_at is not None
    ]
    found["urgent wait p95"] = percentile(waits, 0.95) if waits else 0.0
    found["starts"] = figures.starts
    decisions = figures.starts + figures.ends
    found["microseconds a decision"] = 1e6 * figures.busy / max(1, decisions)
    return found


UNITS = {"urgent wait p95": "s", "starts": "runs", "microseconds a decision": "us"}


def main(arguments: list[str]) -> int:
    """Play days and print their figures."""
    parser = argparse.ArgumentParser(prog="python -m bench domain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="seeds to play")
    parser.add_argument("--workers", type=int, default=USUAL_WORKERS)
    parser.add_argument("--day", choices=[*DAYS_BY_NAME, "all"], default="bursts")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    options = parser.parse_args(arguments)
    names = list(DAYS_BY_NAME) if options.day == "all" else [options.day]
    for name in names:
        seeds = range(options.seed, options.seed + options.count)
        plays = [play(seed, options.workers, DAYS_BY_NAME[name], options.seconds) for seed in seeds]
        found = [figures_of(played) for played in plays]
        subject = f"{name}-{options.workers}"
        for metric in found[0]:
            value = mean(each.get(metric, 0.0) for each in found)
            unit = UNITS.get(metric, "share")
            emit("domain", options.seed, subject, metric, round(value, 4), unit)
    return 0
