import unittest

import msgspec

from bench.policy_platform import Behaviour
from bench.policy_site import Site
from bulrushhollow_core.ids import (
    DataCentreId,
    GuaranteeName,
    JobId,
    LogIndex,
    ProfileName,
    RackId,
    Seconds,
    WorkerId,
    WorkspaceId,
)
from bulrushhollow_core.jobs import JobEnd, JobRecord, JobState, ProposeCommand
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Drain,
    Guarantee,
    Profile,
    Rack,
    Resources,
    Service,
    Shape,
    Urgency,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

NORTH = DataCentreId("north")
SOUTH = DataCentreId("south")
SURVEY = WorkspaceId("survey")
LABELS = WorkspaceId("labels")
ACCELERATOR = Resources(accelerators=1, cores=8, memory_mb=32_000)
WORKER = Resources(accelerators=8, cores=64, memory_mb=256_000)
GRIP = Shape(tasks=2, per_task=WORKER, adjacency=Adjacency.RACK)
GUARANTEE = GuaranteeName("grip")


def job_profile(name: str, **changes: object) -> Profile:
    profile = Profile(
        name=ProfileName(name),
        kind=WorkKind.JOB,
        workspace=LABELS,
        idempotent=True,
        shape=Shape(1, ACCELERATOR),
    )
    return msgspec.structs.replace(profile, **changes)


SMALL = job_profile("small", checkpointable=True)
CLAIM = job_profile(
    "grip", workspace=SURVEY, urgency=Urgency.URGENT, shape=GRIP, guarantee=GUARANTEE
)


def make_configuration(workers: int = 2, centres: tuple[DataCentreId, ...] = (NORTH,)):
    rack = Rack(RackId("r1"), workers, WORKER)
    guarantee = Guarantee(GUARANTEE, NORTH, GRIP)
    return Configuration(
        profiles_by_name={CLAIM.name: CLAIM, SMALL.name: SMALL},
        workspaces_by_id={
            SURVEY: Workspace(SURVEY, guarantees=(guarantee,)),
            LABELS: Workspace(LABELS),
        },
        data_centres_by_id={centre: DataCentre(centre, racks=(rack,)) for centre in centres},
    )


class SchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.behaviours: dict[JobId, Behaviour] = {}
        self.build(make_configuration())

    def build(self, configuration: Configuration) -> None:
        self.site = Site(configuration, lambda job: self.behaviours[job], seed=1)
        self.site.run_until(Seconds(1.0))

    def submit(self, name: str, profile: Profile, run: float = 100.0, **changes: object) -> JobId:
        job = JobId(name)
        self.behaviours[job] = Behaviour(
            run=run, tasks=profile.shape.tasks, idempotent=profile.idempotent, **changes
        )
        outcome = self.site.submit(job, profile)
        self.assertIsInstance(outcome, JobRecord)
        return job

    def advance(self, seconds: float) -> None:
        self.site.suspend_skipping()
        self.site.run_until(Seconds(self.site.now + seconds))

    def record(self, job: JobId) -> JobRecord:
        return self.site.ledger.jobs_by_id[job]

    def assert_no_violations(self) -> None:
        for platform in self.site.platforms_by_id.values():
            self.assertEqual(platform.violations, [])

    def live_tasks_of(self, job: JobId) -> int:
        platform = self.site.platforms_by_id[NORTH]
        return sum(task.job == job for task in platform.live_tasks())

    def test_job_runs_and_succeeds(self) -> None:
        job = self.submit("a", SMALL)
        self.advance(120.0)
        self.assertIs(self.record(job).end, JobEnd.SUCCEEDED)
        self.assertIs(self.record(job).execution, Execution.RAN)

    def test_a_refused_start_is_not_proposed_again_at_once(self) -> None:
        # bench failures, out_while_cut: the same four starts were refused some hundred times a
        # second, each with an entry in the log.
        [scheduler] = self.site.schedulers_by_id.values()
        queued = JobRecord(JobId("a"), SMALL, NORTH, LogIndex(1))
        actions = scheduler.jobs_changed([queued], self.site.now)
        refused_at: list[Seconds] = []
        for step in range(60):
            now = Seconds(self.site.now + step * 0.1)
            actions = [*actions, *scheduler.tick(now)]
            while actions:
                action = actions.pop(0)
                assert isinstance(action, ProposeCommand)
                refused_at.append(now)
                refusal = Refusal(Reason.INVALID, "refused")
                actions += scheduler.command_refused(action.command, refusal, now)
        self.assertEqual(3, len(refused_at), refused_at)

    def test_claim_preempts_borrowed_work_within_seconds(self) -> None:
        small = [self.submit(f"s{n}", SMALL, run=9_000.0) for n in range(16)]
        self.advance(300.0)
        self.assertTrue(all(self.live_tasks_of(job) for job in small))
        claim = self.submit("claim", CLAIM)
        self.advance(6.7)
        self.assertEqual(self.live_tasks_of(claim), 2)
        self.advance(110.0)
        self.assertIs(self.record(claim).end, JobEnd.SUCCEEDED)
        self.assertTrue(all(self.record(job).state is JobState.STARTED for job in small))
        self.assert_no_violations()

    def test_claim_does_not_wait_for_work_that_a_later_claim_preempts(self) -> None:
        label = job_profile("label", workspace=SURVEY, guarantee=GUARANTEE)
        configuration = make_configuration(workers=1)
        guarantee = Guarantee(GUARANTEE, NORTH, label.shape, 8)
        workspaces = {
            **configuration.workspaces_by_id,
            SURVEY: Workspace(SURVEY, guarantees=(guarantee,)),
        }
        self.build(msgspec.structs.replace(configuration, workspaces_by_id=workspaces))
        for number in range(8):
            self.submit(f"s{number}", SMALL, run=9_000.0, checkpoint_fails=True)
        self.advance(300.0)
        first = self.submit("first", label)
        self.advance(2.0)
        self.submit("second", label)
        self.advance(3.0)
        self.assertEqual(self.live_tasks_of(first), 1)
        self.assert_no_violations()

    def test_failing_checkpoints_do_not_delay_a_claim(self) -> None:
        small = [self.submit(f"s{n}", SMALL, 9_000.0, checkpoint_fails=True) for n in range(16)]
        self.advance(300.0)
        claim = self.submit("claim", CLAIM)
        self.advance(6.7)
        self.assertEqual(self.live_tasks_of(claim), 2)
        self.assertTrue(all(self.record(job).state is JobState.QUEUED for job in small))

    def test_non_preemptible_work_never_takes_guaranteed_capacity(self) -> None:
        non_preemptible = job_profile("firm", idempotent=False)
        outcome = self.site.submit(JobId("firm"), non_preemptible)
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.reason, Reason.NEVER_FITS)
        self.build(make_configuration(workers=3))
        jobs = [self.submit(f"f{n}", non_preemptible, run=900.0) for n in range(9)]
        self.advance(60.0)
        self.assertEqual(sum(self.live_tasks_of(job) for job in jobs), 8)

    def test_lost_worker_stops_the_whole_gang(self) -> None:
        job = self.submit("a", CLAIM)
        self.advance(5.0)
        worker = self.record(job).placement[0]
        self.site.platforms_by_id[NORTH].crash_worker(worker)
        self.advance(2.0)
        self.assertEqual(self.live_tasks_of(job), 0)
        self.advance(30.0)
        self.assertIs(self.record(job).state, JobState.QUEUED)
        status = self.site.schedulers_by_id[NORTH].status(self.site.now)
        self.assertEqual(status.shortfalls[0].accelerators, 16)
        self.site.platforms_by_id[NORTH].return_worker(worker)
        self.advance(5.0)
        self.assertEqual(self.live_tasks_of(job), 2)

    def test_lost_worker_ends_non_idempotent_work_as_unknown(self) -> None:
        self.build(make_configuration(workers=3))
        job = self.submit("a", job_profile("once", idempotent=False), run=500.0)
        self.advance(5.0)
        self.site.platforms_by_id[NORTH].crash_worker(self.record(job).placement[0])
        self.advance(40.0)
        self.assertIs(self.record(job).end, JobEnd.UNKNOWN)
        self.assertIs(self.record(job).reason, Reason.WORKER_LOST)

    def test_job_of_a_cut_off_worker_restarts_only_after_the_worker_lease_has_expired(self):
        self.build(make_configuration(workers=4))
        job = self.submit("a", SMALL, run=500.0)
        self.advance(5.0)
        self.site.platforms_by_id[NORTH].cut_off_worker(self.record(job).placement[0])
        for _ in range(50):
            self.advance(1.0)
            self.assertLessEqual(self.live_tasks_of(job), 1)
        self.assertEqual(self.record(job).attempt, 2)

    def test_claim_gets_other_workers_if_a_silent_worker_ignores_its_stop_orders(self) -> None:
        """A silent worker is still listed as up, but orders to it have no effect."""
        self.build(make_configuration(workers=3))
        small = [self.submit(f"s{n}", SMALL, run=9_000.0) for n in range(24)]
        self.advance(60.0)
        silent = self.record(small[0]).placement[0]
        self.site.platforms_by_id[NORTH].cut_off_worker_undetected(silent)
        claims = [self.submit("claim", CLAIM, run=60.0)]
        self.advance(14.0)
        self.assertEqual(self.live_tasks_of(claims[0]), 2)
        self.advance(50.0)
        self.assertNotIn(silent, self.record(small[0]).placement)
        self.site.platforms_by_id[NORTH].return_worker(silent)
        self.advance(200.0)
        self.assertEqual(sum(self.live_tasks_of(job) for job in small), 24)
        self.assert_no_violations()

    def test_new_lease_holder_adopts_running_jobs(self) -> None:
        claim = self.submit("claim", CLAIM)
        other = self.submit("a", SMALL, run=500.0)
        self.advance(10.0)
        self.site.take_over(NORTH)
        self.advance(120.0)
        self.assertIs(self.record(claim).end, JobEnd.SUCCEEDED)
        self.assertEqual(self.record(claim).attempt, 1)
        self.assertIsNotNone(other)

    def test_new_lease_holder_places_guarantees_beside_the_work_it_adopts(self) -> None:
        """
        The new holder places the guarantee before it adopts the running job, possibly on the same
        worker. Guards against a slot that loses its placement to the job and gets no other one.
        """
        self.build(make_configuration(workers=3))
        worker = WorkerId("north-r1-0")
        self.site.platforms_by_id[NORTH].crash_worker(worker)
        self.advance(1.0)
        job = self.submit("firm", job_profile("firm", idempotent=False), run=500.0)
        self.advance(1.0)
        self.site.platforms_by_id[NORTH].return_worker(worker)
        self.advance(5.0)
        self.assertEqual(self.record(job).placement, (worker,))
        self.site.take_over(NORTH)
        self.advance(5.0)
        self.assertEqual(self.site.schedulers_by_id[NORTH].status(self.site.now).shortfalls, ())

    def test_cancelled_job_stops(self) -> None:
        jobs = [self.submit(f"s{n}", SMALL, run=900.0) for n in range(20)]
        self.advance(5.0)
        for job in jobs:
            self.site.cancel(job)
        self.advance(3.0)
        self.assertTrue(all(self.record(job).end is JobEnd.CANCELLED for job in jobs))
        self.assertIs(self.record(jobs[-1]).execution, Execution.NOT_RUN)
        self.assertEqual(sum(self.live_tasks_of(job) for job in jobs), 0)

    def test_run_limit_ends_a_job(self) -> None:
        job = self.submit("a", job_profile("limited", run_limit=50.0), run=500.0)
        self.advance(60.0)
        self.assertIs(self.record(job).reason, Reason.RUN_LIMIT)

    def test_job_that_always_fails_ends_without_a_worker_in_quarantine(self) -> None:
        self.build(make_configuration(workers=6))
        job = self.submit("poison", SMALL, fails=True)
        self.advance(60.0)
        self.assertIs(self.record(job).end, JobEnd.FAILED)
        self.assertEqual(self.site.schedulers_by_id[NORTH].status(self.site.now).quarantined, ())

    def test_several_jobs_that_always_fail_all_end_on_a_small_site(self) -> None:
        self.build(make_configuration(workers=4))
        jobs = [self.submit(f"poison{n}", SMALL, fails=True) for n in range(3)]
        self.advance(1_500.0)
        self.assertTrue(all(self.record(job).end is JobEnd.FAILED for job in jobs))

    def test_job_that_always_fails_ends_although_other_jobs_succeed_on_its_workers(self) -> None:
        self.build(make_configuration(workers=4))
        failing = self.submit("poison", SMALL, fails=True)
        for number in range(6):
            self.submit(f"good{number}", SMALL, run=0.4)
            self.advance(1.0)
        self.advance(30.0)
        self.assertIs(self.record(failing).end, JobEnd.FAILED)

    def test_worker_on_which_everything_fails_is_quarantined_until_it_recovers(self) -> None:
        self.build(make_configuration(workers=3))
        faulty = self.site.platforms_by_id[NORTH].workers_by_id[WorkerId("north-r1-0")]
        faulty.fails_everything = True
        jobs = [self.submit(f"s{n}", SMALL, run=60.0) for n in range(12)]
        self.advance(30.0)
        scheduler = self.site.schedulers_by_id[NORTH]
        self.assertEqual(scheduler.status(self.site.now).quarantined, (faulty.id,))
        self.advance(200.0)
        self.assertTrue(all(self.record(job).end is JobEnd.SUCCEEDED for job in jobs))
        faulty.fails_everything = False
        more = [self.submit(f"t{n}", SMALL, run=2_000.0) for n in range(24)]
        self.advance(900.0)
        self.assertEqual(sum(self.live_tasks_of(job) for job in more), 24)

    def test_job_that_never_fits_is_refused(self) -> None:
        shape = Shape(3, WORKER, Adjacency.RACK)
        outcome = self.site.submit(JobId("big"), job_profile("big", shape=shape))
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.reason, Reason.NEVER_FITS)

    def test_queued_and_checkpointed_jobs_leave_a_data_centre_taken_out(self) -> None:
        configuration = make_configuration(centres=(NORTH, SOUTH))
        self.build(configuration)
        jobs = [self.submit(f"s{n}", SMALL, run=900.0) for n in range(40)]
        self.advance(20.0)
        north = msgspec.structs.replace(
            configuration.data_centres_by_id[NORTH], service=Service.OUT, drain=Drain.CHECKPOINT
        )
        centres = {**configuration.data_centres_by_id, NORTH: north}
        self.site.configure(msgspec.structs.replace(configuration, data_centres_by_id=centres))
        starts = len(self.site.platforms_by_id[NORTH].starts)
        self.advance(10.0)
        self.assertEqual(sum(self.live_tasks_of(job) for job in jobs), 0)
        self.assertEqual(len(self.site.platforms_by_id[NORTH].starts), starts)
        self.assertTrue(all(self.record(job).data_centre == SOUTH for job in jobs))
        self.site.configure(configuration)
        self.advance(3_000.0)
        self.assertTrue(all(self.record(job).end is JobEnd.SUCCEEDED for job in jobs))


if __name__ == "__main__":
    unittest.main()
