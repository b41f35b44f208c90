"""Random failures of a log, checked against one list of committed entries."""

import os

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bulrushhollow_core.consensus import Proposed
from bulrushhollow_core.ids import Seconds
from tests.consensus_cluster import Cluster, Node

STEPS_PER_EXAMPLE = 30
FUZZ_SEED = os.environ.get("FUZZ_SEED")
EXAMPLES = int(os.environ.get("FUZZ_STEPS", "2400")) // STEPS_PER_EXAMPLE

WHICH = st.integers(min_value=0, max_value=7)
SOON = st.sampled_from([0.1, 0.5, 2.0, 6.0])


class ConsensusMachine(RuleBasedStateMachine):
    """Three to five voters and an observer under crashes, lost disks and an unreliable network."""

    @initialize(seed=st.integers(0, 2**32), names=st.sampled_from(["abc", "abcd", "abcde"]))
    def found(self, seed: int, names: str) -> None:
        self.cluster = Cluster(seed)
        self.payload_number = 0
        first = self.cluster.add(names[0])
        assert first.core
        self.cluster.perform(first, first.core.bootstrap(self.cluster.now))
        for name in names[1:]:
            self.cluster.add(name)
        self.cluster.add("x", has_disk=False)
        self.cluster.run(4)

    def node(self, which: int) -> Node:
        nodes = list(self.cluster.nodes_by_id.values())
        return nodes[which % len(nodes)]

    def is_stable(self) -> bool:
        """Return whether every instance runs and knows the committed members."""
        members = self.cluster.members()
        if not members.voters <= self.cluster.nodes_by_id.keys():
            return False
        cores = [node.core for node in self.cluster.nodes_by_id.values()]
        now = self.cluster.now
        is_agreed = all(core is not None and core.status(now).members == members for core in cores)
        return is_agreed and not members.learners

    @rule(seconds=SOON)
    def wait(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.002, 0.1, 1.0, 3.0]),
    )
    def change_network(self, drop: float, duplicate: float, delay: float) -> None:
        self.cluster.drop, self.cluster.duplicate, self.cluster.delay = drop, duplicate, delay

    @rule(which=WHICH, count=st.integers(1, 4), wait=st.sampled_from([0.0, 0.01, 0.3]))
    def propose(self, which: int, count: int, wait: float) -> None:
        node = self.cluster.leader() or self.node(which)
        if node.core:
            self.cluster.propose(node, self.payloads(count))
            self.cluster.run(wait)

    @rule(count=st.integers(5, 40), interval=st.sampled_from([0.002, 0.02, 0.1]))
    def propose_steadily(self, count: int, interval: float) -> None:
        for payload in self.payloads(count):
            node = self.cluster.leader()
            if node:
                self.cluster.propose(node, [payload])
            self.cluster.run(interval)

    @rule(which=WHICH, actions=st.integers(0, 12))
    def crash_between_actions(self, which: int, actions: int) -> None:
        self.node(which).actions_until_crash = actions

    def payloads(self, count: int) -> list[bytes]:
        numbers = range(self.payload_number, self.payload_number + count)
        self.payload_number += count
        return [b"%d" % number for number in numbers]

    @rule(which=WHICH, wait=SOON)
    def crash(self, which: int, wait: float) -> None:
        node = self.node(which)
        if node.core:
            self.cluster.crash(node)
            self.cluster.run(wait)

    @rule(which=WHICH)
    def restart(self, which: int) -> None:
        node = self.node(which)
        if node.core:
            self.cluster.crash(node)
        self.cluster.restart(node)

    @rule(which=WHICH, seconds=SOON)
    def pause(self, which: int, seconds: float) -> None:
        self.node(which).paused_until = Seconds(self.cluster.now + seconds)

    @rule(sides=st.lists(st.booleans(), min_size=8, max_size=8), wait=SOON)
    def partition(self, sides: list[bool], wait: float) -> None:
        nodes = list(self.cluster.nodes_by_id.values())
        left = [node for node, side in zip(nodes, sides, strict=False) if side]
        self.cluster.partition([left, [node for node in nodes if node not in left]])
        self.cluster.run(wait)

    @rule()
    def heal(self) -> None:
        self.cluster.heal()

    @precondition(lambda self: len(self.cluster.members().voters) >= 3 and self.is_stable())
    @rule(which=WHICH, wait=st.sampled_from([0.0, 0.1, 2.0, 6.0]))
    def lose_disk(self, which: int, wait: float) -> None:
        node = self.node(which)
        if node.has_disk:
            self.cluster.lose_disk(node)
            self.cluster.run(wait)

    # Guards against the loss of a committed entry when disks are lost in a loss of power.
    @precondition(lambda self: len(self.cluster.members().voters) >= 3 and self.is_stable())
    @rule(
        which=WHICH,
        actions=st.integers(0, 12),
        downtimes=st.lists(st.sampled_from([0.0, 0.1, 1.0, 3.0]), min_size=8, max_size=8),
    )
    def lose_power_and_disks(self, which: int, actions: int, downtimes: list[float]) -> None:
        """All instances lose power, one while it writes, and as many disks as are tolerated."""
        voters = sorted(self.cluster.members().voters)
        wiped = {voters[(which + n) % len(voters)] for n in range((len(voters) - 1) // 2)}
        leader = self.cluster.leader()
        if leader:
            leader.actions_until_crash = actions
            self.cluster.propose(leader, self.payloads(2))
        nodes = list(self.cluster.nodes_by_id.values())
        for node in nodes:
            self.cluster.crash(node)
        for node, downtime in zip(nodes, downtimes, strict=False):
            self.cluster.run(downtime)
            if node.me in wiped:
                self.cluster.lose_disk(node)
            else:
                self.cluster.restart(node)

    @precondition(lambda self: len(self.cluster.members().voters) >= 4 and self.is_stable())
    @rule(which=WHICH)
    def remove_member(self, which: int) -> None:
        leader, node = self.cluster.leader(), self.node(which)
        if leader and leader.core and node is not leader:
            self.cluster.crash(node)
            result = leader.core.remove_member(node.me, self.cluster.now)
            if isinstance(result, Proposed):
                self.cluster.perform(leader, result.actions)

    @rule()
    def hand_over(self) -> None:
        node = self.cluster.leader()
        if node and node.core:
            self.cluster.perform(node, node.core.transfer_leadership(self.cluster.now))

    @rule(which=WHICH)
    def compact(self, which: int) -> None:
        node = self.node(which)
        if node.core:
            self.cluster.compact(node)

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.heal()
        for node in list(cluster.nodes_by_id.values()):
            node.paused_until, node.actions_until_crash = Seconds(0.0), None
            if node.core is None:
                cluster.restart(node)
        cluster.run(30)
        leader = cluster.leader()
        assert leader, "no leader although all instances are up and connected"
        cluster.propose(leader, [b"last"])
        cluster.run(2)
        assert b"last" in cluster.oracle.acknowledged
        cluster.oracle.check_complete()
        cluster.oracle.check_members()
        for node in cluster.running_nodes():
            assert node.applied == cluster.oracle.payloads(), f"{node.me} lags behind"


ConsensusMachineTest = ConsensusMachine.TestCase
ConsensusMachineTest.settings = hypothesis.settings(
    max_examples=max(1, EXAMPLES),
    stateful_step_count=STEPS_PER_EXAMPLE,
    derandomize=FUZZ_SEED is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if FUZZ_SEED is not None:
    hypothesis.seed(int(FUZZ_SEED))(ConsensusMachine)
