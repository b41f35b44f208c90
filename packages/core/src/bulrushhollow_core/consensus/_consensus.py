"""
bulrushhollow_core.consensus._consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log as one part of an instance: its role and the calls of its owner.
"""

import math
import random
from typing import cast

import msgspec

from bulrushhollow_core.consensus import _members
from bulrushhollow_core.consensus._election import Election, Phase
from bulrushhollow_core.consensus._follower import Follower
from bulrushhollow_core.consensus._leader import Leader
from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    ConsensusMessage,
    RequestVote,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
)
from bulrushhollow_core.consensus._records import ConsensusRecord
from bulrushhollow_core.consensus._replica import Replica
from bulrushhollow_core.consensus._results import (
    ConsensusStatus,
    ForcedRecovery,
    MemberChangeReason,
    MemberChangeRefused,
    NotLeader,
    Proposed,
    Role,
    TooLarge,
)
from bulrushhollow_core.consensus._types import (
    MAX_PAYLOAD_BYTES,
    EntryKind,
    LogId,
    Members,
    RestoredState,
    Timing,
)
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds, Term

RANDOM_BITS = 31
"""Size of the random numbers that tell logs and processes apart."""

DEFAULT_TIMING = Timing()


class Consensus:
    """
    One instance of the replicated log.

    Call :meth:`flush` once after each batch of events: it sends what was proposed in one message
    per peer. The first actions after a restart hand back the restored snapshot.

    Usage::

        >>> log = Consensus(me, has_disk=True, restored=None, rng=rng, now=now)
        >>> actions = log.bootstrap(now)
        >>> proposed = log.propose(b"command", now)

    :param me: this incarnation of the instance.
    :param has_disk: whether it has a journal; without one it follows and never votes.
    :param restored: what its journal gave back.
    :param rng: for election timeouts and for random numbers of logs and processes.
    :param voter_limit: most voters; further instances with a disk stay learners until a voter
        has been silent for the longest election timeout. None for no limit.
    """

    def __init__(
        self,
        me: InstanceId,
        has_disk: bool,
        restored: RestoredState | None,
        rng: random.Random,
        now: Seconds,
        timing: Timing = DEFAULT_TIMING,
        voter_limit: int | None = None,
    ) -> None:
        """Begin as a follower."""
        self._me = me
        self._voter_limit = voter_limit
        self._failure_domain_by_name: dict[InstanceName, str] = {}
        self._rng = rng
        self._timing = timing
        self._replica = Replica(me, has_disk, restored)
        self._follower = Follower(self._replica, rng.getrandbits(RANDOM_BITS))
        self._election = Election(self._replica, timing, rng, now)
        self._leader: Leader | None = None
        self._connected_by_id: dict[InstanceId, bool] = {}
        self._foreign_peers: frozenset[InstanceId] = frozenset()

    # Events.

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """
        Take in one message of the log.

        :return: actions in the order in which to carry them out.
        """
        known = cast(ConsensusMessage, message)
        if self._is_of_this_log(source, known):
            self._dispatch(source, known, now)
        return self.flush(now)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Let time pass: heartbeats, elections, stepping down and changes of members.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._tick_leader(self._leader, now)
        elif self._replica.is_voter and self._election.is_due(now):
            self._follower.forget_leader()
            self._election.begin_pre_vote(now)
            self._conclude_election(now)
        return self.flush(now)

    def flush(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Send and commit what the events since the last call made possible.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._leader.flush(now)
        return self._replica.drain()

    def peer_connected(self, peer: InstanceId, has_disk: bool, now: Seconds) -> list[msgspec.Struct]:
        """
        Note that an incarnation of a peer can be reached. A leader replicates to it, and makes
        it a member if it has a disk.

        :return: actions in the order in which to carry them out.
        """
        self._connected_by_id[peer] = has_disk
        if self._leader:
            self._leader.peer_connected(peer)
            self._leader.tick(now)
        elif self._replica.is_voter and self._may_elect_after_boot():
            self._election.hurry(now)
        return self.flush(now)

    def _may_elect_after_boot(self) -> bool:
        """
        Return whether a majority is here and no leader was heard since this process began, as
        after a loss of power everywhere. Where one leads, the others grant no vote.
        """
        members = self._replica.log.members
        here = members.voters & {*self._connected_by_id, self._me}
        return self._follower.has_heard_none and len(here) >= members.quorum

    def set_failure_domain(self, name: InstanceName, domain: str) -> None:
        """Record the failure domain of an instance; voters are spread over failure domains."""
        self._failure_domain_by_name[name] = domain

    def peer_disconnected(self, peer: InstanceId, now: Seconds) -> list[msgspec.Struct]:
        """
        Note that an incarnation of a peer can't be reached any more. If it was the leader, an
        election begins soon; the other voters grant it only if they have lost the leader too.

        :return: actions in the order in which to carry them out.
        """
        self._connected_by_id.pop(peer, None)
        self._foreign_peers -= {peer}
        if self._leader:
            self._leader.follow_members()
        elif self._follower.leader == peer:
            self._follower.forget_leader()
            self._election.hurry(now)
        return self.flush(now)

    # Proposals.

    def propose(self, payload: bytes, now: Seconds) -> Proposed | NotLeader | TooLarge:
        """
        Append a command to the log; :meth:`flush` sends it.

        :param payload: at most :data:`MAX_PAYLOAD_BYTES` long.
        :return: where it stands in the log, or why it was not appended.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            return TooLarge(MAX_PAYLOAD_BYTES)
        if self._leader is None:
            return NotLeader(self._known_leader(now))
        if self._leader.transfer_target:
            return NotLeader(self._leader.transfer_target)
        entry = self._leader.propose(EntryKind.COMMAND, payload)
        return Proposed(entry.index, entry.term, self._replica.drain())

    def transfer_leadership(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Make another voter lead, as before a planned stop. The status tells when it is done; it
        is given up after the longest election timeout and can then be asked for again.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._leader.transfer_leadership(now)
        return self.flush(now)

    def compact(self, index: LogIndex, state: bytes, now: Seconds) -> list[msgspec.Struct]:
        """
        Put a snapshot of the applied state in place of the entries up to an index.

        :param index: last entry that the state includes; it must have been committed.
        :return: actions in the order in which to carry them out.
        """
        if self._replica.log.snapshot_index < index <= self._replica.commit_index:
            self._replica.compact(index, state)
        return self.flush(now)

    # Members.

    def bootstrap(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Begin a new log with this instance as its only voter. Nothing happens if it has a log
        already or has no disk.

        :return: actions in the order in which to carry them out.
        """
        if self._replica.log_id is None and self._replica.has_disk:
            self._become_sole_voter(Term(1), now)
        return self.flush(now)

    def remove_member(
        self, member: InstanceId, now: Seconds
    ) -> Proposed | NotLeader | MemberChangeRefused:
        """
        Take an incarnation out of the log, as when it is gone for good without a successor of
        the same name. One that is still running with a disk joins again.

        :return: where the change stands in the log, or why there is none.
        """
        if self._leader is None:
            return NotLeader(self._known_leader(now))
        reason = self._why_not_remove(member)
        if reason:
            return MemberChangeRefused(reason)
        members = _members.without(self._replica.log.members, member)
        entry = self._leader.propose(EntryKind.MEMBERS, members.encode())
        return Proposed(entry.index, entry.term, self.flush(now))

    def force_sole_voter(self, now: Seconds) -> ForcedRecovery | MemberChangeRefused:
        """
        Go on alone after the quorum is lost for good. The log goes on under a new number, so
        that former voters can't mix with it: they must come back with empty folders.

        :return: what may be lost, with the actions, or why it was not done.
        """
        log = self._replica.log
        if not self._replica.has_disk or self._replica.log_id is None:
            return MemberChangeRefused(MemberChangeReason.NO_STATE)
        if self.status(now).quorum_age < self._timing.max_election_timeout:
            return MemberChangeRefused(MemberChangeReason.QUORUM_PRESENT)
        former_voters = log.members.voters - {self._me}
        last_index, commit_index = log.last_index, self._replica.commit_index
        self._become_sole_voter(Term(self._replica.term + 1), now)
        return ForcedRecovery(last_index, commit_index, former_voters, self.flush(now))

    # What is known.

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return what this instance knows of the log."""
        log = self._replica.log
        return ConsensusStatus(
            role=self._role(),
            term=self._replica.term,
            leader=self._known_leader(now),
            commit_index=self._replica.commit_index,
            last_index=log.last_index,
            snapshot_index=log.snapshot_index,
            members=log.members,
            quorum_age=self.quorum_age(now),
            foreign_peers=self._foreign_peers,
            caught_up_age=self._caught_up_age(now),
        )

    @property
    def is_leader(self) -> bool:
        """Return whether this instance leads, with or without its majority."""
        return self._leader is not None

    @property
    def members(self) -> Members:
        """Return who belongs to the log, as far as this instance knows."""
        return self._replica.log.members

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since a majority was last heard, by the leader or through it."""
        leading = self._leader
        return leading.quorum_age(now) if leading else self._follower.quorum_age(now)

    def records(self) -> tuple[ConsensusRecord, ...]:
        """Return the whole state of the log as journal records."""
        return self._replica.records()

    def _known_leader(self, now: Seconds) -> InstanceId | None:
        """Return the leader unless it has been silent for too long to be one."""
        if self._leader:
            return self._me
        is_silent = now - self._follower.heard_at > self._timing.max_election_timeout
        return None if is_silent else self._follower.leader

    def _caught_up_age(self, now: Seconds) -> Seconds:
        leading = self._leader
        if leading is None:
            return self._follower.caught_up_age(now)
        has_committed_own_term = self._replica.commit_index >= leading.first_index
        return leading.quorum_age(now) if has_committed_own_term else Seconds(math.inf)

    def _role(self) -> Role:
        if self._leader:
            return Role.LEADER
        if self._election.phase is not Phase.IDLE:
            return Role.CANDIDATE
        if self._replica.is_voter:
            return Role.FOLLOWER
        is_learner = self._me in self._replica.log.members.learners
        return Role.LEARNER if is_learner else Role.OBSERVER

    # Messages.

    def _is_of_this_log(self, source: InstanceId, message: ConsensusMessage) -> bool:
        if self._replica.log_id is None:
            return isinstance(message, Append | SnapshotChunk)
        if message.log_id == self._replica.log_id:
            return True
        self._foreign_peers |= {source}
        return False

    def _dispatch(self, source: InstanceId, message: ConsensusMessage, now: Seconds) -> None:
        match message:
            case RequestVote():
                self._receive_request_vote(source, message, now)
            case VoteAnswer():
                self._receive_vote_answer(source, message, now)
            case Append() | SnapshotChunk():
                self._receive_from_leader(source, message, now)
            case AppendAnswer() | SnapshotAnswer():
                self._receive_from_follower(source, message, now)
            case TimeoutNow():
                if message.term == self._replica.term and self._replica.is_voter:
                    self._begin_vote(now, is_transfer=True)

    def _receive_request_vote(self, source: InstanceId, message: RequestVote, now: Seconds) -> None:
        if not self._replica.has_disk:
            return
        is_live = self._hears_leader(now) and not message.is_transfer
        if message.is_pre_vote:
            granted = message.term > self._replica.term and not is_live and self._is_behind(message)
            self._answer_vote(source, message, granted)
            return
        if is_live:
            return
        self._follow_term(message.log_id, message.term, now)
        free = self._replica.voted_for in (None, source) and self._leader is None
        granted = message.term == self._replica.term and free and self._is_behind(message)
        if granted:
            self._replica.set_term(message.log_id, message.term, source)
            self._election.stop(now)
        self._answer_vote(source, message, granted)

    def _answer_vote(self, source: InstanceId, message: RequestVote, granted: bool) -> None:
        term = message.term if granted else self._replica.term
        self._replica.send(source, VoteAnswer(message.log_id, term, granted, message.is_pre_vote))

    def _receive_vote_answer(self, source: InstanceId, answer: VoteAnswer, now: Seconds) -> None:
        if not answer.granted:
            self._follow_term(answer.log_id, answer.term, now)
            return
        self._election.receive(source, answer)
        self._conclude_election(now)

    def _receive_from_leader(
        self, source: InstanceId, message: Append | SnapshotChunk, now: Seconds
    ) -> None:
        if message.term < self._replica.term:
            if isinstance(message, Append):
                self._follower.refuse_append(source, message, now)
            return
        assert self._leader is None or message.term > self._replica.term, "one leader per term"
        self._follow_term(message.log_id, message.term, now)
        self._election.stop(now)
        if isinstance(message, Append):
            self._follower.receive_append(source, message, now)
        else:
            self._follower.receive_chunk(source, message, now)

    def _receive_from_follower(
        self, source: InstanceId, answer: AppendAnswer | SnapshotAnswer, now: Seconds
    ) -> None:
        self._follow_term(answer.log_id, answer.term, now)
        if self._leader is None or answer.term != self._replica.term:
            return
        if isinstance(answer, AppendAnswer):
            self._leader.receive_append_answer(source, answer, now)
        else:
            self._leader.receive_snapshot_answer(source, answer, now)

    def _hears_leader(self, now: Seconds) -> bool:
        if self._leader:
            return self._leader.quorum_age(now) < self._timing.min_election_timeout
        is_recent = now - self._follower.heard_at < self._timing.min_election_timeout
        return self._follower.leader is not None and is_recent

    def _is_behind(self, message: RequestVote) -> bool:
        log = self._replica.log
        return (log.last_term, log.last_index) <= (message.last_term, message.last_index)

    # Roles.

    def _follow_term(self, log_id: LogId, term: Term, now: Seconds) -> None:
        if term <= self._replica.term and self._replica.log_id is not None:
            return
        self._step_down(now)
        self._replica.set_term(log_id, term, None)

    def _step_down(self, now: Seconds) -> None:
        if self._leader:
            self._follower.note_quorum(Seconds(now - self._leader.quorum_age(now)))
            self._follower.note_caught_up(Seconds(now - self._caught_up_age(now)))
            self._leader = None
        self._follower.forget_leader()
        self._election.stop(now)

    def _begin_vote(self, now: Seconds, is_transfer: bool) -> None:
        self._follower.forget_leader()
        self._election.begin_vote(now, is_transfer)
        self._conclude_election(now)

    def _conclude_election(self, now: Seconds) -> None:
        if self._election.phase is Phase.PRE_VOTE and self._election.won:
            self._begin_vote(now, is_transfer=False)
        elif self._election.phase is Phase.VOTE and self._election.won:
            self._lead(self._election.granted, self._election.begun_at, now)

    def _lead(self, granted: frozenset[InstanceId], begun_at: Seconds, now: Seconds) -> None:
        self._election.stop(now)
        self._follower.forget_leader()
        self._leader = Leader(self._replica, self._timing, self._connected_by_id, granted, begun_at)
        self._leader.tick(now)

    def _become_sole_voter(self, term: Term, now: Seconds) -> None:
        self._step_down(now)
        log_id = LogId(self._rng.getrandbits(RANDOM_BITS))
        self._replica.set_term(log_id, term, self._me)
        members = Members(voters=frozenset({self._me}))
        self._replica.append_own(EntryKind.MEMBERS, members.encode())
        self._lead(frozenset({self._me}), now, now)

    def _tick_leader(self, leader: Leader, now: Seconds) -> None:
        if leader.quorum_age(now) > self._timing.max_election_timeout:
            self._step_down(now)
            return
        if self._may_change_members(leader) and not leader.transfer_target:
            self._make_due_change(leader, now)
        leader.tick(now)

    # Changes of members.

    def _may_change_members(self, leader: Leader) -> bool:
        needed = max(leader.first_index, self._replica.log.members_index)
        return self._replica.commit_index >= needed

    def _make_due_change(self, leader: Leader, now: Seconds) -> None:
        members = _members.next_membership_change(
            members=self._replica.log.members,
            candidates=[peer for peer, has_disk in self._connected_by_id.items() if has_disk],
            progress_by_id=leader.progress_by_id,
            commit_index=self._replica.commit_index,
            silent_before=Seconds(now - self._timing.max_election_timeout),
            voter_limit=self._voter_limit,
            can_replace=leader.has_led(self._timing.max_election_timeout, now),
            failure_domain_by_name=self._failure_domain_by_name,
        )
        if members:
            leader.propose(EntryKind.MEMBERS, members.encode())

    def _why_not_remove(self, member: InstanceId) -> MemberChangeReason | None:
        members = self._replica.log.members
        if member not in members.voters | members.learners:
            return MemberChangeReason.NOT_A_MEMBER
        if member == self._me:
            return MemberChangeReason.LEADER
        if self._leader is None or not self._may_change_members(self._leader):
            return MemberChangeReason.CHANGE_IN_PROGRESS
        return None
