"""
bench.requests_faults
~~~~~~~~~~~~~~~~~~~~~

Requests under load while endpoints answer late, crossed, cut and wrongly, leave and die, and while
instances are killed, started again and stopped as planned. What the callers were told is compared
with what the endpoints ran.
"""

import time
from collections import Counter
from collections.abc import Callable

import anyio
import anyio.to_thread
import msgspec

from bench.report import emit
from bench.requests_site import LABELS, ONCE, Site, open_site
from bulrushhollow_core.outcomes import Execution
from standins._endpoint import EndpointControl, EndpointCounts
from standins.load import CallOutcome, LoadCaller, LoadPlan, Traffic

BENCH = "requests"
RATE = 80.0
"""Requests a second."""

STEP = 4.0
"""Seconds between two faults."""

SLOTS = 8
GOOD = EndpointControl(slow=0.05, jitter=0.1)
TRAFFIC = (
    Traffic(LABELS, 0.4, deadline=2.0),
    Traffic(ONCE, 0.4),
    Traffic(ONCE, 0.2, keyed=True),
)


class Book(msgspec.Struct):
    """
    What happened beside the load.

    :param killed: counts of an endpoint just before it was killed.
    :param stopped_at: seconds from the start of the load at which a planned stop began.
    """

    killed: list[EndpointCounts] = []
    left_at: float = 0.0
    stopped_entry: str = ""
    stopped_at: float = 0.0


def measure(seed: int) -> None:
    """Print what callers were told wrongly."""
    with open_site({"north": 3}, {"north": 4}, ["--slots", str(SLOTS)]) as site:
        for name in site.endpoints_by_name:
            site.control(name, GOOD)
        book = Book()
        outcomes = anyio.run(_run, site, book, seed)
        _report(seed, site, book, outcomes)


async def _run(site: Site, book: Book, seed: int) -> list[CallOutcome]:
    faults = _faults(site, book, time.monotonic())
    seconds = STEP * (len(faults) + 2)
    plan = LoadPlan(site.cluster.entries, TRAFFIC, RATE, int(2 * RATE * seconds), seconds, seed)
    outcomes: list[CallOutcome] = []

    async def load() -> None:
        outcomes.extend(await LoadCaller(plan).run())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        for fault in faults:
            await anyio.sleep(STEP)
            await anyio.to_thread.run_sync(fault)
    return outcomes


def _faults(site: Site, book: Book, began: float) -> list[Callable[[], None]]:
    """Return what goes wrong, in order, one step apart."""
    first, second, third, fourth = site.endpoints_by_name
    daemons = list(site.cluster.daemons_by_name.values())

    def behave(name: str, **faults: float | bool) -> Callable[[], None]:
        def change() -> None:
            for other in (first, second, third, fourth):
                site.control(other, GOOD)
            site.control(name, msgspec.structs.replace(GOOD, **faults))

        return change

    def leave() -> None:
        behave(fourth, leaving=True)()
        book.left_at = time.monotonic()

    def kill_endpoint() -> None:
        counts = site.counts(third)
        assert counts is not None
        book.killed.append(counts)
        site.kill_endpoint(third)

    def stop() -> None:
        book.stopped_entry = daemons[2].plan.url
        book.stopped_at = time.monotonic() - began
        daemons[2].stop()

    return [
        behave(first, crossed=True),
        behave(second, late=6.0),
        behave(third, cut=True),
        behave(fourth, fail_rate=1.0),
        behave(first, malformed=True),
        behave(second, refuse=True),
        leave,
        daemons[1].kill,
        daemons[1].start,
        kill_endpoint,
        daemons[0].kill,
        daemons[0].start,
        stop,
    ]


def _report(seed: int, site: Site, book: Book, outcomes: list[CallOutcome]) -> None:
    counts_by_name = {name: site.counts(name) for name in site.endpoints_by_name}
    counts = [one for one in counts_by_name.values() if one is not None] + book.killed
    runs: Counter[str] = Counter()
    for one in counts:
        runs.update(one.runs_by_marker)
    once = [outcome for outcome in outcomes if outcome.profile == ONCE]
    figures = {
        "sent": len(outcomes),
        "whole": sum(outcome.whole for outcome in outcomes),
        "not run": sum(outcome.execution is Execution.NOT_RUN for outcome in outcomes),
        "unknown": sum(outcome.execution is Execution.UNKNOWN for outcome in outcomes),
        "doubled runs": sum(runs[outcome.marker] > 1 for outcome in once),
        "false not run": sum(
            outcome.execution is Execution.NOT_RUN and runs[outcome.marker] > 0
            for outcome in outcomes
        ),
        "wrong answers": sum(
            outcome.status_code == 200 and not outcome.whole for outcome in outcomes
        ),
        "most slots used": max(one.most_slots for one in counts),
        "sent beyond slots": sum(one.refused_full for one in counts),
        "most connections": max(one.most_connections for one in counts),
        "unknown at a planned stop": sum(
            outcome.entry == book.stopped_entry
            and outcome.sent_at + outcome.took >= book.stopped_at
            and outcome.execution is Execution.UNKNOWN
            for outcome in outcomes
        ),
    }
    for metric, value in figures.items():
        emit(BENCH, seed, "faults", metric, value, "1")
    reasons = Counter(
        f"{outcome.execution.value}: {outcome.reason.value}"
        for outcome in outcomes
        if outcome.reason is not None
    )
    for reason, count in sorted(reasons.items()):
        emit(BENCH, seed, "faults", reason, count, "1")
    for name, one in counts_by_name.items():
        if one is not None:
            emit(BENCH, seed, f"faults/{name}", "sent beyond slots", one.refused_full, "1")
    left = counts_by_name["north-e4"]
    if left is not None and left.last_run_at is not None:
        seconds = round(left.last_run_at - book.left_at, 2)
        emit(BENCH, seed, "faults", "last work after leaving", seconds, "s")
