"""
standins._http
~~~~~~~~~~~~~~

A small HTTP server and client for the stand-ins.
"""

import contextlib
import signal
import socket
from collections.abc import Awaitable, Callable, Generator, Iterator, MutableMapping
from typing import Any, TypeVar

import anyio
import httpcore
import msgspec
import uvicorn

T = TypeVar("T")

CALL_TIMEOUTS = {"connect": 1.0, "pool": 1.0, "read": 2.0, "write": 2.0}
"""Seconds for each phase of a call that a stand-in makes."""

LISTEN_BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""


class Request(msgspec.Struct, frozen=True):
    """A request that a stand-in receives; header names are in lower case."""

    method: str
    path: str
    headers_by_name: dict[str, str]
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """
    The answer of a stand-in.

    :param sent_bytes: bytes of the body that are sent before the connection is closed; None sends
        all of them.
    """

    status: int = 200
    body: bytes = b""
    headers_by_name: dict[str, str] = {}
    sent_bytes: int | None = None


class StartupLine(msgspec.Struct, frozen=True):
    """The line of JSON that a stand-in prints when it has started."""

    role: str
    address: str


Handler = Callable[[Request], Awaitable[Reply]]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


def json_reply(value: object) -> Reply:
    """Return an answer that carries a struct as JSON."""
    return Reply(200, msgspec.json.encode(value), {"content-type": "application/json"})


def read_json(request: Request, kind: type[T]) -> T | Reply:
    """Return the decoded body, or a status 400 that says what is wrong with it."""
    try:
        return msgspec.json.decode(request.body, type=kind)
    except msgspec.DecodeError as error:
        return Reply(400, str(error).encode())


class Server(uvicorn.Server):
    """An HTTP server that binds its own socket and leaves signals to the stand-in."""

    def __init__(self, handler: Handler, listen: str) -> None:
        """Bind the socket; the kernel chooses the port if it is 0."""
        host, _, port = listen.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        config = uvicorn.Config(
            _application(handler),
            lifespan="off",
            log_level="critical",
            access_log=False,
            http="h11",
            ws="none",
            server_header=False,
            date_header=False,
        )
        super().__init__(config)

    @property
    def address(self) -> str:
        """The bound IP address and port."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self.server_state.connections)

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Keep uvicorn from installing its signal handlers."""
        yield

    async def run_until_stopped(self) -> None:
        """Serve until :meth:`stop`, then finish the requests in flight."""
        await self.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Accept no new connection, and end once no request is in flight."""
        self.should_exit = True


def _application(handler: Handler) -> Callable[[Message, Receive, Send], Awaitable[None]]:
    async def application(scope: Message, receive: Receive, send: Send) -> None:
        request = Request(
            method=scope["method"],
            path=scope["path"],
            headers_by_name={
                name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
            },
            body=await _read_body(receive),
        )
        await _send_reply(await handler(request), send)

    return application


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _send_reply(reply: Reply, send: Send) -> None:
    headers = {"content-length": str(len(reply.body)), **reply.headers_by_name}
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": reply.status, "headers": pairs})
    is_cut = reply.sent_bytes is not None
    body = reply.body[: reply.sent_bytes]
    await send({"type": "http.response.body", "body": body, "more_body": is_cut})


async def post(
    pool: httpcore.AsyncConnectionPool, url: str, value: object, kind: type[T]
) -> T | None:
    """
    Post a struct as JSON.

    :return: the decoded answer; None if the call failed or its answer was not a valid 200.
    """
    try:
        answer = await pool.request(
            "POST",
            url,
            headers=[("content-type", "application/json")],
            content=msgspec.json.encode(value),
            extensions={"timeout": CALL_TIMEOUTS},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return None
    if answer.status != 200:
        return None
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except msgspec.DecodeError:
        return None


async def wait_for_stop_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


def print_address(role: str, address: str) -> None:
    """Print the bound address as JSON for the parent process."""
    print(msgspec.json.encode(StartupLine(role, address)).decode(), flush=True)


def split_addresses(text: str) -> Iterator[str]:
    """Return the addresses of a comma-separated list."""
    return (part.strip().rstrip("/") for part in text.split(",") if part.strip())
