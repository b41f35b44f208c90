"""
bulrushhollow_core.domain._calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What callers, operators and workers ask of a domain, and the answers. Any instance takes a call;
the leader answers it.
"""

from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.domain._announcements import WorkerNews
from bulrushhollow_core.domain._configuration import CallLimits, Configuration
from bulrushhollow_core.domain._jobs import JobState, Work
from bulrushhollow_core.ids import DataCentreId, Seconds, WorkerId

CallId = NewType("CallId", int)
"""Number that a process gives to a call that it waits for."""


class Submit(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """
    Submit a job; the rest of the path behind the queue's prefix is its id.

    :param key: credential of the caller; empty for none.
    """

    host: str
    path: str
    key: str
    work: Work


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancel a job."""

    host: str
    path: str
    key: str


class Read(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """Read the state of a job, or of a queue if nothing stands behind its prefix."""

    host: str
    path: str
    key: str


class PutConfig(msgspec.Struct, frozen=True, array_like=True, tag="put_config"):
    """Put a whole configuration in force."""

    configuration: Configuration


class ReadConfig(msgspec.Struct, frozen=True, array_like=True, tag="read_config"):
    """Read the newest configuration."""


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag="evacuate"):
    """Begin or end the evacuation of a data centre."""

    data_centre: DataCentreId
    is_evacuated: bool


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="announce"):
    """A worker says that it is there."""

    announcement: WorkerNews


class Deregister(msgspec.Struct, frozen=True, array_like=True, tag="deregister"):
    """
    A worker leaves now.

    :param born: of the life that leaves; None for the latest one under the id.
    """

    worker: WorkerId
    born: int | None = None


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Ask whether the leader serves."""


Call = Submit | Cancel | Read | PutConfig | ReadConfig | Evacuate | Announce | Deregister | Probe


class RefusalReason(Enum):
    """Why a call was refused without any effect."""

    NO_CONFIGURATION = "no_configuration"
    NO_LEADER = "no_leader"
    FOUNDING = "founding"
    """Too few voters have joined the log yet."""


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """
    What was asked is in force and recorded by a majority.

    :param leader: address of the leader.
    """

    leader: str = ""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """
    Nothing was done, and nothing will be.

    :param retry_after: seconds after which another try is likely to succeed.
    """

    reason: RefusalReason
    retry_after: Seconds


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """It may have been done, or may be later; the same call may be made again."""


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="not_leader"):
    """
    Nothing was done here.

    :param leader: address of the instance that leads, if known.
    """

    leader: str | None


class NoSuchQueue(msgspec.Struct, frozen=True, array_like=True, tag="no_queue"):
    """No queue has that host and path."""


class NotAllowed(msgspec.Struct, frozen=True, array_like=True, tag="not_allowed"):
    """The key belongs to no workspace."""


class NoSuchJob(msgspec.Struct, frozen=True, array_like=True, tag="no_job"):
    """The queue has no such job."""


class Malformed(msgspec.Struct, frozen=True, array_like=True, tag="malformed"):
    """The call can never be accepted."""

    reason: str


class JobShown(msgspec.Struct, frozen=True, array_like=True, tag="job"):
    """The state of a job."""

    state: JobState


class QueueShown(msgspec.Struct, frozen=True, array_like=True, tag="queue"):
    """
    The state of a queue.

    :param pending: accepted jobs of which no task has started.
    """

    pending: int


class ConfigShown(msgspec.Struct, frozen=True, array_like=True, tag="config"):
    """The newest configuration as it was put."""

    document: bytes


class Serving(msgspec.Struct, frozen=True, array_like=True, tag="serving"):
    """
    The leader serves.

    :param limits: limits on callers' calls; None without a configuration.
    :param instances: addresses of all instances that may lead.
    """

    leader: str
    limits: CallLimits | None
    instances: tuple[str, ...] = ()


Answer = (
    Done
    | Refused
    | OutcomeUnknown
    | NotLeader
    | NoSuchQueue
    | NotAllowed
    | NoSuchJob
    | Malformed
    | JobShown
    | QueueShown
    | ConfigShown
    | Serving
)
