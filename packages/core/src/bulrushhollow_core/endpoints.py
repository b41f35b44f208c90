"""
bulrushhollow_core.endpoints
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Announcements of endpoints, and the HTTP paths and headers of requests to an endpoint or to another
entry instance.
"""

import ipaddress

import msgspec

from bulrushhollow_core.ids import DataCentreId, EndpointId, Int64

RUN_PATH = "/run"
"""Path of an endpoint to which an entry instance posts the body of a request."""

REQUEST_ID_HEADER = "request-id"
"""Id of the request, sent with each request; the endpoint's answer must repeat it."""

PROFILE_HEADER = "profile"
"""Name of the request's profile."""

NOT_RUN_HEADER = "not-run"
"""Set to ``true`` by an endpoint on a 503 answer if no handler has seen the request."""

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
"""Idempotency key, set by a caller whose resent requests must not run twice."""

DEADLINE_HEADER = "deadline-seconds"
"""Set by a caller whose deadline is shorter than that of the profile."""

REQUEST_PATH = "/v1/requests/"
"""Prefix of the path to which callers and entry instances post; the profile's name follows it."""

FORWARDED_HEADER = "forwarded-by"
"""
Name of the entry instance of another data centre that forwards a request. A forwarded request is
not forwarded again, and its answer, even a refusal, repeats the request's ``request-id`` header.
"""

EXECUTION_HEADER = "execution"
"""Whether the work ran; set by an entry instance on the answer to a request."""

REASON_HEADER = "reason"
"""Reason of a refusal, set by an entry instance; absent from an endpoint's own answer."""

MAX_PORT = 65_535
"""Highest port number of TCP."""

MAX_ADDRESS_LENGTH = 64
"""Most characters of an address. The longest of IPv6 has 53, but a scope may have any length."""


def is_address(text: str) -> bool:
    """Return whether a text is an address to connect to: ``IP:PORT``; names are not looked up."""
    host = text.rpartition(":")[0]
    return has_port(text) and is_host(host[1:-1] if _is_bracketed(host) else host)


def has_port(text: str) -> bool:
    """Return whether a text is a host, of any kind, and a port that exists."""
    host, _, port = text.rpartition(":")
    if not host or len(text) > MAX_ADDRESS_LENGTH or not (port.isascii() and port.isdigit()):
        return False
    return 0 < int(port) <= MAX_PORT


def is_host(text: str) -> bool:
    """Return whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_bracketed(host: str) -> bool:
    return host.startswith("[") and host.endswith("]")


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag="announcement"):
    """
    Announcement that an endpoint sends to any entry instance: ``POST /v1/endpoints``.

    :param incarnation: a number that increases with each restart of the endpoint.
    :param sequence: a number that increases with each announcement of one incarnation.
    :param address: IP address and port, such as ``127.0.0.1:9000``.
    :param service: name of the service, as profiles refer to it.
    :param slots: maximum number of requests that it runs at the same time.
    :param connections: maximum number of connections that it accepts at the same time.
    :param leaving: whether it accepts no new work.
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

    :param announce_within: seconds within which the endpoint must announce itself again.
    """

    announce_within: float
