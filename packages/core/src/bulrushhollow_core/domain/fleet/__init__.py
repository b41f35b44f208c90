"""
bulrushhollow_core.domain.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader knows of its workers and of the runs on them.
"""

from bulrushhollow_core.domain.fleet._fencing import (
    TERM_SPACING,
)
from bulrushhollow_core.domain.fleet._fleet import (
    LATE_ORDER_WINDOW,
    Fleet,
    Worker,
)
from bulrushhollow_core.domain.fleet._hosts import (
    ExpectedEnd,
    Host,
    best_fit_key,
    group_by_rack,
    isolation_key,
    slots_in,
)
from bulrushhollow_core.domain.fleet._lasting import (
    DisruptionBudget,
    allowed_disruptions,
)
from bulrushhollow_core.domain.fleet._paces import (
    StragglerDetector,
)
from bulrushhollow_core.domain.fleet._reachability import (
    Reachability,
)
from bulrushhollow_core.domain.fleet._runs import (
    NO_ISOLATION,
    UNKNOWN_DURATION,
    UNORDERED_PHASES,
    Run,
    RunPhase,
    RunRef,
    UnansweredStart,
)
from bulrushhollow_core.domain.fleet._speeds import (
    NORMAL_SLOWNESS,
    SpeedEstimator,
)

__all__ = [
    "DisruptionBudget",
    "ExpectedEnd",
    "Fleet",
    "Host",
    "LATE_ORDER_WINDOW",
    "NORMAL_SLOWNESS",
    "NO_ISOLATION",
    "Reachability",
    "Run",
    "RunPhase",
    "RunRef",
    "SpeedEstimator",
    "StragglerDetector",
    "TERM_SPACING",
    "UNKNOWN_DURATION",
    "UNORDERED_PHASES",
    "UnansweredStart",
    "Worker",
    "allowed_disruptions",
    "best_fit_key",
    "group_by_rack",
    "isolation_key",
    "slots_in",
]
