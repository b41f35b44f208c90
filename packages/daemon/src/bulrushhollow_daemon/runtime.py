"""
bulrushhollow_daemon.runtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Feeds events to the core and carries out its actions. All events that wait are stepped together and
their journal records synced once, before any other action of that batch.
"""

import logging
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, nullcontext
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import ConsensusRecord
from bulrushhollow_core.ids import InstanceId
from bulrushhollow_core.node import (
    Action,
    AttemptFinished,
    CallerDisconnected,
    CallId,
    CallPlatform,
    Event,
    Node,
    OutcomeReady,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageReceived,
    PlatformAnswered,
    Reply,
    RequestArrived,
    Tick,
)
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import PlatformCall, StartTask
from bulrushhollow_core.requests import Arrival, Dispatch, FinishRequest, Forward, ProposeSettlement
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.api import Delivery
from bulrushhollow_daemon.dispatch import Dispatcher
from bulrushhollow_daemon.exceptions import PlatformUnreachableError
from bulrushhollow_daemon.in_flight import InFlightRequest, InFlightRequests
from bulrushhollow_daemon.journal import Journal, records_after_rewrites
from bulrushhollow_daemon.platform_client import PlatformClient
from bulrushhollow_daemon.tracing import Span, Tracer
from bulrushhollow_daemon.transport import Hello, Transport
from bulrushhollow_daemon.waiters import Waiter

PLATFORM_TIMEOUT = 3.0
"""Seconds after which a call to the worker platform is given up."""

logger = logging.getLogger(__name__)


class Runtime:
    """
    The loop round one node; also told by the transport of what happens on the streams.

    :param journal: None for an instance without a disk.
    :param platform: None for an instance without a worker platform.
    """

    def __init__(
        self,
        node: Node,
        journal: Journal[ConsensusRecord] | None,
        dispatcher: Dispatcher,
        platform: PlatformClient | None,
        tracer: Tracer,
    ) -> None:
        self.node = node
        self.flights = InFlightRequests()
        self._journal = journal
        self._dispatcher = dispatcher
        self._platform = platform
        self._tracer = tracer
        self._transport: Transport | None = None
        self._tasks: TaskGroup | None = None
        self._inbox: list[Event] = []
        self._wake = anyio.Event()
        self._next_call = 0
        self._waiters_by_call: dict[CallId, Waiter[msgspec.Struct]] = {}

    # What the API asks.

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """Feed an event to the core and wait for its reply."""
        self._next_call += 1
        call = CallId(self._next_call)
        waiter: Waiter[msgspec.Struct] = Waiter()
        self._waiters_by_call[call] = waiter
        try:
            self.post(event(call))
            return await waiter.wait()
        finally:
            del self._waiters_by_call[call]

    async def request(self, flight: InFlightRequest, arrival: Arrival) -> Delivery | Refusal:
        """Carry one request to its end; if the waiting is cancelled, the caller is gone."""
        self.flights.add(flight)
        self.post(RequestArrived(arrival))
        try:
            return await flight.result.wait()
        finally:
            if not flight.has_result:
                self.post(CallerDisconnected(arrival.request_id))

    # What the transport tells.

    def peer_connected(self, hello: Hello) -> None:
        """Take in that a stream is open."""
        self.post(PeerConnected(hello.instance, hello.has_disk, hello.belongs))

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Take in that a stream is gone."""
        self.post(PeerDisconnected(instance))

    def peer_said(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        """Take in messages."""
        for message in messages:
            self.post(PeerMessageReceived(source, message))

    # The loop.

    def post(self, event: Event) -> None:
        """Queue an event for the core."""
        self._inbox.append(event)
        self._wake.set()

    async def run(self, transport: Transport) -> None:
        """
        Step the core until cancelled.

        :raises JournalFailedError: if a record could not be synced; nothing that rests on it
            was done, and the process must end.
        """
        self._transport = transport
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            ticked_at = clock.now()
            while True:
                now = clock.now()
                left = ticked_at + self.node.tick_interval - now
                if left <= 0:
                    ticked_at = now
                    self._inbox.append(Tick())
                if self._inbox:
                    self._step_all()
                    await anyio.sleep(0)
                else:
                    await self._wait(left)

    async def _wait(self, seconds: float) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(max(0.0, seconds)):
            await self._wake.wait()

    def _step_all(self) -> None:
        batch, self._inbox = self._inbox, []
        actions = self.node.step_all(batch, clock.now())
        self._sync(actions)
        for action in actions:
            self._carry_out(action)
        for event in batch:
            if isinstance(event, AttemptFinished):
                self.flights.remove_if_complete(event.request)

    def _sync(self, actions: Iterable[Action]) -> None:
        """Put all records of a batch on disk."""
        if self._journal is None:
            return
        self._journal.append(records_after_rewrites(self._journal, actions))

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(to=to, message=message):
                assert self._transport is not None
                self._transport.send(to, message)  # type: ignore[arg-type]
            case Reply(call=call, answer=answer):
                waiter = self._waiters_by_call.get(call)
                if waiter is not None:
                    waiter.set_result(answer)
            case CallPlatform(call=platform_call):
                self._start(self._call_platform, platform_call)
            case Dispatch() | Forward():
                self._start_attempt(action)
            case ProposeSettlement(request_id=request, command=command):
                flight = self.flights.get(request)
                filled = command if flight is None else flight.with_answer_body(command)
                self.post(OutcomeReady(filled))
            case FinishRequest(request_id=request, result=result):
                self._finish(request, result)

    def _finish(self, request: Any, result: Any) -> None:
        flight = self.flights.get(request)
        if flight is None:
            return
        flight.finish(result)
        self.flights.remove_if_complete(request)

    # What takes time.

    def _start(self, work: Callable[..., Any], *arguments: Any) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(work, *arguments)

    def _start_attempt(self, dispatch: Dispatch | Forward) -> None:
        flight = self.flights.get(dispatch.request_id)
        assert flight is not None, "an attempt belongs to a request under way"
        flight.attempts_in_flight += 1
        self._start(self._attempt, flight, dispatch)

    async def _attempt(self, flight: InFlightRequest, dispatch: Dispatch | Forward) -> None:
        assert flight.profile is not None
        name = "forward" if isinstance(dispatch, Forward) else "dispatch"
        call = flight.call
        with self._tracer.span(name, call.trace, request=call.request) as span:
            answer = await self._dispatcher.send(
                dispatch, call.body, flight.profile, span.headers()
            )
        flight.attempts_in_flight -= 1
        flight.store_answer(dispatch.attempt, answer)
        self.post(AttemptFinished(dispatch.request_id, dispatch.attempt, answer.result))

    async def _call_platform(self, call: PlatformCall) -> None:
        assert self._platform is not None
        answer = None
        try:
            with anyio.fail_after(PLATFORM_TIMEOUT), self._platform_span(call) as span:
                answer = await self._platform.sync(call, span.headers())
        except (PlatformUnreachableError, TimeoutError) as error:
            logger.warning("platform_unreachable", extra={"detail": str(error)})
        self.post(PlatformAnswered(answer))

    def _platform_span(self, call: PlatformCall) -> AbstractContextManager[Span]:
        """Open a span for the start of tasks; a call that starts none has none."""
        starts = [order.task for order in call.orders if isinstance(order, StartTask)]
        if not starts:
            return nullcontext(Span())
        return self._tracer.span("start", None, tasks=",".join(starts))
