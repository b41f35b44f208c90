"""
bulrushhollow_core.node._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between instances.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.authority import AuthorityMessage
from bulrushhollow_core.configuration import AppliedVersion
from bulrushhollow_core.consensus import ConsensusMessage
from bulrushhollow_core.ids import COUNT, Epoch
from bulrushhollow_core.jobs import DataCentreLoad
from bulrushhollow_core.requests import DirectoryMessage, ShareMessage


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="node_propose"):
    """
    Request to the leader of the log to append a proposal.

    :param payload: an encoded :class:`~bulrushhollow_core.node._commands.LoggedCommand`.
    """

    payload: bytes


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="node_load"):
    """
    Load of a data centre, sent by the holder of its lease to all instances.

    :param epoch: the holder's fencing token.
    :param workers: number of workers that the platform has reported.
    """

    load: DataCentreLoad
    epoch: Annotated[Epoch, COUNT]
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
