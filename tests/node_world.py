"""
tests.node_world
~~~~~~~~~~~~~~~~

A simulation of complete nodes that are connected by an unreliable in-memory network, with stand-in
workers and fake endpoints, under a virtual clock. It records what happens;
:mod:`tests.node_oracle` checks the promises against the records.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from bulrushhollow_core.actions import Persist, Send
from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.consensus import Restorer, RewriteJournal
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    DataCentreId,
    EndpointId,
    InstanceId,
    InstanceName,
    RequestId,
    Seconds,
    name_of,
)
from bulrushhollow_core.models import Rack, Resources
from bulrushhollow_core.node import (
    AnnouncementReceived,
    AttemptFinished,
    CallerDisconnected,
    CallId,
    CallPlatform,
    ChangeRequested,
    Event,
    Identity,
    Node,
    OutcomeReady,
    Peer,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerMessageReceived,
    PlatformAnswered,
    Reply,
    RequestArrived,
    StopRequested,
    Tick,
)
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.requests import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    EndpointAnswer,
    FinishRequest,
    Forward,
    ProposeSettlement,
)
from standins.worker_platform import PlatformTimings, WorkerPlatform

TIME_STEP = 0.05
"""Seconds by which the virtual clock advances in each step."""

RACKS = (Rack(id="r1", workers=4, per_worker=Resources(8, 64, 262_144)),)
SLOTS = 4
ANNOUNCE_INTERVAL = 0.5
CRASH_IN_BATCH = 0.3
"""Chance that a kill lands between two actions of a batch."""


class Endpoint:
    """A fake endpoint that counts the requests that it runs."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = EndpointId(name)
        self.data_centre = DataCentreId(data_centre)
        self.incarnation = 1
        self.sequence = 0
        self.is_up = True
        self.leaving_since: float | None = None
        self.running_attempts: set[tuple[RequestId, int]] = set()
        self.max_running = 0
        self.start_delays_after_leaving: list[float] = []
        self.run_seconds = 0.1

    def set_state(self, is_up: bool, leaving: bool, now: float) -> None:
        """Crash, restart, start to leave or return; each restart or return is a new incarnation."""
        if is_up and not self.is_up or (self.leaving_since is not None and not leaving):
            self.incarnation += 1
            self.sequence = 0
            self.running_attempts = set()
        self.is_up = is_up
        self.leaving_since = (self.leaving_since or now) if leaving else None

    def announcement(self) -> Announcement:
        self.sequence += 1
        return Announcement(
            endpoint=self.name,
            data_centre=self.data_centre,
            incarnation=self.incarnation,
            sequence=self.sequence,
            address="127.0.0.1:9",
            service="orders",
            slots=SLOTS,
            connections=16,
            leaving=self.leaving_since is not None,
        )


class Host:
    """One instance: the state that survives a crash, and the node while it runs."""

    def __init__(self, peer: Peer, others: tuple[Peer, ...], is_founder: bool) -> None:
        self.peer = peer
        self.others = others
        self.is_founder = is_founder
        self.journal: list[msgspec.Struct] = []
        self.disk_instance: InstanceId | None = None
        self.node: Node | None = None
        self.is_paused = False
        self.clock_skew = 0.0
        self.process_number = 0
        self.tick_at = 0.0
        self.connected_peers: dict[str, InstanceId] = {}
        self.open_requests: set[RequestId] = set()
        self.pending_events: list[Event] = []
        self.is_stopping = False

    @property
    def is_live(self) -> bool:
        return self.node is not None and not self.is_paused


class World:
    """
    All hosts, platforms and endpoints, the network between them, and the virtual clock.

    :param daemons_by_data_centre: number of instances in each data centre.
    :param voters: number of instances that have a disk.
    """

    def __init__(self, seed: int, daemons_by_data_centre: dict[str, int], voters: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.mean_delay = 0.002
        self.cut_links: set[frozenset[str]] = set()
        self.endpoints_by_name: dict[str, Endpoint] = {}
        self.runs_by_marker: Counter[str] = Counter()
        self.runs_by_request: Counter[RequestId] = Counter()
        self.results_by_request: dict[RequestId, EndpointAnswer | Refusal] = {}
        self.answers_by_call: dict[CallId, msgspec.Struct] = {}
        self.answered_at_by_call: dict[CallId, float] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._call_ids = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self._process_numbers = itertools.count(1)
        peers = [
            Peer(InstanceName(f"{data_centre}-{number}"), DataCentreId(data_centre), False)
            for number in range(1, max(daemons_by_data_centre.values()) + 1)
            for data_centre, count in daemons_by_data_centre.items()
            if number <= count
        ]
        peers = [
            msgspec.structs.replace(peer, has_disk=position < voters)
            for position, peer in enumerate(peers)
        ]
        self.hosts_by_name = {
            peer.name: Host(peer, tuple(other for other in peers if other != peer), position == 0)
            for position, peer in enumerate(peers)
        }
        timings = PlatformTimings(run_seconds=3.0, checkpoint_seconds=0.2)
        self.platforms_by_data_centre = {
            data_centre: WorkerPlatform(DataCentreId(data_centre), RACKS, seed, timings)
            for data_centre in daemons_by_data_centre
        }
        for host in self.hosts_by_name.values():
            self.start(host)

    # Hosts.

    def start(self, host: Host) -> None:
        """Start a node; one with a disk restores its state from the journal."""
        host.process_number = next(self._process_numbers)
        new_instance = InstanceId(f"{host.peer.name}.{host.process_number:08x}")
        restored = None
        if host.peer.has_disk:
            host.disk_instance = host.disk_instance or new_instance
            restorer = Restorer()
            for record in host.journal:
                restorer.apply(record)  # type: ignore[arg-type]
            restored = restorer.restored()
        identity = Identity(
            me=host.disk_instance if host.peer.has_disk and host.disk_instance else new_instance,
            data_centre=host.peer.data_centre,
            has_disk=host.peer.has_disk,
            peers=host.others,
            is_founder=host.is_founder,
            has_platform=True,
            http_address="127.0.0.1:1",
        )
        host.clock_skew = self.rng.uniform(-50.0, 50.0)
        rng = random.Random(self.rng.getrandbits(32))
        host.node = Node(identity, restored, rng, self.clock(host))
        host.is_paused = False
        host.is_stopping = False
        host.connected_peers = {}
        host.pending_events = []
        host.open_requests = set()

    def kill(self, host: Host) -> None:
        """End a node at once; the records that it has synced stay in its journal."""
        host.node = None
        host.is_paused = False
        for other in self.hosts_by_name.values():
            self.disconnect(other, host.peer.name)

    def lose_disk(self, host: Host) -> None:
        """End a node and remove its data folder."""
        self.kill(host)
        host.journal = []
        host.disk_instance = None

    def stop(self, host: Host) -> None:
        """Begin a planned stop."""
        host.is_stopping = True
        self.feed(host, StopRequested())

    def clock(self, host: Host) -> Seconds:
        """Return the reading of a host's own clock."""
        return Seconds(self.now + host.clock_skew)

    def live_hosts(self, data_centre: str | None = None) -> list[Host]:
        return [
            host
            for host in self.hosts_by_name.values()
            if host.is_live and data_centre in (None, host.peer.data_centre)
        ]

    # Calls of callers, operators and endpoints.

    def call(self, host: Host, make_event: Callable[[CallId], Event]) -> CallId:
        """Send a call to one instance."""
        call = CallId(next(self._call_ids))
        self.feed(host, make_event(call))
        return call

    def request_change(self, host: Host, change: ChangeConfiguration) -> CallId:
        return self.call(host, lambda call: ChangeRequested(call, change))

    def send_request(self, host: Host, profile: str, key: str | None, marker: str) -> RequestId:
        """Send a request; the marker stands for its body."""
        request = RequestId(f"{marker}#{next(self._request_numbers)}")
        arrival = Arrival(
            request_id=request,
            profile_name=profile,  # type: ignore[arg-type]
            size=10,
            deadline=Seconds(self.clock(host) + 5.0),
            key=key,  # type: ignore[arg-type]
            digest=marker,
        )
        host.open_requests.add(request)
        self.feed(host, RequestArrived(arrival))
        return request

    # Time.

    def run(self, seconds: float) -> None:
        """Advance the virtual clock, and run everything that becomes due."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + TIME_STEP, 6)
            self._update_links()
            self._announce()
            while self._scheduled_calls and self._scheduled_calls[0][0] <= self.now:
                heapq.heappop(self._scheduled_calls)[2]()
            for platform in self.platforms_by_data_centre.values():
                platform.advance(Seconds(self.now))
            for host in self.hosts_by_name.values():
                if host.is_live and host.node and self.now >= host.tick_at:
                    self.feed(host, Tick())
                    host.tick_at = self.now + host.node.tick_interval
                    self._end_stop(host)

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._scheduled_calls, (self.now + seconds, next(self._sequence_numbers), action)
        )

    def feed(self, host: Host, event: Event) -> None:
        """Pass an event to a node; a paused node handles it after it resumes."""
        if host.node is None:
            return
        if host.is_paused:
            host.pending_events.append(event)
            return
        batch, host.pending_events = [*host.pending_events, event], []
        self._carry_out(host, host.node.step_all(batch, self.clock(host)))

    def crash_in_batch(self, host: Host) -> None:
        """Kill a node after it has carried out only some of the actions of a tick."""
        if host.node is None or host.is_paused:
            return
        actions = host.node.step(Tick(), self.clock(host))
        self._carry_out(host, actions[: self.rng.randrange(len(actions) + 1)])
        self.kill(host)

    # Network.

    def is_link_cut(self, first: str, second: str) -> bool:
        return frozenset((first, second)) in self.cut_links

    def disconnect(self, host: Host, name: str) -> None:
        instance = host.connected_peers.pop(name, None)
        if instance is not None and host.node is not None:
            self.feed(host, PeerDisconnected(instance))

    def _update_links(self) -> None:
        """Open streams between live hosts in reach, and close those to old incarnations."""
        for host, other in itertools.permutations(self.hosts_by_name.values(), 2):
            if host.node is None or other.node is None or host.is_paused or other.is_paused:
                continue
            if self.is_link_cut(host.peer.name, other.peer.name):
                continue
            if host.connected_peers.get(other.peer.name) != other.node.identity.me:
                self.disconnect(host, other.peer.name)
                host.connected_peers[other.peer.name] = other.node.identity.me
                has_joined = other.node.log.has_joined(self.clock(other))
                event = PeerConnected(other.node.identity.me, other.peer.has_disk, has_joined)
                self.feed(host, event)

    def _transmit(self, host: Host, send: Send) -> None:
        assert host.node is not None
        data = self._encoder.encode(send.message)
        source = host.node.identity.me
        copy_count = 1 + (self.rng.random() < self.duplicate_rate)
        for _ in range(copy_count):
            if self.rng.random() >= self.drop_rate:
                delay = self.rng.expovariate(1 / self.mean_delay)
                self._schedule(delay, lambda: self._deliver(source, send.to, data))

    def _deliver(self, source: InstanceId, to: InstanceId, data: bytes) -> None:
        host = self.hosts_by_name[name_of(to)]
        if host.node is None or host.node.identity.me != to:
            return
        if not self.is_link_cut(name_of(source), name_of(to)):
            self.feed(host, PeerMessageReceived(source, self._decoder.decode(data)))

    # Actions.

    def _carry_out(self, host: Host, actions: list[msgspec.Struct]) -> None:
        for action in actions:
            match action:
                case Persist():
                    host.journal.append(action.record)
                case RewriteJournal():
                    host.journal = list(action.records)
                case Send():
                    self._transmit(host, action)
                case Reply():
                    self.answers_by_call[action.call] = action.answer
                    self.answered_at_by_call[action.call] = self.now
                case CallPlatform():
                    self._call_platform(host, action)
                case Dispatch():
                    self._dispatch(host, action)
                case Forward():
                    result = AttemptResult(AttemptEnd.NOT_WRITTEN)
                    self._answer(host, host.process_number, action, result)
                case ProposeSettlement():
                    self.feed(host, OutcomeReady(action.command))
                case FinishRequest():
                    assert (
                        action.request_id not in self.results_by_request
                    ), "a request got a second final answer"
                    self.results_by_request[action.request_id] = action.result
                    host.open_requests.discard(action.request_id)

    def _call_platform(self, host: Host, action: CallPlatform) -> None:
        platform = self.platforms_by_data_centre[host.peer.data_centre]
        process_number = host.process_number

        def handle_call() -> None:
            answer = platform.sync(action.call, Seconds(self.now))
            lost = self.rng.random() < self.drop_rate
            self._schedule(
                3.0 if lost else self._random_delay(), lambda: deliver(None if lost else answer)
            )

        def deliver(answer: object) -> None:
            if host.process_number == process_number:
                self.feed(host, PlatformAnswered(answer))  # type: ignore[arg-type]

        if self.rng.random() < self.drop_rate:
            self._schedule(3.0, lambda: deliver(None))
        else:
            self._schedule(self._random_delay(), handle_call)

    def _random_delay(self) -> float:
        return self.rng.expovariate(1 / self.mean_delay)

    def _dispatch(self, host: Host, dispatch: Dispatch) -> None:
        process_number = host.process_number
        self._schedule(
            self._random_delay(), lambda: self._run_at_endpoint(host, process_number, dispatch)
        )

    def _run_at_endpoint(self, host: Host, process_number: int, dispatch: Dispatch) -> None:
        endpoint = self.endpoints_by_name[dispatch.endpoint]
        if not endpoint.is_up:
            result = AttemptResult(AttemptEnd.NOT_WRITTEN)
            self._answer(host, process_number, dispatch, result)
            return
        run = (dispatch.request_id, dispatch.attempt)
        endpoint.running_attempts.add(run)
        endpoint.max_running = max(endpoint.max_running, len(endpoint.running_attempts))
        self.runs_by_marker[dispatch.request_id.partition("#")[0]] += 1
        self.runs_by_request[dispatch.request_id] += 1
        if endpoint.leaving_since is not None:
            endpoint.start_delays_after_leaving.append(self.now - endpoint.leaving_since)
        incarnation = endpoint.incarnation

        def finish() -> None:
            endpoint.running_attempts.discard(run)
            is_alive = endpoint.is_up and endpoint.incarnation == incarnation
            is_complete = is_alive and self.rng.random() >= self.drop_rate / 4
            result = (
                AttemptResult(AttemptEnd.WHOLE, 200)
                if is_complete
                else AttemptResult(AttemptEnd.LOST)
            )
            self._answer(host, process_number, dispatch, result)

        self._schedule(endpoint.run_seconds * self.rng.uniform(0.5, 2.0), finish)

    def _answer(
        self, host: Host, process_number: int, dispatch: Dispatch | Forward, result: AttemptResult
    ) -> None:
        def deliver() -> None:
            if host.process_number == process_number:
                event = AttemptFinished(dispatch.request_id, dispatch.attempt, result)
                self.feed(host, event)

        self._schedule(self._random_delay(), deliver)

    # Endpoints.

    def _announce(self) -> None:
        for endpoint in self.endpoints_by_name.values():
            is_due = int(self.now / TIME_STEP) % int(ANNOUNCE_INTERVAL / TIME_STEP) == 0
            hosts = self.live_hosts(endpoint.data_centre)
            if endpoint.is_up and is_due and hosts:
                announcement = endpoint.announcement()
                host = self.rng.choice(hosts)
                self.call(
                    host, lambda call, received=announcement: AnnouncementReceived(call, received)
                )

    def _end_stop(self, host: Host) -> None:
        """End a planned stop when the node reports that it can stop."""
        if not host.is_stopping or host.node is None or host.open_requests:
            return
        if host.node.can_stop(self.clock(host)):
            self.kill(host)

    def disconnect_caller(self, host: Host, request: RequestId) -> None:
        self.feed(host, CallerDisconnected(request))
