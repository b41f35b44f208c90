"""
bulrushhollow_core.node._purposes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Purpose of a proposal; it determines who receives the result.
"""

import msgspec

from bulrushhollow_core.ids import RequestId
from bulrushhollow_core.node._events import CallId


class ForChange(msgspec.Struct, frozen=True):
    """An operator waits for the result of a configuration change."""

    call: CallId


class ForJob(msgspec.Struct, frozen=True):
    """A caller waits for the result of a submission or a cancellation."""

    call: CallId


class ForKey(msgspec.Struct, frozen=True):
    """A request waits for its idempotency key to be reserved."""

    request: RequestId


class ForScheduler(msgspec.Struct, frozen=True):
    """The scheduler made the proposal; it sees the result in the ledger, or proposes again."""


class ForNoCaller(msgspec.Struct, frozen=True):
    """No caller waits for the result, but the command must be recorded."""


Purpose = ForChange | ForJob | ForKey | ForScheduler | ForNoCaller
