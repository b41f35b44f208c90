"""
bulrushhollow.sessions
~~~~~~~~~~~~~~~~~~~~~~

A :class:`Session` keeps connections to the entry instances and carries calls to them.
"""

import itertools
import uuid
from collections.abc import AsyncIterator, Callable, Sequence
from types import TracebackType
from typing import Self, TypeVar
from urllib.parse import quote

import anyio
import msgspec

from bulrushhollow import exceptions
from bulrushhollow._answers import read_failure, read_response, read_struct
from bulrushhollow._checks import DEFAULT_ENTRY, check_deadline, check_header, checked_entry
from bulrushhollow._retries import MOST_ATTEMPTS, RETRY_PAUSE, Repeat, may_repeat, merge
from bulrushhollow.adapters import Adapter, Call, TransportFailure, WholeAnswer
from bulrushhollow.models import Header, Response
from bulrushhollow_core.answers import (
    DataCentreStatus,
    EndpointStatus,
    InstanceStatus,
    JobAnswer,
    JobStage,
    SubmitRequest,
)
from bulrushhollow_core.changes import ChangeAccepted, ChangeConfiguration, Edit
from bulrushhollow_core.endpoints import DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER
from bulrushhollow_core.ids import (
    ChangeId,
    DataCentreId,
    IdempotencyKey,
    JobId,
    ProfileName,
    Version,
)
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

API_TIMEOUT = 24.0
"""Seconds to wait for the answer to anything but a request, over all entry instances."""

ATTEMPT_TIMEOUT = 9.0
"""
Seconds to wait for one entry instance's answer to anything but a request; longer than an instance
waits for the log and for a change to be in force, so that its own answer is heard.
"""

DEFAULT_REQUEST_TIMEOUT = 60.0
"""Seconds to wait for the answer to a request whose caller states no deadline."""

DEADLINE_MARGIN = 2.0
"""Seconds beyond its deadline for which the refusal of a request is still waited for."""

POLL_WAIT = 5.0
"""Seconds for which an entry instance holds back the answer about a job that goes on."""

T = TypeVar("T")


class Session:
    """
    Calls to a site's entry instances.

    Usage::

        async with Session(["http://127.0.0.1:8000"]) as session:
            response = await session.request("labels", b"stall 7")
            job = await session.submit("grip-model", payload="survey-12")

    :param entries: base addresses; a call goes to the next one where that is harmless.
    :param adapter: how calls are carried; HTTP by default.
    """

    def __init__(self, entries: Sequence[str] = (), adapter: Adapter | None = None) -> None:
        """Check the addresses; connect to nothing yet."""
        self.entries = tuple(checked_entry(entry) for entry in entries or (DEFAULT_ENTRY,))
        self.adapter = adapter or _default_adapter()
        self._turn = itertools.count()

    async def __aenter__(self) -> Self:
        """Return the session itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the session."""
        await self.close()

    async def close(self) -> None:
        """Close every connection."""
        await self.adapter.close()

    async def request(
        self,
        profile: str,
        body: bytes = b"",
        *,
        idempotency_key: str | None = None,
        idempotent: bool = False,
        deadline: float | None = None,
        headers: Sequence[Header] = (),
    ) -> Response:
        """
        Send a request and return the endpoint's whole answer.

        :param profile: name of the profile.
        :param idempotency_key: makes a resend of this request find its first run.
        :param idempotent: whether a second run is harmless, so that a lost answer is asked for
            again.
        :param deadline: seconds to wait; the profile's own deadline if that is shorter.
        :param headers: passed on, such as a trace context.
        :raises InvalidCallError: if a header or the deadline cannot be sent.
        :raises RefusedError: if the work did not run.
        :raises OutcomeUnknownError: if the work may have run.
        """
        extra = [Header("content-type", "application/octet-stream"), *headers]
        if idempotency_key is not None:
            extra.append(Header(IDEMPOTENCY_KEY_HEADER, IdempotencyKey(idempotency_key)))
        if deadline is not None:
            check_deadline(deadline)
            extra.append(Header(DEADLINE_HEADER, f"{deadline:g}"))
        for header in extra:
            check_header(header)
        timeout = (deadline or DEFAULT_REQUEST_TIMEOUT) + DEADLINE_MARGIN
        harmless = idempotent or idempotency_key is not None
        return await self._carry(
            "POST",
            f"/v1/requests/{quote(profile, safe='')}",
            read_response,
            Repeat.IDEMPOTENT if harmless else Repeat.NEVER,
            body=body,
            headers=tuple(extra),
            timeout=timeout,
            attempt_timeout=timeout,
        )

    async def submit(
        self,
        profile: str,
        payload: str = "",
        *,
        job_id: str | None = None,
        data_centre: str | None = None,
    ) -> JobAnswer:
        """
        Submit a job and return its state.

        :param payload: passed to each task as it is.
        :param job_id: chosen here if None; a resend with the same id finds the same job.
        :param data_centre: where to run it; chosen by the scheduler if None.
        :raises RefusedError: if the job was not taken.
        :raises OutcomeUnknownError: if it may have been taken; ask for it by its id.
        """
        order = SubmitRequest(
            job_id=JobId(job_id or uuid.uuid4().hex),
            profile=ProfileName(profile),
            payload=payload,
            data_centre=DataCentreId(data_centre) if data_centre else None,
        )
        return await self._send("/v1/jobs", order, JobAnswer)

    async def jobs(self, state: JobStage | None = None) -> list[JobAnswer]:
        """Return the jobs, or those of one state."""
        query = f"?state={state.value}" if state else ""
        return await self._get(f"/v1/jobs{query}", list[JobAnswer])

    async def job(self, job_id: str, wait: float = 0.0) -> JobAnswer:
        """
        Return the state of one job.

        :param wait: seconds for which the answer may be held back until the job ends.
        """
        query = f"?wait={wait:g}" if wait > 0 else ""
        return await self._get(f"{_job_path(job_id)}{query}", JobAnswer, wait)

    async def cancel(self, job_id: str) -> JobAnswer:
        """Cancel a job; cancelling it again changes nothing."""
        return await self._carry(
            "DELETE", _job_path(job_id), _reader(JobAnswer), Repeat.DEDUPLICATED
        )

    async def watch(self, job_id: str) -> AsyncIterator[JobAnswer]:
        """Yield the state of a job again and again, at its end for the last time."""
        while True:
            job = await self.job(job_id, wait=POLL_WAIT)
            yield job
            if job.state is JobStage.ENDED:
                return

    async def change(
        self, edit: Edit, *, base_version: int | None = None, change_id: str | None = None
    ) -> ChangeAccepted:
        """
        Change the configuration; a lost answer is asked for again with the same change id.

        :param base_version: version that the change was built on; see :meth:`configuration`.
        :param change_id: chosen here if None.
        :raises RefusedError: if the configuration stays as it was, as after a version conflict.
        """
        change = ChangeConfiguration(
            change_id=ChangeId(change_id or uuid.uuid4().hex),
            edit=edit,
            base_version=None if base_version is None else Version(base_version),
        )
        return await self._send("/v1/changes", change, ChangeAccepted)

    async def configuration(self) -> Configuration:
        """Return the configuration that is in force on the answering instance."""
        return await self._get("/v1/configuration", Configuration)

    async def data_centres(self) -> list[DataCentreStatus]:
        """Return the state of every data centre."""
        return await self._get("/v1/datacentres", list[DataCentreStatus])

    async def endpoints(self) -> list[EndpointStatus]:
        """Return the state of every endpoint."""
        return await self._get("/v1/endpoints", list[EndpointStatus])

    async def status(self) -> InstanceStatus:
        """Return the state of the answering instance."""
        return await self._get("/v1/status", InstanceStatus)

    async def _get(self, path: str, kind: type[T], held_back: float = 0.0) -> T:
        return await self._carry(
            "GET",
            path,
            _reader(kind),
            Repeat.IDEMPOTENT,
            timeout=API_TIMEOUT + held_back,
            attempt_timeout=ATTEMPT_TIMEOUT + held_back,
        )

    async def _send(self, path: str, body: msgspec.Struct, kind: type[T]) -> T:
        return await self._carry(
            "POST",
            path,
            _reader(kind),
            Repeat.DEDUPLICATED,
            body=msgspec.json.encode(body),
            headers=(Header("content-type", "application/json"),),
        )

    async def _carry(
        self,
        method: str,
        path: str,
        read: Callable[[WholeAnswer], T | Refusal],
        repeat: Repeat,
        *,
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        timeout: float = API_TIMEOUT,
        attempt_timeout: float = ATTEMPT_TIMEOUT,
    ) -> T:
        """Send one call, again where that is harmless, and raise what it came to if refused."""
        unknown: Refusal | None = None
        start = next(self._turn)
        deadline = anyio.current_time() + timeout
        attempt = 0
        while True:
            entry = self.entries[(start + attempt) % len(self.entries)]
            left = min(attempt_timeout, max(0.0, deadline - anyio.current_time()))
            answer = await self.adapter.send(Call(method, entry, path, body, headers, left))
            attempt += 1
            if isinstance(answer, TransportFailure):
                result: T | Refusal = read_failure(answer)
            else:
                result = read(answer)
            if not isinstance(result, Refusal):
                return result
            outcome = merge(unknown, result, repeat)
            if outcome.execution is Execution.UNKNOWN:
                unknown = outcome
            if not self._goes_on(attempt, result, repeat, deadline):
                raise _exception_of(outcome)
            if attempt >= len(self.entries):
                await anyio.sleep(RETRY_PAUSE)

    def _goes_on(self, attempt: int, last: Refusal, repeat: Repeat, deadline: float) -> bool:
        rounds = MOST_ATTEMPTS if repeat is Repeat.DEDUPLICATED else len(self.entries)
        attempts_left = attempt < min(MOST_ATTEMPTS, rounds)
        in_time = anyio.current_time() + RETRY_PAUSE < deadline
        return attempts_left and in_time and may_repeat(last, repeat)


def _default_adapter() -> Adapter:
    """Import httpcore only where it is used; it takes longer than everything else here."""
    from bulrushhollow.http import HttpAdapter

    return HttpAdapter()


def _exception_of(outcome: Refusal) -> exceptions.BulrushhollowError:
    never_connected = outcome.reason is Reason.INSTANCE_LOST
    if never_connected and outcome.execution is Execution.NOT_RUN:
        return exceptions.EntryUnreachableError(outcome)
    return exceptions.from_refusal(outcome)


def _reader(kind: type[T]) -> Callable[[WholeAnswer], T | Refusal]:
    return lambda answer: read_struct(answer, kind)


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
