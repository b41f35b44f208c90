"""
bench.policy_platform
~~~~~~~~~~~~~~~~~~~~~

A worker platform of one data centre in virtual time: it runs tasks for as long as a job's true
run time says, checkpoints them, loses workers, and counts what must never happen.
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
"""Seconds after which a task fails that is bound to."""


class Behaviour(msgspec.Struct, frozen=True):
    """
    What a job does when it runs.

    :param run: seconds that a whole run takes.
    :param tasks: tasks of its gang.
    :param fails: whether it fails wherever it runs.
    :param checkpoint_fails: whether its checkpoints fail.
    """

    run: float
    tasks: int = 1
    idempotent: bool = True
    fails: bool = False
    checkpoint_fails: bool = False


class RunningTask(msgspec.Struct):
    """A task on a worker; ``due`` is when its present state ends by itself."""

    id: TaskId
    job: JobId
    attempt: Attempt
    need: Resources
    state: TaskState
    started: Seconds
    due: Seconds = FOREVER
    next_state: TaskState = TaskState.SUCCEEDED
    detail: str = ""
    completes: Seconds = FOREVER


class PlatformWorker(msgspec.Struct):
    """A worker with its tasks, also those whose final state is not acknowledged yet."""

    id: WorkerId
    rack: RackId
    capacity: Resources
    tasks_by_id: dict[TaskId, RunningTask] = {}
    never_start: set[TaskId] = set()
    ready: bool = True
    cut_off: bool = False
    frozen: WorkerReport | None = None
    fails_everything: bool = False
    leased_until: Seconds = Seconds(0.0)
    changed: int = 1


class Violation(msgspec.Struct, frozen=True):
    """Something that must never happen."""

    kind: str
    subject: str
    at: float


class History(msgspec.Struct):
    """What jobs have done on all platforms of a site: checkpointed seconds and attempts."""

    progress_by_job: dict[JobId, float] = {}
    attempts_by_job: dict[JobId, set[Attempt]] = {}


class Platform:
    """
    The platform of one data centre.

    :param behaviour_of: what a job does when it runs.
    :param history: shared by the platforms of a site.
    """

    def __init__(self, behaviour_of: Callable[[JobId], Behaviour], history: History) -> None:
        """Make a platform without workers."""
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
        """Carry out one call."""
        self.advance(now)
        if call.epoch < self.highest_epoch:
            return PlatformAnswer(self.highest_epoch, True, self._cursor, (), call.number)
        self.highest_epoch = call.epoch
        for worker in self.workers_by_id.values():
            if worker.ready and not worker.cut_off and call.lease > 0:
                worker.leased_until = Seconds(now + call.lease)
            for task in call.acknowledged:
                if task in worker.tasks_by_id and self._forget(worker, task):
                    self._touch(worker)
        for order in call.orders:
            worker = self.workers_by_id[order.worker]
            if worker.ready and not worker.cut_off:
                self._carry_out(worker, order, now)
        reports = tuple(
            self._report(worker)
            for worker in self.workers_by_id.values()
            if worker.changed > call.since
        )
        return PlatformAnswer(self.highest_epoch, False, self._cursor, reports, call.number)

    def advance(self, now: Seconds) -> None:
        """Let time pass for all tasks and leases."""
        self.now = now
        for worker in self.workers_by_id.values():
            live = [t for t in worker.tasks_by_id.values() if t.state not in FINAL_TASK_STATES]
            for task in live:
                if worker.leased_until < min(task.due, now):
                    self._finish(worker, task, TaskState.STOPPED, worker.leased_until)
                elif task.due <= now:
                    self._due(worker, task)

    def next_due(self) -> Seconds:
        """Return when the next task changes its state by itself."""
        dues = (
            task.due
            for worker in self.workers_by_id.values()
            for task in worker.tasks_by_id.values()
            if task.state not in FINAL_TASK_STATES
        )
        return min(dues, default=FOREVER)

    def renew_leases(self, until: Seconds) -> None:
        """Renew all leases as calls would have done in a stretch of time that is skipped."""
        for worker in self.workers_by_id.values():
            if worker.ready and not worker.cut_off:
                worker.leased_until = max(worker.leased_until, until)

    def crash_worker(self, worker: WorkerId) -> None:
        """End a worker with everything on it."""
        found = self.workers_by_id[worker]
        for task in found.tasks_by_id.values():
            if task.state not in FINAL_TASK_STATES:
                self._account(task, self.now)
        found.tasks_by_id.clear()
        found.ready = False
        self._touch(found)

    def cut_off_worker(self, worker: WorkerId) -> None:
        """Lose a worker from sight; its tasks go on until its lease runs out."""
        found = self.workers_by_id[worker]
        found.ready = False
        found.cut_off = True
        self._touch(found)

    def cut_off_worker_undetected(self, worker: WorkerId) -> None:
        """
        Cut a worker off while the platform still shows it as ready.

        The platform repeats the last report of the worker, and orders to it are lost.
        """
        found = self.workers_by_id[worker]
        found.frozen = self._report(found)
        found.cut_off = True

    def return_worker(self, worker: WorkerId) -> None:
        """Bring a worker back."""
        found = self.workers_by_id[worker]
        found.ready = True
        found.cut_off = False
        found.frozen = None
        self._touch(found)

    def restart(self) -> None:
        """Lose all cursors, as a restarted platform does; workers and tasks live on."""
        self._cursor = 1
        for worker in self.workers_by_id.values():
            worker.changed = 1

    def live_tasks(self) -> list[RunningTask]:
        """Return the tasks that are running or being checkpointed."""
        return [
            task
            for worker in self.workers_by_id.values()
            for task in worker.tasks_by_id.values()
            if task.state not in FINAL_TASK_STATES
        ]

    def _carry_out(self, worker: PlatformWorker, order: object, now: Seconds) -> None:
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
        self._touch(worker)
        if not self._has_room(worker):
            task.state = TaskState.REFUSED
            self.violations.append(Violation("overcommitted", order.task, now))
            return
        self.starts.append((now, order.task))
        behaviour = self._behaviour_of(order.job)
        if not order.resume:
            self._history.progress_by_job[order.job] = 0.0
        self._count_double(order, behaviour, now)
        if worker.fails_everything or behaviour.fails:
            task.due = Seconds(now + FAILURE_TIME)
            task.next_state = TaskState.FAILED
            return
        left = behaviour.run - self._history.progress_by_job[order.job]
        task.completes = task.due = Seconds(now + max(left, 0.0))

    def _count_double(self, order: StartTask, behaviour: Behaviour, now: Seconds) -> None:
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
        task.due = Seconds(now + CHECKPOINT_TIME)
        task.next_state = TaskState.RUNNING if fails else TaskState.CHECKPOINTED
        self._touch(worker)

    def _due(self, worker: PlatformWorker, task: RunningTask) -> None:
        if task.next_state is TaskState.RUNNING:
            task.state = TaskState.RUNNING
            task.due = max(task.completes, task.due)
            task.next_state = TaskState.SUCCEEDED
            self._touch(worker)
        else:
            self._finish(worker, task, task.next_state, task.due)

    def _finish(
        self, worker: PlatformWorker, task: RunningTask, state: TaskState, at: Seconds
    ) -> None:
        task.state = state
        kept = state in (TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
        self._account(task, at, kept)
        self._touch(worker)

    def _account(self, task: RunningTask, at: Seconds, kept: bool = False) -> None:
        elapsed = at - task.started
        if not kept:
            self.wasted += elapsed * task.need.accelerators
        elif task.state is TaskState.CHECKPOINTED:
            tasks = self._behaviour_of(task.job).tasks
            self._history.progress_by_job[task.job] += elapsed / tasks

    def _has_room(self, worker: PlatformWorker) -> bool:
        live = [t.need for t in worker.tasks_by_id.values() if t.state not in FINAL_TASK_STATES]
        return (
            sum(need.accelerators for need in live) <= worker.capacity.accelerators
            and sum(need.cores for need in live) <= worker.capacity.cores
            and sum(need.memory_mb for need in live) <= worker.capacity.memory_mb
        )

    def _forget(self, worker: PlatformWorker, task: TaskId) -> bool:
        if worker.tasks_by_id[task].state not in FINAL_TASK_STATES:
            return False
        del worker.tasks_by_id[task]
        worker.never_start.add(task)
        return True

    def _touch(self, worker: PlatformWorker) -> None:
        self._cursor += 1
        worker.changed = self._cursor

    def _report(self, worker: PlatformWorker) -> WorkerReport:
        if worker.frozen is not None:
            return worker.frozen
        tasks = worker.tasks_by_id.values()
        reports = tuple(TaskReport(task.id, task.state, task.detail) for task in tasks)
        used = Resources()
        return WorkerReport(worker.id, worker.rack, worker.capacity, used, reports, worker.ready)
