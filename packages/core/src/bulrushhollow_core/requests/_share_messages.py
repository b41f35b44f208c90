"""
bulrushhollow_core.requests._share_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages by which the holder of a data centre's lease divides the slots of its endpoints.
"""

import msgspec

from bulrushhollow_core.ids import EndpointId, Epoch, Seconds


class HeldSlots(msgspec.Struct, frozen=True, array_like=True):
    """
    What an instance has of one endpoint.

    :param slots: slots it was granted and has not given back, used or not.
    """

    endpoint: EndpointId
    slots: int


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """
    What an instance could use of one service.

    :param requests: its requests in flight and in its queue.
    """

    service: str
    requests: int


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="requests_share_report"):
    """
    Sent by each instance to the holder of its data centre's lease.

    :param epoch: the lease under which it regards the receiver as holder.
    :param number: greater with each report of one incarnation; only the grant that answers the
        last report counts.
    :param uptime: seconds since the sender's process began.
    """

    epoch: Epoch
    number: int
    uptime: Seconds
    held_slots: tuple[HeldSlots, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """
    Slots of one endpoint on which the receiver may start requests.

    :param slots: in all, beyond the slots that every instance always has.
    """

    endpoint: EndpointId
    slots: int


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag="requests_share_grant"):
    """
    Answer to a :class:`ShareReport`; it holds for the grant time from when that report was sent.

    :param number: number of the report.
    """

    epoch: Epoch
    number: int
    grants: tuple[SlotGrant, ...] = ()


ShareMessage = ShareReport | ShareGrant
