import json
import unittest
from collections.abc import Callable
from typing import Any

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushhollow_core.answers import InstanceStatus, JobAnswer
from bulrushhollow_core.changes import ChangeAccepted
from bulrushhollow_core.ids import RequestId
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import CallId, Event
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_daemon.api import Api, CallerRequest, RequestAnswer
from bulrushhollow_daemon.settings import Limits

LIMITS = Limits(request_bytes=100, control_bytes=1024)


class FakeBackend:
    """Records the events and requests that it receives."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.requests: list[CallerRequest] = []
        self.result: RequestAnswer | Refusal = RequestAnswer(RequestId("r1"), 200, b"done")

    async def call(self, event: Callable[[CallId], Event]) -> msgspec.Struct:
        self.events.append(event(CallId(1)))
        return ChangeAccepted(1)  # type: ignore[arg-type]

    async def request(self, request: CallerRequest) -> RequestAnswer | Refusal:
        self.requests.append(request)
        return self.result

    def configuration(self) -> Configuration:
        return Configuration()

    def data_centres(self) -> tuple[Any, ...]:
        return ()

    def endpoints(self) -> tuple[Any, ...]:
        return ()

    def status(self) -> InstanceStatus:
        return InstanceStatus("a1", "a1.1", "north", False)  # type: ignore[arg-type]

    def job(self, job: str) -> JobAnswer | Refusal:
        return Refusal(Reason.NO_SUCH_JOB)

    def jobs(self) -> tuple[JobAnswer, ...]:
        return ()

    def has_caught_up(self) -> bool:
        return True

    def is_stopping(self) -> bool:
        return False

    def metrics(self) -> bytes:
        return b""

    def cut_links(self, peers: frozenset[str]) -> None:
        raise AssertionError("disabled by default")


class Answer(msgspec.Struct):
    status: int
    headers: dict[str, str]
    body: bytes


class ApiTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backend = FakeBackend()
        self.api = Api(self.backend, LIMITS, False, lambda: RequestId("r1"))  # type: ignore[arg-type]

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Answer:
        sent: list[Any] = []
        raw_headers = [(k.encode(), v.encode("latin-1")) for k, v in (headers or {}).items()]
        scope = {"type": "http", "method": method, "path": path, "query_string": b""}

        async def run() -> None:
            chunks = [{"type": "http.request", "body": body, "more_body": False}]

            async def receive() -> Any:
                if chunks:
                    return chunks.pop()
                await anyio.sleep_forever()
                return None

            async def send(message: Any) -> None:
                sent.append(message)

            await self.api({**scope, "headers": raw_headers}, receive, send)

        anyio.run(run)
        start, end = sent
        answer_headers = {k.decode(): v.decode("latin-1") for k, v in start["headers"]}
        return Answer(start["status"], answer_headers, end["body"])

    def test_malformed_bodies_are_refused_without_effect(self) -> None:
        malformed_bodies = (
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            b'{"change_id": 1}',
            b'{"change_id": "c", "edit": {"type": "put_profile"}}',
            b'{"change_id": "c", "edit": {"type": "remove_profile", "name": "x"}, "more": 1}',
            b"[" * 1000,
        )
        for path in ("/v1/changes", "/v1/jobs", "/v1/endpoints"):
            for body in malformed_bodies:
                with self.subTest(path=path, body=body[:20]):
                    answer = self.call("POST", path, body)
                    self.assertEqual(400, answer.status)
                    self.assertEqual("not_run", json.loads(answer.body)["execution"])
        self.assertEqual([], self.backend.events)

    def test_oversized_bodies_are_refused(self) -> None:
        answer = self.call("POST", "/v1/requests/label", b"x" * 101)
        self.assertEqual(413, answer.status)
        self.assertEqual("not_run", answer.headers["execution"])
        self.assertEqual([], self.backend.requests)

    def test_an_answer_states_that_the_work_ran(self) -> None:
        answer = self.call("POST", "/v1/requests/label", b"body")
        self.assertEqual((200, b"done"), (answer.status, answer.body))
        self.assertEqual("ran", answer.headers["execution"])
        self.assertEqual("r1", answer.headers["request-id"])

    def test_a_refusal_states_whether_the_work_ran_and_when_to_retry(self) -> None:
        self.backend.result = Refusal(Reason.OVERLOADED, "busy", Execution.NOT_RUN, 3.0)
        answer = self.call("POST", "/v1/requests/label", b"body")
        self.assertEqual(503, answer.status)
        self.assertEqual("3", answer.headers["retry-after"])
        self.assertEqual("not_run", answer.headers["execution"])

    def test_an_invalid_deadline_or_key_is_refused(self) -> None:
        for headers in (
            {"deadline-seconds": "soon"},
            {"deadline-seconds": "-1"},
            {"deadline-seconds": "nan"},
            {"idempotency-key": "k" * 129},
        ):
            with self.subTest(headers=headers):
                answer = self.call("POST", "/v1/requests/label", b"", headers)
                self.assertEqual(400, answer.status)
        self.assertEqual([], self.backend.requests)

    def test_a_forwarded_request_keeps_its_id(self) -> None:
        headers = {"forwarded-by": "b1", "request-id": "theirs"}
        answer = self.call("POST", "/v1/requests/label", b"", headers)
        self.assertEqual("theirs", answer.headers["request-id"])
        self.assertEqual("theirs", self.backend.requests[0].forwarded_request_id)

    def test_the_development_call_is_disabled_by_default(self) -> None:
        answer = self.call("POST", "/v1/development/cut", b'{"peers": ["b1"]}')
        self.assertEqual(404, answer.status)

    def test_readiness_and_health_are_separate(self) -> None:
        self.assertEqual(503, self.call("GET", "/readyz").status)
        self.assertEqual(200, self.call("GET", "/healthz").status)

    @given(body=st.binary(max_size=200), path=st.sampled_from(["changes", "jobs", "endpoints"]))
    @settings(derandomize=True, max_examples=150, deadline=None)
    def test_any_bytes_are_refused_or_understood(self, body: bytes, path: str) -> None:
        self.assertIn(self.call("POST", f"/v1/{path}", body).status, (200, 400, 413))


if __name__ == "__main__":
    unittest.main()
