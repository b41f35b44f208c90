"""
bulrushhollow_core.jobs._reservations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps large gangs from starving. A gang that has waited too long reserves the rack in which it is
expected to fit first; nothing else is started there meanwhile but checkpointable work that is
expected to be over in time, and that is moved aside if it is not.
"""

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet, Worker
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.jobs._runs import Run
from bulrushhollow_core.models import Adjacency, Shape

MISJUDGED = 2.0
"""A reservation is chosen anew once its wait is this many times the expected one."""

SHORTEST_WAIT = Seconds(300.0)
"""A reservation is not chosen anew earlier than this."""


class Reservation(msgspec.Struct, frozen=True):
    """
    Workers kept free for a gang.

    :param at: when the gang is expected to fit.
    :param until: when the choice is reconsidered.
    """

    job: JobId
    workers: frozenset[WorkerId]
    at: Seconds
    until: Seconds


class Reservations:
    """The reservations of one data centre; at most a few at once."""

    def __init__(
        self, fleet: Fleet, runs_by_job: dict[JobId, Run], estimates: Estimates, most: int
    ) -> None:
        self._fleet = fleet
        self._runs_by_job = runs_by_job
        self._estimates = estimates
        self._most = most
        self._by_job: dict[JobId, Reservation] = {}
        self._workers: frozenset[WorkerId] = frozenset()

    @property
    def has_room(self) -> bool:
        """Return whether another gang may reserve."""
        return len(self._by_job) < self._most

    def holds(self, job: JobId, now: Seconds) -> bool:
        """Return whether a job has a reservation that need not be reconsidered yet."""
        held = self._by_job.get(job)
        return held is not None and now < held.until

    def closed_to(self, record: JobRecord, expected: Seconds, now: Seconds) -> frozenset[WorkerId]:
        """Return the reserved workers on which a job must not be started."""
        if not self._by_job:
            return self._workers
        if not record.profile.checkpointable and record.job not in self._by_job:
            return self._workers
        others = (r for r in self._by_job.values() if r.job != record.job)
        closed = (r.workers for r in others if not self._is_over_in_time(record, expected, r, now))
        return frozenset().union(*closed)

    def reserve(self, record: JobRecord, now: Seconds) -> None:
        """Choose the workers on which a gang is expected to fit first."""
        self.drop(record.job)
        shape = record.profile.shape
        groups = [group for group in self._groups(shape) if _holds(group, shape)]
        timed = [(self._fits_at(group, shape, now), number) for number, group in enumerate(groups)]
        if not timed:
            return
        at, number = min(timed)
        wait = max(SHORTEST_WAIT, (at - now) * MISJUDGED)
        workers = frozenset(worker.id for worker in groups[number])
        self._by_job[record.job] = Reservation(
            record.job, workers, Seconds(at), Seconds(now + wait)
        )
        self._refresh()

    def drop(self, job: JobId) -> None:
        """End the reservation of a job, if it has one."""
        if self._by_job.pop(job, None) is not None:
            self._refresh()

    def _refresh(self) -> None:
        self._workers = frozenset().union(*(r.workers for r in self._by_job.values()))

    def _is_over_in_time(
        self, record: JobRecord, expected: Seconds, reservation: Reservation, now: Seconds
    ) -> bool:
        return record.profile.checkpointable and now + expected <= reservation.at

    def _groups(self, shape: Shape) -> list[list[Worker]]:
        open_workers = [
            [w for w in rack.workers_by_id.values() if w.id not in self._workers]
            for rack in self._fleet.racks_by_id.values()
        ]
        match shape.adjacency:
            case Adjacency.WORKER:
                return [[worker] for rack in open_workers for worker in rack]
            case Adjacency.RACK:
                return open_workers
            case Adjacency.DATA_CENTRE:
                return [[worker for rack in open_workers for worker in rack]]

    def _fits_at(self, group: list[Worker], shape: Shape, now: Seconds) -> float:
        """Return when enough of the group's present runs are expected to be over."""
        rooms = {worker.id: worker.free.copy() for worker in group}
        ends = sorted(
            (self._ends_at(self._runs_by_job[job], now), job, worker.id)
            for worker in group
            for job in worker.tasks_by_job
        )
        fit = sum(room.fitting_tasks(shape.per_task) for room in rooms.values())
        if fit >= shape.tasks:
            return now
        for at, job, worker in ends:
            room = rooms[worker]
            before = room.fitting_tasks(shape.per_task)
            held = self._fleet.workers_by_id[worker].tasks_by_job[job]
            room.add(self._runs_by_job[job].need, held)
            fit += room.fitting_tasks(shape.per_task) - before
            if fit >= shape.tasks:
                return at
        return float("inf")

    def _ends_at(self, run: Run, now: Seconds) -> float:
        if run.is_leaving:
            return now
        since = now if run.running_since is None else run.running_since
        return now + self._estimates.remaining(run.record.profile, Seconds(now - since))


def _holds(group: list[Worker], shape: Shape) -> bool:
    """Return whether a gang fits on a group of workers if nothing else is there."""
    fit = sum(_capacity_tasks(worker, shape) for worker in group)
    return fit >= shape.tasks


def _capacity_tasks(worker: Worker, shape: Shape) -> int:
    need = shape.per_task
    capacity = worker.capacity
    pairs = (
        (capacity.accelerators, need.accelerators),
        (capacity.cores, need.cores),
        (capacity.memory_mb, need.memory_mb),
    )
    return min((has // needs for has, needs in pairs if needs), default=shape.tasks)
