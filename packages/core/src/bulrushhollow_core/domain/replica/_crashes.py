"""
bulrushhollow_core.domain.replica._crashes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which tasks crash the workers that start them.

A crash ends every run on its worker, and shows of none whether it was the cause. The loss of a run
is therefore recorded with its job, and counts as a crash once a later life of the worker proves
one. A task is given up after several crashes in a row. Until then it runs apart from other jobs if
it is suspect, so that these are neither lost with it nor suspected in its place.
"""

from collections.abc import Iterator

from bulrushhollow_core.domain.model import MIN_SURVIVAL, Job, Loss, TaskRef, WallTime, WorkerLife
from bulrushhollow_core.ids import Seconds

MAX_CRASHES = 3
"""Workers that may crash under a task before it is given up."""

MAX_UNCERTAIN_CRASHES = 4
"""Workers that may crash under a task before it is given up if not all are known to have started
it: an order without an answer may have reached a worker that was gone already."""

MAX_CRASH_AGE = Seconds(60.0)
"""Longest time, in seconds, that a run may have survived for a crash to be blamed on it."""

ACQUITTAL_FACTOR = 2.0
"""A run that survives this multiple of the time after which an earlier run was lost shows that the
task was not the cause of that loss; see also `ACQUITTAL_MARGIN`."""

ACQUITTAL_MARGIN = Seconds(2.0)
"""Seconds added to that multiple. A worker is last heard up to a poll before it crashes."""

CRASHES_TO_SUSPECT = 2
"""Crashes after which a task is suspect however long its runs survived."""

MAX_ISOLATION = Seconds(10.0)
"""Longest time, in seconds, for which other jobs are kept away from a run: about a whole task."""

EVIDENCE_WAIT = Seconds(15.0)
"""Seconds for which a task with several losses waits for proof that its workers crashed. Workers
return some seconds after a crash."""


def losses_of(job: Job, task: TaskRef) -> Iterator[Loss]:
    """Yield the recorded losses of a task, the oldest first."""
    return (loss for loss in job.losses if loss.task == task)


def crash_count(job: Job, task: TaskRef) -> int:
    """Return the number of workers that are known to have crashed under a task."""
    return len({loss.worker for loss in losses_of(job, task) if loss.has_crashed})


def crashes_workers(job: Job, task: TaskRef) -> bool:
    """Return whether a task has crashed so many workers that it is given up."""
    crashes = [loss for loss in losses_of(job, task) if loss.has_crashed]
    started_on = {each.worker for each in crashes if each.has_started}
    return (
        len(started_on) >= MAX_CRASHES
        or len({each.worker for each in crashes}) >= MAX_UNCERTAIN_CRASHES
    )


def is_suspect(job: Job, task: TaskRef) -> bool:
    """Return whether a task is likely to have crashed a worker, and runs apart from other jobs."""
    crashes = [loss for loss in losses_of(job, task) if loss.has_crashed]
    return len(crashes) >= CRASHES_TO_SUSPECT or any(
        loss.survived < MIN_SURVIVAL for loss in crashes
    )


def isolation_of(job: Job, task: TaskRef) -> Seconds:
    """Return the seconds after which a run has survived longer than the task's losses allow."""
    needed = (_acquitted_after(loss) for loss in losses_of(job, task))
    return min(MAX_ISOLATION, max(needed, default=ACQUITTAL_MARGIN))


def _acquitted_after(loss: Loss) -> Seconds:
    return Seconds(ACQUITTAL_FACTOR * loss.survived + ACQUITTAL_MARGIN)


def awaits_evidence(job: Job, task: TaskRef, wall: WallTime) -> bool:
    """Return whether a task waits for proof that workers which were lost under it have crashed."""
    losses = list(losses_of(job, task))
    return (
        len({loss.worker for loss in losses}) >= MAX_CRASHES
        and not all(loss.has_crashed for loss in losses)
        and wall - losses[-1].lost_at < EVIDENCE_WAIT
    )


def record_loss(job: Job, loss: Loss) -> None:
    """Record that a run was lost with its worker."""
    record_survival(job, loss.task, loss.survived)
    if loss.survived <= MAX_CRASH_AGE:
        job.losses.append(loss)


def drop_losses(job: Job, tasks: set[TaskRef]) -> None:
    """Drop the losses of tasks that are done."""
    job.losses = [loss for loss in job.losses if loss.task not in tasks]


def record_survival(job: Job, task: TaskRef, survived: Seconds) -> None:
    """Drop the losses that a task cannot have caused, as one of its runs survived longer."""
    job.losses = [
        loss for loss in job.losses if loss.task != task or survived <= _acquitted_after(loss)
    ]


def confirm_crash(job: Job, worker: WorkerLife, heard_at: WallTime) -> Iterator[TaskRef]:
    """
    Mark the losses of a job on a worker that has crashed, and yield their tasks.

    :param heard_at: when the worker was last heard; what it lost before that was no crash.
    """
    for loss in job.losses:
        if loss.worker == worker and loss.lost_at >= heard_at and not loss.has_crashed:
            loss.has_crashed = True
            yield loss.task
