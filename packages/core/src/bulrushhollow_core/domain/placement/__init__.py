"""
bulrushhollow_core.domain.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where waiting work goes, and which runs it displaces.
"""

from bulrushhollow_core.domain.placement._caps import (
    CAP_RETRY_AFTER,
    CapAccount,
    CapLedger,
    exceeds_cap,
    withdraw_starts_over_cap,
)
from bulrushhollow_core.domain.placement._delay_cost import (
    DelayPricer,
    EvictionLoss,
)
from bulrushhollow_core.domain.placement._demands import (
    Demand,
    DemandedStep,
    HostLimits,
    Standing,
    TimeBudget,
    Timing,
    Victim,
)
from bulrushhollow_core.domain.placement._eviction_sets import (
    set_cost,
)
from bulrushhollow_core.domain.placement._explanation import (
    MIN_EXPLANATION_INTERVAL,
    UNSUBMITTED_JOB,
    PlacementExplainer,
)
from bulrushhollow_core.domain.placement._plan import (
    Plan,
)
from bulrushhollow_core.domain.placement._planner import (
    MAX_GANG_RESERVATIONS,
    MAX_WAIT_ESTIMATES,
    Planner,
)
from bulrushhollow_core.domain.placement._planning import (
    MAX_PLAN_INTERVAL,
    PlanningCycle,
)
from bulrushhollow_core.domain.placement._running_work import (
    RunningWork,
)
from bulrushhollow_core.domain.placement._service_loads import (
    busy_services,
)
from bulrushhollow_core.domain.placement._victim_search import (
    MAX_VICTIM_SEARCHES,
)

__all__ = [
    "CAP_RETRY_AFTER",
    "CapAccount",
    "CapLedger",
    "DelayPricer",
    "Demand",
    "Timing",
    "Standing",
    "HostLimits",
    "DemandedStep",
    "EvictionLoss",
    "MAX_GANG_RESERVATIONS",
    "MAX_PLAN_INTERVAL",
    "MAX_VICTIM_SEARCHES",
    "MAX_WAIT_ESTIMATES",
    "MIN_EXPLANATION_INTERVAL",
    "PlacementExplainer",
    "Plan",
    "Planner",
    "PlanningCycle",
    "RunningWork",
    "TimeBudget",
    "UNSUBMITTED_JOB",
    "Victim",
    "busy_services",
    "exceeds_cap",
    "set_cost",
    "withdraw_starts_over_cap",
]
