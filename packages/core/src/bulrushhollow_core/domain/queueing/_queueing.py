"""
bulrushhollow_core.domain.queueing._queueing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The queue: which tasks may start now, and the order in which they are served.

Jobs within their workspace's guarantee are served first, and jobs whose result has lost its value
last. In between, urgent jobs precede all others, jobs that can still be on time precede late ones,
and then the earliest deadline goes first. The deadlines of less urgent jobs are shifted by some
seconds, so that these jobs yield to more urgent ones without starving.
"""

from collections.abc import Iterator, Mapping, Set
from enum import IntEnum
from typing import NamedTuple

from bulrushhollow_core.domain.model import (
    Job,
    JobState,
    Occurrence,
    QueueName,
    StepRecord,
    StepRef,
    TaskRef,
    TaskState,
    WallTime,
)
from bulrushhollow_core.domain.replica import DomainState, awaits_evidence
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

WORTHLESS_FACTOR = 3.0
"""Multiple of a job's time objective after which its result has no value, as the users state it."""

URGENCY_DEADLINE_SHIFT = Seconds(10.0)
"""Seconds added to a job's deadline for each level of urgency beyond 1, the usual one; about a
third of the time that such jobs have."""

LOCALITY_WAIT_FACTOR = 2.0
"""Time for which a task waits for the rack of its data, as a multiple of its duration. A task that
runs on another rack takes longer by about as much."""


class Timeliness(IntEnum):
    """Whether a job that is served now can still meet its deadline."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2
    """Its result will no longer have any value."""


class Priority(NamedTuple):
    """
    Sort key of one occurrence of a job in the queue; lower is served first.

    :param is_surplus: whether the job is outside its workspace's guarantee.
    :param is_worthless: whether the job's result will no longer have any value.
    :param is_deferrable: whether the job is not urgent.
    :param is_over_share: whether the job is beyond its workspace's share of the capacity or rate of
        submission; False without weights.
    :param deadline: deadline, shifted for less urgent jobs.
    :param order: position of the job among all accepted jobs.
    """

    is_surplus: bool
    is_worthless: bool
    is_deferrable: bool
    is_over_share: bool
    timeliness: Timeliness
    deadline: float
    order: int
    occurrence: int


def critical_path_duration(job: Job) -> Seconds:
    """Return the estimated duration of the critical path through a job's steps."""
    ends: list[float] = []
    for step in job.work.steps:
        start = max(
            (ends[earlier] for earlier in step.depends_on if earlier < len(ends)), default=0.0
        )
        ends.append(start + step.estimate)
    return Seconds(max(ends, default=0.0))


def duration_after(job: Job, number: int) -> Seconds:
    """Return the estimated duration of the longest path through the steps after a step of a job."""
    ends = {number: 0.0}
    for later, step in enumerate(job.work.steps):
        starts = [ends[earlier] for earlier in step.depends_on if earlier in ends]
        if starts:
            ends[later] = max(starts) + step.estimate
    return Seconds(max(ends.values()))


def deadline_of(job: Job, occurrence: Occurrence) -> float:
    """Return the wall time after which an occurrence of a job is late."""
    objective = job.queue.slack_factor * critical_path_duration(job) + job.queue.slo
    return job.due_at(occurrence) + objective


def peak_accelerators(job: Job) -> int:
    """Return the largest number of accelerators that one step of a job takes."""
    return max((step.count * step.needs.accelerators for step in job.work.steps), default=0)


def guaranteed_jobs(state: DomainState) -> set[JobId]:
    """Return the urgent jobs that fit into their workspaces' guarantees; older jobs come first."""
    configuration_index = state.configuration_index
    if configuration_index is None:
        return set()
    used_by_workspace: dict[WorkspaceId, int] = {}
    guaranteed = set()
    for job in state.active_jobs_by_id.values():
        if job.has_ended or job.queue.urgency != 0 or job.workspace is None:
            continue
        used = used_by_workspace.get(job.workspace, 0) + peak_accelerators(job)
        if used <= configuration_index.guaranteed_accelerators(job.workspace):
            used_by_workspace[job.workspace] = used
            guaranteed.add(job.id)
    return guaranteed


class WaitingStep(NamedTuple):
    """A step with tasks that may start now, and its priority."""

    priority: Priority
    job: Job
    ref: StepRef
    task_indexes: list[int]


def due_occurrences(job: Job, wall: WallTime) -> Iterator[Occurrence]:
    """Yield the occurrences of a job that have begun, and the next one if it is due."""
    yield from list(job.occurrences_by_number)
    next_occurrence = Occurrence(job.occurrences_begun)
    if (
        job.is_timed
        and next_occurrence < job.occurrence_count
        and wall >= job.due_at(next_occurrence)
    ):
        yield next_occurrence


def waiting_steps(
    state: DomainState, busy_tasks: Set[TaskRef], guaranteed: set[JobId], wall: WallTime
) -> list[WaitingStep]:
    """
    Return the steps with tasks that may start now, in the order in which they are served.

    :param busy_tasks: tasks that must not start now, such as those whose start is already proposed.
    :param guaranteed: jobs that fit into their workspaces' guarantees.
    """
    waiting: list[WaitingStep] = []
    busy_members_by_step: dict[StepRef, set[int]] = {}
    for task in busy_tasks:
        busy_members_by_step.setdefault(task.step_ref, set()).add(task.member)
    for job in state.active_jobs_by_id.values():
        if job.has_ended:
            continue
        for occurrence in due_occurrences(job, wall):
            priority = priority_of(job, occurrence, job.id in guaranteed, wall)
            waiting.extend(_waiting_steps_of(job, occurrence, priority, busy_members_by_step, wall))
    waiting.sort(key=lambda waiting_step: (waiting_step.priority, waiting_step.ref.step))
    return waiting


def priority_of(job: Job, occurrence: Occurrence, is_guaranteed: bool, wall: WallTime) -> Priority:
    """Return the priority of an occurrence of a job, without regard to its workspace's share."""
    critical_path = critical_path_duration(job)
    due = job.due_at(occurrence)
    objective = job.queue.slack_factor * critical_path + job.queue.slo
    deadline = due + objective
    timeliness = Timeliness.ON_TIME
    if any(step.is_long_running for step in job.work.steps):
        # A long-running task has no end, so it has no deadline to miss.
        timeliness = Timeliness.ON_TIME
    elif wall + critical_path > due + WORTHLESS_FACTOR * objective:
        timeliness = Timeliness.WORTHLESS
    elif (
        wall + critical_path > deadline
        and occurrence not in job.occurrences_by_number
        or wall > deadline
    ):
        timeliness = Timeliness.LATE
    return Priority(
        not is_guaranteed,
        timeliness is Timeliness.WORTHLESS,
        job.queue.urgency > 0,
        False,
        timeliness,
        deadline + URGENCY_DEADLINE_SHIFT * max(0, job.queue.urgency - 1),
        job.sequence,
        occurrence,
    )


def _waiting_steps_of(
    job: Job,
    occurrence: Occurrence,
    priority: Priority,
    busy_members_by_step: Mapping[StepRef, Set[int]],
    wall: WallTime,
) -> Iterator[WaitingStep]:
    records = job.occurrences_by_number.get(occurrence)
    for number, step in enumerate(job.work.steps):
        ref = StepRef(job.id, occurrence, number)
        if records is None:
            if step.depends_on:
                continue
            task_indexes = list(range(step.count))
        else:
            if records[number].is_done or not all(
                records[dependency].is_done for dependency in step.depends_on
            ):
                continue
            task_indexes = _waiting_task_indexes(records[number])
        busy_members = busy_members_by_step.get(ref)
        if busy_members:
            task_indexes = [index for index in task_indexes if index not in busy_members]
        if job.losses:
            task_indexes = [
                index for index in task_indexes if not awaits_evidence(job, ref.task(index), wall)
            ]
        is_whole = len(task_indexes) == step.count
        if task_indexes and (is_whole or not step.is_gang):
            yield WaitingStep(priority, job, ref, task_indexes)


def _waiting_task_indexes(record: StepRecord) -> list[int]:
    return [index for index, task in enumerate(record.tasks) if task.state is TaskState.WAITING]


def count_pending_jobs(state: DomainState, queue: QueueName) -> int:
    """Return the number of accepted jobs of a queue of which no task has started."""
    return sum(
        1
        for job in state.active_jobs_by_id.values()
        if job.queue.name == queue and job.state is JobState.QUEUED
    )
