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


def make_profile(idempotent: bool) -> Profile:
    return Profile(
        name=ProfileName("grip"),
        kind=WorkKind.JOB,
        workspace=WorkspaceId("survey"),
        idempotent=idempotent,
    )


def make_start(attempt: int, epoch: int = 1, data_centre: DataCentreId = NORTH) -> IntendStart:
    return IntendStart(JOB, Attempt(attempt), Epoch(epoch), (WorkerId("w1"),), data_centre)


def make_requeue(proof: RequeueProof = RequeueProof.NONE, attempt: int = 1) -> RequeueJob:
    return RequeueJob(JOB, Attempt(attempt), False, Reason.WORKER_LOST, proof)


class JobLedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = JobLedger(max_ended=2)
        self.index = 0

    def apply(self, command: JobCommand) -> JobRecord | Refusal:
        self.index += 1
        return self.ledger.apply(LogIndex(self.index), command)

    def apply_accepted(self, command: JobCommand) -> JobRecord:
        outcome = self.apply(command)
        assert isinstance(outcome, JobRecord), outcome
        return outcome

    def assert_refused(self, command: JobCommand) -> None:
        before = self.ledger.snapshot().live
        self.assertIsInstance(self.apply(command), Refusal)
        self.assertEqual(before, self.ledger.snapshot().live)

    def submit(self, idempotent: bool = False) -> None:
        self.apply_accepted(SubmitJob(JOB, make_profile(idempotent), NORTH, "payload"))

    def test_repeated_submission_returns_the_record_and_a_different_one_is_refused(self) -> None:
        self.submit()
        first = self.ledger.jobs_by_id[JOB]
        repeated = self.apply(SubmitJob(JOB, make_profile(False), SOUTH, "payload"))
        self.assertEqual(first, repeated)
        different = self.apply(SubmitJob(JOB, make_profile(False), NORTH, "other"))
        assert isinstance(different, Refusal)
        self.assertIs(different.reason, Reason.CHANGE_ID_REUSED)

    def test_start_is_refused_for_wrong_attempt_data_centre_state_or_epoch(self) -> None:
        self.submit()
        self.assert_refused(make_start(2))
        self.assert_refused(make_start(1, data_centre=SOUTH))
        self.apply_accepted(make_start(1, epoch=5))
        self.assert_refused(make_start(1, epoch=5))
        self.apply_accepted(make_requeue(RequeueProof.NEVER_STARTED))
        self.assert_refused(make_start(2, epoch=4))
        self.apply_accepted(make_start(2, epoch=5))

    def test_commands_of_another_data_centre_do_not_raise_the_epoch_of_this_one(self) -> None:
        # bench failures, out_while_cut: the holder of a data centre that was taken out proposed a
        # move twice while the log was out of reach. The second one met the job in its new data
        # centre and raised the epoch there, and the log refused every start of that data centre's
        # own holder from then on.
        self.submit()
        self.apply_accepted(MoveJob(JOB, SOUTH, Epoch(9), NORTH))
        late_commands = (
            MoveJob(JOB, DataCentreId("east"), Epoch(9), NORTH),
            EndJob(JOB, Attempt(0), JobEnd.REFUSED, epoch=Epoch(9), lease_data_centre=NORTH),
            RequeueJob(JOB, Attempt(0), False, epoch=Epoch(9), lease_data_centre=NORTH),
        )
        for command in late_commands:
            with self.subTest(command=type(command).__name__):
                self.assert_refused(command)
                self.assertEqual(0, self.ledger.highest_epoch(SOUTH))
        self.apply_accepted(make_start(1, epoch=2, data_centre=SOUTH))

    def test_non_idempotent_job_that_may_have_run_is_not_requeued(self) -> None:
        self.submit()
        self.apply_accepted(make_start(1))
        ended = self.apply_accepted(make_requeue())
        self.assertIs(ended.end, JobEnd.UNKNOWN)
        self.assertIs(ended.execution, Execution.UNKNOWN)

    def test_idempotent_job_is_requeued(self) -> None:
        self.submit(idempotent=True)
        self.apply_accepted(make_start(1))
        self.assertIs(self.apply_accepted(make_requeue()).state, JobState.QUEUED)

    def test_job_cancelled_while_queued_is_reported_as_not_run(self) -> None:
        self.submit()
        self.apply_accepted(make_start(1))
        self.apply_accepted(make_requeue(RequeueProof.NEVER_STARTED))
        ended = self.apply_accepted(CancelJob(JOB))
        self.assertIs(ended.execution, Execution.NOT_RUN)
        self.assertEqual(ended, self.apply_accepted(CancelJob(JOB)))

    def test_job_cancelled_after_a_lost_attempt_is_not_reported_as_not_run(self) -> None:
        self.submit(idempotent=True)
        self.apply_accepted(make_start(1))
        self.apply_accepted(make_requeue())
        self.apply_accepted(make_start(2))
        self.apply_accepted(make_requeue(RequeueProof.NEVER_STARTED, attempt=2))
        self.assertIs(self.apply_accepted(CancelJob(JOB)).execution, Execution.UNKNOWN)

    def test_job_cancelled_while_started_ends_with_its_attempt(self) -> None:
        self.submit(idempotent=True)
        self.apply_accepted(make_start(1))
        self.assertTrue(self.apply_accepted(CancelJob(JOB)).cancelled)
        self.assertIs(self.apply_accepted(make_requeue()).end, JobEnd.CANCELLED)

    def test_moved_job_cannot_be_started_by_its_former_holder(self) -> None:
        self.submit()
        self.apply_accepted(MoveJob(JOB, SOUTH, Epoch(1)))
        self.assert_refused(make_start(1))
        self.apply_accepted(make_start(1, data_centre=SOUTH))

    def test_former_holder_cannot_end_or_requeue_a_job(self) -> None:
        self.submit()
        self.apply_accepted(make_start(1, epoch=2))
        former_epoch = Epoch(1)
        self.assert_refused(EndJob(JOB, Attempt(1), JobEnd.SUCCEEDED, epoch=former_epoch))
        self.assert_refused(RequeueJob(JOB, Attempt(1), False, epoch=former_epoch))

    def test_cancelling_an_unknown_job_does_not_report_it_as_not_run(self) -> None:
        refusal = self.apply(CancelJob(JobId("long ago")))
        assert isinstance(refusal, Refusal)
        self.assertIs(Execution.UNKNOWN, refusal.execution)

    def test_ended_jobs_are_limited_and_survive_a_snapshot(self) -> None:
        for number in range(4):
            job = JobId(f"job{number}")
            self.apply_accepted(SubmitJob(job, make_profile(True), NORTH))
            self.apply_accepted(CancelJob(job))
        self.submit()
        restored = JobLedger.restore(self.ledger.snapshot(), max_ended=2)
        self.assertEqual(list(restored.jobs_by_id), [JOB, "job2", "job3"])
        self.assertEqual(restored.snapshot(), self.ledger.snapshot())
        self.assertEqual(restored.live_records(NORTH), self.ledger.live_records(NORTH))
