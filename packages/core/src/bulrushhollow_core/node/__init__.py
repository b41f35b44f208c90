"""
bulrushhollow_core.node
~~~~~~~~~~~~~~~~~~~~~~~

A complete instance: all components of the core behind :meth:`Node.step`.
"""

from bulrushhollow_core.node._actions import Action, CallPlatform, LogCommandRefused, Reply
from bulrushhollow_core.node._events import (
    AnnouncementReceived,
    AttemptFinished,
    CallerDisconnected,
    CallId,
    CancelRequested,
    ChangeRequested,
    Event,
    OutcomeReady,
    PeerConnected,
    PeerDisconnected,
    PeerMessageReceived,
    PlatformAnswered,
    RecoveryRequested,
    RequestArrived,
    StopRequested,
    SubmitRequested,
    Tick,
    WaitRequested,
)
from bulrushhollow_core.node._jobs import describe_job, job_answer
from bulrushhollow_core.node._ledgers import Ledgers
from bulrushhollow_core.node._messages import LoadReport, PeerMessage, Propose
from bulrushhollow_core.node._node import Node
from bulrushhollow_core.node._rollouts import describe_out_of_service_status
from bulrushhollow_core.node._views import HolderReport, Identity, NodeStatus, Peer

__all__ = [
    "Action",
    "AnnouncementReceived",
    "CallId",
    "CallPlatform",
    "CallerDisconnected",
    "CancelRequested",
    "ChangeRequested",
    "Event",
    "HolderReport",
    "Identity",
    "Ledgers",
    "LoadReport",
    "LogCommandRefused",
    "Node",
    "NodeStatus",
    "OutcomeReady",
    "Peer",
    "PeerConnected",
    "PeerDisconnected",
    "PeerMessage",
    "PeerMessageReceived",
    "PlatformAnswered",
    "Propose",
    "RecoveryRequested",
    "Reply",
    "AttemptFinished",
    "RequestArrived",
    "StopRequested",
    "SubmitRequested",
    "Tick",
    "WaitRequested",
    "describe_out_of_service_status",
    "describe_job",
    "job_answer",
]
