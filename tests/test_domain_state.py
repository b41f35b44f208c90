"""The replicated state: what each command changes, and what it leaves alone."""

import unittest

from bulrushhollow_core.domain import JobState, Resources, RunNumber, Step, Work, WorkerLife
from bulrushhollow_core.domain._commands import (
    CancelJob,
    EndRuns,
    Outcome,
    PutConfiguration,
    RunEnd,
    SetEvacuation,
    Start,
    StartRuns,
    SubmitJob,
    decode_commands,
    encode_commands,
)
from bulrushhollow_core.domain._jobs import Occurrence, TaskRef, TaskState, WallTime
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds, WorkerId, WorkspaceId
from standins.domain_site import configuration, queue

JOB = JobId("j")
LIFE = WorkerLife(WorkerId("w"), 1)
AT = WallTime(1000.0)


def step(count: int = 1, **fields: object) -> Step:
    return Step(count, Resources(1000, 100, 1), Seconds(1.0), **fields)  # type: ignore[arg-type]


class Bench:
    """A state with one submitted job."""

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
    def test_a_job_is_done_when_every_task_is(self) -> None:
        bench = Bench(Work("spec", (step(2),)))
        for member in (0, 1):
            self.assertIsNot(JobState.DONE, bench.job_state)
            bench.end(bench.start(member), Outcome.DONE)
        self.assertIs(JobState.DONE, bench.job_state)

    def test_one_end_of_a_gang_stands_for_all(self) -> None:
        bench = Bench(Work("spec", (step(2, is_gang=True),)))
        first = bench.start(0)
        bench.start(1)
        bench.end(first, Outcome.DONE)
        self.assertIs(JobState.DONE, bench.job_state)

    def test_a_run_of_a_gang_fails_once_however_many_members_fail(self) -> None:
        bench = Bench(Work("spec", (step(2, is_gang=True),)))
        tasks = [bench.start(member) for member in (0, 1)]
        for task in tasks:
            bench.end(task, Outcome.FAILED)
        self.assertIs(JobState.RUNNING, bench.job_state)
        again = [bench.start(member, run=2) for member in (0, 1)]
        bench.end(again[0], Outcome.FAILED, run=2)
        self.assertIs(JobState.FAILED, bench.job_state)

    def test_only_failures_count_as_attempts(self) -> None:
        bench = Bench(Work("spec", (step(),)))
        for run, outcome in enumerate(
            (Outcome.LOST, Outcome.STOPPED, Outcome.LEASE_EXPIRED), start=1
        ):
            bench.end(bench.start(run=run), outcome, run=run)
        self.assertIs(JobState.RUNNING, bench.job_state)

    def test_an_end_of_an_earlier_run_changes_nothing(self) -> None:
        bench = Bench(Work("spec", (step(),)))
        task = bench.start(run=1)
        bench.end(task, Outcome.LOST, run=1)
        bench.start(run=2)
        bench.end(task, Outcome.DONE, run=1)
        found = bench.state.find_task(task)
        assert found is not None
        self.assertIs(TaskState.ACTIVE, found.state)

    def test_a_checkpoint_outlives_its_run(self) -> None:
        bench = Bench(Work("spec", (step(is_checkpointable=True),)))
        task = bench.start()
        bench.end(task, Outcome.STOPPED, checkpoint="half")
        found = bench.state.find_task(task)
        assert found is not None
        self.assertEqual("half", found.checkpoint)

    def test_a_job_with_due_times_is_done_after_its_last_repetition(self) -> None:
        bench = Bench(Work("spec", (step(),), 2, WallTime(0.0), Seconds(1.0)))
        for occurrence in (0, 1):
            self.assertIsNot(JobState.DONE, bench.job_state)
            bench.end(bench.start(occurrence=occurrence), Outcome.DONE)
        self.assertIs(JobState.DONE, bench.job_state)

    def test_a_second_submission_and_a_late_cancel_change_nothing(self) -> None:
        bench = Bench(Work("spec", (step(),)))
        bench.end(bench.start(), Outcome.DONE)
        bench.state.apply(SubmitJob(JOB, queue("usual", 1), None, Work("x", (step(),)), AT))
        bench.state.apply(CancelJob(JOB, AT))
        self.assertIs(JobState.DONE, bench.job_state)

    def test_nothing_starts_after_a_cancel(self) -> None:
        bench = Bench(Work("spec", (step(),)))
        bench.state.apply(CancelJob(JOB, AT))
        self.assertIsNone(bench.state.find_task(bench.start()))


class ConfigurationTest(unittest.TestCase):
    def test_the_highest_version_stays_in_force(self) -> None:
        state = DomainState()
        for version in (3, 7, 5):
            state.apply(PutConfiguration(configuration(version)))
        assert state.configuration is not None
        self.assertEqual(7, state.configuration.version)


class SnapshotTest(unittest.TestCase):
    def test_a_snapshot_holds_everything(self) -> None:
        bench = Bench(Work("spec", (step(2), step(1, depends_on=(0,)))))
        bench.end(bench.start(0), Outcome.DONE)
        bench.start(1)
        bench.state.apply(SetEvacuation(DataCentreId("dc"), True))
        copy = DomainState.decode(bench.state.encode())
        self.assertEqual(bench.state.encode(), copy.encode())
        self.assertEqual(list(bench.state.active_tasks()), list(copy.active_tasks()))
        self.assertEqual({DataCentreId("dc")}, copy.evacuated_data_centres)

    def test_commands_survive_the_log(self) -> None:
        commands = [CancelJob(JOB, AT), SetEvacuation(DataCentreId("dc"), False)]
        self.assertEqual(commands, decode_commands(encode_commands(commands)))


if __name__ == "__main__":
    unittest.main()
