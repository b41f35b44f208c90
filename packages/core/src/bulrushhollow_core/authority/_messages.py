"""
bulrushhollow_core.authority._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the instances of one data centre, and between them and the log's leader, by which
the data centre's lease is granted.
"""

import msgspec

from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.ids import DataCentreId, Epoch, InstanceId, Seconds, Version


class LocalOrder(msgspec.Struct, frozen=True):
    """
    A take-out given inside a data centre while the log is out of its reach.

    :param change: takes the data centre or an endpoint out; to be proposed to the log later.
    :param given_at: version that was in force when it was given.
    :param accepted: whether a majority of the data centre's instances is known to have it.
    """

    change: ChangeConfiguration
    given_at: Version
    accepted: bool = False


class AuthorityRequest(msgspec.Struct, frozen=True, array_like=True, tag="authority_ask"):
    """
    Ask a member for its vote, or for the renewal of it.

    :param sent_at: the sender's clock, given back with the vote; the lease counts from it.
    :param is_pre_vote: only ask whether the vote would be given.
    :param is_holder: whether the sender holds the lease.
    :param version: configuration that the sender has applied.
    :param orders: take-outs given inside the data centre that the sender knows.
    """

    data_centre: DataCentreId
    epoch: Epoch
    sent_at: Seconds
    is_pre_vote: bool = False
    is_holder: bool = False
    version: Version = Version(0)
    orders: tuple[LocalOrder, ...] = ()


class AuthorityGrant(msgspec.Struct, frozen=True, array_like=True, tag="authority_grant"):
    """
    A vote, or with ``is_pre_vote`` the word that it would be given.

    :param highest_epoch: highest epoch that the voter has seen.
    :param orders: take-outs that the voter knows, including those of the request.
    """

    epoch: Epoch
    sent_at: Seconds
    is_pre_vote: bool = False
    highest_epoch: Epoch = Epoch(0)
    orders: tuple[LocalOrder, ...] = ()


class AuthorityDenial(msgspec.Struct, frozen=True, array_like=True, tag="authority_denial"):
    """
    No vote.

    :param epoch: the epoch that was asked for.
    :param wait: seconds for which the voter stays bound.
    """

    epoch: Epoch
    highest_epoch: Epoch = Epoch(0)
    wait: Seconds = Seconds(0.0)


class AuthorityRelease(msgspec.Struct, frozen=True, array_like=True, tag="authority_release"):
    """
    The sender gives up an epoch for good; votes for it are free at once.

    :param successor: who is to stand first, if anybody.
    """

    epoch: Epoch
    successor: InstanceId | None = None


class WitnessRequest(msgspec.Struct, frozen=True, array_like=True, tag="witness_ask"):
    """Ask the log's leader for the witness vote of a data centre; see :class:`AuthorityRequest`."""

    data_centre: DataCentreId
    epoch: Epoch
    sent_at: Seconds
    is_pre_vote: bool = False


class WitnessGrant(msgspec.Struct, frozen=True, array_like=True, tag="witness_grant"):
    """The witness vote; see :class:`AuthorityGrant`."""

    epoch: Epoch
    sent_at: Seconds
    is_pre_vote: bool = False
    highest_epoch: Epoch = Epoch(0)


class WitnessDenial(msgspec.Struct, frozen=True, array_like=True, tag="witness_denial"):
    """No witness vote; see :class:`AuthorityDenial`."""

    epoch: Epoch
    highest_epoch: Epoch = Epoch(0)
    wait: Seconds = Seconds(0.0)


class WitnessRelease(msgspec.Struct, frozen=True, array_like=True, tag="witness_release"):
    """The sender gives up an epoch of a data centre for good."""

    data_centre: DataCentreId
    epoch: Epoch


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
