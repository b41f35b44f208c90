"""
bulrushhollow_core.domain._announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What workers say of themselves.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain._configuration import ServiceName
from bulrushhollow_core.domain._jobs import Resources, WorkerLife
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds


class Availability(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerNews(msgspec.Struct, frozen=True, array_like=True):
    """
    What a worker announced last.

    :param sequence: number of the announcement in this life; a later one is greater.
    :param clock: the worker's own steady clock, in seconds.
    :param remaining: seconds that a draining worker surely stays.
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

    def without_volatile_fields(self) -> "WorkerNews":
        """Return what does not change from one announcement to the next."""
        return msgspec.structs.replace(self, sequence=0, clock=Seconds(0.0), remaining=Seconds(0.0))
