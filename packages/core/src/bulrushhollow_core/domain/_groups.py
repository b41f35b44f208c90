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
    """
    Return the group that holds a whole gang and has least room, if possible one in which the gang
    needs no slow worker, which would hold up all its members, and no doubted one.
    """
    wanted = len(demand.indexes)

    def holds(hosts: Iterable[Host]) -> bool:
        return slots_of(demand, hosts, with_stopping) >= wanted

    fitting = [group for group in groups if holds(group)]
    if not fitting:
        return None
    trusted = [group for group in fitting if holds(h for h in group if not h.is_suspect)]
    sound = [
        group for group in trusted if holds(h for h in group if not (h.is_suspect or h.is_slow))
    ]
    return min(
        sound or trusted or fitting,
        key=lambda group: sum(room_of(host, with_stopping).accelerators for host in group),
    )
