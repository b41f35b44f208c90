"""
bulrushhollow_core.consensus._consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log of one instance: its roles, and the methods that its owner calls.
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
from bulrushhollow_core.consensus._voting import VotingRules
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds, Term, name_of

RANDOM_ID_BITS = 31
"""Bits of the random ids of logs and processes."""

DEFAULT_TIMING = Timing()


class Consensus:
    """
    One instance of the replicated log.

    Call :meth:`flush` once after each batch of events; it sends all proposals of the batch in one
    message per peer. The first actions after a restart restore the snapshot.

    Usage::

        >>> log = Consensus(me, has_disk=True, restored=None, rng=rng, now=now)
        >>> actions = log.bootstrap(now)
        >>> proposed = log.propose(b"command", now)

    :param me: this incarnation of the instance.
    :param has_disk: whether it has a journal; without one it follows the leader and never votes.
    :param restored: state from its journal, if there is any.
    :param rng: draws election timeouts and the ids of logs and processes.
    :param voter_limit: maximum number of voters; further instances with a disk stay learners until
        a voter has been silent for the silence timeout. None for no limit.
    :param term_spacing: distance between the terms of successive elections. The numbers between a
        term and the next multiple belong to the leader of that term.
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
        term_spacing: int = 1,
    ) -> None:
        """Start as a follower without a leader."""
        self._me = me
        self._voter_limit = voter_limit
        self._failure_domains_by_name: dict[InstanceName, str] = {}
        self._rng = rng
        self._timing = timing
        self._replica = Replica(me, has_disk, restored)
        self._follower = Follower(self._replica, rng.getrandbits(RANDOM_ID_BITS))
        self._election = Election(self._replica, timing, rng, now, term_spacing)
        self._voting = VotingRules(self._replica, self._follower, self._election, timing, now)
        self._leader: Leader | None = None
        self._connected_by_id: dict[InstanceId, bool] = {}
        self._foreign_peers: frozenset[InstanceId] = frozenset()

    # Events.

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """
        Handle a message from another instance of the log.

        :return: actions in the order in which to carry them out.
        """
        consensus_message = cast(ConsensusMessage, message)
        if self._belongs_to_log(source, consensus_message):
            self._dispatch(source, consensus_message, now)
        return self.flush(now)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Handle expired timers: send heartbeats, start an election, step down or change the members.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._tick_leader(self._leader, now)
        elif self._replica.is_voter and self._election.has_timed_out(now):
            self._follower.clear_leader()
            self._election.start_pre_vote(now)
            self._advance_election(now)
        return self.flush(now)

    def flush(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Send new entries and commit those that a majority stores, after a batch of events.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._leader.flush(now)
        return self._replica.take_actions()

    def peer_connected(
        self, peer: InstanceId, has_disk: bool, now: Seconds
    ) -> list[msgspec.Struct]:
        """
        Handle a new connection to an incarnation of a peer. A leader replicates to it, and makes
        it a member if it has a disk.

        :return: actions in the order in which to carry them out.
        """
        self._connected_by_id[peer] = has_disk
        if self._leader:
            self._leader.peer_connected(peer)
            self._leader.tick(now)
        elif (
            self._replica.is_voter
            and self._follower.has_never_heard_leader
            and self._accounts_for_all_voters()
        ):
            # All voters are back, as after a power failure of all instances.
            self._election.expedite(now)
        return self.flush(now)

    def _accounts_for_all_voters(self) -> bool:
        """
        Return whether each voter is connected, or has ended: another incarnation of its name is
        connected, as after the loss of its disk.
        """
        reachable_names = {name_of(peer) for peer in self._connected_by_id}
        others = self._replica.log.members.voters - {self._me}
        return {name_of(voter) for voter in others} <= reachable_names

    def set_failure_domain(self, name: InstanceName, domain: str) -> None:
        """Record the failure domain of an instance; voters are spread over failure domains."""
        self._failure_domains_by_name[name] = domain

    def peer_disconnected(
        self, peer: InstanceId, now: Seconds, has_ended: bool = True
    ) -> list[msgspec.Struct]:
        """
        Handle the loss of the connection to an incarnation of a peer. If it was the leader and has
        ended, an election starts within :attr:`Timing.disconnect_timeout`; the other voters grant
        their votes only if they have lost the leader too.

        :param has_ended: whether the peer's process is known to have ended. A lost connection alone
            does not show this: the leader may go on leading until its lease ends.
        :return: actions in the order in which to carry them out.
        """
        self._connected_by_id.pop(peer, None)
        self._foreign_peers -= {peer}
        if self._leader:
            if has_ended:
                self._leader.forget_contact(peer)
            self._leader.update_peers()
        elif has_ended and self._follower.leader == peer:
            self._follower.clear_leader()
            self._election.expedite(now)
        return self.flush(now)

    # Proposals.

    def propose(self, payload: bytes, now: Seconds) -> Proposed | NotLeader | TooLarge:
        """
        Append a command to the log; :meth:`flush` sends it.

        :param payload: at most :data:`MAX_PAYLOAD_BYTES` long.
        :return: its index and term in the log, or why it was not appended.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            return TooLarge(MAX_PAYLOAD_BYTES)
        if self._leader is None:
            return NotLeader(self._known_leader(now))
        if self._leader.transfer_target:
            return NotLeader(self._leader.transfer_target)
        entry = self._leader.propose(EntryKind.COMMAND, payload)
        return Proposed(entry.index, entry.term, self._replica.take_actions())

    def transfer_leadership(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Transfer leadership to another voter, as before a planned stop. The status shows when it is
        done. The transfer is abandoned after the silence timeout and can be repeated.

        :return: actions in the order in which to carry them out.
        """
        if self._leader:
            self._leader.transfer_leadership(now)
        return self.flush(now)

    def compact(self, index: LogIndex, state: bytes, now: Seconds) -> list[msgspec.Struct]:
        """
        Replace the entries up to an index by a snapshot of the applied state.

        :param index: index of the last entry that the state includes; ignored unless committed.
        :return: actions in the order in which to carry them out.
        """
        if self._replica.log.snapshot_index < index <= self._replica.commit_index:
            self._replica.compact(index, state)
        return self.flush(now)

    # Members.

    def bootstrap(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Bootstrap a new log with this instance as its only voter. Nothing happens if the instance
        already has a log or has no disk.

        :return: actions in the order in which to carry them out.
        """
        if self._replica.log_id is None and self._replica.has_disk:
            self._become_sole_voter(Term(1), now)
        return self.flush(now)

    def remove_member(
        self, member: InstanceId, now: Seconds
    ) -> Proposed | NotLeader | MemberChangeRefused:
        """
        Remove an incarnation from the members, as when it is gone for good and no instance of the
        same name replaces it. An instance that still runs and has a disk joins again.

        :return: index and term of the change in the log, or why it was refused.
        """
        if self._leader is None:
            return NotLeader(self._known_leader(now))
        reason = self._removal_refusal(member)
        if reason:
            return MemberChangeRefused(reason)
        members = _members.without_member(self._replica.log.members, member)
        entry = self._leader.propose(EntryKind.MEMBERS, members.encode())
        return Proposed(entry.index, entry.term, self.flush(now))

    def force_sole_voter(self, now: Seconds) -> ForcedRecovery | MemberChangeRefused:
        """
        Continue as the only voter after the quorum is lost for good. The log gets a new id, so that
        messages of the former voters are dropped; they must return with empty data folders.

        :return: which entries may be lost, with the actions, or why it was refused.
        """
        log = self._replica.log
        if not self._replica.has_disk or self._replica.log_id is None:
            return MemberChangeRefused(MemberChangeReason.NO_STATE)
        if self.status(now).quorum_age < self._timing.silence_timeout:
            return MemberChangeRefused(MemberChangeReason.QUORUM_PRESENT)
        former_voters = log.members.voters - {self._me}
        last_index, commit_index = log.last_index, self._replica.commit_index
        self._become_sole_voter(self._election.next_term, now)
        return ForcedRecovery(last_index, commit_index, former_voters, self.flush(now))

    # Status.

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return the state of the log as this instance knows it."""
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
        """Return whether this instance leads, even if it has lost contact with its majority."""
        return self._leader is not None

    @property
    def members(self) -> Members:
        """Return the newest members in this instance's log."""
        return self._replica.log.members

    @property
    def reaches_quorum(self) -> bool:
        """Return whether this instance is connected to enough voters for an election."""
        members = self._replica.log.members
        reachable_voters = members.voters & {*self._connected_by_id, self._me}
        return len(reachable_voters) >= members.quorum_size

    def quorum_age(self, now: Seconds) -> Seconds:
        """Return seconds since a majority was last known to follow one leader."""
        leader = self._leader
        return leader.quorum_age(now) if leader else self._follower.quorum_age(now)

    def records(self) -> tuple[ConsensusRecord, ...]:
        """Return the whole state of the log as journal records."""
        return self._replica.records()

    def _known_leader(self, now: Seconds) -> InstanceId | None:
        """Return the leader, unless it has been silent for the silence timeout."""
        if self._leader:
            return self._me
        is_silent = now - self._follower.last_leader_contact_at > self._timing.silence_timeout
        return None if is_silent else self._follower.leader

    def _caught_up_age(self, now: Seconds) -> Seconds:
        leader = self._leader
        if leader is None:
            return self._follower.caught_up_age(now)
        has_committed_own_term = self._replica.commit_index >= leader.first_index_of_term
        return leader.quorum_age(now) if has_committed_own_term else Seconds(math.inf)

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

    def _belongs_to_log(self, source: InstanceId, message: ConsensusMessage) -> bool:
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
                    self._start_vote(now, is_transfer=True)

    def _receive_request_vote(self, source: InstanceId, message: RequestVote, now: Seconds) -> None:
        if not self._replica.has_disk:
            return
        is_leader_live = self._has_live_leader(now) and not message.is_transfer
        if message.is_pre_vote:
            granted = not is_leader_live and self._voting.grants_pre_vote(source, message)
            if granted:
                self._election.yield_to_candidate(now)
            self._answer_vote(source, message, granted)
            return
        if is_leader_live:
            return
        self._adopt_term(message.log_id, message.term, now)
        is_vote_free = self._replica.voted_for in (None, source) and self._leader is None
        granted = (
            message.term == self._replica.term
            and is_vote_free
            and self._voting.is_up_to_date(message)
        )
        if granted:
            self._replica.set_term(message.log_id, message.term, source)
            self._election.reset(now)
        self._answer_vote(source, message, granted)

    def _answer_vote(self, source: InstanceId, message: RequestVote, granted: bool) -> None:
        term = message.term if granted else self._replica.term
        self._replica.send(source, VoteAnswer(message.log_id, term, granted, message.is_pre_vote))

    def _receive_vote_answer(self, source: InstanceId, answer: VoteAnswer, now: Seconds) -> None:
        if not answer.granted:
            self._adopt_term(answer.log_id, answer.term, now)
            return
        self._election.record_vote(source, answer)
        self._advance_election(now)

    def _receive_from_leader(
        self, source: InstanceId, message: Append | SnapshotChunk, now: Seconds
    ) -> None:
        if message.term < self._replica.term:
            if isinstance(message, Append):
                self._follower.reject_append(source, message, now)
            return
        assert self._leader is None or message.term > self._replica.term, "one leader per term"
        self._adopt_term(message.log_id, message.term, now)
        self._election.reset(now)
        if isinstance(message, Append):
            self._follower.receive_append(source, message, now)
        else:
            self._follower.receive_snapshot_chunk(source, message, now)

    def _receive_from_follower(
        self, source: InstanceId, answer: AppendAnswer | SnapshotAnswer, now: Seconds
    ) -> None:
        self._adopt_term(answer.log_id, answer.term, now)
        if self._leader is None or answer.term != self._replica.term:
            return
        if isinstance(answer, AppendAnswer):
            self._leader.receive_append_answer(source, answer, now)
        else:
            self._leader.receive_snapshot_answer(source, answer, now)

    def _has_live_leader(self, now: Seconds) -> bool:
        """Return whether a leader leads, or may do so unknown to this process."""
        if self._leader:
            return self._leader.quorum_age(now) < self._timing.min_election_timeout
        if self._voting.hears_leader(now):
            return True
        return self._voting.may_have_forgotten_leader(now) and not self._accounts_for_all_voters()

    # Roles.

    def _adopt_term(self, log_id: LogId, term: Term, now: Seconds) -> None:
        if term <= self._replica.term and self._replica.log_id is not None:
            return
        self._step_down(now)
        self._replica.set_term(log_id, term, None)

    def _step_down(self, now: Seconds) -> None:
        if self._leader:
            self._follower.record_quorum(Seconds(now - self._leader.quorum_age(now)))
            self._follower.record_caught_up(Seconds(now - self._caught_up_age(now)))
            self._leader = None
        self._follower.clear_leader()
        self._election.reset(now)

    def _start_vote(self, now: Seconds, is_transfer: bool) -> None:
        self._follower.clear_leader()
        self._election.start_vote(now, is_transfer)
        self._advance_election(now)

    def _advance_election(self, now: Seconds) -> None:
        if self._election.phase is Phase.PRE_VOTE and self._election.is_won:
            self._start_vote(now, is_transfer=False)
        elif self._election.phase is Phase.VOTE and self._election.is_won:
            self._become_leader(self._election.granted_by, self._election.started_at, now)

    def _become_leader(
        self, granted_by: frozenset[InstanceId], started_at: Seconds, now: Seconds
    ) -> None:
        self._election.reset(now)
        self._follower.clear_leader()
        self._leader = Leader(
            self._replica, self._timing, self._connected_by_id, granted_by, started_at
        )
        self._leader.tick(now)

    def _become_sole_voter(self, term: Term, now: Seconds) -> None:
        self._step_down(now)
        log_id = LogId(self._rng.getrandbits(RANDOM_ID_BITS))
        self._replica.set_term(log_id, term, self._me)
        members = Members(voters=frozenset({self._me}))
        self._replica.append_as_leader(EntryKind.MEMBERS, members.encode())
        self._become_leader(frozenset({self._me}), now, now)

    def _tick_leader(self, leader: Leader, now: Seconds) -> None:
        if leader.quorum_age(now) > self._timing.silence_timeout:
            self._step_down(now)
            return
        if self._can_change_members(leader) and not leader.transfer_target:
            self._propose_membership_change(leader, now)
        leader.tick(now)

    # Membership changes.

    def _can_change_members(self, leader: Leader) -> bool:
        required_index = max(leader.first_index_of_term, self._replica.log.members_index)
        return self._replica.commit_index >= required_index

    def _propose_membership_change(self, leader: Leader, now: Seconds) -> None:
        members = _members.next_membership_change(
            members=self._replica.log.members,
            candidates=[peer for peer, has_disk in self._connected_by_id.items() if has_disk],
            progress_by_id=leader.progress_by_id,
            commit_index=self._replica.commit_index,
            silent_before=Seconds(now - self._timing.silence_timeout),
            voter_limit=self._voter_limit,
            can_replace=leader.has_led_for(self._timing.silence_timeout, now),
            failure_domains_by_name=self._failure_domains_by_name,
        )
        if members:
            leader.propose(EntryKind.MEMBERS, members.encode())

    def _removal_refusal(self, member: InstanceId) -> MemberChangeReason | None:
        members = self._replica.log.members
        if member not in members.voters | members.learners:
            return MemberChangeReason.NOT_A_MEMBER
        if member == self._me:
            return MemberChangeReason.LEADER
        if self._leader is None or not self._can_change_members(self._leader):
            return MemberChangeReason.CHANGE_IN_PROGRESS
        return None
