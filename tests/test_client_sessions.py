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
from tests.client_fakes import (
    ANSWER_LOST,
    NOT_CONNECTED,
    REQUEST_RAN,
    FakeAdapter,
    ScriptedAnswer,
    make_answer,
    make_refusal,
)

FIRST, SECOND = "http://10.0.0.1:80", "http://10.0.0.2:80"
T = TypeVar("T")


def call_session(
    adapter: FakeAdapter, operation: Callable[[Session], Awaitable[T]], entries: tuple[str, ...]
) -> T:
    async def call() -> T:
        async with Session(entries, adapter) as session:
            return await operation(session)

    return anyio.run(call)


class RequestTest(unittest.TestCase):
    def request(self, *answers: ScriptedAnswer, **options: object) -> Response:
        self.adapter = FakeAdapter(*answers)
        return call_session(
            self.adapter,
            lambda session: session.request("labels", b"x", **options),  # type: ignore[arg-type]
            (FIRST, SECOND),
        )

    def test_answer_of_the_endpoint_is_returned(self) -> None:
        response = self.request(REQUEST_RAN)
        self.assertEqual(
            (200, b"whole", "r1"), (response.status_code, response.content, response.request_id)
        )

    def test_endpoint_error_is_an_answer_that_ran(self) -> None:
        failed = WholeAnswer(500, REQUEST_RAN.headers, b"broken")
        response = self.request(failed)
        self.assertFalse(response.ok)
        with self.assertRaises(exceptions.WorkFailedError):
            response.raise_for_status()

    def test_endpoint_answer_that_looks_like_a_refusal_is_passed_on(self) -> None:
        body = make_refusal(Reason.NO_ENDPOINT).body
        response = self.request(WholeAnswer(503, REQUEST_RAN.headers, body))
        self.assertEqual(body, response.content)

    def test_non_idempotent_request_is_not_retried_after_a_lost_answer(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(ANSWER_LOST, REQUEST_RAN)
        self.assertEqual(1, len(self.adapter.calls))

    def test_idempotent_request_is_retried_on_the_next_entry_after_a_lost_answer(self) -> None:
        self.assertEqual(b"whole", self.request(ANSWER_LOST, REQUEST_RAN, idempotent=True).content)
        self.assertEqual([FIRST, SECOND], [call.entry for call in self.adapter.calls])

    def test_request_with_a_key_is_resent_with_the_same_key(self) -> None:
        self.request(ANSWER_LOST, REQUEST_RAN, idempotency_key="k1")
        keys = [header.value for call in self.adapter.calls for header in call.headers]
        self.assertEqual(2, keys.count("k1"))

    def test_request_that_did_not_run_is_retried_on_the_next_entry(self) -> None:
        self.assertEqual(b"whole", self.request(NOT_CONNECTED, REQUEST_RAN).content)
        self.assertEqual(
            b"whole", self.request(make_refusal(Reason.NOT_READY), REQUEST_RAN).content
        )

    def test_refusal_after_a_lost_answer_stays_unknown(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(ANSWER_LOST, make_refusal(Reason.NO_ENDPOINT), idempotent=True)
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(ANSWER_LOST, NOT_CONNECTED, idempotent=True)

    def test_request_that_reaches_no_entry_did_not_run(self) -> None:
        with self.assertRaises(exceptions.EntryUnreachableError) as caught:
            self.request(NOT_CONNECTED, NOT_CONNECTED)
        self.assertIs(Execution.NOT_RUN, caught.exception.execution)

    def test_answer_of_a_foreign_server_has_unknown_outcome(self) -> None:
        for foreign_answer in (WholeAnswer(200, (), b"hello"), WholeAnswer(502, (), b"<html>")):
            with self.assertRaises(exceptions.OutcomeUnknownError) as caught:
                self.request(foreign_answer)
            self.assertIs(Reason.ANSWER_MALFORMED, caught.exception.reason)

    def test_refusal_of_unknown_execution_has_unknown_outcome(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.request(make_refusal(Reason.KEY_OUTCOME_UNKNOWN, Execution.UNKNOWN))


class ChangeTest(unittest.TestCase):
    def change(self, *answers: ScriptedAnswer) -> ChangeAccepted:
        self.adapter = FakeAdapter(*answers)
        return call_session(
            self.adapter,
            lambda session: session.change(RemoveProfile(ProfileName("p")), base_version=3),
            (FIRST,),
        )

    def test_change_is_resent_with_the_same_id_after_a_lost_answer(self) -> None:
        accepted = self.change(ANSWER_LOST, make_answer(ChangeAccepted(Version(4))))
        self.assertEqual(4, accepted.version)
        sent = [
            msgspec.json.decode(call.body, type=ChangeConfiguration) for call in self.adapter.calls
        ]
        self.assertEqual(sent[0], sent[1])

    def test_version_conflict_after_a_lost_answer_is_final(self) -> None:
        with self.assertRaises(exceptions.RefusedError) as caught:
            self.change(ANSWER_LOST, make_refusal(Reason.VERSION_CONFLICT))
        self.assertIs(Reason.VERSION_CONFLICT, caught.exception.reason)

    def test_no_quorum_after_a_lost_answer_stays_unknown(self) -> None:
        with self.assertRaises(exceptions.OutcomeUnknownError):
            self.change(ANSWER_LOST, *[make_refusal(Reason.NO_QUORUM)] * 3)


class JobTest(unittest.TestCase):
    def test_refusal_of_one_instance_after_a_lost_answer_stays_unknown(self) -> None:
        """An instance that lags behind the log refuses by outdated state, not by the log."""
        for reason in (Reason.DATA_CENTRE_OUT, Reason.NO_SUCH_PROFILE, Reason.QUOTA):
            adapter = FakeAdapter(ANSWER_LOST, make_refusal(reason))
            with self.subTest(reason), self.assertRaises(exceptions.OutcomeUnknownError):
                call_session(
                    adapter, lambda session: session.submit("grip", job_id="a"), (FIRST, SECOND)
                )

    def test_submission_is_resent_with_the_same_quoted_job_id(self) -> None:
        answer = make_answer(JobAnswer(JobId("a/b"), JobStage.QUEUED))
        adapter = FakeAdapter(ANSWER_LOST, answer, answer)

        async def operation(session: Session) -> JobAnswer:
            await session.submit("grip", job_id="a/b")
            return await session.job("a/b")

        self.assertEqual("a/b", call_session(adapter, operation, (FIRST,)).job)
        self.assertEqual(adapter.calls[0].body, adapter.calls[1].body)
        self.assertEqual("/v1/jobs/a%2Fb", adapter.calls[2].path)


class InvalidCallTest(unittest.TestCase):
    def test_invalid_values_are_refused_before_anything_is_sent(self) -> None:
        adapter = FakeAdapter()
        for options in ({"idempotency_key": "a\nb"}, {"deadline": 0.0}, {"deadline": math.nan}):
            with self.subTest(options), self.assertRaises(exceptions.InvalidCallError):
                call_session(adapter, partial(Session.request, profile="p", **options), (FIRST,))
        self.assertEqual([], adapter.calls)

    def test_invalid_addresses_are_refused_before_anything_is_sent(self) -> None:
        for entry in ("", "10.0.0.1:80", "ftp://x", "http://h:99999", "http://h/path"):
            with self.subTest(entry), self.assertRaises(exceptions.InvalidCallError):
                Session([entry], FakeAdapter())


class HttpAdapterTest(unittest.TestCase):
    """The adapter against a loopback server that sends the given bytes and closes."""

    def exchange(self, raw: bytes) -> WholeAnswer | TransportFailure:
        async def serve(stream: SocketStream) -> None:
            async with stream:
                await stream.receive()
                await stream.send(raw)

        async def call() -> WholeAnswer | TransportFailure:
            adapter = HttpAdapter()
            async with anyio.create_task_group() as task_group:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
                port = listener.extra(SocketAttribute.local_port)
                task_group.start_soon(listener.serve, serve)
                answer = await adapter.send(Call("GET", f"http://127.0.0.1:{port}", "/"))
                task_group.cancel_scope.cancel()
            await adapter.close()
            await listener.aclose()
            return answer

        return anyio.run(call)

    def test_whole_answer(self) -> None:
        answer = self.exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: Y\r\n\r\nok")
        self.assertEqual(
            WholeAnswer(200, (Header("content-length", "2"), Header("x", "Y")), b"ok"), answer
        )

    def test_truncated_answer_is_a_failure_of_unknown_execution(self) -> None:
        answer = self.exchange(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        assert isinstance(answer, TransportFailure)
        self.assertIs(Execution.UNKNOWN, answer.execution)

    def test_closed_port_is_a_failure_that_did_not_run(self) -> None:
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
