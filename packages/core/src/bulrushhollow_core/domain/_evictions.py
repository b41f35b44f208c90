"""
bulrushhollow_core.domain._evictions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which runs to stop for a demand: worker by worker, the cheapest next place first, so that nothing is
stopped on a worker that gains no place by it.
"""

import heapq
import itertools
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain._demands import Demand, Victim
from bulrushhollow_core.domain._hosts import Host, slots_in
from bulrushhollow_core.domain._jobs import NO_RESOURCES, Resources, WorkerLife


class VictimIndex:
    """
    The victims that demands of one standing may stop, by worker.

    :param victims: those that may be stopped; the ones of each worker are kept cheapest first.
    """

    def __init__(self, victims: Iterable[Victim]) -> None:
        """Sort them out."""
        self._victims_by_life: dict[WorkerLife, list[Victim]] = {}
        self._rooms_by_life: dict[WorkerLife, Resources] = {}
        for victim in sorted(victims, key=lambda each: each.waste):
            for life, room in victim.rooms_by_life.items():
                self._victims_by_life.setdefault(life, []).append(victim)
                self._rooms_by_life[life] = self._rooms_by_life.get(life, NO_RESOURCES).plus(room)

    def on(self, life: WorkerLife) -> Sequence[Victim]:
        """Return the victims on a worker, the cheapest first."""
        return self._victims_by_life.get(life, ())

    def room_on(self, life: WorkerLife) -> Resources:
        """Return the room that a worker gains at the most."""
        return self._rooms_by_life.get(life, NO_RESOURCES)


class NextPlace(NamedTuple):
    """What one more place on a worker takes."""

    waste: float
    victims: list[Victim]


class EvictionSearch:
    """
    Looks for victims in one group of hosts.

    :param index: what may be stopped for the demand.
    :param most_waste: core-seconds that may be thrown away at the most.
    """

    def __init__(
        self, demand: Demand, group: Sequence[Host], index: VictimIndex, most_waste: float
    ) -> None:
        """Begin with the room that there will be anyway."""
        self._needs = demand.step.needs
        self._wanted = len(demand.indexes)
        self._index = index
        self._most_waste = most_waste
        self._rooms = {host.life: host.soon for host in group}
        self._limits = {host.life: demand.limit_on(host) for host in group}
        self._slots = {life: self._slots_on(life, room) for life, room in self._rooms.items()}
        self._missing = self._wanted - sum(self._slots.values())
        self._chosen: list[Victim] = []
        self._versions = dict.fromkeys(self._rooms, 0)
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, WorkerLife, int, NextPlace]] = []

    def find(self) -> list[Victim] | None:
        """Return the victims, or None if stopping all that may be stopped is not enough."""
        if not self._could_suffice():
            return None
        for life in self._rooms:
            self._offer(life)
        waste = 0.0
        while self._missing > 0:
            if not self._heap:
                return None
            _, _, life, version, place = heapq.heappop(self._heap)
            if version != self._versions[life]:
                continue
            waste += place.waste
            if waste > self._most_waste:
                return None
            for victim in place.victims:
                self._stop(victim)
        return self._chosen or None

    def _could_suffice(self) -> bool:
        """Return whether stopping everything would be enough."""
        most = sum(
            self._slots_on(life, room.plus(self._index.room_on(life)))
            for life, room in self._rooms.items()
        )
        return most >= self._wanted

    def _slots_on(self, life: WorkerLife, room: Resources) -> int:
        return slots_in(room, self._needs, self._limits[life])

    def _stop(self, victim: Victim) -> None:
        self._chosen.append(victim)
        for life, room in victim.rooms_by_life.items():
            if life not in self._rooms:
                continue
            self._rooms[life] = self._rooms[life].plus(room)
            slots = self._slots_on(life, self._rooms[life])
            self._missing -= slots - self._slots[life]
            self._slots[life] = slots
            self._versions[life] += 1
            self._offer(life)

    def _offer(self, life: WorkerLife) -> None:
        """Put the next place on a worker among the choices."""
        place = self._next_on(life)
        if place is not None:
            version = self._versions[life]
            heapq.heappush(self._heap, (place.waste, next(self._numbers), life, version, place))

    def _next_on(self, life: WorkerLife) -> NextPlace | None:
        """Return the cheapest victims that give one more place on a worker."""
        present = self._slots[life]
        if present >= self._limits[life]:
            return None
        picked: list[Victim] = []
        room = self._rooms[life]
        for victim in self._index.on(life):
            if victim.is_chosen or victim in self._chosen:
                continue
            picked.append(victim)
            room = room.plus(victim.rooms_by_life[life])
            if self._slots_on(life, room) > present:
                needed = self._without_needless(life, picked, room, present)
                return NextPlace(sum(each.waste for each in needed), needed)
        return None

    def _without_needless(
        self, life: WorkerLife, picked: list[Victim], room: Resources, present: int
    ) -> list[Victim]:
        """Spare the dearest victims that the place does not depend on."""
        needed = list(picked)
        for victim in reversed(picked):
            rest = room.minus(victim.rooms_by_life[life])
            if self._slots_on(life, rest) > present:
                needed.remove(victim)
                room = rest
        return needed
