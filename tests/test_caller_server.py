"""Slow and idle connections are closed; above the limit, the longest idle one is closed first."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain._process import SingleResponse
from bulrushhollow_daemon.http_messages import Response
from bulrushhollow_daemon.http_server import bound_address, open_listener
from bulrushhollow_daemon.settings import Address

UNFINISHED_REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n"
LONG = Seconds(60.0)
SHORT = Seconds(0.05)
TEST_TIMEOUT = 10.0
"""Seconds after which a test fails."""


def run_exchange(limits: ServerLimits, exchange: Callable[[str, int], Awaitable[None]]) -> None:
    async def run() -> None:
        server = make_caller_server(SingleResponse(lambda: Response(200, b"ok")), limits)
        sock = open_listener(Address("127.0.0.1", 0))
        address = bound_address(sock)
        serving = asyncio.ensure_future(server.serve([sock]))
        try:
            await asyncio.wait_for(exchange(address.host, address.port), TEST_TIMEOUT)
        finally:
            server.should_exit = True
            server.force_exit = True
            await serving

    asyncio.run(run())


class LimitsTest(unittest.TestCase):
    def test_a_connection_with_incomplete_headers_is_closed(self) -> None:
        async def exchange(host: str, port: int) -> None:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(UNFINISHED_REQUEST)
            self.assertEqual(b"", await reader.read())

        run_exchange(ServerLimits(SHORT, LONG, 10), exchange)

    def test_an_idle_connection_is_closed(self) -> None:
        async def exchange(host: str, port: int) -> None:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(UNFINISHED_REQUEST + b"\r\n")
            self.assertTrue((await reader.read()).endswith(b"ok"))

        run_exchange(ServerLimits(LONG, SHORT, 10), exchange)

    def test_above_the_limit_the_longest_idle_connection_is_closed(self) -> None:
        async def exchange(host: str, port: int) -> None:
            first, _ = await asyncio.open_connection(host, port)
            reader, writer = await asyncio.open_connection(host, port)
            self.assertEqual(b"", await first.read())
            writer.write(UNFINISHED_REQUEST + b"connection: close\r\n\r\n")
            self.assertTrue((await reader.read()).endswith(b"ok"))

        run_exchange(ServerLimits(LONG, LONG, 1), exchange)


if __name__ == "__main__":
    unittest.main()
