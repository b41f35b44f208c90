import unittest
from contextlib import AsyncExitStack

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName, Version
from bulrushhollow_core.node import PeerMessage
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.settings import Address, PeerAddress, Settings
from bulrushhollow_daemon.transport import Envelope, Hello, Transport

NORTH = DataCentreId("north")
WAIT = 10.0
"""Seconds after which a test gives up."""


class Recorder:
    """Keeps what a transport tells."""

    def __init__(self) -> None:
        self.connected: list[InstanceId] = []
        self.said: list[PeerMessage] = []

    def peer_connected(self, hello: Hello) -> None:
        self.connected.append(hello.instance)

    def peer_disconnected(self, instance: InstanceId) -> None:
        self.connected.remove(instance)

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        self.said += messages


def make(name: str, peers: tuple[PeerAddress, ...], recorder: Recorder) -> Transport:
    loopback = Address("127.0.0.1", 0)
    instance = InstanceId(f"{name}.00000001")
    hello = Hello(instance, InstanceName(name), NORTH, False, False)
    options = Settings(InstanceName(name), NORTH, loopback, loopback, peers)
    return Transport(options, lambda: hello, recorder)


def peer(name: str, port: int) -> PeerAddress:
    return PeerAddress(InstanceName(name), NORTH, Address("127.0.0.1", port), False)


async def until(condition: object) -> None:
    with anyio.fail_after(WAIT):
        while not condition():  # type: ignore[operator]
            await anyio.sleep(0.01)


class TransportTest(unittest.TestCase):
    def test_messages_reach_exactly_the_incarnation_they_are_for(self) -> None:
        async def run() -> None:
            at_a, at_b = Recorder(), Recorder()
            async with AsyncExitStack() as stack:
                b = await stack.enter_async_context(make("b", (peer("a", 1),), at_b).open())
                a = make("a", (peer("b", b.port),), at_a)
                await stack.enter_async_context(a.open())
                await until(lambda: at_a.connected and at_b.connected)
                a.send(InstanceId("b.00000002"), AppliedVersion(Version(1)))
                a.send(InstanceId("b.00000001"), AppliedVersion(Version(2)))
                await until(lambda: at_b.said)
                self.assertEqual([AppliedVersion(Version(2))], at_b.said)

        anyio.run(run)

    def test_a_stranger_is_refused(self) -> None:
        async def run() -> None:
            at_b, at_x = Recorder(), Recorder()
            async with AsyncExitStack() as stack:
                b = await stack.enter_async_context(make("b", (peer("a", 1),), at_b).open())
                known = make("a", (peer("b", b.port),), Recorder())
                stranger = make("aa", (peer("b", b.port),), at_x)
                await stack.enter_async_context(stranger.open())
                await anyio.sleep(0.3)
                await stack.enter_async_context(known.open())
                await until(lambda: at_b.connected)
                self.assertEqual([InstanceId("a.00000001")], at_b.connected)

        anyio.run(run)

    @given(data=st.binary(max_size=300))
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_any_bytes_are_decoded_or_refused(self, data: bytes) -> None:
        codec = StructCodec()
        try:
            codec.decode(data, Envelope)
        except Exception as error:
            self.assertEqual("msgspec", type(error).__module__.partition(".")[0])


if __name__ == "__main__":
    unittest.main()
