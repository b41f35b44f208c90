"""
bulrushhollow_core.domain.placement._running_work
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The runs of all workers as one plan sees them: which may be evicted at what cost, and when they end.
"""

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import DisruptionBudget, ExpectedEnd, Run, RunPhase
from bulrushhollow_core.domain.model import RunNumber, StepRef, WallTime, core_equivalents
from bulrushhollow_core.domain.placement._delay_cost import DelayPricer
from bulrushhollow_core.domain.placement._demands import NO_LOSS, Victim
from bulrushhollow_core.domain.queueing import priority_of
from bulrushhollow_core.ids import JobId, Seconds


class RunningWork:
    """
    The runs that take resources while one plan is made.

    :param pricer: prices of delays; None while they have none.
    """

    def __init__(
        self, shared: SchedulerState, pricer: DelayPricer | None, now: Seconds, wall: WallTime
    ) -> None:
        """Create a view of the runs at the present time."""
        self._shared = shared
        self._pricer = pricer
        self._now = now
        self._wall = wall

    def find_victims(self, guaranteed: set[JobId]) -> list[Victim]:
        """
        Return the runs that may be evicted; the members of a gang are one victim.

        :param guaranteed: jobs that fit into their workspaces' guarantees.
        """
        runs_by_unit: dict[tuple[object, ...], list[Run]] = {}
        for run in self._shared.runs():
            job = self._shared.state.jobs_by_id.get(run.task.job)
            if (
                job is None
                or job.has_ended
                or run.phase not in (RunPhase.RUNNING, RunPhase.STARTING, RunPhase.QUEUED)
            ):
                continue
            unit = (run.task.step_ref if run.is_gang else run.task, run.number)
            runs_by_unit.setdefault(unit, []).append(run)
        budget = DisruptionBudget(self._shared.fleet)
        return [
            self._build_victim(runs, guaranteed)
            for runs in runs_by_unit.values()
            # Stopping a run that is about to end would not free its resources any earlier.
            if not all(self._shared.ends_soon(run, self._now) for run in runs)
            and budget.try_consume(self._shared.state.jobs_by_id[runs[0].task.job], runs[0])
        ]

    def _build_victim(self, runs: list[Run], guaranteed: set[JobId]) -> Victim:
        job = self._shared.state.jobs_by_id[runs[0].task.job]
        has_checkpoints = job.work.steps[runs[0].task.step].is_checkpointable
        lost_work = sum(
            core_equivalents(run.needs)
            * (
                self._shared.settings.restore_time
                if has_checkpoints
                else self._now - run.started_at
            )
            for run in runs
        )
        is_guaranteed = job.id in guaranteed
        priority = self._shared.shares.adjust(
            job.id, priority_of(job, runs[0].task.occurrence, is_guaranteed, self._wall)
        )
        loss = NO_LOSS
        if self._pricer is not None:
            loss = self._pricer.loss_of_eviction(job, runs, self._count_preemptions(runs[0]))
        return Victim(
            runs,
            job.queue.urgency,
            priority,
            is_guaranteed,
            lost_work,
            workspace=job.workspace,
            loss=loss,
        )

    def _count_preemptions(self, run: Run) -> int:
        """Return how many earlier runs of a task or a gang ended other than by a failure."""
        record = self._shared.state.find_step(run.task)
        if record is None:
            return 0
        failures = record.failures if run.is_gang else record.tasks[run.task.member].failures
        return max(0, run.number - 1 - failures)

    def expected_ends(self) -> list[ExpectedEnd]:
        """
        Return when runs are expected to end. On an uneven fleet, where gangs wait for such ends,
        long-running ones have none. On an even one they only delay reservations.
        """
        expected_ends = []
        is_uneven = self._shared.speeds.is_uneven
        gang_ends_by_run = self._gang_ends() if is_uneven else {}
        for run in self._shared.runs():
            job = self._shared.state.jobs_by_id.get(run.task.job)
            if job is None or not job.work.steps:
                continue
            if is_uneven and job.work.steps[run.task.step].is_long_running:
                continue
            at = Seconds(self._now + max(0.0, run.remaining(self._now)))
            at = gang_ends_by_run.get((run.task.step_ref, run.number), at)
            expected_ends.append(ExpectedEnd(run.life, run.needs, at))
        return expected_ends

    def _gang_ends(self) -> dict[tuple[StepRef, RunNumber], Seconds]:
        """Return when the slowest member of each running gang is expected to end."""
        ends_by_run: dict[tuple[StepRef, RunNumber], Seconds] = {}
        for run in self._shared.runs():
            if run.is_gang:
                key = (run.task.step_ref, run.number)
                at = Seconds(self._now + max(0.0, run.remaining(self._now)))
                ends_by_run[key] = max(at, ends_by_run.get(key, at))
        return ends_by_run
