"""
bulrushhollow_core.consensus._leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leader side of replication: sends entries and heartbeats to members and observers, advances the
commit index, tracks the age of the quorum and transfers leadership.
"""

import math

from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
)
from bulrushhollow_core.consensus._progress import (
    DISTANT_FUTURE,
    DISTANT_PAST,
    Progress,
    ReplicationMode,
)
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import EntryKind, LogEntry, LogId, Members, Timing
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term

SNAPSHOT_CHUNK_BYTES = 65_536
"""Bytes of snapshot state in one message."""

RETRY_INTERVAL = Seconds(0.25)
"""Seconds after which an unanswered probe or snapshot chunk is sent again."""


class Leader:
    """
    Leadership of one term.

    :param connected_by_id: reachable peers, with whether each has a disk.
    :param granted_by: voters that granted their vote, including this instance.
    :param votes_requested_at: when the votes were requested; the majority counts as heard then.
    """

    def __init__(
        self,
        replica: Replica,
        timing: Timing,
        connected_by_id: dict[InstanceId, bool],
        granted_by: frozenset[InstanceId],
        votes_requested_at: Seconds,
    ) -> None:
        """Start the term with a no-op entry; its commit also commits all entries before it."""
        assert replica.log_id is not None, "a leader has a log"
        self._replica = replica
        self._log_id: LogId = replica.log_id
        self._term: Term = replica.term
        self._timing = timing
        self._connected_by_id = connected_by_id
        self.progress_by_id: dict[InstanceId, Progress] = {}
        self._next_heartbeat_at = DISTANT_PAST
        self._quorum_at = votes_requested_at
        self._started_at = votes_requested_at
        self._is_flush_needed = True
        self._transfer_target: InstanceId | None = None
        self._transfer_deadline = DISTANT_PAST
        self.update_peers()
        for instance in granted_by - {replica.me}:
            self.progress_by_id[instance].last_contact_at = votes_requested_at
        self._update_quorum_time()
        self.first_index_of_term = replica.append_as_leader(EntryKind.NOOP, b"").index

    @property
    def transfer_target(self) -> InstanceId | None:
        """Return the voter to which leadership is being transferred, if there is one."""
        return self._transfer_target

    @property
    def members(self) -> Members:
        """Return the members in force."""
        return self._replica.log.members

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since this leader last heard from a majority."""
        return Seconds(max(0.0, now - self._quorum_at))

    def has_led_for(self, duration: Seconds, now: Seconds) -> bool:
        """Return whether the term is older than a duration, so that every voter could answer."""
        return now - self._started_at > duration

    def propose(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry; :meth:`flush` sends it."""
        entry = self._replica.append_as_leader(kind, payload)
        self._is_flush_needed = True
        if kind is EntryKind.MEMBERS:
            self.update_peers()
        return entry

    def update_peers(self) -> None:
        """Track the progress of exactly the members and the reachable peers."""
        tracked = self.members.voters | self.members.learners | self._connected_by_id.keys()
        next_index = LogIndex(self._replica.log.last_index + 1)
        progress_by_id = {
            peer: self.progress_by_id.get(peer) or Progress(next_index)
            for peer in sorted(tracked - {self._replica.me})
        }
        self.progress_by_id = progress_by_id
        self._next_heartbeat_at = DISTANT_PAST
        self._is_flush_needed = True
        self._update_quorum_time()

    def peer_connected(self, peer: InstanceId) -> None:
        """Start to replicate to a peer that has become reachable."""
        self.update_peers()
        self.progress_by_id[peer].restart_probing()

    def forget_contact(self, peer: InstanceId) -> None:
        """
        Forget when a peer whose process has ended was last heard. Its next process does not know of
        the lease that the last contact confirmed.
        """
        progress = self.progress_by_id.get(peer)
        if progress is not None:
            progress.last_contact_at = DISTANT_PAST

    def tick(self, now: Seconds) -> None:
        """Send the heartbeats that are due and abandon a leadership transfer that timed out."""
        if now >= self._transfer_deadline:
            self._transfer_target = None
        if not self._timing.is_coalescing:
            for peer in self._connected_by_id:
                self._notify_commit(peer, now)
        if now < self._next_heartbeat_at:
            return
        for peer, progress in self._connected_progress():
            if now >= progress.next_heartbeat_at:
                self._send_heartbeat(peer, now)
        self._next_heartbeat_at = min(
            (progress.next_heartbeat_at for _, progress in self._connected_progress()),
            default=Seconds(math.inf),
        )

    def flush(self, now: Seconds) -> None:
        """Commit the entries that a majority stores and send new entries to the peers."""
        if not self._is_flush_needed:
            return
        self._is_flush_needed = False
        self._advance_commit()
        for peer, progress in self._connected_progress():
            if self._timing.is_coalescing and peer not in self.members.voters:
                continue
            self._send_entries(peer, now)
            if progress.is_fully_acknowledged and not self._timing.is_coalescing:
                self._notify_commit(peer, now)

    def receive_append_answer(self, source: InstanceId, answer: AppendAnswer, now: Seconds) -> None:
        """Record how far a peer's log matches, or probe again if it does not."""
        progress = self._record_answer(source, answer)
        if progress is None:
            return
        if answer.success:
            progress.record_match(answer.index)
        elif progress.record_rejection(answer.previous_index, answer.index):
            self._send_heartbeat(source, now)
        self._complete_transfer()

    def receive_snapshot_answer(
        self, source: InstanceId, answer: SnapshotAnswer, now: Seconds
    ) -> None:
        """Send the next chunk of a snapshot, or resume sending entries once it is installed."""
        progress = self._record_answer(source, answer)
        if progress is None:
            return
        if answer.installed:
            progress.record_match(answer.snapshot_index)
            return
        if progress.snapshot is None or progress.snapshot.index != answer.snapshot_index:
            return
        if answer.received != progress.snapshot_offset:
            progress.snapshot_offset = answer.received
            self._send_chunk(source, now)

    def transfer_leadership(self, now: Seconds) -> InstanceId | None:
        """
        Transfer leadership to the reachable voter whose log has advanced furthest.

        :return: the voter, or None if none is reachable.
        """
        reachable = [
            voter
            for voter in sorted(self.members.voters)
            if voter in self._connected_by_id and voter != self._replica.me
        ]
        if not reachable:
            return None
        self._transfer_target = max(
            reachable, key=lambda voter: self.progress_by_id[voter].match_index
        )
        self._transfer_deadline = Seconds(now + self._timing.silence_timeout)
        self._complete_transfer()
        return self._transfer_target

    def _connected_progress(self) -> list[tuple[InstanceId, Progress]]:
        return [(peer, self.progress_by_id[peer]) for peer in self._connected_by_id]

    def _record_answer(
        self, source: InstanceId, answer: AppendAnswer | SnapshotAnswer
    ) -> Progress | None:
        progress = self.progress_by_id.get(source)
        if progress is not None:
            progress.record_answer(answer.sent_at, answer.clock_reading)
            self._is_flush_needed = True
            self._update_quorum_time()
        return progress

    def _update_quorum_time(self) -> None:
        """Update the time of this clock at which a majority was last heard."""
        contacts = sorted(map(self._last_contact_at, self.members.voters), reverse=True)
        self._quorum_at = contacts[self.members.quorum_size - 1]

    def _last_contact_at(self, voter: InstanceId) -> Seconds:
        """Return when a voter was last heard; this instance counts as always heard."""
        return (
            DISTANT_FUTURE
            if voter == self._replica.me
            else self.progress_by_id[voter].last_contact_at
        )

    def _complete_transfer(self) -> None:
        if self._transfer_target is None:
            return
        progress = self.progress_by_id.get(self._transfer_target)
        if progress and progress.match_index == self._replica.log.last_index:
            self._replica.send(self._transfer_target, TimeoutNow(self._log_id, self._term))

    def _advance_commit(self) -> None:
        replica = self._replica
        matches = sorted(
            (
                replica.log.last_index if voter == replica.me else self._match_index(voter)
                for voter in self.members.voters
            ),
            reverse=True,
        )
        index = matches[self.members.quorum_size - 1]
        if index > replica.commit_index and replica.log.term_at(index) == self._term:
            replica.advance_commit(index)

    def _match_index(self, voter: InstanceId) -> LogIndex:
        return self.progress_by_id[voter].match_index

    def _notify_commit(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        notifiable_index = min(self._replica.commit_index, progress.match_index)
        if (
            progress.mode is ReplicationMode.STREAM
            and progress.sent_commit_index < notifiable_index
        ):
            self._send_append(peer, (), now)

    def _send_heartbeat(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        if progress.mode is ReplicationMode.SNAPSHOT:
            self._send_chunk(peer, now)
        elif self._has_entries_to_send(progress):
            self._send_entries(peer, now)
        else:
            self._send_append(peer, (), now)

    def _has_entries_to_send(self, progress: Progress) -> bool:
        is_behind = progress.next_index <= self._replica.log.last_index
        return progress.mode is ReplicationMode.STREAM and progress.has_send_window and is_behind

    def _send_entries(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        log = self._replica.log
        while progress.mode is ReplicationMode.STREAM and progress.next_index <= log.last_index:
            if not progress.has_send_window:
                return
            entries = (
                () if progress.next_index < log.first_index else log.batch_from(progress.next_index)
            )
            self._send_append(peer, entries, now)

    def _send_append(self, peer: InstanceId, entries: tuple[LogEntry, ...], now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        previous_index = LogIndex(progress.next_index - 1)
        previous_term = self._replica.log.term_at(previous_index)
        snapshot = self._replica.log.snapshot
        if previous_term is None:
            assert snapshot is not None, "entries are compacted only into a snapshot"
            progress.start_snapshot(snapshot)
            self._send_chunk(peer, now)
            return
        message = Append(
            log_id=self._log_id,
            term=self._term,
            previous_index=previous_index,
            previous_term=previous_term,
            commit=self._replica.commit_index,
            sent_at=now,
            quorum_age=self.quorum_age(now),
            entries=entries,
            echo=progress.echo,
        )
        progress.next_index = LogIndex(progress.next_index + len(entries))
        progress.sent_commit_index = self._replica.commit_index
        self._schedule_heartbeat(peer, now)
        self._replica.send(peer, message)

    def _send_chunk(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        snapshot = progress.snapshot
        assert snapshot is not None, "a chunk is sent only while a snapshot is in progress"
        start = progress.snapshot_offset
        message = SnapshotChunk(
            log_id=self._log_id,
            term=self._term,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            members=snapshot.members,
            offset=start,
            total=len(snapshot.state),
            data=snapshot.state[start : start + SNAPSHOT_CHUNK_BYTES],
            sent_at=now,
            quorum_age=self.quorum_age(now),
            echo=progress.echo,
        )
        self._schedule_heartbeat(peer, now)
        self._replica.send(peer, message)

    def _schedule_heartbeat(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        is_member = peer in self.members.voters or peer in self.members.learners
        interval = (
            self._timing.heartbeat_interval
            if is_member
            else self._timing.observer_heartbeat_interval
        )
        if progress.mode is not ReplicationMode.STREAM:
            interval = min(interval, RETRY_INTERVAL)
        progress.next_heartbeat_at = Seconds(now + interval)
        self._next_heartbeat_at = min(self._next_heartbeat_at, progress.next_heartbeat_at)
