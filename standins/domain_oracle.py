"""
standins.domain_oracle
~~~~~~~~~~~~~~~~~~~~~~

The promises of a domain, checked from what callers and workers see, in virtual and in real time.
"""

from typing import Protocol

from bulrushhollow_core.domain import (
    JobState,
    ListedEnd,
    OrderStart,
    Outcome,
    RunNumber,
    Step,
    TaskRef,
    Work,
    WorkerLife,
)
from bulrushhollow_core.ids import JobId
from standins.domain_workers import LiveRun, Worker

CANCEL_TIME = 3.0
"""Seconds after a cancelling was acknowledged, from which on nothing of the job may start."""


class World(Protocol):
    """What callers have done and workers have said."""

    now: float
    works: dict[JobId, Work]
    cancels: set[JobId]
    announced: set[WorkerLife]


class Oracle:
    """
    The promises, checked at each start and each end that a worker sees.

    :param world: what callers have done and workers have said.
    """

    def __init__(self, world: World) -> None:
        """Begin with nothing seen."""
        self.world = world
        self.running: dict[TaskRef, list[tuple[Worker, RunNumber]]] = {}
        self.done: set[TaskRef] = set()
        self.noted_done: set[TaskRef] = set()
        self.failures: dict[TaskRef, int] = {}
        self.cancelled_at: dict[JobId, float] = {}
        self.breaches: list[str] = []
        self.starts = 0
        self.outcomes: dict[Outcome, int] = {}

    def _require(self, is_kept: bool, text: str) -> None:
        """Keep a breach, also where the caller of this oracle swallows errors."""
        if not is_kept:
            self.breaches.append(text)
            raise AssertionError(text)

    def step(self, task: TaskRef) -> Step:
        """Return the step of a task."""
        return self.world.works[task.job].steps[task.step]

    def started(self, worker: Worker, order: OrderStart) -> None:
        """Check that a run may begin."""
        task = order.task
        self.starts += 1
        work = self.world.works.get(task.job)
        self._require(work is not None, f"{task} was never submitted")
        self._require(order.spec == work.spec, f"{task} started with another spec")
        step = self.step(task)
        self._require(
            not step.required_label or step.required_label in (worker.rack, "a"),
            f"{task} lacks its label",
        )
        others = self.running.setdefault(task, [])
        if worker.is_late and worker.life not in self.world.announced:
            # Nobody can know of a life that has not announced itself yet.
            others.append((worker, order.run))
            return
        self._require(not others, f"{task} runs twice: {others} and {order.run} on {worker.name}")
        self._require(
            task not in self.noted_done,
            (
                f"{task} run {order.run} starts after its end was recorded, on {worker.name} in its"
                f" life {worker.life.born}, ordered for {order.life.born}, late {worker.is_late}"
            ),
        )
        for earlier in step.depends_on:
            for index in range(work.steps[earlier].count):
                ref = TaskRef(task.job, task.occurrence, earlier, index)
                self._require(ref in self.done, f"{task} starts before {ref} is done")
        if step.max_per_worker:
            beside = sum(ref[:3] == task[:3] for ref in worker.runs)
            self._require(
                beside <= step.max_per_worker, f"{beside} tasks of {task[:3]} on one worker"
            )
        cancelled = self.cancelled_at.get(task.job)
        if cancelled is not None and order.fence >= worker.fence:
            self._require(
                (self.world.now - cancelled < CANCEL_TIME or worker.is_late),
                f"{task} after its cancel",
            )
        others.append((worker, order.run))

    def ended(self, worker: Worker, run: LiveRun, outcome: Outcome) -> None:
        """Note that a run is over."""
        task, number = run.order.task, run.order.run
        self.running[task] = [each for each in self.running[task] if each != (worker, number)]
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome is Outcome.DONE:
            self.done.add(task)

    def acknowledged(self, worker: Worker, row: ListedEnd) -> None:
        """Note that an end was recorded."""
        # An end before the worker's lease lapsed is not binding: its task counted as lost.
        is_binding = worker.lapsed_at < worker.ended_at[row.number]
        if row.outcome is Outcome.DONE and is_binding:
            self.noted_done.add(row.task)
        if row.outcome is Outcome.FAILED:
            self.failures[row.task] = self.failures.get(row.task, 0) + 1

    def shown(self, job: JobId, state: JobState) -> None:
        """Check what a caller is shown."""
        work = self.world.works[job]
        if state is JobState.DONE:
            for number, step in enumerate(work.steps):
                for index in range(step.count):
                    refs = (TaskRef(job, k, number, index) for k in range(max(1, work.occurrences)))
                    missing = [ref for ref in refs if ref not in self.done]
                    is_gang_done = step.is_gang and any(
                        ref[:3] == (job, 0, number) for ref in self.done
                    )
                    self._require(
                        not missing or is_gang_done, f"{job} is shown as done without {missing}"
                    )
        if state is JobState.CANCELLED:
            self._require(job in self.world.cancels, f"{job} is shown as cancelled without cause")
        if state is JobState.FAILED:
            failed = [n for ref, n in self.failures.items() if ref.job == job]
            self._require(failed, f"{job} is shown as failed without a failure")
