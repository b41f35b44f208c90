import math
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream

from bulrushhollow import exceptions
from bulrushhollow.adapters import Call, TransportFailure, WholeAnswer
from bulrushhollow.http import HttpAdapter
from bulrushhollow.models import Header, Response
from bulrushhollow.sessions import Session
from bulrushhollow_core.answers import JobAnswer, JobStage
from bulrushhollow_core.changes import ChangeAccepted, ChangeConfiguration, RemoveProfile
from bulrushhollow_core.ids import JobId, ProfileName, Version
from bulrushhollow_core.outcomes import Execution, Reason
from tests.client_fakes import LOST, NOT_CONNECTED, RAN, FakeAdapter, Step, answered, refused

FIRST, SECOND = "http://10.0.0.1:80", "http://10.0.0.2:80"
T = TypeVar("T")


def carry(
    adapter: FakeAdapter, use: Callable[[Session], Awaitable[T]], entries: tuple[str, ...]
) -> T:
    async def call() -> T:
        async with Session(entries, adapter) as session:
            return await use(session)

    return anyio.run(call)


class RequestTest(unittest.TestCase):
    def request(self, *steps: Step, **options: object) -> Response:
        self.adapter = FakeAdapter(*steps)
        return carry(
            self.adapter,
            lambda session: session.request("labels", b"x", **options),  # type: ignore[arg-type]
            (FIRST, SECOND),
        )

    def test_whole_answer_of_the_endpoint(self) -> None:
        response = self.request(RAN)
        self.assertEqual(
            (200, b"whole", "r1"), (response.status_code, response.content, response.request_id)
        )

    def test_endpoint_error_is_an_answer_that_ran(self) -> None:
        failed = WholeAnswer(500, RAN.headers, b"broken")
        response = self.request(failed)
        self.assertFalse(response.ok)
        with self.assertRaises(exceptions.WorkFailedError):
            response.raise_for_status()

    def test_endpoint_answer_that_looks_like_a_refusal_is_passed_on(self) -> None:
        body = refused(Reason.NO_ENDPOINT).body
        response = self.request(WholeAnswer(503, RAN.headers, body))
        self.assertEqual(body, response.content)

    def test_lost_answer_of_non_idempotent_request_is_not_asked_for_again(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(LOST, RAN)
        self.assertEqual(1, len(self.adapter.calls))

    def test_lost_answer_of_idempotent_request_goes_to_the_next_entry(self) -> None:
        self.assertEqual(b"whole", self.request(LOST, RAN, idempotent=True).content)
        self.assertEqual([FIRST, SECOND], [call.entry for call in self.adapter.calls])

    def test_request_with_a_key_is_resent_with_the_same_key(self) -> None:
        self.request(LOST, RAN, idempotency_key="k1")
        keys = [header.value for call in self.adapter.calls for header in call.headers]
        self.assertEqual(2, keys.count("k1"))

    def test_attempt_that_did_not_run_goes_to_the_next_entry(self) -> None:
        self.assertEqual(b"whole", self.request(NOT_CONNECTED, RAN).content)
        self.assertEqual(b"whole", self.request(refused(Reason.NOT_READY), RAN).content)

    def test_refusal_after_a_lost_answer_stays_unknown(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(LOST, refused(Reason.NO_ENDPOINT), idempotent=True)
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(LOST, NOT_CONNECTED, idempotent=True)

    def test_no_entry_reached_is_not_run(self) -> None:
        with self.assertRaises(exceptions.EntryUnreachableError) as caught:
            self.request(NOT_CONNECTED, NOT_CONNECTED)
        self.assertIs(Execution.NOT_RUN, caught.exception.execution)

    def test_answer_of_another_server_is_unknown(self) -> None:
        for other in (WholeAnswer(200, (), b"hello"), WholeAnswer(502, (), b"<html>")):
            with self.assertRaises(exceptions.OutcomeUnknownError) as caught:
                self.request(other)
            self.assertIs(Reason.ANSWER_MALFORMED, caught.exception.reason)

    def test_unknown_refusal_is_unknown(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(refused(Reason.KEY_OUTCOME_UNKNOWN, Execution.UNKNOWN))


class ChangeTest(unittest.TestCase):
    def change(self, *steps: Step) -> ChangeAccepted:
        self.adapter = FakeAdapter(*steps)
        return carry(
            self.adapter,
            lambda session: session.change(RemoveProfile(ProfileName("p")), base_version=3),
            (FIRST,),
        )

    def test_lost_answer_is_asked_for_with_the_same_change_id(self) -> None:
        accepted = self.change(LOST, answered(ChangeAccepted(Version(4))))
        self.assertEqual(4, accepted.version)
        sent = [
            msgspec.json.decode(call.body, type=ChangeConfiguration) for call in self.adapter.calls
        ]
        self.assertEqual(sent[0], sent[1])

    def test_conflict_after_a_lost_answer_is_a_decision(self) -> None:
        with self.assertRaises(exceptions.RefusedError) as caught:
            self.change(LOST, refused(Reason.VERSION_CONFLICT))
        self.assertIs(Reason.VERSION_CONFLICT, caught.exception.reason)

    def test_no_quorum_after_a_lost_answer_stays_unknown(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.change(LOST, *[refused(Reason.NO_QUORUM)] * 3)


class JobTest(unittest.TestCase):
    def test_refusal_of_one_instance_after_a_lost_answer_stays_unknown(self) -> None:
        """An instance that lags behind the log refuses by what it knows, not by the log."""
        for reason in (Reason.DATA_CENTRE_OUT, Reason.NO_SUCH_PROFILE, Reason.QUOTA):
            adapter = FakeAdapter(LOST, refused(reason))
            with self.subTest(reason), self.assertRaises(exceptions.OutcomeUnknownError):
                carry(adapter, lambda session: session.submit("grip", job_id="a"), (FIRST, SECOND))

    def test_submission_keeps_its_job_id_and_quotes_it(self) -> None:
        answer = answered(JobAnswer(JobId("a/b"), JobStage.QUEUED))
        adapter = FakeAdapter(LOST, answer, answer)

        async def use(session: Session) -> JobAnswer:
            await session.submit("grip", job_id="a/b")
            return await session.job("a/b")

        self.assertEqual("a/b", carry(adapter, use, (FIRST,)).job)
        self.assertEqual(adapter.calls[0].body, adapter.calls[1].body)
        self.assertEqual("/v1/jobs/a%2Fb", adapter.calls[2].path)


class InvalidCallTest(unittest.TestCase):
    def test_values_that_cannot_be_sent_are_refused_before_anything_is_sent(self) -> None:
        adapter = FakeAdapter()
        for options in ({"idempotency_key": "a\nb"}, {"deadline": 0.0}, {"deadline": math.nan}):
            with self.subTest(options), self.assertRaises(exceptions.InvalidCallError):
                carry(adapter, partial(Session.request, profile="p", **options), (FIRST,))
        self.assertEqual([], adapter.calls)

    def test_wrong_addresses_are_refused_before_anything_is_sent(self) -> None:
        for entry in ("", "10.0.0.1:80", "ftp://x", "http://h:99999", "http://h/path"):
            with self.subTest(entry), self.assertRaises(exceptions.InvalidCallError):
                Session([entry], FakeAdapter())


class HttpAdapterTest(unittest.TestCase):
    """The adapter against a server on loopback that writes the given bytes and hangs up."""

    def exchange(self, raw: bytes) -> WholeAnswer | TransportFailure:
        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(raw)

        async def call() -> WholeAnswer | TransportFailure:
            adapter = HttpAdapter()
            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                tasks.start_soon(listener.serve, serve)
                answer = await adapter.send(Call("GET", f"http://127.0.0.1:{port}", "/"))
                tasks.cancel_scope.cancel()
            await adapter.close()
            await listener.aclose()
            return answer

        return anyio.run(call)

    def test_whole_answer(self) -> None:
        answer = self.exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: Y\r\n\r\nok")
        self.assertEqual(
            WholeAnswer(200, (Header("content-length", "2"), Header("x", "Y")), b"ok"), answer
        )

    def test_answer_cut_short_is_never_passed_off_as_whole(self) -> None:
        answer = self.exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        assert isinstance(answer, TransportFailure)
        self.assertIs(Execution.UNKNOWN, answer.execution)

    def test_closed_port_is_not_run(self) -> None:
        async def call() -> WholeAnswer | TransportFailure:
            async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listeners:
                port = listeners.extra(SocketAttribute.local_port)
            adapter = HttpAdapter()
            answer = await adapter.send(Call("GET", f"http://127.0.0.1:{port}", "/"))
            await adapter.close()
            return answer

        answer = anyio.run(call)
        assert isinstance(answer, TransportFailure)
        self.assertIs(Execution.NOT_RUN, answer.execution)


if __name__ == "__main__":
    unittest.main()
