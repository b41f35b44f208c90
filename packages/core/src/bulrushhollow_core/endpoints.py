"""
bulrushhollow_core.endpoints
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How endpoints announce themselves, and the HTTP names of the hop from an entry instance to an
endpoint.
"""

import msgspec

from bulrushhollow_core.ids import DataCentreId, EndpointId, Int64

RUN_PATH = "/run"
"""An entry posts a request's body to this path of the endpoint."""

REQUEST_ID_HEADER = "request-id"
"""Sent with each request; the endpoint's answer must repeat it."""

PROFILE_HEADER = "profile"
"""Name of the profile of the request."""

NOT_RUN_HEADER = "not-run"
"""An endpoint sets it to ``true`` on a 503 answer to say that no handler saw the request."""

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
"""Set by a caller whose resends must not run twice."""

DEADLINE_HEADER = "deadline-seconds"
"""Set by a caller who can wait less long than the profile's deadline."""

REQUEST_PATH = "/v1/requests/"
"""Callers and other entry instances post a request to this path and the name of its profile."""

FORWARDED_HEADER = "forwarded-by"
"""
Name of the entry instance of another data centre that sends a request on. Such a request is not
sent on again, and the answer, a refusal too, repeats the ``request-id`` header that came with it.
"""

EXECUTION_HEADER = "execution"
"""Set by an entry instance on the answer to a request: whether the work ran."""

REASON_HEADER = "reason"
"""Set by an entry instance on a refusal; an endpoint's own answer does not have it."""


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="announcement"):
    """
    Sent by an endpoint to any entry instance: ``POST /v1/endpoints``.

    :param incarnation: greater after each restart of the endpoint.
    :param sequence: greater with each announcement of one incarnation.
    :param address: IP number and port, ``127.0.0.1:9000``.
    :param service: name that profiles ask for.
    :param slots: requests it runs at once.
    :param connections: connections it accepts at once.
    :param leaving: True when it wants no new work.
    """

    endpoint: EndpointId
    data_centre: DataCentreId
    incarnation: Int64
    sequence: Int64
    address: str
    service: str
    slots: Int64
    connections: Int64
    leaving: bool = False


class AnnouncementAnswer(msgspec.Struct, frozen=True):
    """
    Answer to an announcement.

    :param announce_within: seconds within which to announce again.
    """

    announce_within: float
