"""Admission control: which submissions are refused under overload."""

import unittest

import msgspec

from bulrushhollow_core.domain import DomainSettings, Refused, Resources, Step, Submit, Work
from bulrushhollow_core.domain._call_handler import CallHandler, DeferredAnswer, ImmediateAnswer
from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain.model import (
    CancelJob,
    DrainWorker,
    EndRuns,
    Outcome,
    PutConfiguration,
    RefusalReason,
    RunEnd,
    RunNumber,
    StartRuns,
    SubmitJob,
    WallTime,
)
from bulrushhollow_core.ids import JobId, Seconds, Term, Version, WorkspaceId
from standins.domain_site import HOST, KEY, queue
from tests.test_domain_scheduler import SchedulerHarness, announcement

CHEAP = DomainSettings(stop_timeout=Seconds(0.2), restore_time=Seconds(0.1))
START = 1000.0


def work(seconds: float, tasks: int = 1, **fields: bool) -> Work:
    """Return a job whose tasks each fill the only worker; its limit is 9 times a task plus 3 s."""
    step = Step(tasks, Resources(64_000, 100, 8), Seconds(seconds), **fields)
    return Work("spec", (step,))


class AdmissionHarness(SchedulerHarness):
    """A leader with one worker."""

    def __init__(self, settings: DomainSettings = CHEAP) -> None:
        super().__init__()
        self.scheduler = Scheduler(self.state, Term(3), settings, self.now)
        self.scheduler.worker_announced(announcement(1), self.now)
        self.handler = CallHandler(settings, "leader")
        self.count = 0

    @property
    def wall(self) -> WallTime:
        return WallTime(START + self.now)

    def enqueue(self, kind: str, urgency: int, seconds: float, tasks: int) -> None:
        """Accept a job and make a plan."""
        self.count += 1
        name, team = JobId(f"load{self.count}"), WorkspaceId("team")
        job = SubmitJob(name, queue(kind, urgency), team, work(seconds, tasks), self.wall)
        self.commit([job])
        self.plan()

    def plan(self) -> None:  # type: ignore[override]
        self.now = Seconds(self.now + 0.1)
        self.scheduler.tick(self.now, self.wall)
        proposals = self.scheduler.take_proposals(self.now, self.wall)
        self.commit([each for each in proposals if isinstance(each, StartRuns)])

    def submit_call(
        self, name: str, job: Work, kind: str = "usual"
    ) -> ImmediateAnswer | DeferredAnswer:
        call = Submit(HOST, f"/{kind}/{name}", KEY, job)
        return self.handler.handle(call, self.state, self.scheduler, self.now, self.wall)

    def refusal(self, name: str, job: Work, kind: str = "usual") -> Refused | None:
        answer = self.submit_call(name, job, kind).answer
        return answer if isinstance(answer, Refused) else None


class RefusalTest(unittest.TestCase):
    def overloaded(self, tasks: int = 40, settings: DomainSettings = CHEAP) -> AdmissionHarness:
        """Return a leader with urgent work of one second per task ahead of all other work."""
        harness = AdmissionHarness(settings)
        for _ in range(2):
            harness.enqueue("urgent", 0, 1.0, tasks // 2)
        return harness

    def test_only_work_that_would_be_worthless_is_refused(self) -> None:
        harness = self.overloaded()
        refusal = harness.refusal("short", work(1.0))
        assert refusal is not None
        self.assertIs(RefusalReason.OVERLOADED, refusal.reason)
        self.assertIsNone(harness.refusal("long", work(6.0)))
        self.assertNotIn(JobId("short"), harness.state.jobs_by_id)

    def test_work_that_is_never_refused(self) -> None:
        harness = self.overloaded()
        self.assertIsNone(harness.refusal("urgent", work(0.1), "urgent"))
        self.assertIsNone(harness.refusal("lasting", work(0.1, is_long_running=True)))
        timed = msgspec.structs.replace(work(0.1), occurrences=2)
        self.assertIsNone(harness.refusal("timed", timed))

    def test_backlog_that_loses_its_value_before_its_turn_delays_nobody(self) -> None:
        # Such work is served last by then; counting it refuses jobs that would be on time.
        harness = AdmissionHarness()
        for _ in range(10):
            harness.enqueue("usual", 1, 1.0, 5)
        self.assertIsNotNone(harness.refusal("short", work(1.0)))
        self.assertIsNone(harness.refusal("slow", work(4.0), "later"))

    def test_backlog_that_its_cap_holds_back_delays_nobody(self) -> None:
        harness = self.overloaded()
        assert harness.state.configuration is not None
        [team] = harness.state.configuration.workspaces
        capped = msgspec.structs.replace(team, cap=Resources(640, 0, 0))
        limited = msgspec.structs.replace(
            harness.state.configuration, version=Version(2), workspaces=(capped,)
        )
        within_cap = Work("spec", (Step(1, Resources(640, 100, 8), Seconds(1.0)),))
        refusal = harness.refusal("a", within_cap)
        assert refusal is not None
        self.assertIs(RefusalReason.OVERLOADED, refusal.reason)
        harness.commit([PutConfiguration(limited)])
        for _ in range(3):
            harness.plan()
        self.assertIsNone(harness.refusal("b", within_cap))

    def test_nothing_is_refused_where_reclaiming_capacity_is_expensive(self) -> None:
        self.assertIsNone(self.overloaded(settings=DomainSettings()).refusal("a", work(1.0)))

    def test_nothing_is_refused_without_usable_workers(self) -> None:
        harness = self.overloaded()
        harness.commit([DrainWorker(announcement(1).life)])
        for _ in range(3):
            harness.plan()
        self.assertIsNone(harness.refusal("a", work(1.0)))
        harness.scheduler = Scheduler(harness.state, Term(4), CHEAP, harness.now)
        self.assertIsNone(harness.refusal("b", work(1.0)), "a new leader")

    def test_an_accepted_job_is_never_refused(self) -> None:
        # A refusal means that the job never runs, but its first submission may be on its way to
        # the log when it is repeated.
        harness = AdmissionHarness()
        first = harness.submit_call("a", work(1.0))
        assert isinstance(first, DeferredAnswer)
        for _ in range(2):
            harness.enqueue("urgent", 0, 1.0, 20)
        self.assertIsNotNone(harness.refusal("other", work(1.0)))
        self.assertIsNone(harness.refusal("a", work(1.0)))
        harness.commit([first.command])
        self.assertIsNone(harness.refusal("a", work(1.0)))

    def test_work_that_is_cancelled_after_the_plan_delays_nobody(self) -> None:
        # A cancelled job drops its steps, while the plan still listed it as waiting; estimating the
        # backlog then failed with an index error.
        harness = self.overloaded()
        harness.enqueue("usual", 1, 1.0, 5)
        harness.commit([CancelJob(JobId("load3"), harness.wall)])
        self.assertIsNotNone(harness.refusal("short", work(1.0)))

    def test_a_proposed_job_is_not_refused_by_a_cap_that_was_lowered_since(self) -> None:
        # The repeated call would be told that the job never runs, and the log would then accept it.
        harness = AdmissionHarness()
        first = harness.submit_call("a", work(1.0))
        assert isinstance(first, DeferredAnswer)
        assert harness.state.configuration is not None
        [team] = harness.state.configuration.workspaces
        capped = msgspec.structs.replace(team, cap=Resources(640, 0, 0))
        limited = msgspec.structs.replace(
            harness.state.configuration, version=Version(2), workspaces=(capped,)
        )
        harness.commit([PutConfiguration(limited)])
        self.assertIsNone(harness.refusal("a", work(1.0)))
        self.assertIsNotNone(harness.refusal("b", work(1.0)))

    def test_runs_of_an_ended_job_count_until_they_end(self) -> None:
        # One end completes a gang, and the job drops its steps while the other member still runs;
        # estimating the backlog then failed with an index error.
        harness = AdmissionHarness()
        gang = Step(2, Resources(32_000, 100, 4), Seconds(9.0), is_gang=True)
        team = WorkspaceId("team")
        harness.commit(
            [SubmitJob(JobId("gang"), queue("usual", 1), team, Work("spec", (gang,)), harness.wall)]
        )
        harness.plan()
        [first, _] = [task for task, _ in harness.state.active_tasks()]
        harness.commit([EndRuns((RunEnd(first, RunNumber(1), Outcome.DONE),), harness.wall)])
        for _ in range(2):
            harness.enqueue("urgent", 0, 1.0, 20)
        self.assertIsNotNone(harness.refusal("short", work(1.0)))

    def test_refusing_ends_well_below_the_limit_at_which_it_begins(self) -> None:
        # The expected ends of the three jobs are 1.03, 0.92 and 0.73 of their limits.
        harness = self.overloaded()
        beyond, between, below = work(1.9), work(2.2), work(3.0)
        self.assertIsNone(harness.refusal("a", between))
        self.assertIsNotNone(harness.refusal("b", beyond))
        self.assertIsNotNone(harness.refusal("c", between))
        self.assertIsNone(harness.refusal("d", below))
        self.assertIsNone(harness.refusal("e", between))

    def test_retries_are_bounded_and_spread(self) -> None:
        # Callers that all retry at the same moment would cause the next overload.
        for tasks, longest in ((40, 13.0), (2000, 30.0)):
            harness = self.overloaded(tasks)
            refusals = [harness.refusal(f"job{number}", work(1.0)) for number in range(50)]
            waits = [each.retry_after for each in refusals if each is not None]
            self.assertEqual(50, len(waits))
            self.assertLessEqual(max(waits), longest)
            self.assertGreater(max(waits), 1.1 * min(waits))
            self.assertLessEqual(max(waits), 1.25 * min(waits))


if __name__ == "__main__":
    unittest.main()
