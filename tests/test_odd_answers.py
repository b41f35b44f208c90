"""One odd row, number or text in the answers of workers and of the advice service."""

import unittest

from bulrushhollow_core.domain import (
    Occurrence,
    OrderResult,
    PollAnswered,
    RunNumber,
    TaskRef,
    WorkerLife,
)
from bulrushhollow_core.domain.model import Start, StartRuns, SubmitJob
from bulrushhollow_core.ids import JobId, Seconds, WorkerId, WorkspaceId
from bulrushhollow_platform._translation import decode_running_row
from standins.domain_site import queue
from tests.test_domain_scheduler import SINGLE_TASK, WALL
from tests.test_odd_entries import lead

LIFE = WorkerLife(WorkerId("w"), 1)


class ProgressTest(unittest.TestCase):
    # Guards against a leader that ends while it computes with a progress that is too large.
    def test_a_progress_out_of_range_is_limited(self) -> None:
        task = TaskRef(JobId("j"), Occurrence(0), 0, 0)
        team = WorkspaceId("team")
        recorded = (
            SubmitJob(task.job, queue("usual", 1), team, SINGLE_TASK, WALL),
            StartRuns((Start(task, RunNumber(1), LIFE, "w:1"),)),
        )
        for first in (-(10**400), -1, 10**400, 1e308):
            with self.subTest(first=str(first)[:10]):
                harness = lead(recorded, from_snapshot=True)
                for percent in (first, 5, 6, first, 7):
                    harness.now = Seconds(harness.now + 5)
                    row = decode_running_row(("j.0.0.0", 1, "", percent))
                    assert row is not None
                    clock = Seconds(harness.now + 45)
                    listed = PollAnswered(LIFE, OrderResult.ACCEPTED, clock, running=(row,))
                    harness.scheduler.poll_answered(listed, harness.now)
                    harness.commit(harness.plan())
                    self.assertIn(row.percent, range(101))
                self.assertEqual(1, harness.scheduler.run_count)


if __name__ == "__main__":
    unittest.main()
