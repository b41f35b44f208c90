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
from bulrushhollow_daemon.flights import Flight

REQUEST = RequestId("r1")


class FlightTest(unittest.TestCase):
    def test_the_kept_body_is_that_of_the_last_whole_answer(self) -> None:
        flight = Flight(CallerRequest(REQUEST, ProfileName("label"), b""), None)
        whole = AttemptAnswer(AttemptResult(AttemptEnd.WHOLE, 500), b"sorry")
        flight.keep(Attempt(1), whole)
        flight.keep(Attempt(2), AttemptAnswer(AttemptResult(AttemptEnd.LOST)))
        settle = SettleKey(
            IdempotencyKey("k"),
            WorkspaceId("w"),
            InstanceId("a.1"),
            REQUEST,
            Execution.RAN,
            500,
        )
        filled = flight.with_body(settle)
        assert isinstance(filled, SettleKey)
        self.assertEqual(b"sorry", filled.body)


if __name__ == "__main__":
    unittest.main()
