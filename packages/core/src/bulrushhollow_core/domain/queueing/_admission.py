"""
bulrushhollow_core.domain.queueing._admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission control: whether a submitted job could still end before its result loses all value. A job
that can't is refused at once, so that its caller learns it without waiting.
"""

import bisect
import zlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Fleet, Host, Worker
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    ConfigurationIndex,
    DomainSettings,
    Job,
    Occurrence,
    QueueName,
    Resources,
    ServiceName,
    StepRef,
    SubmitJob,
    WallTime,
    core_equivalents,
    total_of,
)
from bulrushhollow_core.domain.queueing._queueing import (
    WORTHLESS_FACTOR,
    Priority,
    WaitingStep,
    critical_path_duration,
    priority_of,
)
from bulrushhollow_core.domain.queueing._shares import RateMeter, dominant_share
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

RESUME_RATIO = 0.8
"""Expected end relative to the limit at which refusing ends; it begins at 1. Without the gap each
run that ends would turn one refusal into an acceptance and back."""

MIN_RETRY_AFTER = Seconds(1.0)
"""Shortest time that a refused caller is told to wait; the answer states whole seconds."""

MAX_RETRY_AFTER = Seconds(30.0)
"""Longest time that a refused caller is told to wait. An overload may end earlier than expected."""

RETRY_SPREAD = 0.25
"""Part of the waiting time by which the retries of refused callers are spread."""

MIN_USED_SHARE = 0.8
"""Share of the binding resource that must be in use for a refusal. If more is free, what waits is
held back by something else, such as a cap or a label, and the backlog tells nothing."""

NEXT_SEQUENCE = 2**62
"""Position of a job that is not accepted yet; after all accepted ones."""


class WorkAmount(NamedTuple):
    """Resources over time, for each that may bind; over one second it is a capacity."""

    core_equivalents: float
    cpu: float
    memory: float
    accelerators: float

    def plus(self, needs: Resources, seconds: float) -> "WorkAmount":
        """Return this work and that of a task, or of several tasks by their total seconds."""
        return WorkAmount(
            self.core_equivalents + core_equivalents(needs) * seconds,
            self.cpu + needs.cpu * seconds,
            self.memory + needs.memory * seconds,
            self.accelerators + needs.accelerators * seconds,
        )

    def seconds_on(self, capacity: "WorkAmount") -> float:
        """Return the seconds that a capacity needs for it; a resource of 0 has no limit."""
        # Written out, since this runs for each waiting step.
        return max(
            self.core_equivalents / capacity.core_equivalents if capacity.core_equivalents else 0.0,
            self.cpu / capacity.cpu if capacity.cpu else 0.0,
            self.memory / capacity.memory if capacity.memory else 0.0,
            self.accelerators / capacity.accelerators if capacity.accelerators else 0.0,
        )


NO_WORK = WorkAmount(0.0, 0.0, 0.0, 0.0)
"""The zero of :class:`WorkAmount`."""


class Refusal(NamedTuple):
    """
    Why a job is refused.

    :param expected_end: seconds from now at which it could end at the earliest.
    :param limit: seconds from now after which its result has no value.
    """

    expected_end: Seconds
    limit: Seconds
    retry_after: Seconds


class RemainingRun(NamedTuple):
    """
    A run that takes resources of a service.

    :param remaining: seconds until its expected end.
    """

    workspace: WorkspaceId | None
    needs: Resources
    remaining: Seconds


class Backlog:
    """
    The work of one service as of one plan: when each position of its queue could start at the
    earliest.

    The estimate is a lower bound: all work before a position, less what may still run when the job
    starts, divided by the capacity. Work that does not delay others is left out.

    :param capacity: resources of the usable workers of the service.
    :param used: resources that runs take there.
    :param running: these runs, except long-running ones.
    :param waiting: steps that wait for these workers, in any order.
    :param index: configuration in force.
    :param wall: when the plan was made.
    """

    def __init__(
        self,
        capacity: Resources,
        used: Resources,
        running: Iterable[RemainingRun],
        waiting: Iterable[WaitingStep],
        index: ConfigurationIndex,
        wall: WallTime,
    ) -> None:
        """Compute the earliest start for each position."""
        self._priorities: list[Priority] = []
        self._starts: list[Seconds] = []
        self._index = index
        self._capacity = NO_WORK.plus(capacity, 1.0)
        self._work = NO_WORK
        self._work_by_workspace: dict[WorkspaceId | None, WorkAmount] = {}
        self.is_full = dominant_share(used, capacity) >= MIN_USED_SHARE
        if not self.is_full:
            return
        steps = [step for step in waiting if may_use_any_worker(step, index)]
        self._longest = max(
            (step.job.work.steps[step.ref.step].estimate for step in steps), default=0.0
        )
        for run in running:
            # The rest of a longer run may still be running when a waiting job starts.
            self._add(run.workspace, run.needs, min(run.remaining, self._longest))
        for step in sorted(steps, key=lambda step: step.priority):
            before = self._work.seconds_on(self._capacity)
            start = Seconds(max(0.0, before - self._longest))
            if self._delays_others(step, before, WallTime(wall + start)):
                self._priorities.append(step.priority)
                self._starts.append(start)
                task = step.job.work.steps[step.ref.step]
                self._add(step.job.workspace, task.needs, task.estimate * len(step.task_indexes))
        final_start = self._work.seconds_on(self._capacity) - self._longest
        self._starts.append(Seconds(max(0.0, final_start)))

    def earliest_start(self, priority: Priority) -> Seconds:
        """Return the seconds from the plan until a job of a priority could start."""
        if not self.is_full:
            return Seconds(0.0)
        return self._starts[bisect.bisect_left(self._priorities, priority)]

    def _add(self, workspace: WorkspaceId | None, needs: Resources, seconds: float) -> None:
        self._work = self._work.plus(needs, seconds)
        if self._index.cap_of(workspace) != NO_RESOURCES:
            own_work = self._work_by_workspace.get(workspace, NO_WORK)
            self._work_by_workspace[workspace] = own_work.plus(needs, seconds)

    def _delays_others(self, step: WaitingStep, before: float, start: WallTime) -> bool:
        """
        Return whether a step takes room from later ones: it still has value at its start, and the
        cap of its workspace does not hold it back for longer than the work before it lasts.

        :param before: seconds that the work before it lasts.
        """
        if start > latest_start(step.job, step.ref.occurrence):
            return False
        own_work = self._work_by_workspace.get(step.job.workspace)
        if own_work is None:
            return True
        cap = NO_WORK.plus(self._index.cap_of(step.job.workspace), 1.0)
        return own_work.seconds_on(cap) <= before


class _PlannedQueue(NamedTuple):
    """
    What a plan left waiting.

    :param waiting: steps with the tasks that were not placed.
    """

    hosts: Sequence[Host]
    waiting: Sequence[WaitingStep]
    now: Seconds
    wall: WallTime


class AdmissionController:
    """
    Decides whether a submission is refused because of overload.

    :param state: replicated state.
    :param fleet: the leader's view of the workers.
    """

    def __init__(
        self, state: DomainState, settings: DomainSettings, fleet: Fleet, rate_meter: RateMeter
    ) -> None:
        """Start without any plan; before the first one nothing is refused."""
        self._state = state
        self._settings = settings
        self._fleet = fleet
        self._rate_meter = rate_meter
        self._planned: _PlannedQueue | None = None
        self._backlogs_by_service: dict[ServiceName, Backlog] = {}
        """Backlogs as of the latest plan; each is computed for the first submission after it."""
        self._refusing: set[tuple[QueueName, WorkspaceId | None]] = set()
        """Queues and workspaces whose latest submission was refused."""
        self._proposed_jobs: set[JobId] = set()

    # Changes.

    def record_plan(
        self,
        hosts: Sequence[Host],
        waiting: Iterable[WaitingStep],
        placed_by_step: Mapping[StepRef, int],
        now: Seconds,
        wall: WallTime,
    ) -> None:
        """
        Record what a plan left waiting, unless admission control is not active.

        :param hosts: usable workers.
        :param waiting: steps that waited before the plan.
        :param placed_by_step: number of tasks that the plan placed.
        """
        if not self._settings.is_reclaim_cheap:
            return
        remaining = [
            step._replace(task_indexes=step.task_indexes[placed_by_step.get(step.ref, 0) :])
            for step in waiting
            if placed_by_step.get(step.ref, 0) < len(step.task_indexes)
        ]
        self._backlogs_by_service = {}
        self._planned = _PlannedQueue(hosts, remaining, now, wall)

    def clear_plan(self) -> None:
        """Refuse nothing until the next plan with usable workers leaves tasks waiting."""
        self._planned = None
        self._backlogs_by_service = {}
        self._refusing.clear()

    def record_proposal(self, job: JobId) -> None:
        """Record that a job is accepted as soon as the log commits it."""
        self._proposed_jobs.add(job)

    def is_proposed(self, job: JobId) -> bool:
        """Return whether a job is accepted as soon as the log commits it."""
        return job in self._proposed_jobs

    def record_commit(self, job: JobId) -> None:
        """Record that the log has committed a job."""
        self._proposed_jobs.discard(job)

    # Decisions.

    def find_refusal(self, command: SubmitJob, now: Seconds) -> Refusal | None:
        """Return why a submission is refused, or None if it is accepted."""
        planned = self._planned
        if planned is None or self._is_exempt(command):
            return None
        job = Job(
            command.id,
            command.queue,
            command.workspace,
            command.work,
            command.submitted_at,
            NEXT_SEQUENCE,
        )
        critical_path = critical_path_duration(job)
        limit = Seconds(latest_start(job, Occurrence(0)) - job.submitted_at + critical_path)
        start = self._earliest_start(job, planned, now)
        expected_end = Seconds(start + critical_path)
        key = (job.queue.name, job.workspace)
        # A job that could start at once is not late because of the load.
        is_overload = start > 0 and expected_end > limit * (
            RESUME_RATIO if key in self._refusing else 1.0
        )
        if not is_overload:
            self._refusing.discard(key)
            return None
        self._refusing.add(key)
        retry_after = _retry_after(job.id, Seconds(expected_end - RESUME_RATIO * limit))
        return Refusal(expected_end, limit, retry_after)

    def _is_exempt(self, command: SubmitJob) -> bool:
        """Return whether a job is accepted under any load. All guaranteed jobs are urgent."""
        return (
            command.queue.urgency == 0
            or command.work.occurrences > 0
            or any(step.is_long_running for step in command.work.steps)
        )

    def _earliest_start(self, job: Job, planned: _PlannedQueue, now: Seconds) -> Seconds:
        """Return the seconds from now until a job could start at the earliest."""
        index = self._state.configuration_index
        if index is None:
            return Seconds(0.0)
        weight = index.weight_of(job.workspace)
        priority = priority_of(job, Occurrence(0), False, job.submitted_at)._replace(
            is_over_share=self._rate_meter.would_exceed_rate(job.workspace, weight, now)
        )
        backlog = self._backlog_of(job.queue.service, index, planned, now)
        return Seconds(max(0.0, backlog.earliest_start(priority) - (now - planned.now)))

    def _backlog_of(
        self, service: ServiceName, index: ConfigurationIndex, planned: _PlannedQueue, now: Seconds
    ) -> Backlog:
        if service not in self._backlogs_by_service:
            workers = [
                worker
                for host in planned.hosts
                if host.service == service and (worker := self._fleet.get(host.life)) is not None
            ]
            self._backlogs_by_service[service] = Backlog(
                total_of((worker.capacity, 1) for worker in workers),
                total_of((worker.capacity.minus(worker.free), 1) for worker in workers),
                (run for worker in workers for run in self._running_on(worker, now)),
                # A job that was cancelled or has failed since the plan has dropped its steps.
                [
                    step
                    for step in planned.waiting
                    if not step.job.has_ended and service_of(step.job, index) == service
                ],
                index,
                planned.wall,
            )
        return self._backlogs_by_service[service]

    def _running_on(self, worker: Worker, now: Seconds) -> Iterator[RemainingRun]:
        for run in worker.runs_by_task.values():
            job = self._state.jobs_by_id.get(run.task.job)
            # An ended job has no steps any more, while its last runs still take resources.
            steps = job.work.steps if job is not None else ()
            if job is not None and not (steps and steps[run.task.step].is_long_running):
                remaining = Seconds(max(0.0, run.remaining(now)))
                yield RemainingRun(job.workspace, run.needs, remaining)


def latest_start(job: Job, occurrence: Occurrence) -> WallTime:
    """Return the latest start of an occurrence whose result still has value."""
    critical_path = critical_path_duration(job)
    objective = job.queue.slack_factor * critical_path + job.queue.slo
    return WallTime(job.due_at(occurrence) + WORTHLESS_FACTOR * objective - critical_path)


def service_of(job: Job, index: ConfigurationIndex) -> ServiceName:
    """Return the service whose workers run a job by the configuration in force."""
    return index.current_queue(job.queue).service


def may_use_any_worker(step: WaitingStep, index: ConfigurationIndex) -> bool:
    """
    Return whether a waiting step has an end and may use any worker of its service. Other steps may
    wait for a few workers while the rest has room.
    """
    task = step.job.work.steps[step.ref.step]
    queue = index.current_queue(step.job.queue)
    is_limited = bool(task.required_label) or task.max_per_worker > 0 or queue.needs_advice
    return not is_limited and not task.is_long_running


def _retry_after(job: JobId, wait: Seconds) -> Seconds:
    """Return the waiting time, spread by a hash of the job's id, so that retries don't coincide."""
    spread = 1 + RETRY_SPREAD * (zlib.crc32(job.encode()) / 2**32)
    longest = MAX_RETRY_AFTER / (1 + RETRY_SPREAD)
    return Seconds(min(longest, max(MIN_RETRY_AFTER, wait)) * spread)
