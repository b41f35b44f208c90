"""
bulrushhollow_core.jobs._fragmentation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures fragmentation: the share of the free accelerators that the largest shape can't use.
"""

from collections.abc import Iterable

from bulrushhollow_core.jobs._fleet import Fleet, RackTotals
from bulrushhollow_core.models import Adjacency, Shape


def fragmentation(fleet: Fleet, shape: Shape) -> float:
    """
    Return the share of free accelerators that can't serve a shape, 0 if none is free.

    :param shape: the largest shape of all profiles.
    """
    gang_accelerators = shape.tasks * shape.per_task.accelerators
    free = fleet.free_accelerators
    if free <= 0 or gang_accelerators == 0:
        return 0.0
    if shape.adjacency is Adjacency.DATA_CENTRE:
        gangs = (
            sum(_fitting_tasks(rack, shape) for rack in fleet.racks_by_id.values()) // shape.tasks
        )
    elif shape.adjacency is Adjacency.RACK:
        gangs = sum(
            _fitting_tasks(rack, shape) // shape.tasks for rack in fleet.racks_by_id.values()
        )
    else:
        gangs = sum(
            worker.free.fitting_tasks(shape.per_task) // shape.tasks
            for worker in fleet.usable_workers()
        )
    return max(0.0, 1.0 - gangs * gang_accelerators / free)


def largest_shape(shapes: Iterable[Shape]) -> Shape:
    """Return the shape with the most accelerators; among equals, the one of narrowest adjacency."""
    narrowest_first = list(Adjacency)

    def sort_key(shape: Shape) -> tuple[int, int, int]:
        gang_accelerators = shape.tasks * shape.per_task.accelerators
        return (gang_accelerators, -narrowest_first.index(shape.adjacency), shape.tasks)

    return max(shapes, key=sort_key, default=Shape())


def _fitting_tasks(rack: RackTotals, shape: Shape) -> int:
    return sum(w.free.fitting_tasks(shape.per_task) for w in rack.workers_by_id.values())
