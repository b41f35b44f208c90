"""
bulrushhollow_core.domain._demands
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What waits for room, and what might be stopped to make some.
"""

from collections.abc import Sequence

from bulrushhollow_core.domain._configuration import ServiceName
from bulrushhollow_core.domain._fleet import Run
from bulrushhollow_core.domain._hosts import Host
from bulrushhollow_core.domain._jobs import Resources, Step, StepRef, WorkerLife
from bulrushhollow_core.ids import Seconds

ACCELERATOR_WEIGHT = 8
"""Cores that one accelerator counts as when work is compared; the platform's own figure."""


class Demand:
    """
    Tasks of one step that wait for a place.

    :param service: whose workers may run it.
    :param indexes: which of its tasks wait.
    :param urgency: of its job.
    :param is_guaranteed: whether it belongs to its workspace's guarantee.
    :param avoided: workers on which it has failed.
    :param may_leave_rack: whether it may run away from its data.
    :param duration: seconds that one of its tasks is expected to take.
    :param placed_by_worker: tasks of the step that already run, for a limit per worker.
    :param may_evict: whether runs may be stopped for it; never for one that is served after them.
    :param is_reclaiming: whether its guarantee is due, whatever is thrown away for it.
    :param allowed: the only workers that may run it; None for no such limit.
    """

    def __init__(
        self,
        ref: StepRef,
        service: ServiceName,
        step: Step,
        indexes: Sequence[int],
        urgency: int,
        is_guaranteed: bool,
        avoided: frozenset[WorkerLife],
        may_leave_rack: bool,
        duration: Seconds,
        placed_by_worker: dict[WorkerLife, int],
        may_evict: bool = True,
        is_reclaiming: bool = False,
        allowed: frozenset[WorkerLife] | None = None,
    ) -> None:
        """Name what waits."""
        self.ref = ref
        self.service = service
        self.step = step
        self.indexes = list(indexes)
        self.urgency = urgency
        self.is_guaranteed = is_guaranteed
        self.avoided = avoided
        self.may_leave_rack = may_leave_rack
        self.duration = duration
        self.placed_by_worker = placed_by_worker
        self.may_evict = may_evict
        self.is_reclaiming = is_reclaiming
        self.allowed = allowed

    @property
    def work(self) -> float:
        """Return its core-seconds."""
        return weight_of(self.step.needs) * self.duration * len(self.indexes)

    @property
    def is_particular(self) -> bool:
        """Return whether it may use fewer workers than others of its shape."""
        return bool(self.avoided) or self.allowed is not None or self.step.max_per_worker > 0

    def rest(self, indexes: Sequence[int]) -> "Demand":
        """Return a demand for some of its tasks, which counts what was placed of the others."""
        return Demand(
            self.ref,
            self.service,
            self.step,
            indexes,
            self.urgency,
            self.is_guaranteed,
            self.avoided,
            self.may_leave_rack,
            self.duration,
            dict(self.placed_by_worker),
            self.may_evict,
            self.is_reclaiming,
            self.allowed,
        )

    def limit_on(self, host: Host) -> int:
        """Return how many of its tasks a host may take by its own rules."""
        if self.step.max_per_worker == 0:
            return len(self.indexes)
        return max(0, self.step.max_per_worker - self.placed_by_worker.get(host.life, 0))


class Victim:
    """
    Runs that are stopped together: one, or a whole gang.

    :param waste: core-seconds since their last checkpoint.
    """

    def __init__(self, runs: list[Run], urgency: int, is_guaranteed: bool, waste: float) -> None:
        """Name the runs and what stopping them costs."""
        self.runs = runs
        self.rooms_by_life: dict[WorkerLife, Resources] = {}
        """What stopping them frees on each worker."""
        for run in runs:
            room = self.rooms_by_life.get(run.life)
            self.rooms_by_life[run.life] = run.needs if room is None else room.plus(run.needs)
        self.is_chosen = False
        """Whether the plan being made stops them already."""
        self.urgency = urgency
        self.is_guaranteed = is_guaranteed
        self.waste = waste


def weight_of(needs: Resources) -> float:
    """Return the cores that a task takes, its accelerators counted in."""
    return needs.cpu / 1000 + ACCELERATOR_WEIGHT * needs.accelerators
