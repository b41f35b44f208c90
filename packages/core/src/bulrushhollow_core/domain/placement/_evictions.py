"""
bulrushhollow_core.domain.placement._evictions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the runs to evict for a demand. The search adds one slot at a time, on the worker where it
discards the least work, so that no run is evicted on a worker that gains no slot.
"""

import heapq
import itertools
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Host, slots_in
from bulrushhollow_core.domain.model import NO_RESOURCES, Resources, WorkerLife
from bulrushhollow_core.domain.placement._demands import Demand, Victim


class EvictionCost(NamedTuple):
    """
    What an eviction costs; compared in the order of the fields.

    :param stops_urgent: whether it stops urgent work, which will probably be late then.
    :param lost_value: value that callers lose; 0 while delays have no price.
    :param lost_work: core-seconds of work that it discards.
    :param stops_entitled: whether it stops work within its workspace's share.
    """

    stops_urgent: bool
    lost_value: float
    lost_work: float
    stops_entitled: bool


def cost_of(victims: Sequence[Victim]) -> EvictionCost:
    """Return what the eviction of some victims costs."""
    return EvictionCost(
        any(victim.urgency == 0 for victim in victims),
        sum(victim.loss.job_value + victim.loss.wasted_value for victim in victims),
        sum(victim.lost_work for victim in victims),
        any(not victim.priority.is_over_share for victim in victims),
    )


class VictimIndex:
    """
    The victims that demands of equal rank may evict, by worker.

    :param victims: runs that may be evicted; those of each worker are kept cheapest first.
    """

    def __init__(self, victims: Iterable[Victim]) -> None:
        """Index the victims by worker."""
        self._victims_by_life: dict[WorkerLife, list[Victim]] = {}
        self._reclaimable_by_life: dict[WorkerLife, Resources] = {}
        for victim in sorted(victims, key=lambda victim: cost_of([victim])):
            for life, freed in victim.freed_by_life.items():
                self._victims_by_life.setdefault(life, []).append(victim)
                self._reclaimable_by_life[life] = self._reclaimable_by_life.get(
                    life, NO_RESOURCES
                ).plus(freed)

    def victims_on(self, life: WorkerLife) -> Sequence[Victim]:
        """Return the victims on a worker, the cheapest first."""
        return self._victims_by_life.get(life, ())

    def reclaimable_on(self, life: WorkerLife) -> Resources:
        """Return what evicting every victim would free on a worker."""
        return self._reclaimable_by_life.get(life, NO_RESOURCES)


class EvictionCandidate(NamedTuple):
    """The cheapest victims that free one more slot on a worker, and what this costs."""

    cost: EvictionCost
    victims: list[Victim]


class EvictionSearch:
    """
    Searches one group of hosts for victims.

    :param index: victims that may be evicted for the demand.
    :param max_lost_work: core-seconds of work that may be discarded at most.
    """

    def __init__(
        self, demand: Demand, group: Sequence[Host], index: VictimIndex, max_lost_work: float
    ) -> None:
        """Start from the resources that are free once current stops have ended."""
        self._priority = demand.standing.priority
        self._needs = demand.step.needs
        self._wanted_slots = len(demand.task_indexes)
        self._index = index
        self._max_lost_work = max_lost_work
        self._free_by_life = {host.life: host.free_after_stops for host in group}
        self._limits_by_life = {host.life: demand.max_tasks_on(host) for host in group}
        self._slots_by_life = {
            life: self._slots_on(life, free) for life, free in self._free_by_life.items()
        }
        self._missing_slots = self._wanted_slots - sum(self._slots_by_life.values())
        self._chosen: list[Victim] = []
        self._versions_by_life = dict.fromkeys(self._free_by_life, 0)
        self._tie_breakers = itertools.count()
        self._candidates: list[tuple[EvictionCost, int, WorkerLife, int, EvictionCandidate]] = []

    def find(self) -> list[Victim] | None:
        """Return the victims, or None if no permitted eviction frees enough slots."""
        if not self._is_feasible():
            return None
        for life in self._free_by_life:
            self._push_candidate(life)
        lost_work = 0.0
        while self._missing_slots > 0:
            if not self._candidates:
                return None
            _, _, life, version, candidate = heapq.heappop(self._candidates)
            if version != self._versions_by_life[life]:
                continue
            lost_work += candidate.cost.lost_work
            if lost_work > self._max_lost_work:
                return None
            for victim in candidate.victims:
                self._choose(victim)
        return self._chosen or None

    def _is_feasible(self) -> bool:
        """Return whether evicting every victim would free enough slots."""
        max_slots = sum(
            self._slots_on(life, free.plus(self._index.reclaimable_on(life)))
            for life, free in self._free_by_life.items()
        )
        return max_slots >= self._wanted_slots

    def _slots_on(self, life: WorkerLife, free: Resources) -> int:
        return slots_in(free, self._needs, self._limits_by_life[life])

    def _choose(self, victim: Victim) -> None:
        """Add a victim and update the slots and candidates of each worker that it runs on."""
        self._chosen.append(victim)
        for life, freed in victim.freed_by_life.items():
            if life not in self._free_by_life:
                continue
            self._free_by_life[life] = self._free_by_life[life].plus(freed)
            slots = self._slots_on(life, self._free_by_life[life])
            self._missing_slots -= slots - self._slots_by_life[life]
            self._slots_by_life[life] = slots
            self._versions_by_life[life] += 1
            self._push_candidate(life)

    def _push_candidate(self, life: WorkerLife) -> None:
        """Push the next candidate of a worker onto the heap; its version marks it as current."""
        candidate = self._next_candidate(life)
        if candidate is not None:
            version = self._versions_by_life[life]
            heapq.heappush(
                self._candidates,
                (candidate.cost, next(self._tie_breakers), life, version, candidate),
            )

    def _next_candidate(self, life: WorkerLife) -> EvictionCandidate | None:
        """Return the cheapest victims that free one more slot on a worker."""
        current_slots = self._slots_by_life[life]
        if current_slots >= self._limits_by_life[life]:
            return None
        picked: list[Victim] = []
        free = self._free_by_life[life]
        for victim in self._index.victims_on(life):
            if victim.is_chosen or victim in self._chosen:
                continue
            if victim.priority <= self._priority:
                # The victim would be served first and would take its room back.
                continue
            picked.append(victim)
            free = free.plus(victim.freed_by_life[life])
            if self._slots_on(life, free) > current_slots:
                needed = self._drop_unneeded(life, picked, free, current_slots)
                return EvictionCandidate(cost_of(needed), needed)
        return None

    def _drop_unneeded(
        self, life: WorkerLife, picked: list[Victim], free: Resources, current_slots: int
    ) -> list[Victim]:
        """Return the picked victims that the new slot needs; the costliest are dropped first."""
        needed = list(picked)
        for victim in reversed(picked):
            remaining = free.minus(victim.freed_by_life[life])
            if self._slots_on(life, remaining) > current_slots:
                needed.remove(victim)
                free = remaining
        return needed
