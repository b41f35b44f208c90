"""
bulrushhollow_daemon.runtime
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Feeds events to the core and executes its actions. All queued events are processed in one batch,
and their journal records are synced once, before any other action of that batch.
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
    LogCommandRefused,
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
from bulrushhollow_core.requests import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    FinishRequest,
    Forward,
    ProposeSettlement,
)
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.api import RequestAnswer
from bulrushhollow_daemon.dispatch import AttemptAnswer, Dispatcher
from bulrushhollow_daemon.exceptions import PlatformUnreachableError
from bulrushhollow_daemon.in_flight import InFlightRequest, InFlightRequests
from bulrushhollow_daemon.journal import Journal, apply_rewrites
from bulrushhollow_daemon.platform_client import PlatformClient
from bulrushhollow_daemon.tracing import Span, Tracer
from bulrushhollow_daemon.transport import Hello, Transport
from bulrushhollow_daemon.waiters import Waiter

PLATFORM_TIMEOUT = 3.0
"""Seconds after which a call to the worker platform is abandoned."""

logger = logging.getLogger(__name__)


class Runtime:
    """
    The event loop of one node, and the observer of its transport.

    :param journal: the journal, or None for an instance without a disk.
    :param platform: the client of the worker platform, or None for an instance without one.
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
        self.in_flight_requests = InFlightRequests()
        self._journal = journal
        self._dispatcher = dispatcher
        self._platform = platform
        self._tracer = tracer
        self._transport: Transport | None = None
        self._tasks: TaskGroup | None = None
        self._pending_events: list[Event] = []
        self._wake = anyio.Event()
        self._last_call_id = 0
        self._waiters_by_call_id: dict[CallId, Waiter[msgspec.Struct]] = {}

    # Calls from the API.

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        """Pass an event to the core and wait for its reply."""
        self._last_call_id += 1
        call_id = CallId(self._last_call_id)
        waiter: Waiter[msgspec.Struct] = Waiter()
        self._waiters_by_call_id[call_id] = waiter
        try:
            self.post(event(call_id))
            return await waiter.wait()
        finally:
            del self._waiters_by_call_id[call_id]

    async def request(self, request: InFlightRequest, arrival: Arrival) -> RequestAnswer | Refusal:
        """Process one request; if cancelled, report to the core that the caller disconnected."""
        self.in_flight_requests.add(request)
        self.post(RequestArrived(arrival))
        try:
            return await request.result.wait()
        finally:
            if not request.has_result:
                self.post(CallerDisconnected(arrival.request_id))

    # Events from the transport.

    def peer_connected(self, hello: Hello) -> None:
        """Queue the event that a stream to a peer is open."""
        self.post(PeerConnected(hello.instance, hello.has_disk, hello.belongs))

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Queue the event that the stream to a peer has ended."""
        self.post(PeerDisconnected(instance))

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        """Queue one event for each message."""
        for message in messages:
            self.post(PeerMessageReceived(source, message))

    # Event loop.

    def post(self, event: Event) -> None:
        """Queue an event for the core."""
        self._pending_events.append(event)
        self._wake.set()

    async def run(self, transport: Transport) -> None:
        """
        Run the core until cancelled.

        :raises JournalFailedError: if a record could not be synced. No action that depends on it
            was executed, and the process must end.
        """
        self._transport = transport
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            ticked_at = clock.now()
            while True:
                now = clock.now()
                remaining = ticked_at + self.node.tick_interval - now
                if remaining <= 0:
                    ticked_at = now
                    self._pending_events.append(Tick())
                if self._pending_events:
                    self._process_events()
                    await anyio.sleep(0)
                else:
                    await self._wait(remaining)

    async def _wait(self, seconds: float) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(max(0.0, seconds)):
            await self._wake.wait()

    def _process_events(self) -> None:
        batch, self._pending_events = self._pending_events, []
        actions = self.node.step_all(batch, clock.now())
        self._sync(actions)
        for action in actions:
            self._execute(action)
        for event in batch:
            if isinstance(event, AttemptFinished):
                self.in_flight_requests.remove_if_complete(event.request)

    def _sync(self, actions: Iterable[Action]) -> None:
        """Write and sync all records of a batch."""
        if self._journal is None:
            return
        self._journal.append(apply_rewrites(self._journal, actions))

    def _execute(self, action: Action) -> None:
        match action:
            case Send(to=to, message=message):
                assert self._transport is not None
                self._transport.send(to, message)  # type: ignore[arg-type]
            case Reply(call=call_id, answer=answer):
                waiter = self._waiters_by_call_id.get(call_id)
                if waiter is not None:
                    waiter.set_result(answer)
            case CallPlatform(call=platform_call):
                self._spawn(self._call_platform, platform_call)
            case Dispatch() | Forward():
                self._spawn_attempt(action)
            case ProposeSettlement(request_id=request_id, command=command):
                request = self.in_flight_requests.get(request_id)
                command_with_body = (
                    command if request is None else request.with_answer_body(command)
                )
                self.post(OutcomeReady(command_with_body))
            case FinishRequest(request_id=request_id, result=result):
                self._finish(request_id, result)
            case LogCommandRefused():
                logger.warning("command_refused", extra=_refused_command_fields(action))

    def _finish(self, request_id: Any, result: Any) -> None:
        request = self.in_flight_requests.get(request_id)
        if request is None:
            return
        request.finish(result)
        self.in_flight_requests.remove_if_complete(request_id)

    # Work in background tasks.

    def _spawn(self, function: Callable[..., Any], *args: Any) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(function, *args)

    def _spawn_attempt(self, dispatch: Dispatch | Forward) -> None:
        request = self.in_flight_requests.get(dispatch.request_id)
        assert request is not None, "an attempt belongs to a request in flight"
        request.attempts_in_flight += 1
        self._spawn(self._run_attempt, request, dispatch)

    async def _run_attempt(self, request: InFlightRequest, dispatch: Dispatch | Forward) -> None:
        assert request.profile is not None
        span_name = "forward" if isinstance(dispatch, Forward) else "dispatch"
        call = request.call
        with self._tracer.span(span_name, call.traceparent, request=call.request_id) as span:
            try:
                answer = await self._dispatcher.send(
                    dispatch, call.body, request.profile, span.headers()
                )
            except Exception:
                logger.exception("attempt_failed", extra={"address": dispatch.address})
                # The request may have been sent before the error.
                lost = AttemptResult(AttemptEnd.LOST, detail="the attempt failed unexpectedly")
                answer = AttemptAnswer(lost)
        request.attempts_in_flight -= 1
        request.store_answer(dispatch.attempt, answer)
        self.post(AttemptFinished(dispatch.request_id, dispatch.attempt, answer.result))

    async def _call_platform(self, call: PlatformCall) -> None:
        assert self._platform is not None
        answer = None
        try:
            with anyio.fail_after(PLATFORM_TIMEOUT), self._platform_span(call) as span:
                answer = await self._platform.sync(call, span.headers())
        except (PlatformUnreachableError, TimeoutError) as error:
            logger.warning("platform_unreachable", extra={"detail": str(error)})
        except Exception:
            logger.exception("platform_call_failed")
        self.post(PlatformAnswered(answer))

    def _platform_span(self, call: PlatformCall) -> AbstractContextManager[Span]:
        """Open a span if the call starts tasks; otherwise return an empty one."""
        starts = [order.task for order in call.orders if isinstance(order, StartTask)]
        if not starts:
            return nullcontext(Span())
        return self._tracer.span("start", None, tasks=",".join(starts))


def _refused_command_fields(action: LogCommandRefused) -> dict[str, Any]:
    command = action.command
    return {
        "index": action.index,
        "command": type(command).__name__,
        "job": getattr(command, "job", None),
        "attempt": getattr(command, "attempt", None),
        "epoch": getattr(command, "epoch", None),
        "reason": action.refusal.reason.value,
        "detail": action.refusal.detail,
    }
