"""
bulrushhollow_core.consensus._replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of one instance that outlives roles: its term and vote, its log and what of it is
committed. Every change puts its journal record into the outbox before anything that rests on it.
"""

from collections.abc import Sequence

import msgspec

from bulrushhollow_core.actions import Persist, Send
from bulrushhollow_core.consensus._log import Log
from bulrushhollow_core.consensus._records import (
    ConsensusRecord,
    EntriesRecord,
    SnapshotRecord,
    TermRecord,
)
from bulrushhollow_core.consensus._results import Committed, RewriteJournal, SnapshotRestored
from bulrushhollow_core.consensus._types import EntryKind, LogEntry, LogId, RestoredState, Snapshot
from bulrushhollow_core.ids import InstanceId, LogIndex, Term

ENTRIES_PER_RECORD = 256
"""Most entries in one journal record of a rewritten journal."""


class Replica:
    """
    Term, vote, log and commit index of one instance.

    :param me: this instance.
    :param has_disk: whether it has a journal; without one it persists nothing.
    :param restored: what its journal gave back.
    """

    def __init__(self, me: InstanceId, has_disk: bool, restored: RestoredState | None) -> None:
        """Take over what a restart gave back."""
        self.me = me
        self.has_disk = has_disk
        self.log_id = restored.log_id if restored else None
        self.term = restored.term if restored else Term(0)
        self.voted_for = restored.voted_for if restored else None
        snapshot = restored.snapshot if restored else None
        self.log = Log(snapshot, restored.entries if restored else ())
        self.commit_index = self.log.snapshot_index
        self._outbox: list[msgspec.Struct] = []
        if snapshot:
            self._outbox.append(SnapshotRestored(snapshot.index, snapshot.state))

    @property
    def is_voter(self) -> bool:
        """Return whether this instance has a vote by its own log."""
        return self.has_disk and self.me in self.log.members.voters

    def drain(self) -> list[msgspec.Struct]:
        """Return the actions gathered since the last call."""
        actions, self._outbox = self._outbox, []
        return actions

    def send(self, to: InstanceId, message: msgspec.Struct) -> None:
        """Gather a message to a peer."""
        self._outbox.append(Send(to, message))

    def set_term(self, log_id: LogId, term: Term, voted_for: InstanceId | None) -> None:
        """Enter a term, or give the vote in it."""
        if (log_id, term, voted_for) == (self.log_id, self.term, self.voted_for):
            return
        self.log_id, self.term, self.voted_for = log_id, term, voted_for
        self._persist(TermRecord(log_id, term, voted_for))

    def append_own(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry of the present term, as its leader."""
        entry = LogEntry(LogIndex(self.log.last_index + 1), self.term, payload, kind)
        self.log.append((entry,))
        self._persist(EntriesRecord((entry,)))
        return entry

    def accept(self, entries: Sequence[LogEntry]) -> None:
        """Take over entries of a leader whose log agrees with this one up to the first."""
        differing = [e for e in entries if self.log.term_at(e.index) != e.term]
        if not differing:
            return
        first = differing[0].index
        assert first > self.commit_index, "a committed entry is never replaced"
        new = tuple(entry for entry in entries if entry.index >= first)
        self.log.truncate_from(first)
        self.log.append(new)
        self._persist(EntriesRecord(new))

    def advance_commit(self, index: LogIndex) -> None:
        """Hand over the entries up to an index that are not yet handed over."""
        for position in range(self.commit_index + 1, index + 1):
            self._outbox.append(Committed(self.log.entry_at(LogIndex(position))))
        self.commit_index = max(self.commit_index, index)

    def compact(self, index: LogIndex, state: bytes) -> None:
        """Put a snapshot of the applied state in place of the entries up to an index."""
        self.log.compact(index, state)
        self._rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot of the leader that is newer than what is committed here."""
        self.log.install(snapshot)
        self.commit_index = snapshot.index
        self._rewrite()
        self._outbox.append(SnapshotRestored(snapshot.index, snapshot.state))

    def records(self) -> tuple[ConsensusRecord, ...]:
        """Return the whole state as journal records."""
        if self.log_id is None:
            return ()
        records: list[ConsensusRecord] = [TermRecord(self.log_id, self.term, self.voted_for)]
        if self.log.snapshot:
            records.append(SnapshotRecord(self.log.snapshot))
        entries = self.log.entries_after(self.log.snapshot_index)
        records.extend(
            EntriesRecord(entries[start : start + ENTRIES_PER_RECORD])
            for start in range(0, len(entries), ENTRIES_PER_RECORD)
        )
        return tuple(records)

    def _persist(self, record: ConsensusRecord) -> None:
        if self.has_disk:
            self._outbox.append(Persist(record))

    def _rewrite(self) -> None:
        if self.has_disk:
            self._outbox.append(RewriteJournal(self.records()))
