import unittest

import msgspec

from bench.policy_platform import Behaviour
from bench.policy_site import Site
from bulrushhollow_core.ids import (
    DataCentreId,
    GuaranteeName,
    JobId,
    ProfileName,
    RackId,
    Seconds,
    WorkerId,
    WorkspaceId,
)
from bulrushhollow_core.jobs import JobEnd, JobRecord, JobState
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
CLAIMABLE = GuaranteeName("grip")


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
    "grip", workspace=SURVEY, urgency=Urgency.URGENT, shape=GRIP, guarantee=CLAIMABLE
)


def make_configuration(workers: int = 2, centres: tuple[DataCentreId, ...] = (NORTH,)):
    rack = Rack(RackId("r1"), workers, WORKER)
    guarantee = Guarantee(CLAIMABLE, NORTH, GRIP)
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

    def pass_time(self, seconds: float) -> None:
        self.site.stir()
        self.site.run_until(Seconds(self.site.now + seconds))

    def record(self, job: JobId) -> JobRecord:
        return self.site.ledger.jobs_by_id[job]

    def assert_no_violations(self) -> None:
        for platform in self.site.platforms_by_id.values():
            self.assertEqual(platform.violations, [])

    def live(self, job: JobId) -> int:
        platform = self.site.platforms_by_id[NORTH]
        return sum(task.job == job for task in platform.live_tasks())

    def test_job_runs_and_succeeds(self) -> None:
        job = self.submit("a", SMALL)
        self.pass_time(120.0)
        self.assertIs(self.record(job).end, JobEnd.SUCCEEDED)
        self.assertIs(self.record(job).execution, Execution.RAN)

    def test_claim_starts_within_seconds_although_borrowers_hold_everything(self) -> None:
        small = [self.submit(f"s{n}", SMALL, run=9_000.0) for n in range(16)]
        self.pass_time(300.0)
        self.assertTrue(all(self.live(job) for job in small))
        claim = self.submit("claim", CLAIM)
        self.pass_time(6.7)
        self.assertEqual(self.live(claim), 2)
        self.pass_time(110.0)
        self.assertIs(self.record(claim).end, JobEnd.SUCCEEDED)
        self.assertTrue(all(self.record(job).state is JobState.STARTED for job in small))
        self.assert_no_violations()

    def test_claim_does_not_wait_for_what_a_later_claim_moves_aside(self) -> None:
        label = job_profile("label", workspace=SURVEY, guarantee=CLAIMABLE)
        configuration = make_configuration(workers=1)
        guarantee = Guarantee(CLAIMABLE, NORTH, label.shape, 8)
        workspaces = {
            **configuration.workspaces_by_id,
            SURVEY: Workspace(SURVEY, guarantees=(guarantee,)),
        }
        self.build(msgspec.structs.replace(configuration, workspaces_by_id=workspaces))
        for number in range(8):
            self.submit(f"s{number}", SMALL, run=9_000.0, checkpoint_fails=True)
        self.pass_time(300.0)
        first = self.submit("first", label)
        self.pass_time(2.0)
        self.submit("second", label)
        self.pass_time(3.0)
        self.assertEqual(self.live(first), 1)
        self.assert_no_violations()

    def test_failing_checkpoints_do_not_hold_up_a_claim(self) -> None:
        small = [self.submit(f"s{n}", SMALL, 9_000.0, checkpoint_fails=True) for n in range(16)]
        self.pass_time(300.0)
        claim = self.submit("claim", CLAIM)
        self.pass_time(6.7)
        self.assertEqual(self.live(claim), 2)
        self.assertTrue(all(self.record(job).state is JobState.QUEUED for job in small))

    def test_work_that_can_not_be_preempted_never_takes_guaranteed_room(self) -> None:
        firm = job_profile("firm", idempotent=False)
        refused = self.site.submit(JobId("firm"), firm)
        assert isinstance(refused, Refusal)
        self.assertIs(refused.reason, Reason.NEVER_FITS)
        self.build(make_configuration(workers=3))
        jobs = [self.submit(f"f{n}", firm, run=900.0) for n in range(9)]
        self.pass_time(60.0)
        self.assertEqual(sum(self.live(job) for job in jobs), 8)

    def test_lost_worker_stops_the_whole_gang(self) -> None:
        idempotent = self.submit("a", CLAIM)
        self.pass_time(5.0)
        worker = self.record(idempotent).placement[0]
        self.site.platforms_by_id[NORTH].crash_worker(worker)
        self.pass_time(2.0)
        self.assertEqual(self.live(idempotent), 0)
        self.pass_time(30.0)
        self.assertIs(self.record(idempotent).state, JobState.QUEUED)
        status = self.site.schedulers_by_id[NORTH].status(self.site.now)
        self.assertEqual(status.shortfalls[0].accelerators, 16)
        self.site.platforms_by_id[NORTH].return_worker(worker)
        self.pass_time(5.0)
        self.assertEqual(self.live(idempotent), 2)

    def test_lost_worker_ends_non_idempotent_work_as_unknown(self) -> None:
        self.build(make_configuration(workers=3))
        job = self.submit("a", job_profile("once", idempotent=False), run=500.0)
        self.pass_time(5.0)
        self.site.platforms_by_id[NORTH].crash_worker(self.record(job).placement[0])
        self.pass_time(40.0)
        self.assertIs(self.record(job).end, JobEnd.UNKNOWN)
        self.assertIs(self.record(job).reason, Reason.WORKER_LOST)

    def test_cut_off_worker_keeps_its_job_from_starting_elsewhere_until_its_lease_is_over(self):
        self.build(make_configuration(workers=4))
        job = self.submit("a", SMALL, run=500.0)
        self.pass_time(5.0)
        self.site.platforms_by_id[NORTH].cut_off_worker(self.record(job).placement[0])
        for _ in range(50):
            self.pass_time(1.0)
            self.assertLessEqual(self.live(job), 1)
        self.assertEqual(self.record(job).attempt, 2)

    def test_worker_that_fell_silent_unnoticed_does_not_hold_up_a_claim_for_ever(self) -> None:
        self.build(make_configuration(workers=3))
        small = [self.submit(f"s{n}", SMALL, run=9_000.0) for n in range(24)]
        self.pass_time(60.0)
        silent = self.record(small[0]).placement[0]
        self.site.platforms_by_id[NORTH].silence_worker(silent)
        claims = [self.submit("claim", CLAIM, run=60.0)]
        self.pass_time(14.0)
        self.assertEqual(self.live(claims[0]), 2)
        self.pass_time(50.0)
        self.assertNotIn(silent, self.record(small[0]).placement)
        self.site.platforms_by_id[NORTH].return_worker(silent)
        self.pass_time(200.0)
        self.assertEqual(sum(self.live(job) for job in small), 24)
        self.assert_no_violations()

    def test_new_holder_adopts_what_runs(self) -> None:
        claim = self.submit("claim", CLAIM)
        once = self.submit("a", SMALL, run=500.0)
        self.pass_time(10.0)
        self.site.take_over(NORTH)
        self.pass_time(120.0)
        self.assertIs(self.record(claim).end, JobEnd.SUCCEEDED)
        self.assertEqual(self.record(claim).attempt, 1)
        self.assertIsNotNone(once)

    def test_new_holder_finds_room_for_a_guarantee_beside_the_work_it_adopts(self) -> None:
        self.build(make_configuration(workers=3))
        first = WorkerId("north-r1-0")
        self.site.platforms_by_id[NORTH].crash_worker(first)
        self.pass_time(1.0)
        firm = self.submit("firm", job_profile("firm", idempotent=False), run=500.0)
        self.pass_time(1.0)
        self.site.platforms_by_id[NORTH].return_worker(first)
        self.pass_time(5.0)
        self.assertEqual(self.record(firm).placement, (first,))
        self.site.take_over(NORTH)
        self.pass_time(5.0)
        self.assertEqual(self.site.schedulers_by_id[NORTH].status(self.site.now).shortfalls, ())

    def test_cancelled_job_stops(self) -> None:
        jobs = [self.submit(f"s{n}", SMALL, run=900.0) for n in range(20)]
        self.pass_time(5.0)
        for job in jobs:
            self.site.cancel(job)
        self.pass_time(3.0)
        self.assertTrue(all(self.record(job).end is JobEnd.CANCELLED for job in jobs))
        self.assertIs(self.record(jobs[-1]).execution, Execution.NOT_RUN)
        self.assertEqual(sum(self.live(job) for job in jobs), 0)

    def test_run_limit_ends_a_job(self) -> None:
        job = self.submit("a", job_profile("limited", run_limit=50.0), run=500.0)
        self.pass_time(60.0)
        self.assertIs(self.record(job).reason, Reason.RUN_LIMIT)

    def test_job_that_always_fails_ends_and_takes_no_worker_with_it(self) -> None:
        self.build(make_configuration(workers=6))
        job = self.submit("poison", SMALL, fails=True)
        self.pass_time(60.0)
        self.assertIs(self.record(job).end, JobEnd.FAILED)
        self.assertEqual(self.site.schedulers_by_id[NORTH].status(self.site.now).quarantined, ())

    def test_several_jobs_that_always_fail_all_end_on_a_small_site(self) -> None:
        self.build(make_configuration(workers=4))
        jobs = [self.submit(f"poison{n}", SMALL, fails=True) for n in range(3)]
        self.pass_time(1_500.0)
        self.assertTrue(all(self.record(job).end is JobEnd.FAILED for job in jobs))

    def test_job_fails_again_after_its_first_worker_succeeded_with_another(self) -> None:
        self.build(make_configuration(workers=4))
        bad = self.submit("poison", SMALL, fails=True)
        for number in range(6):
            self.submit(f"good{number}", SMALL, run=0.4)
            self.pass_time(1.0)
        self.pass_time(30.0)
        self.assertIs(self.record(bad).end, JobEnd.FAILED)

    def test_worker_on_which_everything_fails_is_quarantined_and_brought_back(self) -> None:
        self.build(make_configuration(workers=3))
        bad = self.site.platforms_by_id[NORTH].workers_by_id[WorkerId("north-r1-0")]
        bad.fails_everything = True
        jobs = [self.submit(f"s{n}", SMALL, run=60.0) for n in range(12)]
        self.pass_time(30.0)
        scheduler = self.site.schedulers_by_id[NORTH]
        self.assertEqual(scheduler.status(self.site.now).quarantined, (bad.id,))
        self.pass_time(200.0)
        self.assertTrue(all(self.record(job).end is JobEnd.SUCCEEDED for job in jobs))
        bad.fails_everything = False
        more = [self.submit(f"t{n}", SMALL, run=2_000.0) for n in range(24)]
        self.pass_time(900.0)
        self.assertEqual(sum(self.live(job) for job in more), 24)

    def test_job_that_fits_nowhere_is_refused(self) -> None:
        shape = Shape(3, WORKER, Adjacency.RACK)
        outcome = self.site.submit(JobId("big"), job_profile("big", shape=shape))
        assert isinstance(outcome, Refusal)
        self.assertIs(outcome.reason, Reason.NEVER_FITS)

    def test_data_centre_out_moves_queue_and_checkpointed_work(self) -> None:
        configuration = make_configuration(centres=(NORTH, SOUTH))
        self.build(configuration)
        jobs = [self.submit(f"s{n}", SMALL, run=900.0) for n in range(40)]
        self.pass_time(20.0)
        north = msgspec.structs.replace(
            configuration.data_centres_by_id[NORTH], service=Service.OUT, drain=Drain.CHECKPOINT
        )
        centres = {**configuration.data_centres_by_id, NORTH: north}
        self.site.configure(msgspec.structs.replace(configuration, data_centres_by_id=centres))
        starts = len(self.site.platforms_by_id[NORTH].starts)
        self.pass_time(10.0)
        self.assertEqual(sum(self.live(job) for job in jobs), 0)
        self.assertEqual(len(self.site.platforms_by_id[NORTH].starts), starts)
        self.assertTrue(all(self.record(job).data_centre == SOUTH for job in jobs))
        self.site.configure(configuration)
        self.pass_time(3_000.0)
        self.assertTrue(all(self.record(job).end is JobEnd.SUCCEEDED for job in jobs))


if __name__ == "__main__":
    unittest.main()
