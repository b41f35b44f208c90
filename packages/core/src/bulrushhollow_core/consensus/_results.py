"""
bulrushhollow_core.consensus._results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the log hands to its owner: actions, results of proposals and its status.
"""

import math
from enum import Enum

import msgspec

from bulrushhollow_core.consensus._records import ConsensusRecord
from bulrushhollow_core.consensus._types import LogEntry, Members
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term


class Committed(msgspec.Struct, frozen=True):
    """An entry is durable on a majority; entries come in the order of their indexes."""

    entry: LogEntry


class SnapshotRestored(msgspec.Struct, frozen=True):
    """
    The applied state is to be replaced by this one; later entries follow.

    :param index: last entry that the state includes.
    """

    index: LogIndex
    state: bytes


class RewriteJournal(msgspec.Struct, frozen=True):
    """
    Replace all journal records of the log by these, synced before any later action.

    :param records: the whole state of the log.
    """

    records: tuple[ConsensusRecord, ...]


class Proposed(msgspec.Struct, frozen=True):
    """
    A proposal was appended; it is accepted once an entry of this index and term is committed.
    If an entry of another term is committed at the index, it was not.
    """

    index: LogIndex
    term: Term
    actions: list[msgspec.Struct]


class NotLeader(msgspec.Struct, frozen=True):
    """
    The proposal was not appended.

    :param leader: who leads, if known.
    """

    leader: InstanceId | None


class TooLarge(msgspec.Struct, frozen=True):
    """
    The proposal was not appended, since its payload is too long.

    :param limit: longest payload in bytes.
    """

    limit: int


class MemberChangeReason(Enum):
    """Why members stay as they are."""

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
    This instance is now the only voter of a log that goes on from its own entries.

    :param last_index: changes acknowledged after this entry, if any, are lost.
    :param commit_index: entries after this one were not known to be acknowledged and now count.
    :param former_voters: instances that must be emptied before they join again.
    """

    last_index: LogIndex
    commit_index: LogIndex
    former_voters: frozenset[InstanceId]
    actions: list[msgspec.Struct]


class Role(Enum):
    """Part that an instance has in the log."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"
    OBSERVER = "observer"


class ConsensusStatus(msgspec.Struct, frozen=True):
    """
    What an instance knows of the log.

    :param quorum_age: seconds since a majority was last known to follow one leader: on the
        leader by its own count, elsewhere by the leader's word less the longest possible delay
        of that word; infinite if never.
    :param foreign_peers: peers that follow another log.
    :param caught_up_age: seconds since this instance had surely committed all that any majority
        had; infinite if never.
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
