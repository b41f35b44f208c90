"""
standins.endpoint
~~~~~~~~~~~~~~~~~

Runs a stand-in endpoint as a process: it announces itself, runs requests in its slots, injects
faults on request and counts its runs.

Usage::

    python -m standins.endpoint --listen 127.0.0.1:0 --announce-to http://127.0.0.1:8000 \\
        --id e1 --data-centre north --service orders --slots 8
"""

import argparse
import sys
import time
from contextlib import ExitStack
from pathlib import Path

import anyio

from bulrushhollow_core.endpoints import (
    RUN_PATH,
    Announcement,
)
from bulrushhollow_core.ids import DataCentreId, EndpointId
from standins._announcer import Announcer
from standins._endpoint import Endpoint, EndpointControl
from standins._http import (
    Reply,
    Request,
    Server,
    json_reply,
    print_address,
    read_json,
    split_addresses,
    wait_for_stop_signal,
)


class EndpointService:
    """
    The server, the announcements and the graceful shutdown of an endpoint.

    :param leave_seconds: seconds for which it still runs requests after it has announced to leave.
    """

    def __init__(self, endpoint: Endpoint, listen: str, leave_seconds: float) -> None:
        """Bind the socket."""
        self._endpoint = endpoint
        self._leave_seconds = leave_seconds
        self._is_leaving = False
        self.server = Server(self.handle, listen)

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        self._endpoint.record_connections(self.server.open_connections)
        if request.path == RUN_PATH:
            return await self._endpoint.run(request)
        if request.path == "/control":
            control = read_json(request, EndpointControl)
            if isinstance(control, Reply):
                return control
            self._endpoint.control = control
            return Reply(204)
        if request.path == "/counts":
            return json_reply(self._endpoint.counts())
        return Reply(404)

    async def serve(self, announcer: Announcer) -> None:
        """Serve until the first stop signal, then leave, finish the requests and return."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_periodically, announcer)
            tasks.start_soon(self._leave_on_signal, announcer)
            await self.server.run_until_stopped()
            tasks.cancel_scope.cancel()
        await announcer.close()

    async def _leave_on_signal(self, announcer: Announcer) -> None:
        await wait_for_stop_signal()
        self._is_leaving = True
        await announcer.announce_to_all(leaving=True)
        await anyio.sleep(self._leave_seconds)
        self.server.stop()

    async def _announce_periodically(self, announcer: Announcer) -> None:
        while True:
            if not self._endpoint.control.silent:
                leaving = self._is_leaving or self._endpoint.control.leaving
                await announcer.announce_to_next(leaving)
            await anyio.sleep(announcer.interval)


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.endpoint")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--announce-to", required=True, help="base addresses, separated by commas")
    parser.add_argument("--id", required=True)
    parser.add_argument("--data-centre", default="north")
    parser.add_argument("--service", default="orders")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--slow-ms", type=float, default=0.0)
    parser.add_argument("--jitter-ms", type=float, default=0.0)
    parser.add_argument("--fail-rate", type=float, default=0.0)
    parser.add_argument("--late-ms", type=float, default=0.0)
    parser.add_argument("--run-log", type=Path, help="file for a line of JSON for each run")
    parser.add_argument("--leave-seconds", type=float, default=3.0)
    for flag in ("refuse", "crossed", "cut", "malformed", "leaving", "silent"):
        parser.add_argument(f"--{flag}", action="store_true")
    return parser.parse_args(arguments)


def control_from_options(options: argparse.Namespace) -> EndpointControl:
    """Return the behaviour that the command line asks for."""
    return EndpointControl(
        slow=options.slow_ms / 1000,
        jitter=options.jitter_ms / 1000,
        fail_rate=options.fail_rate,
        refuse=options.refuse,
        late=options.late_ms / 1000,
        crossed=options.crossed,
        cut=options.cut,
        malformed=options.malformed,
        leaving=options.leaving,
        silent=options.silent,
    )


async def serve(options: argparse.Namespace) -> None:
    """Serve until the first stop signal."""
    with ExitStack() as stack:
        run_log = None
        if options.run_log is not None:
            run_log = stack.enter_context(options.run_log.open("ab", buffering=0))
        endpoint = Endpoint(options.slots, options.seed, control_from_options(options), run_log)
        await serve_endpoint(options, endpoint)


async def serve_endpoint(options: argparse.Namespace, endpoint: Endpoint) -> None:
    """Bind the socket, print its address and serve."""
    service = EndpointService(endpoint, options.listen, options.leave_seconds)
    announcement = Announcement(
        endpoint=EndpointId(options.id),
        data_centre=DataCentreId(options.data_centre),
        incarnation=time.time_ns(),
        sequence=0,
        address=service.server.address,
        service=options.service,
        slots=options.slots,
        connections=options.connections,
    )
    print_address("endpoint", service.server.address)
    await service.serve(Announcer(announcement, tuple(split_addresses(options.announce_to))))


def main(arguments: list[str]) -> int:
    """Run the endpoint until the first stop signal."""
    anyio.run(serve, parse_options(arguments))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
