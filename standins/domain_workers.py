"""
standins.domain_workers
~~~~~~~~~~~~~~~~~~~~~~~

Workers of a domain, in virtual or in real time: leases, fences, gangs, checkpoints and ends.
"""

import math
import random
from collections.abc import Callable
from typing import Protocol

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
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds, Term, WorkerId

LONGEST_LEASE = Seconds(6.0)
"""Seconds of the longest lease that a worker grants."""

STOP_TIME = 0.3
"""Seconds that a stop takes."""

GANG_TIME = 3.0
"""Seconds that a member of a gang waits for the others."""

SAVE_EVERY = 1.0
"""Seconds of work between two checkpoints."""


def unanswered(
    order: OrderStart | OrderStop | Poll,
) -> StartAnswered | StopAnswered | PollAnswered:
    """Return what a leader is told of an order that nobody answered."""
    silent = OrderResult.NO_ANSWER
    match order:
        case OrderStart():
            return StartAnswered(order.life, order.task, order.run, silent, None)
        case OrderStop():
            return StopAnswered(order.life, order.task, order.run, silent, None)
        case Poll():
            return PollAnswered(order.life, silent)


class Watcher(Protocol):
    """Told of what workers do."""

    def started(self, worker: "Worker", order: OrderStart) -> None:
        """A run has begun."""

    def ended(self, worker: "Worker", run: "LiveRun", outcome: Outcome) -> None:
        """A run is over."""

    def acknowledged(self, worker: "Worker", row: ListedEnd) -> None:
        """An end was taken note of."""


class Clock(Protocol):
    """A clock in virtual or in real time."""

    now: float

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call the callback after a delay in seconds."""


class LiveRun:
    """
    A run on a worker.

    :param duration: seconds of work that the task takes in all.
    """

    def __init__(self, order: OrderStart, step: Step, duration: float, at: float) -> None:
        self.order = order
        self.step = step
        self.duration = duration
        self.arrived_at = at
        self.begun_at = math.inf
        self.is_stopping = False
        self.slowness = 1.0
        """Seconds that one second of its work takes here."""
        self.done_before = float(order.checkpoint.partition(":")[2] or 0.0)

    def progress(self, now: float) -> float:
        """Return seconds of work that are done."""
        return self.done_before + max(0.0, now - self.begun_at) / self.slowness

    def saved(self, now: float) -> str:
        """Return the latest checkpoint; one is made at a stop as well."""
        progress = self.progress(now)
        if not self.step.is_checkpointable or progress < SAVE_EVERY:
            return self.order.checkpoint
        kept = progress if self.is_stopping else int(progress / SAVE_EVERY) * SAVE_EVERY
        return f"{self.order.task.job}:{kept:.3f}"

    def percent(self, now: float) -> int:
        """Return how far it is."""
        return min(100, int(100 * self.progress(now) / self.duration))


class Site:
    """
    All workers, and the gangs that run over several of them.

    :param remote_factor: times as long that a task takes away from its data, or a gang that wants
        one rack on several.
    """

    def __init__(
        self,
        clock: Clock,
        watcher: Watcher,
        step_of: Callable[[TaskRef], Step],
        duration_of: Callable[[TaskRef], float],
        rng: random.Random,
        remote_factor: float = 1.0,
    ) -> None:
        self.remote_factor = remote_factor
        self.clock = clock
        self.watcher = watcher
        self.step_of = step_of
        self.duration_of = duration_of
        self.rng = rng
        self.workers: list[Worker] = []

    def gang(self, run: LiveRun) -> list[tuple["Worker", LiveRun]]:
        """Return the members of a run's gang that are present."""
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
    One machine for tasks, with one life after the other.

    :param slowness: seconds that one second of work takes on it.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        data_centre: str,
        rack: str,
        capacity: Resources,
        born: int,
        slowness: float = 1.0,
    ) -> None:
        self.site = site
        self.slowness = slowness
        self.name = name
        self.address = f"{name}:80"
        self.data_centre = DataCentreId(data_centre)
        self.rack = RackId(rack)
        self.capacity = capacity
        self.is_up = True
        self.is_grey = False
        self.is_late = False
        self.availability = Availability.READY
        self.remaining = 0.0
        self.rate = site.rng.uniform(0.98, 1.02)
        self.begin(born)
        site.workers.append(self)

    def begin(self, born: int) -> None:
        """Begin a new life that knows nothing."""
        self.life = WorkerLife(WorkerId(self.name), born)
        self.is_up = True
        self.runs: dict[TaskRef, LiveRun] = {}
        self.ends: list[ListedEnd] = []
        self.highest: dict[TaskRef, RunNumber] = {}
        self.fence = Term(0)
        self.lease_end = -math.inf
        self.lapsed_at = -math.inf
        self.ended_at: dict[int, float] = {}
        self.sequence = 0
        self.count = 0
        self.polls: list[tuple[Poll, Callable[[PollAnswered], None]]] = []
        self.offset = self.site.rng.uniform(0, 1000)
        self.since = self.site.clock.now

    @property
    def clock(self) -> Seconds:
        """Return its own steady clock."""
        return Seconds(self.offset + (self.site.clock.now - self.since) * self.rate)

    def crash(self) -> None:
        """End its life; nothing that it ran goes on."""
        for run in list(self.runs.values()):
            if self.runs.get(run.order.task) is run:
                self._drop(run, Outcome.LOST)
        self.is_up = False
        self.polls = []

    def news(self) -> WorkerNews:
        """Return what it announces."""
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
        present = self.runs.get(order.task)
        if present is not None and present.order.run == order.run:
            return OrderResult.ACCEPTED
        if order.lease_end <= self.clock:
            return OrderResult.LATE
        self._extend(order.lease_end)
        if order.run <= self.highest.get(order.task, 0) or present is not None:
            return OrderResult.SUPERSEDED
        step = self.site.step_of(order.task)
        used = Resources(0, 0, 0)
        for other in self.runs.values():
            used = used.plus(other.step.needs)
        if not step.needs.fits(self.capacity.minus(used)):
            return OrderResult.NO_ROOM
        now = self.site.clock.now
        run = LiveRun(order, step, self.site.duration_of(order.task), now)
        self.runs[order.task] = run
        self.site.watcher.started(self, order)
        if step.is_gang:
            self._join(run)
        else:
            self._work([(self, run)])
        return OrderResult.ACCEPTED

    def _join(self, run: LiveRun) -> None:
        members = self.site.gang(run)
        if len(members) == run.step.count:
            self._work(members)
            return
        self.site.clock.call_later(GANG_TIME, lambda: self._give_up(run))

    def _give_up(self, run: LiveRun) -> None:
        if self.runs.get(run.order.task) is run and run.begun_at == math.inf:
            self._end(run, Outcome.GANG_INCOMPLETE)

    def _work(self, members: list[tuple["Worker", LiveRun]]) -> None:
        now = self.site.clock.now
        remote = self._remote_factor_of(members)
        for worker, run in members:
            run.begun_at = now
            run.slowness = worker.slowness * remote
        left = max(run.slowness * (run.duration - run.done_before) for _, run in members)
        for worker, run in members:
            fails = worker.is_grey or self.site.rng.random() < 0.01
            outcome = Outcome.FAILED if fails else Outcome.DONE
            delay = 0.2 if fails else max(0.01, left)
            worker.site.clock.call_later(delay, lambda w=worker, r=run, o=outcome: w._finish(r, o))

    def _remote_factor_of(self, members: list[tuple["Worker", LiveRun]]) -> float:
        """Return how many times as long they take for where they are."""
        step = members[0][1].step
        racks = {worker.rack for worker, _ in members}
        is_remote = step.same_rack and len(racks) > 1
        is_remote = is_remote or bool(step.data_rack) and racks != {step.data_rack}
        return self.site.remote_factor if is_remote else 1.0

    def _finish(self, run: LiveRun, outcome: Outcome) -> None:
        if self.is_up and self.runs.get(run.order.task) is run and not run.is_stopping:
            self._end(run, outcome)

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
        self.highest[order.task] = max(order.run, self.highest.get(order.task, RunNumber(0)))
        run = self.runs.get(order.task)
        if run is not None and run.order.run <= order.run and not run.is_stopping:
            run.is_stopping = True
            self.site.clock.call_later(STOP_TIME, lambda: self._stopped(run))
        return OrderResult.ACCEPTED

    def _stopped(self, run: LiveRun) -> None:
        if self.runs.get(run.order.task) is run:
            self._end(run, Outcome.STOPPED)

    def poll(self, order: Poll, answer: Callable[[PollAnswered], None]) -> None:
        """Renew the lease; answer at once if there is an end, else at one or after the wait."""
        if order.life.id != self.life.id:
            answer(PollAnswered(order.life, OrderResult.OTHER_LIFE, self.clock))
            return
        if order.life != self.life:
            answer(PollAnswered(order.life, OrderResult.OTHER_LIFE, self.clock, self.life))
            return
        if order.fence < self.fence:
            answer(PollAnswered(order.life, OrderResult.FENCED, self.clock))
            return
        self.fence = order.fence
        if order.lease_end is not None and order.lease_end > self.clock:
            self._extend(order.lease_end)
        for row in [row for row in self.ends if row.number <= order.acknowledged]:
            self.ends.remove(row)
            self.site.watcher.acknowledged(self, row)
        self.polls.append((order, answer))
        if self.ends or order.wait <= 0:
            self._answer_polls()
        else:
            self.site.clock.call_later(order.wait, lambda: self._answer_poll(order))

    def _answer_poll(self, order: Poll) -> None:
        if any(waiting is order for waiting, _ in self.polls):
            self._answer_polls()

    def _answer_polls(self) -> None:
        polls, self.polls = self.polls, []
        now = self.site.clock.now
        for order, answer in polls:
            running = tuple(
                ListedRun(run.order.task, run.order.run, run.saved(now), run.percent(now))
                for run in self.runs.values()
            )
            answer(
                PollAnswered(
                    order.life,
                    OrderResult.ACCEPTED,
                    self.clock,
                    running=running,
                    ended=tuple(self.ends),
                )
            )

    # Leases and ends.

    def _extend(self, lease_end: Seconds) -> None:
        self.lease_end = max(self.lease_end, min(lease_end, self.clock + LONGEST_LEASE))
        left = (self.lease_end - self.clock) / self.rate
        life, end = self.life, self.lease_end
        self.site.clock.call_later(left + 0.001, lambda: self._lapse(life, end))

    def _lapse(self, life: WorkerLife, end: float) -> None:
        if not self.is_up or self.life != life or self.lease_end > end:
            return
        self.lapsed_at = self.site.clock.now
        for run in list(self.runs.values()):
            if self.runs.get(run.order.task) is run:
                self._end(run, Outcome.LEASE_EXPIRED)

    def _end(self, run: LiveRun, outcome: Outcome) -> None:
        self._drop(run, outcome)
        self.count += 1
        self.ended_at[self.count] = self.site.clock.now
        row = ListedEnd(
            self.count, run.order.task, run.order.run, outcome, run.saved(self.site.clock.now)
        )
        self.ends.append(row)
        self._answer_polls()

    def _drop(self, run: LiveRun, outcome: Outcome) -> None:
        task = run.order.task
        others = self.site.gang(run) if run.step.is_gang else []
        del self.runs[task]
        self.highest[task] = max(run.order.run, self.highest.get(task, RunNumber(0)))
        self.site.watcher.ended(self, run, outcome)
        if outcome is Outcome.DONE:
            for worker, other in others:
                if other is not run and worker.runs.get(other.order.task) is other:
                    worker._end_quietly(other, Outcome.DONE)
            return
        if run.begun_at == math.inf:
            return
        for worker, other in others:
            if other is not run and worker.runs.get(other.order.task) is other:
                worker._end_quietly(other, Outcome.GANG_BROKEN)

    def _end_quietly(self, run: LiveRun, outcome: Outcome) -> None:
        """End a member because another one ended."""
        task = run.order.task
        del self.runs[task]
        self.highest[task] = max(run.order.run, self.highest.get(task, RunNumber(0)))
        self.site.watcher.ended(self, run, outcome)
        self.count += 1
        self.ended_at[self.count] = self.site.clock.now
        saved = run.saved(self.site.clock.now)
        self.ends.append(ListedEnd(self.count, task, run.order.run, outcome, saved))
        self._answer_polls()
