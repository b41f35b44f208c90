"""Callers that are slow or idle are not kept, and idle ones make room for others."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain._process import SingleResponse
from bulrushhollow_daemon.http_messages import Response
from bulrushhollow_daemon.http_server import bind, bound
from bulrushhollow_daemon.settings import Address

HEAD = b"GET / HTTP/1.1\r\nhost: x\r\n"
LONG = Seconds(60.0)
SHORT = Seconds(0.05)
GIVE_UP = 10.0
"""Seconds after which a test gives up waiting."""


def play(limits: ServerLimits, act: Callable[[str, int], Awaitable[None]]) -> None:
    async def run() -> None:
        server = make_caller_server(SingleResponse(lambda: Response(200, b"ok")), limits)
        sock = bind(Address("127.0.0.1", 0))
        address = bound(sock)
        serving = asyncio.ensure_future(server.serve([sock]))
        try:
            await asyncio.wait_for(act(address.host, address.port), GIVE_UP)
        finally:
            server.should_exit = True
            server.force_exit = True
            await serving

    asyncio.run(run())


class LimitsTest(unittest.TestCase):
    def test_half_a_head_is_not_kept(self) -> None:
        async def act(host: str, port: int) -> None:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(HEAD)
            self.assertEqual(b"", await reader.read())

        play(ServerLimits(SHORT, LONG, 10), act)

    def test_an_idle_connection_is_not_kept(self) -> None:
        async def act(host: str, port: int) -> None:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(HEAD + b"\r\n")
            self.assertTrue((await reader.read()).endswith(b"ok"))

        play(ServerLimits(LONG, SHORT, 10), act)

    def test_the_longest_idle_connection_makes_room(self) -> None:
        async def act(host: str, port: int) -> None:
            first, _ = await asyncio.open_connection(host, port)
            reader, writer = await asyncio.open_connection(host, port)
            self.assertEqual(b"", await first.read())
            writer.write(HEAD + b"connection: close\r\n\r\n")
            self.assertTrue((await reader.read()).endswith(b"ok"))

        play(ServerLimits(LONG, LONG, 1), act)


if __name__ == "__main__":
    unittest.main()
