"""
Calls between instances whose connection breaks after the call has timed out.

grpclib cancels the tasks of a lost connection late. The error of a call that was given up must not
reach asyncio's exception handler as never retrieved.
"""

import asyncio
import gc
import logging
import random
import socket
import unittest
from unittest import mock

from bulrushhollow_core.domain import Probe
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.domain import _rpc
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


class MalformedAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_unexpected_error_of_a_call_does_not_end_the_process(self) -> None:
        # The error left the task group of the peers and ended the process.
        client = RpcClient("127.0.0.1", 9)
        for error in (ValueError("malformed"), RuntimeError("closed"), KeyError("stream")):
            with (
                mock.patch.object(_rpc._CallAttempt, "run", side_effect=error),
                self.assertLogs("bulrushhollow_daemon.domain._rpc", logging.ERROR),
            ):
                self.assertIsInstance(await client.ask(Probe(), Seconds(0.5)), CallFailure)

    async def test_a_peer_that_answers_with_noise_is_a_failed_call(self) -> None:
        noise = random.Random(7)

        class NoisyServer(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                assert isinstance(transport, asyncio.Transport)
                transport.write(noise.randbytes(200))

        sock = socket.create_server(("127.0.0.1", 0))
        server = await asyncio.get_running_loop().create_server(NoisyServer, sock=sock)
        client = RpcClient("127.0.0.1", sock.getsockname()[1])
        for _ in range(20):
            self.assertIsInstance(await client.ask(Probe(), Seconds(0.1)), CallFailure)
        client.close()
        server.close()
