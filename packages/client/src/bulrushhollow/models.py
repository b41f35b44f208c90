"""
bulrushhollow.models
~~~~~~~~~~~~~~~~~~~~

The structs that the client library sends and returns. The structs of jobs, status and
configuration come from ``bulrushhollow_core``; the answer to a request is defined here.
"""

from typing import Any

import msgspec

from bulrushhollow.exceptions import WorkFailedError
from bulrushhollow_core.answers import (
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
    JobEnd,
    JobStage,
    SubmitRequest,
)
from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    Edit,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    RemoveProfile,
    RemoveWorkspace,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Drain,
    Guarantee,
    Isolation,
    Profile,
    Rack,
    Resources,
    Service,
    Shape,
    Urgency,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

FIRST_ERROR_STATUS = 400
"""Lowest HTTP status that reports a failure."""


class Header(msgspec.Struct, frozen=True):
    """An HTTP header; in an answer the name is in lower case."""

    name: str
    value: str


class Response(msgspec.Struct, frozen=True):
    """
    The answer of an endpoint to a request that ran.

    :param status_code: HTTP status that the endpoint sent.
    :param content: the body.
    :param request_id: id that the entry instance gave the request.
    """

    status_code: int
    content: bytes
    request_id: str = ""
    headers: tuple[Header, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether the status is below 400."""
        return self.status_code < FIRST_ERROR_STATUS

    @property
    def text(self) -> str:
        """The body as text."""
        return self.content.decode("utf-8", errors="replace")

    def json(self) -> Any:
        """
        Return the body decoded from JSON.

        :raises msgspec.DecodeError: if the body is not JSON.
        """
        return msgspec.json.decode(self.content)

    def raise_for_status(self) -> None:
        """:raises WorkFailedError: if the status is 400 or higher."""
        if not self.ok:
            detail = f"the endpoint answered with status {self.status_code}"
            raise WorkFailedError(Refusal(Reason.ENDPOINT_FAILED, detail, Execution.RAN))


__all__ = [
    "Adjacency",
    "ChangeAccepted",
    "ChangeConfiguration",
    "Configuration",
    "DataCentre",
    "DataCentreStatus",
    "Drain",
    "Edit",
    "EndpointStatus",
    "Execution",
    "Guarantee",
    "Header",
    "InstanceStatus",
    "Isolation",
    "JobAnswer",
    "JobEnd",
    "JobStage",
    "Profile",
    "PutDataCentre",
    "PutProfile",
    "PutWorkspace",
    "Rack",
    "Reason",
    "Refusal",
    "RemoveProfile",
    "RemoveWorkspace",
    "Resources",
    "Response",
    "Service",
    "SetDataCentreService",
    "SetEndpointService",
    "Shape",
    "SubmitRequest",
    "Urgency",
    "WorkKind",
    "Workspace",
]
