"""
tests.node_world
~~~~~~~~~~~~~~~~

Whole nodes joined by a hostile in-memory network, with stand-in workers and fake endpoints, under a
virtual clock. It only lets things happen and keeps books; what must hold is judged elsewhere.
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
    AnnounceAsked,
    CallerGone,
    CallId,
    CallPlatform,
    ChangeAsked,
    Event,
    Identity,
    Node,
    OutcomeReady,
    Peer,
    PeerConnected,
    PeerDisconnected,
    PeerMessage,
    PeerSaid,
    PlatformAnswered,
    Reply,
    RequestAnswered,
    RequestArrived,
    StopAsked,
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

STEP = 0.05
"""Seconds by which the time goes on."""

RACKS = (Rack(id="r1", workers=4, per_worker=Resources(8, 64, 262_144)),)
SLOTS = 4
ANNOUNCE_INTERVAL = 0.5
CRASH_IN_BATCH = 0.3
"""Chance that a kill lands between two actions of a batch."""


class Endpoint:
    """A fake endpoint that counts what it runs."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.name = EndpointId(name)
        self.data_centre = DataCentreId(data_centre)
        self.incarnation = 1
        self.sequence = 0
        self.up = True
        self.leaving_since: float | None = None
        self.running: set[tuple[RequestId, int]] = set()
        self.most_running = 0
        self.late_starts: list[float] = []
        self.run_seconds = 0.1

    def set(self, up: bool, leaving: bool, now: float) -> None:
        """Crash, restart, begin to leave or come back; each return is a new incarnation."""
        if up and not self.up or (self.leaving_since is not None and not leaving):
            self.incarnation += 1
            self.sequence = 0
            self.running = set()
        self.up = up
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
    """The place of one instance: what survives a crash, and the node while it runs."""

    def __init__(self, peer: Peer, others: tuple[Peer, ...], found: bool) -> None:
        self.peer = peer
        self.others = others
        self.found = found
        self.disk: list[msgspec.Struct] = []
        self.disk_id: InstanceId | None = None
        self.node: Node | None = None
        self.paused = False
        self.skew = 0.0
        self.boot = 0
        self.tick_at = 0.0
        self.connected: dict[str, InstanceId] = {}
        self.open_requests: set[RequestId] = set()
        self.waiting: list[Event] = []
        self.stopping = False

    @property
    def is_live(self) -> bool:
        return self.node is not None and not self.paused


class World:
    """
    All hosts, and the time.

    :param daemons_by_data_centre: how many instances each data centre has.
    :param voters: how many of them have a disk.
    """

    def __init__(self, seed: int, daemons_by_data_centre: dict[str, int], voters: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.drop = 0.0
        self.duplicate = 0.0
        self.delay = 0.002
        self.cuts: set[frozenset[str]] = set()
        self.endpoints_by_name: dict[str, Endpoint] = {}
        self.ran: Counter[str] = Counter()
        self.runs: Counter[RequestId] = Counter()
        self.finished: dict[RequestId, EndpointAnswer | Refusal] = {}
        self.replies: dict[CallId, msgspec.Struct] = {}
        self.replied_at: dict[CallId, float] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._calls = itertools.count(1)
        self._requests = itertools.count(1)
        self._boots = itertools.count(1)
        peers = [
            Peer(InstanceName(f"{place}-{number}"), DataCentreId(place), False)
            for number in range(1, max(daemons_by_data_centre.values()) + 1)
            for place, count in daemons_by_data_centre.items()
            if number <= count
        ]
        peers = [
            msgspec.structs.replace(peer, has_disk=position < voters)
            for position, peer in enumerate(peers)
        ]
        self.hosts_by_name = {
            peer.name: Host(peer, tuple(p for p in peers if p != peer), position == 0)
            for position, peer in enumerate(peers)
        }
        timings = PlatformTimings(run_seconds=3.0, checkpoint_seconds=0.2)
        self.platforms_by_data_centre = {
            place: WorkerPlatform(DataCentreId(place), RACKS, seed, timings)
            for place in daemons_by_data_centre
        }
        for host in self.hosts_by_name.values():
            self.start(host)

    # Hosts.

    def start(self, host: Host) -> None:
        """Start a node, from its disk if it has one."""
        host.boot = next(self._boots)
        fresh = InstanceId(f"{host.peer.name}.{host.boot:08x}")
        restored = None
        if host.peer.has_disk:
            host.disk_id = host.disk_id or fresh
            restorer = Restorer()
            for record in host.disk:
                restorer.apply(record)  # type: ignore[arg-type]
            restored = restorer.restored()
        identity = Identity(
            me=host.disk_id if host.peer.has_disk and host.disk_id else fresh,
            data_centre=host.peer.data_centre,
            has_disk=host.peer.has_disk,
            peers=host.others,
            found=host.found,
            has_platform=True,
            http_address="127.0.0.1:1",
        )
        host.skew = self.rng.uniform(-50.0, 50.0)
        rng = random.Random(self.rng.getrandbits(32))
        host.node = Node(identity, restored, rng, self.clock(host))
        host.paused = False
        host.stopping = False
        host.connected = {}
        host.waiting = []
        host.open_requests = set()

    def kill(self, host: Host) -> None:
        """End a node at once; what it had synced stays on its disk."""
        host.node = None
        host.paused = False
        for other in self.hosts_by_name.values():
            self.disconnect(other, host.peer.name)

    def lose_disk(self, host: Host) -> None:
        """End a node and remove its data folder."""
        self.kill(host)
        host.disk = []
        host.disk_id = None

    def stop(self, host: Host) -> None:
        """Begin a planned stop."""
        host.stopping = True
        self.feed(host, StopAsked())

    def clock(self, host: Host) -> Seconds:
        """Return the reading of a host's own clock."""
        return Seconds(self.now + host.skew)

    def live_hosts(self, data_centre: str | None = None) -> list[Host]:
        return [
            host
            for host in self.hosts_by_name.values()
            if host.is_live and data_centre in (None, host.peer.data_centre)
        ]

    # What callers, operators and endpoints send.

    def ask(self, host: Host, make: Callable[[CallId], Event]) -> CallId:
        """Make a call at one instance."""
        call = CallId(next(self._calls))
        self.feed(host, make(call))
        return call

    def change(self, host: Host, change: ChangeConfiguration) -> CallId:
        return self.ask(host, lambda call: ChangeAsked(call, change))

    def request(self, host: Host, profile: str, key: str | None, marker: str) -> RequestId:
        """Send a request; its body is its marker."""
        request = RequestId(f"{marker}#{next(self._requests)}")
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
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            self._follow_links()
            self._announce()
            while self._queue and self._queue[0][0] <= self.now:
                heapq.heappop(self._queue)[2]()
            for platform in self.platforms_by_data_centre.values():
                platform.advance(Seconds(self.now))
            for host in self.hosts_by_name.values():
                if host.is_live and host.node and self.now >= host.tick_at:
                    self.feed(host, Tick())
                    host.tick_at = self.now + host.node.tick_interval
                    self._end_stop(host)

    def later(self, seconds: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + seconds, next(self._order), what))

    def feed(self, host: Host, event: Event) -> None:
        """Step a node; one that is paused takes it in when it goes on."""
        if host.node is None:
            return
        if host.paused:
            host.waiting.append(event)
            return
        batch, host.waiting = [*host.waiting, event], []
        self._carry_out(host, host.node.step_all(batch, self.clock(host)))

    def crash_in_batch(self, host: Host) -> None:
        """Kill a node after a part of what its next tick makes it do."""
        if host.node is None or host.paused:
            return
        actions = host.node.step(Tick(), self.clock(host))
        self._carry_out(host, actions[: self.rng.randrange(len(actions) + 1)])
        self.kill(host)

    # Network.

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def disconnect(self, host: Host, name: str) -> None:
        instance = host.connected.pop(name, None)
        if instance is not None and host.node is not None:
            self.feed(host, PeerDisconnected(instance))

    def _follow_links(self) -> None:
        """Open streams between live hosts in reach; a silent one breaks after a while."""
        for host, other in itertools.permutations(self.hosts_by_name.values(), 2):
            if host.node is None or other.node is None or host.paused or other.paused:
                continue
            if self.is_cut(host.peer.name, other.peer.name):
                continue
            if host.connected.get(other.peer.name) != other.node.identity.me:
                self.disconnect(host, other.peer.name)
                host.connected[other.peer.name] = other.node.identity.me
                belongs = other.node.log.belongs(self.clock(other))
                hello = PeerConnected(other.node.identity.me, other.peer.has_disk, belongs)
                self.feed(host, hello)

    def _transmit(self, host: Host, send: Send) -> None:
        assert host.node is not None
        data = self._encoder.encode(send.message)
        source = host.node.identity.me
        copies = 1 + (self.rng.random() < self.duplicate)
        for _ in range(copies):
            if self.rng.random() >= self.drop:
                delay = self.rng.expovariate(1 / self.delay)
                self.later(delay, lambda: self._deliver(source, send.to, data))

    def _deliver(self, source: InstanceId, to: InstanceId, data: bytes) -> None:
        host = self.hosts_by_name[name_of(to)]
        if host.node is None or host.node.identity.me != to:
            return
        if not self.is_cut(name_of(source), name_of(to)):
            self.feed(host, PeerSaid(source, self._decoder.decode(data)))

    # Actions.

    def _carry_out(self, host: Host, actions: list[msgspec.Struct]) -> None:
        for action in actions:
            match action:
                case Persist():
                    host.disk.append(action.record)
                case RewriteJournal():
                    host.disk = list(action.records)
                case Send():
                    self._transmit(host, action)
                case Reply():
                    self.replies[action.call] = action.answer
                    self.replied_at[action.call] = self.now
                case CallPlatform():
                    self._call_platform(host, action)
                case Dispatch():
                    self._dispatch(host, action)
                case Forward():
                    result = AttemptResult(AttemptEnd.NOT_WRITTEN)
                    self._answer(host, host.boot, action, result)
                case ProposeSettlement():
                    self.feed(host, OutcomeReady(action.command))
                case FinishRequest():
                    assert action.request_id not in self.finished, "one final answer each"
                    self.finished[action.request_id] = action.result
                    host.open_requests.discard(action.request_id)

    def _call_platform(self, host: Host, action: CallPlatform) -> None:
        platform = self.platforms_by_data_centre[host.peer.data_centre]
        boot = host.boot

        def arrive() -> None:
            answer = platform.sync(action.call, Seconds(self.now))
            lost = self.rng.random() < self.drop
            self.later(3.0 if lost else self._hop(), lambda: back(None if lost else answer))

        def back(answer: object) -> None:
            if host.boot == boot:
                self.feed(host, PlatformAnswered(answer))  # type: ignore[arg-type]

        if self.rng.random() < self.drop:
            self.later(3.0, lambda: back(None))
        else:
            self.later(self._hop(), arrive)

    def _hop(self) -> float:
        return self.rng.expovariate(1 / self.delay)

    def _dispatch(self, host: Host, dispatch: Dispatch) -> None:
        boot = host.boot
        self.later(self._hop(), lambda: self._arrive(host, boot, dispatch))

    def _arrive(self, host: Host, boot: int, dispatch: Dispatch) -> None:
        endpoint = self.endpoints_by_name[dispatch.endpoint]
        if not endpoint.up:
            result = AttemptResult(AttemptEnd.NOT_WRITTEN)
            self._answer(host, boot, dispatch, result)
            return
        run = (dispatch.request_id, dispatch.attempt)
        endpoint.running.add(run)
        endpoint.most_running = max(endpoint.most_running, len(endpoint.running))
        self.ran[dispatch.request_id.partition("#")[0]] += 1
        self.runs[dispatch.request_id] += 1
        if endpoint.leaving_since is not None:
            endpoint.late_starts.append(self.now - endpoint.leaving_since)
        incarnation = endpoint.incarnation

        def end() -> None:
            endpoint.running.discard(run)
            alive = endpoint.up and endpoint.incarnation == incarnation
            whole = alive and self.rng.random() >= self.drop / 4
            result = (
                AttemptResult(AttemptEnd.WHOLE, 200) if whole else AttemptResult(AttemptEnd.LOST)
            )
            self._answer(host, boot, dispatch, result)

        self.later(endpoint.run_seconds * self.rng.uniform(0.5, 2.0), end)

    def _answer(
        self, host: Host, boot: int, dispatch: Dispatch | Forward, result: AttemptResult
    ) -> None:
        def back() -> None:
            if host.boot == boot:
                event = RequestAnswered(dispatch.request_id, dispatch.attempt, result)
                self.feed(host, event)

        self.later(self._hop(), back)

    # Endpoints.

    def _announce(self) -> None:
        for endpoint in self.endpoints_by_name.values():
            due = int(self.now / STEP) % int(ANNOUNCE_INTERVAL / STEP) == 0
            hosts = self.live_hosts(endpoint.data_centre)
            if endpoint.up and due and hosts:
                announcement = endpoint.announcement()
                host = self.rng.choice(hosts)
                self.ask(host, lambda call, said=announcement: AnnounceAsked(call, said))

    def _end_stop(self, host: Host) -> None:
        """End a planned stop once the node says it may."""
        if not host.stopping or host.node is None or host.open_requests:
            return
        if host.node.may_stop(self.clock(host)):
            self.kill(host)

    def caller_leaves(self, host: Host, request: RequestId) -> None:
        self.feed(host, CallerGone(request))
