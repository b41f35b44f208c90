"""
bench.policy_platform
~~~~~~~~~~~~~~~~~~~~~

Simulates the worker platform of one data centre in virtual time: it runs each task for the job's
true run time, checkpoints tasks, injects faults of workers, and records violated invariants.
"""

from collections.abc import Callable

import msgspec

from bulrushhollow_core.ids import Attempt, Epoch, JobId, RackId, Seconds, TaskId, WorkerId
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import (
    FINAL_TASK_STATES,
    CheckpointTask,
    PlatformAnswer,
    PlatformCall,
    StartTask,
    StopTask,
    TaskReport,
    TaskState,
    WorkerReport,
)

FOREVER = Seconds(float("inf"))
CHECKPOINT_TIME = Seconds(1.5)
"""Seconds that a checkpoint takes."""

FAILURE_TIME = Seconds(1.0)
"""Seconds after which a task fails if its job always fails or its worker is faulty."""


class Behaviour(msgspec.Struct, frozen=True):
    """
    What a job does when it runs.

    :param run: seconds that a whole run takes.
    :param tasks: number of tasks in its gang.
    :param idempotent: whether it may run again without a checkpoint.
    :param fails: whether it fails on every worker.
    :param checkpoint_fails: whether its checkpoints fail.
    """

    run: float
    tasks: int = 1
    idempotent: bool = True
    fails: bool = False
    checkpoint_fails: bool = False


class RunningTask(msgspec.Struct):
    """
    A task on a worker.

    :param due_at: when its present state ends without an order.
    :param next_state: the state that follows at that moment.
    :param completes_at: when it succeeds if no order stops it.
    """

    id: TaskId
    job: JobId
    attempt: Attempt
    need: Resources
    state: TaskState
    started_at: Seconds
    due_at: Seconds = FOREVER
    next_state: TaskState = TaskState.SUCCEEDED
    detail: str = ""
    completes_at: Seconds = FOREVER


class PlatformWorker(msgspec.Struct):
    """
    A worker and its tasks, including those whose final state is not acknowledged yet.

    :param never_start: tasks that were stopped or acknowledged; a late order to start them is
        ignored.
    :param cut_off: whether orders do not reach it.
    :param stale_report: report that is repeated while its loss is undetected.
    :param leased_until: when its tasks stop unless a call renews its lease.
    :param changed_at_cursor: cursor of its last change, for reports of changes only.
    """

    id: WorkerId
    rack: RackId
    capacity: Resources
    tasks_by_id: dict[TaskId, RunningTask] = {}
    never_start: set[TaskId] = set()
    ready: bool = True
    cut_off: bool = False
    stale_report: WorkerReport | None = None
    fails_everything: bool = False
    leased_until: Seconds = Seconds(0.0)
    changed_at_cursor: int = 1


class Violation(msgspec.Struct, frozen=True):
    """A violated invariant of the scheduler."""

    kind: str
    subject: str
    at: float


class History(msgspec.Struct):
    """The checkpointed seconds and the attempts of jobs on all platforms of a site."""

    progress_by_job: dict[JobId, float] = {}
    attempts_by_job: dict[JobId, set[Attempt]] = {}


class Platform:
    """
    The simulated platform of one data centre.

    :param behaviour_of: returns what a job does when it runs.
    :param history: checkpoints and attempts, shared by the platforms of a site.
    :ivar wasted: accelerator-seconds of runs whose progress was lost.
    """

    def __init__(self, behaviour_of: Callable[[JobId], Behaviour], history: History) -> None:
        """Create a platform without workers."""
        self._history = history
        self.workers_by_id: dict[WorkerId, PlatformWorker] = {}
        self.violations: list[Violation] = []
        self.starts: list[tuple[Seconds, TaskId]] = []
        self.wasted = 0.0
        self.highest_epoch = Epoch(0)
        self.now = Seconds(0.0)
        self._behaviour_of = behaviour_of
        self._cursor = 1

    def add_worker(self, worker: WorkerId, rack: RackId, capacity: Resources) -> None:
        """Add an empty worker."""
        self.workers_by_id[worker] = PlatformWorker(worker, rack, capacity)

    def call(self, call: PlatformCall, now: Seconds) -> PlatformAnswer:
        """Execute the orders of a call, unless its epoch is stale, and report changed workers."""
        self.advance(now)
        if call.epoch < self.highest_epoch:
            return PlatformAnswer(self.highest_epoch, True, self._cursor, (), call.number)
        self.highest_epoch = call.epoch
        for worker in self.workers_by_id.values():
            if worker.ready and not worker.cut_off and call.lease > 0:
                worker.leased_until = Seconds(now + call.lease)
            for task in call.acknowledged:
                if task in worker.tasks_by_id and self._remove_final(worker, task):
                    self._mark_changed(worker)
        for order in call.orders:
            worker = self.workers_by_id[order.worker]
            if worker.ready and not worker.cut_off:
                self._execute(worker, order, now)
        reports = tuple(
            self._report(worker)
            for worker in self.workers_by_id.values()
            if worker.changed_at_cursor > call.since
        )
        return PlatformAnswer(self.highest_epoch, False, self._cursor, reports, call.number)

    def advance(self, now: Seconds) -> None:
        """Advance to ``now``, change tasks that are due, and stop tasks with expired leases."""
        self.now = now
        for worker in self.workers_by_id.values():
            live = [t for t in worker.tasks_by_id.values() if t.state not in FINAL_TASK_STATES]
            for task in live:
                if worker.leased_until < min(task.due_at, now):
                    self._finish(worker, task, TaskState.STOPPED, worker.leased_until)
                elif task.due_at <= now:
                    self._apply_due_transition(worker, task)

    def next_due(self) -> Seconds:
        """Return when the next task changes its state without an order."""
        due_times = (
            task.due_at
            for worker in self.workers_by_id.values()
            for task in worker.tasks_by_id.values()
            if task.state not in FINAL_TASK_STATES
        )
        return min(due_times, default=FOREVER)

    def renew_leases(self, until: Seconds) -> None:
        """Renew all leases, as the calls in a skipped interval would have done."""
        for worker in self.workers_by_id.values():
            if worker.ready and not worker.cut_off:
                worker.leased_until = max(worker.leased_until, until)

    def crash_worker(self, worker: WorkerId) -> None:
        """Crash a worker; all of its tasks are lost."""
        record = self.workers_by_id[worker]
        for task in record.tasks_by_id.values():
            if task.state not in FINAL_TASK_STATES:
                self._record_run(task, self.now)
        record.tasks_by_id.clear()
        record.ready = False
        self._mark_changed(record)

    def cut_off_worker(self, worker: WorkerId) -> None:
        """Cut a worker off and report it as not ready; its tasks run until its lease expires."""
        record = self.workers_by_id[worker]
        record.ready = False
        record.cut_off = True
        self._mark_changed(record)

    def cut_off_worker_undetected(self, worker: WorkerId) -> None:
        """
        Cut a worker off while the platform still shows it as ready.

        The platform repeats the last report of the worker, and orders to it are lost.
        """
        record = self.workers_by_id[worker]
        record.stale_report = self._report(record)
        record.cut_off = True

    def return_worker(self, worker: WorkerId) -> None:
        """Make a crashed or cut-off worker ready again."""
        record = self.workers_by_id[worker]
        record.ready = True
        record.cut_off = False
        record.stale_report = None
        self._mark_changed(record)

    def restart(self) -> None:
        """Reset the cursor of changes, as a restarted platform does; workers and tasks stay."""
        self._cursor = 1
        for worker in self.workers_by_id.values():
            worker.changed_at_cursor = 1

    def live_tasks(self) -> list[RunningTask]:
        """Return the tasks that are running or being checkpointed."""
        return [
            task
            for worker in self.workers_by_id.values()
            for task in worker.tasks_by_id.values()
            if task.state not in FINAL_TASK_STATES
        ]

    def _execute(self, worker: PlatformWorker, order: object, now: Seconds) -> None:
        match order:
            case StartTask():
                self._start(worker, order, now)
            case StopTask():
                self._stop(worker, order, now)
            case CheckpointTask():
                self._checkpoint(worker, order, now)

    def _start(self, worker: PlatformWorker, order: StartTask, now: Seconds) -> None:
        if order.task in worker.tasks_by_id or order.task in worker.never_start:
            return
        task = RunningTask(
            order.task, order.job, order.attempt, order.resources, TaskState.RUNNING, now
        )
        worker.tasks_by_id[order.task] = task
        self._mark_changed(worker)
        if not self._is_within_capacity(worker):
            task.state = TaskState.REFUSED
            self.violations.append(Violation("overcommitted", order.task, now))
            return
        self.starts.append((now, order.task))
        behaviour = self._behaviour_of(order.job)
        if not order.resume:
            self._history.progress_by_job[order.job] = 0.0
        self._check_double_start(order, behaviour, now)
        if worker.fails_everything or behaviour.fails:
            task.due_at = Seconds(now + FAILURE_TIME)
            task.next_state = TaskState.FAILED
            return
        remaining = behaviour.run - self._history.progress_by_job[order.job]
        task.completes_at = task.due_at = Seconds(now + max(remaining, 0.0))

    def _check_double_start(self, order: StartTask, behaviour: Behaviour, now: Seconds) -> None:
        attempts = self._history.attempts_by_job.setdefault(order.job, set())
        if not behaviour.idempotent and attempts - {order.attempt} and not order.resume:
            self.violations.append(Violation("double", order.job, now))
        attempts.add(order.attempt)

    def _stop(self, worker: PlatformWorker, order: StopTask, now: Seconds) -> None:
        task = worker.tasks_by_id.get(order.task)
        if task is None:
            worker.never_start.add(order.task)
        elif task.state not in FINAL_TASK_STATES:
            self._finish(worker, task, TaskState.STOPPED, now)

    def _checkpoint(self, worker: PlatformWorker, order: CheckpointTask, now: Seconds) -> None:
        task = worker.tasks_by_id.get(order.task)
        if task is None or task.state is not TaskState.RUNNING:
            return
        fails = self._behaviour_of(task.job).checkpoint_fails
        task.state = TaskState.CHECKPOINTING
        task.due_at = Seconds(now + CHECKPOINT_TIME)
        task.next_state = TaskState.RUNNING if fails else TaskState.CHECKPOINTED
        self._mark_changed(worker)

    def _apply_due_transition(self, worker: PlatformWorker, task: RunningTask) -> None:
        if task.next_state is TaskState.RUNNING:
            task.state = TaskState.RUNNING
            task.due_at = max(task.completes_at, task.due_at)
            task.next_state = TaskState.SUCCEEDED
            self._mark_changed(worker)
        else:
            self._finish(worker, task, task.next_state, task.due_at)

    def _finish(
        self, worker: PlatformWorker, task: RunningTask, state: TaskState, at: Seconds
    ) -> None:
        task.state = state
        is_kept = state in (TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
        self._record_run(task, at, is_kept)
        self._mark_changed(worker)

    def _record_run(self, task: RunningTask, at: Seconds, is_kept: bool = False) -> None:
        elapsed = at - task.started_at
        if not is_kept:
            self.wasted += elapsed * task.need.accelerators
        elif task.state is TaskState.CHECKPOINTED:
            tasks = self._behaviour_of(task.job).tasks
            self._history.progress_by_job[task.job] += elapsed / tasks

    def _is_within_capacity(self, worker: PlatformWorker) -> bool:
        needs = [t.need for t in worker.tasks_by_id.values() if t.state not in FINAL_TASK_STATES]
        return (
            sum(need.accelerators for need in needs) <= worker.capacity.accelerators
            and sum(need.cores for need in needs) <= worker.capacity.cores
            and sum(need.memory_mb for need in needs) <= worker.capacity.memory_mb
        )

    def _remove_final(self, worker: PlatformWorker, task: TaskId) -> bool:
        if worker.tasks_by_id[task].state not in FINAL_TASK_STATES:
            return False
        del worker.tasks_by_id[task]
        worker.never_start.add(task)
        return True

    def _mark_changed(self, worker: PlatformWorker) -> None:
        self._cursor += 1
        worker.changed_at_cursor = self._cursor

    def _report(self, worker: PlatformWorker) -> WorkerReport:
        if worker.stale_report is not None:
            return worker.stale_report
        tasks = worker.tasks_by_id.values()
        reports = tuple(TaskReport(task.id, task.state, task.detail) for task in tasks)
        used = Resources()
        return WorkerReport(worker.id, worker.rack, worker.capacity, used, reports, worker.ready)
