"""
bulrushhollow_core.jobs._commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands about jobs in the replicated log. A command of a lease holder carries its epoch as a
fencing token, so that commands of a former holder that are still in flight are refused. Epochs of
different data centres are not comparable, so these commands also name the data centre of the lease.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import Attempt, DataCentreId, Epoch, JobId, WorkerId
from bulrushhollow_core.models import Profile
from bulrushhollow_core.outcomes import Execution, Reason


class JobEnd(Enum):
    """How a job ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RequeueProof(Enum):
    """Why it is safe to run the work of an attempt again."""

    NONE = "none"
    NEVER_STARTED = "never_started"
    CHECKPOINTED = "checkpointed"


class SubmitJob(msgspec.Struct, frozen=True, tag="job_submit"):
    """
    Add a job to the queue of a data centre. Submitting the same job again changes nothing.

    :param profile: the profile as of the time when the job was accepted.
    :param payload: passed on to each task.
    """

    job: JobId
    profile: Profile
    data_centre: DataCentreId
    payload: str = ""


class IntendStart(msgspec.Struct, frozen=True, tag="job_intend_start"):
    """
    Record that an attempt is about to start. Its tasks are started only after the commit.

    :param epoch: fencing token of the lease holder that will start it.
    :param placement: the worker of each task, in the order of task numbers.
    :param data_centre: the data centre of that lease.
    """

    job: JobId
    attempt: Attempt
    epoch: Epoch
    placement: tuple[WorkerId, ...]
    data_centre: DataCentreId


class EndJob(msgspec.Struct, frozen=True, tag="job_end"):
    """
    Record how a job ended.

    :param attempt: the last attempt; 0 for a job that was never started.
    :param execution: whether any task ran, as far as the lease holder knows.
    :param epoch: fencing token of the lease holder.
    :param lease_data_centre: the data centre of that lease.
    """

    job: JobId
    attempt: Attempt
    end: JobEnd
    reason: Reason | None = None
    detail: str = ""
    execution: Execution = Execution.UNKNOWN
    epoch: Epoch | None = None
    lease_data_centre: DataCentreId | None = None


class RequeueJob(msgspec.Struct, frozen=True, tag="job_requeue"):
    """
    Put a started job back into the queue once none of its tasks can run any more. A job that is
    not idempotent is put back only with a proof; without one it ends as unknown.

    :param resume: whether a later attempt starts from a checkpoint.
    :param proof: why running the work again does not repeat it.
    :param blame: whether the job itself is suspected of having caused the loss.
    :param epoch: fencing token of the lease holder.
    :param lease_data_centre: the data centre of that lease.
    """

    job: JobId
    attempt: Attempt
    resume: bool
    reason: Reason | None = None
    proof: RequeueProof = RequeueProof.NONE
    blame: bool = False
    epoch: Epoch | None = None
    lease_data_centre: DataCentreId | None = None


class CancelJob(msgspec.Struct, frozen=True, tag="job_cancel"):
    """Cancel a job. A queued job ends at once, a started job once its tasks are stopped."""

    job: JobId


class MoveJob(msgspec.Struct, frozen=True, tag="job_move"):
    """
    Move a queued job to another data centre.

    :param data_centre: the data centre that the job moves to.
    :param epoch: fencing token of the lease holder that proposes the move; None without a holder.
    :param lease_data_centre: the data centre of that lease, which the job leaves.
    """

    job: JobId
    data_centre: DataCentreId
    epoch: Epoch | None = None
    lease_data_centre: DataCentreId | None = None


JobCommand = SubmitJob | IntendStart | EndJob | RequeueJob | CancelJob | MoveJob
