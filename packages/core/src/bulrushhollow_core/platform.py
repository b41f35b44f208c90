"""
bulrushhollow_core.platform
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The protocol between the scheduler and the worker platform of one data centre. The holder of the
data centre's lease sends batches of orders with its epoch. The platform refuses an epoch lower than
the highest that it has seen, and reports what has changed since the caller's cursor. A worker whose
lease expires stops all its tasks by itself.
"""

from enum import Enum
from typing import Annotated

import msgspec

from bulrushhollow_core.ids import INT64, Attempt, Epoch, Int64, JobId, RackId, TaskId, WorkerId
from bulrushhollow_core.models import Resources


class TaskState(Enum):
    """State of a task on its worker."""

    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    REFUSED = "refused"


FINAL_TASK_STATES = frozenset(
    {
        TaskState.CHECKPOINTED,
        TaskState.SUCCEEDED,
        TaskState.FAILED,
        TaskState.STOPPED,
        TaskState.REFUSED,
    }
)
"""States in which a task no longer uses any resources of its worker."""


class StartTask(msgspec.Struct, frozen=True, tag="start"):
    """
    Start one task; repeating the order for a task that the worker knows has no effect.

    :param not_after: seconds from receipt after which the worker refuses to start it.
    :param resume: whether to start from the job's last checkpoint.
    """

    worker: WorkerId
    task: TaskId
    job: JobId
    attempt: Attempt
    resources: Resources
    not_after: float
    resume: bool = False
    payload: str = ""


class StopTask(msgspec.Struct, frozen=True, tag="stop"):
    """Stop one task at once; a task that the worker does not know yet will never be started."""

    worker: WorkerId
    task: TaskId


class CheckpointTask(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Write a checkpoint of one task and end it; if the checkpoint fails, the task runs on."""

    worker: WorkerId
    task: TaskId


class ThrottleTask(msgspec.Struct, frozen=True, tag="throttle"):
    """
    Limit the processor share of one task.

    :param share: from 0 to 1; 1 removes the limit.
    """

    worker: WorkerId
    task: TaskId
    share: float


Order = StartTask | StopTask | CheckpointTask | ThrottleTask


class TaskReport(msgspec.Struct, frozen=True):
    """State of one task as its worker reports it; a final state is repeated until acknowledged."""

    task: TaskId
    state: TaskState
    detail: str = ""


class WorkerReport(msgspec.Struct, frozen=True):
    """
    State of one worker as the platform reports it.

    :param capacity: total resources of the worker.
    :param used: measured use, some seconds old; never used for admission.
    :param ready: False while the platform knows the worker to be down.
    """

    worker: WorkerId
    rack: RackId
    capacity: Resources
    used: Resources
    tasks: tuple[TaskReport, ...] = ()
    ready: bool = True


MAX_AMOUNT = 10**9
"""Largest amount of a resource of one worker; sums over all workers must fit into messages."""

MAX_ID_LENGTH = 1024
"""Most characters of the id of a worker; entries of the log name several."""


def find_report_error(report: WorkerReport) -> str:
    """Return why a report names no worker to use, or an empty text if it does."""
    capacity = report.capacity
    amounts = (capacity.accelerators, capacity.cores, capacity.memory_mb)
    if not 1 <= len(report.worker) <= MAX_ID_LENGTH:
        return f"its id has not 1 to {MAX_ID_LENGTH} characters"
    if not all(0 <= amount <= MAX_AMOUNT for amount in amounts):
        return f"an amount of its capacity is not 0 to {MAX_AMOUNT}"
    return ""


class PlatformCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One batch from the holder of the data centre's lease: ``POST /v1/sync`` with a JSON body.

    :param epoch: fencing token of the lease holder.
    :param lease: seconds for which the lease of every worker is renewed on receipt; 0 renews none.
    :param since: cursor of the last answer; 0 requests a report of every worker.
    :param acknowledged: tasks whose final state the caller has recorded.
    :param number: sequence number of the call among those of one holder; the answer repeats it.
    :param valid_until: reading of the platform's clock after which it refuses the call, because the
        call was delayed in transit; 0 sets no limit.
    """

    epoch: Epoch
    lease: float = 0.0
    orders: tuple[Order, ...] = ()
    since: int = 0
    acknowledged: tuple[TaskId, ...] = ()
    number: int = 0
    valid_until: float = 0.0


class PlatformAnswer(msgspec.Struct, frozen=True):
    """
    Answer to a :class:`PlatformCall`.

    :param highest_epoch: highest epoch that the platform has seen; a call with a lower epoch had no
        effect.
    :param fenced: whether the call was refused because of its epoch.
    :param cursor: value for ``since`` in the next call.
    :param workers: workers whose report changed since the caller's cursor.
    :param number: number of the call; 0 if the platform does not repeat it.
    :param clock: reading of the platform's own monotonic clock, in seconds.
    :param late: whether the call was refused because of its ``valid_until``.
    """

    highest_epoch: Annotated[Epoch, INT64]
    fenced: bool
    cursor: Int64
    workers: tuple[WorkerReport, ...] = ()
    number: int = 0
    clock: float = 0.0
    late: bool = False
