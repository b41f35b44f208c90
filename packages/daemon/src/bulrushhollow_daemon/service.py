"""
bulrushhollow_daemon.service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Runs one daemon from its start to its end: what it opens, in which order, and how it stops.
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
from bulrushhollow_daemon.http_server import KEEP_ALIVE, HttpServer, bind, bound, make_server
from bulrushhollow_daemon.journal import Journal, JournalError
from bulrushhollow_daemon.platform_client import PlatformClient
from bulrushhollow_daemon.runtime import Runtime
from bulrushhollow_daemon.settings import Address, Settings
from bulrushhollow_daemon.tracing import make_tracer
from bulrushhollow_daemon.transport import Hello, Transport

FAILED = 1
"""Exit code when the journal or an address can't be used."""

INCARNATION_BYTES = 4
"""Random bytes that tell the incarnations of an instance without a disk apart."""

STOP_POLL = 0.05
"""Seconds between two looks at whether a planned stop can end."""

LAST_ANSWERS = 0.2
"""Seconds for the last answers to be written before the listener closes."""

logger = logging.getLogger(__name__)


def serve(settings: Settings) -> int:
    """Run until told to stop; return the exit code."""
    logs.configure(settings)
    try:
        return anyio.run(_Daemon(settings).run, backend="asyncio")
    except (JournalError, OSError) as error:
        logger.critical("failed", extra={"detail": str(error)})
    except BaseExceptionGroup as group:
        logger.critical("failed", exc_info=group)
    return FAILED


class _Daemon:
    """One run of the daemon."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings

    async def run(self) -> int:
        """Open everything, serve, and close it in turn."""
        settings = self._settings
        journal = self._open_journal()
        me = self._incarnation(journal)
        restored = _replay(journal)
        sock = bind(settings.http)
        seed = secrets.randbits(64) if settings.seed is None else settings.seed
        rng = random.Random(seed)
        http = bound(sock)
        node = Node(_identity(settings, me, http), restored, rng, clock.now())
        tracer = make_tracer(settings)
        dispatcher = Dispatcher(settings.name, settings.limits.answer_bytes)
        platform = None if settings.platform is None else PlatformClient(settings.platform)
        runtime = Runtime(node, journal, dispatcher, platform, tracer)
        transport = Transport(settings, lambda: _hello(settings, node), runtime)
        backend = DaemonBackend(runtime, transport, tracer)
        api = Api(backend, settings.limits, settings.faults, backend.new_request)
        try:
            async with transport.open(), anyio.create_task_group() as tasks:
                tasks.start_soon(runtime.run, transport)
                server = make_server(api, settings.limits)
                tasks.start_soon(server.serve, [sock])
                logger.info("ready", extra={"http": str(http), "peer_port": transport.port})
                await self._until_stopped(runtime, server)
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

    def _incarnation(self, journal: Journal[ConsensusRecord] | None) -> InstanceId:
        if journal is not None:
            return journal.instance
        return InstanceId(f"{self._settings.name}.{secrets.token_hex(INCARNATION_BYTES)}")

    async def _until_stopped(self, runtime: Runtime, server: HttpServer) -> None:
        """Wait for a signal, then stop in order; a second signal ends the waiting."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logger.info("stopping", extra={"signal": number})
                break
            runtime.post(StopRequested())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._force_at_signal, signals, tasks)
                with anyio.move_on_after(self._settings.limits.drain):
                    await self._until_idle(runtime)
                    server.close_listener()
                    await self._until_unused(server)
                tasks.cancel_scope.cancel()
        cut = runtime.flights.unfinished_ids()
        if cut:
            logger.warning("requests_cut", extra={"requests": cut})
        await anyio.sleep(LAST_ANSWERS)
        server.should_exit = True
        await anyio.sleep(LAST_ANSWERS)

    async def _until_idle(self, runtime: Runtime) -> None:
        await anyio.sleep(STOP_POLL)
        while runtime.flights.unfinished_ids() or not runtime.node.can_stop(clock.now()):
            await anyio.sleep(STOP_POLL)

    async def _until_unused(self, server: HttpServer) -> None:
        """
        Wait until callers have closed their connections or left them idle. A connection that is
        closed from here while a caller sends on it would leave that caller without an outcome.
        """
        await anyio.sleep(STOP_POLL)
        with anyio.move_on_after(KEEP_ALIVE):
            while server.server_state.connections:
                await anyio.sleep(STOP_POLL)

    async def _force_at_signal(
        self, signals: AsyncIterator[signal.Signals], tasks: TaskGroup
    ) -> None:
        async for number in signals:
            logger.warning("stop_forced", extra={"signal": number})
            tasks.cancel_scope.cancel()


def _replay(journal: Journal[ConsensusRecord] | None) -> RestoredState | None:
    if journal is None:
        return None
    restorer = Restorer()
    for record in journal.replay():
        restorer.apply(record)
    return restorer.restored()


def _identity(settings: Settings, me: InstanceId, http: Address) -> Identity:
    return Identity(
        me=me,
        data_centre=settings.data_centre,
        has_disk=settings.data_folder is not None,
        peers=tuple(Peer(peer.name, peer.data_centre, peer.has_disk) for peer in settings.peers),
        is_founder=settings.found,
        has_platform=settings.platform is not None,
        http_address=str(http),
        router=RouterSettings(max_queued_requests=settings.limits.queued_requests),
    )


def _hello(settings: Settings, node: Node) -> Hello:
    return Hello(
        instance=node.identity.me,
        name=settings.name,
        data_centre=settings.data_centre,
        has_disk=node.identity.has_disk,
        belongs=node.log.has_joined(Seconds(clock.now())),
    )
