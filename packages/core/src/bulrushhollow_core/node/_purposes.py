"""
bulrushhollow_core.node._purposes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Why a proposal was made, and so who is told what became of it.
"""

import msgspec

from bulrushhollow_core.ids import RequestId
from bulrushhollow_core.node._events import CallId


class ForChange(msgspec.Struct, frozen=True):
    """An operator waits for a change of configuration."""

    call: CallId


class ForJob(msgspec.Struct, frozen=True):
    """A caller waits for a submission or a cancellation."""

    call: CallId


class ForKey(msgspec.Struct, frozen=True):
    """A request waits for its idempotency key to be reserved."""

    request: RequestId


class ForScheduler(msgspec.Struct, frozen=True):
    """The scheduler proposed it and will see it applied, or propose again."""


class ForRecord(msgspec.Struct, frozen=True):
    """Nobody waits; it has to be recorded all the same."""


Purpose = ForChange | ForJob | ForKey | ForScheduler | ForRecord
