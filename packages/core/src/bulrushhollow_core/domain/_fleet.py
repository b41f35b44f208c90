"""
bulrushhollow_core.domain._fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader believes of the workers: what they say of themselves, how long their leases last
at the most, which runs take their room, and which of them are not to be trusted with work.
"""

import itertools
import math
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain._announcements import WorkerNews
from bulrushhollow_core.domain._jobs import NO_RESOURCES, Resources, RunNumber, TaskRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds, WorkerId

CLOCK_SLOWNESS = 0.98
"""Rate of the slowest clock of a worker against a true one; the platform promises 2 %."""

LEASE_MARGIN = Seconds(0.25)
"""Seconds added to the computed end of a lease, for the rounding of clocks and late timers."""

HEARTBEATS_MISSED = 2.5
"""Heartbeat intervals without any word after which a worker gets no new work."""

FAILURES_TO_QUARANTINE = 2
"""Jobs that failed on a worker in a row before it gets no new work for a while; one may be the
job's own fault."""

QUARANTINE = Seconds(6.0)
"""Length of a worker's first quarantine; about the length of a usual task."""

QUARANTINE_MAX = Seconds(48.0)
"""Length of its longest quarantine; each one is twice as long as the one before."""


UNKNOWN_DURATION = Seconds(0.0)
"""Duration of a run without an estimate."""

WHOLE = 100
"""Percent of work that is done."""

PACE_SAMPLE = Seconds(1.2)
"""Seconds of work after which a run's pace is judged; about half of a short task."""


LATE_ORDERS = Seconds(15.0)
"""Seconds for which an order without an answer may still be carried out; the platform says some
seconds, and was seen to take twelve."""

OVERDUE = Seconds(0.3)
"""Seconds after its expected end for which a run still counts as about to end."""


class RunRef(NamedTuple):
    """One run of one task."""

    task: TaskRef
    number: RunNumber


class RunPhase(Enum):
    """What the leader knows of a run."""

    PROPOSED = "proposed"
    """Its intent is on its way into the log."""
    STARTING = "starting"
    """Ordered, and not yet answered."""
    RUNNING = "running"
    STOPPING = "stopping"
    ADOPTED = "adopted"
    """Recorded by an earlier leader, and its worker not yet heard."""


class Run:
    """
    One run that may take room on a worker.

    :param needs: what it takes.
    :param duration: seconds that it is expected to take where it is.
    :param is_gang: whether it works only together with others.
    """

    def __init__(
        self,
        task: TaskRef,
        number: RunNumber,
        life: WorkerLife,
        needs: Resources,
        now: Seconds,
        duration: Seconds = UNKNOWN_DURATION,
        is_gang: bool = False,
    ) -> None:
        """Begin as proposed."""
        self.is_gang = is_gang
        self.duration = duration
        self.task = task
        self.number = number
        self.life = life
        self.needs = needs
        self.phase = RunPhase.PROPOSED
        self.begun_at = now
        self.tries = 0
        self.percent = 0
        self.paced_percent = 0
        """Latest percent that its pace can be told from."""
        self.first_percent: int | None = None
        self.first_percent_at = now
        self.progress_at = now
        self.sampled_at = now
        self.saved = ""
        self.saved_at = now
        self.stop_answered_at = Seconds(math.inf)
        self.stop_due = Seconds(-math.inf)
        self.accepted_at = Seconds(math.inf)

    def note_progress(self, percent: int, saved: str, now: Seconds) -> None:
        """Take in how far the worker says it is."""
        if self.first_percent is None:
            self.first_percent, self.first_percent_at = percent, now
        if percent < WHOLE:
            self.sampled_at = now
            self.paced_percent = percent
        if percent != self.percent:
            self.percent = percent
            self.progress_at = now
        if saved and saved != self.saved:
            self.saved = saved
            self.saved_at = now

    def begin(self, now: Seconds, is_fresh: bool) -> None:
        """
        Note that the worker has begun it.

        :param is_fresh: whether it begins without a checkpoint, hence at zero percent.
        """
        self.phase = RunPhase.RUNNING
        self.progress_at = now
        self.accepted_at = now
        if is_fresh:
            self.first_percent, self.first_percent_at = 0, now

    @property
    def is_waiting(self) -> bool:
        """Return whether its own work is done, and it waits for the others of its gang."""
        return self.is_gang and self.percent >= WHOLE

    def remaining(self, now: Seconds) -> Seconds:
        """Return the seconds that it is expected to take yet, by its progress if known."""
        if self.is_waiting:
            return Seconds(0.0)
        if self.first_percent is not None and self.paced_percent > self.first_percent:
            elapsed = max(0.05, self.sampled_at - self.first_percent_at)
            pace = (self.paced_percent - self.first_percent) / elapsed
            return Seconds((WHOLE - self.paced_percent) / pace - (now - self.sampled_at))
        return Seconds(max(0.1, self.duration - (now - self.begun_at)))

    def ends_within(self, limit: Seconds, now: Seconds) -> bool:
        """Return whether it is about to end by itself, as far as its fresh progress tells."""
        is_known = self.first_percent is not None and self.percent > self.first_percent
        if not is_known or self.phase is not RunPhase.RUNNING:
            return False
        return self.is_waiting or -OVERDUE <= self.remaining(now) <= limit

    def total(self) -> Seconds | None:
        """Return the seconds that it takes in all by its pace so far, if that can be told."""
        elapsed = self.sampled_at - self.first_percent_at
        if self.first_percent is None or elapsed < PACE_SAMPLE:
            return None
        return Seconds(WHOLE * elapsed / max(1, self.paced_percent - self.first_percent))


class Worker:
    """One life of a worker as the leader knows it."""

    def __init__(self, life: WorkerLife, address: str, now: Seconds) -> None:
        """Begin without its own word."""
        self.life = life
        self.address = address
        self.news: WorkerNews | None = None
        self.heard_at = now
        self.silent_since: Seconds | None = None
        self.runs_by_task: dict[TaskRef, Run] = {}
        """Changed by its fleet only, which keeps an index of them."""
        self._taken = NO_RESOURCES
        self.unanswered_starts: dict[RunRef, Seconds] = {}
        """When each start without an answer was given up; it may be carried out yet."""
        self.stops_due: dict[RunRef, Seconds] = {}
        """Runs that must not start in this life, and when to say so again."""
        self.stops_over: dict[RunRef, Seconds] = {}
        """When such a run, if it had begun, has surely ended after its stop was accepted."""
        self.listed_end = 0
        self.recorded_end = 0
        self.acknowledged_end = 0
        self.is_polled = False
        self.is_met = False
        """Whether it has answered a poll of this leader."""
        self.poll_due = Seconds(-math.inf)
        self.polled_at = Seconds(-math.inf)
        self.no_room_until = Seconds(-math.inf)
        self.quarantined_until = Seconds(-math.inf)
        self.leaves_at = Seconds(math.inf)
        self._quarantine = QUARANTINE
        self._failed_jobs: set[JobId] = set()
        self._clock: Seconds | None = None
        self._clock_at = now
        self._lease_end: Seconds | None = None

    @property
    def is_at_rest(self) -> bool:
        """Return whether it runs nothing, answers, and is owed neither a stop nor a receipt."""
        is_settled = self.is_met and self.silent_since is None and not self.stops_due
        return not self.runs_by_task and is_settled and self.recorded_end <= self.acknowledged_end

    @property
    def capacity(self) -> Resources:
        """Return all that it has, as far as is known."""
        return self.news.capacity if self.news else NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Return what no run takes."""
        return self.capacity.minus(self._taken)

    def place(self, run: Run) -> None:
        """Give room to a run."""
        self.runs_by_task[run.task] = run
        self._taken = self._taken.plus(run.needs)

    def release(self, task: TaskRef) -> Run:
        """Take the room of a run back."""
        run = self.runs_by_task.pop(task)
        self._taken = self._taken.minus(run.needs)
        return run

    def doubtful_tasks(self, now: Seconds) -> set[TaskRef]:
        """Return the tasks that a late order may have started in this life, until it is ended."""
        for ref in [ref for ref, at in self.stops_over.items() if now >= at]:
            del self.stops_over[ref]
        open_stops = (
            ref for ref in self.stops_due if now - self.unanswered_starts[ref] < LATE_ORDERS
        )
        return {ref.task for ref in itertools.chain(open_stops, self.stops_over)}

    # Its clock and its lease.

    def note_clock(self, clock: Seconds, now: Seconds) -> None:
        """Take in a reading of its clock that was made before now."""
        if self._clock is None or clock > self.clock_floor(now):
            self._clock, self._clock_at = clock, now

    def clock_floor(self, now: Seconds) -> Seconds:
        """Return what its clock shows at the least."""
        if self._clock is None:
            return Seconds(-math.inf)
        return Seconds(self._clock + (now - self._clock_at) * CLOCK_SLOWNESS)

    @property
    def has_clock(self) -> bool:
        """Return whether its clock was ever read."""
        return self._clock is not None

    def note_contact(self, clock: Seconds, longest_lease: Seconds, now: Seconds) -> None:
        """Take in an answer under this leader's fence: no earlier leader can extend its lease."""
        self.note_clock(clock, now)
        self.silent_since = None
        if self._lease_end is None:
            self._lease_end = Seconds(clock + longest_lease)

    def grant(self, length: Seconds, longest_lease: Seconds, now: Seconds) -> Seconds:
        """
        Return the end of a lease to send, by its clock, and count with it from now on, unless a
        lease that was granted before ends later.

        :param longest_lease: what an earlier leader may have granted just before this one.
        """
        assert self._clock is not None, "a lease is granted by the worker's clock"
        clock = self._clock + (now - self._clock_at)
        before = self._lease_end
        self._lease_end = Seconds(
            max(clock + length, clock + longest_lease if before is None else before)
        )
        return Seconds(clock + length)

    def expect_lease(self, longest_lease: Seconds, now: Seconds) -> None:
        """Count with a lease that an order to an earlier life may have set in this one."""
        if self._clock is not None:
            self.grant(longest_lease, longest_lease, now)

    def lease_is_over(self, led_since: Seconds, longest_lease: Seconds, now: Seconds) -> bool:
        """
        Return whether nothing that runs on it can still hold a lease.

        :param led_since: when this leader began; what an earlier one granted ran from before it.
        """
        limit = led_since + longest_lease / CLOCK_SLOWNESS + LEASE_MARGIN
        if self._lease_end is None or self._clock is None:
            return now > limit
        end = self._clock_at + (self._lease_end - self._clock) / CLOCK_SLOWNESS + LEASE_MARGIN
        return now > end

    # Trust.

    def note_failure(self, job: JobId, now: Seconds) -> bool:
        """
        Take in that a task failed on it.

        :return: whether it is quarantined for that.
        """
        self._failed_jobs.add(job)
        if len(self._failed_jobs) < FAILURES_TO_QUARANTINE:
            return False
        return self.quarantine(now)

    def quarantine(self, now: Seconds) -> bool:
        """Give it no new work for a while, twice as long each time."""
        if now < self.quarantined_until:
            return False
        self.quarantined_until = Seconds(now + self._quarantine)
        self._quarantine = Seconds(min(QUARANTINE_MAX, 2 * self._quarantine))
        self._failed_jobs.clear()
        return True

    def note_success(self) -> None:
        """Take in that a task ended well on it."""
        self._failed_jobs.clear()
        self._quarantine = QUARANTINE

    @property
    def is_doubted(self) -> bool:
        """Return whether something failed on it and nothing has ended well since."""
        return bool(self._failed_jobs) or self._quarantine > QUARANTINE


class Fleet:
    """All workers that the leader knows, by their lives."""

    def __init__(self) -> None:
        """Begin with none."""
        self.workers_by_life: dict[WorkerLife, Worker] = {}
        self.sequence_by_life: dict[WorkerLife, int] = {}
        self._runs_by_job: dict[JobId, dict[TaskRef, Run]] = {}
        self._lives_by_id: dict[WorkerId, set[WorkerLife]] = {}
        self._lives_by_address: dict[str, set[WorkerLife]] = {}

    def get(self, life: WorkerLife) -> Worker | None:
        """Return a worker that is known."""
        return self.workers_by_life.get(life)

    def ensure(self, life: WorkerLife, address: str, now: Seconds) -> Worker:
        """Return a worker, known from now on."""
        worker = self.workers_by_life.get(life)
        if worker is None:
            worker = self.workers_by_life[life] = Worker(life, address, now)
            self._lives_by_id.setdefault(life.id, set()).add(life)
            self._lives_by_address.setdefault(address, set()).add(life)
        return worker

    def take_news(self, worker: Worker, news: WorkerNews) -> None:
        """Take in what a worker announced last."""
        self._lives_by_address[worker.address].discard(worker.life)
        self._lives_by_address.setdefault(news.address, set()).add(worker.life)
        worker.news = news
        worker.address = news.address

    def place(self, worker: Worker, run: Run) -> None:
        """Note that a run takes room on a worker."""
        worker.place(run)
        self._runs_by_job.setdefault(run.task.job, {})[run.task] = run

    def release(self, worker: Worker, task: TaskRef) -> Run:
        """Note that a run takes no room any more."""
        run = worker.release(task)
        of_job = self._runs_by_job[task.job]
        if of_job.get(task) is run:
            del of_job[task]
        if not of_job:
            del self._runs_by_job[task.job]
        return run

    def runs_of(self, job: JobId) -> list[Run]:
        """Return the runs of a job that take room."""
        return list(self._runs_by_job.get(job, {}).values())

    def drop(self, life: WorkerLife) -> None:
        """Forget a worker."""
        worker = self.workers_by_life.pop(life, None)
        if worker is not None:
            for task in list(worker.runs_by_task):
                self.release(worker, task)
            self._lives_by_id[life.id].discard(life)
            self._lives_by_address[worker.address].discard(life)

    def lives_of(self, worker_id: WorkerId) -> frozenset[WorkerLife]:
        """Return the lives that are known under an id."""
        return frozenset(self._lives_by_id.get(worker_id, ()))

    def outlived_by(self, news: WorkerNews) -> list[Worker]:
        """Return the workers that an announcement proves to be over."""
        lives = self._lives_near(news)
        return [self.workers_by_life[life] for life in lives if life.born < news.life.born]

    def is_outlived(self, news: WorkerNews) -> bool:
        """Return whether an announcement comes from a life that is known to be over."""
        return any(life.born > news.life.born for life in self._lives_near(news))

    def _lives_near(self, news: WorkerNews) -> list[WorkerLife]:
        """Return the other lives under the same id or address, in a fixed order."""
        by_address = self._lives_by_address.get(news.address, set())
        lives = (self.lives_of(news.life.id) | by_address) - {news.life}
        return sorted(lives, key=lambda life: (life.id, life.born))
