"""
bulrushhollow_core.domain.model._announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announcements of workers: their heartbeats.
"""

import math
from enum import Enum

import msgspec

from bulrushhollow_core.domain.model._configuration import ServiceName
from bulrushhollow_core.domain.model._jobs import Resources, WallTime, WorkerLife
from bulrushhollow_core.endpoints import has_port
from bulrushhollow_core.ids import DataCentreId, RackId, Seconds

MS_PER_SECOND = 1000.0

MAX_INTEGER = 2**63 - 1
"""Largest integer of an announcement, in magnitude; the log stores none that is larger."""

MAX_CLOCK = Seconds(2**53 / 1000)
"""Largest reading of a worker's clock, in magnitude; JSON has no exact numbers for
leases that end later."""

MAX_BORN_AHEAD = Seconds(366 * 86_400.0)
"""Seconds by which the clock of a worker's machine may be ahead of that of the leader. It is long,
since a leader with a wrong clock must still have workers."""

MAX_TEXT_LENGTH = 16_384
"""Most characters in all texts of an announcement together, each with a terminator; the log stores
each announcement."""


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
    texts = (
        *(life.id, announcement.service, announcement.address, announcement.data_centre),
        *(announcement.rack, *announcement.labels),
    )
    amounts = (capacity.cpu, capacity.memory, capacity.accelerators)
    if not life.id or not announcement.address:
        return "it names no worker or no address"
    if sum(map(len, texts)) + len(texts) > MAX_TEXT_LENGTH:
        return f"its texts have more than {MAX_TEXT_LENGTH} characters"
    if not has_port(announcement.address):
        return "its address has no port that exists"
    if any(abs(number) > MAX_INTEGER for number in (life.born, announcement.sequence, *amounts)):
        return "a number is out of range"
    if any(amount < 0 for amount in amounts):
        return "its capacity is negative"
    if not (math.isfinite(announcement.clock) and math.isfinite(announcement.remaining)):
        return "a time is not finite"
    if abs(announcement.clock) > MAX_CLOCK:
        return "a time is out of range"
    return ""


def find_life_error(life: WorkerLife, wall: WallTime) -> str:
    """
    Return why a worker cannot have started when it says, or an empty text if it can.

    A life that starts later replaces the earlier ones, and no life could replace one of the future.
    """
    is_future = life.born > (wall + MAX_BORN_AHEAD) * MS_PER_SECOND
    return "it says that it started in the future" if is_future else ""
