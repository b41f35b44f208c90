"""
bulrushhollow_core.consensus._log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The entries in memory, the snapshot that precedes them and the members that they define.
"""

from collections.abc import Sequence
from itertools import accumulate, takewhile

import msgspec

from bulrushhollow_core.consensus._types import EntryKind, LogEntry, Members, Snapshot
from bulrushhollow_core.ids import LogIndex, Term

RETAINED_ENTRIES = 256
"""Entries kept in memory before a snapshot, so that a peer that lags slightly needs no snapshot."""

MAX_APPEND_BYTES = 65_536
"""Maximum bytes of payloads in one message; an entry with a longer payload is sent alone."""

MAX_APPEND_ENTRIES = 256
"""Maximum number of entries in one message."""


class MembersChange(msgspec.Struct, frozen=True):
    """Members that are in force from an index on."""

    index: LogIndex
    members: Members


class Log:
    """
    The log of one instance.

    :param snapshot: snapshot that replaces the entries before ``entries``, if any.
    :param entries: entries that follow the snapshot, or from index 1 on.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[LogEntry]) -> None:
        """Restore the log after a restart."""
        self._snapshot = snapshot
        self._base_index = snapshot.index if snapshot else LogIndex(0)
        self._base_term = snapshot.term if snapshot else Term(0)
        self._entries: list[LogEntry] = []
        base_members = snapshot.members if snapshot else Members()
        self._member_changes = [MembersChange(self._base_index, base_members)]
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the newest snapshot."""
        return self._snapshot

    @property
    def snapshot_index(self) -> LogIndex:
        """Return the index of the last entry in the newest snapshot, or 0."""
        return self._snapshot.index if self._snapshot else LogIndex(0)

    @property
    def first_index(self) -> LogIndex:
        """Return the index of the first entry in memory, or the next index if there is none."""
        return LogIndex(self._base_index + 1)

    @property
    def last_index(self) -> LogIndex:
        """Return the index of the last entry, or 0."""
        return LogIndex(self._base_index + len(self._entries))

    @property
    def last_term(self) -> Term:
        """Return the term of the last entry, or 0."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> Members:
        """Return the newest members in the log, whether or not their entry is committed."""
        return self._member_changes[-1].members

    @property
    def members_index(self) -> LogIndex:
        """Return the index of the entry that defined the newest members."""
        return self._member_changes[-1].index

    def term_at(self, index: LogIndex) -> Term | None:
        """
        Return the term of an entry.

        :return: None if the entry is compacted away or not yet in the log.
        """
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def entry_at(self, index: LogIndex) -> LogEntry:
        """Return the entry at an index, which must be in memory."""
        return self._entries[index - self.first_index]

    def batch_from(self, index: LogIndex) -> tuple[LogEntry, ...]:
        """Return the entries from an index on that fit into one message, at least one."""
        start = index - self.first_index
        window = self._entries[start : start + MAX_APPEND_ENTRIES]
        sizes = accumulate(len(entry.payload) for entry in window)
        fitting = sum(1 for _ in takewhile(lambda size: size <= MAX_APPEND_BYTES, sizes))
        return tuple(window[: max(1, fitting)])

    def entries_after(self, index: LogIndex) -> tuple[LogEntry, ...]:
        """Return all entries after an index; the entry that follows it must be in memory."""
        return tuple(self._entries[index - self._base_index :])

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries whose indexes follow the last one."""
        self._entries.extend(entries)
        self._member_changes.extend(
            MembersChange(entry.index, Members.decode(entry.payload))
            for entry in entries
            if entry.kind is EntryKind.MEMBERS
        )

    def truncate_from(self, index: LogIndex) -> None:
        """Remove the entry at an index and all later ones."""
        del self._entries[index - self.first_index :]
        while self._member_changes[-1].index >= index:
            self._member_changes.pop()

    def conflict_hint(self, index: LogIndex) -> LogIndex:
        """
        Return an index up to which this log may match that of a leader whose entry at a given
        index differs or is missing in this log.

        :return: the last index of this log if it is shorter, else the index before the first entry
            of the conflicting term.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self._base_index and self.term_at(index) == term:
            index = LogIndex(index - 1)
        return index

    def compact(self, index: LogIndex, state: bytes) -> Snapshot:
        """Create a snapshot as of an index in memory and discard older entries."""
        term = self.term_at(index)
        assert term is not None, "the last entry of a snapshot must be in memory"
        members = [change.members for change in self._member_changes if change.index <= index][-1]
        self._snapshot = Snapshot(index, term, members, state)
        self._discard_until(LogIndex(index - RETAINED_ENTRIES))
        return self._snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Install a snapshot from the leader; keep later entries if they follow its last entry."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._snapshot = snapshot
            self._discard_until(snapshot.index)
            return
        self._snapshot = snapshot
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._entries = []
        self._member_changes = [MembersChange(snapshot.index, snapshot.members)]

    def _discard_until(self, index: LogIndex) -> None:
        term = self.term_at(index)
        if index <= self._base_index or term is None:
            return
        del self._entries[: index - self._base_index]
        self._base_index, self._base_term = index, term
        later = [change for change in self._member_changes if change.index > index]
        earlier = [change for change in self._member_changes if change.index <= index]
        self._member_changes = earlier[-1:] + later
