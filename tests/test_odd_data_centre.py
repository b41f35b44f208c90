"""One odd entry among the messages, reports and announcements that a data centre's daemon reads."""

import json
import math
import random
import unittest
from contextlib import AsyncExitStack
from typing import Any
from unittest import mock

import anyio
import msgspec

from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    DataCentreId,
    EndpointId,
    Epoch,
    InstanceId,
    InstanceName,
    JobId,
    RackId,
    Seconds,
    TaskId,
    Version,
    WorkerId,
)
from bulrushhollow_core.jobs import DataCentreLoad, Scheduler
from bulrushhollow_core.jobs._runs import AttemptKey, parse_task_id
from bulrushhollow_core.models import Resources
from bulrushhollow_core.node import LoadReport, PeerMessage
from bulrushhollow_core.outcomes import Reason
from bulrushhollow_core.platform import (
    PlatformAnswer,
    PlatformCall,
    TaskReport,
    TaskState,
    WorkerReport,
)
from bulrushhollow_core.requests import EndpointDirectory, EndpointUpdate
from bulrushhollow_core.requests._gossip import AgedAnnouncement, AnnouncementRefresh
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.dispatch._checks import AnswerHead
from bulrushhollow_daemon.dispatch._dispatcher import _read_forwarded_answer
from bulrushhollow_daemon.exceptions import PlatformUnreachableError, SettingsError
from bulrushhollow_daemon.platform_client import PlatformClient
from bulrushhollow_daemon.settings import parse_address, parse_peer, parse_url
from bulrushhollow_daemon.transport import Envelope
from tests.test_odd_entries import DEEP, ODD_ADDRESSES, ODD_NUMBERS
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

USUAL_WORKER = {
    "worker": "w1",
    "rack": "r1",
    "capacity": {"accelerators": 8, "cores": 64, "memory_mb": 256_000},
    "used": {},
    "tasks": [{"task": "j/1/0", "state": "running"}],
}


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


class PlatformAnswerTest(unittest.IsolatedAsyncioTestCase):
    """The list of workers that the platform of a data centre reports."""

    async def sync(self, workers: list[str], **fields: str) -> PlatformAnswer:
        texts = {"highest_epoch": "1", "fenced": "false", "cursor": "5"} | fields
        texts["workers"] = f"[{','.join(workers)}]"
        body = "{" + ",".join(f'"{name}":{text}' for name, text in texts.items()) + "}"
        client = PlatformClient("http://127.0.0.1:1")
        response = mock.MagicMock()
        response.__aenter__.return_value.status = 200
        with (
            mock.patch.object(client._pool, "stream", return_value=response),
            mock.patch.object(client, "_read_body", return_value=body.encode()),
        ):
            return await client.sync(PlatformCall(Epoch(1)))

    def odd_workers(self) -> dict[str, str]:
        """Return entries that name no worker to use."""
        usual = {name: json.dumps(value) for name, value in USUAL_WORKER.items()}
        usual["worker"] = '"odd"'
        numbers = (*ODD_NUMBERS, "-1", str(2**63 - 1), "0.5", '"8"', "null")
        changes = [
            *({name: DEEP} for name in ("worker", "rack", "capacity", "used", "tasks")),
            *({"capacity": f'{{"cores":{number}}}'} for number in numbers),
            *({"used": f'{{"cores":{number}}}'} for number in ODD_NUMBERS),
            *({"tasks": f'[{{"task":"j/1/0","state":{text}}}]'} for text in (DEEP, '"odd"', "1")),
            *({name: "null"} for name in usual),
            *({"worker": text} for text in ("7", '""', "{}")),
        ]
        entries = {str(change)[:50]: object_of({**usual, **change}) for change in changes}
        entries |= {text[:20]: text for text in (DEEP, "null", "[]", "{}", "7", '"w"')}
        return entries

    # Guards against one entry that hides all workers of the data centre.
    async def test_an_odd_worker_leaves_the_others_of_the_list(self) -> None:
        usual = json.dumps(USUAL_WORKER)
        expected = await self.sync([usual])
        self.assertEqual(["w1"], [report.worker for report in expected.workers])
        for name, odd in self.odd_workers().items():
            for workers in ([odd, usual], [usual, odd]):
                with self.subTest(name, first=workers[0] == odd):
                    self.assertEqual(expected, await self.sync(workers))

    async def test_an_odd_field_of_the_answer_is_ignored_or_makes_it_no_answer(self) -> None:
        usual = json.dumps(USUAL_WORKER)
        expected = await self.sync([usual])
        self.assertEqual(expected, await self.sync([usual], unknown=DEEP))
        for name in ("highest_epoch", "cursor", "number", "clock", "fenced"):
            for text in (DEEP, "null", '"x"', *ODD_NUMBERS[3:]):
                with (
                    self.subTest(name, value=text[:10]),
                    self.assertRaises(PlatformUnreachableError),
                ):
                    await self.sync([usual], **{name: text})


def object_of(texts: dict[str, str]) -> str:
    """Return a JSON object with raw JSON as its values."""
    return "{" + ",".join(f'"{name}":{text}' for name, text in texts.items()) + "}"


class SchedulerTest(unittest.TestCase):
    # Guards against the id of a task, as a worker lists it, that ends the process.
    def test_the_id_of_a_task_with_an_odd_number_names_no_attempt(self) -> None:
        for number in ("9" * 5000, "1" + "0" * 40, "", "-1", "1e400", "²", "٣", "0x1", DEEP):
            with self.subTest(number[:10]):
                self.assertIsNone(parse_task_id(TaskId(f"j/{number}/0")))
        self.assertEqual(AttemptKey(JobId("j/9"), 2), parse_task_id(TaskId("j/9/2/0")))

    def test_a_scheduler_reads_the_reports_beside_an_odd_one(self) -> None:
        capacity = Resources(8, 64, 256_000)
        usual = WorkerReport(WorkerId("w1"), RackId("r1"), capacity, Resources())
        names = ("j/" + "9" * 5000 + "/0", "j/1/" + "9" * 5000, "", "/", "x" * 10_000)
        tasks = tuple(TaskReport(TaskId(name), TaskState.RUNNING) for name in names)
        for is_usual_first in (False, True):
            scheduler = Scheduler(NORTH, random.Random(1))
            scheduler.activate(Epoch(1), Seconds(0.0))
            scheduler.next_call(Epoch(1), Seconds(5.0), Seconds(0.0))
            odd = WorkerReport(WorkerId("odd"), RackId(""), capacity, Resources(), tasks)
            workers = (usual, odd) if is_usual_first else (odd, usual)
            answer = PlatformAnswer(Epoch(1), False, 5, workers, 1)
            scheduler.platform_answered(answer, Seconds(0.1))
            for step in range(100):
                scheduler.tick(Seconds(0.2 + step / 10))
                msgspec.msgpack.encode(scheduler.load(Seconds(0.2 + step / 10)))
            self.assertEqual(2, scheduler.worker_count)


class GossipTest(unittest.TestCase):
    """Announcements of endpoints that an instance of another version passes on."""

    # Guards against an endpoint that is used, or never forgotten, because of an odd entry.
    def test_an_odd_announcement_leaves_the_others_of_an_update(self) -> None:
        usual = Announcement(EndpointId("e1"), NORTH, 1, 1, "127.0.0.1:9000", "grip", 8, 64)
        odd = msgspec.structs.replace(usual, endpoint=EndpointId("odd"))
        cases = [
            *((odd, age) for age in map(Seconds, (math.nan, math.inf, -math.inf, -1e300))),
            *((msgspec.structs.replace(odd, address=text), Seconds(0.0)) for text in ODD_ADDRESSES),
            *((msgspec.structs.replace(odd, slots=n), Seconds(0.0)) for n in (2**63 - 1, -1, 0)),
            (msgspec.structs.replace(odd, connections=2**63 - 1), Seconds(0.0)),
            (msgspec.structs.replace(odd, data_centre=DataCentreId("")), Seconds(0.0)),
            (msgspec.structs.replace(odd, endpoint=EndpointId("")), Seconds(0.0)),
        ]
        for announcement, age in cases:
            name = f"{announcement.address[:20]} {announcement.slots} {age}"
            for is_first in (False, True):
                with self.subTest(name, is_first=is_first):
                    aged = [
                        AgedAnnouncement(usual, Seconds(0.0)),
                        AgedAnnouncement(announcement, age),
                    ]
                    entries = aged[::-1] if is_first else aged
                    update = EndpointUpdate(
                        Seconds(5.0), Seconds(10.0), tuple(entries), digest=2**64 - 1
                    )
                    peers = {InstanceName("n1"): NORTH, InstanceName("n2"): NORTH}
                    directory = EndpointDirectory(
                        InstanceName("n1"), NORTH, peers, random.Random(1), Seconds(0.0)
                    )
                    directory.receive(InstanceId("n2.00000001"), update, Seconds(10.0))
                    refreshed = AnnouncementRefresh(
                        usual.endpoint, 1, 2**64 - 1, 0, Seconds(-1e300)
                    )
                    update = EndpointUpdate(Seconds(6.0), Seconds(10.0), (), (refreshed,))
                    directory.receive(InstanceId("n2.00000001"), update, Seconds(10.0))
                    self.assertEqual((usual,), directory.usable_endpoints("grip", Seconds(11.0)))
                    directory.tick(Seconds(100.0))
                    self.assertEqual((), directory.status(Seconds(100.0)))


class SettingsTest(unittest.TestCase):
    # Guards against a flag that ends the process with a traceback instead of a reason.
    def test_an_odd_address_in_a_flag_is_refused_with_its_name(self) -> None:
        odd = (*(a for a in ODD_ADDRESSES if not a.endswith(":0")), "10.0.0.9:" + "9" * 5000)
        for address in odd:
            with self.subTest(address[:20]):
                with self.assertRaises(SettingsError):
                    parse_address("--http", address)
                with self.assertRaises(SettingsError):
                    parse_peer("--peer", f"b=north={address}")
                with self.assertRaises(SettingsError):
                    parse_url("--platform", f"http://{address}")


class ForwardedAnswerTest(unittest.TestCase):
    # Guards against an answer of another instance whose error ends its request unexpectedly.
    def test_an_answer_that_nests_deeply_is_malformed(self) -> None:
        head = AnswerHead(503, {}, None)
        for body in (DEEP, f'{{"detail":{DEEP}}}', f'{{"x":{DEEP}}}'):
            result = _read_forwarded_answer(head, body.encode()).result
            self.assertIs(Reason.ANSWER_MALFORMED, result.reason)


if __name__ == "__main__":
    unittest.main()
