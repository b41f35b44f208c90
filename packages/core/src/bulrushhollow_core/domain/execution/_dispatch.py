"""
bulrushhollow_core.domain.execution._dispatch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides on orders to start and to stop runs, sends them when they may leave, and polls workers.
"""

from collections import deque
from collections.abc import Iterable, Sequence

from bulrushhollow_core.domain.execution._order_queue import OrderKey, OrderKind
from bulrushhollow_core.domain.execution._scheduler_state import SchedulerState
from bulrushhollow_core.domain.fleet import Run, RunPhase, RunRef, Worker
from bulrushhollow_core.domain.model import (
    Event,
    OrderStart,
    OrderStop,
    Outcome,
    Poll,
    RunEnd,
    Start,
    WorkerLife,
    log_event,
)
from bulrushhollow_core.ids import Seconds

POLL_WAIT = Seconds(1.0)
"""Seconds for which a worker may delay its answer to a poll until a run ends. This is half of what
workers allow, so that a worker that is cut off has most of its lease left, and stalled runs are
noticed early."""

START_LEASE = Seconds(1.5)
"""Seconds of the lease that a start grants to an idle worker. A poll extends it as soon as the
start is answered. If the start is lost, its task is blocked only until this lease expires."""

FIRST_STOP_RANK, REPEATED_STOP_RANK = range(2)
"""Ranks of stops: those that may go unanswered again leave after the others."""

MAX_PROBES = 64
"""Polls in flight to silent workers; many that are cut off at once must not keep a leader busy."""

PROBE_DELAY = Seconds(0.3)
"""Seconds by which a poll to a silent worker is put off if too many are in flight."""

LIFE_CONFIRMED_FOR = Seconds(0.5)
"""Seconds after a worker's list during which it is taken to be in the same life; a restart takes
longer. Orders name only its id, and each life numbers its ends anew."""


def start_key(run: Run) -> OrderKey:
    """Return what identifies the order to start a run on the worker that it is placed on."""
    return OrderKey(OrderKind.START, run.life, RunRef(run.task, run.number))


def stop_key(life: WorkerLife, ref: RunRef) -> OrderKey:
    """Return what identifies the order to stop a run."""
    return OrderKey(OrderKind.STOP, life, ref)


class OrderDispatcher:
    """Sends the orders that follow from committed commands."""

    def __init__(self, shared: SchedulerState) -> None:
        """Create a dispatcher for the shared state of the scheduler."""
        self._shared = shared
        self._waiting_polls: set[WorkerLife] = set()
        self._probes: set[WorkerLife] = set()
        """Silent workers that are being polled."""
        self.listed_ends_by_proposal: deque[dict[WorkerLife, int]] = deque()
        """For each proposal of ends, the number of the last end that each worker had listed."""

    def dispatch_start(self, start: Start, now: Seconds) -> None:
        """Queue the order for a committed start, or end the run if it must no longer start."""
        self._shared.proposed_runs_by_task.pop(start.task, None)
        worker = self._shared.fleet.get(start.worker)
        run = worker.runs_by_task.get(start.task) if worker else None
        if worker is None or run is None or run.number != start.run:
            self._shared.withdrawn_starts.discard(start.task)
            if self._shared.state.is_current(start):
                self._shared.propose_end(start.task, start.run, Outcome.NEVER_STARTED)
            return
        run.phase = RunPhase.QUEUED
        if self._is_start_blocked(worker, run):
            self.withdraw_start(worker, run)
            return
        run.start_attempts = 1
        self.queue_start(run, now)

    def _is_start_blocked(self, worker: Worker, run: Run) -> bool:
        """Return whether a committed run must not start, because of what has happened since."""
        is_evacuated = (
            worker.announcement is not None
            and worker.announcement.data_centre in self._shared.state.evacuated_data_centres
        )
        start = Start(run.task, run.number, worker.life, worker.address)
        return (
            is_evacuated
            or run.task in self._shared.withdrawn_starts
            or worker.is_overcommitted
            or not self._shared.state.can_start(start)
        )

    def withdraw_start(self, worker: Worker, run: Run) -> None:
        """End a run of which its worker was not told, or whose orders had no effect there."""
        self._shared.withdrawn_starts.discard(run.task)
        self._shared.orders.withdraw(start_key(run))
        self._shared.fleet.release(worker, run.task)
        self._shared.propose_end(run.task, run.number, Outcome.NEVER_STARTED)

    def queue_start(self, run: Run, now: Seconds, failures: int = 0) -> None:
        """Queue the order to start a run; see :meth:`OrderQueue.put`."""
        urgency = self._shared.state.jobs_by_id[run.task.job].queue.urgency
        self._shared.orders.put(start_key(run), urgency, now, failures)

    def repeat_start(self, run: Run, now: Seconds, failures: int) -> None:
        """Queue the order to start a run for one more attempt."""
        run.start_attempts += 1
        self.queue_start(run, now, failures)

    def give_up_start(self, run: Run, now: Seconds) -> None:
        """Stop a run that may have started, and the rest of its gang, which would wait for it."""
        runs = [run]
        if run.is_gang:
            runs = list(self._shared.gang_members(run.task, run.number))
            for member in runs:
                self.log_stop(member, "its gang cannot start")
        self.stop_all(runs, now)

    def send_orders(self, now: Seconds) -> None:
        """Send the orders that may leave now."""
        orders = self._shared.orders
        while (ready := orders.take(self._is_silent, now)) is not None:
            order = self._make_order(ready.key, now)
            if order is not None:
                orders.record_sent(ready, self._is_silent(ready.key.life), now)
                self._shared.outbox.append(order)

    def _is_silent(self, life: WorkerLife) -> bool:
        worker = self._shared.fleet.get(life)
        return worker is not None and worker.is_silent

    def _make_order(self, key: OrderKey, now: Seconds) -> OrderStart | OrderStop | None:
        """Return an order that is to leave, or None if there is no use for it any more."""
        worker = self._shared.fleet.get(key.life)
        if worker is None:
            return None
        run = worker.runs_by_task.get(key.run.task)
        if run is not None and run.number != key.run.number:
            run = None
        if key.kind is OrderKind.STOP:
            return self._make_stop(worker, run, key.run)
        return self._make_start(worker, run, now) if run is not None else None

    def _make_start(self, worker: Worker, run: Run, now: Seconds) -> OrderStart | None:
        if run.phase not in (RunPhase.QUEUED, RunPhase.STARTING):
            return None
        if self._is_start_blocked(worker, run):
            self.stop(worker, run, now)
            return None
        if run.phase is RunPhase.QUEUED:
            run.phase = RunPhase.STARTING
            run.started_at = run.progress_at = now
        run.awaits_start_answer = True
        job = self._shared.state.jobs_by_id[run.task.job]
        return OrderStart(
            life=worker.life,
            address=worker.address,
            task=run.task,
            run=run.number,
            spec=job.work.spec,
            lease_end=self._grant_lease(worker, now),
            fence=worker.fence,
            checkpoint=self._shared.checkpoint_of(run.task),
            ticket=self._shared.advice.ticket_for(run.task.step_ref, worker.life),
        )

    def _make_stop(self, worker: Worker, run: Run | None, ref: RunRef) -> OrderStop | None:
        if ref not in worker.pending_stops and run is not None and not run.awaits_stop:
            return None
        return OrderStop(worker.life, worker.address, ref.task, ref.number, worker.fence)

    def _grant_lease(self, worker: Worker, now: Seconds) -> Seconds:
        """Return the end of a new lease; it is short while no run is known to run on the worker."""
        longest = self._shared.settings.longest_lease
        length = longest if worker.has_confirmed_runs else min(START_LEASE, longest)
        return worker.grant_lease(length, longest, now)

    def put_stop(self, life: WorkerLife, ref: RunRef, now: Seconds, failures: int = 0) -> None:
        """Queue the order to stop a run, unless it waits or is in flight."""
        rank = FIRST_STOP_RANK if failures == 0 else REPEATED_STOP_RANK
        self._shared.orders.put(stop_key(life, ref), rank, now, failures)

    def stop(self, worker: Worker, run: Run, now: Seconds) -> None:
        """Stop a run. A proposed run is skipped here: its start is withdrawn when it commits."""
        if run.phase in (RunPhase.PROPOSED, RunPhase.STOPPING):
            return
        ref = RunRef(run.task, run.number)
        is_starting = run.phase is RunPhase.STARTING
        may_have_started = run.awaits_start_answer or ref in worker.unanswered_starts
        if run.phase is RunPhase.QUEUED or (is_starting and not may_have_started):
            self.withdraw_start(worker, run)
            return
        self._shared.orders.withdraw(start_key(run))
        run.phase = RunPhase.STOPPING
        self.put_stop(worker.life, ref, now)

    def stop_all(self, runs: Iterable[Run], now: Seconds) -> None:
        """Stop runs on the workers that they are placed on."""
        for run in list(runs):
            worker = self._shared.fleet.get(run.life)
            if worker is not None:
                self.stop(worker, run, now)

    def put_pending_stops(self, worker: Worker, now: Seconds) -> None:
        """Queue the stops of runs of an earlier life, which must never start in this one."""
        for ref in worker.pending_stops:
            self.put_stop(worker.life, ref, now)

    def poll(self, worker: Worker, now: Seconds) -> None:
        """Poll a worker if a poll is due and useful."""
        has_unacknowledged = worker.last_recorded_end > worker.last_acknowledged_end
        is_silent = worker.silent_since is not None
        # The first poll of a life carries this leader's fence, which invalidates orders of others.
        is_useful = worker.has_confirmed_runs or has_unacknowledged or is_silent
        is_useful = is_useful or not worker.has_answered_poll
        is_list_awaited = self._shared.start_holds.awaits_list_of(worker.life.id)
        is_useful = is_useful or is_list_awaited
        if worker.is_poll_in_flight or not is_useful or now < worker.poll_due:
            return
        if worker.last_listed_end > worker.last_recorded_end:
            return
        if is_silent:
            if len(self._probes) >= MAX_PROBES:
                worker.poll_due = Seconds(now + PROBE_DELAY)
                return
            self._probes.add(worker.life)
        worker.is_poll_in_flight = True
        worker.polled_at = now
        # In a later life the acknowledgement would discard ends that this leader has not seen.
        may_acknowledge = now - worker.listed_at <= LIFE_CONFIRMED_FOR
        if may_acknowledge and has_unacknowledged:
            self._log_acknowledgement(worker)
        if may_acknowledge:
            worker.last_acknowledged_end = worker.last_recorded_end
        # A worker that does not answer gets no new lease, so that its last one expires.
        may_grant = worker.has_clock and not is_silent
        lease_end = self._grant_lease(worker, now) if may_grant else None
        # A silent worker is to answer at once, so that its return is noticed early, and so is one
        # whose ends are to be acknowledged once its life is confirmed.
        is_confirmation = has_unacknowledged and not may_acknowledge
        may_wait = worker.has_confirmed_runs or is_list_awaited
        may_wait = may_wait and may_grant and not is_confirmation
        self._shared.outbox.append(
            Poll(
                life=worker.life,
                address=worker.address,
                fence=worker.fence,
                acknowledged=worker.last_recorded_end if may_acknowledge else 0,
                lease_end=lease_end,
                wait=self._choose_wait(worker, now) if may_wait else Seconds(0.0),
            )
        )

    def _choose_wait(self, worker: Worker, now: Seconds) -> Seconds:
        """Return how long a poll may wait at a worker; if not at all, the next poll is put off."""
        if len(self._waiting_polls) >= self._shared.settings.max_waiting_polls:
            worker.poll_due = Seconds(now + POLL_WAIT)
            return Seconds(0.0)
        self._waiting_polls.add(worker.life)
        return POLL_WAIT

    def forget_poll(self, life: WorkerLife) -> None:
        """Record that the poll of a worker was answered, or timed out."""
        self._waiting_polls.discard(life)
        self._probes.discard(life)

    def acknowledge_ends(self, now: Seconds) -> None:
        """Poll the workers whose ends the oldest proposal recorded; the poll acknowledges them."""
        if not self.listed_ends_by_proposal:
            return
        for life, listed in self.listed_ends_by_proposal.popleft().items():
            worker = self._shared.fleet.get(life)
            if worker is not None:
                worker.last_recorded_end = max(worker.last_recorded_end, listed)
                worker.poll_due = min(worker.poll_due, now)
                self.poll(worker, now)

    def _log_acknowledgement(self, worker: Worker) -> None:
        self._shared.log_worker_event(
            Event.ENDS_ACKNOWLEDGED,
            worker,
            before=worker.last_acknowledged_end,
            end=worker.last_recorded_end,
            fence=worker.fence,
        )

    def log_stop(self, run: Run, reason: str) -> None:
        """Log the stop of a run with its reason."""
        self._shared.outbox.append(
            log_event(
                Event.RUN_STOPPED,
                task=run.task,
                run=run.number,
                worker=run.life.id,
                percent=run.percent,
                reason=reason,
            )
        )

    def handle_recorded_ends(self, ends: Sequence[RunEnd], now: Seconds) -> None:
        """Stop the other members of gangs that lost one, and the other runs of ended jobs."""
        self._shared.request_plan(now)
        jobs = self._shared.state.jobs_by_id
        ended_jobs = {end.task.job for end in ends if self._shared.has_ended(end.task.job)}
        for job_id in sorted(ended_jobs & jobs.keys()):
            self.stop_all(self._shared.fleet.runs_of(job_id), now)
        broken_gangs = dict.fromkeys(
            (end.task._replace(member=0), end.run)
            for end in ends
            if end.outcome is not Outcome.DONE
            and end.task.job not in ended_jobs
            and jobs[end.task.job].work.steps[end.task.step].is_gang
        )
        for task, run in broken_gangs:
            self.stop_all(self._shared.gang_members(task, run), now)
