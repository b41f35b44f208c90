"""
soak._fleet
~~~~~~~~~~~

The processes under test and their surroundings: settings, signals, proxies and stand-in workers.
"""

import asyncio
import math
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Set

from bulrushhollow_core.domain import Occurrence, Resources, Step, TaskRef, Work, WorkerLife
from bulrushhollow_core.ids import JobId
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.http_server import open_listener
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform.standin import Caller, WorkerServer, heartbeat_body
from soak._proxy import Proxy
from standins.domain_standing import STANDING_LIMIT, StandingOracle
from standins.domain_workers import LONGEST_LEASE, Worker, WorkerPool

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_INTERVAL = 0.75
"""Seconds between two heartbeats of a worker."""

STANDING_LIMIT_OF_PROCESSES = STANDING_LIMIT + 2.5
"""Seconds for which a job may stand: the limit itself, and the time within which an acknowledged
configuration is in force everywhere, which a commit and its orders may take as well."""

PROBE_INTERVAL = 0.25
"""Seconds between two reads of the configuration at each core instance, which show that it runs."""

MAX_PROBE_AGE = 1.5
"""Seconds since the last answer to such a read after which an instance counts as disturbed."""

OBSERVATION_INTERVAL = 0.1
"""Seconds between two observations of what runs."""

MAX_OBSERVATION_INTERVAL = 0.5
"""Seconds between two observations from which on the stand-ins themselves were held up."""

PLACED = re.compile(rb'"event": "step_placed", "job": "(\w+)"')
"""A line of a decision log by which tasks of a job were placed."""

PORT_NAMES = ("front", "ready", "control", "peer")


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return ports by name that are free on all of the given IP addresses."""
    chosen: dict[str, int] = {}
    while len(chosen) < len(PORT_NAMES):
        with socket.create_server((hosts[0], 0)) as server:
            port = server.getsockname()[1]
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        if port not in chosen.values():
            chosen[PORT_NAMES[len(chosen)]] = port
    return chosen


class DaemonProcess:
    """
    A process under test.

    :param address: IP address that others call.
    :param listen: IP address that it listens on, behind a proxy.
    :param ports: ports by name.
    :param base: parent of its folder for settings, log and data.
    """

    def __init__(
        self, role: str, number: int, address: str, listen: str, ports: dict[str, int], base: str
    ) -> None:
        """Create its folder without starting it."""
        self.role = role
        self.name = f"{role}-{number}"
        self.address = address
        self._listen = listen
        self._ports = ports
        self.folder = pathlib.Path(base) / self.name
        self.folder.mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None
        self.bootstrap = True
        self.is_restarting = False
        self._log_position = 0
        self.answered_at = -math.inf
        """When it last answered a read of the configuration."""

    def write_settings(self, seed_hosts: list[str]) -> None:
        """Write its settings file."""
        control = self._ports["control"]
        lines = {
            "node": self.name,
            "ip": self.address,
            "zone": "z",
            "port-range": f"{self._ports['peer']},{self._ports['peer']}",
            "seeds": ",".join(f"{host}:{control}" for host in seed_hosts),
            "bootstrap": str(self.bootstrap).lower(),
            "heartbeat-ms": str(int(HEARTBEAT_INTERVAL * 1000)),
            "tolerate.machines": "1",
            "bounds.grace-s": "4",
            "bounds.max-hold-ms": str(int(LONGEST_LEASE * 1000)),
        }
        if self.role == "core":
            lines["listen.control"] = f"{self._listen}:{control}"
            lines["data-dir"] = str(self.folder / "data")
        else:
            lines["listen.front"] = f"{self.address}:{self._ports['front']}"
            lines["listen.ready"] = f"{self.address}:{self._ports['ready']}"
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        (self.folder / "settings.conf").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        environment = dict(os.environ)
        environment["BULRUSHHOLLOW_NODE_FILE"] = str(self.folder / "settings.conf")
        environment["BULRUSHHOLLOW_PEER_BIND"] = self._listen
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "platform/daemon.py", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def read_placed_jobs(self) -> Iterator[JobId]:
        """Yield the jobs that its log has named as placed since the last call."""
        with (self.folder / "log").open("rb") as log:
            log.seek(self._log_position)
            *lines, _ = log.read().split(b"\n")
        self._log_position += sum(len(line) + 1 for line in lines)
        for line in lines:
            found = PLACED.search(line)
            if found:
                yield JobId(found[1].decode())

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also if it is suspended, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def wipe_disk(self) -> None:
        """Delete its data, so that it returns as a new instance."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.bootstrap = False

    def write_torn_frame(self) -> None:
        """Append the start of a frame to the journal, as a power loss can leave it."""
        journal = self.folder / "data" / "journal"
        if journal.exists():
            with journal.open("ab") as file:
                file.write(b"\xb5frm\x40")


class EventLoopClock:
    """The clock of the running event loop, for the stand-in workers."""

    @property
    def now(self) -> float:
        """The monotonic time in seconds."""
        return time.monotonic()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call the callback after a delay in seconds."""
        asyncio.get_running_loop().call_later(delay, callback)


class Testbed:
    """
    The processes, proxies and workers of a soak, and the record of calls that the oracle reads.

    :param seed: seed of the random choices made here and by the workers.
    :param base: parent of the processes' folders.
    """

    def __init__(self, seed: int, cores: int, entries: int, workers: int, base: str) -> None:
        """Prepare the processes, proxies and workers without starting any."""
        self.rng = random.Random(seed)
        subnet = 10 + seed % 200
        public_hosts = [f"127.{subnet}.20.{n + 1}" for n in range(cores)]
        backend_hosts = [f"127.{subnet}.21.{n + 1}" for n in range(cores)]
        entry_hosts = [f"127.{subnet}.22.{n + 1}" for n in range(entries)]
        self.worker_hosts = [f"127.{subnet}.23.{n + 1}" for n in range(workers)]
        self.ports = free_ports(public_hosts + backend_hosts + entry_hosts + self.worker_hosts)
        self.cores = [
            DaemonProcess("core", n, public_hosts[n], backend_hosts[n], self.ports, base)
            for n in range(cores)
        ]
        self.entries = [
            DaemonProcess("entry", n, entry_hosts[n], entry_hosts[n], self.ports, base)
            for n in range(entries)
        ]
        self.proxies_by_name = {
            core.name: [
                Proxy(public_hosts[n], backend_hosts[n], self.ports[name])
                for name in ("control", "peer")
            ]
            for n, core in enumerate(self.cores)
        }
        self.seed_hosts = public_hosts[:3]
        self.work_by_job: dict[JobId, Work] = {}
        self.duration_by_job: dict[JobId, float] = {}
        self.cancelled_jobs: set[JobId] = set()
        self.announced_lives: set[WorkerLife] = set()
        self.cut_workers: set[str] = set()
        self.caller = Caller()
        self.accepted_at_by_job: dict[JobId, float] = {}
        self.ended_jobs: set[JobId] = set()
        """Jobs that callers were told have ended."""
        self._placed_jobs: set[JobId] = set()
        self.core_faults_in_force = 0
        self.core_disturbed_at = -math.inf
        self._observed_at = -math.inf
        self.oracle = StandingOracle(self, STANDING_LIMIT_OF_PROCESSES)
        self.standing_check = self.oracle.standing_check
        self.clock = EventLoopClock()
        self.worker_pool = WorkerPool(
            self.clock, self.oracle, self.oracle.step, self._duration_of, self.rng
        )

    @property
    def now(self) -> float:
        """The monotonic time in seconds."""
        return self.clock.now

    @property
    def daemons(self) -> list[DaemonProcess]:
        """Every process under test."""
        return [*self.cores, *self.entries]

    def _duration_of(self, task: TaskRef) -> float:
        return self.duration_by_job[task.job]

    async def open(self, tasks: set[asyncio.Task[None]]) -> None:
        """Start the proxies, the workers and the processes."""
        for proxies in self.proxies_by_name.values():
            for proxy in proxies:
                await proxy.open()
        for number, host in enumerate(self.worker_hosts):
            self._add_worker(number, host, tasks)
        for daemon in self.daemons:
            daemon.write_settings(self.seed_hosts)
            daemon.start()
        tasks.update(asyncio.ensure_future(self.probe(core)) for core in self.cores)
        tasks.add(asyncio.ensure_future(self.observe()))

    def _add_worker(self, number: int, host: str, tasks: set[asyncio.Task[None]]) -> None:
        capacity = Resources(64_000, 256_000, 8)
        worker = Worker(self.worker_pool, f"w{number}", "z", f"r{number % 3}", capacity, 1)
        worker.address = f"{host}:{self.ports['control']}"
        server = make_caller_server(
            WorkerServer(
                worker,
                lambda: worker.is_up and worker.name not in self.cut_workers,
                lambda task: self._record_unanswered_start(task, worker),
            ),
            ServerLimits(5.0, 60.0, 500),  # type: ignore[arg-type]
        )
        sock = open_listener(Address(host, self.ports["control"]))
        tasks.add(asyncio.ensure_future(server.serve([sock])))
        tasks.add(asyncio.ensure_future(self._send_heartbeats(worker)))

    # Observations of jobs that stand.

    @property
    def wall(self) -> float:
        """The time of day in seconds."""
        return time.time()

    def _record_unanswered_start(self, task: TaskRef, worker: Worker) -> None:
        self.standing_check.start_ordered(task, worker)
        self.standing_check.order_unanswered(worker)

    def accepted_jobs(self) -> Iterable[JobId]:
        """Return the jobs whose acceptance callers were told."""
        return list(self.accepted_at_by_job)

    def has_ended(self, job: JobId) -> bool:
        """Return whether callers were told that a job has ended."""
        return job in self.ended_jobs

    def is_core_disturbed(self) -> bool:
        """Return whether a fault of instances is in force, or this process was held up itself."""
        now = self.now
        was_held_up = now - self._observed_at > MAX_OBSERVATION_INTERVAL
        self._observed_at = now
        is_disturbed = (
            was_held_up
            or self.core_faults_in_force > 0
            or any(now - core.answered_at > MAX_PROBE_AGE for core in self.cores)
        )
        if is_disturbed:
            self.core_disturbed_at = now
        return is_disturbed

    def is_cut_off(self, worker: Worker) -> bool:
        """Return whether a worker is cut off from all instances."""
        return worker.name in self.cut_workers

    def held_tasks(self) -> Set[TaskRef]:
        """
        Return the tasks that a leader may hold for starts of an earlier one. As no leader tells,
        these are all tasks of the jobs that were accepted before the last fault of an instance and
        that any instance has logged as placed, which it does before it records a start.
        """
        for core in self.cores:
            self._placed_jobs.update(core.read_placed_jobs())
        return {
            TaskRef(job, Occurrence(0), number, member)
            for job, accepted_at in self.accepted_at_by_job.items()
            if accepted_at <= self.core_disturbed_at and job in self._placed_jobs
            for number, step in enumerate(self.work_by_job[job].steps)
            for member in range(step.count)
        }

    async def observe(self) -> None:
        """Observe what runs, for as long as the testbed is open."""
        while True:
            self.standing_check.observe()
            await asyncio.sleep(OBSERVATION_INTERVAL)

    async def probe(self, core: DaemonProcess) -> None:
        """Read the configuration of a core instance over and over."""
        while True:
            outcome = await self.caller.call(
                "GET", self.control_address(core), "/Config.Get", timeout=1.0
            )
            if outcome.status == 200:
                core.answered_at = self.now
            await asyncio.sleep(PROBE_INTERVAL)

    async def _send_heartbeats(self, worker: Worker) -> None:
        """Send the heartbeats of a worker, each to a random core instance."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL * self.rng.uniform(0.8, 1.2))
            if not worker.is_up or worker.name in self.cut_workers:
                continue
            life, body = worker.life, heartbeat_body(worker.heartbeat())
            core = self.rng.choice(self.cores)
            outcome = await self.caller.call(
                "POST",
                self.control_address(core),
                f"/Instances.Heartbeat/{worker.life.id}",
                body,
                timeout=1.0,
            )
            if outcome.status == 200:
                self.announced_lives.add(life)

    def control_address(self, core: DaemonProcess) -> str:
        """Return the control address of a core instance."""
        return f"{core.address}:{self.ports['control']}"

    def front_address(self, entry: DaemonProcess) -> str:
        """Return the address of an entry instance for callers."""
        return f"{entry.address}:{self.ports['front']}"

    async def close(self) -> None:
        """Kill the processes and close the proxies."""
        for daemon in self.daemons:
            daemon.kill()
        for proxies in self.proxies_by_name.values():
            for proxy in proxies:
                proxy.close()
        await self.caller.close()


def random_work(rng: random.Random, name: str) -> Work:
    """Return a small random job."""
    steps = []
    for number in range(rng.choice((1, 1, 2))):
        is_gang = rng.random() < 0.5
        steps.append(
            Step(
                count=rng.randint(1, 4),
                needs=Resources(rng.choice((2000, 8000)), 1000, rng.choice((0, 1, 2, 4))),
                estimate=1.0,  # type: ignore[arg-type]
                depends_on=(number - 1,) if number else (),
                is_gang=is_gang,
                same_rack=is_gang and rng.random() < 0.5,
                max_per_worker=0 if is_gang else rng.choice((0, 2)),
                is_checkpointable=rng.random() < 0.5,
            )
        )
    return Work(f"spec of {name}", tuple(steps))


def large_work(rng: random.Random, name: str) -> Work:
    """Return a job of many small tasks, more than a leader may have in flight."""
    step = Step(
        count=rng.randint(200, 600),
        needs=Resources(200, 100, 0),
        estimate=1.0,  # type: ignore[arg-type]
    )
    return Work(f"spec of {name}", (step,))
