import asyncio
import contextlib
import socket
import unittest
from collections.abc import AsyncIterator
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from h2.exceptions import StreamClosedError

from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName
from bulrushhollow_core.node import PeerMessage
from bulrushhollow_daemon.settings import Address, PeerAddress, Settings
from bulrushhollow_daemon.transport import Hello, Transport

HERE = DataCentreId("north")
WITHIN = 20.0
"""Seconds after which a test counts as hung."""


class Seen:
    """Notes what a transport tells."""

    def __init__(self) -> None:
        self.connected = 0
        self.disconnected = 0

    def peer_connected(self, hello: Hello) -> None:
        self.connected += 1

    def peer_disconnected(self, instance: InstanceId) -> None:
        self.disconnected += 1

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        pass


class Relay:
    """Carries one direction of bytes or another between two addresses, and can cut them."""

    def __init__(self, to: Address) -> None:
        self._to = to
        self._open: list[SocketStream] = []

    async def serve(self, listener: anyio.abc.SocketListener) -> None:
        await listener.serve(self._relay)

    async def _relay(self, near: SocketStream) -> None:
        async with near, await anyio.connect_tcp(self._to.host, self._to.port) as far:
            self._open += [near, far]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far)
                tasks.start_soon(self._pump, far, near)

    async def _pump(self, source: SocketStream, sink: SocketStream) -> None:
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for data in source:
                await sink.send(data)

    async def cut(self) -> None:
        open_streams, self._open = self._open, []
        for stream in open_streams:
            await stream.aclose()


def free_address() -> Address:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return Address("127.0.0.1", server.getsockname()[1])


class LateCancel(Transport):
    """Its first stream cancels the task that uses it, as grpclib does on a lost connection."""

    cancelled = False

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        if not self.cancelled:
            self.cancelled = True
            task = asyncio.current_task()
            assert task is not None
            task.cancel()
        await super()._exchange(stream, remote_host)


class ClosedStream:
    """A stream that was closed after the introduction, as h2 reports it to a sender."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._sent = 0

    async def send_message(self, message: Any) -> None:
        self._sent += 1
        if self._sent > 1:
            raise StreamClosedError(1)
        await self._stream.send_message(message)

    async def recv_message(self) -> Any:
        return await self._stream.recv_message()


class SendsOnClosedStream(Transport):
    """Its first stream is closed after the introduction."""

    closed = False

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        first, self.closed = not self.closed, True
        await super()._exchange(ClosedStream(stream) if first else stream, remote_host)


def transport(
    name: str,
    listen: Address,
    peer: str,
    at: Address,
    seen: Seen,
    kind: type[Transport] = Transport,
) -> Transport:
    settings = Settings(
        name=InstanceName(name),
        data_centre=HERE,
        http=Address("127.0.0.1", 0),
        peer_listen=listen,
        peers=(PeerAddress(InstanceName(peer), HERE, at, False),),
    )
    hello = Hello(InstanceId(f"{name}.00000001"), InstanceName(name), HERE, False, False)
    return kind(settings, lambda: hello, seen)


@contextlib.asynccontextmanager
async def relay_to(address: Address, tasks: TaskGroup) -> AsyncIterator[tuple[Relay, Address]]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    relay = Relay(address)
    tasks.start_soon(relay.serve, listener)
    yield relay, Address("127.0.0.1", port)


async def until(count: int, read: str, seen: Seen) -> None:
    while getattr(seen, read) < count:
        await anyio.sleep(0.01)


class BrokenStreamTest(unittest.TestCase):
    def test_a_lost_connection_ends_only_its_link_and_is_dialled_again(self) -> None:
        anyio.run(self._lose_a_connection)

    async def _lose_a_connection(self) -> None:
        dialler, listener = Seen(), Seen()
        accepting = free_address()
        with anyio.fail_after(WITHIN):
            async with anyio.create_task_group() as tasks:
                async with relay_to(accepting, tasks) as (relay, relayed):
                    first = transport("a1", free_address(), "b1", relayed, dialler)
                    second = transport("b1", accepting, "a1", relayed, listener)
                    async with first.open(), second.open():
                        await until(1, "connected", dialler)
                        await until(1, "connected", listener)
                        await relay.cut()
                        await until(1, "disconnected", dialler)
                        await until(2, "connected", dialler)
                tasks.cancel_scope.cancel()

    def test_sending_on_a_closed_stream_ends_only_its_link(self) -> None:
        anyio.run(self._survive, SendsOnClosedStream, 2)

    def test_a_task_that_the_library_cancels_late_does_not_end_the_transport(self) -> None:
        anyio.run(self._survive, LateCancel, 1)

    async def _survive(self, kind: type[Transport], connections: int) -> None:
        dialler, listener = Seen(), Seen()
        accepting, dialling = free_address(), free_address()
        still_open = False
        first = transport("a1", dialling, "b1", accepting, dialler, kind)
        second = transport("b1", accepting, "a1", dialling, listener)
        with anyio.fail_after(WITHIN):
            async with first.open(), second.open():
                await until(connections, "connected", dialler)
                still_open = True
        self.assertTrue(still_open, "the transport ended by itself")


if __name__ == "__main__":
    unittest.main()
