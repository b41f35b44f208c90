"""The check of jobs that stand: what it finds, what is not owed, and what it excuses."""

import contextlib
import unittest
from unittest import mock

from bulrushhollow_core.domain import Resources, Step, Work
from bulrushhollow_core.domain.placement import PlanningCycle
from bulrushhollow_core.ids import JobId, Seconds
from standins.domain_site import configuration
from standins.domain_standing import Excuse, Standing
from tests.domain_world import World

JOB = JobId("a" * 16)
OTHER_JOB = JobId("b" * 16)
GANG = Step(3, Resources(1000, 100, 4), Seconds(1.0), is_gang=True)
TASK = Step(1, Resources(1000, 100, 4), Seconds(1.0))


def without_plans() -> contextlib.AbstractContextManager[object]:
    """Have leaders make no plans."""
    return mock.patch.object(PlanningCycle, "plan", return_value=False)


class StandingCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World(7)
        self.world.run(4)
        self.version = 0

    def configure(self, accelerators: int) -> None:
        """Put a cap, 0 for none, and wait until it is the only one that counts."""
        self.version += 1
        config = configuration(self.version, cap=Resources(0, 0, accelerators))
        self.assertTrue(self.world.put_configuration(config))
        self.world.run(4.5)

    def submit(self, step: Step, job: JobId = JOB, duration: float = 1.0) -> None:
        self.world.submit(job, "usual", Work("spec", (step,)), duration)

    @property
    def standing(self) -> list[Standing]:
        return self.world.standing_check.standing

    def test_a_gang_that_never_starts_stands(self) -> None:
        self.configure(0)
        with without_plans():
            self.submit(GANG)
            self.world.run(3.5)
        (standing,) = self.standing
        self.assertEqual((JOB, 0), (standing.job, standing.run_count))
        self.assertEqual((24, 6), (standing.chance.places, standing.chance.wanted_places))

    def test_a_wait_of_less_than_the_limit_is_allowed(self) -> None:
        self.configure(0)
        with without_plans():
            self.submit(GANG)
            self.world.run(2.5)
        self.world.run(5)
        self.assertEqual([], self.standing)

    def test_a_start_beyond_the_lowest_cap_that_may_be_in_force_is_not_owed(self) -> None:
        self.configure(24)
        with without_plans():
            self.submit(GANG)
            self.world.run(1)
            self.configure(11)
            self.world.run(4)
            self.configure(24)
            self.assertEqual([], self.standing)
            self.world.run(3.5)
        self.assertEqual(1, len(self.standing))

    def test_a_start_is_owed_only_while_under_half_of_the_cap_is_in_use(self) -> None:
        for cap, count in ((8, 0), (9, 1)):
            with self.subTest(cap=cap):
                self.setUp()
                self.configure(cap)
                self.submit(TASK, OTHER_JOB, duration=30.0)
                self.world.run(1)
                with without_plans():
                    self.submit(TASK)
                    self.world.run(4)
                self.assertEqual(count, len(self.standing))

    def test_nothing_is_owed_while_half_of_the_service_is_in_use(self) -> None:
        self.configure(0)
        self.submit(Step(12, TASK.needs, TASK.estimate), OTHER_JOB, duration=30.0)
        self.world.run(1)
        with without_plans():
            self.submit(TASK)
            self.world.run(4)
        self.assertEqual([], self.standing)

    def test_a_span_counts_only_from_some_seconds_after_a_change_of_leader_on(self) -> None:
        self.configure(0)
        with without_plans():
            self.submit(GANG)
            self.world.run(2)
            leader = self.world.leader()
            leader.kill()
            self.world.run(1)
            leader.start()
            self.world.run(6.5)
            self.assertEqual([], self.standing)
            self.world.run(3)
        self.assertEqual(1, len(self.standing))

    def test_a_task_of_which_a_start_may_be_late_is_excused_and_recorded(self) -> None:
        self.configure(0)
        with mock.patch.object(self.world, "execute_order_late"):
            self.world.late_order_rate = 1.0
            self.submit(TASK)
            self.world.run(2)
            self.world.late_order_rate = 0.0
        self.world.run(20)
        self.assertEqual([], self.standing)
        (excused,) = self.world.standing_check.standing_while_excused
        self.assertIn(Excuse.LATE_START, excused.chance.excuses)


if __name__ == "__main__":
    unittest.main()
