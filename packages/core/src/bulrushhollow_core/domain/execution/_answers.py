"""
bulrushhollow_core.domain.execution._answers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handles the answers of workers to orders, and the runs that workers list in them.
"""

from collections.abc import Sequence, Set

from bulrushhollow_core.domain.execution._dispatch import OrderDispatcher, stop_key
from bulrushhollow_core.domain.execution._losses import WorkerLossHandler
from bulrushhollow_core.domain.execution._order_queue import OrderKey, OrderKind, Settlement
from bulrushhollow_core.domain.execution._scheduler_state import SchedulerState
from bulrushhollow_core.domain.execution._start_holds import StartEvidence
from bulrushhollow_core.domain.fleet import Run, RunPhase, RunRef, Worker
from bulrushhollow_core.domain.model import (
    Event,
    ListedEnd,
    ListedRun,
    OrderResult,
    Outcome,
    PollAnswered,
    StartAnswered,
    StopAnswered,
    TaskState,
    log_event,
)
from bulrushhollow_core.ids import Seconds

POLL_RETRY_INTERVAL = Seconds(0.3)
"""Seconds between two polls of a worker that does not answer and has runs."""

IDLE_POLL_RETRY_INTERVAL = Seconds(1.0)
"""Seconds between two polls of a worker that does not answer and has no runs."""

MAX_REPORT_AGE = Seconds(1.6)
"""Seconds for which a worker's list of runs counts as current; the limit of one poll."""

STOP_MARGIN = Seconds(0.1)
"""Seconds added to the longest duration of a stop, for late timers."""

MAX_START_ATTEMPTS = 3
"""Maximum number of orders to start a run if they go unanswered or arrive late. Meanwhile the other
members of its gang wait."""

NO_ROOM_BACKOFF = Seconds(0.5)
"""Seconds without new runs for a worker that refused a run for lack of resources."""

UNHEALTHY_BACKOFF = Seconds(2.0)
"""Seconds without new runs for a worker that refused a run as unhealthy; a few heartbeats."""

SETTLEMENT_BY_RESULT = {
    OrderResult.NO_ANSWER: Settlement.TIMED_OUT,
    OrderResult.WITHHELD: Settlement.NOT_SENT,
}
"""How an order was settled that was not answered."""

MAX_LISTED_ENDS = 500
"""Limit on the ended runs in one answer; a list of this length may be incomplete."""


class OrderAnswerHandler:
    """Handles the answers of workers to the orders of this leader."""

    def __init__(
        self, shared: SchedulerState, dispatcher: OrderDispatcher, loss_handler: WorkerLossHandler
    ) -> None:
        """Create a handler for the shared state of the scheduler."""
        self._shared = shared
        self._dispatcher = dispatcher
        self._loss_handler = loss_handler

    def handle_start_answer(self, answer: StartAnswered, now: Seconds) -> None:
        """Handle the answer to the start of a run."""
        ref = RunRef(answer.task, answer.run)
        failures = self._settle(OrderKey(OrderKind.START, answer.life, ref), answer.result, now)
        worker = self._shared.fleet.get(answer.life)
        run = worker.runs_by_task.get(answer.task) if worker else None
        if worker is None or run is None or run.number != answer.run:
            self._settle_inherited_start(answer, ref, now)
            return
        run.awaits_start_answer = False
        if answer.result is OrderResult.NO_ANSWER and answer.was_sent:
            # It may still be carried out, even in a later life, also if the run was stopped since.
            worker.record_unanswered_start(run, now)
        if answer.clock is not None:
            self._record_contact(worker, answer.clock, now)
            worker.last_contact_at = now
        if run.phase is not RunPhase.STARTING:
            return
        self._shared.outbox.append(
            log_event(
                Event.START_ANSWERED,
                task=answer.task,
                run=answer.run,
                worker=answer.life.id,
                result=answer.result.value,
                tries=run.start_attempts,
                waited=round(now - run.started_at, 3),
            )
        )
        match answer.result:
            case OrderResult.ACCEPTED:
                run.mark_running(now, is_fresh=not self._shared.checkpoint_of(run.task))
                worker.poll_due = min(worker.poll_due, now)
                self._dispatcher.poll(worker, now)
            case OrderResult.OTHER_LIFE:
                self._loss_handler.declare_lost(worker, "another life answered", now)
            case OrderResult.FENCED:
                pass
            case OrderResult.WITHHELD:
                if ref not in worker.unanswered_starts:
                    run.phase = RunPhase.QUEUED
                self._dispatcher.queue_start(run, now, failures)
            case OrderResult.NO_ANSWER | OrderResult.LATE if (
                run.start_attempts < MAX_START_ATTEMPTS and not worker.is_overcommitted
            ):
                self._record_silence(worker, answer.result, now)
                self._dispatcher.repeat_start(run, now, failures)
            case OrderResult.NO_ANSWER:
                self._record_silence(worker, answer.result, now)
                self._dispatcher.give_up_start(run, now)
            case _:
                self._handle_refused_start(worker, run, answer.result, now)

    def _settle_inherited_start(self, answer: StartAnswered, ref: RunRef, now: Seconds) -> None:
        """
        Handle the answer to a start that was in flight when a later life of its worker appeared.
        Once it is answered, it can't be carried out late.
        """
        workers = (
            self._shared.fleet.get(life) for life in self._shared.fleet.lives_of(answer.life.id)
        )
        for worker in filter(None, workers):
            if ref not in worker.inherited_starts:
                continue
            worker.inherited_starts.remove(ref)
            if answer.result is OrderResult.NO_ANSWER and answer.was_sent:
                start = worker.unanswered_starts[ref]
                worker.unanswered_starts[ref] = start._replace(timed_out_at=now)
            else:
                # Its stop is on its way, also to the run that the answer may have been about.
                del worker.unanswered_starts[ref]
                worker.pending_stops.discard(ref)

    def _settle(self, key: OrderKey, result: OrderResult, now: Seconds) -> int:
        """Record that an order has settled; return how many copies of it have failed by now."""
        settlement = SETTLEMENT_BY_RESULT.get(result, Settlement.ANSWERED)
        return self._shared.orders.settle(key, settlement, now)

    def _record_contact(self, worker: Worker, clock: Seconds, now: Seconds) -> None:
        if worker.is_silent:
            self._shared.orders.hasten(worker.life, now)
        worker.record_contact(clock, self._shared.settings.longest_lease, now)

    def _record_silence(self, worker: Worker, result: OrderResult, now: Seconds) -> None:
        """
        Record that a worker did not answer a start. It gets no more work until it answers, and is
        polled to see whether it does.
        """
        if result is OrderResult.NO_ANSWER:
            worker.silent_since = worker.silent_since or now
            worker.poll_due = min(worker.poll_due, now)
            self._dispatcher.poll(worker, now)

    def _handle_refused_start(
        self, worker: Worker, run: Run, result: OrderResult, now: Seconds
    ) -> None:
        if result is OrderResult.NO_TICKET:
            self._shared.advice.invalidate_ticket(run.task.step_ref, worker.life)
        else:
            backoff = UNHEALTHY_BACKOFF if result is OrderResult.UNHEALTHY else NO_ROOM_BACKOFF
            worker.backoff_until = Seconds(now + backoff)
        if RunRef(run.task, run.number) in worker.unanswered_starts:
            # An earlier order for this run went unanswered, so the run may have started and even
            # ended. The stop keeps it from starting later, and the next list shows what became
            # of it.
            self._dispatcher.stop(worker, run, now)
            return
        self._shared.fleet.release(worker, run.task)
        self._shared.propose_end(run.task, run.number, Outcome.NEVER_STARTED)

    def handle_stop_answer(self, answer: StopAnswered, now: Seconds) -> None:
        """Handle the answer to the stop of a run."""
        ref = RunRef(answer.task, answer.run)
        failures = self._settle(stop_key(answer.life, ref), answer.result, now)
        worker = self._shared.fleet.get(answer.life)
        if worker is None:
            return
        if answer.clock is not None:
            self._record_contact(worker, answer.clock, now)
            worker.last_contact_at = now
        if answer.result is OrderResult.OTHER_LIFE:
            self._loss_handler.declare_lost(worker, "another life answered", now)
            return
        run = worker.runs_by_task.get(answer.task)
        if run is not None and run.number != answer.run:
            run = None
        if answer.result is not OrderResult.ACCEPTED:
            if ref in worker.pending_stops or (run is not None and run.awaits_stop):
                self._dispatcher.put_stop(worker.life, ref, now, failures)
            return
        if ref in worker.pending_stops:
            worker.pending_stops.remove(ref)
            stopped_by = now + self._shared.settings.stop_timeout + STOP_MARGIN
            worker.accepted_stops[ref] = Seconds(stopped_by)
        if run is not None and run.awaits_stop:
            run.stop_accepted_at = now
            worker.poll_due = min(worker.poll_due, now)

    def handle_poll_answer(self, answer: PollAnswered, now: Seconds) -> None:
        """Handle the running and the ended runs that a worker lists."""
        worker = self._shared.fleet.get(answer.life)
        if worker is not None and answer.fence not in (None, worker.fence):
            # Its list does not show what started before the worker saw the present token.
            return
        self._dispatcher.forget_poll(answer.life)
        if worker is None:
            return
        worker.is_poll_in_flight = False
        worker.has_ended = answer.result is OrderResult.NOT_LISTENING
        worker.poll_due = max(worker.poll_due, now)
        if answer.result is OrderResult.OTHER_LIFE:
            if answer.successor is not None and answer.clock is not None:
                successor = self._shared.fleet.get_or_create(answer.successor, worker.address, now)
                self._shared.fleet.raise_fence(successor)
                successor.record_clock(answer.clock, now)
                self._loss_handler.transfer_runs(worker, successor, now)
            self._loss_handler.declare_lost(worker, "another life answered", now)
            return
        if answer.result is OrderResult.WITHHELD:
            worker.last_acknowledged_end = 0
            worker.poll_due = Seconds(now + POLL_RETRY_INTERVAL)
            return
        if answer.result is not OrderResult.ACCEPTED or answer.clock is None:
            if worker.silent_since is None or worker.last_acknowledged_end > 0:
                self._log_unanswered_poll(worker, answer.result, now)
            worker.silent_since = worker.silent_since or now
            worker.last_acknowledged_end = 0
            is_awaited = bool(worker.runs_by_task) or self._shared.start_holds.awaits_list_of(
                worker.life.id
            )
            worker.poll_due = Seconds(
                now + (POLL_RETRY_INTERVAL if is_awaited else IDLE_POLL_RETRY_INTERVAL)
            )
            return
        self._record_contact(worker, answer.clock, now)
        worker.record_heard(now)
        if now - worker.listed_at > MAX_REPORT_AGE:
            # Nothing is known of the progress since the last list, so it counts from now on.
            for run in worker.runs_by_task.values():
                run.progress_at = now
        worker.listed_at = now
        self._log_discarded_ends(worker, answer.ended)
        worker.has_answered_poll = True
        listed_runs = {RunRef(ended_run.task, ended_run.run) for ended_run in answer.ended}
        # Rows may come in any order, and a number at or below the last one counts as read.
        for ended_run in sorted(answer.ended, key=lambda end: end.number):
            self._handle_listed_end(worker, ended_run, now)
        running_runs = {RunRef(running.task, running.run) for running in answer.running}
        listed_runs |= running_runs
        for running in answer.running:
            self._handle_listed_run(worker, running, now)
        self._shared.end_holds_by_list(worker, running_runs, now)
        if len(answer.ended) < MAX_LISTED_ENDS:
            self._end_missing_runs(worker, listed_runs, now)
        self._dispatcher.poll(worker, now)

    def _log_unanswered_poll(self, worker: Worker, result: OrderResult, now: Seconds) -> None:
        self._shared.log_worker_event(
            Event.POLL_UNANSWERED,
            worker,
            result=result.value,
            acknowledged=worker.last_acknowledged_end,
            waited=round(now - worker.polled_at, 3),
            fence=worker.fence,
        )

    def _log_discarded_ends(self, worker: Worker, ends: Sequence[ListedEnd]) -> None:
        """Log ends that are missing between the last one that was listed and the next one."""
        new_numbers = [end.number for end in ends if end.number > worker.last_listed_end]
        # Before the first listed end it is unknown what earlier leaders have read.
        if worker.last_listed_end == 0 or not new_numbers:
            return
        missing = min(new_numbers) - worker.last_listed_end - 1
        if missing > 0:
            self._shared.log_worker_event(
                Event.ENDS_DISCARDED, worker, count=missing, before=worker.last_listed_end
            )

    def _log_outdated_end(self, worker: Worker, end: ListedEnd) -> None:
        task = self._shared.state.find_task(end.task)
        if task is None or (task.state is TaskState.ACTIVE and task.run == end.run):
            return
        self._shared.log_worker_event(
            Event.END_OUTDATED,
            worker,
            task=end.task,
            run=end.run,
            outcome=end.outcome.value,
            number=end.number,
            present_run=task.run,
            state=task.state.name.lower(),
        )

    def _handle_listed_end(self, worker: Worker, ended_run: ListedEnd, now: Seconds) -> None:
        if ended_run.number <= worker.last_listed_end:
            return
        worker.last_listed_end = ended_run.number
        self._log_outdated_end(worker, ended_run)
        self._record_outcome(worker, ended_run, now)
        run = self._shared.fleet.find_run(worker.life.id, ended_run.task, ended_run.run)
        if run is not None:
            run.mark_listed(now)
            self._shared.fleet.release(self._shared.fleet.workers_by_life[run.life], run.task)
            # A task that has just run may be away for a while, so it waits for the next life, too.
            evidence = (
                StartEvidence.REFUSED_BY_KNOWN_LIVES if run.is_transferred else StartEvidence.NONE
            )
            self._shared.propose_end_of(run, ended_run.outcome, ended_run.checkpoint, now, evidence)
        else:
            self._shared.propose_end(
                ended_run.task, ended_run.run, ended_run.outcome, ended_run.checkpoint
            )

    def _record_outcome(self, worker: Worker, ended_run: ListedEnd, now: Seconds) -> None:
        """Count the outcome of a run for its worker; repeated failures quarantine the worker."""
        if ended_run.outcome is Outcome.DONE:
            worker.record_success()
            return
        if ended_run.outcome is not Outcome.FAILED:
            return
        self._shared.exclude_worker(ended_run.task, worker.life, now)
        if worker.record_failure(ended_run.task.job, now):
            self._loss_handler.log_quarantine(worker, "its tasks fail", now)

    def _handle_listed_run(self, worker: Worker, listed_run: ListedRun, now: Seconds) -> None:
        run = worker.runs_by_task.get(listed_run.task)
        if run is None or run.number != listed_run.run:
            if run is None or run.number > listed_run.run:
                ref = RunRef(listed_run.task, listed_run.run)
                self._dispatcher.put_stop(worker.life, ref, now)
            return
        run.mark_listed(now)
        if run.phase in (RunPhase.STARTING, RunPhase.ADOPTED):
            run.phase = RunPhase.RUNNING
            run.progress_at = now
            job = self._shared.state.jobs_by_id.get(listed_run.task.job)
            if job is None or job.has_ended:
                self._dispatcher.stop(worker, run, now)
        run.record_progress(listed_run.percent, listed_run.checkpoint, now)
        if self._shared.is_long_running(run) or self._shared.has_ended(run.task.job):
            return
        self._shared.straggler_detector.observe(run)
        self._shared.observe_speed(run)
        is_straggler = (
            run.phase is RunPhase.RUNNING
            and self._shared.straggler_detector.is_straggler(run, now)
            and self._loss_handler.may_blame_worker(run.task)
        )
        if is_straggler:
            self._loss_handler.stop_and_quarantine(worker, run, "a run is slow", now)

    def _end_missing_runs(self, worker: Worker, listed_runs: Set[RunRef], now: Seconds) -> None:
        """
        End the runs that are not listed and that the worker will not start. A list proves this only
        if its poll was sent after the answer to the run's order, and if no start is on its way.
        """
        for run in list(worker.runs_by_task.values()):
            if RunRef(run.task, run.number) in listed_runs:
                continue
            has_never_started = (
                run.phase is RunPhase.STOPPING
                and worker.polled_at > run.stop_accepted_at
                and not run.awaits_start_answer
            )
            is_lost = run.phase is RunPhase.RUNNING and worker.polled_at > run.accepted_at
            if run.phase is RunPhase.ADOPTED or has_never_started or is_lost:
                self._shared.fleet.release(worker, run.task)
                outcome = Outcome.LOST
                if has_never_started and run.loss is None:
                    outcome = Outcome.NEVER_STARTED
                self._log_unlisted_run(worker, run, outcome)
                # A run that was accepted and is missing may have been in another life.
                evidence = StartEvidence.NONE if is_lost else StartEvidence.REFUSED_BY_KNOWN_LIVES
                self._shared.propose_end_of(run, outcome, run.checkpoint, now, evidence)
                self._shared.request_plan(now)

    def _log_unlisted_run(self, worker: Worker, run: Run, outcome: Outcome) -> None:
        self._shared.log_worker_event(
            Event.RUN_UNLISTED,
            worker,
            task=run.task,
            run=run.number,
            phase=run.phase.value,
            outcome=outcome.value,
            last_listed_end=worker.last_listed_end,
        )
