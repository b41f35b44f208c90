"""
bulrushhollow_core.domain.placement._groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Groups of hosts that a gang may be placed on: single racks if the gang asks for one, or all hosts.
"""

from collections.abc import Iterable, Sequence

from bulrushhollow_core.domain.fleet import Host, group_by_rack, slots_in
from bulrushhollow_core.domain.model import Resources
from bulrushhollow_core.domain.placement._demands import Demand

HostGroup = Sequence[Host]
"""Hosts among which a gang may be spread."""


def available_on(host: Host, include_stopping: bool) -> Resources:
    """Return the free resources of a host, optionally with those of runs that are being stopped."""
    return host.free_after_stops if include_stopping else host.free


def slots_for(demand: Demand, hosts: Iterable[Host], include_stopping: bool) -> int:
    """Return how many tasks of a demand fit on the given hosts."""
    needs = demand.step.needs
    available = ((host, available_on(host, include_stopping)) for host in hosts)
    return sum(
        slots_in(free, needs, demand.max_tasks_on(host))
        for host, free in available
        if needs.fits(free)
    )


def can_hold(demand: Demand, hosts: Iterable[Host], include_stopping: bool) -> bool:
    """Return whether all tasks of a demand fit on the given hosts; looks at as few as it needs."""
    needs = demand.step.needs
    missing = len(demand.task_indexes)
    for host in hosts:
        free = available_on(host, include_stopping)
        if needs.fits(free):
            missing -= slots_in(free, needs, demand.max_tasks_on(host))
            if missing <= 0:
                return True
    return missing <= 0


def can_ever_hold(demand: Demand, hosts: Iterable[Host]) -> bool:
    """Return whether all tasks of a demand fit on the given hosts when nothing else runs there."""
    missing = len(demand.task_indexes)
    for host in hosts:
        missing -= slots_in(host.capacity, demand.step.needs, demand.max_tasks_on(host))
        if missing <= 0:
            return True
    return missing <= 0


def candidate_groups(demand: Demand, hosts: HostGroup) -> list[HostGroup]:
    """Return groups of hosts; a gang is placed within one of them."""
    if not demand.step.same_rack:
        return [hosts]
    large_enough: list[HostGroup] = [
        group for group in group_by_rack(hosts).values() if can_ever_hold(demand, group)
    ]
    return large_enough or [hosts]


def best_group(
    demand: Demand, groups: Sequence[HostGroup], include_stopping: bool
) -> HostGroup | None:
    """
    Return the fullest group on which a whole gang fits (best fit), or None. A gang that is isolated
    gets the emptiest one.

    Groups in which the gang needs no slow and no suspect worker are preferred: one slow member
    delays the whole gang.
    """

    def fits_gang(hosts: Iterable[Host]) -> bool:
        return can_hold(demand, hosts, include_stopping)

    fitting = [group for group in groups if fits_gang(group)]
    if not fitting:
        return None
    trusted = [group for group in fitting if fits_gang(h for h in group if not h.is_suspect)]
    sound = [
        group for group in trusted if fits_gang(h for h in group if not (h.is_suspect or h.is_slow))
    ]
    select = max if demand.limits.is_isolated else min
    return select(
        sound or trusted or fitting,
        key=lambda group: sum(available_on(host, include_stopping).accelerators for host in group),
    )
