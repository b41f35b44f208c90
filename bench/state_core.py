"""
bench.state_core
~~~~~~~~~~~~~~~~

Measures the cost of an idle log for each instance with simulated time and network: messages, their
bytes before the transport's framing, and processor time.
"""

import heapq
import random
import time
from itertools import count, permutations

import msgspec

from bench.report import emit
from bulrushhollow_core.actions import TICK_INTERVAL, Send
from bulrushhollow_core.consensus import Consensus, ConsensusMessage
from bulrushhollow_core.ids import InstanceId, Seconds

BENCH = "state"
MESSAGE_DELAY = 0.0005
"""Seconds from sending a message to its delivery."""

SETTLE_SECONDS = 30
"""Virtual seconds before the measurement, in which all instances join."""

MEASURED_SECONDS = 120
"""Virtual seconds that are measured."""

CLUSTER_SIZES = ((3, 0), (3, 6), (5, 4))
"""Numbers of voters and of observers, which have no disk."""


class InstanceCosts(msgspec.Struct):
    """Messages, bytes and processor time of one instance."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    cpu_seconds: float = 0.0


class SimulatedCluster:
    """Consensus cores that exchange encoded messages in virtual time."""

    def __init__(self, seed: int, voters: int, observers: int) -> None:
        """Bootstrap a log on the first instance and connect all instances."""
        rng = random.Random(seed)
        self.now = Seconds(0.0)
        has_disk_by_number = [True] * voters + [False] * observers
        self.cores_by_id = {
            InstanceId(f"i{number}.1"): Consensus(
                InstanceId(f"i{number}.1"),
                instance_has_disk,
                None,
                random.Random(rng.random()),
                self.now,
            )
            for number, instance_has_disk in enumerate(has_disk_by_number)
        }
        self.costs_by_id = {me: InstanceCosts() for me in self.cores_by_id}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(ConsensusMessage)
        self._in_flight: list[tuple[float, int, InstanceId, InstanceId, bytes]] = []
        self._sequence = count()
        first = InstanceId("i0.1")
        self._send_all(first, self.cores_by_id[first].bootstrap(self.now))
        for me, peer in permutations(self.cores_by_id, 2):
            has_disk = has_disk_by_number[list(self.cores_by_id).index(peer)]
            self._send_all(me, self.cores_by_id[me].peer_connected(peer, has_disk, self.now))

    def run(self, seconds: float) -> None:
        """Tick all cores and deliver their messages for some virtual seconds."""
        end = self.now + seconds
        while self.now < end:
            for me, core in self.cores_by_id.items():
                began = time.process_time()
                self._send_all(me, core.tick(self.now))
                self.costs_by_id[me].cpu_seconds += time.process_time() - began
            self._deliver(self.now + TICK_INTERVAL)
            self.now = Seconds(self.now + TICK_INTERVAL)

    def _deliver(self, end: float) -> None:
        while self._in_flight and self._in_flight[0][0] < end:
            at, _, source, to, data = heapq.heappop(self._in_flight)
            began = time.process_time()
            message = self._decoder.decode(data)
            costs = self.costs_by_id[to]
            costs.received += 1
            core = self.cores_by_id[to]
            self._send_all(to, core.receive(source, message, Seconds(at)), Seconds(at))
            costs.cpu_seconds += time.process_time() - began

    def _send_all(
        self, me: InstanceId, actions: list[msgspec.Struct], now: Seconds | None = None
    ) -> None:
        costs = self.costs_by_id[me]
        for action in actions:
            if isinstance(action, Send):
                data = self._encoder.encode(action.message)
                costs.sent += 1
                costs.sent_bytes += len(data)
                at = (self.now if now is None else now) + MESSAGE_DELAY
                heapq.heappush(self._in_flight, (at, next(self._sequence), me, action.to, data))


def measure(seed: int) -> None:
    """Measure the leader, one voter and one observer for clusters of several sizes."""
    for voters, observers in CLUSTER_SIZES:
        cluster = SimulatedCluster(seed, voters, observers)
        cluster.run(SETTLE_SECONDS)
        cluster.costs_by_id = {me: InstanceCosts() for me in cluster.cores_by_id}
        cluster.run(MEASURED_SECONDS)
        instances = list(cluster.cores_by_id)
        subject = f"idle log of {voters} voters and {observers} observers"
        _emit(seed, f"{subject}, leader", cluster.costs_by_id[instances[0]])
        _emit(seed, f"{subject}, voter", cluster.costs_by_id[instances[1]])
        if observers:
            _emit(seed, f"{subject}, observer", cluster.costs_by_id[instances[-1]])


def _emit(seed: int, subject: str, costs: InstanceCosts) -> None:
    emit(BENCH, seed, subject, "messages", (costs.sent + costs.received) / MEASURED_SECONDS, "1/s")
    emit(BENCH, seed, subject, "bytes sent", costs.sent_bytes / MEASURED_SECONDS, "B/s")
    emit(
        BENCH, seed, subject, "processor", 100 * costs.cpu_seconds / MEASURED_SECONDS, "% of a core"
    )
