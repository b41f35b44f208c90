"""The order in which waiting jobs are served."""

import unittest

from bulrushhollow_core.domain import JobState, Resources, Step, Work
from bulrushhollow_core.domain.model import CancelJob, PutConfiguration, SubmitJob, WallTime
from bulrushhollow_core.domain.queueing import guaranteed_jobs, waiting_steps
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId
from standins.domain_site import configuration, queue

START = 1_000_000.0
URGENCY = {"urgent": 0, "usual": 1, "later": 2}


class QueueHarness:
    """A replicated state with waiting jobs."""

    def __init__(self) -> None:
        self.state = DomainState()
        self.state.apply(PutConfiguration(configuration(1, guaranteed=16)))

    def submit(
        self, name: str, kind: str, at: float, estimate: float = 7.0, width: int = 1
    ) -> None:
        step = Step(width, Resources(1000, 100, 8), Seconds(estimate))
        work = Work("spec", (step,))
        chosen = queue(kind, URGENCY[kind])
        wall = WallTime(START + at)
        self.state.apply(SubmitJob(JobId(name), chosen, WorkspaceId("team"), work, wall))

    def order(self, at: float) -> list[str]:
        guaranteed = guaranteed_jobs(self.state)
        wall = WallTime(START + at)
        return [each.job.id for each in waiting_steps(self.state, set(), guaranteed, wall)]


class OrderTest(unittest.TestCase):
    def test_jobs_within_a_guarantee_are_served_first(self) -> None:
        harness = QueueHarness()
        harness.submit("usual", "usual", 0)
        harness.submit("large", "urgent", 1, width=3)
        harness.submit("within", "urgent", 2, width=2)
        self.assertEqual(["within", "large", "usual"], harness.order(3))

    def test_a_burst_of_urgent_work_precedes_usual_work_with_an_earlier_deadline(self) -> None:
        harness = QueueHarness()
        harness.submit("usual", "usual", 0, estimate=1.0)
        for number in range(3):
            harness.submit(f"urgent{number}", "urgent", 1, width=3)
        self.assertEqual("usual", harness.order(1)[-1])

    def test_background_work_yields_to_usual_work_that_comes_soon_after_it(self) -> None:
        harness = QueueHarness()
        harness.submit("later", "later", 0)
        harness.submit("usual", "usual", 5)
        self.assertEqual(["usual", "later"], harness.order(6))

    def test_a_stream_of_usual_work_does_not_starve_background_work(self) -> None:
        # In a generated day of load for bajio-sched-grown, only a third of the background work
        # still had value when it ended.
        harness = QueueHarness()
        harness.submit("later", "later", 0)
        for number in range(4):
            harness.submit(f"usual{number}", "usual", 11 + number)
        self.assertEqual("later", harness.order(15)[0])

    def test_a_job_that_can_be_on_time_precedes_a_late_one(self) -> None:
        harness = QueueHarness()
        harness.submit("late", "usual", 0, estimate=2.0)
        harness.submit("fresh", "usual", 20, estimate=7.0)
        self.assertEqual(["fresh", "late"], harness.order(21))

    def test_a_job_whose_result_has_no_value_any_more_is_served_last(self) -> None:
        harness = QueueHarness()
        harness.submit("urgent", "urgent", 0, estimate=0.1, width=3)
        harness.submit("later", "later", 20)
        self.assertEqual(["later", "urgent"], harness.order(21))

    def test_a_cancelled_job_is_not_in_the_queue(self) -> None:
        harness = QueueHarness()
        harness.submit("gone", "usual", 0)
        harness.state.apply(CancelJob(JobId("gone"), WallTime(START + 1)))
        self.assertEqual([], harness.order(2))
        self.assertIs(JobState.CANCELLED, harness.state.jobs_by_id[JobId("gone")].state)


if __name__ == "__main__":
    unittest.main()
