"""
standins.platform
~~~~~~~~~~~~~~~~~

Runs the stand-in worker platform of one data centre as a process.

Usage::

    python -m standins.platform --listen 127.0.0.1:0 --data-centre north --racks r1:6,r2:6
"""

import argparse
import sys
import time

import anyio
import msgspec

from bulrushhollow_core.ids import DataCentreId, RackId, Seconds, WorkerId
from bulrushhollow_core.models import Rack, Resources
from bulrushhollow_core.platform import PlatformCall
from standins._http import (
    Reply,
    Request,
    Server,
    json_reply,
    print_address,
    read_json,
    wait_for_stop_signal,
)
from standins.worker_platform import PlatformTimings, WorkerPlatform


class PlatformControl(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    The body of ``POST /control``: faults to inject or to end. Omitted fields change nothing.

    :param fail_starts: workers on which every start fails from now on.
    :param pass_starts: workers on which starts succeed again.
    :param take_down: workers to crash.
    :param silence: workers to cut off from the platform.
    :param bring_up: workers to restart or to reconnect.
    :param checkpoints_fail: whether checkpoints fail.
    :param start_delay: seconds from the receipt of a start to the start.
    """

    fail_starts: tuple[WorkerId, ...] = ()
    pass_starts: tuple[WorkerId, ...] = ()
    take_down: tuple[WorkerId, ...] = ()
    silence: tuple[WorkerId, ...] = ()
    bring_up: tuple[WorkerId, ...] = ()
    checkpoints_fail: bool | None = None
    start_delay: float | None = None


def apply_control(platform: WorkerPlatform, control: PlatformControl, now: Seconds) -> None:
    """Inject the given faults into a platform, or end them."""
    for worker in control.fail_starts:
        platform.fail_starts(worker, True)
    for worker in control.pass_starts:
        platform.fail_starts(worker, False)
    for worker in control.take_down:
        platform.take_down(worker, now)
    for worker in control.silence:
        platform.silence(worker, now)
    for worker in control.bring_up:
        platform.bring_up(worker, now)
    if control.checkpoints_fail is not None:
        platform.checkpoints_fail = control.checkpoints_fail
    if control.start_delay is not None:
        platform.timings = msgspec.structs.replace(
            platform.timings, start_delay=control.start_delay
        )


class PlatformService:
    """The HTTP interface of a platform."""

    def __init__(self, platform: WorkerPlatform) -> None:
        """Serve a platform, whose time is that of the monotonic clock."""
        self.platform = platform

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        now = Seconds(time.monotonic())
        if request.path == "/v1/sync":
            call = read_json(request, PlatformCall)
            return call if isinstance(call, Reply) else json_reply(self.platform.sync(call, now))
        if request.path == "/control":
            return self._control(request, now)
        if request.path == "/counts":
            self.platform.advance(now)
            return json_reply(self.platform.counts())
        if request.path == "/runs":
            self.platform.advance(now)
            return json_reply(self.platform.records)
        return Reply(404)

    def _control(self, request: Request, now: Seconds) -> Reply:
        control = read_json(request, PlatformControl)
        if isinstance(control, Reply):
            return control
        worker_ids = {
            *control.fail_starts,
            *control.pass_starts,
            *control.take_down,
            *control.silence,
            *control.bring_up,
        }
        unknown_ids = sorted(worker_ids - self.platform.workers_by_id.keys())
        if unknown_ids:
            return Reply(400, f"no such worker: {', '.join(unknown_ids)}".encode())
        apply_control(self.platform, control, now)
        return Reply(204)


def parse_racks(text: str, per_worker: Resources) -> tuple[Rack, ...]:
    """Parse racks such as ``r1:6,r2:6``, each a name and a number of workers."""
    pairs = [part.partition(":") for part in text.split(",")]
    return tuple(Rack(RackId(name), int(workers), per_worker) for name, _, workers in pairs)


async def serve(platform: WorkerPlatform, listen: str) -> None:
    """Serve until the first stop signal."""
    server = Server(PlatformService(platform).handle, listen)
    print_address("platform", server.address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run_until_stopped)
        await wait_for_stop_signal()
        server.stop()


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.platform")
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--data-centre", default="north")
    parser.add_argument("--racks", default="r1:6", help="names and numbers of workers: r1:6,r2:6")
    parser.add_argument("--accelerators", type=int, default=8, help="of each worker")
    parser.add_argument("--cores", type=int, default=64, help="of each worker")
    parser.add_argument("--memory-mb", type=int, default=262_144, help="of each worker")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run-seconds", type=float, default=2.0)
    parser.add_argument("--run-jitter", type=float, default=0.0, help="from 0 to 1")
    parser.add_argument("--checkpoint-seconds", type=float, default=0.2)
    parser.add_argument("--usage-lag", type=float, default=3.0, help="seconds")
    parser.add_argument("--start-delay", type=float, default=0.0, help="seconds")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run the platform until the first stop signal."""
    options = parse_options(arguments)
    per_worker = Resources(options.accelerators, options.cores, options.memory_mb)
    platform = WorkerPlatform(
        DataCentreId(options.data_centre),
        parse_racks(options.racks, per_worker),
        options.seed,
        PlatformTimings(
            run_seconds=options.run_seconds,
            run_jitter=options.run_jitter,
            checkpoint_seconds=options.checkpoint_seconds,
            usage_lag=options.usage_lag,
            start_delay=options.start_delay,
        ),
    )
    anyio.run(serve, platform, options.listen)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
