"""Simulated instances of the log: a virtual clock, a lossy network and disks that can be lost."""

import bisect
import heapq
import itertools
import random

import msgspec

from bulrushhollow_core.actions import Persist, Send
from bulrushhollow_core.consensus import (
    Committed,
    Consensus,
    ConsensusMessage,
    ConsensusRecord,
    EntryKind,
    LogEntry,
    Members,
    Proposed,
    Restorer,
    RewriteJournal,
    Role,
    SnapshotRestored,
    Timing,
)
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term, name_of

TICK = 0.05
DEFAULT_TIMING = Timing()

_ENCODER = msgspec.msgpack.Encoder()
_MESSAGE_DECODER = msgspec.msgpack.Decoder(ConsensusMessage)
_RECORDS_DECODER = msgspec.msgpack.Decoder(list[ConsensusRecord])
_APPLIED_DECODER = msgspec.msgpack.Decoder(list[bytes])


class Oracle:
    """Checks the invariants of the log against one list of committed entries."""

    def __init__(self) -> None:
        self.entries_by_index: dict[LogIndex, LogEntry] = {}
        self.acknowledged: set[bytes] = set()
        self.leaders_by_term: dict[Term, InstanceId] = {}
        self.first_committed_at: list[Seconds] = []

    def record_committed(self, entry: LogEntry, now: Seconds) -> None:
        if entry.index not in self.entries_by_index:
            self.first_committed_at.append(now)
        recorded = self.entries_by_index.setdefault(entry.index, entry)
        assert recorded == entry, f"two entries committed at {entry.index}"

    def record_leader(self, term: Term, instance: InstanceId) -> None:
        recorded = self.leaders_by_term.setdefault(term, instance)
        assert recorded == instance, f"{recorded} and {instance} lead term {term}"

    def committed_before(self, at: Seconds) -> int:
        """Return the last index that some instance had committed before a time."""
        return bisect.bisect_left(self.first_committed_at, at)

    def payloads(self, until: LogIndex | None = None) -> list[bytes]:
        indexes = sorted(self.entries_by_index)
        assert indexes == list(range(1, len(indexes) + 1)), "a gap in the committed entries"
        entries = [self.entries_by_index[i] for i in indexes if until is None or i <= until]
        return [entry.payload for entry in entries if entry.kind is EntryKind.COMMAND]

    def check_members(self) -> None:
        entries = [self.entries_by_index[i] for i in sorted(self.entries_by_index)]
        changes = [Members.decode(e.payload) for e in entries if e.kind is EntryKind.MEMBERS]
        for before, after in itertools.pairwise(changes):
            assert len(before.voters ^ after.voters) <= 1, "more than one voter changed"

    def check_complete(self) -> None:
        payloads = self.payloads()
        missing = self.acknowledged - set(payloads)
        assert not missing, f"acknowledged but lost: {missing}"
        assert len(set(payloads)) == len(payloads), "an entry committed twice"


class Node:
    """One simulated instance with its disk."""

    def __init__(self, me: InstanceId, has_disk: bool, rng: random.Random, timing: Timing) -> None:
        self.me = me
        self.timing = timing
        self.has_disk = has_disk
        self.rng = rng
        self.disk: list[bytes] = []
        self.core: Consensus | None = None
        self.applied: list[bytes] = []
        self.applied_index = LogIndex(0)
        self.proposed_by_index: dict[LogIndex, tuple[Term, bytes]] = {}
        self.paused_until = Seconds(0.0)
        self.actions_until_crash: int | None = None

    def boot(self, now: Seconds) -> None:
        restorer = Restorer()
        for batch in self.disk:
            for record in _RECORDS_DECODER.decode(batch):
                restorer.apply(record)
        rng = random.Random(self.rng.getrandbits(32))
        restored = restorer.restored()
        self.core = Consensus(self.me, self.has_disk, restored, rng, now, self.timing)
        self.applied, self.applied_index = [], LogIndex(0)
        self.proposed_by_index = {}
        self.actions_until_crash = None


class Cluster:
    """Simulated instances on one virtual clock, joined by a network that may fail."""

    def __init__(self, seed: int, timing: Timing = DEFAULT_TIMING) -> None:
        self.rng = random.Random(seed)
        self.timing = timing
        self.now = Seconds(100.0)
        self.oracle = Oracle()
        self.nodes_by_id: dict[InstanceId, Node] = {}
        self.cut_links: set[frozenset[InstanceId]] = set()
        self.partitioned_since_by_id: dict[InstanceId, Seconds] = {}
        self.side_by_id: dict[InstanceId, frozenset[InstanceId]] = {}
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 0.002
        self._in_flight: list[tuple[float, int, InstanceId, InstanceId, bytes]] = []
        self._numbers = itertools.count(1)
        self.largest_message_bytes = 0

    def add(self, name: str, has_disk: bool = True, earlier: InstanceId | None = None) -> Node:
        """Add an instance, in the place of its earlier incarnation if there is one."""
        me = InstanceId(f"{name}.{next(self._numbers):08x}")
        if earlier is not None:
            self._inherit_cuts(earlier, me)
        node = Node(me, has_disk, self.rng, self.timing)
        self.nodes_by_id[node.me] = node
        node.boot(self.now)
        self.connect_all()
        return node

    def _inherit_cuts(self, earlier: InstanceId, later: InstanceId) -> None:
        """Keep an incarnation on the side of the partition that the one before it was on."""
        cut_off = [link - {earlier} for link in self.cut_links if earlier in link]
        self.cut_links |= {link | {later} for link in cut_off}
        if earlier in self.side_by_id:
            side = self.side_by_id[earlier] | {later}
            self.side_by_id.update(dict.fromkeys(side, side))
            self.partitioned_since_by_id[later] = self.partitioned_since_by_id[earlier]

    def running_nodes(self) -> list[Node]:
        return [node for node in self.nodes_by_id.values() if node.core]

    def leader(self) -> Node | None:
        leaders = [
            n
            for n in self.running_nodes()
            if n.core and n.core.status(self.now).role is Role.LEADER
        ]
        return max(
            leaders, key=lambda n: n.core.status(self.now).term if n.core else 0, default=None
        )

    def is_linked(self, one: InstanceId, other: InstanceId) -> bool:
        return frozenset((one, other)) not in self.cut_links

    def connect_all(self) -> None:
        for node, peer in itertools.permutations(self.running_nodes(), 2):
            if node.core and peer.core and self.is_linked(node.me, peer.me):
                self.perform(node, node.core.peer_connected(peer.me, peer.has_disk, self.now))

    def disconnect(self, gone: InstanceId) -> None:
        for node in self.running_nodes():
            if node.core and node.me != gone and self.is_linked(node.me, gone):
                self.perform(node, node.core.peer_disconnected(gone, self.now))

    def partition(self, groups: list[list[Node]]) -> None:
        group_by_id = {node.me: number for number, group in enumerate(groups) for node in group}
        pairs = itertools.combinations(sorted(group_by_id), 2)
        self.cut_links = {frozenset(p) for p in pairs if group_by_id[p[0]] != group_by_id[p[1]]}
        sides = [frozenset(node.me for node in group) for group in groups]
        self.side_by_id = {node: side for side in sides for node in side}
        self.partitioned_since_by_id = dict.fromkeys(self.side_by_id, self.now)
        for node, peer in itertools.permutations(self.running_nodes(), 2):
            if node.core and not self.is_linked(node.me, peer.me):
                actions = node.core.peer_disconnected(peer.me, self.now, has_ended=False)
                self.perform(node, actions)

    def has_majority(self, side: frozenset[InstanceId]) -> bool:
        """
        Return whether a side of the partition may be a majority, by the committed members or by
        the members that any of its nodes knows.
        """
        nodes = [self.nodes_by_id[i] for i in side if i in self.nodes_by_id]
        known = [n.core.status(self.now).members for n in nodes if n.core] + [self.members()]
        return any(len(side & members.voters) > len(members.voters) // 2 for members in known)

    def heal(self) -> None:
        self.cut_links, self.partitioned_since_by_id, self.side_by_id = set(), {}, {}
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 0.002
        self.connect_all()

    def members(self) -> Members:
        entries = [self.oracle.entries_by_index[i] for i in sorted(self.oracle.entries_by_index)]
        changes = [Members.decode(e.payload) for e in entries if e.kind is EntryKind.MEMBERS]
        return changes[-1] if changes else Members()

    def crash(self, node: Node) -> None:
        node.core = None
        self._in_flight = [message for message in self._in_flight if node.me not in message[2:4]]
        heapq.heapify(self._in_flight)
        self.disconnect(node.me)

    def restart(self, node: Node) -> None:
        if not node.has_disk:
            del self.nodes_by_id[node.me]
            self.add(name_of(node.me), has_disk=False, earlier=node.me)
            return
        node.boot(self.now)
        self.connect_all()

    def lose_disk(self, node: Node) -> Node:
        self.crash(node)
        del self.nodes_by_id[node.me]
        return self.add(name_of(node.me), earlier=node.me)

    def propose(self, node: Node, payloads: list[bytes]) -> None:
        """Propose several payloads as one batch."""
        assert node.core
        actions: list[msgspec.Struct] = []
        for payload in payloads:
            result = node.core.propose(payload, self.now)
            if isinstance(result, Proposed):
                node.proposed_by_index[result.index] = (result.term, payload)
                actions += result.actions
        actions += node.core.flush(self.now)
        self.perform(node, actions)

    def perform(self, node: Node, actions: list[msgspec.Struct]) -> None:
        """Carry out actions in their order, unless the instance crashes between two of them."""
        for action in actions:
            if node.actions_until_crash is not None:
                node.actions_until_crash -= 1
                if node.actions_until_crash < 0:
                    self.crash(node)
                    return
            match action:
                case Persist(record):
                    node.disk.append(_ENCODER.encode([record]))
                case RewriteJournal(records):
                    node.disk = [_ENCODER.encode(records)]
                case Send(to, message):
                    self._send(node.me, to, _ENCODER.encode(message))
                case Committed(entry):
                    self._apply(node, entry)
                case SnapshotRestored(index, state):
                    node.applied, node.applied_index = _APPLIED_DECODER.decode(state), index
                    assert node.applied == self.oracle.payloads(index), "a wrong snapshot"
                case _:
                    raise AssertionError(f"unknown action {action}")

    def compact(self, node: Node) -> None:
        assert node.core
        state = _ENCODER.encode(node.applied)
        self.perform(node, node.core.compact(node.applied_index, state, self.now))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        next_tick = self.now
        while True:
            due = self._in_flight[0][0] if self._in_flight else until
            if min(due, next_tick) >= until:
                break
            if next_tick <= due:
                self.now = Seconds(next_tick)
                self._tick()
                next_tick += TICK
            else:
                self.now = Seconds(max(due, self.now))
                self._deliver()
        self.now = Seconds(until)

    def _tick(self) -> None:
        for node in self.running_nodes():
            if node.core and self.now >= node.paused_until:
                self.perform(node, node.core.tick(self.now))
            if node.core:
                self._check(node)

    def _check(self, node: Node) -> None:
        assert node.core
        status = node.core.status(self.now)
        if status.role is Role.LEADER:
            self.oracle.record_leader(status.term, node.me)
        caught_up_at = Seconds(self.now - status.caught_up_age)
        assert self.oracle.committed_before(caught_up_at) <= node.applied_index, "not caught up"
        since = self.partitioned_since_by_id.get(node.me)
        if since is not None and status.quorum_age < self.now - since - 1e-6:
            side = self.side_by_id[node.me]
            assert self.has_majority(side), "a majority that can't be reached counts as heard"

    def _send(self, source: InstanceId, to: InstanceId, data: bytes) -> None:
        self.largest_message_bytes = max(self.largest_message_bytes, len(data))
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < self.drop or not self.is_linked(source, to):
                continue
            at = self.now + self.rng.uniform(0.0005, self.delay)
            heapq.heappush(self._in_flight, (at, next(self._numbers), source, to, data))

    def _deliver(self) -> None:
        at, number, source, to, data = heapq.heappop(self._in_flight)
        node = self.nodes_by_id.get(to)
        if node is None or node.core is None:
            return
        if self.now < node.paused_until:
            heapq.heappush(self._in_flight, (node.paused_until, number, source, to, data))
            return
        self.perform(node, node.core.receive(source, _MESSAGE_DECODER.decode(data), self.now))
        if node.core:
            self._check(node)

    def _apply(self, node: Node, entry: LogEntry) -> None:
        assert entry.index == node.applied_index + 1, "an entry out of order"
        node.applied_index = entry.index
        self.oracle.record_committed(entry, self.now)
        if entry.kind is EntryKind.COMMAND:
            node.applied.append(entry.payload)
        if node.proposed_by_index.pop(entry.index, None) == (entry.term, entry.payload):
            self.oracle.acknowledged.add(entry.payload)
