"""
bulrushhollow_core.configuration._check
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks whether an edit is valid against the current configuration.
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
    first_refusal,
    invalid_refusal,
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
"""Results of single checks in order; None for a check that passed."""


def check_edit(edit: Edit, configuration: Configuration) -> Refusal | None:
    """
    Check an edit against the configuration that it would change.

    :return: None if the edit is valid, else a refusal with the reason. The result depends on the
        arguments only, so that all replicas of the log agree.
    """
    return first_refusal(_checks_of(edit, configuration))


def _checks_of(edit: Edit, configuration: Configuration) -> Checks:
    match edit:
        case PutProfile(profile=profile):
            return _check_put_profile(profile, configuration)
        case RemoveProfile(name=name):
            exists = name in configuration.profiles_by_name
            return iter([None if exists else Refusal(Reason.NO_SUCH_PROFILE, f"no profile {name}")])
        case PutWorkspace(workspace=workspace):
            return _check_put_workspace(workspace, configuration)
        case RemoveWorkspace():
            return _check_remove_workspace(edit, configuration)
        case PutDataCentre(data_centre=data_centre):
            return _check_put_data_centre(data_centre, configuration)
        case SetDataCentreService(id=data_centre_id):
            return iter([_check_data_centre_exists(data_centre_id, configuration)])
        case SetEndpointService():
            return _check_set_endpoint_service(edit, configuration)


def _check_put_profile(profile: Profile, configuration: Configuration) -> Checks:
    yield check_name("profile", profile.name)
    yield check_duration("deadline", profile.deadline)
    yield check_duration("run_limit", profile.run_limit)
    yield check_duration("expected_run", profile.expected_run)
    workspace = configuration.workspaces_by_id.get(profile.workspace)
    if workspace is None:
        yield Refusal(Reason.NO_SUCH_WORKSPACE, f"no workspace {profile.workspace}")
        return
    if profile.kind is WorkKind.REQUEST:
        yield from _check_request_profile(profile)
    else:
        yield from _check_job_profile(profile, workspace)


def _check_request_profile(profile: Profile) -> Checks:
    yield check_name("service", profile.service)
    if profile.guarantee is not None or profile.checkpointable:
        yield invalid_refusal("a request profile can't have a guarantee or checkpoints")


def _check_job_profile(profile: Profile, workspace: Workspace) -> Checks:
    if profile.service:
        yield invalid_refusal("a job profile can't name a service")
    yield check_shape(f"profile {profile.name}", profile.shape)
    if profile.guarantee is not None:
        yield _check_claim(profile, workspace)


def _check_claim(profile: Profile, workspace: Workspace) -> Refusal | None:
    """Check that the guarantee that a profile claims exists and has the profile's shape."""
    shapes_by_name = {guarantee.name: guarantee.shape for guarantee in workspace.guarantees}
    if profile.guarantee not in shapes_by_name:
        return invalid_refusal(f"workspace {workspace.id} has no guarantee {profile.guarantee}")
    if shapes_by_name[profile.guarantee] != profile.shape:
        return invalid_refusal(
            f"the shape of profile {profile.name} is not that of guarantee {profile.guarantee}"
        )
    return None


def _check_put_workspace(workspace: Workspace, configuration: Configuration) -> Checks:
    yield check_name("workspace", workspace.id)
    yield check_count("weight", workspace.weight, 1, MAX_AMOUNT)
    yield check_count("number of guarantees", len(workspace.guarantees), 0, MAX_GUARANTEES)
    names = [guarantee.name for guarantee in workspace.guarantees]
    if len(set(names)) < len(names):
        yield invalid_refusal(f"two guarantees of workspace {workspace.id} have the same name")
    for guarantee in workspace.guarantees:
        yield from _check_guarantee(guarantee, configuration)
    yield _check_quota(workspace)
    yield _check_claims_kept(workspace, configuration)
    yield from _check_changed_guarantees_fit(workspace, configuration)


def _check_guarantee(guarantee: Guarantee, configuration: Configuration) -> Checks:
    yield check_name("guarantee", guarantee.name)
    yield check_count(f"count of {guarantee.name}", guarantee.count, 1, MAX_GUARANTEE_COUNT)
    yield check_shape(f"guarantee {guarantee.name}", guarantee.shape)
    yield _check_data_centre_exists(guarantee.data_centre, configuration)


def _check_quota(workspace: Workspace) -> Refusal | None:
    """Check that the quota is at least what is guaranteed, else a guarantee can't be claimed."""
    quota = workspace.accelerator_quota
    if quota is None:
        return None
    guaranteed = sum(
        guarantee.count * guarantee.shape.tasks * guarantee.shape.per_task.accelerators
        for guarantee in workspace.guarantees
    )
    if quota < guaranteed:
        return invalid_refusal(
            f"quota of {quota} accelerators is below the guaranteed {guaranteed}"
        )
    return check_count("accelerator_quota", quota, 0, MAX_AMOUNT)


def _check_claims_kept(workspace: Workspace, configuration: Configuration) -> Refusal | None:
    """Check that the workspace keeps every guarantee that a profile claims, with its shape."""
    claims = (
        _check_claim(profile, workspace)
        for profile in configuration.profiles_by_name.values()
        if profile.workspace == workspace.id and profile.guarantee is not None
    )
    refusal = first_refusal(claims)
    return None if refusal is None else Refusal(Reason.STILL_IN_USE, refusal.detail)


def _check_changed_guarantees_fit(workspace: Workspace, configuration: Configuration) -> Checks:
    """Check the packing of the data centres in which a guarantee is new or changed."""
    current = configuration.workspaces_by_id.get(workspace.id, Workspace(id=workspace.id))
    changed = {
        guarantee.data_centre
        for guarantee in workspace.guarantees
        if guarantee not in current.guarantees
    }
    edited = apply_edit(PutWorkspace(workspace), configuration)
    return (check_guarantees_fit(edited, data_centre) for data_centre in sorted(changed))


def _check_remove_workspace(edit: RemoveWorkspace, configuration: Configuration) -> Checks:
    if edit.id not in configuration.workspaces_by_id:
        yield Refusal(Reason.NO_SUCH_WORKSPACE, f"no workspace {edit.id}")
    profile_names = sorted(
        profile.name
        for profile in configuration.profiles_by_name.values()
        if profile.workspace == edit.id
    )
    if profile_names:
        yield Refusal(
            Reason.STILL_IN_USE, f"workspace {edit.id} is used by profile {profile_names[0]}"
        )


def _check_put_data_centre(data_centre: DataCentre, configuration: Configuration) -> Checks:
    yield check_name("data centre", data_centre.id)
    yield check_count("number of racks", len(data_centre.racks), 0, MAX_RACKS)
    ids = [rack.id for rack in data_centre.racks]
    if len(set(ids)) < len(ids):
        yield invalid_refusal(f"two racks of data centre {data_centre.id} have the same id")
    for rack in data_centre.racks:
        yield check_name("rack", rack.id)
        yield check_count(f"workers of {rack.id}", rack.workers, 1, MAX_WORKERS_PER_RACK)
        yield check_resources(f"a worker of {rack.id}", rack.per_worker)
    yield check_guarantees_fit(
        apply_edit(PutDataCentre(data_centre), configuration), data_centre.id
    )


def _check_set_endpoint_service(edit: SetEndpointService, configuration: Configuration) -> Checks:
    yield check_name("endpoint", edit.id)
    if edit.service is Service.OUT and len(configuration.out_endpoints) >= MAX_OUT_ENDPOINTS:
        yield invalid_refusal(f"{MAX_OUT_ENDPOINTS} endpoints are already out of service")


def _check_data_centre_exists(id: DataCentreId, configuration: Configuration) -> Refusal | None:
    if id in configuration.data_centres_by_id:
        return None
    return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"no data centre {id}")
