"""
bulrushhollow_daemon.domain._entry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An entry instance: it receives callers' calls and forwards each to the leader. It keeps no state.
"""

import logging
import socket
from collections.abc import Callable

import anyio
from prometheus_client import CollectorRegistry

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.caller_server import (
    RESERVED_DESCRIPTORS,
    ServerLimits,
    make_caller_server,
)
from bulrushhollow_daemon.decision_log import StandardOutputHandler
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._metrics import CallMetrics, ProcessMetrics
from bulrushhollow_daemon.domain._process import (
    Application,
    SettingsReader,
    SingleResponse,
    make_operator_application,
    stop_on_signal,
    watch_settings,
)
from bulrushhollow_daemon.domain._settings import InstanceSettings
from bulrushhollow_daemon.domain._status import InstanceStatus
from bulrushhollow_daemon.http_messages import Response
from bulrushhollow_daemon.http_server import HttpServer, open_listener
from bulrushhollow_daemon.supervision import keep_running

PROBE_INTERVAL = Seconds(0.8)
"""Seconds between two probes of the leader; readiness thus follows a change within two seconds."""

SEARCH_INTERVAL = Seconds(0.2)
"""Seconds between two probes while no leader answers, so that a new leader is found early."""

PROBE_ANSWER_MAX_AGE = Seconds(1.4)
"""Seconds for which this instance counts as ready after the leader's last answer to a probe. The
load balancer takes an instance out after two failed checks a second apart. An election of the usual
length thus takes no instance out, and an instance that is cut off is taken out before its callers
have used up their retries."""

DEFAULT_HEADER_TIMEOUT = Seconds(3.0)
"""Seconds within which the head of a call must arrive, until a configuration sets a limit."""

DEFAULT_IDLE_TIMEOUT = Seconds(15.0)
"""Seconds for which an idle connection is kept, until a configuration sets a limit."""

BALANCER_DELAY = Seconds(2.6)
"""Seconds after which the load balancer has certainly noticed that an instance is not ready: two
checks a second apart, and one interval."""

FORCED_END_MARGIN = Seconds(0.6)
"""Seconds before the forced end of the process at which a planned stop ends by itself."""

FINAL_ANSWER_MARGIN = Seconds(0.2)
"""Seconds before the end of a planned stop at which the calls that still wait are answered."""

STOP_POLL_INTERVAL = Seconds(0.05)
"""Seconds between two checks whether a planned stop can end."""

logger = logging.getLogger("bulrushhollow.entry")


class EntryInstance:
    """
    One run of an entry instance.

    :param make_entry: returns the application for callers, given a client of the leader, the
        metrics of calls and the limits of connections.
    :param read_settings: returns the settings if they have changed.
    :param log_handler: handler whose unwritten lines are reported.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        make_entry: Callable[[LeaderClient, CallMetrics, ServerLimits], Application],
        read_settings: SettingsReader,
        log_handler: StandardOutputHandler,
    ) -> None:
        """Start without a known leader."""
        self._settings = settings
        self._read_settings = read_settings
        self._log_handler = log_handler
        self._registry = CollectorRegistry()
        self._leader = LeaderClient(settings.peer_port)
        max_connections = max(64, settings.max_descriptors - RESERVED_DESCRIPTORS)
        self._limits = ServerLimits(DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT, max_connections)
        self._entry_application = make_entry(
            self._leader, CallMetrics(self._registry), self._limits
        )
        self._was_ready = False
        ProcessMetrics(self._registry, log_handler, self._is_ready)

    async def run(self) -> None:
        """Serve until a signal to stop arrives."""
        servers = self._make_servers()
        logger.info("started", extra={"seeds": ",".join(self._settings.seeds)})
        self._apply_settings(self._settings)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(keep_running, self._probe_leader)
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
            await stop_on_signal(lambda: self._stop(servers[0][0]))
            for server, _ in servers:
                server.should_exit = True
            tasks.cancel_scope.cancel()
        logger.info("stopped", extra={"connections": len(self._limits.open_connections)})
        self._log_handler.report_unwritten()

    def _make_servers(self) -> list[tuple[HttpServer, socket.socket]]:
        settings = self._settings
        assert settings.entry_address is not None and settings.readiness_address is not None
        internal_limits = ServerLimits(
            DEFAULT_HEADER_TIMEOUT, DEFAULT_IDLE_TIMEOUT, RESERVED_DESCRIPTORS // 4
        )
        servers = [
            (
                make_caller_server(self._entry_application, self._limits),
                open_listener(settings.entry_address),
            ),
            (
                make_caller_server(SingleResponse(self._readiness_response), internal_limits),
                open_listener(settings.readiness_address),
            ),
        ]
        if settings.metrics_address is not None:
            application = make_operator_application(self._registry, self._status, self._leader.ask)
            servers.append(
                (
                    make_caller_server(application, internal_limits),
                    open_listener(settings.metrics_address),
                )
            )
        return servers

    def _apply_settings(self, settings: InstanceSettings) -> None:
        self._leader.add_candidates(settings.seeds)

    def _status(self) -> InstanceStatus:
        return InstanceStatus(
            instance=self._settings.name,
            role=self._settings.role,
            data_centre=self._settings.data_centre,
            leader=self._leader.address or "",
            serves=self._leader.recent_probe_answer(PROBE_ANSWER_MAX_AGE) is not None,
        )

    def _is_ready(self) -> bool:
        answer = self._leader.recent_probe_answer(PROBE_ANSWER_MAX_AGE)
        has_limits = answer is not None and answer.limits is not None
        return has_limits and not self._limits.is_draining

    def _readiness_response(self) -> Response:
        is_ready = self._is_ready()
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            logger.info(
                "readiness_changed",
                extra={"ready": is_ready, "leader": self._leader.address or ""},
            )
        return Response(200 if is_ready else 503, b"")

    async def _probe_leader(self) -> None:
        while True:
            await self._leader.probe()
            answer = self._leader.recent_probe_answer(PROBE_ANSWER_MAX_AGE)
            if answer is not None and answer.limits is not None:
                self._limits.header_timeout = answer.limits.header_timeout
                self._limits.idle_timeout = answer.limits.idle_timeout
                self._limits.max_body_bytes = answer.limits.max_body_bytes
            has_leader = self._leader.recent_probe_answer(PROBE_INTERVAL) is not None
            await anyio.sleep(PROBE_INTERVAL if has_leader else SEARCH_INTERVAL)

    async def _stop(self, server: HttpServer) -> None:
        """
        Answer readiness checks with not ready, go on serving until the load balancer has noticed
        it, then wait for open connections to end.
        """
        self._limits.is_draining = True
        started_at = clock.now()
        stop_by = started_at + self._settings.grace_period - FORCED_END_MARGIN
        self._limits.drain_deadline = Seconds(stop_by - FINAL_ANSWER_MARGIN)
        await anyio.sleep(min(BALANCER_DELAY, stop_by - started_at))
        while clock.now() < stop_by and self._limits.open_connections:
            await anyio.sleep(STOP_POLL_INTERVAL)
