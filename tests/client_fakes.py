"""Answers and an adapter for tests of the client library and its command."""

import msgspec

from bulrushhollow.adapters import Call, TransportFailure, WholeAnswer
from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

NOT_CONNECTED = TransportFailure(Execution.NOT_RUN, "no route")
LOST = TransportFailure(Execution.UNKNOWN, "cut")
RAN = WholeAnswer(200, (Header("execution", "ran"), Header("request-id", "r1")), b"whole")

Step = WholeAnswer | TransportFailure


def refused(reason: Reason, execution: Execution = Execution.NOT_RUN) -> WholeAnswer:
    body = msgspec.json.encode(Refusal(reason, "because", execution))
    headers = (Header("execution", execution.value), Header("reason", reason.value))
    return WholeAnswer(503, headers, body)


def answered(value: object) -> WholeAnswer:
    return WholeAnswer(200, (), msgspec.json.encode(value))


class FakeAdapter:
    """Answers calls with the steps it was given, in their order."""

    def __init__(self, *steps: Step) -> None:
        self.steps = list(steps)
        self.calls: list[Call] = []

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        self.calls.append(call)
        return self.steps.pop(0)

    async def close(self) -> None:
        self.steps.clear()
