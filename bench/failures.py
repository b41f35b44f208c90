"""
bench.failures
~~~~~~~~~~~~~~

Fault injection on real processes: nine daemons under load go through a seeded sequence of faults.
The bench counts the breaches of each promise in the records of callers, operators and stand-ins.

Usage::

    python -m bench failures --seed 1 --site three
"""

import argparse
import random
import sys
import tempfile
from pathlib import Path

import anyio
import msgspec

from bench.failures_callers import Callers
from bench.failures_faults import FAULTS_BY_NAME, FaultContext
from bench.failures_promises import PROMISES
from bench.failures_records import REQUEST_KINDS, Kind, Records, Window
from bench.failures_site import LAYOUTS_BY_NAME, FailureSite, now
from bench.failures_watch import (
    count_idle_log_entries,
    sample_statuses,
    wait_until_recovered,
)
from bench.report import emit

BENCH = "failures"

MAX_EXAMPLES = 5
"""Most breaches of one promise that are printed."""

DRAIN_LIMIT = 40.0
"""Seconds to wait for open jobs after the load has ended."""

DRAIN_POLL_INTERVAL = 0.5
"""Seconds between two queries for open jobs."""


class FailureRun:
    """
    One fault-injection run on one site.

    :param subject: prefix of the subjects that are printed.
    :param seconds: seconds of undisturbed load before and after each fault.
    """

    def __init__(self, subject: str, site: FailureSite, seed: int, seconds: float) -> None:
        """Create the run without starting any load."""
        self._subject = subject
        self._site = site
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self.records = Records()

    async def run(self, faults: list[str]) -> None:
        """Inject the faults in order under load and collect the records."""
        await self._site.configure()
        await wait_until_recovered(self._site)
        callers = Callers(self._site, self.records, random.Random(self._seed))
        async with anyio.create_task_group() as sampling_tasks:
            sampling_tasks.start_soon(sample_statuses, self._site, self.records)
            async with anyio.create_task_group() as caller_tasks:
                caller_tasks.start_soon(callers.run)
                await anyio.sleep(self._seconds)
                for name in faults:
                    await self._inject_fault(name)
                callers.stop()
            await self._wait_for_open_jobs()
            self.records.idle_log_entries = await count_idle_log_entries(self._site)
            sampling_tasks.cancel_scope.cancel()
        await self._site.collect(self.records)

    async def _inject_fault(self, name: str) -> None:
        context = FaultContext(self._site, self.records, self._rng)
        start = now()
        await FAULTS_BY_NAME[name](context)
        fault_over = now()
        recovered = await wait_until_recovered(self._site)
        end = now()
        self.records.faults.append(Window(name, start, end, recovered))
        await anyio.sleep(self._seconds)
        subject = f"{self._subject}/{name}"
        if recovered is None:
            emit(BENCH, self._seed, subject, "not_recovered", 1, "faults")
        else:
            emit(
                BENCH,
                self._seed,
                subject,
                "recovery_seconds",
                round(recovered - fault_over, 2),
                "s",
            )
        for phase, since, until in (
            ("before", start - self._seconds, start),
            ("during", start, fault_over),
            ("after", end, end + self._seconds),
        ):
            rate = self._goodput(since, until)
            emit(BENCH, self._seed, subject, f"goodput_{phase}", round(rate, 1), "answers/s")

    def _goodput(self, since: float, until: float) -> float:
        answered = sum(
            call.whole and since <= call.ended_at < until
            for call in self.records.calls
            if call.kind in REQUEST_KINDS
        )
        return answered / max(until - since, 0.001)

    async def _wait_for_open_jobs(self) -> None:
        with anyio.move_on_after(DRAIN_LIMIT):
            while await self._site.count_open_jobs():
                await anyio.sleep(DRAIN_POLL_INTERVAL)

    def report(self) -> int:
        """Print the number of breaches of each promise and return their total."""
        total = 0
        for name, find_breaches in PROMISES.items():
            breaches = find_breaches(self.records)
            total += len(breaches)
            emit(BENCH, self._seed, self._subject, name, len(breaches), "breaches")
            for example in breaches[:MAX_EXAMPLES]:
                print(f"  {name}: {example}", file=sys.stderr)
        for kind in Kind:
            calls = [call for call in self.records.calls if call.kind is kind]
            emit(BENCH, self._seed, self._subject, f"calls_{kind.value}", len(calls), "calls")
            whole = sum(call.whole for call in calls)
            emit(BENCH, self._seed, self._subject, f"answered_{kind.value}", whole, "calls")
        accepted = sum(change.version is not None for change in self.records.changes)
        emit(BENCH, self._seed, self._subject, "changes_accepted", accepted, "answers")
        return total


def run_site(site_name: str, seed: int, seconds: float, faults: list[str], folder: Path) -> int:
    """
    Inject the faults into one site and print its results.

    :param folder: receives the logs, the data folders and the calls.
    :return: the total number of breaches.
    """
    with FailureSite(LAYOUTS_BY_NAME[site_name], folder) as site:
        run = FailureRun(site_name, site, seed, seconds)
        anyio.run(run.run, faults)
        calls = b"\n".join(map(msgspec.json.encode, run.records.calls))
        (folder / "calls.jsonl").write_bytes(calls)
        return run.report()


def main(argv: list[str]) -> int:
    """Run one site or both; return 0 if no promise was broken, else 1."""
    parser = argparse.ArgumentParser(prog="python -m bench failures")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--site", choices=sorted(LAYOUTS_BY_NAME), help="default: both")
    parser.add_argument(
        "--seconds", type=float, default=4.0, help="load before and after each fault"
    )
    parser.add_argument("--faults", help="comma-separated names, in order; default: all, shuffled")
    parser.add_argument("--folder", type=Path, help="keep logs, data and calls in this folder")
    options = parser.parse_args(argv)
    faults = options.faults.split(",") if options.faults else list(FAULTS_BY_NAME)
    if not options.faults:
        random.Random(options.seed).shuffle(faults)
    breaches = 0
    for site_name in [options.site] if options.site else sorted(LAYOUTS_BY_NAME):
        with tempfile.TemporaryDirectory() as scratch:
            folder = (options.folder or Path(scratch)) / site_name
            folder.mkdir(parents=True)
            breaches += run_site(site_name, options.seed, options.seconds, faults, folder)
    return 0 if breaches == 0 else 1
