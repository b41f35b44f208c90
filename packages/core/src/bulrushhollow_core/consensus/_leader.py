"""
bulrushhollow_core.consensus._leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What an instance does while it leads: replication to members and observers, the commit index,
the quorum's age and hand-over.
"""

import math

from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
)
from bulrushhollow_core.consensus._progress import ALWAYS, NEVER, Flow, Progress
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._types import EntryKind, LogEntry, LogId, Members, Timing
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term

SNAPSHOT_CHUNK_BYTES = 65_536
"""Length of the data in one message of a snapshot."""

RETRY_INTERVAL = Seconds(0.25)
"""Seconds after which an unanswered probe or chunk is sent again."""


class Leader:
    """
    Leadership of one term.

    :param connected: reachable peers, with whether each has a disk.
    :param granted: voters that granted their vote, this one among them.
    :param begun_at: when the vote was asked for, which is when a majority was last heard.
    """

    def __init__(
        self,
        replica: Replica,
        timing: Timing,
        connected: dict[InstanceId, bool],
        granted: frozenset[InstanceId],
        begun_at: Seconds,
    ) -> None:
        """Begin the term with an entry of its own, which commits all before it."""
        assert replica.log_id is not None, "a leader has a log"
        self._replica = replica
        self._log_id: LogId = replica.log_id
        self._term: Term = replica.term
        self._timing = timing
        self._connected_by_id = connected
        self.progress_by_id: dict[InstanceId, Progress] = {}
        self._next_due = NEVER
        self._quorum_at = begun_at
        self._begun_at = begun_at
        self._has_news = True
        self._transfer_target: InstanceId | None = None
        self._transfer_deadline = NEVER
        self.follow_members()
        for instance in granted - {replica.me}:
            self.progress_by_id[instance].heard_at = begun_at
        self._note_quorum()
        self.first_index = replica.append_own(EntryKind.NOOP, b"").index

    @property
    def transfer_target(self) -> InstanceId | None:
        """Return the voter that is to lead next, if one is."""
        return self._transfer_target

    @property
    def members(self) -> Members:
        """Return the members in force."""
        return self._replica.log.members

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since a majority was last heard."""
        return Seconds(max(0.0, now - self._quorum_at))

    def has_led(self, duration: Seconds, now: Seconds) -> bool:
        """Return whether every voter has had this long to make itself heard."""
        return now - self._begun_at > duration

    def propose(self, kind: EntryKind, payload: bytes) -> LogEntry:
        """Append an entry; :meth:`flush` sends it."""
        entry = self._replica.append_own(kind, payload)
        self._has_news = True
        if kind is EntryKind.MEMBERS:
            self.follow_members()
        return entry

    def follow_members(self) -> None:
        """Keep track of all members and of all reachable peers."""
        wanted = self.members.voters | self.members.learners | self._connected_by_id.keys()
        next_index = LogIndex(self._replica.log.last_index + 1)
        kept = {
            peer: self.progress_by_id.get(peer) or Progress(next_index)
            for peer in sorted(wanted - {self._replica.me})
        }
        self.progress_by_id = kept
        self._next_due = NEVER
        self._has_news = True
        self._note_quorum()

    def peer_connected(self, peer: InstanceId) -> None:
        """Replicate to a peer that has become reachable."""
        self.follow_members()
        self.progress_by_id[peer].probe()

    def tick(self, now: Seconds) -> None:
        """Send the heartbeats that are due and give up a hand-over that takes too long."""
        if now >= self._transfer_deadline:
            self._transfer_target = None
        if not self._timing.is_coalescing:
            for peer in self._connected_by_id:
                self._notify_commit(peer, now)
        if now < self._next_due:
            return
        for peer, progress in self._progress_of_connected():
            if now >= progress.heartbeat_due:
                self._beat(peer, now)
        self._next_due = min(
            (progress.heartbeat_due for _, progress in self._progress_of_connected()),
            default=Seconds(math.inf),
        )

    def flush(self, now: Seconds) -> None:
        """Send what is new to the peers that can take it, and commit what a majority holds."""
        if not self._has_news:
            return
        self._has_news = False
        self._advance_commit()
        for peer, progress in self._progress_of_connected():
            if self._timing.is_coalescing and peer not in self.members.voters:
                continue
            self._stream(peer, now)
            if progress.is_all_answered and not self._timing.is_coalescing:
                self._notify_commit(peer, now)

    def receive_append_answer(self, source: InstanceId, answer: AppendAnswer, now: Seconds) -> None:
        """Take in how far a peer's log agrees."""
        progress = self._hear(source, answer)
        if progress is None:
            return
        if answer.success:
            progress.matched(answer.index)
        elif progress.rejected(answer.previous_index, answer.index):
            self._beat(source, now)
        self._complete_transfer()

    def receive_snapshot_answer(
        self, source: InstanceId, answer: SnapshotAnswer, now: Seconds
    ) -> None:
        """Send the next chunk of a snapshot, or the entries after it."""
        progress = self._hear(source, answer)
        if progress is None:
            return
        if answer.installed:
            progress.matched(answer.index)
            return
        if progress.snapshot is None or progress.snapshot.index != answer.index:
            return
        if answer.received != progress.snapshot_offset:
            progress.snapshot_offset = answer.received
            self._send_chunk(source, now)

    def transfer_leadership(self, now: Seconds) -> InstanceId | None:
        """
        Make the voter that is furthest lead next.

        :return: the voter, or None if none is reachable.
        """
        reachable = [
            voter
            for voter in sorted(self.members.voters)
            if voter in self._connected_by_id and voter != self._replica.me
        ]
        if not reachable:
            return None
        self._transfer_target = max(reachable, key=lambda voter: self.progress_by_id[voter].match_index)
        self._transfer_deadline = Seconds(now + self._timing.max_election_timeout)
        self._complete_transfer()
        return self._transfer_target

    def _progress_of_connected(self) -> list[tuple[InstanceId, Progress]]:
        return [(peer, self.progress_by_id[peer]) for peer in self._connected_by_id]

    def _hear(self, source: InstanceId, answer: AppendAnswer | SnapshotAnswer) -> Progress | None:
        progress = self.progress_by_id.get(source)
        if progress is not None:
            progress.heard(answer.sent_at, answer.clock_reading)
            self._has_news = True
            self._note_quorum()
        return progress

    def _note_quorum(self) -> None:
        """Keep the time of this clock at which a majority was last heard."""
        heard = sorted(map(self._heard_at, self.members.voters), reverse=True)
        self._quorum_at = heard[self.members.quorum - 1]

    def _heard_at(self, voter: InstanceId) -> Seconds:
        """Return when a voter was last heard; this one hears itself at all times."""
        return ALWAYS if voter == self._replica.me else self.progress_by_id[voter].heard_at

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
                replica.log.last_index if voter == replica.me else self._match_of(voter)
                for voter in self.members.voters
            ),
            reverse=True,
        )
        index = matches[self.members.quorum - 1]
        if index > replica.commit_index and replica.log.term_at(index) == self._term:
            replica.advance_commit(index)

    def _match_of(self, voter: InstanceId) -> LogIndex:
        return self.progress_by_id[voter].match_index

    def _notify_commit(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        known = min(self._replica.commit_index, progress.match_index)
        if progress.flow is Flow.STREAM and progress.sent_commit < known:
            self._send_append(peer, (), now)

    def _beat(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        if progress.flow is Flow.SNAPSHOT:
            self._send_chunk(peer, now)
        elif self._has_entries_for(progress):
            self._stream(peer, now)
        else:
            self._send_append(peer, (), now)

    def _has_entries_for(self, progress: Progress) -> bool:
        is_behind = progress.next_index <= self._replica.log.last_index
        return progress.flow is Flow.STREAM and progress.has_room and is_behind

    def _stream(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        log = self._replica.log
        while progress.flow is Flow.STREAM and progress.next_index <= log.last_index:
            if not progress.has_room:
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
            assert snapshot is not None, "entries go only when a snapshot replaces them"
            progress.begin_snapshot(snapshot)
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
        progress.sent_commit = self._replica.commit_index
        self._sent(peer, now)
        self._replica.send(peer, message)

    def _send_chunk(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        snapshot = progress.snapshot
        assert snapshot is not None, "a chunk is of a snapshot"
        start = progress.snapshot_offset
        message = SnapshotChunk(
            log_id=self._log_id,
            term=self._term,
            index=snapshot.index,
            index_term=snapshot.term,
            members=snapshot.members,
            offset=start,
            total=len(snapshot.state),
            data=snapshot.state[start : start + SNAPSHOT_CHUNK_BYTES],
            sent_at=now,
            quorum_age=self.quorum_age(now),
            echo=progress.echo,
        )
        self._sent(peer, now)
        self._replica.send(peer, message)

    def _sent(self, peer: InstanceId, now: Seconds) -> None:
        progress = self.progress_by_id[peer]
        is_member = peer in self.members.voters or peer in self.members.learners
        interval = self._timing.heartbeat_interval if is_member else self._timing.observer_heartbeat_interval
        if progress.flow is not Flow.STREAM:
            interval = min(interval, RETRY_INTERVAL)
        progress.heartbeat_due = Seconds(now + interval)
        self._next_due = min(self._next_due, progress.heartbeat_due)
