"""
bulrushhollow_core.consensus._progress
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Replication progress of one peer, as its leader knows it.
"""

import math
from enum import Enum

from bulrushhollow_core.consensus._messages import ClockReading
from bulrushhollow_core.consensus._types import Snapshot
from bulrushhollow_core.ids import LogIndex, Seconds

DISTANT_PAST = Seconds(-math.inf)
"""Clock reading before any other."""

DISTANT_FUTURE = Seconds(math.inf)
"""Clock reading after any other."""

MAX_IN_FLIGHT_ENTRIES = 1024
"""Maximum number of entries sent to a peer that it has not acknowledged."""


class ReplicationMode(Enum):
    """How a leader replicates its log to a peer."""

    PROBE = "probe"
    """The last index at which the logs match is unknown: one empty message at a time."""

    STREAM = "stream"
    """The logs match: entries are sent without waiting for answers to earlier ones."""

    SNAPSHOT = "snapshot"
    """The peer needs entries that are compacted away: one snapshot chunk at a time."""


class Progress:
    """
    Replication progress of one peer.

    :param next_index: initial guess at the index of the next entry to send.
    :param last_contact_at: leader's clock when it sent the last message that the peer answered.
    """

    def __init__(self, next_index: LogIndex, last_contact_at: Seconds = DISTANT_PAST) -> None:
        """Start in probe mode."""
        self.mode = ReplicationMode.PROBE
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.sent_commit_index = LogIndex(0)
        self.last_contact_at = last_contact_at
        self.echo: ClockReading | None = None
        self.next_heartbeat_at = DISTANT_PAST
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0

    @property
    def is_fully_acknowledged(self) -> bool:
        """Return whether the peer has acknowledged every entry that was sent to it."""
        return self.mode is ReplicationMode.STREAM and self.next_index - 1 == self.match_index

    @property
    def has_send_window(self) -> bool:
        """Return whether more entries may be sent before the peer answers."""
        return self.next_index - 1 - self.match_index < MAX_IN_FLIGHT_ENTRIES

    def record_answer(self, sent_at: Seconds, clock_reading: ClockReading) -> None:
        """Record an answer to the message that the leader sent at ``sent_at`` by its own clock."""
        self.last_contact_at = max(self.last_contact_at, sent_at)
        self.echo = clock_reading

    def record_match(self, index: LogIndex) -> None:
        """Record that the peer's log matches the leader's log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        if self.mode is ReplicationMode.SNAPSHOT and self.snapshot and index < self.snapshot.index:
            return
        self.mode = ReplicationMode.STREAM
        self.snapshot = None

    def record_rejection(self, previous_index: LogIndex, hint: LogIndex) -> bool:
        """
        Record that the peer's log lacks the entry that precedes those that were sent.

        :param previous_index: index of that entry.
        :param hint: index up to which the two logs may match.
        :return: whether the answer is current, so that a new probe is due; False if it is stale.
        """
        if previous_index <= self.match_index or self.mode is ReplicationMode.SNAPSHOT:
            return False
        if self.mode is ReplicationMode.PROBE and previous_index != self.next_index - 1:
            return False
        self.mode = ReplicationMode.PROBE
        self.next_index = max(
            LogIndex(self.match_index + 1), min(previous_index, LogIndex(hint + 1))
        )
        return True

    def restart_probing(self) -> None:
        """Probe again after a reconnect, since messages may have been lost."""
        self.mode = ReplicationMode.PROBE
        self.next_index = LogIndex(self.match_index + 1) if self.match_index else self.next_index
        self.next_heartbeat_at = DISTANT_PAST

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Switch to sending a snapshot from its first byte."""
        self.mode = ReplicationMode.SNAPSHOT
        self.snapshot = snapshot
        self.snapshot_offset = 0
