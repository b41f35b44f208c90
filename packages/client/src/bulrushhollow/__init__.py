"""
bulrushhollow
~~~~~~~~~~~~~

Client library for callers and operators of the bulrushhollow scheduler.

Usage::

    import bulrushhollow
    response = bulrushhollow.request("labels", b"stall 7", entries=["http://127.0.0.1:8000"])
    response.content

Programs that run an event loop use a :class:`Session`.
"""

from bulrushhollow._api import request, submit
from bulrushhollow.exceptions import (
    BulrushhollowError,
    EntryUnreachableError,
    InvalidCallError,
    OutcomeUnknownError,
    RefusedError,
    WorkFailedError,
)
from bulrushhollow.models import JobAnswer, Response
from bulrushhollow.sessions import Session

__all__ = [
    "BulrushhollowError",
    "EntryUnreachableError",
    "InvalidCallError",
    "JobAnswer",
    "OutcomeUnknownError",
    "RefusedError",
    "Response",
    "Session",
    "WorkFailedError",
    "request",
    "submit",
]
