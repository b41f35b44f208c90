"""
bench.requests_overload
~~~~~~~~~~~~~~~~~~~~~~~

Goodput and the latency of urgent requests at loads from half to five times what the endpoints can
do, through two entry instances and through the baseline proxy.
"""

import anyio

from bench.open_loop import OpenLoop, Sample
from bench.report import emit, percentile
from bench.requests_site import FORECASTS, LABELS, Site, open_baseline, open_site
from bulrushhollow_core.outcomes import Execution
from standins.load import Traffic

BENCH = "requests"
SECONDS = 10.0
"""Seconds of load at each rate."""

RUN_SECONDS = 0.2
"""Seconds that each run takes at its endpoint."""

ENDPOINTS = 2
SLOTS = 8
LOADS = (0.5, 1.0, 2.0, 5.0)
"""Loads relative to the capacity."""

LABEL_SHARE = 0.2
"""Part of the requests that are urgent."""

TRAFFIC = (
    Traffic(LABELS, LABEL_SHARE, deadline=2.0),
    Traffic(FORECASTS, 1.0 - LABEL_SHARE, deadline=5.0),
)


def measure(seed: int) -> None:
    """Print goodput and latency at each load."""
    capacity = ENDPOINTS * SLOTS / RUN_SECONDS
    options = ["--slots", str(SLOTS), "--slow-ms", str(1000 * RUN_SECONDS)]
    for subject in ("bulrushhollowd", "round-robin"):
        for load in LOADS:
            with open_site({"north": 2}, {"north": ENDPOINTS}, options) as site:
                outcomes = _send(site, subject, load * capacity, seed)
                _report(seed, f"{subject}/load={load:g}", outcomes, site)


def _send(site: Site, subject: str, rate: float, seed: int) -> list[Sample]:
    if subject == "bulrushhollowd":
        return _run(site.cluster.entries, rate, seed)
    with open_baseline(list(site.endpoints_by_name.values())) as baseline:
        return _run((baseline,), rate, seed)


def _run(entries: tuple[str, ...], rate: float, seed: int) -> list[Sample]:
    loop = OpenLoop(entries, TRAFFIC, rate, SECONDS, seed)
    anyio.run(loop.run)
    return loop.samples


def _report(seed: int, subject: str, outcomes: list[Sample], site: Site) -> None:
    for profile in (LABELS, FORECASTS):
        mine = [outcome for outcome in outcomes if outcome.profile == profile]
        whole = [outcome.took for outcome in mine if outcome.whole]
        refused = [outcome.took for outcome in mine if outcome.execution is Execution.NOT_RUN]
        name = f"{subject}/{profile}"
        emit(BENCH, seed, name, "sent", len(mine), "1")
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
    lag = round(1000 * percentile([outcome.lag for outcome in outcomes], 0.99), 1)
    emit(BENCH, seed, subject, "caller's lag p99", lag, "ms")
    counts = [site.counts(name) for name in site.endpoints_by_name]
    known = [one for one in counts if one is not None]
    emit(BENCH, seed, subject, "most slots used", max(one.most_slots for one in known), "1")
    over = sum(one.refused_full for one in known)
    emit(BENCH, seed, subject, "sent beyond slots", over, "1")
    emit(BENCH, seed, subject, "runs", sum(one.runs for one in known), "1")
