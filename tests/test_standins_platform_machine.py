import os
import unittest

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

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
    FINAL_TASK_STATES,
    CheckpointTask,
    Order,
    PlatformCall,
    StartTask,
    StopTask,
    TaskState,
)
from standins.worker_platform import PlatformTimings, WorkerPlatform

ACCELERATORS = 8
STEPS = 40
"""Steps in one example."""
EXAMPLES = 50
WORKERS = [WorkerId("r1-1"), WorkerId("r1-2")]
workers = st.sampled_from(WORKERS)
tasks = st.integers(0, 5).map(lambda number: TaskId(f"j{number % 3}/1/{number}"))


def start_order(worker: WorkerId, task: TaskId, accelerators: int, resume: bool) -> StartTask:
    return StartTask(
        worker=worker,
        task=task,
        job=JobId(task.split("/")[0]),
        attempt=Attempt(1),
        resources=Resources(accelerators=accelerators),
        not_after=0.5,
        resume=resume,
    )


starts = st.builds(start_order, workers, tasks, st.sampled_from([3, 5, 8]), st.booleans())
stops = st.builds(StopTask, workers, tasks)
checkpoints = st.builds(CheckpointTask, workers, tasks)
orders = st.lists(st.one_of(starts, starts, stops, checkpoints), min_size=1, max_size=4).map(tuple)
pauses = st.sampled_from([0.1, 0.3, 0.4, 1.0])


class PlatformMachine(RuleBasedStateMachine):
    """The invariants of the stand-in platform under random calls and faults."""

    def __init__(self) -> None:
        super().__init__()
        rack = Rack(RackId("r1"), len(WORKERS), Resources(accelerators=ACCELERATORS))
        timings = PlatformTimings(run_seconds=1.0, start_delay=0.3, usage_lag=0.5)
        self.platform = WorkerPlatform(DataCentreId("north"), (rack,), 1, timings)
        self.now = 0.0
        self.highest_epoch = 0
        self.leased_until = 0.0
        self.final_states: dict[tuple[WorkerId, TaskId], TaskState] = {}

    @rule(
        pause=pauses,
        batch=orders,
        ahead=st.sampled_from([0, 0, 0, 1, -1]),
        lease=st.sampled_from([2.0, 2.0, 0.4, 0.0]),
        acknowledged=st.lists(tasks, max_size=2).map(tuple),
    )
    def sync(
        self,
        pause: float,
        batch: tuple[Order, ...],
        ahead: int,
        lease: float,
        acknowledged: tuple[TaskId, ...],
    ) -> None:
        """Call with the current epoch, a newer or a stale one."""
        self.now += pause
        self.platform.advance(Seconds(self.now))
        running = self.platform.counts().running
        epoch = max(0, self.highest_epoch + ahead)
        call = PlatformCall(Epoch(epoch), lease, batch, 0, acknowledged)
        answer = self.platform.sync(call, Seconds(self.now))
        assert answer.fenced == (epoch < self.highest_epoch)
        if answer.fenced:
            assert self.platform.counts().running == running
            return
        self.highest_epoch = epoch
        self.leased_until = max(self.leased_until, self.now + lease)
        for worker in answer.workers:
            for task in worker.tasks:
                self.check_final_state(worker.worker, task.task, task.state)

    def check_final_state(self, worker: WorkerId, task: TaskId, state: TaskState) -> None:
        previous = self.final_states.get((worker, task))
        assert previous in (None, state), "a final state never changes"
        if state in FINAL_TASK_STATES:
            self.final_states[(worker, task)] = state

    @rule(seconds=pauses)
    def let_time_pass(self, seconds: float) -> None:
        self.now += seconds

    @rule(worker=workers, crash=st.booleans())
    def fault(self, worker: WorkerId, crash: bool) -> None:
        """Crash a worker or cut it off, or end its fault if it has one."""
        worker_state = self.platform.workers_by_id[worker]
        if worker_state.is_down or worker_state.stale_report:
            self.platform.bring_up(worker, Seconds(self.now))
        elif crash:
            self.platform.take_down(worker, Seconds(self.now))
        else:
            self.platform.silence(worker, Seconds(self.now))

    @invariant()
    def no_worker_holds_more_than_it_has(self) -> None:
        self.platform.advance(Seconds(self.now))
        for worker in WORKERS:
            running = [run for run in self.platform.running() if run.worker == worker]
            assert sum(run.resources.accelerators for run in running) <= ACCELERATORS

    @invariant()
    def no_worker_starts_a_task_twice(self) -> None:
        started = [(run.worker, run.task) for run in self.platform.records]
        assert len(started) == len(set(started))

    @invariant()
    def nothing_runs_without_a_lease(self) -> None:
        self.platform.advance(Seconds(self.now))
        assert self.now < self.leased_until or not self.platform.running()


PlatformMachineTest = PlatformMachine.TestCase
PlatformMachineTest.settings = hypothesis.settings(
    derandomize="FUZZ_SEED" not in os.environ,
    deadline=None,
    max_examples=max(EXAMPLES, int(os.environ.get("FUZZ_STEPS", "0")) // STEPS),
    stateful_step_count=STEPS,
)
if "FUZZ_SEED" in os.environ:
    hypothesis.seed(int(os.environ["FUZZ_SEED"]))(PlatformMachine)


if __name__ == "__main__":
    unittest.main()
