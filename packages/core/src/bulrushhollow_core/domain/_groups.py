"""
bulrushhollow_core.domain._groups
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which workers a gang may use together: one rack where it wants one, or all.
"""

from collections.abc import Iterable, Sequence

from bulrushhollow_core.domain._demands import Demand
from bulrushhollow_core.domain._hosts import Host, by_rack, slots_in
from bulrushhollow_core.domain._jobs import Resources

Group = Sequence[Host]
"""Hosts of which a gang may use any."""


def room_of(host: Host, with_stopping: bool) -> Resources:
    """Return the room on a host, that of runs being stopped included if asked for."""
    return host.soon if with_stopping else host.free


def slots_of(demand: Demand, hosts: Iterable[Host], with_stopping: bool) -> int:
    """Return how many tasks of a demand fit on some hosts."""
    needs = demand.step.needs
    rooms = ((host, room_of(host, with_stopping)) for host in hosts)
    return sum(
        slots_in(room, needs, demand.limit_on(host)) for host, room in rooms if needs.fits(room)
    )


def groups_for(demand: Demand, hosts: Group) -> list[Group]:
    """Return the groups of which a gang may use one."""
    if not demand.step.same_rack:
        return [hosts]
    wanted = len(demand.indexes)
    large_enough: list[Group] = [
        group
        for group in by_rack(hosts).values()
        if sum(slots_in(host.capacity, demand.step.needs, demand.limit_on(host)) for host in group)
        >= wanted
    ]
    return large_enough or [hosts]


def best_group(demand: Demand, groups: Sequence[Group], with_stopping: bool) -> Group | None:
    """Return the group that holds a whole gang, on trusted workers if possible, with least room."""
    wanted = len(demand.indexes)
    fitting = [group for group in groups if slots_of(demand, group, with_stopping) >= wanted]
    if not fitting:
        return None
    trusted = [
        group
        for group in fitting
        if slots_of(demand, [host for host in group if not host.is_doubted], with_stopping)
        >= wanted
    ]
    return min(
        trusted or fitting,
        key=lambda group: sum(room_of(host, with_stopping).accelerators for host in group),
    )
