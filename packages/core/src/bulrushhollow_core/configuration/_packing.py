"""
bulrushhollow_core.configuration._packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Packs gangs into declared racks: largest first, into the first rack and the tightest workers that
hold them, in a few fixed orders. A packing that is found is real; one that exists may be missed.
"""

from collections.abc import Callable, Iterable

import msgspec

from bulrushhollow_core.ids import RackId, WorkspaceId
from bulrushhollow_core.models import Adjacency, Guarantee, Rack, Resources

Amounts = tuple[int, int, int]
"""Accelerators, cores and memory, as plain numbers for speed."""

SHARE_UNIT = 1_000_000
"""Shares are whole millionths, so that every replica rounds alike."""


class Demand(msgspec.Struct, frozen=True):
    """A guarantee and whose it is."""

    workspace: WorkspaceId
    guarantee: Guarantee


class PackedTasks(msgspec.Struct, frozen=True):
    """
    Some tasks of a gang on one worker.

    :param worker: number of the worker in its rack, from 0.
    """

    rack: RackId
    worker: int
    tasks: int


class PackedGang(msgspec.Struct, frozen=True):
    """Where one gang of a guarantee is packed."""

    demand: Demand
    parts: tuple[PackedTasks, ...]


def pack(racks: Iterable[Rack], demands: Iterable[Demand]) -> list[PackedGang] | None:
    """
    Pack all gangs of all demands at once.

    :return: where each gang is, or None if no order of packing succeeds.
    """
    ordered_racks = sorted(racks, key=lambda rack: (_amounts(rack.per_worker), rack.id))
    wanted = list(demands)
    totals = _totals(ordered_racks)
    if not _within(wanted, totals):
        return None
    for key in _orders(totals):
        packed = _Attempt(ordered_racks).run(sorted(wanted, key=key))
        if packed is not None:
            return packed
    return None


def _amounts(resources: Resources) -> Amounts:
    return (resources.accelerators, resources.cores, resources.memory_mb)


def _totals(racks: list[Rack]) -> Amounts:
    amounts = [_amounts(rack.per_worker) for rack in racks]
    accelerators = sum(rack.workers * each[0] for rack, each in zip(racks, amounts, strict=True))
    cores = sum(rack.workers * each[1] for rack, each in zip(racks, amounts, strict=True))
    memory = sum(rack.workers * each[2] for rack, each in zip(racks, amounts, strict=True))
    return (accelerators, cores, memory)


def _within(demands: list[Demand], totals: Amounts) -> bool:
    """Compare sums first, which also bounds the gangs that are packed one by one."""
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


OrderKey = tuple[int, int, str, str]


def _orders(totals: Amounts) -> list[Callable[[Demand], OrderKey]]:
    """Return sort keys: by breadth of the domain, by the size of a gang, by the size of a task."""
    breadth = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.DATA_CENTRE: 2}

    def task_share(demand: Demand) -> int:
        needs = zip(_amounts(demand.guarantee.shape.per_task), totals, strict=True)
        return max(need * SHARE_UNIT // max(total, 1) for need, total in needs)

    def gang_share(demand: Demand) -> int:
        return task_share(demand) * demand.guarantee.shape.tasks

    def narrow_first(demand: Demand) -> OrderKey:
        domain = breadth[demand.guarantee.shape.adjacency]
        return (domain, -gang_share(demand), demand.workspace, demand.guarantee.name)

    def large_gangs_first(demand: Demand) -> OrderKey:
        domain = breadth[demand.guarantee.shape.adjacency]
        return (-gang_share(demand), domain, demand.workspace, demand.guarantee.name)

    def large_tasks_first(demand: Demand) -> OrderKey:
        gang = -gang_share(demand)
        return (-task_share(demand), gang, demand.workspace, demand.guarantee.name)

    return [narrow_first, large_gangs_first, large_tasks_first]


class _FreeRack:
    """What is left of one rack, its workers grouped by what they have free."""

    def __init__(self, rack: Rack) -> None:
        self.id = rack.id
        self.accelerators = rack.workers * rack.per_worker.accelerators
        self._workers_by_free = {_amounts(rack.per_worker): list(range(rack.workers))}

    def room(self, need: Amounts, tasks: int) -> int:
        """Count the tasks that fit, up to the number asked for."""
        found = 0
        for free, workers in self._workers_by_free.items():
            found += _fitting(free, need) * len(workers)
            if found >= tasks:
                return tasks
        return found

    def widest(self, need: Amounts, tasks: int) -> int:
        """Count the tasks that fit on the one worker that holds most, up to the number asked."""
        return min(tasks, max(_fitting(free, need) for free in self._workers_by_free))

    def take(self, need: Amounts, tasks: int, at_least: int) -> list[PackedTasks]:
        """Place tasks on the tightest workers that each hold the given number or more."""
        parts: list[PackedTasks] = []
        for free in sorted(self._workers_by_free):
            fitting = _fitting(free, need)
            while fitting >= at_least and tasks and free in self._workers_by_free:
                placed = min(fitting, tasks)
                parts.append(PackedTasks(self.id, self._use(free, need, placed), placed))
                tasks -= placed
        return parts

    def _use(self, free: Amounts, need: Amounts, tasks: int) -> int:
        self.accelerators -= need[0] * tasks
        workers = self._workers_by_free[free]
        worker = workers.pop()
        if not workers:
            del self._workers_by_free[free]
        left = (free[0] - need[0] * tasks, free[1] - need[1] * tasks, free[2] - need[2] * tasks)
        self._workers_by_free.setdefault(left, []).append(worker)
        return worker


def _fitting(free: Amounts, need: Amounts) -> int:
    """Count the equal tasks that fit into what one worker has free."""
    return min(has // wants for has, wants in zip(free, need, strict=True) if wants)


class _Attempt:
    """One pass over all demands in one order."""

    def __init__(self, racks: list[Rack]) -> None:
        self._racks = [_FreeRack(rack) for rack in racks]
        self._skipped_by_shape: dict[tuple[Amounts, int, Adjacency], int] = {}

    def run(self, demands: list[Demand]) -> list[PackedGang] | None:
        """Pack all demands, or return None at the first gang that finds no place."""
        packed: list[PackedGang] = []
        for demand in demands:
            for _ in range(demand.guarantee.count):
                parts = self._place(demand.guarantee)
                if parts is None:
                    return None
                packed.append(PackedGang(demand, tuple(parts)))
        return packed

    def _place(self, guarantee: Guarantee) -> list[PackedTasks] | None:
        shape = guarantee.shape
        need = _amounts(shape.per_task)
        if shape.adjacency is Adjacency.DATA_CENTRE:
            return self._spread(need, shape.tasks)
        on_worker = shape.adjacency is Adjacency.WORKER
        measure = _FreeRack.widest if on_worker else _FreeRack.room
        rack = self._first_rack(need, shape.tasks, shape.adjacency, measure)
        if rack is None:
            return None
        return rack.take(need, shape.tasks, at_least=shape.tasks if on_worker else 1)

    def _first_rack(
        self,
        need: Amounts,
        tasks: int,
        adjacency: Adjacency,
        measure: Callable[[_FreeRack, Amounts, int], int],
    ) -> _FreeRack | None:
        """Racks only fill up, so those once too full for a shape are never looked at again."""
        shape = (need, tasks, adjacency)
        start = self._skipped_by_shape.get(shape, 0)
        for position in range(start, len(self._racks)):
            rack = self._racks[position]
            has_sum = rack.accelerators >= need[0] * tasks
            if has_sum and measure(rack, need, tasks) >= tasks:
                self._skipped_by_shape[shape] = position
                return rack
        self._skipped_by_shape[shape] = len(self._racks)
        return None

    def _spread(self, need: Amounts, tasks: int) -> list[PackedTasks] | None:
        parts: list[PackedTasks] = []
        while tasks:
            rack = self._first_rack(need, 1, Adjacency.DATA_CENTRE, _FreeRack.room)
            if rack is None:
                return None
            taken = rack.take(need, tasks, at_least=1)
            parts += taken
            tasks -= sum(part.tasks for part in taken)
        return parts
