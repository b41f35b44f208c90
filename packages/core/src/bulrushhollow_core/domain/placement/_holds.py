"""
bulrushhollow_core.domain.placement._holds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Why a task whose turn has come is not among those that wait: what it is held by, and for how long.
"""

import math
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import LATE_ORDER_WINDOW, Run, RunPhase
from bulrushhollow_core.domain.model import Job, StepRef, TaskRef, TaskState, WallTime
from bulrushhollow_core.domain.replica import EVIDENCE_WAIT, awaits_evidence, losses_of
from bulrushhollow_core.ids import Seconds

UNKNOWN_TIME = Seconds(-1.0)
"""Seconds until a hold ends of which that is not known."""


class HoldKind(Enum):
    """What holds a task whose turn has come."""

    PROPOSED_START = "proposed_start"
    """Its start is proposed to the log and not yet committed."""
    STARTING = "starting"
    """Its start was ordered, and the worker has not answered yet."""
    ADOPTED = "adopted"
    """An earlier leader recorded its run, which its worker has not listed yet."""
    STOPPING = "stopping"
    """Its run is being stopped before it was known to run."""
    LOST = "lost"
    """Its run was lost with its worker, whose lease has not run out yet."""
    RECORDED = "recorded"
    """It is recorded as active, and the leader knows no run of it."""
    END_UNRECORDED = "end_unrecorded"
    """An end of its run is to be recorded and not yet committed."""
    LATE_START = "late_start"
    """A start of it went unanswered and may still be carried out."""
    EVIDENCE = "evidence"
    """It waits for proof that the workers which were lost under it have crashed."""
    UNKNOWN = "unknown"
    """Nothing that is known holds it."""


class Hold(NamedTuple):
    """
    What holds a task.

    :param left: seconds until it ends; `UNKNOWN_TIME` if that is not known.
    :param worker: worker of the run that holds it; empty for none.
    """

    kind: HoldKind
    left: Seconds = UNKNOWN_TIME
    worker: str = ""


NO_KNOWN_HOLD = Hold(HoldKind.UNKNOWN)
"""Hold of a step of which no task is known to be held."""

_KINDS_BY_PHASE = {
    RunPhase.PROPOSED: HoldKind.PROPOSED_START,
    RunPhase.QUEUED: HoldKind.STARTING,
    RunPhase.STARTING: HoldKind.STARTING,
    RunPhase.ADOPTED: HoldKind.ADOPTED,
    RunPhase.STOPPING: HoldKind.STOPPING,
}


def is_known_to_run(run: Run) -> bool:
    """Return whether a worker has accepted or listed a run, and was not lost with it since."""
    has_been_accepted = run.phase is RunPhase.RUNNING or run.accepted_at < math.inf
    return run.loss is None and (has_been_accepted or run.has_been_listed)


def find_hold(
    shared: SchedulerState,
    job: Job,
    ref: StepRef,
    task_indexes: Iterable[int],
    now: Seconds,
    wall: WallTime,
) -> Hold:
    """Return what holds the first task of a step that is held."""
    holds = (_hold_of(shared, job, ref.task(index), now, wall) for index in task_indexes)
    return next((hold for hold in holds if hold is not None), NO_KNOWN_HOLD)


def _hold_of(
    shared: SchedulerState, job: Job, task: TaskRef, now: Seconds, wall: WallTime
) -> Hold | None:
    run = next((run for run in shared.fleet.runs_of(job.id) if run.task == task), None)
    if run is not None:
        kind = _KINDS_BY_PHASE.get(run.phase, HoldKind.UNKNOWN)
        return Hold(HoldKind.LOST if run.loss is not None else kind, worker=run.life.id)
    record = shared.state.find_task(task)
    if task in shared.unrecorded_ends_by_task:
        return Hold(HoldKind.END_UNRECORDED)
    if record is not None and record.state is TaskState.ACTIVE:
        return Hold(HoldKind.RECORDED, worker=record.worker.id if record.worker else "")
    late_until = _late_start_until(shared, task, now)
    if late_until > now:
        return Hold(HoldKind.LATE_START, Seconds(late_until - now))
    if job.losses and awaits_evidence(job, task, wall):
        lost_at = max(loss.lost_at for loss in losses_of(job, task))
        return Hold(HoldKind.EVIDENCE, Seconds(lost_at + EVIDENCE_WAIT - wall))
    return None


def _late_start_until(shared: SchedulerState, task: TaskRef, now: Seconds) -> Seconds:
    """Return until when a start of a task that went unanswered may still be carried out."""
    hold = shared.start_holds.get(task)
    ends = [hold.until if hold is not None else now]
    for worker in shared.fleet.workers_by_life.values():
        ends += [at for ref, at in worker.accepted_stops.items() if ref.task == task]
        ends += [
            Seconds(worker.unanswered_starts[ref].timed_out_at + LATE_ORDER_WINDOW)
            for ref in worker.pending_stops
            if ref.task == task
        ]
    return max(ends)
