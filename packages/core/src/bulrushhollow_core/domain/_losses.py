"""
bulrushhollow_core.domain._losses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Workers that are gone or not to be trusted, and what becomes of their runs.
"""

from bulrushhollow_core.domain._commands import (
    Outcome,
)
from bulrushhollow_core.domain._dispatch import OrderDispatcher
from bulrushhollow_core.domain._events import Event, log_event
from bulrushhollow_core.domain._fleet import (
    LATE_ORDERS,
    Run,
    RunPhase,
    Worker,
)
from bulrushhollow_core.domain._scheduler_state import SchedulerState
from bulrushhollow_core.ids import Seconds


class Losses:
    """Ends and moves the runs of workers."""

    def __init__(self, shared: SchedulerState, dispatch: OrderDispatcher) -> None:
        """Share the state of the scheduler."""
        self._shared = shared
        self._dispatch = dispatch

    def lose_runs(
        self, worker: Worker, reason: str, now: Seconds, is_life_over: bool = True
    ) -> None:
        """Count everything on a worker as lost."""
        self._shared.outbox.append(
            log_event(
                Event.WORKER_LOST,
                worker=worker.life.id,
                born=worker.life.born,
                reason=reason,
                runs=len(worker.runs_by_task),
                silent=round(now - worker.heard_at, 3),
            )
        )
        for run in list(worker.runs_by_task.values()):
            if run.phase is not RunPhase.PROPOSED:
                self._shared.end(run.task, run.number, Outcome.LOST, run.saved)
                self._shared.fleet.release(worker, run.task)
        if is_life_over:
            self._shared.gone.add(worker.life)
            self._shared.forget_worker(worker.life)
        self._shared.plan_soon(now)

    def move_runs(self, old: Worker, later: Worker, now: Seconds) -> None:
        """
        Stop the runs of an earlier life in a later one under the same id, since orders name the
        id: a start that was late or repeated may have reached the later life.
        """
        later.expect_lease(self._shared.settings.longest_lease, now)
        later.unanswered_starts = {
            ref: at for ref, at in old.unanswered_starts.items() if now - at < LATE_ORDERS
        }
        later.stops_due = dict.fromkeys(later.unanswered_starts, now)
        self._dispatch.resend_stops(later, now)
        for ref, run in list(old.runs_by_task.items()):
            if run.phase is RunPhase.PROPOSED:
                continue
            self._shared.fleet.release(old, ref)
            run.life = later.life
            run.phase = RunPhase.STOPPING
            self._shared.fleet.place(later, run)
            self._dispatch.send_stop(later, run, now)

    def take_from(self, worker: Worker, run: Run, reason: str, now: Seconds) -> None:
        """Stop a run that its worker does not serve well, and spare the worker for a while."""
        self._shared.avoid(run.task, worker.life)
        if worker.quarantine(now):
            self.note_quarantine(worker, reason, now)
        self._dispatch.log_stop(run, reason)
        self._dispatch.stop(worker, run, now)

    def note_quarantine(self, worker: Worker, reason: str, now: Seconds) -> None:
        """Log that a worker gets nothing for a while."""
        self._shared.outbox.append(
            log_event(
                Event.WORKER_QUARANTINED,
                worker=worker.life.id,
                reason=reason,
                seconds=round(worker.quarantined_until - now, 3),
            )
        )
