"""
bulrushhollow_core.consensus._records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Journal records of the log, and the replay of these records after a restart.
"""

import msgspec

from bulrushhollow_core.consensus._types import LogEntry, LogId, RestoredState, Snapshot
from bulrushhollow_core.ids import InstanceId, LogIndex, Term


class TermRecord(msgspec.Struct, frozen=True, array_like=True, tag="consensus_term"):
    """The current term and the vote given in it."""

    log_id: LogId
    term: Term
    voted_for: InstanceId | None


class EntriesRecord(msgspec.Struct, frozen=True, array_like=True, tag="consensus_entries"):
    """Entries that replace all entries from the index of the first one on."""

    entries: tuple[LogEntry, ...]


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True, tag="consensus_snapshot_state"):
    """A snapshot that replaces all entries up to its index."""

    snapshot: Snapshot


ConsensusRecord = TermRecord | EntriesRecord | SnapshotRecord


class Restorer:
    """
    Replays journal records, in the order in which they were written, into a
    :class:`RestoredState`.

    Usage::

        >>> restorer = Restorer()
        >>> for record in journal.replay():
        ...     restorer.apply(record)
        >>> restored = restorer.restored()
    """

    def __init__(self) -> None:
        """Start with an empty state."""
        self._term: TermRecord | None = None
        self._snapshot: Snapshot | None = None
        self._entries: list[LogEntry] = []

    def apply(self, record: ConsensusRecord) -> None:
        """Apply the next record."""
        if isinstance(record, TermRecord):
            self._term = record
        elif isinstance(record, SnapshotRecord):
            self._snapshot = record.snapshot
            self._entries = [
                entry for entry in self._entries if entry.index > record.snapshot.index
            ]
        elif record.entries:
            del self._entries[record.entries[0].index - self._first_index() :]
            self._entries.extend(record.entries)

    def restored(self) -> RestoredState | None:
        """
        Return the state after all applied records.

        :return: None if no term was recorded.
        """
        if self._term is None:
            return None
        return RestoredState(
            log_id=self._term.log_id,
            term=self._term.term,
            voted_for=self._term.voted_for,
            snapshot=self._snapshot,
            entries=tuple(self._entries),
        )

    def _first_index(self) -> LogIndex:
        return LogIndex(self._snapshot.index + 1) if self._snapshot else LogIndex(1)
