"""
bulrushhollow_core.domain._planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where tasks go. Demands are served in their order. One that finds no room may evict less urgent
runs, or keeps room that becomes free so that later and smaller demands don't starve it.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain._configuration import ServiceName
from bulrushhollow_core.domain._demands import Demand, Victim
from bulrushhollow_core.domain._evictions import EvictionSearch, VictimIndex
from bulrushhollow_core.domain._groups import Group, best_group, groups_for, room_of, slots_of
from bulrushhollow_core.domain._hosts import Departure, Host, by_rack, slots_in, tightness
from bulrushhollow_core.domain._jobs import Resources, TaskRef, WorkerLife
from bulrushhollow_core.ids import RackId, Seconds

KEPT_GANGS = 4
"""Gangs at the head of the queue that keep room while they wait; more would leave room idle."""

BACKGROUND_URGENCY = 2
"""Urgency from which on work leaves room for urgent work to come."""

HEADROOM = 0.1
"""Part of all accelerators that background work without checkpoints always leaves free, since
stopping it would throw its work away, and that any other leaves free at the most: bursts of urgent
work take about as much, and background work starves for more."""

URGENT_THRIFT = 4.0
"""Most unsaved work that may be thrown away for an urgent job, as a part of its own work, unless it
is to be reclaimed at any cost: urgent jobs are small, and late ones are worth a fifth."""

URGENT_BASE = 1000.0
"""Core-seconds that may be thrown away besides, since the smallest job is worth a third of a usual
one to its caller."""

THRIFT = 0.05
"""The same for any other job: it has the time to wait, and its victims lose what it gains."""

SEARCHES = 8
"""Demands beyond a guarantee for which victims are looked for in one plan; the rest of a long queue
waits for the next plan, so that a plan stays short."""


class Placement:
    """A task and the worker that it is to start on."""

    def __init__(self, task: TaskRef, life: WorkerLife) -> None:
        """Name both."""
        self.task = task
        self.life = life


class Plan:
    """
    What one look at the queue led to.

    :param placements: starts by step, in order.
    :param evictions: what is to be stopped.
    :param blocked: steps that found no place for all their tasks.
    """

    def __init__(self) -> None:
        """Begin empty."""
        self.placements: list[tuple[Demand, list[Placement]]] = []
        self.evictions: list[tuple[Demand, Victim]] = []
        self.blocked: list[Demand] = []


class Shape(NamedTuple):
    """What makes two demands alike: where one finds no room, neither does a larger one after it."""

    service: ServiceName
    label: str
    needs: Resources
    is_gang: bool
    same_rack: bool
    near: str


class Planner:
    """
    Makes one plan.

    :param hosts: workers that may get work.
    :param victims: returns the runs that might be stopped; called only if something finds no room.
    :param departures: returns the runs that will end by themselves; called likewise.
    :param headroom: accelerators that background work leaves free for urgent work to come.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        victims: Callable[[], Sequence[Victim]],
        departures: Callable[[], Sequence[Departure]],
        headroom: int = 0,
    ) -> None:
        """Begin with the room as it is."""
        self._hosts = hosts
        self._hosts_by_life = {host.life: host for host in hosts}
        self._find_victims = victims
        self._victims: Sequence[Victim] | None = None
        self._indexes_by_standing: dict[tuple[int, bool], VictimIndex] = {}
        self._find_departures = departures
        self._departures_by_rack: dict[RackId, list[Departure]] | None = None
        self._eligible_by_kind: dict[tuple[ServiceName, str], list[Host]] = {}
        self._groups_by_shape: dict[tuple[Shape, int], list[Group]] = {}
        self._full: dict[tuple[Shape, bool], int] = {}
        """The fewest tasks of each shape that found no room, free now or once stops have ended."""
        self._total = sum(host.capacity.accelerators for host in hosts)
        self._headroom = min(headroom, int(HEADROOM * self._total))
        self._kept = 0
        self.searches = 0
        """Demands beyond a guarantee for which victims were looked for."""
        self.plan = Plan()

    def make(self, demands: Iterable[Demand]) -> Plan:
        """Serve demands in their order."""
        for demand in demands:
            hosts = self._eligible(demand)
            if demand.step.is_gang:
                self._serve_gang(demand, hosts)
            else:
                self._serve_plain(demand, hosts)
        return self.plan

    def _eligible(self, demand: Demand) -> list[Host]:
        kind = (demand.service, demand.step.required_label)
        if kind not in self._eligible_by_kind:
            self._eligible_by_kind[kind] = [host for host in self._hosts if host.serves(*kind)]
        hosts = self._eligible_by_kind[kind]
        if demand.allowed is not None:
            hosts = [host for host in hosts if host.life in demand.allowed]
        if not demand.avoided:
            return hosts
        return [host for host in hosts if host.life not in demand.avoided]

    # What found no room before.

    def _is_full(self, demand: Demand, with_stopping: bool, near: str = "") -> bool:
        """Return whether a demand like this one, and no larger, has found no room in this plan."""
        least = self._full.get((_shape(demand, near), with_stopping), math.inf)
        return len(demand.indexes) >= least

    def _note_full(self, demand: Demand, with_stopping: bool, count: int, near: str = "") -> None:
        if not demand.is_particular:
            key = (_shape(demand, near), with_stopping)
            self._full[key] = min(count, self._full.get(key, count))

    # Gangs.

    def _serve_gang(self, demand: Demand, hosts: list[Host]) -> None:
        groups = self._groups(demand, hosts)
        found = self._best_group(demand, groups, with_stopping=False)
        if found is not None:
            placements = self._assign(demand, found, with_stopping=False)
            self.plan.placements.append((demand, placements))
            return
        self.plan.blocked.append(demand)
        found = self._best_group(demand, groups, with_stopping=True)
        if found is None and self._evict_for(demand, groups):
            found = self._best_group(demand, groups, with_stopping=True)
        if found is not None:
            self._assign(demand, found, with_stopping=True)
            return
        self._keep_room(demand, groups)

    def _groups(self, demand: Demand, hosts: list[Host]) -> list[Group]:
        if demand.is_particular:
            return groups_for(demand, hosts)
        key = (_shape(demand, ""), len(demand.indexes))
        if key not in self._groups_by_shape:
            self._groups_by_shape[key] = groups_for(demand, hosts)
        return self._groups_by_shape[key]

    def _best_group(
        self, demand: Demand, groups: Sequence[Group], with_stopping: bool
    ) -> Group | None:
        if self._is_full(demand, with_stopping):
            return None
        found = best_group(demand, groups, with_stopping)
        if found is None:
            self._note_full(demand, with_stopping, len(demand.indexes))
        return found

    def _assign(self, demand: Demand, hosts: Group, with_stopping: bool) -> list[Placement]:
        """Fill the fullest hosts first."""
        ordered = sorted(hosts, key=lambda host: tightness(host, room_of(host, with_stopping)))
        return self._fill(demand, ordered, demand.indexes, with_stopping)

    def _fill(
        self, demand: Demand, hosts: Iterable[Host], indexes: Iterable[int], with_stopping: bool
    ) -> list[Placement]:
        """Give some tasks of a demand the room on hosts, in their order."""
        needs = demand.step.needs
        waiting = list(indexes)
        placements: list[Placement] = []
        for host in hosts:
            slots = slots_in(room_of(host, with_stopping), needs, demand.limit_on(host))
            for _ in range(min(slots, len(waiting))):
                host.take(needs)
                placements.append(Placement(demand.ref.task(waiting.pop(0)), host.life))
            if not waiting:
                break
        return placements

    def _keep_room(self, demand: Demand, groups: Sequence[Group]) -> None:
        """Keep room where it is expected to become free first."""
        if self._kept >= KEPT_GANGS:
            return
        best: tuple[Seconds, Group] | None = None
        for group in groups:
            at = self._free_at(demand, group)
            if at is not None and (best is None or at < best[0]):
                best = (at, group)
        if best is None:
            return
        self._kept += 1
        rooms = self._expected_rooms(best[1], best[0])
        waiting = len(demand.indexes)
        for host in sorted(best[1], key=lambda each: -rooms[each.life].accelerators):
            slots = min(waiting, slots_in(rooms[host.life], demand.step.needs, waiting))
            waiting -= slots
            for _ in range(slots):
                host.take(demand.step.needs)

    def _departing(self, group: Group) -> Sequence[Departure]:
        """Return the runs on a group that will end, the next one first."""
        if self._departures_by_rack is None:
            self._departures_by_rack = {}
            for departure in sorted(self._find_departures(), key=lambda each: each.at):
                host = self._hosts_by_life.get(departure.life)
                if host is not None:
                    self._departures_by_rack.setdefault(host.rack, []).append(departure)
        racks = {host.rack for host in group}
        listed = [self._departures_by_rack.get(rack, []) for rack in racks]
        return listed[0] if len(listed) == 1 else list(heapq.merge(*listed, key=_end_of))

    def _free_at(self, demand: Demand, group: Group) -> Seconds | None:
        """Return when enough runs of a group are expected to have ended."""
        rooms = {host.life: host.soon for host in group}
        limits = {host.life: demand.limit_on(host) for host in group}
        needs = demand.step.needs
        slots = {life: slots_in(room, needs, limits[life]) for life, room in rooms.items()}
        total = sum(slots.values())
        for departure in self._departing(group):
            life = departure.life
            if life not in rooms:
                continue
            rooms[life] = rooms[life].plus(departure.needs)
            after = slots_in(rooms[life], needs, limits[life])
            total += after - slots[life]
            slots[life] = after
            if total >= len(demand.indexes):
                return departure.at
        return None

    def _expected_rooms(self, group: Group, at: Seconds) -> dict[WorkerLife, Resources]:
        rooms = {host.life: host.soon for host in group}
        for departure in self._departing(group):
            if departure.at <= at and departure.life in rooms:
                rooms[departure.life] = rooms[departure.life].plus(departure.needs)
        return rooms

    # Tasks by themselves.

    def _serve_plain(self, demand: Demand, hosts: list[Host]) -> None:
        near = ""
        if demand.step.data_rack and not demand.may_leave_rack:
            close = [host for host in hosts if host.rack == demand.step.data_rack]
            if close:
                near, hosts = demand.step.data_rack, close
        left = list(demand.indexes)
        if not self._is_full(demand, False, near):
            placements = self._place_each(demand, hosts, self._allowance(demand))
            if placements:
                self.plan.placements.append((demand, placements))
            placed = {placement.task.member for placement in placements}
            left = [index for index in demand.indexes if index not in placed]
            if not left:
                return
            self._note_full(demand, False, 1, near)
        self.plan.blocked.append(demand)
        rest = demand.rest(left)
        if self._will_fit(rest, hosts, near) or self._evict_for(rest, [hosts]):
            self._assign(rest, hosts, with_stopping=True)

    def _will_fit(self, demand: Demand, hosts: Group, near: str) -> bool:
        """Return whether there is room once what is being stopped has ended."""
        if self._is_full(demand, True, near):
            return False
        if slots_of(demand, hosts, with_stopping=True) >= len(demand.indexes):
            return True
        self._note_full(demand, True, len(demand.indexes), near)
        return False

    def _allowance(self, demand: Demand) -> int:
        """Return how many of a demand's tasks may start, for the sake of urgent work to come."""
        step = demand.step
        if demand.urgency < BACKGROUND_URGENCY or step.needs.accelerators == 0:
            return len(demand.indexes)
        least = 0.0 if step.is_checkpointable else HEADROOM * self._total
        free = sum(max(0, host.free.accelerators) for host in self._hosts)
        room = free - max(least, self._headroom)
        return max(0, min(len(demand.indexes), int(room // step.needs.accelerators)))

    def _place_each(self, demand: Demand, hosts: Group, most: int) -> list[Placement]:
        """
        Fill the racks and workers that are nearly full, so that whole racks stay free for gangs.
        """
        needs = demand.step.needs
        roomy = [host for host in hosts if needs.fits(host.free)]
        if not roomy or most <= 0:
            return []
        data_rack = demand.step.data_rack
        free_by_rack = {
            rack: sum(max(0, host.free.accelerators) for host in group)
            for rack, group in by_rack(self._hosts).items()
        }
        ordered = sorted(
            roomy,
            key=lambda host: (
                host.is_doubted,
                bool(data_rack) and host.rack != data_rack,
                host.is_slow is (demand.urgency == 0),
                free_by_rack[host.rack],
                host.rack,
                host.free.accelerators,
                host.free.cpu,
            ),
        )
        placements = self._fill(demand, ordered, demand.indexes[:most], with_stopping=False)
        placed = Counter(demand.placed_by_worker)
        placed.update(placement.life for placement in placements)
        demand.placed_by_worker = dict(placed)
        return placements

    # Eviction.

    def _evict_for(self, demand: Demand, groups: Sequence[Group]) -> bool:
        """Stop the runs whose loss costs least, if that is enough and allowed."""
        if not demand.may_evict:
            return False
        if not demand.is_guaranteed:
            if self.searches >= SEARCHES:
                return False
            self.searches += 1
        most = _most_waste(demand)
        index = self._victims_for(demand)
        best: list[Victim] | None = None
        for group in groups:
            chosen = EvictionSearch(demand, group, index, most).find()
            if chosen is not None:
                best = chosen
                most = sum(victim.waste for victim in chosen)
        if best is None:
            return False
        self._full.clear()
        for victim in best:
            victim.is_chosen = True
            self.plan.evictions.append((demand, victim))
            for life, room in victim.rooms_by_life.items():
                host = self._hosts_by_life.get(life)
                if host is not None:
                    host.expect(room)
        return True

    def _victims_for(self, demand: Demand) -> VictimIndex:
        """Return the runs that may be stopped for demands of this one's standing."""
        standing = (demand.urgency, demand.is_guaranteed)
        if standing not in self._indexes_by_standing:
            if self._victims is None:
                self._victims = self._find_victims()
            allowed = [victim for victim in self._victims if _may_evict(demand, victim)]
            self._indexes_by_standing[standing] = VictimIndex(allowed)
        return self._indexes_by_standing[standing]


def _end_of(departure: Departure) -> Seconds:
    return departure.at


def _most_waste(demand: Demand) -> float:
    """Return the core-seconds that may be thrown away for a demand."""
    if demand.is_reclaiming:
        return math.inf
    if demand.urgency == 0:
        return URGENT_THRIFT * demand.work + URGENT_BASE
    return THRIFT * demand.work


def _may_evict(demand: Demand, victim: Victim) -> bool:
    if victim.urgency > demand.urgency:
        return True
    is_surplus = victim.urgency == demand.urgency == 0 and not victim.is_guaranteed
    return demand.is_guaranteed and is_surplus


def _shape(demand: Demand, near: str) -> Shape:
    step = demand.step
    return Shape(
        demand.service, step.required_label, step.needs, step.is_gang, step.same_rack, near
    )
