"""
bulrushhollow_core.consensus._follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an instance does with the messages of a leader, and what it knows of the leader's quorum.
"""

import math

from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    SnapshotAnswer,
    SnapshotChunk,
    ClockReading,
)
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import LogEntry, Snapshot
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds


class IncomingSnapshot:
    """The part of a snapshot that has come in so far."""

    def __init__(self, chunk: SnapshotChunk) -> None:
        """Begin with nothing of the snapshot that a chunk belongs to."""
        self.index = chunk.index
        self.total = chunk.total
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Return the number of bytes without a gap."""
        return len(self._data)

    def is_of(self, chunk: SnapshotChunk) -> bool:
        """Return whether a chunk belongs to this snapshot."""
        return (self.index, self.total) == (chunk.index, chunk.total)

    def take(self, chunk: SnapshotChunk) -> None:
        """Take a chunk that comes next; drop any other."""
        if chunk.offset == self.received:
            self._data.extend(chunk.data)

    def state(self) -> bytes:
        """Return the whole state."""
        return bytes(self._data)


class Follower:
    """
    The following side of one instance.

    :param boot_id: random number of this process, for its stamps.
    """

    def __init__(self, replica: Replica, boot_id: int) -> None:
        """Begin without a leader."""
        self._replica = replica
        self._boot_id = boot_id
        self._incoming: IncomingSnapshot | None = None
        self._quorum_at = Seconds(-math.inf)
        self._caught_up_at = Seconds(-math.inf)
        self.leader: InstanceId | None = None
        self.heard_at = Seconds(-math.inf)

    @property
    def has_heard_none(self) -> bool:
        """Return whether no leader was heard since this process began."""
        return math.isinf(self.heard_at)

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since a majority was last known to follow the leader."""
        return Seconds(now - self._quorum_at)

    def caught_up_age(self, now: Seconds) -> Seconds:
        """Return seconds since this instance last had all that a majority had committed."""
        return Seconds(now - self._caught_up_at)

    def forget_leader(self) -> None:
        """Note that the present term has no known leader."""
        self.leader = None
        self._incoming = None

    def note_quorum(self, at: Seconds) -> None:
        """Note that a majority was heard at a time of this instance's clock."""
        self._quorum_at = max(self._quorum_at, at)

    def note_caught_up(self, at: Seconds) -> None:
        """Note that all entries committed up to a time of this instance's clock are here."""
        self._caught_up_at = max(self._caught_up_at, at)

    def receive_append(self, source: InstanceId, message: Append, now: Seconds) -> None:
        """Take over the entries of the present leader and answer."""
        self._hear(source, message.echo, message.quorum_age, now)
        previous_index, entries = self._without_committed(message)
        success = self._agrees(message, previous_index)
        if success:
            self._replica.accept(entries)
            index = LogIndex(previous_index + len(entries))
            self._replica.advance_commit(min(message.commit, index))
            if self._knows_newest_commit(message):
                self.note_caught_up(self._proved_at(message.echo, message.quorum_age, now))
        else:
            index = self._replica.log.conflict_hint(previous_index)
        answer = AppendAnswer(
            log_id=message.log_id,
            term=message.term,
            success=success,
            index=index,
            previous_index=message.previous_index,
            sent_at=message.sent_at,
            clock_reading=ClockReading(self._boot_id, now),
        )
        self._replica.send(source, answer)

    def refuse_append(self, source: InstanceId, message: Append, now: Seconds) -> None:
        """Tell a leader of a past term that its term is over."""
        answer = AppendAnswer(
            log_id=message.log_id,
            term=self._replica.term,
            success=False,
            index=LogIndex(0),
            previous_index=message.previous_index,
            sent_at=message.sent_at,
            clock_reading=ClockReading(self._boot_id, now),
        )
        self._replica.send(source, answer)

    def receive_chunk(self, source: InstanceId, message: SnapshotChunk, now: Seconds) -> None:
        """Take a chunk of a snapshot, install the snapshot when it is whole, and answer."""
        self._hear(source, message.echo, message.quorum_age, now)
        if message.index <= self._replica.commit_index:
            self._answer_chunk(source, message, message.total, installed=True, now=now)
            return
        if self._incoming is None or not self._incoming.is_of(message):
            self._incoming = IncomingSnapshot(message)
        self._incoming.take(message)
        received = self._incoming.received
        installed = received == message.total
        if installed:
            state = self._incoming.state()
            self._incoming = None
            snapshot = Snapshot(message.index, message.index_term, message.members, state)
            self._replica.install(snapshot)
        self._answer_chunk(source, message, received, installed, now)

    def _hear(
        self, source: InstanceId, echo: ClockReading | None, quorum_age: Seconds, now: Seconds
    ) -> None:
        if self.leader != source:
            self._incoming = None
        self.leader = source
        self.heard_at = now
        self.note_quorum(self._proved_at(echo, quorum_age, now))

    def _knows_newest_commit(self, message: Append) -> bool:
        """
        Return whether everything that is committed is committed here. A leader knows what is
        committed only once an entry of its own term is.
        """
        is_here = message.commit <= self._replica.commit_index
        return is_here and self._replica.log.term_at(message.commit) == message.term

    def _proved_at(self, echo: ClockReading | None, quorum_age: Seconds, now: Seconds) -> Seconds:
        """Return the latest time of this clock at which the leader surely had its quorum."""
        if echo and echo.boot_id == self._boot_id and echo.at <= now:
            return Seconds(echo.at - quorum_age)
        return Seconds(-math.inf)

    def _without_committed(self, message: Append) -> tuple[LogIndex, tuple[LogEntry, ...]]:
        committed = max(0, self._replica.commit_index - message.previous_index)
        previous_index = LogIndex(message.previous_index + min(committed, len(message.entries)))
        return previous_index, message.entries[committed:]

    def _agrees(self, message: Append, previous_index: LogIndex) -> bool:
        if previous_index <= self._replica.commit_index:
            return True
        return self._replica.log.term_at(previous_index) == message.previous_term

    def _answer_chunk(
        self,
        source: InstanceId,
        message: SnapshotChunk,
        received: int,
        installed: bool,
        now: Seconds,
    ) -> None:
        answer = SnapshotAnswer(
            log_id=message.log_id,
            term=message.term,
            index=message.index,
            received=received,
            installed=installed,
            sent_at=message.sent_at,
            clock_reading=ClockReading(self._boot_id, now),
        )
        self._replica.send(source, answer)
