"""
bulrushhollow_core.jobs._choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the data centre in which a job is queued.
"""

from collections.abc import Iterable
from functools import lru_cache

from bulrushhollow_core.ids import DataCentreId, GuaranteeName, WorkerId, WorkspaceId
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements
from bulrushhollow_core.jobs._packing import fits_into_empty_racks
from bulrushhollow_core.jobs._views import DataCentreLoad
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Guarantee,
    Profile,
    Resources,
    Service,
    Shape,
    Workspace,
)
from bulrushhollow_core.outcomes import Reason, Refusal

ALL_WORKSPACES = WorkspaceId("")
EXTRA_GANG = GuaranteeName("")
"""Names under which the guarantees of all workspaces are packed together with one more gang."""


def choose_data_centre(
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    """
    Choose the data centre in which a job is queued.

    A job with a guarantee goes to the data centre of the guarantee if that is in service. Any
    other job goes to the fullest data centre that can start it at once, or to the one with the
    shortest queue if none can.

    :param loads_by_data_centre: the reported loads; a data centre may be missing.
    :return: the data centre, or the reason why the job can't be accepted.
    """
    fitting = [
        data_centre
        for data_centre in configuration.data_centres_by_id.values()
        if profile_fits(profile, data_centre, configuration)
    ]
    if not fitting:
        return Refusal(Reason.NEVER_FITS, _never_fits_detail(profile.shape, configuration))
    quota = _quota(profile, configuration)
    needed = profile.shape.tasks * profile.shape.per_task.accelerators
    if quota is not None and needed > quota:
        return Refusal(Reason.QUOTA, f"the gang needs {needed} accelerators, the quota is {quota}")
    in_service = [dc for dc in fitting if dc.service is Service.IN]
    if not in_service:
        return Refusal(
            Reason.DATA_CENTRE_OUT, "every data centre that can run the job is out of service"
        )
    guaranteed_in = _guarantee_data_centre(profile, configuration)
    if any(data_centre.id == guaranteed_in for data_centre in in_service):
        assert guaranteed_in is not None
        return guaranteed_in
    loads = (loads_by_data_centre.get(dc.id, DataCentreLoad(dc.id)) for dc in in_service)
    return min(loads, key=lambda load: _preference_key(load, profile.shape)).data_centre


def shape_fits(shape: Shape, data_centre: DataCentre) -> bool:
    """Return whether a gang fits into the empty declared racks of a data centre."""
    racks = ((rack.workers, tasks_per_worker(rack.per_worker, shape)) for rack in data_centre.racks)
    return fits_into_empty_racks(shape, racks)


def profile_fits(profile: Profile, data_centre: DataCentre, configuration: Configuration) -> bool:
    """
    Return whether jobs of a profile can ever start in a data centre. Non-preemptible work must fit
    beside all guarantees, since it never uses their resources.
    """
    if not shape_fits(profile.shape, data_centre):
        return False
    if profile.idempotent or profile.checkpointable:
        return True
    guarantees = tuple(
        Guarantee(GuaranteeName(f"{workspace.id}/{guarantee.name}"), *_without_name(guarantee))
        for workspace in configuration.workspaces_by_id.values()
        for guarantee in workspace.guarantees
        if guarantee.data_centre == data_centre.id
    )
    is_claim = _guarantee_data_centre(profile, configuration) == data_centre.id
    extra = () if is_claim else (Guarantee(EXTRA_GANG, data_centre.id, profile.shape),)
    return _can_place_all(data_centre, guarantees + extra)


@lru_cache(maxsize=256)
def _can_place_all(data_centre: DataCentre, guarantees: tuple[Guarantee, ...]) -> bool:
    fleet = Fleet()
    for rack in data_centre.racks:
        for number in range(rack.workers):
            fleet.put(WorkerId(f"{rack.id}/{number}"), rack.id, rack.per_worker)
    placements = GuaranteePlacements(fleet)
    placements.configure(data_centre.id, (Workspace(ALL_WORKSPACES, guarantees=guarantees),))
    return not placements.has_unplaced_slots


def _without_name(guarantee: Guarantee) -> tuple[DataCentreId, Shape, int]:
    return guarantee.data_centre, guarantee.shape, guarantee.count


def tasks_per_worker(capacity: Resources, shape: Shape) -> int:
    """Return how many tasks of a gang fit on an empty worker."""
    need = shape.per_task
    pairs = (
        (capacity.accelerators, need.accelerators),
        (capacity.cores, need.cores),
        (capacity.memory_mb, need.memory_mb),
    )
    return min((available // needed for available, needed in pairs if needed), default=shape.tasks)


def _guarantee_data_centre(profile: Profile, configuration: Configuration) -> DataCentreId | None:
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    if workspace is None or profile.guarantee is None:
        return None
    data_centres: Iterable[DataCentreId] = (
        guarantee.data_centre
        for guarantee in workspace.guarantees
        if guarantee.name == profile.guarantee
    )
    return next(iter(data_centres), None)


def _quota(profile: Profile, configuration: Configuration) -> int | None:
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    return None if workspace is None else workspace.accelerator_quota


def can_start_at_once(shape: Shape, load: DataCentreLoad) -> bool:
    """Return whether the reported load suggests that a gang starts at once."""
    needed = shape.tasks * shape.per_task.accelerators
    free = load.free if shape.adjacency is Adjacency.DATA_CENTRE else load.best_rack
    return load.heard and load.queued == 0 and free >= needed


def _preference_key(
    load: DataCentreLoad, shape: Shape
) -> tuple[bool, bool, float, float, DataCentreId]:
    """
    Return the sort key of a data centre; the smallest is chosen. If the gang can start at once in
    several data centres, the fullest is chosen, so that whole racks stay free elsewhere. If it can
    start at once in none, the one with the shortest queue is chosen.
    """
    accelerators = max(1, load.accelerators)
    free_share = load.free / accelerators
    if can_start_at_once(shape, load):
        return (False, False, 0.0, free_share, load.data_centre)
    return (not load.heard, True, load.queued / accelerators, -free_share, load.data_centre)


def _never_fits_detail(shape: Shape, configuration: Configuration) -> str:
    need = shape.per_task
    gang = (
        f"{shape.tasks} tasks of {need.accelerators} accelerators, {need.cores} cores and "
        f"{need.memory_mb} MB in one {shape.adjacency.value.replace('_', ' ')}"
    )
    if not configuration.data_centres_by_id:
        return f"no data centre is declared; the job needs {gang}"
    return f"no declared data centre has {gang} beyond what is guaranteed to others"
