"""
bench.failures_records
~~~~~~~~~~~~~~~~~~~~~~

The records of a failure run: what callers, operators, stand-ins and the status sampler observed.
All times are readings of the machine's monotonic clock, which all processes share.
"""

from collections import defaultdict
from enum import Enum

import msgspec

from bulrushhollow_core.outcomes import Execution, Reason


class Kind(Enum):
    """The kinds of work that callers send."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    KEYED = "keyed"
    JOB = "job"
    JOB_ONCE = "job_once"
    GANG = "gang"
    GANG_ONCE = "gang_once"
    CLAIM = "claim"


REQUEST_KINDS = (Kind.IDEMPOTENT, Kind.ONCE, Kind.KEYED)
"""Kinds of requests, which endpoints run."""

ONCE_JOB_KINDS = frozenset({Kind.JOB_ONCE, Kind.GANG_ONCE})
"""Kinds of jobs that are not idempotent."""


class Call(msgspec.Struct, frozen=True):
    """
    One call and its outcome as the caller saw it.

    :param marker: identifies the work; a resend has the same marker.
    :param entry: name of the daemon that was called.
    :param whole: whether the answer is complete and belongs to this call.
    """

    marker: str
    kind: Kind
    entry: str
    sent_at: float
    ended_at: float
    execution: Execution
    reason: Reason | None = None
    whole: bool = False


class RequestRun(msgspec.Struct, frozen=True):
    """One run of a request on an endpoint."""

    marker: str
    at: float
    endpoint: str


class Change(msgspec.Struct, frozen=True):
    """
    One change of a profile and its answer.

    :param value: the expected run that the change sets; unique for each change id.
    :param version: the version that the change got; None if it was not accepted.
    """

    change_id: str
    profile: str
    value: float
    sent_at: float
    answered_at: float
    version: int | None = None
    execution: Execution = Execution.RAN
    reason: Reason | None = None


class StatusSample(msgspec.Struct, frozen=True):
    """The status of one instance at some time between ``asked_at`` and ``answered_at``."""

    name: str
    asked_at: float
    answered_at: float
    ready: bool
    version: int


class Attempt(msgspec.Struct, frozen=True):
    """The number of tasks started for one attempt of a job in one data centre."""

    job: str
    attempt: int
    starts: int
    data_centre: str


class JobOutcome(msgspec.Struct, frozen=True):
    """The state of a job at the end of the run."""

    job: str
    has_ended: bool
    execution: Execution


class Window(msgspec.Struct, frozen=True):
    """
    A span of time.

    :param name: name of the fault, the instance, the call or the change that it belongs to.
    :param recovered_at: when the site had recovered from the fault; None if it did not in time.
    """

    name: str
    start: float
    end: float
    recovered_at: float | None = None

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether this window and the given span overlap."""
        return self.start <= end and start <= self.end


class StartCutoff(msgspec.Struct, frozen=True):
    """
    The latest time at which work may start at a target, and the last start that was seen.

    :param target: a data centre or an endpoint.
    """

    target: str
    allowed_until: float
    last_start_at: float | None


class Records:
    """All records of one run."""

    def __init__(self) -> None:
        """Create empty records."""
        self.calls: list[Call] = []
        self.changes: list[Change] = []
        self.samples: list[StatusSample] = []
        self.faults: list[Window] = []
        self.planned_stops: list[Window] = []
        self.out_cutoffs: list[StartCutoff] = []
        self.leaving_cutoffs: list[StartCutoff] = []
        self.runs: list[RequestRun] = []
        self.attempts: list[Attempt] = []
        self.job_outcomes: list[JobOutcome] = []
        self.final_values_by_profile: dict[str, float] = {}
        self.requests_beyond_slots = 0
        self.idle_log_entries = 0
        """Entries that the log gained in a few seconds after the load, with nothing to do."""
        self.starts_by_task: dict[str, int] = {}

    def runs_by_marker(self) -> dict[str, list[RequestRun]]:
        """Return the runs of each request by its marker."""
        by_marker: defaultdict[str, list[RequestRun]] = defaultdict(list)
        for run in self.runs:
            by_marker[run.marker].append(run)
        return by_marker

    def calls_by_marker(self) -> dict[str, list[Call]]:
        """Return the calls of each marker in the order in which they ended."""
        by_marker: defaultdict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            by_marker[call.marker].append(call)
        return by_marker
