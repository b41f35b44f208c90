"""A small HTTP/1.1 server and client on asyncio streams, enough for the platform's messages."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 421: "Misdirected"}


@dataclass
class Request:
    """A request as the server read it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


@dataclass
class Answer:
    """An answer; status 0 stands for none."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Return the decoded body, or an empty table if it cannot be decoded."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class HttpServer:
    """
    Serves one address.

    :param handle: returns the answer to a request, or None to leave it unanswered.
    """

    def __init__(self, handle: Callable[[Request], Awaitable[Answer | None]]) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    def close(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self._handle(Request(method, path, headers, body))
                if answer is None:
                    continue
                reason = REASONS.get(answer.status, "Status")
                head = f"HTTP/1.1 {answer.status} {reason}\r\n"
                head += "content-type: application/json\r\n"
                head += f"content-length: {len(answer.body)}\r\n\r\n"
                writer.write(head.encode() + answer.body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case has ended while a connection was open.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(
    method: str,
    address: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
    timeout: float = 3.0,
) -> Answer:
    """Make one call over a connection of its own; status 0 if no complete answer came in time."""
    host, _, port = address.rpartition(":")
    content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    fields = {
        "host": address,
        "content-type": "application/json",
        "content-length": str(len(content)),
        **(headers or {}),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + content)
            first, answer_headers, answer_body = await _read_message(reader)
            return Answer(int(first.split(" ")[1]), answer_body, answer_headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.transport.abort()
