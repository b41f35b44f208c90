import pathlib
import unittest

import msgspec

from bench.policy import Replay
from bench.policy_trace import Trace
from bulrushhollow_core.ids import JobId
from bulrushhollow_core.jobs import JobEnd

TRACES = pathlib.Path(__file__).parent / "traces"


class Expected(msgspec.Struct, frozen=True):
    """
    The expected outcome of a job.

    :param started_within: seconds from submission within which all of its tasks must run.
    """

    job: JobId
    end: JobEnd
    started_within: float | None = None


class RecordedTrace(msgspec.Struct, frozen=True):
    """
    A trace from a file, with the expected outcomes of some jobs.

    :param about: what the trace shows, for readers of the file.
    """

    about: str
    trace: Trace
    expected: tuple[Expected, ...]


class TraceTest(unittest.TestCase):
    def replay(self, name: str) -> None:
        recorded = msgspec.json.decode((TRACES / f"{name}.json").read_bytes(), type=RecordedTrace)
        replay = Replay(recorded.trace, seed=1)
        outcome = replay.run()
        self.assertEqual(outcome.violation_kinds, ())
        submitted_at = {job.job: job.at for job in recorded.trace.jobs}
        self.assertTrue(recorded.expected)
        for expected in recorded.expected:
            with self.subTest(job=expected.job):
                record = replay.site.ledger.jobs_by_id[expected.job]
                self.assertIs(record.end, expected.end)
                if expected.started_within is not None:
                    waited = outcome.started_at_by_job[expected.job] - submitted_at[expected.job]
                    self.assertLessEqual(waited, expected.started_within)

    def test_claims_are_reclaimed_in_time(self) -> None:
        self.replay("reclaim")

    def test_worker_losses_around_a_takeover(self) -> None:
        self.replay("losses")

    def test_data_centre_out_and_back(self) -> None:
        self.replay("out_and_back")

    def test_large_gang_does_not_starve(self) -> None:
        self.replay("starving")


if __name__ == "__main__":
    unittest.main()
