"""
bulrushhollow_core.domain._queueing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which tasks wait, and in which order they are served.

Jobs within their workspace's guarantee come first. Then come the jobs that can still be worth
something to their callers, urgent ones before all others; among these, those that can still be on
time go before those that are late already, and the earliest deadline goes first. Less urgent jobs
count as due some seconds later than they are, so that they give way and still get their turn.
"""

from collections.abc import Iterator, Set
from enum import IntEnum
from typing import NamedTuple

from bulrushhollow_core.domain._configuration import QueueName
from bulrushhollow_core.domain._jobs import (
    Job,
    JobState,
    Occurrence,
    StepRecord,
    StepRef,
    TaskRef,
    TaskState,
    WallTime,
)
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

LATE_FACTOR = 3.0
"""Objectives after which a result is worth nothing to its caller, as the users state it."""

YIELD = Seconds(10.0)
"""Seconds by which a job's deadline counts as later for each step that it is less urgent than usual
work; about a third of the time that such jobs have."""

PATIENCE = 2.0
"""Durations for which a task waits for its data's rack; away from it, it loses as many."""


class Prospect(IntEnum):
    """What serving a job now can still achieve."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Standing(NamedTuple):
    """Sort key of a repetition of a job; lower goes first."""

    is_surplus: bool
    is_worthless: bool
    can_wait: bool
    prospect: Prospect
    deadline: float
    order: int
    occurrence: int


def longest_chain(job: Job) -> Seconds:
    """Return the estimated seconds of the longest chain of steps."""
    ends: list[float] = []
    for step in job.work.steps:
        begin = max(
            (ends[earlier] for earlier in step.depends_on if earlier < len(ends)), default=0.0
        )
        ends.append(begin + step.estimate)
    return Seconds(max(ends, default=0.0))


def accelerators_of(job: Job) -> int:
    """Return the most accelerators that one step of a job takes."""
    return max((step.count * step.needs.accelerators for step in job.work.steps), default=0)


def guaranteed_jobs(state: DomainState) -> set[JobId]:
    """Return the urgent jobs that fit, in their order, into their workspaces' guarantees."""
    configuration_index = state.configuration_index
    if configuration_index is None:
        return set()
    used_by_workspace: dict[WorkspaceId, int] = {}
    found = set()
    for job in state.active_jobs_by_id.values():
        if job.has_ended or job.queue.urgency != 0 or job.workspace is None:
            continue
        used = used_by_workspace.get(job.workspace, 0) + accelerators_of(job)
        if used <= configuration_index.guaranteed_accelerators(job.workspace):
            used_by_workspace[job.workspace] = used
            found.add(job.id)
    return found


class Waiting(NamedTuple):
    """A step of which tasks wait, with its place in the order."""

    standing: Standing
    job: Job
    ref: StepRef
    indexes: list[int]


def due_occurrences(job: Job, wall: WallTime) -> Iterator[Occurrence]:
    """Return the repetitions that have begun, and the next one if it is due."""
    yield from list(job.occurrences_by_number)
    following = Occurrence(job.occurrences_begun)
    if job.is_timed and following < job.occurrence_count and wall >= job.due_at(following):
        yield following


def waiting_steps(
    state: DomainState, busy: Set[TaskRef], guaranteed: set[JobId], wall: WallTime
) -> list[Waiting]:
    """
    Return all steps that may start now, in the order in which they are served.

    :param busy: tasks that must not start now, as one whose start is on its way into the log.
    """
    waiting: list[Waiting] = []
    for job in state.active_jobs_by_id.values():
        if job.has_ended:
            continue
        for occurrence in due_occurrences(job, wall):
            standing = standing_of(job, occurrence, job.id in guaranteed, wall)
            waiting.extend(_steps_of(job, occurrence, standing, busy))
    waiting.sort(key=lambda each: (each.standing, each.ref.step))
    return waiting


def standing_of(job: Job, occurrence: Occurrence, is_guaranteed: bool, wall: WallTime) -> Standing:
    """Return where a repetition of a job stands in the order."""
    chain = longest_chain(job)
    due = job.due_at(occurrence)
    objective = job.queue.slack_factor * chain + job.queue.slo
    deadline = due + objective
    prospect = Prospect.ON_TIME
    if any(step.is_long_running for step in job.work.steps):
        # Work that lasts has no end to be late with.
        prospect = Prospect.ON_TIME
    elif wall + chain > due + LATE_FACTOR * objective:
        prospect = Prospect.WORTHLESS
    elif wall + chain > deadline and occurrence not in job.occurrences_by_number or wall > deadline:
        prospect = Prospect.LATE
    return Standing(
        not is_guaranteed,
        prospect is Prospect.WORTHLESS,
        job.queue.urgency > 0,
        prospect,
        deadline + YIELD * max(0, job.queue.urgency - 1),
        job.sequence,
        occurrence,
    )


def _steps_of(
    job: Job, occurrence: Occurrence, standing: Standing, busy: Set[TaskRef]
) -> Iterator[Waiting]:
    records = job.occurrences_by_number.get(occurrence)
    for number, step in enumerate(job.work.steps):
        ref = StepRef(job.id, occurrence, number)
        if records is None:
            if step.depends_on:
                continue
            indexes = list(range(step.count))
        else:
            if records[number].is_done or not all(
                records[each].is_done for each in step.depends_on
            ):
                continue
            indexes = _waiting_indexes(records[number])
        indexes = [index for index in indexes if ref.task(index) not in busy]
        is_whole = len(indexes) == step.count
        if indexes and (is_whole or not step.is_gang):
            yield Waiting(standing, job, ref, indexes)


def _waiting_indexes(record: StepRecord) -> list[int]:
    return [index for index, task in enumerate(record.tasks) if task.state is TaskState.WAITING]


def pending_jobs(state: DomainState, queue: QueueName) -> int:
    """Return the accepted jobs of a queue of which no task has started."""
    return sum(
        1
        for job in state.active_jobs_by_id.values()
        if job.queue.name == queue and job.state is JobState.QUEUED
    )
