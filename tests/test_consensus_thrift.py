"""Number of messages for a burst of entries, with and without coalescing."""

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


class Cluster:
    """Instances of one log: three voters and a learner, with immediate delivery of messages."""

    def __init__(self, is_coalescing: bool) -> None:
        members = Members(frozenset(VOTERS), frozenset({LEARNER}))
        entry = LogEntry(LogIndex(1), Term(1), members.encode(), EntryKind.MEMBERS)
        restored = RestoredState(7, Term(1), None, None, (entry,))  # type: ignore[arg-type]
        timing = Timing(is_coalescing=is_coalescing)
        self.now = Seconds(0.0)
        self.sent: Counter[tuple[type, InstanceId]] = Counter()
        self.cores_by_id = {
            me: Consensus(
                me, True, restored, random.Random(number), self.now, timing, voter_limit=3
            )
            for number, me in enumerate(ALL)
        }
        for me, core in self.cores_by_id.items():
            for other in ALL:
                if other != me:
                    self.deliver(me, core.peer_connected(other, True, self.now))
        while not any(core.status(self.now).quorum_age < 0.5 for core in self.cores_by_id.values()):
            self.step(0.05)
        self.step(1.0)

    def step(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = Seconds(self.now + 0.01)
            for me, core in self.cores_by_id.items():
                self.deliver(me, core.tick(self.now))
                self.deliver(me, core.flush(self.now))

    def deliver(self, me: InstanceId, actions: list[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent[type(action.message), action.to] += 1
                answers = self.cores_by_id[action.to].receive(me, action.message, self.now)
                self.deliver(action.to, answers)
                self.deliver(action.to, self.cores_by_id[action.to].flush(self.now))

    def leader(self) -> Consensus:
        return min(self.cores_by_id.values(), key=lambda core: core.status(self.now).quorum_age)


class BurstTest(unittest.TestCase):
    def burst(self, is_coalescing: bool) -> tuple[Counter[tuple[type, InstanceId]], Cluster]:
        cluster = Cluster(is_coalescing)
        cluster.sent.clear()
        for number in range(100):
            proposed = cluster.leader().propose(b"%d" % number, cluster.now)
            assert isinstance(proposed, Proposed)
            cluster.step(0.01)
        return cluster.sent, cluster

    def count_appends(self, sent: Counter[tuple[type, InstanceId]], to: str) -> int:
        return sum(
            count
            for (kind, peer), count in sent.items()
            if kind is Append and name_of(peer).startswith(to)
        )

    def test_entries_go_to_a_learner_once_a_heartbeat(self) -> None:
        sent, cluster = self.burst(is_coalescing=True)
        self.assertLessEqual(self.count_appends(sent, "l"), 8)
        cluster.step(0.6)
        last_indexes = {
            core.status(cluster.now).last_index for core in cluster.cores_by_id.values()
        }
        self.assertEqual(1, len(last_indexes), "the learner still catches up")

    def test_a_new_commit_index_waits_for_the_next_message(self) -> None:
        coalesced, cluster = self.burst(is_coalescing=True)
        eager, _ = self.burst(is_coalescing=False)
        self.assertLess(self.count_appends(coalesced, "v"), 0.6 * self.count_appends(eager, "v"))
        cluster.step(0.6)
        commit_indexes = {
            core.status(cluster.now).commit_index for core in cluster.cores_by_id.values()
        }
        self.assertEqual(1, len(commit_indexes), "the commit index still arrives")

    def test_every_entry_is_answered_once_by_each_voter(self) -> None:
        sent, _ = self.burst(is_coalescing=True)
        answers = sum(count for (kind, _), count in sent.items() if kind is AppendAnswer)
        self.assertLess(answers, 230)


if __name__ == "__main__":
    unittest.main()
