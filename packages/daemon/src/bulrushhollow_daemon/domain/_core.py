"""
bulrushhollow_daemon.domain._core
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An instance with a disk: a replica of the log, the scheduler while it leads, and the control API.
"""

import logging
import math
import random
import secrets
import socket
from collections.abc import Callable

import anyio
from prometheus_client import CollectorRegistry

from bulrushhollow_core.consensus import ConsensusRecord, Restorer
from bulrushhollow_core.domain import Answer, Call, DomainNode
from bulrushhollow_core.ids import InstanceName, Seconds, name_of
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.caller_server import (
    RESERVED_DESCRIPTORS,
    ServerLimits,
    make_caller_server,
)
from bulrushhollow_daemon.decision_log import StandardOutput
from bulrushhollow_daemon.domain._leader import Leader
from bulrushhollow_daemon.domain._metrics import CallMetrics, CoreMetrics, ProcessMetrics
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._process import (
    Application,
    SettingsReader,
    operators_pages,
    until_stopped,
    watch_settings,
)
from bulrushhollow_daemon.domain._rpc import Introduction, Parcel, Question, Reply, Service
from bulrushhollow_daemon.domain._runtime import CoreRuntime
from bulrushhollow_daemon.domain._settings import InstanceSettings
from bulrushhollow_daemon.domain._status import CoreStatus
from bulrushhollow_daemon.domain._workers import WorkerClient
from bulrushhollow_daemon.http_server import HttpServer, open_listener
from bulrushhollow_daemon.journal import Journal

CONTROL_HEADER_TIMEOUT = Seconds(5.0)
"""Seconds within which the head of a control call must be whole; it is small."""

CONTROL_IDLE_TIMEOUT = Seconds(30.0)
"""Seconds for which an idle control connection is kept; workers announce every second or two."""

HAND_OVER_LIMIT = Seconds(1.5)
"""Seconds that a planned stop waits for another instance to lead; an election's length."""

STOP_POLL = Seconds(0.05)
"""Seconds between two looks at whether a planned stop can end."""

LAST_CALLS = Seconds(0.6)
"""Seconds that calls in flight get after another instance leads; some commits."""

ADDRESS_INTERVAL = Seconds(0.5)
"""Seconds between two looks at the members for addresses."""

logger = logging.getLogger("bulrushhollow.core")


class CoreInstance:
    """
    One run of an instance with a disk.

    :param workers: speaks to workers.
    :param make_control: returns the control application, given a way to ask the leader.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        workers: WorkerClient,
        make_control: Callable[[Leader, CallMetrics], Application],
        read_settings: SettingsReader,
        output: StandardOutput,
    ) -> None:
        """Open the journal and replay it."""
        assert settings.data_folder is not None, "an instance of this role has a disk"
        self._settings = settings
        self._workers = workers
        self._read_settings = read_settings
        self._output = output
        self._registry = CollectorRegistry()
        self._journal: Journal[ConsensusRecord] = Journal.open(
            settings.data_folder, InstanceName(settings.address), ConsensusRecord
        )
        restorer = Restorer()
        for record in self._journal.replay():
            restorer.apply(record)
        rng = random.Random(secrets.randbits(64))
        self._node = DomainNode(
            self._journal.instance,
            restorer.restored(),
            settings.domain,
            rng,
            clock.now(),
            settings.data_centre,
        )
        metrics = CoreMetrics(self._registry)
        metrics.watch(self._node)
        ProcessMetrics(self._registry, output, self._serves)
        self._runtime = CoreRuntime(self._node, self._journal, workers, metrics)
        self._peers = Peers(settings.address, settings.peer_port, self._introduce, self._runtime)
        self._leader = Leader(settings.peer_port, (settings.address, self._answer))
        self._control = make_control(self._leader, CallMetrics(self._registry))

    async def run(self) -> None:
        """Serve until told to stop."""
        settings = self._settings
        service = Service(self._deliver, self._on_question)
        await service.open(settings.peer_bind, settings.peer_port)
        servers = self._servers()
        logger.info(
            "started",
            extra={
                "incarnation": self._node.me,
                "founder": settings.is_founder,
                "seeds": ",".join(settings.seeds),
                "belongs": self._node.has_log(clock.now()),
            },
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._peers.start(tasks)
                self._apply(settings)
                if settings.is_founder and not self._node.has_log(clock.now()):
                    self._node.bootstrap(clock.now())
                    logger.info("log_founded")
                tasks.start_soon(self._runtime.run, self._peers)
                tasks.start_soon(self._follow_members)
                tasks.start_soon(watch_settings, self._read_settings, self._apply, self._output)
                for server, sock in servers:
                    tasks.start_soon(server.serve, [sock])
                await until_stopped(self._stop)
                for server, _ in servers:
                    server.should_exit = True
                tasks.cancel_scope.cancel()
        finally:
            await self._workers.close()
            await service.close()
            self._journal.close()
            logger.info("stopped")
            self._output.report()

    def _servers(self) -> list[tuple[HttpServer, socket.socket]]:
        settings = self._settings
        assert settings.control is not None
        room = max(64, settings.descriptors - RESERVED_DESCRIPTORS)
        limits = ServerLimits(CONTROL_HEADER_TIMEOUT, CONTROL_IDLE_TIMEOUT, room)
        served = [(make_caller_server(self._control, limits), open_listener(settings.control))]
        if settings.metrics is not None:
            application = operators_pages(self._registry, self._status)
            served.append(
                (make_caller_server(application, limits), open_listener(settings.metrics))
            )
        return served

    async def _stop(self) -> None:
        """Let another instance lead, and finish the calls that are in flight."""
        self._runtime.stop()
        with anyio.move_on_after(HAND_OVER_LIMIT):
            while self._node.leader(clock.now()) in (None, self._node.me):
                await anyio.sleep(STOP_POLL)
        await anyio.sleep(LAST_CALLS)

    def _apply(self, settings: InstanceSettings) -> None:
        """Take in seeds, which may name other instances than before."""
        self._peers.learn(settings.seeds, lasting=True)
        self._leader.learn(settings.seeds)

    async def _follow_members(self) -> None:
        """Keep trying the members of the log, whose names are their addresses."""
        while True:
            members = [str(name_of(member)) for member in self._node.members()]
            self._peers.learn(members, lasting=True)
            self._leader.learn(self._peers.addresses)
            leader = self._node.leader(clock.now())
            if leader is not None:
                self._leader.address = str(name_of(leader))
            await anyio.sleep(ADDRESS_INTERVAL)

    def _serves(self) -> bool:
        now = clock.now()
        return self._node.is_leading(now) or self._node.leader(now) is not None

    def _status(self) -> CoreStatus:
        now = clock.now()
        log = self._node.status(now)
        scheduler = self._node.scheduler
        state = self._node.state
        return CoreStatus(
            instance=self._settings.name,
            role=self._settings.role,
            data_centre=self._settings.data_centre,
            leader=self._leader.address or "",
            serves=self._serves(),
            incarnation=self._node.me,
            part=log.role.value,
            term=log.term,
            commit_index=log.commit_index,
            voters=tuple(sorted(log.members.voters)),
            learners=tuple(sorted(log.members.learners)),
            caught_up_age=log.caught_up_age if math.isfinite(log.caught_up_age) else -1.0,
            configuration_version=state.configuration.version if state.configuration else 0,
            evacuated=tuple(sorted(state.evacuated_data_centres)),
            open_jobs=len(state.active_jobs_by_id),
            workers=scheduler.worker_count if scheduler else 0,
            runs=scheduler.run_count if scheduler else 0,
        )

    # Calls between instances.

    def _introduce(self) -> Introduction:
        return Introduction(
            self._node.me,
            self._settings.address,
            self._peers.addresses,
            self._settings.data_centre,
        )

    def _deliver(self, parcel: Parcel) -> Introduction:
        self._peers.heard(parcel.sender)
        if parcel.to == self._node.me:
            self._runtime.peer_said(parcel.sender.instance, parcel.messages)
        return self._introduce()

    async def _answer(self, call: Call) -> Answer:
        return await self._runtime.ask(call)

    async def _on_question(self, question: Question) -> Reply:
        return Reply(await self._runtime.ask(question.call))
