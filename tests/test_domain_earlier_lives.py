"""Orders for one life of a worker that are carried out in its next life, in a whole domain."""

import unittest

from bulrushhollow_core.domain import JobState, Poll, Resources, Step, Work
from bulrushhollow_core.ids import JobId, Seconds
from standins.domain_site import configuration
from standins.domain_workers import Worker
from tests.domain_world import Instance, World

TWO_TASKS = Work("spec", (Step(2, Resources(1000, 100, 1), Seconds(1.0)),))


class RecordingWorld(World):
    """A domain that keeps the orders that its instances have sent."""

    def __init__(self, workers: int) -> None:
        self.orders: list[object] = []
        super().__init__(1, workers=workers)
        self.run(4)
        assert self.put_configuration(configuration(1))
        self.run(1)

    def send_order(self, source: Instance, order: object) -> None:
        self.orders.append(order)
        super().send_order(source, order)

    def restart(self, worker: Worker) -> None:
        """Restart a worker under its id, and wait until the leader knows its next life."""
        worker.crash()
        self.run(1.0)
        worker.begin_life(worker.life.born + 1)
        self.run(3.0)

    def isolate(self, worker: Worker) -> None:
        self.cut(worker.address, [instance.address for instance in self.instances])


class LatePollTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = RecordingWorld(workers=1)
        [self.worker] = self.world.worker_pool.workers

    def run_job(self, name: str, duration: float, seconds: float) -> JobId:
        job = name * 16
        self.world.submit(job, "usual", TWO_TASKS, duration)
        self.world.run(seconds)
        return JobId(job)

    # Guards against done tasks that start again (TWICE): a poll for a worker's earlier life was
    # carried out in its next life and discarded the ends of that life before a leader read them.
    def test_a_poll_of_an_earlier_life_discards_no_end_of_the_next(self) -> None:
        world, worker = self.world, self.worker
        self.run_job("a", duration=0.5, seconds=3.0)
        polls = [each for each in world.orders if isinstance(each, Poll) and each.acknowledged]
        world.restart(worker)
        job = self.run_job("b", duration=1.5, seconds=1.0)
        self.assertEqual(2, len(worker.runs))
        world.isolate(worker)
        world.run(2.0)
        self.assertEqual(2, len(worker.unacknowledged_ends))
        world.execute_order_late(worker, polls[-1])
        self.assertEqual(2, len(worker.unacknowledged_ends))
        world.heal()
        world.run(10.0)
        self.assertEqual(JobState.DONE, world.read(job, "usual"))
        self.assertEqual(4, world.oracle.start_count)


if __name__ == "__main__":
    unittest.main()
