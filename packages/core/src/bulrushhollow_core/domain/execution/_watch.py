"""
bulrushhollow_core.domain.execution._watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Periodic checks of workers: expired leases, stalled runs, workers that leave, polls that are due.
"""

import math

from bulrushhollow_core.domain.execution._answers import MAX_REPORT_AGE, POLL_RETRY_INTERVAL
from bulrushhollow_core.domain.execution._dispatch import OrderDispatcher
from bulrushhollow_core.domain.execution._losses import WorkerLossHandler
from bulrushhollow_core.domain.execution._scheduler_state import SchedulerState
from bulrushhollow_core.domain.fleet import (
    UNKNOWN_DURATION,
    UNORDERED_PHASES,
    Run,
    RunPhase,
    Worker,
    allowed_disruptions,
)
from bulrushhollow_core.ids import Seconds

MIN_STALL_TIMEOUT = Seconds(3.0)
"""Seconds without progress after which a short run is stopped. Longer than two polls and a restore,
and as long as a member of a gang waits for the others."""

STALL_SHARE = 0.05
"""Share of its duration for which a long run may show no progress. Progress is reported in whole
percent, and estimates of durations are off by half and more."""

UNKNOWN_STALL_TIMEOUT = Seconds(60.0)
"""Seconds without progress after which a run without an estimate is stopped."""

DEPARTURE_GRACE = Seconds(1.5)
"""Seconds that a leaving worker is expected to stay beyond what it announced. A run without
checkpoints that needs longer is restarted elsewhere, since its loss would be noticed only when the
lease expires."""

START_PATIENCE = Seconds(2.0)
"""Seconds from its first order after which a start to a silent worker is given up, however few
repetitions could leave; those of all attempts take a little less."""

FORGET_AFTER = Seconds(60.0)
"""Seconds of silence after which a worker without runs is removed."""


class WorkerMonitor:
    """Checks each worker periodically."""

    def __init__(
        self, shared: SchedulerState, dispatcher: OrderDispatcher, loss_handler: WorkerLossHandler
    ) -> None:
        """Create a monitor for the shared state of the scheduler."""
        self._shared = shared
        self._dispatcher = dispatcher
        self._loss_handler = loss_handler

    def check(self, worker: Worker, now: Seconds) -> None:
        """Handle everything that is due for one worker: losses, stops, polls and its removal."""
        if worker.is_idle and now - worker.last_contact_at <= FORGET_AFTER:
            return
        if self._shared.state.configuration is not None and not self._shared.is_vouched_for(worker):
            # It was recorded before the first configuration, or by an earlier version.
            self._shared.forget_foreign_worker(worker.life)
            return
        has_ordered_runs = any(
            run.phase not in UNORDERED_PHASES for run in worker.runs_by_task.values()
        )
        has_left = worker.life in self._shared.departed_lives
        if has_ordered_runs and worker.has_lease_expired(
            self._shared.leading_since, self._shared.settings.longest_lease, now
        ):
            self._loss_handler.declare_lost(
                worker, "its lease has run out", now, is_life_over=has_left
            )
            return
        # A worker whose departure was not acknowledged to it stays for a while, with its runs.
        if has_left and (worker.has_ended or not has_ordered_runs and worker.is_silent):
            self._loss_handler.declare_lost(worker, "it has left", now)
            return
        if not worker.runs_by_task and now - worker.last_contact_at > FORGET_AFTER:
            self._shared.forget_worker(worker.life)
            return
        for run in list(worker.runs_by_task.values()):
            self._check_run(worker, run, now)
        self._dispatcher.poll(worker, now)

    def _check_run(self, worker: Worker, run: Run, now: Seconds) -> None:
        if worker.is_silent and self._is_start_hopeless(run, now):
            self._dispatcher.give_up_start(run, now)
            return
        if run.phase is not RunPhase.RUNNING:
            return
        if worker.leaves_at < math.inf and self._should_move(worker, run, now):
            self._dispatcher.log_stop(run, "its worker leaves")
            self._dispatcher.stop(worker, run, now)
        elif (
            run.is_awaiting_gang
            or not self._has_current_report(worker, now)
            or self._shared.is_long_running(run)
        ):
            return
        elif now - run.progress_at > _stall_timeout(run) and not self._awaits_members(run):
            self._loss_handler.stop_and_quarantine(worker, run, "a run stands still", now)

    def _is_start_hopeless(self, run: Run, now: Seconds) -> bool:
        """Return whether the order to start a run on a silent worker is to be given up."""
        if run.phase is RunPhase.QUEUED:
            return True
        has_left = run.phase is RunPhase.STARTING and not run.awaits_start_answer
        return has_left and now - run.started_at > START_PATIENCE

    def _has_current_report(self, worker: Worker, now: Seconds) -> bool:
        return worker.silent_since is None and now - worker.listed_at < MAX_REPORT_AGE

    def _awaits_members(self, run: Run) -> bool:
        """Return whether a gang cannot work yet, since a member may not have started."""
        return run.is_gang and any(
            member.phase is not RunPhase.RUNNING
            for member in self._shared.gang_members(run.task, run.number)
        )

    def _should_move(self, worker: Worker, run: Run, now: Seconds) -> bool:
        """Return whether a run on a leaving worker should be stopped before the worker leaves."""
        job = self._shared.state.jobs_by_id.get(run.task.job)
        if job is None or job.has_ended:
            return False
        step = job.work.steps[run.task.step]
        time_left = worker.leaves_at - now
        if step.is_long_running:
            # A stopped run restarts elsewhere at once; a loss shows only when the lease expires.
            is_last_moment = time_left < self._shared.settings.stop_timeout + POLL_RETRY_INTERVAL
            return (
                is_last_moment
                or allowed_disruptions(job, run.task.step_ref, self._shared.fleet) > 0
            )
        remaining = run.remaining(now)
        if remaining <= time_left:
            return False
        if step.is_checkpointable:
            return time_left < self._shared.settings.stop_timeout + POLL_RETRY_INTERVAL
        return remaining > max(0.0, time_left) + DEPARTURE_GRACE


def _stall_timeout(run: Run) -> Seconds:
    """Return the seconds without progress after which a run counts as stalled."""
    if run.duration == UNKNOWN_DURATION:
        return UNKNOWN_STALL_TIMEOUT
    return Seconds(max(MIN_STALL_TIMEOUT, STALL_SHARE * run.duration))
