"""
bulrushhollow_core.consensus
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A replicated log in the manner of Raft: leader election with pre-vote and check-quorum, log
replication with group commit, snapshots, learners, single-server membership changes and leadership
transfer.
"""

from bulrushhollow_core.consensus._consensus import Consensus
from bulrushhollow_core.consensus._messages import (
    Append,
    AppendAnswer,
    ClockReading,
    ConsensusMessage,
    RequestVote,
    SnapshotAnswer,
    SnapshotChunk,
    TimeoutNow,
    VoteAnswer,
)
from bulrushhollow_core.consensus._records import (
    ConsensusRecord,
    EntriesRecord,
    Restorer,
    SnapshotRecord,
    TermRecord,
)
from bulrushhollow_core.consensus._results import (
    Committed,
    ConsensusStatus,
    ForcedRecovery,
    MemberChangeReason,
    MemberChangeRefused,
    NotLeader,
    Proposed,
    RewriteJournal,
    Role,
    SnapshotRestored,
    TooLarge,
)
from bulrushhollow_core.consensus._types import (
    EntryKind,
    LogEntry,
    LogId,
    Members,
    RestoredState,
    Snapshot,
    Timing,
)

__all__ = [
    "Append",
    "AppendAnswer",
    "Committed",
    "Consensus",
    "ConsensusMessage",
    "ConsensusRecord",
    "ConsensusStatus",
    "EntriesRecord",
    "EntryKind",
    "ForcedRecovery",
    "LogEntry",
    "LogId",
    "MemberChangeReason",
    "MemberChangeRefused",
    "Members",
    "NotLeader",
    "Proposed",
    "RequestVote",
    "RestoredState",
    "Restorer",
    "RewriteJournal",
    "Role",
    "Snapshot",
    "SnapshotAnswer",
    "SnapshotChunk",
    "SnapshotRecord",
    "SnapshotRestored",
    "ClockReading",
    "TermRecord",
    "TimeoutNow",
    "Timing",
    "TooLarge",
    "VoteAnswer",
]
