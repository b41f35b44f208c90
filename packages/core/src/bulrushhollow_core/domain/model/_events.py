"""
bulrushhollow_core.domain.model._events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Events of the decision log. The core returns them as actions; the process writes them out.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain.model._jobs import TaskRef


class Event(Enum):
    """Kinds of events in the decision log; docs/OPERATIONS.md explains each."""

    SUBMISSION_ACCEPTED = "submission_accepted"
    SUBMISSION_REPEATED = "submission_repeated"
    SUBMISSION_REFUSED = "submission_refused"
    JOB_CANCELLED = "job_cancelled"
    JOB_ENDED = "job_ended"
    JOB_GIVEN_UP = "job_given_up"
    """A task of the job has crashed several workers, so that the job has failed."""
    STEP_PLACED = "step_placed"
    START_ANSWERED = "start_answered"
    RUN_STOPPED = "run_stopped"
    CLAIM_EXPIRED = "claim_expired"
    """Runs were evicted for a step that could not be placed on their resources in time."""
    RUN_ENDED = "run_ended"
    RUN_LOST = "run_lost"
    """A run was lost with its worker; `run_ended` follows once the worker can no longer run it."""
    RUN_UNLISTED = "run_unlisted"
    """A run ends because its worker does not list it."""
    START_HOLD_ENDED = "start_hold_ended"
    """A task no longer waits for an unanswered start, which could have been carried out late."""
    END_OUTDATED = "end_outdated"
    """A worker lists the end of a run that is not recorded as the active run of its task."""
    ENDS_ACKNOWLEDGED = "ends_acknowledged"
    """A poll acknowledges recorded ends, which the worker may forget."""
    ENDS_DISCARDED = "ends_discarded"
    """A worker has forgotten ends that this leader has not read."""
    POLL_UNANSWERED = "poll_unanswered"
    """A poll got no answer; it may still be carried out."""
    ANNOUNCEMENT_REFUSED = "announcement_refused"
    """An announcement that cannot come from a worker of the domain."""
    CALL_FAILED = "call_failed"
    """An unexpected error ended a call; other calls are not affected."""
    CALL_EXPIRED = "call_expired"
    """A call arrived after its caller had stopped waiting, and was not executed."""
    WORKER_HEARD = "worker_heard"
    WORKER_LOST = "worker_lost"
    WORKER_QUARANTINED = "worker_quarantined"
    REACHABILITY_CHANGED = "reachability_changed"
    """Other data centres than before are silent and get no new work."""
    SPEEDS_CHANGED = "speeds_changed"
    """The fleet has become even or uneven."""
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_REFUSED = "configuration_refused"
    EVACUATION_CHANGED = "evacuation_changed"
    ADVICE_ANSWERED = "advice_answered"
    WORKER_DRAINING = "worker_draining"
    LEADERSHIP_TAKEN = "leadership_taken"
    LEADERSHIP_LOST = "leadership_lost"
    MEMBERS_CHANGED = "members_changed"
    CAP_REACHED = "cap_reached"
    """Tasks of a workspace wait because of its cap; written at most each second for each one. The
    usage includes tasks that the plan holds room for until stops have ended."""
    STEP_WAITING = "step_waiting"
    """Nothing of a job has run for a while although a task's turn has come; written at most each
    second for each workspace, with why the step that has waited longest does not start."""
    SHARE_EXCEEDED = "share_exceeded"
    """A workspace has begun or ceased to wait for more than its share."""
    PLACEMENT_EXPLAINED = "placement_explained"
    """An operator asked where a job would be placed."""
    CAPACITY = "capacity"
    """Written each second by the leader: the free capacity and the work that waits for it."""


class LogEvent(msgspec.Struct, frozen=True):
    """
    One decision of the domain, with the inputs that led to it.

    :param fields: values by name; all can be written as JSON.
    """

    event: Event
    fields: dict[str, str | int | float | bool]


def log_event(event: Event, **fields: object) -> LogEvent:
    """Return an event of the decision log; a task is written as job.occurrence.step.member."""
    return LogEvent(event, {name: _to_json_value(value) for name, value in fields.items()})


def _to_json_value(value: object) -> str | int | float | bool:
    if isinstance(value, TaskRef):
        return f"{value.job}.{value.occurrence}.{value.step}.{value.member}"
    if isinstance(value, str | int | float | bool):
        return value
    return str(value)
