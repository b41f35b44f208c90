"""
bulrushhollow_core.domain.placement._victim_search
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which runs may be evicted for a demand, how much work that may discard, and which cost least.
"""

import math
from collections.abc import Callable, Sequence

from bulrushhollow_core.domain.placement._demands import Demand, Victim
from bulrushhollow_core.domain.placement._eviction_sets import EvictionSetSearch, set_cost
from bulrushhollow_core.domain.placement._evictions import EvictionSearch, VictimIndex
from bulrushhollow_core.domain.placement._groups import HostGroup

URGENT_LOSS_FACTOR = 4.0
"""Unsaved work that may be discarded for an urgent job, as a multiple of the job's own work. Urgent
jobs are small, and a late one is worth only a fifth. A guarantee being reclaimed has no limit."""

URGENT_LOSS_ALLOWANCE = 1000.0
"""Core-seconds that may be discarded for an urgent job in addition, since even the smallest job is
worth a third of a usual one to its caller."""

MAX_VICTIM_SEARCHES = 8
"""Demands outside any guarantee for which one plan searches victims. The rest of a long queue waits
for the next plan, which bounds the time of a plan."""


class VictimSearch:
    """
    The searches for victims of one plan.

    :param find_victims: returns the runs that may be evicted; called only if a demand does not fit.
    """

    def __init__(self, find_victims: Callable[[], Sequence[Victim]]) -> None:
        """Start without looking at any run."""
        self._find_victims = find_victims
        self._victims: Sequence[Victim] | None = None
        self._indexes_by_rank: dict[tuple[int, bool], VictimIndex] = {}
        self.count = 0
        """Demands outside any guarantee for which victims were searched."""

    def try_begin(self, demand: Demand) -> bool:
        """
        Return whether victims may be searched for a demand, and count the search.

        Work that is not urgent waits: evicting for it costs its victims as much as it gains.
        """
        if demand.standing.urgency > 0 or not demand.standing.may_evict:
            return False
        if not demand.standing.is_guaranteed:
            if self.count >= MAX_VICTIM_SEARCHES:
                return False
            self.count += 1
        return True

    def find(
        self, demand: Demand, groups: Sequence[HostGroup], max_lost_work: float
    ) -> list[Victim] | None:
        """
        Return the cheapest victims that make room for a demand on one of the groups.

        :param max_lost_work: core-seconds of work that may be discarded at most.
        :return: None if no permitted eviction makes enough room.
        """
        if demand.standing.delay_cost is None:
            return self._least_lost_work(demand, groups, max_lost_work)
        return self._least_lost_value(demand, groups, demand.standing.delay_cost, max_lost_work)

    def permitted(self, demand: Demand) -> list[Victim]:
        """Return the runs that may be evicted for a demand."""
        if self._victims is None:
            self._victims = self._find_victims()
        return [victim for victim in self._victims if _may_evict(demand, victim)]

    def _least_lost_work(
        self, demand: Demand, groups: Sequence[HostGroup], max_lost_work: float
    ) -> list[Victim] | None:
        """Return the victims that lose the least work, or None if none are permitted."""
        index = self._index_for(demand)
        best: list[Victim] | None = None
        for group in groups:
            chosen = EvictionSearch(demand, group, index, max_lost_work).find()
            if chosen is not None:
                best = chosen
                max_lost_work = sum(victim.lost_work for victim in chosen)
        return best

    def _least_lost_value(
        self,
        demand: Demand,
        groups: Sequence[HostGroup],
        delay_cost: float,
        max_lost_work: float,
    ) -> list[Victim] | None:
        """Return the victims whose callers lose least, or None if they lose more than it gains."""
        max_cost = math.inf if demand.standing.is_reclaiming else delay_cost
        index = self._index_for(demand)
        best: list[Victim] | None = None
        for group in groups:
            search = EvictionSetSearch(demand, group, index, max_cost, max_lost_work)
            chosen = search.find()
            if chosen is not None:
                best = chosen
                max_cost = set_cost(chosen)
        return best

    def _index_for(self, demand: Demand) -> VictimIndex:
        """Return the victims for demands that may evict the same runs as this one."""
        rank = (demand.standing.urgency, demand.standing.is_reclaiming)
        if rank not in self._indexes_by_rank:
            self._indexes_by_rank[rank] = VictimIndex(self.permitted(demand))
        return self._indexes_by_rank[rank]


def max_lost_work_for(demand: Demand) -> float:
    """Return the core-seconds of unsaved work that may be discarded for a demand."""
    if demand.standing.is_reclaiming:
        return math.inf
    return URGENT_LOSS_FACTOR * demand.core_seconds + URGENT_LOSS_ALLOWANCE


def _may_evict(demand: Demand, victim: Victim) -> bool:
    """
    Return whether a victim is less urgent than a demand, or urgent work beyond its workspace's
    guarantee while the guarantee of the demand is due. Before that, one urgent job would only be
    late in place of another.
    """
    if victim.urgency > demand.standing.urgency:
        return True
    is_surplus = victim.urgency == demand.standing.urgency == 0 and not victim.is_guaranteed
    return demand.standing.is_reclaiming and is_surplus
