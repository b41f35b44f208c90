"""
standins._worker
~~~~~~~~~~~~~~~~

One worker of the stand-in platform: its lease, its tasks and what it reports of them.
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
    What the payload of a job may ask of the stand-in, as JSON; any other payload asks nothing.

    :param run_seconds: seconds of unthrottled run until the task succeeds.
    :param fail: whether it fails at its end instead.
    """

    run_seconds: float | None = None
    fail: bool = False


def read_payload(payload: str) -> TaskPayload:
    """Decode a payload, or take the defaults where it is not meant for the stand-in."""
    try:
        return msgspec.json.decode(payload, type=TaskPayload)
    except msgspec.DecodeError:
        return TaskPayload()


@dataclass(slots=True)
class RunRecord:
    """
    History of one start that really ran, for oracles.

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
    A task that the worker knows; it stays known after its end, so that it never starts again.

    :param state: None until a delayed start is carried out.
    :param progress: unthrottled seconds done until ``progress_at``.
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

    def finish_at(self) -> Seconds:
        """Return when the task ends by itself at its present share."""
        if self.share <= 0:
            return NEVER
        return Seconds(self.progress_at + (self.run_seconds - self.progress) / self.share)

    def progress_until(self, now: Seconds) -> float:
        """Return the unthrottled seconds done by ``now``."""
        return self.progress + (now - self.progress_at) * self.share

    def throttle(self, share: float, now: Seconds) -> None:
        """Change the processor share from ``now`` on."""
        self.progress = self.progress_until(now)
        self.progress_at = now
        self.share = min(1.0, max(0.0, share))


def sum_resources(parts: list[Resources]) -> Resources:
    """Add up what several tasks hold."""
    return Resources(
        accelerators=sum(part.accelerators for part in parts),
        cores=sum(part.cores for part in parts),
        memory_mb=sum(part.memory_mb for part in parts),
    )


def fits(need: Resources, held: Resources, capacity: Resources) -> bool:
    """Tell whether ``need`` can be held beside ``held``."""
    return (
        need.accelerators + held.accelerators <= capacity.accelerators
        and need.cores + held.cores <= capacity.cores
        and need.memory_mb + held.memory_mb <= capacity.memory_mb
    )


@dataclass(slots=True)
class Worker:
    """
    A worker and the faults set on it.

    :param lease_until: when it stops all tasks unless the lease is renewed before.
    :param revision: revision of the platform at which its report last changed.
    :param fails_starts: every task fails shortly after its start.
    :param down: crashed, and the platform knows.
    :param frozen: the last report before it fell silent; the platform does not know that it did.
    :param acknowledged_by_id: ended tasks that are no longer reported, and never start again.
    :param usage_history: times and use, oldest first, for reports with a lag.
    """

    id: WorkerId
    rack: RackId
    capacity: Resources
    lease_until: Seconds = Seconds(-math.inf)
    tasks_by_id: dict[TaskId, Task] = field(default_factory=dict)
    acknowledged_by_id: dict[TaskId, Task] = field(default_factory=dict)
    revision: int = 0
    fails_starts: bool = False
    down: bool = False
    frozen: WorkerReport | None = None
    reported_use: Resources = Resources()
    usage_history: list[tuple[Seconds, Resources]] = field(default_factory=list)
    most_accelerators: int = 0

    def live_tasks(self) -> list[Task]:
        """Return the tasks that hold resources."""
        return [task for task in self.tasks_by_id.values() if task.state in LIVE_STATES]

    def held(self) -> Resources:
        """Return what the live tasks hold."""
        return sum_resources([task.order.resources for task in self.live_tasks() if task.order])

    def start(self, task: Task, now: Seconds) -> RunRecord | None:
        """
        Carry out a received start, or refuse it.

        :return: the record of the run; None if the task was refused.
        """
        order = task.order
        assert order is not None
        problem = self._problem_with(task, order, now)
        if problem:
            task.state = TaskState.REFUSED
            task.detail = problem
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

    def _problem_with(self, task: Task, order: StartTask, now: Seconds) -> str:
        if now - task.received_at > order.not_after:
            return "the start came too late"
        if self.down:
            return "the worker is down"
        if self.lease_until <= now:
            return "the worker has no lease"
        if not fits(order.resources, self.held(), self.capacity):
            return "the worker has no room"
        return ""

    def end(self, task: Task, state: TaskState, at: Seconds, detail: str = "") -> None:
        """Bring a task to a final state and free what it held."""
        task.state = state
        task.detail = detail
        task.checkpoint_at = NEVER
        if task.record is not None:
            task.record.ended_at = at
            task.record.state = state
        self.usage_history.append((at, self.held()))

    def task_event_at(self, task: Task) -> Seconds:
        """Return when something happens to the task by itself."""
        if task.state is None:
            return task.starts_at
        if task.state not in LIVE_STATES:
            return NEVER
        return min(task.finish_at(), task.checkpoint_at, self.lease_until)

    def report(self, now: Seconds, lag: Seconds) -> WorkerReport:
        """Report the capacity, the use ``lag`` seconds ago, and every task not yet forgotten."""
        if self.frozen is not None:
            return self.frozen
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
            ready=not self.down,
        )

    def used_at(self, moment: Seconds) -> Resources:
        """Return the measured use at a past moment, and forget what came before it."""
        while len(self.usage_history) > 1 and self.usage_history[1][0] <= moment:
            self.usage_history.pop(0)
        if self.usage_history and self.usage_history[0][0] <= moment:
            return self.usage_history[0][1]
        return Resources()

    def has_ended_tasks(self) -> bool:
        """Tell whether a final state has to be repeated."""
        return any(task.state in FINAL_TASK_STATES for task in self.tasks_by_id.values())

    def acknowledge(self, task_id: TaskId) -> None:
        """Report an ended task no longer."""
        task = self.tasks_by_id.get(task_id)
        if task is not None and task.state in FINAL_TASK_STATES:
            self.acknowledged_by_id[task_id] = self.tasks_by_id.pop(task_id)

    def recall(self, task_id: TaskId) -> Task | None:
        """Find a task that an order names; one that was acknowledged is reported again."""
        if task_id in self.acknowledged_by_id:
            self.tasks_by_id[task_id] = self.acknowledged_by_id.pop(task_id)
        return self.tasks_by_id.get(task_id)

    def next_event_at(self) -> Seconds:
        """Return when something happens on the worker by itself; infinity if nothing will."""
        return min(map(self.task_event_at, self.tasks_by_id.values()), default=NEVER)

    def next_task(self) -> Task:
        """Return the task to which something happens first."""
        return min(self.tasks_by_id.values(), key=self.task_event_at)
