"""
bulrushhollow_core.authority._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages that grant the lease of a data centre. They are exchanged between its instances, and
between them and the leader of the log.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.ids import COUNT, DataCentreId, Epoch, InstanceId, Seconds, Version

MessageEpoch = Annotated[Epoch, COUNT]
MessageVersion = Annotated[Version, COUNT]


class LocalOrder(msgspec.Struct, frozen=True):
    """
    An order, given inside a data centre while it can't reach the log, to take the data centre or an
    endpoint out of service.

    :param change: the change; it is proposed to the log once the log can be reached.
    :param given_at: configuration version in force when the order was given.
    :param accepted: whether a majority of the data centre's instances is known to have the order.
    """

    change: ChangeConfiguration
    given_at: Version
    accepted: bool = False


class AuthorityRequest(msgspec.Struct, frozen=True, array_like=True, tag="authority_ask"):
    """
    Request for a member's vote, or for the renewal of its vote.

    :param sent_at: reading of the sender's clock, echoed with the vote; the lease starts then.
    :param is_pre_vote: whether the request only asks if the vote would be granted.
    :param is_holder: whether the sender holds the lease.
    :param version: configuration version that the sender has applied.
    :param orders: local orders that the sender knows.
    """

    data_centre: DataCentreId
    epoch: MessageEpoch
    sent_at: Seconds
    is_pre_vote: bool = False
    is_holder: bool = False
    version: MessageVersion = Version(0)
    orders: tuple[LocalOrder, ...] = ()


class AuthorityGrant(msgspec.Struct, frozen=True, array_like=True, tag="authority_grant"):
    """
    A granted vote, or with ``is_pre_vote`` the answer that the vote would be granted.

    :param highest_epoch: highest epoch that the voter has seen.
    :param orders: local orders that the voter knows, including those of the request.
    """

    epoch: MessageEpoch
    sent_at: Seconds
    is_pre_vote: bool = False
    highest_epoch: MessageEpoch = Epoch(0)
    orders: tuple[LocalOrder, ...] = ()


class AuthorityDenial(msgspec.Struct, frozen=True, array_like=True, tag="authority_denial"):
    """
    A denied vote.

    :param epoch: the requested epoch.
    :param wait: seconds for which the voter stays bound to another instance.
    """

    epoch: MessageEpoch
    highest_epoch: MessageEpoch = Epoch(0)
    wait: Seconds = Seconds(0.0)


class AuthorityRelease(msgspec.Struct, frozen=True, array_like=True, tag="authority_release"):
    """
    The sender releases an epoch for good; the votes for it are free at once.

    :param successor: instance that may request votes first, if the sender chose one.
    """

    epoch: MessageEpoch
    successor: InstanceId | None = None


class WitnessRequest(msgspec.Struct, frozen=True, array_like=True, tag="witness_ask"):
    """Request to the log's leader for the witness vote; see :class:`AuthorityRequest`."""

    data_centre: DataCentreId
    epoch: MessageEpoch
    sent_at: Seconds
    is_pre_vote: bool = False


class WitnessGrant(msgspec.Struct, frozen=True, array_like=True, tag="witness_grant"):
    """A granted witness vote; see :class:`AuthorityGrant`."""

    epoch: MessageEpoch
    sent_at: Seconds
    is_pre_vote: bool = False
    highest_epoch: MessageEpoch = Epoch(0)


class WitnessDenial(msgspec.Struct, frozen=True, array_like=True, tag="witness_denial"):
    """A denied witness vote; see :class:`AuthorityDenial`."""

    epoch: MessageEpoch
    highest_epoch: MessageEpoch = Epoch(0)
    wait: Seconds = Seconds(0.0)


class WitnessRelease(msgspec.Struct, frozen=True, array_like=True, tag="witness_release"):
    """The sender releases an epoch of a data centre for good; see :class:`AuthorityRelease`."""

    data_centre: DataCentreId
    epoch: MessageEpoch


AuthorityMessage = (
    AuthorityRequest
    | AuthorityGrant
    | AuthorityDenial
    | AuthorityRelease
    | WitnessRequest
    | WitnessGrant
    | WitnessDenial
    | WitnessRelease
)
