"""
bulrushhollow_daemon.transport
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between instances: one long-lived gRPC stream for each pair, opened by the instance whose
name sorts first. Messages may be lost when a stream breaks or its queue is full; the core allows
for that.
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
from bulrushhollow_core.requests import EndpointNews, ShareReport
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.exceptions import PeerRefusedError
from bulrushhollow_daemon.settings import PeerAddress, Settings

METHOD = "/bulrushhollow.Peer/Exchange"
BROKEN = (OSError, GRPCError, StreamTerminatedError, ProtocolError, H2Error)
"""What a stream raises when it breaks; the last if it is closed already."""
KEEPALIVE_INTERVAL = 1.0
"""Seconds after which an idle stream carries an empty envelope."""
SILENCE_LIMIT = 3.5
"""Seconds without any envelope after which a stream counts as broken."""
REDIAL_INTERVAL = 0.5
"""Seconds between two tries to open a stream."""
HOLD = 0.5
"""Seconds for which a periodic message may wait for another one to go with."""
PERIODIC = (AppliedVersion, EndpointNews, LoadReport, ShareReport)
"""Messages that are sent again and again, so that a short delay is harmless."""
OUTBOX_LIMIT = 4096
"""Messages that may wait for one stream; the oldest are dropped beyond that."""
ENVELOPE_MESSAGES = 256
"""Most messages in one envelope."""
GRACE = 0.2
"""Seconds given to streams to send what waits when the transport closes."""

logger = logging.getLogger(__name__)


class Hello(msgspec.Struct, frozen=True):
    """
    First words of each side of a stream.

    :param belongs: whether the sender belongs to a log.
    """

    instance: InstanceId
    name: InstanceName
    data_centre: DataCentreId
    has_disk: bool
    belongs: bool


class Envelope(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one gRPC message carries."""

    hello: Hello | None = None
    messages: tuple[PeerMessage, ...] = ()


class Observer(Protocol):
    """Told of what happens on the streams."""

    def peer_connected(self, hello: Hello) -> None:
        """A stream is open and the peer has introduced itself."""

    def peer_disconnected(self, instance: InstanceId) -> None:
        """The stream to this incarnation is gone."""

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        """Messages arrived."""


class _Link:
    """The messages waiting for one stream."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.heard = anyio.current_time()
        self._outbox: list[PeerMessage] = []
        self._wake = anyio.Event()
        self._hurry = anyio.Event()

    @property
    def is_waiting(self) -> bool:
        """Whether any message waits."""
        return bool(self._outbox)

    def put(self, message: PeerMessage) -> None:
        """Queue one message."""
        if len(self._outbox) >= OUTBOX_LIMIT:
            self._outbox.pop(0)
        self._outbox.append(message)
        self._wake.set()
        if not isinstance(message, PERIODIC):
            self._hurry.set()

    async def take(self) -> tuple[PeerMessage, ...]:
        """Wait for messages, or return none after the keep-alive interval."""
        if not self._outbox:
            self._wake = anyio.Event()
            with anyio.move_on_after(KEEPALIVE_INTERVAL):
                await self._wake.wait()
        if self._outbox and not self._hurry.is_set():
            with anyio.move_on_after(HOLD):
                await self._hurry.wait()
        batch = tuple(self._outbox[:ENVELOPE_MESSAGES])
        del self._outbox[:ENVELOPE_MESSAGES]
        if not self._outbox:
            self._hurry = anyio.Event()
        return batch


class Transport:
    """The streams to all peers."""

    def __init__(self, settings: Settings, hello: Callable[[], Hello], observer: Observer) -> None:
        self._settings = settings
        self._hello = hello
        self._observer = observer
        self._peers_by_name = {peer.name: peer for peer in settings.peers}
        self._links_by_name: dict[InstanceName, _Link] = {}
        self._codec = StructCodec()
        self._server: grpclib.server.Server | None = None
        self.cut_peers: frozenset[InstanceName] = frozenset()
        self.port = 0

    @asynccontextmanager
    async def open(self) -> AsyncIterator["Transport"]:
        """Listen and dial until the context is left."""
        self._server = grpclib.server.Server([self], codec=self._codec)
        listen = self._settings.peer_listen
        sock = socket.create_server((listen.host, listen.port), family=_family(listen.host))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.port = sock.getsockname()[1]
        await self._server.start(sock=sock)
        async with anyio.create_task_group() as group:
            self._start_dialling(group)
            yield self
            with anyio.move_on_after(GRACE):
                while any(link.is_waiting for link in self._links_by_name.values()):
                    await anyio.sleep(GRACE / 10)
            group.cancel_scope.cancel()
        self._server.close()
        await self._server.wait_closed()

    def _start_dialling(self, group: TaskGroup) -> None:
        for peer in self._settings.peers:
            if self._settings.name < peer.name:
                group.start_soon(self._keep_dialling, peer)

    def send(self, to: InstanceId, message: PeerMessage) -> None:
        """Queue a message if a stream to exactly this incarnation is open."""
        link = self._links_by_name.get(name_of(to))
        if link is not None and link.hello.instance == to and link.hello.name not in self.cut_peers:
            link.put(message)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to all peers, without those of TCP and IP."""
        return self._codec.sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes received from all peers, without those of TCP and IP."""
        return self._codec.received_bytes

    def __mapping__(self) -> dict[str, Handler]:
        """Name the one gRPC method, in the form that grpclib's server asks for."""
        return {METHOD: Handler(self._accept, Cardinality.STREAM_STREAM, Envelope, Envelope)}

    async def _accept(self, stream: "grpclib.server.Stream[Envelope, Envelope]") -> None:
        try:
            await self._exchange(stream, _remote_host(stream))
        except (PeerRefusedError, msgspec.DecodeError) as error:
            logger.warning("peer_refused", extra={"detail": str(error)})

    async def _keep_dialling(self, peer: PeerAddress) -> None:
        while True:
            if peer.name not in self.cut_peers:
                await self._dial_apart(peer)
            await anyio.sleep(REDIAL_INTERVAL)

    async def _dial_apart(self, peer: PeerAddress) -> None:
        """
        Dial in a task of its own. When a connection is lost, grpclib cancels the task that uses
        the stream, and that can reach the task after the call it was meant for.
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
        method = grpclib.client.StreamStreamMethod(channel, METHOD, Envelope, Envelope)
        try:
            async with method.open() as stream:
                await stream.send_request()
                await self._exchange(stream, address.host)
        except (*BROKEN, PeerRefusedError) as error:
            logger.debug("stream_ended", extra={"peer": peer.name, "detail": repr(error)})
        except msgspec.DecodeError as error:
            logger.warning("peer_refused", extra={"peer": peer.name, "detail": str(error)})
        finally:
            channel.close()

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        """Introduce both sides, then carry messages until the stream breaks."""
        await stream.send_message(Envelope(hello=self._hello()))
        first = None
        with anyio.move_on_after(SILENCE_LIMIT):
            first = await stream.recv_message()
        link = self._admit(first, remote_host)
        await self._carry(stream, link)

    def _admit(self, first: Envelope | None, remote_host: str | None) -> _Link:
        if first is None or first.hello is None:
            raise PeerRefusedError("the stream did not begin with an introduction")
        hello = first.hello
        peer = self._peers_by_name.get(hello.name)
        if peer is None or peer.data_centre != hello.data_centre:
            raise PeerRefusedError(f"{hello.name} of {hello.data_centre} is not in the settings")
        if remote_host is not None and remote_host != peer.address.host:
            raise PeerRefusedError(f"{hello.name} called from {remote_host}")
        if name_of(hello.instance) != hello.name:
            raise PeerRefusedError(f"{hello.instance} is no incarnation of {hello.name}")
        present = self._links_by_name.get(hello.name)
        if present is not None and present.hello.instance != hello.instance:
            raise PeerRefusedError(f"two instances are named {hello.name}")
        return _Link(hello)

    async def _carry(self, stream: Any, link: _Link) -> None:
        hello = link.hello
        self._links_by_name[hello.name] = link
        self._observer.peer_connected(hello)
        logger.info("peer_connected", extra={"peer": hello.instance})
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._write, stream, link, group.cancel_scope)
                await self._read(stream, link)
                group.cancel_scope.cancel()
        finally:
            if self._links_by_name.get(hello.name) is link:
                del self._links_by_name[hello.name]
                self._observer.peer_disconnected(hello.instance)
                logger.info("peer_disconnected", extra={"peer": hello.instance})

    async def _write(self, stream: Any, link: _Link, scope: anyio.CancelScope) -> None:
        try:
            while True:
                batch = await link.take()
                if link.hello.name not in self.cut_peers:
                    await stream.send_message(Envelope(messages=batch))
        except BROKEN:
            scope.cancel()

    async def _read(self, stream: Any, link: _Link) -> None:
        """Take in messages until the stream breaks, which ends this one link and nothing else."""
        name = link.hello.name
        while True:
            envelope = None
            try:
                with anyio.move_on_after(SILENCE_LIMIT):
                    envelope = await stream.recv_message()
            except BROKEN as error:
                logger.debug("stream_ended", extra={"peer": name, "detail": repr(error)})
            except msgspec.DecodeError as error:
                logger.warning("peer_refused", extra={"peer": name, "detail": str(error)})
            if envelope is None:
                return
            if envelope.messages and name not in self.cut_peers:
                self._observer.messages_received(link.hello.instance, envelope.messages)


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def _remote_host(stream: Any) -> str | None:
    address = stream.peer.addr()
    return address[0] if address else None
