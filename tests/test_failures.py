import contextlib
import io
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path

import anyio

from bench.failures import FailureRun
from bench.failures_promises import PROMISES
from bench.failures_records import (
    Attempt,
    Call,
    Change,
    JobOutcome,
    Kind,
    Records,
    RequestRun,
    StartCutoff,
    StatusSample,
    Window,
)
from bench.failures_site import FailureSite, Layout
from bulrushhollow_core.outcomes import Execution

SMALL = Layout({"north": 2, "south": 1}, 3)


def call(kind: Kind, execution: Execution, sent_at: float = 1.0, whole: bool = True) -> Call:
    return Call("m", kind, "a1", sent_at, sent_at + 0.5, execution, whole=whole)


def refused(kind: Kind) -> Call:
    return call(kind, Execution.NOT_RUN, whole=False)


def run(at: float = 1.1) -> RequestRun:
    return RequestRun("m", at, "e1")


def records(
    calls: Sequence[Call] = (), runs: Sequence[RequestRun] = (), attempts: Sequence[Attempt] = ()
) -> Records:
    result = Records()
    result.calls += calls
    result.runs += runs
    result.attempts += attempts
    return result


def count_breaches(promise: str, observed: Records) -> int:
    return len(PROMISES[promise](observed))


class WorkCountTest(unittest.TestCase):
    def test_a_second_run_is_a_double_unless_the_work_is_idempotent(self) -> None:
        for kind, expected in ((Kind.ONCE, 1), (Kind.KEYED, 1), (Kind.IDEMPOTENT, 0)):
            observed = records([call(kind, Execution.RAN)], [run(), run()])
            self.assertEqual(expected, count_breaches("doubles", observed), kind)

    def test_a_second_attempt_of_a_job_is_a_double_unless_it_is_idempotent(self) -> None:
        attempts = [Attempt("m", 1, 1, "north"), Attempt("m", 2, 1, "south")]
        for kind, expected in ((Kind.JOB_ONCE, 1), (Kind.JOB, 0)):
            observed = records([call(kind, Execution.NOT_RUN)], attempts=attempts)
            self.assertEqual(expected, count_breaches("doubles", observed), kind)

    def test_a_task_started_twice_is_a_double(self) -> None:
        observed = Records()
        observed.starts_by_task = {"m/1/0": 2, "m/1/1": 1}
        self.assertEqual(1, count_breaches("doubles", observed))

    def test_not_run_is_false_if_the_work_ran(self) -> None:
        self.assertEqual(1, count_breaches("false_not_run", records([refused(Kind.ONCE)], [run()])))
        self.assertEqual(0, count_breaches("false_not_run", records([refused(Kind.ONCE)])))

    def test_not_run_is_true_of_sends_before_the_send_that_ran(self) -> None:
        calls = [refused(Kind.KEYED), call(Kind.KEYED, Execution.RAN, sent_at=2.0)]
        self.assertEqual(0, count_breaches("false_not_run", records(calls, [run(at=2.1)])))
        self.assertEqual(1, count_breaches("false_not_run", records(calls, [run(at=1.1)])))

    def test_a_refused_submission_is_false_if_the_job_was_started(self) -> None:
        attempts = [Attempt("m", 1, 1, "north")]
        observed = records([refused(Kind.JOB)], attempts=attempts)
        self.assertEqual(1, count_breaches("false_not_run", observed))
        observed = records([call(Kind.JOB, Execution.NOT_RUN)], attempts=attempts)
        self.assertEqual(
            0, count_breaches("false_not_run", observed), "an accepted job has not run yet"
        )

    def test_a_job_that_ended_as_not_run_must_not_have_been_started(self) -> None:
        observed = records(
            [call(Kind.JOB, Execution.NOT_RUN)], attempts=[Attempt("m", 1, 1, "north")]
        )
        observed.job_outcomes.append(JobOutcome("m", True, Execution.NOT_RUN))
        self.assertEqual(1, count_breaches("false_not_run", observed))

    def test_an_answer_that_is_not_whole_or_without_a_run_is_wrong(self) -> None:
        good = call(Kind.ONCE, Execution.RAN)
        self.assertEqual(0, count_breaches("wrong_answers", records([good], [run()])))
        self.assertEqual(1, count_breaches("wrong_answers", records([good])))
        half = call(Kind.ONCE, Execution.RAN, whole=False)
        self.assertEqual(1, count_breaches("wrong_answers", records([half], [run()])))

    def test_a_gang_of_which_some_tasks_were_started_is_a_part_gang(self) -> None:
        for starts, expected in ((3, 1), (4, 0)):
            attempts = [Attempt("m", 1, starts, "north")]
            observed = records([call(Kind.GANG, Execution.NOT_RUN)], attempts=attempts)
            self.assertEqual(expected, count_breaches("part_gangs", observed))

    def test_an_accepted_job_that_has_not_ended_is_left(self) -> None:
        observed = records([call(Kind.JOB, Execution.NOT_RUN)])
        self.assertEqual(1, count_breaches("jobs_left", observed))
        observed.job_outcomes.append(JobOutcome("m", True, Execution.RAN))
        self.assertEqual(0, count_breaches("jobs_left", observed))


class OrderCountTest(unittest.TestCase):
    def test_a_start_after_the_allowed_time_is_late(self) -> None:
        for last, expected in ((None, 0), (9.9, 0), (10.1, 1)):
            observed = Records()
            observed.out_cutoffs.append(StartCutoff("north", 10.0, last))
            observed.leaving_cutoffs.append(StartCutoff("e1", 10.0, last))
            self.assertEqual(expected, count_breaches("starts_after_out", observed))
            self.assertEqual(expected, count_breaches("work_to_leaving_endpoint", observed))

    def test_an_unknown_outcome_during_a_planned_stop_counts_as_cut(self) -> None:
        for execution, expected in ((Execution.UNKNOWN, 1), (Execution.NOT_RUN, 0)):
            observed = records([call(Kind.ONCE, execution, sent_at=1.0, whole=False)])
            observed.planned_stops.append(Window("a1", 1.2, 2.0))
            self.assertEqual(expected, count_breaches("cut_by_planned_stop", observed))


class ConfigurationCountTest(unittest.TestCase):
    def sample(self, at: float, version: int, ready: bool = True) -> StatusSample:
        return StatusSample("a1", at, at, ready, version)

    def change(self, value: float, version: int | None, change_id: str) -> Change:
        return Change(change_id, "p", value, 1.0, 1.0, version)

    def test_a_version_that_goes_down_on_a_ready_instance_is_a_revert(self) -> None:
        for ready, expected in ((True, 1), (False, 0)):
            observed = Records()
            observed.samples += [
                self.sample(1.0, 5),
                self.sample(2.0, 4, ready),
                self.sample(3.0, 5),
            ]
            self.assertEqual(expected, count_breaches("configuration_reverts", observed))

    def test_an_accepted_change_that_is_missing_at_the_end_is_a_revert(self) -> None:
        observed = Records()
        observed.changes += [self.change(2.0, 5, "c1"), self.change(3.0, 6, "c2")]
        observed.final_values_by_profile = {"p": 3.0}
        self.assertEqual(0, count_breaches("configuration_reverts", observed))
        observed.final_values_by_profile = {"p": 2.0}
        self.assertEqual(1, count_breaches("configuration_reverts", observed))

    def test_one_version_for_two_changes_is_a_revert(self) -> None:
        observed = Records()
        observed.changes += [self.change(2.0, 5, "c1"), self.change(2.0, 5, "c2")]
        observed.final_values_by_profile = {"p": 2.0}
        self.assertEqual(1, count_breaches("configuration_reverts", observed))

    def test_a_change_that_is_not_in_force_in_time_is_slow_unless_a_fault_is_on(self) -> None:
        for faults, expected in (([], 1), ([Window("cut", 3.0, 5.0)], 0)):
            observed = Records()
            observed.changes.append(self.change(2.0, 5, "c1"))
            observed.samples += [self.sample(1.5, 4), self.sample(4.1, 4)]
            observed.faults += faults
            self.assertEqual(expected, count_breaches("slow_configuration", observed))


class RealProcessesTest(unittest.TestCase):
    def test_no_promise_is_broken_when_the_leader_is_killed(self) -> None:
        with tempfile.TemporaryDirectory() as folder, FailureSite(SMALL, Path(folder)) as site:
            failure_run = FailureRun("small", site, seed=1, seconds=1.0)
            with contextlib.redirect_stdout(io.StringIO()):
                anyio.run(failure_run.run, ["kill_leader"])
        found = {name: promise(failure_run.records) for name, promise in PROMISES.items()}
        self.assertEqual({name: [] for name in PROMISES}, found)
        self.assertIsNotNone(failure_run.records.faults[0].recovered_at, "it recovers")


if __name__ == "__main__":
    unittest.main()
