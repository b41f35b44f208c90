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
TEST_TIMEOUT = 10.0
"""Seconds after which a test fails."""


class RecordingObserver:
    """Records the peers and messages that a transport reports."""

    def __init__(self) -> None:
        self.connected: list[InstanceId] = []
        self.messages: list[PeerMessage] = []

    def peer_connected(self, hello: Hello) -> None:
        self.connected.append(hello.instance)

    def peer_disconnected(self, instance: InstanceId) -> None:
        self.connected.remove(instance)

    def messages_received(self, source: InstanceId, messages: tuple[PeerMessage, ...]) -> None:
        self.messages += messages


def make_transport(
    name: str, peers: tuple[PeerAddress, ...], recorder: RecordingObserver
) -> Transport:
    loopback = Address("127.0.0.1", 0)
    instance = InstanceId(f"{name}.00000001")
    hello = Hello(instance, InstanceName(name), NORTH, False, False)
    transport_settings = Settings(InstanceName(name), NORTH, loopback, loopback, peers)
    return Transport(transport_settings, lambda: hello, recorder)


def make_peer(name: str, port: int) -> PeerAddress:
    return PeerAddress(InstanceName(name), NORTH, Address("127.0.0.1", port), False)


async def wait_until(condition: object) -> None:
    with anyio.fail_after(TEST_TIMEOUT):
        while not condition():  # type: ignore[operator]
            await anyio.sleep(0.01)


class TransportTest(unittest.TestCase):
    def test_messages_reach_only_the_incarnation_that_they_are_sent_to(self) -> None:
        async def run() -> None:
            observer_a, observer_b = RecordingObserver(), RecordingObserver()
            async with AsyncExitStack() as stack:
                b = await stack.enter_async_context(
                    make_transport("b", (make_peer("a", 1),), observer_b).open()
                )
                a = make_transport("a", (make_peer("b", b.port),), observer_a)
                await stack.enter_async_context(a.open())
                await wait_until(lambda: observer_a.connected and observer_b.connected)
                a.send(InstanceId("b.00000002"), AppliedVersion(Version(1)))
                a.send(InstanceId("b.00000001"), AppliedVersion(Version(2)))
                await wait_until(lambda: observer_b.messages)
                self.assertEqual([AppliedVersion(Version(2))], observer_b.messages)

        anyio.run(run)

    def test_an_instance_that_is_not_a_peer_is_refused(self) -> None:
        async def run() -> None:
            observer_b, stranger_observer = RecordingObserver(), RecordingObserver()
            async with AsyncExitStack() as stack:
                b = await stack.enter_async_context(
                    make_transport("b", (make_peer("a", 1),), observer_b).open()
                )
                known_peer = make_transport("a", (make_peer("b", b.port),), RecordingObserver())
                stranger = make_transport("aa", (make_peer("b", b.port),), stranger_observer)
                await stack.enter_async_context(stranger.open())
                await anyio.sleep(0.3)
                await stack.enter_async_context(known_peer.open())
                await wait_until(lambda: observer_b.connected)
                self.assertEqual([InstanceId("a.00000001")], observer_b.connected)

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
