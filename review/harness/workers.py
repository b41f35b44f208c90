"""
Stand-in workers by PROTOCOL.md, sections "Running tasks" and "Service discovery".

Independent tasks only: none of the cases needs gangs. ``plan(task, run)`` says what a run does: the
seconds until it ends by itself, and how (``done`` or ``failed``).
"""

import asyncio
import json
import random
import time

from harness.net import Server, call

ANY_CORE_TIMEOUT = 1.0


class Run:
    def __init__(self, task, number, needs, timer):
        self.task, self.number, self.needs, self.timer = task, number, needs, timer
        self.began = time.monotonic()
        self.seconds = 0.0
        self.stopping = False


class Worker:
    """One machine; ``start`` begins a life, ``crash`` ends it without a word."""

    def __init__(self, world, name, address, zone, rack, kind="a"):
        self.world, self.id, self.address = world, name, address
        self.zone, self.labels = zone, [kind, rack]
        self.capacity = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}
        self.up = False
        self.born = 0

    # Life.

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.born = max(self.born + 1, int(time.time() * 1000))
        self._zero = time.monotonic() - random.uniform(1, 1000)
        self.runs, self.finished, self.highest = {}, [], {}
        self.fence = self.lease_end = self.ends = self.seq = 0
        self.changed = asyncio.Event()
        self._server = Server(host, int(port), self._handle)
        await self._server.open()
        self.up = True
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._watch())]
        self.world.note("worker-up", worker=self.id, born=self.born)

    async def crash(self):
        """End at once; what ran is gone."""
        self.up = False
        for task in self._tasks:
            task.cancel()
        lost = [f"{run.task}/{run.number}" for run in self.runs.values()]
        for run in self.runs.values():
            run.timer.cancel()
        self.runs = {}
        await self._server.close()
        self.world.note("worker-crash", worker=self.id, born=self.born, lost=lost)

    def quit(self):
        """Drop everything at the end of a case, without a record."""
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            run.timer.cancel()
        self.runs = {}

    @property
    def clock(self):
        return int((time.monotonic() - self._zero) * 1000)

    def heartbeat(self):
        self.seq += 1
        return {
            "service": self.world.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "time-ms": self.clock,
            "seq": self.seq,
            "born": self.born,
        }

    async def _beat(self):
        while True:
            body = self.heartbeat()
            for core in random.sample(self.world.controls, len(self.world.controls)):
                status, _ = await call(
                    "POST", core, f"/Instances.Heartbeat/{self.id}", body, timeout=ANY_CORE_TIMEOUT
                )
                if 200 <= status < 300:
                    break
            await asyncio.sleep(self.world.heartbeat_s * random.uniform(0.9, 1.1))

    async def _watch(self):
        """Kill everything once the lease has run out."""
        while True:
            await asyncio.sleep(0.05)
            if self.runs and self.clock > self.lease_end:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")

    # Orders.

    async def _handle(self, path, fields, body):
        if fields.get("x-expect-instance", self.id) != self.id:
            return 421, {"time-ms": self.clock, "born": self.born}
        try:
            order = json.loads(body)
        except ValueError:
            return 400, {"time-ms": self.clock}
        if order.get("fence", 0) < self.fence:
            return 409, {"time-ms": self.clock, "reason": "fence"}
        self.fence = order.get("fence", 0)
        if path == "/run-start":
            return self._start(order)
        if path == "/run-stop":
            return self._stop(order)
        if path == "/hold":
            return await self._hold(order)
        return 404, {"time-ms": self.clock}

    def _extend(self, deadline):
        longest = self.clock + self.world.max_hold_ms
        self.lease_end = max(self.lease_end, min(deadline, longest))

    def _start(self, order):
        task, number = order["task"], order["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"time-ms": self.clock}
        if order["deadline-ms"] <= self.clock:
            return 409, {"time-ms": self.clock, "reason": "late"}
        self._extend(order["deadline-ms"])
        if current is not None or number <= self.highest.get(task, 0):
            return 409, {"time-ms": self.clock, "reason": "old"}
        needs = self.world.needs(task)
        used = {name: sum(r.needs[name] for r in self.runs.values()) for name in self.capacity}
        if any(used[name] + needs[name] > self.capacity[name] for name in self.capacity):
            return 409, {"time-ms": self.clock, "reason": "room"}
        seconds, how = self.world.plan(task, number)
        run = Run(task, number, needs, None)
        run.seconds = seconds
        run.timer = asyncio.get_running_loop().call_later(seconds, self._end, run, how)
        self.runs[task] = run
        self.world.note(
            "run-start",
            worker=self.id,
            zone=self.zone,
            task=task,
            run=number,
            spec=order["spec"],
            fence=order["fence"],
        )
        self.world.started(self, task, number)
        return 200, {"time-ms": self.clock}

    def _stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.timer.cancel()
            delay = self.world.stop_timeout_ms / 1000 / 2
            run.timer = asyncio.get_running_loop().call_later(delay, self._end, run, "stopped")
        return 200, {"time-ms": self.clock}

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.ends += 1
        self.finished.append([self.ends, run.task, run.number, how, ""])
        self.changed.set()
        self.changed = asyncio.Event()
        self.world.note("run-end", worker=self.id, task=run.task, run=run.number, how=how)
        self.world.ended(self, run.task, run.number, how)

    async def _hold(self, order):
        if "deadline-ms" in order:
            self._extend(order["deadline-ms"])
        self.finished = [row for row in self.finished if row[0] > order.get("ack-seq", 0)]
        if not self.finished and order.get("wait-ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), order["wait-ms"] / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [
                run.task,
                run.number,
                "",
                (
                    min(99, int(100 * (now - run.began) / run.seconds))
                    if not self.world.lasts(run.task)
                    else 100
                ),
            ]
            for run in self.runs.values()
        ]
        return 200, {
            "time-ms": self.clock,
            "born": self.born,
            "running": running,
            "finished": self.finished[:500],
        }
