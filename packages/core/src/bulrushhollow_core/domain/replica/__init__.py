"""
bulrushhollow_core.domain.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the instances have agreed on and keep: the state machine of the log.
"""

from bulrushhollow_core.domain.replica._crashes import (
    EVIDENCE_WAIT,
    awaits_evidence,
    crash_count,
    crashes_workers,
    is_suspect,
    isolation_of,
    losses_of,
)
from bulrushhollow_core.domain.replica._recent_starts import (
    RecentStarts,
)
from bulrushhollow_core.domain.replica._state import (
    DomainState,
)

__all__ = [
    "DomainState",
    "EVIDENCE_WAIT",
    "RecentStarts",
    "awaits_evidence",
    "crash_count",
    "crashes_workers",
    "is_suspect",
    "isolation_of",
    "losses_of",
]
