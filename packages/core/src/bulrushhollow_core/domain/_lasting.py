"""
bulrushhollow_core.domain._lasting
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that run until their job is cancelled, and how many of them may be away at the same time.
"""

from collections import Counter

from bulrushhollow_core.domain._fleet import WHOLE, Fleet, Run, RunPhase
from bulrushhollow_core.domain._jobs import Job, StepRef


def is_at_work(run: Run) -> bool:
    """Return whether a lasting task has begun to serve."""
    return run.phase is RunPhase.RUNNING and run.percent >= WHOLE


def spare_tasks(job: Job, ref: StepRef, fleet: Fleet) -> int:
    """
    Return how many tasks of a step may be stopped now.

    :return: as many as the step has if it names no limit.
    """
    step = job.work.steps[ref.step]
    if not step.is_long_running or step.max_unavailable == 0:
        return step.count
    at_work = sum(is_at_work(run) for run in fleet.runs_of(job.id) if run.task.step_ref == ref)
    return max(0, step.max_unavailable - (step.count - at_work))


class StopBudget:
    """
    How many more lasting tasks one plan may stop, step by step.

    :param fleet: where their runs are.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Begin with nothing stopped."""
        self._fleet = fleet
        self._used: Counter[StepRef] = Counter()

    def take(self, job: Job, run: Run) -> bool:
        """Return whether a run may be stopped, and count it if so."""
        ref = run.task.step_ref
        step = job.work.steps[ref.step]
        if not step.is_long_running or step.max_unavailable == 0 or not is_at_work(run):
            return True
        if self._used[ref] >= spare_tasks(job, ref, self._fleet):
            return False
        self._used[ref] += 1
        return True
