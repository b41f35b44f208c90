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
PART_LIMIT = Seconds(20.0)
OUT_LIMIT = Seconds(6.0)

workers = st.integers(0, 3)


class JobsMachine(RuleBasedStateMachine):
    """Work, faults and operators in any order, against what the platform really ran."""

    def __init__(self) -> None:
        super().__init__()
        self.site = FaultySite(CONFIGURATION)
        self.jobs: list[JobId] = []
        self.part_since: dict[JobId, Seconds] = {}
        self.starts_seen = 0

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
            self.site.run_smoothly(0.5)
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
        self.site.take_over()

    @rule()
    def former_resigns(self) -> None:
        self.site.former_resigns()

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
                platform.silence_worker(worker.id)
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
        self.check_witness()

    def teardown(self) -> None:
        """Heal everything; all jobs must come to a true end, and every guarantee to its claim."""
        site = self.site
        site.take_over()
        site.former_resigns()
        site.set_service(Service.IN)
        for worker in site.platform.workers_by_id.values():
            worker.fails_everything = False
            site.platform.return_worker(worker.id)
        site.run_smoothly(90.0)
        self.look()
        self.check_claims()
        for _ in range(60):
            if any(r.state is not JobState.ENDED for r in site.ledger.jobs_by_id.values()):
                site.run_smoothly(30.0, step=1.0)
        self.look()
        self.check_truth()

    def holder(self, number: int) -> Holder:
        return self.site.holders[-1 - number % len(self.site.holders)]

    def check_platform(self) -> None:
        platform = self.site.platform
        doubles = [v for v in platform.violations if v.kind == "double"]
        assert not doubles, doubles
        out_since = self.site.out_since
        fresh = platform.starts[self.starts_seen :]
        self.starts_seen = len(platform.starts)
        if out_since is not None:
            late = [task for at, task in fresh if at > out_since + OUT_LIMIT]
            assert not late, late

    def check_gangs(self) -> None:
        live = self.site.platform.live_tasks()
        attempts = {(task.job, task.attempt) for task in live}
        assert len(attempts) == len({job for job, _ in attempts}), attempts
        running = Counter(task.job for task in live)
        part = {
            job
            for job, tasks in running.items()
            if tasks < self.site.behaviours[job].tasks
            and not self.has_succeeded_in_part(job)
            and not self.is_hidden(job)
        }
        self.part_since = {job: self.part_since.get(job, self.site.now) for job in part}
        for job, since in self.part_since.items():
            assert self.site.now - since <= PART_LIMIT, job

    def has_succeeded_in_part(self, job: JobId) -> bool:
        return any(
            task.job == job and task.state is TaskState.SUCCEEDED
            for worker in self.site.platform.workers_by_id.values()
            for task in worker.tasks_by_id.values()
        )

    def is_hidden(self, job: JobId) -> bool:
        """Nobody can know that part of a gang is gone while its worker's old report is repeated."""
        return any(
            task.task.startswith(f"{job}/")
            for worker in self.site.platform.workers_by_id.values()
            if worker.frozen is not None
            for task in worker.frozen.tasks
        )

    def check_witness(self) -> None:
        """The scheduler lacks a guarantee exactly if a search through all packings fails."""
        lead = self.site.holder.scheduler._lead
        assert lead is not None
        if not lead.heard:
            return
        free = {w.id: w.capacity.accelerators for w in lead.fleet.usable_workers()}
        for run in lead.gangs.runs_by_job.values():
            if run.standing.value != "borrowed":
                for worker in run.place:
                    free[worker] = free.get(worker, 0) - run.need.accelerators
        claimed = Counter(
            run.slot.guarantee for run in lead.gangs.runs_by_job.values() if run.slot is not None
        )
        units = [g.shape for g in GUARANTEES for _ in range(g.count - claimed[g.name])]
        racks = {w.id: w.rack for w in lead.fleet.workers_by_id.values()}
        possible = can_pack(units, free, racks)
        lacking = self.site.holder.scheduler.status(self.site.now).lacking
        assert possible == (not lacking), (units, free, lacking)

    def check_claims(self) -> None:
        """Whatever runs, all that is guaranteed and unclaimed starts in time once it is claimed."""
        site = self.site
        if site.holder.scheduler.status(site.now).lacking:
            return
        lead = site.holder.scheduler._lead
        assert lead is not None
        open_units = [
            guarantee.name
            for guarantee in GUARANTEES
            for _ in range(guarantee.count)
            if not any(r.profile.guarantee == guarantee.name for r in lead.records_by_job.values())
        ]
        claims = []
        for name in open_units:
            profile = next(p for p in PROFILES if p.guarantee == name)
            job = JobId(f"last-{name}-{len(claims)}")
            site.submit(job, profile, Behaviour(60.0, profile.shape.tasks, profile.idempotent))
            claims.append(job)
        site.commit_all()
        for holder in site.holders:
            site.deliver_log(holder)
        site.run_smoothly(6.5)
        live = Counter(task.job for task in site.platform.live_tasks())
        for job in claims:
            assert live[job] == site.behaviours[job].tasks, (job, live)

    def check_truth(self) -> None:
        site = self.site
        for record in site.ledger.jobs_by_id.values():
            ran = record.job in site.history.attempts_by_job
            assert record.state is JobState.ENDED, (record, site.holder.scheduler.status(site.now))
            if record.execution is Execution.NOT_RUN:
                assert not ran, record
            if record.execution is Execution.RAN or record.end is JobEnd.SUCCEEDED:
                assert ran, record


def can_pack(units: list[Shape], free: dict[str, int], racks: dict[str, str]) -> bool:
    """Try every place of every unit."""
    if not units:
        return True
    shape, rest = units[0], units[1:]
    for place in places(shape, sorted(free), racks):
        left = dict(free)
        for worker in place:
            left[worker] -= shape.per_task.accelerators
        if all(left[worker] >= 0 for worker in place) and can_pack(rest, left, racks):
            return True
    return False


def places(shape: Shape, names: list[str], racks: dict[str, str]) -> Iterator[tuple[str, ...]]:
    for place in itertools.combinations_with_replacement(names, shape.tasks):
        if shape.adjacency is not Adjacency.RACK or len({racks[worker] for worker in place}) == 1:
            yield place


JobsMachineTest = JobsMachine.TestCase
STEPS = int(os.environ.get("FUZZ_STEPS", "2400"))
LONGEST = 60
JobsMachineTest.settings = settings(
    derandomize="FUZZ_SEED" not in os.environ,
    max_examples=max(1, STEPS // LONGEST),
    stateful_step_count=LONGEST,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if "FUZZ_SEED" in os.environ:
    hypothesis.seed(int(os.environ["FUZZ_SEED"]))(JobsMachineTest)


if __name__ == "__main__":
    unittest.main()
