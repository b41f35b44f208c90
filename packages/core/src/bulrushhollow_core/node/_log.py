"""
bulrushhollow_core.node._log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated log and the state that is derived from it. Proposals of this instance are sent to the
leader; committed entries are applied to the state and matched with the proposals.
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
from bulrushhollow_core.node._commands import Command, LoggedCommand, decode_logged_command
from bulrushhollow_core.node._ledgers import Ledgers, Result
from bulrushhollow_core.node._messages import Propose
from bulrushhollow_core.node._proposals import PendingProposal, Proposals
from bulrushhollow_core.node._purposes import Purpose

COMPACTION_THRESHOLD = 1_000
"""Applied entries since the last snapshot after which a new snapshot is taken."""

MAX_RECENT_PROPOSALS = 4_096
"""Proposals that a leader remembers, so that one that is sent again is appended only once."""


class AppliedCommand(msgspec.Struct, frozen=True):
    """
    A committed command that was applied, and its result.

    :param pending: the proposal of this instance that the entry resolves, if any.
    """

    index: LogIndex
    command: Command
    result: Result
    pending: PendingProposal | None


class ReplicatedLog:
    """
    Consensus, ledgers and proposals of one instance.

    :param me: this incarnation.
    :param has_disk: whether it has a journal.
    :param restored: the state read from the journal; None if there is no journal.
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
        self._recent_payloads: OrderedDict[bytes, None] = OrderedDict()
        self._appended = False

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return the status of the log."""
        return self.consensus.status(now)

    def is_leader(self, now: Seconds) -> bool:
        """Return whether this instance leads the log."""
        return self.status(now).role is Role.LEADER

    def has_joined(self, now: Seconds) -> bool:
        """Return whether this instance has joined a log that has been founded."""
        return self.status(now).last_index > 0

    def propose(self, command: Command, purpose: Purpose, within: Seconds, now: Seconds) -> None:
        """
        Propose a command; :meth:`send_due_proposals` sends the proposal.

        :param within: seconds after which the proposal expires.
        """
        self.proposals.add(command, purpose, within, now)

    def send_due_proposals(self, now: Seconds) -> list[msgspec.Struct]:
        """Send every proposal that is due to the leader, if the leader is known."""
        due = self.proposals.due(now)
        if not due:
            return []
        leader = self.status(now).leader
        if leader is None:
            return []
        actions: list[msgspec.Struct] = []
        for pending in due:
            self.proposals.mark_sent(pending, now)
            if leader == self._me:
                actions += self.append(pending.payload, now)
            else:
                actions.append(Send(leader, Propose(pending.payload)))
        return actions

    def append(self, payload: bytes, now: Seconds) -> list[msgspec.Struct]:
        """Append a proposal if this instance leads the log and has not appended it recently."""
        if payload in self._recent_payloads:
            return []
        proposed = self.consensus.propose(payload, now)
        if not isinstance(proposed, Proposed):
            return []
        self._recent_payloads[payload] = None
        if len(self._recent_payloads) > MAX_RECENT_PROPOSALS:
            self._recent_payloads.popitem(last=False)
        return proposed.actions

    def apply(self, entry: LogEntry) -> AppliedCommand | None:
        """
        Apply a committed entry.

        :return: None if it carries no command.
        """
        if entry.kind is not EntryKind.COMMAND:
            self.ledgers.skip(entry.index)
            return None
        logged: LoggedCommand = decode_logged_command(entry.payload)
        self._recent_payloads.pop(entry.payload, None)
        result = self.ledgers.apply(entry.index, logged.command)
        return AppliedCommand(entry.index, logged.command, result, self.proposals.resolve(logged))

    def restore(self, index: LogIndex, state: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.ledgers = Ledgers.decode(index, state)

    def compact(self, now: Seconds) -> list[msgspec.Struct]:
        """Take a snapshot of the applied state if enough entries were applied since the last."""
        if self.ledgers.applied - self.status(now).snapshot_index < COMPACTION_THRESHOLD:
            return []
        return self.consensus.compact(self.ledgers.applied, self.ledgers.encode(), now)
