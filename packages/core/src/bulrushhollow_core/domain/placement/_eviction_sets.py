"""
bulrushhollow_core.domain.placement._eviction_sets
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the set of runs whose eviction costs their callers least in total. The search adds the
victims with the lowest cost for each slot that they free on all workers of a group, and then drops
those that the other ones make unnecessary.
"""

import heapq
import itertools
from collections.abc import Iterable, Sequence

from bulrushhollow_core.domain.fleet import Host, slots_in
from bulrushhollow_core.domain.model import Resources, WorkerLife
from bulrushhollow_core.domain.placement._demands import Demand, Victim
from bulrushhollow_core.domain.placement._evictions import VictimIndex
from bulrushhollow_core.ids import JobId


def set_cost(victims: Iterable[Victim]) -> float:
    """Return the value that callers lose by the eviction of some victims together."""
    value_by_job: dict[JobId, float] = {}
    wasted_value = 0.0
    for victim in victims:
        value_by_job[victim.job] = max(victim.loss.job_value, value_by_job.get(victim.job, 0.0))
        wasted_value += victim.loss.wasted_value
    return sum(value_by_job.values()) + wasted_value


class EvictionSetSearch:
    """
    Searches one group of hosts for the cheapest set of victims.

    :param index: victims that may be evicted for the demand.
    :param max_cost: value that the victims' callers may lose at most.
    :param max_lost_work: core-seconds of work that may be discarded at most.
    """

    def __init__(
        self,
        demand: Demand,
        group: Sequence[Host],
        index: VictimIndex,
        max_cost: float,
        max_lost_work: float,
    ) -> None:
        """Start from the resources that are free once current stops have ended."""
        self._priority = demand.standing.priority
        self._needs = demand.step.needs
        self._wanted = len(demand.task_indexes)
        self._index = index
        self._max_cost = max_cost
        self._max_lost_work = max_lost_work
        self._free_by_life = {host.life: host.free_after_stops for host in group}
        self._limits_by_life = {host.life: demand.max_tasks_on(host) for host in group}
        self._slots_by_life = {
            life: self._slots_on(life, free) for life, free in self._free_by_life.items()
        }
        self._missing = self._wanted - sum(self._slots_by_life.values())
        self._chosen: list[Victim] = []

    def find(self) -> list[Victim] | None:
        """Return the victims, or None if no permitted eviction frees enough slots."""
        if not self._is_feasible():
            return None
        tie_breakers = itertools.count()
        heap: list[tuple[float, int, int, WorkerLife, list[Victim]]] = []

        def push(life: WorkerLife) -> None:
            candidate = self._candidate_on(life)
            if candidate:
                rating = self._cost_per_slot(candidate)
                entry = (rating, next(tie_breakers), len(self._chosen), life, candidate)
                heapq.heappush(heap, entry)

        for life in self._free_by_life:
            push(life)
        while self._missing > 0:
            if not heap:
                return None
            _, _, version, life, candidate = heapq.heappop(heap)
            if version != len(self._chosen):
                # Another choice may have changed what it frees or costs.
                push(life)
                continue
            for victim in candidate:
                self._choose(victim)
            if set_cost(self._chosen) > 2 * self._max_cost:
                # Dropping unnecessary victims rarely halves the cost.
                return None
            push(life)
        self._drop_unnecessary()
        return self._chosen if self._is_permitted() else None

    def _is_permitted(self) -> bool:
        return (
            bool(self._chosen)
            and set_cost(self._chosen) <= self._max_cost
            and sum(victim.lost_work for victim in self._chosen) <= self._max_lost_work
        )

    def _is_feasible(self) -> bool:
        """Return whether evicting every victim would free enough slots."""
        max_slots = sum(
            self._slots_on(life, free.plus(self._index.reclaimable_on(life)))
            for life, free in self._free_by_life.items()
        )
        return max_slots >= self._wanted

    def _slots_on(self, life: WorkerLife, free: Resources) -> int:
        return slots_in(free, self._needs, self._limits_by_life[life])

    def _candidate_on(self, life: WorkerLife) -> list[Victim] | None:
        """Return victims on a worker that together free at least one more slot there."""
        current = self._slots_by_life[life]
        if current >= self._limits_by_life[life]:
            return None
        free = self._free_by_life[life]
        picked: list[Victim] = []
        for victim in self._index.victims_on(life):
            # A victim that is served first would take its room back.
            if victim.is_chosen or victim in self._chosen or victim.priority <= self._priority:
                continue
            picked.append(victim)
            free = free.plus(victim.freed_by_life[life])
            if self._slots_on(life, free) > current:
                return self._without_unnecessary(life, picked, free, current)
        return None

    def _without_unnecessary(
        self, life: WorkerLife, picked: list[Victim], free: Resources, current: int
    ) -> list[Victim]:
        """Return the picked victims that the new slot needs; the costliest are dropped first."""
        needed = list(picked)
        for victim in reversed(picked):
            remaining = free.minus(victim.freed_by_life[life])
            if self._slots_on(life, remaining) > current:
                needed.remove(victim)
                free = remaining
        return needed

    def _cost_per_slot(self, victims: Sequence[Victim]) -> float:
        """Return what victims add to the cost, for each missing slot that they free anywhere."""
        freed_by_life: dict[WorkerLife, Resources] = {}
        for victim in victims:
            for life, freed in victim.freed_by_life.items():
                if life in self._free_by_life:
                    free = freed_by_life.get(life, self._free_by_life[life])
                    freed_by_life[life] = free.plus(freed)
        slots = sum(
            self._slots_on(life, free) - self._slots_by_life[life]
            for life, free in freed_by_life.items()
        )
        added_cost = set_cost([*self._chosen, *victims]) - set_cost(self._chosen)
        return added_cost / max(1, min(slots, self._missing))

    def _choose(self, victim: Victim) -> None:
        self._chosen.append(victim)
        self._update(victim, is_evicted=True)

    def _update(self, victim: Victim, is_evicted: bool) -> None:
        """Count the resources of a victim as free, or as taken again."""
        for life, freed in victim.freed_by_life.items():
            if life not in self._free_by_life:
                continue
            free = self._free_by_life[life]
            self._free_by_life[life] = free.plus(freed) if is_evicted else free.minus(freed)
            slots = self._slots_on(life, self._free_by_life[life])
            self._missing -= slots - self._slots_by_life[life]
            self._slots_by_life[life] = slots

    def _drop_unnecessary(self) -> None:
        """Drop the victims without which there are still enough slots, the costliest first."""
        for victim in sorted(self._chosen, key=lambda each: -set_cost([each])):
            self._update(victim, is_evicted=False)
            if self._missing > 0:
                self._update(victim, is_evicted=True)
            else:
                self._chosen.remove(victim)
