"""
standins.cluster
~~~~~~~~~~~~~~~~

Several daemons on loopback with stand-in endpoints and a stand-in worker platform for each data
centre, for the benches and the tests of failures.

Usage::

    with Cluster(folder, {"north": 3, "south": 2, "east": 2}) as cluster:
        cluster.wait_until_ready()
        cluster.daemons_by_name["north-1"].kill()
"""

import contextlib
import os
import shutil
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

import httpcore
import msgspec

from standins._children import Child, command_path, free_address

READY_TIMEOUT = 30.0
"""Seconds that a daemon may take to become ready."""


class DaemonPlan(msgspec.Struct, frozen=True):
    """The identity and the addresses of one daemon."""

    name: str
    data_centre: str
    http: str
    peer: str
    has_disk: bool

    @property
    def url(self) -> str:
        """The base address of its API."""
        return f"http://{self.http}"

    def peer_option(self) -> str:
        """Return the value of ``--peer`` that introduces it to other daemons."""
        return f"{self.name}={self.data_centre}={self.peer}" + ("=disk" if self.has_disk else "")


class Daemon:
    """
    One daemon that can be killed, frozen and started again.

    :param options: its command line without the flag to found a site.
    """

    def __init__(self, plan: DaemonPlan, options: Sequence[str], folder: Path) -> None:
        self.plan = plan
        self._options = options
        self._folder = folder
        self._start_count = 0
        self._child: Child | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._child is not None
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and neither stopped nor killed since."""
        return self._child is not None

    def start(self, founds_site: bool = False) -> None:
        """Start a process; its log goes to a file of its own."""
        self._start_count += 1
        log = self._folder / f"{self.plan.name}.{self._start_count}.log"
        founding_option = ["--found"] if founds_site else []
        command = [command_path("bulrushhollowd"), *self._options, *founding_option]
        self._child = Child(self.plan.name, command, log)

    def wait_until_ready(self, seconds: float = READY_TIMEOUT) -> None:
        """Wait until its readiness check passes."""
        assert self._child is not None
        self._child.wait_until_ready(self.plan.url, seconds)

    def stop(self) -> int:
        """Stop the process by a graceful shutdown and return its exit code."""
        assert self._child is not None
        with self._child as child:
            code = child.stop()
        self._child = None
        return code

    def kill(self) -> None:
        """Kill the process."""
        if self._child is not None:
            self._child.__exit__(None, None, None)
            self._child = None

    def freeze(self) -> None:
        """Suspend the process."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a frozen process."""
        os.kill(self.pid, signal.SIGCONT)

    def lose_disk(self) -> None:
        """Delete the data folder of a daemon that does not run."""
        shutil.rmtree(self._folder / self.plan.name, ignore_errors=True)

    def drop_traffic_with(self, peers: Sequence[str]) -> None:
        """Drop the traffic with these peers and no others; an empty list restores all links."""
        body = msgspec.json.encode({"peers": list(peers)})
        httpcore.request("POST", f"{self.plan.url}/v1/development/cut", content=body)


class Cluster:
    """
    Daemons with their worker platforms and endpoints.

    :param folder: parent of logs and data folders.
    :param daemons_by_data_centre: number of daemons in each data centre.
    :param voters: number of daemons with a disk, spread over the data centres in turn.
    :param platform_options: flags of each worker platform; None starts no platform.
    :param daemon_options: further flags of every daemon.
    """

    def __init__(
        self,
        folder: Path,
        daemons_by_data_centre: Mapping[str, int],
        voters: int = 3,
        platform_options: Sequence[str] | None = (),
        daemon_options: Sequence[str] = (),
    ) -> None:
        self._folder = folder
        self._stack = contextlib.ExitStack()
        self._platform_options = platform_options
        self._daemon_options = daemon_options
        self.plans = _plan_daemons(daemons_by_data_centre, voters)
        self.data_centres = tuple(daemons_by_data_centre)
        self.platforms_by_data_centre: dict[str, str] = {}
        self.daemons_by_name: dict[str, Daemon] = {}

    def __enter__(self) -> Self:
        """Start the platforms and the daemons."""
        with self._stack:
            self._start_platforms()
            self._start_daemons()
            self._stack = self._stack.pop_all()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Kill every process."""
        self._stack.close()

    @property
    def entries(self) -> tuple[str, ...]:
        """The base addresses of all daemons."""
        return tuple(plan.url for plan in self.plans)

    def wait_until_ready(self) -> None:
        """Wait until every daemon is ready."""
        for daemon in self.daemons_by_name.values():
            daemon.wait_until_ready()

    def add_endpoint(self, name: str, data_centre: str, options: Sequence[str] = ()) -> str:
        """
        Start a stand-in endpoint that announces itself to all daemons in turn.

        :return: its base address.
        """
        command = [sys.executable, "-m", "standins.endpoint", "--id", name]
        location = ["--data-centre", data_centre, "--announce-to", ",".join(self.entries)]
        child = self._stack.enter_context(Child(name, [*command, *location, *options]))
        return f"http://{child.read_address()}"

    def _start_platforms(self) -> None:
        if self._platform_options is None:
            return
        for name in self.data_centres:
            command = [sys.executable, "-m", "standins.platform", "--data-centre", name]
            child = Child(f"platform-{name}", [*command, *self._platform_options])
            self._stack.enter_context(child)
            self.platforms_by_data_centre[name] = f"http://{child.read_address()}"

    def _start_daemons(self) -> None:
        for number, plan in enumerate(self.plans):
            daemon = Daemon(plan, self._options(plan), self._folder)
            self.daemons_by_name[plan.name] = daemon
            self._stack.callback(daemon.kill)
            daemon.start(founds_site=number == 0)

    def _options(self, plan: DaemonPlan) -> list[str]:
        options = ["--name", plan.name, "--data-centre", plan.data_centre]
        options += ["--http", plan.http, "--peer-listen", plan.peer, "--faults"]
        for other in self.plans:
            if other.name != plan.name:
                options += ["--peer", other.peer_option()]
        if plan.has_disk:
            options += ["--data-folder", str(self._folder / plan.name)]
        if plan.data_centre in self.platforms_by_data_centre:
            options += ["--platform", self.platforms_by_data_centre[plan.data_centre]]
        return [*options, *self._daemon_options]


def _plan_daemons(daemons_by_data_centre: Mapping[str, int], voters: int) -> tuple[DaemonPlan, ...]:
    most_daemons = max(daemons_by_data_centre.values())
    locations = [
        (data_centre, number)
        for number in range(1, most_daemons + 1)
        for data_centre, count in daemons_by_data_centre.items()
        if number <= count
    ]
    return tuple(
        DaemonPlan(
            name=f"{data_centre}-{number}",
            data_centre=data_centre,
            http=free_address(),
            peer=free_address(),
            has_disk=position < voters,
        )
        for position, (data_centre, number) in enumerate(locations)
    )
