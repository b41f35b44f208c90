import unittest

from bulrushhollow_core.actions import Send
from bulrushhollow_core.configuration import ROLLOUT_INTERVAL, AppliedVersion, Rollout
from bulrushhollow_core.ids import InstanceId, InstanceName, Seconds, Version

ME, A2, B1 = InstanceName("a1"), InstanceName("a2"), InstanceName("b1")
A2_FIRST, A2_SECOND = InstanceId("a2.00000001"), InstanceId("a2.00000002")


class RolloutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rollout = Rollout(ME, frozenset({A2, B1}), Seconds(0.0))

    def hear(self, source: InstanceId, version: int, at: float) -> None:
        self.rollout.receive(source, AppliedVersion(Version(version)), Seconds(at))

    def test_a_version_is_in_force_only_where_it_was_confirmed(self) -> None:
        self.rollout.record_applied(Version(3), Seconds(1.0))
        self.hear(A2_FIRST, 2, 1.0)
        in_force = self.rollout.progress(Version(3))
        self.assertEqual(((ME,), (A2, B1)), (in_force.in_force_in, in_force.not_yet_in))
        self.hear(A2_FIRST, 4, 1.5)
        self.assertEqual((ME, A2), self.rollout.progress(Version(3)).in_force_in)

    def test_reordered_reports_never_take_a_version_back(self) -> None:
        self.hear(A2_FIRST, 4, 1.0)
        self.hear(A2_FIRST, 3, 1.1)
        self.assertEqual((A2,), self.rollout.progress(Version(4)).in_force_in)

    def test_a_new_incarnation_starts_with_nothing_in_force(self) -> None:
        self.hear(A2_FIRST, 4, 1.0)
        self.rollout.peer_connected(A2_SECOND)
        self.assertEqual((), self.rollout.progress(Version(1)).in_force_in)
        self.hear(A2_FIRST, 4, 1.2)
        self.assertEqual((), self.rollout.progress(Version(1)).in_force_in)

    def test_peers_are_told_at_once_of_a_change_and_again_at_each_interval(self) -> None:
        self.rollout.peer_connected(A2_FIRST)
        told = self.rollout.record_applied(Version(1), Seconds(1.0))
        self.assertEqual([Send(A2_FIRST, AppliedVersion(Version(1)))], told)
        self.assertEqual([], self.rollout.record_applied(Version(1), Seconds(1.1)))
        self.assertEqual([], self.rollout.tick(Seconds(1.5)))
        self.assertEqual(told, self.rollout.tick(Seconds(1.0 + ROLLOUT_INTERVAL)))

    def test_strangers_are_ignored(self) -> None:
        self.hear(InstanceId("z9.00000001"), 4, 1.0)
        self.assertEqual([], self.rollout.peer_connected(InstanceId("z9.00000001")))
        self.assertEqual((ME, A2, B1), self.rollout.progress(Version(1)).not_yet_in)

    def test_last_heard(self) -> None:
        self.hear(A2_FIRST, 1, 2.5)
        self.assertEqual(2.5, self.rollout.last_heard(A2, Seconds(9.0)))
        self.assertEqual(0.0, self.rollout.last_heard(B1, Seconds(9.0)))
        self.assertEqual(9.0, self.rollout.last_heard(ME, Seconds(9.0)))

    def test_a_version_counts_from_when_it_was_first_confirmed(self) -> None:
        self.hear(A2_FIRST, 2, 1.0)
        self.hear(A2_FIRST, 5, 7.0)
        self.assertEqual(1.0, self.rollout.applied_since(A2, Version(2)))
        self.assertEqual(7.0, self.rollout.applied_since(A2, Version(3)))
        self.assertIsNone(self.rollout.applied_since(A2, Version(6)))
