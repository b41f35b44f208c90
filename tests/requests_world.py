"""
Simulation of instances, endpoints, a lossy network and a log on one virtual clock. It checks every
action of the instances against what a caller, an endpoint and an operator may rely on.
"""

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
DATA_CENTRES_BY_INSTANCE = {
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
SILENT_AFTER = 3.0
CLOSE_HOLD = 2.0
DURATION_FACTOR_BY_BEHAVIOUR = {"slow": 10.0, "fail": 0.05}
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
    """One incarnation of an instance, whose clock has its own offset."""

    def __init__(self, name: InstanceName, number: int, world: "World") -> None:
        self.name = name
        self.id = InstanceId(f"{name}.{number:08x}")
        self.offset = 1000.0 * number + 7.0
        now = self.clock_reading(world.now)
        rng = random.Random(number)
        self.data_centre = DATA_CENTRES_BY_INSTANCE[name]
        self.directory = EndpointDirectory(
            name, self.data_centre, DATA_CENTRES_BY_INSTANCE, rng, now, f"127.0.0.1:{number}"
        )
        local_instances = frozenset(
            instance
            for instance, data_centre in DATA_CENTRES_BY_INSTANCE.items()
            if data_centre == self.data_centre
        )
        self.shares = SlotShares(self.id, local_instances, self.directory, now)
        settings = RouterSettings(max_queued_requests=12)
        self.router = Router(
            self.id, self.data_centre, self.directory, self.shares, rng, settings, now
        )
        self.configuration = Configuration()

    def clock_reading(self, now: float) -> Seconds:
        return Seconds(now + self.offset)

    def configure(self, configuration: Configuration, now: float) -> None:
        self.configuration = configuration
        for part in (self.directory, self.shares, self.router):
            part.configure(configuration, self.clock_reading(now))


class Endpoint:
    """An endpoint that records which instance's request runs in each of its slots."""

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
        self.behaviour = "good"
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
    """
    One request as its caller sees it; a forwarded request has a second one.

    :param root: what may run only once: the key, or else the first request.
    :param origin: the forwarding instance, its request and attempt; None for a caller's request.
    """

    root: str
    node: InstanceId
    deadline: float
    idempotent: bool
    key: str | None = None
    origin: tuple[InstanceId, RequestId, Attempt] | None = None
    finished: bool = False
    result: EndpointAnswer | Refusal | None = None


class World:
    """The simulated environment, with the records that its checks need."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.id_counter = itertools.count(1)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes: dict[InstanceName, Node] = {}
        self.cut_links: set[frozenset[InstanceName]] = set()
        self.loss_rate = 0.0
        self.without_log: set[InstanceName] = set()
        self.ledger = KeyLedger(max_keys=40)
        self.index = 0
        self.epochs_by_data_centre: Counter[DataCentreId] = Counter()
        self.holders_by_data_centre: dict[DataCentreId, InstanceName | None] = {
            NORTH: None,
            SOUTH: None,
        }
        self.calls: dict[RequestId, Call] = {}
        self.runs: Counter[str] = Counter()
        self.proved_not_run: set[str] = set()
        self.once: set[str] = set()
        self.configuration = Configuration(
            Version(1),
            {profile.name: profile for profile in PROFILES},
            {},
            {data_centre: DataCentre(data_centre) for data_centre in (NORTH, SOUTH)},
        )
        self.endpoints = {
            name: Endpoint(name, data_centre, slots)
            for name, (data_centre, slots) in ENDPOINTS.items()
        }
        for name in DATA_CENTRES_BY_INSTANCE:
            self.start(name)
        for data_centre in (NORTH, SOUTH):
            self.grant_lease(data_centre)

    # Time and network.

    def schedule(self, delay: float, run: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.id_counter), run))

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
                reading = node.clock_reading(self.now)
                self.carry_out(node, node.directory.tick(reading))
                self.carry_out(node, node.shares.tick(reading))
                self.carry_out(node, node.router.tick(reading))
            self.check_deadlines()

    def can_reach(self, source: InstanceName, target: InstanceName) -> bool:
        return frozenset((source, target)) not in self.cut_links

    def send(self, source: Node, send: Send) -> None:
        name = InstanceName(send.to.rpartition(".")[0])
        copies = 2 if self.rng.random() < self.loss_rate / 2 else 1
        for _ in range(copies):
            if not self.can_reach(source.name, name) or self.rng.random() < self.loss_rate:
                continue
            max_delay = 5.0 if self.rng.random() < self.loss_rate / 4 else 0.02
            delay = self.rng.uniform(0.0, max_delay)
            self.schedule(delay, lambda: self.deliver(source.id, send))

    def deliver(self, source: InstanceId, send: Send) -> None:
        node = self.running_node(send.to)
        if node is None:
            return
        message = msgspec.msgpack.decode(
            msgspec.msgpack.encode(send.message), type=type(send.message)
        )
        reading = node.clock_reading(self.now)
        self.carry_out(node, node.directory.receive(source, message, reading))
        self.carry_out(node, node.shares.receive(source, message, reading))

    def running_node(self, instance: InstanceId) -> Node | None:
        node = self.nodes.get(InstanceName(instance.rpartition(".")[0]))
        return node if node is not None and node.id == instance else None

    # Instances.

    def start(self, name: InstanceName) -> None:
        node = Node(name, next(self.id_counter), self)
        self.nodes[name] = node
        node.configure(self.configuration, self.now)
        for other in list(self.nodes.values()):
            if other is not node:
                self.carry_out(
                    node, node.directory.peer_connected(other.id, node.clock_reading(self.now))
                )
                self.carry_out(
                    other, other.directory.peer_connected(node.id, other.clock_reading(self.now))
                )
        self.notify_lease_change(node)

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
                    self.schedule(CLOSE_HOLD - 0.1, partial(endpoint.end, number))
        self.schedule(0.5, lambda: self.commit(MarkOwnerLost(node.id)))
        if self.holders_by_data_centre[node.data_centre] == name:
            self.end_lease(node.data_centre)

    def end_lease(self, data_centre: DataCentreId) -> None:
        """End a lease; the next one is granted after :data:`LEASE_GAP`."""
        name = self.holders_by_data_centre[data_centre]
        self.holders_by_data_centre[data_centre] = None
        if name is not None and name in self.nodes:
            node = self.nodes[name]
            epoch = Epoch(self.epochs_by_data_centre[data_centre])
            self.carry_out(
                node, node.shares.lease_changed(None, epoch, node.clock_reading(self.now))
            )
        self.schedule(LEASE_GAP, lambda: self.grant_lease(data_centre))

    def grant_lease(self, data_centre: DataCentreId) -> None:
        names = sorted(name for name in self.nodes if DATA_CENTRES_BY_INSTANCE[name] == data_centre)
        if self.holders_by_data_centre[data_centre] is not None or not names:
            self.schedule(LEASE_GAP, lambda: self.grant_lease(data_centre)) if not names else None
            return
        self.holders_by_data_centre[data_centre] = self.rng.choice(names)
        self.epochs_by_data_centre[data_centre] += 1
        for name in names:
            if (
                self.can_reach(name, self.holders_by_data_centre[data_centre])
                or name == self.holders_by_data_centre[data_centre]
            ):
                self.notify_lease_change(self.nodes[name])

    def notify_lease_change(self, node: Node) -> None:
        holder = self.holders_by_data_centre[node.data_centre]
        if holder is None or holder not in self.nodes:
            return
        epoch = Epoch(self.epochs_by_data_centre[node.data_centre])
        actions = node.shares.lease_changed(
            self.nodes[holder].id, epoch, node.clock_reading(self.now)
        )
        self.carry_out(node, actions)

    # Endpoints.

    def announce(self, endpoint: Endpoint) -> None:
        endpoint.heard_at = self.now
        entries = sorted(self.nodes)
        if entries:
            node = self.nodes[self.rng.choice(entries)]
            announced = node.directory.announce(
                endpoint.announcement(), node.clock_reading(self.now)
            )
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
        if endpoint.behaviour == "refuse":
            refused = AttemptResult(AttemptEnd.REFUSED, reason=Reason.ENDPOINT_REFUSED)
            report(refused, 0.005)
            return
        self.run(endpoint, call)
        duration = self.rng.uniform(0.02, 0.4) * DURATION_FACTOR_BY_BEHAVIOUR.get(
            endpoint.behaviour, 1.0
        )
        is_in_time = duration <= dispatch.timeout
        number = next(self.id_counter)
        busy_for = duration if is_in_time else min(duration, dispatch.timeout + CLOSE_HOLD - 0.1)
        endpoint.running[number] = node.id
        self.schedule(busy_for, lambda: endpoint.end(number))
        if not is_in_time:
            report(AttemptResult(AttemptEnd.LOST, reason=Reason.DEADLINE), dispatch.timeout)
        elif endpoint.behaviour == "lose":
            report(AttemptResult(AttemptEnd.LOST), duration)
        elif endpoint.behaviour == "fail":
            report(AttemptResult(AttemptEnd.WHOLE, 500), duration)
        else:
            report(AttemptResult(AttemptEnd.WHOLE, 200), duration)

    def run(self, endpoint: Endpoint, call: Call) -> None:
        self.runs[call.root] += 1
        assert (
            call.root not in self.proved_not_run
        ), f"{call.root} ran after a proof that it did not"
        if not call.idempotent:
            assert self.runs[call.root] == 1, f"{call.root} ran twice"
        running = len(endpoint.running) + 1
        assert (
            running <= endpoint.slots
        ), f"{endpoint.name} runs {running} requests on {endpoint.slots} slots"

    def check_target(self, node: Node, endpoint: Endpoint) -> None:
        assert endpoint.data_centre == node.data_centre
        assert endpoint.name not in node.configuration.out_endpoints
        declared = node.configuration.data_centres_by_id[node.data_centre]
        assert (
            declared.service is Service.IN
        ), "request sent in a data centre that is out of service"
        assert (
            self.now - endpoint.heard_at <= SILENT_AFTER + STEP
        ), "request sent to a silent endpoint"
        if endpoint.leaving_since is not None:
            assert (
                self.now - endpoint.leaving_since <= SILENT_AFTER + STEP
            ), "request sent to a leaving endpoint"

    def report(
        self,
        instance: InstanceId,
        request_id: RequestId,
        attempt: Attempt,
        result: AttemptResult,
        delay: float,
    ) -> None:
        def deliver() -> None:
            node = self.running_node(instance)
            if node is not None:
                reading = node.clock_reading(self.now)
                self.carry_out(
                    node, node.router.handle_result(request_id, attempt, result, reading)
                )

        self.schedule(delay, deliver)

    # Requests.

    def request(self, name: InstanceName, profile: Profile, key: str | None) -> None:
        node = self.nodes[name]
        request_id = RequestId(f"r{next(self.id_counter)}")
        root = str(request_id) if key is None else f"key {key}"
        call = Call(root, node.id, self.now + DEADLINE, profile.idempotent, key)
        self.calls[request_id] = call
        self.arrive(node, request_id, profile, call)

    def arrive(self, node: Node, request_id: RequestId, profile: Profile, call: Call) -> None:
        arrival = Arrival(
            request_id,
            profile.name,
            10,
            Seconds(node.clock_reading(call.deadline)),
            None if call.key is None else IdempotencyKey(call.key),
            "digest",
            call.origin is not None,
        )
        self.carry_out(node, node.router.handle_arrival(arrival, node.clock_reading(self.now)))

    def forward(self, node: Node, forward: Forward) -> None:
        call = self.calls[forward.request_id]
        declared = node.configuration.data_centres_by_id[forward.data_centre]
        assert (
            declared.service is Service.IN
        ), "request forwarded to a data centre that is out of service"
        origin = (node.id, forward.request_id, forward.attempt)
        remote = self.nodes.get(forward.instance)
        if remote is None or not self.can_reach(node.name, forward.instance):
            not_written = AttemptResult(AttemptEnd.NOT_WRITTEN, reason=Reason.ENDPOINT_FAILED)
            self.report(*origin, not_written, 0.05)
            return
        request_id = RequestId(f"f{next(self.id_counter)}")
        deadline = self.now + forward.timeout - 0.02
        forwarded_call = Call(call.root, remote.id, deadline, call.idempotent, None, origin)
        self.calls[request_id] = forwarded_call
        name = next(profile for profile in PROFILES if profile.idempotent == call.idempotent).name
        profile = node.configuration.profiles_by_name[name]
        self.arrive(remote, request_id, profile, forwarded_call)

    def finish(self, node: Node, finish: FinishRequest) -> None:
        call = self.calls[finish.request_id]
        assert not call.finished, f"{finish.request_id} was finished twice"
        call.finished = True
        call.result = finish.result
        assert self.now <= call.deadline + 2 * STEP, f"{finish.request_id} was finished late"
        if isinstance(finish.result, Refusal):
            self.check_refusal(call, finish.result)
        else:
            assert self.runs[call.root] > 0, "answered, but it did not run"
        if call.origin is not None:
            self.report(*call.origin, _as_result(finish.result), 0.01)

    def check_refusal(self, call: Call, refusal: Refusal) -> None:
        if refusal.execution is Execution.RAN:
            assert self.runs[call.root] > 0, "reported as run, but it did not run"
        if refusal.execution is Execution.NOT_RUN and call.origin is None and call.key is None:
            assert self.runs[call.root] == 0, f"reported as not run, but it ran: {refusal}"
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
            if self.running_node(node.id) is not None:
                reading = node.clock_reading(self.now)
                self.carry_out(node, node.router.handle_reservation(request_id, result, reading))

        if node.name in self.without_log:
            if self.rng.random() < 0.5:
                self.schedule(self.rng.uniform(1.0, 6.0), lambda: self.commit(action.command))
            self.schedule(0.5, lambda: deliver(Refusal(Reason.NO_QUORUM)))
            return

        def commit() -> None:
            result = self.commit(action.command)
            assert result is not None
            self.schedule(0.01, lambda: deliver(result))

        self.schedule(self.rng.uniform(0.0, 0.1), commit)

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
                    delay = 5.0 if node.name in self.without_log else self.rng.uniform(0.0, 0.1)
                    self.schedule(delay, partial(self.commit, command))
                case _:
                    raise AssertionError(action)

    def check_deadlines(self) -> None:
        for request_id, call in self.calls.items():
            assert call.finished or self.now <= call.deadline + 2 * STEP, f"{request_id} is overdue"


def _as_result(result: EndpointAnswer | Refusal) -> AttemptResult:
    if isinstance(result, EndpointAnswer):
        return AttemptResult(AttemptEnd.WHOLE, result.status)
    end = AttemptEnd.REFUSED if result.execution is Execution.NOT_RUN else AttemptEnd.LOST
    return AttemptResult(end, reason=result.reason, retry_after=result.retry_after)
