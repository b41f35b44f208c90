"""
bulrushhollow_core.domain.queueing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What may come in, and which waiting work is next.
"""

from bulrushhollow_core.domain.queueing._admission import (
    AdmissionController,
    Refusal,
)
from bulrushhollow_core.domain.queueing._claims import (
    ClaimRegister,
)
from bulrushhollow_core.domain.queueing._headroom import (
    REUSE_DELAY,
    Headroom,
)
from bulrushhollow_core.domain.queueing._queueing import (
    LOCALITY_WAIT_FACTOR,
    WORTHLESS_FACTOR,
    Priority,
    Timeliness,
    WaitingStep,
    count_pending_jobs,
    deadline_of,
    due_occurrences,
    duration_after,
    guaranteed_jobs,
    peak_accelerators,
    priority_of,
    waiting_steps,
)
from bulrushhollow_core.domain.queueing._recent_work import (
    RecentWork,
    RecentWorkCache,
    base_value,
    summarize,
    work_of,
)
from bulrushhollow_core.domain.queueing._shares import (
    RateMeter,
    ShareLedger,
)

__all__ = [
    "AdmissionController",
    "ClaimRegister",
    "Headroom",
    "LOCALITY_WAIT_FACTOR",
    "Priority",
    "REUSE_DELAY",
    "RateMeter",
    "RecentWork",
    "RecentWorkCache",
    "Refusal",
    "ShareLedger",
    "Timeliness",
    "WORTHLESS_FACTOR",
    "WaitingStep",
    "base_value",
    "count_pending_jobs",
    "deadline_of",
    "due_occurrences",
    "duration_after",
    "guaranteed_jobs",
    "peak_accelerators",
    "priority_of",
    "summarize",
    "waiting_steps",
    "work_of",
]
