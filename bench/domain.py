"""
bench.domain
~~~~~~~~~~~~

The results that callers of a scheduling domain get under load, and the processor time that the
leader spends per decision. Runs in virtual time.

Usage::

    python -m bench domain --seed 1 --workers 176 --day bursts
"""

import argparse
import random
from collections import defaultdict
from statistics import mean

import msgspec

from bench.domain_load import KINDS, Burst, arrivals
from bench.domain_site import DomainSite, Job
from bench.report import emit, percentile

REFERENCE_WORKERS = 176
"""Workers for which the rates of the job kinds are given."""

SECONDS = 40.0
"""Duration of the traffic in seconds."""

DRAIN_SECONDS = 30.0
"""Seconds after the traffic during which jobs may still end."""

PROMPT_SECONDS = 1.0
"""Seconds within which the job that runs were preempted for should be placed."""

REPEAT_SECONDS = 10.0
"""Seconds over which the preemptions of one task are counted."""

LATE_FACTOR = 3.0
"""Multiple of its objective after which a job earns nothing."""

WORKSPACES = 10

GUARANTEED_SHARE = 0.62
"""Share of all accelerators that the workspaces' guarantees add up to."""


class Scenario(msgspec.Struct, frozen=True):
    """
    The load and the faults of a run; all times are seconds from the start of the traffic.

    :param load: factor on the usual traffic.
    :param bursts: periods with more jobs of one kind.
    :param outages: time and duration of each pause of the leader.
    :param cuts: time, duration and share of the workers of each network partition.
    :param leaving: time and share of the workers of each permanent departure.
    """

    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    outages: tuple[tuple[float, float], ...] = ()
    cuts: tuple[tuple[float, float, float], ...] = ()
    leaving: tuple[tuple[float, float], ...] = ()


SCENARIOS_BY_NAME = {
    "calm": Scenario(0.62, (Burst("urgent", 12.3, 6.0, 2.2),)),
    "bursts": Scenario(
        1.1,
        (Burst("urgent", 0.5, 6.0, 2.2), Burst("later", 2.7, 4.1, 2.4)),
    ),
    "late-burst": Scenario(1.1, (Burst("later", 11.8, 4.1, 2.7), Burst("urgent", 14.4, 6.0, 2.3))),
    "outage": Scenario(0.85, (Burst("urgent", 10.0, 6.0, 2.0),), outages=((12.0, 4.0),)),
    "losses": Scenario(
        0.85,
        (Burst("later", 5.0, 4.0, 2.4),),
        cuts=((11.0, 5.0, 0.17),),
        leaving=((7.0, 0.1), (24.0, 0.14)),
    ),
}


class ScenarioResult(msgspec.Struct):
    """The site and the jobs of one run."""

    site: DomainSite
    jobs: list[Job]


def run_scenario(
    seed: int, workers: int, scenario: Scenario, seconds: float = SECONDS
) -> ScenarioResult:
    """
    Run one scenario.

    :param seconds: duration of the traffic.
    """
    traffic_factor = workers / REFERENCE_WORKERS * scenario.load
    guaranteed_accelerators = round(GUARANTEED_SHARE * workers * 8 / WORKSPACES)
    site = DomainSite(seed, workers, WORKSPACES, guaranteed_accelerators)
    racks = site.racks
    for arrival in arrivals(
        seed, seconds, traffic_factor, list(scenario.bursts), racks, WORKSPACES
    ):
        site.call_later(arrival.at, lambda each=arrival: site.submit(each))
    for at, duration in scenario.outages:
        site.call_later(at, lambda duration=duration: site.freeze(duration))
    rng = random.Random(seed)
    for at, duration, share in scenario.cuts:
        names = _sample_worker_names(site, share, rng)
        site.call_later(at, lambda names=names: site.disconnected.update(names))
        site.call_later(
            at + duration, lambda names=names: site.disconnected.difference_update(names)
        )
    for at, share in scenario.leaving:
        for name in _sample_worker_names(site, share, rng):
            worker = next(worker for worker in site.worker_pool.workers if worker.name == name)
            site.call_later(at, lambda worker=worker: site.drain(worker, 2.0))
    site.run(seconds + DRAIN_SECONDS)
    return ScenarioResult(site, list(site.jobs_by_id.values()))


def _sample_worker_names(site: DomainSite, share: float, rng: random.Random) -> list[str]:
    names = [worker.name for worker in site.worker_pool.workers]
    return rng.sample(names, round(share * len(names)))


def earned_credit(job: Job) -> float:
    """Return the credit that a job earned: full if on time, reduced if late, else none."""
    if job.done_at is None:
        return 0.0
    kind = job.arrival.kind
    elapsed = job.done_at - job.submitted_at
    if elapsed <= job.arrival.objective:
        return job.arrival.credit
    if elapsed <= LATE_FACTOR * job.arrival.objective:
        return job.arrival.credit * kind.late_credit / kind.on_time_credit
    return 0.0


def metrics_of(result: ScenarioResult) -> dict[str, float]:
    """Return the metrics of one run by name."""
    jobs = result.jobs
    metrics = {"earned": sum(map(earned_credit, jobs)) / sum(job.arrival.credit for job in jobs)}
    for kind in KINDS:
        kind_jobs = [job for job in jobs if job.arrival.kind is kind]
        possible_credit = sum(job.arrival.credit for job in kind_jobs)
        if possible_credit:
            metrics[f"earned {kind.name}"] = sum(map(earned_credit, kind_jobs)) / possible_credit
    totals = result.site.totals
    metrics["wasted"] = totals.wasted_core_seconds / max(1.0, totals.done_core_seconds)
    waits = [
        job.started_at - job.submitted_at
        for job in jobs
        if job.arrival.kind.urgency == 0 and job.started_at is not None
    ]
    metrics["urgent wait p95"] = percentile(waits, 0.95) if waits else 0.0
    metrics["starts"] = totals.starts
    metrics["runs preempted"] = len(result.site.preemptions) / max(1, totals.ends)
    metrics["preemptions used"] = _used_share(result.site)
    metrics["preempted three times"] = _repeated_share(result.site)
    decisions = totals.starts + totals.ends
    metrics["microseconds a decision"] = 1e6 * totals.node_cpu_seconds / max(1, decisions)
    return metrics


def _used_share(site: DomainSite) -> float:
    """Return the share of the preemptions whose job was placed soon after."""
    used = sum(
        any(
            preemption.at <= at <= preemption.at + PROMPT_SECONDS
            for at in site.placed_at_by_job.get(preemption.beneficiary, ())
        )
        for preemption in site.preemptions
    )
    return used / max(1, len(site.preemptions))


def _repeated_share(site: DomainSite) -> float:
    """Return the share of the preemptions that hit a task for the third time or more in a while."""
    times_by_task: defaultdict[str, list[float]] = defaultdict(list)
    repeated = 0
    for preemption in site.preemptions:
        times = times_by_task[preemption.task]
        times.append(preemption.at)
        repeated += sum(preemption.at - at <= REPEAT_SECONDS for at in times) > 2
    return repeated / max(1, len(site.preemptions))


UNITS = {"urgent wait p95": "s", "starts": "runs", "microseconds a decision": "us"}


def main(arguments: list[str]) -> int:
    """Run the scenarios and print their metrics, each the mean over all seeds."""
    parser = argparse.ArgumentParser(prog="python -m bench domain")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of seeds to run")
    parser.add_argument("--workers", type=int, default=REFERENCE_WORKERS)
    parser.add_argument("--day", choices=[*SCENARIOS_BY_NAME, "all"], default="bursts")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    options = parser.parse_args(arguments)
    names = list(SCENARIOS_BY_NAME) if options.day == "all" else [options.day]
    for name in names:
        seeds = range(options.seed, options.seed + options.count)
        results = [
            run_scenario(seed, options.workers, SCENARIOS_BY_NAME[name], options.seconds)
            for seed in seeds
        ]
        metrics = [metrics_of(result) for result in results]
        subject = f"{name}-{options.workers}"
        for metric in metrics[0]:
            value = mean(each.get(metric, 0.0) for each in metrics)
            unit = UNITS.get(metric, "share")
            emit("domain", options.seed, subject, metric, round(value, 4), unit)
    return 0
