"""
bulrushhollow_core.configuration._edits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies edits to a configuration.
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
from bulrushhollow_core.models import Configuration, DataCentre, Service, SwitchVersions

Key = TypeVar("Key")
Value = TypeVar("Value")


def apply_edit(edit: Edit, configuration: Configuration) -> Configuration:
    """
    Apply a valid edit.

    :return: a new configuration with the next version.
    """
    edited = _edited_content(edit, configuration)
    return msgspec.structs.replace(edited, version=_next_version(configuration))


def _edited_content(edit: Edit, configuration: Configuration) -> Configuration:
    """Return a configuration with the edited content and the old version."""
    replace = msgspec.structs.replace
    match edit:
        case PutProfile(profile=profile):
            profiles = {**configuration.profiles_by_name, profile.name: profile}
            return replace(configuration, profiles_by_name=profiles)
        case RemoveProfile(name=name):
            return replace(
                configuration, profiles_by_name=_without(configuration.profiles_by_name, name)
            )
        case PutWorkspace(workspace=workspace):
            workspaces = {**configuration.workspaces_by_id, workspace.id: workspace}
            return replace(configuration, workspaces_by_id=workspaces)
        case RemoveWorkspace(id=id):
            return replace(
                configuration, workspaces_by_id=_without(configuration.workspaces_by_id, id)
            )
        case PutDataCentre(data_centre=data_centre):
            declared = _with_current_service(data_centre, configuration)
            return _with_data_centre(configuration, declared)
        case SetDataCentreService():
            current = configuration.data_centres_by_id[edit.id]
            changed = replace(current, service=edit.service, drain=edit.drain)
            return _with_data_centre(configuration, changed)
        case SetEndpointService(id=endpoint, service=service):
            others = configuration.out_endpoints - {endpoint}
            out_endpoints = others | {endpoint} if service is Service.OUT else others
            return replace(configuration, out_endpoints=out_endpoints)


def _without(items_by_key: dict[Key, Value], key: Key) -> dict[Key, Value]:
    return {other: item for other, item in items_by_key.items() if other != key}


def _with_current_service(data_centre: DataCentre, configuration: Configuration) -> DataCentre:
    """Return a declared data centre with the service state and drain mode that it has now."""
    current = configuration.data_centres_by_id.get(data_centre.id)
    if current is None:
        return data_centre
    return msgspec.structs.replace(data_centre, service=current.service, drain=current.drain)


def _next_version(configuration: Configuration) -> Version:
    return Version(configuration.version + 1)


def _with_data_centre(configuration: Configuration, data_centre: DataCentre) -> Configuration:
    id = data_centre.id
    switched_by_data_centre = {
        **configuration.switched_by_data_centre,
        id: _switched(data_centre, configuration),
    }
    return msgspec.structs.replace(
        configuration,
        data_centres_by_id={**configuration.data_centres_by_id, id: data_centre},
        switched_by_data_centre=switched_by_data_centre,
    )


def _switched(data_centre: DataCentre, configuration: Configuration) -> SwitchVersions:
    """Return the versions that last changed the states of a data centre, after its edit."""
    current = configuration.data_centres_by_id.get(data_centre.id)
    version = _next_version(configuration)
    if current is None:
        return SwitchVersions(version, version)
    previous = configuration.switched_by_data_centre[data_centre.id]
    return SwitchVersions(
        previous.service if current.service is data_centre.service else version,
        previous.isolation if current.isolation is data_centre.isolation else version,
    )
