"""
bulrushhollow_core.configuration._edits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What each edit makes of a configuration.
"""

from typing import TypeVar

import msgspec

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
from bulrushhollow_core.ids import Version
from bulrushhollow_core.models import Configuration, DataCentre, Service, Switched

Key = TypeVar("Key")
Value = TypeVar("Value")


def apply_edit(edit: Edit, configuration: Configuration) -> Configuration:
    """
    Apply a valid edit.

    :return: a new configuration with the next version.
    """
    after = _changed(edit, configuration)
    return msgspec.structs.replace(after, version=_next_version(configuration))


def _changed(edit: Edit, before: Configuration) -> Configuration:
    replace = msgspec.structs.replace
    match edit:
        case PutProfile(profile=profile):
            profiles = {**before.profiles_by_name, profile.name: profile}
            return replace(before, profiles_by_name=profiles)
        case RemoveProfile(name=name):
            return replace(before, profiles_by_name=_without(before.profiles_by_name, name))
        case PutWorkspace(workspace=workspace):
            workspaces = {**before.workspaces_by_id, workspace.id: workspace}
            return replace(before, workspaces_by_id=workspaces)
        case RemoveWorkspace(id=id):
            return replace(before, workspaces_by_id=_without(before.workspaces_by_id, id))
        case PutDataCentre(data_centre=data_centre):
            declared = _keep_service(data_centre, before)
            return _with_data_centre(before, declared)
        case SetDataCentreService():
            present = before.data_centres_by_id[edit.id]
            changed = replace(present, service=edit.service, drain=edit.drain)
            return _with_data_centre(before, changed)
        case SetEndpointService(id=endpoint, service=service):
            others = before.out_endpoints - {endpoint}
            out = others | {endpoint} if service is Service.OUT else others
            return replace(before, out_endpoints=out)


def _without(items_by_key: dict[Key, Value], key: Key) -> dict[Key, Value]:
    return {present: item for present, item in items_by_key.items() if present != key}


def _keep_service(data_centre: DataCentre, before: Configuration) -> DataCentre:
    present = before.data_centres_by_id.get(data_centre.id)
    if present is None:
        return data_centre
    return msgspec.structs.replace(data_centre, service=present.service, drain=present.drain)


def _next_version(before: Configuration) -> Version:
    return Version(before.version + 1)


def _with_data_centre(before: Configuration, data_centre: DataCentre) -> Configuration:
    id = data_centre.id
    switched = {**before.switched_by_data_centre, id: _switched(data_centre, before)}
    return msgspec.structs.replace(
        before,
        data_centres_by_id={**before.data_centres_by_id, id: data_centre},
        switched_by_data_centre=switched,
    )


def _switched(after: DataCentre, before: Configuration) -> Switched:
    present = before.data_centres_by_id.get(after.id)
    version = _next_version(before)
    if present is None:
        return Switched(version, version)
    earlier = before.switched_by_data_centre[after.id]
    return Switched(
        earlier.service if present.service is after.service else version,
        earlier.isolation if present.isolation is after.isolation else version,
    )
