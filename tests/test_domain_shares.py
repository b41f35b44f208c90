"""Fair shares of workspaces by weight: who waits when one of them asks for too much."""

import unittest

import msgspec

from bulrushhollow_core.domain import Resources, Step, Work, Workspace
from bulrushhollow_core.domain.fleet import Fleet, Run
from bulrushhollow_core.domain.model import (
    CancelJob,
    Occurrence,
    PutConfiguration,
    RunNumber,
    SubmitJob,
    TaskRef,
    WallTime,
    WorkerLife,
)
from bulrushhollow_core.domain.placement import RunningWork
from bulrushhollow_core.domain.queueing import (
    Priority,
    RateMeter,
    ShareLedger,
    guaranteed_jobs,
    priority_of,
    waiting_steps,
)
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, Version, WorkerId, WorkspaceId
from standins.domain_site import configuration, queue
from tests.test_domain_planner import make_demand, make_host, make_planner, make_run, make_victim
from tests.test_domain_scheduler import SINGLE_TASK, SchedulerHarness

URGENCY = {"urgent": 0, "usual": 1}
WALL = WallTime(1010.0)


class ShareHarness:
    """Waiting and running jobs of three workspaces on four workers; each task fills a worker."""

    def __init__(self, weights: tuple[float, ...] = (1.0, 1.0, 0.0)) -> None:
        self.state = DomainState()
        entries = zip(("burst", "steady", "unweighted"), weights, strict=True)
        workspaces = tuple(
            Workspace(WorkspaceId(name), (name,), 8, weight=weight) for name, weight in entries
        )
        settings = msgspec.structs.replace(configuration(1), workspaces=workspaces)
        self.state.apply(PutConfiguration(settings))
        self.fleet = Fleet()
        self.hosts = [make_host(f"w{number}", "r") for number in range(4)]
        self.meter = RateMeter()
        self.ledger = ShareLedger(self.meter)

    def submit(self, name: str, workspace: str, kind: str = "usual", width: int = 1) -> None:
        work = Work("spec", (Step(width, Resources(1000, 100, 8), Seconds(7.0)),))
        team, wall = WorkspaceId(workspace), WallTime(1000.0 + len(self.state.jobs_by_id))
        self.state.apply(SubmitJob(JobId(name), queue(kind, URGENCY[kind]), team, work, wall))

    def start(self, name: str) -> None:
        job = self.state.jobs_by_id[JobId(name)]
        task = TaskRef(job.id, Occurrence(0), 0, 0)
        worker = self.fleet.get_or_create(WorkerLife(WorkerId(name), 1), name, Seconds(0.0))
        run = Run(task, RunNumber(1), worker.life, job.work.steps[0].needs, Seconds(0.0))
        self.fleet.place(worker, run)
        self.ledger.record_start(job.id)

    def priorities(self) -> dict[str, Priority]:
        """Return the priorities of the waiting jobs in the order in which they are served."""
        workers = self.fleet.workers_by_life.values()
        busy = {task for worker in workers for task in worker.runs_by_task}
        waiting = waiting_steps(self.state, busy, guaranteed_jobs(self.state), WALL)
        steps = self.ledger.apply(waiting, self.state, self.fleet, self.hosts)
        return {step.job.id: step.priority for step in steps}

    def is_over_share(self, name: str) -> bool:
        """Return whether a running job is beyond its workspace's share."""
        job = self.state.jobs_by_id[JobId(name)]
        priority = priority_of(job, Occurrence(0), False, WALL)
        return self.ledger.adjust(job.id, priority).is_over_share


class ShareTest(unittest.TestCase):
    def test_a_burst_of_one_workspace_does_not_delay_the_others(self) -> None:
        harness = ShareHarness()
        for number in range(4):
            harness.submit(f"b{number}", "burst")
        harness.submit("s", "steady")
        harness.submit("u", "unweighted")
        self.assertEqual(["b0", "b1", "s", "u", "b2", "b3"], list(harness.priorities()))

    def test_the_share_of_a_workspace_without_work_is_lent(self) -> None:
        harness = ShareHarness()
        for number in range(6):
            harness.submit(f"b{number}", "burst")
        self.assertFalse(any(each.is_over_share for each in harness.priorities().values()))

    def test_work_within_a_guarantee_is_never_beyond_the_share(self) -> None:
        harness = ShareHarness()
        for number in range(3):
            harness.submit(f"b{number}", "burst")
            harness.start(f"b{number}")
        harness.submit("s", "steady")
        harness.submit("guaranteed", "burst", "urgent")
        harness.submit("beyond", "burst", "urgent")
        priorities = harness.priorities()
        self.assertEqual(["guaranteed", "beyond", "s"], list(priorities))
        self.assertFalse(priorities["guaranteed"].is_over_share)
        self.assertTrue(priorities["beyond"].is_over_share)

    def test_the_start_of_its_own_runs_changes_nothing_for_a_job(self) -> None:
        # A job that is within the share until it starts would be placed and evicted in turn.
        harness = ShareHarness()
        harness.submit("gang", "burst", width=3)
        for name in ("b0", "b1"):
            harness.submit(name, "burst")
        harness.submit("s", "steady")
        before = harness.priorities()
        self.assertTrue(before["b0"].is_over_share)
        harness.start("b0")
        harness.priorities()
        self.assertTrue(harness.is_over_share("b0"), "the gang ahead of it still waits")
        harness.start("gang")
        after = harness.priorities()
        self.assertEqual(before["gang"], after["gang"])
        self.assertFalse(harness.is_over_share("gang"))

    def test_the_order_without_weights_equals_that_of_before(self) -> None:
        harness = ShareHarness((0.0, 0.0, 0.0))
        for number in range(5):
            harness.submit(f"b{number}", "burst")
        harness.submit("s", "steady", "urgent")
        waiting = waiting_steps(harness.state, set(), set(), WALL)
        self.assertIs(
            waiting, harness.ledger.apply(waiting, harness.state, harness.fleet, harness.hosts)
        )
        self.assertFalse(any(each.is_over_share for each in harness.priorities().values()))

    def test_a_workspace_beyond_its_share_is_logged_at_most_once_a_second(self) -> None:
        harness = ShareHarness()
        for number in range(4):
            harness.submit(f"b{number}", "burst")
        harness.submit("s", "steady")
        harness.priorities()
        [event] = harness.ledger.log_changes(Seconds(10.0))
        self.assertEqual(("burst", True), (event.fields["workspace"], event.fields["exceeded"]))
        self.assertEqual([], harness.ledger.log_changes(Seconds(12.0)))


class RateTest(unittest.TestCase):
    def test_jobs_beyond_the_weight_are_served_after_others_of_their_urgency(self) -> None:
        harness = ShareHarness((0.4, 0.4, 0.0))
        for name in ("b0", "b1", "b2"):
            harness.submit(name, "burst")
            harness.meter.record_submission(JobId(name), WorkspaceId("burst"), 0.4, Seconds(0.0))
        harness.submit("s", "steady")
        self.assertEqual(["b0", "b1", "s", "b2"], list(harness.priorities()))

    def test_a_bucket_refills_at_the_weight_and_ignores_repeated_submissions(self) -> None:
        meter, team = RateMeter(), WorkspaceId("burst")
        for name, at in (("a", 0.0), ("a", 0.0), ("b", 0.0), ("c", 0.5), ("d", 4.0)):
            meter.record_submission(JobId(name), team, 0.4, Seconds(at))
        over_rate = [name for name in "abcd" if meter.is_over_rate(JobId(name))]
        self.assertEqual(["c"], over_rate)

    def test_the_leader_meters_committed_submissions_and_forgets_cancelled_jobs(self) -> None:
        harness, scheduler = ShareHarness((0.1, 0.1, 0.0)), SchedulerHarness()
        assert harness.state.configuration is not None
        limited = msgspec.structs.replace(harness.state.configuration, version=Version(2))
        team, usual = WorkspaceId("burst"), queue("usual", 1)
        submissions = [SubmitJob(JobId(n), usual, team, SINGLE_TASK, WALL) for n in ("a", "b")]
        scheduler.commit([PutConfiguration(limited), *submissions])
        meter = scheduler.scheduler._shared.rate_meter
        self.assertEqual([False, True], [meter.is_over_rate(JobId(name)) for name in ("a", "b")])
        scheduler.commit([CancelJob(JobId("b"), WALL)])
        self.assertFalse(meter.is_over_rate(JobId("b")))


class VictimTest(unittest.TestCase):
    def test_running_work_over_its_rate_is_a_victim_beyond_its_share(self) -> None:
        # A merge once dropped the share from the priorities of victims, and no test noticed.
        harness, scheduler = ShareHarness((0.1, 0.1, 0.0)), SchedulerHarness()
        assert harness.state.configuration is not None
        limited = msgspec.structs.replace(harness.state.configuration, version=Version(2))
        submissions = [
            SubmitJob(JobId(n), queue("usual", 1), WorkspaceId("burst"), SINGLE_TASK, WALL)
            for n in ("a", "b")
        ]
        scheduler.commit([PutConfiguration(limited), *submissions])
        scheduler.commit(scheduler.plan())
        running_work = RunningWork(scheduler.scheduler._shared, None, scheduler.now, WALL)
        victims = running_work.find_victims(set())
        over_share = {each.runs[0].task.job: each.priority.is_over_share for each in victims}
        self.assertEqual({"a": False, "b": True}, over_share)

    def test_of_equal_victims_the_one_beyond_its_share_is_evicted(self) -> None:
        hosts = [make_host("a", "r", free=0), make_host("b", "r", free=0)]
        victims = [make_victim([make_run(host.life.id, host)], 1, 5.0) for host in hosts]
        victims[1].priority = victims[1].priority._replace(is_over_share=True)
        plan = make_planner(hosts, victims, []).make_plan([make_demand("j", 1, 8, urgency=0)])
        self.assertEqual([victims[1]], [victim for _, victim in plan.evictions])


if __name__ == "__main__":
    unittest.main()
