"""
bulrushhollow_core.consensus._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the instances of one log. Each carries the id of its log, so that instances of two
logs that were bootstrapped separately never mix.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.consensus._types import LogEntry, LogId, Members
from bulrushhollow_core.ids import COUNT, LogIndex, Seconds, Term

MessageTerm = Annotated[Term, COUNT]
MessageIndex = Annotated[LogIndex, COUNT]
ByteCount = Annotated[int, COUNT]


class ClockReading(msgspec.Struct, frozen=True, array_like=True):
    """
    Reading of the sender's clock, echoed by the receiver.

    :param boot_id: random number of the sender's process, since clocks restart with the machine.
    :param at: the reading.
    """

    boot_id: int
    at: Seconds


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="consensus_vote"):
    """
    Request for a vote.

    :param term: term that the candidate stands for; in a pre-vote the term that an election would
        start.
    :param last_index: index of the last entry in the candidate's log.
    :param last_term: term of that entry.
    :param is_pre_vote: whether the request only asks if a vote would be granted.
    :param is_transfer: whether the leader transfers leadership to the candidate; voters then grant
        the vote even if they hear from the leader.
    """

    log_id: LogId
    term: MessageTerm
    last_index: MessageIndex
    last_term: MessageTerm
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_vote_answer"):
    """
    Answer to :class:`RequestVote`.

    :param term: the requested term if the vote is granted, else the current term of the sender.
    """

    log_id: LogId
    term: MessageTerm
    granted: bool
    is_pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="consensus_append"):
    """
    Entries from the leader; a heartbeat if there are none.

    :param previous_index: index just before the entries.
    :param previous_term: term of the entry at that index in the leader's log.
    :param commit: the leader's commit index.
    :param sent_at: reading of the leader's clock, echoed in the answer.
    :param quorum_age: seconds since the leader last heard from a majority, at the time of sending.
    :param echo: last clock reading that the leader received from the receiver; it bounds the delay
        of this message.
    """

    log_id: LogId
    term: MessageTerm
    previous_index: MessageIndex
    previous_term: MessageTerm
    commit: MessageIndex
    sent_at: Seconds
    quorum_age: Seconds
    entries: tuple[LogEntry, ...] = ()
    echo: ClockReading | None = None


class AppendAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_append_answer"):
    """
    Answer to :class:`Append`.

    :param success: whether the receiver's log matches the leader's log up to ``index``.
    :param index: without success, an index up to which the two logs may match.
    :param previous_index: as in the answered message.
    :param sent_at: as in the answered message.
    :param clock_reading: reading of the answering instance's clock, echoed by the leader.
    """

    log_id: LogId
    term: MessageTerm
    success: bool
    index: MessageIndex
    previous_index: MessageIndex
    sent_at: Seconds
    clock_reading: ClockReading


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="consensus_snapshot"):
    """
    Part of a snapshot from the leader.

    :param snapshot_index: index of the last entry that the snapshot includes.
    :param snapshot_term: term of that entry.
    :param offset: position of ``data`` in the snapshot's state, in bytes.
    :param total: length of the snapshot's state in bytes.
    """

    log_id: LogId
    term: MessageTerm
    snapshot_index: MessageIndex
    snapshot_term: MessageTerm
    members: Members
    offset: ByteCount
    total: ByteCount
    data: bytes
    sent_at: Seconds
    quorum_age: Seconds
    echo: ClockReading | None = None


class SnapshotAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_snapshot_answer"):
    """
    Answer to :class:`SnapshotChunk`.

    :param snapshot_index: index of the last entry that the snapshot includes.
    :param received: number of bytes of its state received without a gap.
    :param installed: whether the whole snapshot is installed and synced.
    """

    log_id: LogId
    term: MessageTerm
    snapshot_index: MessageIndex
    received: ByteCount
    installed: bool
    sent_at: Seconds
    clock_reading: ClockReading


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="consensus_timeout_now"):
    """Request from the leader to the receiver to start an election at once."""

    log_id: LogId
    term: MessageTerm


ConsensusMessage = (
    RequestVote | VoteAnswer | Append | AppendAnswer | SnapshotChunk | SnapshotAnswer | TimeoutNow
)
