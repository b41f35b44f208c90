import unittest

from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    Epoch,
    JobId,
    RackId,
    Seconds,
    TaskId,
    WorkerId,
)
from bulrushhollow_core.models import Rack, Resources
from bulrushhollow_core.platform import (
    CheckpointTask,
    Order,
    PlatformAnswer,
    PlatformCall,
    StartTask,
    StopTask,
    TaskReport,
    TaskState,
    ThrottleTask,
)
from standins.worker_platform import PlatformTimings, WorkerPlatform

FIRST_WORKER = WorkerId("r1-1")
SECOND_WORKER = WorkerId("r1-2")
RACK = Rack(RackId("r1"), 2, Resources(accelerators=8, cores=64, memory_mb=1024))
TIMINGS = PlatformTimings(run_seconds=2.0, checkpoint_seconds=0.5, usage_lag=3.0)


def start_order(
    task: str = "j/1/0",
    worker: WorkerId = FIRST_WORKER,
    accelerators: int = 8,
    resume: bool = False,
    payload: str = "",
    not_after: float = 1.0,
) -> StartTask:
    job, attempt, _ = task.split("/")
    return StartTask(
        worker=worker,
        task=TaskId(task),
        job=JobId(job),
        attempt=Attempt(int(attempt)),
        resources=Resources(accelerators=accelerators),
        not_after=not_after,
        resume=resume,
        payload=payload,
    )


class WorkerPlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = WorkerPlatform(DataCentreId("north"), (RACK,), 1, TIMINGS)

    def sync(
        self,
        now: float,
        *orders: Order,
        epoch: int = 1,
        lease: float = 10.0,
        since: int = 0,
        acknowledged: tuple[str, ...] = (),
    ) -> PlatformAnswer:
        call = PlatformCall(
            Epoch(epoch), lease, tuple(orders), since, tuple(map(TaskId, acknowledged))
        )
        return self.platform.sync(call, Seconds(now))

    def states(self, answer: PlatformAnswer) -> dict[str, TaskState]:
        return {task.task: task.state for worker in answer.workers for task in worker.tasks}

    def reports(self, answer: PlatformAnswer) -> list[TaskReport]:
        return [task for worker in answer.workers for task in worker.tasks]

    def test_task_runs_and_succeeds_at_its_own_time(self) -> None:
        self.assertEqual(TaskState.RUNNING, self.states(self.sync(0.0, start_order()))["j/1/0"])
        self.assertEqual(TaskState.RUNNING, self.states(self.sync(1.9))["j/1/0"])
        self.assertEqual(TaskState.SUCCEEDED, self.states(self.sync(5.0))["j/1/0"])
        self.assertEqual(2.0, self.platform.records[0].ended_at)

    def test_lower_epoch_has_no_effect(self) -> None:
        self.sync(0.0, epoch=2)
        answer = self.sync(0.1, start_order(), epoch=1, lease=100.0)
        self.assertTrue(answer.fenced)
        self.assertEqual(2, answer.highest_epoch)
        counts = self.platform.counts()
        self.assertEqual((1, 0), (counts.starts_fenced, counts.running))
        self.assertIsNone(counts.last_start_at)
        self.assertLess(self.platform.workers_by_id[FIRST_WORKER].lease_until, 100.0)

    def test_expired_lease_stops_every_task_and_refuses_starts(self) -> None:
        self.sync(0.0, start_order(), start_order("k/1/0", SECOND_WORKER), lease=1.0)
        answer = self.sync(5.0, start_order("m/1/0"), lease=0.0)
        states = self.states(answer)
        self.assertEqual(TaskState.STOPPED, states["j/1/0"])
        self.assertEqual(TaskState.STOPPED, states["k/1/0"])
        self.assertEqual(TaskState.REFUSED, states["m/1/0"])
        self.assertEqual({1.0}, {record.ended_at for record in self.platform.records})

    def test_repeated_start_runs_once_even_after_its_end_was_acknowledged(self) -> None:
        self.sync(0.0, start_order(), start_order())
        self.sync(3.0, acknowledged=("j/1/0",))
        answer = self.sync(3.1, start_order())
        self.assertEqual(TaskState.SUCCEEDED, self.states(answer)["j/1/0"])
        self.assertEqual({"j/1/0": 1}, self.platform.counts().starts_by_task)

    def test_stop_of_an_unknown_task_blocks_its_later_start(self) -> None:
        self.sync(0.0, StopTask(FIRST_WORKER, TaskId("j/1/0")))
        answer = self.sync(0.1, start_order())
        self.assertEqual(TaskState.STOPPED, self.states(answer)["j/1/0"])
        self.assertEqual({}, self.platform.counts().starts_by_task)

    def test_start_that_does_not_fit_is_refused(self) -> None:
        answer = self.sync(0.0, start_order(accelerators=5), start_order("k/1/0", accelerators=4))
        self.assertEqual(TaskState.REFUSED, self.states(answer)["k/1/0"])
        self.assertEqual(5, self.platform.counts().most_accelerators_by_worker[FIRST_WORKER])

    def test_delayed_start_respects_not_after(self) -> None:
        self.platform.timings = PlatformTimings(start_delay=0.5)
        self.sync(
            0.0, start_order(not_after=0.4), start_order("k/1/0", SECOND_WORKER, not_after=0.6)
        )
        states = self.states(self.sync(1.0))
        self.assertEqual(TaskState.REFUSED, states["j/1/0"])
        self.assertEqual(TaskState.RUNNING, states["k/1/0"])

    def test_checkpoint_keeps_progress_for_a_resumed_attempt(self) -> None:
        self.sync(0.0, start_order())
        self.sync(1.0, CheckpointTask(FIRST_WORKER, TaskId("j/1/0")))
        self.assertEqual(TaskState.CHECKPOINTED, self.states(self.sync(1.5))["j/1/0"])
        self.sync(2.0, start_order("j/2/0", SECOND_WORKER, resume=True))
        self.assertEqual(TaskState.SUCCEEDED, self.states(self.sync(2.5))["j/2/0"])

    def test_failed_checkpoint_leaves_the_task_running(self) -> None:
        self.platform.checkpoints_fail = True
        self.sync(0.0, start_order())
        self.sync(0.5, CheckpointTask(FIRST_WORKER, TaskId("j/1/0")))
        [report] = self.reports(self.sync(1.1))
        self.assertEqual(TaskState.RUNNING, report.state)
        self.assertEqual("the checkpoint failed", report.detail)

    def test_throttled_task_takes_longer(self) -> None:
        self.sync(0.0, start_order())
        self.sync(1.0, ThrottleTask(FIRST_WORKER, TaskId("j/1/0"), 0.25))
        self.assertEqual(TaskState.RUNNING, self.states(self.sync(4.9))["j/1/0"])
        self.assertEqual(TaskState.SUCCEEDED, self.states(self.sync(5.0))["j/1/0"])

    def test_final_states_are_repeated_until_acknowledged(self) -> None:
        self.sync(0.0, start_order())
        cursor = self.sync(9.0).cursor
        repeated = self.sync(9.1, since=cursor)
        self.assertEqual(TaskState.SUCCEEDED, self.states(repeated)["j/1/0"])
        self.sync(9.2, acknowledged=("j/1/0",), since=cursor)
        self.assertEqual({}, self.states(self.sync(9.3)))

    def test_cursor_omits_unchanged_workers(self) -> None:
        cursor = self.sync(0.0).cursor
        self.assertEqual((), self.sync(0.1, since=cursor).workers)
        changed = self.sync(0.2, start_order(), since=cursor)
        self.assertEqual([FIRST_WORKER], [worker.worker for worker in changed.workers])

    def test_use_is_reported_with_a_lag(self) -> None:
        self.sync(0.0, start_order(payload='{"run_seconds": 50}'))
        early, late = self.sync(2.9).workers[0], self.sync(3.0).workers[0]
        self.assertEqual((0, 8), (early.used.accelerators, late.used.accelerators))

    def test_worker_that_fails_every_start(self) -> None:
        self.platform.fail_starts(FIRST_WORKER, True)
        self.sync(0.0, start_order(), start_order("k/1/0", SECOND_WORKER))
        states = self.states(self.sync(1.0))
        self.assertEqual(TaskState.FAILED, states["j/1/0"])
        self.assertEqual(TaskState.RUNNING, states["k/1/0"])

    def test_crashed_worker_loses_its_tasks_and_is_not_ready(self) -> None:
        self.sync(0.0, start_order())
        self.platform.take_down(FIRST_WORKER, Seconds(1.0))
        answer = self.sync(1.1, start_order("k/1/0"))
        states = self.states(answer)
        self.assertEqual((TaskState.FAILED, TaskState.REFUSED), (states["j/1/0"], states["k/1/0"]))
        self.assertFalse(answer.workers[0].ready)

    def test_unreachable_worker_runs_until_its_lease_expires_and_repeats_its_report(self) -> None:
        self.sync(0.0, start_order(payload='{"run_seconds": 50}'), lease=2.0)
        self.platform.silence(FIRST_WORKER, Seconds(1.0))
        answer = self.sync(9.0, StopTask(FIRST_WORKER, TaskId("j/1/0")))
        self.assertEqual(TaskState.RUNNING, self.states(answer)["j/1/0"])
        self.assertEqual(2.0, self.platform.records[0].ended_at)
        self.platform.bring_up(FIRST_WORKER, Seconds(10.0))
        self.assertEqual(TaskState.STOPPED, self.states(self.sync(10.0))["j/1/0"])


if __name__ == "__main__":
    unittest.main()
