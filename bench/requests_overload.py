"""
bench.requests_overload
~~~~~~~~~~~~~~~~~~~~~~~

Goodput and latency of urgent and overnight requests at loads from half to five times the capacity
of the endpoints, through two entry instances and through the baseline proxy.
"""

import anyio

from bench.open_loop import OpenLoop, RequestSample
from bench.report import emit, percentile
from bench.requests_site import FORECASTS, LABELS, RequestSite, open_baseline, open_site
from bulrushhollow_core.outcomes import Execution
from standins.load import Traffic

BENCH = "requests"
SECONDS = 10.0
"""Seconds of load at each rate."""

RUN_SECONDS = 0.2
"""Run time of each request at its endpoint, in seconds."""

ENDPOINTS = 2
SLOTS = 8
LOADS = (0.5, 1.0, 2.0, 5.0)
"""Loads as multiples of the capacity."""

URGENT_SHARE = 0.2
"""Share of the requests that are urgent."""

TRAFFIC = (
    Traffic(LABELS, URGENT_SHARE, deadline=2.0),
    Traffic(FORECASTS, 1.0 - URGENT_SHARE, deadline=5.0),
)


def measure(seed: int) -> None:
    """Print goodput and latency at each load."""
    capacity = ENDPOINTS * SLOTS / RUN_SECONDS
    options = ["--slots", str(SLOTS), "--slow-ms", str(1000 * RUN_SECONDS)]
    for subject in ("bulrushhollowd", "round-robin"):
        for load in LOADS:
            with open_site({"north": 2}, {"north": ENDPOINTS}, options) as site:
                samples = _send_load(site, subject, load * capacity, seed)
                _report(seed, f"{subject}/load={load:g}", samples, site)


def _send_load(site: RequestSite, subject: str, rate: float, seed: int) -> list[RequestSample]:
    if subject == "bulrushhollowd":
        return _run_open_loop(site.cluster.entries, rate, seed)
    with open_baseline(list(site.endpoints_by_name.values())) as baseline:
        return _run_open_loop((baseline,), rate, seed)


def _run_open_loop(entries: tuple[str, ...], rate: float, seed: int) -> list[RequestSample]:
    loop = OpenLoop(entries, TRAFFIC, rate, SECONDS, seed)
    anyio.run(loop.run)
    return loop.samples


def _report(seed: int, subject: str, samples: list[RequestSample], site: RequestSite) -> None:
    for profile in (LABELS, FORECASTS):
        profile_samples = [sample for sample in samples if sample.profile == profile]
        whole = [sample.latency for sample in profile_samples if sample.whole]
        refused = [
            sample.latency for sample in profile_samples if sample.execution is Execution.NOT_RUN
        ]
        name = f"{subject}/{profile}"
        emit(BENCH, seed, name, "sent", len(profile_samples), "1")
        emit(BENCH, seed, name, "goodput", round(len(whole) / SECONDS, 1), "1/s")
        emit(BENCH, seed, name, "not run", len(refused), "1")
        for label, fraction in (("p50", 0.5), ("p99", 0.99)):
            if whole:
                value = round(1000 * percentile(whole, fraction), 1)
                emit(BENCH, seed, name, label, value, "ms")
        if refused:
            for label, fraction in (("refusal p50", 0.5), ("refusal p99", 0.99)):
                value = round(1000 * percentile(refused, fraction), 1)
                emit(BENCH, seed, name, label, value, "ms")
    send_lag = round(1000 * percentile([sample.send_lag for sample in samples], 0.99), 1)
    emit(BENCH, seed, subject, "caller's lag p99", send_lag, "ms")
    optional_counts = [site.counts(name) for name in site.endpoints_by_name]
    endpoint_counts = [counts for counts in optional_counts if counts is not None]
    emit(
        BENCH,
        seed,
        subject,
        "most slots used",
        max(counts.most_slots for counts in endpoint_counts),
        "1",
    )
    beyond_slots = sum(counts.refused_full for counts in endpoint_counts)
    emit(BENCH, seed, subject, "sent beyond slots", beyond_slots, "1")
    emit(BENCH, seed, subject, "runs", sum(counts.runs for counts in endpoint_counts), "1")
