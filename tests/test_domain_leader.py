"""Tests how a process finds the leader, and what it answers while none is known."""

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
NO_ANSWER = CallFailure(was_sent=True, detail="no answer")


class ScriptedLeader(LeaderClient):
    """Returns scripted answers by address; the last answer of an address is repeated."""

    def __init__(self, answers: dict[str, list[Answer | CallFailure]]) -> None:
        super().__init__(7000)
        self.answers = answers
        self.called: list[str] = []
        self.add_candidates(answers)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        self.called.append(address)
        script = self.answers[address]
        return script.pop(0) if len(script) > 1 else script[0]


def ask(leader: LeaderClient, call: Call) -> Answer:
    async def run() -> Answer:
        return await leader.ask(call, Seconds(clock.now() + 2.5))

    return asyncio.run(run())


class AskTest(unittest.TestCase):
    def test_a_hint_to_the_leader_is_followed(self) -> None:
        leader = ScriptedLeader({"a": [NotLeader("b")], "b": [Done("b")]})
        self.assertIsInstance(ask(leader, SUBMIT), Done)
        self.assertEqual((["a", "b"], "b"), (leader.called, leader.address))

    def test_a_call_that_was_certainly_not_carried_out_is_refused(self) -> None:
        leader = ScriptedLeader({"a": [NOT_SENT], "b": [NotLeader(None)]})
        answer = ask(leader, SUBMIT)
        assert isinstance(answer, Refused)
        self.assertIs(RefusalReason.NO_LEADER, answer.reason)
        self.assertGreater(answer.retry_after, 0)

    def test_a_call_that_may_have_been_carried_out_has_an_unknown_outcome(self) -> None:
        leader = ScriptedLeader({"a": [NO_ANSWER]})
        self.assertIsInstance(ask(leader, SUBMIT), OutcomeUnknown)

    def test_a_read_without_an_answer_is_refused(self) -> None:
        leader = ScriptedLeader({"a": [NO_ANSWER]})
        self.assertIsInstance(ask(leader, READ), Refused)

    def test_a_call_that_may_have_been_carried_out_is_repeated_at_the_next_leader(self) -> None:
        leader = ScriptedLeader({"a": [NO_ANSWER], "b": [NotLeader("a"), Done("b")]})
        self.assertIsInstance(ask(leader, SUBMIT), Done)

    def test_a_refusal_does_not_settle_an_earlier_attempt(self) -> None:
        refused = Refused(RefusalReason.NO_CONFIGURATION, Seconds(1.0))
        leader = ScriptedLeader({"a": [NO_ANSWER], "b": [refused]})
        self.assertIsInstance(ask(leader, SUBMIT), OutcomeUnknown)


if __name__ == "__main__":
    unittest.main()
