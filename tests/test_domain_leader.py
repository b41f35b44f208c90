"""What an instance answers when it does not know who leads."""

import asyncio
import unittest

from bulrushhollow_core.domain import (
    Answer,
    Call,
    Done,
    NotLeader,
    OutcomeUnknown,
    Read,
    RefusalReason,
    Refused,
    Submit,
    Work,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._rpc import CallFailure

SUBMIT = Submit("host", "/queue/1", "key", Work("spec", ()))
READ = Read("host", "/queue/1", "key")
NOT_SENT = CallFailure(was_sent=False, detail="refused")
SILENT = CallFailure(was_sent=True, detail="no answer")


class Scripted(LeaderClient):
    """Answers by address, the last answer again and again."""

    def __init__(self, answers: dict[str, list[Answer | CallFailure]]) -> None:
        super().__init__(7000)
        self.answers = answers
        self.asked: list[str] = []
        self.add_candidates(answers)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        self.asked.append(address)
        script = self.answers[address]
        return script.pop(0) if len(script) > 1 else script[0]


def ask(leader: LeaderClient, call: Call) -> Answer:
    async def run() -> Answer:
        return await leader.ask(call, Seconds(clock.now() + 2.5))

    return asyncio.run(run())


class AskTest(unittest.TestCase):
    def test_a_hint_is_followed(self) -> None:
        leader = Scripted({"a": [NotLeader("b")], "b": [Done("b")]})
        self.assertIsInstance(ask(leader, SUBMIT), Done)
        self.assertEqual((["a", "b"], "b"), (leader.asked, leader.address))

    def test_what_was_surely_not_made_is_refused(self) -> None:
        leader = Scripted({"a": [NOT_SENT], "b": [NotLeader(None)]})
        answer = ask(leader, SUBMIT)
        assert isinstance(answer, Refused)
        self.assertIs(RefusalReason.NO_LEADER, answer.reason)
        self.assertGreater(answer.retry_after, 0)

    def test_what_may_have_been_made_is_unknown(self) -> None:
        leader = Scripted({"a": [SILENT]})
        self.assertIsInstance(ask(leader, SUBMIT), OutcomeUnknown)

    def test_a_read_without_an_answer_is_refused(self) -> None:
        leader = Scripted({"a": [SILENT]})
        self.assertIsInstance(ask(leader, READ), Refused)

    def test_a_call_that_may_have_been_made_is_made_again_at_the_next_leader(self) -> None:
        leader = Scripted({"a": [SILENT], "b": [NotLeader("a"), Done("b")]})
        self.assertIsInstance(ask(leader, SUBMIT), Done)

    def test_a_refusal_proves_nothing_of_an_earlier_attempt(self) -> None:
        refused = Refused(RefusalReason.NO_CONFIGURATION, Seconds(1.0))
        leader = Scripted({"a": [SILENT], "b": [refused]})
        self.assertIsInstance(ask(leader, SUBMIT), OutcomeUnknown)


if __name__ == "__main__":
    unittest.main()
