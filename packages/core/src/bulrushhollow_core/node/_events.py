"""
bulrushhollow_core.node._events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Events that a node handles. A call carries an id chosen by the daemon; its answer is returned as a
:class:`~bulrushhollow_core.node.Reply` with that id.
"""

from typing import NewType

import msgspec

from bulrushhollow_core.answers import SubmitRequest
from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    Attempt,
    InstanceId,
    JobId,
    RequestId,
    Seconds,
)
from bulrushhollow_core.node._messages import PeerMessage
from bulrushhollow_core.platform import PlatformAnswer
from bulrushhollow_core.requests import Arrival, AttemptResult, KeyCommand

CallId = NewType("CallId", int)


class Tick(msgspec.Struct, frozen=True, tag="tick"):
    """Time passed."""


class PeerConnected(msgspec.Struct, frozen=True, tag="peer_connected"):
    """
    A stream to an incarnation of a peer is open.

    :param has_joined_log: whether the peer is already part of a replicated log.
    """

    instance: InstanceId
    has_disk: bool
    has_joined_log: bool


class PeerDisconnected(msgspec.Struct, frozen=True, tag="peer_disconnected"):
    """The stream to an incarnation of a peer is closed."""

    instance: InstanceId


class PeerMessageReceived(msgspec.Struct, frozen=True, tag="peer_said"):
    """A message from a peer arrived."""

    source: InstanceId
    message: PeerMessage


class ChangeRequested(msgspec.Struct, frozen=True, tag="change_asked"):
    """An operator requests a change of the configuration."""

    call: CallId
    change: ChangeConfiguration


class SubmitRequested(msgspec.Struct, frozen=True, tag="submit_asked"):
    """A caller submits a job."""

    call: CallId
    submit: SubmitRequest


class CancelRequested(msgspec.Struct, frozen=True, tag="cancel_asked"):
    """A caller cancels a job."""

    call: CallId
    job: JobId


class WaitRequested(msgspec.Struct, frozen=True, tag="wait_asked"):
    """
    A caller waits until a job has ended.

    :param within: seconds after which the call is answered with the job's current state.
    """

    call: CallId
    job: JobId
    within: Seconds


class AnnouncementReceived(msgspec.Struct, frozen=True, tag="announce_asked"):
    """An endpoint announces itself."""

    call: CallId
    announcement: Announcement


class RecoveryRequested(msgspec.Struct, frozen=True, tag="recover_asked"):
    """An operator makes this instance the only voter after the quorum is permanently lost."""

    call: CallId


class RequestArrived(msgspec.Struct, frozen=True, tag="request_arrived"):
    """A caller's request arrived completely; its body stays in the daemon."""

    arrival: Arrival


class AttemptFinished(msgspec.Struct, frozen=True, tag="request_answered"):
    """An attempt at a request ended."""

    request: RequestId
    attempt: Attempt
    result: AttemptResult


class OutcomeReady(msgspec.Struct, frozen=True, tag="outcome_ready"):
    """
    The outcome of a request with an idempotency key can be recorded; it includes the answer's body.

    :param command: the command that records the outcome in the log.
    """

    command: KeyCommand


class CallerDisconnected(msgspec.Struct, frozen=True, tag="caller_gone"):
    """A caller closed its connection before it got an answer."""

    request: RequestId


class PlatformAnswered(msgspec.Struct, frozen=True, tag="platform_answered"):
    """
    The call to the worker platform that was in flight has ended.

    :param answer: None if the call failed or timed out.
    """

    answer: PlatformAnswer | None


class StopRequested(msgspec.Struct, frozen=True, tag="stop_asked"):
    """A planned stop begins: accept no new work, and hand over leadership and lease."""


Event = (
    Tick
    | PeerConnected
    | PeerDisconnected
    | PeerMessageReceived
    | ChangeRequested
    | SubmitRequested
    | CancelRequested
    | WaitRequested
    | AnnouncementReceived
    | RecoveryRequested
    | RequestArrived
    | AttemptFinished
    | OutcomeReady
    | CallerDisconnected
    | PlatformAnswered
    | StopRequested
)
