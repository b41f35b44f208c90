"""
bulrushhollow_core.domain.execution
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries out what is committed: orders to workers, their answers, and the loss of workers.
"""

from bulrushhollow_core.domain.execution._advice import (
    MAX_WORKERS_PER_QUESTION,
    AdviceCache,
    AdviceRequest,
    Candidate,
)
from bulrushhollow_core.domain.execution._answers import (
    OrderAnswerHandler,
)
from bulrushhollow_core.domain.execution._dispatch import (
    POLL_WAIT,
    OrderDispatcher,
)
from bulrushhollow_core.domain.execution._losses import (
    WorkerLossHandler,
)
from bulrushhollow_core.domain.execution._order_queue import (
    OrderKind,
    OrderLoad,
)
from bulrushhollow_core.domain.execution._scheduler_state import (
    SchedulerState,
)
from bulrushhollow_core.domain.execution._watch import (
    WorkerMonitor,
)

__all__ = [
    "AdviceCache",
    "AdviceRequest",
    "Candidate",
    "MAX_WORKERS_PER_QUESTION",
    "OrderAnswerHandler",
    "OrderDispatcher",
    "OrderKind",
    "OrderLoad",
    "POLL_WAIT",
    "SchedulerState",
    "WorkerLossHandler",
    "WorkerMonitor",
]
