"""
bench.policy_baselines
~~~~~~~~~~~~~~~~~~~~~~

Two schedulers to compare with, each with a queue for every data centre: first come first served
with first fit, and best fit with backfill behind a reservation for the head of the queue. Neither
knows guarantees, urgency or preemption. Both lose and restart what fails, as the real one does.
"""

import heapq
import itertools
from enum import Enum

import msgspec

from bench.policy_measures import FreeWorker, Outcome, largest_shape
from bench.policy_trace import Fault, Trace, TraceFault, TraceJob
from bulrushhollow_core.ids import DataCentreId, JobId, RackId, WorkerId
from bulrushhollow_core.jobs import DataCentreLoad, choose_data_centre
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._packing import Headroom, fill_in_order, find_placement, free_headroom
from bulrushhollow_core.models import Adjacency, Configuration, Profile, Resources, Service, Shape

FAILURE_TIME = 1.0
"""Seconds after which a task fails on a worker on which everything fails."""

FAILURE_LIMIT = 3
"""Failed attempts after which a job is given up, not counting those on bad workers."""


class Policy(Enum):
    """Which baseline."""

    FIFO_FIRST_FIT = "fifo_first_fit"
    BEST_FIT_BACKFILL = "best_fit_backfill"


class _Running(msgspec.Struct):
    """A running job; ``ends`` is when it really ends."""

    job: TraceJob
    place: Placement
    since: float
    ends: float
    fails: bool
    attempt: int


class _Centre:
    """One data centre under a baseline."""

    def __init__(self, data_centre: DataCentreId, configuration: Configuration) -> None:
        self.fleet = Fleet()
        self.queue: dict[JobId, TraceJob] = {}
        self.running: dict[JobId, _Running] = {}
        self.workers: list[WorkerId] = []
        self.bad: set[WorkerId] = set()
        self.out = False
        for rack in configuration.data_centres_by_id[data_centre].racks:
            for number in range(rack.workers):
                worker = WorkerId(f"{data_centre}-{rack.id}-{number}")
                self.workers.append(worker)
                self.fleet.put(worker, RackId(f"{data_centre}-{rack.id}"), rack.per_worker)


class BaselineSite:
    """
    Replays a trace under a baseline.

    :param policy: which baseline.
    """

    def __init__(self, trace: Trace, policy: Policy) -> None:
        """Make an idle site."""
        self._trace = trace
        self._policy = policy
        self._configuration = trace.configuration
        self._profiles = trace.configuration.profiles_by_name
        self._centres = {
            name: _Centre(name, trace.configuration)
            for name in trace.configuration.data_centres_by_id
        }
        self._ends: list[tuple[float, JobId, int]] = []
        self._home_by_job: dict[JobId, DataCentreId] = {}
        self._failures_by_job: dict[JobId, int] = {}
        self._attempts = itertools.count()
        self._outcome = Outcome()
        self._shape = largest_shape(trace.configuration)
        self._now = 0.0

    def run(self) -> Outcome:
        """Replay the whole trace and everything that is still running after it."""
        events: list[tuple[float, int, TraceJob | TraceFault]] = []
        for number, job in enumerate(self._trace.jobs):
            events.append((job.at, number, job))
            if job.cancel_at is not None:
                events.append((job.cancel_at, -number - 1, job))
        events += [(f.at, 10**9 + n, f) for n, f in enumerate(self._trace.faults)]
        heapq.heapify(events)
        while events or self._ends:
            if events and (not self._ends or events[0][0] <= self._ends[0][0]):
                at, number, event = heapq.heappop(events)
                self._pass_time(at)
                self._happen(event, number < 0)
            else:
                at, job, attempt = heapq.heappop(self._ends)
                self._pass_time(at)
                self._end(job, attempt)
        return self._outcome

    def _pass_time(self, at: float) -> None:
        seconds = min(at, self._trace.end) - self._now
        if seconds > 0:
            free = [
                FreeWorker(w.rack, Resources(w.free.accelerators, w.free.cores, w.free.memory_mb))
                for centre in self._centres.values()
                for w in centre.fleet.usable_workers()
            ]
            busy = sum(self._busy(centre) for centre in self._centres.values())
            self._outcome.integrals.add(free, self._shape, busy, seconds)
            change = is_in_outage_window(self._trace, self._now)
            self._outcome.outage_work += busy * seconds if change else 0.0
        self._now = max(self._now, at)

    def _busy(self, centre: _Centre) -> int:
        return sum(self._size(run.job) for run in centre.running.values())

    def _size(self, job: TraceJob) -> int:
        shape = self._profiles[job.profile].shape
        return shape.tasks * shape.per_task.accelerators

    def _happen(self, event: TraceJob | TraceFault, cancelled: bool) -> None:
        if isinstance(event, TraceFault):
            self._fault(event)
        elif cancelled:
            self._cancel(event)
        else:
            self._arrive(event)

    def _arrive(self, job: TraceJob) -> None:
        profile = self._profiles[job.profile]
        loads = {name: self._load(name) for name in self._centres}
        home = choose_data_centre(profile, self._configuration, loads)
        assert isinstance(home, str), home
        self._home_by_job[job.job] = home
        self._centres[home].queue[job.job] = job
        self._schedule(self._centres[home])

    def _load(self, name: DataCentreId) -> DataCentreLoad:
        centre = self._centres[name]
        queued = sum(
            self._size(job) * self._profiles[job.profile].expected_run
            for job in centre.queue.values()
        )
        fleet = centre.fleet
        best = max(rack.free for rack in fleet.racks_by_id.values())
        free = fleet.free_accelerators
        return DataCentreLoad(name, True, fleet.accelerators, free, queued, best)

    def _cancel(self, job: TraceJob) -> None:
        centre = self._centres[self._home_by_job[job.job]]
        centre.queue.pop(job.job, None)
        if job.job in centre.running:
            self._release(centre, centre.running[job.job])
            self._schedule(centre)

    def _end(self, job: JobId, attempt: int) -> None:
        centre = self._centres[self._home_by_job[job]]
        run = centre.running.get(job)
        if run is None or run.attempt != attempt:
            return
        self._release(centre, run)
        if not run.fails:
            self._outcome.succeeded_at_by_job[job] = self._now
        else:
            self._retry(centre, run)
        self._schedule(centre)

    def _retry(self, centre: _Centre, run: _Running) -> None:
        self._outcome.wasted += (self._now - run.since) * self._size(run.job)
        if not self._profiles[run.job.profile].idempotent:
            return
        job = run.job.job
        self._failures_by_job[job] = self._failures_by_job.get(job, 0) + run.job.fails
        if self._failures_by_job[job] < FAILURE_LIMIT:
            centre.queue[job] = run.job

    def _release(self, centre: _Centre, run: _Running) -> None:
        del centre.running[run.job.job]
        need = self._profiles[run.job.profile].shape.per_task
        for worker in run.place:
            centre.fleet.deallocate(run.job.job, worker, need, 1)

    def _fault(self, fault: TraceFault) -> None:
        centre = self._centres[fault.data_centre]
        worker = centre.fleet.workers_by_id[centre.workers[fault.worker]]
        match fault.fault:
            case Fault.CRASH | Fault.CUT_OFF:
                self._lose(centre, worker)
            case Fault.RETURN:
                centre.fleet.set_ready(worker, True)
            case Fault.FAIL_EVERYTHING:
                centre.bad.add(worker.id)
            case Fault.MEND:
                centre.bad.discard(worker.id)
            case Fault.OUT | Fault.IN:
                centre.out = fault.fault is Fault.OUT
                service = Service.OUT if centre.out else Service.IN
                self._configuration = with_service(self._configuration, fault.data_centre, service)
            case Fault.TAKE_OVER:
                pass
        self._schedule(centre)

    def _lose(self, centre: _Centre, worker: Worker) -> None:
        centre.fleet.set_ready(worker, False)
        for job in list(worker.tasks_by_job):
            run = centre.running[job]
            self._release(centre, run)
            self._retry(centre, run)

    def _schedule(self, centre: _Centre) -> None:
        if centre.out:
            return
        if self._policy is Policy.FIFO_FIRST_FIT:
            self._schedule_in_order(centre)
        else:
            self._schedule_with_backfill(centre)

    def _schedule_in_order(self, centre: _Centre) -> None:
        for job in list(centre.queue.values()):
            shape = self._profiles[job.profile].shape
            place = first_fit(centre.fleet, shape)
            if place is None:
                return
            self._begin(centre, job, place)

    def _schedule_with_backfill(self, centre: _Centre) -> None:
        head: TraceJob | None = None
        shadow = 0.0
        misfits: set[Shape] = set()
        for job in list(centre.queue.values()):
            profile = self._profiles[job.profile]
            if profile.shape in misfits:
                continue
            if head is not None and self._now + profile.expected_run > shadow:
                continue
            place = find_placement(centre.fleet, profile.shape, free_headroom(profile.shape))
            if place is not None:
                self._begin(centre, job, place)
                continue
            misfits.add(profile.shape)
            if head is None:
                head = job
                shadow = self._shadow(centre, profile)

    def _shadow(self, centre: _Centre, profile: Profile) -> float:
        """Return when the head of the queue would fit if all declarations were right."""
        shape = profile.shape
        trial = self._copy(centre)
        runs = sorted(centre.running.values(), key=self._declared_end)
        for run in runs:
            need = self._profiles[run.job.profile].shape.per_task
            for worker in run.place:
                trial.deallocate(run.job.job, worker, need, 1)
            if find_placement(trial, shape, free_headroom(shape)) is not None:
                return max(self._now, self._declared_end(run))
        return float("inf")

    def _copy(self, centre: _Centre) -> Fleet:
        copy = Fleet()
        for worker in centre.fleet.workers_by_id.values():
            copied = copy.put(worker.id, worker.rack, worker.capacity)
            copy.set_ready(copied, worker.ready)
        for run in centre.running.values():
            need = self._profiles[run.job.profile].shape.per_task
            for name in run.place:
                copy.allocate(run.job.job, name, need, 1)
        return copy

    def _declared_end(self, run: _Running) -> float:
        return run.since + self._profiles[run.job.profile].expected_run

    def _begin(self, centre: _Centre, job: TraceJob, place: Placement) -> None:
        need = self._profiles[job.profile].shape.per_task
        del centre.queue[job.job]
        for worker in place:
            centre.fleet.allocate(job.job, worker, need, 1)
        bad = job.fails or not centre.bad.isdisjoint(place)
        ends = self._now + (FAILURE_TIME if bad else job.run)
        attempt = next(self._attempts)
        centre.running[job.job] = _Running(job, place, self._now, ends, bad, attempt)
        heapq.heappush(self._ends, (ends, job.job, attempt))
        self._outcome.started_at_by_job.setdefault(job.job, self._now)


def first_fit(fleet: Fleet, shape: Shape) -> Placement | None:
    """Return the first place in the order of workers."""
    room: Headroom = free_headroom(shape)
    workers = sorted(fleet.usable_workers(), key=lambda worker: worker.id)
    if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
        return next(((w.id,) * shape.tasks for w in workers if room(w) >= shape.tasks), None)
    if shape.adjacency is Adjacency.DATA_CENTRE:
        return fill_in_order(workers, shape.tasks, room)
    racks = itertools.groupby(workers, key=lambda worker: worker.rack)
    places = (fill_in_order(list(group), shape.tasks, room) for _, group in racks)
    return next((place for place in places if place is not None), None)


def with_service(
    configuration: Configuration, data_centre: DataCentreId, service: Service
) -> Configuration:
    """Return a configuration with a data centre in or out."""
    centres = dict(configuration.data_centres_by_id)
    centres[data_centre] = msgspec.structs.replace(centres[data_centre], service=service)
    return msgspec.structs.replace(configuration, data_centres_by_id=centres)


OUTAGE_TAIL = 3_600.0
"""Seconds after a data centre's return that still count as its change."""


def is_in_outage_window(trace: Trace, at: float) -> bool:
    """Return whether a moment is between a data centre's leaving and an hour after its return."""
    outs = [fault.at for fault in trace.faults if fault.fault is Fault.OUT]
    ins = [fault.at for fault in trace.faults if fault.fault is Fault.IN]
    return any(out <= at <= back + OUTAGE_TAIL for out, back in zip(outs, ins, strict=True))
