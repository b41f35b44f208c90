"""
bulrushhollow_core.consensus._progress
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a leader knows of one peer's log.
"""

import math
from enum import Enum

from bulrushhollow_core.consensus._messages import ClockReading
from bulrushhollow_core.consensus._types import Snapshot
from bulrushhollow_core.ids import LogIndex, Seconds

NEVER = Seconds(-math.inf)
"""A reading of the clock before any other."""

ALWAYS = Seconds(math.inf)
"""A reading of the clock after any other."""

MAX_UNANSWERED_ENTRIES = 1024
"""Most entries sent ahead of a peer's answers."""


class Flow(Enum):
    """How a leader sends to a peer."""

    PROBE = "probe"
    """Where the logs agree is unknown: one empty message at a time."""

    STREAM = "stream"
    """The logs agree: entries go out ahead of the answers."""

    SNAPSHOT = "snapshot"
    """The peer needs entries that are compacted away: one chunk at a time."""


class Progress:
    """
    What a leader knows of one peer's log.

    :param next_index: first guess at the next entry to send.
    :param heard_at: leader's clock when it sent the last message that the peer answered.
    """

    def __init__(self, next_index: LogIndex, heard_at: Seconds = NEVER) -> None:
        """Begin by probing."""
        self.flow = Flow.PROBE
        self.next_index = next_index
        self.match_index = LogIndex(0)
        self.sent_commit = LogIndex(0)
        self.heard_at = heard_at
        self.echo: ClockReading | None = None
        self.heartbeat_due = NEVER
        self.snapshot: Snapshot | None = None
        self.snapshot_offset = 0

    @property
    def is_all_answered(self) -> bool:
        """Return whether the peer holds every entry that was sent to it."""
        return self.flow is Flow.STREAM and self.next_index - 1 == self.match_index

    @property
    def has_room(self) -> bool:
        """Return whether more entries may be sent ahead of the answers."""
        return self.next_index - 1 - self.match_index < MAX_UNANSWERED_ENTRIES

    def heard(self, sent_at: Seconds, clock_reading: ClockReading) -> None:
        """Note an answer to a message that was sent at a time of the leader's clock."""
        self.heard_at = max(self.heard_at, sent_at)
        self.echo = clock_reading

    def matched(self, index: LogIndex) -> None:
        """Note that the peer's log holds the leader's log up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, LogIndex(self.match_index + 1))
        if self.flow is Flow.SNAPSHOT and self.snapshot and index < self.snapshot.index:
            return
        self.flow = Flow.STREAM
        self.snapshot = None

    def rejected(self, previous_index: LogIndex, hint: LogIndex) -> bool:
        """
        Note that the peer's log does not hold the entry before those that were sent.

        :return: whether this is news, so that a new probe is due.
        """
        if previous_index <= self.match_index or self.flow is Flow.SNAPSHOT:
            return False
        if self.flow is Flow.PROBE and previous_index != self.next_index - 1:
            return False
        self.flow = Flow.PROBE
        self.next_index = max(
            LogIndex(self.match_index + 1), min(previous_index, LogIndex(hint + 1))
        )
        return True

    def probe(self) -> None:
        """Begin anew after the connection was lost."""
        self.flow = Flow.PROBE
        self.next_index = LogIndex(self.match_index + 1) if self.match_index else self.next_index
        self.heartbeat_due = NEVER

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Send a snapshot from its first byte."""
        self.flow = Flow.SNAPSHOT
        self.snapshot = snapshot
        self.snapshot_offset = 0
