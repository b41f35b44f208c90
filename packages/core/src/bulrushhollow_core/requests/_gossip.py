"""
bulrushhollow_core.requests._gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gossip messages by which the instances share announcements of endpoints. The ages in a message are
relative to ``echo``, a reading of the receiver's own clock, so a delayed message can't make an old
announcement look fresh.
"""

import msgspec

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import EndpointId, Int64, Seconds


class AnnouncementRefresh(msgspec.Struct, frozen=True, array_like=True):
    """
    The latest announcement of one endpoint, without the content, which the receiver has.

    :param checksum: checksum of the announcement without its sequence.
    :param age: seconds since an instance received it, counted back from ``echo``.
    """

    endpoint: EndpointId
    incarnation: Int64
    sequence: Int64
    checksum: int
    age: Seconds


class AgedAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """
    The latest announcement of one endpoint with its age.

    :param age: seconds since an instance received it, counted back from ``echo``.
    """

    announcement: Announcement
    age: Seconds


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """
    Load and free capacity of one instance for a service in its data centre.

    :param endpoints: number of endpoints that accept new requests.
    :param free_slots: slots on which it could start requests at once.
    :param queued: requests in its queue.
    :param expected_wait: seconds that a new request of normal urgency is expected to wait.
    """

    service: str
    endpoints: int
    free_slots: int
    queued: int
    expected_wait: Seconds


class EndpointUpdate(msgspec.Struct, frozen=True, array_like=True, tag="requests_news"):
    """
    Periodic gossip message with the changes since the sender's last update to this receiver.

    :param stamp: reading of the sender's clock, which the receiver echoes.
    :param echo: the last stamp that the sender got from the receiver, or None; ages count back
        from it.
    :param announcements: announcements that the receiver may not have.
    :param refreshes: announcements whose content the receiver should have.
    :param digest: checksum over the endpoints of the common data centre that the sender knows;
        0 between data centres.
    :param loads: the sender's load for each service; between data centres only.
    :param address: IP address and port at which the sender accepts forwarded requests; empty if it
        accepts none.
    """

    stamp: Seconds
    echo: Seconds | None
    announcements: tuple[AgedAnnouncement, ...] = ()
    refreshes: tuple[AnnouncementRefresh, ...] = ()
    digest: int = 0
    loads: tuple[ServiceLoad, ...] = ()
    address: str = ""


class EndpointQuery(msgspec.Struct, frozen=True, array_like=True, tag="requests_question"):
    """
    Query for the receiver's announcements of endpoints of the sender's data centre.

    :param stamp: reading of the sender's clock, which the receiver echoes.
    :param endpoints: the endpoints to report; empty for all.
    """

    stamp: Seconds
    endpoints: tuple[EndpointId, ...] = ()


DirectoryMessage = EndpointUpdate | EndpointQuery
