"""
bulrushhollow_core.authority._status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an instance says of its data centre's lease.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import Epoch, InstanceId, InstanceName, Seconds


class HeldLease(msgspec.Struct, frozen=True):
    """
    The lease.

    :param until: reading of this process's clock at which it ends unless it is renewed.
    """

    epoch: Epoch
    until: Seconds


class KnownLease(msgspec.Struct, frozen=True):
    """
    Who holds the lease as far as an instance knows.

    :param holder: None while nobody is known to.
    """

    holder: InstanceId | None = None
    epoch: Epoch = Epoch(0)


class AuthorityState(Enum):
    """What an instance does about its data centre's lease."""

    WAITING = "waiting"
    FOLLOWING = "following"
    STANDING = "standing"
    HOLDING = "holding"
    RETIRED = "retired"


class AuthorityStatus(msgspec.Struct, frozen=True):
    """
    State of the lease as one instance sees it.

    :param holder: who is known to hold it.
    :param epoch: highest epoch seen.
    :param remaining: seconds for which this instance holds the lease if it is not renewed.
    :param voters: members that answered the last renewals, while this instance holds the lease.
    :param witnessed: whether the witness did.
    """

    state: AuthorityState
    holder: InstanceId | None
    epoch: Epoch
    remaining: Seconds = Seconds(0.0)
    voters: tuple[InstanceName, ...] = ()
    witnessed: bool = False
