"""
bulrushhollow_core.changes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Changes of configuration as operators send them and as the replicated log carries them, and the
answers to them.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.ids import (
    INT64,
    ChangeId,
    DataCentreId,
    EndpointId,
    InstanceName,
    ProfileName,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import DataCentre, Drain, Profile, Service, Workspace


class PutProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="put_profile"):
    """Create or replace a profile."""

    profile: Profile


class RemoveProfile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="remove_profile"):
    """Remove a profile; work already submitted with it goes on."""

    name: ProfileName


class PutWorkspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="put_workspace"):
    """Create or replace a workspace with its guarantees."""

    workspace: Workspace


class RemoveWorkspace(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="remove_workspace"
):
    """Remove a workspace that no profile names any more."""

    id: WorkspaceId


class PutDataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="put_datacentre"):
    """
    Create a data centre or replace its declaration. The service state and the drain of a data
    centre that exists stay as they are: only :class:`SetDataCentreService` changes those.
    """

    data_centre: DataCentre


class SetDataCentreService(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="set_datacentre_service"
):
    """Take a data centre out of service or back in."""

    id: DataCentreId
    service: Service
    drain: Drain = Drain.FINISH


class SetEndpointService(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="set_endpoint_service"
):
    """Take an endpoint out of service or back in, whether or not it has announced itself."""

    id: EndpointId
    service: Service


Edit = (
    PutProfile
    | RemoveProfile
    | PutWorkspace
    | RemoveWorkspace
    | PutDataCentre
    | SetDataCentreService
    | SetEndpointService
)


class ChangeConfiguration(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="change_configuration"
):
    """
    One change, as sent and as logged.

    :param change_id: chosen by the sender; a resend with the same id gets the first answer.
    :param edit: what to change.
    :param base_version: the version the change was built on; a change built on any other version
        than the present one is a conflict. None applies to whatever version is present, which
        only the edits that set a service state may use.
    """

    change_id: ChangeId
    edit: Edit
    base_version: Annotated[Version, INT64] | None = None


class ChangeAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """
    The change is durable as this version.

    :param in_force_in: instances that have applied it.
    :param not_yet_in: instances that had not said so when the answer was given.
    :param note: what an operator should know, such as a data centre that is cut off.
    """

    version: Version
    in_force_in: tuple[InstanceName, ...] = ()
    not_yet_in: tuple[InstanceName, ...] = ()
    note: str = ""
