"""
bulrushhollow_core.changes
~~~~~~~~~~~~~~~~~~~~~~~~~~

Configuration changes, as operators send them and as the replicated log stores them, and the answers
to them.
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
    """Remove a profile; work that was already submitted with it continues."""

    name: ProfileName


class PutWorkspace(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="put_workspace"):
    """Create or replace a workspace with its guarantees."""

    workspace: Workspace


class RemoveWorkspace(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="remove_workspace"
):
    """Remove a workspace that no profile refers to."""

    id: WorkspaceId


class PutDataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="put_datacentre"):
    """
    Create a data centre or replace its declaration. If the data centre exists, it keeps its service
    state and its drain: only :class:`SetDataCentreService` changes those.
    """

    data_centre: DataCentre


class SetDataCentreService(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="set_datacentre_service"
):
    """Take a data centre out of service or put it back in."""

    id: DataCentreId
    service: Service
    drain: Drain = Drain.FINISH


class SetEndpointService(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="set_endpoint_service"
):
    """Take an endpoint out of service or put it back in; it need not have announced itself."""

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
    A configuration change, as sent by an operator and as stored in the log.

    :param change_id: idempotency key chosen by the sender; a resend with the same id gets the first
        answer.
    :param edit: what to change.
    :param base_version: the version that the change was based on; if it is not the current version,
        the change is refused as a conflict. None skips this check and is allowed only for the edits
        that set a service state.
    """

    change_id: ChangeId
    edit: Edit
    base_version: Annotated[Version, INT64] | None = None


class ChangeAccepted(msgspec.Struct, frozen=True, tag="accepted"):
    """
    The change is durable.

    :param version: the configuration version that the change created; for a change that only the
        data centre has accepted so far, the current version.
    :param in_force_in: instances that have applied it.
    :param not_yet_in: instances that had not confirmed it when the answer was given.
    :param note: a remark for the operator, such as that a data centre is cut off.
    """

    version: Version
    in_force_in: tuple[InstanceName, ...] = ()
    not_yet_in: tuple[InstanceName, ...] = ()
    note: str = ""
