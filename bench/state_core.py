"""
bench.state_core
~~~~~~~~~~~~~~~~

What an idle log costs each instance, by stepping its core alone: messages, their bytes before
the transport's framing, and processor time.
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
DELAY = 0.0005
"""Seconds that a message is on its way."""

SETTLE = 30
"""Virtual seconds in which all instances join."""

IDLE = 120
"""Virtual seconds that are measured."""

PLANS = ((3, 0), (3, 6), (5, 4))
"""Voters and instances without a disk."""


class Costs(msgspec.Struct):
    """What one instance did."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    processor: float = 0.0


class Site:
    """Cores that exchange encoded messages on a virtual clock."""

    def __init__(self, seed: int, voters: int, observers: int) -> None:
        """Found a log on the first instance and connect all."""
        rng = random.Random(seed)
        self.now = Seconds(0.0)
        kinds = [True] * voters + [False] * observers
        self.cores_by_id = {
            InstanceId(f"i{number}.1"): Consensus(
                InstanceId(f"i{number}.1"), kind, None, random.Random(rng.random()), self.now
            )
            for number, kind in enumerate(kinds)
        }
        self.costs_by_id = {me: Costs() for me in self.cores_by_id}
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(ConsensusMessage)
        self._mail: list[tuple[float, int, InstanceId, InstanceId, bytes]] = []
        self._numbers = count()
        first = InstanceId("i0.1")
        self._post(first, self.cores_by_id[first].bootstrap(self.now))
        for me, peer in permutations(self.cores_by_id, 2):
            has_disk = kinds[list(self.cores_by_id).index(peer)]
            self._post(me, self.cores_by_id[me].peer_connected(peer, has_disk, self.now))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        while self.now < until:
            for me, core in self.cores_by_id.items():
                began = time.process_time()
                self._post(me, core.tick(self.now))
                self.costs_by_id[me].processor += time.process_time() - began
            self._deliver(self.now + TICK_INTERVAL)
            self.now = Seconds(self.now + TICK_INTERVAL)

    def _deliver(self, until: float) -> None:
        while self._mail and self._mail[0][0] < until:
            at, _, source, to, data = heapq.heappop(self._mail)
            began = time.process_time()
            message = self._decoder.decode(data)
            costs = self.costs_by_id[to]
            costs.received += 1
            core = self.cores_by_id[to]
            self._post(to, core.receive(source, message, Seconds(at)), Seconds(at))
            costs.processor += time.process_time() - began

    def _post(
        self, me: InstanceId, actions: list[msgspec.Struct], now: Seconds | None = None
    ) -> None:
        costs = self.costs_by_id[me]
        for action in actions:
            if isinstance(action, Send):
                data = self._encoder.encode(action.message)
                costs.sent += 1
                costs.sent_bytes += len(data)
                at = (self.now if now is None else now) + DELAY
                heapq.heappush(self._mail, (at, next(self._numbers), me, action.to, data))


def measure(seed: int) -> None:
    """Measure the leader and one of the others, for several sizes."""
    for voters, observers in PLANS:
        site = Site(seed, voters, observers)
        site.run(SETTLE)
        site.costs_by_id = {me: Costs() for me in site.cores_by_id}
        site.run(IDLE)
        instances = list(site.cores_by_id)
        subject = f"idle log of {voters} voters and {observers} observers"
        _emit(seed, f"{subject}, leader", site.costs_by_id[instances[0]])
        _emit(seed, f"{subject}, voter", site.costs_by_id[instances[1]])
        if observers:
            _emit(seed, f"{subject}, observer", site.costs_by_id[instances[-1]])


def _emit(seed: int, subject: str, costs: Costs) -> None:
    emit(BENCH, seed, subject, "messages", (costs.sent + costs.received) / IDLE, "1/s")
    emit(BENCH, seed, subject, "bytes sent", costs.sent_bytes / IDLE, "B/s")
    emit(BENCH, seed, subject, "processor", 100 * costs.processor / IDLE, "% of a core")
