"""
bulrushhollow_core.domain.model._calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The calls of callers, operators and workers to a domain, and the answers. Any instance accepts a
call; the leader answers it.
"""

from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.domain.model._announcements import WorkerNews
from bulrushhollow_core.domain.model._configuration import CallLimits, Configuration
from bulrushhollow_core.domain.model._jobs import JobState, Work
from bulrushhollow_core.ids import DataCentreId, Seconds, WorkerId
from bulrushhollow_core.placements import PlacementOutlook

CallId = NewType("CallId", int)
"""Number that a process assigns to a call while it waits for the answer."""


class Submit(msgspec.Struct, frozen=True, array_like=True, tag="submit"):
    """
    Submit a job. The part of the path after the queue's prefix is the job's id.

    :param key: credential of the caller; empty for none.
    """

    host: str
    path: str
    key: str
    work: Work


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancel a job, named by the path as in :class:`Submit`."""

    host: str
    path: str
    key: str


class Read(msgspec.Struct, frozen=True, array_like=True, tag="read"):
    """Read the state of a job, or of a queue if the path is the queue's prefix."""

    host: str
    path: str
    key: str


class PutConfig(msgspec.Struct, frozen=True, array_like=True, tag="put_config"):
    """Put a whole configuration in force."""

    configuration: Configuration


class ReadConfig(msgspec.Struct, frozen=True, array_like=True, tag="read_config"):
    """Read the configuration in force."""


class Evacuate(msgspec.Struct, frozen=True, array_like=True, tag="evacuate"):
    """Begin or end the evacuation of a data centre."""

    data_centre: DataCentreId
    is_evacuated: bool


class Announce(msgspec.Struct, frozen=True, array_like=True, tag="announce"):
    """Announce a worker: a heartbeat with its address, capacity and state."""

    announcement: WorkerNews


class AnnounceBatch(msgspec.Struct, frozen=True, array_like=True, tag="announce_batch"):
    """
    Pass on the announcements of several workers. Those of workers that drain are passed on one by
    one, since each must be recorded before it is answered.
    """

    announcements: tuple[WorkerNews, ...]


class Deregister(msgspec.Struct, frozen=True, array_like=True, tag="deregister"):
    """
    Deregister a worker that leaves now.

    :param born: start time of the life that leaves; None for the latest life of the id.
    """

    worker: WorkerId
    born: int | None = None


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Check that a leader serves; also returns the call limits and the instances."""


class ExplainPlacement(msgspec.Struct, frozen=True, array_like=True, tag="explain_placement"):
    """
    Explain where a job would be placed now, without submitting it.

    :param path: the queue's prefix; what follows the prefix is ignored.
    :param key: credential of the caller; empty for none.
    """

    host: str
    path: str
    key: str
    work: Work


Call = (
    Submit
    | Cancel
    | Read
    | PutConfig
    | ReadConfig
    | Evacuate
    | Announce
    | AnnounceBatch
    | Deregister
    | Probe
    | ExplainPlacement
)


def is_dated(call: Call) -> bool:
    """
    Return whether a call must not be executed late, since its caller may have changed the same
    thing elsewhere meanwhile. Configurations, announcements and lives of workers are numbered.
    """
    match call:
        case Submit() | Cancel() | Evacuate() | Deregister(born=None):
            return True
        case _:
            return False


class RefusalReason(Enum):
    """Why a call was refused, without any effect."""

    NO_CONFIGURATION = "no_configuration"
    NO_LEADER = "no_leader"
    FOUNDING = "founding"
    """Too few voters have joined the new log so far."""
    EXCEEDS_CAP = "exceeds_cap"
    """A gang or a single task of the job needs more than its workspace's cap."""
    OVERLOADED = "overloaded"
    """The job could not end before its result loses its value."""
    UNKNOWN_SERVICE = "unknown_service"
    """The configuration in force names no such service."""
    EXPLAINING = "explaining"
    """The leader has explained another placement just before."""


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """
    The call has taken effect and is recorded by a majority.

    :param leader: address of the leader.
    :param relays: addresses of the instances that pass announcements of workers on in batches, in
        the answer to an announcement; none while the leader hears its workers itself.
    """

    leader: str = ""
    relays: tuple[str, ...] = ()


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """
    The call has had no effect and will have none.

    :param retry_after: seconds after which a retry is likely to succeed.
    """

    reason: RefusalReason
    retry_after: Seconds


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """The call may have taken effect, or may still do so; it is safe to repeat it."""


class Expired(msgspec.Struct, frozen=True, array_like=True, tag="expired"):
    """The call arrived too late. It has had no effect and will have none."""


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="not_leader"):
    """
    The call has had no effect on this instance, which does not lead.

    :param leader: address of the leader; None if unknown.
    :param reaches_quorum: whether this instance reaches enough others for an election.
    """

    leader: str | None
    reaches_quorum: bool = True


class NoSuchQueue(msgspec.Struct, frozen=True, array_like=True, tag="no_queue"):
    """No queue matches the host and path of the call."""


class NotAllowed(msgspec.Struct, frozen=True, array_like=True, tag="not_allowed"):
    """The caller's key belongs to no workspace, and the queue is not public."""


class NoSuchJob(msgspec.Struct, frozen=True, array_like=True, tag="no_job"):
    """The queue has no such job."""


class Malformed(msgspec.Struct, frozen=True, array_like=True, tag="malformed"):
    """The call is invalid; a retry can't succeed."""

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
    """The configuration in force, as the text in which it was put."""

    document: bytes


class Serving(msgspec.Struct, frozen=True, array_like=True, tag="serving"):
    """
    The answer of a leader that serves.

    :param limits: limits on callers' calls; None before the first configuration.
    :param instances: addresses of all instances that may lead.
    """

    leader: str
    limits: CallLimits | None
    instances: tuple[str, ...] = ()


class PlacementExplained(msgspec.Struct, frozen=True, array_like=True, tag="placement"):
    """Where a job would be placed now, and why."""

    outlook: PlacementOutlook


Answer = (
    Done
    | Refused
    | OutcomeUnknown
    | Expired
    | NotLeader
    | NoSuchQueue
    | NotAllowed
    | NoSuchJob
    | Malformed
    | JobShown
    | QueueShown
    | ConfigShown
    | Serving
    | PlacementExplained
)
