"""Answers of the platform to calls of an earlier epoch of the same instance."""

import random
import unittest

from bulrushhollow_core.ids import DataCentreId, Epoch, RackId, Seconds, WorkerId
from bulrushhollow_core.jobs import Scheduler
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import PlatformAnswer, WorkerReport

NOW = Seconds(10.0)


class EarlierEpochTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = Scheduler(DataCentreId("north"), random.Random(1))

    def call(self, epoch: Epoch) -> int:
        """Activate the scheduler under an epoch, and return the number of its first call."""
        self.scheduler.activate(epoch, NOW)
        call = self.scheduler.next_call(epoch, Seconds(5.0), NOW)
        assert call is not None
        return call.number

    def answer(self, number: int, epoch: Epoch) -> None:
        worker = WorkerReport(WorkerId("w"), RackId("r"), Resources(8, 64, 256), Resources())
        answer = PlatformAnswer(epoch, False, 5, (worker,), number)
        self.scheduler.platform_answered(answer, NOW)

    # Guards against a full report from before the lease was held by another instance, which counts
    # as the report of the present epoch since the calls of each epoch are numbered anew.
    def test_an_answer_to_a_call_of_an_earlier_epoch_is_ignored(self) -> None:
        earlier = self.call(Epoch(1))
        present = self.call(Epoch(3))
        self.assertEqual(earlier, present)
        self.answer(earlier, Epoch(1))
        self.assertEqual(0, self.scheduler.worker_count)
        self.answer(present, Epoch(3))
        self.assertEqual(1, self.scheduler.worker_count)


if __name__ == "__main__":
    unittest.main()
