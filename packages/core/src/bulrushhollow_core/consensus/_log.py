"""
bulrushhollow_core.consensus._log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The entries in memory, the snapshot before them and the members that they put in force.
"""

from collections.abc import Sequence
from itertools import accumulate, takewhile

import msgspec

from bulrushhollow_core.consensus._types import EntryKind, LogEntry, Members, Snapshot
from bulrushhollow_core.ids import LogIndex, Term

KEPT_ENTRIES = 256
"""Entries kept in memory before a snapshot, so that a peer a little behind needs no snapshot."""

MAX_APPEND_BYTES = 65_536
"""Longest sum of payloads in one message; a single entry is never longer."""

MAX_APPEND_ENTRIES = 256
"""Most entries in one message."""


class MembersChange(msgspec.Struct, frozen=True):
    """Members in force from an index on."""

    index: LogIndex
    members: Members


class Log:
    """
    The log of one instance.

    :param snapshot: state in place of the entries before ``entries``, if any.
    :param entries: entries just after the snapshot, or from index 1 on.
    """

    def __init__(self, snapshot: Snapshot | None, entries: Sequence[LogEntry]) -> None:
        """Take over what a restart gave back."""
        self._snapshot = snapshot
        self._base_index = snapshot.index if snapshot else LogIndex(0)
        self._base_term = snapshot.term if snapshot else Term(0)
        self._entries: list[LogEntry] = []
        first = snapshot.members if snapshot else Members()
        self._changes = [MembersChange(self._base_index, first)]
        self.append(entries)

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the newest snapshot."""
        return self._snapshot

    @property
    def snapshot_index(self) -> LogIndex:
        """Return the last index that the newest snapshot includes, or 0."""
        return self._snapshot.index if self._snapshot else LogIndex(0)

    @property
    def first_index(self) -> LogIndex:
        """Return the index of the first entry in memory, if there is one."""
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
        """Return the members in force, whether or not their entry is committed."""
        return self._changes[-1].members

    @property
    def members_index(self) -> LogIndex:
        """Return the index of the entry that put the members in force."""
        return self._changes[-1].index

    def term_at(self, index: LogIndex) -> Term | None:
        """
        Return the term of an entry.

        :return: None if the index is compacted away or not yet there.
        """
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self.first_index].term

    def entry_at(self, index: LogIndex) -> LogEntry:
        """Return an entry that is in memory."""
        return self._entries[index - self.first_index]

    def batch_from(self, index: LogIndex) -> tuple[LogEntry, ...]:
        """Return as many entries from an index on as fit into one message."""
        start = index - self.first_index
        window = self._entries[start : start + MAX_APPEND_ENTRIES]
        sizes = accumulate(len(entry.payload) for entry in window)
        fitting = sum(1 for _ in takewhile(lambda size: size <= MAX_APPEND_BYTES, sizes))
        return tuple(window[: max(1, fitting)])

    def entries_after(self, index: LogIndex) -> tuple[LogEntry, ...]:
        """Return all entries after an index that is not before the first one in memory."""
        return tuple(self._entries[index - self._base_index :])

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that follow the last one."""
        self._entries.extend(entries)
        self._changes.extend(
            MembersChange(entry.index, Members.decode(entry.payload))
            for entry in entries
            if entry.kind is EntryKind.MEMBERS
        )

    def truncate_from(self, index: LogIndex) -> None:
        """Drop the entry at an index and all later ones."""
        del self._entries[index - self.first_index :]
        while self._changes[-1].index >= index:
            self._changes.pop()

    def conflict_hint(self, index: LogIndex) -> LogIndex:
        """
        Return where to look for agreement with a leader whose entry at an index differs.

        :return: the last index here, or the one before the first entry of the conflicting term.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self._base_index and self.term_at(index) == term:
            index = LogIndex(index - 1)
        return index

    def compact(self, index: LogIndex, state: bytes) -> Snapshot:
        """Make a snapshot as of an index in memory and drop entries that it makes needless."""
        term = self.term_at(index)
        assert term is not None, "a snapshot needs its last entry in memory"
        members = [change.members for change in self._changes if change.index <= index][-1]
        self._snapshot = Snapshot(index, term, members, state)
        self._drop_until(LogIndex(index - KEPT_ENTRIES))
        return self._snapshot

    def install(self, snapshot: Snapshot) -> None:
        """Take over a snapshot of the leader, with the entries after it if they belong to it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._snapshot = snapshot
            self._drop_until(snapshot.index)
            return
        self._snapshot = snapshot
        self._base_index, self._base_term = snapshot.index, snapshot.term
        self._entries = []
        self._changes = [MembersChange(snapshot.index, snapshot.members)]

    def _drop_until(self, index: LogIndex) -> None:
        term = self.term_at(index)
        if index <= self._base_index or term is None:
            return
        del self._entries[: index - self._base_index]
        self._base_index, self._base_term = index, term
        kept = [change for change in self._changes if change.index > index]
        before = [change for change in self._changes if change.index <= index]
        self._changes = before[-1:] + kept
