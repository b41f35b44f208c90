"""
standins._worker
~~~~~~~~~~~~~~~~

A worker of the stand-in platform: its lease, its tasks and its reports.
"""

import math
from dataclasses import dataclass, field

import msgspec

from bulrushhollow_core.ids import Attempt, Epoch, JobId, RackId, Seconds, TaskId, WorkerId
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import (
    FINAL_TASK_STATES,
    StartTask,
    TaskReport,
    TaskState,
    WorkerReport,
)

NEVER = Seconds(math.inf)

LIVE_STATES = frozenset({TaskState.RUNNING, TaskState.CHECKPOINTING})
"""States in which a task holds its resources."""


class TaskPayload(msgspec.Struct, frozen=True):
    """
    The payload of a job that is meant for the stand-in, as JSON. Any other payload is ignored.

    :param run_seconds: seconds that the task runs without a throttle until it succeeds.
    :param fail: whether it fails at its end instead.
    """

    run_seconds: float | None = None
    fail: bool = False


def read_payload(payload: str) -> TaskPayload:
    """Return the decoded payload, or the defaults if it is not meant for the stand-in."""
    try:
        return msgspec.json.decode(payload, type=TaskPayload)
    except msgspec.DecodeError:
        return TaskPayload()


@dataclass(slots=True)
class RunRecord:
    """
    The record of a task that started, for oracles.

    :param ended_at: None while it runs.
    """

    worker: WorkerId
    task: TaskId
    job: JobId
    attempt: Attempt
    epoch: Epoch
    resources: Resources
    started_at: Seconds
    ended_at: Seconds | None = None
    state: TaskState = TaskState.RUNNING


@dataclass(slots=True)
class Task:
    """
    A task of a worker. It is kept after its end, so that it never starts again.

    :param state: None until a delayed start is due.
    :param share: part of the processor time that the task may use, from 0 to 1.
    :param progress: seconds of unthrottled work done by ``progress_at``.
    """

    id: TaskId
    state: TaskState | None
    order: StartTask | None = None
    epoch: Epoch = Epoch(0)
    detail: str = ""
    received_at: Seconds = Seconds(0.0)
    starts_at: Seconds = NEVER
    run_seconds: float = 0.0
    fails: bool = False
    share: float = 1.0
    progress: float = 0.0
    progress_at: Seconds = Seconds(0.0)
    checkpoint_at: Seconds = NEVER
    record: RunRecord | None = None

    def finishes_at(self) -> Seconds:
        """Return when the task finishes at its present share."""
        if self.share <= 0:
            return NEVER
        return Seconds(self.progress_at + (self.run_seconds - self.progress) / self.share)

    def compute_progress(self, now: Seconds) -> float:
        """Return the seconds of unthrottled work done by ``now``."""
        return self.progress + (now - self.progress_at) * self.share

    def throttle(self, share: float, now: Seconds) -> None:
        """Change the share of processor time from ``now`` on."""
        self.progress = self.compute_progress(now)
        self.progress_at = now
        self.share = min(1.0, max(0.0, share))


def sum_resources(parts: list[Resources]) -> Resources:
    """Return the sum of several resources."""
    return Resources(
        accelerators=sum(part.accelerators for part in parts),
        cores=sum(part.cores for part in parts),
        memory_mb=sum(part.memory_mb for part in parts),
    )


def fits(needs: Resources, held: Resources, capacity: Resources) -> bool:
    """Return whether ``needs`` fit into what ``held`` leaves of the capacity."""
    return (
        needs.accelerators + held.accelerators <= capacity.accelerators
        and needs.cores + held.cores <= capacity.cores
        and needs.memory_mb + held.memory_mb <= capacity.memory_mb
    )


@dataclass(slots=True)
class Worker:
    """
    A worker and its injected faults.

    :param lease_until: time at which it stops every task unless the lease is renewed before.
    :param revision: revision of the platform at which its report last changed.
    :param fails_starts: whether every task fails shortly after its start.
    :param is_down: whether it crashed; the platform notices that.
    :param stale_report: the last report before it was cut off, which the platform does not notice;
        None while it is reachable.
    :param acknowledged_tasks_by_id: ended tasks that are no longer reported and never start again.
    :param usage_history: times with the resources in use, oldest first, for reports with a lag.
    """

    id: WorkerId
    rack: RackId
    capacity: Resources
    lease_until: Seconds = Seconds(-math.inf)
    tasks_by_id: dict[TaskId, Task] = field(default_factory=dict)
    acknowledged_tasks_by_id: dict[TaskId, Task] = field(default_factory=dict)
    revision: int = 0
    fails_starts: bool = False
    is_down: bool = False
    stale_report: WorkerReport | None = None
    reported_use: Resources = Resources()
    usage_history: list[tuple[Seconds, Resources]] = field(default_factory=list)
    most_accelerators: int = 0

    def live_tasks(self) -> list[Task]:
        """Return the tasks that hold resources."""
        return [task for task in self.tasks_by_id.values() if task.state in LIVE_STATES]

    def held(self) -> Resources:
        """Return the resources that the live tasks hold."""
        return sum_resources([task.order.resources for task in self.live_tasks() if task.order])

    def start(self, task: Task, now: Seconds) -> RunRecord | None:
        """
        Start a task whose order was received, or refuse it.

        :return: the record of the run; None if the task was refused.
        """
        order = task.order
        assert order is not None
        reason = self._refusal_reason(task, order, now)
        if reason:
            task.state = TaskState.REFUSED
            task.detail = reason
            return None
        task.state = TaskState.RUNNING
        task.progress_at = now
        task.record = RunRecord(
            worker=self.id,
            task=task.id,
            job=order.job,
            attempt=order.attempt,
            epoch=task.epoch,
            resources=order.resources,
            started_at=now,
        )
        held = self.held()
        self.most_accelerators = max(self.most_accelerators, held.accelerators)
        self.usage_history.append((now, held))
        return task.record

    def _refusal_reason(self, task: Task, order: StartTask, now: Seconds) -> str:
        if now - task.received_at > order.not_after:
            return "the start came too late"
        if self.is_down:
            return "the worker is down"
        if self.lease_until <= now:
            return "the worker has no lease"
        if not fits(order.resources, self.held(), self.capacity):
            return "the worker has no room"
        return ""

    def end(self, task: Task, state: TaskState, at: Seconds, detail: str = "") -> None:
        """End a task in a final state and release its resources."""
        task.state = state
        task.detail = detail
        task.checkpoint_at = NEVER
        if task.record is not None:
            task.record.ended_at = at
            task.record.state = state
        self.usage_history.append((at, self.held()))

    def task_event_at(self, task: Task) -> Seconds:
        """Return the time of the task's next event that needs no order."""
        if task.state is None:
            return task.starts_at
        if task.state not in LIVE_STATES:
            return NEVER
        return min(task.finishes_at(), task.checkpoint_at, self.lease_until)

    def report(self, now: Seconds, lag: Seconds) -> WorkerReport:
        """Report the capacity, the use ``lag`` seconds ago and every unacknowledged task."""
        if self.stale_report is not None:
            return self.stale_report
        return WorkerReport(
            worker=self.id,
            rack=self.rack,
            capacity=self.capacity,
            used=self.used_at(Seconds(now - lag)),
            tasks=tuple(
                TaskReport(task=task.id, state=task.state, detail=task.detail)
                for task in self.tasks_by_id.values()
                if task.state is not None
            ),
            ready=not self.is_down,
        )

    def used_at(self, moment: Seconds) -> Resources:
        """Return the resources in use at a past moment, and drop the history before it."""
        while len(self.usage_history) > 1 and self.usage_history[1][0] <= moment:
            self.usage_history.pop(0)
        if self.usage_history and self.usage_history[0][0] <= moment:
            return self.usage_history[0][1]
        return Resources()

    def has_ended_tasks(self) -> bool:
        """Return whether a final state is not acknowledged yet and must be reported again."""
        return any(task.state in FINAL_TASK_STATES for task in self.tasks_by_id.values())

    def acknowledge(self, task_id: TaskId) -> None:
        """Stop reporting an ended task."""
        task = self.tasks_by_id.get(task_id)
        if task is not None and task.state in FINAL_TASK_STATES:
            self.acknowledged_tasks_by_id[task_id] = self.tasks_by_id.pop(task_id)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return the task of an order, if any; one that was acknowledged is reported again."""
        if task_id in self.acknowledged_tasks_by_id:
            self.tasks_by_id[task_id] = self.acknowledged_tasks_by_id.pop(task_id)
        return self.tasks_by_id.get(task_id)

    def next_event_at(self) -> Seconds:
        """Return the time of the next event that needs no order; infinity without one."""
        return min(map(self.task_event_at, self.tasks_by_id.values()), default=NEVER)

    def next_event_task(self) -> Task:
        """Return the task with the earliest next event."""
        return min(self.tasks_by_id.values(), key=self.task_event_at)
