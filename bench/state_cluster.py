"""
bench.state_cluster
~~~~~~~~~~~~~~~~~~~

Measures the replicated log between real daemons on loopback: the rate of commits, the time until a
configuration is in force everywhere, failover, restart, and the cost of an idle instance.
"""

import os
import re
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

import anyio
import msgspec

from bench.report import emit, percentile
from bulrushhollow.adapters import Call, WholeAnswer
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow.http import HttpAdapter
from bulrushhollow.sessions import Session
from bulrushhollow_core.answers import InstanceStatus
from bulrushhollow_core.changes import PutWorkspace
from bulrushhollow_core.ids import WorkspaceId
from bulrushhollow_core.models import Workspace
from standins.cluster import Cluster, Daemon

BENCH = "state"
INSTANCES_BY_DATA_CENTRE = {"north": 3, "south": 2, "east": 2}
VOTER_COUNTS = (3, 5)

IDLE_SECONDS = 20.0
"""Seconds for which idle daemons are measured."""

SENDER_COUNTS = (1, 8, 64)
"""Numbers of concurrent callers; each waits for a commit before it sends the next request."""

COMMIT_SECONDS = 4.0
"""Seconds for which commits are counted."""

COMMIT_TIMEOUT = 6.0
"""Timeout in seconds of a request that commits an entry."""

TIMED_CHANGES = 60
"""Number of changes of configuration that are timed, one after the other."""

FAILOVERS = 4
"""Number of repetitions of every failover and restart."""

POLL_INTERVAL = 0.02
"""Seconds between two checks of a condition."""

STATUS_TIMEOUT = 0.5
"""Seconds after which a daemon that does not answer counts as unreachable."""

WAIT_TIMEOUT = 20.0
"""Seconds after which a condition that does not hold raises an error."""

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def measure(seed: int, folder: Path | None) -> None:
    """Measure clusters with several numbers of voters."""
    for voters in VOTER_COUNTS:
        with (
            tempfile.TemporaryDirectory(dir=folder) as name,
            Cluster(
                Path(name), INSTANCES_BY_DATA_CENTRE, voters=voters, platform_options=None
            ) as cluster,
        ):
            cluster.wait_until_ready()
            anyio.run(_ClusterMeasurement(seed, cluster, voters).measure)


class _ClusterMeasurement:
    """Runs the measurements on one cluster."""

    def __init__(self, seed: int, cluster: Cluster, voters: int) -> None:
        self._seed = seed
        self._cluster = cluster
        self._voters = voters
        self._adapter = HttpAdapter()
        self._job_numbers = count()

    async def measure(self) -> None:
        """Run all measurements, one after the other."""
        await self._wait_until(self._is_settled)
        await self._measure_idle()
        for senders in SENDER_COUNTS:
            await self._measure_commits(senders)
        await self._measure_rollout()
        await self._measure_restart()
        await self._measure_log_failover()
        await self._measure_lease_failover()
        await self._adapter.close()

    def _emit(self, subject: str, metric: str, value: float, unit: str) -> None:
        prefix = f"{self._voters} voters of {len(self._cluster.plans)}"
        emit(BENCH, self._seed, f"{prefix}: {subject}", metric, value, unit)

    def _emit_latency(self, subject: str, seconds: list[float]) -> None:
        milliseconds = [1000 * value for value in seconds]
        self._emit(subject, "p50", percentile(milliseconds, 0.5), "ms")
        self._emit(subject, "p99", percentile(milliseconds, 0.99), "ms")
        self._emit(subject, "max", max(milliseconds), "ms")

    async def _measure_idle(self) -> None:
        leader = await self._leader()
        daemons_by_subject = {
            "idle leader": leader,
            "idle voter": self._running_daemon_besides(leader, has_disk=True),
            "idle observer": self._running_daemon_besides(leader, has_disk=False),
        }
        cpu_before = {name: _cpu_seconds(d.pid) for name, d in daemons_by_subject.items()}
        sent_before = {name: _sent_bytes(d.pid) for name, d in daemons_by_subject.items()}
        began = time.monotonic()
        await anyio.sleep(IDLE_SECONDS)
        for name, daemon in daemons_by_subject.items():
            elapsed = time.monotonic() - began
            used = _cpu_seconds(daemon.pid) - cpu_before[name]
            self._emit(name, "processor", 100 * used / elapsed, "% of a core")
            rate = (_sent_bytes(daemon.pid) - sent_before[name]) / elapsed
            self._emit(name, "bytes sent", rate, "B/s")
            self._emit(name, "resident memory", _resident_bytes(daemon.pid) / 1e6, "MB")

    async def _measure_commits(self, senders: int) -> None:
        durations: list[float] = []
        entry_url = self._running_daemon_besides(await self._leader(), has_disk=False).plan.url
        began = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for _ in range(senders):
                tasks.start_soon(self._send_commits, entry_url, began + COMMIT_SECONDS, durations)
        subject = f"commits by {senders} senders through one observer"
        self._emit(subject, "rate", len(durations) / (time.monotonic() - began), "1/s")
        self._emit_latency(subject, durations)

    async def _send_commits(self, entry_url: str, end: float, durations: list[float]) -> None:
        adapter = HttpAdapter(max_connections=1)
        while time.monotonic() < end:
            began = time.monotonic()
            if await self._commit(adapter, entry_url, COMMIT_TIMEOUT):
                durations.append(time.monotonic() - began)
        await adapter.close()

    async def _commit(self, adapter: HttpAdapter, entry_url: str, timeout: float) -> bool:
        """Commit one entry without effect, by cancelling a job that does not exist."""
        path = f"/v1/jobs/none-{next(self._job_numbers)}"
        answer = await adapter.send(Call("DELETE", entry_url, path, b"", (), timeout))
        return isinstance(answer, WholeAnswer) and b"no_such_job" in answer.body

    async def _measure_rollout(self) -> None:
        durations = []
        lagging_or_conflicting = 0
        async with Session(self._cluster.entries) as session:
            for number in range(TIMED_CHANGES):
                workspace = Workspace(WorkspaceId(f"team-{number}"))
                version = (await session.configuration()).version
                began = time.monotonic()
                try:
                    accepted = await session.change(PutWorkspace(workspace), base_version=version)
                except BulrushhollowError:
                    lagging_or_conflicting += 1
                    continue
                durations.append(time.monotonic() - began)
                lagging_or_conflicting += bool(accepted.not_yet_in)
        subject = "change answered as in force everywhere"
        self._emit_latency(subject, durations)
        self._emit(
            subject, "answers that named a laggard or a conflict", lagging_or_conflicting, "1"
        )

    async def _measure_restart(self) -> None:
        durations = []
        voter = self._running_daemon_besides(await self._leader(), has_disk=True)
        for _ in range(FAILOVERS):
            voter.stop()
            began = time.monotonic()
            voter.start()
            await self._wait_until(lambda: self._is_ready(voter))
            durations.append(time.monotonic() - began)
        self._emit_latency("start of a stopped voter until it is ready", durations)

    async def _measure_log_failover(self) -> None:
        for failure in ("killed", "frozen", "stopped"):
            durations = []
            for _ in range(FAILOVERS):
                durations.append(await self._time_leader_failover(failure))
                await self._wait_until(self._is_settled)
            self._emit_latency(f"leader {failure} until the next commit", durations)

    async def _time_leader_failover(self, failure: str) -> float:
        leader = await self._leader()
        entry_url = self._running_daemon_besides(leader, has_disk=False).plan.url
        began = time.monotonic()
        if failure == "killed":
            leader.kill()
        elif failure == "frozen":
            leader.freeze()
        else:
            leader.stop()
            began = time.monotonic()
        await self._wait_until(lambda: self._commit(self._adapter, entry_url, STATUS_TIMEOUT))
        duration = time.monotonic() - began
        if failure == "frozen":
            leader.thaw()
        else:
            leader.start()
        return duration

    async def _measure_lease_failover(self) -> None:
        durations = []
        for _ in range(FAILOVERS):
            await self._wait_until(lambda: self._is_held("north"))
            holder = await self._holder("north")
            assert holder is not None
            holder.kill()
            began = time.monotonic()
            await self._wait_until(lambda: self._is_held("north"))
            durations.append(time.monotonic() - began)
            holder.start()
            await self._wait_until(self._is_settled)
        self._emit_latency("holder of a lease killed until the next holds it", durations)

    def _daemons(self, data_centre: str | None = None) -> list[Daemon]:
        daemons = self._cluster.daemons_by_name.values()
        return [d for d in daemons if data_centre in (None, d.plan.data_centre)]

    def _running_daemon_besides(self, leader: Daemon, has_disk: bool) -> Daemon:
        candidates = [d for d in self._daemons() if d is not leader and d.is_running]
        return next(d for d in candidates if d.plan.has_disk == has_disk)

    async def _status(self, daemon: Daemon) -> InstanceStatus | None:
        if not daemon.is_running:
            return None
        call = Call("GET", daemon.plan.url, "/v1/status", b"", (), STATUS_TIMEOUT)
        answer = await self._adapter.send(call)
        if not isinstance(answer, WholeAnswer) or answer.status_code != 200:
            return None
        return msgspec.json.decode(answer.body, type=InstanceStatus)

    async def _leader(self) -> Daemon:
        while True:
            for daemon in self._daemons():
                status = await self._status(daemon)
                if status and status.leader == status.instance:
                    return daemon
            await anyio.sleep(POLL_INTERVAL)

    async def _is_ready(self, daemon: Daemon) -> bool:
        status = await self._status(daemon)
        return status is not None and status.ready

    async def _is_settled(self) -> bool:
        statuses = [await self._status(daemon) for daemon in self._daemons()]
        voting = sum(status is not None and status.voter for status in statuses)
        are_all_ready = all(status is not None and status.ready for status in statuses)
        is_leader_agreed = len({status.leader for status in statuses if status}) == 1
        return voting == self._voters and are_all_ready and is_leader_agreed

    async def _holder(self, data_centre: str) -> Daemon | None:
        for daemon in self._daemons(data_centre):
            status = await self._status(daemon)
            if status and status.holds_lease:
                return daemon
        return None

    async def _is_held(self, data_centre: str) -> bool:
        return await self._holder(data_centre) is not None

    async def _wait_until(self, condition: Callable[[], Awaitable[bool]]) -> None:
        with anyio.fail_after(WAIT_TIMEOUT):
            while not await condition():
                await anyio.sleep(POLL_INTERVAL)


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _sent_bytes(pid: int) -> int:
    """Return the payload bytes of all TCP connections that a process has open."""
    command = ["ss", "-tinpOH"]
    lines = subprocess.run(command, capture_output=True, text=True, check=True).stdout.splitlines()
    own_lines = [line for line in lines if f"pid={pid}," in line]
    return sum(
        int(number) for line in own_lines for number in re.findall(r"bytes_sent:(\d+)", line)
    )
