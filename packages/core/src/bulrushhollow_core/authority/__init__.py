"""
bulrushhollow_core.authority
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The lease of one data centre, which gives its holder the authority to start work there, and the
service switch that decides whether the holder may start work at all.
"""

from bulrushhollow_core.authority._authority import Authority
from bulrushhollow_core.authority._messages import (
    AuthorityDenial,
    AuthorityGrant,
    AuthorityMessage,
    AuthorityRelease,
    AuthorityRequest,
    LocalOrder,
    WitnessDenial,
    WitnessGrant,
    WitnessRelease,
    WitnessRequest,
)
from bulrushhollow_core.authority._out_of_service import (
    InForceEverywhere,
    InForceInside,
    InForceLater,
    NotYetInForce,
    NotYetKnown,
    OutOfServiceStatus,
    out_of_service_status,
)
from bulrushhollow_core.authority._status import (
    AuthorityState,
    AuthorityStatus,
    HeldLease,
    KnownLease,
)
from bulrushhollow_core.authority._switch import ServiceInForce, ServiceSwitch
from bulrushhollow_core.authority._timing import (
    HOLD_LIMIT,
    ISOLATION_LIMIT,
    QUORUM_AGE_LIMIT,
    START_DELAY_LIMIT,
    AuthorityTiming,
)
from bulrushhollow_core.authority._witness import Witness

__all__ = [
    "HOLD_LIMIT",
    "ISOLATION_LIMIT",
    "QUORUM_AGE_LIMIT",
    "START_DELAY_LIMIT",
    "Authority",
    "AuthorityRequest",
    "AuthorityDenial",
    "AuthorityGrant",
    "AuthorityMessage",
    "AuthorityRelease",
    "AuthorityState",
    "AuthorityStatus",
    "AuthorityTiming",
    "HeldLease",
    "InForceEverywhere",
    "InForceInside",
    "InForceLater",
    "KnownLease",
    "LocalOrder",
    "NotYetInForce",
    "NotYetKnown",
    "OutOfServiceStatus",
    "ServiceInForce",
    "ServiceSwitch",
    "Witness",
    "WitnessRequest",
    "WitnessDenial",
    "WitnessGrant",
    "WitnessRelease",
    "out_of_service_status",
]
