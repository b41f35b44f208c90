"""
bulrushhollow_core.consensus._types
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Entries, membership, snapshots and timing of the replicated log.
"""

from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term

LogId = NewType("LogId", int)
"""Random number of one founded log; messages of any other log are dropped."""

MAX_PAYLOAD_BYTES = 1_048_576
"""Longest payload of one entry, so that every message stays bounded; a whole configuration of a
domain, of up to 256 KiB as text, has to fit with room to spare."""


class EntryKind(Enum):
    """What an entry of the log carries."""

    COMMAND = 0
    MEMBERS = 1
    NOOP = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """
    One entry of the log.

    :param payload: opaque bytes of the proposer, or encoded :class:`Members`.
    """

    index: LogIndex
    term: Term
    payload: bytes
    kind: EntryKind = EntryKind.COMMAND


class Members(msgspec.Struct, frozen=True, array_like=True):
    """
    Who belongs to the log.

    :param voters: instances with a disk whose majority commits.
    :param learners: instances with a disk that catch up before they become voters.
    """

    voters: frozenset[InstanceId] = frozenset()
    learners: frozenset[InstanceId] = frozenset()

    @property
    def quorum(self) -> int:
        """Return the number of voters that make a strict majority."""
        return len(self.voters) // 2 + 1

    def encode(self) -> bytes:
        """Return the payload of an entry that puts these members in force."""
        sorted_form = (sorted(self.voters), sorted(self.learners))
        return msgspec.msgpack.encode(sorted_form)

    @classmethod
    def decode(cls, payload: bytes) -> "Members":
        """Return the members that an entry's payload holds."""
        return msgspec.msgpack.decode(payload, type=cls)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """
    The applied state as of one index, in place of all entries up to it.

    :param index: last entry that the state includes.
    :param term: term of that entry.
    :param members: members in force at that entry.
    :param state: opaque bytes of the state's owner.
    """

    index: LogIndex
    term: Term
    members: Members
    state: bytes


class RestoredState(msgspec.Struct, frozen=True):
    """What the journal gave back after a restart."""

    log_id: LogId
    term: Term
    voted_for: InstanceId | None
    snapshot: Snapshot | None
    entries: tuple[LogEntry, ...]


class Timing(msgspec.Struct, frozen=True):
    """
    Intervals of the log.

    :param heartbeat_interval: seconds between two messages of the leader to an idle member.
    :param observer_heartbeat_interval: the same to an instance that is no member.
    :param min_election_timeout: seconds without a leader before an election at the earliest; a voter
        that heard its leader within this time grants no vote.
    :param max_election_timeout: seconds without a leader before an election at the latest, and without
        a majority before a leader steps down.
    :param disconnect_timeout: seconds after the connection to the leader is lost before an election at
        the latest.
    :param is_coalescing: whether messages that nobody waits for are saved: the word of a commit goes
        with the next message, and entries go to members without a vote once a heartbeat.
    """

    heartbeat_interval: Seconds = Seconds(0.25)
    observer_heartbeat_interval: Seconds = Seconds(0.5)
    min_election_timeout: Seconds = Seconds(1.0)
    max_election_timeout: Seconds = Seconds(2.0)
    disconnect_timeout: Seconds = Seconds(0.5)
    is_coalescing: bool = False
