"""One odd row, number or text in the answers of workers and of the advice service."""

import unittest
from unittest import mock

from bulrushhollow_core.domain import (
    AdviceAnswered,
    AskAdvice,
    Occurrence,
    OrderResult,
    OrderStart,
    OrderStop,
    Poll,
    PollAnswered,
    RunNumber,
    StartAnswered,
    StepRef,
    StopAnswered,
    TaskRef,
    WorkerLife,
)
from bulrushhollow_core.domain.model import Start, StartRuns, SubmitJob
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkerId, WorkspaceId
from bulrushhollow_platform._translation import decode_running_row
from bulrushhollow_platform._workers import HttpWorkerClient, _Reply
from standins.domain_site import queue
from tests.test_domain_scheduler import SINGLE_TASK, WALL
from tests.test_odd_entries import DEEP, ODD_NUMBERS, lead

LIFE = WorkerLife(WorkerId("w"), 1)
RUNNING = '["j.0.0.1",3,"",40,7]'
ENDED = '[7,"j.0.0.2",1,"done",""]'
LONG = "c" * 2_000_000
WALL_MS = 1_790_000_000_000

ODD_ROWS = (
    *(DEEP, "null", "7", '"j.0.0.1"', "{}", "[]", '{"a":' + DEEP + "}"),
    *(f'["j.0.0.8",{number},"",5]' for number in ODD_NUMBERS),
    *(f'[{number},"j.0.0.8",1,"done",""]' for number in ODD_NUMBERS),
    *(f'["j.0.0.{number}",1,"",5]' for number in ODD_NUMBERS),
    *(f'[8,"j.{number}.0.0",1,"done",""]' for number in ODD_NUMBERS),
    *('["j.0.0.8",1,"",null]', '["j.0.0.8",1,"","5"]', '[8,"j.0.0.8",1,"odd",""]'),
    *(f"[{deep},1,{deep},5]" for deep in (DEEP, "[" * 900 + "]" * 900)),
    *(f'[8,{deep},1,{deep},""]' for deep in (DEEP, "[" * 900 + "]" * 900)),
)
"""Rows that name no run, as raw JSON."""


def hold(running: str = RUNNING, finished: str = ENDED, **changes: str) -> bytes:
    """Return the lists of a worker with raw JSON in place of some fields."""
    fields = {"time-ms": "482113", "running": f"[{running}]", "finished": f"[{finished}]"}
    fields |= {name.replace("_", "-"): text for name, text in changes.items()}
    return ("{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}").encode()


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    """Answers to orders."""

    async def answer(
        self, order: OrderStart | OrderStop | Poll | AskAdvice, body: bytes, status: int = 200
    ) -> StartAnswered | StopAnswered | PollAnswered | AdviceAnswered:
        """Return what a client makes of an answer with a body."""
        client = HttpWorkerClient("10.0.0.1:80", wall_time=lambda: WALL_MS / 1000)
        reply = mock.AsyncMock(return_value=_Reply(status, body))
        carry_out = {
            OrderStart: client.start,
            OrderStop: client.stop,
            Poll: client.poll,
            AskAdvice: client.advise,
        }[type(order)]
        with mock.patch.object(client, "_post", reply):
            return await carry_out(order)  # type: ignore[operator, no-any-return]

    async def poll(self, body: bytes) -> PollAnswered:
        order = Poll(LIFE, "10.0.0.2:80", Term(3), 0, None, Seconds(0.0))
        answer = await self.answer(order, body)
        assert isinstance(answer, PollAnswered)
        return answer

    # Guards against one odd row that hides the others, so that their runs count as lost.
    async def test_an_odd_row_leaves_the_other_rows_of_a_list(self) -> None:
        usual = await self.poll(hold())
        self.assertEqual((1, 1), (len(usual.running), len(usual.ended)))
        for row in ODD_ROWS:
            for rows in (
                {"running": f"{row},{RUNNING}"},
                {"running": f"{RUNNING},{row}"},
                {"finished": f"{row},{ENDED}"},
                {"finished": f"{ENDED},{row}"},
            ):
                with self.subTest(row=row[:30], list=next(iter(rows))):
                    self.assertEqual(usual, await self.poll(hold(**rows)))

    # Guards against unknown fields, which other versions may add, that hide the lists.
    async def test_an_odd_field_that_is_not_used_leaves_the_lists(self) -> None:
        usual = await self.poll(hold())
        for text in (DEEP, '{"a":' * 5_000 + "1" + "}" * 5_000, *ODD_NUMBERS[:5]):
            with self.subTest(text[:20]):
                self.assertEqual(usual, await self.poll(hold(unknown=text)))

    # Guards against a clock, or a start time, that no later order can use.
    async def test_lists_with_an_odd_clock_or_start_time_are_no_answer(self) -> None:
        odd = (DEEP, "null", '"5"', *ODD_NUMBERS)
        cases = [
            *({"time_ms": text} for text in (*odd, "1e308", "-1e300")),
            *({"born": text} for text in (*odd[2:], "5.5", str(2**62), str(2**53))),
        ]
        for changes in cases:
            with self.subTest(str(changes)[:60]):
                self.assertEqual(OrderResult.NO_ANSWER, (await self.poll(hold(**changes))).result)
        for body in (b'{"time-ms":1,"running":7}', b'{"time-ms":1,"finished":{}}', b"[]", b"\xff"):
            self.assertEqual(OrderResult.NO_ANSWER, (await self.poll(body)).result)
        successor = (await self.poll(hold(born=str(WALL_MS)))).successor
        self.assertEqual(WorkerLife(LIFE.id, WALL_MS), successor)

    async def test_an_odd_answer_to_a_start_or_a_stop_has_no_clock(self) -> None:
        task = TaskRef(JobId("j"), Occurrence(0), 0, 0)
        orders = (
            OrderStart(LIFE, "10.0.0.2:80", task, RunNumber(1), "", Seconds(9.0), Term(3), ""),
            OrderStop(LIFE, "10.0.0.2:80", task, RunNumber(1), Term(3)),
        )
        for text in (DEEP, *ODD_NUMBERS, "1e308"):
            for order in orders:
                for status in (200, 409):
                    with self.subTest(text=text[:20], order=type(order).__name__, status=status):
                        body = b'{"time-ms":%s,"reason":"old"}' % text.encode()
                        answer = await self.answer(order, body, status)
                        assert isinstance(answer, StartAnswered | StopAnswered)
                        self.assertIsNone(answer.clock)

    async def test_an_odd_answer_of_the_advice_service_is_none(self) -> None:
        question = AskAdvice(StepRef(JobId("j"), Occurrence(0), 0), (LIFE,))
        for text in (DEEP, *ODD_NUMBERS[3:]):
            for body in (
                f'{{"allowed":[["w","t"]],"valid-ms":{text}}}',
                f'{{"allowed":[["w",{text}]],"valid-ms":1}}',
                f'{{"allowed":[{text}],"valid-ms":1}}',
            ):
                with self.subTest(body[:50]):
                    answer = await self.answer(question, body.encode())
                    self.assertEqual(AdviceAnswered(question.step, (LIFE,), None), answer)

    # Guards against a checkpoint that no entry of the log can hold.
    async def test_a_checkpoint_that_is_no_text_or_too_long_is_none(self) -> None:
        for checkpoint in (f'"{LONG}"', "7", "null", '["c"]', "[" * 500 + "]" * 500):
            with self.subTest(checkpoint[:20]):
                running, ended = (
                    f'["j.0.0.1",3,{checkpoint},40]',
                    f'[7,"j.0.0.2",1,"done",{checkpoint}]',
                )
                answer = await self.poll(hold(running, ended))
                self.assertEqual([""], [row.checkpoint for row in answer.running])
                self.assertEqual([""], [row.checkpoint for row in answer.ended])


class ProgressTest(unittest.TestCase):
    # Guards against a leader that ends while it computes with a progress that is too large.
    def test_a_progress_out_of_range_is_limited(self) -> None:
        task = TaskRef(JobId("j"), Occurrence(0), 0, 0)
        team = WorkspaceId("team")
        recorded = (
            SubmitJob(task.job, queue("usual", 1), team, SINGLE_TASK, WALL),
            StartRuns((Start(task, RunNumber(1), LIFE, "w:1"),)),
        )
        for first in (-(10**400), -1, 10**400, 1e308):
            with self.subTest(first=str(first)[:10]):
                harness = lead(recorded, from_snapshot=True)
                for percent in (first, 5, 6, first, 7):
                    harness.now = Seconds(harness.now + 5)
                    row = decode_running_row(("j.0.0.0", 1, "", percent))
                    assert row is not None
                    clock = Seconds(harness.now + 45)
                    listed = PollAnswered(LIFE, OrderResult.ACCEPTED, clock, running=(row,))
                    harness.scheduler.poll_answered(listed, harness.now)
                    harness.commit(harness.plan())
                    self.assertIn(row.percent, range(101))
                self.assertEqual(1, harness.scheduler.run_count)


if __name__ == "__main__":
    unittest.main()
