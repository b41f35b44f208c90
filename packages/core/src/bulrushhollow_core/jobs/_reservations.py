"""
bulrushhollow_core.jobs._reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves workers for large gangs that would starve otherwise. A gang that has waited too long gets
the workers on which it is expected to fit first, for example a rack. Meanwhile only checkpointable
jobs that are expected to end in time are started there (backfill); one that does not end in time
can be preempted.
"""

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet, Worker
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.jobs._runs import Run
from bulrushhollow_core.models import Adjacency, Shape

EXPIRY_FACTOR = 2.0
"""Lifetime of a reservation, as a multiple of the wait that was expected when it was made."""

MIN_LIFETIME = Seconds(300.0)
"""Seconds of the shortest lifetime of a reservation."""


class Reservation(msgspec.Struct, frozen=True):
    """
    Workers that are kept free for a gang.

    :param expected_start: when the gang is expected to fit.
    :param expires_at: when the gang may reserve other workers instead.
    """

    job: JobId
    workers: frozenset[WorkerId]
    expected_start: Seconds
    expires_at: Seconds


class Reservations:
    """
    The reservations of one data centre.

    :param max_reservations: number of gangs that may have a reservation at once.
    """

    def __init__(
        self,
        fleet: Fleet,
        runs_by_job: dict[JobId, Run],
        estimates: Estimates,
        max_reservations: int,
    ) -> None:
        self._fleet = fleet
        self._runs_by_job = runs_by_job
        self._estimates = estimates
        self._max_reservations = max_reservations
        self._reservations_by_job: dict[JobId, Reservation] = {}
        self._reserved_workers: frozenset[WorkerId] = frozenset()

    @property
    def can_reserve(self) -> bool:
        """Return whether another gang may get a reservation."""
        return len(self._reservations_by_job) < self._max_reservations

    def has_reservation(self, job: JobId, now: Seconds) -> bool:
        """Return whether a job has a reservation that has not expired."""
        reservation = self._reservations_by_job.get(job)
        return reservation is not None and now < reservation.expires_at

    def excluded_workers(
        self, record: JobRecord, expected: Seconds, now: Seconds
    ) -> frozenset[WorkerId]:
        """
        Return the reserved workers on which a job must not be started.

        :param expected: expected run time of the job.
        """
        if not self._reservations_by_job:
            return self._reserved_workers
        if not record.profile.checkpointable and record.job not in self._reservations_by_job:
            return self._reserved_workers
        others = (r for r in self._reservations_by_job.values() if r.job != record.job)
        excluded = (r.workers for r in others if not self._can_backfill(record, expected, r, now))
        return frozenset().union(*excluded)

    def reserve(self, record: JobRecord, now: Seconds) -> None:
        """Reserve the workers on which a gang is expected to fit first, if it can fit at all."""
        self.drop(record.job)
        shape = record.profile.shape
        groups = [group for group in self._candidate_groups(shape) if _can_hold(group, shape)]
        starts = [
            (self._expected_start(group, shape, now), number) for number, group in enumerate(groups)
        ]
        if not starts:
            return
        expected_start, number = min(starts)
        lifetime = max(MIN_LIFETIME, (expected_start - now) * EXPIRY_FACTOR)
        workers = frozenset(worker.id for worker in groups[number])
        self._reservations_by_job[record.job] = Reservation(
            record.job, workers, Seconds(expected_start), Seconds(now + lifetime)
        )
        self._update_reserved_workers()

    def drop(self, job: JobId) -> None:
        """End the reservation of a job, if it has one."""
        if self._reservations_by_job.pop(job, None) is not None:
            self._update_reserved_workers()

    def _update_reserved_workers(self) -> None:
        self._reserved_workers = frozenset().union(
            *(r.workers for r in self._reservations_by_job.values())
        )

    def _can_backfill(
        self, record: JobRecord, expected: Seconds, reservation: Reservation, now: Seconds
    ) -> bool:
        return record.profile.checkpointable and now + expected <= reservation.expected_start

    def _candidate_groups(self, shape: Shape) -> list[list[Worker]]:
        """Return the smallest groups of unreserved workers that satisfy the shape's adjacency."""
        racks = [
            [w for w in rack.workers_by_id.values() if w.id not in self._reserved_workers]
            for rack in self._fleet.racks_by_id.values()
        ]
        match shape.adjacency:
            case Adjacency.WORKER:
                return [[worker] for rack in racks for worker in rack]
            case Adjacency.RACK:
                return racks
            case Adjacency.DATA_CENTRE:
                return [[worker for rack in racks for worker in rack]]

    def _expected_start(self, group: list[Worker], shape: Shape, now: Seconds) -> float:
        """Return when enough of the group's present runs are expected to have ended."""
        free_by_worker = {worker.id: worker.free.copy() for worker in group}
        ends = sorted(
            (self._expected_end(self._runs_by_job[job], now), job, worker.id)
            for worker in group
            for job in worker.tasks_by_job
        )
        fitting = sum(free.fitting_tasks(shape.per_task) for free in free_by_worker.values())
        if fitting >= shape.tasks:
            return now
        for end, job, worker in ends:
            free = free_by_worker[worker]
            previous = free.fitting_tasks(shape.per_task)
            tasks = self._fleet.workers_by_id[worker].tasks_by_job[job]
            free.add(self._runs_by_job[job].per_task, tasks)
            fitting += free.fitting_tasks(shape.per_task) - previous
            if fitting >= shape.tasks:
                return end
        return float("inf")

    def _expected_end(self, run: Run, now: Seconds) -> float:
        if run.is_terminating:
            return now
        since = now if run.running_since is None else run.running_since
        return now + self._estimates.remaining(run.record.profile, Seconds(now - since))


def _can_hold(group: list[Worker], shape: Shape) -> bool:
    """Return whether a gang fits on a group of workers if nothing else runs there."""
    fitting = sum(_tasks_on_empty_worker(worker, shape) for worker in group)
    return fitting >= shape.tasks


def _tasks_on_empty_worker(worker: Worker, shape: Shape) -> int:
    need = shape.per_task
    capacity = worker.capacity
    pairs = (
        (capacity.accelerators, need.accelerators),
        (capacity.cores, need.cores),
        (capacity.memory_mb, need.memory_mb),
    )
    return min((available // needed for available, needed in pairs if needed), default=shape.tasks)
