"""
standins.domain_standing
~~~~~~~~~~~~~~~~~~~~~~~~

Checks that no accepted job stands: that none has nothing running for seconds on end while one of
its tasks could run. It reads what workers run and what callers were told, in virtual and in real
time, and no scheduler's view.
"""

import itertools
import math
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from enum import Enum
from typing import NamedTuple, Protocol, TypeVar

import msgspec

from bulrushhollow_core.domain import (
    Availability,
    Occurrence,
    OrderStart,
    Resources,
    RunNumber,
    Step,
    StepRef,
    TaskRef,
    Work,
    WorkerLife,
)
from bulrushhollow_core.domain.fleet import slots_in
from bulrushhollow_core.domain.model import NO_RESOURCES, total_of
from bulrushhollow_core.ids import JobId, WorkspaceId
from standins.domain_oracle import Oracle
from standins.domain_workers import LONGEST_LEASE, Worker, WorkerPool

Key = TypeVar("Key")

STANDING_LIMIT = 3.0
"""Seconds for which a job may have nothing running while one of its tasks could run."""

CALM_BEFORE = 4.0
"""Seconds without a fault from which on a span counts: the platform's `contact-ms`."""

ROOM_FACTOR = 2
"""How many times over there must be room for what could start."""

LATE_START_WINDOW = 12.5
"""Seconds after an order to start during which it may be carried out if it goes unanswered: the
timeout of the order, and the twelve seconds by which a worker may be late."""

EARLIER_START_WINDOW = LATE_START_WINDOW + 2.0
"""The same after a change of leader, since an earlier leader may have repeated the order."""

LEASE_WINDOW = LONGEST_LEASE + 1.0
"""Seconds after a run was lost during which its lease may last, with the time until the silence of
its worker is noticed."""

EVIDENCE_WINDOW = 15.0 + LEASE_WINDOW
"""Seconds after a run was lost during which the crash of its worker may wait for proof."""

LOSSES_TO_AWAIT_EVIDENCE = 3
"""Workers that must be lost under a task before its next start may wait for proof."""


class Excuse(Enum):
    """Why a task need not start although it could, by what observers know."""

    LATE_START = "a start of it went unanswered"
    LATE_START_OF_OTHERS = "unanswered starts may take the cap or the room"
    EARLIER_LEADER = "a start by an earlier leader may be carried out"
    LEASE = "its last run was lost, and the lease may last"
    UNHEARD_END = "its last run ended, and no worker in reach lists that"
    EVIDENCE = "the cause of several losses is awaited"


class StartAttempt(NamedTuple):
    """One attempt to order a start; each that gets no answer may be carried out late."""

    number: int
    task: TaskRef
    run: RunNumber
    ordered_at: float
    worker: str
    needs: Resources


class LostRun(NamedTuple):
    """A run that ended with the life of its worker."""

    lost_at: float
    life: WorkerLife


class Chance(NamedTuple):
    """
    A step that could run now.

    :param places: tasks of it for which there is room.
    :param wanted_places: places without which the step need not start.
    :param used: what the job's workspace uses.
    :param cap: the lowest cap that may be in force; 0 for no limit.
    :param excuses: why it need not start all the same.
    """

    step: StepRef
    places: int
    wanted_places: int
    used: Resources
    cap: Resources
    excuses: frozenset[Excuse]


class Standing(msgspec.Struct):
    """
    A job that stood.

    :param since: when one of its tasks could run at first.
    :param until: when that was last so.
    :param run_count: runs that the job has had.
    :param chance: the step that could run, as it was when the time limit was reached.
    """

    job: JobId
    since: float
    until: float
    run_count: int
    chance: Chance
    is_reported: bool = False

    def __str__(self) -> str:
        """Return the job, the step, the times, and what was free."""
        chance = self.chance
        excuses = "; ".join(sorted(excuse.value for excuse in chance.excuses))
        return (
            f"job {self.job} has nothing running from {self.since:.2f} to {self.until:.2f}, step"
            f" {chance.step.occurrence}.{chance.step.step} could run ({self.run_count} runs so far,"
            f" {chance.places} places of {chance.wanted_places}, {chance.used} used of"
            f" {chance.cap})" + (f": {excuses}" if excuses else "")
        )


class ObservedSite(Protocol):
    """The calls of callers, and the faults of instances and workers."""

    now: float
    wall: float
    work_by_job: dict[JobId, Work]
    cancelled_jobs: set[JobId]
    announced_lives: set[WorkerLife]
    worker_pool: WorkerPool
    oracle: Oracle

    def accepted_jobs(self) -> Iterable[JobId]:
        """Return the jobs whose acceptance callers were told."""

    def has_ended(self, job: JobId) -> bool:
        """Return whether callers are told that a job has ended."""

    def is_core_disturbed(self) -> bool:
        """Return whether a fault of instances is in force or has come since the last call."""

    def is_cut_off(self, worker: Worker) -> bool:
        """Return whether a worker and any instance can't reach each other."""

    def held_tasks(self) -> Collection[TaskRef]:
        """Return the tasks that the leader holds for starts of earlier leaders, where known."""


class StandingCheck:
    """
    Records the accepted jobs that stand.

    A job stands if, for `STANDING_LIMIT` without a break, it has nothing running and one of its
    steps could run:

    - the ends of the steps that it depends on are acknowledged, and it is due;
    - there are places for it twice over on workers that are in touch and ready: for two tasks of an
      independent step, for all tasks of a gang twice. Labels and limits for each worker count; one
      rack and the rack of the data are preferences, and don't;
    - its workspace uses under half of each resource of its cap, and the start stays within the cap;
      of the caps that may be in force or were so `CALM_BEFORE` ago, the lowest counts;
    - under half of each resource of the workers in touch is in use.

    Nothing counts within `CALM_BEFORE` of a fault of an instance, of a cut between instances or of
    a change of leader. A worker is in touch if it has been ready, announced and sound, with neither
    a cut nor an unanswered order nor a change of its capacity, for `CALM_BEFORE`. What runs on
    others counts as in use.

    Not violations, but recorded in `standing_while_excused`, are spans in which each step that
    could run had one of these excuses; the limit counts anew from their end:

    - `LATE_START`: an order to start the task got no answer in time and may be carried out for
      `LATE_START_WINDOW`, also in a later life of its worker, where neither the answer to a further
      attempt nor an end of that run prevents it. The task would then run twice.
    - `LATE_START_OF_OTHERS`: with such orders for other tasks counted as runs, the workspace uses
      half of its cap, the start exceeds it, or there are too few places.
    - `EARLIER_LEADER`: the leader holds the task, and has led for less than
      `EARLIER_START_WINDOW`: a start that an earlier leader recorded may be on its way. No observer
      sees that one, so this is the only excuse that takes the scheduler's word, and only for that
      time.
    - `LEASE`: the last run of the task was lost with its worker, and the lease may last.
    - `UNHEARD_END`: a run of the task ended on a worker that is not in touch, or was done on one
      that crashed before the end was acknowledged: it may be recorded or not.
    - `EVIDENCE`: three workers were lost under the task, not all of which have come back, and the
      last loss is no older than `EVIDENCE_WINDOW`.

    A gang has the excuses of all of its tasks; an independent step has one only if all of its tasks
    do.

    :ivar standing: jobs that stood without an excuse.
    :ivar standing_while_excused: jobs that stood, and had an excuse for at least a part of it.
    """

    def __init__(self, site: ObservedSite) -> None:
        """Start without any record."""
        self._site = site
        self.standing: list[Standing] = []
        self.standing_while_excused: list[Standing] = []
        self._open_by_job: dict[JobId, Standing] = {}
        self._open_unexcused_by_job: dict[JobId, Standing] = {}
        self._ended_jobs: set[JobId] = set()
        self._core_disturbed_at = -math.inf
        self._disturbed_at_by_worker: dict[str, float] = {}
        self._seen_by_worker: dict[str, tuple[WorkerLife, Resources]] = {}
        self._unanswered_starts: dict[int, StartAttempt] = {}
        self._attempt_numbers = itertools.count()
        self._losses_by_task: dict[TaskRef, list[LostRun]] = {}
        self._started_at_by_job: dict[JobId, float] = {}
        self._run_count_by_job: Counter[JobId] = Counter()

    # Events.

    def start_ordered(self, order: OrderStart, worker: Worker) -> StartAttempt:
        """Record and return an attempt to order a start; it is unanswered at first."""
        number, needs = next(self._attempt_numbers), self._site.oracle.step(order.task).needs
        attempt = StartAttempt(number, order.task, order.run, self._site.now, worker.name, needs)
        self._unanswered_starts[number] = attempt
        return attempt

    def start_answered(self, attempt: StartAttempt) -> None:
        """Record that the leader got the answer to an order to start in time."""
        self._unanswered_starts.pop(attempt.number, None)

    def order_unanswered(self, worker: Worker) -> None:
        """Record that an order to a worker got no answer in time."""
        self._disturbed_at_by_worker[worker.name] = self._site.now

    def run_started(self, task: TaskRef) -> None:
        """Record the start of a run on a worker."""
        self._started_at_by_job[task.job] = self._site.now
        self._run_count_by_job[task.job] += 1

    def run_lost(self, task: TaskRef, worker: Worker) -> None:
        """Record that a run ended with its worker's life or lease."""
        losses = self._losses_by_task.setdefault(task, [])
        losses.append(LostRun(self._site.now, worker.life))

    # The check.

    def observe(self) -> None:
        """Check every accepted job; called several times a second."""
        site, now = self._site, self._site.now
        if site.is_core_disturbed():
            self._core_disturbed_at = now
        workers = site.worker_pool.workers
        in_touch = [worker for worker in workers if self._is_in_touch(worker)]
        self._forget_old_starts()
        is_calm = now - self._core_disturbed_at >= CALM_BEFORE
        if not is_calm or _is_half_used(workers, in_touch):
            self._open_by_job.clear()
            self._open_unexcused_by_job.clear()
            return
        running_jobs = {task.job for worker in workers for task in worker.runs}
        view = _View(self, in_touch)
        for job in site.accepted_jobs():
            if job not in self._ended_jobs:
                is_idle = job not in running_jobs and job not in site.cancelled_jobs
                self._check_job(job, view.chances(job) if is_idle else [])

    def _check_job(self, job: JobId, chances: list[Chance]) -> None:
        if chances and self._site.has_ended(job):
            self._ended_jobs.add(job)
            chances = []
        unexcused = [chance for chance in chances if not chance.excuses]
        standing = self._extend(self._open_by_job, job, chances)
        without_excuse = self._extend(self._open_unexcused_by_job, job, unexcused)
        if without_excuse is not None and self._is_new(without_excuse):
            self.standing.append(without_excuse)
        had_excuse = standing is not None and (
            without_excuse is None or without_excuse.since > standing.since
        )
        if standing is not None and had_excuse and self._is_new(standing):
            self.standing_while_excused.append(standing)

    def _extend(
        self, open_by_job: dict[JobId, Standing], job: JobId, chances: list[Chance]
    ) -> Standing | None:
        """Return the open span of a job, extended up to now; None if it has none."""
        now = self._site.now
        span = open_by_job.get(job)
        if span is not None and self._started_at_by_job.get(job, -math.inf) > span.since:
            span = None
        if not chances:
            open_by_job.pop(job, None)
            return None
        if span is None:
            span = Standing(job, now, now, self._run_count_by_job[job], chances[0])
            open_by_job[job] = span
        if not self._is_over_limit(span):
            span.chance = chances[0]
        span.until = now
        return span

    def _is_over_limit(self, span: Standing) -> bool:
        # Sums of steps of a tenth of a second are a little short of whole seconds.
        return span.until - span.since >= STANDING_LIMIT - 1e-6

    def _is_new(self, span: Standing) -> bool:
        """Return whether a span has just reached the limit."""
        is_new = self._is_over_limit(span) and not span.is_reported
        span.is_reported = span.is_reported or is_new
        return is_new

    def _is_in_touch(self, worker: Worker) -> bool:
        """Update since when a worker has been sound, and return whether that is long enough."""
        now, name = self._site.now, worker.name
        seen = (worker.life, worker.capacity)
        is_sound = (
            worker.is_up
            and worker.availability is Availability.READY
            and not worker.is_grey
            and worker.life in self._site.announced_lives
            and not self._site.is_cut_off(worker)
            and self._seen_by_worker.get(name) == seen
        )
        self._seen_by_worker[name] = seen
        if not is_sound:
            self._disturbed_at_by_worker[name] = now
        return now - self._disturbed_at_by_worker.get(name, -math.inf) >= CALM_BEFORE

    def _forget_old_starts(self) -> None:
        oldest = self._site.now - LATE_START_WINDOW
        attempts = list(self._unanswered_starts.values())
        for attempt in itertools.takewhile(lambda each: each.ordered_at < oldest, attempts):
            del self._unanswered_starts[attempt.number]


class _View:
    """
    What could start at one moment.

    :param in_touch: workers that may get work.
    """

    def __init__(self, check: StandingCheck, in_touch: list[Worker]) -> None:
        """Sum up what is in use, with and without unanswered starts."""
        site = self._site = check._site
        self._check = check
        self._in_touch = in_touch
        names_in_touch = {worker.name for worker in in_touch}
        self._used_by_workspace: dict[WorkspaceId, Resources] = {}
        self._late_by_workspace: dict[WorkspaceId, Resources] = {}
        self._late_by_worker: dict[str, Resources] = {}
        running: set[tuple[TaskRef, RunNumber]] = set()
        for worker in site.worker_pool.workers:
            for task, run in worker.runs.items():
                running.add((task, run.order.run))
                _add(self._used_by_workspace, site.oracle.workspace_of(task.job), run.step.needs)
        attempts = check._unanswered_starts.values()
        last_attempts = {(each.task, each.run): each for each in attempts}
        for ref, attempt in last_attempts.items():
            if ref not in running:
                workspace = site.oracle.workspace_of(attempt.task.job)
                _add(self._late_by_workspace, workspace, attempt.needs)
                _add(self._late_by_worker, attempt.worker, attempt.needs)
        self._late_tasks = {each.task for each in attempts}
        leads_anew = site.now - check._core_disturbed_at < EARLIER_START_WINDOW
        self._held_tasks = set(site.held_tasks()) if leads_anew else set()
        listed: dict[bool, set[TaskRef]] = {True: set(), False: set()}
        for worker in site.worker_pool.workers:
            if worker.is_up:
                ended = (row.task for row in worker.unacknowledged_ends)
                listed[worker.name in names_in_touch].update(ended)
        # An end that no worker lists any more may have been read before its worker crashed.
        self._unheard_tasks = listed[False] | (site.oracle.done_tasks - listed[True])

    def chances(self, job: JobId) -> list[Chance]:
        """Return the steps of a job that could run, those with the fewest excuses first."""
        chances = (self._chance_of(ref) for ref in self._waiting_steps(job))
        return sorted(
            (chance for chance in chances if chance is not None),
            key=lambda chance: (len(chance.excuses), chance.step),
        )

    def _waiting_steps(self, job: JobId) -> list[StepRef]:
        """Return the steps whose turn has come and that are not done."""
        work = self._site.work_by_job[job]
        wall = self._site.wall
        due = [
            Occurrence(number)
            for number in range(max(1, work.occurrences))
            if not work.occurrences or wall >= work.first_due_at + number * work.interval
        ]
        undone = [ref for occurrence in due for ref in self._undone_steps(job, occurrence)]
        if not undone and len(due) == max(1, work.occurrences):
            self._check._ended_jobs.add(job)
        return [
            ref
            for ref in undone
            if not any(
                ref._replace(step=other) in undone for other in work.steps[ref.step].depends_on
            )
        ]

    def _undone_steps(self, job: JobId, occurrence: Occurrence) -> Iterator[StepRef]:
        done = self._site.oracle.recorded_done_tasks
        for number, step in enumerate(self._site.work_by_job[job].steps):
            ref = StepRef(job, occurrence, number)
            if any(ref.task(index) not in done for index in range(step.count)):
                yield ref

    def _chance_of(self, ref: StepRef) -> Chance | None:
        """Return the chance of a step; None if it could not run."""
        step = self._site.work_by_job[ref.job].steps[ref.step]
        workspace = self._site.oracle.workspace_of(ref.job)
        cap = self._site.oracle.lowest_cap(workspace, CALM_BEFORE)
        count = step.count if step.is_gang else 1
        wanted = ROOM_FACTOR * count
        used = self._used_by_workspace.get(workspace, NO_RESOURCES)
        places = self._places(ref, step, {})
        needs = step.needs.times(count)
        if places < wanted or not _leaves_half(used, needs, cap):
            return None
        excuses = self._excuses_of(ref, step)
        late = self._late_by_workspace.get(workspace, NO_RESOURCES)
        if not _leaves_half(used.plus(late), needs, cap) or (
            self._late_by_worker and self._places(ref, step, self._late_by_worker) < wanted
        ):
            excuses |= {Excuse.LATE_START_OF_OTHERS}
        return Chance(ref, places, wanted, used, cap, frozenset(excuses))

    def _places(self, ref: StepRef, step: Step, late_by_worker: dict[str, Resources]) -> int:
        """Return how many tasks of a step there is room for."""
        return sum(
            _places_on(worker, step, late_by_worker.get(worker.name, NO_RESOURCES))
            for worker in self._in_touch
            if not step.required_label or step.required_label in ("a", worker.rack)
        )

    def _excuses_of(self, ref: StepRef, step: Step) -> set[Excuse]:
        done = self._site.oracle.recorded_done_tasks
        tasks = [ref.task(index) for index in range(step.count) if ref.task(index) not in done]
        excuses = [self._excuses_of_task(task) for task in tasks]
        if not step.is_gang and not all(excuses):
            return set()
        return set().union(*excuses)

    def _excuses_of_task(self, task: TaskRef) -> set[Excuse]:
        now = self._site.now
        losses = self._check._losses_by_task.get(task, ())
        lost_at = losses[-1].lost_at if losses else -math.inf
        return {
            excuse
            for excuse, applies in (
                (Excuse.LATE_START, task in self._late_tasks),
                (Excuse.EARLIER_LEADER, task in self._held_tasks),
                (Excuse.LEASE, now - lost_at < LEASE_WINDOW),
                (Excuse.UNHEARD_END, task in self._unheard_tasks),
                (
                    Excuse.EVIDENCE,
                    now - lost_at < EVIDENCE_WINDOW and self._awaits_evidence(losses),
                ),
            )
            if applies
        }

    def _awaits_evidence(self, losses: Iterable[LostRun]) -> bool:
        """Return whether several workers were lost and not all of them have come back."""
        lives = {loss.life for loss in losses}
        announced = self._site.announced_lives
        workers = self._site.worker_pool.workers
        has_come_back = all(
            any(
                worker.life.born > life.born
                and worker.life in announced
                and worker.name == life.id.partition("-")[0]
                for worker in workers
            )
            for life in lives
        )
        return len(lives) >= LOSSES_TO_AWAIT_EVIDENCE and not has_come_back


def _add(totals: dict[Key, Resources], key: Key, needs: Resources) -> None:
    totals[key] = totals.get(key, NO_RESOURCES).plus(needs)


def _places_on(worker: Worker, step: Step, late: Resources) -> int:
    """Return how many tasks of a step, which has none at work, a worker has room for."""
    free = worker.capacity.minus(worker.used).minus(late)
    most = step.max_per_worker or ROOM_FACTOR * step.count
    return slots_in(free, step.needs, most) if step.needs.fits(free) else 0


def _leaves_half(used: Resources, needs: Resources, cap: Resources) -> bool:
    """Return whether under half of a cap is used, and a start stays within it."""
    return all(
        limit == 0 or (2 * taken < limit and taken + need <= limit)
        for limit, taken, need in zip(
            msgspec.structs.astuple(cap),
            msgspec.structs.astuple(used),
            msgspec.structs.astuple(needs),
            strict=True,
        )
    )


def _is_half_used(workers: Iterable[Worker], in_touch: Iterable[Worker]) -> bool:
    """Return whether half of any resource of the workers in touch is in use, on all workers."""
    used = total_of((worker.used, 1) for worker in workers)
    capacity = total_of((worker.capacity, 1) for worker in in_touch)
    return any(
        2 * taken >= limit
        for taken, limit in zip(
            msgspec.structs.astuple(used), msgspec.structs.astuple(capacity), strict=True
        )
    )
