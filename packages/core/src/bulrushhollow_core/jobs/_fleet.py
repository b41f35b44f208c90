"""
bulrushhollow_core.jobs._fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The workers of one data centre. Each worker has two amounts of available resources: free is what
no task holds; spare is what neither non-preemptible work nor a placement reserved for a guarantee
uses. Each change also updates the totals of the racks and an index by free accelerators.
"""

from collections.abc import Iterable, Iterator

from bulrushhollow_core.ids import JobId, RackId, Seconds, WorkerId
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import TaskReport

Placement = tuple[WorkerId, ...]
"""The worker of each task of a gang, in the order of task numbers."""

DISTANT_PAST = Seconds(float("-inf"))


class ResourceAmounts:
    """Mutable amounts of the three resources, which may be negative."""

    __slots__ = ("accelerators", "cores", "memory_mb")

    def __init__(self, amount: Resources) -> None:
        self.accelerators = amount.accelerators
        self.cores = amount.cores
        self.memory_mb = amount.memory_mb

    def copy(self) -> "ResourceAmounts":
        """Return an independent copy."""
        return ResourceAmounts(Resources(self.accelerators, self.cores, self.memory_mb))

    def add(self, need: Resources, tasks: int) -> None:
        """Add the need of some tasks; a negative number of tasks subtracts it."""
        self.accelerators += need.accelerators * tasks
        self.cores += need.cores * tasks
        self.memory_mb += need.memory_mb * tasks

    def fitting_tasks(self, need: Resources) -> int:
        """Return how many tasks with this need fit."""
        fit = MAX_TASKS_WITHOUT_NEED
        if need.accelerators:
            fit = self.accelerators // need.accelerators
        if need.cores:
            fit = min(fit, self.cores // need.cores)
        if need.memory_mb:
            fit = min(fit, self.memory_mb // need.memory_mb)
        return max(fit, 0)

    def is_overcommitted(self) -> bool:
        """Return whether any amount is below zero."""
        return self.accelerators < 0 or self.cores < 0 or self.memory_mb < 0


MAX_TASKS_WITHOUT_NEED = 1_000
"""Largest number of tasks on one worker if a task needs no resources at all."""


class Worker:
    """
    A worker that the platform has reported.

    :ivar free: capacity less what tasks hold or are about to hold; negative while a reserved gang
        waits for preempted tasks to leave.
    :ivar spare: capacity less non-preemptible work and placements reserved for guarantees.
    :ivar tasks_by_job: number of tasks that each live run holds on this worker.
    :ivar ready: whether the platform reports the worker as up.
    :ivar leased_until: while the worker is not ready, when its lease ends; until then its tasks
        may still be running.
    :ivar silent: whether orders have had no effect since the worker's last report changed.
    :ivar reported: tasks in the worker's last report.
    :ivar quarantined: whether the worker gets no new work because work fails on it.
    """

    __slots__ = (
        "id",
        "rack",
        "capacity",
        "free",
        "spare",
        "tasks_by_job",
        "ready",
        "leased_until",
        "silent",
        "reported",
        "quarantined",
    )

    def __init__(self, worker_id: WorkerId, rack: RackId, capacity: Resources) -> None:
        self.id = worker_id
        self.rack = rack
        self.capacity = capacity
        self.free = ResourceAmounts(capacity)
        self.spare = ResourceAmounts(capacity)
        self.tasks_by_job: dict[JobId, int] = {}
        self.ready = True
        self.leased_until = DISTANT_PAST
        self.silent = False
        self.reported: tuple[TaskReport, ...] = ()
        self.quarantined = False

    @property
    def is_usable(self) -> bool:
        """Return whether new work may be placed on the worker."""
        return self.ready and not self.quarantined

    @property
    def has_all_accelerators_free(self) -> bool:
        """Return whether no task holds an accelerator of the worker."""
        return self.free.accelerators >= self.capacity.accelerators


class RackTotals:
    """
    The usable workers of one rack and the totals over them.

    :ivar free: free accelerators.
    :ivar whole: number of workers that have all of their accelerators free.
    """

    __slots__ = ("id", "workers_by_id", "free", "whole")

    def __init__(self, rack: RackId) -> None:
        self.id = rack
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self.free = 0
        self.whole = 0


class Fleet:
    """
    All workers of a data centre that the platform has reported.

    :ivar racks_by_id: the racks, each with its usable workers only.
    :ivar workers_by_free: the usable workers by their number of free accelerators.
    :ivar release_count: number of times that resources became available; a search that failed
        need not be repeated while it stays the same.
    :ivar accelerators: accelerators of all usable workers.
    :ivar free_accelerators: free accelerators of all usable workers.
    """

    def __init__(self) -> None:
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self.racks_by_id: dict[RackId, RackTotals] = {}
        self.workers_by_free: dict[int, dict[WorkerId, Worker]] = {}
        self.release_count = 0
        self.accelerators = 0
        self.free_accelerators = 0

    def put(self, worker_id: WorkerId, rack: RackId, capacity: Resources) -> Worker:
        """Add a worker, or change its capacity and rack; what its tasks hold stays allocated."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            worker = Worker(worker_id, rack, capacity)
            self.workers_by_id[worker_id] = worker
            self._add_to_index(worker)
            return worker
        if worker.capacity == capacity and worker.rack == rack:
            return worker
        self._remove_from_index(worker)
        for amounts in (worker.free, worker.spare):
            amounts.add(worker.capacity, -1)
            amounts.add(capacity, 1)
        worker.capacity = capacity
        worker.rack = rack
        self._add_to_index(worker)
        return worker

    def set_ready(self, worker: Worker, ready: bool) -> None:
        """Set whether the platform reports the worker as up."""
        if worker.ready != ready:
            self._remove_from_index(worker)
            worker.ready = ready
            self._add_to_index(worker)

    def set_quarantined(self, worker: Worker, quarantined: bool) -> None:
        """Put a worker into quarantine or take it out."""
        if worker.quarantined != quarantined:
            self._remove_from_index(worker)
            worker.quarantined = quarantined
            self._add_to_index(worker)

    def usable_workers(self) -> Iterator[Worker]:
        """Return the workers on which new work may be placed."""
        for rack in self.racks_by_id.values():
            yield from rack.workers_by_id.values()

    def allocate(self, job: JobId, worker_id: WorkerId, need: Resources, tasks: int) -> None:
        """Allocate free resources of a worker to some tasks of a job."""
        worker = self.workers_by_id[worker_id]
        self._change_free(worker, need, -tasks)
        worker.tasks_by_job[job] = worker.tasks_by_job.get(job, 0) + tasks

    def deallocate(self, job: JobId, worker_id: WorkerId, need: Resources, tasks: int) -> None:
        """Return the resources of some tasks of a job to a worker."""
        worker = self.workers_by_id[worker_id]
        self._change_free(worker, need, tasks)
        tasks_left = worker.tasks_by_job.get(job, 0) - tasks
        if tasks_left > 0:
            worker.tasks_by_job[job] = tasks_left
        else:
            worker.tasks_by_job.pop(job, None)
        self.release_count += 1

    def reserve_spare(self, placement: Iterable[WorkerId], need: Resources, tasks: int = 1) -> None:
        """Reserve spare resources for some tasks at each entry of a placement."""
        for worker in placement:
            self.workers_by_id[worker].spare.add(need, -tasks)

    def release_spare(self, placement: Iterable[WorkerId], need: Resources) -> None:
        """Return the spare resources of one task at each entry of a placement."""
        self.reserve_spare(placement, need, -1)
        self.release_count += 1

    def _change_free(self, worker: Worker, need: Resources, tasks: int) -> None:
        if not worker.is_usable:
            worker.free.add(need, tasks)
            return
        self._remove_from_index(worker)
        worker.free.add(need, tasks)
        self._add_to_index(worker)

    def _remove_from_index(self, worker: Worker) -> None:
        if not worker.is_usable:
            return
        free = worker.free.accelerators
        del self.workers_by_free[free][worker.id]
        rack = self.racks_by_id[worker.rack]
        del rack.workers_by_id[worker.id]
        rack.free -= free
        rack.whole -= worker.has_all_accelerators_free
        self.free_accelerators -= free
        self.accelerators -= worker.capacity.accelerators

    def _add_to_index(self, worker: Worker) -> None:
        if not worker.is_usable:
            return
        free = worker.free.accelerators
        self.workers_by_free.setdefault(free, {})[worker.id] = worker
        rack = self.racks_by_id.setdefault(worker.rack, RackTotals(worker.rack))
        rack.workers_by_id[worker.id] = worker
        rack.free += free
        rack.whole += worker.has_all_accelerators_free
        self.free_accelerators += free
        self.accelerators += worker.capacity.accelerators
