"""
bench.policy_slope
~~~~~~~~~~~~~~~~~~

Measures what one decision costs as a data centre grows: a job submitted, started and ended, with
most of the data centre busy, hundreds of workspaces with queues, and the platform not counted.
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
CYCLES = 60
WORKER = Resources(2, 64, 256_000)
TASK = Resources(0, 6, 16_000)
CLAIMED = Shape(4, Resources(1, 6, 16_000), Adjacency.RACK)
LEASE_LEFT = Seconds(5.0)


class Slope:
    """
    One data centre of some size, filled with gangs of CPU tasks.

    :param workers: number of workers.
    :param workspaces: number of workspaces, each with a profile and every sixth with a guarantee.
    """

    def __init__(self, workers: int, workspaces: int, seed: int) -> None:
        """Build and fill the data centre."""
        self.spent = 0.0
        self.now = Seconds(0.0)
        self.ledger = JobLedger()
        self._index = 0
        self._profiles = [_profile(number) for number in range(workspaces)]
        configuration = _configuration(workers, self._profiles)
        self._platform = build_platform(configuration, HOME, lambda _: Behaviour(1e6), History())
        self._scheduler = Scheduler(HOME, random.Random(seed))
        self._scheduler.configure(configuration, self.now)
        self._scheduler.activate(Epoch(1), self.now)
        self.cycle(())
        gang = self._profiles[0].shape.tasks
        count = int(workers * TASKS_PER_WORKER / gang)
        for number in range(count):
            self.cycle((self.submission(f"fill{number}", number),))
        for number in range(workspaces):
            self.cycle((self.submission(f"wait{number}", number, large=True),))
        self.cycle(())

    def submission(self, name: str, number: int, large: bool = False) -> SubmitJob:
        """Return the submission of one job; a large one fits nowhere at present."""
        profile = self._profiles[number % len(self._profiles)]
        if large:
            profile = _large(profile)
        return SubmitJob(JobId(name), profile, HOME)

    def cycle(self, commands: tuple[JobCommand, ...]) -> float:
        """Commit commands, let everything that follows happen, and return the scheduler's time."""
        self.spent = 0.0
        self.now = Seconds(self.now + 0.5)
        for command in commands:
            self._commit(command)
        for _ in range(2):
            started = time.perf_counter()
            call = self._scheduler.next_call(Epoch(1), LEASE_LEFT, self.now)
            self.spent += time.perf_counter() - started
            answer = self._platform.call(call, self.now)
            started = time.perf_counter()
            actions = self._scheduler.platform_answered(answer, self.now)
            self.spent += time.perf_counter() - started
            self._perform(actions)
        return self.spent

    def _commit(self, command: JobCommand) -> None:
        self._index += 1
        outcome = self.ledger.apply(LogIndex(self._index), command)
        assert isinstance(outcome, JobRecord), outcome
        started = time.perf_counter()
        actions = self._scheduler.job_changed(outcome, self.now)
        self.spent += time.perf_counter() - started
        self._perform(actions)

    def _perform(self, actions: list[SchedulerAction]) -> None:
        for action in actions:
            if isinstance(action, ProposeCommand):
                self._commit(action.command)


def _profile(number: int) -> Profile:
    claims = number % 6 == 5
    return Profile(
        name=ProfileName(f"job{number}"),
        kind=WorkKind.JOB,
        workspace=WorkspaceId(f"team{number}"),
        idempotent=True,
        checkpointable=True,
        shape=CLAIMED if claims else Shape(50, TASK),
        guarantee=GuaranteeName("base") if claims else None,
    )


def _large(profile: Profile) -> Profile:
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
        Rack(RackId(f"r{number}"), WORKERS_PER_RACK, WORKER)
        for number in range(workers // WORKERS_PER_RACK)
    )
    guarantee = (Guarantee(GuaranteeName("base"), HOME, CLAIMED, 1),)
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
    """Print the cost of one job's decisions at several sizes."""
    for workers, workspaces in (
        (90, 20),
        (180, 40),
        (360, 80),
        (720, 160),
        (1_440, 320),
        (2_898, 630),
    ):
        slope = Slope(workers, workspaces, seed)
        spent = [
            slope.cycle((slope.submission(f"timed{number}", number),)) for number in range(CYCLES)
        ]
        subject = f"{workers} workers, {workspaces} workspaces"
        emit("policy", seed, subject, "job_decisions_p50", percentile(spent, 0.5) * 1e3, "ms")
        emit("policy", seed, subject, "job_decisions_p95", percentile(spent, 0.95) * 1e3, "ms")
