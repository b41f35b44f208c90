"""
bulrushhollow_core.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Routing of requests from arrival to final answer: the directory of endpoints, the division of their
slots between instances, idempotency keys, and the router of an entry instance.
"""

from bulrushhollow_core.requests._admission import RouterSettings
from bulrushhollow_core.requests._directory import (
    ANNOUNCE_WITHIN,
    SILENT_AFTER,
    AnnouncementResult,
    EndpointDirectory,
    RemoteInstance,
)
from bulrushhollow_core.requests._gossip import (
    AgedAnnouncement,
    AnnouncementRefresh,
    DirectoryMessage,
    EndpointQuery,
    EndpointUpdate,
    ServiceLoad,
)
from bulrushhollow_core.requests._granter import ShareSettings
from bulrushhollow_core.requests._key_commands import (
    MAX_STORED_BODY_BYTES,
    KeyCommand,
    MarkOwnerLost,
    ReserveKey,
    SettleKey,
)
from bulrushhollow_core.requests._keys import (
    MAX_KEYS,
    MAX_TOTAL_BODY_BYTES,
    KeyLedger,
    KeyRecord,
    KeysSnapshot,
    OwnerMarkedLost,
)
from bulrushhollow_core.requests._messages import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    EndpointAnswer,
    FinishRequest,
    Forward,
    ProposeReservation,
    ProposeSettlement,
    RouterAction,
)
from bulrushhollow_core.requests._router import MAX_ATTEMPTS, Router
from bulrushhollow_core.requests._share_messages import ShareGrant, ShareMessage, ShareReport
from bulrushhollow_core.requests._shares import SlotShares
from bulrushhollow_core.requests._status import RouterStatus, ServiceStatus

__all__ = [
    "ANNOUNCE_WITHIN",
    "MAX_ATTEMPTS",
    "MAX_KEYS",
    "MAX_STORED_BODY_BYTES",
    "MAX_TOTAL_BODY_BYTES",
    "SILENT_AFTER",
    "AgedAnnouncement",
    "AnnouncementRefresh",
    "AnnouncementResult",
    "Arrival",
    "AttemptEnd",
    "AttemptResult",
    "DirectoryMessage",
    "Dispatch",
    "EndpointAnswer",
    "EndpointDirectory",
    "EndpointQuery",
    "EndpointUpdate",
    "FinishRequest",
    "Forward",
    "KeyCommand",
    "KeyLedger",
    "KeyRecord",
    "KeysSnapshot",
    "MarkOwnerLost",
    "OwnerMarkedLost",
    "ProposeReservation",
    "ProposeSettlement",
    "RemoteInstance",
    "ReserveKey",
    "Router",
    "RouterAction",
    "RouterSettings",
    "RouterStatus",
    "ServiceLoad",
    "ServiceStatus",
    "SettleKey",
    "ShareGrant",
    "ShareMessage",
    "ShareReport",
    "ShareSettings",
    "SlotShares",
]
