"""Tests of steps whose workers are selected by the advice service."""

import asyncio
import unittest

import msgspec

from bulrushhollow_core.domain import AdviceAnswered, AskAdvice, IssuedTicket, StepRef
from bulrushhollow_core.domain.execution import MAX_WORKERS_PER_QUESTION, AdviceCache
from bulrushhollow_core.domain.model import (
    EndRuns,
    Occurrence,
    OrderResult,
    OrderStart,
    Outcome,
    PutConfiguration,
    StartAnswered,
    StartRuns,
    SubmitJob,
    WorkerLife,
)
from bulrushhollow_core.ids import JobId, Seconds, WorkerId, WorkspaceId
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.http_server import bound_address, open_listener
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform._translation import decode_configuration
from bulrushhollow_platform._workers import HttpWorkerClient
from standins.advice import AdviceService
from standins.domain_site import configuration, queue
from tests.test_domain_scheduler import SINGLE_TASK, WALL, SchedulerHarness

STEP = StepRef(JobId("j"), Occurrence(0), 0)
LIVES = [WorkerLife(WorkerId(f"w{number}"), 1) for number in range(50)]
NOW = Seconds(100.0)


def answer_to(question: AskAdvice, allowed: int, valid: float = 3.0) -> AdviceAnswered:
    """Return an answer that allows the first workers of a question."""
    tickets = tuple(IssuedTicket(life.id, f"t-{life.id}") for life in question.workers[:allowed])
    return AdviceAnswered(question.step, question.workers, tickets, Seconds(valid))


class AdviceCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.advice = AdviceCache()

    def ask(self, now: float = NOW) -> AskAdvice | None:
        self.advice.clear_requests()
        self.advice.request(STEP, LIVES, Seconds(now))
        return self.advice.next_question(Seconds(now))

    def test_one_question_is_open_at_a_time_and_names_few_workers(self) -> None:
        question = self.ask()
        assert question is not None
        self.assertEqual(MAX_WORKERS_PER_QUESTION, len(question.workers))
        self.assertIsNone(self.ask())

    def test_no_worker_is_named_in_two_questions(self) -> None:
        first = self.ask()
        assert first is not None
        self.advice.handle_answer(answer_to(first, 10), NOW)
        second = self.ask()
        assert second is not None
        self.assertEqual(set(), set(first.workers) & set(second.workers))
        self.advice.handle_answer(answer_to(second, 10), NOW)
        self.assertIsNone(self.ask())

    def test_only_expired_tickets_are_requested_again(self) -> None:
        first = self.ask()
        assert first is not None
        self.advice.handle_answer(answer_to(first, 10), NOW)
        second = self.ask()
        assert second is not None
        self.advice.handle_answer(answer_to(second, 0), NOW)
        self.assertEqual(10, len(self.advice.allowed_workers(STEP, Seconds(NOW + 2))))
        self.assertEqual(0, len(self.advice.allowed_workers(STEP, Seconds(NOW + 2.8))))
        again = self.ask(NOW + 3)
        assert again is not None
        self.assertEqual(set(first.workers[:10]), set(again.workers))

    def test_a_busy_service_is_asked_again_after_a_delay(self) -> None:
        question = self.ask()
        assert question is not None
        self.advice.handle_answer(AdviceAnswered(STEP, question.workers, None), NOW)
        self.assertIsNone(self.ask(NOW + 0.1))
        self.assertEqual(question, self.ask(NOW + 0.5))

    def test_a_refused_ticket_is_not_used_again(self) -> None:
        question = self.ask()
        assert question is not None
        self.advice.handle_answer(answer_to(question, 1), NOW)
        life = question.workers[0]
        self.assertEqual(f"t-{life.id}", self.advice.ticket_for(STEP, life))
        self.advice.invalidate_ticket(STEP, life)
        self.assertEqual((frozenset(), ""), (self.advice.allowed_workers(STEP, NOW), ""))
        self.assertEqual("", self.advice.ticket_for(STEP, life))

    def test_another_life_of_a_worker_has_no_ticket(self) -> None:
        question = self.ask()
        assert question is not None
        self.advice.handle_answer(answer_to(question, 1), NOW)
        later = WorkerLife(question.workers[0].id, 2)
        self.assertEqual("", self.advice.ticket_for(STEP, later))

    def test_the_tickets_of_an_ended_job_are_removed(self) -> None:
        question = self.ask()
        assert question is not None
        self.advice.handle_answer(answer_to(question, 5), NOW)
        self.advice.forget_job(JobId("j"))
        self.assertEqual(frozenset(), self.advice.allowed_workers(STEP, NOW))


class AdviceHarness(SchedulerHarness):
    """A scheduler with one job, in a queue that needs advice."""

    def __init__(self) -> None:
        super().__init__()
        advised = msgspec.structs.replace(queue("usual", 1), needs_advice=True)
        config = configuration(2)
        queues = tuple(advised if each.name == advised.name else each for each in config.queues)
        self.commit([PutConfiguration(msgspec.structs.replace(config, queues=queues))])
        self.commit([SubmitJob(JobId("j"), advised, WorkspaceId("team"), SINGLE_TASK, WALL)])

    def starts(self) -> list[StartRuns]:
        return [each for each in self.plan() if isinstance(each, StartRuns)]

    def question(self) -> AskAdvice:
        [question] = [each for each in self.scheduler.take_actions() if isinstance(each, AskAdvice)]
        return question


class PlacementTest(unittest.TestCase):
    def test_a_step_starts_only_with_a_ticket(self) -> None:
        harness = AdviceHarness()
        self.assertEqual([], harness.starts())
        harness.scheduler.advice_answered(answer_to(harness.question(), 1), harness.now)
        starts = harness.starts()
        harness.commit(list(starts))
        [order] = [
            each for each in harness.scheduler.take_actions() if isinstance(each, OrderStart)
        ]
        self.assertEqual("t-w", order.ticket)

    def test_a_step_without_an_allowed_worker_waits(self) -> None:
        harness = AdviceHarness()
        harness.starts()
        harness.scheduler.advice_answered(answer_to(harness.question(), 0), harness.now)
        self.assertEqual([], harness.starts())

    def test_a_start_without_a_valid_ticket_costs_no_attempt(self) -> None:
        harness = AdviceHarness()
        harness.starts()
        harness.scheduler.advice_answered(answer_to(harness.question(), 1), harness.now)
        harness.commit(list(harness.starts()))
        [order] = [
            each for each in harness.scheduler.take_actions() if isinstance(each, OrderStart)
        ]
        refused = StartAnswered(
            order.life, order.task, order.run, OrderResult.NO_TICKET, Seconds(50.1)
        )
        harness.scheduler.start_answered(refused, harness.now)
        ends = harness.scheduler.take_proposals(Seconds(harness.now + 0.1), WALL)
        harness.commit(ends)
        [end] = [end for each in ends if isinstance(each, EndRuns) for end in each.ends]
        self.assertIs(Outcome.NEVER_STARTED, end.outcome)
        harness.scheduler.tick(Seconds(harness.now + 0.3), WALL)
        self.assertEqual((order.life,), harness.question().workers)


class AdviceServiceTest(unittest.TestCase):
    def test_the_client_asks_the_service_over_http(self) -> None:
        async def run() -> tuple[AdviceAnswered, AdviceAnswered, AdviceService]:
            service = AdviceService(share=0.5, decision=0.001)
            limits = ServerLimits(Seconds(3.0), Seconds(15.0), 100)
            server = make_caller_server(service, limits)
            sock = open_listener(Address("127.0.0.1", 0))
            serving = asyncio.ensure_future(server.serve([sock]))
            client = HttpWorkerClient(str(bound_address(sock)))
            try:
                answer_of_idle = await client.advise(AskAdvice(STEP, tuple(LIVES[:20])))
                service.waiting_count = 32
                answer_of_busy = await client.advise(AskAdvice(STEP, tuple(LIVES[:20])))
            finally:
                await client.close()
                server.should_exit = server.force_exit = True
                await serving
            return answer_of_idle, answer_of_busy, service

        answer_of_idle, answer_of_busy, service = asyncio.run(run())
        assert answer_of_idle.tickets is not None
        allowed = {life.id for life in LIVES[:20] if service.may_run("j.0.0", life.id)}
        self.assertEqual(allowed, {ticket.worker for ticket in answer_of_idle.tickets})
        self.assertEqual((3.0, "j.0.0"), (answer_of_idle.valid_for, service.questions[0].step))
        self.assertIsNone(answer_of_busy.tickets)

    def test_without_a_service_there_are_no_tickets(self) -> None:
        with self.assertLogs("bulrushhollow.advice", "WARNING"):
            answer = asyncio.run(HttpWorkerClient().advise(AskAdvice(STEP, tuple(LIVES[:2]))))
        self.assertIsNone(answer.tickets)

    def test_a_queue_needs_advice_if_its_route_has_advice(self) -> None:
        route = {
            "name": "r",
            "host": "h",
            "prefix": "/p/",
            "service": "s",
            "timeout-ms": 3000,
            "advice": {"decision-ms": 20, "period-ms": 2, "valid-ms": 3000},
        }
        body = {"version": 1, "routes": [route], "services": [{"name": "s"}]}
        decoded = decode_configuration(msgspec.json.encode(body))
        self.assertTrue(decoded.queues[0].needs_advice)  # type: ignore[union-attr]


if __name__ == "__main__":
    unittest.main()
