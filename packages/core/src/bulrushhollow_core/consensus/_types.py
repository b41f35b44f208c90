"""
bulrushhollow_core.consensus._types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries, members, snapshots and timing of the replicated log.
"""

from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term

LogId = NewType("LogId", int)
"""Random number drawn when a log is bootstrapped; messages of any other log are dropped."""

MAX_PAYLOAD_BYTES = 1_048_576
"""Longest payload of one entry in bytes, which bounds every message. A whole configuration of a
domain, up to 256 KiB as text, must fit."""


def next_term(term: Term, spacing: int) -> Term:
    """
    Return the term of the next election: the next multiple of a spacing.

    Voters of an earlier version stand one term later, between two multiples.
    """
    return Term((term // spacing + 1) * spacing)


class EntryKind(Enum):
    """Kind of payload that a log entry carries."""

    COMMAND = 0
    MEMBERS = 1
    NOOP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """
    One entry of the log.

    :param payload: opaque bytes from the proposer, or encoded :class:`Members`.
    """

    index: LogIndex
    term: Term
    payload: bytes
    kind: EntryKind = EntryKind.COMMAND


class Members(msgspec.Struct, frozen=True, array_like=True):
    """
    Members of the log.

    :param voters: instances with a disk; an entry is committed once a majority of them stores it.
    :param learners: instances with a disk that catch up before they become voters.
    """

    voters: frozenset[InstanceId] = frozenset()
    learners: frozenset[InstanceId] = frozenset()

    @property
    def quorum_size(self) -> int:
        """Return the number of voters in a strict majority."""
        return len(self.voters) // 2 + 1

    def encode(self) -> bytes:
        """Return the payload of an entry that puts these members in force."""
        sorted_form = (sorted(self.voters), sorted(self.learners))
        return msgspec.msgpack.encode(sorted_form)

    @classmethod
    def decode(cls, payload: bytes) -> "Members":
        """Return the members encoded in an entry's payload."""
        return msgspec.msgpack.decode(payload, type=cls)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """
    The applied state as of one index; replaces all entries up to that index.

    :param index: index of the last entry that the state includes.
    :param term: term of that entry.
    :param members: members in force at that entry.
    :param state: opaque bytes from the state machine that applies the log.
    """

    index: LogIndex
    term: Term
    members: Members
    state: bytes


class RestoredState(msgspec.Struct, frozen=True):
    """State of one instance's log as read from its journal after a restart."""

    log_id: LogId
    term: Term
    voted_for: InstanceId | None
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


class Timing(msgspec.Struct, frozen=True):
    """
    Intervals and timeouts of the log.

    :param heartbeat_interval: seconds between two heartbeats to a member.
    :param observer_heartbeat_interval: seconds between two heartbeats to an instance that is not a
        member.
    :param min_election_timeout: shortest election timeout in seconds. A voter that heard from its
        leader within this time grants no vote.
    :param election_jitter: longest random time in seconds that is added to it.
    :param silence_timeout: seconds for which a leader leads without having heard from a
        majority, and after which a voter counts as silent.
    :param vote_timeout: longest time in seconds for which a candidate waits for votes before it
        stands again. Long enough for two syncs of a slow disk.
    :param disconnect_timeout: longest time in seconds from the end of the leader's process to the
        start of an election.
    :param is_coalescing: whether to send fewer messages: a new commit index goes with the next
        message, and members without a vote get new entries with their heartbeats.
    """

    heartbeat_interval: Seconds = Seconds(0.25)
    observer_heartbeat_interval: Seconds = Seconds(0.5)
    min_election_timeout: Seconds = Seconds(1.0)
    election_jitter: Seconds = Seconds(1.0)
    silence_timeout: Seconds = Seconds(2.0)
    vote_timeout: Seconds = Seconds(1.0)
    disconnect_timeout: Seconds = Seconds(0.5)
    is_coalescing: bool = False
