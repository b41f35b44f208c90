"""
bulrushhollow_core.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The accepted configuration: which changes are valid, the ledger that the replicated log applies
them to, and which instance has applied which version.
"""

from bulrushhollow_core.configuration._check import check
from bulrushhollow_core.configuration._edits import edited
from bulrushhollow_core.configuration._fit import guarantees_fit
from bulrushhollow_core.configuration._history import VersionHistory
from bulrushhollow_core.configuration._ledger import (
    ANSWERS_KEPT,
    Answered,
    ConfigurationLedger,
    ConfigurationSnapshot,
)
from bulrushhollow_core.configuration._packing import Demand, PackedGang, PackedTasks, pack
from bulrushhollow_core.configuration._rollout import (
    ROLLOUT_INTERVAL,
    AppliedVersion,
    InForce,
    Rollout,
)

__all__ = [
    "ANSWERS_KEPT",
    "ROLLOUT_INTERVAL",
    "Answered",
    "AppliedVersion",
    "ConfigurationLedger",
    "ConfigurationSnapshot",
    "Demand",
    "InForce",
    "PackedGang",
    "PackedTasks",
    "Rollout",
    "VersionHistory",
    "check",
    "edited",
    "guarantees_fit",
    "pack",
]
