"""
bulrushhollow_core.domain.model._announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announcements of workers: their heartbeats.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain.model._configuration import ServiceName
from bulrushhollow_core.domain.model._jobs import Resources, WorkerLife
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds


class Availability(Enum):
    """Whether a worker accepts runs, as it announces."""

    READY = "ready"
    DRAINING = "draining"


class WorkerNews(msgspec.Struct, frozen=True, array_like=True):
    """
    An announcement of a worker.

    :param sequence: number of the announcement within this life; it increases.
    :param clock: the worker's monotonic clock, in seconds.
    :param remaining: seconds for which a draining worker is certain to stay.
    """

    life: WorkerLife
    service: ServiceName
    address: str
    data_centre: DataCentreId
    rack: RackId
    labels: tuple[str, ...]
    capacity: Resources
    availability: Availability
    sequence: int
    clock: Seconds
    remaining: Seconds

    def is_equivalent(self, other: "WorkerNews") -> bool:
        """Return whether it says the same but for the fields that differ in every announcement."""
        renumbered = msgspec.structs.replace(other, sequence=self.sequence)
        return self.without_times() == renumbered.without_times()

    def without_times(self) -> "WorkerNews":
        """Return a copy without the readings of the worker's clock."""
        return msgspec.structs.replace(self, clock=Seconds(0.0), remaining=Seconds(0.0))
