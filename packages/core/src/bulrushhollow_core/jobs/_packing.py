"""
bulrushhollow_core.jobs._packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds placements for gangs by best fit: a gang goes to the workers or the rack with the least free
accelerators that still hold it, and to workers in use before idle ones. This keeps whole racks
free for large shapes.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator

from bulrushhollow_core.ids import WorkerId
from bulrushhollow_core.jobs._fleet import Fleet, Placement, RackTotals, Worker
from bulrushhollow_core.models import Adjacency, Shape

Headroom = Callable[[Worker], int]
"""Returns how many more tasks of a given shape a worker can take."""

NO_WORKERS: frozenset[WorkerId] = frozenset()


def free_headroom(shape: Shape) -> Headroom:
    """Return the headroom for preemptible work: what no task holds."""
    need = shape.per_task
    return lambda worker: worker.free.fitting_tasks(need)


def spare_headroom(shape: Shape) -> Headroom:
    """Return the headroom for guaranteed gangs: what is spare, even where preemptible work runs."""
    need = shape.per_task
    return lambda worker: worker.spare.fitting_tasks(need)


def non_preemptible_headroom(shape: Shape) -> Headroom:
    """Return the headroom for non-preemptible work that preempts nothing: both free and spare."""
    need = shape.per_task
    return lambda worker: min(worker.free.fitting_tasks(need), worker.spare.fitting_tasks(need))


def excluding(headroom: Headroom, excluded: frozenset[WorkerId]) -> Headroom:
    """Return a headroom that is 0 on the excluded workers."""
    if not excluded:
        return headroom
    return lambda worker: 0 if worker.id in excluded else headroom(worker)


def find_placement(fleet: Fleet, shape: Shape, headroom: Headroom) -> Placement | None:
    """
    Find the best-fit placement for a gang.

    :param headroom: how many tasks each worker can take.
    :return: the worker of each task, or None if the gang fits nowhere at present.
    """
    if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
        return _find_on_one_worker(fleet, shape, headroom)
    if shape.adjacency is Adjacency.RACK:
        return _find_in_one_rack(fleet, shape, headroom)
    return _find_across_racks(fleet, shape, headroom)


def _best_fit_key(fleet: Fleet, worker: Worker) -> tuple[bool, int, int, WorkerId]:
    rack = fleet.racks_by_id[worker.rack]
    return (worker.has_all_accelerators_free, worker.free.accelerators, rack.whole, worker.id)


def _find_on_one_worker(fleet: Fleet, shape: Shape, headroom: Headroom) -> Placement | None:
    fitting = (w for w in fleet.usable_workers() if headroom(w) >= shape.tasks)
    best = min(fitting, key=lambda worker: _best_fit_key(fleet, worker), default=None)
    return None if best is None else (best.id,) * shape.tasks


def find_free_worker(fleet: Fleet, shape: Shape, headroom: Headroom) -> Placement | None:
    """
    Find the best-fit worker for a whole gang through the index of free accelerators.

    :param headroom: at most what :func:`free_headroom` returns, else workers would be missed.
    """
    needed_accelerators = shape.per_task.accelerators * shape.tasks
    for free in sorted(count for count in fleet.workers_by_free if count >= needed_accelerators):
        fitting = (w for w in fleet.workers_by_free[free].values() if headroom(w) >= shape.tasks)
        candidates = itertools.islice(fitting, MAX_CANDIDATES)
        best = min(candidates, key=lambda worker: _best_fit_key(fleet, worker), default=None)
        if best is not None:
            return (best.id,) * shape.tasks
    return None


MAX_CANDIDATES = 64
"""Number of workers with equally many free accelerators that are compared."""


def _find_in_one_rack(fleet: Fleet, shape: Shape, headroom: Headroom) -> Placement | None:
    racks = sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.free, rack.whole, rack.id))
    for rack in racks:
        if sum(map(headroom, rack.workers_by_id.values())) >= shape.tasks:
            return fill_in_order(_in_best_fit_order([rack]), shape.tasks, headroom)
    return None


def _find_across_racks(fleet: Fleet, shape: Shape, headroom: Headroom) -> Placement | None:
    racks = sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.whole, rack.free, rack.id))
    return fill_in_order(_in_best_fit_order(racks), shape.tasks, headroom)


def _in_best_fit_order(racks: Iterable[RackTotals]) -> Iterator[Worker]:
    for rack in racks:
        yield from sorted(
            rack.workers_by_id.values(), key=lambda worker: (worker.free.accelerators, worker.id)
        )


def fill_in_order(workers: Iterable[Worker], tasks: int, headroom: Headroom) -> Placement | None:
    """
    Put as many tasks as fit on each worker, in the given order.

    :return: the worker of each task, or None if not all tasks fit.
    """
    placement: list[WorkerId] = []
    for worker in workers:
        placement.extend(itertools.repeat(worker.id, min(headroom(worker), tasks - len(placement))))
        if len(placement) == tasks:
            return tuple(placement)
    return None


def iterate_placements(fleet: Fleet, shape: Shape, headroom: Headroom) -> Iterator[Placement]:
    """
    Yield every placement of a gang, racks with the least free accelerators first. There can be
    very many, so the caller has to bound the search.
    """
    if shape.adjacency is Adjacency.DATA_CENTRE:
        yield from _distributions(list(fleet.usable_workers()), shape.tasks, headroom)
        return
    for rack in sorted(fleet.racks_by_id.values(), key=lambda rack: (rack.free, rack.id)):
        workers = list(_in_best_fit_order([rack]))
        if shape.adjacency is Adjacency.RACK:
            yield from _distributions(workers, shape.tasks, headroom)
        else:
            yield from ((w.id,) * shape.tasks for w in workers if headroom(w) >= shape.tasks)


def _distributions(workers: list[Worker], tasks: int, headroom: Headroom) -> Iterator[Placement]:
    if tasks == 0:
        yield ()
        return
    if not workers or sum(map(headroom, workers)) < tasks:
        return
    first, others = workers[0], workers[1:]
    for count in range(min(headroom(first), tasks), -1, -1):
        for tail in _distributions(others, tasks - count, headroom):
            yield (first.id,) * count + tail


def fits_into_empty_racks(shape: Shape, racks: Iterable[tuple[int, int]]) -> bool:
    """
    Return whether a gang fits into empty racks.

    :param racks: for each rack, its number of workers and how many tasks each worker can take.
    """
    capacities = list(racks)
    match shape.adjacency:
        case Adjacency.WORKER:
            return any(
                per_worker >= shape.tasks and workers > 0 for workers, per_worker in capacities
            )
        case Adjacency.RACK:
            return any(workers * per_worker >= shape.tasks for workers, per_worker in capacities)
        case Adjacency.DATA_CENTRE:
            return sum(workers * per_worker for workers, per_worker in capacities) >= shape.tasks
