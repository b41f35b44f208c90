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


class Demand:
    """
    Tasks of one step that wait to be placed.

    :param service: service whose workers may run the tasks.
    :param task_indexes: indexes of the waiting tasks within the step.
    :param urgency: urgency of the job; 0 is the most urgent.
    :param priority: position in the queue; lower is served first.
    :param is_guaranteed: whether the job fits into its workspace's guarantee.
    :param excluded_workers: workers that must not run the tasks: those on which the step failed,
        and for its last attempt all suspect ones.
    :param may_leave_data_rack: whether the tasks may run outside the rack of their data.
    :param duration: seconds that one task is expected to take.
    :param placed_by_worker: tasks of the step that each worker already has; counts towards the
        step's limit per worker.
    :param may_evict: whether runs may be evicted for it. False for a demand that is served after
        its victims.
    :param is_reclaiming: whether its guarantee is due, so that any victim may be evicted.
    :param allowed_workers: the only workers that may run the tasks; None for no such limit.
    :param workspace: workspace whose cap limits the tasks; None for no cap.
    :param time_budget: time until the deadline; only used on uneven fleets.
    :param delay_cost: value that its job loses by being late; None while delays have no price.
    :param waited_for_fast: seconds since it first waited for fast workers of an uneven fleet.
    :param is_isolated: whether one of its tasks may crash its worker, so that it prefers empty
        workers, and other jobs' tasks are kept away from those that it uses.
    """

    def __init__(
        self,
        ref: StepRef,
        service: ServiceName,
        step: Step,
        task_indexes: Sequence[int],
        urgency: int,
        priority: Priority,
        is_guaranteed: bool,
        excluded_workers: frozenset[WorkerLife],
        may_leave_data_rack: bool,
        duration: Seconds,
        placed_by_worker: dict[WorkerLife, int],
        may_evict: bool = True,
        is_reclaiming: bool = False,
        allowed_workers: frozenset[WorkerLife] | None = None,
        workspace: WorkspaceId | None = None,
        time_budget: TimeBudget = UNLIMITED_TIME,
        delay_cost: float | None = None,
        waited_for_fast: Seconds = NO_WAIT,
        is_isolated: bool = False,
    ) -> None:
        """Create a demand for the given tasks of a step."""
        self.ref = ref
        self.service = service
        self.step = step
        self.task_indexes = list(task_indexes)
        self.urgency = urgency
        self.priority = priority
        self.is_guaranteed = is_guaranteed
        self.excluded_workers = excluded_workers
        self.may_leave_data_rack = may_leave_data_rack
        self.duration = duration
        self.placed_by_worker = placed_by_worker
        self.may_evict = may_evict
        self.is_reclaiming = is_reclaiming
        self.allowed_workers = allowed_workers
        self.workspace = workspace
        self.time_budget = time_budget
        self.delay_cost = delay_cost
        self.waited_for_fast = waited_for_fast
        self.is_isolated = is_isolated

    @property
    def core_seconds(self) -> float:
        """Return the expected work of all its tasks, in core-seconds."""
        return core_equivalents(self.step.needs) * self.duration * len(self.task_indexes)

    @property
    def has_worker_constraints(self) -> bool:
        """Return whether it may use fewer workers than other demands of the same shape."""
        return (
            bool(self.excluded_workers)
            or self.allowed_workers is not None
            or self.step.max_per_worker > 0
        )

    def for_tasks(self, task_indexes: Sequence[int]) -> "Demand":
        """Return a demand for some of its tasks; the counts of placed tasks are kept."""
        return Demand(
            self.ref,
            self.service,
            self.step,
            task_indexes,
            self.urgency,
            self.priority,
            self.is_guaranteed,
            self.excluded_workers,
            self.may_leave_data_rack,
            self.duration,
            dict(self.placed_by_worker),
            self.may_evict,
            self.is_reclaiming,
            self.allowed_workers,
            self.workspace,
            self.time_budget,
            self.delay_cost,
            self.waited_for_fast,
            self.is_isolated,
        )

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
