"""
bulrushhollow_core.domain._answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What workers answer to orders, and what they list.
"""

import math

from bulrushhollow_core.domain._commands import (
    Outcome,
)
from bulrushhollow_core.domain._dispatch import OrderDispatcher
from bulrushhollow_core.domain._events import Event, log_event
from bulrushhollow_core.domain._fleet import (
    Run,
    RunPhase,
    RunRef,
    Worker,
)
from bulrushhollow_core.domain._jobs import RunNumber, TaskRef
from bulrushhollow_core.domain._losses import Losses
from bulrushhollow_core.domain._orders import (
    ListedEnd,
    ListedRun,
    OrderResult,
    OrderStop,
    PollAnswered,
    StartAnswered,
    StopAnswered,
)
from bulrushhollow_core.domain._scheduler_state import SchedulerState
from bulrushhollow_core.ids import Seconds

POLL_RETRY_INTERVAL = Seconds(0.3)
"""Seconds between two polls of a worker that does not answer."""

IDLE_POLL_RETRY_INTERVAL = Seconds(1.0)
"""Seconds between two polls of a silent worker on which nothing runs."""

STOP_MARGIN = Seconds(0.1)
"""Seconds added to the longest time of a stop, for late timers."""

MAX_START_TRIES = 3
"""Orders to start one run that may go unanswered before the run is given up; a gang's other
members wait for it meanwhile."""

NO_ROOM_BACKOFF = Seconds(0.5)
"""Seconds for which a worker that refused for want of room gets nothing."""

UNHEALTHY_BACKOFF = Seconds(2.0)
"""Seconds for which a worker that refused as unhealthy gets nothing; some heartbeats."""

MAX_LISTED_ENDS = 500
"""Ends that a worker lists in one answer; a full list may leave some out."""


class OrderAnswerHandler:
    """Takes in answers."""

    def __init__(self, shared: SchedulerState, dispatcher: OrderDispatcher, losses: Losses) -> None:
        """Share the state of the scheduler."""
        self._shared = shared
        self._dispatcher = dispatcher
        self._losses = losses

    def handle_start_answer(self, answer: StartAnswered, now: Seconds) -> None:
        """Take in what came of an order to start."""
        worker = self._shared.fleet.get(answer.life)
        run = worker.runs_by_task.get(answer.task) if worker else None
        if worker is None or run is None or run.number != answer.run:
            return
        if answer.clock is not None:
            worker.note_contact(answer.clock, self._shared.settings.longest_lease, now)
            worker.heard_at = now
        if run.phase is not RunPhase.STARTING:
            return
        self._shared.outbox.append(
            log_event(
                Event.START_ANSWERED,
                task=answer.task,
                run=answer.run,
                worker=answer.life.id,
                result=answer.result.value,
                tries=run.tries,
                waited=round(now - run.begun_at, 3),
            )
        )
        match answer.result:
            case OrderResult.ACCEPTED:
                run.begin(now, is_fresh=not self._shared.saved_of(run.task))
            case OrderResult.OTHER_LIFE:
                self._losses.lose_runs(worker, "another life answered", now)
            case OrderResult.FENCED:
                pass
            case OrderResult.NO_ANSWER | OrderResult.LATE if run.tries < MAX_START_TRIES:
                self._record_unanswered_start(worker, run, answer.result, now)
                self._dispatcher.send_start(worker, run, now)
            case OrderResult.NO_ANSWER:
                self._record_unanswered_start(worker, run, answer.result, now)
                worker.silent_since = worker.silent_since or now
                self._dispatcher.stop(worker, run, now)
            case _:
                self._handle_refused_start(worker, run, answer.result, now)

    def _record_unanswered_start(
        self, worker: Worker, run: Run, result: OrderResult, now: Seconds
    ) -> None:
        """Remember a start that may be carried out later, perhaps in a later life."""
        if result is OrderResult.NO_ANSWER:
            worker.unanswered_starts[RunRef(run.task, run.number)] = now

    def _handle_refused_start(
        self, worker: Worker, run: Run, result: OrderResult, now: Seconds
    ) -> None:
        if result is OrderResult.NO_TICKET:
            self._shared.advice.invalidate_ticket(run.task.step_ref, worker.life)
        else:
            wait = UNHEALTHY_BACKOFF if result is OrderResult.UNHEALTHY else NO_ROOM_BACKOFF
            worker.no_room_until = Seconds(now + wait)
        self._shared.fleet.release(worker, run.task)
        self._shared.end(run.task, run.number, Outcome.NEVER_STARTED)

    def handle_stop_answer(self, answer: StopAnswered, now: Seconds) -> None:
        """Take in what came of an order to stop."""
        worker = self._shared.fleet.get(answer.life)
        if worker is None:
            return
        if answer.clock is not None:
            worker.note_contact(answer.clock, self._shared.settings.longest_lease, now)
            worker.heard_at = now
        if answer.result is OrderResult.OTHER_LIFE:
            self._losses.lose_runs(worker, "another life answered", now)
            return
        if answer.result is OrderResult.ACCEPTED:
            ref = RunRef(answer.task, answer.run)
            if worker.stops_due.pop(ref, None) is not None:
                over = now + self._shared.settings.stop_timeout + STOP_MARGIN
                worker.stops_over[ref] = Seconds(over)
        run = worker.runs_by_task.get(answer.task)
        if run is None or run.number != answer.run or answer.result is not OrderResult.ACCEPTED:
            return
        run.stop_due = Seconds(math.inf)
        run.stop_answered_at = now
        worker.poll_due = min(worker.poll_due, now)

    def handle_poll_answer(self, answer: PollAnswered, now: Seconds) -> None:
        """Take in what a worker runs and what has ended there."""
        worker = self._shared.fleet.get(answer.life)
        if worker is None:
            return
        worker.is_polled = False
        worker.poll_due = now
        if answer.result is OrderResult.OTHER_LIFE:
            if answer.successor is not None and answer.clock is not None:
                later = self._shared.fleet.ensure(answer.successor, worker.address, now)
                later.note_clock(answer.clock, now)
                self._losses.move_runs(worker, later, now)
            self._losses.lose_runs(worker, "another life answered", now)
            return
        if answer.result is not OrderResult.ACCEPTED or answer.clock is None:
            worker.silent_since = worker.silent_since or now
            worker.poll_due = Seconds(
                now + (POLL_RETRY_INTERVAL if worker.runs_by_task else IDLE_POLL_RETRY_INTERVAL)
            )
            return
        worker.note_contact(answer.clock, self._shared.settings.longest_lease, now)
        worker.heard_at = now
        worker.is_met = True
        listed = {(row.task, row.run) for row in answer.ended}
        for ended in answer.ended:
            self._handle_listed_end(worker, ended, now)
        for running in answer.running:
            listed.add((running.task, running.run))
            self._handle_listed_run(worker, running, now)
        if len(answer.ended) < MAX_LISTED_ENDS:
            self._end_missing_runs(worker, listed, now)
        self._dispatcher.poll(worker, now)

    def _handle_listed_end(self, worker: Worker, row: ListedEnd, now: Seconds) -> None:
        if row.number <= worker.listed_end:
            return
        worker.listed_end = row.number
        run = worker.runs_by_task.get(row.task)
        if run is not None and run.number == row.run:
            self._shared.fleet.release(worker, row.task)
        self._update_worker_trust(worker, row, now)
        self._shared.end(row.task, row.run, row.outcome, row.checkpoint)

    def _update_worker_trust(self, worker: Worker, row: ListedEnd, now: Seconds) -> None:
        """Learn from an end whether the worker can be trusted."""
        if row.outcome is Outcome.DONE:
            worker.note_success()
            return
        if row.outcome is not Outcome.FAILED:
            return
        self._shared.avoid(row.task, worker.life)
        if worker.note_failure(row.task.job, now):
            self._losses.note_quarantine(worker, "its tasks fail", now)

    def _handle_listed_run(self, worker: Worker, row: ListedRun, now: Seconds) -> None:
        run = worker.runs_by_task.get(row.task)
        if run is None or run.number != row.run:
            if run is None or run.number > row.run:
                self._shared.outbox.append(
                    OrderStop(worker.life, worker.address, row.task, row.run, self._shared.fence)
                )
            return
        if run.phase in (RunPhase.STARTING, RunPhase.ADOPTED):
            run.phase = RunPhase.RUNNING
            run.progress_at = now
            job = self._shared.state.jobs_by_id.get(row.task.job)
            if job is None or job.is_over:
                self._dispatcher.stop(worker, run, now)
        run.note_progress(row.percent, row.checkpoint, now)
        if self._shared.is_lasting(run):
            return
        self._shared.paces.note(run)
        if run.phase is RunPhase.RUNNING and self._shared.paces.is_crawling(run, now):
            self._losses.take_from(worker, run, "a run is slow", now)

    def _end_missing_runs(
        self, worker: Worker, listed: set[tuple[TaskRef, RunNumber]], now: Seconds
    ) -> None:
        """
        End the runs that a worker surely does not have and will not start. Only a poll that was
        sent after the answer to an order proves anything of it.
        """
        for run in list(worker.runs_by_task.values()):
            if (run.task, run.number) in listed:
                continue
            is_never = run.phase is RunPhase.STOPPING and worker.polled_at > run.stop_answered_at
            is_lost = run.phase is RunPhase.RUNNING and worker.polled_at > run.accepted_at
            if run.phase is RunPhase.ADOPTED or is_never or is_lost:
                self._shared.fleet.release(worker, run.task)
                outcome = Outcome.NEVER_STARTED if is_never else Outcome.LOST
                self._shared.end(run.task, run.number, outcome, run.saved)
                self._shared.plan_soon(now)
