"""
bulrushhollow_core.jobs._eviction
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the place where preempting borrowed work costs least.
"""

import itertools
from collections.abc import Callable, Iterable

import msgspec

from bulrushhollow_core.ids import JobId, Seconds
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._queue import URGENCY_RANKS
from bulrushhollow_core.jobs._runs import Run
from bulrushhollow_core.models import Adjacency, Shape

CHECKPOINT_COST = Seconds(30.0)
"""Work that a checkpoint and a later resumption are taken to cost per accelerator."""

UNSAFE_COST = 1e6
"""Added for work that may not be repeated: a checkpoint that fails would end it."""

URGENCY_COST = 1e4
"""Added for each class of urgency above the lowest."""

MayEvict = Callable[[Run], bool]


class Eviction(msgspec.Struct, frozen=True):
    """
    A place for a gang and the jobs to move aside for it.

    :param cost: what is wasted, with surcharges that steer the choice of victims.
    :param waste: accelerator-seconds that are wasted.
    """

    place: Placement
    victims: frozenset[JobId]
    cost: float
    waste: float


class _Offer(msgspec.Struct, frozen=True):
    """What one worker can take once some jobs have left it."""

    worker: Worker
    tasks: int
    victims: tuple[JobId, ...]
    cost: float


def waste_of(run: Run, now: Seconds) -> float:
    """Return the accelerator-seconds that preempting a run wastes."""
    since = now if run.running_since is None else run.running_since
    keeps_work = run.record.profile.checkpointable and not run.checkpoint_failed
    lost = CHECKPOINT_COST if keeps_work else now - since + CHECKPOINT_COST
    return lost * run.accelerators


def cost_of(run: Run, now: Seconds) -> float:
    """Return what preempting a run costs: its waste and the surcharges."""
    profile = run.record.profile
    surcharge = 0.0 if profile.idempotent else UNSAFE_COST
    rank = max(URGENCY_RANKS.values()) - URGENCY_RANKS[profile.urgency]
    return waste_of(run, now) + surcharge + rank * URGENCY_COST


class EvictionFinder:
    """
    Finds evictions among the live runs.

    :param runs_by_job: all live runs.
    """

    def __init__(self, fleet: Fleet, runs_by_job: dict[JobId, Run]) -> None:
        self._fleet = fleet
        self._runs_by_job = runs_by_job

    def eviction_at(
        self, place: Placement, shape: Shape, may_evict: MayEvict, now: Seconds
    ) -> Eviction | None:
        """
        Return the jobs to move aside to make room at a given place.

        :return: None if moving all that may be moved does not make room.
        """
        counts = {worker: place.count(worker) for worker in dict.fromkeys(place)}
        offers = [
            self._offer(self._fleet.workers_by_id[worker], shape, tasks, may_evict, now)
            for worker, tasks in counts.items()
        ]
        if any(offer.tasks < counts[offer.worker.id] for offer in offers):
            return None
        return self._combine(offers, place, now)

    def cheapest(self, shape: Shape, may_evict: MayEvict, now: Seconds) -> Eviction | None:
        """Return the place for a gang that costs least, or None if there is none."""
        found = [
            eviction
            for group in self._groups(shape)
            if (eviction := self._within(group, shape, may_evict, now)) is not None
        ]
        return min(found, key=lambda eviction: (eviction.cost, eviction.place), default=None)

    def _groups(self, shape: Shape) -> Iterable[list[Worker]]:
        racks = self._fleet.racks_by_id.values()
        if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
            return ([worker] for rack in racks for worker in rack.workers_by_id.values())
        by_rack = [list(rack.workers_by_id.values()) for rack in racks]
        if shape.adjacency is Adjacency.RACK:
            return by_rack
        return [list(itertools.chain.from_iterable(by_rack))]

    def _within(
        self, workers: list[Worker], shape: Shape, may_evict: MayEvict, now: Seconds
    ) -> Eviction | None:
        need = shape.per_task
        most = sum(worker.capacity.accelerators for worker in workers)
        if most < need.accelerators * shape.tasks:
            return None
        offers = (self._offer(w, shape, shape.tasks, may_evict, now) for w in workers)
        useful = sorted(
            (offer for offer in offers if offer.tasks),
            key=lambda offer: (offer.cost / offer.tasks, offer.worker.id),
        )
        if sum(offer.tasks for offer in useful) < shape.tasks:
            return None
        chosen = list(_enough(useful, shape.tasks))
        place = itertools.chain.from_iterable((o.worker.id,) * o.tasks for o in chosen)
        return self._combine(chosen, tuple(itertools.islice(place, shape.tasks)), now)

    def _offer(
        self, worker: Worker, shape: Shape, tasks: int, may_evict: MayEvict, now: Seconds
    ) -> _Offer:
        """Move the cheapest jobs off one worker until it can take the tasks or none is left."""
        need = shape.per_task
        room = worker.free.copy()
        runs = [self._runs_by_job[job] for job in worker.tasks_by_job]
        for run in runs:
            if run.is_leaving:
                room.add(run.need, worker.tasks_by_job[run.job])
        movable = sorted((cost_of(run, now), run.job) for run in runs if may_evict(run))
        victims: list[JobId] = []
        cost = 0.0
        for price, job in movable:
            if room.fitting_tasks(need) >= tasks:
                break
            room.add(self._runs_by_job[job].need, worker.tasks_by_job[job])
            victims.append(job)
            cost += price
        return _Offer(worker, min(room.fitting_tasks(need), tasks), tuple(victims), cost)

    def _combine(self, offers: Iterable[_Offer], place: Placement, now: Seconds) -> Eviction:
        victims = frozenset(job for offer in offers for job in offer.victims)
        runs = [self._runs_by_job[job] for job in victims]
        cost = sum(cost_of(run, now) for run in runs)
        return Eviction(place, victims, cost, sum(waste_of(run, now) for run in runs))


def _enough(offers: Iterable[_Offer], tasks: int) -> Iterable[_Offer]:
    """Return the first offers that together take all tasks."""
    taken = 0
    for offer in offers:
        if taken >= tasks:
            return
        taken += offer.tasks
        yield offer
