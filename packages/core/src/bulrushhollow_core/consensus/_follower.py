"""
bulrushhollow_core.consensus._follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follower side of replication: handles the leader's messages and tracks the age of its quorum.
"""

import math

from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    ClockReading,
    SnapshotAnswer,
    SnapshotChunk,
)
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import LogEntry, Snapshot
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds


class IncomingSnapshot:
    """A snapshot that has been received in part."""

    def __init__(self, chunk: SnapshotChunk) -> None:
        """Start an empty buffer for the snapshot that a chunk belongs to."""
        self.index = chunk.snapshot_index
        self.total = chunk.total
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Return the number of bytes received without a gap."""
        return len(self._data)

    def matches(self, chunk: SnapshotChunk) -> bool:
        """Return whether a chunk belongs to this snapshot."""
        return (self.index, self.total) == (chunk.snapshot_index, chunk.total)

    def append_chunk(self, chunk: SnapshotChunk) -> None:
        """Append a chunk if it is the next one; ignore it otherwise."""
        if chunk.offset == self.received:
            self._data.extend(chunk.data)

    def state(self) -> bytes:
        """Return the bytes received so far, which are the state once the snapshot is complete."""
        return bytes(self._data)


class Follower:
    """
    Follower side of one instance.

    :param boot_id: random number of this process, for its clock readings.
    """

    def __init__(self, replica: Replica, boot_id: int) -> None:
        """Start without a leader."""
        self._replica = replica
        self._boot_id = boot_id
        self._incoming: IncomingSnapshot | None = None
        self._quorum_at = Seconds(-math.inf)
        self._caught_up_at = Seconds(-math.inf)
        self.leader: InstanceId | None = None
        self.last_leader_contact_at = Seconds(-math.inf)

    @property
    def has_never_heard_leader(self) -> bool:
        """Return whether no leader was heard since this process started."""
        return math.isinf(self.last_leader_contact_at)

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since a majority was last known to follow the leader."""
        return Seconds(now - self._quorum_at)

    def caught_up_age(self, now: Seconds) -> Seconds:
        """Return seconds since this instance last had every committed entry."""
        return Seconds(now - self._caught_up_at)

    def clear_leader(self) -> None:
        """Forget the leader and any snapshot in progress from it."""
        self.leader = None
        self._incoming = None

    def record_quorum(self, at: Seconds) -> None:
        """Record that a majority followed the leader at a time of this instance's clock."""
        self._quorum_at = max(self._quorum_at, at)

    def record_caught_up(self, at: Seconds) -> None:
        """Record that this instance has all entries committed up to a time of its clock."""
        self._caught_up_at = max(self._caught_up_at, at)

    def receive_append(self, source: InstanceId, message: Append, now: Seconds) -> None:
        """Append the entries of the current leader and answer."""
        self._record_leader_contact(source, message.echo, message.quorum_age, now)
        previous_index, entries = self._skip_committed(message)
        success = self._matches_previous_entry(message, previous_index)
        if success:
            self._replica.append_from_leader(entries)
            index = LogIndex(previous_index + len(entries))
            self._replica.advance_commit(min(message.commit, index))
            if self._has_all_committed(message):
                self.record_caught_up(self._quorum_proven_at(message.echo, message.quorum_age, now))
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

    def reject_append(self, source: InstanceId, message: Append, now: Seconds) -> None:
        """Answer a leader of a past term with the current term, so that it steps down."""
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

    def receive_snapshot_chunk(
        self, source: InstanceId, message: SnapshotChunk, now: Seconds
    ) -> None:
        """Store a chunk of a snapshot, install the snapshot once it is complete, and answer."""
        self._record_leader_contact(source, message.echo, message.quorum_age, now)
        if message.snapshot_index <= self._replica.commit_index:
            self._answer_chunk(source, message, message.total, installed=True, now=now)
            return
        if self._incoming is None or not self._incoming.matches(message):
            self._incoming = IncomingSnapshot(message)
        self._incoming.append_chunk(message)
        received = self._incoming.received
        installed = received == message.total
        if installed:
            state = self._incoming.state()
            self._incoming = None
            snapshot = Snapshot(
                message.snapshot_index, message.snapshot_term, message.members, state
            )
            self._replica.install(snapshot)
        self._answer_chunk(source, message, received, installed, now)

    def _record_leader_contact(
        self, source: InstanceId, echo: ClockReading | None, quorum_age: Seconds, now: Seconds
    ) -> None:
        if self.leader != source:
            self._incoming = None
        self.leader = source
        self.last_leader_contact_at = now
        self.record_quorum(self._quorum_proven_at(echo, quorum_age, now))

    def _has_all_committed(self, message: Append) -> bool:
        """
        Return whether this instance has committed every committed entry. The leader's commit index
        proves this only if the entry at that index is of the leader's own term.
        """
        is_committed_here = message.commit <= self._replica.commit_index
        return is_committed_here and self._replica.log.term_at(message.commit) == message.term

    def _quorum_proven_at(
        self, echo: ClockReading | None, quorum_age: Seconds, now: Seconds
    ) -> Seconds:
        """Return the latest time of this clock at which the leader certainly had its quorum."""
        if echo and echo.boot_id == self._boot_id and echo.at <= now:
            return Seconds(echo.at - quorum_age)
        return Seconds(-math.inf)

    def _skip_committed(self, message: Append) -> tuple[LogIndex, tuple[LogEntry, ...]]:
        committed = max(0, self._replica.commit_index - message.previous_index)
        previous_index = LogIndex(message.previous_index + min(committed, len(message.entries)))
        return previous_index, message.entries[committed:]

    def _matches_previous_entry(self, message: Append, previous_index: LogIndex) -> bool:
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
            snapshot_index=message.snapshot_index,
            received=received,
            installed=installed,
            sent_at=message.sent_at,
            clock_reading=ClockReading(self._boot_id, now),
        )
        self._replica.send(source, answer)
