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
from bulrushhollow_daemon.api._backend import Backend, Delivery, RequestCall
from bulrushhollow_daemon.http_messages import (
    RAN_HEADER,
    CallerGoneError,
    Receive,
    Request,
    Response,
    Scope,
    Send,
    last_on_connection,
    to_response,
)
from bulrushhollow_daemon.settings import Limits

KEY_LENGTH_LIMIT = 128
"""Longest idempotency key, in characters."""
WAIT_LIMIT = 60.0
"""Longest wait for a job that one call may ask for, in seconds."""
NEED_STATE = (
    "GET /v1/configuration",
    "GET /v1/datacentres",
    "GET /v1/jobs",
    "GET /v1/jobs/",
    "POST /v1/jobs",
)
"""Routes whose answers rest on what the log has decided."""

NOT_CAUGHT_UP = Refusal(
    Reason.NOT_READY, "this instance has not seen the present configuration yet", retry_after=1.0
)
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

logger = logging.getLogger(__name__)
T = TypeVar("T")
Handler = Callable[[Request], Awaitable[Response]]


class Cut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the development call that cuts links."""

    peers: tuple[InstanceName, ...]


class Api:
    """
    The ASGI application.

    :param backend: the daemon behind it.
    :param limits: bounds on bodies and waits.
    :param faults: whether the development switch is reachable.
    :param new_request: makes a unique request id.
    """

    def __init__(
        self,
        backend: Backend,
        limits: Limits,
        faults: bool,
        new_request: Callable[[], RequestId],
    ) -> None:
        self._backend = backend
        self._limits = limits
        self._new_request = new_request
        self._change_decoder = msgspec.json.Decoder(ChangeConfiguration)
        self._submit_decoder = msgspec.json.Decoder(SubmitRequest)
        self._announcement_decoder = msgspec.json.Decoder(Announcement)
        self._cut_decoder = msgspec.json.Decoder(Cut)
        self._handlers_by_route = self._routes(faults)

    def _routes(self, faults: bool) -> dict[str, Handler]:
        """Return handlers by method and path; a path that ends in ``/`` takes one more part."""
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
        for route in NEED_STATE:
            routes[route] = self._once_caught_up(routes[route])
        if faults:
            routes["POST /v1/development/cut"] = self._cut
        return routes

    def _once_caught_up(self, handler: Handler) -> Handler:
        """Refuse a call as long as this instance does not know what the log has decided."""

        async def guarded(request: Request) -> Response:
            if not self._backend.has_caught_up():
                return to_response(NOT_CAUGHT_UP)
            return await handler(request)

        return guarded

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        request = Request(scope, receive)
        try:
            response = await self._respond(request)
        except CallerGoneError:
            return
        if self._backend.is_stopping():
            response = last_on_connection(response)
        await response.send(send)

    async def _respond(self, request: Request) -> Response:
        handler = self._find(request)
        if handler is None:
            return Response(404, b'{"error":"no such resource"}')
        try:
            return await handler(request)
        except CallerGoneError:
            raise
        except Exception:
            logger.exception("handler_failed", extra={"path": request.path})
            detail = "internal error"
            return to_response(Refusal(Reason.INSTANCE_LOST, detail, Execution.UNKNOWN))

    def _find(self, request: Request) -> Handler | None:
        exact = self._handlers_by_route.get(f"{request.method} {request.path}")
        if exact is not None:
            return exact
        parent, _, last = request.path.rpartition("/")
        return self._handlers_by_route.get(f"{request.method} {parent}/") if last else None

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
            await self._backend.call(lambda call: AnnouncementReceived(call, announcement))
        )

    async def _change(self, request: Request) -> Response:
        change = await self._decode(request, self._change_decoder)
        if isinstance(change, Refusal):
            return to_response(change)
        return to_response(await self._backend.call(lambda call: ChangeRequested(call, change)))

    async def _submit(self, request: Request) -> Response:
        submit = await self._decode(request, self._submit_decoder)
        if isinstance(submit, Refusal):
            return to_response(submit)
        return to_response(await self._backend.call(lambda call: SubmitRequested(call, submit)))

    async def _cancel(self, request: Request) -> Response:
        job = JobId(_last_part(request))
        return to_response(await self._backend.call(lambda call: CancelRequested(call, job)))

    async def _job(self, request: Request) -> Response:
        job = JobId(_last_part(request))
        wait = request.query("wait")
        if wait is None:
            return to_response(self._backend.job(job))
        within = _parse_seconds(wait)
        if isinstance(within, Refusal):
            return to_response(within)
        limited = Seconds(min(within, WAIT_LIMIT))
        return to_response(await self._backend.call(lambda call: WaitRequested(call, job, limited)))

    async def _jobs(self, request: Request) -> Response:
        wanted = request.query("state")
        stages = {stage.value for stage in JobStage}
        if wanted is not None and wanted not in stages:
            detail = f"state is one of {', '.join(sorted(stages))}"
            return to_response(Refusal(Reason.MALFORMED, detail))
        found = [job for job in self._backend.jobs() if wanted in (None, job.state.value)]
        return to_response(found)

    async def _recover(self, request: Request) -> Response:
        return to_response(await self._backend.call(RecoveryRequested))

    async def _cut(self, request: Request) -> Response:
        cut = await self._decode(request, self._cut_decoder)
        if isinstance(cut, Refusal):
            return to_response(cut)
        self._backend.cut(frozenset(cut.peers))
        return to_response(cut)

    async def _request(self, request: Request) -> Response:
        call = await self._read_call(request)
        if isinstance(call, Refusal):
            return to_response(call)
        result = await self._carry(request, call)
        answered_id = (REQUEST_ID_HEADER, call.forwarded_as or call.request)
        if isinstance(result, Refusal):
            refused = to_response(result)
            return msgspec.structs.replace(refused, headers=(answered_id, *refused.headers))
        headers = (answered_id, RAN_HEADER)
        return Response(result.status, result.body, result.content_type, headers)

    async def _read_call(self, request: Request) -> RequestCall | Refusal:
        patience: float | Refusal | None = None
        deadline = request.header(DEADLINE_HEADER)
        if deadline is not None:
            patience = _parse_seconds(deadline)
        if isinstance(patience, Refusal):
            return patience
        key = request.header(IDEMPOTENCY_KEY_HEADER)
        if key is not None and not 0 < len(key) <= KEY_LENGTH_LIMIT:
            detail = f"a key has 1 to {KEY_LENGTH_LIMIT} characters"
            return Refusal(Reason.MALFORMED, detail)
        body = await request.body(self._limits.request_bytes, self._limits.body_timeout)
        if isinstance(body, Refusal):
            return body
        return RequestCall(
            request=self._new_request(),
            profile=ProfileName(_last_part(request)),
            body=body,
            key=IdempotencyKey(key) if key is not None else None,
            patience=patience,
            forwarded_as=_forwarded_as(request),
            trace=request.header("traceparent"),
        )

    async def _carry(self, request: Request, call: RequestCall) -> Delivery | Refusal:
        """Carry the request to its end; if the caller goes away first, it is cancelled."""
        results: list[Delivery | Refusal] = []
        async with anyio.create_task_group() as group:

            async def carry() -> None:
                results.append(await self._backend.request(call))
                group.cancel_scope.cancel()

            async def watch() -> None:
                await request.wait_gone()
                group.cancel_scope.cancel()

            group.start_soon(carry)
            group.start_soon(watch)
        if not results:
            raise CallerGoneError
        return results[0]


def _forwarded_as(request: Request) -> RequestId | None:
    """Return the id of a request that another data centre's entry instance sent on."""
    if request.header(FORWARDED_HEADER) is None:
        return None
    return RequestId(request.header(REQUEST_ID_HEADER) or "")


def _last_part(request: Request) -> str:
    return request.path.rpartition("/")[2]


def _parse_seconds(text: str) -> float | Refusal:
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value <= 1e6:
        return Refusal(Reason.MALFORMED, f"{text!r} is not a number of seconds")
    return value
