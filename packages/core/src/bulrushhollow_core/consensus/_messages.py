"""
bulrushhollow_core.consensus._messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Messages between the instances of one log. Each names its log, so that instances of two logs
that were founded apart never mix.
"""

import msgspec

from bulrushhollow_core.consensus._types import LogEntry, LogId, Members
from bulrushhollow_core.ids import LogIndex, Seconds, Term


class ClockReading(msgspec.Struct, frozen=True, array_like=True):
    """
    A reading of the sender's clock that the receiver echoes.

    :param boot_id: random number of the sender's process, since clocks restart with a machine.
    :param at: the reading.
    """

    boot_id: int
    at: Seconds


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="consensus_vote"):
    """
    Ask for a vote.

    :param term: the term to lead; for a pre-vote the term that an election would begin.
    :param last_index: last index of the candidate's log.
    :param last_term: term of that entry.
    :param is_pre_vote: ask only whether a vote would be granted.
    :param is_transfer: the leader asked for this election, so its voters need not wait.
    """

    log_id: LogId
    term: Term
    last_index: LogIndex
    last_term: Term
    is_pre_vote: bool = False
    is_transfer: bool = False


class VoteAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_vote_answer"):
    """
    Answer to :class:`RequestVote`.

    :param term: the term asked for if granted, else the present term of the sender.
    """

    log_id: LogId
    term: Term
    granted: bool
    is_pre_vote: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag="consensus_append"):
    """
    Entries from the leader; without entries a heartbeat.

    :param previous_index: the index just before the entries.
    :param previous_term: its term in the leader's log.
    :param commit: the leader's commit index.
    :param sent_at: the leader's clock, to be echoed.
    :param quorum_age: seconds since the leader last heard a majority, when it sent this.
    :param echo: last clock reading the leader has of the receiver, which bounds this message's delay.
    """

    log_id: LogId
    term: Term
    previous_index: LogIndex
    previous_term: Term
    commit: LogIndex
    sent_at: Seconds
    quorum_age: Seconds
    entries: tuple[LogEntry, ...] = ()
    echo: ClockReading | None = None


class AppendAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_append_answer"):
    """
    Answer to :class:`Append`.

    :param success: whether the receiver's log holds the leader's log up to ``index``.
    :param index: if not, an index up to which the two logs may agree.
    :param previous_index: as in the message that is answered.
    :param sent_at: as in the message that is answered.
    :param clock_reading: the receiver's clock, to be echoed.
    """

    log_id: LogId
    term: Term
    success: bool
    index: LogIndex
    previous_index: LogIndex
    sent_at: Seconds
    clock_reading: ClockReading


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag="consensus_snapshot"):
    """
    A part of a snapshot from the leader.

    :param index: last index that the snapshot includes.
    :param index_term: term of that entry.
    :param offset: position of ``data`` in the snapshot's state, in bytes.
    :param total: length of the snapshot's state in bytes.
    """

    log_id: LogId
    term: Term
    index: LogIndex
    index_term: Term
    members: Members
    offset: int
    total: int
    data: bytes
    sent_at: Seconds
    quorum_age: Seconds
    echo: ClockReading | None = None


class SnapshotAnswer(msgspec.Struct, frozen=True, array_like=True, tag="consensus_snapshot_answer"):
    """
    Answer to :class:`SnapshotChunk`.

    :param index: the snapshot that is being received.
    :param received: bytes of its state received without a gap.
    :param installed: whether all of it is in force and synced.
    """

    log_id: LogId
    term: Term
    index: LogIndex
    received: int
    installed: bool
    sent_at: Seconds
    clock_reading: ClockReading


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="consensus_timeout_now"):
    """The leader asks the receiver to begin an election at once."""

    log_id: LogId
    term: Term


ConsensusMessage = (
    RequestVote | VoteAnswer | Append | AppendAnswer | SnapshotChunk | SnapshotAnswer | TimeoutNow
)
