import asyncio
import socket
import unittest
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import uvicorn

from bulrushhollow_daemon.http_server import HttpServer

Message = MutableMapping[str, Any]
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
READ_TIMEOUT = 10.0
"""Seconds after which a read fails."""


async def application(
    scope: Message,
    receive: Callable[[], Awaitable[Message]],
    send: Callable[[Message], Awaitable[None]],
) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"whole"})


def send_and_read(connection: socket.socket) -> bytes:
    """Send a request and read until the other end closes."""
    with connection:
        connection.settimeout(READ_TIMEOUT)
        connection.sendall(REQUEST)
        return b"".join(iter(lambda: connection.recv(4096), b""))


class CloseListenerTest(unittest.TestCase):
    def test_a_connection_in_the_backlog_is_served(self) -> None:
        asyncio.run(self._close_listener_with_waiting_connection())

    async def _close_listener_with_waiting_connection(self) -> None:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        address = sock.getsockname()
        config = uvicorn.Config(application, lifespan="off", log_config=None, http="h11")
        server = HttpServer(config)
        serving = asyncio.ensure_future(server.serve([sock]))
        while not server.started:
            await asyncio.sleep(0.01)
        waiting = socket.create_connection(address)
        server.close_listener()
        answer = await asyncio.to_thread(send_and_read, waiting)
        self.assertIn(b"whole", answer)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)
        server.should_exit = True
        await serving


if __name__ == "__main__":
    unittest.main()
