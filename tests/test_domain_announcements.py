"""Announcements of more workers than the leader hears itself."""

import asyncio
import unittest
from collections import Counter

import anyio
import msgspec

from bulrushhollow_core.domain import (
    Announce,
    AnnounceBatch,
    Answer,
    Availability,
    Call,
    Done,
    Malformed,
    WorkerNews,
    announcement_target,
)
from bulrushhollow_core.domain._call_handler import CallHandler, ImmediateAnswer
from bulrushhollow_core.domain.model import DomainSettings, WorkerLife
from bulrushhollow_core.ids import Seconds, WorkerId
from bulrushhollow_daemon.domain import AnnouncementForwarder
from tests.test_domain_scheduler import WALL, SchedulerHarness, announcement

RELAYS = tuple(f"10.0.{number}.1" for number in range(7))


def news_of(number: int, availability: Availability = Availability.READY) -> WorkerNews:
    life = WorkerLife(WorkerId(f"w{number}"), 1)
    news = announcement(1, address=f"w{number}:1")
    return msgspec.structs.replace(news, life=life, availability=availability)


class RelayChoiceTest(unittest.TestCase):
    """Pattern: thousands of workers announce themselves every second or two."""

    def setUp(self) -> None:
        self.harness = SchedulerHarness()
        self.handler = CallHandler(DomainSettings(max_direct_workers=3), "leader")
        self.handler.relays = RELAYS

    def answer_to(self, call: Call) -> Answer:
        harness = self.harness
        result = self.handler.handle(call, harness.state, harness.scheduler, harness.now, WALL)
        assert isinstance(result, ImmediateAnswer)
        return result.answer

    # Guards against a leader whose descriptors all go to workers that announce themselves.
    def test_a_leader_with_many_workers_sends_them_to_the_other_instances(self) -> None:
        for number in range(2):
            answer = self.answer_to(Announce(news_of(number)))
            self.assertEqual(Done("leader"), answer)
            self.assertEqual("leader", announcement_target(WorkerId("w"), answer))
        answer = self.answer_to(Announce(news_of(2)))
        assert isinstance(answer, Done)
        targets = Counter(announcement_target(WorkerId(f"w{n}"), answer) for n in range(700))
        self.assertEqual(set(RELAYS), set(targets))
        self.assertLess(max(targets.values()), 2 * min(targets.values()))

    def test_a_batch_announces_each_of_its_workers(self) -> None:
        answer = self.answer_to(AnnounceBatch(tuple(map(news_of, range(5)))))
        self.assertEqual(Done("leader", RELAYS), answer)
        self.assertEqual(6, self.harness.scheduler.worker_count)

    def test_a_batch_with_a_worker_that_drains_is_rejected(self) -> None:
        batch = AnnounceBatch((news_of(1), news_of(2, Availability.DRAINING)))
        self.assertIsInstance(self.answer_to(batch), Malformed)
        self.assertEqual(1, self.harness.scheduler.worker_count)


class ForwarderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.calls: list[Call] = []
        self.answers: list[Answer] = [Done("leader", RELAYS)]

    async def ask(self, call: Call, deadline: Seconds) -> Answer:
        self.calls.append(call)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]

    def forward(self, *batches: list[WorkerNews]) -> list[Answer]:
        """Forward batches of announcements that arrive together, and return all answers."""
        answers: list[Answer] = []

        async def forward_one(forwarder: AnnouncementForwarder, news: WorkerNews) -> None:
            answers.append(await forwarder.forward(news, Seconds(1.0)))

        async def run() -> None:
            forwarder = AnnouncementForwarder(self.ask)
            for batch in batches:
                async with anyio.create_task_group() as tasks:
                    for news in batch:
                        tasks.start_soon(forward_one, forwarder, news)

        asyncio.run(run())
        return answers

    def test_announcements_go_in_batches_once_the_leader_names_relays(self) -> None:
        answers = self.forward([news_of(0)], [news_of(1), news_of(2), news_of(3)])
        self.assertEqual([Announce, AnnounceBatch], [type(call) for call in self.calls])
        self.assertEqual(4, len(answers))

    # Guards against a worker that is told that its departure is recorded before it is.
    def test_a_worker_that_drains_is_announced_alone(self) -> None:
        self.forward([news_of(0)], [news_of(1, Availability.DRAINING), news_of(2), news_of(3)])
        self.assertEqual(Announce, type(self.calls[1]))
        self.assertEqual(2, len(self.calls[2].announcements))

    # Guards against announcements that are lost at an earlier version, which reads no batch.
    def test_a_failed_batch_is_followed_by_single_announcements(self) -> None:
        self.answers = [Done("leader", RELAYS), Malformed("unknown"), Done("leader")]
        self.forward([news_of(0)], [news_of(1)], [news_of(2)], [news_of(3)])
        kinds = [type(call) for call in self.calls]
        self.assertEqual([Announce, AnnounceBatch, Announce, Announce], kinds)


if __name__ == "__main__":
    unittest.main()
