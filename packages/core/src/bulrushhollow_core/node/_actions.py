"""
bulrushhollow_core.node._actions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Actions that a node returns to the daemon in addition to those that its components share.
"""

import msgspec

from bulrushhollow_core.actions import Persist, Send
from bulrushhollow_core.consensus import RewriteJournal
from bulrushhollow_core.ids import LogIndex
from bulrushhollow_core.node._commands import Command
from bulrushhollow_core.node._events import CallId
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import PlatformCall
from bulrushhollow_core.requests import Dispatch, FinishRequest, Forward, ProposeSettlement


class Reply(msgspec.Struct, frozen=True):
    """
    Send the final answer to a call.

    :param answer: a struct of :mod:`bulrushhollow_core.answers` or
        :mod:`bulrushhollow_core.changes`, or a refusal.
    """

    call: CallId
    answer: msgspec.Struct


class CallPlatform(msgspec.Struct, frozen=True):
    """Send one call to the worker platform and feed the answer back as an event."""

    call: PlatformCall


class LogCommandRefused(msgspec.Struct, frozen=True):
    """Log that the replicated state refused a command of this instance's scheduler."""

    index: LogIndex
    command: Command
    refusal: Refusal


Action = (
    Send
    | Persist
    | RewriteJournal
    | Reply
    | CallPlatform
    | Dispatch
    | Forward
    | ProposeSettlement
    | FinishRequest
    | LogCommandRefused
)
