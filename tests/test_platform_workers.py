"""The client that speaks to workers, against a stand-in worker on loopback."""

import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable

from bulrushhollow_core.domain import (
    Occurrence,
    OrderResult,
    OrderStart,
    OrderStop,
    Poll,
    Resources,
    RunNumber,
    Step,
    TaskRef,
    Work,
    WorkerLife,
)
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkerId
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.http_server import bind, bound
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform._workers import PlatformWorkers
from bulrushhollow_platform.standin import WorkerServer
from standins.domain_oracle import Oracle
from standins.domain_workers import Worker, WorkerPool

TASK = TaskRef(JobId("5c0e7a21d94b36f8"), Occurrence(0), 0, 0)
STEP = Step(1, Resources(1000, 100, 1), Seconds(1.0))


class Loop:
    """The time of the running loop."""

    def __init__(self) -> None:
        self.work_by_job = {TASK.job: Work("spec", (STEP,))}
        self.cancelled_jobs: set[JobId] = set()
        self.announced_lives: set[WorkerLife] = set()

    @property
    def now(self) -> float:
        return time.monotonic()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(delay, callback)


class Stage:
    """A worker behind a server, and the client."""

    def __init__(self) -> None:
        loop = Loop()
        oracle = Oracle(loop)
        pool = WorkerPool(loop, oracle, oracle.step, lambda task: 0.05, random.Random(1))
        self.worker = Worker(pool, "w", "dc", "r", Resources(64_000, 256_000, 8), 1)
        self.is_reachable = True
        self.client = PlatformWorkers()

    async def run(self, act: Callable[["Stage"], Awaitable[None]]) -> None:
        limits = ServerLimits(Seconds(3.0), Seconds(15.0), 100)
        server = make_caller_server(WorkerServer(self.worker, lambda: self.is_reachable), limits)
        sock = bind(Address("127.0.0.1", 0))
        self.worker.address = str(bound(sock))
        serving = asyncio.ensure_future(server.serve([sock]))
        try:
            await act(self)
        finally:
            await self.client.close()
            server.should_exit = True
            server.force_exit = True
            await serving

    def start(self, life: WorkerLife | None = None, fence: int = 3) -> OrderStart:
        return OrderStart(
            life or self.worker.life,
            self.worker.address,
            TASK,
            RunNumber(1),
            "spec",
            Seconds(self.worker.clock + 5),
            Term(fence),
            "",
        )

    def poll(self, acknowledged: int = 0, wait: float = 0.0) -> Poll:
        worker = self.worker
        end = Seconds(worker.clock + 5)
        return Poll(worker.life, worker.address, Term(3), acknowledged, end, Seconds(wait))


def play(act: Callable[[Stage], Awaitable[None]]) -> None:
    asyncio.run(Stage().run(act))


class OrderTest(unittest.TestCase):
    def test_a_run_is_started_listed_ended_and_acknowledged(self) -> None:
        async def act(stage: Stage) -> None:
            started = await stage.client.start(stage.start())
            self.assertIs(OrderResult.ACCEPTED, started.result)
            listed = await stage.client.poll(stage.poll(wait=2.0))
            self.assertEqual([TASK], [row.task for row in listed.ended])
            after = await stage.client.poll(stage.poll(acknowledged=1))
            self.assertEqual((), after.ended)

        play(act)

    def test_a_lower_fence_is_refused(self) -> None:
        async def act(stage: Stage) -> None:
            await stage.client.poll(stage.poll())
            answer = await stage.client.start(stage.start(fence=2))
            self.assertIs(OrderResult.FENCED, answer.result)

        play(act)

    def test_a_stopped_run_never_starts(self) -> None:
        async def act(stage: Stage) -> None:
            worker = stage.worker
            stop = OrderStop(worker.life, worker.address, TASK, RunNumber(1), Term(3))
            self.assertIs(OrderResult.ACCEPTED, (await stage.client.stop(stop)).result)
            answer = await stage.client.start(stage.start())
            self.assertIs(OrderResult.SUPERSEDED, answer.result)

        play(act)

    def test_another_id_is_gone_and_another_life_is_told(self) -> None:
        async def act(stage: Stage) -> None:
            other = WorkerLife(WorkerId("other"), 1)
            answer = await stage.client.start(stage.start(life=other))
            self.assertIs(OrderResult.OTHER_LIFE, answer.result)
            order = stage.poll()
            stage.worker.begin_life(2)
            answered = await stage.client.poll(order)
            self.assertIs(OrderResult.OTHER_LIFE, answered.result)
            self.assertEqual(stage.worker.life, answered.successor)

        play(act)

    def test_a_worker_that_is_cut_off_is_silent(self) -> None:
        async def act(stage: Stage) -> None:
            stage.is_reachable = False
            answer = await stage.client.start(stage.start())
            self.assertIs(OrderResult.NO_ANSWER, answer.result)

        play(act)

    def test_nobody_at_an_address_is_silence(self) -> None:
        async def act(stage: Stage) -> None:
            stage.worker.address = "127.0.0.1:1"
            answer = await stage.client.start(stage.start())
            self.assertIs(OrderResult.NO_ANSWER, answer.result)

        play(act)


if __name__ == "__main__":
    unittest.main()
