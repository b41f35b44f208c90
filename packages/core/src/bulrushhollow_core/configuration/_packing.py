"""
bulrushhollow_core.configuration._packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Packs gangs into declared racks with a greedy heuristic: the gangs are sorted in a few fixed orders,
and each gets the first rack that holds it and the best-fit workers there. A packing that is found
is valid, but an existing packing may be missed.
"""

from collections.abc import Callable, Iterable

import msgspec

from bulrushhollow_core.ids import RackId, WorkspaceId
from bulrushhollow_core.models import Adjacency, Guarantee, Rack, Resources

Amounts = tuple[int, int, int]
"""Accelerators, cores and memory as a tuple, which is faster than :class:`Resources`."""

SHARE_SCALE = 1_000_000
"""Shares are integers in millionths, so that all replicas compute the same order."""


class GuaranteeDemand(msgspec.Struct, frozen=True):
    """A guarantee and the workspace that has it."""

    workspace: WorkspaceId
    guarantee: Guarantee


class PackedTasks(msgspec.Struct, frozen=True):
    """
    The tasks of a gang that are packed on one worker.

    :param worker: number of the worker in its rack, from 0.
    :param tasks: number of tasks.
    """

    rack: RackId
    worker: int
    tasks: int


class PackedGang(msgspec.Struct, frozen=True):
    """One gang of a guarantee and the workers on which it is packed."""

    demand: GuaranteeDemand
    parts: tuple[PackedTasks, ...]


def pack(racks: Iterable[Rack], demands: Iterable[GuaranteeDemand]) -> list[PackedGang] | None:
    """
    Pack all gangs of all demands together.

    :return: the packed gangs, or None if no order of packing succeeds.
    """
    ordered_racks = sorted(racks, key=lambda rack: (_amounts(rack.per_worker), rack.id))
    all_demands = list(demands)
    totals = _totals(ordered_racks)
    if not _fits_in_total(all_demands, totals):
        return None
    for sort_key in _sort_keys(totals):
        packed = _PackingAttempt(ordered_racks).run(sorted(all_demands, key=sort_key))
        if packed is not None:
            return packed
    return None


def _amounts(resources: Resources) -> Amounts:
    return (resources.accelerators, resources.cores, resources.memory_mb)


def _totals(racks: list[Rack]) -> Amounts:
    per_worker = [_amounts(rack.per_worker) for rack in racks]
    accelerators = sum(
        rack.workers * amounts[0] for rack, amounts in zip(racks, per_worker, strict=True)
    )
    cores = sum(rack.workers * amounts[1] for rack, amounts in zip(racks, per_worker, strict=True))
    memory = sum(rack.workers * amounts[2] for rack, amounts in zip(racks, per_worker, strict=True))
    return (accelerators, cores, memory)


def _fits_in_total(demands: list[GuaranteeDemand], totals: Amounts) -> bool:
    """
    Return whether the sum of all demands is within the totals. Checking this first also bounds
    the number of gangs that are packed one by one.
    """
    for index, total in enumerate(totals):
        needed = sum(
            demand.guarantee.count
            * demand.guarantee.shape.tasks
            * _amounts(demand.guarantee.shape.per_task)[index]
            for demand in demands
        )
        if needed > total:
            return False
    return True


SortKey = tuple[int, int, str, str]


def _sort_keys(totals: Amounts) -> list[Callable[[GuaranteeDemand], SortKey]]:
    """Return sort keys: by breadth of the adjacency, by size of a gang, by size of a task."""
    breadths = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DATA_CENTRE: 2}

    def task_share(demand: GuaranteeDemand) -> int:
        needs = zip(_amounts(demand.guarantee.shape.per_task), totals, strict=True)
        return max(need * SHARE_SCALE // max(total, 1) for need, total in needs)

    def gang_share(demand: GuaranteeDemand) -> int:
        return task_share(demand) * demand.guarantee.shape.tasks

    def narrow_first(demand: GuaranteeDemand) -> SortKey:
        breadth = breadths[demand.guarantee.shape.adjacency]
        return (breadth, -gang_share(demand), demand.workspace, demand.guarantee.name)

    def large_gangs_first(demand: GuaranteeDemand) -> SortKey:
        breadth = breadths[demand.guarantee.shape.adjacency]
        return (-gang_share(demand), breadth, demand.workspace, demand.guarantee.name)

    def large_tasks_first(demand: GuaranteeDemand) -> SortKey:
        negative_gang_share = -gang_share(demand)
        return (-task_share(demand), negative_gang_share, demand.workspace, demand.guarantee.name)

    return [narrow_first, large_gangs_first, large_tasks_first]


class _FreeRack:
    """
    The free resources of one rack during a packing attempt.

    :ivar accelerators: free accelerators of all workers.
    """

    def __init__(self, rack: Rack) -> None:
        self.id = rack.id
        self.accelerators = rack.workers * rack.per_worker.accelerators
        self._workers_by_free = {_amounts(rack.per_worker): list(range(rack.workers))}

    def fitting_tasks(self, need: Amounts, limit: int) -> int:
        """Return how many tasks fit into the rack, at most the limit."""
        fitting = 0
        for free, workers in self._workers_by_free.items():
            fitting += _fitting_tasks(free, need) * len(workers)
            if fitting >= limit:
                return limit
        return fitting

    def fitting_tasks_on_one_worker(self, need: Amounts, limit: int) -> int:
        """Return how many tasks fit on the worker that can take most, at most the limit."""
        return min(limit, max(_fitting_tasks(free, need) for free in self._workers_by_free))

    def place(self, need: Amounts, tasks: int, min_per_worker: int) -> list[PackedTasks]:
        """
        Place as many tasks as fit on the best-fit workers.

        :param min_per_worker: workers that can take fewer tasks than this are skipped.
        """
        parts: list[PackedTasks] = []
        for free in sorted(self._workers_by_free):
            fitting = _fitting_tasks(free, need)
            while fitting >= min_per_worker and tasks and free in self._workers_by_free:
                placed = min(fitting, tasks)
                parts.append(PackedTasks(self.id, self._allocate(free, need, placed), placed))
                tasks -= placed
        return parts

    def _allocate(self, free: Amounts, need: Amounts, tasks: int) -> int:
        """Allocate some tasks on a worker with the given free amounts; return its number."""
        self.accelerators -= need[0] * tasks
        workers = self._workers_by_free[free]
        worker = workers.pop()
        if not workers:
            del self._workers_by_free[free]
        remaining = (
            free[0] - need[0] * tasks,
            free[1] - need[1] * tasks,
            free[2] - need[2] * tasks,
        )
        self._workers_by_free.setdefault(remaining, []).append(worker)
        return worker


def _fitting_tasks(free: Amounts, need: Amounts) -> int:
    """Return how many equal tasks fit into the free amounts of one worker."""
    return min(available // needed for available, needed in zip(free, need, strict=True) if needed)


class _PackingAttempt:
    """One attempt to pack all demands in one order, without backtracking."""

    def __init__(self, racks: list[Rack]) -> None:
        self._racks = [_FreeRack(rack) for rack in racks]
        self._first_position_by_shape: dict[tuple[Amounts, int, Adjacency], int] = {}

    def run(self, demands: list[GuaranteeDemand]) -> list[PackedGang] | None:
        """Pack all demands; return None at the first gang that does not fit."""
        packed: list[PackedGang] = []
        for demand in demands:
            for _ in range(demand.guarantee.count):
                parts = self._place_gang(demand.guarantee)
                if parts is None:
                    return None
                packed.append(PackedGang(demand, tuple(parts)))
        return packed

    def _place_gang(self, guarantee: Guarantee) -> list[PackedTasks] | None:
        shape = guarantee.shape
        need = _amounts(shape.per_task)
        if shape.adjacency is Adjacency.DATA_CENTRE:
            return self._place_across_racks(need, shape.tasks)
        on_worker = shape.adjacency is Adjacency.WORKER
        count_fitting = (
            _FreeRack.fitting_tasks_on_one_worker if on_worker else _FreeRack.fitting_tasks
        )
        rack = self._first_rack(need, shape.tasks, shape.adjacency, count_fitting)
        if rack is None:
            return None
        return rack.place(need, shape.tasks, min_per_worker=shape.tasks if on_worker else 1)

    def _first_rack(
        self,
        need: Amounts,
        tasks: int,
        adjacency: Adjacency,
        count_fitting: Callable[[_FreeRack, Amounts, int], int],
    ) -> _FreeRack | None:
        """
        Return the first rack that holds a shape. Racks only fill up, so a rack that was too full
        for a shape is not searched for it again.
        """
        shape = (need, tasks, adjacency)
        start = self._first_position_by_shape.get(shape, 0)
        for position in range(start, len(self._racks)):
            rack = self._racks[position]
            has_accelerators = rack.accelerators >= need[0] * tasks
            if has_accelerators and count_fitting(rack, need, tasks) >= tasks:
                self._first_position_by_shape[shape] = position
                return rack
        self._first_position_by_shape[shape] = len(self._racks)
        return None

    def _place_across_racks(self, need: Amounts, tasks: int) -> list[PackedTasks] | None:
        parts: list[PackedTasks] = []
        while tasks:
            rack = self._first_rack(need, 1, Adjacency.DATA_CENTRE, _FreeRack.fitting_tasks)
            if rack is None:
                return None
            placed = rack.place(need, tasks, min_per_worker=1)
            parts += placed
            tasks -= sum(part.tasks for part in placed)
        return parts
