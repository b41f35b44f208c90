"""
bench.failures_records
~~~~~~~~~~~~~~~~~~~~~~

What callers, operators, stand-ins and the watcher of a failure run saw, with readings of the
machine's monotonic clock, which all processes share.
"""

from collections import defaultdict
from enum import Enum

import msgspec

from bulrushhollow_core.outcomes import Execution, Reason


class Kind(Enum):
    """Kinds of work that the callers send."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    KEYED = "keyed"
    JOB = "job"
    JOB_ONCE = "job_once"
    GANG = "gang"
    GANG_ONCE = "gang_once"
    CLAIM = "claim"


REQUEST_KINDS = (Kind.IDEMPOTENT, Kind.ONCE, Kind.KEYED)
"""Kinds that endpoints run."""

ONCE_JOB_KINDS = frozenset({Kind.JOB_ONCE, Kind.GANG_ONCE})
"""Kinds of jobs that are not idempotent."""


class Call(msgspec.Struct, frozen=True):
    """
    One call and what its caller was told.

    :param marker: of the work; a resend has the same one.
    :param whole: the answer is the whole answer to this very call.
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

    :param value: what the change sets; unique for each change id.
    :param version: None if it was not accepted.
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
    """The status of one instance, as it was at some moment between the two times."""

    name: str
    asked_at: float
    answered_at: float
    ready: bool
    version: int


class Attempt(msgspec.Struct, frozen=True):
    """Tasks started for one attempt of a job in one data centre."""

    job: str
    attempt: int
    starts: int
    data_centre: str


class JobOutcome(msgspec.Struct, frozen=True):
    """How a job stands at the end of the run."""

    job: str
    has_ended: bool
    execution: Execution


class Window(msgspec.Struct, frozen=True):
    """
    A span of time.

    :param name: of the fault or the instance that it belongs to.
    :param recovered_at: when the site had recovered; None if that was not seen.
    """

    name: str
    start: float
    end: float
    recovered_at: float | None = None

    def overlaps(self, start: float, end: float) -> bool:
        """Tell whether a span of time has a moment in common with this one."""
        return self.start <= end and start <= self.end


class StartCutoff(msgspec.Struct, frozen=True):
    """A time after which nothing may start somewhere, and when the last start was."""

    target: str
    allowed_until: float
    last_start_at: float | None


class Records:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        """Start empty."""
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
        self.starts_by_task: dict[str, int] = {}

    def runs_by_marker(self) -> dict[str, list[RequestRun]]:
        """Return the runs of each request."""
        by_marker: defaultdict[str, list[RequestRun]] = defaultdict(list)
        for run in self.runs:
            by_marker[run.marker].append(run)
        return by_marker

    def calls_by_marker(self) -> dict[str, list[Call]]:
        """Return the calls of each piece of work, in the order of their ends."""
        by_marker: defaultdict[str, list[Call]] = defaultdict(list)
        for call in self.calls:
            by_marker[call.marker].append(call)
        return by_marker
