"""A stand-in worker that follows the users' pages on running tasks and on service discovery."""

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from http_io import Answer, HttpServer, Request, call
import json

STOP_S = 0.2
"""Seconds from an accepted stop to the end of the run."""

Record = Callable[..., None]


@dataclass
class Run:
    """A run that is on a worker."""

    task: str
    number: int
    spec: str
    resumed: str
    at: float
    work_s: float
    is_stopping: bool = False
    saved: str = ""


@dataclass
class Life:
    """What a worker forgets when it starts again."""

    born: int
    started: float
    fence: int = 0
    lease_end_ms: float = 0.0
    runs: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    sequence: int = 0


class Worker:
    """
    One worker.

    :param work_s: returns the seconds of work of a task; infinity for one that lasts.
    :param needs: returns the cpu, memory and accelerators of a task.
    :param record: writes an event to the record of the case.
    """

    def __init__(
        self,
        name: str,
        address: str,
        zone: str,
        rack: str,
        controls: list[str],
        work_s: Callable[[str], float],
        needs: Callable[[str], tuple[int, int, int]],
        record: Record,
        service: str = "svc",
        heartbeat_s: float = 1.5,
        hold_max_ms: float = 6000.0,
    ) -> None:
        self.name, self.address, self.zone, self.rack = name, address, zone, rack
        self.controls = controls
        self.service = service
        self.heartbeat_s = heartbeat_s
        self.hold_max_ms = hold_max_ms
        self.capacity = {"cpu": 64000, "mem-mb": 256000, "gpu": 8}
        self.kind = "a"
        self._work_s, self._needs, self._record = work_s, needs, record
        self._server = HttpServer(self._handle)
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self.is_up = False
        self.is_cut = False
        """Whether calls to it hang and its heartbeats go nowhere."""
        self.state = "ready"
        self.delay_order: Callable[[str, dict[str, Any]], float | None] = lambda path, body: None
        """Seconds after which an order is carried out without an answer; None to answer it."""
        self.outcome: Callable[[str], str] = lambda task: "done"
        """How the work of a task ends."""
        self.life = Life(0, 0.0)

    # Life.

    async def start(self) -> None:
        """Start a new life under the same id."""
        self.life = Life(int(time.time() * 1000), time.monotonic())
        self.is_up = True
        host, _, port = self.address.rpartition(":")
        self._server = HttpServer(self._handle)
        await self._server.open(host, int(port))
        self._record("worker_up", worker=self.name, born=self.life.born)
        self._spawn(self._beat(self.life))
        self._spawn(self._watch_lease(self.life))

    def crash(self) -> None:
        """End the process: every run is gone."""
        self.is_up = False
        self._record("worker_crashed", worker=self.name, runs=sorted(self.life.runs))
        for run in self.life.runs.values():
            self._record("run_ended", worker=self.name, task=run.task, run=run.number, how="crash")
        self.life.runs.clear()
        self._server.close()

    def close(self) -> None:
        """Stop for good."""
        self.is_up = False
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def clock_ms(self, life: Life) -> float:
        """Return the worker's steady clock, which starts with its life."""
        return (time.monotonic() - life.started) * 1000.0

    def _is(self, life: Life) -> bool:
        return self.is_up and self.life is life

    async def _beat(self, life: Life) -> None:
        number = 0
        while self._is(life):
            life.sequence += 1
            body = {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold-left-ms": 0,
                "capacity": self.capacity,
                "labels": [self.kind, self.rack],
                "time-ms": int(self.clock_ms(life)),
                "seq": life.sequence,
                "born": life.born,
            }
            if self.state == "draining":
                body["remaining-ms"] = 2000
            for attempt in range(len(self.controls)):
                if self.is_cut:
                    break
                control = self.controls[(number + attempt) % len(self.controls)]
                path = f"/Instances.Heartbeat/{self.name}"
                answer = await call("POST", control, path, body, timeout=1.0)
                if 200 <= answer.status < 300:
                    number = (number + attempt) % len(self.controls)
                    break
            await asyncio.sleep(self.heartbeat_s)

    async def _watch_lease(self, life: Life) -> None:
        while self._is(life):
            await asyncio.sleep(0.05)
            if life.runs and self.clock_ms(life) > life.lease_end_ms:
                for run in list(life.runs.values()):
                    self._end(life, run, "lapsed")

    # Orders.

    async def _handle(self, request: Request) -> Answer | None:
        life = self.life
        if self.is_cut or not self.is_up:
            return None
        body = request.json()
        if request.headers.get("x-expect-instance") not in (None, self.name):
            return self._answer(life, 421)
        delay = self.delay_order(request.path, body)
        if delay is not None:
            self._record("order_delayed", worker=self.name, path=request.path, body=body, s=delay)
            asyncio.get_running_loop().call_later(delay, self._carry_out_late, life, request, body)
            return None
        if request.path == "/hold":
            return await self._hold(life, body)
        return self._order(life, request.path, body)

    def _carry_out_late(self, life: Life, request: Request, body: dict[str, Any]) -> None:
        if not self._is(life):
            return
        if request.path == "/hold":
            self._renew(life, body)
        else:
            answer = self._order(life, request.path, body)
            self._record(
                "order_carried_out_late",
                worker=self.name,
                path=request.path,
                task=body.get("task"),
                run=body.get("run"),
                status=answer.status,
            )

    def _answer(self, life: Life, status: int, **fields: Any) -> Answer:
        fields = {"time-ms": int(self.clock_ms(life)), "born": life.born, **fields}
        return Answer(status, json.dumps(fields).encode())

    def _order(self, life: Life, path: str, body: dict[str, Any]) -> Answer:
        if body.get("fence", 0) < life.fence:
            return self._answer(life, 409, reason="fence")
        life.fence = body.get("fence", 0)
        if path == "/run-stop":
            return self._stop(life, body)
        if path != "/run-start":
            return self._answer(life, 404)
        return self._start(life, body)

    def _start(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        present = life.runs.get(task)
        if present is not None and present.number == number:
            return self._answer(life, 200)
        if body["deadline-ms"] <= self.clock_ms(life):
            return self._answer(life, 409, reason="late")
        self._extend(life, body["deadline-ms"])
        if present is not None or number <= life.highest.get(task, 0):
            return self._answer(life, 409, reason="old")
        used = [sum(column) for column in zip(*map(self._needs, life.runs), (0, 0, 0))]
        room = (self.capacity["cpu"], self.capacity["mem-mb"], self.capacity["gpu"])
        if any(u + n > r for u, n, r in zip(used, self._needs(task), room)):
            return self._answer(life, 409, reason="room")
        saved = body.get("checkpointed", "")
        run = Run(task, number, body["spec"], saved, time.monotonic(), self._work_s(task))
        run.saved = saved
        life.runs[task] = run
        self._record("run_started", worker=self.name, born=life.born, task=task, run=number)
        if math.isfinite(run.work_s):
            self._spawn(self._work(life, run))
        return self._answer(life, 200)

    async def _work(self, life: Life, run: Run) -> None:
        await asyncio.sleep(run.work_s)
        if self._is(life) and life.runs.get(run.task) is run and not run.is_stopping:
            self._end(life, run, self.outcome(run.task))

    def _stop(self, life: Life, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        life.highest[task] = max(number, life.highest.get(task, 0))
        run = life.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            self._spawn(self._finish_stop(life, run))
        return self._answer(life, 200)

    async def _finish_stop(self, life: Life, run: Run) -> None:
        await asyncio.sleep(STOP_S)
        if self._is(life) and life.runs.get(run.task) is run:
            self._end(life, run, "stopped")

    def _end(self, life: Life, run: Run, how: str) -> None:
        del life.runs[run.task]
        life.highest[run.task] = max(run.number, life.highest.get(run.task, 0))
        life.end_count += 1
        life.ends.append([life.end_count, run.task, run.number, how, run.saved])
        self._record("run_ended", worker=self.name, task=run.task, run=run.number, how=how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _extend(self, life: Life, deadline_ms: float) -> None:
        latest = self.clock_ms(life) + self.hold_max_ms
        life.lease_end_ms = max(life.lease_end_ms, min(deadline_ms, latest))

    def _renew(self, life: Life, body: dict[str, Any]) -> bool:
        if body.get("fence", 0) < life.fence:
            return False
        life.fence = body.get("fence", 0)
        if body.get("deadline-ms") is not None:
            self._extend(life, body["deadline-ms"])
        acked = [row for row in life.ends if row[0] <= body.get("ack-seq", 0)]
        for row in acked:
            self._record("end_acked", worker=self.name, task=row[1], run=row[2], how=row[3])
        life.ends = [row for row in life.ends if row[0] > body.get("ack-seq", 0)]
        return True

    async def _hold(self, life: Life, body: dict[str, Any]) -> Answer | None:
        if not self._renew(life, body):
            return self._answer(life, 409, reason="fence")
        if body.get("wait-ms") and not life.ends:
            try:
                await asyncio.wait_for(self._changed.wait(), body["wait-ms"] / 1000.0)
            except TimeoutError:
                pass
        if self.is_cut or not self._is(life):
            return None
        running = [
            [run.task, run.number, run.saved, self._percent(run), 0] for run in life.runs.values()
        ]
        return self._answer(life, 200, running=running, finished=life.ends[:500])

    def _percent(self, run: Run) -> int:
        if not math.isfinite(run.work_s):
            return 100
        return min(100, int(100 * (time.monotonic() - run.at) / max(run.work_s, 0.01)))
