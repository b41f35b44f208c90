"""
bench.requests_faults
~~~~~~~~~~~~~~~~~~~~~

Requests under load while endpoints and instances fail. Endpoints give late, swapped, truncated and
wrong answers, leave and are killed; instances are killed, restarted and stopped gracefully. The
answers that callers got are compared with the runs that endpoints counted.
"""

import time
from collections import Counter
from collections.abc import Callable

import anyio
import anyio.to_thread
import msgspec

from bench.report import emit
from bench.requests_site import LABELS, ONCE, RequestSite, open_site
from bulrushhollow_core.outcomes import Execution
from standins._endpoint import EndpointControl, EndpointCounts
from standins.load import CallOutcome, LoadCaller, LoadPlan, Traffic

BENCH = "requests"
RATE = 80.0
"""Requests per second."""

FAULT_INTERVAL = 4.0
"""Seconds between two faults."""

SLOTS = 8
HEALTHY = EndpointControl(slow=0.05, jitter=0.1)
TRAFFIC = (
    Traffic(LABELS, 0.4, deadline=2.0),
    Traffic(ONCE, 0.4),
    Traffic(ONCE, 0.2, keyed=True),
)


class FaultLog(msgspec.Struct):
    """
    What was recorded while faults were injected.

    :param killed_counts: counters of endpoints, read just before they were killed.
    :param leave_at: clock reading at which an endpoint was told to leave.
    :param stopped_entry: address of the instance that was stopped gracefully.
    :param stopped_at: seconds from the start of the load to the graceful stop.
    """

    killed_counts: list[EndpointCounts] = []
    leave_at: float = 0.0
    stopped_entry: str = ""
    stopped_at: float = 0.0


def measure(seed: int) -> None:
    """Print outcomes of the load and how many contradict what the endpoints ran."""
    with open_site({"north": 3}, {"north": 4}, ["--slots", str(SLOTS)]) as site:
        for name in site.endpoints_by_name:
            site.control(name, HEALTHY)
        fault_log = FaultLog()
        outcomes = anyio.run(_run_load_and_faults, site, fault_log, seed)
        _report(seed, site, fault_log, outcomes)


async def _run_load_and_faults(
    site: RequestSite, fault_log: FaultLog, seed: int
) -> list[CallOutcome]:
    faults = _faults(site, fault_log, time.monotonic())
    seconds = FAULT_INTERVAL * (len(faults) + 2)
    plan = LoadPlan(site.cluster.entries, TRAFFIC, RATE, int(2 * RATE * seconds), seconds, seed)
    outcomes: list[CallOutcome] = []

    async def load() -> None:
        outcomes.extend(await LoadCaller(plan).run())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        for fault in faults:
            await anyio.sleep(FAULT_INTERVAL)
            await anyio.to_thread.run_sync(fault)
    return outcomes


def _faults(site: RequestSite, fault_log: FaultLog, started_at: float) -> list[Callable[[], None]]:
    """Return the faults in the order in which they are injected."""
    first, second, third, fourth = site.endpoints_by_name
    daemons = list(site.cluster.daemons_by_name.values())

    def set_behaviour(name: str, **faults: float | bool) -> Callable[[], None]:
        def apply() -> None:
            for other in (first, second, third, fourth):
                site.control(other, HEALTHY)
            site.control(name, msgspec.structs.replace(HEALTHY, **faults))

        return apply

    def leave_endpoint() -> None:
        set_behaviour(fourth, leaving=True)()
        fault_log.leave_at = time.monotonic()

    def kill_endpoint() -> None:
        counts = site.counts(third)
        assert counts is not None
        fault_log.killed_counts.append(counts)
        site.kill_endpoint(third)

    def stop_gracefully() -> None:
        fault_log.stopped_entry = daemons[2].plan.url
        fault_log.stopped_at = time.monotonic() - started_at
        daemons[2].stop()

    return [
        set_behaviour(first, crossed=True),
        set_behaviour(second, late=6.0),
        set_behaviour(third, cut=True),
        set_behaviour(fourth, fail_rate=1.0),
        set_behaviour(first, malformed=True),
        set_behaviour(second, refuse=True),
        leave_endpoint,
        daemons[1].kill,
        daemons[1].start,
        kill_endpoint,
        daemons[0].kill,
        daemons[0].start,
        stop_gracefully,
    ]


def _report(seed: int, site: RequestSite, fault_log: FaultLog, outcomes: list[CallOutcome]) -> None:
    counts_by_name = {name: site.counts(name) for name in site.endpoints_by_name}
    all_counts = [
        counts for counts in counts_by_name.values() if counts is not None
    ] + fault_log.killed_counts
    runs: Counter[str] = Counter()
    for counts in all_counts:
        runs.update(counts.runs_by_marker)
    once_outcomes = [outcome for outcome in outcomes if outcome.profile == ONCE]
    values_by_metric = {
        "sent": len(outcomes),
        "whole": sum(outcome.whole for outcome in outcomes),
        "not run": sum(outcome.execution is Execution.NOT_RUN for outcome in outcomes),
        "unknown": sum(outcome.execution is Execution.UNKNOWN for outcome in outcomes),
        "doubled runs": sum(runs[outcome.marker] > 1 for outcome in once_outcomes),
        "false not run": sum(
            outcome.execution is Execution.NOT_RUN and runs[outcome.marker] > 0
            for outcome in outcomes
        ),
        "wrong answers": sum(
            outcome.status_code == 200 and not outcome.whole for outcome in outcomes
        ),
        "most slots used": max(counts.most_slots for counts in all_counts),
        "sent beyond slots": sum(counts.refused_full for counts in all_counts),
        "most connections": max(counts.most_connections for counts in all_counts),
        "unknown at a planned stop": sum(
            outcome.entry == fault_log.stopped_entry
            and outcome.sent_at + outcome.took >= fault_log.stopped_at
            and outcome.execution is Execution.UNKNOWN
            for outcome in outcomes
        ),
    }
    for metric, value in values_by_metric.items():
        emit(BENCH, seed, "faults", metric, value, "1")
    reasons = Counter(
        f"{outcome.execution.value}: {outcome.reason.value}"
        for outcome in outcomes
        if outcome.reason is not None
    )
    for reason, count in sorted(reasons.items()):
        emit(BENCH, seed, "faults", reason, count, "1")
    for name, optional_counts in counts_by_name.items():
        if optional_counts is not None:
            emit(
                BENCH,
                seed,
                f"faults/{name}",
                "sent beyond slots",
                optional_counts.refused_full,
                "1",
            )
    left_counts = counts_by_name["north-e4"]
    if left_counts is not None and left_counts.last_run_at is not None:
        seconds = round(left_counts.last_run_at - fault_log.leave_at, 2)
        emit(BENCH, seed, "faults", "last work after leaving", seconds, "s")
