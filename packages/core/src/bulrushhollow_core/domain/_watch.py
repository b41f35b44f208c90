"""
bulrushhollow_core.domain._watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Workers as time passes: leases that have run out, runs that stand still, workers that leave.
"""

import math

from bulrushhollow_core.domain._answers import POLL_RETRY_INTERVAL
from bulrushhollow_core.domain._dispatch import OrderDispatcher
from bulrushhollow_core.domain._fleet import (
    Run,
    RunPhase,
    Worker,
)
from bulrushhollow_core.domain._lasting import spare_tasks
from bulrushhollow_core.domain._losses import Losses
from bulrushhollow_core.domain._scheduler_state import SchedulerState
from bulrushhollow_core.ids import Seconds

FRESH_WITHIN = Seconds(1.6)
"""Seconds since a worker's last word within which its lists count as fresh; one poll's limit."""

STALL_LIMIT = Seconds(3.0)
"""Seconds without progress after which a run is stopped; more than two polls and a restore, and
as long as a member of a gang waits for the others."""

STAYS_LONGER = Seconds(1.5)
"""Seconds that a leaving worker may be hoped to stay beyond what it says; a run without checkpoints
that needs longer is better started anew elsewhere, since its loss shows only with its lease."""

FORGET_AFTER = Seconds(60.0)
"""Seconds of silence after which a worker without runs is forgotten."""


class Watch:
    """Looks after workers."""

    def __init__(self, shared: SchedulerState, dispatch: OrderDispatcher, losses: Losses) -> None:
        """Share the state of the scheduler."""
        self._shared = shared
        self._dispatch = dispatch
        self._losses = losses

    def look_after(self, worker: Worker, now: Seconds) -> None:
        """Let time pass for one worker."""
        if worker.is_at_rest and now - worker.heard_at <= FORGET_AFTER:
            return
        is_ordered = any(run.phase is not RunPhase.PROPOSED for run in worker.runs_by_task.values())
        if is_ordered and worker.lease_is_over(
            self._shared.led_since, self._shared.settings.longest_lease, now
        ):
            self._losses.lose_runs(worker, "its lease has run out", now, is_life_over=False)
            return
        if worker.life in self._shared.gone and worker.silent_since is not None:
            self._losses.lose_runs(worker, "it has left", now)
            return
        if not worker.runs_by_task and now - worker.heard_at > FORGET_AFTER:
            self._shared.forget_worker(worker.life)
            return
        for run in list(worker.runs_by_task.values()):
            self._watch(worker, run, now)
        self._dispatch.resend_stops(worker, now)
        self._dispatch.poll(worker, now)

    def _watch(self, worker: Worker, run: Run, now: Seconds) -> None:
        if run.phase is RunPhase.STOPPING:
            if now >= run.stop_due:
                self._dispatch.send_stop(worker, run, now)
            return
        if run.phase is not RunPhase.RUNNING:
            return
        if worker.leaves_at < math.inf and self._should_move(worker, run, now):
            self._dispatch.log_stop(run, "its worker leaves")
            self._dispatch.stop(worker, run, now)
        elif run.is_waiting or not self._is_fresh(worker, now) or self._shared.is_lasting(run):
            return
        elif now - run.progress_at > STALL_LIMIT:
            self._losses.take_from(worker, run, "a run stands still", now)

    def _is_fresh(self, worker: Worker, now: Seconds) -> bool:
        return worker.silent_since is None and now - worker.heard_at < FRESH_WITHIN

    def _should_move(self, worker: Worker, run: Run, now: Seconds) -> bool:
        """Return whether a run on a leaving worker is better stopped than left to be cut off."""
        job = self._shared.state.jobs_by_id.get(run.task.job)
        if job is None or job.has_ended:
            return False
        step = job.work.steps[run.task.step]
        left = worker.leaves_at - now
        if step.is_long_running:
            # Its next run begins elsewhere at once, where a loss would show with the lease only.
            is_last_moment = left < self._shared.settings.stop_timeout + POLL_RETRY_INTERVAL
            return is_last_moment or spare_tasks(job, run.task.step_ref, self._shared.fleet) > 0
        remaining = run.remaining(now)
        if remaining <= left:
            return False
        if step.is_checkpointable:
            return left < self._shared.settings.stop_timeout + POLL_RETRY_INTERVAL
        return remaining > max(0.0, left) + STAYS_LONGER
