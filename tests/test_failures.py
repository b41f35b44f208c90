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

SMALL_LAYOUT = Layout({"north": 2, "south": 1}, 3)


def make_call(kind: Kind, execution: Execution, sent_at: float = 1.0, whole: bool = True) -> Call:
    return Call("m", kind, "a1", sent_at, sent_at + 0.5, execution, whole=whole)


def make_refused_call(kind: Kind) -> Call:
    return make_call(kind, Execution.NOT_RUN, whole=False)


def make_run(at: float = 1.1) -> RequestRun:
    return RequestRun("m", at, "e1")


def make_records(
    calls: Sequence[Call] = (), runs: Sequence[RequestRun] = (), attempts: Sequence[Attempt] = ()
) -> Records:
    result = Records()
    result.calls += calls
    result.runs += runs
    result.attempts += attempts
    return result


def count_violations(promise: str, records: Records) -> int:
    return len(PROMISES[promise](records))


class WorkPromisesTest(unittest.TestCase):
    def test_a_second_run_is_a_duplicate_unless_the_work_is_idempotent(self) -> None:
        for kind, expected in ((Kind.ONCE, 1), (Kind.KEYED, 1), (Kind.IDEMPOTENT, 0)):
            records = make_records([make_call(kind, Execution.RAN)], [make_run(), make_run()])
            self.assertEqual(expected, count_violations("doubles", records), kind)

    def test_a_second_attempt_of_a_job_is_a_duplicate_unless_it_is_idempotent(self) -> None:
        attempts = [Attempt("m", 1, 1, "north"), Attempt("m", 2, 1, "south")]
        for kind, expected in ((Kind.JOB_ONCE, 1), (Kind.JOB, 0)):
            records = make_records([make_call(kind, Execution.NOT_RUN)], attempts=attempts)
            self.assertEqual(expected, count_violations("doubles", records), kind)

    def test_a_task_started_twice_is_a_duplicate(self) -> None:
        records = Records()
        records.starts_by_task = {"m/1/0": 2, "m/1/1": 1}
        self.assertEqual(1, count_violations("doubles", records))

    def test_not_run_is_false_if_the_work_ran(self) -> None:
        self.assertEqual(
            1,
            count_violations(
                "false_not_run", make_records([make_refused_call(Kind.ONCE)], [make_run()])
            ),
        )
        self.assertEqual(
            0, count_violations("false_not_run", make_records([make_refused_call(Kind.ONCE)]))
        )

    def test_not_run_is_true_for_sends_before_the_one_that_ran(self) -> None:
        calls = [make_refused_call(Kind.KEYED), make_call(Kind.KEYED, Execution.RAN, sent_at=2.0)]
        self.assertEqual(
            0, count_violations("false_not_run", make_records(calls, [make_run(at=2.1)]))
        )
        self.assertEqual(
            1, count_violations("false_not_run", make_records(calls, [make_run(at=1.1)]))
        )

    def test_a_refused_submission_is_false_if_the_job_was_started(self) -> None:
        attempts = [Attempt("m", 1, 1, "north")]
        records = make_records([make_refused_call(Kind.JOB)], attempts=attempts)
        self.assertEqual(1, count_violations("false_not_run", records))
        records = make_records([make_call(Kind.JOB, Execution.NOT_RUN)], attempts=attempts)
        self.assertEqual(
            0, count_violations("false_not_run", records), "an accepted job has not run yet"
        )

    def test_a_job_that_ended_as_not_run_must_not_have_been_started(self) -> None:
        records = make_records(
            [make_call(Kind.JOB, Execution.NOT_RUN)], attempts=[Attempt("m", 1, 1, "north")]
        )
        records.job_outcomes.append(JobOutcome("m", True, Execution.NOT_RUN))
        self.assertEqual(1, count_violations("false_not_run", records))

    def test_an_incomplete_answer_or_one_without_a_run_is_wrong(self) -> None:
        complete = make_call(Kind.ONCE, Execution.RAN)
        self.assertEqual(
            0, count_violations("wrong_answers", make_records([complete], [make_run()]))
        )
        self.assertEqual(1, count_violations("wrong_answers", make_records([complete])))
        incomplete = make_call(Kind.ONCE, Execution.RAN, whole=False)
        self.assertEqual(
            1, count_violations("wrong_answers", make_records([incomplete], [make_run()]))
        )

    def test_a_gang_with_only_some_tasks_started_is_partial(self) -> None:
        for starts, expected in ((3, 1), (4, 0)):
            attempts = [Attempt("m", 1, starts, "north")]
            records = make_records([make_call(Kind.GANG, Execution.NOT_RUN)], attempts=attempts)
            self.assertEqual(expected, count_violations("part_gangs", records))

    def test_an_accepted_job_that_has_not_ended_is_unfinished(self) -> None:
        records = make_records([make_call(Kind.JOB, Execution.NOT_RUN)])
        self.assertEqual(1, count_violations("jobs_left", records))
        records.job_outcomes.append(JobOutcome("m", True, Execution.RAN))
        self.assertEqual(0, count_violations("jobs_left", records))


class OrderPromisesTest(unittest.TestCase):
    def test_a_log_that_grows_without_load_is_a_violation(self) -> None:
        records = make_records()
        self.assertEqual(0, count_violations("idle_log_growth", records))
        records.idle_log_entries = 300
        self.assertEqual(1, count_violations("idle_log_growth", records))

    def test_a_start_after_the_allowed_time_is_a_violation(self) -> None:
        for last, expected in ((None, 0), (9.9, 0), (10.1, 1)):
            records = Records()
            records.out_cutoffs.append(StartCutoff("north", 10.0, last))
            records.leaving_cutoffs.append(StartCutoff("e1", 10.0, last))
            self.assertEqual(expected, count_violations("starts_after_out", records))
            self.assertEqual(expected, count_violations("work_to_leaving_endpoint", records))

    def test_an_unknown_outcome_during_a_planned_stop_is_a_violation(self) -> None:
        for execution, expected in ((Execution.UNKNOWN, 1), (Execution.NOT_RUN, 0)):
            records = make_records([make_call(Kind.ONCE, execution, sent_at=1.0, whole=False)])
            records.planned_stops.append(Window("a1", 1.2, 2.0))
            self.assertEqual(expected, count_violations("cut_by_planned_stop", records))


class ConfigurationPromisesTest(unittest.TestCase):
    def make_sample(self, at: float, version: int, ready: bool = True) -> StatusSample:
        return StatusSample("a1", at, at, ready, version)

    def make_change(self, value: float, version: int | None, change_id: str) -> Change:
        return Change(change_id, "p", value, 1.0, 1.0, version)

    def test_a_lower_version_on_a_ready_instance_is_a_revert(self) -> None:
        for ready, expected in ((True, 1), (False, 0)):
            records = Records()
            records.samples += [
                self.make_sample(1.0, 5),
                self.make_sample(2.0, 4, ready),
                self.make_sample(3.0, 5),
            ]
            self.assertEqual(expected, count_violations("configuration_reverts", records))

    def test_an_accepted_change_that_is_missing_at_the_end_is_a_revert(self) -> None:
        records = Records()
        records.changes += [self.make_change(2.0, 5, "c1"), self.make_change(3.0, 6, "c2")]
        records.final_values_by_profile = {"p": 3.0}
        self.assertEqual(0, count_violations("configuration_reverts", records))
        records.final_values_by_profile = {"p": 2.0}
        self.assertEqual(1, count_violations("configuration_reverts", records))

    def test_the_same_version_for_two_changes_is_a_revert(self) -> None:
        records = Records()
        records.changes += [self.make_change(2.0, 5, "c1"), self.make_change(2.0, 5, "c2")]
        records.final_values_by_profile = {"p": 2.0}
        self.assertEqual(1, count_violations("configuration_reverts", records))

    def test_a_change_that_is_in_force_late_is_slow_unless_a_fault_is_active(self) -> None:
        for faults, expected in (([], 1), ([Window("cut", 3.0, 5.0)], 0)):
            records = Records()
            records.changes.append(self.make_change(2.0, 5, "c1"))
            records.samples += [self.make_sample(1.5, 4), self.make_sample(4.1, 4)]
            records.faults += faults
            self.assertEqual(expected, count_violations("slow_configuration", records))


class RealProcessesTest(unittest.TestCase):
    def test_no_promise_is_broken_when_the_leader_is_killed(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            FailureSite(SMALL_LAYOUT, Path(folder)) as site,
        ):
            failure_run = FailureRun("small", site, seed=1, seconds=1.0)
            with contextlib.redirect_stdout(io.StringIO()):
                anyio.run(failure_run.run, ["kill_leader"])
        violations_by_promise = {
            name: promise(failure_run.records) for name, promise in PROMISES.items()
        }
        self.assertEqual({name: [] for name in PROMISES}, violations_by_promise)
        self.assertIsNotNone(failure_run.records.faults[0].recovered_at, "the site did not recover")


if __name__ == "__main__":
    unittest.main()
