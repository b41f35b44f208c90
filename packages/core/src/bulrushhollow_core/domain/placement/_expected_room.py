"""
bulrushhollow_core.domain.placement._expected_room
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

When a demand is expected to fit, by the ends of runs that are expected on its workers.
"""

import itertools
from collections.abc import Callable, Sequence

from bulrushhollow_core.domain.fleet import ExpectedEnd, Host, slots_in
from bulrushhollow_core.domain.model import Resources, WorkerLife
from bulrushhollow_core.domain.placement._demands import Demand
from bulrushhollow_core.domain.placement._groups import HostGroup
from bulrushhollow_core.ids import RackId, Seconds


class ExpectedRoom:
    """
    Room that is expected to become free while one plan is made.

    :param hosts: workers that may get new work.
    :param find_ends: returns when runs are expected to end; called only if it is needed.
    """

    def __init__(
        self, hosts: Sequence[Host], find_ends: Callable[[], Sequence[ExpectedEnd]]
    ) -> None:
        """Start without looking at any run."""
        self._hosts_by_life = {host.life: host for host in hosts}
        self._find_ends = find_ends
        self._ends_by_rack: dict[RackId, list[ExpectedEnd]] | None = None
        self._ends_by_racks: dict[frozenset[RackId], list[ExpectedEnd]] = {}

    def earliest_start(self, demand: Demand, group: HostGroup) -> Seconds | None:
        """Return when a demand is expected to fit on a group, or None if that is unknown."""
        free_by_life = {host.life: host.free_after_stops for host in group}
        limits = {host.life: demand.max_tasks_on(host) for host in group}
        needs = demand.step.needs
        slots_by_life = {
            life: slots_in(free, needs, limits[life]) for life, free in free_by_life.items()
        }
        total = sum(slots_by_life.values())
        for expected_end in self._ends_in(group):
            life = expected_end.life
            if life not in free_by_life:
                continue
            free_by_life[life] = free_by_life[life].plus(expected_end.needs)
            slots = slots_in(free_by_life[life], needs, limits[life])
            total += slots - slots_by_life[life]
            slots_by_life[life] = slots
            if total >= len(demand.task_indexes):
                return expected_end.at
        return None

    def free_at(self, group: HostGroup, at: Seconds) -> dict[WorkerLife, Resources]:
        """Return the resources that are expected to be free on each host at a time."""
        free_by_life = {host.life: host.free_after_stops for host in group}
        for expected_end in self._ends_in(group):
            if expected_end.at <= at and expected_end.life in free_by_life:
                free_by_life[expected_end.life] = free_by_life[expected_end.life].plus(
                    expected_end.needs
                )
        return free_by_life

    def _ends_in(self, group: HostGroup) -> Sequence[ExpectedEnd]:
        """Return the expected ends of runs on the racks of a group, the earliest first."""
        if self._ends_by_rack is None:
            self._ends_by_rack = {}
            for expected_end in sorted(self._find_ends(), key=lambda end: end.at):
                host = self._hosts_by_life.get(expected_end.life)
                if host is not None:
                    self._ends_by_rack.setdefault(host.rack, []).append(expected_end)
        racks = frozenset(host.rack for host in group)
        if racks not in self._ends_by_racks:
            ends_by_rack = [self._ends_by_rack.get(rack, []) for rack in sorted(racks)]
            self._ends_by_racks[racks] = (
                ends_by_rack[0]
                if len(ends_by_rack) == 1
                # Faster than a merge: the sort finds the ordered parts, and keeps their order.
                else sorted(itertools.chain.from_iterable(ends_by_rack), key=_end_time)
            )
        return self._ends_by_racks[racks]


def _end_time(expected_end: ExpectedEnd) -> Seconds:
    return expected_end.at
