"""Tasks that crash the workers that start them, and the runs beside them."""

import unittest

from bulrushhollow_core.domain._events import Event, LogEvent
from tests.test_domain_scheduler import SINGLE_TASK, SchedulerHarness, announcement


class LostRunLogTest(unittest.TestCase):
    def lost_run(self, harness: SchedulerHarness) -> dict[str, object]:
        (line,) = [
            action.fields
            for action in harness.scheduler.take_actions()
            if isinstance(action, LogEvent) and action.event is Event.RUN_LOST
        ]
        return dict(line)

    def test_a_later_life_at_the_address_means_a_crash(self) -> None:
        harness = SchedulerHarness()
        harness.submit(SINGLE_TASK)
        harness.accept(harness.launch())
        harness.scheduler.worker_announced(announcement(2), harness.now)
        line = self.lost_run(harness)
        self.assertEqual(
            ("crashed", 1, 0), (line["cause"], line["tries"], line["runs_of_other_jobs"])
        )

    def test_a_worker_that_had_said_it_would_leave_has_not_crashed(self) -> None:
        harness = SchedulerHarness()
        harness.submit(SINGLE_TASK)
        harness.accept(harness.launch())
        harness.scheduler.deregister(announcement(1).life, harness.now)
        harness.scheduler.worker_announced(announcement(2), harness.now)
        self.assertEqual("departed", self.lost_run(harness)["cause"])

    def test_an_expired_lease_does_not_show_a_crash(self) -> None:
        harness = SchedulerHarness()
        harness.submit(SINGLE_TASK)
        harness.accept(harness.launch())
        harness.now += 30
        harness.plan()
        self.assertEqual("silent", self.lost_run(harness)["cause"])


if __name__ == "__main__":
    unittest.main()
