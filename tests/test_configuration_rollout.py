import unittest

from bulrushhollow_core.actions import Send
from bulrushhollow_core.configuration import ROLLOUT_INTERVAL, AppliedVersion, Rollout
from bulrushhollow_core.ids import InstanceId, InstanceName, Seconds, Version

A1, A2, B1 = InstanceName("a1"), InstanceName("a2"), InstanceName("b1")
A2_FIRST, A2_SECOND = InstanceId("a2.00000001"), InstanceId("a2.00000002")


class RolloutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rollout = Rollout(A1, frozenset({A2, B1}), Seconds(0.0))

    def receive_report(self, source: InstanceId, version: int, at: float) -> None:
        self.rollout.receive(source, AppliedVersion(Version(version)), Seconds(at))

    def test_a_version_is_in_force_only_where_it_is_confirmed(self) -> None:
        self.rollout.record_applied(Version(3), Seconds(1.0))
        self.receive_report(A2_FIRST, 2, 1.0)
        progress = self.rollout.progress(Version(3))
        self.assertEqual(((A1,), (A2, B1)), (progress.in_force_in, progress.not_yet_in))
        self.receive_report(A2_FIRST, 4, 1.5)
        self.assertEqual((A1, A2), self.rollout.progress(Version(3)).in_force_in)

    def test_a_late_report_does_not_lower_the_version(self) -> None:
        self.receive_report(A2_FIRST, 4, 1.0)
        self.receive_report(A2_FIRST, 3, 1.1)
        self.assertEqual((A2,), self.rollout.progress(Version(4)).in_force_in)

    def test_a_new_incarnation_starts_with_nothing_in_force(self) -> None:
        self.receive_report(A2_FIRST, 4, 1.0)
        self.rollout.peer_connected(A2_SECOND)
        self.assertEqual((), self.rollout.progress(Version(1)).in_force_in)
        self.receive_report(A2_FIRST, 4, 1.2)
        self.assertEqual((), self.rollout.progress(Version(1)).in_force_in)

    def test_a_new_version_is_reported_at_once_and_again_at_each_interval(self) -> None:
        self.rollout.peer_connected(A2_FIRST)
        reports = self.rollout.record_applied(Version(1), Seconds(1.0))
        self.assertEqual([Send(A2_FIRST, AppliedVersion(Version(1)))], reports)
        self.assertEqual([], self.rollout.record_applied(Version(1), Seconds(1.1)))
        self.assertEqual([], self.rollout.tick(Seconds(1.5)))
        self.assertEqual(reports, self.rollout.tick(Seconds(1.0 + ROLLOUT_INTERVAL)))

    def test_reports_of_unknown_instances_are_ignored(self) -> None:
        self.receive_report(InstanceId("z9.00000001"), 4, 1.0)
        self.assertEqual([], self.rollout.peer_connected(InstanceId("z9.00000001")))
        self.assertEqual((A1, A2, B1), self.rollout.progress(Version(1)).not_yet_in)

    def test_last_heard_is_the_time_of_the_last_report(self) -> None:
        self.receive_report(A2_FIRST, 1, 2.5)
        self.assertEqual(2.5, self.rollout.last_heard(A2, Seconds(9.0)))
        self.assertEqual(0.0, self.rollout.last_heard(B1, Seconds(9.0)))
        self.assertEqual(9.0, self.rollout.last_heard(A1, Seconds(9.0)))

    def test_a_version_counts_as_applied_since_it_was_first_confirmed(self) -> None:
        self.receive_report(A2_FIRST, 2, 1.0)
        self.receive_report(A2_FIRST, 5, 7.0)
        self.assertEqual(1.0, self.rollout.applied_since(A2, Version(2)))
        self.assertEqual(7.0, self.rollout.applied_since(A2, Version(3)))
        self.assertIsNone(self.rollout.applied_since(A2, Version(6)))
