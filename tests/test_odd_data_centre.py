"""One odd entry among the messages, reports and announcements that a data centre's daemon reads."""

import unittest
from contextlib import AsyncExitStack
from typing import Any

import anyio

from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    InstanceId,
    Version,
)
from bulrushhollow_core.jobs import DataCentreLoad
from bulrushhollow_core.node import LoadReport, PeerMessage
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.transport import Envelope
from tests.test_transport import RecordingObserver, make_peer, make_transport, wait_until

NORTH = DataCentreId("north")
DEEP_BYTES = b"\x91" * 200_000 + b"\x01"
ODD_ENVELOPES = {
    "deep": b"\x81\xa1x" + DEEP_BYTES,
    "deep message": b"\x81\xa8messages\x91" + DEEP_BYTES,
    "no text": b"\x81\xa1\xff\x01",
    "large": b"\x81\xa8messages\x91\x92\xa9node_load\xcf" + b"\xff" * 8,
    "empty": b"",
}
"""Messages that no version sends, each with what is odd."""


class OddCodec(StructCodec):
    """Sends odd bytes in place of the next messages."""

    def __init__(self) -> None:
        super().__init__()
        self.odd: list[bytes] = []

    def encode(self, message: Envelope, message_type: Any) -> bytes:
        """Encode one message."""
        if message.messages and self.odd:
            return self.odd.pop()
        return super().encode(message, message_type)


class TransportTest(unittest.TestCase):
    """Messages of one peer, beside those of another."""

    async def exchange(
        self, odd: list[bytes], message: PeerMessage, odd_port: int = 1
    ) -> RecordingObserver:
        """Send something odd, then a usual message; return what the other side has received."""
        observer_a, observer_b = RecordingObserver(), RecordingObserver()
        usual = AppliedVersion(Version(2))
        async with AsyncExitStack() as stack:
            b = make_transport("b", (make_peer("a", 1),), observer_b)
            b._codec = codec = OddCodec()
            await stack.enter_async_context(b.open())
            peers = (make_peer("c", odd_port), make_peer("b", b.port))
            a = make_transport("a", peers, observer_a)
            await stack.enter_async_context(a.open())
            await wait_until(lambda: observer_a.connected and observer_b.connected)
            codec.odd = list(odd)
            b.send(InstanceId("a.00000001"), message)
            await anyio.sleep(0.7)
            await wait_until(lambda: observer_a.connected and observer_b.connected)
            with anyio.fail_after(5):
                while usual not in observer_a.messages:
                    b.send(InstanceId("a.00000001"), usual)
                    await anyio.sleep(0.05)
        return observer_a

    # Guards against a process that ends because a message of one peer cannot be decoded.
    def test_a_message_that_cannot_be_decoded_ends_only_its_stream(self) -> None:
        for name, odd in ODD_ENVELOPES.items():
            with self.subTest(name):
                anyio.run(self.exchange, [odd], AppliedVersion(Version(1)))

    # Guards against a process that ends because one of its peers has an odd address.
    def test_a_port_that_does_not_exist_leaves_the_connections_to_the_others(self) -> None:
        for port in (70_000, -1, 99_999_999_999):
            with self.subTest(port):
                anyio.run(self.exchange, [], AppliedVersion(Version(1)), port)

    # Guards against a process that ends because a number of its own cannot be encoded.
    def test_a_message_that_cannot_be_encoded_is_dropped(self) -> None:
        odd = LoadReport(DataCentreLoad(NORTH, accelerators=2**70), Epoch(1))
        usual = AppliedVersion(Version(2))
        instances = {name: InstanceId(f"{name}.00000001") for name in ("a", "b")}

        async def run() -> None:
            observers = {name: RecordingObserver() for name in instances}
            async with AsyncExitStack() as stack:
                b = make_transport("b", (make_peer("a", 1),), observers["b"])
                await stack.enter_async_context(b.open())
                a = make_transport("a", (make_peer("b", b.port),), observers["a"])
                await stack.enter_async_context(a.open())
                await wait_until(lambda: all(each.connected for each in observers.values()))
                for message in (odd, usual):
                    a.send(instances["b"], message)
                    b.send(instances["a"], message)
                for observer in observers.values():
                    await wait_until(lambda observer=observer: observer.messages)
                    self.assertEqual([usual], observer.messages)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
