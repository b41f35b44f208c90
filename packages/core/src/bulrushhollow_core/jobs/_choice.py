"""
bulrushhollow_core.jobs._choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the data centre of a job.
"""

from collections.abc import Iterable
from functools import lru_cache

from bulrushhollow_core.ids import DataCentreId, GuaranteeName, WorkerId, WorkspaceId
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements
from bulrushhollow_core.jobs._packing import fits_empty
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

EVERYBODY = WorkspaceId("")
EXTRA = GuaranteeName("")
"""Names under which all guarantees are packed together with one more gang."""


def choose_data_centre(
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    """
    Choose where a job is queued: where its guarantee is, or else in the data centre in service
    where its shape fits best: the fullest that can start it at once, or the least loaded.

    :param loads_by_data_centre: what is known of the load; a data centre may be missing.
    :return: the data centre, or why the job can't be accepted.
    """
    fitting = [
        data_centre
        for data_centre in configuration.data_centres_by_id.values()
        if profile_fits(profile, data_centre, configuration)
    ]
    if not fitting:
        return Refusal(Reason.NEVER_FITS, _misfit(profile.shape, configuration))
    quota = _quota(profile, configuration)
    size = profile.shape.tasks * profile.shape.per_task.accelerators
    if quota is not None and size > quota:
        return Refusal(Reason.QUOTA, f"the gang needs {size} accelerators, the quota is {quota}")
    in_service = [dc for dc in fitting if dc.service is Service.IN]
    if not in_service:
        return Refusal(Reason.DATA_CENTRE_OUT, "every data centre that could run it is out")
    home = _home(profile, configuration)
    if any(data_centre.id == home for data_centre in in_service):
        assert home is not None
        return home
    loads = (loads_by_data_centre.get(dc.id, DataCentreLoad(dc.id)) for dc in in_service)
    return min(loads, key=lambda load: _preference(load, profile.shape)).data_centre


def shape_fits(shape: Shape, data_centre: DataCentre) -> bool:
    """Return whether a gang fits into the declared racks of a data centre when they are empty."""
    racks = ((rack.workers, tasks_per_worker(rack.per_worker, shape)) for rack in data_centre.racks)
    return fits_empty(shape, racks)


def profile_fits(profile: Profile, data_centre: DataCentre, configuration: Configuration) -> bool:
    """
    Return whether jobs of a profile can ever start in a data centre. Work that can't be preempted
    must fit beside all guarantees, since it never borrows from them.
    """
    if not shape_fits(profile.shape, data_centre):
        return False
    if profile.idempotent or profile.checkpointable:
        return True
    guarantees = tuple(
        Guarantee(GuaranteeName(f"{workspace.id}/{guarantee.name}"), *_place_and_size(guarantee))
        for workspace in configuration.workspaces_by_id.values()
        for guarantee in workspace.guarantees
        if guarantee.data_centre == data_centre.id
    )
    is_claim = _home(profile, configuration) == data_centre.id
    extra = () if is_claim else (Guarantee(EXTRA, data_centre.id, profile.shape),)
    return _all_fit(data_centre, guarantees + extra)


@lru_cache(maxsize=256)
def _all_fit(data_centre: DataCentre, guarantees: tuple[Guarantee, ...]) -> bool:
    fleet = Fleet()
    for rack in data_centre.racks:
        for number in range(rack.workers):
            fleet.put(WorkerId(f"{rack.id}/{number}"), rack.id, rack.per_worker)
    placements = GuaranteePlacements(fleet)
    placements.configure(data_centre.id, (Workspace(EVERYBODY, guarantees=guarantees),))
    return not placements.has_unplaced_slots


def _place_and_size(guarantee: Guarantee) -> tuple[DataCentreId, Shape, int]:
    return guarantee.data_centre, guarantee.shape, guarantee.count


def tasks_per_worker(capacity: Resources, shape: Shape) -> int:
    """Return how many tasks of a gang an empty worker takes."""
    need = shape.per_task
    pairs = (
        (capacity.accelerators, need.accelerators),
        (capacity.cores, need.cores),
        (capacity.memory_mb, need.memory_mb),
    )
    return min((has // needs for has, needs in pairs if needs), default=shape.tasks)


def _home(profile: Profile, configuration: Configuration) -> DataCentreId | None:
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    if workspace is None or profile.guarantee is None:
        return None
    homes: Iterable[DataCentreId] = (
        guarantee.data_centre
        for guarantee in workspace.guarantees
        if guarantee.name == profile.guarantee
    )
    return next(iter(homes), None)


def _quota(profile: Profile, configuration: Configuration) -> int | None:
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    return None if workspace is None else workspace.accelerator_quota


def can_start_at_once(shape: Shape, load: DataCentreLoad) -> bool:
    """Return whether a gang is likely to start at once, going by the reported load."""
    size = shape.tasks * shape.per_task.accelerators
    room = load.free if shape.adjacency is Adjacency.DATA_CENTRE else load.best_rack
    return load.heard and load.queued == 0 and room >= size


def _preference(
    load: DataCentreLoad, shape: Shape
) -> tuple[bool, bool, float, float, DataCentreId]:
    """
    Return a sort key, smaller first. Where work starts at once, the fullest data centre is taken,
    so that whole racks stay free elsewhere; otherwise the one with the shortest queue.
    """
    accelerators = max(1, load.accelerators)
    free = load.free / accelerators
    if can_start_at_once(shape, load):
        return (False, False, 0.0, free, load.data_centre)
    return (not load.heard, True, load.queued / accelerators, -free, load.data_centre)


def _misfit(shape: Shape, configuration: Configuration) -> str:
    need = shape.per_task
    wanted = (
        f"{shape.tasks} tasks of {need.accelerators} accelerators, {need.cores} cores and "
        f"{need.memory_mb} MB in one {shape.adjacency.value.replace('_', ' ')}"
    )
    if not configuration.data_centres_by_id:
        return f"no data centre is declared; asked for {wanted}"
    return f"no declared data centre ever has {wanted} beyond what is guaranteed to others"
