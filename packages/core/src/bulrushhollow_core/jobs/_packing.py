"""
bulrushhollow_core.jobs._packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds places for gangs. Small tasks go to the tightest worker of the most broken rack, gangs to
the tightest rack that holds them, so that whole racks stay whole for large shapes.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator

from bulrushhollow_core.ids import WorkerId
from bulrushhollow_core.jobs._fleet import Fleet, Placement, RackTotals, Worker
from bulrushhollow_core.models import Adjacency, Shape

Headroom = Callable[[Worker], int]
"""Returns how many tasks of the shape in question a worker can take."""

NO_WORKERS: frozenset[WorkerId] = frozenset()


def free_headroom(shape: Shape) -> Headroom:
    """Headroom for preemptible work: what is physically free."""
    need = shape.per_task
    return lambda worker: worker.free.fitting_tasks(need)


def spare_headroom(shape: Shape) -> Headroom:
    """Headroom beyond non-preemptible work and kept places, whoever is there at present."""
    need = shape.per_task
    return lambda worker: worker.spare.fitting_tasks(need)


def non_preemptible_headroom(shape: Shape) -> Headroom:
    """Headroom for non-preemptible work that starts at once: both free and spare."""
    need = shape.per_task
    return lambda worker: min(worker.free.fitting_tasks(need), worker.spare.fitting_tasks(need))


def excluding(room: Headroom, avoid: frozenset[WorkerId]) -> Headroom:
    """Leave out some workers."""
    if not avoid:
        return room
    return lambda worker: 0 if worker.id in avoid else room(worker)


def find_placement(fleet: Fleet, shape: Shape, room: Headroom) -> Placement | None:
    """
    Find the place for a gang that breaks up the least.

    :param room: how many tasks each worker can take.
    :return: the worker of each task, or None if the gang fits nowhere at present.
    """
    if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
        return _find_on_one_worker(fleet, shape, room)
    if shape.adjacency is Adjacency.RACK:
        return _find_in_one_rack(fleet, shape, room)
    return _find_across_racks(fleet, shape, room)


def _tightness(fleet: Fleet, worker: Worker) -> tuple[bool, int, int, WorkerId]:
    rack = fleet.racks_by_id[worker.rack]
    return (worker.has_all_accelerators_free, worker.free.accelerators, rack.whole, worker.id)


def _find_on_one_worker(fleet: Fleet, shape: Shape, room: Headroom) -> Placement | None:
    fitting = (w for w in fleet.usable_workers() if room(w) >= shape.tasks)
    best = min(fitting, key=lambda worker: _tightness(fleet, worker), default=None)
    return None if best is None else (best.id,) * shape.tasks


def find_free_worker(fleet: Fleet, shape: Shape, room: Headroom) -> Placement | None:
    """
    Find the tightest worker by the index of free accelerators; only for room that is at most what
    is physically free.
    """
    needed = shape.per_task.accelerators * shape.tasks
    for free in sorted(count for count in fleet.workers_by_free if count >= needed):
        fitting = (w for w in fleet.workers_by_free[free].values() if room(w) >= shape.tasks)
        few = itertools.islice(fitting, CANDIDATES)
        best = min(few, key=lambda worker: _tightness(fleet, worker), default=None)
        if best is not None:
            return (best.id,) * shape.tasks
    return None


CANDIDATES = 64
"""Workers of equal room that are compared before one is chosen."""


def _find_in_one_rack(fleet: Fleet, shape: Shape, room: Headroom) -> Placement | None:
    racks = sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.free, rack.whole, rack.id))
    for rack in racks:
        if sum(map(room, rack.workers_by_id.values())) >= shape.tasks:
            return fill_in_order(_by_tightness([rack]), shape.tasks, room)
    return None


def _find_across_racks(fleet: Fleet, shape: Shape, room: Headroom) -> Placement | None:
    racks = sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.whole, rack.free, rack.id))
    return fill_in_order(_by_tightness(racks), shape.tasks, room)


def _by_tightness(racks: Iterable[RackTotals]) -> Iterator[Worker]:
    for rack in racks:
        yield from sorted(
            rack.workers_by_id.values(), key=lambda worker: (worker.free.accelerators, worker.id)
        )


def fill_in_order(workers: Iterable[Worker], tasks: int, room: Headroom) -> Placement | None:
    """
    Put tasks on workers in the order given.

    :return: the worker of each task, or None if there is not room for all.
    """
    placement: list[WorkerId] = []
    for worker in workers:
        placement.extend(itertools.repeat(worker.id, min(room(worker), tasks - len(placement))))
        if len(placement) == tasks:
            return tuple(placement)
    return None


def iterate_placements(fleet: Fleet, shape: Shape, room: Headroom) -> Iterator[Placement]:
    """Return every place of a gang, the tightest racks first; there may be very many."""
    if shape.adjacency is Adjacency.DATA_CENTRE:
        yield from _distributions(list(fleet.usable_workers()), shape.tasks, room)
        return
    for rack in sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.free, rack.id)):
        workers = list(_by_tightness([rack]))
        if shape.adjacency is Adjacency.RACK:
            yield from _distributions(workers, shape.tasks, room)
        else:
            yield from ((w.id,) * shape.tasks for w in workers if room(w) >= shape.tasks)


def _distributions(workers: list[Worker], tasks: int, room: Headroom) -> Iterator[Placement]:
    if tasks == 0:
        yield ()
        return
    if not workers or sum(map(room, workers)) < tasks:
        return
    first, rest = workers[0], workers[1:]
    for here in range(min(room(first), tasks), -1, -1):
        for tail in _distributions(rest, tasks - here, room):
            yield (first.id,) * here + tail


def fits_empty(shape: Shape, racks: Iterable[tuple[int, int]]) -> bool:
    """
    Return whether a gang fits into empty racks.

    :param racks: for each rack, its number of workers and the tasks that one of them can take.
    """
    sizes = list(racks)
    match shape.adjacency:
        case Adjacency.WORKER:
            return any(each >= shape.tasks and workers > 0 for workers, each in sizes)
        case Adjacency.RACK:
            return any(workers * each >= shape.tasks for workers, each in sizes)
        case Adjacency.DATA_CENTRE:
            return sum(workers * each for workers, each in sizes) >= shape.tasks
