"""
bulrushhollow_core.node._node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A complete instance. It passes each event to the component that handles it, passes on what the
components request from each other, and returns the remaining actions to the daemon.
"""

import random
from collections.abc import Iterable
from typing import cast

import msgspec

from bulrushhollow_core.actions import IDLE_TICK_INTERVAL, TICK_INTERVAL, Send
from bulrushhollow_core.authority import (
    ISOLATION_LIMIT,
    QUORUM_AGE_LIMIT,
    AuthorityMessage,
    Witness,
)
from bulrushhollow_core.configuration import AppliedVersion, Rollout
from bulrushhollow_core.consensus import Committed, RestoredState, Role, SnapshotRestored
from bulrushhollow_core.ids import DataCentreId, InstanceId, LogIndex, Seconds
from bulrushhollow_core.jobs import DataCentreLoad, Fenced, JobRecord, ProposeCommand
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import _events as events
from bulrushhollow_core.node._actions import Action, LogCommandRefused
from bulrushhollow_core.node._calls import CallHandler
from bulrushhollow_core.node._duties import LeaderDuties
from bulrushhollow_core.node._effective import EffectiveConfiguration
from bulrushhollow_core.node._entry import Entry
from bulrushhollow_core.node._events import Event
from bulrushhollow_core.node._founding import BootstrapGuard
from bulrushhollow_core.node._log import AppliedCommand, ReplicatedLog
from bulrushhollow_core.node._messages import LoadReport, PeerMessage, Propose
from bulrushhollow_core.node._proposals import PendingProposal
from bulrushhollow_core.node._purposes import ForKey, ForNoCaller, ForScheduler
from bulrushhollow_core.node._rollouts import RolloutWaiters
from bulrushhollow_core.node._site import Site
from bulrushhollow_core.node._views import HolderReport, Identity, NodeStatus
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import (
    Arrival,
    EndpointQuery,
    EndpointUpdate,
    FinishRequest,
    KeyRecord,
    MarkOwnerLost,
    ProposeReservation,
    ShareGrant,
    ShareReport,
)

KEY_TIMEOUT = Seconds(3.0)
"""Seconds within which an idempotency key must be reserved, or its request is refused."""

UNATTENDED_TIMEOUT = Seconds(86_400.0)
"""Seconds for which a command that no caller waits for is proposed."""

SCHEDULER_TIMEOUT = Seconds(2.0)
"""Seconds for which a command of the scheduler is proposed; the scheduler then decides again."""

LOAD_INTERVAL = Seconds(1.0)
"""Seconds between two load reports of a lease holder."""

RETRY_AFTER = 1.0
"""Seconds after which a caller may repeat a request that was refused for lack of a quorum."""


class Node:
    """
    A complete instance, independent of network, disk and clock.

    Usage::

        node = Node(identity, restored, rng, now)
        for action in node.step(event, now):
            ...  # carry it out before the next action

    :param restored: the state read from the journal; None if there is no journal.
    :param rng: the only source of randomness.
    """

    def __init__(
        self, identity: Identity, restored: RestoredState | None, rng: random.Random, now: Seconds
    ) -> None:
        me = identity.me
        data_centres_by_name = identity.data_centres_by_name
        self.identity = identity
        self.log = ReplicatedLog(me, identity.has_disk, restored, rng, now)
        self.rollout = Rollout(identity.name, frozenset(data_centres_by_name), now)
        self.witness = Witness(data_centres_by_name)
        self.site = Site(identity, self.witness, self.log.ledgers.configuration, rng, now)
        self.entry = Entry(
            me, data_centres_by_name, identity.http_address, identity.router, rng, now
        )
        self.holder_reports_by_data_centre: dict[DataCentreId, HolderReport] = {}
        self.loads_by_data_centre: dict[DataCentreId, DataCentreLoad] = {}
        members_by_data_centre = {
            data_centre: identity.members_of(data_centre)
            for data_centre in set(data_centres_by_name.values())
        }
        self.rollout_waiters = RolloutWaiters(self.rollout, members_by_data_centre)
        self._call_handler = CallHandler(
            self.log, self.site, self.rollout_waiters, self.loads_by_data_centre, now
        )
        disk_peers = frozenset(peer.name for peer in identity.peers if peer.has_disk)
        self._bootstrap_guard = BootstrapGuard(identity.is_founder, disk_peers)
        self._effective_configuration = EffectiveConfiguration(identity.data_centre)
        self._leader_duties = LeaderDuties(me, now)
        self._connected_peers: frozenset[InstanceId] = frozenset()
        self._next_load_report_at = now
        self._is_stopping = False
        self._has_caught_up = False
        self._actions: list[Action] = []

    # Interface for the daemon.

    def step(self, event: Event, now: Seconds) -> list[Action]:
        """
        Handle one event.

        :return: actions in the order in which to carry them out.
        """
        return self.step_all((event,), now)

    def step_all(self, batch: Iterable[Event], now: Seconds) -> list[Action]:
        """
        Handle several events that arrived at the same time.

        :return: actions in the order in which to carry them out.
        """
        self._actions = []
        self._synchronize(now)
        for event in batch:
            self._handle(event, now)
        self._synchronize(now)
        self._route(self.log.send_due_proposals(now), now)
        self._route(self.log.consensus.flush(now), now)
        return self._actions

    @property
    def tick_interval(self) -> Seconds:
        """Seconds within which the next :class:`Tick` is due."""
        is_busy = (
            not self.entry.router.is_idle()
            or len(self.log.proposals) > 0
            or self.site.scheduler.is_busy
            or self._call_handler.is_waiting
        )
        return TICK_INTERVAL if is_busy else IDLE_TICK_INTERVAL

    @property
    def configuration(self) -> Configuration:
        """The accepted configuration as this instance has applied it."""
        return self.log.ledgers.configuration.configuration

    @property
    def is_ready(self) -> bool:
        """Whether the instance accepts calls: it has caught up, and no planned stop has begun."""
        return self._has_caught_up and not self._is_stopping

    @property
    def has_caught_up(self) -> bool:
        """Whether the instance has caught up with the log since its start."""
        return self._has_caught_up

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._is_stopping

    @property
    def connected_peers(self) -> frozenset[InstanceId]:
        """Incarnations of the peers that can be reached."""
        return self._connected_peers

    def can_stop(self, now: Seconds) -> bool:
        """Return whether a planned stop can end: nothing is pending, and no other voter follows."""
        leads_other_voters = (
            self.log.is_leader(now) and len(self.log.status(now).members.voters) > 1
        )
        return (
            self.entry.router.is_idle() and not leads_other_voters and not len(self.log.proposals)
        )

    def status(self, now: Seconds) -> NodeStatus:
        """Return the status of all components."""
        return NodeStatus(
            log=self.log.status(now),
            authority=self.site.authority.status(now),
            scheduler=self.site.scheduler.status(now),
            router=self.entry.router.status(now),
            applied=self.log.ledgers.applied,
            proposals=len(self.log.proposals),
        )

    # Events.

    def _handle(self, event: Event, now: Seconds) -> None:
        match event:
            case events.Tick():
                self._tick(now)
            case events.PeerMessageReceived():
                self._route(self._receive(event.source, event.message, now), now)
            case events.PeerConnected():
                self._peer_connected(event, now)
            case events.PeerDisconnected():
                self._peer_disconnected(event.instance, now)
            case events.RequestArrived():
                self._route(self._handle_request(event.arrival, now), now)
            case events.AttemptFinished():
                router = self.entry.router
                answered = router.handle_result(event.request, event.attempt, event.result, now)
                self._route(answered, now)
            case events.CallerDisconnected():
                self._route(self.entry.router.cancel(event.request, now), now)
            case events.OutcomeReady():
                self.log.propose(event.command, ForNoCaller(), UNATTENDED_TIMEOUT, now)
            case events.AnnouncementReceived():
                self._route(self.entry.announce(event.call, event.announcement, now), now)
            case events.PlatformAnswered():
                self._route(self.site.platform_answered(event.answer, now), now)
            case events.StopRequested():
                self._begin_stop(now)
            case _:
                self._route(self._call_handler.handle(event, now), now)

    def _receive(
        self, source: InstanceId, message: PeerMessage, now: Seconds
    ) -> list[msgspec.Struct]:
        match message:
            case Propose():
                return self.log.append(message.payload, now)
            case LoadReport():
                self._record_load(source, message, now)
                return []
            case AppliedVersion():
                return self.rollout.receive(source, message, now)
            case EndpointUpdate() | EndpointQuery() | ShareReport() | ShareGrant():
                return self.entry.receive(source, message, now)
        if isinstance(message, AuthorityMessage):
            witnessed = self.witness.receive(source, message, now)
            return witnessed + self.site.authority.receive(source, message, now)
        return self.log.consensus.receive(source, message, now)

    def _handle_request(self, arrival: Arrival, now: Seconds) -> list[msgspec.Struct]:
        if not self._has_caught_up:
            detail = "this instance has not caught up with the current configuration yet"
            refusal = Refusal(Reason.NOT_READY, detail, Execution.NOT_RUN, RETRY_AFTER)
            return [FinishRequest(arrival.request_id, refusal)]
        return [*self.entry.router.handle_arrival(arrival, now)]

    def _peer_connected(self, event: events.PeerConnected, now: Seconds) -> None:
        peer = event.instance
        self._connected_peers |= {peer}
        self._bootstrap_guard.record_peer(peer, event.has_joined_log)
        self.site.authority.peer_connected(peer)
        self._route(self.log.consensus.peer_connected(peer, event.has_disk, now), now)
        self._route(self.rollout.peer_connected(peer), now)
        self._route(self.entry.peer_connected(peer, now), now)

    def _peer_disconnected(self, peer: InstanceId, now: Seconds) -> None:
        self._connected_peers -= {peer}
        self.site.authority.peer_disconnected(peer)
        self._route(self.log.consensus.peer_disconnected(peer, now), now)

    def _tick(self, now: Seconds) -> None:
        if self._bootstrap_guard.claim():
            self._route(self.log.consensus.bootstrap(now), now)
        self._route(self.log.consensus.tick(now), now)
        self._route(self.site.authority.tick(now), now)
        self._route(self.rollout.tick(now), now)
        self._route(self.entry.tick(now), now)
        self._route(self.site.tick(now), now)
        for pending in self.log.proposals.pop_expired(now):
            self._route(self._proposal_expired(pending, now), now)
        self._route(self._call_handler.tick(now), now)
        self._route(self._report_load(now), now)
        self._perform_leader_duties(now)
        self._route(self.log.compact(now), now)
        if self._is_stopping:
            self._route(self.log.consensus.transfer_leadership(now), now)

    def _begin_stop(self, now: Seconds) -> None:
        self._is_stopping = True
        self._call_handler.stop()
        self.entry.router.drain(now)
        self._route(self.site.authority.release(now), now)
        self._route(self.log.consensus.transfer_leadership(now), now)

    # State that components share.

    def _synchronize(self, now: Seconds) -> None:
        """Update each component with the state of the others that it depends on."""
        status = self.log.status(now)
        is_leader = status.role is Role.LEADER and status.quorum_age <= QUORUM_AGE_LIMIT
        self.witness.set_leading(is_leader, status.term, now)
        self.site.authority.set_log_leader(status.leader)
        if not self._has_caught_up and status.caught_up_age <= ISOLATION_LIMIT:
            self._become_ready(now)
        self._apply_configuration(now)
        self.site.update_switch(status.caught_up_age)
        self._route(self.site.update_lease(self.log.ledgers.jobs, now), now)
        self._route(self.entry.lease_changed(self.site.authority.known_lease(now), now), now)

    def _become_ready(self, now: Seconds) -> None:
        """Accept calls, and mark keys that an earlier process had in progress as lost."""
        self._has_caught_up = True
        me = self.identity.me
        if me in self.log.ledgers.keys.owners_in_progress():
            self.log.propose(MarkOwnerLost(me), ForNoCaller(), UNATTENDED_TIMEOUT, now)

    def _apply_configuration(self, now: Seconds) -> None:
        effective = self._effective_configuration.refresh(self.configuration, self.site.switch)
        if effective is None:
            return
        self.entry.configure(effective, now)
        self._route(self.site.configure(effective, now), now)
        version = self.configuration.version
        self.site.authority.record_applied_version(version, now)
        self._route(self.rollout.record_applied(version, now), now)

    def _record_load(self, holder: InstanceId, report: LoadReport, now: Seconds) -> None:
        load = report.load
        holder_report = HolderReport(holder, report.epoch, load, report.workers, now)
        self.holder_reports_by_data_centre[load.data_centre] = holder_report
        self.loads_by_data_centre[load.data_centre] = load
        self._leader_duties.record_report(load, now)
        self.site.scheduler.loads_reported(self.loads_by_data_centre)

    def _report_load(self, now: Seconds) -> list[msgspec.Struct]:
        if now < self._next_load_report_at:
            return []
        self._next_load_report_at = Seconds(now + LOAD_INTERVAL)
        report = self.site.load_report(now)
        if report is None:
            return []
        self._record_load(self.identity.me, report, now)
        return [Send(peer, report) for peer in sorted(self._connected_peers)]

    def _perform_leader_duties(self, now: Seconds) -> None:
        commands = self._leader_duties.commands_due(
            self.log.is_leader(now),
            self._connected_peers,
            self.log.ledgers,
            self.loads_by_data_centre,
            now,
        )
        for command in commands:
            self.log.propose(command, ForNoCaller(), SCHEDULER_TIMEOUT, now)

    # Actions of the components.

    def _route(self, actions: Iterable[msgspec.Struct], now: Seconds) -> None:
        """Handle the actions that concern another component, and keep the rest for the daemon."""
        for action in actions:
            match action:
                case Committed(entry=entry):
                    applied = self.log.apply(entry)
                    if applied is not None:
                        self._route(self._command_applied(applied, now), now)
                case SnapshotRestored(index=index, state=state):
                    self._restore(index, state, now)
                case ProposeCommand(command=command):
                    self.log.propose(command, ForScheduler(), SCHEDULER_TIMEOUT, now)
                case Fenced(highest_epoch=epoch):
                    self.site.authority.raise_epoch_floor(epoch, now)
                case ProposeReservation(request_id=request, command=reservation):
                    self.log.propose(reservation, ForKey(request), KEY_TIMEOUT, now)
                case _:
                    self._actions.append(cast(Action, action))

    def _command_applied(self, applied: AppliedCommand, now: Seconds) -> list[msgspec.Struct]:
        """Pass the result of a committed command to the components that depend on it."""
        self._apply_configuration(now)
        actions: list[msgspec.Struct] = []
        result = applied.result
        if isinstance(result, JobRecord):
            actions += self.site.job_changed(result, now)
        if applied.pending is not None:
            actions += self._complete_proposal(applied, applied.pending, now)
        return actions

    def _complete_proposal(
        self, applied: AppliedCommand, pending: PendingProposal, now: Seconds
    ) -> list[msgspec.Struct]:
        """Pass the result of a proposal to the component or call that waits for it."""
        result = applied.result
        match pending.purpose:
            case ForKey(request=request) if isinstance(result, KeyRecord | Refusal):
                return [*self.entry.router.handle_reservation(request, result, now)]
            case ForScheduler() if isinstance(result, Refusal):
                log_line = LogCommandRefused(applied.index, applied.command, result)
                return [log_line, *self.site.command_refused(applied.command, result, now)]
            case _:
                return self._call_handler.command_applied(applied, now)

    def _proposal_expired(self, pending: PendingProposal, now: Seconds) -> list[msgspec.Struct]:
        """Refuse the request or call that waits for a proposal that has expired."""
        if isinstance(pending.purpose, ForKey):
            detail = "the log could not reserve the idempotency key in time"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.NOT_RUN, RETRY_AFTER)
            return [*self.entry.router.handle_reservation(pending.purpose.request, refusal, now)]
        return self._call_handler.proposal_expired(pending)

    def _restore(self, index: LogIndex, state: bytes, now: Seconds) -> None:
        """Replace the replicated state with a snapshot of the log."""
        self.log.restore(index, state)
        self.site.switch.set_ledger(self.log.ledgers.configuration)
        self._apply_configuration(now)
        records = self.log.ledgers.jobs.live_records(self.identity.data_centre)
        self._route(self.site.scheduler.jobs_changed(records, now), now)
