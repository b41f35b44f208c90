"""
soak._fleet
~~~~~~~~~~~

The processes under test and what stands round them: settings, signals and stand-in workers.
"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable

from bulrushhollow_core.domain import Resources, Step, TaskRef, Work, WorkerLife
from bulrushhollow_core.ids import JobId
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.http_server import bind
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform.standin import Caller, WorkerServer, heartbeat_body
from soak._proxy import Proxy
from standins.domain_oracle import Oracle
from standins.domain_workers import LONGEST_LEASE, Site, Worker

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT = 0.75
"""Seconds between two announcements of a worker."""

PORTS = ("front", "ready", "control", "peer")


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return ports that are free on every one of some IP numbers."""
    chosen: dict[str, int] = {}
    while len(chosen) < len(PORTS):
        with socket.create_server((hosts[0], 0)) as server:
            port = server.getsockname()[1]
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        if port not in chosen.values():
            chosen[PORTS[len(chosen)]] = port
    return chosen


class Program:
    """
    One process under test.

    :param address: IP number that others call.
    :param listen: IP number that it listens on, behind a proxy.
    """

    def __init__(
        self, role: str, number: int, address: str, listen: str, ports: dict[str, int], base: str
    ) -> None:
        """Write its settings; :meth:`start` starts it."""
        self.role = role
        self.name = f"{role}-{number}"
        self.address = address
        self._listen = listen
        self._ports = ports
        self.folder = pathlib.Path(base) / self.name
        self.folder.mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None
        self.bootstrap = True
        self.is_busy = False

    def write_settings(self, seeds: list[str]) -> None:
        """Write its settings file."""
        control = self._ports["control"]
        lines = {
            "node": self.name,
            "ip": self.address,
            "zone": "z",
            "port-range": f"{self._ports['peer']},{self._ports['peer']}",
            "seeds": ",".join(f"{seed}:{control}" for seed in seeds),
            "bootstrap": str(self.bootstrap).lower(),
            "heartbeat-ms": str(int(HEARTBEAT * 1000)),
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
        """Start the process; its output goes into a file that is kept."""
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

    @property
    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here, and to no other."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill it and wait."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    def wipe(self) -> None:
        """Empty its disk; it comes back as a new instance."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        self.bootstrap = False

    def tear(self) -> None:
        """Leave the beginning of a frame behind the journal, as a power loss may."""
        journal = self.folder / "data" / "journal"
        if journal.exists():
            with journal.open("ab") as file:
                file.write(b"\xb5frm\x40")


class RealTime:
    """The loop's time, for stand-in workers."""

    @property
    def now(self) -> float:
        """Return seconds of a steady clock."""
        return time.monotonic()

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Act after a delay."""
        asyncio.get_running_loop().call_later(delay, act)


class Surroundings:
    """
    Workers, proxies and what callers have done; the oracle reads it.

    :param seed: of everything random.
    """

    def __init__(self, seed: int, cores: int, entries: int, workers: int, base: str) -> None:
        """Prepare, and start nothing."""
        self.rng = random.Random(seed)
        block = 10 + seed % 200
        public = [f"127.{block}.20.{n + 1}" for n in range(cores)]
        hidden = [f"127.{block}.21.{n + 1}" for n in range(cores)]
        fronts = [f"127.{block}.22.{n + 1}" for n in range(entries)]
        self.worker_hosts = [f"127.{block}.23.{n + 1}" for n in range(workers)]
        self.ports = free_ports(public + hidden + fronts + self.worker_hosts)
        self.cores = [
            Program("core", n, public[n], hidden[n], self.ports, base) for n in range(cores)
        ]
        self.entries = [
            Program("entry", n, fronts[n], fronts[n], self.ports, base) for n in range(entries)
        ]
        self.proxies_by_name = {
            core.name: [
                Proxy(public[n], hidden[n], self.ports[name]) for name in ("control", "peer")
            ]
            for n, core in enumerate(self.cores)
        }
        self.seeds = public[:3]
        self.works: dict[JobId, Work] = {}
        self.durations: dict[JobId, float] = {}
        self.cancels: set[JobId] = set()
        self.announced: set[WorkerLife] = set()
        self.cut_workers: set[str] = set()
        self.caller = Caller()
        self.oracle = Oracle(self)
        self.time = RealTime()
        self.site = Site(self.time, self.oracle, self.oracle.step, self._duration_of, self.rng)

    @property
    def now(self) -> float:
        """Return seconds of a steady clock."""
        return self.time.now

    @property
    def programs(self) -> list[Program]:
        """Return every process under test."""
        return [*self.cores, *self.entries]

    def _duration_of(self, task: TaskRef) -> float:
        return self.durations[task.job]

    async def open(self, tasks: set[asyncio.Task[None]]) -> None:
        """Start proxies, workers and processes."""
        for proxies in self.proxies_by_name.values():
            for proxy in proxies:
                await proxy.open()
        for number, host in enumerate(self.worker_hosts):
            self._add_worker(number, host, tasks)
        for program in self.programs:
            program.write_settings(self.seeds)
            program.start()

    def _add_worker(self, number: int, host: str, tasks: set[asyncio.Task[None]]) -> None:
        room = Resources(64_000, 256_000, 8)
        worker = Worker(self.site, f"w{number}", "z", f"r{number % 3}", room, 1)
        worker.address = f"{host}:{self.ports['control']}"
        server = make_caller_server(
            WorkerServer(worker, lambda: worker.is_up and worker.name not in self.cut_workers),
            ServerLimits(5.0, 60.0, 500),  # type: ignore[arg-type]
        )
        sock = bind(Address(host, self.ports["control"]))
        tasks.add(asyncio.ensure_future(server.serve([sock])))
        tasks.add(asyncio.ensure_future(self._announce(worker)))

    async def _announce(self, worker: Worker) -> None:
        """Announce a worker at one instance after the other, until one has heard it."""
        while True:
            await asyncio.sleep(HEARTBEAT * self.rng.uniform(0.8, 1.2))
            if not worker.is_up or worker.name in self.cut_workers:
                continue
            life, body = worker.life, heartbeat_body(worker.news())
            core = self.rng.choice(self.cores)
            outcome = await self.caller.call(
                "POST", self.control(core), f"/Instances.Heartbeat/{worker.name}", body, timeout=1.0
            )
            if outcome.status == 200:
                self.announced.add(life)

    def control(self, core: Program) -> str:
        """Return the control address of an instance."""
        return f"{core.address}:{self.ports['control']}"

    def front(self, entry: Program) -> str:
        """Return the callers' address of an entry instance."""
        return f"{entry.address}:{self.ports['front']}"

    async def close(self) -> None:
        """End every process that was started here."""
        for program in self.programs:
            program.end()
        for proxies in self.proxies_by_name.values():
            for proxy in proxies:
                proxy.close()
        await self.caller.close()


def random_work(rng: random.Random, name: str) -> Work:
    """Return a small job."""
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
