"""
bulrushhollow_core.node
~~~~~~~~~~~~~~~~~~~~~~~

One instance as a whole: all parts of the core behind one :meth:`Node.step`.
"""

from bulrushhollow_core.node._actions import Action, CallPlatform, Reply
from bulrushhollow_core.node._events import (
    AnnounceAsked,
    CallerGone,
    CallId,
    CancelAsked,
    ChangeAsked,
    Event,
    OutcomeReady,
    PeerConnected,
    PeerDisconnected,
    PeerSaid,
    PlatformAnswered,
    RecoverAsked,
    RequestAnswered,
    RequestArrived,
    StopAsked,
    SubmitAsked,
    Tick,
    WaitAsked,
)
from bulrushhollow_core.node._jobs import describe_job, job_answer
from bulrushhollow_core.node._ledgers import Ledgers
from bulrushhollow_core.node._messages import LoadReport, PeerMessage, Propose
from bulrushhollow_core.node._node import Node
from bulrushhollow_core.node._rollouts import describe
from bulrushhollow_core.node._views import HolderWord, Identity, NodeStatus, Peer

__all__ = [
    "Action",
    "AnnounceAsked",
    "CallId",
    "CallPlatform",
    "CallerGone",
    "CancelAsked",
    "ChangeAsked",
    "Event",
    "HolderWord",
    "Identity",
    "Ledgers",
    "LoadReport",
    "Node",
    "NodeStatus",
    "OutcomeReady",
    "Peer",
    "PeerConnected",
    "PeerDisconnected",
    "PeerMessage",
    "PeerSaid",
    "PlatformAnswered",
    "Propose",
    "RecoverAsked",
    "Reply",
    "RequestAnswered",
    "RequestArrived",
    "StopAsked",
    "SubmitAsked",
    "Tick",
    "WaitAsked",
    "describe",
    "describe_job",
    "job_answer",
]
