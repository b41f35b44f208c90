"""
bulrushhollow_core.domain.placement._service_loads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How much of each service is in use, on all known workers.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.model import Resources, ServiceName

BUSY_SHARE = 0.5
"""Share of a service in use from which on a reservation need not yield."""


class ServicePart(Protocol):
    """One worker as a part of its service."""

    @property
    def service(self) -> ServiceName:
        """Return the service that it belongs to."""

    @property
    def capacity(self) -> Resources:
        """Return its resources."""

    @property
    def free(self) -> Resources:
        """Return the resources that no run takes."""


class WorkerPart(NamedTuple):
    """A known worker as a part of its service, whether it may get new work or not."""

    service: ServiceName
    capacity: Resources
    free: Resources


def service_parts(shared: SchedulerState) -> Iterator[WorkerPart]:
    """
    Yield the known workers with their services. Those that may get no new work now count as well:
    what runs there is in use, and the rest is capacity of the service.
    """
    for worker in shared.fleet.workers_by_life.values():
        if worker.announcement is not None:
            yield WorkerPart(worker.announcement.service, worker.capacity, worker.free)


class ServiceLoads:
    """
    How much of each service is in use.

    :param parts: workers with their services.
    """

    def __init__(self, parts: Iterable[ServicePart]) -> None:
        """Add up the capacity and the usage of the workers of each service."""
        self._totals_by_service: dict[ServiceName, list[int]] = {}
        for part in parts:
            capacity, free = part.capacity, part.free
            totals = self._totals_by_service.setdefault(part.service, [0] * 6)
            totals[0] += capacity.cpu
            totals[1] += capacity.memory
            totals[2] += capacity.accelerators
            totals[3] += capacity.cpu - free.cpu
            totals[4] += capacity.memory - free.memory
            totals[5] += capacity.accelerators - free.accelerators

    def busy(self, share: float) -> frozenset[ServiceName]:
        """Return the services of whose workers at least a share of any resource is in use."""
        return frozenset(
            service
            for service, totals in self._totals_by_service.items()
            if not Resources(*totals[3:]).is_below(share, Resources(*totals[:3]))
        )


def busy_services(parts: Iterable[ServicePart]) -> frozenset[ServiceName]:
    """Return the services of whose workers at least half of any resource is in use."""
    return ServiceLoads(parts).busy(BUSY_SHARE)
