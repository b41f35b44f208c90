"""
bulrushhollow_daemon.dispatch._dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Carries out one attempt of a request. Everything before the first byte of the request is handed to
the connection is proof that it did not run; everything after it is not.
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
from bulrushhollow_daemon.dispatch._checks import Flaw, Head, read_head
from bulrushhollow_daemon.dispatch._connections import (
    MAX_IDLE_TIME,
    MAX_IDLE_TIME_NON_IDEMPOTENT,
    Connection,
    ConnectionPool,
)

PRUNE_INTERVAL = Seconds(1.0)
"""Seconds between two searches for idle connections to close."""

FORWARD_CONNECTIONS = 64
"""Most connections to one entry instance of another data centre."""

FORWARD_MARGIN = Seconds(0.02)
"""Seconds by which the other instance's deadline is earlier, so that its answer is in time."""

UNAVAILABLE = 503
"""HTTP status with which an endpoint says that it did not run a request."""

NETWORK_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)
"""What a broken connection or a malformed answer raises."""

Header = tuple[bytes, bytes]


class AttemptAnswer(msgspec.Struct, frozen=True):
    """
    Result of an attempt with what the caller may get.

    :param body: the body of a whole answer.
    :param content_type: its type; empty if the endpoint named none.
    """

    result: AttemptResult
    body: bytes = b""
    content_type: str = ""


class Dispatcher:
    """
    Sends requests over connections that it keeps.

    Usage::

        answer = await dispatcher.send(dispatch, body, profile)
        actions = router.answered(dispatch.request_id, dispatch.attempt, answer.result, now)

    :param me: name of this instance, told to instances that a request is forwarded to.
    :param answer_bytes: most bytes of an answer's body.
    """

    def __init__(self, me: InstanceName, answer_bytes: int) -> None:
        self._me = me
        self._answer_bytes = answer_bytes
        self._connections_by_address: dict[str, ConnectionPool] = {}
        self._prune_at = Seconds(0.0)

    async def send(
        self,
        dispatch: Dispatch | Forward,
        body: bytes,
        profile: Profile,
        headers: Sequence[Header] = (),
    ) -> AttemptAnswer:
        """
        Carry out one attempt.

        :param headers: sent beside the attempt's own, such as a trace context.
        :return: what the attempt proves; errors of the network are results, not exceptions.
        """
        await self._prune_sometimes()
        attempt = _Attempt(dispatch, body, profile, (*self._headers(dispatch, profile), *headers))
        connections = self._connections_by_address.get(dispatch.address)
        if connections is None:
            connections = ConnectionPool(dispatch.address)
            self._connections_by_address[dispatch.address] = connections
        with anyio.move_on_after(dispatch.timeout):
            return await attempt.run(connections, self._answer_bytes)
        return attempt.timed_out()

    async def prune(self) -> None:
        """Close connections that were idle for long."""
        now = Seconds(anyio.current_time())
        for address, connections in list(self._connections_by_address.items()):
            await connections.prune(now)
            if connections.is_empty and self._connections_by_address.get(address) is connections:
                del self._connections_by_address[address]

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._connections_by_address.values():
            await connections.close()

    async def _prune_sometimes(self) -> None:
        now = Seconds(anyio.current_time())
        if now >= self._prune_at:
            self._prune_at = Seconds(now + PRUNE_INTERVAL)
            await self.prune()

    def _headers(self, dispatch: Dispatch | Forward, profile: Profile) -> list[Header]:
        values_by_name = {
            "host": dispatch.address,
            "content-type": "application/octet-stream",
            REQUEST_ID_HEADER: dispatch.request_id,
        }
        if isinstance(dispatch, Forward):
            left = max(0.0, dispatch.timeout - FORWARD_MARGIN)
            values_by_name[FORWARDED_HEADER] = self._me
            values_by_name[DEADLINE_HEADER] = f"{left:.3f}"
        else:
            values_by_name[PROFILE_HEADER] = profile.name
            values_by_name[DEADLINE_HEADER] = f"{dispatch.timeout:.3f}"
        return [(name.encode(), value.encode()) for name, value in values_by_name.items()]


class _Attempt:
    """One attempt, and how far it has come."""

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
        self._written = False

    async def run(self, connections: ConnectionPool, answer_bytes: int) -> AttemptAnswer:
        """Send the request and read its answer."""
        dispatch = self._dispatch
        idle_for = MAX_IDLE_TIME if self._profile.idempotent else MAX_IDLE_TIME_NON_IDEMPOTENT
        limit = dispatch.connections if isinstance(dispatch, Dispatch) else FORWARD_CONNECTIONS
        try:
            connection = await connections.acquire(dispatch.timeout, idle_for, limit)
        except NETWORK_ERRORS as error:
            return self._failed(f"no connection: {type(error).__name__}")
        reusable = False
        try:
            answer, reusable = await self._exchange(connection, answer_bytes)
        except NETWORK_ERRORS as error:
            return self._failed(f"the connection broke: {type(error).__name__}")
        finally:
            await connections.release(connection, reusable)
        return answer

    def timed_out(self) -> AttemptAnswer:
        """Return the result of an attempt that ran out of time."""
        if self._written:
            result = AttemptResult(
                AttemptEnd.LOST, reason=Reason.DEADLINE, detail="no answer in time"
            )
            return AttemptAnswer(result)
        return self._failed("no connection in time")

    async def _exchange(
        self, connection: Connection, answer_bytes: int
    ) -> tuple[AttemptAnswer, bool]:
        """
        Write the request and read the answer.

        :return: the result, and whether the connection can be used again.
        """
        connection.stream.begin_answer()
        self._written = True
        response = await connection.http.handle_async_request(self._request())
        head = read_head(response, self._dispatch.request_id, answer_bytes)
        if isinstance(head, Flaw):
            return _malformed(head), False
        body = bytearray()
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > answer_bytes:
                return _malformed(Flaw("the answer is too long")), False
        await response.aclose()
        surplus = await _surplus(connection, head, len(body))
        if surplus and not surplus.startswith(b"HTTP/1."):
            return _malformed(Flaw("the answer is longer than it says")), False
        reusable = head.length is not None and not surplus
        return self._judge(head, bytes(body)), reusable

    def _request(self) -> httpcore.Request:
        dispatch = self._dispatch
        path = RUN_PATH
        if isinstance(dispatch, Forward):
            path = REQUEST_PATH + quote(self._profile.name, safe="")
        url = httpcore.URL(f"http://{dispatch.address}{path}")
        return httpcore.Request("POST", url, headers=self._headers, content=self._body)

    def _judge(self, head: Head, body: bytes) -> AttemptAnswer:
        if isinstance(self._dispatch, Forward):
            return _judge_forwarded(head, body)
        if head.status == UNAVAILABLE and head.value(NOT_RUN_HEADER) == "true":
            result = AttemptResult(
                AttemptEnd.REFUSED,
                reason=Reason.ENDPOINT_REFUSED,
                detail="the endpoint refused to run it",
                retry_after=head.retry_after(),
            )
            return AttemptAnswer(result)
        return _whole(head, body)

    def _failed(self, detail: str) -> AttemptAnswer:
        if self._written:
            return AttemptAnswer(AttemptResult(AttemptEnd.LOST, detail=detail))
        result = AttemptResult(AttemptEnd.NOT_WRITTEN, reason=Reason.ENDPOINT_FAILED, detail=detail)
        return AttemptAnswer(result)


async def _surplus(connection: Connection, head: Head, body_bytes: int) -> bytes:
    """Return what has come in behind an answer of known length."""
    if head.length is None:
        return b""
    surplus = connection.stream.surplus(body_bytes)
    if connection.http.is_closed():
        return surplus
    if not surplus and connection.stream.get_extra_info("is_readable"):
        surplus = await connection.stream.read(1024)
    return surplus


def _whole(head: Head, body: bytes) -> AttemptAnswer:
    result = AttemptResult(AttemptEnd.WHOLE, head.status)
    return AttemptAnswer(result, body, head.value("content-type"))


def _malformed(flaw: Flaw) -> AttemptAnswer:
    result = AttemptResult(AttemptEnd.LOST, reason=Reason.ANSWER_MALFORMED, detail=flaw.detail)
    return AttemptAnswer(result)


def _judge_forwarded(head: Head, body: bytes) -> AttemptAnswer:
    """Read what another entry instance says of a request that was forwarded to it."""
    ran = head.value(EXECUTION_HEADER) == Execution.RAN.value
    if ran and not head.value(REASON_HEADER):
        return _whole(head, body)
    try:
        refusal = msgspec.json.decode(body, type=Refusal)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _malformed(Flaw("the other instance's answer is malformed"))
    end = AttemptEnd.REFUSED if refusal.execution is Execution.NOT_RUN else AttemptEnd.LOST
    result = AttemptResult(
        end, reason=refusal.reason, detail=refusal.detail, retry_after=refusal.retry_after
    )
    return AttemptAnswer(result)
