"""The order in which waiting work is served; each test names the pattern that it answers."""

import unittest

from bulrushhollow_core.domain import JobState, Resources, Step, Work
from bulrushhollow_core.domain._commands import CancelJob, PutConfiguration, SubmitJob
from bulrushhollow_core.domain._jobs import WallTime
from bulrushhollow_core.domain._queueing import guaranteed_jobs, waiting_steps
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId
from standins.domain_site import configuration, queue

START = 1_000_000.0
URGENCY = {"urgent": 0, "usual": 1, "later": 2}


class Queue:
    """A state with jobs that wait."""

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
    def test_a_guarantee_goes_before_all_else(self) -> None:
        waiting = Queue()
        waiting.submit("usual", "usual", 0)
        waiting.submit("large", "urgent", 1, width=3)
        waiting.submit("within", "urgent", 2, width=2)
        self.assertEqual(["within", "large", "usual"], waiting.order(3))

    def test_a_burst_of_urgent_work_goes_before_usual_work_that_is_due_earlier(self) -> None:
        waiting = Queue()
        waiting.submit("usual", "usual", 0, estimate=1.0)
        for number in range(3):
            waiting.submit(f"urgent{number}", "urgent", 1, width=3)
        self.assertEqual("usual", waiting.order(1)[-1])

    def test_background_work_gives_way_to_usual_work_for_a_while(self) -> None:
        waiting = Queue()
        waiting.submit("later", "later", 0)
        waiting.submit("usual", "usual", 5)
        self.assertEqual(["usual", "later"], waiting.order(6))

    def test_a_stream_of_usual_work_does_not_starve_background_work(self) -> None:
        # A day drawn for bajio-sched-grown: a third of the background work was worth something.
        waiting = Queue()
        waiting.submit("later", "later", 0)
        for number in range(4):
            waiting.submit(f"usual{number}", "usual", 11 + number)
        self.assertEqual("later", waiting.order(15)[0])

    def test_what_can_still_be_on_time_goes_before_what_is_late(self) -> None:
        waiting = Queue()
        waiting.submit("late", "usual", 0, estimate=2.0)
        waiting.submit("fresh", "usual", 20, estimate=7.0)
        self.assertEqual(["fresh", "late"], waiting.order(21))

    def test_what_is_worth_nothing_any_more_goes_last(self) -> None:
        waiting = Queue()
        waiting.submit("urgent", "urgent", 0, estimate=0.1, width=3)
        waiting.submit("later", "later", 20)
        self.assertEqual(["later", "urgent"], waiting.order(21))

    def test_a_cancelled_job_waits_for_nothing(self) -> None:
        waiting = Queue()
        waiting.submit("gone", "usual", 0)
        waiting.state.apply(CancelJob(JobId("gone"), WallTime(START + 1)))
        self.assertEqual([], waiting.order(2))
        self.assertIs(JobState.CANCELLED, waiting.state.jobs_by_id[JobId("gone")].state)


if __name__ == "__main__":
    unittest.main()
