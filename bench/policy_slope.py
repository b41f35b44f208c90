"""
bench.policy_slope
~~~~~~~~~~~~~~~~~~

Measures how the scheduler's time per job grows with a data centre. Most of the data centre is busy
and every workspace has a queue; the time of the platform is not counted.
"""

import random
import time

from bench.policy_platform import Behaviour, History
from bench.policy_site import build_platform
from bench.report import emit, percentile
from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    GuaranteeName,
    JobId,
    LogIndex,
    ProfileName,
    RackId,
    Seconds,
    WorkspaceId,
)
from bulrushhollow_core.jobs import (
    JobCommand,
    JobLedger,
    JobRecord,
    ProposeCommand,
    Scheduler,
    SchedulerAction,
    SubmitJob,
)
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Guarantee,
    Profile,
    Rack,
    Resources,
    Shape,
    WorkKind,
    Workspace,
)

HOME = DataCentreId("d0")
WORKERS_PER_RACK = 18
TASKS_PER_WORKER = 24_000 / 2_900
TIMED_JOBS = 60
WORKER_CAPACITY = Resources(2, 64, 256_000)
TASK_RESOURCES = Resources(0, 6, 16_000)
GUARANTEED_SHAPE = Shape(4, Resources(1, 6, 16_000), Adjacency.RACK)
LEASE_REMAINING = Seconds(5.0)


class DecisionCostSite:
    """
    A data centre filled with gangs of CPU tasks, and a queued job in every workspace.

    :param workers: number of workers.
    :param workspaces: number of workspaces, each with a profile and every sixth with a guarantee.
    :ivar scheduler_seconds: wall-clock time that the scheduler took in the present cycle.
    """

    def __init__(self, workers: int, workspaces: int, seed: int) -> None:
        """Create the data centre, fill it, and queue one large job in every workspace."""
        self.scheduler_seconds = 0.0
        self.now = Seconds(0.0)
        self.ledger = JobLedger()
        self._index = 0
        self._profiles = [_profile(number) for number in range(workspaces)]
        configuration = _configuration(workers, self._profiles)
        self._platform = build_platform(configuration, HOME, lambda _: Behaviour(1e6), History())
        self._scheduler = Scheduler(HOME, random.Random(seed))
        self._scheduler.configure(configuration, self.now)
        self._scheduler.activate(Epoch(1), self.now)
        self.run_cycle(())
        gang_size = self._profiles[0].shape.tasks
        fill_jobs = int(workers * TASKS_PER_WORKER / gang_size)
        for number in range(fill_jobs):
            self.run_cycle((self.submission(f"fill{number}", number),))
        for number in range(workspaces):
            self.run_cycle((self.submission(f"wait{number}", number, is_large=True),))
        self.run_cycle(())

    def submission(self, name: str, number: int, is_large: bool = False) -> SubmitJob:
        """Return the submission of one job; a large one stays queued."""
        profile = self._profiles[number % len(self._profiles)]
        if is_large:
            profile = _large_profile(profile)
        return SubmitJob(JobId(name), profile, HOME)

    def run_cycle(self, commands: tuple[JobCommand, ...]) -> float:
        """Commit commands, run two platform calls, and return the scheduler's seconds."""
        self.scheduler_seconds = 0.0
        self.now = Seconds(self.now + 0.5)
        for command in commands:
            self._commit(command)
        for _ in range(2):
            started = time.perf_counter()
            call = self._scheduler.next_call(Epoch(1), LEASE_REMAINING, self.now)
            self.scheduler_seconds += time.perf_counter() - started
            answer = self._platform.call(call, self.now)
            started = time.perf_counter()
            actions = self._scheduler.platform_answered(answer, self.now)
            self.scheduler_seconds += time.perf_counter() - started
            self._perform(actions)
        return self.scheduler_seconds

    def _commit(self, command: JobCommand) -> None:
        self._index += 1
        outcome = self.ledger.apply(LogIndex(self._index), command)
        assert isinstance(outcome, JobRecord), outcome
        started = time.perf_counter()
        actions = self._scheduler.job_changed(outcome, self.now)
        self.scheduler_seconds += time.perf_counter() - started
        self._perform(actions)

    def _perform(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, ProposeCommand):
                self._commit(action.command)


def _profile(number: int) -> Profile:
    has_guarantee = number % 6 == 5
    return Profile(
        name=ProfileName(f"job{number}"),
        kind=WorkKind.JOB,
        workspace=WorkspaceId(f"team{number}"),
        idempotent=True,
        checkpointable=True,
        shape=GUARANTEED_SHAPE if has_guarantee else Shape(50, TASK_RESOURCES),
        guarantee=GuaranteeName("base") if has_guarantee else None,
    )


def _large_profile(profile: Profile) -> Profile:
    shape = Shape(WORKERS_PER_RACK, Resources(2, 64, 256_000), Adjacency.RACK)
    return Profile(
        name=ProfileName(f"{profile.name}-large"),
        kind=WorkKind.JOB,
        workspace=profile.workspace,
        idempotent=True,
        shape=shape,
    )


def _configuration(workers: int, profiles: list[Profile]) -> Configuration:
    racks = tuple(
        Rack(RackId(f"r{number}"), WORKERS_PER_RACK, WORKER_CAPACITY)
        for number in range(workers // WORKERS_PER_RACK)
    )
    guarantee = (Guarantee(GuaranteeName("base"), HOME, GUARANTEED_SHAPE, 1),)
    return Configuration(
        profiles_by_name={profile.name: profile for profile in profiles},
        workspaces_by_id={
            profile.workspace: Workspace(
                profile.workspace, guarantees=guarantee if profile.guarantee else ()
            )
            for profile in profiles
        },
        data_centres_by_id={HOME: DataCentre(HOME, racks=racks)},
    )


def emit_decision_costs(seed: int) -> None:
    """Measure and print the scheduler's time per job for data centres of several sizes."""
    for workers, workspaces in (
        (90, 20),
        (180, 40),
        (360, 80),
        (720, 160),
        (1_440, 320),
        (2_898, 630),
    ):
        site = DecisionCostSite(workers, workspaces, seed)
        durations = [
            site.run_cycle((site.submission(f"timed{number}", number),))
            for number in range(TIMED_JOBS)
        ]
        subject = f"{workers} workers, {workspaces} workspaces"
        emit("policy", seed, subject, "job_decisions_p50", percentile(durations, 0.5) * 1e3, "ms")
        emit("policy", seed, subject, "job_decisions_p95", percentile(durations, 0.95) * 1e3, "ms")
