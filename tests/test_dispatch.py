import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec

from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    EndpointId,
    InstanceName,
    ProfileName,
    RequestId,
    Seconds,
    WorkspaceId,
)
from bulrushhollow_core.models import Profile, WorkKind
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import AttemptEnd, Dispatch, Forward
from bulrushhollow_daemon.dispatch import AttemptAnswer, Dispatcher

MAX_ANSWER_BYTES = 256
BODY = b"body"
VALID_ANSWER = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 4\r\n\r\ndone"
ORDERS = Profile(ProfileName("orders"), WorkKind.REQUEST, WorkspaceId("shop"))


class ScriptedServer:
    """A server that sends the n-th answer to the n-th request, counted over all connections."""

    def __init__(self, *answers: bytes, close: bool = False) -> None:
        self.answers = list(answers)
        self.close = close
        self.connections = 0
        self.requests: list[bytes] = []

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while True:
                try:
                    request = await stream.receive()
                    while not request.endswith(BODY):
                        request += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.requests.append(request)
                if not self.answers:
                    return
                await stream.send(self.answers.pop(0))
                if self.close:
                    return


Exchange = Callable[[str, Dispatcher], Awaitable[None]]


def run_against(server: ScriptedServer, exchange: Exchange) -> None:
    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        dispatcher = Dispatcher(InstanceName("n1"), MAX_ANSWER_BYTES)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            with anyio.fail_after(10):
                await exchange(f"127.0.0.1:{port}", dispatcher)
            await dispatcher.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def make_dispatch(address: str, request: str = "r1", timeout: float = 5.0) -> Dispatch:
    return Dispatch(
        RequestId(request), Attempt(1), EndpointId("e1"), address, Seconds(timeout), connections=4
    )


class DispatchTests(unittest.TestCase):
    def answer_to(
        self, answer_bytes: bytes, close: bool = False, timeout: float = 5.0
    ) -> AttemptAnswer:
        answers: list[AttemptAnswer] = []

        async def send(address: str, dispatcher: Dispatcher) -> None:
            answers.append(
                await dispatcher.send(make_dispatch(address, timeout=timeout), BODY, ORDERS)
            )

        run_against(ScriptedServer(answer_bytes, close=close), send)
        return answers[0]

    def assert_lost(self, answer_bytes: bytes, reason: Reason, close: bool = True) -> None:
        answer = self.answer_to(answer_bytes, close)
        self.assertEqual((answer.result.end, answer.result.reason), (AttemptEnd.LOST, reason))
        self.assertEqual(answer.body, b"")

    def test_complete_answer(self) -> None:
        answer = self.answer_to(VALID_ANSWER)
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_connection_is_reused_after_a_complete_answer(self) -> None:
        server = ScriptedServer(VALID_ANSWER, VALID_ANSWER)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            for _ in range(2):
                answer = await dispatcher.send(make_dispatch(address), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 1)

    def test_chunked_answer(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"
        answer = self.answer_to(head + b"4\r\ndone\r\n0\r\n\r\n")
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))
        self.assert_lost(head + b"4\r\ndone\r\n", Reason.ANSWER_LOST)

    def test_complete_answer_with_connection_close(self) -> None:
        closing_answer = VALID_ANSWER.replace(
            b"content-length", b"connection: close\r\ncontent-length"
        )
        for close in (False, True):
            answer = self.answer_to(closing_answer, close=close)
            self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_answer_to_another_request_is_lost(self) -> None:
        self.assert_lost(VALID_ANSWER.replace(b"r1", b"r2"), Reason.ANSWER_MALFORMED)

    def test_answer_without_request_id_is_lost(self) -> None:
        self.assert_lost(VALID_ANSWER.replace(b"request-id: r1\r\n", b""), Reason.ANSWER_MALFORMED)

    def test_truncated_answer_is_lost(self) -> None:
        self.assert_lost(VALID_ANSWER[:-1], Reason.ANSWER_LOST)

    def test_answer_longer_than_its_stated_length_is_lost(self) -> None:
        self.assert_lost(VALID_ANSWER + b"more", Reason.ANSWER_MALFORMED)

    def test_answer_without_length_is_lost(self) -> None:
        self.assert_lost(
            VALID_ANSWER.replace(b"content-length: 4\r\n", b""), Reason.ANSWER_MALFORMED
        )

    def test_answer_above_the_limit_is_lost(self) -> None:
        self.assert_lost(
            VALID_ANSWER.replace(b": 4", b": 257") + b"x" * 253, Reason.ANSWER_MALFORMED
        )

    def test_malformed_and_empty_answers_are_lost(self) -> None:
        self.assert_lost(b"garbage\r\n\r\n", Reason.ANSWER_LOST)
        self.assert_lost(b"", Reason.ANSWER_LOST)

    def test_late_answer_is_lost_and_its_connection_is_closed(self) -> None:
        server = ScriptedServer(b"", VALID_ANSWER)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            late = await dispatcher.send(make_dispatch(address, timeout=0.1), BODY, ORDERS)
            self.assertEqual(late.result.reason, Reason.DEADLINE)
            self.assertEqual(late.result.execution, Execution.UNKNOWN)
            answer = await dispatcher.send(make_dispatch(address), BODY, ORDERS)
            self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 2)

    def test_duplicated_answer_does_not_reach_the_next_request(self) -> None:
        server = ScriptedServer(VALID_ANSWER + VALID_ANSWER, VALID_ANSWER.replace(b"r1", b"r2"))

        async def send_two(address: str, dispatcher: Dispatcher) -> None:
            for request in ("r1", "r2"):
                answer = await dispatcher.send(make_dispatch(address, request), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_two)
        self.assertEqual(server.connections, 2)

    def test_refusal_by_the_endpoint_is_not_run(self) -> None:
        refusal = VALID_ANSWER.replace(b"200 OK", b"503 Busy").replace(
            b"\r\nreq", b"\r\nnot-run: true\r\nreq"
        )
        self.assertEqual(self.answer_to(refusal).result.end, AttemptEnd.REFUSED)

    def test_503_without_the_not_run_header_is_an_answer(self) -> None:
        answer = self.answer_to(VALID_ANSWER.replace(b"200 OK", b"503 Busy"))
        self.assertEqual((answer.result.end, answer.result.status), (AttemptEnd.WHOLE, 503))

    def test_refused_connection_is_not_written(self) -> None:
        async def run() -> AttemptAnswer:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            dispatcher = Dispatcher(InstanceName("n1"), MAX_ANSWER_BYTES)
            return await dispatcher.send(make_dispatch(f"127.0.0.1:{port}"), BODY, ORDERS)

        self.assertEqual(anyio.run(run).result.end, AttemptEnd.NOT_WRITTEN)

    def test_request_on_a_reused_connection_that_breaks_is_lost(self) -> None:
        server = ScriptedServer(VALID_ANSWER)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            await dispatcher.send(make_dispatch(address), BODY, ORDERS)
            second = await dispatcher.send(make_dispatch(address), BODY, ORDERS)
            self.assertEqual(second.result.end, AttemptEnd.LOST)

        run_against(server, send_twice)
        self.assertEqual(len(server.requests), 2)

    def test_connection_closed_by_the_endpoint_is_not_reused(self) -> None:
        server = ScriptedServer(VALID_ANSWER, VALID_ANSWER, close=True)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            for _ in range(2):
                answer = await dispatcher.send(make_dispatch(address), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)
                await anyio.sleep(0.05)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 2)


class ForwardTests(unittest.TestCase):
    def answer_to(self, head: bytes, body: bytes) -> AttemptAnswer:
        answers: list[AttemptAnswer] = []
        length = str(len(body)).encode()
        answer_bytes = (
            head + b"\r\nrequest-id: r1\r\ncontent-length: " + length + b"\r\n\r\n" + body
        )

        async def send(address: str, dispatcher: Dispatcher) -> None:
            forward = Forward(
                RequestId("r1"),
                Attempt(1),
                InstanceName("s1"),
                DataCentreId("south"),
                address,
                Seconds(5.0),
            )
            answers.append(await dispatcher.send(forward, BODY, ORDERS))

        run_against(ScriptedServer(answer_bytes), send)
        return answers[0]

    def test_answer_from_another_instance(self) -> None:
        answer = self.answer_to(b"HTTP/1.1 200 OK\r\nexecution: ran", b"done")
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_refusals_from_another_instance_keep_their_execution_state(self) -> None:
        for execution, end in (
            (Execution.NOT_RUN, AttemptEnd.REFUSED),
            (Execution.UNKNOWN, AttemptEnd.LOST),
            (Execution.RAN, AttemptEnd.LOST),
        ):
            refusal = Refusal(Reason.OVERLOADED, execution=execution)
            head = f"HTTP/1.1 503 No\r\nexecution: {execution.value}\r\nreason: overloaded"
            answer = self.answer_to(head.encode(), msgspec.json.encode(refusal))
            self.assertEqual((answer.result.end, answer.result.reason), (end, Reason.OVERLOADED))


if __name__ == "__main__":
    unittest.main()
