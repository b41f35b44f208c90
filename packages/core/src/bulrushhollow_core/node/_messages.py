"""
bulrushhollow_core.node._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

All messages between instances.
"""

import msgspec

from bulrushhollow_core.authority import AuthorityMessage
from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.consensus import ConsensusMessage
from bulrushhollow_core.ids import Epoch
from bulrushhollow_core.jobs import DataCentreLoad
from bulrushhollow_core.requests import DirectoryMessage, ShareMessage


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="node_propose"):
    """
    Hand a proposal to the leader of the log.

    :param payload: an encoded :class:`~bulrushhollow_core.node._commands.Logged`.
    """

    payload: bytes


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="node_load"):
    """
    What the holder of a data centre's lease tells all instances about it.

    :param epoch: the holder's fencing token.
    :param workers: workers that the platform has reported.
    """

    load: DataCentreLoad
    epoch: Epoch
    workers: int = 0


PeerMessage = (
    ConsensusMessage
    | AuthorityMessage
    | AppliedVersion
    | DirectoryMessage
    | ShareMessage
    | Propose
    | LoadReport
)
