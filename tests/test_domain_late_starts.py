"""Starts that went unanswered and are carried out in a worker's next life, while the task waits."""

import unittest

from bulrushhollow_core.domain import JobState, OrderStart
from bulrushhollow_core.domain.fleet import LATE_ORDER_WINDOW
from bulrushhollow_core.ids import JobId
from standins.domain_site import configuration
from standins.domain_workers import Worker
from tests.domain_world import Instance, World
from tests.test_domain_scheduler import SINGLE_TASK

JOB = JobId("a" * 16)


class LosingWorld(World):
    """A domain that loses the starts to one worker until they are let through."""

    def __init__(self) -> None:
        self.lost_starts: list[OrderStart] = []
        self.loses_starts = True
        super().__init__(1, workers=1)
        self.run(4)
        assert self.put_configuration(configuration(1))
        self.run(1)

    def send_order(self, source: Instance, order: object) -> None:
        if not (self.loses_starts and isinstance(order, OrderStart)):
            super().send_order(source, order)
            return
        self.lost_starts.append(order)
        state = {"answered": False}
        self.call_later(0.6, lambda: self.time_out_order(source, source.generation, order, state))


class LateStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = LosingWorld()
        [self.worker] = self.world.worker_pool.workers

    def give_up_start(self, duration: float) -> None:
        """Submit a job, and wait until the leader has given up its first run."""
        self.world.submit(JOB, "usual", SINGLE_TASK, duration)
        self.assertTrue(self.world.run_until(self.has_ended_run, 10.0))
        self.world.loses_starts = False

    def has_ended_run(self) -> bool:
        return any("run_ended" in line for line in self.world.log)

    def restart(self, worker: Worker) -> None:
        """Restart a worker under its id; its clock starts anew, so a late lease lasts longest."""
        worker.crash()
        worker.begin_life(worker.life.born + 1)
        worker.clock_offset = 0.0

    # Guards against a done task that starts again (TWICE): its late start was carried out in the
    # worker's next life and was done at once, and the end was acknowledged without being recorded.
    def test_a_task_that_a_late_start_has_done_does_not_start_again(self) -> None:
        self.give_up_start(duration=0.2)
        self.restart(self.worker)
        self.world.execute_order_late(self.worker, self.world.lost_starts[0])
        self.world.run(LATE_ORDER_WINDOW + 10.0)
        self.assertEqual(JobState.DONE, self.world.read(JOB, "usual"))
        self.assertEqual(1, self.world.oracle.start_count)


if __name__ == "__main__":
    unittest.main()
