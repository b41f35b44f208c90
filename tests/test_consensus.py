import random
import unittest

from bulrushhollow_core.consensus import (
    Consensus,
    ForcedRecovery,
    MemberChangeReason,
    MemberChangeRefused,
    NotLeader,
    Proposed,
    Role,
    TooLarge,
)
from bulrushhollow_core.consensus._types import MAX_PAYLOAD_BYTES
from bulrushhollow_core.ids import InstanceId, Seconds
from tests.consensus_cluster import Cluster, Node


def bootstrap_cluster(seed: int, names: str, observers: str = "") -> tuple[Cluster, list[Node]]:
    cluster = Cluster(seed)
    first = cluster.add(names[0])
    assert first.core
    cluster.perform(first, first.core.bootstrap(cluster.now))
    others = [cluster.add(name) for name in names[1:]]
    followers = [cluster.add(name, has_disk=False) for name in observers]
    cluster.run(5)
    return cluster, [first, *others, *followers]


class ReplicationTest(unittest.TestCase):
    def test_instances_with_a_disk_become_voters_one_at_a_time_and_others_observe(self) -> None:
        cluster, nodes = bootstrap_cluster(1, "abc", "xy")
        self.assertEqual(cluster.members().voters, {node.me for node in nodes[:3]})
        cluster.oracle.check_members()
        cluster.propose(nodes[0], [b"1", b"2"])
        cluster.run(1)
        self.assertEqual([node.applied for node in nodes], [[b"1", b"2"]] * 5)
        roles = [node.core.status(cluster.now).role for node in nodes if node.core]
        self.assertEqual(roles, [Role.LEADER] + [Role.FOLLOWER] * 2 + [Role.OBSERVER] * 2)

    def test_a_batch_goes_out_in_one_message_per_peer(self) -> None:
        cluster, nodes = bootstrap_cluster(2, "abc")
        leader = nodes[0].core
        assert leader
        results = [leader.propose(b"%d" % n, cluster.now) for n in range(10)]
        self.assertTrue(all(isinstance(result, Proposed) for result in results))
        self.assertEqual(len(leader.flush(cluster.now)), 2)

    def test_a_crashed_leader_is_replaced_and_no_acknowledged_entry_is_lost(self) -> None:
        cluster, nodes = bootstrap_cluster(3, "abc")
        cluster.propose(nodes[0], [b"1"])
        cluster.run(1)
        cluster.crash(nodes[0])
        cluster.run(5)
        leader = cluster.leader()
        assert leader
        self.assertIn(leader, nodes[1:])
        cluster.propose(leader, [b"2"])
        cluster.run(1)
        cluster.restart(nodes[0])
        cluster.run(2)
        self.assertEqual([node.applied for node in nodes], [[b"1", b"2"]] * 3)
        cluster.oracle.check_complete()

    def test_a_leader_whose_connections_break_is_replaced_before_the_election_timeout(self) -> None:
        cluster, nodes = bootstrap_cluster(10, "abc")
        cluster.crash(nodes[0])
        cluster.run(0.9)
        self.assertIn(cluster.leader(), nodes[1:])

    def test_one_broken_connection_does_not_depose_a_leader_that_the_others_hear(self) -> None:
        cluster, nodes = bootstrap_cluster(15, "abc")
        core, other_core = nodes[0].core, nodes[2].core
        assert core and other_core
        term = core.status(cluster.now).term
        cluster.cut_links = {frozenset((nodes[0].me, nodes[2].me))}
        cluster.perform(nodes[2], other_core.peer_disconnected(nodes[0].me, cluster.now))
        cluster.run(10)
        status = core.status(cluster.now)
        self.assertEqual((status.role, status.term), (Role.LEADER, term))

    def test_after_a_restart_of_all_instances_an_election_needs_no_full_timeout(self) -> None:
        for seed in range(20, 30):
            cluster, nodes = bootstrap_cluster(seed, "abc")
            for node in nodes:
                cluster.crash(node)
            cluster.run(2)
            for node in nodes:
                cluster.restart(node)
            cluster.run(0.9)
            self.assertIsNotNone(cluster.leader(), "sooner than the shortest election timeout")

    def test_a_restarted_voter_does_not_depose_the_leader(self) -> None:
        cluster, nodes = bootstrap_cluster(31, "abc")
        core = nodes[0].core
        assert core
        term = core.status(cluster.now).term
        cluster.crash(nodes[1])
        cluster.run(0.3)
        cluster.restart(nodes[1])
        cluster.run(3)
        status = core.status(cluster.now)
        self.assertEqual((status.role, status.term), (Role.LEADER, term))

    def test_a_silent_leader_is_no_longer_reported(self) -> None:
        cluster, nodes = bootstrap_cluster(16, "abc", "x")
        observer = nodes[3].core
        assert observer
        self.assertEqual(observer.status(cluster.now).leader, nodes[0].me)
        cluster.cut_links = {frozenset((node.me, nodes[3].me)) for node in nodes[:3]}
        cluster.run(3)
        self.assertIsNone(observer.status(cluster.now).leader)

    def test_a_leader_without_a_majority_steps_down_and_reports_its_quorum_age(self) -> None:
        cluster, nodes = bootstrap_cluster(4, "abc", "x")
        cluster.partition([[nodes[0], nodes[3]], nodes[1:3]])
        cluster.run(5)
        core = nodes[0].core
        assert core
        status = core.status(cluster.now)
        self.assertIsNot(status.role, Role.LEADER)
        self.assertGreaterEqual(status.quorum_age, 5)
        self.assertIsInstance(core.propose(b"1", cluster.now), NotLeader)

    def test_a_healed_minority_does_not_depose_the_leader(self) -> None:
        cluster, nodes = bootstrap_cluster(5, "abc")
        core = nodes[0].core
        assert core
        term = core.status(cluster.now).term
        cluster.partition([nodes[:2], nodes[2:]])
        cluster.run(20)
        cluster.heal()
        cluster.run(5)
        self.assertEqual(core.status(cluster.now).term, term)

    def test_a_leadership_transfer_takes_effect_at_once(self) -> None:
        cluster, nodes = bootstrap_cluster(6, "abc")
        core = nodes[0].core
        assert core
        cluster.perform(nodes[0], core.transfer_leadership(cluster.now))
        self.assertIsInstance(core.propose(b"1", cluster.now), NotLeader)
        cluster.run(0.1)
        leader = cluster.leader()
        assert leader
        self.assertIn(leader, nodes[1:])

    def test_a_long_payload_is_refused(self) -> None:
        cluster, nodes = bootstrap_cluster(7, "a")
        core = nodes[0].core
        assert core
        self.assertIsInstance(core.propose(b"x" * (MAX_PAYLOAD_BYTES + 1), cluster.now), TooLarge)

    def test_a_newcomer_gets_the_snapshot_in_bounded_messages(self) -> None:
        cluster, nodes = bootstrap_cluster(8, "abc")
        for n in range(12):
            cluster.propose(nodes[0], [b"%d" % (n * 100 + i) + b"x" * 500 for i in range(100)])
            cluster.run(0.2)
        cluster.compact(nodes[0])
        newcomer = cluster.add("x", has_disk=False)
        cluster.run(3)
        self.assertEqual(newcomer.applied, nodes[0].applied)
        self.assertEqual(len(newcomer.applied), 1200)
        self.assertLess(cluster.largest_message_bytes, 80_000)

    def test_an_installed_snapshot_survives_a_restart_of_the_newcomer(self) -> None:
        cluster, nodes = bootstrap_cluster(17, "ab")
        cluster.propose(nodes[0], [b"%d" % n for n in range(600)])
        cluster.run(1)
        cluster.compact(nodes[0])
        newcomer = cluster.add("c")
        cluster.run(3)
        cluster.propose(nodes[0], [b"after"])
        cluster.run(1)
        cluster.partition([nodes, [newcomer]])
        cluster.crash(newcomer)
        cluster.restart(newcomer)
        assert newcomer.core
        self.assertGreaterEqual(newcomer.core.status(cluster.now).snapshot_index, 600)
        self.assertGreater(newcomer.core.status(cluster.now).last_index, 602)

    def test_a_restart_from_a_snapshot_gives_the_same_state(self) -> None:
        cluster, nodes = bootstrap_cluster(9, "a")
        cluster.propose(nodes[0], [b"%d" % n for n in range(500)])
        cluster.compact(nodes[0])
        cluster.propose(nodes[0], [b"after"])
        applied = list(nodes[0].applied)
        cluster.crash(nodes[0])
        cluster.restart(nodes[0])
        cluster.run(0.2)
        self.assertEqual(nodes[0].applied, applied)


class MembersTest(unittest.TestCase):
    def test_an_instance_with_a_lost_disk_returns_as_learner_and_replaces_its_old_id(self) -> None:
        cluster, nodes = bootstrap_cluster(11, "abc")
        cluster.propose(nodes[0], [b"1"])
        cluster.run(1)
        new = cluster.lose_disk(nodes[2])
        cluster.run(10)
        self.assertEqual(cluster.members().voters, {nodes[0].me, nodes[1].me, new.me})
        cluster.crash(nodes[1])
        cluster.propose(nodes[0], [b"2"])
        cluster.run(3)
        self.assertIn(b"2", cluster.oracle.acknowledged)

    def test_a_second_incarnation_of_a_live_voter_stays_a_learner(self) -> None:
        cluster, nodes = bootstrap_cluster(12, "abc")
        second = cluster.add("c")
        cluster.run(10)
        self.assertEqual(cluster.members().voters, {node.me for node in nodes})
        self.assertEqual(cluster.members().learners, {second.me})

    def test_a_crashed_instance_can_be_removed(self) -> None:
        cluster, nodes = bootstrap_cluster(13, "abcd")
        cluster.crash(nodes[3])
        core = nodes[0].core
        assert core
        refused = core.remove_member(InstanceId("z.1"), cluster.now)
        self.assertEqual(refused, MemberChangeRefused(MemberChangeReason.NOT_A_MEMBER))
        result = core.remove_member(nodes[3].me, cluster.now)
        assert isinstance(result, Proposed)
        cluster.perform(nodes[0], result.actions)
        cluster.run(1)
        self.assertEqual(cluster.members().voters, {node.me for node in nodes[:3]})

    def test_forced_recovery_reports_former_voters_and_drops_their_messages(self) -> None:
        cluster, nodes = bootstrap_cluster(14, "abc")
        cluster.propose(nodes[0], [b"1"])
        cluster.run(1)
        core = nodes[2].core
        assert core
        refused = core.force_sole_voter(cluster.now)
        self.assertEqual(refused, MemberChangeRefused(MemberChangeReason.QUORUM_PRESENT))
        cluster.crash(nodes[0])
        cluster.crash(nodes[1])
        cluster.run(5)
        result = core.force_sole_voter(cluster.now)
        assert isinstance(result, ForcedRecovery)
        self.assertEqual(result.former_voters, {nodes[0].me, nodes[1].me})
        cluster.perform(nodes[2], result.actions)
        cluster.propose(nodes[2], [b"2"])
        self.assertEqual(nodes[2].applied, [b"1", b"2"])
        cluster.restart(nodes[0])
        cluster.run(5)
        status = core.status(cluster.now)
        self.assertEqual((status.role, status.foreign_peers), (Role.LEADER, {nodes[0].me}))

    def test_without_a_disk_an_instance_neither_bootstraps_nor_votes(self) -> None:
        core = Consensus(InstanceId("x.1"), False, None, random.Random(1), Seconds(0))
        self.assertEqual(core.bootstrap(Seconds(0)), [])
        self.assertEqual(core.tick(Seconds(100)), [])


if __name__ == "__main__":
    unittest.main()
