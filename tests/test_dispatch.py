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

ANSWER_BYTES = 256
BODY = b"body"
GOOD = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ncontent-length: 4\r\n\r\ndone"
ORDERS = Profile(ProfileName("orders"), WorkKind.REQUEST, WorkspaceId("shop"))


class Scripted:
    """A server that answers the n-th request, over all its connections, with the n-th script."""

    def __init__(self, *scripts: bytes, close: bool = False) -> None:
        self.scripts = list(scripts)
        self.close = close
        self.connections = 0
        self.received: list[bytes] = []

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while True:
                try:
                    received = await stream.receive()
                    while not received.endswith(BODY):
                        received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                self.received.append(received)
                if not self.scripts:
                    return
                await stream.send(self.scripts.pop(0))
                if self.close:
                    return


Test = Callable[[str, Dispatcher], Awaitable[None]]


def run_against(server: Scripted, test: Test) -> None:
    async def run() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        dispatcher = Dispatcher(InstanceName("n1"), ANSWER_BYTES)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.serve)
            with anyio.fail_after(10):
                await test(f"127.0.0.1:{port}", dispatcher)
            await dispatcher.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def dispatch(address: str, request: str = "r1", timeout: float = 5.0) -> Dispatch:
    return Dispatch(
        RequestId(request), Attempt(1), EndpointId("e1"), address, Seconds(timeout), connections=4
    )


class DispatchTests(unittest.TestCase):
    def answer_to(self, script: bytes, close: bool = False, timeout: float = 5.0) -> AttemptAnswer:
        answers: list[AttemptAnswer] = []

        async def send(address: str, dispatcher: Dispatcher) -> None:
            answers.append(await dispatcher.send(dispatch(address, timeout=timeout), BODY, ORDERS))

        run_against(Scripted(script, close=close), send)
        return answers[0]

    def assert_lost(self, script: bytes, reason: Reason, close: bool = True) -> None:
        answer = self.answer_to(script, close)
        self.assertEqual((answer.result.end, answer.result.reason), (AttemptEnd.LOST, reason))
        self.assertEqual(answer.body, b"")

    def test_whole_answer(self) -> None:
        answer = self.answer_to(GOOD)
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_connection_is_used_again_after_a_whole_answer(self) -> None:
        server = Scripted(GOOD, GOOD)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            for _ in range(2):
                answer = await dispatcher.send(dispatch(address), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 1)

    def test_whole_answer_in_chunks(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\ntransfer-encoding: chunked\r\n\r\n"
        answer = self.answer_to(head + b"4\r\ndone\r\n0\r\n\r\n")
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))
        self.assert_lost(head + b"4\r\ndone\r\n", Reason.ANSWER_LOST)

    def test_whole_answer_that_is_the_last_on_its_connection(self) -> None:
        last = GOOD.replace(b"content-length", b"connection: close\r\ncontent-length")
        for close in (False, True):
            answer = self.answer_to(last, close=close)
            self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_answer_to_another_request_is_lost(self) -> None:
        self.assert_lost(GOOD.replace(b"r1", b"r2"), Reason.ANSWER_MALFORMED)

    def test_answer_without_request_id_is_lost(self) -> None:
        self.assert_lost(GOOD.replace(b"request-id: r1\r\n", b""), Reason.ANSWER_MALFORMED)

    def test_cut_answer_is_lost(self) -> None:
        self.assert_lost(GOOD[:-1], Reason.ANSWER_LOST)

    def test_over_long_answer_is_lost(self) -> None:
        self.assert_lost(GOOD + b"more", Reason.ANSWER_MALFORMED)

    def test_answer_without_length_is_lost(self) -> None:
        self.assert_lost(GOOD.replace(b"content-length: 4\r\n", b""), Reason.ANSWER_MALFORMED)

    def test_answer_above_the_limit_is_lost(self) -> None:
        self.assert_lost(GOOD.replace(b": 4", b": 257") + b"x" * 253, Reason.ANSWER_MALFORMED)

    def test_garbage_and_silence_are_lost(self) -> None:
        self.assert_lost(b"garbage\r\n\r\n", Reason.ANSWER_LOST)
        self.assert_lost(b"", Reason.ANSWER_LOST)

    def test_late_answer_is_lost_and_its_connection_closed(self) -> None:
        server = Scripted(b"", GOOD)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            late = await dispatcher.send(dispatch(address, timeout=0.1), BODY, ORDERS)
            self.assertEqual(late.result.reason, Reason.DEADLINE)
            self.assertEqual(late.result.execution, Execution.UNKNOWN)
            answer = await dispatcher.send(dispatch(address), BODY, ORDERS)
            self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 2)

    def test_doubled_answer_reaches_its_request_only(self) -> None:
        server = Scripted(GOOD + GOOD, GOOD.replace(b"r1", b"r2"))

        async def send_two(address: str, dispatcher: Dispatcher) -> None:
            for request in ("r1", "r2"):
                answer = await dispatcher.send(dispatch(address, request), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)

        run_against(server, send_two)
        self.assertEqual(server.connections, 2)

    def test_refusal_of_the_endpoint_is_not_run(self) -> None:
        refusal = GOOD.replace(b"200 OK", b"503 Busy").replace(
            b"\r\nreq", b"\r\nnot-run: true\r\nreq"
        )
        self.assertEqual(self.answer_to(refusal).result.end, AttemptEnd.REFUSED)

    def test_unavailable_without_the_endpoints_word_is_an_answer(self) -> None:
        answer = self.answer_to(GOOD.replace(b"200 OK", b"503 Busy"))
        self.assertEqual((answer.result.end, answer.result.status), (AttemptEnd.WHOLE, 503))

    def test_refused_connection_is_not_written(self) -> None:
        async def run() -> AttemptAnswer:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            dispatcher = Dispatcher(InstanceName("n1"), ANSWER_BYTES)
            return await dispatcher.send(dispatch(f"127.0.0.1:{port}"), BODY, ORDERS)

        self.assertEqual(anyio.run(run).result.end, AttemptEnd.NOT_WRITTEN)

    def test_request_on_a_connection_that_breaks_when_used_again_is_lost(self) -> None:
        server = Scripted(GOOD)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            await dispatcher.send(dispatch(address), BODY, ORDERS)
            second = await dispatcher.send(dispatch(address), BODY, ORDERS)
            self.assertEqual(second.result.end, AttemptEnd.LOST)

        run_against(server, send_twice)
        self.assertEqual(len(server.received), 2)

    def test_connection_that_the_endpoint_closed_is_not_used_again(self) -> None:
        server = Scripted(GOOD, GOOD, close=True)

        async def send_twice(address: str, dispatcher: Dispatcher) -> None:
            for _ in range(2):
                answer = await dispatcher.send(dispatch(address), BODY, ORDERS)
                self.assertEqual(answer.result.end, AttemptEnd.WHOLE)
                await anyio.sleep(0.05)

        run_against(server, send_twice)
        self.assertEqual(server.connections, 2)


class ForwardTests(unittest.TestCase):
    def answer_to(self, head: bytes, body: bytes) -> AttemptAnswer:
        answers: list[AttemptAnswer] = []
        length = str(len(body)).encode()
        script = head + b"\r\nrequest-id: r1\r\ncontent-length: " + length + b"\r\n\r\n" + body

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

        run_against(Scripted(script), send)
        return answers[0]

    def test_answer_through_another_instance(self) -> None:
        answer = self.answer_to(b"HTTP/1.1 200 OK\r\nexecution: ran", b"done")
        self.assertEqual((answer.result.end, answer.body), (AttemptEnd.WHOLE, b"done"))

    def test_refusals_of_another_instance_keep_what_they_prove(self) -> None:
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
