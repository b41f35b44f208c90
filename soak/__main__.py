"""
soak
~~~~

Runs real daemons under injected faults and checks their promises.

Usage::

    $ python -m soak --seed 7 --seconds 60
    $ python -m soak --seed 100 --count 50 --seconds 20
"""

import argparse
import asyncio
import logging
import pathlib
import random
import shutil
import sys
import tempfile
import time

import msgspec

from bulrushhollow_core.domain import JobState, Occurrence, Resources, TaskRef, Work
from bulrushhollow_core.ids import JobId, Version
from bulrushhollow_platform.standin import CallResult, config_body, job_body
from soak._faults import Faults
from soak._fleet import Testbed, large_work, random_work
from standins.domain_site import HOST, KEY, QUEUES, configuration
from standins.domain_standing import Standing
from standins.domain_workers import Crash

START_TIMEOUT = 30.0
"""Seconds until the first configuration; processes start slowly on a busy machine."""

END_TIMEOUT = 90.0
"""Seconds without new faults within which every accepted job must end."""

CALM_SECONDS = 12.0
"""Seconds of load without faults, after that with faults; a job counts as standing after 9.5 s."""

CALM_FACTOR = 3.0
"""Factor on the time between submissions without faults, so that the cap is seldom full."""

CAP = Resources(0, 0, 32)
"""Cap of the workspace; the largest gang takes 16 accelerators of it, and the service has 64."""

SUBMIT_INTERVAL = 0.15
"""Seconds between two submissions, on average."""

UNLIMITED = 1e6
"""Seconds of work of a task that runs until its job is cancelled."""

CRASHING_SHARE = 0.03
"""Share of the jobs of which a task crashes every worker that starts it."""

LARGE_SHARE = 0.03
"""Share of jobs that have hundreds of small tasks."""

LASTING_SHARE = 0.06
"""Share of the jobs that last until they are cancelled, some seconds after their submission."""

REGRESSIONS = (104, 141, 2043, 2004, 3019)
"""Seeds that failed once. 104: a silent voter was removed before its successor counted, and the log
stopped for good. 141: a list of runs from before a start was taken as proof that the run was gone.
2043: a call that arrived during a planned stop was cut off with status 500 when the process ended.
3019: a poll for a worker's earlier life acknowledged an end of the next one. 2004: an accepted job
did not end, perhaps for the same reason."""

FINAL_STATES = {JobState.DONE, JobState.FAILED, JobState.CANCELLED}


class Soak:
    """
    The soak of one seed.

    :param seconds: time for which load is sent and faults are injected.
    :param cores: number of core instances.
    :param entries: number of entry instances.
    :param workers: number of stand-in workers.
    :param base: folder for settings, logs and data.
    """

    def __init__(
        self, seed: int, seconds: float, cores: int, entries: int, workers: int, base: str
    ) -> None:
        """Prepare the testbed without starting any process."""
        self.seed = seed
        self._seconds = seconds
        self._testbed = Testbed(seed, cores, entries, workers, base)
        self._rng = random.Random(seed * 31 + 7)
        self._crash_rng = random.Random(seed * 37 + 11)
        self._large_rng = random.Random(seed * 43 + 17)
        self._lasting_rng = random.Random(seed * 41 + 13)
        self._started_at = time.monotonic()
        self._base = pathlib.Path(base)
        self._queue_by_job: dict[JobId, str] = {}
        self._accepted_jobs = self._testbed.accepted_at_by_job
        self._confirmed_count = 0
        """Jobs found standing of which callers were asked for the state."""
        self._may_have_run_by_refused_job: dict[JobId, bool] = {}
        self._version = 0
        self._acknowledged_version = 0
        self.count_by_answer: dict[str, int] = {}

    @property
    def excused_jobs(self) -> list[Standing]:
        """Return the jobs that stood for a reason that is allowed."""
        return self._testbed.standing_check.standing_while_excused

    def log(self, text: str) -> None:
        """Append a line with its time to the history file."""
        with (self._base / "history").open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")

    async def run(self) -> None:
        """
        Start the testbed, send the load under faults and check the results.

        :raises AssertionError: if a promise was broken.
        """
        tasks: set[asyncio.Task[None]] = set()
        try:
            await self._testbed.open(tasks)
            await self._configure(START_TIMEOUT)
            await self._send_load(tasks)
            await self._check_results()
        finally:
            await self._testbed.close()
            for task in tasks:
                task.cancel()

    # Load.

    async def _send_load(self, tasks: set[asyncio.Task[None]]) -> None:
        faults = Faults(self._testbed, self._rng, self.log)
        running: set[asyncio.Task[None]] = set()
        faults_end = time.monotonic() + self._seconds
        next_fault = time.monotonic() + 1
        while time.monotonic() < faults_end + CALM_SECONDS:
            running.add(asyncio.ensure_future(self._submit()))
            if self._rng.random() < 0.08:
                running.add(asyncio.ensure_future(self._cancel()))
            if self._rng.random() < 0.3:
                running.add(asyncio.ensure_future(self._read_any()))
            if self._rng.random() < 0.05:
                running.add(asyncio.ensure_future(self._configure(5.0)))
            if self._rng.random() < 0.2:
                running.add(asyncio.ensure_future(self._read_configuration()))
            if next_fault <= time.monotonic() < faults_end:
                running.add(asyncio.ensure_future(faults.inject_one()))
                next_fault = time.monotonic() + self._rng.uniform(0.3, 3)
            factor = 1.0 if time.monotonic() < faults_end else CALM_FACTOR
            await asyncio.sleep(self._rng.uniform(0, 2 * factor * SUBMIT_INTERVAL))
            for task in [task for task in running if task.done()]:
                running.discard(task)
                task.result()
            await self._check_standing()
        await asyncio.gather(*running)
        for daemon in self._testbed.daemons:
            if not daemon.is_up:
                daemon.write_settings(self._testbed.seed_hosts)
                daemon.start()

    async def _call(self, method: str, path: str, body: bytes = b"") -> CallResult:
        entry = self._rng.choice(self._testbed.entries)
        headers = {"host": HOST, "x-credential": KEY, "x-deadline-ms": "3000"}
        address = self._testbed.front_address(entry)
        outcome = await self._testbed.caller.call(method, address, path, body, headers)
        key = f"{method} {outcome.status}"
        self.count_by_answer[key] = self.count_by_answer.get(key, 0) + 1
        return outcome

    def _make_crashing(self, job: str, work: Work) -> None:
        """Make one task of a job crash every worker that starts it."""
        rng = self._crash_rng
        step = rng.randrange(len(work.steps))
        member = rng.randrange(work.steps[step].count)
        task = TaskRef(JobId(job), Occurrence(0), step, member)
        self._testbed.worker_pool.crashes_by_task[task] = Crash(
            delay=rng.choice((0.001, 0.01, 0.5)),
            downtime=rng.choice((0.5, 3.0)),
            keeps_id=rng.random() < 0.5,
        )
        self.log(f"task {task} crashes its workers")

    async def _submit(self) -> None:
        job = JobId(f"{len(self._queue_by_job):016x}")
        queue = self._rng.choice(QUEUES)
        self._queue_by_job[job] = queue
        work = random_work(self._rng, job)
        if self._large_rng.random() < LARGE_SHARE:
            work = large_work(self._large_rng, job)
        if self._crash_rng.random() < CRASHING_SHARE:
            self._make_crashing(job, work)
        self._testbed.work_by_job[job] = work
        self._testbed.duration_by_job[job] = self._rng.uniform(0.2, 2)
        if self._lasting_rng.random() < LASTING_SHARE:
            await self._submit_lasting(job, work)
            return
        await self._submit_work(job, work)

    async def _submit_lasting(self, job: JobId, work: Work) -> None:
        """Submit a job that runs until it is cancelled, and cancel it after some seconds."""
        step = msgspec.structs.replace(work.steps[0], is_gang=False, is_long_running=True)
        work = msgspec.structs.replace(work, steps=(step,))
        self._testbed.work_by_job[job] = work
        self._testbed.duration_by_job[job] = UNLIMITED
        cancel_after = self._lasting_rng.uniform(2.0, 8.0)
        await self._submit_work(job, work)
        await asyncio.sleep(cancel_after)
        while not await self._cancel_job(job):
            await asyncio.sleep(0.5)

    async def _submit_work(self, job: JobId, work: Work) -> None:
        queue = self._queue_by_job[job]
        may_have_run = False
        for _ in range(5):
            outcome = await self._call("POST", f"/{queue}/{job}", job_body(work))
            if outcome.status == 200:
                self._accepted_jobs[job] = self._testbed.now
                return
            assert outcome.status in (0, 429, 502, 503, 504), f"{job} got {outcome}"
            may_have_run = may_have_run or outcome.status in (0, 502, 504)
            await asyncio.sleep(self._rng.uniform(0.2, 1))
        self._may_have_run_by_refused_job[job] = may_have_run

    async def _cancel(self) -> None:
        if not self._accepted_jobs:
            return
        job = self._rng.choice(sorted(self._accepted_jobs))
        for _ in range(5):
            if await self._cancel_job(job):
                return
            await asyncio.sleep(0.5)

    async def _cancel_job(self, job: JobId) -> bool:
        """Cancel a job; return whether that was acknowledged, or there is no such job."""
        self._testbed.cancelled_jobs.add(job)
        outcome = await self._call("DELETE", f"/{self._queue_by_job[job]}/{job}")
        if outcome.status == 200:
            self._testbed.oracle.cancelled_at_by_job[job] = self._testbed.now
        return outcome.status in (200, 410)

    async def _read_any(self) -> JobState | None:
        if not self._accepted_jobs:
            return None
        return await self._read_job(self._rng.choice(sorted(self._accepted_jobs)))

    async def _read_job(self, job: JobId) -> JobState | None:
        outcome = await self._call("GET", f"/{self._queue_by_job[job]}/{job}")
        assert outcome.status != 410, f"{job} was accepted and is unknown"
        if outcome.status != 200:
            return None
        state = JobState(outcome.json_field("state"))
        self._testbed.oracle.check_shown_state(job, state)
        if state in FINAL_STATES:
            self._testbed.ended_jobs.add(job)
        return state

    async def _check_standing(self) -> None:
        """Check that no job stands, unless a read shows that it has ended."""
        standing = self._testbed.standing_check.standing
        for each in standing[self._confirmed_count :]:
            self._confirmed_count += 1
            state = await self._read_job(each.job)
            assert state in FINAL_STATES, f"{each}; it is shown as {state}"

    async def _configure(self, timeout: float) -> None:
        """Put the next version of the configuration, repeated until it is acknowledged."""
        self._version += 1
        version = self._version
        body = config_body(configuration(version, cap=CAP))
        self._testbed.oracle.cap_requested(Version(version), CAP)
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            core = self._rng.choice(self._testbed.cores)
            address = self._testbed.control_address(core)
            outcome = await self._testbed.caller.call(
                "POST", address, "/Config.Put", body, timeout=1.0
            )
            if outcome.status == 200:
                self._acknowledged_version = max(self._acknowledged_version, version)
                self._testbed.oracle.cap_acknowledged(Version(version))
                return
            await asyncio.sleep(0.2)
        assert self._acknowledged_version, "no configuration was accepted"

    async def _read_configuration(self) -> None:
        acknowledged = self._acknowledged_version
        address = self._testbed.control_address(self._rng.choice(self._testbed.cores))
        outcome = await self._testbed.caller.call("GET", address, "/Config.Get", timeout=1.0)
        if outcome.status == 200:
            version = int(outcome.json_field("version"))
            assert version >= acknowledged, f"version {version} is shown after {acknowledged}"

    # Checks after the load.

    async def _check_results(self) -> None:
        """Check that every accepted job ends and that no refused job ran."""
        pending = set(self._accepted_jobs)
        deadline = time.monotonic() + END_TIMEOUT
        while pending and time.monotonic() < deadline:
            for job in sorted(pending):
                if await self._read_job(job) in FINAL_STATES:
                    pending.discard(job)
            await self._check_standing()
            await asyncio.sleep(0.3)
        violations = self._testbed.oracle.violations
        assert not violations, violations[0]
        assert not pending, f"{len(pending)} accepted jobs have not ended: {sorted(pending)[:3]}"
        started_jobs = {task.job for task in self._testbed.oracle.runs_by_task}
        for job, may_have_run in self._may_have_run_by_refused_job.items():
            assert may_have_run or job not in started_jobs, f"{job} was refused and has run"


def run_seed(seed: int, arguments: argparse.Namespace) -> bool:
    """Run one seed and return whether every promise was kept; keep its logs if not."""
    base = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    soak = Soak(
        seed, arguments.seconds, arguments.cores, arguments.entries, arguments.workers, base
    )
    try:
        asyncio.run(soak.run())
    except AssertionError as error:
        print(f"seed {seed}: BROKEN: {error}; logs in {base}", flush=True)
        return False
    for each in soak.excused_jobs:
        print(f"seed {seed}: excused: {each}", flush=True)
    answers = ", ".join(f"{key}: {count}" for key, count in sorted(soak.count_by_answer.items()))
    print(f"seed {seed}: kept every promise; {answers}", flush=True)
    shutil.rmtree(base)
    return True


def main() -> int:
    """Run the given seeds one after the other."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="of load and faults, for each seed"
    )
    parser.add_argument("--regressions", action="store_true", help="run the seeds that failed once")
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--workers", type=int, default=8)
    arguments = parser.parse_args()
    # Open calls to workers that are cut off are cancelled at the end, which uvicorn logs as errors.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    seeds = list(range(arguments.seed, arguments.seed + arguments.count))
    if arguments.regressions:
        seeds = list(REGRESSIONS)
    results = [run_seed(seed, arguments) for seed in seeds]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed", flush=True)
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
