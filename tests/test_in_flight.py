import unittest

from bulrushhollow_core.ids import (
    Attempt,
    IdempotencyKey,
    InstanceId,
    ProfileName,
    RequestId,
    WorkspaceId,
)
from bulrushhollow_core.outcomes import Execution
from bulrushhollow_core.requests import AttemptEnd, AttemptResult, SettleKey
from bulrushhollow_daemon.api import CallerRequest
from bulrushhollow_daemon.dispatch import AttemptAnswer
from bulrushhollow_daemon.in_flight import InFlightRequest

REQUEST = RequestId("r1")


class InFlightRequestTest(unittest.TestCase):
    def test_a_settlement_contains_the_body_of_the_last_complete_answer(self) -> None:
        request = InFlightRequest(CallerRequest(REQUEST, ProfileName("label"), b""), None)
        complete_answer = AttemptAnswer(AttemptResult(AttemptEnd.WHOLE, 500), b"sorry")
        request.store_answer(Attempt(1), complete_answer)
        request.store_answer(Attempt(2), AttemptAnswer(AttemptResult(AttemptEnd.LOST)))
        settlement = SettleKey(
            IdempotencyKey("k"),
            WorkspaceId("w"),
            InstanceId("a.1"),
            REQUEST,
            Execution.RAN,
            500,
        )
        completed = request.with_answer_body(settlement)
        assert isinstance(completed, SettleKey)
        self.assertEqual(b"sorry", completed.body)


if __name__ == "__main__":
    unittest.main()
