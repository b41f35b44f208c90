"""
bulrushhollow_core.domain.fleet._fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's view of the workers: their latest announcements, the latest ends of their leases, the
runs that take their resources, and which workers are suspect or quarantined.
"""

import math

from bulrushhollow_core.domain.fleet._fencing import TokenIssuer
from bulrushhollow_core.domain.fleet._runs import (
    NO_ISOLATION,
    UNORDERED_PHASES,
    Run,
    RunPhase,
    RunRef,
    UnansweredStart,
)
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    Resources,
    RunNumber,
    TaskRef,
    WorkerLife,
    WorkerNews,
)
from bulrushhollow_core.ids import FencingToken, JobId, Seconds, Term, WorkerId

MIN_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock relative to true time; the platform limits its drift to 2 %."""

LEASE_MARGIN = Seconds(0.25)
"""Seconds added to the computed end of a lease, for rounded clocks and late timers."""

FAILURES_TO_QUARANTINE = 2
"""Different jobs that must fail on a worker, with no success in between, before it is quarantined.
A single failure may be the job's own fault."""

QUARANTINE_MIN = Seconds(6.0)
"""Seconds of a worker's first quarantine; about the duration of a usual task."""

QUARANTINE_MAX = Seconds(48.0)
"""Seconds of the longest quarantine; each one lasts twice as long as the one before."""


LATE_ORDER_WINDOW = Seconds(12.0)
"""Seconds from the timeout of an order until it can no longer be carried out."""

NO_FENCE = FencingToken(0)
"""Fencing token that no worker refuses before it has seen another; the lowest one."""

NO_TERM = Term(0)
"""Term of a fleet that no leader commands."""

CRASH_MEMORY = Seconds(60.0)
"""Seconds for which a machine counts as crashed recently."""


class Worker:
    """
    One life of a worker as the leader knows it.

    Times are by the leader's clock, except those of leases and `clock` arguments, which are by the
    worker's own clock.

    :param fence: fencing token of all orders to it.
    """

    def __init__(
        self,
        life: WorkerLife,
        address: str,
        now: Seconds,
        fence: FencingToken = NO_FENCE,
    ) -> None:
        """Create a worker that has not announced itself."""
        self.life = life
        self.fence = fence
        self.address = address
        self.announcement: WorkerNews | None = None
        self.announced_at = Seconds(-math.inf)
        """When it made its announcement, or later; unknown of one that an earlier leader heard."""
        self.last_contact_at = now
        self.heard_at = Seconds(-math.inf)
        """When it last announced itself or listed its runs; only these tell its life."""
        self.listed_at = Seconds(-math.inf)
        """When it last listed its runs."""
        self.silent_since: Seconds | None = None
        self.has_ended = False
        """Whether its last poll showed that its process has ended."""
        self.runs_by_task: dict[TaskRef, Run] = {}
        """Changed only by its :class:`Fleet`, which keeps an index of all runs."""
        self._isolated_runs: list[Run] = []
        self._allocated = NO_RESOURCES
        self.unanswered_starts: dict[RunRef, UnansweredStart] = {}
        """Starts that were sent and got no answer; they may still be carried out."""
        self.inherited_starts: set[RunRef] = set()
        """Those of them that were in flight to an earlier life when this one appeared, and may
        still be answered."""
        self.pending_stops: set[RunRef] = set()
        """Runs that must not start in this life, whose stops it has not accepted yet."""
        self.accepted_stops: dict[RunRef, Seconds] = {}
        """Pending stops that were accepted, and when each run has certainly ended if it started."""
        self.last_listed_end = 0
        """Number of the last end that it listed."""
        self.last_recorded_end = 0
        """Number of the last end that the log records."""
        self.last_acknowledged_end = 0
        """Number of the last end that was acknowledged to it; 0 again after a lost poll."""
        self.is_poll_in_flight = False
        self.has_answered_poll = False
        """Whether it has answered a poll of this leader."""
        self.poll_due = Seconds(-math.inf)
        self.polled_at = Seconds(-math.inf)
        self.backoff_until = Seconds(-math.inf)
        self.quarantined_until = Seconds(-math.inf)
        self.quarantined_at = Seconds(-math.inf)
        self.failed_at = Seconds(-math.inf)
        """When work last failed on it."""
        self.leaves_at = Seconds(math.inf)
        self._quarantine = QUARANTINE_MIN
        self._failed_jobs: set[JobId] = set()
        self._clock_reading: Seconds | None = None
        self._clock_read_at = now
        self._lease_end: Seconds | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether it answers, has no runs, and no stop or acknowledgement is due to it."""
        is_settled = self.has_answered_poll and self.silent_since is None and not self.pending_stops
        return (
            not self.runs_by_task
            and is_settled
            and self.last_recorded_end <= self.last_acknowledged_end
        )

    @property
    def is_silent(self) -> bool:
        """Return whether it has not answered an order and nothing since."""
        return self.silent_since is not None

    @property
    def has_confirmed_runs(self) -> bool:
        """Return whether it has any run whose start it has answered."""
        unconfirmed = (*UNORDERED_PHASES, RunPhase.STARTING)
        return any(run.phase not in unconfirmed for run in self.runs_by_task.values())

    @property
    def capacity(self) -> Resources:
        """Return its resources; nothing before its first announcement."""
        return self.announcement.capacity if self.announcement else NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Return the resources that no run takes."""
        return self.capacity.minus(self._allocated)

    @property
    def is_overcommitted(self) -> bool:
        """Return whether its runs take more than it has, since its capacity has shrunk."""
        return not NO_RESOURCES.fits(self.free)

    def place(self, run: Run) -> None:
        """Allocate resources to a run."""
        self.runs_by_task[run.task] = run
        self._allocated = self._allocated.plus(run.needs)
        if run.isolation > NO_ISOLATION:
            self._isolated_runs.append(run)

    def release(self, task: TaskRef) -> Run:
        """Release the resources of a run and return it."""
        run = self.runs_by_task.pop(task)
        self._allocated = self._allocated.minus(run.needs)
        if run.isolation > NO_ISOLATION:
            self._isolated_runs.remove(run)
        return run

    @property
    def is_closed(self) -> bool:
        """Return whether an isolated run keeps other jobs' tasks away."""
        return bool(self._isolated_runs) and any(
            run.survived < run.isolation for run in self._isolated_runs
        )

    def record_heard(self, now: Seconds) -> None:
        """Record that it announced itself or listed its runs."""
        self.last_contact_at = self.heard_at = now

    def record_unanswered_start(self, run: Run, now: Seconds) -> None:
        """Record that nobody waits any longer for the answer to the start of a run."""
        self.unanswered_starts[RunRef(run.task, run.number)] = UnansweredStart(now, run.needs)

    def possibly_started_tasks(self, now: Seconds) -> set[TaskRef]:
        """Return the tasks that a late order may have started in this life and may still run."""
        return {ref.task for ref in self._possibly_started_runs(now)}

    def possible_starts(self, now: Seconds) -> dict[RunRef, UnansweredStart]:
        """Return the starts that may have been carried out late, without runs placed here."""
        if not (self.pending_stops or self.accepted_stops):
            return {}
        placed = {RunRef(run.task, run.number) for run in self.runs_by_task.values()}
        return {
            ref: self.unanswered_starts[ref]
            for ref in self._possibly_started_runs(now) - placed
            if ref in self.unanswered_starts
        }

    def _possibly_started_runs(self, now: Seconds) -> set[RunRef]:
        for ref in [ref for ref, at in self.accepted_stops.items() if now >= at]:
            del self.accepted_stops[ref]
        unconfirmed = (
            ref
            for ref in self.pending_stops
            if now - self.unanswered_starts[ref].timed_out_at < LATE_ORDER_WINDOW
        )
        return {*unconfirmed, *self.accepted_stops}

    # Clock and lease.

    def record_clock(self, clock: Seconds, now: Seconds) -> None:
        """Record a reading of its clock that was taken at or before now."""
        if self._clock_reading is None or clock > self.clock_floor(now):
            self._clock_reading, self._clock_read_at = clock, now

    def clock_floor(self, now: Seconds) -> Seconds:
        """Return the lowest value that its clock can show now."""
        if self._clock_reading is None:
            return Seconds(-math.inf)
        return Seconds(self._clock_reading + (now - self._clock_read_at) * MIN_CLOCK_RATE)

    def age_of(self, clock: Seconds, now: Seconds) -> Seconds:
        """Return the seconds that have passed at least since its clock showed a reading."""
        return Seconds(max(0.0, self.clock_floor(now) - clock))

    @property
    def has_clock(self) -> bool:
        """Return whether a reading of its clock is known."""
        return self._clock_reading is not None

    def record_contact(self, clock: Seconds, longest_lease: Seconds, now: Seconds) -> None:
        """
        Record an answer to an order of this leader. The worker has seen this leader's fencing
        token, so that no earlier leader can extend its lease.
        """
        self.record_clock(clock, now)
        self.silent_since = None
        if self._lease_end is None:
            self._lease_end = Seconds(clock + longest_lease)

    def grant_lease(self, length: Seconds, longest_lease: Seconds, now: Seconds) -> Seconds:
        """
        Grant a lease; return its end, by the worker's clock, for the order that carries it.

        The lease counts as granted from now on, unless one granted before ends later.

        :param longest_lease: seconds of the lease that an earlier leader may have granted last.
        """
        assert self._clock_reading is not None, "a lease is granted by the worker's clock"
        clock = self._clock_reading + (now - self._clock_read_at)
        previous_end = self._lease_end
        self._lease_end = Seconds(
            max(clock + length, clock + longest_lease if previous_end is None else previous_end)
        )
        return Seconds(clock + length)

    def assume_lease(self, longest_lease: Seconds, now: Seconds) -> None:
        """Assume that an order to an earlier life granted the longest lease to this one."""
        if self._clock_reading is not None:
            self.grant_lease(longest_lease, longest_lease, now)

    def has_lease_expired(
        self, leading_since: Seconds, longest_lease: Seconds, now: Seconds
    ) -> bool:
        """
        Return whether every lease that may have been granted to it has expired.

        :param leading_since: when this leader began to lead; earlier leaders granted before that.
        """
        # Not by the worker's clock: its first reading may have been on its way for a while.
        earlier_end = leading_since + longest_lease / MIN_CLOCK_RATE + LEASE_MARGIN
        if self._lease_end is None or self._clock_reading is None:
            return now > earlier_end
        end = (
            self._clock_read_at
            + (self._lease_end - self._clock_reading) / MIN_CLOCK_RATE
            + LEASE_MARGIN
        )
        return now > max(earlier_end, end)

    # Failures and quarantine.

    def record_failure(self, job: JobId, now: Seconds) -> bool:
        """
        Record that a task failed on it.

        :return: whether this put it into quarantine.
        """
        self._failed_jobs.add(job)
        self.failed_at = now
        if len(self._failed_jobs) < FAILURES_TO_QUARANTINE:
            return False
        return self.quarantine(now)

    def quarantine(self, now: Seconds) -> bool:
        """
        Quarantine it, twice as long as the previous time.

        :return: False if it is in quarantine already.
        """
        if now < self.quarantined_until:
            return False
        self.quarantined_at = self.failed_at = now
        self.quarantined_until = Seconds(now + self._quarantine)
        self._quarantine = Seconds(min(QUARANTINE_MAX, 2 * self._quarantine))
        self._failed_jobs.clear()
        return True

    def release_from_quarantine(self, now: Seconds) -> None:
        """End its quarantine early; it stays suspect until a task succeeds on it."""
        self.quarantined_until = now

    def record_success(self) -> None:
        """Record that a task succeeded on it; this resets its failures and the next quarantine."""
        self._failed_jobs.clear()
        self._quarantine = QUARANTINE_MIN

    @property
    def is_suspect(self) -> bool:
        """Return whether work failed on it and no task has succeeded since."""
        return bool(self._failed_jobs) or self._quarantine > QUARANTINE_MIN


class Fleet:
    """
    All workers that the leader knows, indexed by life, id and address, and their runs by job.

    :param term: term of the leader, which is its lowest fencing token.
    """

    def __init__(self, term: Term = NO_TERM) -> None:
        """Create an empty fleet."""
        self._token_issuer = TokenIssuer(term)
        self.workers_by_life: dict[WorkerLife, Worker] = {}
        self.sequence_by_life: dict[WorkerLife, int] = {}
        self._runs_by_job: dict[JobId, dict[TaskRef, Run]] = {}
        self._lives_by_id: dict[WorkerId, set[WorkerLife]] = {}
        self._lives_by_address: dict[str, set[WorkerLife]] = {}
        self._crashed_at_by_address: dict[str, Seconds] = {}

    def record_crash(self, worker: Worker, now: Seconds) -> None:
        """Record that a worker has crashed; its machine is avoided by tasks that may crash it."""
        self._crashed_at_by_address[worker.address] = now
        for address in [
            a for a in self._crashed_at_by_address if not self.has_crashed_recently(a, now)
        ]:
            del self._crashed_at_by_address[address]

    def has_crashed_recently(self, address: str, now: Seconds) -> bool:
        """Return whether a worker at an address has crashed within the last minute."""
        return now - self._crashed_at_by_address.get(address, -math.inf) < CRASH_MEMORY

    def get(self, life: WorkerLife) -> Worker | None:
        """Return a worker, or None if it is unknown."""
        return self.workers_by_life.get(life)

    def get_or_create(self, life: WorkerLife, address: str, now: Seconds) -> Worker:
        """Return a worker; add it if it is unknown."""
        worker = self.workers_by_life.get(life)
        if worker is None:
            fence = self._token_issuer.issue(life.id)
            worker = self.workers_by_life[life] = Worker(life, address, now, fence)
            self._lives_by_id.setdefault(life.id, set()).add(life)
            self._lives_by_address.setdefault(address, set()).add(life)
        return worker

    def raise_fence(self, worker: Worker) -> None:
        """Give a worker a new token, unless it has the highest one of the lives under its id."""
        other_lives = self.lives_of(worker.life.id) - {worker.life}
        if any(self.workers_by_life[life].fence >= worker.fence for life in other_lives):
            worker.fence = self._token_issuer.issue(worker.life.id)
            # The answer to a poll with the earlier token no longer counts.
            worker.is_poll_in_flight = False

    def record_announcement(self, worker: Worker, announcement: WorkerNews, now: Seconds) -> None:
        """Record the latest announcement of a worker."""
        self._lives_by_address[worker.address].discard(worker.life)
        self._lives_by_address.setdefault(announcement.address, set()).add(worker.life)
        worker.announcement = announcement
        worker.announced_at = Seconds(now - worker.age_of(announcement.clock, now))
        worker.address = announcement.address

    def place(self, worker: Worker, run: Run) -> None:
        """Allocate resources of a worker to a run."""
        worker.place(run)
        self._runs_by_job.setdefault(run.task.job, {})[run.task] = run

    def release(self, worker: Worker, task: TaskRef) -> Run:
        """Release the resources of a run and return it."""
        run = worker.release(task)
        job_runs = self._runs_by_job[task.job]
        if job_runs.get(task) is run:
            del job_runs[task]
        if not job_runs:
            del self._runs_by_job[task.job]
        return run

    def runs_of(self, job: JobId) -> list[Run]:
        """Return the runs of a job that take resources."""
        return list(self._runs_by_job.get(job, {}).values())

    def has_runs(self, job: JobId) -> bool:
        """Return whether any run of a job takes resources."""
        return job in self._runs_by_job

    def find_run(self, worker_id: WorkerId, task: TaskRef, number: RunNumber) -> Run | None:
        """
        Return a run that takes resources of any life under an id, or None. Orders name only the id,
        so a run may have started in a later life than the one that it was ordered for.
        """
        runs = (
            self.workers_by_life[life].runs_by_task.get(task) for life in self.lives_of(worker_id)
        )
        return next((run for run in runs if run is not None and run.number == number), None)

    def remove(self, life: WorkerLife) -> None:
        """Remove a worker and its runs."""
        worker = self.workers_by_life.pop(life, None)
        if worker is not None:
            for task in list(worker.runs_by_task):
                self.release(worker, task)
            self._lives_by_id[life.id].discard(life)
            self._lives_by_address[worker.address].discard(life)

    def lives_of(self, worker_id: WorkerId) -> frozenset[WorkerLife]:
        """Return the known lives under an id."""
        return frozenset(self._lives_by_id.get(worker_id, ()))

    def rivals_of(self, announcement: WorkerNews) -> list[Worker]:
        """Return the other workers under the same id or address, in a fixed order."""
        lives_at_address = self._lives_by_address.get(announcement.address, set())
        lives = (self.lives_of(announcement.life.id) | lives_at_address) - {announcement.life}
        ordered = sorted(lives, key=lambda life: (life.id, life.born))
        return [self.workers_by_life[life] for life in ordered]
