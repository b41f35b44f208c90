"""
bulrushhollow_core.jobs._runs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of one attempt of a job, from the allocation of its workers to the end of its last task.
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

NO_DEADLINE = Seconds(float("inf"))

MAX_DIGITS = 18
"""Most digits of the number of an attempt in the id of a task; ids come from the platform."""


class Phase(Enum):
    """
    The phase of an attempt.

    RECLAIMING waits for preempted work to leave the workers. COMMITTING_START waits for the log to
    commit the start. STARTING and ADOPTING wait for reports of all tasks. CHECKPOINTING and
    STOPPING wait for all tasks to end. COMMITTING_END has no task left and waits for the log to
    commit the outcome.
    """

    RECLAIMING = "reclaiming"
    COMMITTING_START = "intending"
    STARTING = "starting"
    ADOPTING = "adopting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    STOPPING = "stopping"
    COMMITTING_END = "settling"


class AllocationKind(Enum):
    """
    How an attempt holds its workers.

    A GUARANTEED attempt claims a slot of a guarantee. A NON_PREEMPTIBLE attempt uses only
    capacity beyond all guarantees. A PREEMPTIBLE attempt may also use capacity that
    is kept for guarantees, and is the only kind that is preempted.
    """

    GUARANTEED = "claim"
    NON_PREEMPTIBLE = "firm"
    PREEMPTIBLE = "borrowed"


class Cause(Enum):
    """Why an attempt is ended before all of its tasks have succeeded."""

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

    :param state: last reported state; None before the first report.
    :param may_have_run: whether it was ever reported in a state in which it may have run.
    :param is_released: whether its capacity on the worker was released.
    :param checkpoint_requested_at: when a checkpoint was last requested.
    :param is_throttled: whether its processor share was limited after a failed checkpoint.
    """

    id: TaskId
    worker: WorkerId
    state: TaskState | None = None
    may_have_run: bool = False
    is_released: bool = False
    checkpoint_requested_at: Seconds = Seconds(float("-inf"))
    is_throttled: bool = False


class Run(msgspec.Struct):
    """
    One attempt of a job.

    :param record: the job as of the last log entry about it.
    :param placement: the worker of each task.
    :param slot: the slot of a guarantee that it claims, if any.
    :param phase_since: when it entered its phase.
    :param deadline: when the phase times out.
    :param running_since: when all tasks were first reported as running.
    :param cause: why it is ended early, if it is.
    :param proposal: the command that waits for the log, if any.
    :param proposed_at: when that command was last proposed.
    :param start_sent: whether any start order may have been sent.
    :param reserved_at: when its workers were allocated.
    :param lost_early: whether it lost a worker soon after its start.
    :param is_job_suspect: whether the job itself is suspected of having caused the loss.
    :param checkpoint_failed: whether a checkpoint of the job has failed before.
    """

    record: JobRecord
    attempt: Attempt
    placement: Placement
    allocation: AllocationKind
    phase: Phase
    phase_since: Seconds
    slot: GuaranteeSlotKey | None = None
    tasks_by_id: dict[TaskId, GangTask] = {}
    deadline: Seconds = NO_DEADLINE
    running_since: Seconds | None = None
    cause: Cause | None = None
    detail: str = ""
    proposal: JobCommand | None = None
    proposed_at: Seconds = Seconds(0.0)
    start_sent: bool = False
    reserved_at: Seconds = Seconds(0.0)
    lost_early: bool = False
    is_job_suspect: bool = False
    checkpoint_failed: bool = False

    @property
    def job(self) -> JobId:
        """Return the id of the job."""
        return self.record.job

    @property
    def per_task(self) -> Resources:
        """Return the resources that each task needs."""
        return self.record.profile.shape.per_task

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators that all tasks hold together."""
        return len(self.placement) * self.per_task.accelerators

    @property
    def is_preemptible(self) -> bool:
        """Return whether it may be preempted and is not terminating already."""
        return self.allocation is AllocationKind.PREEMPTIBLE and not self.is_terminating

    @property
    def is_safe_to_preempt(self) -> bool:
        """Return whether preempting it now can't leave its outcome unknown."""
        if (
            self.phase in (Phase.RECLAIMING, Phase.COMMITTING_START)
            or self.record.profile.idempotent
        ):
            return True
        return self.phase is Phase.RUNNING and not self.any_task_in(TaskState.SUCCEEDED)

    @property
    def is_terminating(self) -> bool:
        """Return whether it is being ended, so that it will release its workers."""
        return self.cause is not None or self.phase in TERMINATING_PHASES

    def all_tasks_in(self, *states: TaskState) -> bool:
        """Return whether every task was last reported in one of these states."""
        return all(task.state in states for task in self.tasks_by_id.values())

    def any_task_in(self, *states: TaskState) -> bool:
        """Return whether some task was last reported in one of these states."""
        return any(task.state in states for task in self.tasks_by_id.values())

    def enter_phase(self, phase: Phase, now: Seconds, deadline: Seconds = NO_DEADLINE) -> None:
        """Enter a phase and set its deadline."""
        self.phase = phase
        self.phase_since = now
        self.deadline = deadline


TERMINATING_PHASES = frozenset({Phase.CHECKPOINTING, Phase.STOPPING, Phase.COMMITTING_END})
TRANSITIONAL_PHASES = frozenset(
    {Phase.STARTING, Phase.ADOPTING, Phase.CHECKPOINTING, Phase.STOPPING}
)


def build_tasks(job: JobId, attempt: Attempt, placement: Placement) -> dict[TaskId, GangTask]:
    """Return the tasks of one attempt by id."""
    tasks = (
        GangTask(TaskId(f"{job}/{attempt}/{number}"), worker)
        for number, worker in enumerate(placement)
    )
    return {task.id: task for task in tasks}


class AttemptKey(msgspec.Struct, frozen=True):
    """Identifies an attempt of a job."""

    job: JobId
    attempt: Attempt


def parse_task_id(task: TaskId) -> AttemptKey | None:
    """Return the attempt that a task id belongs to, or None if the id has another format."""
    parts = task.rsplit("/", 2)
    if len(parts) != 3 or not _is_short_number(parts[1]):
        return None
    return AttemptKey(JobId(parts[0]), Attempt(int(parts[1])))


def _is_short_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def update_task_state(task: GangTask, state: TaskState) -> None:
    """Apply a reported state, unless the task is already in a final state."""
    if task.state in FINAL_TASK_STATES:
        return
    task.state = state
    if state is not TaskState.REFUSED and state is not TaskState.STOPPED:
        task.may_have_run = True
