"""
bulrushhollow_core.domain.placement._demands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that wait to be placed, and running work that may be evicted to free resources for them.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Host, Run
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    Resources,
    ServiceName,
    Step,
    StepRef,
    WorkerLife,
    core_equivalents,
)
from bulrushhollow_core.domain.placement._delay_cost import EvictionLoss
from bulrushhollow_core.domain.queueing import Priority
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId


class TimeBudget(NamedTuple):
    """
    The time that a demand has.

    :param left: seconds until the deadline of its job.
    :param following: seconds that the later steps of its job take.
    """

    left: Seconds
    following: Seconds


UNLIMITED_TIME = TimeBudget(Seconds(math.inf), Seconds(0.0))
"""Budget of a demand without a deadline."""

NO_LOSS = EvictionLoss(0.0, 0.0)
"""Loss of a victim while delays have no price."""

NO_WAIT = Seconds(0.0)
"""Wait of a demand that has not waited for fast workers."""


class DemandedStep(NamedTuple):
    """
    The step whose tasks wait.

    :param service: service whose workers may run the tasks.
    :param workspace: workspace whose cap limits the tasks; None for no cap.
    """

    ref: StepRef
    service: ServiceName
    step: Step
    workspace: WorkspaceId | None = None


class Standing(NamedTuple):
    """
    What a demand may claim over other work.

    :param urgency: urgency of the job; 0 is the most urgent.
    :param priority: position in the queue; lower is served first.
    :param is_guaranteed: whether the job fits into its workspace's guarantee.
    :param may_evict: whether runs may be evicted for it. False for a demand that is served after
        its victims.
    :param is_reclaiming: whether its guarantee is due, so that any victim may be evicted.
    :param delay_cost: value that its job loses by being late; None while delays have no price.
    :param is_overdue: whether it has waited beside spare capacity for so long that it starts before
        all others, wherever there is room.
    """

    urgency: int
    priority: Priority
    is_guaranteed: bool
    may_evict: bool = True
    is_reclaiming: bool = False
    delay_cost: float | None = None
    is_overdue: bool = False


class HostLimits(NamedTuple):
    """
    Which workers may run the tasks of a demand.

    :param excluded_workers: workers that must not run the tasks now: those on which the step has
        failed lately, and for its last attempt all suspect ones.
    :param allowed_workers: the only workers that may run the tasks; None for no such limit.
    :param may_leave_data_rack: whether the tasks may run outside the rack of their data.
    :param is_isolated: whether one of its tasks may crash its worker, so that it prefers empty
        workers, and other jobs' tasks are kept away from those that it uses.
    :param avoided_workers: workers that run the tasks only if no others have room for them.
    """

    excluded_workers: frozenset[WorkerLife] = frozenset()
    allowed_workers: frozenset[WorkerLife] | None = None
    may_leave_data_rack: bool = True
    is_isolated: bool = False
    avoided_workers: frozenset[WorkerLife] = frozenset()


class Timing(NamedTuple):
    """
    How long the tasks of a demand take, and how long they may.

    :param duration: seconds that one task is expected to take.
    :param budget: time until the deadline; only used on uneven fleets.
    :param waited_for_fast: seconds since it first waited for fast workers of an uneven fleet.
    """

    duration: Seconds
    budget: TimeBudget = UNLIMITED_TIME
    waited_for_fast: Seconds = NO_WAIT


class Demand:
    """
    Tasks of one step that wait to be placed.

    :param source: the step.
    :param task_indexes: indexes of the waiting tasks within the step.
    :param placed_by_worker: tasks of the step that each worker already has; counts towards the
        step's limit per worker.
    """

    def __init__(
        self,
        source: DemandedStep,
        task_indexes: Sequence[int],
        standing: Standing,
        limits: HostLimits,
        timing: Timing,
        placed_by_worker: dict[WorkerLife, int],
    ) -> None:
        """Create a demand for the given tasks of a step."""
        self.source = source
        self.task_indexes = list(task_indexes)
        self.standing = standing
        self.limits = limits
        self.timing = timing
        self.placed_by_worker = placed_by_worker

    @property
    def ref(self) -> StepRef:
        """Return the step's reference."""
        return self.source.ref

    @property
    def service(self) -> ServiceName:
        """Return the service whose workers may run the tasks."""
        return self.source.service

    @property
    def step(self) -> Step:
        """Return the step."""
        return self.source.step

    @property
    def workspace(self) -> WorkspaceId | None:
        """Return the workspace whose cap limits the tasks; None for no cap."""
        return self.source.workspace

    @property
    def core_seconds(self) -> float:
        """Return the expected work of all its tasks, in core-seconds."""
        return core_equivalents(self.step.needs) * self.timing.duration * len(self.task_indexes)

    @property
    def has_worker_constraints(self) -> bool:
        """Return whether it may use fewer workers than other demands of the same shape."""
        return (
            bool(self.limits.excluded_workers or self.limits.avoided_workers)
            or self.limits.allowed_workers is not None
            or self.step.max_per_worker > 0
        )

    def for_tasks(self, task_indexes: Sequence[int]) -> "Demand":
        """Return a demand for some of its tasks; the counts of placed tasks are kept."""
        return Demand(
            self.source,
            task_indexes,
            self.standing,
            self.limits,
            self.timing,
            dict(self.placed_by_worker),
        )

    def as_overdue(self) -> "Demand":
        """
        Return this demand as that of an overdue step, which may use the workers that it stays away
        from if no others have room.
        """
        overdue = self.for_tasks(self.task_indexes)
        overdue.limits = self.limits._replace(
            excluded_workers=frozenset(),
            avoided_workers=self.limits.excluded_workers | self.limits.avoided_workers,
        )
        overdue.standing = self.standing._replace(is_overdue=True)
        return overdue

    def max_tasks_on(self, host: Host) -> int:
        """Return how many of its tasks a host may take under the step's limit per worker."""
        if self.step.max_per_worker == 0:
            return len(self.task_indexes)
        return max(0, self.step.max_per_worker - self.placed_by_worker.get(host.life, 0))


class Victim:
    """
    Runs that are evicted together: a single run, or all runs of a gang.

    :param priority: position in the queue that their job would have; lower is served first.
    :param lost_work: core-seconds that the eviction wastes: all work of a run without checkpoints,
        or the time to restore one that has them.
    :param workspace: workspace whose cap counts the runs; None for no cap.
    :param loss: what the eviction costs the job's caller.
    """

    def __init__(
        self,
        runs: list[Run],
        urgency: int,
        priority: Priority,
        is_guaranteed: bool,
        lost_work: float,
        workspace: WorkspaceId | None = None,
        loss: EvictionLoss = NO_LOSS,
    ) -> None:
        """Create a victim and sum up what its eviction frees on each worker."""
        self.runs = runs
        self.freed_by_life: dict[WorkerLife, Resources] = {}
        """Resources that the eviction frees on each worker."""
        for run in runs:
            freed = self.freed_by_life.get(run.life)
            self.freed_by_life[run.life] = run.needs if freed is None else freed.plus(run.needs)
        self.is_chosen = False
        """Whether the current plan already evicts it."""
        self.urgency = urgency
        self.priority = priority
        self.is_guaranteed = is_guaranteed
        self.lost_work = lost_work
        self.workspace = workspace
        self.loss = loss

    @property
    def freed(self) -> Resources:
        """Return the resources that the eviction frees on all workers."""
        total = NO_RESOURCES
        for freed in self.freed_by_life.values():
            total = total.plus(freed)
        return total

    @property
    def job(self) -> JobId:
        """Return the job of its runs."""
        return self.runs[0].task.job
