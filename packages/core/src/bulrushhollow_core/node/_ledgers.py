"""
bulrushhollow_core.node._ledgers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state: the ledgers that every instance builds by applying the same log.
"""

import msgspec

from bulrushhollow_core.changes import ChangeAccepted, ChangeConfiguration
from bulrushhollow_core.configuration import ConfigurationLedger, ConfigurationSnapshot
from bulrushhollow_core.ids import LogIndex
from bulrushhollow_core.jobs import IntendStart, JobLedger, JobLedgerSnapshot, JobRecord
from bulrushhollow_core.models import Service
from bulrushhollow_core.node._commands import Command
from bulrushhollow_core.outcomes import Reason, Refusal
from bulrushhollow_core.requests import (
    KeyLedger,
    KeyRecord,
    KeysSnapshot,
    MarkOwnerLost,
    OwnerMarkedLost,
    ReserveKey,
    SettleKey,
)

Result = ChangeAccepted | JobRecord | KeyRecord | OwnerMarkedLost | Refusal


class LedgersSnapshot(msgspec.Struct, frozen=True):
    """Content of a snapshot of the log."""

    configuration: ConfigurationSnapshot
    jobs: JobLedgerSnapshot
    keys: KeysSnapshot


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LedgersSnapshot)


class Ledgers:
    """The replicated state as of one log index."""

    def __init__(self) -> None:
        self.configuration = ConfigurationLedger()
        self.jobs = JobLedger()
        self.keys = KeyLedger()
        self.applied = LogIndex(0)

    def apply(self, index: LogIndex, command: Command) -> Result:
        """
        Apply one committed command.

        :return: the changed record or version, or a refusal if the command had no effect.
        """
        self.applied = index
        match command:
            case ChangeConfiguration():
                return self.configuration.apply(index, command)
            case ReserveKey() | SettleKey() | MarkOwnerLost():
                return self.keys.apply(index, command)
            case IntendStart() if self._is_out_of_service(command):
                return Refusal(Reason.DATA_CENTRE_OUT, f"{command.data_centre} is out of service")
            case _:
                return self.jobs.apply(index, command)

    def skip(self, index: LogIndex) -> None:
        """Advance past an entry that carries no command."""
        self.applied = index

    def encode(self) -> bytes:
        """Return the encoded state for a snapshot of the log."""
        state = LedgersSnapshot(
            self.configuration.snapshot(),
            self.jobs.snapshot(),
            self.keys.snapshot(),
        )
        return _encoder.encode(state)

    @classmethod
    def decode(cls, index: LogIndex, data: bytes) -> "Ledgers":
        """
        Return the state that a snapshot of the log holds.

        :raises msgspec.DecodeError: if the data was not encoded by :meth:`encode`.
        """
        state = _decoder.decode(data)
        ledgers = cls()
        ledgers.configuration = ConfigurationLedger.restore(state.configuration)
        ledgers.jobs = JobLedger.restore(state.jobs)
        ledgers.keys = KeyLedger.restore(state.keys)
        ledgers.applied = index
        return ledgers

    def _is_out_of_service(self, command: IntendStart) -> bool:
        """Return whether the data centre of a start has been taken out of service."""
        data_centres = self.configuration.configuration.data_centres_by_id
        declared = data_centres.get(command.data_centre)
        return declared is not None and declared.service is Service.OUT
