"""
bench.requests_spill
~~~~~~~~~~~~~~~~~~~~

Spillover between data centres: all requests go to an instance in the north, whose endpoint has
capacity for half of them, while the endpoints in the south are idle. Then the north's endpoint
leaves and comes back.
"""

import anyio

from bench.open_loop import OpenLoop
from bench.report import emit, percentile
from bench.requests_site import LABELS, RequestSite, open_site
from bulrushhollow_core.outcomes import Execution
from standins._endpoint import EndpointControl
from standins.load import Traffic

BENCH = "requests"
SECONDS = 6.0
"""Seconds of each phase."""

SLOTS = 8
RUN_SECONDS = 0.1
RATE = 2 * SLOTS / RUN_SECONDS
"""Requests per second: twice the capacity of the endpoint in the north."""

TRAFFIC = (Traffic(LABELS, deadline=2.0),)
HEALTHY = EndpointControl(slow=RUN_SECONDS)
NORTH_ENDPOINT = "north-e1"


def measure(seed: int) -> None:
    """Print the outcomes of each phase and the endpoints that ran the requests."""
    options = ["--slots", str(SLOTS), "--slow-ms", str(1000 * RUN_SECONDS)]
    with open_site({"north": 1, "south": 1}, {"north": 1, "south": 2}, options) as site:
        _run_phase(seed, site, "half fits")
        site.control(NORTH_ENDPOINT, EndpointControl(slow=RUN_SECONDS, leaving=True))
        _run_phase(seed, site, "none fits")
        site.control(NORTH_ENDPOINT, HEALTHY)
        _run_phase(seed, site, "half fits again")


def _run_phase(seed: int, site: RequestSite, name: str) -> None:
    runs_before = _runs_by_name(site)
    loop = OpenLoop(site.cluster.entries[:1], TRAFFIC, RATE, SECONDS, seed)
    anyio.run(loop.run)
    whole = [sample.latency for sample in loop.samples if sample.whole]
    unknown = sum(sample.execution is Execution.UNKNOWN for sample in loop.samples)
    subject = f"spill/{name}"
    emit(BENCH, seed, subject, "sent", len(loop.samples), "1")
    emit(BENCH, seed, subject, "whole", len(whole), "1")
    emit(BENCH, seed, subject, "unknown", unknown, "1")
    if whole:
        emit(BENCH, seed, subject, "p50", round(1000 * percentile(whole, 0.5), 1), "ms")
        emit(BENCH, seed, subject, "p99", round(1000 * percentile(whole, 0.99), 1), "ms")
    for endpoint, runs in _runs_by_name(site).items():
        emit(BENCH, seed, f"{subject}/{endpoint}", "runs", runs - runs_before[endpoint], "1")


def _runs_by_name(site: RequestSite) -> dict[str, int]:
    counts_by_name = {name: site.counts(name) for name in site.endpoints_by_name}
    return {name: 0 if counts is None else counts.runs for name, counts in counts_by_name.items()}
