"""
bulrushhollow_core.jobs._outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides the outcome of an attempt of which no task can run any more: the job ends or is queued
again.
"""

from bulrushhollow_core.ids import Epoch
from bulrushhollow_core.jobs._commands import EndJob, JobEnd, RequeueJob, RequeueProof
from bulrushhollow_core.jobs._runs import Cause, Run
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.outcomes import Execution, Reason
from bulrushhollow_core.platform import TaskState

REASONS_BY_CAUSE = {
    Cause.CANCELLED: Reason.CANCELLED,
    Cause.RUN_LIMIT: Reason.RUN_LIMIT,
    Cause.TASK_FAILED: Reason.TASK_FAILED,
    Cause.WORKER_LOST: Reason.WORKER_LOST,
}

COMPLETED_STATES = (TaskState.CHECKPOINTED, TaskState.SUCCEEDED)


def decide_outcome(run: Run, epoch: Epoch, settings: SchedulerSettings) -> EndJob | RequeueJob:
    """
    Return the command that ends a job or queues it again after an attempt.

    :param run: an attempt whose tasks are all released.
    :param epoch: fencing token of the holder.
    """
    if run.all_tasks_in(TaskState.SUCCEEDED):
        return _end(run, epoch, JobEnd.SUCCEEDED)
    if run.record.cancelled or run.cause is Cause.CANCELLED:
        return _end(run, epoch, JobEnd.CANCELLED)
    if run.cause is Cause.RUN_LIMIT:
        return _end(run, epoch, JobEnd.FAILED)
    if _never_started(run):
        return _requeue_or_fail(run, epoch, settings, RequeueProof.NEVER_STARTED)
    if run.all_tasks_in(TaskState.CHECKPOINTED) or (
        _is_idempotent(run) and run.all_tasks_in(*COMPLETED_STATES)
    ):
        return _requeue(run, epoch, RequeueProof.CHECKPOINTED, resume=True)
    if _is_idempotent(run):
        return _requeue_or_fail(run, epoch, settings, RequeueProof.NONE)
    if run.any_task_in(TaskState.FAILED):
        return _end(run, epoch, JobEnd.FAILED)
    return _end(run, epoch, JobEnd.UNKNOWN)


def execution_of(run: Run) -> Execution:
    """Return whether any task of an attempt ran, according to the reports."""
    if _never_started(run):
        return Execution.NOT_RUN
    if any(task.may_have_run for task in run.tasks_by_id.values()):
        return Execution.RAN
    return Execution.UNKNOWN


def _is_idempotent(run: Run) -> bool:
    return run.record.profile.idempotent


def _never_started(run: Run) -> bool:
    return not run.start_sent or run.all_tasks_in(TaskState.REFUSED)


def _requeue_or_fail(
    run: Run, epoch: Epoch, settings: SchedulerSettings, proof: RequeueProof
) -> EndJob | RequeueJob:
    blame = run.is_job_suspect
    if run.record.failures + blame >= settings.failure_limit:
        return _end(run, epoch, JobEnd.FAILED)
    if run.attempt >= settings.attempt_limit:
        return _end(run, epoch, JobEnd.FAILED)
    return _requeue(run, epoch, proof, resume=run.record.resume, blame=blame)


def _requeue(
    run: Run, epoch: Epoch, proof: RequeueProof, resume: bool, blame: bool = False
) -> RequeueJob:
    return RequeueJob(
        job=run.job,
        attempt=run.attempt,
        resume=resume,
        reason=_reason_for(run),
        proof=proof,
        blame=blame,
        epoch=epoch,
        lease_data_centre=run.record.data_centre,
    )


def _end(run: Run, epoch: Epoch, end: JobEnd) -> EndJob:
    has_succeeded = end is JobEnd.SUCCEEDED
    return EndJob(
        job=run.job,
        attempt=run.attempt,
        end=end,
        reason=None if has_succeeded else _reason_for(run),
        detail=run.detail,
        execution=execution_of(run),
        epoch=epoch,
        lease_data_centre=run.record.data_centre,
    )


def _reason_for(run: Run) -> Reason | None:
    if run.cause is None:
        return None
    return REASONS_BY_CAUSE.get(run.cause)
