import unittest
from collections.abc import MutableMapping
from typing import Any, cast

import anyio
import msgspec

from bulrushhollow_core.ids import RequestId, Version
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_daemon.api import Api, Backend
from bulrushhollow_daemon.settings import Limits

Message = MutableMapping[str, Any]


class FakeBackend:
    """The operations of the backend that the tested routes call."""

    def __init__(self, caught_up: bool, stopping: bool = False) -> None:
        self._caught_up = caught_up
        self._stopping = stopping

    def has_caught_up(self) -> bool:
        return self._caught_up

    def is_stopping(self) -> bool:
        return self._stopping

    def configuration(self) -> Configuration:
        return Configuration(Version(7))


class RecordedAnswer:
    """Records the answer that the application sends."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    async def send(self, message: Message) -> None:
        self.headers.update(message.get("headers", ()))
        self.body += message.get("body", b"")


def send_request(backend: FakeBackend, method: str, path: str) -> RecordedAnswer:
    async def receive() -> Message:
        return {"type": "http.request", "body": b"", "more_body": False}

    answer = RecordedAnswer()
    scope = {"type": "http", "method": method, "path": path, "headers": [], "query_string": b""}
    api = Api(cast(Backend, backend), Limits(), False, lambda: RequestId("r1"))
    anyio.run(api, scope, receive, answer.send)
    return answer


class NotCaughtUpTest(unittest.TestCase):
    def test_an_instance_that_has_not_caught_up_refuses_calls_for_its_state(self) -> None:
        for method, path in (
            ("GET", "/v1/configuration"),
            ("GET", "/v1/datacentres"),
            ("GET", "/v1/jobs"),
            ("GET", "/v1/jobs/j1"),
            ("POST", "/v1/jobs"),
        ):
            answer = send_request(FakeBackend(caught_up=False), method, path)
            refusal = msgspec.json.decode(answer.body, type=Refusal)
            self.assertEqual(Reason.NOT_READY, refusal.reason, path)
            self.assertEqual(Execution.NOT_RUN, refusal.execution, path)

    def test_an_instance_that_has_caught_up_returns_its_configuration(self) -> None:
        answer = send_request(FakeBackend(caught_up=True), "GET", "/v1/configuration")
        self.assertEqual(Version(7), msgspec.json.decode(answer.body, type=Configuration).version)


class StoppingTest(unittest.TestCase):
    def test_answers_of_a_stopping_instance_close_their_connection(self) -> None:
        for stopping, expected in ((True, b"close"), (False, None)):
            backend = FakeBackend(caught_up=True, stopping=stopping)
            answer = send_request(backend, "GET", "/v1/configuration")
            self.assertEqual(expected, answer.headers.get(b"connection"))


if __name__ == "__main__":
    unittest.main()
