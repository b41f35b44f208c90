"""
standins.demo
~~~~~~~~~~~~~

Demonstrates the main functions on one machine with one daemon, a stand-in endpoint and a stand-in
worker platform. Each step prints its command and the output; the exit code is 0 only if every
check passed.
"""

import shlex
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path
from typing import TypeVar

import anyio
import httpcore
import msgspec

from bulrushhollow.sessions import Session
from bulrushhollow_core.answers import JobStage
from standins._children import POLL_INTERVAL, Child, ChildError, command_path, free_address
from standins.worker_platform import PlatformCounts

READY_SECONDS = 30.0
"""Seconds that the daemon may take to become ready."""

STEP_SECONDS = 60.0
"""Seconds that one step may take."""

QUEUED_SECONDS = 3.0
"""Seconds after which a job must still be queued while its data centre is out of service."""

DATA_CENTRE = "north"
WORKERS = 2
ACCELERATORS = 8

RACK = f"id=r1,workers={WORKERS},accelerators={ACCELERATORS},cores=64,memory_mb=262144"
GUARANTEE = (
    f"name=big,data_centre={DATA_CENTRE},tasks={WORKERS},accelerators={ACCELERATORS},adjacency=rack"
)
REQUEST_PROFILE = (
    "--kind request --workspace tamarin --service orders --urgency urgent"
    " --idempotent --deadline 10"
)
JOB_PROFILE = (
    f"--kind job --workspace tamarin --guarantee big --checkpointable --expected-run 2"
    f" --tasks {WORKERS} --accelerators {ACCELERATORS} --adjacency rack"
)


T = TypeVar("T")


class StepError(Exception):
    """A command failed, or a check did not pass in time."""


class Demo:
    """
    Runs the steps against a running daemon.

    :param entry: base address of the daemon.
    :param platform: base address of the stand-in platform.
    """

    def __init__(self, entry: str, platform: str) -> None:
        """Prepare the steps without running any."""
        self._entry = entry
        self._platform = platform

    def run_steps(self) -> None:
        """Run every step in turn."""
        self._configure()
        self._answer_a_request()
        self._run_a_gang()
        self._take_data_centre_out_and_back()
        self.run("status")

    def _configure(self) -> None:
        title("A data centre, a workspace with a guarantee, and two profiles")
        self.run(f"datacentre put {DATA_CENTRE} --rack {RACK}")
        self.run(f"workspace put tamarin --guarantee {GUARANTEE}")
        self.run(f"profile put labels {REQUEST_PROFILE}")
        self.run(f"profile put grip-model {JOB_PROFILE}")
        self.run("profile list")

    def _answer_a_request(self) -> None:
        title("A request, answered by the endpoint")
        wait_until("the endpoint is known", lambda: bool(self._call(Session.endpoints)))
        answer = self.run("request labels --body 'stall 7'")
        expect("the complete answer to this request", answer == "done stall 7")

    def _run_a_gang(self) -> None:
        title("A gang job, placed on both workers of the rack, run and finished")
        self.run("job submit grip-model --job-id survey-1 --wait")
        counts = self._counts()
        starts = [count.starts for count in counts.starts_by_attempt if count.job == "survey-1"]
        expect("one attempt with every task started once", starts == [WORKERS])
        used = list(counts.most_accelerators_by_worker.values())
        print(f"accelerators used at once on each worker: {used}")
        expect("a whole worker for each task", used == [ACCELERATORS] * WORKERS)

    def _take_data_centre_out_and_back(self) -> None:
        title("The data centre is taken out: a job stays queued")
        self.run(f"datacentre out {DATA_CENTRE}")
        wait_until("the change is in force", self._is_change_in_force)
        starts_before = len(self._counts().starts_by_task)
        self.run(f"job submit grip-model --job-id survey-2 --data-centre {DATA_CENTRE}")
        time.sleep(QUEUED_SECONDS)
        self.run("job show survey-2")
        expect("the job is still queued", self._stage("survey-2") is JobStage.QUEUED)
        expect("no task was started", len(self._counts().starts_by_task) == starts_before)
        title("The data centre is back in: the job runs")
        self.run(f"datacentre in {DATA_CENTRE}")
        self.run("job wait survey-2")
        expect(
            "its tasks were started", len(self._counts().starts_by_task) == starts_before + WORKERS
        )

    def run(self, line: str) -> str:
        """
        Run one command and print it with its output.

        :return: the output of the command.
        """
        print(f"$ bulrushhollow {line}", flush=True)
        command = [command_path("bulrushhollow"), *shlex.split(line), "--entry", self._entry]
        completed = subprocess.run(
            command, stdout=subprocess.PIPE, timeout=STEP_SECONDS, check=False
        )
        output = completed.stdout.decode()
        print(output.rstrip("\n"), flush=True)
        if completed.returncode != 0:
            raise StepError(f"the command ended with code {completed.returncode}")
        return output

    def _call(self, method: Callable[[Session], Awaitable[T]]) -> T:
        """Return the result of a client call that is checked and not printed."""

        async def call() -> T:
            async with Session([self._entry]) as session:
                return await method(session)

        return anyio.run(call)

    def _is_change_in_force(self) -> bool:
        statuses = self._call(Session.data_centres)
        return any(status.id == DATA_CENTRE and status.in_force for status in statuses)

    def _stage(self, job_id: str) -> JobStage:
        return self._call(lambda session: session.job(job_id)).state

    def _counts(self) -> PlatformCounts:
        answer = httpcore.request("GET", f"{self._platform}/counts")
        return msgspec.json.decode(answer.content, type=PlatformCounts)


def title(text: str) -> None:
    """Print the title of the next step."""
    print(f"\n# {text}", flush=True)


def expect(description: str, is_true: bool) -> None:
    """Print whether a check passed, and end the demo if it failed."""
    print(f"  {'ok' if is_true else 'FAILED'}: {description}", flush=True)
    if not is_true:
        raise StepError(description)


def wait_until(description: str, condition: Callable[[], bool]) -> None:
    """Wait until a condition is true."""
    deadline = time.monotonic() + STEP_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise StepError(f"{description}: not within {STEP_SECONDS:g} s")
        time.sleep(POLL_INTERVAL)
    expect(description, True)


def start_platform() -> Child:
    """Start the worker platform of the data centre."""
    options = ["--data-centre", DATA_CENTRE, "--racks", f"r1:{WORKERS}", "--run-seconds", "2"]
    return Child("platform", [sys.executable, "-m", "standins.platform", *options])


def start_daemon(http: str, platform: str, folder: Path) -> Child:
    """Start a daemon that founds a new site."""
    options = ["--name", "a1", "--data-centre", DATA_CENTRE, "--http", http, "--found"]
    addresses = ["--peer-listen", free_address(), "--platform", platform]
    command = [command_path("bulrushhollowd"), *options, *addresses]
    return Child("daemon", [*command, "--data-folder", str(folder / "data")], folder / "log")


def start_endpoint(entry: str) -> Child:
    """Start an endpoint that announces itself to the daemon."""
    options = ["--id", "e1", "--data-centre", DATA_CENTRE, "--service", "orders"]
    command = [sys.executable, "-m", "standins.endpoint", *options]
    return Child("endpoint", [*command, "--announce-to", entry, "--leave-seconds", "1"])


def stop_all(children: list[Child]) -> None:
    """Stop each child by a graceful shutdown."""
    title("Everything is stopped by a graceful shutdown")
    for child in children:
        code = child.stop()
        expect(f"the {child.name} ended with code {code}", code == 0)


def run_demo(folder: Path) -> None:
    """Start the processes, run the steps and stop the processes."""
    with ExitStack() as stack:
        platform = stack.enter_context(start_platform())
        platform_url = f"http://{platform.read_address()}"
        http = free_address()
        entry = f"http://{http}"
        title("One daemon with a data folder, a stand-in platform and a stand-in endpoint")
        daemon = stack.enter_context(start_daemon(http, platform_url, folder))
        daemon.wait_until_ready(entry, READY_SECONDS)
        endpoint = stack.enter_context(start_endpoint(entry))
        print(f"daemon {entry}, platform {platform_url}, endpoint http://{endpoint.read_address()}")
        Demo(entry, platform_url).run_steps()
        stop_all([endpoint, daemon, platform])


def main() -> int:
    """Run the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            run_demo(folder)
        except (StepError, ChildError, subprocess.TimeoutExpired) as failure:
            print(f"\nThe demo failed: {failure}", flush=True)
            print_log(folder / "log")
            return 1
    print("\nThe demo passed.", flush=True)
    return 0


def print_log(path: Path) -> None:
    """Print the last lines of the daemon's log."""
    if path.exists():
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        print("\n".join(["The daemon's log ends with:", *lines[-20:]]), flush=True)


if __name__ == "__main__":
    sys.exit(main())
