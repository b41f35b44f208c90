"""
bulrushhollow_daemon.domain._entry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

An entry instance: it takes callers' calls and hands each to the leader. It keeps no state.
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
from bulrushhollow_daemon.decision_log import StandardOutput
from bulrushhollow_daemon.domain._leader import Leader
from bulrushhollow_daemon.domain._metrics import CallMetrics, ProcessMetrics
from bulrushhollow_daemon.domain._process import (
    Application,
    SettingsReader,
    SingleAnswer,
    operators_pages,
    until_stopped,
    watch_settings,
)
from bulrushhollow_daemon.domain._settings import InstanceSettings
from bulrushhollow_daemon.domain._status import InstanceStatus
from bulrushhollow_daemon.http_messages import Response
from bulrushhollow_daemon.http_server import HttpServer, open_listener

PROBE_INTERVAL = Seconds(0.8)
"""Seconds between two probes of the leader, so that readiness follows within two."""

SEARCH_INTERVAL = Seconds(0.2)
"""Seconds between two probes while no leader answers, so that a new one is found early."""

READY_WITHIN = Seconds(1.4)
"""Seconds since the leader's last word for which this instance counts as ready. The balancer takes
an instance out after two checks a second apart, so a usual election takes none out, and an
instance that is cut off goes before its callers have used up their tries."""

HEADER_TIMEOUT = Seconds(3.0)
"""Seconds for the head of a call until a configuration says otherwise."""

IDLE_TIMEOUT = Seconds(15.0)
"""Seconds for an idle connection until a configuration says otherwise."""

ROTATION_DELAY = Seconds(2.6)
"""Seconds after which the balancer has surely noticed that an instance is not ready: two checks a
second apart, and one interval."""

END_MARGIN = Seconds(0.6)
"""Seconds before the forced end at which an instance ends by itself."""

LAST_ANSWERS = Seconds(0.2)
"""Seconds before the end of a planned stop at which calls that still wait are answered."""

STOP_POLL = Seconds(0.05)
"""Seconds between two looks at whether a planned stop can end."""

logger = logging.getLogger("bulrushhollow.entry")


class EntryInstance:
    """
    One run of an entry instance.

    :param make_entry: returns the application for callers, given a way to ask the leader.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        make_entry: Callable[[Leader, CallMetrics, ServerLimits], Application],
        read_settings: SettingsReader,
        output: StandardOutput,
    ) -> None:
        """Begin without knowing a leader."""
        self._settings = settings
        self._read_settings = read_settings
        self._output = output
        self._registry = CollectorRegistry()
        self._leader = Leader(settings.peer_port)
        room = max(64, settings.descriptors - RESERVED_DESCRIPTORS)
        self._limits = ServerLimits(HEADER_TIMEOUT, IDLE_TIMEOUT, room)
        self._entry = make_entry(self._leader, CallMetrics(self._registry), self._limits)
        self._is_ready = False
        ProcessMetrics(self._registry, output, self._is_ready_now)

    async def run(self) -> None:
        """Serve until told to stop."""
        servers = self._servers()
        logger.info("started", extra={"seeds": ",".join(self._settings.seeds)})
        self._apply(self._settings)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe)
            tasks.start_soon(watch_settings, self._read_settings, self._apply, self._output)
            for server, sock in servers:
                tasks.start_soon(server.serve, [sock])
            await until_stopped(lambda: self._stop(servers[0][0]))
            for server, _ in servers:
                server.should_exit = True
            tasks.cancel_scope.cancel()
        logger.info("stopped", extra={"connections": len(self._limits.open_connections)})
        self._output.report()

    def _servers(self) -> list[tuple[HttpServer, socket.socket]]:
        settings = self._settings
        assert settings.entry is not None and settings.ready is not None
        apart = ServerLimits(HEADER_TIMEOUT, IDLE_TIMEOUT, RESERVED_DESCRIPTORS // 4)
        served = [
            (make_caller_server(self._entry, self._limits), open_listener(settings.entry)),
            (
                make_caller_server(SingleAnswer(self._readiness), apart),
                open_listener(settings.ready),
            ),
        ]
        if settings.metrics is not None:
            application = operators_pages(self._registry, self._status)
            served.append((make_caller_server(application, apart), open_listener(settings.metrics)))
        return served

    def _apply(self, settings: InstanceSettings) -> None:
        self._leader.learn(settings.seeds)

    def _status(self) -> InstanceStatus:
        return InstanceStatus(
            instance=self._settings.name,
            role=self._settings.role,
            data_centre=self._settings.data_centre,
            leader=self._leader.address or "",
            serves=self._leader.serving(READY_WITHIN) is not None,
        )

    def _is_ready_now(self) -> bool:
        serving = self._leader.serving(READY_WITHIN)
        is_served = serving is not None and serving.limits is not None
        return is_served and not self._limits.is_draining

    def _readiness(self) -> Response:
        is_ready = self._is_ready_now()
        if is_ready is not self._is_ready:
            self._is_ready = is_ready
            logger.info(
                "readiness_changed",
                extra={"ready": is_ready, "leader": self._leader.address or ""},
            )
        return Response(200 if is_ready else 503, b"")

    async def _probe(self) -> None:
        while True:
            await self._leader.probe()
            serving = self._leader.serving(READY_WITHIN)
            if serving is not None and serving.limits is not None:
                self._limits.header_timeout = serving.limits.header_timeout
                self._limits.idle_timeout = serving.limits.idle_timeout
                self._limits.max_body_bytes = serving.limits.max_body_bytes
            is_found = self._leader.serving(PROBE_INTERVAL) is not None
            await anyio.sleep(PROBE_INTERVAL if is_found else SEARCH_INTERVAL)

    async def _stop(self, server: HttpServer) -> None:
        """Say not ready, go on serving until the balancer knows, then finish what is open."""
        self._limits.is_draining = True
        started = clock.now()
        end = started + self._settings.grace - END_MARGIN
        self._limits.drain_deadline = Seconds(end - LAST_ANSWERS)
        await anyio.sleep(min(ROTATION_DELAY, end - started))
        while clock.now() < end and self._limits.open_connections:
            await anyio.sleep(STOP_POLL)
