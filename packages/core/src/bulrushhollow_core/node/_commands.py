"""
bulrushhollow_core.node._commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands as the replicated log carries them.
"""

import msgspec

from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.ids import InstanceId
from bulrushhollow_core.jobs import JobCommand
from bulrushhollow_core.requests import KeyCommand

Command = ChangeConfiguration | JobCommand | KeyCommand


class Logged(msgspec.Struct, frozen=True, array_like=True):
    """
    Payload of one log entry.

    :param origin: the incarnation that proposed it.
    :param number: counts the proposals of that incarnation.
    """

    origin: InstanceId
    number: int
    command: Command


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Logged)


def encode_logged(logged: Logged) -> bytes:
    """Return the payload of a log entry."""
    return _encoder.encode(logged)


def decode_logged(payload: bytes) -> Logged:
    """
    Read the payload of a log entry.

    :raises msgspec.DecodeError: if it was not made by :func:`encode_logged`.
    """
    return _decoder.decode(payload)
