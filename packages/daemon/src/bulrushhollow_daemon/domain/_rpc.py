"""
bulrushhollow_daemon.domain._rpc
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Unary gRPC calls between the processes of a domain, each with a time limit of its own. A connection
that fails or falls silent is replaced before the next call.
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
from bulrushhollow_core.domain import Answer, Call
from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_daemon.codec import StructCodec

BROKEN = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
    H2Error,
    msgspec.DecodeError,
    AssertionError,
)
"""What a call raises when its connection breaks; assertions come from grpclib's closed streams."""

CONNECT_TIMEOUT = Seconds(0.25)
"""Seconds to connect inside one region, where a round trip takes about a millisecond."""

DELIVER = "/bulrushhollow.Domain/Deliver"
ASK = "/bulrushhollow.Domain/Ask"

logger = logging.getLogger(__name__)


class Introduction(msgspec.Struct, frozen=True, array_like=True):
    """
    Who an instance with a disk is.

    :param address: its IP number, which is also its name.
    :param known: addresses of all instances with a disk that it knows.
    """

    instance: InstanceId
    address: str
    known: tuple[str, ...]
    data_centre: str = ""


class Parcel(msgspec.Struct, frozen=True, array_like=True):
    """
    Messages of the log.

    :param to: the incarnation that they are for; None to ask who is there.
    """

    sender: Introduction
    to: InstanceId | None
    messages: tuple[ConsensusMessage, ...]


class Question(msgspec.Struct, frozen=True, array_like=True):
    """A call that is handed to the leader."""

    call: Call


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a question."""

    answer: Answer


class CallFailure(msgspec.Struct, frozen=True):
    """
    A call without an answer.

    :param was_sent: whether it may have arrived.
    """

    was_sent: bool
    detail: str


class Service:
    """The serving side of both methods."""

    def __init__(
        self,
        deliver: Callable[[Parcel], Introduction],
        ask: Callable[[Question], Awaitable[Reply]],
    ) -> None:
        """Serve with two functions."""
        self._deliver_to = deliver
        self._ask = ask
        self._server: grpclib.server.Server | None = None

    def __mapping__(self) -> dict[str, Handler]:
        """Name the methods, in the form that grpclib's server asks for."""
        unary = Cardinality.UNARY_UNARY
        return {
            DELIVER: Handler(self._on_deliver, unary, Parcel, Introduction),
            ASK: Handler(self._on_ask, unary, Question, Reply),
        }

    async def _on_deliver(self, stream: Any) -> None:
        parcel = await stream.recv_message()
        if parcel is not None:
            await stream.send_message(self._deliver_to(parcel))

    async def _on_ask(self, stream: Any) -> None:
        question = await stream.recv_message()
        if question is not None:
            await stream.send_message(await self._ask(question))

    async def open(self, host: str, port: int) -> int:
        """Listen; return the port."""
        self._server = grpclib.server.Server([self], codec=StructCodec())
        sock = socket.create_server((host, port), family=socket.AF_INET)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        chosen: int = sock.getsockname()[1]
        await self._server.start(sock=sock)
        return chosen

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


class Link:
    """
    The connection to one address.

    :param host: IP number.
    """

    def __init__(self, host: str, port: int) -> None:
        """Connect with the first call."""
        self._host = host
        self._port = port
        self._codec = StructCodec()
        self._channel: grpclib.client.Channel | None = None

    async def deliver(self, parcel: Parcel, timeout: Seconds) -> Introduction | CallFailure:
        """Hand over messages of the log."""
        result = await self._call(DELIVER, Parcel, Introduction, parcel, timeout)
        assert isinstance(result, Introduction | CallFailure)
        return result

    async def ask(self, call: Call, timeout: Seconds) -> Answer | CallFailure:
        """Hand over a call."""
        result = await self._call(ASK, Question, Reply, Question(call), timeout)
        return result.answer if isinstance(result, Reply) else result

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    async def _call(
        self, name: str, request_type: Any, reply_type: Any, request: Any, timeout: Seconds
    ) -> Any:
        """
        Make one call in a task of its own. When a connection is lost, grpclib cancels the task
        that uses the stream, and that can reach the task after the call it was meant for.
        """
        channel = self._channel
        if channel is None:
            channel = grpclib.client.Channel(self._host, self._port, codec=self._codec)
            self._channel = channel
        method = grpclib.client.UnaryUnaryMethod(channel, name, request_type, reply_type)
        attempt = _Attempt(channel, method)
        task = asyncio.ensure_future(attempt.make(request))
        try:
            await asyncio.wait([task], timeout=timeout)
        except asyncio.CancelledError:
            _abandon(task)
            raise
        if task.done() and not task.cancelled() and task.exception() is None:
            return task.result()
        return self._failed(task, channel, attempt.was_sent)

    def _failed(
        self, task: "asyncio.Future[Any]", channel: grpclib.client.Channel, was_sent: bool
    ) -> CallFailure:
        if channel is self._channel:
            self._channel = None
        channel.close()
        if not task.done():
            _abandon(task)
            return CallFailure(was_sent, "no answer in time")
        error = None if task.cancelled() else task.exception()
        if error is not None and not isinstance(error, BROKEN):
            raise error
        return CallFailure(was_sent, repr(error))


def _abandon(task: "asyncio.Future[Any]") -> None:
    """Cancel an attempt whose caller has gone on; what it still raises was accounted for."""
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    task.cancel()


class _Attempt:
    """One call, which knows whether it may have arrived."""

    def __init__(self, channel: grpclib.client.Channel, method: Any) -> None:
        self._channel = channel
        self._method = method
        self.was_sent = False

    async def make(self, request: Any) -> Any:
        """Connect if need be, then call."""
        await asyncio.wait_for(self._channel.__connect__(), CONNECT_TIMEOUT)
        self.was_sent = True
        return await self._method(request)
