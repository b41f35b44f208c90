"""
bulrushhollow_daemon.transport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Sends messages between instances over one long-lived gRPC stream for each pair, which the instance
whose name sorts first opens. Messages may be lost when a stream breaks or its queue is full; the
core tolerates that.
"""

import asyncio
import logging
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, Protocol

import anyio
import grpclib.client
import grpclib.server
import msgspec
from anyio.abc import TaskGroup
from grpclib.const import Cardinality, Handler
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from h2.exceptions import H2Error

from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName, name_of
from bulrushhollow_core.node import LoadReport, PeerMessage
from bulrushhollow_core.requests import EndpointUpdate, ShareReport
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.exceptions import PeerRefusedError
from bulrushhollow_daemon.settings import PeerAddress, Settings
from bulrushhollow_daemon.supervision import keep_running

EXCHANGE_METHOD = "/bulrushhollow.Peer/Exchange"
STREAM_ERRORS = (OSError, GRPCError, StreamTerminatedError, ProtocolError, H2Error)
"""Exceptions raised when a stream breaks; the last one if it was closed before."""
KEEPALIVE_INTERVAL = 1.0
"""Seconds after which an empty envelope is sent on an idle stream."""
RECEIVE_TIMEOUT = 3.5
"""Seconds without an envelope after which a stream is considered broken."""
RECONNECT_INTERVAL = 0.5
"""Seconds between two attempts to open a stream."""
BATCH_DELAY = 0.5
"""Seconds for which a periodic message may be delayed to be sent in one batch with others."""
PERIODIC_MESSAGES = (AppliedVersion, EndpointUpdate, LoadReport, ShareReport)
"""Messages that are sent periodically, so that a short delay is harmless."""
MAX_OUTBOX_MESSAGES = 4096
"""Most messages queued for one stream; beyond that the oldest are dropped."""
MAX_ENVELOPE_MESSAGES = 256
"""Most messages in one envelope."""
FLUSH_TIMEOUT = 0.2
"""Seconds allowed for sending the queued messages when the transport closes."""

logger = logging.getLogger(__name__)


class Hello(msgspec.Struct, frozen=True):
    """
    The introduction that each side of a stream sends first.

    :param belongs: whether the sender belongs to a log.
    """

    instance: InstanceId
    name: InstanceName
    data_centre: DataCentreId
    has_disk: bool
    belongs: bool


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """The content of one gRPC message: an introduction or a batch of messages."""

    hello: Hello | None = None
    messages: tuple[PeerMessage, ...] = ()


class Observer(Protocol):
    """Receives the events and messages of all streams."""

    def peer_connected(self, hello: Hello) -> None:
        """Handle an open stream whose peer has introduced itself."""

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Handle the end of the stream to this incarnation."""

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        """Handle messages from a peer."""


class _Link:
    """One open stream and its queue of outgoing messages."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.connected_at = anyio.current_time()
        self._outbox: list[PeerMessage] = []
        self._wake = anyio.Event()
        self._flush_now = anyio.Event()

    @property
    def has_messages(self) -> bool:
        """Return whether any message is queued."""
        return bool(self._outbox)

    def enqueue(self, message: PeerMessage) -> None:
        """Queue a message; drop the oldest one if the queue is full."""
        if len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            self._outbox.pop(0)
        self._outbox.append(message)
        self._wake.set()
        if not isinstance(message, PERIODIC_MESSAGES):
            self._flush_now.set()

    async def next_batch(self) -> tuple[PeerMessage, ...]:
        """Wait for messages and return a batch; it is empty after the keep-alive interval."""
        if not self._outbox:
            self._wake = anyio.Event()
            with anyio.move_on_after(KEEPALIVE_INTERVAL):
                await self._wake.wait()
        if self._outbox and not self._flush_now.is_set():
            with anyio.move_on_after(BATCH_DELAY):
                await self._flush_now.wait()
        batch = tuple(self._outbox[:MAX_ENVELOPE_MESSAGES])
        del self._outbox[:MAX_ENVELOPE_MESSAGES]
        if not self._outbox:
            self._flush_now = anyio.Event()
        return batch


class Transport:
    """
    The streams to all peers.

    :param make_hello: returns the introduction of this instance.
    :param observer: receives the events and messages of all streams.
    """

    def __init__(
        self, settings: Settings, make_hello: Callable[[], Hello], observer: Observer
    ) -> None:
        self._settings = settings
        self._make_hello = make_hello
        self._observer = observer
        self._peers_by_name = {peer.name: peer for peer in settings.peers}
        self._links_by_name: dict[InstanceName, _Link] = {}
        self._codec = StructCodec()
        self._server: grpclib.server.Server | None = None
        self.cut_peers: frozenset[InstanceName] = frozenset()
        self.port = 0

    @asynccontextmanager
    async def open(self) -> AsyncIterator["Transport"]:
        """Accept and open streams until the context is left."""
        self._server = grpclib.server.Server([self], codec=self._codec)
        listen_address = self._settings.peer_listen
        sock = socket.create_server(
            (listen_address.host, listen_address.port), family=_family(listen_address.host)
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = sock.getsockname()[1]
        await self._server.start(sock=sock)
        async with anyio.create_task_group() as tasks:
            self._start_connecting(tasks)
            yield self
            with anyio.move_on_after(FLUSH_TIMEOUT):
                while any(link.has_messages for link in self._links_by_name.values()):
                    await anyio.sleep(FLUSH_TIMEOUT / 10)
            tasks.cancel_scope.cancel()
        self._server.close()
        await self._server.wait_closed()

    def _start_connecting(self, tasks: TaskGroup) -> None:
        for peer in self._settings.peers:
            if self._settings.name < peer.name:
                tasks.start_soon(keep_running, self._keep_connected, peer)

    def send(self, to: InstanceId, message: PeerMessage) -> None:
        """Queue a message if a stream to exactly this incarnation is open; otherwise drop it."""
        link = self._links_by_name.get(name_of(to))
        if link is not None and link.hello.instance == to and link.hello.name not in self.cut_peers:
            link.enqueue(message)

    @property
    def sent_bytes(self) -> int:
        """Return the bytes sent to all peers, excluding TCP and IP headers."""
        return self._codec.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Return the bytes received from all peers, excluding TCP and IP headers."""
        return self._codec.received_bytes

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler of the gRPC method; grpclib's server calls this."""
        return {
            EXCHANGE_METHOD: Handler(
                self._serve_stream, Cardinality.STREAM_STREAM, Envelope, Envelope
            )
        }

    async def _serve_stream(self, stream: "grpclib.server.Stream[Envelope, Envelope]") -> None:
        try:
            await self._exchange(stream, _remote_host(stream))
        except (PeerRefusedError, msgspec.DecodeError) as error:
            logger.warning("peer_refused", extra={"detail": str(error)})

    async def _keep_connected(self, peer: PeerAddress) -> None:
        while True:
            if peer.name not in self.cut_peers:
                await self._dial_in_own_task(peer)
            await anyio.sleep(RECONNECT_INTERVAL)

    async def _dial_in_own_task(self, peer: PeerAddress) -> None:
        """
        Dial in a separate task. When a connection is lost, grpclib cancels the task that uses the
        stream, and the cancellation can arrive after the call that it was meant for has ended.
        """
        task = asyncio.ensure_future(self._dial(peer))
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            with anyio.CancelScope(shield=True):
                await asyncio.wait([task])
        if not task.cancelled():
            task.result()

    async def _dial(self, peer: PeerAddress) -> None:
        address = peer.address
        channel = grpclib.client.Channel(address.host, address.port, codec=self._codec)
        method = grpclib.client.StreamStreamMethod(channel, EXCHANGE_METHOD, Envelope, Envelope)
        try:
            async with method.open() as stream:
                await stream.send_request()
                await self._exchange(stream, address.host)
        except (*STREAM_ERRORS, PeerRefusedError) as error:
            logger.debug("stream_ended", extra={"peer": peer.name, "detail": repr(error)})
        except msgspec.DecodeError as error:
            logger.warning("peer_refused", extra={"peer": peer.name, "detail": str(error)})
        finally:
            channel.close()

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        """Exchange introductions, then messages until the stream breaks."""
        await stream.send_message(Envelope(hello=self._make_hello()))
        introduction = None
        with anyio.move_on_after(RECEIVE_TIMEOUT):
            introduction = await stream.recv_message()
        link = self._check_introduction(introduction, remote_host)
        await self._run_link(stream, link)

    def _check_introduction(self, introduction: Envelope | None, remote_host: str | None) -> _Link:
        if introduction is None or introduction.hello is None:
            raise PeerRefusedError("the stream did not begin with an introduction")
        hello = introduction.hello
        peer = self._peers_by_name.get(hello.name)
        if peer is None or peer.data_centre != hello.data_centre:
            raise PeerRefusedError(f"{hello.name} of {hello.data_centre} is not in the settings")
        if remote_host is not None and remote_host != peer.address.host:
            raise PeerRefusedError(f"{hello.name} called from {remote_host}")
        if name_of(hello.instance) != hello.name:
            raise PeerRefusedError(f"{hello.instance} is not an incarnation of {hello.name}")
        existing = self._links_by_name.get(hello.name)
        if existing is not None and existing.hello.instance != hello.instance:
            raise PeerRefusedError(f"two instances are named {hello.name}")
        return _Link(hello)

    async def _run_link(self, stream: Any, link: _Link) -> None:
        hello = link.hello
        self._links_by_name[hello.name] = link
        self._observer.peer_connected(hello)
        logger.info("peer_connected", extra={"peer": hello.instance})
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_loop, stream, link, tasks.cancel_scope)
                await self._receive_loop(stream, link)
                tasks.cancel_scope.cancel()
        finally:
            if self._links_by_name.get(hello.name) is link:
                del self._links_by_name[hello.name]
                self._observer.peer_disconnected(hello.instance)
                logger.info("peer_disconnected", extra={"peer": hello.instance})

    async def _send_loop(self, stream: Any, link: _Link, scope: anyio.CancelScope) -> None:
        try:
            while True:
                batch = await link.next_batch()
                if link.hello.name not in self.cut_peers:
                    await _send_batch(stream, batch)
        except STREAM_ERRORS:
            scope.cancel()

    async def _receive_loop(self, stream: Any, link: _Link) -> None:
        """Receive messages until the stream breaks, which ends only this link."""
        name = link.hello.name
        while True:
            envelope = None
            try:
                with anyio.move_on_after(RECEIVE_TIMEOUT):
                    envelope = await stream.recv_message()
            except STREAM_ERRORS as error:
                logger.debug("stream_ended", extra={"peer": name, "detail": repr(error)})
            except msgspec.DecodeError as error:
                logger.warning("peer_refused", extra={"peer": name, "detail": str(error)})
            if envelope is None:
                return
            if envelope.messages and name not in self.cut_peers:
                self._observer.messages_received(link.hello.instance, envelope.messages)


async def _send_batch(stream: Any, batch: tuple[PeerMessage, ...]) -> None:
    """Send messages in one envelope, without those that can't be encoded."""
    try:
        await stream.send_message(Envelope(messages=batch))
    except msgspec.EncodeError as error:
        if len(batch) == 1:
            fields = {"kind": type(batch[0]).__name__, "reason": str(error)}
            logger.error("message_dropped", extra=fields)
            return
        for message in batch:
            await _send_batch(stream, (message,))


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def _remote_host(stream: Any) -> str | None:
    address = stream.peer.addr()
    return address[0] if address else None
