"""
bulrushhollow_core.consensus._results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Actions, proposal results and the status that the log returns to its owner.
"""

import math
from enum import Enum

import msgspec

from bulrushhollow_core.consensus._records import ConsensusRecord
from bulrushhollow_core.consensus._types import LogEntry, Members
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term


class Committed(msgspec.Struct, frozen=True):
    """Action: apply an entry that a majority stores; entries come in the order of their indexes."""

    entry: LogEntry


class SnapshotRestored(msgspec.Struct, frozen=True):
    """
    Action: replace the applied state by this one; later entries follow.

    :param index: index of the last entry that the state includes.
    """

    index: LogIndex
    state: bytes


class RewriteJournal(msgspec.Struct, frozen=True):
    """
    Action: replace all journal records of the log by these, and sync before any later action.

    :param records: the whole state of the log.
    """

    records: tuple[ConsensusRecord, ...]


class Proposed(msgspec.Struct, frozen=True):
    """
    The proposal was appended. It is accepted once an entry with this index and term is committed,
    and lost if an entry of another term is committed at this index.
    """

    index: LogIndex
    term: Term
    actions: list[msgspec.Struct]


class NotLeader(msgspec.Struct, frozen=True):
    """
    The proposal was not appended, since this instance does not lead.

    :param leader: the current leader, if known.
    """

    leader: InstanceId | None


class TooLarge(msgspec.Struct, frozen=True):
    """
    The proposal was not appended, since its payload is too long.

    :param limit: longest allowed payload in bytes.
    """

    limit: int


class MemberChangeReason(Enum):
    """Reason why a change of members was refused."""

    NOT_A_MEMBER = "not_a_member"
    LEADER = "leader"
    LAST_VOTER = "last_voter"
    CHANGE_IN_PROGRESS = "change_in_progress"
    QUORUM_PRESENT = "quorum_present"
    NO_STATE = "no_state"


class MemberChangeRefused(msgspec.Struct, frozen=True):
    """The members were not changed."""

    reason: MemberChangeReason


class ForcedRecovery(msgspec.Struct, frozen=True):
    """
    This instance is now the only voter of a log that continues from its own entries.

    :param last_index: last entry kept; entries after it that were acknowledged, if any, are lost.
    :param commit_index: last entry known to be committed before; later entries up to
        ``last_index`` now count as committed although they may never have been acknowledged.
    :param former_voters: instances whose data folders must be emptied before they join again.
    """

    last_index: LogIndex
    commit_index: LogIndex
    former_voters: frozenset[InstanceId]
    actions: list[msgspec.Struct]


class Role(Enum):
    """Role of an instance in the log."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"
    OBSERVER = "observer"


class ConsensusStatus(msgspec.Struct, frozen=True):
    """
    State of the log as one instance knows it.

    :param quorum_age: seconds since a majority was last known to follow one leader; infinite if
        never. The leader counts the answers itself. Other instances add the longest possible delay
        of the leader's message to the age that it reported.
    :param foreign_peers: peers that belong to another log.
    :param caught_up_age: seconds since this instance had certainly committed every entry that any
        majority had committed; infinite if never.
    """

    role: Role
    term: Term
    leader: InstanceId | None
    commit_index: LogIndex
    last_index: LogIndex
    snapshot_index: LogIndex
    members: Members
    quorum_age: Seconds
    foreign_peers: frozenset[InstanceId] = frozenset()
    caught_up_age: Seconds = Seconds(math.inf)
