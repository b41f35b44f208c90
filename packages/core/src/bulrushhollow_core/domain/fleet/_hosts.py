"""
bulrushhollow_core.domain.fleet._hosts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Free resources of workers, as one plan counts them.
"""

import math
from collections.abc import Collection, Iterable

from bulrushhollow_core.domain.model import NO_RESOURCES, Resources, ServiceName, WorkerLife
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds

NEVER_FAILED = Seconds(-math.inf)
"""When work last failed on a worker on which none has."""


class Host:
    """
    The resources of one worker while a plan is made.

    :param service: service whose tasks the worker runs.
    :param free: resources that no run takes.
    :param is_suspect: whether work failed on it and none has succeeded since; such workers are used
        last.
    :param is_slow: whether tasks take longer on it than on other workers.
    :param slowness: seconds that it takes for a second of work on a worker of median speed; 1 on an
        even fleet.
    :param is_measured: whether its speed has been measured.
    :param has_crashed: whether a worker on its machine has crashed recently.
    :param failed_at: when work last failed on it.
    """

    def __init__(
        self,
        life: WorkerLife,
        service: ServiceName,
        data_centre: DataCentreId,
        rack: RackId,
        labels: Collection[str],
        capacity: Resources,
        free: Resources,
        is_suspect: bool,
        is_slow: bool = False,
        slowness: float = 1.0,
        is_measured: bool = True,
        has_crashed: bool = False,
        failed_at: Seconds = NEVER_FAILED,
    ) -> None:
        """Create a host with its current free resources."""
        self.life = life
        self.service = service
        self.data_centre = data_centre
        self.rack = rack
        self.labels = labels
        self.capacity = capacity
        self.free = free
        self.free_after_stops = free
        """Free resources once every run that is being stopped has ended."""
        self.is_suspect = is_suspect
        self.is_slow = is_slow
        self.slowness = slowness
        self.is_measured = is_measured
        self.has_crashed = has_crashed
        self.failed_at = failed_at

    def can_run(self, service: ServiceName, label: str) -> bool:
        """Return whether it runs tasks of a service that require a label; empty for any."""
        return self.service == service and (not label or label in self.labels)

    def allocate(self, needs: Resources) -> None:
        """Allocate resources to a task placed on the host, or reserve them for a waiting task."""
        self.free = self.free.minus(needs)
        self.free_after_stops = self.free_after_stops.minus(needs)

    def close(self) -> None:
        """Keep all further tasks away while this plan is made."""
        self.free = self.free_after_stops = NO_RESOURCES

    def add_stopping(self, needs: Resources) -> None:
        """Count the resources of a run that is being stopped."""
        self.free_after_stops = self.free_after_stops.plus(needs)

    def remove_stopping(self, needs: Resources) -> None:
        """Take back what :meth:`add_stopping` counted."""
        self.free_after_stops = self.free_after_stops.minus(needs)


def slots_in(free: Resources, needs: Resources, limit: int) -> int:
    """Return how many tasks fit into free resources, at most a limit."""
    if needs.accelerators > free.accelerators or needs.cpu > free.cpu:
        return 0
    slots = limit
    if needs.cpu > 0:
        slots = min(slots, free.cpu // needs.cpu)
    if needs.memory > 0:
        slots = min(slots, free.memory // needs.memory)
    if needs.accelerators > 0:
        slots = min(slots, free.accelerators // needs.accelerators)
    return max(0, slots)


def best_fit_key(host: Host, free: Resources) -> tuple[bool, bool, int, int]:
    """Return a sort key that puts trusted, fast and nearly full workers first."""
    return (host.is_suspect, host.is_slow, free.accelerators, free.cpu)


def isolation_key(host: Host) -> tuple[bool, bool, int, int]:
    """
    Return a sort key that puts empty workers on sound machines first. On a machine that crashes by
    itself a task would be blamed for that.
    """
    is_empty = host.free == host.capacity
    return (host.has_crashed, not is_empty, -host.free.accelerators, -host.free.cpu)


def group_by_rack(hosts: Iterable[Host]) -> dict[RackId, list[Host]]:
    """Return hosts grouped by rack."""
    hosts_by_rack: dict[RackId, list[Host]] = {}
    for host in hosts:
        hosts_by_rack.setdefault(host.rack, []).append(host)
    return hosts_by_rack


class ExpectedEnd:
    """
    The resources that a run is expected to free by ending by itself.

    :param at: when the run is expected to end.
    """

    def __init__(self, life: WorkerLife, needs: Resources, at: Seconds) -> None:
        """Create an expected end of a run on a worker."""
        self.life = life
        self.needs = needs
        self.at = at
