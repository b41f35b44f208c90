"""
bulrushhollow_core.requests._share_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages by which the lease holder of a data centre divides the slots of its endpoints.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.ids import COUNT, EndpointId, Epoch, Seconds


class HeldSlots(msgspec.Struct, frozen=True, array_like=True):
    """
    Slots of one endpoint that an instance holds.

    :param slots: slots that it was granted and has not released, used or not.
    """

    endpoint: EndpointId
    slots: Annotated[int, COUNT]


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """
    Demand of an instance for slots of one service.

    :param requests: its requests in flight and queued.
    """

    service: str
    requests: Annotated[int, COUNT]


class ShareReport(msgspec.Struct, frozen=True, array_like=True, tag="requests_share_report"):
    """
    Report of an instance to the lease holder of its data centre.

    :param epoch: epoch of the lease that the sender believes the receiver to hold.
    :param number: increases with each report of one incarnation; only the grant that answers the
        last report is valid.
    :param uptime: seconds since the sender's process started.
    :param held_slots: pooled slots that the sender holds.
    :param demand: its demand by service.
    """

    epoch: Annotated[Epoch, COUNT]
    number: Annotated[int, COUNT]
    uptime: Seconds
    held_slots: tuple[HeldSlots, ...] = ()
    demand: tuple[ServiceDemand, ...] = ()


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """
    Slots of one endpoint on which the receiver may start requests.

    :param slots: total number, not counting the base slots that every instance always has.
    """

    endpoint: EndpointId
    slots: Annotated[int, COUNT]


class ShareGrant(msgspec.Struct, frozen=True, array_like=True, tag="requests_share_grant"):
    """
    Answer to a :class:`ShareReport`; valid for the grant time from the moment the report was sent.

    :param epoch: epoch of the sender's lease.
    :param number: number of the report.
    """

    epoch: Annotated[Epoch, COUNT]
    number: Annotated[int, COUNT]
    grants: tuple[SlotGrant, ...] = ()


ShareMessage = ShareReport | ShareGrant
