"""
standins.domain_workers
~~~~~~~~~~~~~~~~~~~~~~~

Simulated workers of a domain, in virtual or in real time: leases, fencing tokens, gangs,
checkpoints and the ends of runs.
"""

import math
import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from bulrushhollow_core.domain import (
    Availability,
    ListedEnd,
    ListedRun,
    OrderResult,
    OrderStart,
    OrderStop,
    Outcome,
    Poll,
    PollAnswered,
    Resources,
    RunNumber,
    ServiceName,
    StartAnswered,
    Step,
    StopAnswered,
    TaskRef,
    WorkerLife,
    WorkerNews,
)
from bulrushhollow_core.ids import DataCentreId, FencingToken, RackId, Seconds, WorkerId

LONGEST_LEASE = Seconds(6.0)
"""Seconds of the longest lease that a worker grants."""

STOP_DURATION = 0.3
"""Seconds from an order to stop until the run ends."""

GANG_TIMEOUT = 3.0
"""Seconds that a member of a gang waits for the other members to start."""

CHECKPOINT_INTERVAL = 1.0
"""Seconds of work between two checkpoints."""


class Crash(NamedTuple):
    """
    How a task crashes the workers that start it.

    :param delay: seconds from the start to the crash.
    :param downtime: seconds until the worker is back.
    :param keeps_id: whether it comes back under its id, not under another at the same address.
    """

    delay: float = 0.01
    downtime: float = 3.0
    keeps_id: bool = False


class WorkerObserver(Protocol):
    """Receives the events of workers."""

    def run_started(self, worker: "Worker", order: OrderStart) -> None:
        """Handle the start of a run."""

    def run_ended(self, worker: "Worker", run: "LiveRun", outcome: Outcome) -> None:
        """Handle the end of a run."""

    def end_acknowledged(self, worker: "Worker", row: ListedEnd) -> None:
        """Handle the leader's acknowledgement of an end."""

    def worker_crashed(self, worker: "Worker", cause: TaskRef | None) -> None:
        """Handle the crash of a worker, before its runs end; a task may have caused it."""


class Clock(Protocol):
    """A clock in virtual or in real time."""

    now: float

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call the callback after a delay in seconds."""


class LiveRun:
    """
    A run of a task on a worker.

    :param duration: seconds of work that the whole task takes, from its first run on.
    :param at: time at which the worker accepted the run.
    """

    def __init__(self, order: OrderStart, step: Step, duration: float, at: float) -> None:
        self.order = order
        self.step = step
        self.duration = duration
        self.accepted_at = at
        self.started_at = math.inf
        self.is_stopping = False
        self.slowdown = 1.0
        """Seconds that this worker takes for one second of work."""
        self.resumed_progress = float(order.checkpoint.partition(":")[2] or 0.0)

    def progress(self, now: float) -> float:
        """Return the seconds of work that are done, including those of earlier runs."""
        return self.resumed_progress + max(0.0, now - self.started_at) / self.slowdown

    def latest_checkpoint(self, now: float) -> str:
        """Return the latest checkpoint; a stop writes one too."""
        progress = self.progress(now)
        if not self.step.is_checkpointable or progress < CHECKPOINT_INTERVAL:
            return self.order.checkpoint
        saved = (
            progress
            if self.is_stopping
            else int(progress / CHECKPOINT_INTERVAL) * CHECKPOINT_INTERVAL
        )
        return f"{self.order.task.job}:{saved:.3f}"

    def percent_done(self, now: float) -> int:
        """Return the progress as a percentage."""
        return min(100, int(100 * self.progress(now) / self.duration))


class WorkerPool:
    """
    All workers, and the gangs whose members run on several of them.

    :param get_step: returns the step of a task.
    :param get_duration: returns the seconds of work of a task.
    :param remote_slowdown: factor by which a task takes longer in another rack than its data, and a
        gang that asks for one rack takes longer in several.
    """

    def __init__(
        self,
        clock: Clock,
        observer: WorkerObserver,
        get_step: Callable[[TaskRef], Step],
        get_duration: Callable[[TaskRef], float],
        rng: random.Random,
        remote_slowdown: float = 1.0,
    ) -> None:
        self.remote_slowdown = remote_slowdown
        self.clock = clock
        self.observer = observer
        self.get_step = get_step
        self.get_duration = get_duration
        self.rng = rng
        self.workers: list[Worker] = []
        self.crashes_by_task: dict[TaskRef, Crash] = {}
        """Tasks that crash every worker that starts them."""

    def gang_members(self, run: LiveRun) -> list[tuple["Worker", LiveRun]]:
        """Return the members of a run's gang that are on workers now."""
        order = run.order
        return [
            (worker, other)
            for worker in self.workers
            if worker.is_up
            for other in worker.runs.values()
            if other.order.task[:3] == order.task[:3] and other.order.run == order.run
        ]


class Worker:
    """
    A machine that runs tasks. Each restart begins a new life.

    :param born: number of its first life.
    :param slowdown: seconds that it takes for one second of work.
    """

    def __init__(
        self,
        pool: WorkerPool,
        name: str,
        data_centre: str,
        rack: str,
        capacity: Resources,
        born: int,
        slowdown: float = 1.0,
    ) -> None:
        self.pool = pool
        self.slowdown = slowdown
        self.name = name
        self.address = f"{name}:80"
        self.data_centre = DataCentreId(data_centre)
        self.rack = RackId(rack)
        self.capacity = capacity
        self.earlier_capacities: list[tuple[float, Resources]] = []
        """Each capacity that it had before, with the time at which it ceased to have it."""
        self.guards_capacity = True
        self.is_up = True
        self.has_left = False
        """Whether its process has ended and its machine has not: nothing listens there."""
        self.is_grey = False
        self.is_order_delayed = False
        self.availability = Availability.READY
        self.remaining = 0.0
        self.clock_rate = pool.rng.uniform(0.98, 1.02)
        self.begin_life(born, name)
        pool.workers.append(self)

    def begin_life(self, born: int, worker_id: str = "") -> None:
        """Start with empty memory, as after a restart; under the id before unless one is given."""
        self.life = WorkerLife(WorkerId(worker_id or self.life.id), born)
        self.is_up = True
        self.has_left = False
        self.runs: dict[TaskRef, LiveRun] = {}
        self.unacknowledged_ends: list[ListedEnd] = []
        self.highest_run_by_task: dict[TaskRef, RunNumber] = {}
        self.fence = FencingToken(0)
        self.lease_end = -math.inf
        self.lease_expired_at = -math.inf
        self.ended_at_by_number: dict[int, float] = {}
        self.sequence = 0
        self.end_count = 0
        self.open_polls: list[tuple[Poll, Callable[[PollAnswered], None]]] = []
        self.clock_offset = self.pool.rng.uniform(0, 1000)
        self.life_began_at = self.pool.clock.now

    @property
    def clock(self) -> Seconds:
        """Return its own monotonic time, which drifts from the pool's."""
        return Seconds(
            self.clock_offset + (self.pool.clock.now - self.life_began_at) * self.clock_rate
        )

    def change_capacity(self, capacity: Resources) -> None:
        """Have another capacity from now on; what runs goes on."""
        self.earlier_capacities.append((self.pool.clock.now, self.capacity))
        self.capacity = capacity

    @property
    def used(self) -> Resources:
        """Return what its runs take, also those that are being stopped."""
        used = Resources(0, 0, 0)
        for run in self.runs.values():
            used = used.plus(run.step.needs)
        return used

    def crash(self, cause: TaskRef | None = None) -> None:
        """Crash: every run is lost and open polls stay unanswered."""
        self.pool.observer.worker_crashed(self, cause)
        self.is_up = False
        self.open_polls = []
        lost_runs, self.runs = list(self.runs.values()), {}
        for run in lost_runs:
            self.pool.observer.run_ended(self, run, Outcome.LOST)
        for run in lost_runs:
            if run.step.is_gang and run.started_at < math.inf:
                for worker, other in self.pool.gang_members(run):
                    worker._end_member(other, Outcome.GANG_BROKEN)

    def leave(self) -> None:
        """End the process; every run is lost, and connections are refused."""
        self.crash()
        self.has_left = True

    def crash_under(self, task: TaskRef, crash: Crash) -> None:
        """Crash because of a task, and come back after a while."""
        self.crash(task)
        born = self.life.born + 1
        worker_id = "" if crash.keeps_id else f"{self.name}-{born}"
        self.pool.clock.call_later(
            crash.downtime, lambda: self.is_up or self.begin_life(born, worker_id)
        )

    def heartbeat(self) -> WorkerNews:
        """Return its next heartbeat."""
        self.sequence += 1
        return WorkerNews(
            self.life,
            ServiceName("svc"),
            self.address,
            self.data_centre,
            self.rack,
            ("a", self.rack),
            self.capacity,
            self.availability,
            self.sequence,
            self.clock,
            Seconds(self.remaining),
        )

    # Orders.

    def start(self, order: OrderStart) -> StartAnswered:
        """Carry out an order to start."""
        result = self._start(order)
        return StartAnswered(order.life, order.task, order.run, result, self.clock)

    def _start(self, order: OrderStart) -> OrderResult:
        if order.life.id != self.life.id:
            return OrderResult.OTHER_LIFE
        if order.fence < self.fence:
            return OrderResult.FENCED
        self.fence = order.fence
        current = self.runs.get(order.task)
        if current is not None and current.order.run == order.run:
            return OrderResult.ACCEPTED
        if order.lease_end <= self.clock:
            return OrderResult.LATE
        self._extend_lease(order.lease_end)
        if order.run <= self.highest_run_by_task.get(order.task, 0) or current is not None:
            return OrderResult.SUPERSEDED
        step = self.pool.get_step(order.task)
        has_room = step.needs.fits(self.capacity.minus(self.used))
        if self.guards_capacity and not has_room:
            return OrderResult.NO_ROOM
        now = self.pool.clock.now
        run = LiveRun(order, step, self.pool.get_duration(order.task), now)
        self.runs[order.task] = run
        self.pool.observer.run_started(self, order)
        crash = self.pool.crashes_by_task.get(order.task)
        if crash is not None:
            self.pool.clock.call_later(crash.delay, lambda: self._crash_if_running(run, crash))
        if step.is_gang:
            self._join_gang(run)
        else:
            self._begin_work([(self, run)])
        return OrderResult.ACCEPTED

    def _crash_if_running(self, run: LiveRun, crash: Crash) -> None:
        if self.is_up and self.runs.get(run.order.task) is run:
            self.crash_under(run.order.task, crash)

    def _join_gang(self, run: LiveRun) -> None:
        members = self.pool.gang_members(run)
        if len(members) == run.step.count:
            self._begin_work(members)
            return
        self.pool.clock.call_later(GANG_TIMEOUT, lambda: self._end_incomplete_gang(run))

    def _end_incomplete_gang(self, run: LiveRun) -> None:
        if self.runs.get(run.order.task) is run and run.started_at == math.inf:
            self._end_run(run, Outcome.GANG_INCOMPLETE)

    def _begin_work(self, members: list[tuple["Worker", LiveRun]]) -> None:
        now = self.pool.clock.now
        remote_slowdown = self._remote_slowdown_of(members)
        for worker, run in members:
            run.started_at = now
            run.slowdown = worker.slowdown * remote_slowdown
        seconds_left = max(
            run.slowdown * (run.duration - run.resumed_progress) for _, run in members
        )
        for worker, run in members:
            fails = worker.is_grey or self.pool.rng.random() < 0.01
            outcome = Outcome.FAILED if fails else Outcome.DONE
            delay = 0.2 if fails else max(0.01, seconds_left)
            worker.pool.clock.call_later(
                delay, lambda w=worker, r=run, o=outcome: w._finish_work(r, o)
            )

    def _remote_slowdown_of(self, members: list[tuple["Worker", LiveRun]]) -> float:
        """Return the slowdown of a gang or task because of the racks that it runs in."""
        step = members[0][1].step
        racks = {worker.rack for worker, _ in members}
        is_remote = step.same_rack and len(racks) > 1
        is_remote = is_remote or bool(step.data_rack) and racks != {step.data_rack}
        return self.pool.remote_slowdown if is_remote else 1.0

    def _finish_work(self, run: LiveRun, outcome: Outcome) -> None:
        if self.is_up and self.runs.get(run.order.task) is run and not run.is_stopping:
            self._end_run(run, outcome)

    def stop(self, order: OrderStop) -> StopAnswered:
        """Carry out an order to stop."""
        result = self._stop(order)
        return StopAnswered(order.life, order.task, order.run, result, self.clock)

    def _stop(self, order: OrderStop) -> OrderResult:
        if order.life.id != self.life.id:
            return OrderResult.OTHER_LIFE
        if order.fence < self.fence:
            return OrderResult.FENCED
        self.fence = order.fence
        self.highest_run_by_task[order.task] = max(
            order.run, self.highest_run_by_task.get(order.task, RunNumber(0))
        )
        run = self.runs.get(order.task)
        if run is not None and run.order.run <= order.run and not run.is_stopping:
            run.is_stopping = True
            self.pool.clock.call_later(STOP_DURATION, lambda: self._finish_stop(run))
        return OrderResult.ACCEPTED

    def _finish_stop(self, run: LiveRun) -> None:
        if self.runs.get(run.order.task) is run:
            self._end_run(run, Outcome.STOPPED)

    def poll(self, order: Poll, answer: Callable[[PollAnswered], None]) -> None:
        """Renew the lease; answer at the next end of a run, or once the wait is over."""
        if order.life.id != self.life.id:
            answer(PollAnswered(order.life, OrderResult.OTHER_LIFE, self.clock))
            return
        if order.fence < self.fence:
            answer(PollAnswered(order.life, OrderResult.FENCED, self.clock))
            return
        self.fence = order.fence
        if order.lease_end is not None and order.lease_end > self.clock:
            self._extend_lease(order.lease_end)
        for row in [row for row in self.unacknowledged_ends if row.number <= order.acknowledged]:
            self.unacknowledged_ends.remove(row)
            self.pool.observer.end_acknowledged(self, row)
        self.open_polls.append((order, answer))
        if self.unacknowledged_ends or order.wait <= 0:
            self._answer_polls()
        else:
            self.pool.clock.call_later(order.wait, lambda: self._answer_poll(order))

    def _answer_poll(self, order: Poll) -> None:
        if any(open_order is order for open_order, _ in self.open_polls):
            self._answer_polls()

    def _answer_polls(self) -> None:
        polls, self.open_polls = self.open_polls, []
        now = self.pool.clock.now
        for order, answer in polls:
            if order.life != self.life:
                # The order names only the id, so it was carried out; the answer tells the life.
                answer(PollAnswered(order.life, OrderResult.OTHER_LIFE, self.clock, self.life))
                continue
            running = tuple(
                ListedRun(
                    run.order.task, run.order.run, run.latest_checkpoint(now), run.percent_done(now)
                )
                for run in self.runs.values()
            )
            answer(
                PollAnswered(
                    order.life,
                    OrderResult.ACCEPTED,
                    self.clock,
                    running=running,
                    ended=tuple(self.unacknowledged_ends),
                )
            )

    # Leases and ends.

    def _extend_lease(self, lease_end: Seconds) -> None:
        self.lease_end = max(self.lease_end, min(lease_end, self.clock + LONGEST_LEASE))
        seconds_left = (self.lease_end - self.clock) / self.clock_rate
        life, end = self.life, self.lease_end
        self.pool.clock.call_later(seconds_left + 0.001, lambda: self._expire_lease(life, end))

    def _expire_lease(self, life: WorkerLife, end: float) -> None:
        if not self.is_up or self.life != life or self.lease_end > end:
            return
        self.lease_expired_at = self.pool.clock.now
        for run in list(self.runs.values()):
            if self.runs.get(run.order.task) is run:
                self._end_run(run, Outcome.LEASE_EXPIRED)

    def _end_run(self, run: LiveRun, outcome: Outcome) -> None:
        self._remove_run(run, outcome)
        self.end_count += 1
        self.ended_at_by_number[self.end_count] = self.pool.clock.now
        row = ListedEnd(
            self.end_count,
            run.order.task,
            run.order.run,
            outcome,
            run.latest_checkpoint(self.pool.clock.now),
        )
        self.unacknowledged_ends.append(row)
        self._answer_polls()

    def _remove_run(self, run: LiveRun, outcome: Outcome) -> None:
        task = run.order.task
        others = self.pool.gang_members(run) if run.step.is_gang else []
        del self.runs[task]
        self.highest_run_by_task[task] = max(
            run.order.run, self.highest_run_by_task.get(task, RunNumber(0))
        )
        self.pool.observer.run_ended(self, run, outcome)
        if outcome is Outcome.DONE:
            for worker, other in others:
                if other is not run and worker.runs.get(other.order.task) is other:
                    worker._end_member(other, Outcome.DONE)
            return
        if run.started_at == math.inf:
            return
        for worker, other in others:
            if other is not run and worker.runs.get(other.order.task) is other:
                worker._end_member(other, Outcome.GANG_BROKEN)

    def _end_member(self, run: LiveRun, outcome: Outcome) -> None:
        """End a member of a gang because another member ended."""
        task = run.order.task
        del self.runs[task]
        self.highest_run_by_task[task] = max(
            run.order.run, self.highest_run_by_task.get(task, RunNumber(0))
        )
        self.pool.observer.run_ended(self, run, outcome)
        self.end_count += 1
        self.ended_at_by_number[self.end_count] = self.pool.clock.now
        saved = run.latest_checkpoint(self.pool.clock.now)
        self.unacknowledged_ends.append(
            ListedEnd(self.end_count, task, run.order.run, outcome, saved)
        )
        self._answer_polls()
