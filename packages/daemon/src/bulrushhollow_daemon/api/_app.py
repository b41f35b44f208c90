"""
bulrushhollow_daemon.api._app
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The routes of the HTTP API.
"""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec

from bulrushhollow_core.answers import JobStage, SubmitRequest
from bulrushhollow_core.changes import ChangeConfiguration
from bulrushhollow_core.endpoints import (
    DEADLINE_HEADER,
    FORWARDED_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    Announcement,
)
from bulrushhollow_core.ids import (
    IdempotencyKey,
    InstanceName,
    JobId,
    ProfileName,
    RequestId,
    Seconds,
)
from bulrushhollow_core.node import (
    AnnouncementReceived,
    CancelRequested,
    ChangeRequested,
    RecoveryRequested,
    SubmitRequested,
    WaitRequested,
)
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_daemon.api._backend import Backend, CallerRequest, RequestAnswer
from bulrushhollow_daemon.http_messages import (
    RAN_HEADER,
    CallerDisconnectedError,
    Receive,
    Request,
    Response,
    Scope,
    Send,
    to_response,
    with_connection_close,
)
from bulrushhollow_daemon.settings import Limits

MAX_KEY_LENGTH = 128
"""Longest idempotency key, in characters."""
MAX_JOB_WAIT = 60.0
"""Longest wait for a job in one call, in seconds; longer ones are shortened to this."""
ROUTES_THAT_NEED_STATE = (
    "GET /v1/configuration",
    "GET /v1/datacentres",
    "GET /v1/jobs",
    "GET /v1/jobs/",
    "POST /v1/jobs",
)
"""Routes whose answers depend on the state that the log has committed."""

NOT_CAUGHT_UP = Refusal(
    Reason.NOT_READY, "this instance has not seen the current configuration yet", retry_after=1.0
)
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

logger = logging.getLogger(__name__)
T = TypeVar("T")
Handler = Callable[[Request], Awaitable[Response]]


class CutRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the development call that drops all traffic with some peers."""

    peers: tuple[InstanceName, ...]


class Api:
    """
    The ASGI application.

    :param backend: operations of the daemon.
    :param limits: limits on the size and time of bodies.
    :param faults: whether the development call for fault injection is enabled.
    :param new_request_id: returns a unique request id.
    """

    def __init__(
        self,
        backend: Backend,
        limits: Limits,
        faults: bool,
        new_request_id: Callable[[], RequestId],
    ) -> None:
        self._backend = backend
        self._limits = limits
        self._new_request_id = new_request_id
        self._change_decoder = msgspec.json.Decoder(ChangeConfiguration)
        self._submission_decoder = msgspec.json.Decoder(SubmitRequest)
        self._announcement_decoder = msgspec.json.Decoder(Announcement)
        self._cut_decoder = msgspec.json.Decoder(CutRequest)
        self._handlers_by_route = self._routes(faults)

    def _routes(self, faults: bool) -> dict[str, Handler]:
        """Return handlers by method and path; a path that ends in ``/`` takes one more segment."""
        routes: dict[str, Handler] = {
            "GET /healthz": self._healthz,
            "GET /readyz": self._readyz,
            "GET /metrics": self._metrics,
            "GET /v1/status": self._status,
            "GET /v1/configuration": self._configuration,
            "GET /v1/datacentres": self._data_centres,
            "GET /v1/endpoints": self._endpoints,
            "POST /v1/endpoints": self._announce,
            "POST /v1/changes": self._change,
            "POST /v1/requests/": self._request,
            "GET /v1/jobs": self._jobs,
            "POST /v1/jobs": self._submit,
            "GET /v1/jobs/": self._job,
            "DELETE /v1/jobs/": self._cancel,
            "POST /v1/recover": self._recover,
        }
        for route in ROUTES_THAT_NEED_STATE:
            routes[route] = self._require_caught_up(routes[route])
        if faults:
            routes["POST /v1/development/cut"] = self._cut_links
        return routes

    def _require_caught_up(self, handler: Handler) -> Handler:
        """Return a handler that refuses calls until this instance has caught up with the log."""

        async def checked_handler(request: Request) -> Response:
            if not self._backend.has_caught_up():
                return to_response(NOT_CAUGHT_UP)
            return await handler(request)

        return checked_handler

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        try:
            response = await self._respond(request)
        except CallerDisconnectedError:
            return
        if self._backend.is_stopping():
            response = with_connection_close(response)
        await response.send(send)

    async def _respond(self, request: Request) -> Response:
        handler = self._find_handler(request)
        if handler is None:
            return Response(404, b'{"error":"no such resource"}')
        try:
            return await handler(request)
        except CallerDisconnectedError:
            raise
        except Exception:
            logger.exception("handler_failed", extra={"path": request.path})
            detail = "internal error"
            return to_response(Refusal(Reason.INSTANCE_LOST, detail, Execution.UNKNOWN))

    def _find_handler(self, request: Request) -> Handler | None:
        handler = self._handlers_by_route.get(f"{request.method} {request.path}")
        if handler is not None:
            return handler
        parent, _, segment = request.path.rpartition("/")
        return self._handlers_by_route.get(f"{request.method} {parent}/") if segment else None

    async def _decode(self, request: Request, decoder: "msgspec.json.Decoder[T]") -> T | Refusal:
        body = await request.body(self._limits.control_bytes, self._limits.body_timeout)
        if isinstance(body, Refusal):
            return body
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            return Refusal(Reason.MALFORMED, str(error))

    async def _healthz(self, request: Request) -> Response:
        return Response(200, b'{"healthy":true}')

    async def _readyz(self, request: Request) -> Response:
        ready = self._backend.status().ready
        return Response(200 if ready else 503, msgspec.json.encode({"ready": ready}))

    async def _metrics(self, request: Request) -> Response:
        return Response(200, self._backend.metrics(), METRICS_TYPE)

    async def _status(self, request: Request) -> Response:
        return to_response(self._backend.status())

    async def _configuration(self, request: Request) -> Response:
        return to_response(self._backend.configuration())

    async def _data_centres(self, request: Request) -> Response:
        return to_response(self._backend.data_centres())

    async def _endpoints(self, request: Request) -> Response:
        return to_response(self._backend.endpoints())

    async def _announce(self, request: Request) -> Response:
        announcement = await self._decode(request, self._announcement_decoder)
        if isinstance(announcement, Refusal):
            return to_response(announcement)
        return to_response(
            await self._backend.call(lambda call_id: AnnouncementReceived(call_id, announcement))
        )

    async def _change(self, request: Request) -> Response:
        change = await self._decode(request, self._change_decoder)
        if isinstance(change, Refusal):
            return to_response(change)
        return to_response(
            await self._backend.call(lambda call_id: ChangeRequested(call_id, change))
        )

    async def _submit(self, request: Request) -> Response:
        submission = await self._decode(request, self._submission_decoder)
        if isinstance(submission, Refusal):
            return to_response(submission)
        return to_response(
            await self._backend.call(lambda call_id: SubmitRequested(call_id, submission))
        )

    async def _cancel(self, request: Request) -> Response:
        job_id = JobId(_last_path_segment(request))
        return to_response(
            await self._backend.call(lambda call_id: CancelRequested(call_id, job_id))
        )

    async def _job(self, request: Request) -> Response:
        job_id = JobId(_last_path_segment(request))
        wait = request.query("wait")
        if wait is None:
            return to_response(self._backend.job(job_id))
        seconds = _parse_seconds(wait)
        if isinstance(seconds, Refusal):
            return to_response(seconds)
        timeout = Seconds(min(seconds, MAX_JOB_WAIT))
        return to_response(
            await self._backend.call(lambda call_id: WaitRequested(call_id, job_id, timeout))
        )

    async def _jobs(self, request: Request) -> Response:
        state = request.query("state")
        valid_states = {stage.value for stage in JobStage}
        if state is not None and state not in valid_states:
            detail = f"state must be one of {', '.join(sorted(valid_states))}"
            return to_response(Refusal(Reason.MALFORMED, detail))
        jobs = [job for job in self._backend.jobs() if state in (None, job.state.value)]
        return to_response(jobs)

    async def _recover(self, request: Request) -> Response:
        return to_response(await self._backend.call(RecoveryRequested))

    async def _cut_links(self, request: Request) -> Response:
        cut_request = await self._decode(request, self._cut_decoder)
        if isinstance(cut_request, Refusal):
            return to_response(cut_request)
        self._backend.cut_links(frozenset(cut_request.peers))
        return to_response(cut_request)

    async def _request(self, request: Request) -> Response:
        caller_request = await self._read_caller_request(request)
        if isinstance(caller_request, Refusal):
            return to_response(caller_request)
        result = await self._run_until_disconnect(request, caller_request)
        request_id_header = (
            REQUEST_ID_HEADER,
            caller_request.forwarded_request_id or caller_request.request_id,
        )
        if isinstance(result, Refusal):
            response = to_response(result)
            return msgspec.structs.replace(response, headers=(request_id_header, *response.headers))
        headers = (request_id_header, RAN_HEADER)
        return Response(result.status, result.body, result.content_type, headers)

    async def _read_caller_request(self, request: Request) -> CallerRequest | Refusal:
        timeout: float | Refusal | None = None
        deadline = request.header(DEADLINE_HEADER)
        if deadline is not None:
            timeout = _parse_seconds(deadline)
        if isinstance(timeout, Refusal):
            return timeout
        key = request.header(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            detail = f"an idempotency key must have 1 to {MAX_KEY_LENGTH} characters"
            return Refusal(Reason.MALFORMED, detail)
        body = await request.body(self._limits.request_bytes, self._limits.body_timeout)
        if isinstance(body, Refusal):
            return body
        return CallerRequest(
            request_id=self._new_request_id(),
            profile_name=ProfileName(_last_path_segment(request)),
            body=body,
            key=IdempotencyKey(key) if key is not None else None,
            timeout=timeout,
            forwarded_request_id=_forwarded_request_id(request),
            traceparent=request.header("traceparent"),
        )

    async def _run_until_disconnect(
        self, request: Request, caller_request: CallerRequest
    ) -> RequestAnswer | Refusal:
        """Process the request; cancel it if the caller disconnects before the answer."""
        results: list[RequestAnswer | Refusal] = []
        async with anyio.create_task_group() as tasks:

            async def run() -> None:
                results.append(await self._backend.request(caller_request))
                tasks.cancel_scope.cancel()

            async def wait_for_disconnect() -> None:
                await request.wait_disconnected()
                tasks.cancel_scope.cancel()

            tasks.start_soon(run)
            tasks.start_soon(wait_for_disconnect)
        if not results:
            raise CallerDisconnectedError
        return results[0]


def _forwarded_request_id(request: Request) -> RequestId | None:
    """Return the id that a forwarded request has at the entry instance that forwarded it."""
    if request.header(FORWARDED_HEADER) is None:
        return None
    return RequestId(request.header(REQUEST_ID_HEADER) or "")


def _last_path_segment(request: Request) -> str:
    return request.path.rpartition("/")[2]


def _parse_seconds(text: str) -> float | Refusal:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 1e6:
        return Refusal(Reason.MALFORMED, f"{text!r} is not a number of seconds")
    return value
