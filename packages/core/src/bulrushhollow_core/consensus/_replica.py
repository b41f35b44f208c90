"""
bulrushhollow_core.consensus._replica
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of one instance that does not depend on its role: term, vote, log and commit index. The
journal record of each change is queued before any action that relies on the change.
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
"""Maximum number of entries in one record of a rewritten journal."""


class Replica:
    """
    Term, vote, log and commit index of one instance.

    :param me: this incarnation of the instance.
    :param has_disk: whether it has a journal; without one it persists nothing.
    :param restored: state from the journal, if there is any.
    """

    def __init__(self, me: InstanceId, has_disk: bool, restored: RestoredState | None) -> None:
        """Restore the state after a restart."""
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
        """Return whether this instance is a voter according to its own log."""
        return self.has_disk and self.me in self.log.members.voters

    def take_actions(self) -> list[msgspec.Struct]:
        """Return the actions queued since the last call."""
        actions, self._outbox = self._outbox, []
        return actions

    def send(self, to: InstanceId, message: msgspec.Struct) -> None:
        """Queue a message to a peer."""
        self._outbox.append(Send(to, message))

    def set_term(self, log_id: LogId, term: Term, voted_for: InstanceId | None) -> None:
        """Set and persist the current term and the vote given in it."""
        if (log_id, term, voted_for) == (self.log_id, self.term, self.voted_for):
            return
        self.log_id, self.term, self.voted_for = log_id, term, voted_for
        self._persist(TermRecord(log_id, term, voted_for))

    def append_as_leader(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry of the current term as its leader."""
        entry = LogEntry(LogIndex(self.log.last_index + 1), self.term, payload, kind)
        self.log.append((entry,))
        self._persist(EntriesRecord((entry,)))
        return entry

    def append_from_leader(self, entries: Sequence[LogEntry]) -> None:
        """Append entries from a leader whose log matches this one up to the first of them."""
        differing = [entry for entry in entries if self.log.term_at(entry.index) != entry.term]
        if not differing:
            return
        first = differing[0].index
        assert first > self.commit_index, "a committed entry is never replaced"
        new = tuple(entry for entry in entries if entry.index >= first)
        self.log.truncate_from(first)
        self.log.append(new)
        self._persist(EntriesRecord(new))

    def advance_commit(self, index: LogIndex) -> None:
        """Commit the entries up to an index and queue them to be applied."""
        for position in range(self.commit_index + 1, index + 1):
            self._outbox.append(Committed(self.log.entry_at(LogIndex(position))))
        self.commit_index = max(self.commit_index, index)

    def compact(self, index: LogIndex, state: bytes) -> None:
        """Replace the entries up to an index by a snapshot of the applied state."""
        self.log.compact(index, state)
        self._rewrite()

    def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot from the leader that is newer than the commit index."""
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
