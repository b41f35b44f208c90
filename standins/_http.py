"""
standins._http
~~~~~~~~~~~~~~

The small HTTP server and client that the stand-ins share.
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
"""Seconds for each step of a call of a stand-in."""

LISTEN_BACKLOG = 1024
"""Connections that the kernel holds before they are accepted."""


class Exchange(msgspec.Struct, frozen=True):
    """A request as a stand-in receives it; header names are in lower case."""

    method: str
    path: str
    headers_by_name: dict[str, str]
    body: bytes


class Reply(msgspec.Struct, frozen=True):
    """
    The answer of a stand-in.

    :param sent: how many bytes of the body are sent before the connection is cut; None is all.
    """

    status: int = 200
    body: bytes = b""
    headers_by_name: dict[str, str] = {}
    sent: int | None = None


class Announced(msgspec.Struct, frozen=True):
    """The line that a stand-in prints on its start."""

    role: str
    address: str


Handler = Callable[[Exchange], Awaitable[Reply]]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Emit = Callable[[Message], Awaitable[None]]


def json_reply(value: object) -> Reply:
    """Answer with a struct as JSON."""
    return Reply(200, msgspec.json.encode(value), {"content-type": "application/json"})


def read_json(exchange: Exchange, kind: type[T]) -> T | Reply:
    """Decode the body, or return the answer that says what is wrong with it."""
    try:
        return msgspec.json.decode(exchange.body, type=kind)
    except msgspec.DecodeError as error:
        return Reply(400, str(error).encode())


class Server(uvicorn.Server):
    """A server on a socket of its own that leaves signals to its stand-in."""

    def __init__(self, handler: Handler, listen: str) -> None:
        """Bind the socket, port 0 being the kernel's choice."""
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
        """The bound IP number and port."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self.server_state.connections)

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave signals alone."""
        yield

    async def run_until_stopped(self) -> None:
        """Serve until :meth:`stop`, then finish the requests in flight."""
        await self.serve(sockets=[self._socket])

    def stop(self) -> None:
        """Take no new connection and end once nothing is in flight."""
        self.should_exit = True


def _application(handler: Handler) -> Callable[[Message, Receive, Emit], Awaitable[None]]:
    async def application(scope: Message, receive: Receive, emit: Emit) -> None:
        exchange = Exchange(
            method=scope["method"],
            path=scope["path"],
            headers_by_name={
                name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
            },
            body=await _read_body(receive),
        )
        await _send_reply(await handler(exchange), emit)

    return application


async def _read_body(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def _send_reply(reply: Reply, emit: Emit) -> None:
    headers = {"content-length": str(len(reply.body)), **reply.headers_by_name}
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]
    await emit({"type": "http.response.start", "status": reply.status, "headers": pairs})
    cut = reply.sent is not None
    body = reply.body[: reply.sent]
    await emit({"type": "http.response.body", "body": body, "more_body": cut})


async def post(
    pool: httpcore.AsyncConnectionPool, url: str, value: object, kind: type[T]
) -> T | None:
    """
    Post a struct as JSON.

    :return: the decoded answer; None if there was no good one.
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


def announce(role: str, address: str) -> None:
    """Print the line by which a parent process learns the bound address."""
    print(msgspec.json.encode(Announced(role, address)).decode(), flush=True)


def split_addresses(text: str) -> Iterator[str]:
    """Split a list of addresses at its commas."""
    return (part.strip().rstrip("/") for part in text.split(",") if part.strip())
