"""
bulrushhollow_core.models
~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration that operators edit: profiles, workspaces with their guarantees, data centres
with their declared racks, and the service state of endpoints. All of it is immutable: a change
makes a new :class:`Configuration` with the next version.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import (
    DataCentreId,
    EndpointId,
    GuaranteeName,
    Int64,
    ProfileName,
    RackId,
    Version,
    WorkspaceId,
)


class WorkKind(Enum):
    """How work of a profile is carried out."""

    REQUEST = "request"
    JOB = "job"


class Urgency(Enum):
    """Class of urgency, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    OVERNIGHT = "overnight"


class Adjacency(Enum):
    """The smallest domain that must hold all tasks of a gang."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


class Service(Enum):
    """Whether operators have a data centre or an endpoint in service."""

    IN = "in"
    OUT = "out"


class Drain(Enum):
    """What happens to running tasks when their data centre is taken out."""

    FINISH = "finish"
    CHECKPOINT = "checkpoint"


class Isolation(Enum):
    """What a data centre does with queued jobs while the log's majority is out of its reach."""

    HOLD = "hold"
    SERVE = "serve"


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Capacity of a worker, or the need of one task.

    :param accelerators: whole accelerators.
    :param cores: processor cores.
    :param memory_mb: memory in mebibytes.
    """

    accelerators: Int64 = 0
    cores: Int64 = 0
    memory_mb: Int64 = 0


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A gang: equal tasks that run together or not at all.

    :param tasks: number of tasks, at least 1.
    :param per_task: what each task needs on its worker.
    :param adjacency: the domain that must hold all tasks.
    """

    tasks: Int64 = 1
    per_task: Resources = Resources()
    adjacency: Adjacency = Adjacency.DATA_CENTRE


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Capacity that a workspace can claim at any time in one data centre.

    :param name: unique within the workspace.
    :param data_centre: where the capacity is.
    :param shape: the gang that can be claimed.
    :param count: how many such gangs can be claimed at once.
    """

    name: GuaranteeName
    data_centre: DataCentreId
    shape: Shape
    count: Int64 = 1


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A team with a share of the capacity.

    :param id: unique name.
    :param weight: share of capacity beyond guarantees, relative to other workspaces.
    :param accelerator_quota: most accelerators its jobs may hold at once; None is no limit.
    :param guarantees: what it can claim at any time.
    """

    id: WorkspaceId
    weight: Int64 = 1
    accelerator_quota: Int64 | None = None
    guarantees: tuple[Guarantee, ...] = ()


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A class of work that callers pick from.

    :param name: unique name.
    :param kind: request or job.
    :param workspace: the workspace the work counts against.
    :param urgency: class of urgency.
    :param idempotent: whether a second run is harmless.
    :param deadline: seconds from arrival within which a request must be answered, or by which a
        job should end.
    :param service: requests only: name of the service that endpoints announce.
    :param shape: jobs only: the gang.
    :param guarantee: jobs only: the workspace's guarantee that such a job claims, if any. The
        job's shape must be the guarantee's shape.
    :param checkpointable: jobs only: whether tasks can be checkpointed and resumed.
    :param run_limit: jobs only: seconds after which a run is stopped.
    :param expected_run: jobs only: seconds a run is declared to take; often far off.
    """

    name: ProfileName
    kind: WorkKind
    workspace: WorkspaceId
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    deadline: float = 30.0
    service: str = ""
    shape: Shape = Shape()
    guarantee: GuaranteeName | None = None
    checkpointable: bool = False
    run_limit: float = 86_400.0
    expected_run: float = 3_600.0


class Rack(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Declared capacity: a rack of equal workers."""

    id: RackId
    workers: Int64
    per_worker: Resources


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A data centre and its service state.

    :param id: unique name.
    :param region: data centres of one region are close to each other.
    :param racks: declared capacity.
    :param isolation: what to do with queued jobs while cut off.
    :param service: whether it is in service.
    :param drain: what happens to running tasks while it is out.
    """

    id: DataCentreId
    region: str = ""
    racks: tuple[Rack, ...] = ()
    isolation: Isolation = Isolation.HOLD
    service: Service = Service.IN
    drain: Drain = Drain.FINISH


class SwitchVersions(msgspec.Struct, frozen=True):
    """
    When the states of a data centre last changed.

    :param service: version that took it out of service or put it in.
    :param isolation: version that set its isolation.
    """

    service: Version
    isolation: Version


class Configuration(msgspec.Struct, frozen=True):
    """
    Everything operators have set, as of one version.

    :param version: number of the last accepted change; 0 before the first.
    :param switched_by_data_centre: versions that made each data centre what it is.
    """

    version: Version = Version(0)
    profiles_by_name: dict[ProfileName, Profile] = {}
    workspaces_by_id: dict[WorkspaceId, Workspace] = {}
    data_centres_by_id: dict[DataCentreId, DataCentre] = {}
    out_endpoints: frozenset[EndpointId] = frozenset()
    switched_by_data_centre: dict[DataCentreId, SwitchVersions] = {}
