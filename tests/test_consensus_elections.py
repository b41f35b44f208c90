"""Elections: how soon a lost leader is replaced, and that no two instances lead within a lease."""

import unittest

from bulrushhollow_core.consensus import Role, Timing
from bulrushhollow_core.ids import Seconds
from tests.consensus_cluster import TICK, Cluster, Node

NO_JITTER = Timing(election_jitter=Seconds(0.0))


def three_voters(seed: int, timing: Timing = NO_JITTER) -> tuple[Cluster, list[Node]]:
    cluster = Cluster(seed, timing)
    nodes = [cluster.add("a")]
    assert nodes[0].core
    cluster.perform(nodes[0], nodes[0].core.bootstrap(cluster.now))
    cluster.run(1)
    nodes += [cluster.add(name) for name in "bc"]
    cluster.run(5)
    return cluster, nodes


def leads(node: Node, now: Seconds) -> bool:
    return node.core is not None and node.core.status(now).role is Role.LEADER


class ElectionTest(unittest.TestCase):
    def test_candidates_that_stand_at_the_same_time_do_not_split_the_votes(self) -> None:
        for seed in range(40):
            cluster, nodes = three_voters(seed)
            nodes[0].paused_until = Seconds(cluster.now + 10)
            cluster.run(NO_JITTER.min_election_timeout + NO_JITTER.heartbeat_interval + 4 * TICK)
            self.assertTrue(any(leads(node, cluster.now) for node in nodes[1:]), seed)

    def test_lost_connections_alone_do_not_depose_a_leader(self) -> None:
        for seed in range(20):
            cluster, nodes = three_voters(seed, Timing())
            for node in nodes[1:]:
                assert node.core
                actions = node.core.peer_disconnected(nodes[0].me, cluster.now, has_ended=False)
                cluster.perform(node, actions)
            cluster.run(3)
            self.assertTrue(leads(nodes[0], cluster.now), seed)

    def test_a_restarted_voter_elects_nobody_within_the_lease_that_it_confirmed(self) -> None:
        for seed in range(20):
            timing = Timing()
            cluster, nodes = three_voters(seed, timing)
            cluster.cut_links = {frozenset((nodes[0].me, nodes[1].me))}
            cluster.run(0.9)
            cluster.partition([nodes[:1], nodes[1:]])
            cluster.crash(nodes[2])
            cluster.run(0.1)
            cluster.restart(nodes[2])
            while not any(leads(node, cluster.now) for node in nodes[1:]):
                cluster.run(TICK)
                self.assertLess(cluster.now, 130)
            core = nodes[0].core
            assert core
            age = core.quorum_age(cluster.now)
            self.assertGreaterEqual(age, timing.min_election_timeout - TICK, seed)

    def test_a_restart_of_all_with_one_disk_lost_needs_no_full_timeout(self) -> None:
        for seed in range(20):
            cluster, nodes = three_voters(seed)
            for node in nodes:
                cluster.crash(node)
            cluster.run(2)
            cluster.lose_disk(nodes[2])
            for node in nodes[:2]:
                cluster.restart(node)
            cluster.run(NO_JITTER.min_election_timeout - TICK)
            self.assertIsNotNone(cluster.leader(), seed)

    def test_a_leader_does_not_count_on_a_voter_whose_process_has_ended(self) -> None:
        cluster, nodes = three_voters(1)
        core = nodes[0].core
        assert core
        cluster.cut_links = {frozenset((nodes[0].me, nodes[2].me))}
        cluster.run(0.9)
        self.assertLess(core.quorum_age(cluster.now), 0.5)
        cluster.crash(nodes[1])
        self.assertGreaterEqual(core.quorum_age(cluster.now), 0.8)
