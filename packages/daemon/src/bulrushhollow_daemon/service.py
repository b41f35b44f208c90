"""
bulrushhollow_daemon.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one daemon: opens its parts in order, serves until a signal, and drains the requests in flight
before it stops.
"""

import logging
import random
import secrets
import signal
from collections.abc import AsyncIterator

import anyio
from anyio.abc import TaskGroup

from bulrushhollow_core.consensus import ConsensusRecord, RestoredState, Restorer
from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_core.node import Identity, Node, Peer, StopRequested
from bulrushhollow_core.requests import RouterSettings
from bulrushhollow_daemon import clock, logs
from bulrushhollow_daemon.api import Api
from bulrushhollow_daemon.backend import DaemonBackend
from bulrushhollow_daemon.dispatch import Dispatcher
from bulrushhollow_daemon.http_server import (
    KEEP_ALIVE_TIMEOUT,
    HttpServer,
    bound_address,
    make_server,
    open_listener,
)
from bulrushhollow_daemon.journal import Journal, JournalError
from bulrushhollow_daemon.platform_client import PlatformClient
from bulrushhollow_daemon.runtime import Runtime
from bulrushhollow_daemon.settings import Address, Settings
from bulrushhollow_daemon.tracing import make_tracer
from bulrushhollow_daemon.transport import Hello, Transport

FAILURE_EXIT_CODE = 1
"""Exit code after an error, such as an unusable journal or address."""

INCARNATION_ID_BYTES = 4
"""Random bytes that distinguish the incarnations of an instance without a disk."""

STOP_POLL_INTERVAL = 0.05
"""Seconds between two checks whether a planned stop is complete."""

FINAL_ANSWERS_DELAY = 0.2
"""Seconds allowed for writing the last answers, before and after the server is told to exit."""

logger = logging.getLogger(__name__)


def serve(settings: Settings) -> int:
    """Run the daemon until it is stopped; return the exit code."""
    logs.configure(settings)
    try:
        return anyio.run(_Daemon(settings).run, backend="asyncio")
    except (JournalError, OSError) as error:
        logger.critical("failed", extra={"detail": str(error)})
    except BaseExceptionGroup as group:
        logger.critical("failed", exc_info=group)
    return FAILURE_EXIT_CODE


class _Daemon:
    """A daemon process with its settings."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    async def run(self) -> int:
        """Open all parts, serve until a planned stop ends, then close them."""
        settings = self._settings
        journal = self._open_journal()
        instance_id = self._instance_id(journal)
        restored = _replay(journal)
        listener = open_listener(settings.http)
        seed = secrets.randbits(64) if settings.seed is None else settings.seed
        rng = random.Random(seed)
        http_address = bound_address(listener)
        node = Node(_make_identity(settings, instance_id, http_address), restored, rng, clock.now())
        tracer = make_tracer(settings)
        dispatcher = Dispatcher(settings.name, settings.limits.answer_bytes)
        platform = None if settings.platform is None else PlatformClient(settings.platform)
        runtime = Runtime(node, journal, dispatcher, platform, tracer)
        transport = Transport(settings, lambda: _make_hello(settings, node), runtime)
        backend = DaemonBackend(runtime, transport, tracer)
        api = Api(backend, settings.limits, settings.faults, backend.new_request_id)
        try:
            async with transport.open(), anyio.create_task_group() as tasks:
                tasks.start_soon(runtime.run, transport)
                server = make_server(api, settings.limits)
                tasks.start_soon(server.serve, [listener])
                logger.info("ready", extra={"http": str(http_address), "peer_port": transport.port})
                await self._wait_for_stop(runtime, server)
                tasks.cancel_scope.cancel()
        finally:
            await dispatcher.close()
            if platform is not None:
                await platform.close()
            if journal is not None:
                journal.close()
        logger.info("stopped")
        return 0

    def _open_journal(self) -> Journal[ConsensusRecord] | None:
        folder = self._settings.data_folder
        if folder is None:
            return None
        return Journal.open(folder, self._settings.name, ConsensusRecord)

    def _instance_id(self, journal: Journal[ConsensusRecord] | None) -> InstanceId:
        if journal is not None:
            return journal.instance
        return InstanceId(f"{self._settings.name}.{secrets.token_hex(INCARNATION_ID_BYTES)}")

    async def _wait_for_stop(self, runtime: Runtime, server: HttpServer) -> None:
        """Wait for a signal, then drain; a second signal ends the drain early."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for signal_number in signals:
                logger.info("stopping", extra={"signal": signal_number})
                break
            runtime.post(StopRequested())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._force_stop_at_signal, signals, tasks)
                with anyio.move_on_after(self._settings.limits.drain):
                    await self._wait_until_idle(runtime)
                    server.close_listener()
                    await self._wait_until_connections_close(server)
                tasks.cancel_scope.cancel()
        unfinished = runtime.in_flight_requests.unfinished_ids()
        if unfinished:
            logger.warning("requests_cut", extra={"requests": unfinished})
        await anyio.sleep(FINAL_ANSWERS_DELAY)
        server.should_exit = True
        await anyio.sleep(FINAL_ANSWERS_DELAY)

    async def _wait_until_idle(self, runtime: Runtime) -> None:
        await anyio.sleep(STOP_POLL_INTERVAL)
        while runtime.in_flight_requests.unfinished_ids() or not runtime.node.can_stop(clock.now()):
            await anyio.sleep(STOP_POLL_INTERVAL)

    async def _wait_until_connections_close(self, server: HttpServer) -> None:
        """
        Wait until callers have closed their connections, at most for the keep-alive timeout.
        Closing a connection while a caller sends a request on it would leave the caller without an
        outcome.
        """
        await anyio.sleep(STOP_POLL_INTERVAL)
        with anyio.move_on_after(KEEP_ALIVE_TIMEOUT):
            while server.server_state.connections:
                await anyio.sleep(STOP_POLL_INTERVAL)

    async def _force_stop_at_signal(
        self, signals: AsyncIterator[signal.Signals], tasks: TaskGroup
    ) -> None:
        async for signal_number in signals:
            logger.warning("stop_forced", extra={"signal": signal_number})
            tasks.cancel_scope.cancel()


def _replay(journal: Journal[ConsensusRecord] | None) -> RestoredState | None:
    if journal is None:
        return None
    restorer = Restorer()
    for record in journal.replay():
        restorer.apply(record)
    return restorer.restored()


def _make_identity(settings: Settings, instance_id: InstanceId, http_address: Address) -> Identity:
    return Identity(
        me=instance_id,
        data_centre=settings.data_centre,
        has_disk=settings.data_folder is not None,
        peers=tuple(Peer(peer.name, peer.data_centre, peer.has_disk) for peer in settings.peers),
        is_founder=settings.found,
        has_platform=settings.platform is not None,
        http_address=str(http_address),
        router=RouterSettings(max_queued_requests=settings.limits.queued_requests),
    )


def _make_hello(settings: Settings, node: Node) -> Hello:
    return Hello(
        instance=node.identity.me,
        name=settings.name,
        data_centre=settings.data_centre,
        has_disk=node.identity.has_disk,
        belongs=node.log.has_joined(Seconds(clock.now())),
    )
