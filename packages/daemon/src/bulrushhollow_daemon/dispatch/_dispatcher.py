"""
bulrushhollow_daemon.dispatch._dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Makes one attempt of a request. A failure before the first byte of the request is written to the
connection proves that the request did not run; a later failure leaves that unknown.
"""

from collections.abc import Sequence
from urllib.parse import quote

import anyio
import httpcore
import msgspec

from bulrushhollow_core.endpoints import (
    DEADLINE_HEADER,
    EXECUTION_HEADER,
    FORWARDED_HEADER,
    NOT_RUN_HEADER,
    PROFILE_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    REQUEST_PATH,
    RUN_PATH,
)
from bulrushhollow_core.ids import InstanceName, Seconds
from bulrushhollow_core.models import Profile
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import AttemptEnd, AttemptResult, Dispatch, Forward
from bulrushhollow_daemon.dispatch._checks import AnswerHead, InvalidAnswer, read_answer_head
from bulrushhollow_daemon.dispatch._connections import (
    MAX_IDLE_TIME,
    MAX_IDLE_TIME_NON_IDEMPOTENT,
    Connection,
    ConnectionPool,
)
from bulrushhollow_daemon.json_lists import DECODE_ERRORS

PRUNE_INTERVAL = Seconds(1.0)
"""Seconds between two prunes of idle connections."""

MAX_FORWARD_CONNECTIONS = 64
"""Most connections to one entry instance of another data centre."""

FORWARD_MARGIN = Seconds(0.02)
"""Seconds by which the deadline given to the other instance is earlier, so that its answer arrives
in time."""

SERVICE_UNAVAILABLE = 503
"""HTTP status of an endpoint that refuses a request without running it."""

NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)
"""Exceptions raised for a broken connection or a malformed answer."""

Header = tuple[bytes, bytes]


class AttemptAnswer(msgspec.Struct, frozen=True):
    """
    The result of an attempt and the answer for the caller.

    :param body: body of a complete answer, otherwise empty.
    :param content_type: content type of the answer; empty if the endpoint sent none.
    """

    result: AttemptResult
    body: bytes = b""
    content_type: str = ""


class Dispatcher:
    """
    Sends requests over pooled connections.

    Usage::

        answer = await dispatcher.send(dispatch, body, profile)
        actions = router.handle_result(dispatch.request_id, dispatch.attempt, answer.result, now)

    :param instance_name: name of this instance, sent with forwarded requests.
    :param max_answer_bytes: largest body of an answer.
    """

    def __init__(self, instance_name: InstanceName, max_answer_bytes: int) -> None:
        self._instance_name = instance_name
        self._max_answer_bytes = max_answer_bytes
        self._pools_by_address: dict[str, ConnectionPool] = {}
        self._next_prune_at = Seconds(0.0)

    async def send(
        self,
        dispatch: Dispatch | Forward,
        body: bytes,
        profile: Profile,
        headers: Sequence[Header] = (),
    ) -> AttemptAnswer:
        """
        Make one attempt.

        :param headers: additional headers, such as a trace context.
        :return: the outcome; network errors are returned as results, not raised.
        """
        await self._prune_if_due()
        attempt = _Attempt(dispatch, body, profile, (*self._headers(dispatch, profile), *headers))
        pool = self._pools_by_address.get(dispatch.address)
        if pool is None:
            pool = ConnectionPool(dispatch.address)
            self._pools_by_address[dispatch.address] = pool
        with anyio.move_on_after(dispatch.timeout):
            return await attempt.run(pool, self._max_answer_bytes)
        return attempt.timeout_answer()

    async def prune(self) -> None:
        """Close connections that were idle for too long."""
        now = Seconds(anyio.current_time())
        for address, pool in list(self._pools_by_address.items()):
            await pool.prune(now)
            if pool.is_empty and self._pools_by_address.get(address) is pool:
                del self._pools_by_address[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools_by_address.values():
            await pool.close()

    async def _prune_if_due(self) -> None:
        now = Seconds(anyio.current_time())
        if now >= self._next_prune_at:
            self._next_prune_at = Seconds(now + PRUNE_INTERVAL)
            await self.prune()

    def _headers(self, dispatch: Dispatch | Forward, profile: Profile) -> list[Header]:
        values_by_name = {
            "host": dispatch.address,
            "content-type": "application/octet-stream",
            REQUEST_ID_HEADER: dispatch.request_id,
        }
        if isinstance(dispatch, Forward):
            remaining = max(0.0, dispatch.timeout - FORWARD_MARGIN)
            values_by_name[FORWARDED_HEADER] = self._instance_name
            values_by_name[DEADLINE_HEADER] = f"{remaining:.3f}"
        else:
            values_by_name[PROFILE_HEADER] = profile.name
            values_by_name[DEADLINE_HEADER] = f"{dispatch.timeout:.3f}"
        return [(name.encode(), value.encode()) for name, value in values_by_name.items()]


class _Attempt:
    """One attempt, which records whether its request may have been sent."""

    def __init__(
        self,
        dispatch: Dispatch | Forward,
        body: bytes,
        profile: Profile,
        headers: Sequence[Header],
    ) -> None:
        self._dispatch = dispatch
        self._body = body
        self._profile = profile
        self._headers = [*headers, (b"content-length", str(len(body)).encode())]
        self._may_have_been_sent = False

    async def run(self, pool: ConnectionPool, max_answer_bytes: int) -> AttemptAnswer:
        """Send the request and read its answer."""
        dispatch = self._dispatch
        max_idle = MAX_IDLE_TIME if self._profile.idempotent else MAX_IDLE_TIME_NON_IDEMPOTENT
        max_connections = (
            dispatch.connections if isinstance(dispatch, Dispatch) else MAX_FORWARD_CONNECTIONS
        )
        try:
            connection = await pool.acquire(dispatch.timeout, max_idle, max_connections)
        except NETWORK_ERRORS as error:
            return self._connection_failure(f"no connection: {type(error).__name__}")
        is_reusable = False
        try:
            answer, is_reusable = await self._exchange(connection, max_answer_bytes)
        except NETWORK_ERRORS as error:
            return self._connection_failure(f"the connection broke: {type(error).__name__}")
        finally:
            await pool.release(connection, is_reusable)
        return answer

    def timeout_answer(self) -> AttemptAnswer:
        """Return the outcome of an attempt that timed out."""
        if self._may_have_been_sent:
            result = AttemptResult(
                AttemptEnd.LOST, reason=Reason.DEADLINE, detail="no answer in time"
            )
            return AttemptAnswer(result)
        return self._connection_failure("no connection in time")

    async def _exchange(
        self, connection: Connection, max_answer_bytes: int
    ) -> tuple[AttemptAnswer, bool]:
        """
        Write the request and read the answer.

        :return: the outcome, and whether the connection can be reused.
        """
        connection.stream.reset_counts()
        self._may_have_been_sent = True
        response = await connection.http.handle_async_request(self._request())
        head = read_answer_head(response, self._dispatch.request_id, max_answer_bytes)
        if isinstance(head, InvalidAnswer):
            return _malformed_answer(head), False
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > max_answer_bytes:
                return _malformed_answer(InvalidAnswer("the answer is too long")), False
        await response.aclose()
        extra_bytes = await _read_extra_bytes(connection, head, len(body))
        if extra_bytes and not extra_bytes.startswith(b"HTTP/1."):
            return (
                _malformed_answer(InvalidAnswer("the answer is longer than its stated length")),
                False,
            )
        is_reusable = head.body_length is not None and not extra_bytes
        return self._to_attempt_answer(head, bytes(body)), is_reusable

    def _request(self) -> httpcore.Request:
        dispatch = self._dispatch
        path = RUN_PATH
        if isinstance(dispatch, Forward):
            path = REQUEST_PATH + quote(self._profile.name, safe="")
        url = httpcore.URL(f"http://{dispatch.address}{path}")
        return httpcore.Request("POST", url, headers=self._headers, content=self._body)

    def _to_attempt_answer(self, head: AnswerHead, body: bytes) -> AttemptAnswer:
        if isinstance(self._dispatch, Forward):
            return _read_forwarded_answer(head, body)
        if head.status == SERVICE_UNAVAILABLE and head.header(NOT_RUN_HEADER) == "true":
            result = AttemptResult(
                AttemptEnd.REFUSED,
                reason=Reason.ENDPOINT_REFUSED,
                detail="the endpoint refused to run the request",
                retry_after=head.retry_after(),
            )
            return AttemptAnswer(result)
        return _complete_answer(head, body)

    def _connection_failure(self, detail: str) -> AttemptAnswer:
        if self._may_have_been_sent:
            return AttemptAnswer(AttemptResult(AttemptEnd.LOST, detail=detail))
        result = AttemptResult(AttemptEnd.NOT_WRITTEN, reason=Reason.ENDPOINT_FAILED, detail=detail)
        return AttemptAnswer(result)


async def _read_extra_bytes(connection: Connection, head: AnswerHead, body_bytes: int) -> bytes:
    """Return the bytes received after an answer of known length."""
    if head.body_length is None:
        return b""
    extra_bytes = connection.stream.extra_bytes(body_bytes)
    if connection.http.is_closed():
        return extra_bytes
    if not extra_bytes and connection.stream.get_extra_info("is_readable"):
        extra_bytes = await connection.stream.read(1024)
    return extra_bytes


def _complete_answer(head: AnswerHead, body: bytes) -> AttemptAnswer:
    result = AttemptResult(AttemptEnd.WHOLE, head.status)
    return AttemptAnswer(result, body, head.header("content-type"))


def _malformed_answer(invalid: InvalidAnswer) -> AttemptAnswer:
    result = AttemptResult(AttemptEnd.LOST, reason=Reason.ANSWER_MALFORMED, detail=invalid.detail)
    return AttemptAnswer(result)


def _read_forwarded_answer(head: AnswerHead, body: bytes) -> AttemptAnswer:
    """Return the outcome in the answer of the entry instance that a request was forwarded to."""
    ran = head.header(EXECUTION_HEADER) == Execution.RAN.value
    if ran and not head.header(REASON_HEADER):
        return _complete_answer(head, body)
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except DECODE_ERRORS:
        return _malformed_answer(InvalidAnswer("the other instance's answer is malformed"))
    end = AttemptEnd.REFUSED if refusal.execution is Execution.NOT_RUN else AttemptEnd.LOST
    result = AttemptResult(
        end, reason=refusal.reason, detail=refusal.detail, retry_after=refusal.retry_after
    )
    return AttemptAnswer(result)
