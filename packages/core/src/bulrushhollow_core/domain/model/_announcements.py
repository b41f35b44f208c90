"""
bulrushhollow_core.domain.model._announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announcements of workers: their heartbeats.
"""

import math
from enum import Enum

import msgspec

from bulrushhollow_core.domain.model._configuration import ServiceName
from bulrushhollow_core.domain.model._jobs import Resources, WorkerLife
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds

MAX_INTEGER = 2**63 - 1
"""Largest integer of an announcement, in magnitude; the log stores none that is larger."""

MAX_TEXT_LENGTH = 16_384
"""Most characters in all texts of an announcement together; the log stores each announcement."""

MAX_LABELS = 1024
"""Most labels of an announcement, of which each takes space in the log even if it is empty."""


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


def find_announcement_error(announcement: WorkerNews) -> str:
    """
    Return why an announcement cannot come from a worker of the domain, or an empty text if it can.

    Other systems may send announcements too, and the log of an earlier version may hold some.
    """
    life, capacity = announcement.life, announcement.capacity
    texts = (life.id, announcement.service, announcement.address, announcement.data_centre)
    amounts = (capacity.cpu, capacity.memory, capacity.accelerators)
    if not life.id or not announcement.address:
        return "it names no worker or no address"
    if sum(map(len, (*texts, *announcement.labels))) > MAX_TEXT_LENGTH:
        return f"its texts have more than {MAX_TEXT_LENGTH} characters"
    if len(announcement.labels) > MAX_LABELS:
        return f"it has more than {MAX_LABELS} labels"
    if any(abs(number) > MAX_INTEGER for number in (life.born, announcement.sequence, *amounts)):
        return "a number is out of range"
    if any(amount < 0 for amount in amounts):
        return "its capacity is negative"
    if not (math.isfinite(announcement.clock) and math.isfinite(announcement.remaining)):
        return "a time is not finite"
    return ""
