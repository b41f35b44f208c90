"""
bulrushhollow_core.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~

Bodies of the HTTP API other than changes and refusals: the submission of a job, the state of jobs,
and the status of data centres, endpoints and instances.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    EndpointId,
    Epoch,
    InstanceId,
    InstanceName,
    JobId,
    LogIndex,
    ProfileName,
    Term,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import Drain, Isolation, Service
from bulrushhollow_core.outcomes import Execution, Reason


class SubmitRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Submission of a job: ``POST /v1/jobs``.

    :param job_id: chosen by the caller; a resend with the same id finds the same job.
    :param payload: passed to each task unchanged.
    :param data_centre: where to run it; None lets the scheduler choose.
    """

    job_id: JobId
    profile: ProfileName
    payload: str = ""
    data_centre: DataCentreId | None = None


class JobStage(Enum):
    """Stage of a job between its submission and its end."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    ENDED = "ended"


class JobEnd(Enum):
    """Result of a job that has ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class JobAnswer(msgspec.Struct, frozen=True):
    """
    State of one job.

    :param data_centre: the data centre that the job is assigned to, once that is decided.
    :param attempt: number of the latest start; 0 before the first start.
    :param end: how the job ended; None until then.
    :param reason: why the job waits, or why it ended without success.
    :param detail: one sentence for human readers.
    :param execution: whether any task of the job ran.
    """

    job: JobId
    state: JobStage
    data_centre: DataCentreId | None = None
    attempt: Attempt = Attempt(0)
    end: JobEnd | None = None
    reason: Reason | None = None
    detail: str = ""
    execution: Execution = Execution.NOT_RUN
    profile: ProfileName = ProfileName("")
    workspace: WorkspaceId = WorkspaceId("")


class DataCentreStatus(msgspec.Struct, frozen=True):
    """
    State of one data centre as the answering instance knows it: ``GET /v1/datacentres``.

    :param holder: instance that holds the data centre's lease; None if no holder is known.
    :param epoch: fencing token of that lease.
    :param service: the service state in the accepted configuration.
    :param in_force: whether that state is known to be in force in the data centre.
    :param unreachable_for: seconds since the last message from the data centre; 0 while it is
        reachable.
    """

    id: DataCentreId
    service: Service
    drain: Drain = Drain.FINISH
    isolation: Isolation = Isolation.HOLD
    in_force: bool = False
    holder: InstanceId | None = None
    epoch: Epoch = Epoch(0)
    workers: int = 0
    accelerators: int = 0
    accelerators_used: int = 0
    jobs_queued: int = 0
    jobs_running: int = 0
    unreachable_for: float = 0.0
    note: str = ""


class EndpointStatus(msgspec.Struct, frozen=True):
    """
    State of one endpoint as the answering instance knows it: ``GET /v1/endpoints``.

    :param service_name: name of the service that the endpoint offers.
    :param service: the service state that operators have set.
    :param leaving: whether the endpoint announced that it accepts no new work.
    :param ejected: whether outlier detection has ejected the endpoint, so that it gets no new work.
    :param heard_ago: seconds since its last announcement; None if it never announced itself.
    """

    id: EndpointId
    service: Service
    service_name: str = ""
    data_centre: DataCentreId | None = None
    address: str = ""
    slots: int = 0
    slots_used: int = 0
    connections: int = 0
    leaving: bool = False
    ejected: bool = False
    heard_ago: float | None = None


class InstanceStatus(msgspec.Struct, frozen=True):
    """
    State of the answering instance: ``GET /v1/status``.

    :param leader: leader of the replicated log; None if it is not known.
    :param last_index: last entry of this instance's log, committed or not.
    :param configuration_version: configuration version that this instance has applied.
    :param holds_lease: whether the instance holds its data centre's lease.
    :param voter: whether the instance is a voter of the replicated log.
    """

    name: InstanceName
    instance: InstanceId
    data_centre: DataCentreId
    ready: bool
    leader: InstanceId | None = None
    term: Term = Term(0)
    committed: LogIndex = LogIndex(0)
    last_index: LogIndex = LogIndex(0)
    applied: LogIndex = LogIndex(0)
    configuration_version: Version = Version(0)
    voter: bool = False
    holds_lease: bool = False
    epoch: Epoch = Epoch(0)
    requests_queued: int = 0
    requests_in_flight: int = 0
    jobs_queued: int = 0
    jobs_running: int = 0
    peers_reachable: tuple[InstanceName, ...] = ()
    peers_unreachable: tuple[InstanceName, ...] = ()
    shutting_down: bool = False


class RecoveryAnswer(msgspec.Struct, frozen=True, tag="recovered"):
    """
    The answering instance has become the only voter of the log: ``POST /v1/recover``.

    :param last_index: last entry of the log; changes that were acknowledged in later entries, if
        any, are lost.
    :param commit_index: last entry that this instance knew to be committed; later entries now
        count as committed too.
    :param former_voters: instances whose data folders must be emptied before they start again.
    """

    last_index: LogIndex
    commit_index: LogIndex
    former_voters: tuple[InstanceId, ...]
