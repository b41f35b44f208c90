"""
bulrushhollow_core.node._log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log with the state that is derived from it: what this instance proposes goes to the
leader, and what is committed is applied here and compared with what was proposed.
"""

import random
from collections import OrderedDict

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import (
    Consensus,
    ConsensusStatus,
    EntryKind,
    LogEntry,
    Proposed,
    RestoredState,
    Role,
)
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds
from bulrushhollow_core.node._commands import Command, Logged, decode_logged
from bulrushhollow_core.node._ledgers import Ledgers, Result
from bulrushhollow_core.node._messages import Propose
from bulrushhollow_core.node._proposals import Pending, Proposals
from bulrushhollow_core.node._purposes import Purpose

COMPACT_ENTRIES = 1_000
"""Entries behind the last snapshot after which a new one is taken."""

RECENT_PROPOSALS = 4_096
"""Proposals that a leader remembers, so that one handed over twice is appended once."""


class Applied(msgspec.Struct, frozen=True):
    """
    A command was applied.

    :param pending: this instance's proposal of it, if it waited for one.
    """

    index: LogIndex
    command: Command
    result: Result
    pending: Pending | None


class ReplicatedLog:
    """
    Consensus, ledgers and proposals of one instance.

    :param me: this incarnation.
    :param has_disk: whether it has a journal.
    :param restored: what the journal gave back.
    """

    def __init__(
        self,
        me: InstanceId,
        has_disk: bool,
        restored: RestoredState | None,
        rng: random.Random,
        now: Seconds,
    ) -> None:
        self._me = me
        self.consensus = Consensus(me, has_disk, restored, rng, now)
        self.ledgers = Ledgers()
        self.proposals = Proposals(me, rng)
        self._recent: OrderedDict[bytes, None] = OrderedDict()
        self._appended = False

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return what is known of the log."""
        return self.consensus.status(now)

    def leads(self, now: Seconds) -> bool:
        """Tell whether this instance leads the log."""
        return self.status(now).role is Role.LEADER

    def belongs(self, now: Seconds) -> bool:
        """Tell whether this instance belongs to a log that has been founded."""
        return self.status(now).last_index > 0

    def want(self, command: Command, purpose: Purpose, within: Seconds, now: Seconds) -> None:
        """Want a command in the log; :meth:`hand_over_due` sends it."""
        self.proposals.add(command, purpose, within, now)

    def hand_over_due(self, now: Seconds) -> list[msgspec.Struct]:
        """Hand every proposal that is due to the leader, if one is known."""
        due = self.proposals.due(now)
        if not due:
            return []
        leader = self.status(now).leader
        if leader is None:
            return []
        actions: list[msgspec.Struct] = []
        for pending in due:
            self.proposals.handed(pending, now)
            if leader == self._me:
                actions += self.append(pending.payload, now)
            else:
                actions.append(Send(leader, Propose(pending.payload)))
        return actions

    def append(self, payload: bytes, now: Seconds) -> list[msgspec.Struct]:
        """Append a proposal if this instance leads the log and has not appended it lately."""
        if payload in self._recent:
            return []
        proposed = self.consensus.propose(payload, now)
        if not isinstance(proposed, Proposed):
            return []
        self._recent[payload] = None
        if len(self._recent) > RECENT_PROPOSALS:
            self._recent.popitem(last=False)
        return proposed.actions

    def apply(self, entry: LogEntry) -> Applied | None:
        """
        Apply a committed entry.

        :return: None if it carries no command.
        """
        if entry.kind is not EntryKind.COMMAND:
            self.ledgers.skip(entry.index)
            return None
        logged: Logged = decode_logged(entry.payload)
        self._recent.pop(entry.payload, None)
        result = self.ledgers.apply(entry.index, logged.command)
        return Applied(entry.index, logged.command, result, self.proposals.settle(logged))

    def restore(self, index: LogIndex, state: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.ledgers = Ledgers.decode(index, state)

    def compact(self, now: Seconds) -> list[msgspec.Struct]:
        """Take a snapshot of the applied state once enough entries have come since the last."""
        if self.ledgers.applied - self.status(now).snapshot_index < COMPACT_ENTRIES:
            return []
        return self.consensus.compact(self.ledgers.applied, self.ledgers.encode(), now)
