"""
bulrushhollow_daemon.domain._rpc
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Unary gRPC calls between the processes of a domain, each with its own timeout. A connection that
fails or stops answering is replaced before the next call.
"""

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import grpclib.client
import grpclib.server
import msgspec
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from bulrushhollow_core.consensus import ConsensusMessage
from bulrushhollow_core.domain import NEVER, Answer, Call, Expired, Probe, is_dated
from bulrushhollow_core.endpoints import is_host
from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.codec import StructCodec

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    msgspec.DecodeError,
    AssertionError,
)
"""Errors that a call raises when its connection breaks. grpclib raises assertion errors on closed
streams."""

CONNECT_TIMEOUT = Seconds(0.25)
"""Seconds within which a connection must open. It stays inside one region, where a round trip
takes about a millisecond."""

MAX_CLOCK_DRIFT = 0.02
"""Seconds by which the clocks of two processes drift apart in a second at most."""

MAX_CLOCK_READINGS = 2
"""Attempts of one call; the second one follows a restart of the recipient."""

UNKNOWN_INSTANCE = InstanceId("")
"""Stands for an incarnation that an earlier version does not name."""

DELIVER_METHOD = "/bulrushhollow.Domain/Deliver"
ASK_METHOD = "/bulrushhollow.Domain/Ask"

logger = logging.getLogger(__name__)


class PeerInfo(msgspec.Struct, frozen=True, array_like=True):
    """
    Describes an instance with a disk to its peers.

    :param address: IP number of the instance, which is also its name.
    :param known_addresses: addresses of all instances with a disk that the instance knows.
    """

    instance: InstanceId
    address: str
    known_addresses: tuple[str, ...]
    data_centre: str = ""


class MessageBatch(msgspec.Struct, frozen=True, array_like=True):
    """
    Messages of the log from one instance to another.

    :param recipient: the incarnation that the messages are for; None if the sender only asks which
        incarnation runs at the address.
    """

    sender: PeerInfo
    recipient: InstanceId | None
    messages: tuple[ConsensusMessage, ...]


class CallExpiry(msgspec.Struct, frozen=True, array_like=True):
    """
    When a call must no longer be executed.

    :param instance: incarnation of the recipient whose clock the time is on.
    :param at: reading of that clock.
    """

    instance: InstanceId
    at: Seconds


class AskRequest(msgspec.Struct, frozen=True, array_like=True):
    """
    A call for the leader.

    :param expiry: when it must no longer be executed; None if it may be executed at any time.
    """

    call: Call
    expiry: CallExpiry | None = None


class AskResponse(msgspec.Struct, frozen=True, array_like=True):
    """
    The answer to a call for the leader.

    :param instance: incarnation that answers; empty if it is an earlier version.
    :param clock: reading of its clock when it answered.
    """

    answer: Answer
    instance: InstanceId = UNKNOWN_INSTANCE
    clock: Seconds = Seconds(0.0)


class PeerClock:
    """
    Estimates the clock of another process from readings in its answers.

    A reading is as old as its way back took, so each estimate is behind the true value. The
    greatest is used, as far as the clocks may have drifted apart since.
    """

    def __init__(self, instance: InstanceId, reading: Seconds, now: Seconds) -> None:
        """Start from a first reading, which arrived now."""
        self.instance = instance
        self._offset = reading - now
        self._updated_at = now

    def update(self, reading: Seconds, now: Seconds) -> None:
        """Record a reading that arrived now."""
        drifted = self._offset - MAX_CLOCK_DRIFT * (now - self._updated_at)
        self._offset = max(reading - now, drifted)
        self._updated_at = now

    def expiry(self, at: Seconds) -> CallExpiry:
        """Return the expiry of a call at a time of this process's clock."""
        return CallExpiry(self.instance, Seconds(at + self._offset))


async def answer_request(
    request: AskRequest,
    me: InstanceId,
    answer_call: Callable[[Call, Seconds], Awaitable[Answer]],
) -> AskResponse:
    """
    Answer a call on the instance that received it.

    :param answer_call: answers a call, unless that is later than a time of this process's clock.
    """
    answer: Answer = Expired()
    expiry = request.expiry
    if expiry is None or expiry.instance == me:
        answer = await answer_call(request.call, expiry.at if expiry else NEVER)
    return AskResponse(answer, me, clock.now())


class CallFailure(msgspec.Struct, frozen=True):
    """
    A call that got no answer.

    :param was_sent: whether the call may have arrived.
    :param is_refused: whether the connection was refused, so that no process listens there.
    """

    was_sent: bool
    detail: str
    is_refused: bool = False


class RpcServer:
    """
    Serves both methods.

    :param deliver: receives the messages of a peer and returns the description of this instance.
    :param ask: answers a call.
    """

    def __init__(
        self,
        deliver: Callable[[MessageBatch], PeerInfo],
        ask: Callable[[AskRequest], Awaitable[AskResponse]],
    ) -> None:
        """Create a server that does not listen yet."""
        self._deliver = deliver
        self._ask = ask
        self._server: grpclib.server.Server | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of each method, as grpclib's server requires."""
        unary = Cardinality.UNARY_UNARY
        return {
            DELIVER_METHOD: Handler(self._on_deliver, unary, MessageBatch, PeerInfo),
            ASK_METHOD: Handler(self._on_ask, unary, AskRequest, AskResponse),
        }

    async def _on_deliver(self, stream: Any) -> None:
        batch = await stream.recv_message()
        if batch is not None:
            await stream.send_message(self._deliver(batch))

    async def _on_ask(self, stream: Any) -> None:
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(await self._ask(request))

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port."""
        self._server = grpclib.server.Server([self], codec=StructCodec())
        sock = socket.create_server((host, port), family=socket.AF_INET)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        bound_port: int = sock.getsockname()[1]
        await self._server.start(sock=sock)
        return bound_port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class RpcClient:
    """
    Makes calls to one address, over one connection.

    :param host: IP number.
    """

    def __init__(self, host: str, port: int) -> None:
        """Create a client that connects with its first call."""
        self._host = host
        self._port = port
        self._codec = StructCodec()
        self._channel: grpclib.client.Channel | None = None
        self._peer_clock: PeerClock | None = None

    async def deliver(self, batch: MessageBatch, timeout: Seconds) -> PeerInfo | CallFailure:
        """Deliver messages of the log, and return the description of their recipient."""
        result = await self._call(DELIVER_METHOD, MessageBatch, PeerInfo, batch, timeout)
        assert isinstance(result, PeerInfo | CallFailure)
        return result

    async def ask(self, call: Call, timeout: Seconds) -> Answer | CallFailure:
        """
        Send a call, and return its answer.

        A call that must not be executed late carries the time at which this attempt ends, on the
        clock of the recipient. That clock is read first if it is unknown, or after a restart.
        """
        ends_at = Seconds(clock.now() + timeout)
        if not is_dated(call):
            return await self._ask(AskRequest(call), timeout)
        answer: Answer | CallFailure = Expired()
        for _ in range(MAX_CLOCK_READINGS):
            if self._peer_clock is None:
                probed = await self._ask(AskRequest(Probe()), Seconds(ends_at - clock.now()))
                if isinstance(probed, CallFailure):
                    return msgspec.structs.replace(probed, was_sent=False)
            expiry = self._peer_clock.expiry(ends_at) if self._peer_clock is not None else None
            timeout = Seconds(max(0.0, ends_at - clock.now()))
            answer = await self._ask(AskRequest(call, expiry), timeout)
            if not isinstance(answer, Expired):
                break
        return answer

    async def _ask(self, request: AskRequest, timeout: Seconds) -> Answer | CallFailure:
        response = await self._call(ASK_METHOD, AskRequest, AskResponse, request, timeout)
        if not isinstance(response, AskResponse):
            assert isinstance(response, CallFailure)
            return response
        self._record_clock(response)
        return response.answer

    def _record_clock(self, response: AskResponse) -> None:
        now = clock.now()
        if response.instance == UNKNOWN_INSTANCE:
            self._peer_clock = None
        elif self._peer_clock is None or self._peer_clock.instance != response.instance:
            self._peer_clock = PeerClock(response.instance, response.clock, now)
        else:
            self._peer_clock.update(response.clock, now)

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _call(
        self, name: str, request_type: Any, response_type: Any, request: Any, timeout: Seconds
    ) -> Any:
        """
        Make one call in its own task. When a connection is lost, grpclib cancels the task that
        uses the stream, and the cancellation can arrive after that call has ended.
        """
        if not is_host(self._host):
            return CallFailure(was_sent=False, detail="the host is no IP address")
        channel = self._channel
        if channel is None:
            channel = grpclib.client.Channel(self._host, self._port, codec=self._codec)
            self._channel = channel
        method = grpclib.client.UnaryUnaryMethod(channel, name, request_type, response_type)
        attempt = _CallAttempt(channel, method)
        task = asyncio.ensure_future(attempt.run(request))
        try:
            await asyncio.wait([task], timeout=timeout)
        except asyncio.CancelledError:
            _cancel_and_ignore(task)
            raise
        if task.done() and not task.cancelled() and task.exception() is None:
            return task.result()
        return self._handle_failure(task, channel, attempt.was_sent)

    def _handle_failure(
        self, task: "asyncio.Future[Any]", channel: grpclib.client.Channel, was_sent: bool
    ) -> CallFailure:
        if channel is self._channel:
            self._channel = None
        channel.close()
        if not task.done():
            _cancel_and_ignore(task)
            return CallFailure(was_sent, "no answer in time")
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, CONNECTION_ERRORS):
            logger.error("call_failed_unexpectedly", exc_info=error)
        return CallFailure(was_sent, repr(error), isinstance(error, ConnectionRefusedError))


def _cancel_and_ignore(task: "asyncio.Future[Any]") -> None:
    """
    Cancel an attempt whose failure has been reported already, and retrieve the error that it may
    still raise, so that asyncio does not log it.
    """
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    task.cancel()


class _CallAttempt:
    """One attempt to make a call, which records whether the call may have arrived."""

    def __init__(self, channel: grpclib.client.Channel, method: Any) -> None:
        self._channel = channel
        self._method = method
        self.was_sent = False

    async def run(self, request: Any) -> Any:
        """Connect if needed, then make the call."""
        await asyncio.wait_for(self._channel.__connect__(), CONNECT_TIMEOUT)
        self.was_sent = True
        return await self._method(request)
