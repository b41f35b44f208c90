"""
bulrushhollow_core.domain.fleet._lasting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Long-running tasks, which run until their job is cancelled, and the disruption budget that limits
how many of them may be unavailable at the same time.
"""

from collections import Counter

from bulrushhollow_core.domain.fleet._fleet import Fleet
from bulrushhollow_core.domain.fleet._runs import COMPLETE_PERCENT, Run, RunPhase
from bulrushhollow_core.domain.model import Job, StepRef


def is_available(run: Run) -> bool:
    """Return whether a long-running task has finished starting up and serves."""
    return run.phase is RunPhase.RUNNING and run.percent >= COMPLETE_PERCENT


def allowed_disruptions(job: Job, ref: StepRef, fleet: Fleet) -> int:
    """Return how many tasks of a step may be stopped now; all of them if the step sets no limit."""
    step = job.work.steps[ref.step]
    if not step.is_long_running or step.max_unavailable == 0:
        return step.count
    available = sum(is_available(run) for run in fleet.runs_of(job.id) if run.task.step_ref == ref)
    return max(0, step.max_unavailable - (step.count - available))


class DisruptionBudget:
    """
    Limits, for each step, how many of its long-running tasks one plan stops.

    :param fleet: workers with the runs of the tasks.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Start with an unused budget."""
        self._fleet = fleet
        self._stops_by_step: Counter[StepRef] = Counter()
        self._allowed_by_step: dict[StepRef, int] = {}

    def try_consume(self, job: Job, run: Run) -> bool:
        """Return whether a run may be stopped, and count it against the budget if so."""
        ref = run.task.step_ref
        step = job.work.steps[ref.step]
        if not step.is_long_running or step.max_unavailable == 0 or not is_available(run):
            return True
        if ref not in self._allowed_by_step:
            self._allowed_by_step[ref] = allowed_disruptions(job, ref, self._fleet)
        if self._stops_by_step[ref] >= self._allowed_by_step[ref]:
            return False
        self._stops_by_step[ref] += 1
        return True
