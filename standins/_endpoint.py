"""
standins._endpoint
~~~~~~~~~~~~~~~~~~

Runs the requests of a stand-in endpoint: bounded slots, injected faults, and counts for oracles.
"""

import random
import time
from typing import IO

import anyio
import msgspec

from bulrushhollow_core.endpoints import NOT_RUN_HEADER, REQUEST_ID_HEADER, RUN_PATH
from standins._http import Reply, Request

MARKER_BYTES = 36
"""Bytes at the start of a body that identify the request; runs are counted by them."""

ANSWER_PREFIX = b"done "
"""A successful answer consists of this and the body of the request."""

OTHER_REQUEST_ID = "another-request"
"""Request id of a crossed answer if there was no earlier request."""


class EndpointControl(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    The behaviour of the endpoint. ``POST /control`` replaces all of it.

    :param slow: seconds that a run takes.
    :param jitter: greatest number of seconds by which a run takes longer.
    :param fail_rate: share of runs that end with status 500.
    :param refuse: whether to answer 503 without running anything.
    :param late: seconds from the end of a run to its answer.
    :param crossed: whether to answer with the id and the body of the previous request.
    :param cut: whether to close the connection after half of the answer's body.
    :param malformed: whether to omit the request id from answers.
    :param leaving: whether to announce that the endpoint accepts no new work.
    :param silent: whether to send no announcements.
    """

    slow: float = 0.0
    jitter: float = 0.0
    fail_rate: float = 0.0
    refuse: bool = False
    late: float = 0.0
    crossed: bool = False
    cut: bool = False
    malformed: bool = False
    leaving: bool = False
    silent: bool = False


class EndpointCounts(msgspec.Struct, frozen=True):
    """
    Counts of what the endpoint ran, the answer to ``GET /counts``.

    :param runs_by_marker: number of runs by the first bytes of the request's body.
    :param refused_full: requests that were refused because every slot was taken.
    :param most_slots: greatest number of slots in use at once.
    :param most_connections: greatest number of open connections.
    :param last_run_at: monotonic time at the start of the last run; None before the first.
    """

    runs_by_marker: dict[str, int]
    runs: int
    refused: int
    refused_full: int
    most_slots: int
    most_connections: int
    last_run_at: float | None


class LoggedRun(msgspec.Struct, frozen=True):
    """
    A line of the run log.

    :param at: time of the machine's monotonic clock at the start of the run.
    """

    marker: str
    at: float


class Endpoint:
    """
    Runs requests in a bounded number of slots.

    :param seed: seed of the jitter and of the choice of runs that fail.
    :param run_log: file for a :class:`LoggedRun` as a line of JSON at the start of each run. Its
        lines survive a kill of the process.
    """

    def __init__(
        self, slots: int, seed: int, control: EndpointControl, run_log: IO[bytes] | None = None
    ) -> None:
        """Start with every slot free."""
        self._run_log = run_log
        self.slots = slots
        self.control = control
        self.in_flight = 0
        self._runs_by_marker: dict[str, int] = {}
        self._refused = 0
        self._refused_full = 0
        self._most_slots = 0
        self._most_connections = 0
        self._last_run_at: float | None = None
        self._previous_request = Request(
            "POST", RUN_PATH, {REQUEST_ID_HEADER: OTHER_REQUEST_ID}, b""
        )
        self._random = random.Random(seed)

    def record_connections(self, count: int) -> None:
        """Update the greatest number of open connections."""
        self._most_connections = max(self._most_connections, count)

    async def run(self, request: Request) -> Reply:
        """Run one request, or refuse it."""
        if self.control.refuse:
            self._refused += 1
            return self._refusal(request)
        if self.in_flight >= self.slots:
            self._refused_full += 1
            return self._refusal(request)
        self.in_flight += 1
        try:
            return await self._run_in_slot(request)
        finally:
            self.in_flight -= 1

    async def _run_in_slot(self, request: Request) -> Reply:
        control = self.control
        self._most_slots = max(self._most_slots, self.in_flight)
        marker = request.body[:MARKER_BYTES].decode("latin-1")
        self._runs_by_marker[marker] = self._runs_by_marker.get(marker, 0) + 1
        self._last_run_at = time.monotonic()
        self._log_run(LoggedRun(marker, self._last_run_at))
        previous, self._previous_request = self._previous_request, request
        fails = self._random.random() < control.fail_rate
        await anyio.sleep(control.slow + control.jitter * self._random.random())
        await anyio.sleep(control.late)
        return self._answer(previous if control.crossed else request, control, fails)

    def _log_run(self, run: LoggedRun) -> None:
        if self._run_log is not None:
            self._run_log.write(msgspec.json.encode(run) + b"\n")

    def _answer(self, request: Request, control: EndpointControl, fails: bool) -> Reply:
        body = b"failed" if fails else ANSWER_PREFIX + request.body
        return Reply(
            status=500 if fails else 200,
            body=body,
            headers_by_name={} if control.malformed else _id_header(request),
            sent_bytes=len(body) // 2 if control.cut else None,
        )

    def _refusal(self, request: Request) -> Reply:
        return Reply(503, b"", {**_id_header(request), NOT_RUN_HEADER: "true"})

    def counts(self) -> EndpointCounts:
        """Return the counts since the start."""
        return EndpointCounts(
            runs_by_marker=dict(self._runs_by_marker),
            runs=sum(self._runs_by_marker.values()),
            refused=self._refused,
            refused_full=self._refused_full,
            most_slots=self._most_slots,
            most_connections=self._most_connections,
            last_run_at=self._last_run_at,
        )


def _id_header(request: Request) -> dict[str, str]:
    return {REQUEST_ID_HEADER: request.headers_by_name.get(REQUEST_ID_HEADER, "")}
