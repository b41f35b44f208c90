"""
standins.domain_oracle
~~~~~~~~~~~~~~~~~~~~~~

Checks the promises of a domain against what its callers and workers observe, in virtual and in real
time.
"""

import math
from typing import Protocol

from bulrushhollow_core.domain import (
    JobState,
    ListedEnd,
    OrderStart,
    Outcome,
    Resources,
    RunNumber,
    Step,
    TaskRef,
    Work,
    WorkerLife,
)
from bulrushhollow_core.ids import JobId, Version, WorkspaceId
from standins.domain_site import TEAM
from standins.domain_workers import LiveRun, Worker

CANCEL_GRACE = 3.0
"""Seconds after an acknowledged cancel during which a task of the job may still start."""


CAP_GRACE = 2.0
"""Seconds after the acknowledgement of a lower cap during which a start that was ordered before it
may still be carried out: three attempts, each with a timeout of half a second."""

CAPACITY_GRACE = 4.5
"""Seconds for which a capacity that has shrunk may still be used: the platform's `contact-ms` of
three seconds, and a heartbeat."""

LATE_CAP_GRACE = 10.0
"""The same for an order that is carried out up to eight seconds after it has timed out."""


MAX_STARTS_AFTER_CRASHES = 2
"""Starts of a task after three workers have crashed under it; the platform's rule BUDGET."""

MIN_CRASHES_TO_GIVE_UP = 2
"""Crashes under a task from which on its job may be shown as failed, as the platform allows it."""

CRASHES_BEFORE_BUDGET = 3
"""Crashes under a task from which on its starts are limited."""


class CapRecord:
    """
    The cap of a workspace, as one version of the configuration sets it.

    :ivar replaced_at: when a later version was acknowledged.
    """

    def __init__(self, version: Version, cap: Resources, workspace: WorkspaceId) -> None:
        self.version = version
        self.cap = cap
        self.workspace = workspace
        self.replaced_at = math.inf


class World(Protocol):
    """The calls of callers and the announcements of workers up to now."""

    now: float
    work_by_job: dict[JobId, Work]
    cancelled_jobs: set[JobId]
    announced_lives: set[WorkerLife]


class Oracle:
    """
    Checks the promises at each start and each end of a run on a worker.

    :param world: the calls of callers and the announcements of workers.
    """

    def __init__(self, world: World) -> None:
        """Start without any recorded run."""
        self.world = world
        self.runs_by_task: dict[TaskRef, list[tuple[Worker, RunNumber]]] = {}
        self.done_tasks: set[TaskRef] = set()
        self.recorded_done_tasks: set[TaskRef] = set()
        self.last_start_by_task: dict[TaskRef, tuple[float, RunNumber, str]] = {}
        """Time, run and worker of the last start of each task that the scheduler could foresee."""
        self.failure_count_by_task: dict[TaskRef, int] = {}
        self.cancelled_at_by_job: dict[JobId, float] = {}
        self.violations: list[str] = []
        self.start_count = 0
        self.count_by_outcome: dict[Outcome, int] = {}
        self.caps: list[CapRecord] = []
        """Caps that have been requested; without any, the usage is not checked."""
        self.workspace_by_job: dict[JobId, WorkspaceId] = {}
        """Workspaces of the jobs that are not of the usual one."""
        self.refused_jobs: set[JobId] = set()
        self.crash_count_by_task: dict[TaskRef, int] = {}
        """Workers that each task has crashed."""
        self.loss_count_by_task: dict[TaskRef, int] = {}
        """Runs of each task that a crash ended, whatever caused it."""
        self.starts_after_crashes: dict[TaskRef, int] = {}
        self._unforeseeable_runs: set[tuple[TaskRef, RunNumber]] = set()
        """Runs in lives that the scheduler did not know of when it made its decisions."""

    def _require(self, is_kept: bool, text: str) -> None:
        """Record a violation before raising it, as the caller of the oracle may swallow errors."""
        if not is_kept:
            self.violations.append(text)
            raise AssertionError(text)

    def step(self, task: TaskRef) -> Step:
        """Return the step of a task."""
        return self.world.work_by_job[task.job].steps[task.step]

    def run_started(self, worker: Worker, order: OrderStart) -> None:
        """Check that a run may start."""
        task = order.task
        self.start_count += 1
        self._require(task.job not in self.refused_jobs, f"{task} starts though it was refused")
        work = self.world.work_by_job.get(task.job)
        self._require(work is not None, f"{task} was never submitted")
        self._require(order.spec == work.spec, f"{task} started with another spec")
        step = self.step(task)
        self._require(
            not step.required_label or step.required_label in (worker.rack, "a"),
            f"{task} runs on a worker without its required label",
        )
        other_runs = self.runs_by_task.setdefault(task, [])
        if worker.is_order_delayed and worker.life not in self.world.announced_lives:
            # The scheduler cannot know of a life that has not announced itself yet.
            other_runs.append((worker, order.run))
            self._unforeseeable_runs.add((task, order.run))
            return
        self._check_cap(worker, task)
        self._check_capacity(worker, task)
        self._check_crash_budget(worker, task)
        self._require(
            not other_runs, f"{task} runs twice: {other_runs} and {order.run} on {worker.name}"
        )
        self._require(
            task not in self.recorded_done_tasks,
            (
                f"{task} run {order.run} starts after its end was recorded, on {worker.name} in its"
                f" life {worker.life.born}, ordered for {order.life.born}, delayed"
                f" {worker.is_order_delayed}"
            ),
        )
        for dependency in step.depends_on:
            for index in range(work.steps[dependency].count):
                ref = TaskRef(task.job, task.occurrence, dependency, index)
                self._require(ref in self.done_tasks, f"{task} starts before {ref} is done")
        if step.max_per_worker:
            task_count = sum(ref[:3] == task[:3] for ref in worker.runs)
            self._require(
                task_count <= step.max_per_worker, f"{task_count} tasks of {task[:3]} on one worker"
            )
        cancelled_at = self.cancelled_at_by_job.get(task.job)
        if cancelled_at is not None and order.fence >= worker.fence:
            self._require(
                (self.world.now - cancelled_at < CANCEL_GRACE or worker.is_order_delayed),
                f"{task} starts after its job was cancelled",
            )
        other_runs.append((worker, order.run))
        self.last_start_by_task[task] = (self.world.now, order.run, worker.name)

    def _check_capacity(self, worker: Worker, task: TaskRef) -> None:
        """Check that the running and stopping tasks stay within the worker's capacity."""
        capacities = [
            worker.capacity,
            *(
                capacity
                for replaced_at, capacity in worker.earlier_capacities
                if replaced_at >= self.world.now - CAPACITY_GRACE
            ),
        ]
        used = worker.used
        for run in worker.runs.values():
            if (run.order.task, run.order.run) in self._unforeseeable_runs:
                used = used.minus(run.step.needs)
        for name in ("cpu", "memory", "accelerators"):
            limit = max(getattr(capacity, name) for capacity in capacities)
            self._require(
                getattr(used, name) <= limit,
                f"{task} raises {name} of {worker.name} to {getattr(used, name)} of {limit}",
            )

    def worker_crashed(self, worker: Worker, cause: TaskRef | None) -> None:
        """Record which runs a crash ends, and the task that caused it, if any did."""
        for task in worker.runs:
            self.loss_count_by_task[task] = self.loss_count_by_task.get(task, 0) + 1
        if cause is not None:
            self.crash_count_by_task[cause] = self.crash_count_by_task.get(cause, 0) + 1

    def _check_crash_budget(self, worker: Worker, task: TaskRef) -> None:
        crashes = self.crash_count_by_task.get(task, 0)
        if crashes < CRASHES_BEFORE_BUDGET or worker.is_order_delayed:
            return
        starts = self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
        self._require(
            starts <= MAX_STARTS_AFTER_CRASHES,
            f"{task} starts {starts} times more after {crashes} workers crashed under it",
        )

    # Caps.

    def workspace_of(self, job: JobId) -> WorkspaceId:
        """Return the workspace of a job."""
        return self.workspace_by_job.get(job, TEAM)

    def cap_requested(
        self, version: Version, cap: Resources, workspace: WorkspaceId = TEAM
    ) -> None:
        """Record that a configuration with a cap may come into force from now on."""
        self.caps.append(CapRecord(version, cap, workspace))

    def cap_acknowledged(self, version: Version) -> None:
        """Record that a version is in force, so that no earlier one is."""
        for record in self.caps:
            if record.version < version:
                record.replaced_at = min(record.replaced_at, self.world.now)

    def _caps_of(self, workspace: WorkspaceId, grace: float) -> list[Resources]:
        """Return the caps that may be in force, or were some seconds ago."""
        return [
            each.cap
            for each in self.caps
            if each.workspace == workspace and each.replaced_at >= self.world.now - grace
        ]

    def lowest_cap(self, workspace: WorkspaceId, grace: float) -> Resources:
        """Return the lowest limits that may be in force, or were some seconds ago."""
        caps = self._caps_of(workspace, grace)
        return Resources(
            *(
                min((limit for cap in caps if (limit := getattr(cap, name))), default=0)
                for name in Resources.__struct_fields__
            )
        )

    def _check_cap(self, worker: Worker, task: TaskRef) -> None:
        """Check that the running and stopping tasks stay within the highest cap in force."""
        workspace = self.workspace_of(task.job)
        grace = LATE_CAP_GRACE if worker.is_order_delayed else CAP_GRACE
        caps = self._caps_of(workspace, grace)
        if not caps:
            return
        used = Resources(0, 0, 0)
        for other in worker.pool.workers:
            for run in other.runs.values():
                is_foreseeable = (run.order.task, run.order.run) not in self._unforeseeable_runs
                if is_foreseeable and self.workspace_of(run.order.task.job) == workspace:
                    used = used.plus(run.step.needs)
        for name in ("cpu", "memory", "accelerators"):
            limits = [getattr(cap, name) for cap in caps]
            self._require(
                0 in limits or getattr(used, name) <= max(limits),
                f"{task} on {worker.name} raises {name} to {getattr(used, name)}, caps {limits}",
            )

    def run_ended(self, worker: Worker, run: LiveRun, outcome: Outcome) -> None:
        """Record that a run ended."""
        task, number = run.order.task, run.order.run
        self.runs_by_task[task] = [
            entry for entry in self.runs_by_task[task] if entry != (worker, number)
        ]
        self.count_by_outcome[outcome] = self.count_by_outcome.get(outcome, 0) + 1
        if outcome is Outcome.DONE:
            self.done_tasks.add(task)

    def end_acknowledged(self, worker: Worker, row: ListedEnd) -> None:
        """Record that the leader acknowledged an end."""
        # An end before the worker's lease expired is not binding: its task counted as lost.
        is_binding = worker.lease_expired_at < worker.ended_at_by_number[row.number]
        if row.outcome is Outcome.DONE and is_binding:
            self._record_done(row.task, worker.ended_at_by_number[row.number])
        if row.outcome is Outcome.FAILED:
            self.failure_count_by_task[row.task] = self.failure_count_by_task.get(row.task, 0) + 1

    def _record_done(self, task: TaskRef, ended_at: float) -> None:
        """
        Record that an acknowledged end completes a task; a start after the end breaks the promise,
        also if it came before the acknowledgement. The end of one member completes its gang.
        """
        step = self.step(task)
        members = range(step.count) if step.is_gang else [task.member]
        for member in (task.step_ref.task(index) for index in members):
            self.recorded_done_tasks.add(member)
            started_at, run, name = self.last_start_by_task.get(member, (-math.inf, 0, ""))
            self._require(
                started_at <= ended_at,
                f"{member} run {run} started on {name} after the recorded end of {task}",
            )

    def check_shown_state(self, job: JobId, state: JobState) -> None:
        """Check a job's state as a caller reads it."""
        work = self.world.work_by_job[job]
        if state is JobState.DONE:
            for number, step in enumerate(work.steps):
                for index in range(step.count):
                    refs = (TaskRef(job, k, number, index) for k in range(max(1, work.occurrences)))
                    missing = [ref for ref in refs if ref not in self.done_tasks]
                    is_gang_done = step.is_gang and any(
                        ref[:3] == (job, 0, number) for ref in self.done_tasks
                    )
                    self._require(
                        not missing or is_gang_done, f"{job} is shown as done without {missing}"
                    )
        if state is JobState.CANCELLED:
            self._require(
                job in self.world.cancelled_jobs, f"{job} is shown as cancelled without a cancel"
            )
        if state is JobState.FAILED:
            failed = [ref for ref in self.failure_count_by_task if ref.job == job]
            crashes = max(
                (count for ref, count in self.loss_count_by_task.items() if ref.job == job),
                default=0,
            )
            self._require(
                bool(failed) or crashes >= MIN_CRASHES_TO_GIVE_UP,
                f"{job} is shown as failed without a failure, after {crashes} crashes under a task",
            )
