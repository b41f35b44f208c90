"""
bulrushhollow_daemon.domain._runtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Feeds inputs to a domain's node and executes its actions. All pending inputs go into one step, and
the records of that step are synced once, before any other action of the step is executed.
"""

import logging
import time
from collections import Counter
from collections.abc import Iterable

import anyio
import msgspec
from anyio.abc import TaskGroup

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import ConsensusRecord
from bulrushhollow_core.domain import (
    NEVER,
    AdviceAnswered,
    Answer,
    AskAdvice,
    Call,
    CallId,
    CallReceived,
    DomainNode,
    Input,
    InputQueue,
    LogEvent,
    MessageReceived,
    Order,
    OrderAnswer,
    OrderResult,
    OrderStart,
    OrderStop,
    PeerConnected,
    PeerDisconnected,
    Poll,
    Reply,
    StopRequested,
    WallTime,
    no_answer_to,
    withheld,
)
from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain._metrics import CoreMetrics
from bulrushhollow_daemon.domain._order_monitor import OrderMonitor
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._workers import WorkerClient
from bulrushhollow_daemon.journal import Journal, apply_rewrites
from bulrushhollow_daemon.waiters import Waiter

LEADER_STEP_INTERVAL = 0.05
"""Longest time, in seconds, between two steps of a leader; a quarter of the log's heartbeat."""

IDLE_STEP_INTERVAL = 0.05
"""Longest time, in seconds, between two steps of any other instance."""

SLOW_STEP = 0.1
"""Processor time of a step, in seconds, from which on it is logged; a part of the leader lease."""

logger = logging.getLogger("bulrushhollow.domain")


class CoreRuntime:
    """
    Runs the event loop of one node: queues its inputs, steps it and executes its actions.

    :param journal: receives the records of each step.
    :param workers: client that carries orders to workers and questions to the advice service.
    """

    def __init__(
        self,
        node: DomainNode,
        journal: Journal[ConsensusRecord],
        workers: WorkerClient,
        metrics: CoreMetrics,
    ) -> None:
        """Start without pending inputs."""
        self.node = node
        self._journal = journal
        self._workers = workers
        self._metrics = metrics
        self._peers: Peers | None = None
        self._tasks: TaskGroup | None = None
        self._pending_inputs = InputQueue()
        self._order_monitor = OrderMonitor()
        metrics.add_order_gauges(self._order_monitor.in_flight_by_kind)
        self._wake = anyio.Event()
        self._last_call_number = 0
        self._waiters_by_call: dict[CallId, Waiter[Answer]] = {}

    async def ask(self, call: Call, expires_at: Seconds = NEVER) -> Answer:
        """
        Feed a call to the node, and return its answer.

        :param expires_at: when it must no longer be executed.
        """
        self._last_call_number += 1
        call_id = CallId(self._last_call_number)
        waiter: Waiter[Answer] = Waiter()
        self._waiters_by_call[call_id] = waiter
        try:
            self.post(CallReceived(call_id, call, expires_at))
            return await waiter.wait()
        finally:
            del self._waiters_by_call[call_id]

    # Inputs from the peer protocol.

    def peer_connected(self, instance: InstanceId, data_centre: str) -> None:
        """Queue the input that an incarnation can be reached."""
        self.post(PeerConnected(instance, data_centre))

    def peer_disconnected(self, instance: InstanceId, has_ended: bool) -> None:
        """Queue the input that an incarnation can't be reached any more, or has ended."""
        self.post(PeerDisconnected(instance, has_ended))

    def receive_messages(self, source: InstanceId, messages: Iterable[msgspec.Struct]) -> None:
        """Queue messages of the log from another instance."""
        for message in messages:
            self.post(MessageReceived(source, message))

    def request_stop(self) -> None:
        """Queue the request to stop, which makes a leader hand over to another instance."""
        self.post(StopRequested())

    # The event loop.

    def post(self, node_input: Input) -> None:
        """Queue an input for the node."""
        self._pending_inputs.put(node_input)
        self._wake.set()

    async def run(self, peers: Peers) -> None:
        """
        Step the node until cancelled.

        :raises JournalFailedError: if a record could not be synced; no action that depends on it
            was executed, and the process must end.
        """
        self._peers = peers
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            stepped_at = -IDLE_STEP_INTERVAL
            while True:
                interval = (
                    LEADER_STEP_INTERVAL if self.node.scheduler is not None else IDLE_STEP_INTERVAL
                )
                remaining = stepped_at + interval - clock.now()
                if remaining <= 0 or self._pending_inputs:
                    stepped_at = clock.now()
                    self._step()
                    await anyio.sleep(0)
                else:
                    await self._wait_for_input(remaining)

    async def _wait_for_input(self, seconds: float) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(seconds):
            await self._wake.wait()

    def _step(self) -> None:
        batch = self._pending_inputs.take()
        started = time.thread_time()
        actions = self.node.step(batch, clock.now(), WallTime(time.time()))
        seconds = time.thread_time() - started
        self._metrics.observe_step(seconds)
        if seconds >= SLOW_STEP:
            self._log_slow_step(seconds, batch, actions)
        self._sync_records(actions)
        for action in actions:
            self._execute(action)
        now = clock.now()
        if self.node.scheduler is not None and self._order_monitor.is_log_due(now):
            decided = self.node.scheduler.order_load(now)
            self._order_monitor.log(decided, self._workers.waiting_count, now)

    def _send(self, order: Order) -> None:
        """Send an order, unless the leader lease has ended; questions about advice need none."""
        assert self._tasks is not None
        if isinstance(order, AskAdvice) or self.node.is_leading(clock.now()):
            self._order_monitor.record_sent(type(order).__name__)
            self._tasks.start_soon(self._send_order, order)
        else:
            self._withhold(order)

    def _log_slow_step(
        self, seconds: float, inputs: Iterable[Input], actions: Iterable[msgspec.Struct]
    ) -> None:
        logger.warning(
            "slow_step",
            extra={
                "seconds": round(seconds, 3),
                "leads": self.node.scheduler is not None,
                "inputs": _count_kinds(inputs),
                "actions": _count_kinds(actions),
            },
        )

    def _withhold(self, order: OrderStart | OrderStop | Poll) -> None:
        """
        Return an order to the node instead of sending it: the leader lease has ended since it was
        decided, so another instance may lead.
        """
        logger.warning(
            "order_withheld", extra={"kind": type(order).__name__, "worker": order.life.id}
        )
        self.post(withheld(order))

    def _sync_records(self, actions: Iterable[msgspec.Struct]) -> None:
        """Write all records of a step to the journal and sync them to disk."""
        records = apply_rewrites(self._journal, actions)
        if not records:
            return
        started = clock.now()
        self._journal.append(records)
        self._metrics.observe_sync(clock.now() - started)

    def _execute(self, action: msgspec.Struct) -> None:
        assert self._peers is not None
        match action:
            case Send(to=to, message=message):
                self._peers.send(to, message)  # type: ignore[arg-type]
            case Reply(id=call_id, answer=answer):
                waiter = self._waiters_by_call.get(call_id)
                if waiter is not None:
                    waiter.set_result(answer)
            case LogEvent(event=event, fields=fields):
                self._metrics.count_decision(action)
                logger.info(event.value, extra=fields)
            case OrderStart() | OrderStop() | Poll() | AskAdvice():
                self._send(action)
            case _:
                pass

    async def _send_order(self, order: Order) -> None:
        """
        Send an order and queue its answer, unless another term has begun meanwhile; an unexpected
        error counts as no answer.
        """
        scheduler = self.node.scheduler
        try:
            answer = await self._carry_out(order)
        except Exception:
            logger.exception("order_failed", extra=_describe_order(order))
            answer = no_answer_to(order)
        self._order_monitor.record_settled(type(order).__name__, _has_answer(answer))
        # What a worker listed before shows nothing of the orders of the leaders in between.
        if self.node.scheduler is scheduler:
            self.post(answer)

    async def _carry_out(self, order: Order) -> OrderAnswer:
        match order:
            case OrderStart():
                return await self._workers.start(order)
            case OrderStop():
                return await self._workers.stop(order)
            case Poll():
                answer = await self._workers.poll(order)
                return msgspec.structs.replace(answer, fence=order.fence)
            case AskAdvice():
                return await self._workers.advise(order)


def _has_answer(answer: OrderAnswer) -> bool:
    if isinstance(answer, AdviceAnswered):
        return answer.tickets is not None
    return answer.result not in (OrderResult.NO_ANSWER, OrderResult.WITHHELD)


def _count_kinds(messages: Iterable[msgspec.Struct]) -> dict[str, int]:
    """Return the number of messages of each kind, the most frequent first."""
    return dict(Counter(type(message).__name__ for message in messages).most_common())


def _describe_order(order: Order) -> dict[str, str]:
    """Return the fields of a log line about an order."""
    kind = type(order).__name__
    if isinstance(order, AskAdvice):
        return {"kind": kind, "job": order.step.job}
    return {"kind": kind, "worker": order.life.id, "address": order.address}
