"""
bulrushhollow_core.domain.execution._losses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles workers that are lost or untrustworthy, and their runs.
"""

from enum import Enum

from bulrushhollow_core.domain.execution._dispatch import OrderDispatcher, start_key
from bulrushhollow_core.domain.execution._scheduler_state import SchedulerState
from bulrushhollow_core.domain.execution._start_holds import StartEvidence
from bulrushhollow_core.domain.fleet import (
    LATE_ORDER_WINDOW,
    UNORDERED_PHASES,
    Run,
    RunPhase,
    RunRef,
    UnansweredStart,
    Worker,
)
from bulrushhollow_core.domain.model import Availability, Event, Outcome, TaskRef, log_event
from bulrushhollow_core.ids import Seconds

MAX_BLAMED_WORKERS = 3
"""Workers that are blamed for one task that stalls or is slow; after that the task is."""


class LossCause(Enum):
    """Why a worker lost its runs."""

    CRASHED = "crashed"
    """A later life took its id or address, and it had not announced that it would leave."""
    DEPARTED = "departed"
    """It left as it had announced."""
    SILENT = "silent"
    """Its lease has run out; it may have crashed or only be out of reach."""


EVIDENCE_BY_CAUSE = {
    LossCause.CRASHED: StartEvidence.REFUSED_BY_KNOWN_LIVES,
    LossCause.DEPARTED: StartEvidence.NONE,
    LossCause.SILENT: StartEvidence.LEASE_EXPIRED,
}
"""What the loss of a worker shows about starts that it has not answered."""


class WorkerLossHandler:
    """Ends, transfers and stops the runs of workers that are lost or untrustworthy."""

    def __init__(self, shared: SchedulerState, dispatcher: OrderDispatcher) -> None:
        """Create a handler for the shared state of the scheduler."""
        self._shared = shared
        self._dispatcher = dispatcher

    def declare_lost(
        self, worker: Worker, reason: str, now: Seconds, is_life_over: bool = True
    ) -> None:
        """
        Propose the end of every run on a worker as lost.

        :param is_life_over: whether this life of the worker has ended, so that it is forgotten.
        """
        self._shared.log_worker_event(
            Event.WORKER_LOST,
            worker,
            reason=reason,
            runs=len(worker.runs_by_task),
            silent=round(now - worker.last_contact_at, 3),
            led=round(now - self._shared.leading_since, 3),
        )
        cause = self._cause_of_loss(worker, is_life_over)
        self._propose_crash(worker, cause, now)
        for run in list(worker.runs_by_task.values()):
            if run.phase is RunPhase.QUEUED:
                self._dispatcher.withdraw_start(worker, run)
            elif run.phase is not RunPhase.PROPOSED:
                self._shared.orders.withdraw(start_key(run))
                self._log_lost_run(worker, run, cause)
                if cause is not LossCause.DEPARTED:
                    run.lose()
                if cause is not LossCause.CRASHED and run.awaits_start_answer:
                    worker.record_unanswered_start(run, now)
                self._shared.propose_end_of(
                    run, Outcome.LOST, run.checkpoint, now, EVIDENCE_BY_CAUSE[cause]
                )
                self._shared.fleet.release(worker, run.task)
        if is_life_over:
            self._shared.departed_lives.add(worker.life)
            self._shared.forget_worker(worker.life)
        self._shared.request_plan(now)

    def transfer_runs(self, earlier: Worker, later: Worker, now: Seconds) -> None:
        """
        Transfer the runs of an earlier life to a later one under the same id, and stop them there.

        Orders name only the id, so a late or repeated start may have reached the later life.
        """
        cause = self._cause_of_loss(earlier, is_life_over=True)
        self._propose_crash(earlier, cause, now)
        later.assume_lease(self._shared.settings.longest_lease, now)
        late_starts = {
            ref: start
            for ref, start in earlier.unanswered_starts.items()
            if now - start.timed_out_at < LATE_ORDER_WINDOW
        }
        in_flight = {
            RunRef(run.task, run.number): UnansweredStart(now, run.needs)
            for run in earlier.runs_by_task.values()
            if run.awaits_start_answer
        }
        later.inherited_starts |= in_flight.keys() - late_starts.keys()
        late_starts |= in_flight
        later.unanswered_starts.update(late_starts)
        later.pending_stops.update(late_starts)
        self._dispatcher.put_pending_stops(later, now)
        for ref, run in list(earlier.runs_by_task.items()):
            if run.phase is RunPhase.PROPOSED:
                continue
            if run.phase is RunPhase.QUEUED:
                self._dispatcher.withdraw_start(earlier, run)
                continue
            self._shared.orders.withdraw(start_key(run))
            self._log_lost_run(earlier, run, cause)
            if cause is LossCause.CRASHED:
                run.lose()
            self._shared.fleet.release(earlier, ref)
            run.life = later.life
            run.is_transferred = True
            run.phase = RunPhase.STOPPING
            run.awaits_start_answer = False
            self._shared.fleet.place(later, run)
            self._dispatcher.put_stop(later.life, RunRef(run.task, run.number), now)

    def _cause_of_loss(self, worker: Worker, is_life_over: bool) -> LossCause:
        announcement = worker.announcement
        is_leaving = (
            worker.life in self._shared.departed_lives
            or worker.life in self._shared.state.draining_workers
            or (announcement is not None and announcement.availability is Availability.DRAINING)
        )
        if is_leaving:
            return LossCause.DEPARTED
        return LossCause.CRASHED if is_life_over else LossCause.SILENT

    def _propose_crash(self, worker: Worker, cause: LossCause, now: Seconds) -> None:
        """Propose to record a crash if it shows why runs were lost."""
        if cause is not LossCause.CRASHED:
            return
        self._shared.fleet.record_crash(worker, now)
        is_proposed = worker in self._shared.pending_crashes
        has_runs = any(run.phase not in UNORDERED_PHASES for run in worker.runs_by_task.values())
        if not is_proposed and (has_runs or self._shared.state.jobs_lost_with(worker.life)):
            self._shared.pending_crashes.append(worker)

    def _log_lost_run(self, worker: Worker, run: Run, cause: LossCause) -> None:
        ordered = [
            other
            for other in worker.runs_by_task.values()
            if other.phase not in UNORDERED_PHASES and other.task.job != run.task.job
        ]
        self._shared.log_worker_event(
            Event.RUN_LOST,
            worker,
            task=run.task,
            run=run.number,
            cause=cause.value,
            survived=round(run.survived, 3),
            tries=run.start_attempts,
            runs_of_other_jobs=len(ordered),
            term=self._shared.term,
        )

    def may_blame_worker(self, task: TaskRef) -> bool:
        """Return whether another worker may be blamed for a task that stalls or is slow there."""
        blamed_workers = self._shared.blamed_workers_by_task.get(task, ())
        return len(blamed_workers) < MAX_BLAMED_WORKERS

    def stop_and_quarantine(self, worker: Worker, run: Run, reason: str, now: Seconds) -> None:
        """Stop a stalled or slow run; quarantine its worker unless the task itself is to blame."""
        if self.may_blame_worker(run.task):
            self._shared.blamed_workers_by_task.setdefault(run.task, set()).add(worker.life)
            self._shared.exclude_worker(run.task, worker.life, now)
            if worker.quarantine(now):
                self.log_quarantine(worker, reason, now)
        self._dispatcher.log_stop(run, reason)
        self._dispatcher.stop(worker, run, now)

    def log_quarantine(self, worker: Worker, reason: str, now: Seconds) -> None:
        """Log that a worker is quarantined."""
        self._shared.outbox.append(
            log_event(
                Event.WORKER_QUARANTINED,
                worker=worker.life.id,
                reason=reason,
                seconds=round(worker.quarantined_until - now, 3),
            )
        )
