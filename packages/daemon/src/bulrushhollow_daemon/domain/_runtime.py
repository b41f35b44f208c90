"""
bulrushhollow_daemon.domain._runtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Feeds inputs to a domain's node and carries out its actions. All inputs that wait are stepped
together and their records synced once, before any other action of that batch.
"""

import logging
import time
from collections.abc import Iterable

import anyio
import msgspec
from anyio.abc import TaskGroup

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import ConsensusRecord
from bulrushhollow_core.domain import (
    Answer,
    AskAdvice,
    Call,
    CallId,
    CallReceived,
    DomainNode,
    Input,
    LogEvent,
    MessageReceived,
    Order,
    OrderStart,
    OrderStop,
    PeerConnected,
    PeerDisconnected,
    Poll,
    Reply,
    StopRequested,
    WallTime,
)
from bulrushhollow_core.ids import InstanceId
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain._metrics import CoreMetrics
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._workers import WorkerClient
from bulrushhollow_daemon.journal import Journal, apply_rewrites
from bulrushhollow_daemon.waiters import Waiter

TICK = 0.05
"""Seconds between two steps of a leader at the most; a quarter of the log's heartbeat."""

IDLE_TICK = 0.1
"""Seconds between two steps of any other instance at the most."""

logger = logging.getLogger("bulrushhollow.domain")


class CoreRuntime:
    """The loop round one node; also told of what happens between instances."""

    def __init__(
        self,
        node: DomainNode,
        journal: Journal[ConsensusRecord],
        workers: WorkerClient,
        metrics: CoreMetrics,
    ) -> None:
        """Begin with nothing waiting."""
        self.node = node
        self._journal = journal
        self._workers = workers
        self._metrics = metrics
        self._peers: Peers | None = None
        self._tasks: TaskGroup | None = None
        self._inbox: list[Input] = []
        self._wake = anyio.Event()
        self._next_call = 0
        self._waiters_by_call: dict[CallId, Waiter[Answer]] = {}

    async def ask(self, call: Call) -> Answer:
        """Feed a call to the node and wait for its answer."""
        self._next_call += 1
        call_id = CallId(self._next_call)
        waiter: Waiter[Answer] = Waiter()
        self._waiters_by_call[call_id] = waiter
        try:
            self.post(CallReceived(call_id, call))
            return await waiter.get()
        finally:
            del self._waiters_by_call[call_id]

    # What the transport tells.

    def peer_connected(self, instance: InstanceId, data_centre: str) -> None:
        """Take in that an incarnation can be reached."""
        self.post(PeerConnected(instance, data_centre))

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Take in that an incarnation can't be reached any more."""
        self.post(PeerDisconnected(instance))

    def peer_said(self, source: InstanceId, messages: Iterable[msgspec.Struct]) -> None:
        """Take in messages of the log."""
        for message in messages:
            self.post(MessageReceived(source, message))

    def stop(self) -> None:
        """Have another instance lead."""
        self.post(StopRequested())

    # The loop.

    def post(self, given: Input) -> None:
        """Queue an input for the node."""
        self._inbox.append(given)
        self._wake.set()

    async def run(self, peers: Peers) -> None:
        """
        Step the node until cancelled.

        :raises JournalFailedError: if a record could not be synced; nothing that rests on it
            was done, and the process must end.
        """
        self._peers = peers
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            stepped_at = -IDLE_TICK
            while True:
                interval = TICK if self.node.scheduler is not None else IDLE_TICK
                left = stepped_at + interval - clock.now()
                if left <= 0 or self._inbox:
                    stepped_at = clock.now()
                    self._step()
                    await anyio.sleep(0)
                else:
                    await self._wait(left)

    async def _wait(self, seconds: float) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(seconds):
            await self._wake.wait()

    def _step(self) -> None:
        batch, self._inbox = self._inbox, []
        before = time.thread_time()
        actions = self.node.step(batch, clock.now(), WallTime(time.time()))
        self._metrics.stepped(time.thread_time() - before)
        self._sync(actions)
        for action in actions:
            self._carry_out(action)

    def _sync(self, actions: Iterable[msgspec.Struct]) -> None:
        """Put all records of a batch on disk."""
        records = apply_rewrites(self._journal, actions)
        if not records:
            return
        before = clock.now()
        self._journal.append(records)
        self._metrics.synced(clock.now() - before)

    def _carry_out(self, action: msgspec.Struct) -> None:
        assert self._peers is not None and self._tasks is not None
        match action:
            case Send(to=to, message=message):
                self._peers.send(to, message)  # type: ignore[arg-type]
            case Reply(id=call_id, answer=answer):
                waiter = self._waiters_by_call.get(call_id)
                if waiter is not None:
                    waiter.give(answer)
            case LogEvent(event=event, fields=fields):
                self._metrics.noted(action)
                logger.info(event.value, extra=fields)
            case OrderStart() | OrderStop() | Poll() | AskAdvice():
                self._tasks.start_soon(self._order, action)
            case _:
                pass

    async def _order(self, order: Order) -> None:
        match order:
            case OrderStart():
                self.post(await self._workers.start(order))
            case OrderStop():
                self.post(await self._workers.stop(order))
            case Poll():
                self.post(await self._workers.poll(order))
            case AskAdvice():
                self.post(await self._workers.advise(order))
