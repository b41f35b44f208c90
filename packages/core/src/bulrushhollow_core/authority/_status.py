"""
bulrushhollow_core.authority._status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Status of a data centre's lease as one instance reports it.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.ids import Epoch, InstanceId, InstanceName, Seconds


class HeldLease(msgspec.Struct, frozen=True):
    """
    The lease while this instance holds it.

    :param until: reading of this process's clock at which the lease ends unless it is renewed.
    """

    epoch: Epoch
    until: Seconds


class KnownLease(msgspec.Struct, frozen=True):
    """
    The lease holder and its epoch as far as an instance knows.

    :param holder: None while no holder is known.
    """

    holder: InstanceId | None = None
    epoch: Epoch = Epoch(0)


class AuthorityState(Enum):
    """
    State of an instance with regard to its data centre's lease.

    An instance waits after a restart until its earlier votes have run out, then follows the holder
    or stands for the lease. A retired instance has released the lease before a planned stop.
    """

    WAITING = "waiting"
    FOLLOWING = "following"
    STANDING = "standing"
    HOLDING = "holding"
    RETIRED = "retired"


class AuthorityStatus(msgspec.Struct, frozen=True):
    """
    Status of the lease as one instance sees it.

    :param holder: the lease holder, if known.
    :param epoch: highest epoch seen.
    :param remaining: seconds for which this instance holds the lease unless it is renewed.
    :param voters: members that granted the last renewals, while this instance holds the lease.
    :param witnessed: whether the witness granted them too.
    """

    state: AuthorityState
    holder: InstanceId | None
    epoch: Epoch
    remaining: Seconds = Seconds(0.0)
    voters: tuple[InstanceName, ...] = ()
    witnessed: bool = False
