"""Calls that were held up on their way are not executed once their callers wait no longer."""

import asyncio
import contextlib
import socket
import time
import unittest
from collections.abc import AsyncIterator
from unittest import mock

from prometheus_client import CollectorRegistry

from bulrushhollow_core.domain import (
    Answer,
    Call,
    CallId,
    CallReceived,
    Cancel,
    Deregister,
    Done,
    Evacuate,
    Expired,
    NoSuchJob,
    OutcomeUnknown,
    Probe,
    Read,
    Serving,
    Submit,
    Work,
    is_dated,
)
from bulrushhollow_core.domain._call_handler import CallHandler, DeferredAnswer, ImmediateAnswer
from bulrushhollow_core.domain.model import (
    CancelJob,
    DomainSettings,
    JobState,
    Resources,
    Step,
    SubmitJob,
)
from bulrushhollow_core.ids import DataCentreId, InstanceId, JobId, Seconds, WorkerId
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain import CallMetrics, LeaderClient
from bulrushhollow_daemon.domain._rpc import (
    AskRequest,
    AskResponse,
    CallExpiry,
    CallFailure,
    PeerClock,
    RpcClient,
    RpcServer,
    answer_request,
)
from bulrushhollow_daemon.http_server import open_listener
from bulrushhollow_daemon.pauses import BACKLOG_TIME, CHECK_INTERVAL, PauseDetector
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform._control import ControlApplication
from bulrushhollow_platform._entry import EntryApplication
from standins.domain_site import HOST, KEY, configuration
from tests.domain_world import World
from tests.test_domain_scheduler import WALL, SchedulerHarness

EVACUATE = Evacuate(DataCentreId("north"), is_evacuated=False)
STEPS = (Step(1, Resources(1, 1, 0), Seconds(1.0)),)
SUBMIT = Submit(HOST, "/usual/0123456789abcdef", KEY, Work("spec", STEPS))
CANCEL = Cancel(HOST, "/usual/0123456789abcdef", KEY)
PAUSE = 1.2
"""Seconds of the pauses; operators wait one second for an answer."""


class RecordingLeader(LeaderClient):
    """Records the calls that are passed on to the leader."""

    def __init__(self) -> None:
        super().__init__(7000)
        self.calls: list[Call] = []

    async def ask(self, call: Call, deadline: Seconds) -> Answer:
        self.calls.append(call)
        return Done("leader")


def request(method: str, path: str, body: bytes = b"", deadline_ms: int = 3000) -> bytes:
    """Return the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-deadline-ms: {deadline_ms}\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n" % len(body) + body


class HeldRequestTest(unittest.IsolatedAsyncioTestCase):
    """Requests over real connections to a process that stands still for a while."""

    async def asyncSetUp(self) -> None:
        self.leader = RecordingLeader()
        self.metrics = CallMetrics(CollectorRegistry())
        self.limits = ServerLimits(Seconds(3.0), Seconds(15.0), 100)

    @contextlib.asynccontextmanager
    async def serving(self, application: object) -> AsyncIterator[tuple[str, int]]:
        """Serve an application, with the checks for pauses."""
        server = make_caller_server(application, self.limits)  # type: ignore[arg-type]
        listener = open_listener(Address("127.0.0.1", 0))
        tasks = [
            asyncio.ensure_future(server.serve([listener])),
            asyncio.ensure_future(self.leader.pauses.run()),
        ]
        await asyncio.sleep(0.3)
        try:
            yield listener.getsockname()
        finally:
            tasks[1].cancel()
            server.should_exit = True
            await tasks[0]

    def control(self) -> ControlApplication:
        return ControlApplication(self.leader, self.metrics, 1)

    def entry(self) -> EntryApplication:
        return EntryApplication(self.leader, self.metrics, self.limits)

    async def send_held(
        self, address: tuple[str, int], data: bytes, pause: float, closes: bool
    ) -> int:
        """Send a request that waits in a socket during a pause; return the status, or 0."""
        with socket.create_connection(address) as connection:
            connection.sendall(data)
            if closes:
                connection.shutdown(socket.SHUT_WR)
                connection.close()
            # Blocks the event loop, as a freeze of the machine does.
            time.sleep(pause)
            if closes:
                await asyncio.sleep(0.2)
                return 0
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(3):
                return int((await loop.sock_recv(connection, 4096)).split()[1])

    async def test_an_evacuation_that_waited_in_a_paused_process_is_not_passed_on(self) -> None:
        # Guards against an order that undoes a newer one after a freeze (review/3).
        async with self.serving(self.control()) as address:
            for closes in (True, False):
                data = request("POST", "/Evacuations.Finish/north")
                answer = await self.send_held(address, data, PAUSE, closes)
                self.assertEqual(0 if closes else 504, answer)
                self.assertEqual([], self.leader.calls)
                await asyncio.sleep(BACKLOG_TIME + 0.2)

    async def test_an_evacuation_whose_caller_has_gone_is_not_passed_on(self) -> None:
        # Guards against bytes that a partition held up, in a process that was not paused.
        async with self.serving(self.control()) as address:
            await self.send_held(address, request("POST", "/Evacuations.Finish/north"), 0.0, True)
        self.assertEqual([], self.leader.calls)

    async def test_an_evacuation_is_passed_on_without_a_pause_and_after_one(self) -> None:
        # Guards against an operator who is refused although nothing was held up.
        async with self.serving(self.control()) as address:
            data = request("POST", "/Evacuations.Finish/north")
            self.assertEqual(200, await self.send_held(address, data, 0.0, False))
            time.sleep(PAUSE)
            await asyncio.sleep(BACKLOG_TIME + 0.2)
            self.assertEqual(200, await self.send_held(address, data, 0.0, False))
        self.assertEqual([EVACUATE, EVACUATE], self.leader.calls)

    async def test_a_submission_that_waited_beyond_its_deadline_is_not_passed_on(self) -> None:
        # Guards against a job that is accepted after its caller was told that it does not exist.
        body = b'{"spec":"s","steps":[{"count":1}]}'
        async with self.serving(self.entry()) as address:
            for method in ("POST", "DELETE"):
                data = request(method, "/usual/0123456789abcdef", body, deadline_ms=1000)
                answer = await self.send_held(address, data, PAUSE, closes=False)
                self.assertEqual(504, answer)
            self.assertEqual([], self.leader.calls)
            # Its caller still waits, so a shorter wait refuses nothing.
            data = request("POST", "/usual/0123456789abcdef", body, deadline_ms=5000)
            self.assertEqual(200, await self.send_held(address, data, 0.3, False))
        self.assertEqual(1, len(self.leader.calls))

    async def test_calls_that_carry_their_order_are_passed_on_after_a_pause(self) -> None:
        # Guards against workers that go unheard: their messages tell by themselves if they are old.
        async with self.serving(self.control()) as address:
            for data in (
                request("POST", "/Instances.Deregister/w", b'{"born":7}'),
                request("GET", "/Config.Get"),
            ):
                await self.send_held(address, data, PAUSE, closes=False)
            leaves = request("POST", "/Instances.Deregister/w", b'{"born":8}')
            await self.send_held(address, leaves, 0.0, closes=True)
        self.assertEqual(3, len(self.leader.calls))
        self.assertEqual(Deregister(WorkerId("w"), 8), self.leader.calls[-1])


class PauseDetectorTest(unittest.TestCase):
    def test_a_pause_counts_before_and_after_it_is_noticed(self) -> None:
        detector = PauseDetector()
        self.assertEqual(0.0, detector.longest_wait(Seconds(5.0)))
        detector.check(Seconds(10.0))
        self.assertEqual(0.0, detector.longest_wait(Seconds(10.0 + CHECK_INTERVAL)))
        # A request may have come in just after the last check.
        self.assertAlmostEqual(4.0, detector.longest_wait(Seconds(14.0)))
        detector.check(Seconds(14.0))
        detector.check(Seconds(14.0 + CHECK_INTERVAL))
        self.assertAlmostEqual(4.0, detector.longest_wait(Seconds(14.0 + CHECK_INTERVAL)))
        checks = int(BACKLOG_TIME / CHECK_INTERVAL) + 1
        for number in range(2, checks + 1):
            detector.check(Seconds(14.0 + number * CHECK_INTERVAL))
        self.assertEqual(0.0, detector.longest_wait(Seconds(14.0 + checks * CHECK_INTERVAL)))


class ExpiryTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.executed: list[tuple[Call, Seconds]] = []
        self.me = InstanceId("here.1")
        self.held = asyncio.Event()
        self.held.set()

    async def execute(self, call: Call, expires_at: Seconds) -> Answer:
        await self.held.wait()
        self.executed.append((call, expires_at))
        return Done() if clock.now() < expires_at else Expired()

    async def answer(self, asked: AskRequest) -> AskResponse:
        return await answer_request(asked, self.me, self.execute)

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[RpcClient]:
        server = RpcServer(mock.Mock(), self.answer)
        port = await server.start("127.0.0.1", 0)
        client = RpcClient("127.0.0.1", port)
        try:
            yield client
        finally:
            client.close()
            await server.close()

    async def test_a_dated_call_carries_the_end_of_its_attempt(self) -> None:
        # Guards against an attempt that the leader executes after its sender has given up.
        async with self.connected() as client:
            before = clock.now()
            for call in (EVACUATE, SUBMIT, CANCEL, Deregister(WorkerId("w"))):
                self.assertIsInstance(await client.ask(call, Seconds(0.5)), Done)
                self.assertLess(self.executed[-1][1], before + 1.5)
            for call in (Probe(), Deregister(WorkerId("w"), 7), Read(HOST, "/", KEY)):
                await client.ask(call, Seconds(0.5))
                self.assertEqual(float("inf"), self.executed[-1][1])

    async def test_a_held_attempt_is_expired_when_it_arrives(self) -> None:
        # Guards against an order that a leader reads late from the connection of an instance.
        async with self.connected() as client:
            await client.ask(Probe(), Seconds(0.5))
            self.held.clear()
            self.assertIsInstance(await client.ask(EVACUATE, Seconds(0.1)), CallFailure)
            call, expires_at = EVACUATE, self.executed[-1][1]
            self.held.set()
        self.assertEqual(float("inf"), expires_at)
        stale = await self.execute(call, Seconds(clock.now() - 0.1))
        self.assertIsInstance(stale, Expired)

    async def test_a_restarted_recipient_does_not_compare_with_another_clock(self) -> None:
        # Guards against an expiry on the clock of an incarnation that is gone.
        async with self.connected() as client:
            await client.ask(EVACUATE, Seconds(0.5))
            self.me = InstanceId("here.2")
            self.executed.clear()
            self.assertIsInstance(await client.ask(EVACUATE, Seconds(0.5)), Done)
            self.assertEqual(1, len(self.executed))
        old = AskRequest(EVACUATE, CallExpiry(InstanceId("here.1"), Seconds(1e12)))
        self.assertIsInstance((await self.answer(old)).answer, Expired)

    def test_the_estimate_of_a_clock_is_never_ahead_of_it(self) -> None:
        ahead = 100.0
        delays = (0.3, 0.01, 2.0, 0.05)
        estimate = PeerClock(self.me, Seconds(0.0 + ahead), Seconds(delays[0]))
        for number, delay in enumerate(delays[1:], 1):
            estimate.update(Seconds(number + ahead), Seconds(number + delay))
            self.assertLessEqual(estimate.expiry(Seconds(50.0)).at, 50.0 + ahead)
        self.assertGreater(estimate.expiry(Seconds(50.0)).at, 50.0 + ahead - 0.1)

    def test_a_recipient_of_an_earlier_version_gets_no_expiry(self) -> None:
        # Guards against calls that an instance which was not upgraded yet never executes.
        async def answer_as_before(asked: AskRequest) -> AskResponse:
            self.executed.append((asked.call, Seconds(0.0)))
            self.assertIsNone(asked.expiry)
            return AskResponse(Serving("a", None) if isinstance(asked.call, Probe) else Done())

        async def run() -> Answer | CallFailure:
            server = RpcServer(mock.Mock(), answer_as_before)
            client = RpcClient("127.0.0.1", await server.start("127.0.0.1", 0))
            try:
                return await client.ask(EVACUATE, Seconds(1.0))
            finally:
                client.close()
                await server.close()

        self.assertIsInstance(asyncio.run(run()), Done)


class LateCallTest(unittest.TestCase):
    def test_a_leader_executes_no_expired_call(self) -> None:
        # Guards against an order that waited in the leader's own process while that was paused.
        world = World(1)
        world.put_configuration(configuration(1))
        world.run_until(lambda: world.leader() is not None, 10.0)
        leader = world.leader()
        assert leader is not None and leader.node is not None
        begin = Evacuate(DataCentreId("north"), is_evacuated=True)
        for wait, is_late in ((0.0, True), (1.0, False)):
            answers: list[Answer] = []
            call_id = CallId(900_000 + int(is_late))
            leader.calls[call_id] = answers.append
            leader.post(CallReceived(call_id, begin, Seconds(world.now + wait)))
            self.assertTrue(world.run_until(lambda: bool(answers), 5.0))  # noqa: B023
            self.assertIs(is_late, isinstance(answers[0], Expired))
            evacuated = leader.node.state.evacuated_data_centres
            self.assertEqual(set() if is_late else {"north"}, evacuated)

    def test_a_cancel_reaches_a_submission_that_is_not_committed_yet(self) -> None:
        # Guards against a job that runs after its caller was told that it does not exist.
        harness = SchedulerHarness()
        handler = CallHandler(DomainSettings(), "here")

        def handle(call: Call) -> ImmediateAnswer | DeferredAnswer:
            return handler.handle(call, harness.state, harness.scheduler, harness.now, WALL)

        self.assertEqual(ImmediateAnswer(NoSuchJob()), handle(CANCEL))
        submitted = handle(SUBMIT)
        assert isinstance(submitted, DeferredAnswer)
        assert isinstance(submitted.command, SubmitJob)
        cancelled = handle(CANCEL)
        assert isinstance(cancelled, DeferredAnswer)
        self.assertIsInstance(cancelled.command, CancelJob)
        harness.commit([submitted.command, cancelled.command])
        job = harness.state.jobs_by_id[JobId("0123456789abcdef")]
        self.assertIs(JobState.CANCELLED, job.state)

    def test_a_call_that_expires_everywhere_is_refused_in_time(self) -> None:
        class ExpiringLeader(LeaderClient):
            async def _ask_at(
                self, address: str, call: Call, timeout: Seconds
            ) -> Answer | CallFailure:
                await asyncio.sleep(0.01)
                return Expired()

        async def run() -> Answer:
            leader = ExpiringLeader(7000)
            leader.add_candidates(["a"])
            return await leader.ask(SUBMIT, Seconds(clock.now() + 0.3))

        started = time.monotonic()
        self.assertNotIsInstance(asyncio.run(run()), Done | OutcomeUnknown)
        self.assertLess(time.monotonic() - started, 2.0)

    def test_only_calls_without_a_number_are_dated(self) -> None:
        self.assertTrue(all(map(is_dated, (EVACUATE, SUBMIT, CANCEL, Deregister(WorkerId("w"))))))
        self.assertFalse(is_dated(Deregister(WorkerId("w"), 7)))
