"""
bulrushhollow_core.domain.placement._planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides where tasks are placed. Demands are served in order. A demand that does not fit may evict
less urgent runs. A gang that still does not fit reserves resources, so that smaller demands that
are served later do not starve it.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import (
    ExpectedEnd,
    Host,
    best_fit_key,
    group_by_rack,
    isolation_key,
    slots_in,
)
from bulrushhollow_core.domain.model import Resources, ServiceName, StepRef
from bulrushhollow_core.domain.placement._caps import CapLedger
from bulrushhollow_core.domain.placement._demands import Demand, Victim
from bulrushhollow_core.domain.placement._expected_room import ExpectedRoom
from bulrushhollow_core.domain.placement._groups import (
    HostGroup,
    available_on,
    best_group,
    can_ever_hold,
    candidate_groups,
    slots_for,
)
from bulrushhollow_core.domain.placement._plan import Placement, Plan
from bulrushhollow_core.domain.placement._speed_classes import (
    SpeedClass,
    SpeedProfile,
    groups_of_class,
    startable_accelerators,
)
from bulrushhollow_core.domain.placement._victim_search import VictimSearch, max_lost_work_for
from bulrushhollow_core.ids import Seconds

MAX_GANG_RESERVATIONS = 2
"""Waiting gangs that reserve resources in one plan; more reservations would leave workers idle."""

BACKGROUND_URGENCY = 2
"""Urgency from which on work counts as background work, which leaves headroom for urgent jobs."""

HEADROOM_SHARE = 0.1
"""Share of all accelerators that background work leaves free. Work without checkpoints always
leaves this share, since evicting it would discard its work; for other work it is the upper limit.
Bursts of urgent work take about this much; a larger share starves background work."""

MAX_WAIT_ESTIMATES = 6
"""Gangs for which one plan estimates when fast workers are free for them; each estimate goes
through the expected ends of all runs."""

MIN_MIX_SLACK = Seconds(0.5)
"""Seconds of slack on slow workers above which a gang waits for fast ones without an estimate: it
can still start on a mix later and be on time. Two intervals between plans."""

START_OF_CLOCK = Seconds(0.0)
"""Time of a plan that needs no estimates of waits."""


class DemandShape(NamedTuple):
    """
    The properties that decide which resources a demand can use. If a demand does not fit, neither
    does a later one of the same shape with as many or more tasks.
    """

    service: ServiceName
    label: str
    needs: Resources
    is_gang: bool
    same_rack: bool
    only_rack: str
    speed_class: SpeedClass


class _RejectionKey(NamedTuple):
    """
    What tells apart demands that did not fit.

    :param include_stopping: whether the resources of runs that are being stopped counted as free.
    :param kept_free: accelerators that the demand had to leave free.
    """

    shape: DemandShape
    include_stopping: bool
    kept_free: float


class LocalHosts(NamedTuple):
    """
    The hosts that independent tasks may use because of their data.

    :param only_rack: the only rack that they may use; empty for any.
    """

    only_rack: str
    hosts: list[Host]


class Planner:
    """
    Makes one plan.

    Usage::

        >>> plan = Planner(hosts, victims, expected_ends).make_plan(demands)

    :param hosts: workers that may get new work.
    :param victims: returns the runs that may be evicted; called only if a demand does not fit.
    :param expected_ends: returns when runs are expected to end; called only for reservations.
    :param headroom: accelerators that background work leaves free for later urgent jobs.
    :param caps: usage of the workspaces with a cap; by default there are none.
    :param now: time of the plan, on the clock of the expected ends.
    :param max_starts: tasks after which the plan starts nothing more. A gang starts as a whole.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        victims: Callable[[], Sequence[Victim]],
        expected_ends: Callable[[], Sequence[ExpectedEnd]],
        headroom: int = 0,
        caps: CapLedger | None = None,
        now: Seconds = START_OF_CLOCK,
        max_starts: int | None = None,
    ) -> None:
        """Start from the current free resources of the hosts."""
        self._hosts = hosts
        self._now = now
        self._starts_left = math.inf if max_starts is None else max_starts
        self._hosts_by_life = {host.life: host for host in hosts}
        self._caps = caps or CapLedger()
        self._victim_search = VictimSearch(victims)
        self._expected_room = ExpectedRoom(hosts, expected_ends)
        self._eligible_by_kind: dict[tuple[ServiceName, str], list[Host]] = {}
        self._groups_by_shape: dict[tuple[DemandShape, int], list[HostGroup]] = {}
        self._speeds = SpeedProfile.of_hosts(hosts)
        self._wait_estimates = 0
        self._smallest_rejected_by_key: dict[_RejectionKey, int] = {}
        """The smallest number of tasks of each shape that did not fit."""
        self._total_accelerators = sum(host.capacity.accelerators for host in hosts)
        self._headroom = min(headroom, int(HEADROOM_SHARE * self._total_accelerators))
        self._reservation_count = 0
        self._overdue_placements_by_step: dict[StepRef, list[Placement]] = {}
        self.plan = Plan()

    def make_plan(self, demands: Iterable[Demand]) -> Plan:
        """
        Return the plan for demands, which are served in the given order. Those of overdue steps
        come early, and once more at their own position for the tasks that are left.
        """
        for demand in demands:
            if self._starts_left <= 0:
                self.plan.is_cut_short = True
                break
            if demand.standing.is_overdue:
                self._start_overdue(demand)
                continue
            remaining = self._without_overdue_starts(demand)
            if remaining.task_indexes:
                self._serve(remaining)
        return self.plan

    def _serve(self, demand: Demand) -> None:
        if not demand.step.is_gang and len(demand.task_indexes) > self._starts_left:
            self.plan.is_cut_short = True
            demand = demand.for_tasks(demand.task_indexes[: int(self._starts_left)])
        hosts = self._eligible_hosts(demand)
        startable_count = self._caps.startable_count(demand)
        if startable_count < len(demand.task_indexes):
            self._place_under_cap(demand, hosts, startable_count)
        elif demand.step.is_gang:
            self._place_gang(demand, hosts)
        else:
            self._place_independent(demand, hosts)

    def _start(self, demand: Demand, placements: list[Placement]) -> None:
        self.plan.placements.append((demand, placements))
        self._starts_left -= len(placements)

    @property
    def victim_searches(self) -> int:
        """Return the number of demands outside any guarantee for which victims were searched."""
        return self._victim_search.count

    def room_for(self, demand: Demand) -> dict[str, int]:
        """Return how many workers a demand may use and how many of its tasks have room there."""
        hosts = self._eligible_hosts(demand)
        groups = self._groups_for(demand, hosts) if demand.step.is_gang else [hosts]
        return {
            "eligible_workers": len(hosts),
            "slots": max((slots_for(demand, group, False) for group in groups), default=0),
            "slots_after_stops": max(
                (slots_for(demand, group, True) for group in groups), default=0
            ),
        }

    def expected_start(self, demand: Demand) -> Seconds | None:
        """Return when a gang is expected to fit, or None if that is unknown."""
        groups = self._groups_for(demand, self._eligible_hosts(demand))
        starts = (self._expected_room.earliest_start(demand, group) for group in groups)
        return min((at for at in starts if at is not None), default=None)

    def _eligible_hosts(self, demand: Demand) -> list[Host]:
        kind = (demand.service, demand.step.required_label)
        if kind not in self._eligible_by_kind:
            self._eligible_by_kind[kind] = [host for host in self._hosts if host.can_run(*kind)]
        hosts = self._eligible_by_kind[kind]
        if demand.limits.allowed_workers is not None:
            hosts = [host for host in hosts if host.life in demand.limits.allowed_workers]
        if not demand.limits.excluded_workers:
            return hosts
        return [host for host in hosts if host.life not in demand.limits.excluded_workers]

    # Overdue steps.

    def _start_overdue(self, demand: Demand) -> None:
        """
        Start a gang, one independent task, or all long-running ones wherever there is room under
        their cap. Nothing is reserved yet, and the racks that the step asks for come first but are
        no condition.
        """
        hosts = self._eligible_hosts(demand)
        startable_count = self._caps.startable_count(demand)
        placements: list[Placement] = []
        if not demand.step.is_gang:
            count = startable_count if demand.step.is_long_running else min(1, startable_count)
            count = int(min(count, self._starts_left))
            local_hosts = _local_hosts(demand, hosts).hosts
            placements = self._place_tasks(demand, local_hosts, count)
            if not placements and local_hosts is not hosts:
                placements = self._place_tasks(demand, hosts, count)
        elif startable_count == len(demand.task_indexes):
            group = self._overdue_group(demand, hosts)
            if group is not None:
                placements = self._place_in_group(demand, group, include_stopping=False)
        if placements:
            self._start(demand, placements)
            self._overdue_placements_by_step[demand.ref] = placements

    def _overdue_group(self, demand: Demand, hosts: list[Host]) -> HostGroup | None:
        """Return where an overdue gang has room, on one rack and preferred workers if it can."""
        choices = [self._groups_for(demand, hosts)]
        if demand.limits.avoided_workers:
            preferred = [host for host in hosts if host.life not in demand.limits.avoided_workers]
            choices.insert(0, self._groups_for(demand, preferred))
        if demand.step.same_rack:
            choices.append([hosts])
        groups = (best_group(demand, choice, include_stopping=False) for choice in choices)
        return next((group for group in groups if group is not None), None)

    def _without_overdue_starts(self, demand: Demand) -> Demand:
        """Return a demand for the tasks that have not started as those of an overdue step."""
        placements = self._overdue_placements_by_step.get(demand.ref)
        if placements is None:
            return demand
        placed = {placement.task.member for placement in placements}
        remaining = demand.for_tasks([each for each in demand.task_indexes if each not in placed])
        placed_by_worker = Counter(demand.placed_by_worker)
        placed_by_worker.update(placement.life for placement in placements)
        remaining.placed_by_worker = dict(placed_by_worker)
        return remaining

    # Demands that did not fit before.

    def _is_known_not_to_fit(
        self,
        demand: Demand,
        include_stopping: bool,
        only_rack: str = "",
        speed_class: SpeedClass = SpeedClass.ANY,
    ) -> bool:
        """Return whether an equal or smaller demand of this shape did not fit before."""
        key = self._rejection_key(demand, include_stopping, only_rack, speed_class)
        return len(demand.task_indexes) >= self._smallest_rejected_by_key.get(key, math.inf)

    def _record_rejection(
        self,
        demand: Demand,
        include_stopping: bool,
        count: int,
        only_rack: str = "",
        speed_class: SpeedClass = SpeedClass.ANY,
    ) -> None:
        if not demand.has_worker_constraints:
            key = self._rejection_key(demand, include_stopping, only_rack, speed_class)
            self._smallest_rejected_by_key[key] = min(
                count, self._smallest_rejected_by_key.get(key, count)
            )

    def _rejection_key(
        self, demand: Demand, include_stopping: bool, only_rack: str, speed_class: SpeedClass
    ) -> _RejectionKey:
        kept_free = 0.0 if include_stopping else self._headroom_kept_by(demand)
        return _RejectionKey(_shape_of(demand, only_rack, speed_class), include_stopping, kept_free)

    # Gangs.

    def _place_gang(self, demand: Demand, hosts: list[Host]) -> None:
        if demand.limits.avoided_workers:
            preferred = [h for h in hosts if h.life not in demand.limits.avoided_workers]
            if self._start_gang(demand, self._groups_for(demand, preferred)):
                return
        groups = self._groups_for(demand, hosts)
        if self._speeds.is_uneven and self._place_by_speed(demand, hosts, groups):
            return
        if self._start_gang(demand, groups):
            return
        self.plan.blocked.append(demand)
        group = self._find_group_after_stops(demand, groups, max_lost_work_for(demand))
        if group is not None:
            self._place_in_group(demand, group, include_stopping=True)
            return
        self._reserve_for_gang(demand, groups)

    def _find_group_after_stops(
        self, demand: Demand, groups: Sequence[HostGroup], max_lost_work: float
    ) -> HostGroup | None:
        """Return where a gang fits once current stops have ended; evict for it if necessary."""
        group = self._best_group(demand, groups, include_stopping=True)
        if group is None and self._evict_for(demand, groups, max_lost_work):
            group = self._best_group(demand, groups, include_stopping=True)
        return group

    def _start_gang(
        self,
        demand: Demand,
        groups: Sequence[HostGroup],
        speed_class: SpeedClass = SpeedClass.ANY,
    ) -> bool:
        """Place a gang on free resources; return whether it fits."""
        group = self._best_group(demand, groups, False, speed_class)
        if group is None:
            return False
        self._start(demand, self._place_in_group(demand, group, include_stopping=False))
        return True

    def _await_stops(
        self, demand: Demand, groups: Sequence[HostGroup], speed_class: SpeedClass
    ) -> bool:
        """Hold resources that current stops free for a gang; return whether it fits."""
        group = self._best_group(demand, groups, True, speed_class)
        if group is None:
            return False
        self.plan.blocked.append(demand)
        self._place_in_group(demand, group, include_stopping=True)
        return True

    def _place_by_speed(
        self, demand: Demand, hosts: list[Host], groups: Sequence[HostGroup]
    ) -> bool:
        """
        Serve a gang on workers of one speed; return False if it may use any mix of them.

        Fast workers are preferred, then only slow ones if the gang is not urgent, and on time there
        or late anyway. A mix occupies fast workers for as long as the slowest member runs, so a
        gang waits for fast workers for a limited time.
        """
        is_urgent = demand.standing.urgency == 0
        if is_urgent and self._speeds.has_unmeasured:
            measured = self._groups_for(demand, hosts, SpeedClass.MEASURED_FAST)
            if self._start_gang(demand, measured, SpeedClass.MEASURED_FAST):
                return True
        fast = self._groups_for(demand, hosts, SpeedClass.FAST)
        if self._start_gang(demand, fast, SpeedClass.FAST):
            return True
        is_on_time_on_slow = self._speeds.is_on_time_on_slow(demand)
        if not is_urgent and (is_on_time_on_slow or self._speeds.is_late_anyway(demand)):
            slow = self._groups_for(demand, hosts, SpeedClass.SLOW)
            if self._start_gang(demand, slow, SpeedClass.SLOW):
                return True
        if demand.standing.is_reclaiming or not fast:
            return False
        if self._await_stops(demand, fast, SpeedClass.FAST):
            return True
        if is_urgent and is_on_time_on_slow:
            return False
        if self._evict_for(demand, fast, max_lost_work_for(demand)) and self._await_stops(
            demand, fast, SpeedClass.FAST
        ):
            return True
        return self._wait_for_fast(demand, fast)

    def _wait_for_fast(self, demand: Demand, fast: Sequence[HostGroup]) -> bool:
        """
        Reserve fast workers for a gang if waiting for them is better than a mix; return whether it
        waits. A gang without a reservation does not wait: later demands would take the workers.
        """
        has_reservations_left = self._reservation_count < MAX_GANG_RESERVATIONS
        if not has_reservations_left or self._speeds.has_waited_enough(demand):
            return False
        if self._wait_estimates < MAX_WAIT_ESTIMATES:
            self._wait_estimates += 1
            starts = [self._expected_room.earliest_start(demand, group) for group in fast]
            at = min((start for start in starts if start is not None), default=None)
            if at is None or not self._speeds.is_worth_waiting(demand, Seconds(at - self._now)):
                return False
        elif self._speeds.slack_on_slow(demand) <= MIN_MIX_SLACK:
            return False
        if not self._reserve_for_gang(demand, fast):
            return False
        self.plan.blocked.append(demand)
        self.plan.waiting_for_fast.append(demand)
        return True

    def _groups_for(
        self, demand: Demand, hosts: list[Host], speed_class: SpeedClass = SpeedClass.ANY
    ) -> list[HostGroup]:
        key = (_shape_of(demand, "", speed_class), len(demand.task_indexes))
        if not demand.has_worker_constraints and key in self._groups_by_shape:
            return self._groups_by_shape[key]
        groups = (
            candidate_groups(demand, hosts)
            if speed_class is SpeedClass.ANY
            else groups_of_class(demand, self._groups_for(demand, hosts), speed_class)
        )
        if not demand.has_worker_constraints:
            self._groups_by_shape[key] = groups
        return groups

    def _best_group(
        self,
        demand: Demand,
        groups: Sequence[HostGroup],
        include_stopping: bool,
        speed_class: SpeedClass = SpeedClass.ANY,
    ) -> HostGroup | None:
        if self._is_known_not_to_fit(demand, include_stopping, speed_class=speed_class):
            return None
        group = best_group(demand, groups, include_stopping)
        if group is None:
            self._record_rejection(
                demand, include_stopping, len(demand.task_indexes), speed_class=speed_class
            )
        return group

    def _place_in_group(
        self, demand: Demand, hosts: HostGroup, include_stopping: bool
    ) -> list[Placement]:
        """Place all tasks of a demand on a group of hosts: the fullest first, or if it is isolated
        empty ones.
        """

        def packing_key(host: Host) -> tuple[bool, bool, int, int]:
            if demand.limits.is_isolated:
                return isolation_key(host)
            return best_fit_key(host, available_on(host, include_stopping))

        ordered = sorted(hosts, key=packing_key)
        return self._fill_hosts(demand, ordered, demand.task_indexes, include_stopping)

    def _fill_hosts(
        self,
        demand: Demand,
        hosts: Iterable[Host],
        task_indexes: Iterable[int],
        include_stopping: bool,
    ) -> list[Placement]:
        """Place tasks on hosts in the given order, as many on each as fit."""
        needs = demand.step.needs
        waiting = list(task_indexes)
        placements: list[Placement] = []
        for host in hosts:
            slots = slots_in(available_on(host, include_stopping), needs, demand.max_tasks_on(host))
            for _ in range(min(slots, len(waiting))):
                host.allocate(needs)
                placements.append(Placement(demand.ref.task(waiting.pop(0)), host.life))
            if demand.limits.is_isolated and slots and not include_stopping:
                host.close()
            if not waiting:
                break
        self._caps.charge(demand, len(placements))
        return placements

    def _reserve_for_gang(self, demand: Demand, groups: Sequence[HostGroup]) -> bool:
        """
        Reserve resources for a gang on the group where it is expected to fit first.

        :return: whether they are reserved: not without a known start or beyond the limit.
        """
        if self._reservation_count >= MAX_GANG_RESERVATIONS:
            return False
        best: tuple[Seconds, HostGroup] | None = None
        for group in groups:
            at = self._expected_room.earliest_start(demand, group)
            if at is not None and (best is None or at < best[0]):
                best = (at, group)
        if best is None:
            return False
        self._caps.reserve(demand)
        self._reservation_count += 1
        free_by_life = self._expected_room.free_at(best[1], best[0])
        waiting = len(demand.task_indexes)
        for host in sorted(
            best[1], key=lambda candidate: -free_by_life[candidate.life].accelerators
        ):
            slots = min(waiting, slots_in(free_by_life[host.life], demand.step.needs, waiting))
            waiting -= slots
            for _ in range(slots):
                host.allocate(demand.step.needs)
        return True

    # Independent tasks.

    def _place_independent(self, demand: Demand, hosts: list[Host]) -> None:
        only_rack, hosts = _local_hosts(demand, hosts)
        unplaced = list(demand.task_indexes)
        if not self._is_known_not_to_fit(demand, False, only_rack):
            placements = self._place_tasks(demand, hosts, self._startable_count(demand))
            if placements:
                self._start(demand, placements)
            placed = {placement.task.member for placement in placements}
            unplaced = [index for index in demand.task_indexes if index not in placed]
            if not unplaced:
                return
            self._record_rejection(demand, False, 1, only_rack)
        self.plan.blocked.append(demand)
        remaining = demand.for_tasks(unplaced)
        if self._fits_after_stops(remaining, hosts, only_rack) or self._evict_for(
            remaining, [hosts], max_lost_work_for(remaining)
        ):
            self._place_in_group(remaining, hosts, include_stopping=True)

    def _prefers_fast(self, demand: Demand) -> bool:
        """Return whether independent tasks fill fast workers first: urgent and nearly late ones."""
        return demand.standing.urgency == 0 or (
            self._speeds.is_uneven and not self._speeds.is_on_time_on_slow(demand)
        )

    def _fits_after_stops(self, demand: Demand, hosts: HostGroup, only_rack: str) -> bool:
        """Return whether a demand fits once the runs that are being stopped have ended."""
        if self._is_known_not_to_fit(demand, True, only_rack):
            return False
        if slots_for(demand, hosts, include_stopping=True) >= len(demand.task_indexes):
            return True
        self._record_rejection(demand, True, len(demand.task_indexes), only_rack)
        return False

    def _headroom_kept_by(self, demand: Demand) -> float:
        """Return the accelerators that independent tasks of a demand leave free for urgent work."""
        step = demand.step
        is_background = demand.standing.urgency >= BACKGROUND_URGENCY
        if not is_background or step.is_gang or step.needs.accelerators == 0:
            return 0.0
        minimum = 0.0 if step.is_checkpointable else HEADROOM_SHARE * self._total_accelerators
        return max(minimum, self._headroom)

    def _startable_count(self, demand: Demand) -> int:
        """Return how many independent tasks of a demand may start without using the headroom."""
        step = demand.step
        if demand.standing.urgency < BACKGROUND_URGENCY or step.needs.accelerators == 0:
            return len(demand.task_indexes)
        usable = startable_accelerators(
            self._hosts, self._headroom_kept_by(demand), self._speeds.is_uneven
        )
        return max(0, min(len(demand.task_indexes), int(usable // step.needs.accelerators)))

    def _place_tasks(self, demand: Demand, hosts: HostGroup, max_count: int) -> list[Placement]:
        """
        Place up to a number of independent tasks. Nearly full racks and workers are filled first,
        so that whole racks stay free for gangs.
        """
        needs = demand.step.needs
        fitting_hosts = [host for host in hosts if needs.fits(host.free)]
        if not fitting_hosts or max_count <= 0:
            return []
        data_rack = demand.step.data_rack
        prefers_fast = self._prefers_fast(demand)
        free_by_rack = {
            rack: sum(max(0, host.free.accelerators) for host in group)
            for rack, group in group_by_rack(self._hosts).items()
        }
        ordered = sorted(
            fitting_hosts,
            key=lambda host: (
                host.life in demand.limits.avoided_workers,
                isolation_key(host) if demand.limits.is_isolated else (),
                host.is_suspect,
                bool(data_rack) and host.rack != data_rack,
                host.is_slow is prefers_fast,
                free_by_rack[host.rack],
                host.rack,
                host.free.accelerators,
                host.free.cpu,
            ),
        )
        placements = self._fill_hosts(
            demand, ordered, demand.task_indexes[:max_count], include_stopping=False
        )
        placed = Counter(demand.placed_by_worker)
        placed.update(placement.life for placement in placements)
        demand.placed_by_worker = dict(placed)
        return placements

    # Eviction.

    def _evict_for(self, demand: Demand, groups: Sequence[HostGroup], max_lost_work: float) -> bool:
        """Evict the cheapest victims for an urgent demand; return whether enough may be evicted."""
        if not self._victim_search.try_begin(demand):
            return False
        return self._search_and_evict(demand, groups, max_lost_work)

    def _search_and_evict(
        self, demand: Demand, groups: Sequence[HostGroup], max_lost_work: float
    ) -> bool:
        """Evict the cheapest victims for a demand whose search of victims is counted already."""
        best = self._victim_search.find(demand, groups, max_lost_work)
        if best is None:
            return False
        self._count_as_stopping(best)
        self.plan.evictions.extend((demand, victim) for victim in best)
        return True

    def _count_as_stopping(self, victims: Sequence[Victim]) -> None:
        """Count the resources of victims as freed soon."""
        self._smallest_rejected_by_key.clear()
        for victim in victims:
            victim.is_chosen = True
            self._caps.count_stop(victim)
            for life, freed in victim.freed_by_life.items():
                host = self._hosts_by_life.get(life)
                if host is not None:
                    host.add_stopping(freed)

    # Caps of workspaces.

    def _place_under_cap(self, demand: Demand, hosts: list[Host], startable_count: int) -> None:
        """
        Place as many independent tasks as the cap of their workspace allows; a gang waits. For
        urgent work, less urgent work of the workspace is evicted.

        Work that its cap holds back must not delay other workspaces, so no room is reserved for it
        and no rejection of its shape is recorded.
        """
        held_back = demand
        if startable_count > 0 and not demand.step.is_gang:
            admitted = demand.for_tasks(demand.task_indexes[:startable_count])
            self._place_independent(admitted, hosts)
            held_back = admitted.for_tasks(demand.task_indexes[startable_count:])
        self.plan.held_back.append(held_back)
        if self._free_cap_for(held_back, hosts) or not demand.step.is_gang:
            return
        if any(can_ever_hold(demand, group) for group in self._groups_for(demand, hosts)):
            self._caps.reserve(demand)

    def _free_cap_for(self, demand: Demand, hosts: list[Host]) -> bool:
        """
        Free the cap for an urgent demand, and its room on workers; return whether both succeed.

        What the evictions for the cap free on workers counts before further runs are evicted.
        """
        if not self._victim_search.try_begin(demand):
            return False
        evictions_before = len(self.plan.evictions)
        max_lost_work = max_lost_work_for(demand)
        relief = self._caps.find_relief(
            demand, self._victim_search.permitted(demand), max_lost_work
        )
        if relief is None:
            return False
        relieved = demand.for_tasks(demand.task_indexes[: relief.task_count])
        self._count_as_stopping(relief.victims)
        group = self._find_room_after_stops(relieved, hosts, max_lost_work - relief.lost_work)
        if group is None:
            self._undo_stops(relief.victims)
            return False
        victims = relief.victims
        if len(self.plan.evictions) > evictions_before:
            victims = self._drop_unneeded(victims, relieved, group)
        self.plan.evictions.extend((relieved, victim) for victim in victims)
        self._place_in_group(relieved, group, include_stopping=True)
        return True

    def _find_room_after_stops(
        self, demand: Demand, hosts: list[Host], max_lost_work: float
    ) -> HostGroup | None:
        """
        Return where a demand fits once current stops have ended; evict for it if necessary. Its
        search of victims is counted already.
        """
        if demand.step.is_gang:
            groups = self._groups_for(demand, hosts)
            group = self._best_group(demand, groups, include_stopping=True)
            if group is None and self._search_and_evict(demand, groups, max_lost_work):
                group = self._best_group(demand, groups, include_stopping=True)
            return group
        only_rack, hosts = _local_hosts(demand, hosts)
        fits = self._fits_after_stops(demand, hosts, only_rack)
        return hosts if fits or self._search_and_evict(demand, [hosts], max_lost_work) else None

    def _drop_unneeded(
        self, victims: Sequence[Victim], demand: Demand, group: HostGroup
    ) -> list[Victim]:
        """
        Return the victims that a demand still needs after further evictions for room on workers;
        the costliest are dropped first.
        """
        needed = list(victims)
        for victim in reversed(victims):
            self._undo_stops([victim])
            has_room = slots_for(demand, group, True) >= len(demand.task_indexes)
            if has_room and self._caps.fits_after_stops(demand):
                needed.remove(victim)
            else:
                self._count_as_stopping([victim])
        return needed

    def _undo_stops(self, victims: Sequence[Victim]) -> None:
        """Count victims that are not evicted after all as running."""
        for victim in victims:
            victim.is_chosen = False
            self._caps.undo_stop(victim)
            for life, freed in victim.freed_by_life.items():
                host = self._hosts_by_life.get(life)
                if host is not None:
                    host.remove_stopping(freed)


def _local_hosts(demand: Demand, hosts: list[Host]) -> LocalHosts:
    """Return the hosts in the rack of a demand's data, or all if it may leave that rack."""
    data_rack = demand.step.data_rack
    if data_rack and not demand.limits.may_leave_data_rack:
        local_hosts = [host for host in hosts if host.rack == data_rack]
        if local_hosts:
            return LocalHosts(data_rack, local_hosts)
    return LocalHosts("", hosts)


def _shape_of(demand: Demand, only_rack: str, speed_class: SpeedClass) -> DemandShape:
    step = demand.step
    return DemandShape(
        demand.service,
        step.required_label,
        step.needs,
        step.is_gang,
        step.same_rack,
        only_rack,
        speed_class,
    )
