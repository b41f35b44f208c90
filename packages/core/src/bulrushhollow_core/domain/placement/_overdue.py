"""
bulrushhollow_core.domain.placement._overdue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Steps that are overdue: nothing of their job has run for some time, although their workspace and
their service had capacity to spare. Reservations, racks and the order of the queue are preferences;
an overdue step is served before all of them, but after steps for which runs were evicted.
"""

from collections.abc import Iterable, Sequence, Set

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import Run
from bulrushhollow_core.domain.model import ServiceName, StepRef, WallTime
from bulrushhollow_core.domain.placement._caps import CapLedger
from bulrushhollow_core.domain.placement._holds import is_known_to_run
from bulrushhollow_core.domain.queueing import WaitingStep
from bulrushhollow_core.ids import Seconds

OVERDUE_AFTER = Seconds(2.0)
"""Seconds for which a step may wait beside spare capacity. It must start within 3 s; the rest is
for the interval between plans, the commit and the start."""

SPARE_LIMIT = 0.55
"""Share in use, of a cap or of a service, below which there is capacity to spare. The promise is
given below half, as observers count; a leader counts starts earlier and ends later than they do."""


class OverdueSteps:
    """Finds the waiting steps that are overdue."""

    def __init__(self) -> None:
        """Start without any waiting step."""
        self._since_by_step: dict[StepRef, Seconds] = {}
        """Since when each step has waited beside spare capacity, without a break."""

    def update(
        self,
        shared: SchedulerState,
        waiting: Iterable[WaitingStep],
        caps: CapLedger,
        busy: Set[ServiceName],
        now: Seconds,
        wall: WallTime,
    ) -> Set[StepRef]:
        """
        Return the overdue steps among the waiting ones.

        :param caps: usage of the workspaces before the plan.
        :param busy: services without capacity to spare.
        """
        idle = [
            waiting_step
            for waiting_step in waiting
            if _has_spare_capacity(shared, waiting_step, caps, busy)
        ]
        # A start that is refused does not begin the wait anew.
        ending = {task.step_ref for task in shared.unrecorded_ends_by_task}
        starting = {
            ref: since
            for ref, since in self._since_by_step.items()
            if _is_starting(shared.fleet.runs_of(ref.job), ref in ending)
        }
        self._since_by_step = starting | {
            waiting_step.ref: self._since_by_step.get(
                waiting_step.ref, _first_seen_since(shared, waiting_step, now, wall)
            )
            for waiting_step in idle
        }
        return {
            waiting_step.ref
            for waiting_step in idle
            if now - self._since_by_step[waiting_step.ref] >= OVERDUE_AFTER
        }


def _is_starting(runs: Sequence[Run], is_ending: bool) -> bool:
    """
    Return whether starts of a step's job are under way, none of which is known to run yet.

    :param is_ending: whether an end of one of the step's tasks is being recorded.
    """
    return (bool(runs) or is_ending) and not any(map(is_known_to_run, runs))


def _first_seen_since(
    shared: SchedulerState, waiting_step: WaitingStep, now: Seconds, wall: WallTime
) -> Seconds:
    """
    Return since when a step that has just become idle counts as idle. A new leader does not know
    how long steps have been idle, so those of earlier jobs count from their submission. If that
    lies ahead of its clock, the clocks differ, and they count as idle for long.
    """
    if now - shared.leading_since >= OVERDUE_AFTER:
        return now
    age = Seconds(wall - waiting_step.job.submitted_at)
    return Seconds(now - (age if age >= 0.0 else OVERDUE_AFTER))


def _has_spare_capacity(
    shared: SchedulerState,
    waiting_step: WaitingStep,
    caps: CapLedger,
    busy: Set[ServiceName],
) -> bool:
    """Return whether nothing of a step's job runs beside spare capacity."""
    job, ref = waiting_step.job, waiting_step.ref
    # Each long-running task must be available, whether others of its job run or not.
    if job.work.steps[ref.step].is_long_running:
        return caps.has_spare_capacity(job.workspace, SPARE_LIMIT)
    return (
        shared.current_queue(job.queue).service not in busy
        and not shared.fleet.has_runs(job.id)
        and caps.has_spare_capacity(job.workspace, SPARE_LIMIT)
    )
