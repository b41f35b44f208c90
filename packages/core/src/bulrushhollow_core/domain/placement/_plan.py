"""
bulrushhollow_core.domain.placement._plan
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The decisions of one planning round: which tasks start where, and which runs are stopped for them.
"""

from bulrushhollow_core.domain.model import TaskRef, WorkerLife
from bulrushhollow_core.domain.placement._demands import Demand, Victim


class Placement:
    """A task and the worker that it is assigned to."""

    def __init__(self, task: TaskRef, life: WorkerLife) -> None:
        """Create a placement of a task on a worker."""
        self.task = task
        self.life = life


class Plan:
    """
    The decisions of one planning round.

    :ivar placements: tasks to start for each demand, in the order of the demands.
    :ivar evictions: victims to stop for each demand.
    :ivar blocked: demands of which some tasks could not be placed.
    :ivar waiting_for_fast: blocked demands that wait for fast workers and use no slow ones.
    :ivar held_back: demands whose tasks may not start now because of their workspace's cap.
    :ivar is_cut_short: whether tasks were left to the next plan because this one starts enough.
    """

    def __init__(self) -> None:
        """Create an empty plan."""
        self.placements: list[tuple[Demand, list[Placement]]] = []
        self.evictions: list[tuple[Demand, Victim]] = []
        self.blocked: list[Demand] = []
        self.waiting_for_fast: list[Demand] = []
        self.held_back: list[Demand] = []
        self.is_cut_short = False
