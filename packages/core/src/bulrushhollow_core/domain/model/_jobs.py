"""
bulrushhollow_core.domain.model._jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs as dependency graphs of steps, and the replicated state of their tasks.
"""

from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from bulrushhollow_core.domain.model._configuration import Queue
from bulrushhollow_core.domain.model._resources import (
    NO_RESOURCES,
    Resources,
    core_equivalents,
)
from bulrushhollow_core.ids import JobId, Seconds, WorkerId, WorkspaceId

__all__ = [
    "NO_RESOURCES",
    "Job",
    "JobState",
    "Loss",
    "Occurrence",
    "Resources",
    "RunNumber",
    "Step",
    "StepRecord",
    "StepRef",
    "Task",
    "TaskRef",
    "TaskState",
    "WallTime",
    "Work",
    "WorkerLife",
    "core_equivalents",
]

RunNumber = NewType("RunNumber", int)
"""Number of one start of a task. It grows with each start; the members of a gang share it."""

Occurrence = NewType("Occurrence", int)
"""Index of one occurrence of a job, from 0; a job with due times runs once for each of them."""

WallTime = NewType("WallTime", float)
"""Seconds since 1970 by an instance's wall clock."""


class TaskRef(NamedTuple):
    """
    Identifies a task.

    :param member: index of the task within its step.
    """

    job: JobId
    occurrence: Occurrence
    step: int
    member: int

    @property
    def step_ref(self) -> "StepRef":
        """Return the reference of the step that the task belongs to."""
        return StepRef(self.job, self.occurrence, self.step)


class StepRef(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job: JobId
    occurrence: Occurrence
    step: int

    def task(self, member: int) -> TaskRef:
        """Return the reference of one task of the step."""
        return TaskRef(self.job, self.occurrence, self.step, member)


class Step(msgspec.Struct, frozen=True, array_like=True):
    """
    One step of a job.

    :param count: number of tasks.
    :param needs: resources of each task.
    :param estimate: estimated duration of a task, in seconds.
    :param depends_on: indexes of earlier steps that must be done before this one starts.
    :param is_gang: whether its tasks make progress only while all of them run.
    :param same_rack: whether its tasks are much slower when spread over several racks.
    :param required_label: label that its workers must have; empty for any worker.
    :param data_rack: rack that holds its data; its tasks are much slower on any other.
    :param max_per_worker: limit on its tasks on one worker; 0 for no limit.
    :param is_speculative: whether copies of a task may run at the same time.
    :param is_checkpointable: whether its tasks save checkpoints.
    :param is_long_running: whether its tasks run until the job is cancelled.
    :param max_unavailable: limit on long-running tasks that the scheduler may have interrupted at
        the same time; 0 for no limit.
    """

    count: int
    needs: Resources
    estimate: Seconds
    depends_on: tuple[int, ...] = ()
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_checkpointable: bool = False
    is_long_running: bool = False
    max_unavailable: int = 0


class Work(msgspec.Struct, frozen=True, array_like=True):
    """
    The work of a submitted job.

    :param spec: text that is passed to every task.
    :param occurrences: number of due times; 0 for a job without due times, which runs once.
    :param first_due_at: when the first occurrence is due.
    :param interval: seconds between the due times of two occurrences.
    """

    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_at: WallTime = WallTime(0.0)
    interval: Seconds = Seconds(0.0)


class WorkerLife(msgspec.Struct, frozen=True, array_like=True):
    """
    One life of a worker: one incarnation, from its start to its end.

    :param born: start time in Unix milliseconds; distinguishes the lives of one id.
    """

    id: WorkerId
    born: int


class TaskState(Enum):
    """State of a task."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class Task(msgspec.Struct, array_like=True):
    """
    The replicated state of one task.

    :param run: number of the latest run; 0 before the first.
    :param worker: worker of that run while the task is active.
    :param address: address of that worker.
    :param failures: number of failed runs.
    :param checkpoint: latest checkpoint; empty for none.
    :param may_start_late: whether the start of that run may still be carried out although the run
        has ended.
    """

    state: TaskState = TaskState.WAITING
    run: RunNumber = RunNumber(0)
    worker: WorkerLife | None = None
    address: str = ""
    failures: int = 0
    checkpoint: str = ""
    may_start_late: bool = False


class StepRecord(msgspec.Struct, array_like=True):
    """
    The replicated state of one step of one occurrence.

    :param tasks: tasks by index.
    :param failures: number of failed runs of the gang.
    :param last_failed_run: latest failed run of the gang; several members that fail in one run
        count as one failure.
    :param done_count: number of tasks that are done.
    :param checkpoint: latest checkpoint of the gang, valid for all members.
    """

    tasks: list[Task]
    failures: int = 0
    last_failed_run: RunNumber = RunNumber(0)
    done_count: int = 0
    checkpoint: str = ""

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def highest_run(self) -> RunNumber:
        """Return the highest run number of its tasks."""
        return max(task.run for task in self.tasks)


MIN_SURVIVAL = Seconds(1.0)
"""Seconds after its start at which a run has been listed by its worker; the length of a poll. A run
that was lost earlier is a likely cause of the crash."""


class WorkerLoss(msgspec.Struct, frozen=True, array_like=True):
    """
    The loss of a run with its worker.

    :param worker: worker that fell silent or crashed.
    :param survived: seconds that the run is known to have survived.
    :param has_started: whether the worker is known to have started it.
    """

    worker: WorkerLife
    survived: Seconds
    has_started: bool


class Loss(msgspec.Struct, array_like=True):
    """
    The recorded loss of a run of a task; see :class:`WorkerLoss`.

    :param has_crashed: whether the worker is known to have crashed, and was not only out of reach.
    """

    task: TaskRef
    worker: WorkerLife
    lost_at: WallTime
    survived: Seconds
    has_started: bool
    has_crashed: bool = False


class JobState(Enum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Job(msgspec.Struct, array_like=True):
    """
    The replicated state of one job.

    :param queue: configuration of the queue at the time the job was accepted.
    :param workspace: None for a caller without a workspace, which only public queues accept.
    :param submitted_at: when the leader accepted the job.
    :param sequence: position in the order in which jobs were accepted.
    :param occurrences_by_number: steps of the occurrences that have begun and are not done.
    :param occurrences_begun: number of occurrences that have begun; they begin in order.
    :param occurrences_done: number of occurrences that are done.
    :param has_started: whether any task was ever started.
    :param ended_at: when the job reached its final state; 0 before.
    :param losses: runs that were lost with their workers, the oldest first.
    """

    id: JobId
    queue: Queue
    workspace: WorkspaceId | None
    work: Work
    submitted_at: WallTime
    sequence: int
    state: JobState = JobState.QUEUED
    occurrences_by_number: dict[Occurrence, list[StepRecord]] = {}
    occurrences_begun: int = 0
    occurrences_done: int = 0
    has_started: bool = False
    ended_at: WallTime = WallTime(0.0)
    losses: list[Loss] = []

    @property
    def has_ended(self) -> bool:
        """Return whether the job is in a final state; none of its tasks starts again."""
        return self.state in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)

    @property
    def is_timed(self) -> bool:
        """Return whether its occurrences have due times."""
        return self.work.occurrences > 0

    @property
    def occurrence_count(self) -> int:
        """Return how often the steps run in total."""
        return max(1, self.work.occurrences)

    def due_at(self, occurrence: Occurrence) -> WallTime:
        """Return when an occurrence is due."""
        if not self.is_timed:
            return self.submitted_at
        return WallTime(self.work.first_due_at + occurrence * self.work.interval)
