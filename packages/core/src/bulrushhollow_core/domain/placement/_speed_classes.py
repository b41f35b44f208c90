"""
bulrushhollow_core.domain.placement._speed_classes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which workers of an uneven fleet suit a demand. A gang ends with its slowest member, so it is placed
on workers of one speed class if possible.
"""

from collections.abc import Sequence
from enum import Enum
from statistics import median
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Host, slots_in
from bulrushhollow_core.domain.placement._demands import Demand
from bulrushhollow_core.domain.placement._groups import HostGroup
from bulrushhollow_core.ids import Seconds


class SpeedClass(Enum):
    """Workers that a gang may use, by their speed."""

    ANY = "any"
    FAST = "fast"
    """All that are not known to be slow."""
    MEASURED_FAST = "measured fast"
    SLOW = "slow"


class SpeedProfile(NamedTuple):
    """
    The speeds of the hosts of one plan.

    :param is_uneven: whether some hosts are slow.
    :param slow_factor: median slowness of the slow hosts.
    :param has_unmeasured: whether the speeds of some hosts are unknown.
    """

    is_uneven: bool
    slow_factor: float
    has_unmeasured: bool

    @classmethod
    def of_hosts(cls, hosts: Sequence[Host]) -> "SpeedProfile":
        """Return the profile of hosts."""
        slow = [host.slowness for host in hosts if host.slowness > 1.0]
        if not slow:
            return cls(False, 1.0, False)
        return cls(True, median(slow), not all(host.is_measured for host in hosts))

    def is_on_time_on_slow(self, demand: Demand) -> bool:
        """Return whether a demand that starts now on slow hosts is expected to be on time."""
        return self.slack_on_slow(demand) >= 0.0

    def slack_on_slow(self, demand: Demand) -> Seconds:
        """Return for how many seconds a demand can wait and be on time with a slow member."""
        budget = demand.timing.budget
        return Seconds(budget.left - demand.timing.duration * self.slow_factor - budget.following)

    def is_late_anyway(self, demand: Demand) -> bool:
        """Return whether a demand is expected to be late even if it starts now on fast hosts."""
        budget = demand.timing.budget
        return demand.timing.duration + budget.following > budget.left

    def has_waited_enough(self, demand: Demand) -> bool:
        """
        Return whether a demand has waited for fast hosts for as long as it would gain there. Runs
        that are overdue are expected to end at once in every plan, so each wait looks short.
        """
        return demand.timing.waited_for_fast >= demand.timing.duration * (self.slow_factor - 1.0)

    def is_worth_waiting(self, demand: Demand, wait: Seconds) -> bool:
        """
        Return whether a start on fast hosts after a wait is better than one on slow hosts now: it
        ends earlier, or the demand is urgent and on time only there. Other work does not wait
        longer, since expected ends are uncertain and its deadline is usually far.
        """
        budget = demand.timing.budget
        is_on_time = wait + demand.timing.duration + budget.following <= budget.left
        if demand.standing.urgency == 0 and is_on_time:
            return True
        return wait + demand.timing.duration < demand.timing.duration * self.slow_factor


def groups_of_class(
    demand: Demand, groups: Sequence[HostGroup], speed_class: SpeedClass
) -> list[HostGroup]:
    """Return the hosts of a class in each group; only groups whose capacity suffices for a gang."""
    is_slow = speed_class is SpeedClass.SLOW
    is_measured = speed_class is SpeedClass.MEASURED_FAST
    matching = (
        [
            host
            for host in group
            if host.is_slow is is_slow and (host.is_measured or not is_measured)
        ]
        for group in groups
    )
    return [group for group in matching if _has_capacity(demand, group)]


def _has_capacity(demand: Demand, group: HostGroup) -> bool:
    needs = demand.step.needs
    capacity = sum(slots_in(host.capacity, needs, demand.max_tasks_on(host)) for host in group)
    return capacity >= len(demand.task_indexes)


def startable_accelerators(hosts: Sequence[Host], headroom: float, is_uneven: bool) -> float:
    """
    Return the accelerators that background work may use. The headroom is for urgent work, so on an
    uneven fleet it is left free on fast hosts, and slow ones may be filled.
    """
    if not is_uneven:
        return sum(max(0, host.free.accelerators) for host in hosts) - headroom
    free_on_slow = sum(max(0, host.free.accelerators) for host in hosts if host.is_slow)
    free_on_fast = sum(max(0, host.free.accelerators) for host in hosts if not host.is_slow)
    return free_on_slow + max(0.0, free_on_fast - headroom)
