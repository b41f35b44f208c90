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
from bulrushhollow_core.domain import DomainNode
from bulrushhollow_core.ids import InstanceName, Seconds, name_of
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.decision_log import StandardOutputHandler
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._metrics import CallMetrics, CoreMetrics, ProcessMetrics
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._process import (
    Application,
    SettingsReader,
    make_operator_application,
    stop_on_signal,
    watch_settings,
)
from bulrushhollow_daemon.domain._rpc import (
    AskRequest,
    AskResponse,
    MessageBatch,
    PeerInfo,
    RpcServer,
    answer_request,
)
from bulrushhollow_daemon.domain._runtime import CoreRuntime
from bulrushhollow_daemon.domain._settings import InstanceSettings
from bulrushhollow_daemon.domain._status import CoreStatus
from bulrushhollow_daemon.domain._workers import WorkerClient
from bulrushhollow_daemon.http_server import HttpServer, open_listener
from bulrushhollow_daemon.journal import Journal
from bulrushhollow_daemon.supervision import keep_running

CONTROL_HEADER_TIMEOUT = Seconds(1.0)
"""Seconds within which the head of a control call must arrive; such a head is small, and its sender
waits no longer."""

CONTROL_IDLE_TIMEOUT = Seconds(30.0)
"""Seconds for which an idle control connection is kept; workers announce themselves every second
or two."""

LEADERSHIP_TRANSFER_TIMEOUT = Seconds(1.5)
"""Seconds for which a planned stop waits for another instance to lead; about one election."""

STOP_POLL_INTERVAL = Seconds(0.05)
"""Seconds between two checks whether another instance leads, during a planned stop."""

IN_FLIGHT_GRACE_PERIOD = Seconds(0.6)
"""Seconds that a planned stop leaves for calls in flight after another instance leads; enough for
several commits."""

MEMBER_POLL_INTERVAL = Seconds(0.5)
"""Seconds between two readings of the addresses of the log's members."""

logger = logging.getLogger("bulrushhollow.core")


class CoreInstance:
    """
    One run of an instance with a disk.

    :param workers: client that carries orders to workers and questions to the advice service.
    :param make_control: returns the control application, given a client of the leader and the
        metrics of calls.
    :param read_settings: returns the settings if they have changed.
    :param log_handler: handler whose unwritten lines are reported.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        workers: WorkerClient,
        make_control: Callable[[LeaderClient, CallMetrics], Application],
        read_settings: SettingsReader,
        log_handler: StandardOutputHandler,
    ) -> None:
        """Open the journal and replay it."""
        assert settings.data_folder is not None, "an instance of this role has a disk"
        self._settings = settings
        self._workers = workers
        self._read_settings = read_settings
        self._log_handler = log_handler
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
        core_metrics = CoreMetrics(self._registry)
        core_metrics.add_node_gauges(self._node)
        ProcessMetrics(self._registry, log_handler, self._is_serving)
        self._runtime = CoreRuntime(self._node, self._journal, workers, core_metrics)
        self._peers = Peers(
            settings.address, settings.peer_port, self._describe_self, self._runtime
        )
        self._leader = LeaderClient(settings.peer_port, (settings.address, self._runtime.ask))
        self._control_application = make_control(self._leader, CallMetrics(self._registry))

    async def run(self) -> None:
        """Serve until a signal to stop arrives."""
        settings = self._settings
        rpc_server = RpcServer(self._on_deliver, self._on_ask)
        await rpc_server.start(settings.peer_bind, settings.peer_port)
        servers = self._make_servers()
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
                self._apply_settings(settings)
                if settings.is_founder and not self._node.has_log(clock.now()):
                    self._node.bootstrap(clock.now())
                    logger.info("log_founded")
                tasks.start_soon(self._runtime.run, self._peers)
                tasks.start_soon(keep_running, self._poll_members)
                tasks.start_soon(keep_running, self._leader.pauses.run)
                tasks.start_soon(
                    keep_running,
                    watch_settings,
                    self._read_settings,
                    self._apply_settings,
                    self._log_handler,
                )
                for server, sock in servers:
                    tasks.start_soon(server.serve, [sock])
                await stop_on_signal(self._stop)
                for server, _ in servers:
                    server.should_exit = True
                tasks.cancel_scope.cancel()
        finally:
            await self._workers.close()
            await rpc_server.close()
            self._journal.close()
            logger.info("stopped")
            self._log_handler.report_unwritten()

    def _make_servers(self) -> list[tuple[HttpServer, socket.socket]]:
        settings = self._settings
        assert settings.control_address is not None
        limits = ServerLimits(
            CONTROL_HEADER_TIMEOUT, CONTROL_IDLE_TIMEOUT, settings.connections.control
        )
        servers = [
            (
                make_caller_server(self._control_application, limits),
                open_listener(settings.control_address),
            )
        ]
        if settings.metrics_address is not None:
            application = make_operator_application(self._registry, self._status, self._leader.ask)
            servers.append(
                (make_caller_server(application, limits), open_listener(settings.metrics_address))
            )
        return servers

    async def _stop(self) -> None:
        """Hand leadership over to another instance, then finish the calls in flight."""
        self._runtime.request_stop()
        with anyio.move_on_after(LEADERSHIP_TRANSFER_TIMEOUT):
            while self._node.leader(clock.now()) in (None, self._node.me):
                await anyio.sleep(STOP_POLL_INTERVAL)
        await anyio.sleep(IN_FLIGHT_GRACE_PERIOD)

    def _apply_settings(self, settings: InstanceSettings) -> None:
        """Add the addresses of the seeds, which may have changed."""
        self._peers.add_addresses(settings.seeds, permanent=True)
        self._leader.add_candidates(settings.seeds)

    async def _poll_members(self) -> None:
        """Keep adding the addresses of the log's members, which are their names."""
        while True:
            members = [str(name_of(member)) for member in self._node.members()]
            self._peers.add_addresses(members, permanent=True)
            self._leader.add_candidates(self._peers.addresses)
            leader = self._node.leader(clock.now())
            if leader is not None:
                self._leader.address = str(name_of(leader))
            await anyio.sleep(MEMBER_POLL_INTERVAL)

    def _is_serving(self) -> bool:
        now = clock.now()
        return self._node.is_leading(now) or self._node.leader(now) is not None

    def _status(self) -> CoreStatus:
        now = clock.now()
        log_status = self._node.status(now)
        scheduler = self._node.scheduler
        state = self._node.state
        return CoreStatus(
            instance=self._settings.name,
            role=self._settings.role,
            data_centre=self._settings.data_centre,
            leader=self._leader.address or "",
            serves=self._is_serving(),
            incarnation=self._node.me,
            part=log_status.role.value,
            term=log_status.term,
            commit_index=log_status.commit_index,
            voters=tuple(sorted(log_status.members.voters)),
            learners=tuple(sorted(log_status.members.learners)),
            caught_up_age=(
                log_status.caught_up_age if math.isfinite(log_status.caught_up_age) else -1.0
            ),
            configuration_version=state.configuration.version if state.configuration else 0,
            evacuated=tuple(sorted(state.evacuated_data_centres)),
            open_jobs=len(state.active_jobs_by_id),
            workers=scheduler.worker_count if scheduler else 0,
            runs=scheduler.run_count if scheduler else 0,
        )

    # Calls between instances.

    def _describe_self(self) -> PeerInfo:
        return PeerInfo(
            self._node.me,
            self._settings.address,
            self._peers.addresses,
            self._settings.data_centre,
        )

    def _on_deliver(self, batch: MessageBatch) -> PeerInfo:
        self._peers.add_sender(batch.sender)
        if batch.recipient == self._node.me:
            self._runtime.receive_messages(batch.sender.instance, batch.messages)
        return self._describe_self()

    async def _on_ask(self, request: AskRequest) -> AskResponse:
        return await answer_request(request, self._node.me, self._runtime.ask)
