import unittest

from bulrushhollow_core.ids import (
    DataCentreId,
    JobId,
    LogIndex,
    ProfileName,
    Seconds,
    WorkspaceId,
)
from bulrushhollow_core.jobs import JobLedger, SubmitJob
from bulrushhollow_core.models import Profile, WorkKind
from bulrushhollow_core.node import CallId
from bulrushhollow_core.node._jobs import JobWaiters


class PlannedStopTest(unittest.TestCase):
    def test_a_stopping_instance_answers_calls_that_wait_for_a_job(self) -> None:
        profile = Profile(ProfileName("p"), WorkKind.JOB, WorkspaceId("w"))
        ledger = JobLedger()
        ledger.apply(LogIndex(1), SubmitJob(JobId("j1"), profile, DataCentreId("north"), ""))
        waiters = JobWaiters()
        waiters.add(CallId(1), JobId("j1"), Seconds(60.0))
        self.assertEqual([], waiters.pop_due_answers(ledger, Seconds(1.0)))
        waiters.stop()
        waiters.add(CallId(2), JobId("j1"), Seconds(60.0))
        replies = waiters.pop_due_answers(ledger, Seconds(1.1))
        self.assertEqual([CallId(1), CallId(2)], [reply.call for reply in replies])
        self.assertFalse(waiters.is_waiting)


if __name__ == "__main__":
    unittest.main()
