"""
bench.policy_baselines
~~~~~~~~~~~~~~~~~~~~~~

Two baseline schedulers, each with one queue for every data centre: first come, first served with
first fit; and best fit with backfill behind a reservation for the head of the queue. Neither
supports guarantees, urgency or preemption. Both restart failed jobs, as the real scheduler does.
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
"""Seconds after which a job fails that always fails or that has a task on a faulty worker."""

FAILURE_LIMIT = 3
"""Failed attempts after which a job is not retried; failures due to a worker don't count."""


class Policy(Enum):
    """The baseline policies."""

    FIFO_FIRST_FIT = "fifo_first_fit"
    BEST_FIT_BACKFILL = "best_fit_backfill"


class _RunningJob(msgspec.Struct):
    """A running job; ``ends_at`` follows from its true run time, not from the declared one."""

    job: TraceJob
    placement: Placement
    started_at: float
    ends_at: float
    fails: bool
    attempt: int


class _BaselineDataCentre:
    """A data centre under a baseline policy: its workers, queue and running jobs."""

    def __init__(self, data_centre: DataCentreId, configuration: Configuration) -> None:
        self.fleet = Fleet()
        self.queue: dict[JobId, TraceJob] = {}
        self.running_by_job: dict[JobId, _RunningJob] = {}
        self.workers: list[WorkerId] = []
        self.faulty_workers: set[WorkerId] = set()
        self.is_out = False
        for rack in configuration.data_centres_by_id[data_centre].racks:
            for number in range(rack.workers):
                worker = WorkerId(f"{data_centre}-{rack.id}-{number}")
                self.workers.append(worker)
                self.fleet.put(worker, RackId(f"{data_centre}-{rack.id}"), rack.per_worker)


class BaselineSite:
    """
    Replays a trace under a baseline policy.

    :param trace: the jobs and faults to replay.
    :param policy: the policy that places queued jobs.
    """

    def __init__(self, trace: Trace, policy: Policy) -> None:
        """Create an idle site with the trace's configuration."""
        self._trace = trace
        self._policy = policy
        self._configuration = trace.configuration
        self._profiles = trace.configuration.profiles_by_name
        self._centres = {
            name: _BaselineDataCentre(name, trace.configuration)
            for name in trace.configuration.data_centres_by_id
        }
        self._pending_ends: list[tuple[float, JobId, int]] = []
        self._home_by_job: dict[JobId, DataCentreId] = {}
        self._failures_by_job: dict[JobId, int] = {}
        self._attempts = itertools.count()
        self._outcome = Outcome()
        self._shape = largest_shape(trace.configuration)
        self._now = 0.0

    def run(self) -> Outcome:
        """Replay the whole trace until no job is running, and return the outcome."""
        events: list[tuple[float, int, TraceJob | TraceFault]] = []
        for number, job in enumerate(self._trace.jobs):
            events.append((job.at, number, job))
            if job.cancel_at is not None:
                events.append((job.cancel_at, -number - 1, job))
        events += [(f.at, 10**9 + n, f) for n, f in enumerate(self._trace.faults)]
        heapq.heapify(events)
        while events or self._pending_ends:
            if events and (not self._pending_ends or events[0][0] <= self._pending_ends[0][0]):
                at, number, event = heapq.heappop(events)
                self._advance(at)
                self._apply_event(event, number < 0)
            else:
                at, job, attempt = heapq.heappop(self._pending_ends)
                self._advance(at)
                self._complete(job, attempt)
        return self._outcome

    def _advance(self, at: float) -> None:
        seconds = min(at, self._trace.end) - self._now
        if seconds > 0:
            free = [
                FreeWorker(w.rack, Resources(w.free.accelerators, w.free.cores, w.free.memory_mb))
                for centre in self._centres.values()
                for w in centre.fleet.usable_workers()
            ]
            busy = sum(self._accelerators_in_use(centre) for centre in self._centres.values())
            self._outcome.integrals.add(free, self._shape, busy, seconds)
            is_in_window = is_in_outage_window(self._trace, self._now)
            self._outcome.outage_work += busy * seconds if is_in_window else 0.0
        self._now = max(self._now, at)

    def _accelerators_in_use(self, centre: _BaselineDataCentre) -> int:
        return sum(self._accelerators_of(run.job) for run in centre.running_by_job.values())

    def _accelerators_of(self, job: TraceJob) -> int:
        shape = self._profiles[job.profile].shape
        return shape.tasks * shape.per_task.accelerators

    def _apply_event(self, event: TraceJob | TraceFault, is_cancellation: bool) -> None:
        if isinstance(event, TraceFault):
            self._inject_fault(event)
        elif is_cancellation:
            self._cancel(event)
        else:
            self._submit(event)

    def _submit(self, job: TraceJob) -> None:
        profile = self._profiles[job.profile]
        loads = {name: self._load_of(name) for name in self._centres}
        home = choose_data_centre(profile, self._configuration, loads)
        assert isinstance(home, str), home
        self._home_by_job[job.job] = home
        self._centres[home].queue[job.job] = job
        self._schedule(self._centres[home])

    def _load_of(self, name: DataCentreId) -> DataCentreLoad:
        centre = self._centres[name]
        queued = sum(
            self._accelerators_of(job) * self._profiles[job.profile].expected_run
            for job in centre.queue.values()
        )
        fleet = centre.fleet
        best = max(rack.free for rack in fleet.racks_by_id.values())
        free = fleet.free_accelerators
        return DataCentreLoad(name, True, fleet.accelerators, free, queued, best)

    def _cancel(self, job: TraceJob) -> None:
        centre = self._centres[self._home_by_job[job.job]]
        centre.queue.pop(job.job, None)
        if job.job in centre.running_by_job:
            self._release(centre, centre.running_by_job[job.job])
            self._schedule(centre)

    def _complete(self, job: JobId, attempt: int) -> None:
        centre = self._centres[self._home_by_job[job]]
        run = centre.running_by_job.get(job)
        if run is None or run.attempt != attempt:
            return
        self._release(centre, run)
        if not run.fails:
            self._outcome.succeeded_at_by_job[job] = self._now
        else:
            self._retry(centre, run)
        self._schedule(centre)

    def _retry(self, centre: _BaselineDataCentre, run: _RunningJob) -> None:
        self._outcome.wasted += (self._now - run.started_at) * self._accelerators_of(run.job)
        if not self._profiles[run.job.profile].idempotent:
            return
        job = run.job.job
        self._failures_by_job[job] = self._failures_by_job.get(job, 0) + run.job.fails
        if self._failures_by_job[job] < FAILURE_LIMIT:
            centre.queue[job] = run.job

    def _release(self, centre: _BaselineDataCentre, run: _RunningJob) -> None:
        del centre.running_by_job[run.job.job]
        need = self._profiles[run.job.profile].shape.per_task
        for worker in run.placement:
            centre.fleet.deallocate(run.job.job, worker, need, 1)

    def _inject_fault(self, fault: TraceFault) -> None:
        centre = self._centres[fault.data_centre]
        worker = centre.fleet.workers_by_id[centre.workers[fault.worker]]
        match fault.fault:
            case Fault.CRASH | Fault.CUT_OFF:
                self._lose_worker(centre, worker)
            case Fault.RETURN:
                centre.fleet.set_ready(worker, True)
            case Fault.FAIL_EVERYTHING:
                centre.faulty_workers.add(worker.id)
            case Fault.MEND:
                centre.faulty_workers.discard(worker.id)
            case Fault.OUT | Fault.IN:
                centre.is_out = fault.fault is Fault.OUT
                service = Service.OUT if centre.is_out else Service.IN
                self._configuration = with_service(self._configuration, fault.data_centre, service)
            case Fault.TAKE_OVER:
                pass
        self._schedule(centre)

    def _lose_worker(self, centre: _BaselineDataCentre, worker: Worker) -> None:
        centre.fleet.set_ready(worker, False)
        for job in list(worker.tasks_by_job):
            run = centre.running_by_job[job]
            self._release(centre, run)
            self._retry(centre, run)

    def _schedule(self, centre: _BaselineDataCentre) -> None:
        if centre.is_out:
            return
        if self._policy is Policy.FIFO_FIRST_FIT:
            self._schedule_in_order(centre)
        else:
            self._schedule_with_backfill(centre)

    def _schedule_in_order(self, centre: _BaselineDataCentre) -> None:
        for job in list(centre.queue.values()):
            shape = self._profiles[job.profile].shape
            placement = first_fit(centre.fleet, shape)
            if placement is None:
                return
            self._start(centre, job, placement)

    def _schedule_with_backfill(self, centre: _BaselineDataCentre) -> None:
        head: TraceJob | None = None
        shadow_time = 0.0
        unplaceable_shapes: set[Shape] = set()
        for job in list(centre.queue.values()):
            profile = self._profiles[job.profile]
            if profile.shape in unplaceable_shapes:
                continue
            if head is not None and self._now + profile.expected_run > shadow_time:
                continue
            placement = find_placement(centre.fleet, profile.shape, free_headroom(profile.shape))
            if placement is not None:
                self._start(centre, job, placement)
                continue
            unplaceable_shapes.add(profile.shape)
            if head is None:
                head = job
                shadow_time = self._shadow_time(centre, profile)

    def _shadow_time(self, centre: _BaselineDataCentre, profile: Profile) -> float:
        """Return when the head of the queue would fit if all declared run times were right."""
        shape = profile.shape
        trial_fleet = self._copy_fleet(centre)
        runs = sorted(centre.running_by_job.values(), key=self._declared_end)
        for run in runs:
            need = self._profiles[run.job.profile].shape.per_task
            for worker in run.placement:
                trial_fleet.deallocate(run.job.job, worker, need, 1)
            if find_placement(trial_fleet, shape, free_headroom(shape)) is not None:
                return max(self._now, self._declared_end(run))
        return float("inf")

    def _copy_fleet(self, centre: _BaselineDataCentre) -> Fleet:
        copy = Fleet()
        for worker in centre.fleet.workers_by_id.values():
            copied = copy.put(worker.id, worker.rack, worker.capacity)
            copy.set_ready(copied, worker.ready)
        for run in centre.running_by_job.values():
            need = self._profiles[run.job.profile].shape.per_task
            for name in run.placement:
                copy.allocate(run.job.job, name, need, 1)
        return copy

    def _declared_end(self, run: _RunningJob) -> float:
        return run.started_at + self._profiles[run.job.profile].expected_run

    def _start(self, centre: _BaselineDataCentre, job: TraceJob, placement: Placement) -> None:
        need = self._profiles[job.profile].shape.per_task
        del centre.queue[job.job]
        for worker in placement:
            centre.fleet.allocate(job.job, worker, need, 1)
        will_fail = job.fails or not centre.faulty_workers.isdisjoint(placement)
        ends_at = self._now + (FAILURE_TIME if will_fail else job.run)
        attempt = next(self._attempts)
        centre.running_by_job[job.job] = _RunningJob(
            job, placement, self._now, ends_at, will_fail, attempt
        )
        heapq.heappush(self._pending_ends, (ends_at, job.job, attempt))
        self._outcome.started_at_by_job.setdefault(job.job, self._now)


def first_fit(fleet: Fleet, shape: Shape) -> Placement | None:
    """Return the first placement with enough free resources in the order of worker ids."""
    headroom: Headroom = free_headroom(shape)
    workers = sorted(fleet.usable_workers(), key=lambda worker: worker.id)
    if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
        return next(((w.id,) * shape.tasks for w in workers if headroom(w) >= shape.tasks), None)
    if shape.adjacency is Adjacency.DATA_CENTRE:
        return fill_in_order(workers, shape.tasks, headroom)
    racks = itertools.groupby(workers, key=lambda worker: worker.rack)
    placements = (fill_in_order(list(group), shape.tasks, headroom) for _, group in racks)
    return next((placement for placement in placements if placement is not None), None)


def with_service(
    configuration: Configuration, data_centre: DataCentreId, service: Service
) -> Configuration:
    """Return the configuration with a data centre in or out of service."""
    data_centres = dict(configuration.data_centres_by_id)
    data_centres[data_centre] = msgspec.structs.replace(data_centres[data_centre], service=service)
    return msgspec.structs.replace(configuration, data_centres_by_id=data_centres)


OUTAGE_TAIL = 3_600.0
"""Seconds after a data centre's return to service that still count as its outage window."""


def is_in_outage_window(trace: Trace, at: float) -> bool:
    """Return whether a data centre is out of service, or returned at most an hour before."""
    out_times = [fault.at for fault in trace.faults if fault.fault is Fault.OUT]
    return_times = [fault.at for fault in trace.faults if fault.fault is Fault.IN]
    return any(
        out_at <= at <= returned_at + OUTAGE_TAIL
        for out_at, returned_at in zip(out_times, return_times, strict=True)
    )
