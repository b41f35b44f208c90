"""Simulated instances of one data centre on a virtual clock, joined by a network that may fail."""

import random

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority import (
    QUORUM_AGE_LIMIT,
    Authority,
    HeldLease,
    ServiceSwitch,
    Witness,
)
from bulrushhollow_core.configuration import ConfigurationLedger
from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName, Seconds, Term, name_of

NORTH = DataCentreId("north")
STEP = 0.05
CLOCK_ERROR = 0.024


class Node:
    """One simulated instance with its own clock; each reboot starts a new incarnation."""

    def __init__(self, name: InstanceName, names: frozenset[InstanceName], rng: random.Random):
        self.name = name
        self.names = names
        self.rng = rng
        self.rate = 1 + rng.uniform(-CLOCK_ERROR, CLOCK_ERROR)
        self.offset = rng.uniform(0, 1000)
        self.ledger = ConfigurationLedger()
        self.boots = 0
        self.paused = False
        self.inbox: list[tuple[InstanceId, msgspec.Struct]] = []
        self.boot(0.0)

    def boot(self, true_time: float) -> None:
        self.boots += 1
        self.id = InstanceId(f"{self.name}.{self.boots:08x}")
        self.leads_until = -1.0
        self.term = Term(0)
        self.paused = False
        self.inbox.clear()
        now = self.clock(true_time)
        self.witness = Witness(dict.fromkeys(self.names, NORTH))
        self.switch = ServiceSwitch(self.name, NORTH, self.names, self.ledger)
        self.authority = Authority(
            self.id, NORTH, self.names, self.rng, now, switch=self.switch, witness=self.witness
        )

    def clock(self, true_time: float) -> Seconds:
        return Seconds(self.offset + true_time * self.rate)

    def step(self, true_time: float) -> list[msgspec.Struct]:
        now = self.clock(true_time)
        self.witness.set_leading(now <= self.leads_until, self.term, now)
        actions: list[msgspec.Struct] = []
        for source, message in self.inbox:
            actions += self.authority.receive(source, message, now)
            actions += self.witness.receive(source, message, now)
        self.inbox.clear()
        return actions + self.authority.tick(now)

    def held_lease(self, true_time: float) -> HeldLease | None:
        return self.authority.held_lease(self.clock(true_time))


class Network:
    """
    Network between the nodes. A message is lost, repeated or delayed with the set probabilities.
    Messages that were sent before a link is cut still arrive.

    A replaced leader of the log believes that it still leads for :data:`QUORUM_AGE_LIMIT`.
    """

    def __init__(self, size: int, seed: int):
        self.rng = random.Random(seed)
        names = frozenset(InstanceName(f"a{number}") for number in range(size))
        self.nodes = [Node(name, names, self.rng) for name in sorted(names)]
        self.nodes_by_id = {node.id: node for node in self.nodes}
        self.cut_links: set[frozenset[InstanceName]] = set()
        self.loss = self.repeat = self.delay = 0.0
        self.time = 0.0
        self.in_flight: list[tuple[float, InstanceId, InstanceId, msgspec.Struct]] = []
        self.leader: Node | None = None
        self.term = Term(0)
        self.on_step = lambda: None
        self.update_connections()

    def update_connections(self) -> None:
        self.nodes_by_id = {node.id: node for node in self.nodes}
        for node in self.nodes:
            for peer in self.nodes:
                node.authority.peer_connected(peer.id)
            node.authority.set_log_leader(None if self.leader is None else self.leader.id)

    def reboot(self, node: Node) -> None:
        if node is self.leader:
            self.set_leader(None)
        node.boot(self.time)
        self.update_connections()

    def set_leader(self, node: Node | None) -> None:
        if self.leader is not None:
            self.leader.leads_until = self.leader.clock(self.time) + QUORUM_AGE_LIMIT
        self.leader = node
        if node is not None:
            self.term = Term(self.term + 1)
            node.term = self.term
            node.leads_until = float("inf")
        self.update_connections()

    def send(self, source: Node, actions: list[msgspec.Struct]) -> None:
        for action in actions:
            assert isinstance(action, Send)
            if frozenset((source.name, name_of(action.to))) in self.cut_links:
                continue
            copies = 2 if self.rng.random() < self.repeat else 1
            for _ in range(copies):
                if self.rng.random() >= self.loss:
                    latency = self.rng.uniform(0, 6) if self.rng.random() < self.delay else 0.001
                    self.in_flight.append(
                        (self.time + latency, source.id, action.to, action.message)
                    )

    def step(self) -> None:
        self.time += STEP
        for _ in range(4):
            due = [message for message in self.in_flight if message[0] <= self.time]
            self.in_flight = [message for message in self.in_flight if message[0] > self.time]
            for _, source, to, message in due:
                node = self.nodes_by_id.get(to)
                if node is not None:
                    node.inbox.append((source, message))
            for node in self.nodes:
                if not node.paused:
                    self.send(node, node.step(self.time))
                self.on_step()
            self.time += 0.002
        self.on_step()

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self.time < end:
            self.step()

    def holders(self) -> list[Node]:
        return [node for node in self.nodes if node.held_lease(self.time) is not None]

    def isolate(self, node: Node) -> None:
        self.cut_links |= {
            frozenset((node.name, peer.name)) for peer in self.nodes if peer is not node
        }
