"""
bulrushhollow_core.domain._node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One instance with a disk: its replica of the log, the state derived from the log and, on the leader,
the scheduler.
"""

import math
import random
from collections.abc import Sequence
from itertools import chain

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
from bulrushhollow_core.domain._call_handler import CallHandler, DeferredAnswer, ImmediateAnswer
from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain.fleet import LATE_ORDER_WINDOW, TERM_SPACING
from bulrushhollow_core.domain.model import (
    AdviceAnswered,
    Answer,
    Call,
    CallId,
    Command,
    DomainSettings,
    Event,
    Expired,
    NotLeader,
    OrderAnswer,
    OutcomeUnknown,
    PollAnswered,
    RefusalReason,
    Refused,
    StartAnswered,
    StartRuns,
    StopAnswered,
    WallTime,
    decode_commands,
    encode_commands,
    log_event,
)
from bulrushhollow_core.domain.replica import DomainState, RecentStarts
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term, name_of

TIMING = Timing(
    heartbeat_interval=Seconds(0.2),
    observer_heartbeat_interval=Seconds(0.4),
    min_election_timeout=Seconds(0.7),
    election_jitter=Seconds(0.2),
    silence_timeout=Seconds(1.3),
    vote_timeout=Seconds(0.6),
    disconnect_timeout=Seconds(0.1),
    is_coalescing=True,
)
"""Intervals of the log within one region, where a message takes about a millisecond."""

LEADER_LEASE = Seconds(0.65)
"""Seconds since the last contact with a majority for which a leader answers calls and sends orders.
This is shorter than the shortest election timeout, so no other instance leads in that time."""

RECENT_START_AGE = Seconds(LATE_ORDER_WINDOW + 2.0)
"""Seconds after a start was recorded in which an order for it may still be carried out; it may be
sent a few times."""

MAX_ENTRIES_SINCE_SNAPSHOT = 2000
"""Entries since the last snapshot at which the log is compacted."""

MAX_BYTES_SINCE_SNAPSHOT = 4 * 1024 * 1024
"""Payload bytes since the last snapshot at which the log is compacted; a small part of a disk."""

MAX_ENTRY_BYTES = 60_000
"""Payload bytes above which the commands of one step are split into several entries."""


NEVER = Seconds(math.inf)
"""Time of what does not expire."""


class PeerConnected(msgspec.Struct, frozen=True):
    """
    A peer with a disk became reachable.

    :param data_centre: data centre of the peer; empty if unknown.
    """

    peer: InstanceId
    data_centre: str = ""


class PeerDisconnected(msgspec.Struct, frozen=True):
    """
    A peer became unreachable.

    :param has_ended: whether its process is known to have ended.
    """

    peer: InstanceId
    has_ended: bool = False


class MessageReceived(msgspec.Struct, frozen=True):
    """A message of the replicated log arrived from a peer."""

    source: InstanceId
    message: msgspec.Struct


class CallReceived(msgspec.Struct, frozen=True):
    """
    A call arrived from a caller, an operator or a worker.

    :param expires_at: when it must no longer be executed, on the clock of this instance.
    """

    id: CallId
    call: Call
    expires_at: Seconds = NEVER


class StopRequested(msgspec.Struct, frozen=True):
    """This instance is about to stop and hands its leadership over."""


Input = (
    PeerConnected | PeerDisconnected | MessageReceived | CallReceived | StopRequested | OrderAnswer
)


class Reply(msgspec.Struct, frozen=True):
    """Answer a call."""

    id: CallId
    answer: Answer


class _PendingCall(msgspec.Struct, frozen=True):
    """A call whose answer is sent when its log entry is committed."""

    id: CallId
    answer: Answer


class DomainNode:
    """
    The deterministic core of one instance with a disk.

    Usage::

        >>> node = DomainNode(me, restored, settings, rng, now)
        >>> actions = node.step(inputs, now, wall)

    :param me: id of this incarnation; its name is its address.
    :param restored: the log as read from the journal; None for an empty journal.
    :param data_centre: data centre of this instance; empty if voters need not be spread.
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
        """Create the node as a follower without a scheduler."""
        self.me = me
        self.state = DomainState()
        self._settings = settings
        self._log = Consensus(
            me, True, restored, rng, now, TIMING, settings.voter_count, TERM_SPACING
        )
        if data_centre:
            self._log.set_failure_domain(name_of(me), data_centre)
        self._call_handler = CallHandler(settings, str(name_of(me)))
        self.scheduler: Scheduler | None = None
        self._applied = LogIndex(0)
        self._bytes_since_snapshot = 0
        self._snapshot_index = LogIndex(0)
        self._pending_calls_by_index: dict[LogIndex, tuple[Term, list[_PendingCall]]] = {}
        self._actions: list[msgspec.Struct] = []
        self._call_commands: list[Command] = []
        self._scheduler_commands: list[Command] = []
        """Commands of the scheduler; those that the log rejects are kept and proposed again."""
        self._unproposed_calls: list[_PendingCall] = []
        self._recent_starts = RecentStarts(RECENT_START_AGE)
        self._voters: frozenset[InstanceId] = frozenset()
        self._connected_peers: set[InstanceId] = set()
        self._configured_at: Seconds | None = None

    # Queries and control.

    def bootstrap(self, now: Seconds) -> None:
        """Create a new log, unless this instance has one; the next step returns the actions."""
        self._handle_log_actions(self._log.bootstrap(now), now)

    def members(self) -> frozenset[InstanceId]:
        """Return the known voters and learners of the log."""
        members = self._log.members
        return members.voters | members.learners

    def has_log(self, now: Seconds) -> bool:
        """Return whether this instance has a log."""
        return self._log.status(now).last_index > 0

    def leader(self, now: Seconds) -> InstanceId | None:
        """Return the leader, or None if it is unknown."""
        return self._log.status(now).leader

    def is_leading(self, now: Seconds) -> bool:
        """Return whether this instance leads and is still within its leader lease."""
        return self.scheduler is not None and self._log.quorum_age(now) < LEADER_LEASE

    def configuration_age(self, now: Seconds) -> Seconds:
        """Return the seconds since the present configuration was applied; -1 if there is none."""
        configured_at = self._configured_at
        return Seconds(-1.0) if configured_at is None else Seconds(now - configured_at)

    def step(self, inputs: Sequence[Input], now: Seconds, wall: WallTime) -> list[msgspec.Struct]:
        """
        Handle inputs and timers.

        :return: actions in the order in which to carry them out; records come first.
        """
        self._handle_log_actions(self._log.tick(now), now)
        self._update_role(now)
        for event in inputs:
            self._handle_input(event, now, wall)
        if self.scheduler is not None and self.is_leading(now):
            self.scheduler.tick(now, wall)
            self._scheduler_commands.extend(self.scheduler.take_proposals(now, wall))
        self._propose_commands(now)
        self._handle_log_actions(self._log.flush(now), now)
        self._update_role(now)
        if self.scheduler is not None and self.is_leading(now):
            self._actions.extend(self.scheduler.take_actions(now))
        self._compact_log(now)
        actions, self._actions = self._actions, []
        return actions

    # Inputs.

    def _handle_input(self, event: Input, now: Seconds, wall: WallTime) -> None:
        match event:
            case MessageReceived(source=source, message=message):
                self._handle_log_actions(self._log.receive(source, message, now), now)
                self._update_role(now)
            case PeerConnected(peer=peer, data_centre=data_centre):
                if data_centre:
                    self._log.set_failure_domain(name_of(peer), data_centre)
                self._connected_peers.add(peer)
                self._update_relays()
                self._handle_log_actions(self._log.peer_connected(peer, True, now), now)
            case PeerDisconnected(peer=peer, has_ended=has_ended):
                self._connected_peers.discard(peer)
                self._update_relays()
                self._handle_log_actions(self._log.peer_disconnected(peer, now, has_ended), now)
            case StopRequested():
                self._handle_log_actions(self._log.transfer_leadership(now), now)
            case CallReceived(id=call_id, call=call, expires_at=expires_at):
                if now < expires_at:
                    self._handle_call(call_id, call, now, wall)
                else:
                    self._refuse_expired(event, now)
            case _ if self.scheduler is None:
                pass
            case StartAnswered():
                self.scheduler.start_answered(event, now)
            case StopAnswered():
                self.scheduler.stop_answered(event, now)
            case PollAnswered():
                self.scheduler.poll_answered(event, now)
            case AdviceAnswered():
                self.scheduler.advice_answered(event, now)

    def _handle_call(self, call_id: CallId, call: Call, now: Seconds, wall: WallTime) -> None:
        if self.scheduler is None or not self.is_leading(now):
            leader = self.leader(now)
            hint = str(name_of(leader)) if leader and leader != self.me else None
            self._actions.append(Reply(call_id, NotLeader(hint, self._log.reaches_quorum)))
            return
        if (
            self.state.configuration_index is None
            and len(self._voters) < self._settings.voter_count
        ):
            refusal = Refused(RefusalReason.FOUNDING, Seconds(1.0))
            self._actions.append(Reply(call_id, refusal))
            return
        try:
            result = self._call_handler.handle(call, self.state, self.scheduler, now, wall)
            if isinstance(result, DeferredAnswer):
                # A command that no entry can hold would end the step in which it is proposed.
                encode_commands([result.command])
        except Exception as error:
            # One call must not end the process, and with it every instance that leads later.
            failed = log_event(Event.CALL_FAILED, call=type(call).__name__, error=repr(error))
            self._actions.extend((failed, Reply(call_id, OutcomeUnknown())))
            return
        self._actions.extend(result.log_events)
        if isinstance(result, ImmediateAnswer):
            self._actions.append(Reply(call_id, result.answer))
            return
        assert isinstance(result, DeferredAnswer)
        self._call_commands.append(result.command)
        self._unproposed_calls.append(_PendingCall(call_id, result.answer))

    def _refuse_expired(self, received: CallReceived, now: Seconds) -> None:
        late = round(now - received.expires_at, 3)
        expired = log_event(Event.CALL_EXPIRED, call=type(received.call).__name__, late=late)
        self._actions.extend((expired, Reply(received.id, Expired())))

    # The log.

    def _propose_commands(self, now: Seconds) -> None:
        """Propose the commands of calls and of the scheduler to the log."""
        commands, self._call_commands = self._call_commands, []
        pending, self._unproposed_calls = self._unproposed_calls, []
        if commands:
            self._append_to_log(commands, pending, now)
        if self._scheduler_commands:
            self._scheduler_commands = self._append_to_log(self._scheduler_commands, [], now)

    def _append_to_log(
        self, commands: list[Command], pending: list[_PendingCall], now: Seconds
    ) -> list[Command]:
        """Propose commands to the log; return those that it has not accepted."""
        entries = _split_into_entries(commands)
        for number, entry in enumerate(entries):
            proposed = self._log.propose(encode_commands(entry), now)
            if not isinstance(proposed, Proposed):
                self._reply_not_proposed(pending, proposed, is_partly_proposed=number > 0)
                return list(chain.from_iterable(entries[number:]))
            last_proposed = proposed
            self._handle_log_actions(proposed.actions, now)
        if pending:
            self._pending_calls_by_index[last_proposed.index] = (last_proposed.term, pending)
        return []

    def _reply_not_proposed(
        self, pending: list[_PendingCall], reason: msgspec.Struct, is_partly_proposed: bool
    ) -> None:
        """
        Answer the calls of a rejected proposal with a hint to the leader.

        :param is_partly_proposed: whether earlier entries with commands of these calls were
            proposed and may commit, so that the outcome of the calls is unknown.
        """
        leader = reason.leader if isinstance(reason, LogNotLeader) else None
        hint = str(name_of(leader)) if leader and leader != self.me else None
        answer = OutcomeUnknown() if is_partly_proposed else NotLeader(hint)
        self._actions.extend(Reply(pending_call.id, answer) for pending_call in pending)

    def _handle_log_actions(self, actions: list[msgspec.Struct], now: Seconds) -> None:
        """Apply committed entries and snapshots, and pass other actions on."""
        for action in actions:
            if isinstance(action, Committed):
                self._apply_entry(action, now)
            elif isinstance(action, SnapshotRestored):
                self._restore_snapshot(action, now)
            else:
                self._actions.append(action)

    def _apply_entry(self, committed: Committed, now: Seconds) -> None:
        entry = committed.entry
        self._applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            self._bytes_since_snapshot += len(entry.payload)
            for command in decode_commands(entry.payload):
                previous = self.state.configuration
                self.state.apply(command)
                if isinstance(command, StartRuns):
                    self._recent_starts.record(
                        ((start.task, start.run) for start in command.starts), now
                    )
                if self.state.configuration is not previous:
                    self._configured_at = now
                if self.scheduler is not None:
                    self.scheduler.command_committed(command, now)
        self._update_members()
        entry_calls = self._pending_calls_by_index.pop(entry.index, None)
        if entry_calls is None:
            return
        term, pending = entry_calls
        for pending_call in pending:
            answer = pending_call.answer if term == entry.term else OutcomeUnknown()
            self._actions.append(Reply(pending_call.id, answer))

    def _restore_snapshot(self, restored: SnapshotRestored, now: Seconds) -> None:
        self.state = DomainState.decode(restored.state)
        # The age of the starts in a snapshot is unknown.
        active = ((ref, task.run) for ref, task in self.state.active_tasks())
        self._recent_starts.record(active, now)
        self._configured_at = now if self.state.configuration else None
        self.scheduler = None
        self._scheduler_commands = []
        self._applied = restored.index
        self._snapshot_index = restored.index
        self._bytes_since_snapshot = 0

    def _update_members(self) -> None:
        voters = self._log.members.voters
        if voters != self._voters:
            self._voters = voters
            self._call_handler.instances = tuple(
                sorted(str(name_of(member)) for member in self.members())
            )
            voter_list = ",".join(sorted(voters))
            self._actions.append(log_event(Event.MEMBERS_CHANGED, voters=voter_list))

    def _update_relays(self) -> None:
        self._call_handler.relays = tuple(
            sorted({str(name_of(peer)) for peer in self._connected_peers})
        )

    def _update_role(self, now: Seconds) -> None:
        """Create the scheduler once earlier leaders' entries are applied; drop it when deposed."""
        if self._log.is_leader and self.scheduler is not None:
            return
        status = self._log.status(now)
        if status.role is Role.LEADER:
            if status.caught_up_age < TIMING.silence_timeout:
                self.scheduler = Scheduler(
                    self.state,
                    status.term,
                    self._settings,
                    now,
                    self._recent_starts.end_by_run(now),
                )
                taken = log_event(Event.LEADERSHIP_TAKEN, term=status.term, applied=self._applied)
                self._actions.append(taken)
            return
        if self.scheduler is not None:
            self.scheduler = None
            self._scheduler_commands = []
            self._actions.append(log_event(Event.LEADERSHIP_LOST, term=status.term))
        for _, pending in self._pending_calls_by_index.values():
            self._actions.extend(
                Reply(pending_call.id, OutcomeUnknown()) for pending_call in pending
            )
        self._pending_calls_by_index = {}

    def _compact_log(self, now: Seconds) -> None:
        entries = self._applied - self._snapshot_index
        if (
            entries < MAX_ENTRIES_SINCE_SNAPSHOT
            and self._bytes_since_snapshot < MAX_BYTES_SINCE_SNAPSHOT
        ):
            return
        self._snapshot_index = self._applied
        self._bytes_since_snapshot = 0
        self._handle_log_actions(self._log.compact(self._applied, self.state.encode(), now), now)

    # Status.

    def status(self, now: Seconds) -> ConsensusStatus:
        """Return the status of the log on this instance."""
        return self._log.status(now)


def _split_into_entries(commands: list[Command]) -> list[list[Command]]:
    """Return the commands of each entry, of bounded size; one large command may exceed it."""
    entries: list[list[Command]] = [[]]
    size = 0
    for command in commands:
        length = len(encode_commands([command]))
        if entries[-1] and size + length > MAX_ENTRY_BYTES:
            entries.append([])
            size = 0
        entries[-1].append(command)
        size += length
    return entries
