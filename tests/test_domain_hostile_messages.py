"""Messages of other systems, and unexpected errors, end no process of a domain."""

import json
import logging
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio

from bulrushhollow_core.domain import (
    AdviceAnswered,
    Announce,
    AnnounceBatch,
    AskAdvice,
    Done,
    Malformed,
    Occurrence,
    OrderResult,
    OrderStart,
    OrderStop,
    Poll,
    Resources,
    RunNumber,
    Step,
    StepRef,
    Submit,
    TaskRef,
    Work,
    WorkerLife,
)
from bulrushhollow_core.domain._call_handler import CallHandler
from bulrushhollow_core.domain.model import DomainSettings, PutConfiguration
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkerId
from bulrushhollow_daemon.domain._runtime import CoreRuntime
from bulrushhollow_daemon.supervision import keep_running
from bulrushhollow_platform._settings import SettingsFile
from bulrushhollow_platform._translation import (
    Unreadable,
    decode_configuration,
    decode_deregistration,
    decode_ended_row,
    decode_heartbeat,
    decode_running_row,
    decode_work,
)
from bulrushhollow_platform._workers import HttpWorkerClient
from standins.domain_site import HOST, KEY, configuration
from tests.test_domain_scheduler import WALL, SchedulerHarness, announcement

LIFE = WorkerLife(WorkerId("w"), 1)
TASK = TaskRef(JobId("j"), Occurrence(0), 0, 0)
STEP = StepRef(JobId("j"), Occurrence(0), 0)
HUGE = 10**40
DEEP = b"[" * 100_000 + b"]" * 100_000
BAD_ADDRESSES = (
    "rack7-node3",
    "rack7-node3:80",
    "10.0.0.1",
    "10.0.0.1:x",
    "10.0.0.1:99999",
    ":1",
    "",
)

HEARTBEAT = {
    "service": "svc",
    "addr": "10.128.0.9:8080",
    "zone": "leon",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "time-ms": 482113,
    "seq": 4,
    "born": 1790000000000,
}


def orders_to(address: str) -> list[OrderStart | OrderStop | Poll]:
    """Return one order of each kind to a worker at an address."""
    return [
        OrderStart(LIFE, address, TASK, RunNumber(1), "spec", Seconds(9.0), Term(3), ""),
        OrderStop(LIFE, address, TASK, RunNumber(1), Term(3)),
        Poll(LIFE, address, Term(3), 0, None, Seconds(0.0)),
    ]


def heartbeat(**changes: object) -> bytes:
    """Return the body of a heartbeat with changed fields."""
    fields = {**HEARTBEAT, **{name.replace("_", "-"): value for name, value in changes.items()}}
    return json.dumps(fields).encode()


class OrderTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a leader that ends because one order cannot be sent.
    async def test_an_order_that_fails_unexpectedly_counts_as_unanswered(self) -> None:
        workers = mock.Mock()
        for name in ("start", "stop", "poll", "advise"):
            getattr(workers, name).side_effect = ValueError("invalid literal for int()")
        runtime = CoreRuntime(mock.Mock(), mock.Mock(), workers, mock.Mock())
        question = AskAdvice(STEP, (LIFE,))
        with self.assertLogs("bulrushhollow.domain", "ERROR") as logs:
            for order in [*orders_to("w:1"), question]:
                await runtime._send_order(order)
        *answers, advice = runtime._pending_inputs
        self.assertEqual([OrderResult.NO_ANSWER] * 3, [answer.result for answer in answers])
        self.assertEqual(AdviceAnswered(STEP, (LIFE,), None), advice)
        self.assertEqual(4, len(logs.records))

    # Guards against registrations in the log, written by an earlier version, that no order can use.
    async def test_a_worker_whose_address_is_invalid_does_not_answer(self) -> None:
        for address in BAD_ADDRESSES:
            client = HttpWorkerClient(advice_address=address or "x")
            start, stop, poll = orders_to(address)
            answers = [await client.start(start), await client.stop(stop), await client.poll(poll)]
            self.assertEqual([OrderResult.NO_ANSWER] * 3, [answer.result for answer in answers])
            self.assertIsNone((await client.advise(AskAdvice(STEP, (LIFE,)))).tickets)
            await client.close()


class BackgroundTaskTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that ends because one of its background tasks fails.
    async def test_a_background_task_that_fails_is_started_again(self) -> None:
        calls: list[int] = []

        async def fail_once() -> None:
            calls.append(1)
            if len(calls) == 1:
                raise ValueError("unexpected")

        with self.assertLogs("bulrushhollow_daemon.supervision", "ERROR"), anyio.fail_after(5):
            await keep_running(fail_once)
        self.assertEqual(2, len(calls))

    # Guards against a process that ends when it reads a settings file that is half written.
    def test_settings_that_cannot_be_read_leave_the_old_ones_in_force(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.conf"
            path.write_bytes(b"node=\xff\xfe")
            settings = SettingsFile({"BULRUSHHOLLOW_NODE_FILE": str(path)})
            self.assertIsNone(settings.read_if_changed())


class MessageTest(unittest.TestCase):
    # Guards against heartbeats of other systems that reach the log, and then every leader.
    def test_a_heartbeat_with_an_invalid_address_or_number_is_unreadable(self) -> None:
        bodies = [heartbeat(addr=address) for address in BAD_ADDRESSES]
        bodies += [heartbeat(**{name: HUGE}) for name in ("seq", "born")]
        bodies += [heartbeat(capacity={"cpu": HUGE}), heartbeat(capacity={"cpu": -1})]
        bodies += [heartbeat(labels=["x" * 20_000]), heartbeat(unknown=1)[:-1], DEEP, b"\xff"]
        for body in bodies:
            self.assertIsInstance(decode_heartbeat("i-1", body), Unreadable, body[:300])
        self.assertIsInstance(decode_heartbeat("", heartbeat()), Unreadable)

    # Guards against a check that refuses workers which are merely unusual.
    def test_an_unusual_heartbeat_is_read(self) -> None:
        for body in (
            heartbeat(),
            heartbeat(seq=2**62, born=0, labels=[], zone="", unknown={"a": [1]}),
            heartbeat(capacity={"cpu": 0, "mem-mb": 0, "gpu": 0}, addr="127.0.0.1:65535"),
            heartbeat(labels=["ü" * 200], time_ms=1e12),
        ):
            self.assertNotIsInstance(decode_heartbeat("worker/7 é", body), Unreadable, body)

    # Guards against lists of a worker that end the leader.
    def test_rows_with_numbers_out_of_range_are_skipped(self) -> None:
        for name in ("j.0.0.²", f"j.{HUGE}.0.0", "j.0.0", "j.-1.0.0", None, ["j"]):
            self.assertIsNone(decode_running_row((name, 1, "", 5)))
            self.assertIsNone(decode_ended_row((1, name, 1, "done", "")))
        self.assertIsNone(decode_running_row(("j.0.0.0", HUGE, "", 5)))
        self.assertIsNone(decode_ended_row((HUGE, "j.0.0.0", 1, "done", "")))
        self.assertIsNone(decode_ended_row((1, "j.0.0.0", HUGE, "done", "")))
        self.assertIsNotNone(decode_running_row(("j.0.0.0", 1, "", 5.5, 12)))

    # Guards against numbers that no entry of the log can hold, on the other interfaces.
    def test_jobs_configurations_and_departures_have_numbers_in_range(self) -> None:
        job = b'{"spec":"","steps":[{"count":1,"cpu":%d}],"run-count":%d}'
        self.assertIsInstance(decode_work(job % (HUGE, 1)), Unreadable)
        self.assertIsInstance(decode_work(job % (1, HUGE)), Unreadable)
        self.assertIsInstance(decode_work(DEEP), Unreadable)
        self.assertNotIsInstance(decode_work(job % (1, 2**40)), Unreadable)
        put = b'{"version":%d,"routes":[],"services":[]}'
        self.assertIsInstance(decode_configuration(put % HUGE), Unreadable)
        self.assertNotIsInstance(decode_configuration(put % 2**62), Unreadable)
        self.assertNotEqual(HUGE, decode_deregistration(b'{"born":%d}' % HUGE))


class LeaderTest(unittest.TestCase):
    """Calls that other instances pass on to the leader, which may run an earlier version."""

    def setUp(self) -> None:
        self.harness = SchedulerHarness()
        self.handler = CallHandler(DomainSettings(), "10.0.0.1")
        self.state = DomainState()
        self.state.apply(PutConfiguration(configuration(1)))

    def handle(self, call: object) -> object:
        result = self.handler.handle(
            call, self.state, self.harness.scheduler, self.harness.now, WALL
        )
        return result.answer

    def test_invalid_announcements_are_refused_alone_and_skipped_in_a_batch(self) -> None:
        valid = announcement(5, address="w:5")
        for changes in (
            {"sequence": 2**70},
            {"life": WorkerLife(WorkerId(""), 1)},
            {"life": WorkerLife(WorkerId("x"), 2**70)},
            {"capacity": Resources(-1, 0, 0)},
            {"clock": Seconds(float("inf"))},
        ):
            fields = {name: getattr(valid, name) for name in valid.__struct_fields__}
            invalid = type(valid)(**{**fields, **changes})
            self.assertIsInstance(self.handle(Announce(invalid)), Malformed)
            self.assertIsInstance(self.handle(AnnounceBatch((invalid, valid))), Done)
            worker_ids = self.harness.scheduler._shared.fleet.workers_by_life
            self.assertNotIn(invalid.life if invalid.life != valid.life else None, worker_ids)
            self.assertIn(valid.life, worker_ids)

    # Guards against a job so large that every instance with a disk runs out of memory.
    def test_a_job_with_more_tasks_than_memory_holds_is_refused(self) -> None:
        def submit(**changes: object) -> object:
            step = Step(**{"count": 1, "needs": Resources(1, 1, 0), "estimate": 1.0, **changes})
            return self.handle(Submit(HOST, "/usual/" + "a" * 16, KEY, Work("", (step,))))

        self.assertIsInstance(submit(count=10**7), Malformed)
        self.assertIsInstance(submit(needs=Resources(-5, 0, 0)), Malformed)
        self.assertIsInstance(submit(max_per_worker=-1), Malformed)
        self.assertIsInstance(submit(count=20_000), Done)
        self.assertIsInstance(submit(needs=Resources(0, 0, 0)), Done)


class CallFailureTest(unittest.TestCase):
    # Guards against a call whose unexpected error ends the leader.
    def test_an_unexpected_error_ends_only_its_call(self) -> None:
        from tests.domain_world import World

        world = World(5)
        world.run_until(lambda: world.leader() is not None, 10)
        world.run(2)
        self.assertTrue(world.put_configuration(configuration(1)))
        leader = world.leader()
        assert leader is not None
        answers: list[object] = []
        failing = mock.Mock(side_effect=ZeroDivisionError)
        with mock.patch.object(leader.node._call_handler, "handle", failing):
            world.send_call(Announce(announcement(9)), answers.append)
            world.run(1)
        self.assertEqual(1, len(answers))
        self.assertTrue(any('"call_failed"' in line for line in world.log))
        self.assertTrue(world.put_configuration(configuration(2)))


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    unittest.main()
