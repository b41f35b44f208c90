"""
bench.failures_site
~~~~~~~~~~~~~~~~~~~

The site of a failure run: daemons in several data centres, worker platforms, endpoints that can be
stopped and killed, and the initial configuration.
"""

import itertools
import os
import signal
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Self

import httpcore
import msgspec

from bench.failures_records import Attempt, JobOutcome, Kind, Records, RequestRun
from bulrushhollow.http import HttpAdapter
from bulrushhollow.sessions import Session
from bulrushhollow_core.answers import InstanceStatus, JobStage
from bulrushhollow_core.changes import Edit, PutDataCentre, PutProfile, PutWorkspace
from bulrushhollow_core.ids import (
    DataCentreId,
    GuaranteeName,
    ProfileName,
    RackId,
    WorkspaceId,
)
from bulrushhollow_core.models import (
    Adjacency,
    DataCentre,
    Guarantee,
    Profile,
    Rack,
    Resources,
    Shape,
    WorkKind,
    Workspace,
)
from standins._children import Child
from standins._endpoint import EndpointCounts, LoggedRun
from standins.cluster import Cluster, Daemon
from standins.worker_platform import PlatformCounts

SERVICE = "orders"
WORKSPACE = WorkspaceId("bajio")
PER_WORKER = Resources(accelerators=8, cores=64, memory_mb=131_072)
WORKERS = 4
"""Workers in each data centre, all in one rack."""

SLOTS = 8
"""Slots of each endpoint."""

LEAVE_SECONDS = 6.0
"""Seconds for which a leaving endpoint still runs requests."""

JOB_SECONDS = 2.0
"""Run time of each task, in seconds."""

CHANGED_PROFILES = tuple(f"changed-{number}" for number in range(8))
"""Profiles that operators change during the run."""

GANG_SHAPE = Shape(4, Resources(accelerators=2, cores=2, memory_mb=1024), Adjacency.RACK)
SINGLE_TASK_SHAPE = Shape(1, Resources(accelerators=1, cores=1, memory_mb=512))
GUARANTEE_NAME = GuaranteeName("big")


class Layout(msgspec.Struct, frozen=True):
    """The number of daemons in each data centre and of voters."""

    daemons_by_data_centre: dict[str, int]
    voters: int


LAYOUTS_BY_NAME = {
    "three": Layout({"leon": 3, "celaya": 3, "irapuato": 3}, 3),
    "four": Layout({"north": 3, "south": 2, "east": 2, "west": 2}, 5),
}


class EndpointProcess:
    """A stand-in endpoint process that logs its runs to a file."""

    def __init__(self, name: str, data_centre: str, child: Child, log: Path) -> None:
        """Wait until the endpoint listens."""
        self.name = name
        self.data_centre = data_centre
        self.pid = child.pid
        self._log = log
        self._url = f"http://{child.read_address()}"

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        os.kill(self.pid, number)

    def runs(self) -> list[RequestRun]:
        """Return the logged runs, without a last line that a kill truncated."""
        decoder = msgspec.json.Decoder(LoggedRun)
        lines = self._log.read_bytes().split(b"\n")[:-1]
        return [RequestRun(run.marker, run.at, self.name) for run in map(decoder.decode, lines)]

    def requests_beyond_slots(self) -> int:
        """Return how many requests found no free slot; 0 if the endpoint does not answer."""
        try:
            answer = httpcore.request("GET", f"{self._url}/counts")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return 0
        return msgspec.json.decode(answer.content, type=EndpointCounts).refused_full


class FailureSite:
    """
    The daemons, platforms and endpoints under test.

    :param folder: receives logs and data folders.
    """

    def __init__(self, layout: Layout, folder: Path) -> None:
        """Prepare the site without starting any process."""
        self._folder = folder
        self._stack = ExitStack()
        self._numbers = itertools.count(1)
        self.cluster = Cluster(
            folder,
            layout.daemons_by_data_centre,
            layout.voters,
            platform_options=["--racks", f"r1:{WORKERS}", "--memory-mb", "131072"],
        )
        self.endpoints: list[EndpointProcess] = []
        self._retired: list[EndpointProcess] = []
        self.adapter = HttpAdapter()

    def __enter__(self) -> Self:
        """Start all processes and wait until they are ready."""
        with self._stack as stack:
            stack.enter_context(self.cluster)
            self.cluster.wait_until_ready()
            for number, data_centre in enumerate(self.cluster.data_centres):
                for _ in range(3 if number == 0 else 2):
                    self.add_endpoint(data_centre)
            self._stack = stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop all processes."""
        self._stack.close()

    @property
    def daemons(self) -> dict[str, Daemon]:
        """Return all daemons by name."""
        return self.cluster.daemons_by_name

    def add_endpoint(self, data_centre: str) -> EndpointProcess:
        """Start an endpoint in a data centre."""
        name = f"{data_centre}-e{next(self._numbers)}"
        log = self._folder / f"{name}.runs"
        command = [sys.executable, "-m", "standins.endpoint", "--id", name, "--service", SERVICE]
        location = ["--data-centre", data_centre, "--announce-to", ",".join(self.cluster.entries)]
        behaviour = ["--slots", str(SLOTS), "--slow-ms", "200", "--jitter-ms", "300"]
        leaving = ["--leave-seconds", str(LEAVE_SECONDS), "--run-log", str(log)]
        child = Child(name, [*command, *location, *behaviour, *leaving])
        self._stack.enter_context(child)
        endpoint = EndpointProcess(name, data_centre, child, log)
        self.endpoints.append(endpoint)
        return endpoint

    def retire(self, endpoint: EndpointProcess) -> None:
        """Exclude an endpoint from further faults, but keep it for the final records."""
        self.endpoints.remove(endpoint)
        self._retired.append(endpoint)

    def session(self, *names: str) -> Session:
        """Return a session with the named daemons, or with all if none is named."""
        chosen = names or tuple(self.daemons)
        return Session([self.daemons[name].plan.url for name in chosen], self.adapter)

    async def configure(self) -> None:
        """Configure the data centres, the workspace and the profiles of the load."""
        session = self.session()
        for edit in self._edits():
            version = (await session.configuration()).version
            accepted = await session.change(edit, base_version=version)
            await self._wait_until_applied(accepted.version)

    async def _wait_until_applied(self, version: int) -> None:
        """Wait until every daemon has applied a version, so that the next change builds on it."""
        for name in self.daemons:
            while (await self.session(name).status()).configuration_version < version:
                pass

    def _edits(self) -> Iterator[Edit]:
        rack = Rack(RackId("r1"), WORKERS, PER_WORKER)
        data_centres = [DataCentreId(name) for name in self.cluster.data_centres]
        for data_centre in data_centres:
            yield PutDataCentre(DataCentre(data_centre, racks=(rack,)))
        guarantee = Guarantee(GUARANTEE_NAME, data_centres[0], GANG_SHAPE)
        yield PutWorkspace(Workspace(WORKSPACE, guarantees=(guarantee,)))
        yield from map(PutProfile, _profiles())

    def platform_counts(self, data_centre: str) -> PlatformCounts:
        """Return the counters of the platform of a data centre."""
        url = self.cluster.platforms_by_data_centre[data_centre]
        answer = httpcore.request("GET", f"{url}/counts")
        return msgspec.json.decode(answer.content, type=PlatformCounts)

    async def statuses(self) -> dict[str, InstanceStatus]:
        """Return the status of each running daemon."""
        return {
            name: await self.session(name).status()
            for name, daemon in self.daemons.items()
            if daemon.is_running
        }

    async def count_open_jobs(self) -> int:
        """Return the number of jobs that have not ended."""
        jobs = await self.session().jobs()
        return sum(job.state is not JobStage.ENDED for job in jobs)

    async def collect(self, records: Records) -> None:
        """Record what the stand-ins ran and the final state of jobs and configuration."""
        for endpoint in [*self.endpoints, *self._retired]:
            records.runs += endpoint.runs()
            records.requests_beyond_slots += endpoint.requests_beyond_slots()
        for data_centre in self.cluster.data_centres:
            counts = self.platform_counts(data_centre)
            records.starts_by_task |= {str(task): n for task, n in counts.starts_by_task.items()}
            records.attempts += [
                Attempt(count.job, count.attempt, count.starts, data_centre)
                for count in counts.starts_by_attempt
            ]
        records.job_outcomes = [
            JobOutcome(job.job, job.state is JobStage.ENDED, job.execution)
            for job in await self.session().jobs()
        ]
        profiles = (await self.session().configuration()).profiles_by_name
        records.final_values_by_profile = {
            name: profile.expected_run for name, profile in profiles.items()
        }


def changed_profile(name: str, value: float) -> Profile:
    """Return a profile that no work uses and whose expected run is the given value."""
    return Profile(
        ProfileName(name), WorkKind.JOB, WORKSPACE, shape=SINGLE_TASK_SHAPE, expected_run=value
    )


def profile_name_of(kind: Kind) -> str:
    """Return the name of the profile that work of this kind uses."""
    return "once" if kind is Kind.KEYED else kind.value.replace("_", "-")


def _profiles() -> Iterator[Profile]:
    for kind in (Kind.IDEMPOTENT, Kind.ONCE):
        yield Profile(
            ProfileName(profile_name_of(kind)),
            WorkKind.REQUEST,
            WORKSPACE,
            idempotent=kind is Kind.IDEMPOTENT,
            service=SERVICE,
            deadline=3.0,
        )
    for kind in (Kind.JOB, Kind.JOB_ONCE, Kind.GANG, Kind.GANG_ONCE, Kind.CLAIM):
        yield Profile(
            ProfileName(profile_name_of(kind)),
            WorkKind.JOB,
            WORKSPACE,
            idempotent=kind in (Kind.JOB, Kind.GANG, Kind.CLAIM),
            shape=SINGLE_TASK_SHAPE if kind in (Kind.JOB, Kind.JOB_ONCE) else GANG_SHAPE,
            guarantee=GUARANTEE_NAME if kind is Kind.CLAIM else None,
            expected_run=JOB_SECONDS,
        )
    for name in CHANGED_PROFILES:
        yield changed_profile(name, 1.0)


def now() -> float:
    """Return the time of the machine's monotonic clock, which stand-ins use too."""
    return time.monotonic()
