"""
bulrushhollow_core.jobs
~~~~~~~~~~~~~~~~~~~~~~~

Jobs: their ledger in the replicated log, the choice of a data centre for each, and the scheduler
that the holder of a data centre's lease runs.
"""

from bulrushhollow_core.jobs._choice import choose_data_centre, shape_fits
from bulrushhollow_core.jobs._commands import (
    CancelJob,
    EndJob,
    IntendStart,
    JobCommand,
    JobEnd,
    MoveJob,
    RequeueJob,
    RequeueProof,
    SubmitJob,
)
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._fragmentation import fragmentation, largest_shape
from bulrushhollow_core.jobs._ledger import (
    MAX_ENDED_JOBS,
    JobLedger,
    JobLedgerSnapshot,
    JobRecord,
    JobState,
    no_such_job,
)
from bulrushhollow_core.jobs._rebalancer import plan_moves
from bulrushhollow_core.jobs._scheduler import Scheduler
from bulrushhollow_core.jobs._views import (
    SYNC_INTERVAL,
    DataCentreLoad,
    Fenced,
    GuaranteeShortfall,
    ProposeCommand,
    QueueLength,
    SchedulerAction,
    SchedulerSettings,
    SchedulerStatus,
)

__all__ = [
    "MAX_ENDED_JOBS",
    "SYNC_INTERVAL",
    "CancelJob",
    "DataCentreLoad",
    "EndJob",
    "Fenced",
    "Fleet",
    "IntendStart",
    "JobCommand",
    "JobEnd",
    "JobLedger",
    "JobLedgerSnapshot",
    "JobRecord",
    "JobState",
    "GuaranteeShortfall",
    "MoveJob",
    "ProposeCommand",
    "QueueLength",
    "RequeueJob",
    "RequeueProof",
    "Scheduler",
    "SchedulerAction",
    "SchedulerSettings",
    "SchedulerStatus",
    "SubmitJob",
    "choose_data_centre",
    "fragmentation",
    "largest_shape",
    "no_such_job",
    "plan_moves",
    "shape_fits",
]
