"""Instances of the log with a virtual clock, a lossy network and disks that forget."""

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
)
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term, name_of

TICK = 0.05

_ENCODER = msgspec.msgpack.Encoder()
_MESSAGES = msgspec.msgpack.Decoder(ConsensusMessage)
_RECORDS = msgspec.msgpack.Decoder(list[ConsensusRecord])
_APPLIED = msgspec.msgpack.Decoder(list[bytes])


class Oracle:
    """What must hold whatever happens: one list of committed entries."""

    def __init__(self) -> None:
        self.entries_by_index: dict[LogIndex, LogEntry] = {}
        self.acknowledged: set[bytes] = set()
        self.leaders_by_term: dict[Term, InstanceId] = {}
        self.commit_times: list[Seconds] = []

    def committed(self, entry: LogEntry, now: Seconds) -> None:
        if entry.index not in self.entries_by_index:
            self.commit_times.append(now)
        first = self.entries_by_index.setdefault(entry.index, entry)
        assert first == entry, f"two entries committed at {entry.index}"

    def leads(self, term: Term, instance: InstanceId) -> None:
        first = self.leaders_by_term.setdefault(term, instance)
        assert first == instance, f"{first} and {instance} lead term {term}"

    def committed_before(self, at: Seconds) -> int:
        """Return the last index that any instance saw committed before a time."""
        return bisect.bisect_left(self.commit_times, at)

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
        assert not missing, f"acknowledged and lost: {missing}"
        assert len(set(payloads)) == len(payloads), "an entry committed twice"


class Node:
    """One instance with its disk."""

    def __init__(self, me: InstanceId, has_disk: bool, rng: random.Random) -> None:
        self.me = me
        self.has_disk = has_disk
        self.rng = rng
        self.disk: list[bytes] = []
        self.core: Consensus | None = None
        self.applied: list[bytes] = []
        self.applied_index = LogIndex(0)
        self.proposed_by_index: dict[LogIndex, tuple[Term, bytes]] = {}
        self.paused_until = Seconds(0.0)
        self.actions_left: int | None = None

    def boot(self, now: Seconds) -> None:
        restorer = Restorer()
        for batch in self.disk:
            for record in _RECORDS.decode(batch):
                restorer.apply(record)
        rng = random.Random(self.rng.getrandbits(32))
        self.core = Consensus(self.me, self.has_disk, restorer.restored(), rng, now)
        self.applied, self.applied_index = [], LogIndex(0)
        self.proposed_by_index = {}
        self.actions_left = None


class Cluster:
    """Instances on one virtual clock."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = Seconds(100.0)
        self.oracle = Oracle()
        self.nodes_by_id: dict[InstanceId, Node] = {}
        self.cut: set[frozenset[InstanceId]] = set()
        self.isolated_since: dict[InstanceId, Seconds] = {}
        self.side_by_id: dict[InstanceId, frozenset[InstanceId]] = {}
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 0.002
        self._mail: list[tuple[float, int, InstanceId, InstanceId, bytes]] = []
        self._numbers = itertools.count(1)
        self.largest_message = 0

    def add(self, name: str, has_disk: bool = True) -> Node:
        node = Node(InstanceId(f"{name}.{next(self._numbers):08x}"), has_disk, self.rng)
        self.nodes_by_id[node.me] = node
        node.boot(self.now)
        self.connect_all()
        return node

    def up(self) -> list[Node]:
        return [node for node in self.nodes_by_id.values() if node.core]

    def leader(self) -> Node | None:
        leading = [n for n in self.up() if n.core and n.core.status(self.now).role is Role.LEADER]
        return max(
            leading, key=lambda n: n.core.status(self.now).term if n.core else 0, default=None
        )

    def linked(self, one: InstanceId, other: InstanceId) -> bool:
        return frozenset((one, other)) not in self.cut

    def connect_all(self) -> None:
        for node, peer in itertools.permutations(self.up(), 2):
            if node.core and peer.core and self.linked(node.me, peer.me):
                self.perform(node, node.core.peer_connected(peer.me, peer.has_disk, self.now))

    def disconnect(self, gone: InstanceId) -> None:
        for node in self.up():
            if node.core and node.me != gone:
                self.perform(node, node.core.peer_disconnected(gone, self.now))

    def partition(self, groups: list[list[Node]]) -> None:
        group_by_id = {node.me: number for number, group in enumerate(groups) for node in group}
        pairs = itertools.combinations(sorted(group_by_id), 2)
        self.cut = {frozenset(p) for p in pairs if group_by_id[p[0]] != group_by_id[p[1]]}
        sides = [frozenset(node.me for node in group) for group in groups]
        self.side_by_id = {node: side for side in sides for node in side}
        self.isolated_since = dict.fromkeys(self.side_by_id, self.now)
        for node, peer in itertools.permutations(self.up(), 2):
            if node.core and not self.linked(node.me, peer.me):
                self.perform(node, node.core.peer_disconnected(peer.me, self.now))

    def has_majority(self, side: frozenset[InstanceId]) -> bool:
        """Whether a side may be a majority, by what is committed or by what any node there says."""
        nodes = [self.nodes_by_id[i] for i in side if i in self.nodes_by_id]
        views = [n.core.status(self.now).members for n in nodes if n.core] + [self.members()]
        return any(len(side & view.voters) > len(view.voters) // 2 for view in views)

    def heal(self) -> None:
        self.cut, self.isolated_since, self.side_by_id = set(), {}, {}
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 0.002
        self.connect_all()

    def members(self) -> Members:
        entries = [self.oracle.entries_by_index[i] for i in sorted(self.oracle.entries_by_index)]
        changes = [Members.decode(e.payload) for e in entries if e.kind is EntryKind.MEMBERS]
        return changes[-1] if changes else Members()

    def crash(self, node: Node) -> None:
        node.core = None
        self._mail = [mail for mail in self._mail if node.me not in mail[2:4]]
        heapq.heapify(self._mail)
        self.disconnect(node.me)

    def restart(self, node: Node) -> None:
        if not node.has_disk:
            del self.nodes_by_id[node.me]
            self.add(name_of(node.me), has_disk=False)
            return
        node.boot(self.now)
        self.connect_all()

    def lose_disk(self, node: Node) -> Node:
        self.crash(node)
        del self.nodes_by_id[node.me]
        return self.add(name_of(node.me))

    def propose(self, node: Node, payloads: list[bytes]) -> None:
        """Propose several as one batch."""
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
            if node.actions_left is not None:
                node.actions_left -= 1
                if node.actions_left < 0:
                    self.crash(node)
                    return
            match action:
                case Persist(record):
                    node.disk.append(_ENCODER.encode([record]))
                case RewriteJournal(records):
                    node.disk = [_ENCODER.encode(records)]
                case Send(to, message):
                    self._post(node.me, to, _ENCODER.encode(message))
                case Committed(entry):
                    self._apply(node, entry)
                case SnapshotRestored(index, state):
                    node.applied, node.applied_index = _APPLIED.decode(state), index
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
            due = self._mail[0][0] if self._mail else until
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
        for node in self.up():
            if node.core and self.now >= node.paused_until:
                self.perform(node, node.core.tick(self.now))
            if node.core:
                self._check(node)

    def _check(self, node: Node) -> None:
        assert node.core
        status = node.core.status(self.now)
        if status.role is Role.LEADER:
            self.oracle.leads(status.term, node.me)
        caught_up_at = Seconds(self.now - status.caught_up_age)
        assert self.oracle.committed_before(caught_up_at) <= node.applied_index, "not caught up"
        since = self.isolated_since.get(node.me)
        if since is not None and status.quorum_age < self.now - since - 1e-6:
            side = self.side_by_id[node.me]
            assert self.has_majority(side), "a majority out of reach is heard"

    def _post(self, source: InstanceId, to: InstanceId, data: bytes) -> None:
        self.largest_message = max(self.largest_message, len(data))
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < self.drop or not self.linked(source, to):
                continue
            at = self.now + self.rng.uniform(0.0005, self.delay)
            heapq.heappush(self._mail, (at, next(self._numbers), source, to, data))

    def _deliver(self) -> None:
        at, number, source, to, data = heapq.heappop(self._mail)
        node = self.nodes_by_id.get(to)
        if node is None or node.core is None:
            return
        if self.now < node.paused_until:
            heapq.heappush(self._mail, (node.paused_until, number, source, to, data))
            return
        self.perform(node, node.core.receive(source, _MESSAGES.decode(data), self.now))
        if node.core:
            self._check(node)

    def _apply(self, node: Node, entry: LogEntry) -> None:
        assert entry.index == node.applied_index + 1, "an entry out of order"
        node.applied_index = entry.index
        self.oracle.committed(entry, self.now)
        if entry.kind is EntryKind.COMMAND:
            node.applied.append(entry.payload)
        if node.proposed_by_index.pop(entry.index, None) == (entry.term, entry.payload):
            self.oracle.acknowledged.add(entry.payload)
