"""What a leader sends while nobody waits for it: a burst of entries on a domain's log."""

import random
import unittest
from collections import Counter

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import (
    Append,
    AppendAnswer,
    Consensus,
    EntryKind,
    Members,
    Proposed,
    RestoredState,
    Timing,
)
from bulrushhollow_core.consensus._types import LogEntry
from bulrushhollow_core.ids import InstanceId, LogIndex, Seconds, Term, name_of

VOTERS = [InstanceId(f"v{number}.00000001") for number in range(3)]
LEARNER = InstanceId("l.00000001")
ALL = [*VOTERS, LEARNER]


class Log:
    """A log of three voters and a learner, whose messages take one step."""

    def __init__(self, is_coalescing: bool) -> None:
        members = Members(frozenset(VOTERS), frozenset({LEARNER}))
        entry = LogEntry(LogIndex(1), Term(1), members.encode(), EntryKind.MEMBERS)
        restored = RestoredState(7, Term(1), None, None, (entry,))  # type: ignore[arg-type]
        timing = Timing(is_coalescing=is_coalescing)
        self.now = Seconds(0.0)
        self.sent: Counter[tuple[type, InstanceId]] = Counter()
        self.cores = {
            me: Consensus(
                me, True, restored, random.Random(number), self.now, timing, voter_limit=3
            )
            for number, me in enumerate(ALL)
        }
        for me, core in self.cores.items():
            for other in ALL:
                if other != me:
                    self.carry(me, core.peer_connected(other, True, self.now))
        while not any(core.status(self.now).quorum_age < 0.5 for core in self.cores.values()):
            self.step(0.05)
        self.step(1.0)

    def step(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = Seconds(self.now + 0.01)
            for me, core in self.cores.items():
                self.carry(me, core.tick(self.now))
                self.carry(me, core.flush(self.now))

    def carry(self, me: InstanceId, actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent[type(action.message), action.to] += 1
                answer = self.cores[action.to].receive(me, action.message, self.now)
                self.carry(action.to, answer)
                self.carry(action.to, self.cores[action.to].flush(self.now))

    def leader(self) -> Consensus:
        return min(self.cores.values(), key=lambda core: core.status(self.now).quorum_age)


class BurstTest(unittest.TestCase):
    def burst(self, is_coalescing: bool) -> tuple[Counter[tuple[type, InstanceId]], Log]:
        log = Log(is_coalescing)
        log.sent.clear()
        for number in range(100):
            proposed = log.leader().propose(b"%d" % number, log.now)
            assert isinstance(proposed, Proposed)
            log.step(0.01)
        return log.sent, log

    def appends(self, sent: Counter[tuple[type, InstanceId]], to: str) -> int:
        return sum(
            count
            for (kind, peer), count in sent.items()
            if kind is Append and name_of(peer).startswith(to)
        )

    def test_entries_go_to_a_learner_once_a_heartbeat(self) -> None:
        sent, log = self.burst(is_coalescing=True)
        self.assertLessEqual(self.appends(sent, "l"), 8)
        log.step(0.6)
        last = {core.status(log.now).last_index for core in log.cores.values()}
        self.assertEqual(1, len(last), "and it still follows")

    def test_the_word_of_a_commit_waits_for_the_next_message(self) -> None:
        thrifty, log = self.burst(is_coalescing=True)
        eager, _ = self.burst(is_coalescing=False)
        self.assertLess(self.appends(thrifty, "v"), 0.6 * self.appends(eager, "v"))
        log.step(0.6)
        commits = {core.status(log.now).commit_index for core in log.cores.values()}
        self.assertEqual(1, len(commits), "and it still comes")

    def test_every_entry_is_answered_once_by_each_voter(self) -> None:
        sent, _ = self.burst(is_coalescing=True)
        answers = sum(count for (kind, _), count in sent.items() if kind is AppendAnswer)
        self.assertLess(answers, 230)


if __name__ == "__main__":
    unittest.main()
