"""
bench.daemon
~~~~~~~~~~~~

The resource usage of one daemon: memory after the start and after many requests, and processor time
and bytes to peers while idle, for sites of several sizes.

Usage::

    python -m bench daemon --seed 1
"""

import argparse
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import anyio
import httpcore

from bench.processes import cpu_seconds, private_bytes, resident_bytes
from bench.report import emit
from bench.requests_site import LABELS, open_site
from standins.cluster import Cluster, Daemon
from standins.load import LoadCaller, LoadPlan, Traffic

SITES = (
    {"north": 1},
    {"north": 1, "south": 1, "east": 1},
    {"north": 3, "south": 2, "east": 2},
    {"north": 3, "south": 3, "east": 3},
)
"""Numbers of daemons by data centre."""

SETTLE_SECONDS = 8.0
IDLE_SECONDS = 10.0
REQUESTS = 10_000
RATE = 400.0
"""Requests per second of the load."""

IMPORTS = (
    "asyncio",
    "anyio",
    "msgspec",
    "grpclib.server",
    "uvicorn",
    "httpcore",
    "prometheus_client",
    "pythonjsonlogger.json",
    "cyclopts",
    "bulrushhollow_core.node",
    "bulrushhollow_daemon.service",
)
"""Modules in import order; each is charged the resident memory that its import adds."""

IMPORT_PROBE = """
import importlib, sys
def resident():
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))
last = resident()
print("interpreter", last)
for name in sys.argv[1:]:
    importlib.import_module(name)
    now = resident()
    print(name, now - last)
    last = now
"""


def main(argv: list[str]) -> int:
    """Measure imports, idle daemons and a daemon under load."""
    parser = argparse.ArgumentParser(prog="python -m bench daemon")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(argv)
    _measure_imports(options.seed)
    for daemons_by_data_centre in SITES:
        _measure_idle(options.seed, daemons_by_data_centre)
    _measure_requests(options.seed)
    return 0


def _measure_imports(seed: int) -> None:
    command = [sys.executable, "-c", IMPORT_PROBE, *IMPORTS]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    for name, kibibytes in (line.split() for line in output.splitlines()):
        emit("daemon", seed, f"import {name}", "resident", int(kibibytes) / 1024, "MiB")


def _measure_idle(seed: int, daemons_by_data_centre: dict[str, int]) -> None:
    total = sum(daemons_by_data_centre.values())
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(Path(folder), daemons_by_data_centre) as cluster,
    ):
        cluster.wait_until_ready()
        time.sleep(SETTLE_SECONDS)
        daemons = list(cluster.daemons_by_name.values())
        cpu_before_by_daemon = [cpu_seconds(daemon.pid) for daemon in daemons]
        bytes_before = [_peer_bytes(daemon) for daemon in daemons]
        time.sleep(IDLE_SECONDS)
        for daemon, cpu_before, bytes_sent_before in zip(
            daemons, cpu_before_by_daemon, bytes_before, strict=True
        ):
            subject = f"{daemon.plan.name} of {total}"
            percent = 100 * (cpu_seconds(daemon.pid) - cpu_before) / IDLE_SECONDS
            emit("daemon", seed, subject, "idle processor time", percent, "% of a core")
            rate = (_peer_bytes(daemon) - bytes_sent_before) / IDLE_SECONDS / 1000
            emit("daemon", seed, subject, "idle peer bytes", rate, "KB/s")
            _emit_memory(seed, subject, daemon)


def _measure_requests(seed: int) -> None:
    """Print the memory of one daemon before and after many requests."""
    with open_site({"north": 1}, {"north": 1}, ["--slots", "64", "--connections", "128"]) as site:
        daemon = next(iter(site.cluster.daemons_by_name.values()))
        _emit_memory(seed, "before requests", daemon)
        plan = LoadPlan(
            entries=site.cluster.entries,
            traffic=(Traffic(LABELS),),
            rate=RATE,
            count=REQUESTS,
            seconds=REQUESTS / RATE * 2,
            seed=seed,
        )
        cpu_before = cpu_seconds(daemon.pid)
        outcomes = anyio.run(LoadCaller(plan).run)
        whole = sum(outcome.whole for outcome in outcomes)
        emit("daemon", seed, "load", "requests", len(outcomes), "requests")
        emit("daemon", seed, "load", "answered whole", whole, "requests")
        cpu_per_request = (cpu_seconds(daemon.pid) - cpu_before) / max(1, len(outcomes)) * 1000
        emit("daemon", seed, "load", "processor time of a request", cpu_per_request, "ms")
        _emit_memory(seed, f"after {len(outcomes)} requests", daemon)


def _emit_memory(seed: int, subject: str, daemon: Daemon) -> None:
    for metric, read in (("resident", resident_bytes), ("private", private_bytes)):
        emit("daemon", seed, subject, metric, read(daemon.pid) / 1024**2, "MiB")


def _peer_bytes(daemon: Daemon) -> float:
    text = httpcore.request("GET", f"{daemon.plan.url}/metrics").content.decode()
    return sum(_metric_values(text, "bulrushhollow_peer_bytes_"))


def _metric_values(text: str, prefix: str) -> Iterator[float]:
    lines = (line for line in text.splitlines() if line.startswith(prefix))
    return (float(line.split()[-1]) for line in lines)
