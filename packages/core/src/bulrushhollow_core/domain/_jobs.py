"""
bulrushhollow_core.domain._jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs as graphs of steps, and the replicated state of their tasks.
"""

from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from bulrushhollow_core.domain._configuration import Queue
from bulrushhollow_core.ids import JobId, Seconds, WorkerId, WorkspaceId

RunNumber = NewType("RunNumber", int)
"""Number of a start of one task; a later start has a greater one, members of a gang share it."""

Occurrence = NewType("Occurrence", int)
"""Number of a repetition of a job, from 0."""

WallTime = NewType("WallTime", float)
"""Seconds since 1970 by an instance's time of day."""


class TaskRef(NamedTuple):
    """Which task of which step of which repetition of a job."""

    job: JobId
    occurrence: Occurrence
    step: int
    member: int

    @property
    def step_ref(self) -> "StepRef":
        """Return the step that it belongs to."""
        return StepRef(self.job, self.occurrence, self.step)


class StepRef(NamedTuple):
    """Which step of which repetition of a job."""

    job: JobId
    occurrence: Occurrence
    step: int

    def task(self, member: int) -> TaskRef:
        """Return one of its tasks."""
        return TaskRef(self.job, self.occurrence, self.step, member)


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """
    What a task takes or a worker has.

    :param cpu: thousandths of a core.
    :param memory: MiB.
    """

    cpu: int
    memory: int
    accelerators: int

    def fits(self, free: "Resources") -> bool:
        """Return whether this fits into what is free."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES = Resources(0, 0, 0)
"""What takes no room."""


class Step(msgspec.Struct, frozen=True, array_like=True):
    """
    One step of a job.

    :param needs: what each of its tasks takes.
    :param estimate: rough seconds that a task works.
    :param depends_on: earlier steps whose tasks must all be done first.
    :param is_gang: whether its tasks work only together.
    :param same_rack: whether its tasks are much slower on more than one rack.
    :param required_label: a label that its workers must have; empty for any.
    :param data_rack: rack of its data; on any other its tasks are much slower.
    :param max_per_worker: most of its tasks on one worker; 0 for no limit.
    :param is_speculative: whether copies of a task may run at the same time.
    :param is_checkpointable: whether its tasks save their progress.
    :param is_long_running: whether its tasks run until the job is cancelled.
    :param max_unavailable: lasting tasks that may be away at the same time by the system's doing;
        0 for no limit.
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
    What a caller submits.

    :param spec: text that every task receives.
    :param occurrences: how many times the steps run; 0 for a job without due times.
    :param first_due_at: when the first repetition is due.
    :param interval: seconds between two repetitions.
    """

    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_at: WallTime = WallTime(0.0)
    interval: Seconds = Seconds(0.0)


class WorkerLife(msgspec.Struct, frozen=True, array_like=True):
    """
    One life of a worker.

    :param born: Unix milliseconds of its start, which tell lives under one id apart.
    """

    id: WorkerId
    born: int


class TaskState(Enum):
    """Where a task stands."""

    WAITING = 0
    ACTIVE = 1
    DONE = 2


class Task(msgspec.Struct, array_like=True):
    """
    The replicated state of one task.

    :param run: its latest run; 0 before the first.
    :param worker: where that run is while the task is active.
    :param address: address of that worker.
    :param failures: its runs that ended failed.
    :param checkpoint: its latest checkpoint.
    """

    state: TaskState = TaskState.WAITING
    run: RunNumber = RunNumber(0)
    worker: WorkerLife | None = None
    address: str = ""
    failures: int = 0
    checkpoint: str = ""


class StepRecord(msgspec.Struct, array_like=True):
    """
    The replicated state of one step of one repetition.

    :param tasks: by index.
    :param failures: runs of the whole gang that failed.
    :param failed_run: latest run of the gang that failed, so that it counts once.
    :param done: number of tasks that are done.
    :param checkpoint: latest checkpoint of a gang, which is valid for all its members.
    """

    tasks: list[Task]
    failures: int = 0
    failed_run: RunNumber = RunNumber(0)
    done: int = 0
    checkpoint: str = ""

    @property
    def is_done(self) -> bool:
        """Return whether all tasks are done."""
        return self.done == len(self.tasks)

    @property
    def highest_run(self) -> RunNumber:
        """Return the greatest run number that any of its tasks has had."""
        return max(task.run for task in self.tasks)


class JobState(Enum):
    """What callers are told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Job(msgspec.Struct, array_like=True):
    """
    The replicated state of one job.

    :param queue: its queue as it was when the job was accepted.
    :param workspace: None for a job of a public queue.
    :param submitted_at: when the leader took it in.
    :param sequence: position among all accepted jobs.
    :param occurrences_by_number: repetitions that have begun and are not done.
    :param occurrences_begun: number of repetitions that have begun, which they do in order.
    :param occurrences_done: number of repetitions that are done.
    :param has_started: whether any task was ever started.
    :param ended_at: when it came to its final state; 0 before.
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

    @property
    def is_over(self) -> bool:
        """Return whether nothing of it will ever start again."""
        return self.state in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)

    @property
    def is_timed(self) -> bool:
        """Return whether it is due at stated times."""
        return self.work.occurrences > 0

    @property
    def repetitions(self) -> int:
        """Return how many times its steps run."""
        return max(1, self.work.occurrences)

    def due_at(self, occurrence: Occurrence) -> WallTime:
        """Return when a repetition may begin."""
        if not self.is_timed:
            return self.submitted_at
        return WallTime(self.work.first_due_at + occurrence * self.work.interval)
