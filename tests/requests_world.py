"""Instances, endpoints, a lossy network and a log under one virtual clock, with an oracle."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    EndpointId,
    Epoch,
    IdempotencyKey,
    InstanceId,
    InstanceName,
    LogIndex,
    ProfileName,
    RequestId,
    Seconds,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import (
    Configuration,
    DataCentre,
    Profile,
    Service,
    Urgency,
    WorkKind,
)
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    EndpointAnswer,
    EndpointDirectory,
    FinishRequest,
    Forward,
    KeyLedger,
    KeyRecord,
    MarkOwnerLost,
    ProposeReservation,
    ProposeSettlement,
    Router,
    RouterSettings,
    SlotShares,
)

NORTH = DataCentreId("north")
SOUTH = DataCentreId("south")
PLACES = {
    InstanceName("n1"): NORTH,
    InstanceName("n2"): NORTH,
    InstanceName("n3"): NORTH,
    InstanceName("s1"): SOUTH,
    InstanceName("s2"): SOUTH,
}
ENDPOINTS = {"en1": (NORTH, 8), "en2": (NORTH, 3), "es1": (SOUTH, 6), "es2": (SOUTH, 8)}
DEADLINE = 4.0
STEP = 0.05
LEASE_GAP = 1.0
SILENT = 3.0
CLOSE_HOLD = 2.0
SPEED_BY_MOOD = {"slow": 10.0, "fail": 0.05}
PROFILES = tuple(
    Profile(
        ProfileName(f"{urgency.value}-{'any' if idempotent else 'once'}"),
        WorkKind.REQUEST,
        WorkspaceId(workspace),
        urgency,
        idempotent,
        DEADLINE,
        "grip",
    )
    for urgency, idempotent, workspace in itertools.product(Urgency, (True, False), ("a",))
)


class Node:
    """One incarnation of an instance, with a clock of its own."""

    def __init__(self, name: InstanceName, number: int, world: "World") -> None:
        self.name = name
        self.id = InstanceId(f"{name}.{number:08x}")
        self.offset = 1000.0 * number + 7.0
        now = self.clock(world.now)
        rng = random.Random(number)
        self.data_centre = PLACES[name]
        self.directory = EndpointDirectory(
            name, self.data_centre, PLACES, rng, now, f"127.0.0.1:{number}"
        )
        near = frozenset(one for one, place in PLACES.items() if place == self.data_centre)
        self.shares = SlotShares(self.id, near, self.directory, now)
        settings = RouterSettings(queued_requests=12)
        self.router = Router(
            self.id, self.data_centre, self.directory, self.shares, rng, settings, now
        )
        self.configuration = Configuration()

    def clock(self, now: float) -> Seconds:
        return Seconds(now + self.offset)

    def configure(self, configuration: Configuration, now: float) -> None:
        self.configuration = configuration
        for part in (self.directory, self.shares, self.router):
            part.configure(configuration, self.clock(now))


class Endpoint:
    """An endpoint that counts what runs in its slots."""

    def __init__(self, name: str, data_centre: DataCentreId, slots: int) -> None:
        self.name = name
        self.data_centre = data_centre
        self.slots = slots
        self.incarnation = 1
        self.sequence = 0
        self.up = True
        self.silent = False
        self.leaving = False
        self.leaving_since: float | None = None
        self.heard_at = float("-inf")
        self.announce_at = 0.0
        self.mood = "good"
        self.running: dict[int, InstanceId] = {}

    def end(self, number: int) -> None:
        self.running.pop(number, None)

    def announcement(self) -> Announcement:
        self.sequence += 1
        return Announcement(
            EndpointId(self.name),
            self.data_centre,
            self.incarnation,
            self.sequence,
            "127.0.0.1:9000",
            "grip",
            self.slots,
            64,
            self.leaving,
        )


class Call(msgspec.Struct):
    """One request as its caller sees it."""

    root: str
    node: InstanceId
    due: float
    idempotent: bool
    key: str | None = None
    origin: tuple[InstanceId, RequestId, Attempt] | None = None
    finished: bool = False
    result: EndpointAnswer | Refusal | None = None


class World:
    """Everything outside the parts under test, and the oracle's books."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count(1)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[InstanceName, Node] = {}
        self.cut: set[frozenset[InstanceName]] = set()
        self.loss = 0.0
        self.no_log: set[InstanceName] = set()
        self.ledger = KeyLedger(max_keys=40)
        self.index = 0
        self.epochs: Counter[DataCentreId] = Counter()
        self.holders: dict[DataCentreId, InstanceName | None] = {NORTH: None, SOUTH: None}
        self.calls: dict[RequestId, Call] = {}
        self.runs: Counter[str] = Counter()
        self.proved_not_run: set[str] = set()
        self.once: set[str] = set()
        self.configuration = Configuration(
            Version(1),
            {profile.name: profile for profile in PROFILES},
            {},
            {place: DataCentre(place) for place in (NORTH, SOUTH)},
        )
        self.endpoints = {
            name: Endpoint(name, place, slots) for name, (place, slots) in ENDPOINTS.items()
        }
        for name in PLACES:
            self.start(name)
        for place in (NORTH, SOUTH):
            self.elect(place)

    # Time and network.

    def later(self, delay: float, run: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), run))

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for endpoint in self.endpoints.values():
                if endpoint.up and not endpoint.silent and self.now >= endpoint.announce_at:
                    endpoint.announce_at = self.now + self.rng.uniform(0.5, 0.9)
                    self.announce(endpoint)
            for node in list(self.nodes.values()):
                clock = node.clock(self.now)
                self.carry_out(node, node.directory.tick(clock))
                self.carry_out(node, node.shares.tick(clock))
                self.carry_out(node, node.router.tick(clock))
            self.check()

    def reaches(self, one: InstanceName, other: InstanceName) -> bool:
        return frozenset((one, other)) not in self.cut

    def send(self, source: Node, send: Send) -> None:
        name = InstanceName(send.to.rpartition(".")[0])
        copies = 2 if self.rng.random() < self.loss / 2 else 1
        for _ in range(copies):
            if not self.reaches(source.name, name) or self.rng.random() < self.loss:
                continue
            slow = 5.0 if self.rng.random() < self.loss / 4 else 0.02
            delay = self.rng.uniform(0.0, slow)
            self.later(delay, lambda: self.deliver(source.id, send))

    def deliver(self, source: InstanceId, send: Send) -> None:
        node = self.alive(send.to)
        if node is None:
            return
        message = msgspec.msgpack.decode(
            msgspec.msgpack.encode(send.message), type=type(send.message)
        )
        clock = node.clock(self.now)
        self.carry_out(node, node.directory.receive(source, message, clock))
        self.carry_out(node, node.shares.receive(source, message, clock))

    def alive(self, instance: InstanceId) -> Node | None:
        node = self.nodes.get(InstanceName(instance.rpartition(".")[0]))
        return node if node is not None and node.id == instance else None

    # Instances.

    def start(self, name: InstanceName) -> None:
        node = Node(name, next(self.numbers), self)
        self.nodes[name] = node
        node.configure(self.configuration, self.now)
        for other in list(self.nodes.values()):
            if other is not node:
                self.carry_out(node, node.directory.peer_connected(other.id, node.clock(self.now)))
                self.carry_out(
                    other, other.directory.peer_connected(node.id, other.clock(self.now))
                )
        self.tell_holder(node)

    def kill(self, name: InstanceName) -> None:
        node = self.nodes.pop(name)
        for call in self.calls.values():
            if call.node != node.id or call.finished:
                continue
            call.finished = True
            if call.origin is not None:
                lost = AttemptResult(AttemptEnd.LOST)
                self.report(*call.origin, lost, self.rng.uniform(0.0, 0.1))
        for endpoint in self.endpoints.values():
            for number, owner in endpoint.running.items():
                if owner == node.id:
                    self.later(CLOSE_HOLD - 0.1, partial(endpoint.end, number))
        self.later(0.5, lambda: self.commit(MarkOwnerLost(node.id)))
        if self.holders[node.data_centre] == name:
            self.depose(node.data_centre)

    def depose(self, place: DataCentreId) -> None:
        """End a lease; the next one begins after it has lapsed."""
        name = self.holders[place]
        self.holders[place] = None
        if name is not None and name in self.nodes:
            node = self.nodes[name]
            epoch = Epoch(self.epochs[place])
            self.carry_out(node, node.shares.lease_changed(None, epoch, node.clock(self.now)))
        self.later(LEASE_GAP, lambda: self.elect(place))

    def elect(self, place: DataCentreId) -> None:
        names = sorted(name for name in self.nodes if PLACES[name] == place)
        if self.holders[place] is not None or not names:
            self.later(LEASE_GAP, lambda: self.elect(place)) if not names else None
            return
        self.holders[place] = self.rng.choice(names)
        self.epochs[place] += 1
        for name in names:
            if self.reaches(name, self.holders[place]) or name == self.holders[place]:
                self.tell_holder(self.nodes[name])

    def tell_holder(self, node: Node) -> None:
        holder = self.holders[node.data_centre]
        if holder is None or holder not in self.nodes:
            return
        epoch = Epoch(self.epochs[node.data_centre])
        actions = node.shares.lease_changed(self.nodes[holder].id, epoch, node.clock(self.now))
        self.carry_out(node, actions)

    # Endpoints.

    def announce(self, endpoint: Endpoint) -> None:
        endpoint.heard_at = self.now
        entries = sorted(self.nodes)
        if entries:
            node = self.nodes[self.rng.choice(entries)]
            announced = node.directory.announce(endpoint.announcement(), node.clock(self.now))
            assert not isinstance(announced, Refusal), announced
            self.carry_out(node, list(announced.actions))

    def dispatch(self, node: Node, dispatch: Dispatch) -> None:
        endpoint = self.endpoints[str(dispatch.endpoint)]
        call = self.calls[dispatch.request_id]
        self.check_target(node, endpoint)

        def report(result: AttemptResult, delay: float) -> None:
            self.report(node.id, dispatch.request_id, dispatch.attempt, result, delay)

        if not endpoint.up:
            report(AttemptResult(AttemptEnd.NOT_WRITTEN, reason=Reason.ENDPOINT_FAILED), 0.01)
            return
        if endpoint.mood == "refuse":
            refused = AttemptResult(AttemptEnd.REFUSED, reason=Reason.ENDPOINT_REFUSED)
            report(refused, 0.005)
            return
        self.run(endpoint, call)
        takes = self.rng.uniform(0.02, 0.4) * SPEED_BY_MOOD.get(endpoint.mood, 1.0)
        on_time = takes <= dispatch.timeout
        number = next(self.numbers)
        held = takes if on_time else min(takes, dispatch.timeout + CLOSE_HOLD - 0.1)
        endpoint.running[number] = node.id
        self.later(held, lambda: endpoint.end(number))
        if not on_time:
            report(AttemptResult(AttemptEnd.LOST, reason=Reason.DEADLINE), dispatch.timeout)
        elif endpoint.mood == "lose":
            report(AttemptResult(AttemptEnd.LOST), takes)
        elif endpoint.mood == "fail":
            report(AttemptResult(AttemptEnd.WHOLE, 500), takes)
        else:
            report(AttemptResult(AttemptEnd.WHOLE, 200), takes)

    def run(self, endpoint: Endpoint, call: Call) -> None:
        self.runs[call.root] += 1
        assert call.root not in self.proved_not_run, f"{call.root} ran after 'not run'"
        if not call.idempotent:
            assert self.runs[call.root] == 1, f"{call.root} ran twice"
        running = len(endpoint.running) + 1
        assert running <= endpoint.slots, f"{endpoint.name} has {running} on {endpoint.slots} slots"

    def check_target(self, node: Node, endpoint: Endpoint) -> None:
        assert endpoint.data_centre == node.data_centre
        assert endpoint.name not in node.configuration.out_endpoints
        declared = node.configuration.data_centres_by_id[node.data_centre]
        assert declared.service is Service.IN, "work started in a data centre that is out"
        assert self.now - endpoint.heard_at <= SILENT + STEP, "work sent to a silent endpoint"
        if endpoint.leaving_since is not None:
            assert self.now - endpoint.leaving_since <= SILENT + STEP, "work sent to one leaving"

    def report(
        self,
        instance: InstanceId,
        request_id: RequestId,
        attempt: Attempt,
        result: AttemptResult,
        delay: float,
    ) -> None:
        def deliver() -> None:
            node = self.alive(instance)
            if node is not None:
                clock = node.clock(self.now)
                self.carry_out(node, node.router.handle_result(request_id, attempt, result, clock))

        self.later(delay, deliver)

    # Requests.

    def request(self, name: InstanceName, profile: Profile, key: str | None) -> None:
        node = self.nodes[name]
        request_id = RequestId(f"r{next(self.numbers)}")
        root = str(request_id) if key is None else f"key {key}"
        call = Call(root, node.id, self.now + DEADLINE, profile.idempotent, key)
        self.calls[request_id] = call
        self.arrive(node, request_id, profile, call)

    def arrive(self, node: Node, request_id: RequestId, profile: Profile, call: Call) -> None:
        arrival = Arrival(
            request_id,
            profile.name,
            10,
            Seconds(node.clock(call.due)),
            None if call.key is None else IdempotencyKey(call.key),
            "digest",
            call.origin is not None,
        )
        self.carry_out(node, node.router.handle_arrival(arrival, node.clock(self.now)))

    def forward(self, node: Node, forward: Forward) -> None:
        call = self.calls[forward.request_id]
        declared = node.configuration.data_centres_by_id[forward.data_centre]
        assert declared.service is Service.IN, "forwarded to a data centre that is out"
        origin = (node.id, forward.request_id, forward.attempt)
        remote = self.nodes.get(forward.instance)
        if remote is None or not self.reaches(node.name, forward.instance):
            not_written = AttemptResult(AttemptEnd.NOT_WRITTEN, reason=Reason.ENDPOINT_FAILED)
            self.report(*origin, not_written, 0.05)
            return
        request_id = RequestId(f"f{next(self.numbers)}")
        due = self.now + forward.timeout - 0.02
        copy = Call(call.root, remote.id, due, call.idempotent, None, origin)
        self.calls[request_id] = copy
        name = next(p for p in PROFILES if p.idempotent == call.idempotent).name
        profile = node.configuration.profiles_by_name[name]
        self.arrive(remote, request_id, profile, copy)

    def finish(self, node: Node, finish: FinishRequest) -> None:
        call = self.calls[finish.request_id]
        assert not call.finished, f"{finish.request_id} was finished twice"
        call.finished = True
        call.result = finish.result
        assert self.now <= call.due + 2 * STEP, f"{finish.request_id} was finished late"
        if isinstance(finish.result, Refusal):
            self.judge_refusal(call, finish.result)
        else:
            assert self.runs[call.root] > 0, "answered without a run"
        if call.origin is not None:
            self.report(*call.origin, _as_result(finish.result), 0.01)

    def judge_refusal(self, call: Call, refusal: Refusal) -> None:
        if refusal.execution is Execution.RAN:
            assert self.runs[call.root] > 0, "said to have run without a run"
        if refusal.execution is Execution.NOT_RUN and call.origin is None and call.key is None:
            assert self.runs[call.root] == 0, f"false 'not run': {refusal}"
            self.proved_not_run.add(call.root)

    # The log.

    def commit(self, command: ProposeReservation | MarkOwnerLost) -> KeyRecord | Refusal | None:
        self.index += 1
        result = self.ledger.apply(LogIndex(self.index), command)
        if self.rng.random() < 0.2:
            self.ledger = KeyLedger.restore(self.ledger.snapshot(), max_keys=40)
        return result if isinstance(result, (KeyRecord, Refusal)) else None

    def reserve(self, node: Node, action: ProposeReservation) -> None:
        request_id = action.request_id

        def deliver(result: KeyRecord | Refusal) -> None:
            if self.alive(node.id) is not None:
                clock = node.clock(self.now)
                self.carry_out(node, node.router.handle_reservation(request_id, result, clock))

        if node.name in self.no_log:
            if self.rng.random() < 0.5:
                self.later(self.rng.uniform(1.0, 6.0), lambda: self.commit(action.command))
            self.later(0.5, lambda: deliver(Refusal(Reason.NO_QUORUM)))
            return

        def commit() -> None:
            result = self.commit(action.command)
            assert result is not None
            self.later(0.01, lambda: deliver(result))

        self.later(self.rng.uniform(0.0, 0.1), commit)

    def carry_out(self, node: Node, actions: list[msgspec.Struct]) -> None:
        for action in actions:
            match action:
                case Send():
                    self.send(node, action)
                case Dispatch():
                    self.dispatch(node, action)
                case Forward():
                    self.forward(node, action)
                case FinishRequest():
                    self.finish(node, action)
                case ProposeReservation():
                    self.reserve(node, action)
                case ProposeSettlement():
                    command = action.command
                    delay = 5.0 if node.name in self.no_log else self.rng.uniform(0.0, 0.1)
                    self.later(delay, partial(self.commit, command))
                case _:
                    raise AssertionError(action)

    def check(self) -> None:
        for request_id, call in self.calls.items():
            assert call.finished or self.now <= call.due + 2 * STEP, f"{request_id} is overdue"


def _as_result(result: EndpointAnswer | Refusal) -> AttemptResult:
    if isinstance(result, EndpointAnswer):
        return AttemptResult(AttemptEnd.WHOLE, result.status)
    end = AttemptEnd.REFUSED if result.execution is Execution.NOT_RUN else AttemptEnd.LOST
    return AttemptResult(end, reason=result.reason, retry_after=result.retry_after)
