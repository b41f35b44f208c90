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

DATA_CENTRE = DataCentreId("north")
TEST_TIMEOUT = 20.0
"""Seconds after which a test is considered hung."""


class CountingObserver:
    """Counts the streams that a transport opens and loses."""

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
    """A TCP relay to one address that can cut its connections."""

    def __init__(self, to: Address) -> None:
        self._to = to
        self._open: list[SocketStream] = []

    async def serve(self, listener: anyio.abc.SocketListener) -> None:
        await listener.serve(self._relay)

    async def _relay(self, client: SocketStream) -> None:
        async with client, await anyio.connect_tcp(self._to.host, self._to.port) as server:
            self._open += [client, server]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, client, server)
                tasks.start_soon(self._pump, server, client)

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


class FirstStreamCancelled(Transport):
    """A transport whose first stream cancels its task, as grpclib does on a lost connection."""

    cancelled = False

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        if not self.cancelled:
            self.cancelled = True
            task = asyncio.current_task()
            assert task is not None
            task.cancel()
        await super()._exchange(stream, remote_host)


class ClosedStream:
    """A stream on which every message after the introduction fails with h2's error."""

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


class FirstStreamClosed(Transport):
    """A transport whose first stream is closed after the introduction."""

    closed = False

    async def _exchange(self, stream: Any, remote_host: str | None) -> None:
        first, self.closed = not self.closed, True
        await super()._exchange(ClosedStream(stream) if first else stream, remote_host)


def make_transport(
    name: str,
    listen: Address,
    peer: str,
    peer_address: Address,
    observer: CountingObserver,
    transport_type: type[Transport] = Transport,
) -> Transport:
    settings = Settings(
        name=InstanceName(name),
        data_centre=DATA_CENTRE,
        http=Address("127.0.0.1", 0),
        peer_listen=listen,
        peers=(PeerAddress(InstanceName(peer), DATA_CENTRE, peer_address, False),),
    )
    hello = Hello(InstanceId(f"{name}.00000001"), InstanceName(name), DATA_CENTRE, False, False)
    return transport_type(settings, lambda: hello, observer)


@contextlib.asynccontextmanager
async def relay_to(address: Address, tasks: TaskGroup) -> AsyncIterator[tuple[Relay, Address]]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    relay = Relay(address)
    tasks.start_soon(relay.serve, listener)
    yield relay, Address("127.0.0.1", port)


async def wait_for_count(count: int, attribute: str, observer: CountingObserver) -> None:
    while getattr(observer, attribute) < count:
        await anyio.sleep(0.01)


class BrokenStreamTest(unittest.TestCase):
    def test_a_lost_connection_ends_only_its_link_and_is_reopened(self) -> None:
        anyio.run(self._lose_a_connection)

    async def _lose_a_connection(self) -> None:
        dialling_observer, accepting_observer = CountingObserver(), CountingObserver()
        accepting_address = free_address()
        with anyio.fail_after(TEST_TIMEOUT):
            async with anyio.create_task_group() as tasks:
                async with relay_to(accepting_address, tasks) as (relay, relay_address):
                    dialling = make_transport(
                        "a1", free_address(), "b1", relay_address, dialling_observer
                    )
                    accepting = make_transport(
                        "b1", accepting_address, "a1", relay_address, accepting_observer
                    )
                    async with dialling.open(), accepting.open():
                        await wait_for_count(1, "connected", dialling_observer)
                        await wait_for_count(1, "connected", accepting_observer)
                        await relay.cut()
                        await wait_for_count(1, "disconnected", dialling_observer)
                        await wait_for_count(2, "connected", dialling_observer)
                tasks.cancel_scope.cancel()

    def test_sending_on_a_closed_stream_ends_only_its_link(self) -> None:
        anyio.run(self._run_transports, FirstStreamClosed, 2)

    def test_a_late_cancellation_by_grpclib_does_not_end_the_transport(self) -> None:
        anyio.run(self._run_transports, FirstStreamCancelled, 1)

    async def _run_transports(self, transport_type: type[Transport], connections: int) -> None:
        dialling_observer, accepting_observer = CountingObserver(), CountingObserver()
        accepting_address, dialling_address = free_address(), free_address()
        was_open = False
        dialling = make_transport(
            "a1", dialling_address, "b1", accepting_address, dialling_observer, transport_type
        )
        accepting = make_transport(
            "b1", accepting_address, "a1", dialling_address, accepting_observer
        )
        with anyio.fail_after(TEST_TIMEOUT):
            async with dialling.open(), accepting.open():
                await wait_for_count(connections, "connected", dialling_observer)
                was_open = True
        self.assertTrue(was_open, "the transport ended before its context was left")


if __name__ == "__main__":
    unittest.main()
