"""The project's own processes, started with the commands of the deploy file on loopback addresses."""

import asyncio
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import Any

from http_io import Answer, call
from workers import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORT_NAMES = ("front", "ready", "control", "peer", "worker", "advice")
HOST = "app.example"


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return ports by name that are free on all addresses."""
    ports: dict[str, int] = {}
    while len(ports) < len(PORT_NAMES):
        with socket.create_server((hosts[0], 0)) as server:
            port = server.getsockname()[1]
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        if port not in ports.values():
            ports[PORT_NAMES[len(ports)]] = port
    return ports


class Log:
    """The record of a case: what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        entry = {"at": round(time.monotonic() - self._started, 3), "event": event, **fields}
        self.events.append(entry)
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._started

    def of(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of one kind with these fields."""
        return [
            entry
            for entry in self.events
            if entry["event"] == event and all(entry.get(k) == v for k, v in fields.items())
        ]


class Program:
    """One process of the system."""

    def __init__(self, deployment: "Deployment", role: str, host: str, zone: str) -> None:
        self._deployment = deployment
        self.role, self.host, self.zone = role, host, zone
        self.name = f"{role}-{host.rpartition('.')[2]}"
        self.folder = deployment.folder / self.name
        self.folder.mkdir()
        self.bootstrap = True
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, **extra: str) -> None:
        """Write the settings file of the process."""
        d, ports = self._deployment, self._deployment.ports
        is_core = self.role == "core"
        zones = sorted({program.zone for program in d.programs} | {self.zone})
        fields = {
            "node": self.name,
            "role": self.role,
            "class": "core" if is_core else "front",
            "serves": "control" if is_core else "front",
            "ip": self.host,
            "zone": self.zone,
            "region": "r",
            **{f"zones.{zone}": "r" for zone in zones},
            "port-range": f"{ports['peer']},{ports['peer']}",
            "seeds": ",".join(f"{host}:{ports['control']}" for host in d.core_hosts[:3]),
            "bootstrap": str(self.bootstrap).lower(),
            "is-counted": str(is_core).lower(),
            "limits.cores": "1",
            "limits.mem-limit-mb": "300",
            "limits.max-fds": "4096",
            "limits.disk-mb": "128" if is_core else "0",
            "discovery": "registry",
            "entry": "vip",
            "heartbeat-ms": "1500",
            "tolerate.machines": "1",
            "tolerate.zones": "1",
            "tolerate.regions": "0",
            **{f"bounds.{name}": value for name, value in d.bounds.items()},
            "config_mode": "highest",
            "orders": "call",
            "advice": f"{d.base}.9.1:{ports['advice']}",
        }
        if is_core:
            fields["listen.control"] = f"{self.host}:{ports['control']}"
            fields["data-dir"] = str(self.folder / "data")
        else:
            fields["listen.front"] = f"{self.host}:{ports['front']}"
            fields["listen.ready"] = f"{self.host}:{ports['ready']}"
        fields |= extra
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        (self.folder / "settings.conf").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process with the run line of its role."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BULRUSHHOLLOW_NODE_FILE": str(self.folder / "settings.conf"),
        }
        command = shlex.split(self._deployment.commands[self.role])
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._deployment.log("process_started", name=self.name, pid=self.process.pid)

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_up:
            self.process.send_signal(number)
            self._deployment.log("signal", name=self.name, signal=number.name)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.is_up:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
            self._deployment.log("process_killed", name=self.name)

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")


class Deployment:
    """
    A small deployment: processes, workers, a client and an operator.

    :param log: the record of the case.
    """

    def __init__(
        self, log: Log, cores: int = 3, fronts: int = 3, bounds: dict[str, str] | None = None
    ) -> None:
        self.log = log
        self.base = f"127.{random.randint(20, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.core_hosts = [f"{self.base}.1.{n + 1}" for n in range(cores)]
        self.front_hosts = [f"{self.base}.2.{n + 1}" for n in range(fronts)]
        self.worker_hosts = [f"{self.base}.3.{n + 1}" for n in range(30)]
        hosts = self.core_hosts + self.front_hosts + self.worker_hosts + [f"{self.base}.9.1"]
        self.ports = free_ports(hosts)
        self.bounds = {
            "contact-ms": "3000",
            "ack-ms": "4000",
            "catch-up-s": "4",
            "drain-ms": "2000",
            "grace-s": "6",
            "config-apply-ms": "2000",
            "evacuate-ms": "5000",
            "max-hold-ms": "6000",
            "stop-timeout-ms": "900",
            "gang-timeout-ms": "3000",
            "cancel_ms": "3000",
            "visible_ms": "3000",
            "restore-ms": "600",
            "remote-factor": "3",
            **(bounds or {}),
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.programs: list[Program] = []
        self.cores = [Program(self, "core", h, f"z{n + 1}") for n, h in enumerate(self.core_hosts)]
        self.fronts = [
            Program(self, "entry", h, f"z{n % 3 + 1}") for n, h in enumerate(self.front_hosts)
        ]
        self.programs = self.cores + self.fronts
        self.workers: list[Worker] = []
        self.version = 0
        self.work_s: dict[str, float] = {}
        """Seconds of work by job; infinity for tasks that last."""
        self.needs: dict[str, tuple[int, int, int]] = {}
        self.steps: dict[str, list[dict[str, Any]]] = {}

    # Start and end.

    async def open(
        self, workers: int = 6, config: dict[str, Any] | None = None, kinds: str = "a"
    ) -> None:
        """
        Start everything, and wait until the first configuration is accepted.

        :param kinds: kinds of the workers, a letter each, taken in turn.
        """
        for program in self.programs:
            program.write_settings()
            program.start()
        for program in self.programs:
            program.bootstrap = False
        controls = [self.control(core) for core in self.cores]
        for n in range(workers):
            address = f"{self.worker_hosts[n]}:{self.ports['worker']}"
            worker = Worker(
                f"i-{n + 1:02d}",
                address,
                f"z{n % 3 + 1}",
                f"r{n % 2 + 1}",
                controls[n % 3 :] + controls[: n % 3],
                self.task_work_s,
                self.task_needs,
                self.log,
            )
            worker.kind = kinds[n % len(kinds)]
            self.workers.append(worker)
            await worker.start()
        async with asyncio.timeout(25):
            while not await self.put_config(config or self.config()):
                await asyncio.sleep(0.3)
            for front in self.fronts:
                while (await call("GET", self.ready(front), "/readyz", timeout=1.0)).status != 200:
                    await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)

    def close(self) -> None:
        """End all processes and workers."""
        for worker in self.workers:
            worker.close()
        for program in self.programs:
            program.kill()
        if os.environ.get("KEEP") == "1":
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Addresses.

    def control(self, core: Program) -> str:
        """Return the control address of a core process."""
        return f"{core.host}:{self.ports['control']}"

    def front(self, front: Program) -> str:
        """Return the address of a front process for clients."""
        return f"{front.host}:{self.ports['front']}"

    def ready(self, front: Program) -> str:
        """Return the address of a front process for readiness checks."""
        return f"{front.host}:{self.ports['ready']}"

    # What tasks are.

    def task_work_s(self, task: str) -> float:
        """Return the seconds of work of a task."""
        return self.work_s[task.split(".")[0]]

    def task_needs(self, task: str) -> tuple[int, int, int]:
        """Return what a task takes."""
        job, _, step, _ = task.split(".")
        fields = self.steps[job][int(step)]
        return (fields.get("cpu", 0), fields.get("mem-mb", 0), fields.get("gpu", 0))

    # The operator.

    def config(self, **extra: Any) -> dict[str, Any]:
        """Return a configuration with three queues and two tenants, under the next version."""
        self.version += 1
        queue = {
            "host": HOST,
            "kind": "mutating",
            "timeout-ms": 3000,
            "service": "svc",
            "public": False,
        }
        routes = [
            {"name": "urgent", "prefix": "/u/", "slo-ms": 250, "prio": 0, "attempts": 2,
             "slack-factor": 1.5, **queue},
            {"name": "plan", "prefix": "/p/", "slo-ms": 1000, "prio": 1, "attempts": 3,
             "slack-factor": 3.0, **queue},
            {"name": "batch", "prefix": "/b/", "slo-ms": 3000, "prio": 2, "attempts": 2,
             "slack-factor": 3.0, **queue},
        ]
        return {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": "svc", "health-path": "/healthz", "max-conns": 64, "proto": "h1",
                 "tls": False, "cold-start-s": 0.0, "cold-rate-s": 0.0, "admission-check": True,
                 "standby": False}
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [
                {"name": "t1", "api-keys": ["key-of-t1"], "prio": 1, "guaranteed": {"gpu": 16}},
                {"name": "t2", "api-keys": ["key-of-t2"], "prio": 1, "guaranteed": {"gpu": 8}},
            ],
            **extra,
        }

    async def put_config(self, config: dict[str, Any]) -> bool:
        """Send a configuration to each core process in turn until one acknowledges it."""
        for core in self.cores:
            answer = await call("POST", self.control(core), "/Config.Put", config, timeout=1.0)
            self.log("config_put", core=core.name, version=config["version"], status=answer.status)
            if answer.status == 200:
                return True
        return False

    # Clients.

    async def submit(
        self, job: str, body: dict[str, Any], work_s: float, queue: str = "/p/", tries: int = 5,
        key: str = "key-of-t1", first: int = 0
    ) -> Answer:
        """Submit a job as a client does: after no clear answer, again at another front process."""
        self.work_s[job] = work_s
        self.steps[job] = body["steps"]
        answer = Answer(0)
        for n in range(tries):
            front = self.fronts[(first + n) % len(self.fronts)]
            answer = await self.client_call("POST", front, f"{queue}{job}", body, key)
            if answer.status not in (0, 502, 504, 503, 429):
                break
            await asyncio.sleep(0.3)
        return answer

    async def client_call(
        self, method: str, front: Program, path: str, body: Any = None, key: str = "key-of-t1",
        timeout: float = 3.0,
    ) -> Answer:
        """Make one call of a client, and record it."""
        headers = {"host": HOST, "x-credential": key, "x-deadline-ms": str(int(timeout * 1000))}
        sent = self.log.now
        answer = await call(method, self.front(front), path, body, headers, timeout)
        self.log("client_call", method=method, front=front.name, path=path, sent=round(sent, 3),
                 status=answer.status, body=answer.body.decode(errors="replace")[:200])
        return answer

    def leader(self) -> Program:
        """Return the core process that last said that it leads."""
        found: list[tuple[str, Program]] = []
        for core in self.cores:
            for line in core.log_text().splitlines():
                if '"leadership_taken"' in line:
                    found.append((json.loads(line)["time"], core))
        return max(found, key=lambda pair: pair[0])[1]
