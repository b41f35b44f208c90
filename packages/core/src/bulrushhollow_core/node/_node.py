"""
bulrushhollow_core.node._node
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One instance as a whole: every event goes to the part that it concerns, and what the parts ask of
each other is passed on until only actions for the daemon are left.
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
from bulrushhollow_core.jobs import DataCentreLoad, Fenced, IntendStart, JobRecord, ProposeCommand
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node import _events as events
from bulrushhollow_core.node._actions import Action
from bulrushhollow_core.node._calls import Calls
from bulrushhollow_core.node._duties import LeaderDuties
from bulrushhollow_core.node._effective import Effective
from bulrushhollow_core.node._entry import Entry
from bulrushhollow_core.node._events import Event
from bulrushhollow_core.node._founding import Founding
from bulrushhollow_core.node._log import Applied, ReplicatedLog
from bulrushhollow_core.node._messages import LoadReport, PeerMessage, Propose
from bulrushhollow_core.node._proposals import Pending
from bulrushhollow_core.node._purposes import ForKey, ForRecord, ForScheduler
from bulrushhollow_core.node._rollouts import Rollouts
from bulrushhollow_core.node._site import Site
from bulrushhollow_core.node._views import HolderWord, Identity, NodeStatus
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

KEY_WAIT = Seconds(3.0)
"""Seconds within which an idempotency key must be reserved."""

RECORD_WAIT = Seconds(86_400.0)
"""Seconds for which something that nobody waits for is proposed again."""

SCHEDULER_WAIT = Seconds(2.0)
"""Seconds for which a command of the scheduler is proposed; it then decides anew."""

LOAD_INTERVAL = Seconds(1.0)
"""Seconds between two load reports of a holder."""

RETRY_AFTER = 1.0
"""Seconds after which a request that was refused for want of a quorum may be worth repeating."""


class Node:
    """
    One instance.

    Usage::

        node = Node(identity, restored, rng, now)
        for action in node.step(event, now):
            ...  # carry it out before the next one

    :param restored: what the journal gave back, if there is one.
    :param rng: the one source of randomness.
    """

    def __init__(
        self, identity: Identity, restored: RestoredState | None, rng: random.Random, now: Seconds
    ) -> None:
        me = identity.me
        places = identity.data_centres_by_name
        self.identity = identity
        self.log = ReplicatedLog(me, identity.has_disk, restored, rng, now)
        self.rollout = Rollout(identity.name, frozenset(places), now)
        self.witness = Witness(places)
        self.site = Site(identity, self.witness, self.log.ledgers.configuration, rng, now)
        self.entry = Entry(me, places, identity.http_address, identity.router, rng, now)
        self.words_by_data_centre: dict[DataCentreId, HolderWord] = {}
        self.loads_by_data_centre: dict[DataCentreId, DataCentreLoad] = {}
        members = {place: identity.members_of(place) for place in set(places.values())}
        self.rollouts = Rollouts(self.rollout, members)
        self._calls = Calls(self.log, self.site, self.rollouts, self.loads_by_data_centre, now)
        disk_peers = frozenset(peer.name for peer in identity.peers if peer.has_disk)
        self._founding = Founding(identity.found, disk_peers)
        self._effective = Effective(identity.data_centre)
        self._duties = LeaderDuties(me, now)
        self._connected: frozenset[InstanceId] = frozenset()
        self._load_at = now
        self._stopping = False
        self._ready = False
        self._out: list[Action] = []

    # What the daemon asks.

    def step(self, event: Event, now: Seconds) -> list[Action]:
        """
        Take in one event.

        :return: actions in the order in which to carry them out.
        """
        return self.step_all((event,), now)

    def step_all(self, batch: Iterable[Event], now: Seconds) -> list[Action]:
        """
        Take in several events that came in at the same time.

        :return: actions in the order in which to carry them out.
        """
        self._out = []
        self._follow(now)
        for event in batch:
            self._handle(event, now)
        self._follow(now)
        self._absorb(self.log.hand_over_due(now), now)
        self._absorb(self.log.consensus.flush(now), now)
        return self._out

    @property
    def tick_interval(self) -> Seconds:
        """Seconds within which the next :class:`Tick` is wanted."""
        is_busy = (
            not self.entry.router.is_idle()
            or len(self.log.proposals) > 0
            or self.site.scheduler.is_busy
            or self._calls.is_waiting
        )
        return TICK_INTERVAL if is_busy else IDLE_TICK_INTERVAL

    @property
    def configuration(self) -> Configuration:
        """The accepted configuration as this instance has applied it."""
        return self.log.ledgers.configuration.configuration

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here: the newest configuration was seen, no stop began."""
        return self._ready and not self._stopping

    @property
    def has_caught_up(self) -> bool:
        """Whether the newest configuration was seen since the start."""
        return self._ready

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    @property
    def connected(self) -> frozenset[InstanceId]:
        """Incarnations of peers that can be reached."""
        return self._connected

    def may_stop(self, now: Seconds) -> bool:
        """Tell whether a planned stop can end: nothing in flight, nothing held."""
        leads_others = self.log.leads(now) and len(self.log.status(now).members.voters) > 1
        return self.entry.router.is_idle() and not leads_others and not len(self.log.proposals)

    def status(self, now: Seconds) -> NodeStatus:
        """Return figures of all parts."""
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
            case events.PeerSaid():
                self._absorb(self._receive(event.source, event.message, now), now)
            case events.PeerConnected():
                self._connect(event, now)
            case events.PeerDisconnected():
                self._disconnect(event.instance, now)
            case events.RequestArrived():
                self._absorb(self._arrive(event.arrival, now), now)
            case events.RequestAnswered():
                router = self.entry.router
                answered = router.handle_result(event.request, event.attempt, event.result, now)
                self._absorb(answered, now)
            case events.CallerGone():
                self._absorb(self.entry.router.cancel(event.request, now), now)
            case events.OutcomeReady():
                self.log.want(event.command, ForRecord(), RECORD_WAIT, now)
            case events.AnnounceAsked():
                self._absorb(self.entry.announce(event.call, event.announcement, now), now)
            case events.PlatformAnswered():
                self._absorb(self.site.platform_answered(event.answer, now), now)
            case events.StopAsked():
                self._stop(now)
            case _:
                self._absorb(self._calls.ask(event, now), now)

    def _receive(
        self, source: InstanceId, message: PeerMessage, now: Seconds
    ) -> list[msgspec.Struct]:
        match message:
            case Propose():
                return self.log.append(message.payload, now)
            case LoadReport():
                self._take_load(source, message, now)
                return []
            case AppliedVersion():
                return self.rollout.receive(source, message, now)
            case EndpointUpdate() | EndpointQuery() | ShareReport() | ShareGrant():
                return self.entry.receive(source, message, now)
        if isinstance(message, AuthorityMessage):
            witnessed = self.witness.receive(source, message, now)
            return witnessed + self.site.authority.receive(source, message, now)
        return self.log.consensus.receive(source, message, now)

    def _arrive(self, arrival: Arrival, now: Seconds) -> list[msgspec.Struct]:
        if not self._ready:
            detail = "this instance has not seen the present configuration yet"
            refusal = Refusal(Reason.NOT_READY, detail, Execution.NOT_RUN, RETRY_AFTER)
            return [FinishRequest(arrival.request_id, refusal)]
        return [*self.entry.router.handle_arrival(arrival, now)]

    def _connect(self, event: events.PeerConnected, now: Seconds) -> None:
        peer = event.instance
        self._connected |= {peer}
        self._founding.heard(peer, event.belongs)
        self.site.authority.peer_connected(peer)
        self._absorb(self.log.consensus.peer_connected(peer, event.has_disk, now), now)
        self._absorb(self.rollout.peer_connected(peer), now)
        self._absorb(self.entry.connected(peer, now), now)

    def _disconnect(self, peer: InstanceId, now: Seconds) -> None:
        self._connected -= {peer}
        self.site.authority.peer_disconnected(peer)
        self._absorb(self.log.consensus.peer_disconnected(peer, now), now)

    def _tick(self, now: Seconds) -> None:
        if self._founding.take():
            self._absorb(self.log.consensus.bootstrap(now), now)
        self._absorb(self.log.consensus.tick(now), now)
        self._absorb(self.site.authority.tick(now), now)
        self._absorb(self.rollout.tick(now), now)
        self._absorb(self.entry.tick(now), now)
        self._absorb(self.site.tick(now), now)
        for pending in self.log.proposals.expire(now):
            self._absorb(self._expired(pending, now), now)
        self._absorb(self._calls.tick(now), now)
        self._absorb(self._report_load(now), now)
        self._do_duties(now)
        self._absorb(self.log.compact(now), now)
        if self._stopping:
            self._absorb(self.log.consensus.transfer_leadership(now), now)

    def _stop(self, now: Seconds) -> None:
        self._stopping = True
        self._calls.stop()
        self.entry.router.drain(now)
        self._absorb(self.site.authority.release(now), now)
        self._absorb(self.log.consensus.transfer_leadership(now), now)

    # What the parts need to know of each other.

    def _follow(self, now: Seconds) -> None:
        """Tell each part what has changed in the others."""
        status = self.log.status(now)
        leads = status.role is Role.LEADER and status.quorum_age <= QUORUM_AGE_LIMIT
        self.witness.set_leading(leads, status.term, now)
        self.site.authority.set_log_leader(status.leader)
        if not self._ready and status.caught_up_age <= ISOLATION_LIMIT:
            self._become_ready(now)
        self._follow_configuration(now)
        self.site.follow_switch(status.caught_up_age)
        self._absorb(self.site.follow_lease(self.log.ledgers.jobs, now), now)
        self._absorb(self.entry.follow_lease(self.site.authority.known_lease(now), now), now)

    def _become_ready(self, now: Seconds) -> None:
        """Begin to serve; keys that an earlier process had in progress are nobody's any more."""
        self._ready = True
        me = self.identity.me
        if me in self.log.ledgers.keys.owners_in_progress():
            self.log.want(MarkOwnerLost(me), ForRecord(), RECORD_WAIT, now)

    def _follow_configuration(self, now: Seconds) -> None:
        effective = self._effective.follow(self.configuration, self.site.switch)
        if effective is None:
            return
        self.entry.configure(effective, now)
        self._absorb(self.site.configure(effective, now), now)
        version = self.configuration.version
        self.site.authority.record_applied_version(version, now)
        self._absorb(self.rollout.record_applied(version, now), now)

    def _take_load(self, holder: InstanceId, report: LoadReport, now: Seconds) -> None:
        load = report.load
        word = HolderWord(holder, report.epoch, load, report.workers, now)
        self.words_by_data_centre[load.data_centre] = word
        self.loads_by_data_centre[load.data_centre] = load
        self._duties.heard(load, now)
        self.site.scheduler.loads_reported(self.loads_by_data_centre)

    def _report_load(self, now: Seconds) -> list[msgspec.Struct]:
        if now < self._load_at:
            return []
        self._load_at = Seconds(now + LOAD_INTERVAL)
        report = self.site.report(now)
        if report is None:
            return []
        self._take_load(self.identity.me, report, now)
        return [Send(peer, report) for peer in sorted(self._connected)]

    def _do_duties(self, now: Seconds) -> None:
        commands = self._duties.due(
            self.log.leads(now),
            self._connected,
            self.log.ledgers,
            self.loads_by_data_centre,
            now,
        )
        for command in commands:
            self.log.want(command, ForRecord(), SCHEDULER_WAIT, now)

    # What the parts ask of each other.

    def _absorb(self, actions: Iterable[msgspec.Struct], now: Seconds) -> None:
        """Pass on what concerns another part, and keep the rest for the daemon."""
        for action in actions:
            match action:
                case Committed(entry=entry):
                    applied = self.log.apply(entry)
                    if applied is not None:
                        self._absorb(self._applied(applied, now), now)
                case SnapshotRestored(index=index, state=state):
                    self._restore(index, state, now)
                case ProposeCommand(command=command):
                    self.log.want(command, ForScheduler(), SCHEDULER_WAIT, now)
                case Fenced(highest_epoch=epoch):
                    self.site.authority.raise_epoch_floor(epoch, now)
                case ProposeReservation(request_id=request, command=reservation):
                    self.log.want(reservation, ForKey(request), KEY_WAIT, now)
                case _:
                    self._out.append(cast(Action, action))

    def _applied(self, applied: Applied, now: Seconds) -> list[msgspec.Struct]:
        """Tell the parts what a committed command has made."""
        self._follow_configuration(now)
        actions: list[msgspec.Struct] = []
        result = applied.result
        if isinstance(result, JobRecord):
            actions += self.site.job_changed(result, now)
        if isinstance(applied.command, IntendStart) and isinstance(result, JobRecord):
            self._note_epoch(applied.command, now)
        if applied.pending is not None:
            actions += self._settled(applied, applied.pending, now)
        return actions

    def _note_epoch(self, intent: IntendStart, now: Seconds) -> None:
        if intent.data_centre == self.identity.data_centre:
            self.site.authority.raise_epoch_floor(intent.epoch, now)

    def _settled(self, applied: Applied, pending: Pending, now: Seconds) -> list[msgspec.Struct]:
        """Tell whoever waited for a proposal what became of it."""
        result = applied.result
        match pending.purpose:
            case ForKey(request=request) if isinstance(result, KeyRecord | Refusal):
                return [*self.entry.router.handle_reservation(request, result, now)]
            case ForScheduler() if isinstance(result, Refusal):
                return self.site.command_refused(applied.command, result, now)
            case _:
                return self._calls.applied(applied, now)

    def _expired(self, pending: Pending, now: Seconds) -> list[msgspec.Struct]:
        """Tell whoever waited for a proposal that it was given up."""
        if isinstance(pending.purpose, ForKey):
            detail = "the log could not reserve the idempotency key in time"
            refusal = Refusal(Reason.NO_QUORUM, detail, Execution.NOT_RUN, RETRY_AFTER)
            return [*self.entry.router.handle_reservation(pending.purpose.request, refusal, now)]
        return self._calls.expired(pending)

    def _restore(self, index: LogIndex, state: bytes, now: Seconds) -> None:
        """Go on from a snapshot of the log."""
        self.log.restore(index, state)
        self.site.switch.set_ledger(self.log.ledgers.configuration)
        self._follow_configuration(now)
        records = self.log.ledgers.jobs.live_records(self.identity.data_centre)
        self._absorb(self.site.scheduler.jobs_changed(records, now), now)
