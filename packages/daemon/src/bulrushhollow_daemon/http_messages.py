"""
bulrushhollow_daemon.http_messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reads HTTP requests with bounded bodies and writes answers over ASGI.
"""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import parse_qs

import anyio
import anyio.lowlevel
import msgspec

from bulrushhollow_core.outcomes import Execution, Reason, Refusal

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

JSON = "application/json"

STATUS_BY_REASON = {
    Reason.MALFORMED: 400,
    Reason.INVALID: 422,
    Reason.WRONG_KIND: 422,
    Reason.NEVER_FITS: 422,
    Reason.GUARANTEES_DO_NOT_FIT: 422,
    Reason.TOO_LARGE: 413,
    Reason.NO_SUCH_PROFILE: 404,
    Reason.NO_SUCH_WORKSPACE: 404,
    Reason.NO_SUCH_DATA_CENTRE: 404,
    Reason.NO_SUCH_ENDPOINT: 404,
    Reason.NO_SUCH_JOB: 404,
    Reason.VERSION_CONFLICT: 409,
    Reason.CHANGE_ID_REUSED: 409,
    Reason.STILL_IN_USE: 409,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_BODY_DIFFERS: 409,
    Reason.KEY_OUTCOME_UNKNOWN: 409,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ANSWER_LOST: 502,
    Reason.ANSWER_MALFORMED: 502,
    Reason.INSTANCE_LOST: 502,
    Reason.DEADLINE: 504,
}
"""HTTP status by the reason of a refusal. Every other reason is 503, which callers may retry."""

SERVICE_UNAVAILABLE = 503

MAX_RETRY_AFTER = 86_400.0
"""Seconds after which callers are told to retry at most."""

EOF_TURNS = 4
"""Turns of the event loop in which the end of a connection is read that has arrived already."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its request was complete or answered."""


class Request:
    """One HTTP request."""

    def __init__(self, scope: Scope, receive: Receive) -> None:
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self._receive = receive
        self._headers = scope["headers"]
        self._query: bytes = scope["query_string"]

    def header(self, name: str) -> str | None:
        """Return the first header with this lower-case name, or None."""
        encoded_name = name.encode()
        return next((v.decode("latin-1") for k, v in self._headers if k == encoded_name), None)

    def query(self, name: str) -> str | None:
        """Return the first value of a query parameter, or None."""
        values = parse_qs(self._query.decode("latin-1")).get(name)
        return values[0] if values else None

    async def body(self, max_bytes: int, timeout: float) -> bytes | Refusal:
        """
        Read the whole body.

        :param max_bytes: largest body.
        :param timeout: seconds within which the whole body must arrive.
        :return: the body, or a refusal if it is too large or too slow.
        :raises CallerDisconnectedError: if the caller closed its connection.
        """
        length = self.header("content-length")
        if length is not None and length.isdigit() and int(length) > max_bytes:
            return Refusal(Reason.TOO_LARGE, f"the body may have {max_bytes} bytes at most")
        body = bytearray()
        with anyio.move_on_after(timeout):
            while True:
                message = await self._receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError
                body += message.get("body", b"")
                if len(body) > max_bytes:
                    return Refusal(Reason.TOO_LARGE, f"the body may have {max_bytes} bytes at most")
                if not message.get("more_body", False):
                    return bytes(body)
        return Refusal(Reason.DEADLINE, f"the body did not arrive within {timeout} s")

    async def is_disconnected(self) -> bool:
        """
        Return whether the caller has closed its connection; only valid after the body was read.

        The end of a connection may be read up to two turns of the event loop after the last bytes,
        even if both have arrived together.
        """
        for _ in range(EOF_TURNS):
            await anyio.lowlevel.checkpoint()
        with anyio.move_on_after(0):
            message = await self._receive()
            return bool(message["type"] == "http.disconnect")
        return False

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes its connection; only valid after the body was read."""
        while (await self._receive())["type"] != "http.disconnect":
            pass


class Response(msgspec.Struct, frozen=True):
    """One HTTP answer."""

    status: int
    body: bytes
    content_type: str = JSON
    headers: tuple[tuple[str, str], ...] = ()

    async def send(self, send: Send) -> None:
        """Send the whole answer."""
        content_headers = (
            ("content-type", self.content_type),
            ("content-length", str(len(self.body))),
        )
        headers = [(k.encode(), v.encode("latin-1")) for k, v in content_headers + self.headers]
        await send({"type": "http.response.start", "status": self.status, "headers": headers})
        await send({"type": "http.response.body", "body": self.body})


def to_response(answer: object) -> Response:
    """Return an answer of the core, or a refusal, as JSON with the matching status."""
    if isinstance(answer, Refusal):
        return refusal_response(answer)
    return Response(200, msgspec.json.encode(answer))


def with_connection_close(response: Response) -> Response:
    """Return the answer with ``connection: close``, so that the caller opens a new connection."""
    return msgspec.structs.replace(response, headers=(*response.headers, ("connection", "close")))


def limit_retry_after(seconds: float) -> float:
    """Return after how many seconds to retry; another instance may state any number, or none."""
    return min(MAX_RETRY_AFTER, max(1.0, seconds))


def refusal_response(refusal: Refusal) -> Response:
    """Return a refusal as JSON, with headers that state whether the work ran."""
    status = STATUS_BY_REASON.get(refusal.reason, SERVICE_UNAVAILABLE)
    headers = [("execution", refusal.execution.value), ("reason", refusal.reason.value)]
    if refusal.retry_after is not None:
        headers.append(("retry-after", str(round(limit_retry_after(refusal.retry_after)))))
    return Response(status, msgspec.json.encode(refusal), headers=tuple(headers))


RAN_HEADER = ("execution", Execution.RAN.value)
