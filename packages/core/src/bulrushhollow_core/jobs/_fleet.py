"""
bulrushhollow_core.jobs._fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The workers of one data centre with two accounts each: what is physically free, and what is spare
beyond the work that may not be preempted and the places kept for guarantees. Sums by rack and an
index by free accelerators are kept up to date with each change.
"""

from collections.abc import Iterable, Iterator

from bulrushhollow_core.ids import JobId, RackId, Seconds, WorkerId
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import TaskReport

Placement = tuple[WorkerId, ...]
"""The worker of each task of a gang, in the order of task numbers."""

BEFORE_ALL = Seconds(float("-inf"))


class ResourceAmounts:
    """Mutable amounts of the three resources; they may be negative."""

    __slots__ = ("accelerators", "cores", "memory_mb")

    def __init__(self, amount: Resources) -> None:
        self.accelerators = amount.accelerators
        self.cores = amount.cores
        self.memory_mb = amount.memory_mb

    def copy(self) -> "ResourceAmounts":
        """Return an independent copy."""
        return ResourceAmounts(Resources(self.accelerators, self.cores, self.memory_mb))

    def add(self, need: Resources, tasks: int) -> None:
        """Add the need of some tasks; a negative number takes it away."""
        self.accelerators += need.accelerators * tasks
        self.cores += need.cores * tasks
        self.memory_mb += need.memory_mb * tasks

    def fitting_tasks(self, need: Resources) -> int:
        """Return how many tasks of this need fit."""
        fit = MANY_TASKS
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


MANY_TASKS = 1_000
"""Tasks on one worker if they need nothing at all."""


class Worker:
    """
    One worker.

    :ivar free: capacity less what tasks hold or are about to hold.
    :ivar spare: capacity less non-preemptible work and less the places kept for guarantees.
    :ivar tasks_by_job: number of tasks that each live run holds here.
    :ivar ready: whether the platform says that it is up.
    :ivar leased_until: while it is not ready, until when tasks may still be running on it.
    :ivar silent: whether orders to it have had no effect since its last report changed.
    :ivar reported: its tasks as of its last report.
    :ivar quarantined: whether it gets no work because work fails on it.
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

    def __init__(self, worker: WorkerId, rack: RackId, capacity: Resources) -> None:
        self.id = worker
        self.rack = rack
        self.capacity = capacity
        self.free = ResourceAmounts(capacity)
        self.spare = ResourceAmounts(capacity)
        self.tasks_by_job: dict[JobId, int] = {}
        self.ready = True
        self.leased_until = BEFORE_ALL
        self.silent = False
        self.reported: tuple[TaskReport, ...] = ()
        self.quarantined = False

    @property
    def is_usable(self) -> bool:
        """Return whether new work may be placed here."""
        return self.ready and not self.quarantined

    @property
    def has_all_accelerators_free(self) -> bool:
        """Return whether nothing holds any of its accelerators."""
        return self.free.accelerators >= self.capacity.accelerators


class RackTotals:
    """
    The usable workers of one rack.

    :ivar free: free accelerators of all of them.
    :ivar whole: number of those on which no accelerator is held.
    """

    __slots__ = ("id", "workers_by_id", "free", "whole")

    def __init__(self, rack: RackId) -> None:
        self.id = rack
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self.free = 0
        self.whole = 0


class Fleet:
    """All workers of a data centre that the platform has reported."""

    def __init__(self) -> None:
        self.workers_by_id: dict[WorkerId, Worker] = {}
        self.racks_by_id: dict[RackId, RackTotals] = {}
        self.workers_by_free: dict[int, dict[WorkerId, Worker]] = {}
        self.release_count = 0
        self.accelerators = 0
        self.free_accelerators = 0

    def put(self, worker: WorkerId, rack: RackId, capacity: Resources) -> Worker:
        """Add a worker, or change its capacity and rack while keeping what it holds."""
        known = self.workers_by_id.get(worker)
        if known is None:
            known = Worker(worker, rack, capacity)
            self.workers_by_id[worker] = known
            self._enter(known)
            return known
        if known.capacity == capacity and known.rack == rack:
            return known
        self._leave(known)
        for space in (known.free, known.spare):
            space.add(known.capacity, -1)
            space.add(capacity, 1)
        known.capacity = capacity
        known.rack = rack
        self._enter(known)
        return known

    def set_ready(self, worker: Worker, ready: bool) -> None:
        """Note whether the platform says that the worker is up."""
        if worker.ready != ready:
            self._leave(worker)
            worker.ready = ready
            self._enter(worker)

    def set_quarantined(self, worker: Worker, quarantined: bool) -> None:
        """Take a worker out of use or back in."""
        if worker.quarantined != quarantined:
            self._leave(worker)
            worker.quarantined = quarantined
            self._enter(worker)

    def usable_workers(self) -> Iterator[Worker]:
        """Return all workers on which new work may be placed."""
        for rack in self.racks_by_id.values():
            yield from rack.workers_by_id.values()

    def allocate(self, job: JobId, worker: WorkerId, need: Resources, tasks: int) -> None:
        """Take physical room for some tasks of a job."""
        found = self.workers_by_id[worker]
        self._change_free(found, need, -tasks)
        found.tasks_by_job[job] = found.tasks_by_job.get(job, 0) + tasks

    def deallocate(self, job: JobId, worker: WorkerId, need: Resources, tasks: int) -> None:
        """Give back physical room of some tasks of a job."""
        found = self.workers_by_id[worker]
        self._change_free(found, need, tasks)
        left = found.tasks_by_job.get(job, 0) - tasks
        if left > 0:
            found.tasks_by_job[job] = left
        else:
            found.tasks_by_job.pop(job, None)
        self.release_count += 1

    def reserve_spare(self, placement: Iterable[WorkerId], need: Resources, tasks: int = 1) -> None:
        """Take spare room on each worker named, once for each time it is named."""
        for worker in placement:
            self.workers_by_id[worker].spare.add(need, -tasks)

    def release_spare(self, placement: Iterable[WorkerId], need: Resources) -> None:
        """Give spare room back."""
        self.reserve_spare(placement, need, -1)
        self.release_count += 1

    def _change_free(self, worker: Worker, need: Resources, tasks: int) -> None:
        if not worker.is_usable:
            worker.free.add(need, tasks)
            return
        self._leave(worker)
        worker.free.add(need, tasks)
        self._enter(worker)

    def _leave(self, worker: Worker) -> None:
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

    def _enter(self, worker: Worker) -> None:
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
