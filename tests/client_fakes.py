"""Scripted answers and a fake adapter for tests of the client library and its command."""

import msgspec

from bulrushhollow.adapters import Call, TransportFailure, WholeAnswer
from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

NOT_CONNECTED = TransportFailure(Execution.NOT_RUN, "no route")
ANSWER_LOST = TransportFailure(Execution.UNKNOWN, "cut")
REQUEST_RAN = WholeAnswer(200, (Header("execution", "ran"), Header("request-id", "r1")), b"whole")

ScriptedAnswer = WholeAnswer | TransportFailure


def make_refusal(reason: Reason, execution: Execution = Execution.NOT_RUN) -> WholeAnswer:
    body = msgspec.json.encode(Refusal(reason, "because", execution))
    headers = (Header("execution", execution.value), Header("reason", reason.value))
    return WholeAnswer(503, headers, body)


def make_answer(value: object) -> WholeAnswer:
    return WholeAnswer(200, (), msgspec.json.encode(value))


class FakeAdapter:
    """Answers calls with the given answers, in order, and records the calls."""

    def __init__(self, *answers: ScriptedAnswer) -> None:
        self.answers = list(answers)
        self.calls: list[Call] = []

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        self.calls.append(call)
        return self.answers.pop(0)

    async def close(self) -> None:
        self.answers.clear()
