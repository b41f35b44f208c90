"""
bulrushhollow_core.domain._events
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decisions that are written to the log of decisions, as actions of the core.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain._jobs import TaskRef


class Event(Enum):
    """Every kind of decision that is logged; docs/OPERATIONS.md explains each."""

    SUBMISSION_ACCEPTED = "submission_accepted"
    SUBMISSION_REPEATED = "submission_repeated"
    SUBMISSION_REFUSED = "submission_refused"
    JOB_CANCELLED = "job_cancelled"
    JOB_ENDED = "job_ended"
    STEP_PLACED = "step_placed"
    START_ANSWERED = "start_answered"
    RUN_STOPPED = "run_stopped"
    RUN_ENDED = "run_ended"
    WORKER_HEARD = "worker_heard"
    WORKER_LOST = "worker_lost"
    WORKER_QUARANTINED = "worker_quarantined"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_REFUSED = "configuration_refused"
    EVACUATION_CHANGED = "evacuation_changed"
    ADVICE_ANSWERED = "advice_answered"
    WORKER_DRAINING = "worker_draining"
    LEADERSHIP_TAKEN = "leadership_taken"
    LEADERSHIP_LOST = "leadership_lost"
    MEMBERS_CHANGED = "members_changed"
    CAPACITY = "capacity"
    """Each second on the leader: the room and what waits for it."""


class Note(msgspec.Struct, frozen=True):
    """
    One decision with the inputs that led to it.

    :param fields: named values that can be written as JSON.
    """

    event: Event
    fields: dict[str, str | int | float | bool]


def note(event: Event, **fields: object) -> Note:
    """Return a note; a task is named in one word."""
    return Note(event, {name: _plain(value) for name, value in fields.items()})


def _plain(value: object) -> str | int | float | bool:
    if isinstance(value, TaskRef):
        return f"{value.job}.{value.occurrence}.{value.step}.{value.member}"
    if isinstance(value, str | int | float | bool):
        return value
    return str(value)
