"""
bulrushhollow_core.jobs._runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One attempt of a gang from the reservation of its workers to the last word of its last task.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import Attempt, JobId, Seconds, TaskId, WorkerId
from bulrushhollow_core.jobs._commands import JobCommand
from bulrushhollow_core.jobs._fleet import Placement
from bulrushhollow_core.jobs._guarantees import GuaranteeSlotKey
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import FINAL_TASK_STATES, TaskState

FOREVER = Seconds(float("inf"))


class Phase(Enum):
    """
    Where an attempt stands.

    RECLAIMING waits for preempted work to leave its workers, INTENDING for the log; STARTING and
    ADOPTING wait for reports of all tasks; SETTLING has no task left and waits for the log.
    """

    RECLAIMING = "reclaiming"
    INTENDING = "intending"
    STARTING = "starting"
    ADOPTING = "adopting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    SETTLING = "settling"


class Standing(Enum):
    """By what right an attempt holds its workers; only borrowed ones are preempted."""

    CLAIM = "claim"
    FIRM = "firm"
    BORROWED = "borrowed"


class Cause(Enum):
    """Why an attempt is being ended before all of its tasks have succeeded."""

    PREEMPTED = "preempted"
    DRAINED = "drained"
    CANCELLED = "cancelled"
    RUN_LIMIT = "run_limit"
    TASK_FAILED = "task_failed"
    WORKER_LOST = "worker_lost"
    WITHDRAWN = "withdrawn"


class GangTask(msgspec.Struct):
    """
    One task of an attempt.

    :param state: as last reported; None before the first report.
    :param ran: whether it was ever reported in a state in which it may have run.
    :param gone: whether it can no longer hold its worker.
    :param asked_at: when a checkpoint was last asked for.
    """

    id: TaskId
    worker: WorkerId
    state: TaskState | None = None
    ran: bool = False
    gone: bool = False
    asked_at: Seconds = Seconds(float("-inf"))
    throttled: bool = False


class Run(msgspec.Struct):
    """
    One attempt of a job.

    :param record: the job as of the last log entry about it.
    :param slot: the guarantee's slot that it claims.
    :param phase_since: when it entered its phase.
    :param deadline: until when the phase may last.
    :param running_since: when all tasks were first seen to run.
    :param proposal: the command that waits for the log, if any.
    :param sent: whether any start order may have left.
    :param claimed_at: when its workers were reserved.
    :param checkpoint_failed: whether a checkpoint of the job has failed before.
    """

    record: JobRecord
    attempt: Attempt
    place: Placement
    standing: Standing
    phase: Phase
    phase_since: Seconds
    slot: GuaranteeSlotKey | None = None
    tasks_by_id: dict[TaskId, GangTask] = {}
    deadline: Seconds = FOREVER
    running_since: Seconds | None = None
    cause: Cause | None = None
    detail: str = ""
    proposal: JobCommand | None = None
    proposed_at: Seconds = Seconds(0.0)
    sent: bool = False
    claimed_at: Seconds = Seconds(0.0)
    lost_quickly: bool = False
    job_suspected: bool = False
    checkpoint_failed: bool = False

    @property
    def job(self) -> JobId:
        """Return the id of its job."""
        return self.record.job

    @property
    def need(self) -> Resources:
        """Return what each of its tasks needs."""
        return self.record.profile.shape.per_task

    @property
    def accelerators(self) -> int:
        """Return the accelerators of the whole gang."""
        return len(self.place) * self.need.accelerators

    @property
    def is_borrowed(self) -> bool:
        """Return whether it may be preempted for a claim and is not ending already."""
        return self.standing is Standing.BORROWED and not self.is_leaving

    @property
    def is_safe_to_move(self) -> bool:
        """Return whether preempting it now can't leave its outcome unknown."""
        if self.phase in (Phase.RECLAIMING, Phase.INTENDING) or self.record.profile.idempotent:
            return True
        return self.phase is Phase.RUNNING and not self.any_in(TaskState.SUCCEEDED)

    @property
    def is_leaving(self) -> bool:
        """Return whether it is already giving its workers up."""
        return self.cause is not None or self.phase in LEAVING_PHASES

    def all_in(self, *states: TaskState) -> bool:
        """Return whether every task was last reported in one of these states."""
        return all(task.state in states for task in self.tasks_by_id.values())

    def any_in(self, *states: TaskState) -> bool:
        """Return whether some task was last reported in one of these states."""
        return any(task.state in states for task in self.tasks_by_id.values())

    def enter(self, phase: Phase, now: Seconds, deadline: Seconds = FOREVER) -> None:
        """Go on to another phase."""
        self.phase = phase
        self.phase_since = now
        self.deadline = deadline


LEAVING_PHASES = frozenset({Phase.CHECKPOINTING, Phase.STOPPING, Phase.SETTLING})
TRANSIT_PHASES = frozenset({Phase.STARTING, Phase.ADOPTING, Phase.CHECKPOINTING, Phase.STOPPING})


def make_tasks(job: JobId, attempt: Attempt, place: Placement) -> dict[TaskId, GangTask]:
    """Return the tasks of one attempt by their ids."""
    tasks = (
        GangTask(TaskId(f"{job}/{attempt}/{number}"), worker) for number, worker in enumerate(place)
    )
    return {task.id: task for task in tasks}


class TaskName(msgspec.Struct, frozen=True):
    """The parts of a task id."""

    job: JobId
    attempt: Attempt


def parse_task_id(task: TaskId) -> TaskName | None:
    """Return the parts of a task id, or None if it is not one of ours."""
    parts = task.rsplit("/", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return TaskName(JobId(parts[0]), Attempt(int(parts[1])))


def note_state(task: GangTask, state: TaskState) -> None:
    """Take in a reported state; a final state is never left again."""
    if task.state in FINAL_TASK_STATES:
        return
    task.state = state
    if state is not TaskState.REFUSED and state is not TaskState.STOPPED:
        task.ran = True
