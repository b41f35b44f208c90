import itertools
import os
import unittest
from collections import Counter
from collections.abc import Iterator

import hypothesis
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bench.policy_platform import Behaviour
from bulrushhollow_core.ids import GuaranteeName, JobId, ProfileName, RackId, Seconds, WorkspaceId
from bulrushhollow_core.jobs import JobEnd, JobState
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
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
from bulrushhollow_core.outcomes import Execution
from bulrushhollow_core.platform import TaskState
from tests.jobs_faulty_site import NORTH, FaultySite, Holder

TEAM = WorkspaceId("team")
OTHERS = WorkspaceId("others")
PAIR = Shape(2, Resources(2, 2, 2), Adjacency.RACK)
ONE = Shape(1, Resources(1, 1, 1), Adjacency.WORKER)
GUARANTEES = (
    Guarantee(GuaranteeName("pair"), NORTH, PAIR, 1),
    Guarantee(GuaranteeName("one"), NORTH, ONE, 2),
)


def make_profile(
    name: str,
    shape: Shape,
    idempotent: bool = True,
    checkpointable: bool = False,
    guarantee: str | None = None,
) -> Profile:
    return Profile(
        name=ProfileName(name),
        kind=WorkKind.JOB,
        workspace=OTHERS if guarantee is None else TEAM,
        urgency=Urgency.NORMAL if guarantee is None else Urgency.URGENT,
        idempotent=idempotent,
        checkpointable=checkpointable,
        shape=shape,
        guarantee=None if guarantee is None else GuaranteeName(guarantee),
    )


PROFILES = (
    make_profile("small", ONE, checkpointable=True),
    make_profile("plain", ONE),
    make_profile("once", ONE, idempotent=False),
    make_profile("careful", ONE, idempotent=False, checkpointable=True),
    make_profile("gang", PAIR, checkpointable=True),
    make_profile("gang-once", PAIR, idempotent=False),
    make_profile("claim-pair", PAIR, guarantee="pair"),
    make_profile("claim-one", ONE, idempotent=False, guarantee="one"),
)

CONFIGURATION = Configuration(
    profiles_by_name={profile.name: profile for profile in PROFILES},
    workspaces_by_id={TEAM: Workspace(TEAM, guarantees=GUARANTEES), OTHERS: Workspace(OTHERS)},
    data_centres_by_id={
        NORTH: DataCentre(
            NORTH,
            racks=tuple(Rack(RackId(name), 2, Resources(2, 2, 2)) for name in ("r1", "r2")),
        )
    },
)
PARTIAL_GANG_LIMIT = Seconds(20.0)
"""Seconds for which only a part of a gang may run."""

OUT_START_LIMIT = Seconds(6.0)
"""Seconds after a data centre was taken out within which tasks may still start there."""

workers = st.integers(0, 3)


class JobsMachine(RuleBasedStateMachine):
    """
    Runs submissions, faults, lost messages and operator changes in any order, and compares the
    scheduler's state and the jobs' outcomes with the tasks that the platform has run.
    """

    def __init__(self) -> None:
        super().__init__()
        self.site = FaultySite(CONFIGURATION)
        self.jobs: list[JobId] = []
        self.partial_since_by_job: dict[JobId, Seconds] = {}
        self.checked_starts = 0

    @rule(number=st.integers(0, len(PROFILES) - 1), run=st.integers(1, 30), odd=st.integers(0, 9))
    def submit(self, number: int, run: int, odd: int) -> None:
        profile = PROFILES[number]
        job = JobId(f"{profile.name}-{len(self.jobs)}")
        self.jobs.append(job)
        behaviour = Behaviour(
            run=float(run),
            tasks=profile.shape.tasks,
            idempotent=profile.idempotent,
            fails=odd == 0,
            checkpoint_fails=odd == 1,
        )
        self.site.submit(job, profile, behaviour)

    @precondition(lambda self: self.jobs)
    @rule(number=st.integers(0, 30))
    def cancel(self, number: int) -> None:
        self.site.cancel(self.jobs[number % len(self.jobs)])

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 5.0)))
    def pass_time(self, seconds: float) -> None:
        self.site.pass_time(seconds)

    @rule(seconds=st.sampled_from((1.0, 4.0, 12.0)))
    def run_smoothly(self, seconds: float) -> None:
        for _ in range(int(seconds / 0.5)):
            self.site.run_in_order(0.5)
            self.look()

    @rule(number=st.integers(0, 1))
    def send_call(self, number: int) -> None:
        self.site.send_call(self.holder(number))

    @rule(number=st.integers(0, 1), which=st.integers(0, 3), repeat=st.booleans())
    def receive_call(self, number: int, which: int, repeat: bool) -> None:
        holder = self.holder(number)
        if holder.calls:
            self.site.receive_call(holder, which % len(holder.calls), repeat)

    @rule(number=st.integers(0, 1), which=st.integers(0, 3), repeat=st.booleans())
    def receive_answer(self, number: int, which: int, repeat: bool) -> None:
        holder = self.holder(number)
        if holder.answers:
            self.site.receive_answer(holder, which % len(holder.answers), repeat)

    @rule(number=st.integers(0, 1))
    def lose_messages(self, number: int) -> None:
        holder = self.holder(number)
        holder.calls.clear()
        holder.answers.clear()

    @precondition(lambda self: self.site.proposals)
    @rule(fate=st.sampled_from(("commit", "lose", "repeat")))
    def proposal(self, fate: str) -> None:
        command = self.site.proposals.pop(0)
        if fate != "lose":
            self.site.commit(command)
        if fate == "repeat":
            self.site.proposals.append(command)

    @rule(number=st.integers(0, 1))
    def deliver_log(self, number: int) -> None:
        self.site.deliver_log(self.holder(number))

    @rule()
    def take_over(self) -> None:
        self.site.add_holder()

    @rule()
    def former_resigns(self) -> None:
        self.site.deactivate_former()

    @rule(
        number=workers,
        fault=st.sampled_from(("crash", "cut_off", "silence", "return", "bad", "good")),
    )
    def fault(self, number: int, fault: str) -> None:
        platform = self.site.platform
        worker = list(platform.workers_by_id.values())[number]
        match fault:
            case "crash" if worker.ready:
                platform.crash_worker(worker.id)
            case "cut_off" if worker.ready:
                platform.cut_off_worker(worker.id)
            case "silence" if worker.ready and not worker.cut_off:
                platform.cut_off_worker_undetected(worker.id)
            case "return":
                platform.return_worker(worker.id)
            case "bad" | "good":
                worker.fails_everything = fault == "bad"

    @rule()
    def restart_platform(self) -> None:
        self.site.platform.restart()

    @rule(service=st.sampled_from(Service))
    def set_service(self, service: Service) -> None:
        self.site.set_service(service)

    @invariant()
    def look(self) -> None:
        self.check_platform()
        self.check_gangs()
        self.check_shortfalls()

    def teardown(self) -> None:
        """
        End all faults. Each job must then end, with an outcome that is true, and each claim of a
        guarantee must start in time.
        """
        site = self.site
        site.add_holder()
        site.deactivate_former()
        site.set_service(Service.IN)
        for worker in site.platform.workers_by_id.values():
            worker.fails_everything = False
            site.platform.return_worker(worker.id)
        site.run_in_order(90.0)
        self.look()
        self.check_claims()
        for _ in range(60):
            if any(r.state is not JobState.ENDED for r in site.ledger.jobs_by_id.values()):
                site.run_in_order(30.0, step=1.0)
        self.look()
        self.check_outcomes()

    def holder(self, number: int) -> Holder:
        return self.site.holders[-1 - number % len(self.site.holders)]

    def check_platform(self) -> None:
        platform = self.site.platform
        double_starts = [v for v in platform.violations if v.kind == "double"]
        assert not double_starts, double_starts
        out_since = self.site.out_since
        new_starts = platform.starts[self.checked_starts :]
        self.checked_starts = len(platform.starts)
        if out_since is not None:
            late_tasks = [task for at, task in new_starts if at > out_since + OUT_START_LIMIT]
            assert not late_tasks, late_tasks

    def check_gangs(self) -> None:
        live_tasks = self.site.platform.live_tasks()
        attempts = {(task.job, task.attempt) for task in live_tasks}
        assert len(attempts) == len({job for job, _ in attempts}), attempts
        task_counts = Counter(task.job for task in live_tasks)
        partial_jobs = {
            job
            for job, tasks in task_counts.items()
            if tasks < self.site.behaviours[job].tasks
            and not self.has_succeeded_task(job)
            and not self.has_frozen_report(job)
        }
        self.partial_since_by_job = {
            job: self.partial_since_by_job.get(job, self.site.now) for job in partial_jobs
        }
        for job, since in self.partial_since_by_job.items():
            assert self.site.now - since <= PARTIAL_GANG_LIMIT, job

    def has_succeeded_task(self, job: JobId) -> bool:
        return any(
            task.job == job and task.state is TaskState.SUCCEEDED
            for worker in self.site.platform.workers_by_id.values()
            for task in worker.tasks_by_id.values()
        )

    def has_frozen_report(self, job: JobId) -> bool:
        """
        Return whether a worker repeats an old report with a task of the job. The scheduler can't
        detect that the task has ended until the worker sends a new report.
        """
        return any(
            task.task.startswith(f"{job}/")
            for worker in self.site.platform.workers_by_id.values()
            if worker.stale_report is not None
            for task in worker.stale_report.tasks
        )

    def check_shortfalls(self) -> None:
        """Check that the status shows a shortfall exactly if a full search finds no packing."""
        active = self.site.holder.scheduler._active
        assert active is not None
        if not active.has_synced:
            return
        free = {w.id: w.capacity.accelerators for w in active.fleet.usable_workers()}
        for run in active.gangs.runs_by_job.values():
            if run.allocation.value != "borrowed":
                for worker in run.placement:
                    free[worker] = free.get(worker, 0) - run.per_task.accelerators
        claimed = Counter(
            run.slot.guarantee for run in active.gangs.runs_by_job.values() if run.slot is not None
        )
        units = [g.shape for g in GUARANTEES for _ in range(g.count - claimed[g.name])]
        racks = {w.id: w.rack for w in active.fleet.workers_by_id.values()}
        can_pack_all = can_pack(units, free, racks)
        shortfalls = self.site.holder.scheduler.status(self.site.now).shortfalls
        assert can_pack_all == (not shortfalls), (units, free, shortfalls)

    def check_claims(self) -> None:
        """Claim all unclaimed slots of the guarantees and check that each claim starts in time."""
        site = self.site
        if site.holder.scheduler.status(site.now).shortfalls:
            return
        active = site.holder.scheduler._active
        assert active is not None
        unclaimed_guarantees = [
            guarantee.name
            for guarantee in GUARANTEES
            for _ in range(guarantee.count)
            if not any(
                r.profile.guarantee == guarantee.name for r in active.records_by_job.values()
            )
        ]
        claim_jobs = []
        for name in unclaimed_guarantees:
            profile = next(p for p in PROFILES if p.guarantee == name)
            job = JobId(f"last-{name}-{len(claim_jobs)}")
            site.submit(job, profile, Behaviour(60.0, profile.shape.tasks, profile.idempotent))
            claim_jobs.append(job)
        site.commit_all()
        for holder in site.holders:
            site.deliver_log(holder)
        site.run_in_order(6.5)
        live_tasks_by_job = Counter(task.job for task in site.platform.live_tasks())
        for job in claim_jobs:
            assert live_tasks_by_job[job] == site.behaviours[job].tasks, (job, live_tasks_by_job)

    def check_outcomes(self) -> None:
        site = self.site
        for record in site.ledger.jobs_by_id.values():
            has_run = record.job in site.history.attempts_by_job
            assert record.state is JobState.ENDED, (record, site.holder.scheduler.status(site.now))
            if record.execution is Execution.NOT_RUN:
                assert not has_run, record
            if record.execution is Execution.RAN or record.end is JobEnd.SUCCEEDED:
                assert has_run, record


def can_pack(units: list[Shape], free: dict[str, int], racks: dict[str, str]) -> bool:
    """Return whether all units fit, by trying every placement of each."""
    if not units:
        return True
    shape, other_units = units[0], units[1:]
    for placement in placements(shape, sorted(free), racks):
        remaining = dict(free)
        for worker in placement:
            remaining[worker] -= shape.per_task.accelerators
        if all(remaining[worker] >= 0 for worker in placement) and can_pack(
            other_units, remaining, racks
        ):
            return True
    return False


def placements(shape: Shape, names: list[str], racks: dict[str, str]) -> Iterator[tuple[str, ...]]:
    for placement in itertools.combinations_with_replacement(names, shape.tasks):
        if (
            shape.adjacency is not Adjacency.RACK
            or len({racks[worker] for worker in placement}) == 1
        ):
            yield placement


JobsMachineTest = JobsMachine.TestCase
STEPS = int(os.environ.get("FUZZ_STEPS", "2400"))
STEPS_PER_EXAMPLE = 60
JobsMachineTest.settings = settings(
    derandomize="FUZZ_SEED" not in os.environ,
    max_examples=max(1, STEPS // STEPS_PER_EXAMPLE),
    stateful_step_count=STEPS_PER_EXAMPLE,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if "FUZZ_SEED" in os.environ:
    hypothesis.seed(int(os.environ["FUZZ_SEED"]))(JobsMachineTest)


if __name__ == "__main__":
    unittest.main()
