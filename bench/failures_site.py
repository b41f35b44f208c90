"""
bench.failures_site
~~~~~~~~~~~~~~~~~~~

The site of a failure run: daemons over data centres, worker platforms, endpoints that can be
stopped and killed, and the configuration that they start with.
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

from bench.failures_records import Attempt, Ended, Kind, Records, Run
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
"""Workers of the one rack of each data centre."""

SLOTS = 8
"""Slots of each endpoint."""

LEAVE_SECONDS = 6.0
"""Seconds for which a leaving endpoint still runs what it is sent."""

JOB_SECONDS = 2.0
"""Seconds that a task runs."""

CHANGED_PROFILES = tuple(f"changed-{number}" for number in range(8))
"""Profiles that operators change during the run."""

GANG = Shape(4, Resources(accelerators=2, cores=2, memory_mb=1024), Adjacency.RACK)
SINGLE = Shape(1, Resources(accelerators=1, cores=1, memory_mb=512))
CLAIMED = GuaranteeName("big")


class Layout(msgspec.Struct, frozen=True):
    """How many daemons and voters a site has."""

    daemons_by_data_centre: dict[str, int]
    voters: int


LAYOUTS_BY_NAME = {
    "three": Layout({"leon": 3, "celaya": 3, "irapuato": 3}, 3),
    "four": Layout({"north": 3, "south": 2, "east": 2, "west": 2}, 5),
}


class SiteEndpoint:
    """One stand-in endpoint, whose runs are logged to a file."""

    def __init__(self, name: str, data_centre: str, child: Child, log: Path) -> None:
        """Wait until it listens."""
        self.name = name
        self.data_centre = data_centre
        self.pid = child.pid
        self._log = log
        self._url = f"http://{child.read_address()}"

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        os.kill(self.pid, number)

    def runs(self) -> list[Run]:
        """Read its log of runs; a line cut off by a kill is left out."""
        decoder = msgspec.json.Decoder(LoggedRun)
        lines = self._log.read_bytes().split(b"\n")[:-1]
        return [Run(run.marker, run.at, self.name) for run in map(decoder.decode, lines)]

    def starts_without_slot(self) -> int:
        """Return how many requests came while its slots were taken; 0 if it does not answer."""
        try:
            answer = httpcore.request("GET", f"{self._url}/counts")
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return 0
        return msgspec.json.decode(answer.content, type=EndpointCounts).refused_full


class Site:
    """
    Daemons, platforms and endpoints under test.

    :param folder: for logs and data folders.
    """

    def __init__(self, layout: Layout, folder: Path) -> None:
        """Start nothing yet."""
        self._folder = folder
        self._stack = ExitStack()
        self._numbers = itertools.count(1)
        self.cluster = Cluster(
            folder,
            layout.daemons_by_data_centre,
            layout.voters,
            platform_options=["--racks", f"r1:{WORKERS}", "--memory-mb", "131072"],
        )
        self.endpoints: list[SiteEndpoint] = []
        self._retired: list[SiteEndpoint] = []
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
        """End all processes."""
        self._stack.close()

    @property
    def daemons(self) -> dict[str, Daemon]:
        """All daemons by name."""
        return self.cluster.daemons_by_name

    def add_endpoint(self, data_centre: str) -> SiteEndpoint:
        """Start an endpoint."""
        name = f"{data_centre}-e{next(self._numbers)}"
        log = self._folder / f"{name}.runs"
        command = [sys.executable, "-m", "standins.endpoint", "--id", name, "--service", SERVICE]
        place = ["--data-centre", data_centre, "--announce-to", ",".join(self.cluster.entries)]
        behaviour = ["--slots", str(SLOTS), "--slow-ms", "200", "--jitter-ms", "300"]
        ending = ["--leave-seconds", str(LEAVE_SECONDS), "--run-log", str(log)]
        child = Child(name, [*command, *place, *behaviour, *ending])
        self._stack.enter_context(child)
        endpoint = SiteEndpoint(name, data_centre, child, log)
        self.endpoints.append(endpoint)
        return endpoint

    def retire(self, endpoint: SiteEndpoint) -> None:
        """Choose an endpoint for no further fault."""
        self.endpoints.remove(endpoint)
        self._retired.append(endpoint)

    def session(self, *names: str) -> Session:
        """Return a session with some daemons, or with all."""
        chosen = names or tuple(self.daemons)
        return Session([self.daemons[name].plan.url for name in chosen], self.adapter)

    async def configure(self) -> None:
        """Declare data centres, a workspace and the profiles of the load."""
        session = self.session()
        for edit in self._edits():
            version = (await session.configuration()).version
            accepted = await session.change(edit, base_version=version)
            await self._wait_for(accepted.version)

    async def _wait_for(self, version: int) -> None:
        """Wait until every daemon has applied a version, so that the next change builds on it."""
        for name in self.daemons:
            while (await self.session(name).status()).configuration_version < version:
                pass

    def _edits(self) -> Iterator[Edit]:
        rack = Rack(RackId("r1"), WORKERS, PER_WORKER)
        data_centres = [DataCentreId(name) for name in self.cluster.data_centres]
        for data_centre in data_centres:
            yield PutDataCentre(DataCentre(data_centre, racks=(rack,)))
        claim = Guarantee(CLAIMED, data_centres[0], GANG)
        yield PutWorkspace(Workspace(WORKSPACE, guarantees=(claim,)))
        yield from map(PutProfile, _profiles())

    def counts(self, data_centre: str) -> PlatformCounts:
        """Return what the platform of a data centre ran."""
        url = self.cluster.platforms_by_data_centre[data_centre]
        answer = httpcore.request("GET", f"{url}/counts")
        return msgspec.json.decode(answer.content, type=PlatformCounts)

    async def statuses(self) -> dict[str, InstanceStatus]:
        """Return the status of each daemon that runs."""
        return {
            name: await self.session(name).status()
            for name, daemon in self.daemons.items()
            if daemon.is_running
        }

    async def jobs_under_way(self) -> int:
        """Return how many jobs have not ended."""
        jobs = await self.session().jobs()
        return sum(job.state is not JobStage.ENDED for job in jobs)

    async def collect(self, records: Records) -> None:
        """Read what really ran, and how the jobs and the configuration stand at the end."""
        for endpoint in [*self.endpoints, *self._retired]:
            records.runs += endpoint.runs()
            records.starts_without_slot += endpoint.starts_without_slot()
        for data_centre in self.cluster.data_centres:
            counts = self.counts(data_centre)
            records.tasks_by_task |= {str(task): n for task, n in counts.starts_by_task.items()}
            records.attempts += [
                Attempt(each.job, each.attempt, each.starts, data_centre)
                for each in counts.starts_by_attempt
            ]
        records.ended = [
            Ended(job.job, job.state is JobStage.ENDED, job.execution)
            for job in await self.session().jobs()
        ]
        profiles = (await self.session().configuration()).profiles_by_name
        records.final_values_by_profile = {
            name: profile.expected_run for name, profile in profiles.items()
        }


def changed_profile(name: str, value: float) -> Profile:
    """Return a profile that carries a value in its expected run, and that no work is sent with."""
    return Profile(ProfileName(name), WorkKind.JOB, WORKSPACE, shape=SINGLE, expected_run=value)


def profile_of(kind: Kind) -> str:
    """Return the name of the profile that work of a kind is sent with."""
    return "once" if kind is Kind.KEYED else kind.value.replace("_", "-")


def _profiles() -> Iterator[Profile]:
    for kind in (Kind.IDEMPOTENT, Kind.ONCE):
        yield Profile(
            ProfileName(profile_of(kind)),
            WorkKind.REQUEST,
            WORKSPACE,
            idempotent=kind is Kind.IDEMPOTENT,
            service=SERVICE,
            deadline=3.0,
        )
    for kind in (Kind.JOB, Kind.JOB_ONCE, Kind.GANG, Kind.GANG_ONCE, Kind.CLAIM):
        yield Profile(
            ProfileName(profile_of(kind)),
            WorkKind.JOB,
            WORKSPACE,
            idempotent=kind in (Kind.JOB, Kind.GANG, Kind.CLAIM),
            shape=SINGLE if kind in (Kind.JOB, Kind.JOB_ONCE) else GANG,
            guarantee=CLAIMED if kind is Kind.CLAIM else None,
            expected_run=JOB_SECONDS,
        )
    for name in CHANGED_PROFILES:
        yield changed_profile(name, 1.0)


def now() -> float:
    """Read the machine's monotonic clock, which stand-ins use as well."""
    return time.monotonic()
