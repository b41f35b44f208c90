"""
bulrushhollow_core.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The accepted configuration: checks of changes, the ledger to which the replicated log applies them,
and the rollout, which tracks the version that each instance has applied.
"""

from bulrushhollow_core.configuration._check import check_edit
from bulrushhollow_core.configuration._edits import apply_edit
from bulrushhollow_core.configuration._fit import check_guarantees_fit
from bulrushhollow_core.configuration._history import VersionHistory
from bulrushhollow_core.configuration._ledger import (
    ANSWERS_KEPT,
    AnsweredChange,
    ConfigurationLedger,
    ConfigurationSnapshot,
)
from bulrushhollow_core.configuration._packing import GuaranteeDemand, PackedGang, PackedTasks, pack
from bulrushhollow_core.configuration._rollout import (
    ROLLOUT_INTERVAL,
    AppliedVersion,
    Rollout,
    RolloutProgress,
)

__all__ = [
    "ANSWERS_KEPT",
    "ROLLOUT_INTERVAL",
    "AnsweredChange",
    "AppliedVersion",
    "ConfigurationLedger",
    "ConfigurationSnapshot",
    "GuaranteeDemand",
    "PackedGang",
    "PackedTasks",
    "Rollout",
    "RolloutProgress",
    "VersionHistory",
    "apply_edit",
    "check_edit",
    "check_guarantees_fit",
    "pack",
]
