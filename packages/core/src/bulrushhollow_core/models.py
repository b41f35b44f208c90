"""
bulrushhollow_core.models
~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration that operators edit: profiles, workspaces with their guarantees, data centres
with their declared racks, and the service state of endpoints. All objects are immutable: a change
creates a new :class:`Configuration` with the next version.
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
    """Whether work of a profile is a request to an endpoint or a job on workers."""

    REQUEST = "request"
    JOB = "job"


class Urgency(Enum):
    """Urgency of work; the members are ordered from most to least urgent."""

    URGENT = "urgent"
    NORMAL = "normal"
    OVERNIGHT = "overnight"


class Adjacency(Enum):
    """The smallest unit of the topology in which all tasks of a gang must be placed."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


class Service(Enum):
    """Service state that operators have set for a data centre or an endpoint."""

    IN = "in"
    OUT = "out"


class Drain(Enum):
    """What happens to running tasks when their data centre is taken out of service."""

    FINISH = "finish"
    CHECKPOINT = "checkpoint"


class Isolation(Enum):
    """What a data centre does with queued jobs while it can't reach a majority of the voters."""

    HOLD = "hold"
    SERVE = "serve"


class Resources(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Capacity of a worker, or demand of one task.

    :param accelerators: number of whole accelerators.
    :param cores: number of processor cores.
    :param memory_mb: memory in mebibytes.
    """

    accelerators: Int64 = 0
    cores: Int64 = 0
    memory_mb: Int64 = 0


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A gang: tasks of equal size that are started together or not at all.

    :param tasks: number of tasks, at least 1.
    :param per_task: resources that each task needs on its worker.
    :param adjacency: the unit in which all tasks must be placed.
    """

    tasks: Int64 = 1
    per_task: Resources = Resources()
    adjacency: Adjacency = Adjacency.DATA_CENTRE


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Capacity in one data centre that a workspace can claim at any time.

    :param name: unique within the workspace.
    :param data_centre: the data centre that has the capacity.
    :param shape: the gang for which capacity can be claimed.
    :param count: number of such gangs that can be claimed at the same time.
    """

    name: GuaranteeName
    data_centre: DataCentreId
    shape: Shape
    count: Int64 = 1


class Workspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A team and its share of the capacity.

    :param id: unique name.
    :param weight: weight in the fair share of capacity beyond the guarantees.
    :param accelerator_quota: maximum number of accelerators that its jobs may hold at the same
        time; None means no limit.
    :param guarantees: capacity that it can claim at any time.
    """

    id: WorkspaceId
    weight: Int64 = 1
    accelerator_quota: Int64 | None = None
    guarantees: tuple[Guarantee, ...] = ()


class Profile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A class of work; a caller names the profile of each request and job.

    :param name: unique name.
    :param kind: request or job.
    :param workspace: the workspace whose shares and quota the work counts against.
    :param urgency: urgency of the work.
    :param idempotent: whether running the work twice is harmless.
    :param deadline: seconds from arrival within which a request must be answered, or by which a
        job should end.
    :param service: requests only: name of the service that runs them, as endpoints announce it.
    :param shape: jobs only: the gang.
    :param guarantee: jobs only: the workspace's guarantee that such a job claims, if any. The
        job's shape must be the guarantee's shape.
    :param checkpointable: jobs only: whether tasks can be checkpointed and resumed.
    :param run_limit: jobs only: longest run, in seconds; a longer run is stopped.
    :param expected_run: jobs only: declared duration of a run, in seconds; often very inaccurate.
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
    """Declared capacity of a rack whose workers are all equal."""

    id: RackId
    workers: Int64
    per_worker: Resources


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A data centre and its service state.

    :param id: unique name.
    :param region: name of the region; data centres of one region are close to each other.
    :param racks: declared capacity.
    :param isolation: what to do with queued jobs while the data centre is cut off from the log.
    :param service: whether it is in service.
    :param drain: what happens to running tasks while it is out of service.
    """

    id: DataCentreId
    region: str = ""
    racks: tuple[Rack, ...] = ()
    isolation: Isolation = Isolation.HOLD
    service: Service = Service.IN
    drain: Drain = Drain.FINISH


class SwitchVersions(msgspec.Struct, frozen=True):
    """
    Configuration versions in which the states of a data centre last changed.

    :param service: version that took the data centre out of service or put it back in.
    :param isolation: version that last set its isolation.
    """

    service: Version
    isolation: Version


class Configuration(msgspec.Struct, frozen=True):
    """
    Everything that operators have set, as of one version.

    :param version: number of the last accepted change; 0 before the first change.
    :param out_endpoints: endpoints that are out of service.
    :param switched_by_data_centre: versions that last changed the states of each data centre.
    """

    version: Version = Version(0)
    profiles_by_name: dict[ProfileName, Profile] = {}
    workspaces_by_id: dict[WorkspaceId, Workspace] = {}
    data_centres_by_id: dict[DataCentreId, DataCentre] = {}
    out_endpoints: frozenset[EndpointId] = frozenset()
    switched_by_data_centre: dict[DataCentreId, SwitchVersions] = {}
