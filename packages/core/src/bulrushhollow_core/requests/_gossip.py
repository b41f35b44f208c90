"""
bulrushhollow_core.requests._gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages by which the instances share what they know of endpoints. A message's ages count back from
the receiver's own reading ``echo``, so that a message that was held up on its way can't make old
news look fresh.
"""

import msgspec

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import EndpointId, Seconds


class AnnouncementRefresh(msgspec.Struct, frozen=True, array_like=True):
    """
    The latest announcement of one endpoint, without its content.

    :param checksum: checksum of all of the announcement but its sequence.
    :param age: seconds since it was heard.
    """

    endpoint: EndpointId
    incarnation: int
    sequence: int
    checksum: int
    age: Seconds


class AgedAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """
    The latest announcement of one endpoint.

    :param age: seconds since it was heard.
    """

    announcement: Announcement
    age: Seconds


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """
    What one instance can do for a service in its data centre.

    :param endpoints: endpoints that take new work.
    :param free_slots: slots that it could fill at once.
    :param queued: requests that wait in its queue.
    :param expected_wait: seconds that a new request of normal urgency is expected to wait.
    """

    service: str
    endpoints: int
    free_slots: int
    queued: int
    expected_wait: Seconds


class EndpointUpdate(msgspec.Struct, frozen=True, array_like=True, tag="requests_news"):
    """
    Sent at every gossip round.

    :param stamp: the sender's clock, to be echoed.
    :param echo: the last stamp that the sender got from the receiver, or None; ages count back
        from there.
    :param announcements: announcements that the receiver may not have.
    :param refreshes: announcements whose content the receiver should have.
    :param digest: checksum over the endpoints of the receiver's data centre that the sender knows;
        0 between data centres.
    :param loads: what the sender can do for each service; between data centres only.
    :param address: where the sender takes requests that are forwarded to it; empty if it does not.
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
    Ask what the receiver knows of endpoints of the sender's data centre.

    :param stamp: the sender's clock, to be echoed.
    :param endpoints: the endpoints; empty asks for all.
    """

    stamp: Seconds
    endpoints: tuple[EndpointId, ...] = ()


DirectoryMessage = EndpointUpdate | EndpointQuery
