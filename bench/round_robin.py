"""
bench.round_robin
~~~~~~~~~~~~~~~~~

The baseline: a plain round-robin proxy that tries the following endpoints if one fails. It has no
slots and no queues and keeps no record of outcomes.

Usage::

    python -m bench.round_robin --endpoints 127.0.0.1:9001,127.0.0.1:9002
"""

import argparse
import itertools
import sys

import anyio
import httpcore

from bulrushhollow_core.endpoints import EXECUTION_HEADER, REQUEST_ID_HEADER, RUN_PATH
from bulrushhollow_core.outcomes import Execution
from standins._http import Reply, Request, Server, print_address, wait_for_stop_signal

MAX_TRIES = 3
"""Most endpoints that are tried for one request."""

TIMEOUT = 10.0
"""Timeout in seconds for connecting, for a read and for a write."""

MAX_CONNECTIONS = 256
"""Most connections to all endpoints together."""

ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)
"""Errors on which the proxy tries the next endpoint."""


class RoundRobin:
    """
    A proxy that balances requests round-robin.

    :param endpoints: addresses of the endpoints.
    """

    def __init__(self, endpoints: tuple[str, ...]) -> None:
        self._endpoints = itertools.cycle(endpoints)
        self._request_numbers = itertools.count(1)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, network_backend=httpcore.AnyIOBackend()
        )

    async def handle(self, request: Request) -> Reply:
        """Forward one request and return the first answer below status 500, or 502."""
        request_id = f"p{next(self._request_numbers)}"
        for _ in range(MAX_TRIES):
            try:
                answer = await self._pool.request(
                    "POST",
                    f"http://{next(self._endpoints)}{RUN_PATH}",
                    headers=[(REQUEST_ID_HEADER, request_id)],
                    content=request.body,
                    extensions={"timeout": dict.fromkeys(("connect", "read", "write"), TIMEOUT)},
                )
            except ERRORS:
                continue
            if answer.status < 500:
                ran = {EXECUTION_HEADER: Execution.RAN.value, REQUEST_ID_HEADER: request_id}
                return Reply(answer.status, answer.content, ran)
        return Reply(502)


async def serve(endpoints: tuple[str, ...]) -> None:
    """Serve until the first stop signal."""
    server = Server(RoundRobin(endpoints).handle, "127.0.0.1:0")
    print_address("round-robin", server.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_stopped)
        await wait_for_stop_signal()
        server.stop()


def main(arguments: list[str]) -> int:
    """Parse the options and run the proxy until it is stopped."""
    parser = argparse.ArgumentParser(prog="python -m bench.round_robin")
    parser.add_argument("--endpoints", required=True)
    options = parser.parse_args(arguments)
    anyio.run(serve, tuple(options.endpoints.split(",")))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
