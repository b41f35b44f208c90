"""
bulrushhollow_core.node._commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands of the replicated log and their encoding.
"""

import msgspec

from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.ids import InstanceId
from bulrushhollow_core.jobs import JobCommand
from bulrushhollow_core.requests import KeyCommand

Command = ChangeConfiguration | JobCommand | KeyCommand


class LoggedCommand(msgspec.Struct, frozen=True, array_like=True):
    """
    A command with its origin: the payload of one log entry.

    :param origin: the incarnation that proposed the command.
    :param number: number of the proposal, unique within that incarnation.
    """

    origin: InstanceId
    number: int
    command: Command


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoggedCommand)


def encode_logged_command(logged: LoggedCommand) -> bytes:
    """Return the payload of a log entry for a command."""
    return _encoder.encode(logged)


def decode_logged_command(payload: bytes) -> LoggedCommand:
    """
    Return the command that the payload of a log entry holds.

    :raises msgspec.DecodeError: if the payload was not encoded by :func:`encode_logged_command`.
    """
    return _decoder.decode(payload)
