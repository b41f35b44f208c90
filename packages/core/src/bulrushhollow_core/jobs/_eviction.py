"""
bulrushhollow_core.jobs._eviction
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the placement for a gang at which preempting other work costs least.
"""

import itertools
from collections.abc import Callable, Iterable

import msgspec

from bulrushhollow_core.ids import JobId, Seconds
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._queue import URGENCY_RANKS
from bulrushhollow_core.jobs._runs import Run
from bulrushhollow_core.models import Adjacency, Shape

CHECKPOINT_TIME = Seconds(30.0)
"""Seconds of each accelerator that a checkpoint and the later resumption are assumed to waste."""

NON_IDEMPOTENT_SURCHARGE = 1e6
"""Accelerator-seconds added to the cost of a job that is not idempotent: it would end if its
checkpoint failed."""

URGENCY_SURCHARGE = 1e4
"""Accelerator-seconds added to the cost of a job for each class of urgency above the lowest."""

MayEvict = Callable[[Run], bool]
"""Returns whether a run may be preempted for the gang in question."""


class Eviction(msgspec.Struct, frozen=True):
    """
    A placement for a gang and the jobs to preempt for it.

    :param victims: the jobs to preempt.
    :param cost: the waste plus surcharges that steer the choice of victims.
    :param waste: accelerator-seconds of work that are lost.
    """

    placement: Placement
    victims: frozenset[JobId]
    cost: float
    waste: float


class _WorkerEviction(msgspec.Struct, frozen=True):
    """
    The jobs to preempt on one worker.

    :param tasks: number of the gang's tasks that fit on the worker without these jobs.
    """

    worker: Worker
    tasks: int
    victims: tuple[JobId, ...]
    cost: float


def wasted_work(run: Run, now: Seconds) -> float:
    """Return the accelerator-seconds that are lost if a run is preempted."""
    since = now if run.running_since is None else run.running_since
    keeps_work = run.record.profile.checkpointable and not run.checkpoint_failed
    lost_seconds = CHECKPOINT_TIME if keeps_work else now - since + CHECKPOINT_TIME
    return lost_seconds * run.accelerators


def eviction_cost(run: Run, now: Seconds) -> float:
    """Return the cost of preempting a run: the wasted work plus the surcharges."""
    profile = run.record.profile
    surcharge = 0.0 if profile.idempotent else NON_IDEMPOTENT_SURCHARGE
    classes_above_lowest = max(URGENCY_RANKS.values()) - URGENCY_RANKS[profile.urgency]
    return wasted_work(run, now) + surcharge + classes_above_lowest * URGENCY_SURCHARGE


class EvictionFinder:
    """
    Finds evictions among the live runs.

    :param runs_by_job: all live runs.
    """

    def __init__(self, fleet: Fleet, runs_by_job: dict[JobId, Run]) -> None:
        self._fleet = fleet
        self._runs_by_job = runs_by_job

    def eviction_at(
        self, placement: Placement, shape: Shape, may_evict: MayEvict, now: Seconds
    ) -> Eviction | None:
        """
        Return the jobs to preempt so that a gang fits at a given placement.

        :return: None if the gang does not fit even if all jobs that may be preempted leave.
        """
        tasks_by_worker = {worker: placement.count(worker) for worker in dict.fromkeys(placement)}
        evictions = [
            self._choose_victims(self._fleet.workers_by_id[worker], shape, tasks, may_evict, now)
            for worker, tasks in tasks_by_worker.items()
        ]
        if any(eviction.tasks < tasks_by_worker[eviction.worker.id] for eviction in evictions):
            return None
        return self._combine(evictions, placement, now)

    def cheapest(self, shape: Shape, may_evict: MayEvict, now: Seconds) -> Eviction | None:
        """Return the eviction of least cost that lets a gang fit, or None if there is none."""
        evictions = [
            eviction
            for group in self._candidate_groups(shape)
            if (eviction := self._cheapest_on(group, shape, may_evict, now)) is not None
        ]
        return min(
            evictions, key=lambda eviction: (eviction.cost, eviction.placement), default=None
        )

    def _candidate_groups(self, shape: Shape) -> Iterable[list[Worker]]:
        """Return the smallest groups of workers that satisfy the shape's adjacency."""
        racks = self._fleet.racks_by_id.values()
        if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
            return ([worker] for rack in racks for worker in rack.workers_by_id.values())
        workers_by_rack = [list(rack.workers_by_id.values()) for rack in racks]
        if shape.adjacency is Adjacency.RACK:
            return workers_by_rack
        return [list(itertools.chain.from_iterable(workers_by_rack))]

    def _cheapest_on(
        self, workers: list[Worker], shape: Shape, may_evict: MayEvict, now: Seconds
    ) -> Eviction | None:
        need = shape.per_task
        capacity = sum(worker.capacity.accelerators for worker in workers)
        if capacity < need.accelerators * shape.tasks:
            return None
        evictions = (self._choose_victims(w, shape, shape.tasks, may_evict, now) for w in workers)
        cheapest_first = sorted(
            (eviction for eviction in evictions if eviction.tasks),
            key=lambda eviction: (eviction.cost / eviction.tasks, eviction.worker.id),
        )
        if sum(eviction.tasks for eviction in cheapest_first) < shape.tasks:
            return None
        chosen = list(_take_enough(cheapest_first, shape.tasks))
        placement = itertools.chain.from_iterable((e.worker.id,) * e.tasks for e in chosen)
        return self._combine(chosen, tuple(itertools.islice(placement, shape.tasks)), now)

    def _choose_victims(
        self, worker: Worker, shape: Shape, tasks: int, may_evict: MayEvict, now: Seconds
    ) -> _WorkerEviction:
        """
        Choose the cheapest jobs to preempt on one worker until it can take the given number of
        tasks, or until no further job may be preempted. Resources of runs that are already
        terminating count as free.
        """
        need = shape.per_task
        free = worker.free.copy()
        runs = [self._runs_by_job[job] for job in worker.tasks_by_job]
        for run in runs:
            if run.is_terminating:
                free.add(run.per_task, worker.tasks_by_job[run.job])
        candidates = sorted((eviction_cost(run, now), run.job) for run in runs if may_evict(run))
        victims: list[JobId] = []
        cost = 0.0
        for job_cost, job in candidates:
            if free.fitting_tasks(need) >= tasks:
                break
            free.add(self._runs_by_job[job].per_task, worker.tasks_by_job[job])
            victims.append(job)
            cost += job_cost
        return _WorkerEviction(worker, min(free.fitting_tasks(need), tasks), tuple(victims), cost)

    def _combine(
        self, evictions: Iterable[_WorkerEviction], placement: Placement, now: Seconds
    ) -> Eviction:
        """Merge the evictions of single workers; a job on several workers is counted once."""
        victims = frozenset(job for eviction in evictions for job in eviction.victims)
        runs = [self._runs_by_job[job] for job in victims]
        cost = sum(eviction_cost(run, now) for run in runs)
        return Eviction(placement, victims, cost, sum(wasted_work(run, now) for run in runs))


def _take_enough(evictions: Iterable[_WorkerEviction], tasks: int) -> Iterable[_WorkerEviction]:
    """Yield evictions in the given order until all tasks fit."""
    fitting = 0
    for eviction in evictions:
        if fitting >= tasks:
            return
        fitting += eviction.tasks
        yield eviction
