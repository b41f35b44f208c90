"""
bulrushhollow_core.domain._hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The room on workers while one plan is made.
"""

from collections.abc import Iterable

from bulrushhollow_core.domain._configuration import ServiceName
from bulrushhollow_core.domain._jobs import Resources, WorkerLife
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds


class Host:
    """
    Room of one worker.

    :param service: whose tasks it runs.
    :param free: what no run takes.
    :param is_doubted: whether it is a second choice.
    :param is_slow: whether tasks take longer on it than elsewhere.
    """

    def __init__(
        self,
        life: WorkerLife,
        service: ServiceName,
        data_centre: DataCentreId,
        rack: RackId,
        labels: frozenset[str],
        capacity: Resources,
        free: Resources,
        is_suspect: bool,
        is_slow: bool = False,
    ) -> None:
        """Begin with the room as it is."""
        self.life = life
        self.service = service
        self.data_centre = data_centre
        self.rack = rack
        self.labels = labels
        self.capacity = capacity
        self.free = free
        self.soon = free
        """What is free once every run that is being stopped has ended."""
        self.is_suspect = is_suspect
        self.is_slow = is_slow

    def serves(self, service: ServiceName, label: str) -> bool:
        """Return whether it runs tasks of a service that ask for a label; empty for any."""
        return self.service == service and (not label or label in self.labels)

    def take(self, needs: Resources) -> None:
        """Give room to a task, or keep it for one."""
        self.free = self.free.minus(needs)
        self.soon = self.soon.minus(needs)

    def expect(self, needs: Resources) -> None:
        """Note room of a run that is being stopped."""
        self.soon = self.soon.plus(needs)


def slots_in(room: Resources, needs: Resources, limit: int) -> int:
    """Return how many tasks fit into some room, at most a limit."""
    if needs.accelerators > room.accelerators or needs.cpu > room.cpu:
        return 0
    slots = limit
    if needs.cpu > 0:
        slots = min(slots, room.cpu // needs.cpu)
    if needs.memory > 0:
        slots = min(slots, room.memory // needs.memory)
    if needs.accelerators > 0:
        slots = min(slots, room.accelerators // needs.accelerators)
    return max(0, slots)


def tightness(host: Host, room: Resources) -> tuple[bool, bool, int, int]:
    """Return a key that puts trusted, fast and nearly full workers first."""
    return (host.is_suspect, host.is_slow, room.accelerators, room.cpu)


def by_rack(hosts: Iterable[Host]) -> dict[RackId, list[Host]]:
    """Return hosts by their racks."""
    hosts_by_rack: dict[RackId, list[Host]] = {}
    for host in hosts:
        hosts_by_rack.setdefault(host.rack, []).append(host)
    return hosts_by_rack


class Departure:
    """
    Room that a run will free when it ends by itself.

    :param at: when it is expected to end.
    """

    def __init__(self, life: WorkerLife, needs: Resources, at: Seconds) -> None:
        """Name the run's worker and room."""
        self.life = life
        self.needs = needs
        self.at = at
