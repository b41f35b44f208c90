"""One odd address or message among those by which the instances of a domain know each other."""

import asyncio
import json
import math
import socket
import unittest
from collections.abc import Iterable
from typing import Any
from unittest import mock

import anyio
import grpclib.client
import msgspec
from prometheus_client import CollectorRegistry

from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    ClockReading,
    RequestVote,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
)
from bulrushhollow_core.consensus._types import LogId, Members
from bulrushhollow_core.domain import Done, NotLeader, Probe, RefusalReason, Refused, Serving
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term
from bulrushhollow_core.outcomes import Reason, Refusal
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.codec import StructCodec
from bulrushhollow_daemon.domain import CallMetrics, _peers
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._rpc import (
    ASK_METHOD,
    DELIVER_METHOD,
    AskRequest,
    AskResponse,
    CallFailure,
    MessageBatch,
    PeerInfo,
    RpcClient,
    RpcServer,
)
from bulrushhollow_daemon.http_messages import refusal_response
from bulrushhollow_platform._answers import to_response
from bulrushhollow_platform._control import ControlApplication
from bulrushhollow_platform._settings import decode_settings
from tests.test_domain_hostile_messages import heartbeat
from tests.test_domain_peers import Observer
from tests.test_platform_translation import SETTINGS

ME = PeerInfo(InstanceId("127.0.0.1.1"), "127.0.0.1", ())
ODD_HOSTS = (
    *("", " ", "rack7-node3", "a..b", "\x00", "x" * 1000, "10.0.0.9:70000", "99999999999"),
    *("10.0.0.999", "-1", "[::1]", "[" * 1000),
)
ODD_SEEDS = (
    *("rack7-node3:80", "10.0.0.9", ":80", "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:0", " "),
    *("10.0.0.9:" + "9" * 5000, "[" * 1000, "!:80", "10.0.0.9:1e400", "0:0"),
)


def with_deep_value(message: msgspec.Struct) -> bytes:
    """Return an encoded message with one more value, as of a later version, that nests deeply."""
    data = msgspec.msgpack.encode(message)
    return bytes([data[0] + 1]) + data[1:] + b"\x91" * 200_000 + b"\x01"


class SeedTest(unittest.TestCase):
    # Guards against an odd seed, since only the instance with the lowest seed founds the log.
    def test_an_odd_seed_leaves_the_others_and_the_founder(self) -> None:
        first, second = "10.1.0.21:8526", "10.2.0.38:8526"
        usual = decode_settings(SETTINGS)
        for seed in ODD_SEEDS:
            for seeds in ((seed, first, second), (first, seed, second), (second, first, seed)):
                with self.subTest(seed=seed[:20], place=seeds.index(seed)):
                    lines = f"seeds={','.join(seeds)}\nbootstrap=true\nip=10.1.0.21\n"
                    settings = decode_settings(SETTINGS + "\n" + lines)
                    self.assertEqual(set(usual.seeds), set(settings.seeds))
                    self.assertTrue(settings.is_founder)


class AddressTest(unittest.TestCase):
    """Addresses that come from members of the log, seeds and what other instances know."""

    def exchange(self, addresses: Iterable[str], infos: dict[str, PeerInfo]) -> list[object]:
        """Return what is reported while each address answers with its description."""
        observer = Observer()

        async def deliver(client: RpcClient, *arguments: object) -> PeerInfo | CallFailure:
            await anyio.sleep(0.001)
            return infos.get(client._host) or CallFailure(False, "not reached")

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                peers = Peers(ME.address, 7000, lambda: ME, observer)
                peers.start(tasks)
                peers.add_addresses(addresses, permanent=True)
                peers.add_sender(msgspec.structs.replace(ME, address="", known_addresses=ODD_HOSTS))
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        with (
            mock.patch.object(RpcClient, "deliver", deliver),
            mock.patch.object(_peers, "KEEPALIVE_INTERVAL", 0.01),
            mock.patch.object(_peers, "RECONNECT_INTERVAL", 0.01),
        ):
            asyncio.run(run())
        return observer.events

    # Guards against members of the log that no message can reach.
    def test_an_incarnation_that_does_not_belong_to_its_address_is_not_connected(self) -> None:
        good = PeerInfo(InstanceId("10.0.0.2.1"), "10.0.0.2", ())
        for name in ("", "x", "10.0.0.9", "10.0.0.9.1", ".1", "10.0.0.30.1"):
            with self.subTest(name):
                odd = PeerInfo(InstanceId(name), "10.0.0.3", ODD_HOSTS)
                infos = {"10.0.0.2": good, "10.0.0.3": odd}
                connected = ("connected", good.instance)
                self.assertEqual([connected], self.exchange(infos, infos))

    def test_odd_addresses_leave_the_connection_to_the_others(self) -> None:
        good = PeerInfo(InstanceId("10.0.0.2.1"), "10.0.0.2", ODD_HOSTS)
        events = self.exchange([*ODD_HOSTS, "10.0.0.2"], {"10.0.0.2": good})
        self.assertEqual([("connected", good.instance)], events)


class CallTest(unittest.IsolatedAsyncioTestCase):
    # Guards against lookups of names, which wait in threads, and against calls to this machine.
    async def test_a_call_to_an_odd_address_fails_at_once(self) -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            for host in ODD_HOSTS:
                with self.subTest(host[:20]), mock.patch.object(loop, "getaddrinfo") as lookup:
                    answer = await RpcClient(host, port).ask(Probe(), Seconds(0.5))
                    assert isinstance(answer, CallFailure)
                    self.assertFalse(answer.was_sent)
                    lookup.assert_not_called()

    async def test_messages_that_cannot_be_decoded_end_only_their_call(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]

        async def answer(request: AskRequest) -> AskResponse:
            return AskResponse(Done("10.0.0.1"))

        server = RpcServer(lambda batch: ME, answer)
        await server.start("127.0.0.1", port)
        deep = b"\x91" * 200_000 + b"\x01"
        huge = b"\xcf" + b"\xff" * 8
        bodies = [deep, huge, b"\xff", b"", b"\x91\xc1"]
        bodies += map(with_deep_value, (AskRequest(Probe()), MessageBatch(ME, None, ())))
        try:
            for method in (ASK_METHOD, DELIVER_METHOD):
                for body in bodies:
                    with self.subTest(method=method, body=body[:4]):
                        failure = await RawClient("127.0.0.1", port).send(method, body)
                        self.assertIsInstance(failure, Exception)
            good = RpcClient("127.0.0.1", port)
            self.assertEqual(Done("10.0.0.1"), await good.ask(Probe(), Seconds(1.0)))
            good.close()
        finally:
            await server.close()

    # Guards against errors of the codec that are not those that its callers handle.
    def test_a_message_that_nests_deeply_is_no_message(self) -> None:
        for message in (AskRequest(Probe()), AskResponse(Done("")), ME, MessageBatch(ME, None, ())):
            with self.assertRaises(msgspec.DecodeError):
                StructCodec().decode(with_deep_value(message), type(message))


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers of a leader, as another instance passes them on."""

    async def send_heartbeat(self, answer: Done) -> tuple[int, dict[str, str]]:
        """Return the response to a heartbeat that the leader answers in this way."""
        leader = mock.Mock(address="", ask=mock.AsyncMock(return_value=answer))
        application = ControlApplication(leader, CallMetrics(CollectorRegistry()), 8080)
        sent: list[dict[str, Any]] = []
        receive = mock.AsyncMock(return_value={"type": "http.request", "body": heartbeat()})
        scope = {
            "method": "POST",
            "path": "/Instances.Heartbeat/w",
            "headers": [],
            "query_string": b"",
        }
        await application(scope, receive, mock.AsyncMock(side_effect=sent.append))
        return sent[0]["status"], json.loads(sent[1]["body"])

    # Guards against an address for heartbeats at which nobody listens.
    async def test_odd_addresses_of_instances_are_not_passed_on_to_workers(self) -> None:
        for host in ODD_HOSTS:
            with self.subTest(host[:20]):
                self.assertEqual((200, {}), await self.send_heartbeat(Done(host)))
                relays = Done(host, (host, "10.0.0.2", host))
                expected = (200, {"beat-addr": "10.0.0.2:8080"})
                self.assertEqual(expected, await self.send_heartbeat(relays))
                expected = (200, {"beat-addr": "10.0.0.1:8080"})
                relays = Done("10.0.0.1", (host,))
                self.assertEqual(expected, await self.send_heartbeat(relays))

    # Guards against a refusal whose odd number ends the call without an answer.
    def test_an_odd_time_to_retry_is_limited(self) -> None:
        for seconds in (math.nan, math.inf, -math.inf, -1.0, 0.0, 1e308):
            with self.subTest(seconds):
                response = to_response(Refused(RefusalReason.NO_LEADER, Seconds(seconds)))
                [(_, value)] = response.headers
                self.assertIn(int(value), range(1, 86_401))
                refusal = Refusal(Reason.DEADLINE, retry_after=seconds)
                self.assertIn(("retry-after", value), refusal_response(refusal).headers)


class ConsensusMessageTest(unittest.TestCase):
    # Guards against a term after which there is none: every instance that adopts it ends.
    def test_a_message_of_the_log_with_a_number_out_of_range_is_no_message(self) -> None:
        log_id, zero = LogId(7), LogIndex(0)
        term, reading = Term(1), ClockReading(1, Seconds(0.0))
        members = Members(frozenset(), frozenset())
        at = Seconds(0.0)
        usual = (
            RequestVote(log_id, term, zero, term),
            VoteAnswer(log_id, term, granted=False),
            Append(log_id, term, zero, term, zero, at, at),
            AppendAnswer(log_id, term, False, zero, zero, at, reading),
            SnapshotChunk(log_id, term, zero, term, members, 0, 0, b"", at, at),
            SnapshotAnswer(log_id, term, zero, 0, False, at, reading),
            TimeoutNow(log_id, term),
        )
        fields = ("term", "last_index", "last_term", "previous_index", "previous_term", "commit")
        fields += ("index", "snapshot_index", "snapshot_term", "offset", "total", "received")
        for message in usual:
            batch = MessageBatch(ME, None, (message,))
            self.assertEqual(batch, decode(batch))
            for field in filter(message.__struct_fields__.__contains__, fields):
                for number in (2**64 - 1, 2**63, -1):
                    with self.subTest(message=type(message).__name__, field=field, number=number):
                        odd = msgspec.structs.replace(message, **{field: number})
                        with self.assertRaises(msgspec.DecodeError):
                            decode(MessageBatch(ME, None, (odd,)))


def decode(batch: MessageBatch) -> MessageBatch:
    """Return what the recipient of a batch reads."""
    codec = StructCodec()
    decoded = codec.decode(codec.encode(batch, MessageBatch), MessageBatch)
    assert isinstance(decoded, MessageBatch)
    return decoded


class RawCodec(StructCodec):
    """Sends bytes as they are."""

    def encode(self, message: bytes, message_type: object) -> bytes:
        return message


class RawClient:
    """Sends bytes to a method."""

    def __init__(self, host: str, port: int) -> None:
        self._channel = grpclib.client.Channel(host, port, codec=RawCodec())

    async def send(self, method: str, body: bytes) -> Exception | None:
        """Return the error of a call, or None."""
        call = grpclib.client.UnaryUnaryMethod(self._channel, method, bytes, AskResponse)
        try:
            await call(body, timeout=2.0)
        except Exception as error:
            return error
        finally:
            self._channel.close()
        return None


class OddLeader(LeaderClient):
    """Finds the leader among instances, one of which names odd addresses."""

    def __init__(self, answers: dict[str, object]) -> None:
        super().__init__(7000)
        self.answers = answers
        self.called: list[str] = []
        self.add_candidates(answers)

    async def _ask_at(self, address: str, call: object, timeout: Seconds) -> object:  # type: ignore[override]
        self.called.append(address)
        await anyio.sleep(0.001)
        return self.answers.get(address) or CallFailure(False, "not reached")


class LeaderTest(unittest.TestCase):
    def test_an_instance_that_names_an_odd_leader_does_not_hide_the_leader(self) -> None:
        for host in ODD_HOSTS:
            with self.subTest(host[:20]):
                answers = {"10.0.0.1": NotLeader(host, True), "10.0.0.2": Done("10.0.0.2")}
                leader = OddLeader(answers)

                async def ask(leader: OddLeader = leader) -> object:
                    return await leader.ask(Probe(), Seconds(clock.now() + 1.0))

                self.assertEqual(Done("10.0.0.2"), asyncio.run(ask()))

    def test_a_leader_that_knows_odd_instances_is_still_followed(self) -> None:
        serving = Serving("10.0.0.1", None, (*ODD_HOSTS, "10.0.0.2"))
        leader = OddLeader({"10.0.0.1": serving})

        async def run() -> object:
            await leader.probe()
            # The leader is lost; one of the instances that it knew leads now.
            leader.answers = {"10.0.0.2": Done("10.0.0.2")}
            leader.address = None
            return await leader.ask(Probe(), Seconds(clock.now() + 1.0))

        self.assertEqual(Done("10.0.0.2"), asyncio.run(run()))

    def test_without_a_usable_instance_a_call_is_refused(self) -> None:
        leader = OddLeader(dict.fromkeys(ODD_HOSTS))

        async def ask() -> object:
            return await leader.ask(Probe(), Seconds(clock.now() + 0.3))

        self.assertIsInstance(asyncio.run(ask()), Refused)


if __name__ == "__main__":
    unittest.main()
