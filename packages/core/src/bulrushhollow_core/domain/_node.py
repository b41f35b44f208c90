"""
bulrushhollow_core.domain._node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One instance with a disk: its replica of the log, the state derived from it, and the scheduler
while it leads.
"""

import random
from collections.abc import Sequence

import msgspec

from bulrushhollow_core.consensus import (
    Committed,
    Consensus,
    ConsensusStatus,
    EntryKind,
    Proposed,
    RestoredState,
    Role,
    SnapshotRestored,
    Timing,
)
from bulrushhollow_core.consensus import (
    NotLeader as LogNotLeader,
)
from bulrushhollow_core.domain._call_handler import CallHandler, Later, Now
from bulrushhollow_core.domain._calls import (
    Answer,
    Call,
    CallId,
    NotLeader,
    OutcomeUnknown,
    RefusalReason,
    Refused,
)
from bulrushhollow_core.domain._commands import Command, decode_commands, encode_commands
from bulrushhollow_core.domain._events import Event, note
from bulrushhollow_core.domain._jobs import WallTime
from bulrushhollow_core.domain._orders import (
    AdviceAnswered,
    OrderAnswer,
    PollAnswered,
    StartAnswered,
    StopAnswered,
)
from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain._settings import DomainSettings
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term, name_of

TIMING = Timing(
    heartbeat_interval=Seconds(0.2),
    observer_heartbeat_interval=Seconds(0.4),
    min_election_timeout=Seconds(0.7),
    max_election_timeout=Seconds(1.3),
    disconnect_timeout=Seconds(0.3),
    is_coalescing=True,
)
"""Intervals of the log inside one region, where a message takes about a millisecond."""

AUTHORITY_LIMIT = Seconds(0.65)
"""Seconds without word from a majority after which a leader answers and orders nothing; shorter
than the shortest election timeout, within which no other can lead."""

COMPACT_ENTRIES = 2000
"""Entries behind the last snapshot after which a new one is taken."""

COMPACT_BYTES = 4 * 1024 * 1024
"""Payload behind the last snapshot after which a new one is taken; a small part of a disk."""

ENTRY_BYTES = 60_000
"""Payload from which on the commands of one step go into several entries."""


class PeerConnected(msgspec.Struct, frozen=True):
    """
    A peer with a disk can be reached.

    :param data_centre: where it is; empty if unknown.
    """

    peer: InstanceId
    data_centre: str = ""


class PeerDisconnected(msgspec.Struct, frozen=True):
    """A peer can't be reached any more."""

    peer: InstanceId


class PeerSaid(msgspec.Struct, frozen=True):
    """A message of the log arrived."""

    source: InstanceId
    message: msgspec.Struct


class Asked(msgspec.Struct, frozen=True):
    """A call arrived."""

    id: CallId
    call: Call


class StopAsked(msgspec.Struct, frozen=True):
    """This instance is about to stop; another one is to lead."""


Input = PeerConnected | PeerDisconnected | PeerSaid | Asked | StopAsked | OrderAnswer


class Reply(msgspec.Struct, frozen=True):
    """Answer a call."""

    id: CallId
    answer: Answer


class _Pending(msgspec.Struct, frozen=True):
    """A call that is answered once its entry is committed."""

    id: CallId
    answer: Answer


class DomainNode:
    """
    One instance with a disk.

    Usage::

        >>> node = DomainNode(me, restored, settings, rng, now)
        >>> actions = node.step(inputs, now, wall)

    :param me: this incarnation; its name is its address.
    :param restored: what its journal gave back.
    :param data_centre: where it is; empty where voters need not be spread.
    """

    def __init__(
        self,
        me: InstanceId,
        restored: RestoredState | None,
        settings: DomainSettings,
        rng: random.Random,
        now: Seconds,
        data_centre: str = "",
    ) -> None:
        """Begin as a follower."""
        self.me = me
        self.state = DomainState()
        self._settings = settings
        self._log = Consensus(me, True, restored, rng, now, TIMING, voter_limit=settings.voters)
        if data_centre:
            self._log.set_failure_domain(name_of(me), data_centre)
        self._call_handler = CallHandler(settings, str(name_of(me)))
        self.scheduler: Scheduler | None = None
        self._applied = LogIndex(0)
        self._unsnapshotted_bytes = 0
        self._snapshot_index = LogIndex(0)
        self._pending_by_index: dict[LogIndex, tuple[Term, list[_Pending]]] = {}
        self._actions: list[msgspec.Struct] = []
        self._commands: list[Command] = []
        self._own_commands: list[Command] = []
        """Commands of the scheduler, which are proposed again if the log takes none just now."""
        self._new_pending: list[_Pending] = []
        self._voters: frozenset[InstanceId] = frozenset()
        self._configured_at: Seconds | None = None

    # What its owner asks.

    def found(self, now: Seconds) -> None:
        """Found a new log, unless this instance has one; the next step returns the actions."""
        self._take(self._log.bootstrap(now), now)

    def members(self) -> frozenset[InstanceId]:
        """Return the voters and learners that this instance knows."""
        members = self._log.members
        return members.voters | members.learners

    def belongs(self, now: Seconds) -> bool:
        """Return whether this instance has a log."""
        return self._log.status(now).last_index > 0

    def leader(self, now: Seconds) -> InstanceId | None:
        """Return who leads, if that is known."""
        return self._log.status(now).leader

    def leads(self, now: Seconds) -> bool:
        """Return whether this instance leads and has heard its majority just now."""
        return self.scheduler is not None and self._log.quorum_age(now) < AUTHORITY_LIMIT

    def configuration_age(self, now: Seconds) -> Seconds:
        """Return seconds since the version in force here was applied; -1 before the first."""
        at = self._configured_at
        return Seconds(-1.0) if at is None else Seconds(now - at)

    def step(self, inputs: Sequence[Input], now: Seconds, wall: WallTime) -> list[msgspec.Struct]:
        """
        Take in what has happened and let time pass.

        :return: actions in the order in which to carry them out; records come first.
        """
        self._take(self._log.tick(now), now)
        self._follow_role(now)
        for each in inputs:
            self._take_input(each, now, wall)
        if self.scheduler is not None and self.leads(now):
            self.scheduler.tick(now, wall)
            self._own_commands.extend(self.scheduler.take_proposals(now, wall))
        self._propose(now)
        self._take(self._log.flush(now), now)
        self._follow_role(now)
        if self.scheduler is not None and self.leads(now):
            self._actions.extend(self.scheduler.drain())
        self._compact(now)
        actions, self._actions = self._actions, []
        return actions

    # Inputs.

    def _take_input(self, given: Input, now: Seconds, wall: WallTime) -> None:
        match given:
            case PeerSaid(source=source, message=message):
                self._take(self._log.receive(source, message, now), now)
                self._follow_role(now)
            case PeerConnected(peer=peer, data_centre=data_centre):
                if data_centre:
                    self._log.set_failure_domain(name_of(peer), data_centre)
                self._take(self._log.peer_connected(peer, True, now), now)
            case PeerDisconnected(peer=peer):
                self._take(self._log.peer_disconnected(peer, now), now)
            case StopAsked():
                self._take(self._log.transfer_leadership(now), now)
            case Asked(id=call_id, call=call):
                self._answer(call_id, call, now, wall)
            case _ if self.scheduler is None:
                pass
            case StartAnswered():
                self.scheduler.start_answered(given, now)
            case StopAnswered():
                self.scheduler.stop_answered(given, now)
            case PollAnswered():
                self.scheduler.poll_answered(given, now)
            case AdviceAnswered():
                self.scheduler.advice_answered(given, now)

    def _answer(self, call_id: CallId, call: Call, now: Seconds, wall: WallTime) -> None:
        if self.scheduler is None or not self.leads(now):
            leader = self.leader(now)
            known = str(name_of(leader)) if leader and leader != self.me else None
            self._actions.append(Reply(call_id, NotLeader(known)))
            return
        if self.state.directory is None and len(self._voters) < self._settings.voters:
            refused = Refused(RefusalReason.FOUNDING, Seconds(1.0))
            self._actions.append(Reply(call_id, refused))
            return
        result = self._call_handler.take(call, self.state, self.scheduler, now, wall)
        self._actions.extend(result.notes)
        if isinstance(result, Now):
            self._actions.append(Reply(call_id, result.answer))
            return
        assert isinstance(result, Later)
        self._commands.append(result.command)
        self._new_pending.append(_Pending(call_id, result.answer))

    # The log.

    def _propose(self, now: Seconds) -> None:
        """Propose what calls asked for, and what the scheduler decided."""
        commands, self._commands = self._commands, []
        pending, self._new_pending = self._new_pending, []
        if commands:
            self._append(commands, pending, now)
        if self._own_commands and self._append(self._own_commands, [], now):
            self._own_commands = []

    def _append(self, commands: list[Command], pending: list[_Pending], now: Seconds) -> bool:
        """Append commands to the log; return whether it took them."""
        for payload in _batches(commands):
            proposed = self._log.propose(payload, now)
            if not isinstance(proposed, Proposed):
                self._refuse_all(pending, proposed)
                return False
            last = proposed
            self._take(proposed.actions, now)
        if pending:
            self._pending_by_index[last.index] = (last.term, pending)
        return True

    def _refuse_all(self, pending: list[_Pending], reason: msgspec.Struct) -> None:
        """Answer calls whose entry was not appended, or whose outcome is open."""
        leader = reason.leader if isinstance(reason, LogNotLeader) else None
        known = str(name_of(leader)) if leader and leader != self.me else None
        for each in pending:
            self._actions.append(Reply(each.id, NotLeader(known)))

    def _take(self, actions: list[msgspec.Struct], now: Seconds) -> None:
        """Apply what is committed and pass the rest on."""
        for action in actions:
            if isinstance(action, Committed):
                self._apply(action, now)
            elif isinstance(action, SnapshotRestored):
                self._restore(action, now)
            else:
                self._actions.append(action)

    def _apply(self, committed: Committed, now: Seconds) -> None:
        entry = committed.entry
        self._applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            self._unsnapshotted_bytes += len(entry.payload)
            for command in decode_commands(entry.payload):
                before = self.state.configuration
                self.state.apply(command)
                if self.state.configuration is not before:
                    self._configured_at = now
                if self.scheduler is not None:
                    self.scheduler.committed(command, now)
        self._note_members()
        found = self._pending_by_index.pop(entry.index, None)
        if found is None:
            return
        term, pending = found
        for each in pending:
            answer = each.answer if term == entry.term else OutcomeUnknown()
            self._actions.append(Reply(each.id, answer))

    def _restore(self, restored: SnapshotRestored, now: Seconds) -> None:
        self.state = DomainState.decode(restored.state)
        self._configured_at = now if self.state.configuration else None
        self.scheduler = None
        self._own_commands = []
        self._applied = restored.index
        self._snapshot_index = restored.index
        self._unsnapshotted_bytes = 0

    def _note_members(self) -> None:
        voters = self._log.members.voters
        if voters != self._voters:
            self._voters = voters
            self._call_handler.instances = tuple(
                sorted(str(name_of(each)) for each in self.members())
            )
            named = ",".join(sorted(voters))
            self._actions.append(note(Event.MEMBERS_CHANGED, voters=named))

    def _follow_role(self, now: Seconds) -> None:
        """Begin to schedule once every entry of earlier leaders is applied; stop when deposed."""
        if self._log.is_leader and self.scheduler is not None:
            return
        status = self._log.status(now)
        if status.role is Role.LEADER:
            if status.caught_up_age < TIMING.max_election_timeout:
                self.scheduler = Scheduler(self.state, status.term, self._settings, now)
                self._actions.append(note(Event.LEADERSHIP_TAKEN, term=status.term))
            return
        if self.scheduler is not None:
            self.scheduler = None
            self._own_commands = []
            self._actions.append(note(Event.LEADERSHIP_LOST, term=status.term))
        for _, pending in self._pending_by_index.values():
            self._actions.extend(Reply(each.id, OutcomeUnknown()) for each in pending)
        self._pending_by_index = {}

    def _compact(self, now: Seconds) -> None:
        entries = self._applied - self._snapshot_index
        if entries < COMPACT_ENTRIES and self._unsnapshotted_bytes < COMPACT_BYTES:
            return
        self._snapshot_index = self._applied
        self._unsnapshotted_bytes = 0
        self._take(self._log.compact(self._applied, self.state.encode(), now), now)

    # What is shown.

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return what this instance knows of the log."""
        return self._log.status(now)


def _batches(commands: list[Command]) -> list[bytes]:
    """Return payloads of bounded length, in order; one command may exceed the bound."""
    payloads: list[bytes] = []
    batch: list[Command] = []
    size = 0
    for command in commands:
        length = len(encode_commands([command]))
        if batch and size + length > ENTRY_BYTES:
            payloads.append(encode_commands(batch))
            batch, size = [], 0
        batch.append(command)
        size += length
    payloads.append(encode_commands(batch))
    return payloads
