"""A lasting task runs twice: on a worker that has come back, and where it was started since."""

import asyncio
import math
import pathlib
import sys
from collections.abc import Callable
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from case import run_case  # noqa: E402
from deployment import Deployment, Log  # noqa: E402
from workers import Worker  # noqa: E402

CUT_S = 5.5
"""Seconds for which one of eight workers is cut off; the longest time in the site file."""

LATE_S = 4.0
"""Seconds after which the unanswered order is carried out; the pages say 2 to 12."""

CRASH_S = 2.0
RETURN_S = 0.5
"""When the worker crashes behind the cut, and how long it is away."""

MAX_LATE_SHARE = 0.055
"""Largest share of the orders that is carried out late in the site file, for 5.5 s."""

LASTING, BESIDE = "000000000000f101", "000000000000f102"


class LateOrder:
    """Leaves the first start of the lasting task unanswered, and has it carried out later."""

    def __init__(self, log: Log) -> None:
        self._log = log
        self.order_times: list[float] = []
        self.at: float | None = None

    def watch(self, worker: Worker) -> Callable[[str, dict[str, Any]], float | None]:
        """Return what decides about the orders to a worker."""

        def decide(path: str, body: dict[str, Any]) -> float | None:
            self.order_times.append(self._log.now)
            is_first = self.at is None and path == "/run-start" and LASTING in body["task"]
            if not is_first:
                return None
            self.at = self._log.now
            for coroutine in (self._carry_out(worker, body), self._cut(worker), self._crash(worker)):
                worker._spawn(coroutine)
            return 3600.0

        return decide

    async def _carry_out(self, worker: Worker, body: dict[str, Any]) -> None:
        await asyncio.sleep(LATE_S)
        answer = worker._order(worker.life, "/run-start", body)
        self._log("order_carried_out_late", worker=worker.name, body=body, status=answer.status)

    async def _cut(self, worker: Worker) -> None:
        await asyncio.sleep(0.05)
        worker.is_cut = True
        self._log("worker_cut", worker=worker.name)
        await asyncio.sleep(CUT_S)
        worker.is_cut = False
        self._log("worker_cut_over", worker=worker.name)

    async def _crash(self, worker: Worker) -> None:
        await asyncio.sleep(CRASH_S)
        worker.crash()
        await asyncio.sleep(RETURN_S)
        await worker.start()

    def late_share(self) -> float:
        """Return the share of the orders of 5.5 s that was carried out late."""
        at = self.at or 0.0
        return 1 / max(1, sum(at - 2.5 <= time <= at + 3.0 for time in self.order_times))


def find_doubled(log: Log) -> list[str]:
    """Return the spans in which two runs of the lasting task were there at the same time."""
    broken: list[str] = []
    running: dict[int, tuple[str, float]] = {}
    for event in log.events:
        if event["event"] not in ("run_started", "run_ended") or LASTING not in event["task"]:
            continue
        if event["event"] == "run_started":
            running[event["run"]] = (event["worker"], event["at"])
            continue
        worker, at = running.pop(event["run"])
        for other, (other_worker, other_at) in running.items():
            span = event["at"] - max(at, other_at)
            broken.append(
                f"TWICE: run {event['run']} on {worker} and run {other} on {other_worker} of task"
                f" {event['task']} ran at the same time for {span:.2f} s; both workers were up"
            )
    return broken


async def play(deployment: Deployment, log: Log, has_trouble: bool) -> list[str]:
    """Submit a lasting job whose first start gets no answer, since its worker is cut off."""
    await deployment.open(workers=8, kinds="ab")
    late = LateOrder(log)
    if has_trouble:
        for worker in deployment.workers:
            worker.delay_order = late.watch(worker)
    # Work beside it runs on workers of the other kind, so that those of the lasting job are idle.
    small = {"count": 40, "cpu": 2000, "mem-mb": 1000, "required-label": "b", "estimate-ms": 1500}
    await deployment.submit(BESIDE, {"spec": "work", "steps": [small]}, 1.5, "/b/")
    await asyncio.sleep(1.0)
    lasting = {
        "count": 1,
        "cpu": 2000,
        "mem-mb": 1000,
        "gpu": 8,
        "required-label": "a",
        "estimate-ms": 3000,
        "long-running": True,
    }
    body = {"spec": "serve", "steps": [lasting]}
    answer = await deployment.submit(LASTING, body, math.inf, "/u/", first=1)
    log("submitted", job=LASTING, status=answer.status)
    await asyncio.sleep(16.0)
    if has_trouble:
        log("late_orders", share=round(late.late_share(), 3), orders=len(late.order_times))
        if late.at is None or late.late_share() > MAX_LATE_SHARE:
            raise RuntimeError("too few orders beside the late one")
    return find_doubled(log)


run_case(FOLDER, Deployment, play)
