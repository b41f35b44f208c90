"""
bulrushhollow.sessions
~~~~~~~~~~~~~~~~~~~~~~

A :class:`Session` sends calls to the entry instances of a site and retries where that is safe.
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
from bulrushhollow._answers import decode_response, decode_struct, refusal_from_failure
from bulrushhollow._checks import DEFAULT_ENTRY, check_deadline, check_header, normalize_entry
from bulrushhollow._retries import (
    MAX_ATTEMPTS,
    RETRY_DELAY,
    RetrySafety,
    combine_refusals,
    is_retryable,
)
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
"""Seconds to wait for the answer to any call other than a request, over all attempts."""

ATTEMPT_TIMEOUT = 9.0
"""
Seconds to wait for one entry instance's answer to any call other than a request. Longer than an
instance itself waits for the log and for a change to be in force, so that its answer arrives.
"""

DEFAULT_REQUEST_TIMEOUT = 60.0
"""Seconds to wait for the answer to a request without a deadline."""

DEADLINE_MARGIN = 2.0
"""Seconds beyond a request's deadline to wait for its refusal."""

LONG_POLL_WAIT = 5.0
"""Seconds for which an entry instance may delay its answer about a job that has not ended."""

T = TypeVar("T")


class Session:
    """
    A client of a site's entry instances.

    Usage::

        async with Session(["http://127.0.0.1:8000"]) as session:
            response = await session.request("labels", b"stall 7")
            job = await session.submit("grip-model", payload="survey-12")

    Connections are opened by the first calls.

    :param entries: base addresses of entry instances. Calls take them in turn; a failed call is
        retried on the next one where a second attempt is harmless.
    :param adapter: transport of the calls; HTTP by default.
    :raises InvalidCallError: if an address is not the base address of an entry instance.
    """

    def __init__(self, entries: Sequence[str] = (), adapter: Adapter | None = None) -> None:
        self.entries = tuple(normalize_entry(entry) for entry in entries or (DEFAULT_ENTRY,))
        self.adapter = adapter or _default_adapter()
        self._round_robin = itertools.count()

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
        :param idempotency_key: key by which a resend of this request gets the outcome of its first
            run.
        :param idempotent: whether a second run is harmless, so that the request is sent again if
            its answer is lost.
        :param deadline: seconds to wait; the profile's own deadline applies if it is shorter.
        :param headers: headers to send along, such as a trace context.
        :raises InvalidCallError: if a header or the deadline cannot be sent.
        :raises RefusedError: if the work did not run.
        :raises OutcomeUnknownError: if the work may have run.
        """
        all_headers = [Header("content-type", "application/octet-stream"), *headers]
        if idempotency_key is not None:
            all_headers.append(Header(IDEMPOTENCY_KEY_HEADER, IdempotencyKey(idempotency_key)))
        if deadline is not None:
            check_deadline(deadline)
            all_headers.append(Header(DEADLINE_HEADER, f"{deadline:g}"))
        for header in all_headers:
            check_header(header)
        timeout = (deadline or DEFAULT_REQUEST_TIMEOUT) + DEADLINE_MARGIN
        is_harmless = idempotent or idempotency_key is not None
        return await self._call(
            "POST",
            f"/v1/requests/{quote(profile, safe='')}",
            decode_response,
            RetrySafety.IDEMPOTENT if is_harmless else RetrySafety.NEVER,
            body=body,
            headers=tuple(all_headers),
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

        :param payload: text passed unchanged to each task.
        :param job_id: id of the job, random if None; a resend with the same id finds the same job.
        :param data_centre: where to run the job; chosen by the scheduler if None.
        :raises RefusedError: if the job was not accepted.
        :raises OutcomeUnknownError: if the job may have been accepted; read it by its id.
        """
        submission = SubmitRequest(
            job_id=JobId(job_id or uuid.uuid4().hex),
            profile=ProfileName(profile),
            payload=payload,
            data_centre=DataCentreId(data_centre) if data_centre else None,
        )
        return await self._post("/v1/jobs", submission, JobAnswer)

    async def jobs(self, state: JobStage | None = None) -> list[JobAnswer]:
        """Return all jobs, or those in one state."""
        query = f"?state={state.value}" if state else ""
        return await self._get(f"/v1/jobs{query}", list[JobAnswer])

    async def job(self, job_id: str, wait: float = 0.0) -> JobAnswer:
        """
        Return the state of one job.

        :param wait: seconds for which the entry instance may wait for the job to end before it
            answers.
        """
        query = f"?wait={wait:g}" if wait > 0 else ""
        return await self._get(f"{_job_path(job_id)}{query}", JobAnswer, wait)

    async def cancel(self, job_id: str) -> JobAnswer:
        """Cancel a job; cancelling it again changes nothing."""
        return await self._call(
            "DELETE", _job_path(job_id), _struct_decoder(JobAnswer), RetrySafety.DEDUPLICATED
        )

    async def watch(self, job_id: str) -> AsyncIterator[JobAnswer]:
        """Yield the state of a job repeatedly, for the last time when it has ended."""
        while True:
            job = await self.job(job_id, wait=LONG_POLL_WAIT)
            yield job
            if job.state is JobStage.ENDED:
                return

    async def change(
        self, edit: Edit, *, base_version: int | None = None, change_id: str | None = None
    ) -> ChangeAccepted:
        """
        Change the configuration. If the answer is lost, resend the change with the same id.

        :param base_version: version that the change was built on; see :meth:`configuration`.
        :param change_id: id of the change, random if None.
        :raises RefusedError: if the change was not made, as after a version conflict.
        """
        change = ChangeConfiguration(
            change_id=ChangeId(change_id or uuid.uuid4().hex),
            edit=edit,
            base_version=None if base_version is None else Version(base_version),
        )
        return await self._post("/v1/changes", change, ChangeAccepted)

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

    async def _get(self, path: str, result_type: type[T], wait: float = 0.0) -> T:
        return await self._call(
            "GET",
            path,
            _struct_decoder(result_type),
            RetrySafety.IDEMPOTENT,
            timeout=API_TIMEOUT + wait,
            attempt_timeout=ATTEMPT_TIMEOUT + wait,
        )

    async def _post(self, path: str, body: msgspec.Struct, result_type: type[T]) -> T:
        return await self._call(
            "POST",
            path,
            _struct_decoder(result_type),
            RetrySafety.DEDUPLICATED,
            body=msgspec.json.encode(body),
            headers=(Header("content-type", "application/json"),),
        )

    async def _call(
        self,
        method: str,
        path: str,
        decode: Callable[[WholeAnswer], T | Refusal],
        safety: RetrySafety,
        *,
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        timeout: float = API_TIMEOUT,
        attempt_timeout: float = ATTEMPT_TIMEOUT,
    ) -> T:
        """Send a call, retry it where that is harmless, and raise the refusal if there is one."""
        earlier: Refusal | None = None
        first_index = next(self._round_robin)
        deadline = anyio.current_time() + timeout
        attempt = 0
        while True:
            entry = self.entries[(first_index + attempt) % len(self.entries)]
            attempt_time = min(attempt_timeout, max(0.0, deadline - anyio.current_time()))
            reply = await self.adapter.send(Call(method, entry, path, body, headers, attempt_time))
            attempt += 1
            if isinstance(reply, TransportFailure):
                result: T | Refusal = refusal_from_failure(reply)
            else:
                result = decode(reply)
            if not isinstance(result, Refusal):
                return result
            outcome = combine_refusals(earlier, result, safety)
            if outcome.execution is Execution.UNKNOWN:
                earlier = outcome
            if not self._should_retry(attempt, result, safety, deadline):
                raise _to_exception(outcome)
            if attempt >= len(self.entries):
                await anyio.sleep(RETRY_DELAY)

    def _should_retry(
        self, attempt: int, refusal: Refusal, safety: RetrySafety, deadline: float
    ) -> bool:
        attempt_limit = MAX_ATTEMPTS if safety is RetrySafety.DEDUPLICATED else len(self.entries)
        has_attempts_left = attempt < min(MAX_ATTEMPTS, attempt_limit)
        has_time_left = anyio.current_time() + RETRY_DELAY < deadline
        return has_attempts_left and has_time_left and is_retryable(refusal, safety)


def _default_adapter() -> Adapter:
    """Return an HTTP adapter; imports httpcore only here, as no other import takes as long."""
    from bulrushhollow.http import HttpAdapter

    return HttpAdapter()


def _to_exception(outcome: Refusal) -> exceptions.BulrushhollowError:
    is_unreachable = outcome.reason is Reason.INSTANCE_LOST
    if is_unreachable and outcome.execution is Execution.NOT_RUN:
        return exceptions.EntryUnreachableError(outcome)
    return exceptions.from_refusal(outcome)


def _struct_decoder(result_type: type[T]) -> Callable[[WholeAnswer], T | Refusal]:
    return lambda reply: decode_struct(reply, result_type)


def _job_path(job_id: str) -> str:
    return f"/v1/jobs/{quote(job_id, safe='')}"
