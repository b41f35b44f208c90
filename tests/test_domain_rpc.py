"""
Calls between instances whose connection breaks after the call has timed out.

grpclib cancels the tasks of a lost connection late. The error of a call that was given up must not
reach asyncio's exception handler as never retrieved.
"""

import asyncio
import gc
import socket
import unittest

from bulrushhollow_core.domain import Probe
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.domain._rpc import CallFailure, RpcClient


class SilentServer(asyncio.Protocol):
    """Accepts a connection and never answers."""

    transports: list[asyncio.BaseTransport] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transports.append(transport)


class CallTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_fails_after_its_timeout_logs_no_unretrieved_error(self) -> None:
        loop = asyncio.get_running_loop()
        errors: list[dict[str, object]] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        sock = socket.create_server(("127.0.0.1", 0))
        server = await loop.create_server(SilentServer, sock=sock)
        client = RpcClient("127.0.0.1", sock.getsockname()[1])
        calls = [client.ask(Probe(), Seconds(timeout)) for timeout in (0.05, 0.1)]
        results = await asyncio.gather(*calls)
        for result in results:
            self.assertIsInstance(result, CallFailure)
        await asyncio.sleep(0.05)
        gc.collect()
        await asyncio.sleep(0)
        server.close()
        client.close()
        self.assertEqual([], [error["message"] for error in errors])
