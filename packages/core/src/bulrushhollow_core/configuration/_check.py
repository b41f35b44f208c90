"""
bulrushhollow_core.configuration._check
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether an edit is valid against the present configuration.
"""

from collections.abc import Iterator

from bulrushhollow_core.changes import (
    Edit,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    RemoveProfile,
    RemoveWorkspace,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.configuration._edits import apply_edit
from bulrushhollow_core.configuration._fit import check_guarantees_fit
from bulrushhollow_core.configuration._validity import (
    MAX_AMOUNT,
    MAX_GUARANTEE_COUNT,
    MAX_GUARANTEES,
    MAX_OUT_ENDPOINTS,
    MAX_RACKS,
    MAX_WORKERS_PER_RACK,
    check_count,
    check_duration,
    check_name,
    check_resources,
    check_shape,
    first,
    invalid,
)
from bulrushhollow_core.ids import DataCentreId
from bulrushhollow_core.models import (
    Configuration,
    DataCentre,
    Guarantee,
    Profile,
    Service,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.outcomes import Reason, Refusal

Checks = Iterator[Refusal | None]


def check_edit(edit: Edit, configuration: Configuration) -> Refusal | None:
    """
    Check an edit against the configuration that it would change.

    :return: None if the edit is valid, else why not. The same arguments always give the same
        result, so that every replica of the log agrees.
    """
    return first(_checks(edit, configuration))


def _checks(edit: Edit, configuration: Configuration) -> Checks:
    match edit:
        case PutProfile(profile=profile):
            return _put_profile(profile, configuration)
        case RemoveProfile(name=name):
            known = name in configuration.profiles_by_name
            return iter([None if known else Refusal(Reason.NO_SUCH_PROFILE, f"no profile {name}")])
        case PutWorkspace(workspace=workspace):
            return _put_workspace(workspace, configuration)
        case RemoveWorkspace():
            return _remove_workspace(edit, configuration)
        case PutDataCentre(data_centre=data_centre):
            return _put_data_centre(data_centre, configuration)
        case SetDataCentreService(id=data_centre_id):
            return iter([_known_data_centre(data_centre_id, configuration)])
        case SetEndpointService():
            return _set_endpoint_service(edit, configuration)


def _put_profile(profile: Profile, configuration: Configuration) -> Checks:
    yield check_name("profile", profile.name)
    yield check_duration("deadline", profile.deadline)
    yield check_duration("run_limit", profile.run_limit)
    yield check_duration("expected_run", profile.expected_run)
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    if workspace is None:
        yield Refusal(Reason.NO_SUCH_WORKSPACE, f"no workspace {profile.workspace}")
        return
    if profile.kind is WorkKind.REQUEST:
        yield from _request_profile(profile)
    else:
        yield from _job_profile(profile, workspace)


def _request_profile(profile: Profile) -> Checks:
    yield check_name("service", profile.service)
    if profile.guarantee is not None or profile.checkpointable:
        yield invalid("a request profile has no guarantee and no checkpoints")


def _job_profile(profile: Profile, workspace: Workspace) -> Checks:
    if profile.service:
        yield invalid("a job profile names no service")
    yield check_shape(f"profile {profile.name}", profile.shape)
    if profile.guarantee is not None:
        yield _claim(profile, workspace)


def _claim(profile: Profile, workspace: Workspace) -> Refusal | None:
    """Check that the shape a profile asks for is the shape that it claims."""
    shapes_by_name = {guarantee.name: guarantee.shape for guarantee in workspace.guarantees}
    if profile.guarantee not in shapes_by_name:
        return invalid(f"workspace {workspace.id} has no guarantee {profile.guarantee}")
    if shapes_by_name[profile.guarantee] != profile.shape:
        return invalid(f"the shape of {profile.name} is not that of {profile.guarantee}")
    return None


def _put_workspace(workspace: Workspace, configuration: Configuration) -> Checks:
    yield check_name("workspace", workspace.id)
    yield check_count("weight", workspace.weight, 1, MAX_AMOUNT)
    yield check_count("number of guarantees", len(workspace.guarantees), 0, MAX_GUARANTEES)
    names = [guarantee.name for guarantee in workspace.guarantees]
    if len(set(names)) < len(names):
        yield invalid(f"two guarantees of {workspace.id} have one name")
    for guarantee in workspace.guarantees:
        yield from _guarantee(guarantee, configuration)
    yield _quota(workspace)
    yield _profiles_of(workspace, configuration)
    yield from _fits_where_changed(workspace, configuration)


def _guarantee(guarantee: Guarantee, configuration: Configuration) -> Checks:
    yield check_name("guarantee", guarantee.name)
    yield check_count(f"count of {guarantee.name}", guarantee.count, 1, MAX_GUARANTEE_COUNT)
    yield check_shape(f"guarantee {guarantee.name}", guarantee.shape)
    yield _known_data_centre(guarantee.data_centre, configuration)


def _quota(workspace: Workspace) -> Refusal | None:
    """A quota below what is guaranteed would make a guarantee that can't be claimed."""
    quota = workspace.accelerator_quota
    if quota is None:
        return None
    guaranteed = sum(
        guarantee.count * guarantee.shape.tasks * guarantee.shape.per_task.accelerators
        for guarantee in workspace.guarantees
    )
    if quota < guaranteed:
        return invalid(f"quota of {quota} accelerators is below the guaranteed {guaranteed}")
    return check_count("accelerator_quota", quota, 0, MAX_AMOUNT)


def _profiles_of(workspace: Workspace, configuration: Configuration) -> Refusal | None:
    """Check that no profile loses the guarantee that it claims."""
    claims = (
        _claim(profile, workspace)
        for profile in configuration.profiles_by_name.values()
        if profile.workspace == workspace.id and profile.guarantee is not None
    )
    broken = first(claims)
    return None if broken is None else Refusal(Reason.STILL_IN_USE, broken.detail)


def _fits_where_changed(workspace: Workspace, configuration: Configuration) -> Checks:
    """Pack only the data centres in which the workspace's guarantees change."""
    present = configuration.workspaces_by_id.get(workspace.id, Workspace(id=workspace.id))
    changed = {
        guarantee.data_centre
        for guarantee in workspace.guarantees
        if guarantee not in present.guarantees
    }
    after = apply_edit(PutWorkspace(workspace), configuration)
    return (check_guarantees_fit(after, data_centre) for data_centre in sorted(changed))


def _remove_workspace(edit: RemoveWorkspace, configuration: Configuration) -> Checks:
    if edit.id not in configuration.workspaces_by_id:
        yield Refusal(Reason.NO_SUCH_WORKSPACE, f"no workspace {edit.id}")
    users = sorted(
        profile.name
        for profile in configuration.profiles_by_name.values()
        if profile.workspace == edit.id
    )
    if users:
        yield Refusal(Reason.STILL_IN_USE, f"workspace {edit.id} is used by profile {users[0]}")


def _put_data_centre(data_centre: DataCentre, configuration: Configuration) -> Checks:
    yield check_name("data centre", data_centre.id)
    yield check_count("number of racks", len(data_centre.racks), 0, MAX_RACKS)
    ids = [rack.id for rack in data_centre.racks]
    if len(set(ids)) < len(ids):
        yield invalid(f"two racks of {data_centre.id} have one name")
    for rack in data_centre.racks:
        yield check_name("rack", rack.id)
        yield check_count(f"workers of {rack.id}", rack.workers, 1, MAX_WORKERS_PER_RACK)
        yield check_resources(f"a worker of {rack.id}", rack.per_worker)
    yield check_guarantees_fit(
        apply_edit(PutDataCentre(data_centre), configuration), data_centre.id
    )


def _set_endpoint_service(edit: SetEndpointService, configuration: Configuration) -> Checks:
    yield check_name("endpoint", edit.id)
    if edit.service is Service.OUT and len(configuration.out_endpoints) >= MAX_OUT_ENDPOINTS:
        yield invalid(f"{MAX_OUT_ENDPOINTS} endpoints are out already")


def _known_data_centre(id: DataCentreId, configuration: Configuration) -> Refusal | None:
    if id in configuration.data_centres_by_id:
        return None
    return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"no data centre {id}")
