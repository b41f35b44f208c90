"""Tests of the replicated state: the effects of each command."""

import unittest

from bulrushhollow_core.domain import JobState, Resources, RunNumber, Step, Work, WorkerLife
from bulrushhollow_core.domain.model import (
    CancelJob,
    EndRuns,
    Occurrence,
    Outcome,
    PutConfiguration,
    RunEnd,
    SetEvacuation,
    Start,
    StartRuns,
    SubmitJob,
    TaskRef,
    TaskState,
    WallTime,
    decode_commands,
    encode_commands,
)
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds, WorkerId, WorkspaceId
from standins.domain_site import configuration, queue

JOB = JobId("j")
LIFE = WorkerLife(WorkerId("w"), 1)
AT = WallTime(1000.0)


def step(count: int = 1, **fields: object) -> Step:
    return Step(count, Resources(1000, 100, 1), Seconds(1.0), **fields)  # type: ignore[arg-type]


class StateFixture:
    """A state with one submitted job, and helpers to start and end its runs."""

    def __init__(self, work: Work) -> None:
        self.state = DomainState()
        self.state.apply(PutConfiguration(configuration(1)))
        self.state.apply(
            SubmitJob(JOB, queue("usual", 1, attempts=2), WorkspaceId("team"), work, AT)
        )

    def start(self, member: int = 0, run: int = 1, step: int = 0, occurrence: int = 0) -> TaskRef:
        task = TaskRef(JOB, Occurrence(occurrence), step, member)
        self.state.apply(StartRuns((Start(task, RunNumber(run), LIFE, "w:1"),)))
        return task

    def end(self, task: TaskRef, outcome: Outcome, run: int = 1, checkpoint: str = "") -> None:
        self.state.apply(EndRuns((RunEnd(task, RunNumber(run), outcome, checkpoint),), AT))

    @property
    def job_state(self) -> JobState:
        return self.state.jobs_by_id[JOB].state


class JobTest(unittest.TestCase):
    def test_a_job_is_done_when_all_tasks_are_done(self) -> None:
        fixture = StateFixture(Work("spec", (step(2),)))
        for member in (0, 1):
            self.assertIsNot(JobState.DONE, fixture.job_state)
            fixture.end(fixture.start(member), Outcome.DONE)
        self.assertIs(JobState.DONE, fixture.job_state)

    # Guards against a next leader that does not wait for a start which may be carried out late, and
    # against one that waits again after the task has started anew.
    def test_a_snapshot_keeps_that_a_start_may_be_carried_out_late(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        task = fixture.start()
        end = RunEnd(task, RunNumber(1), Outcome.NEVER_STARTED, may_start_late=True)
        fixture.state.apply(EndRuns((end,), AT))
        copy = DomainState.decode(fixture.state.encode())
        self.assertEqual([task], [ref for ref, _ in copy.runs_that_may_start_late()])
        fixture.start(run=2)
        fixture.end(task, Outcome.LOST, run=2)
        self.assertEqual([], list(fixture.state.runs_that_may_start_late()))

    # Guards against a done task that starts again (TWICE): the end of a run that had been given up
    # was acknowledged and changed nothing.
    def test_a_run_that_was_done_after_it_was_given_up_counts(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        task = fixture.start()
        for outcome in (Outcome.NEVER_STARTED, Outcome.FAILED):
            fixture.end(task, outcome)
            self.assertIs(JobState.RUNNING, fixture.job_state)
        fixture.end(task, Outcome.DONE)
        self.assertIs(JobState.DONE, fixture.job_state)

    def test_a_run_that_was_done_does_not_count_for_a_later_run(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        task = fixture.start()
        fixture.end(task, Outcome.LOST)
        fixture.start(run=2)
        fixture.end(task, Outcome.DONE)
        self.assertIs(JobState.RUNNING, fixture.job_state)
        fixture.end(task, Outcome.DONE, run=2)
        self.assertIs(JobState.DONE, fixture.job_state)

    def test_a_task_that_has_never_started_is_not_done_by_any_end(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        fixture.end(TaskRef(JOB, Occurrence(0), 0, 0), Outcome.DONE, run=0)
        self.assertIsNot(JobState.DONE, fixture.job_state)

    def test_the_end_of_one_gang_member_completes_the_gang(self) -> None:
        fixture = StateFixture(Work("spec", (step(2, is_gang=True),)))
        first = fixture.start(0)
        fixture.start(1)
        fixture.end(first, Outcome.DONE)
        self.assertIs(JobState.DONE, fixture.job_state)

    def test_several_failed_members_count_as_one_failure_of_a_gang(self) -> None:
        fixture = StateFixture(Work("spec", (step(2, is_gang=True),)))
        tasks = [fixture.start(member) for member in (0, 1)]
        for task in tasks:
            fixture.end(task, Outcome.FAILED)
        self.assertIs(JobState.RUNNING, fixture.job_state)
        again = [fixture.start(member, run=2) for member in (0, 1)]
        fixture.end(again[0], Outcome.FAILED, run=2)
        self.assertIs(JobState.FAILED, fixture.job_state)

    def test_only_failed_runs_count_as_attempts(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        for run, outcome in enumerate(
            (Outcome.LOST, Outcome.STOPPED, Outcome.LEASE_EXPIRED), start=1
        ):
            fixture.end(fixture.start(run=run), outcome, run=run)
        self.assertIs(JobState.RUNNING, fixture.job_state)

    def test_the_end_of_an_earlier_run_has_no_effect(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        task = fixture.start(run=1)
        fixture.end(task, Outcome.LOST, run=1)
        fixture.start(run=2)
        fixture.end(task, Outcome.DONE, run=1)
        record = fixture.state.find_task(task)
        assert record is not None
        self.assertIs(TaskState.ACTIVE, record.state)

    def test_a_checkpoint_is_kept_after_its_run(self) -> None:
        fixture = StateFixture(Work("spec", (step(is_checkpointable=True),)))
        task = fixture.start()
        fixture.end(task, Outcome.STOPPED, checkpoint="half")
        record = fixture.state.find_task(task)
        assert record is not None
        self.assertEqual("half", record.checkpoint)

    def test_a_job_with_due_times_is_done_after_its_last_occurrence(self) -> None:
        fixture = StateFixture(Work("spec", (step(),), 2, WallTime(0.0), Seconds(1.0)))
        for occurrence in (0, 1):
            self.assertIsNot(JobState.DONE, fixture.job_state)
            fixture.end(fixture.start(occurrence=occurrence), Outcome.DONE)
        self.assertIs(JobState.DONE, fixture.job_state)

    def test_a_repeated_submission_and_a_late_cancel_have_no_effect(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        fixture.end(fixture.start(), Outcome.DONE)
        fixture.state.apply(SubmitJob(JOB, queue("usual", 1), None, Work("x", (step(),)), AT))
        fixture.state.apply(CancelJob(JOB, AT))
        self.assertIs(JobState.DONE, fixture.job_state)

    def test_no_task_starts_after_a_cancel(self) -> None:
        fixture = StateFixture(Work("spec", (step(),)))
        fixture.state.apply(CancelJob(JOB, AT))
        self.assertIsNone(fixture.state.find_task(fixture.start()))


class ConfigurationTest(unittest.TestCase):
    def test_the_highest_version_stays_in_force(self) -> None:
        state = DomainState()
        for version in (3, 7, 5):
            state.apply(PutConfiguration(configuration(version)))
        assert state.configuration is not None
        self.assertEqual(7, state.configuration.version)


class SnapshotTest(unittest.TestCase):
    def test_a_snapshot_contains_the_whole_state(self) -> None:
        fixture = StateFixture(Work("spec", (step(2), step(1, depends_on=(0,)))))
        fixture.end(fixture.start(0), Outcome.DONE)
        fixture.start(1)
        fixture.state.apply(SetEvacuation(DataCentreId("dc"), True))
        copy = DomainState.decode(fixture.state.encode())
        self.assertEqual(fixture.state.encode(), copy.encode())
        self.assertEqual(list(fixture.state.active_tasks()), list(copy.active_tasks()))
        self.assertEqual({DataCentreId("dc")}, copy.evacuated_data_centres)

    def test_commands_are_decoded_as_they_were_encoded(self) -> None:
        commands = [CancelJob(JOB, AT), SetEvacuation(DataCentreId("dc"), False)]
        self.assertEqual(commands, decode_commands(encode_commands(commands)))


if __name__ == "__main__":
    unittest.main()
