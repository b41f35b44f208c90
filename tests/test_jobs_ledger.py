import unittest

from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    Epoch,
    JobId,
    LogIndex,
    ProfileName,
    WorkerId,
    WorkspaceId,
)
from bulrushhollow_core.jobs import (
    CancelJob,
    EndJob,
    IntendStart,
    JobCommand,
    JobEnd,
    JobLedger,
    JobRecord,
    JobState,
    MoveJob,
    RequeueJob,
    RequeueProof,
    SubmitJob,
)
from bulrushhollow_core.models import Profile, WorkKind
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

NORTH = DataCentreId("north")
SOUTH = DataCentreId("south")
JOB = JobId("j1")


def profile(idempotent: bool) -> Profile:
    return Profile(
        name=ProfileName("grip"),
        kind=WorkKind.JOB,
        workspace=WorkspaceId("survey"),
        idempotent=idempotent,
    )


def intend(attempt: int, epoch: int = 1, data_centre: DataCentreId = NORTH) -> IntendStart:
    return IntendStart(JOB, Attempt(attempt), Epoch(epoch), (WorkerId("w1"),), data_centre)


def requeue(proof: RequeueProof = RequeueProof.NONE, attempt: int = 1) -> RequeueJob:
    return RequeueJob(JOB, Attempt(attempt), False, Reason.WORKER_LOST, proof)


class JobLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = JobLedger(max_ended=2)
        self.index = 0

    def apply(self, command: JobCommand) -> JobRecord | Refusal:
        self.index += 1
        return self.ledger.apply(LogIndex(self.index), command)

    def applied(self, command: JobCommand) -> JobRecord:
        outcome = self.apply(command)
        assert isinstance(outcome, JobRecord), outcome
        return outcome

    def assert_refused(self, command: JobCommand) -> None:
        before = self.ledger.snapshot().live
        self.assertIsInstance(self.apply(command), Refusal)
        self.assertEqual(before, self.ledger.snapshot().live)

    def submit(self, idempotent: bool = False) -> None:
        self.applied(SubmitJob(JOB, profile(idempotent), NORTH, "payload"))

    def test_same_submission_gets_the_same_answer_and_another_is_refused(self) -> None:
        self.submit()
        first = self.ledger.jobs_by_id[JOB]
        again = self.apply(SubmitJob(JOB, profile(False), SOUTH, "payload"))
        self.assertEqual(first, again)
        other = self.apply(SubmitJob(JOB, profile(False), NORTH, "other"))
        assert isinstance(other, Refusal)
        self.assertIs(other.reason, Reason.CHANGE_ID_REUSED)

    def test_start_is_refused_for_wrong_attempt_place_state_or_epoch(self) -> None:
        self.submit()
        self.assert_refused(intend(2))
        self.assert_refused(intend(1, data_centre=SOUTH))
        self.applied(intend(1, epoch=5))
        self.assert_refused(intend(1, epoch=5))
        self.applied(requeue(RequeueProof.NEVER_STARTED))
        self.assert_refused(intend(2, epoch=4))
        self.applied(intend(2, epoch=5))

    def test_non_idempotent_work_that_may_have_run_is_not_queued_again(self) -> None:
        self.submit()
        self.applied(intend(1))
        ended = self.applied(requeue())
        self.assertIs(ended.end, JobEnd.UNKNOWN)
        self.assertIs(ended.execution, Execution.UNKNOWN)

    def test_idempotent_work_is_queued_again(self) -> None:
        self.submit(idempotent=True)
        self.applied(intend(1))
        self.assertIs(self.applied(requeue()).state, JobState.QUEUED)

    def test_cancelled_while_queued_is_told_as_not_run(self) -> None:
        self.submit()
        self.applied(intend(1))
        self.applied(requeue(RequeueProof.NEVER_STARTED))
        ended = self.applied(CancelJob(JOB))
        self.assertIs(ended.execution, Execution.NOT_RUN)
        self.assertEqual(ended, self.applied(CancelJob(JOB)))

    def test_cancelled_after_a_lost_attempt_is_not_told_as_not_run(self) -> None:
        self.submit(idempotent=True)
        self.applied(intend(1))
        self.applied(requeue())
        self.applied(intend(2))
        self.applied(requeue(RequeueProof.NEVER_STARTED, attempt=2))
        self.assertIs(self.applied(CancelJob(JOB)).execution, Execution.UNKNOWN)

    def test_cancelled_while_started_ends_when_the_attempt_is_over(self) -> None:
        self.submit(idempotent=True)
        self.applied(intend(1))
        self.assertTrue(self.applied(CancelJob(JOB)).cancelled)
        self.assertIs(self.applied(requeue()).end, JobEnd.CANCELLED)

    def test_moved_job_cannot_be_started_by_its_former_holder(self) -> None:
        self.submit()
        self.applied(MoveJob(JOB, SOUTH, Epoch(1)))
        self.assert_refused(intend(1))
        self.applied(intend(1, data_centre=SOUTH))

    def test_former_holder_cannot_end_or_requeue(self) -> None:
        self.submit()
        self.applied(intend(1, epoch=2))
        old = Epoch(1)
        self.assert_refused(EndJob(JOB, Attempt(1), JobEnd.SUCCEEDED, epoch=old))
        self.assert_refused(RequeueJob(JOB, Attempt(1), False, epoch=old))

    def test_a_job_that_may_be_forgotten_is_not_told_as_not_run(self) -> None:
        refusal = self.apply(CancelJob(JobId("long ago")))
        assert isinstance(refusal, Refusal)
        self.assertIs(Execution.UNKNOWN, refusal.execution)

    def test_ended_jobs_are_bounded_and_survive_a_snapshot(self) -> None:
        for number in range(4):
            job = JobId(f"job{number}")
            self.applied(SubmitJob(job, profile(True), NORTH))
            self.applied(CancelJob(job))
        self.submit()
        restored = JobLedger.restore(self.ledger.snapshot(), max_ended=2)
        self.assertEqual(list(restored.jobs_by_id), [JOB, "job2", "job3"])
        self.assertEqual(restored.snapshot(), self.ledger.snapshot())
        self.assertEqual(restored.live_records(NORTH), self.ledger.live_records(NORTH))
