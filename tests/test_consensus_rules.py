"""One instance against hand-made messages, for cases that random runs rarely reach."""

import math
import random
import unittest

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.consensus import (
    Append,
    AppendAnswer,
    ClockReading,
    Committed,
    Consensus,
    EntryKind,
    LogEntry,
    MemberChangeReason,
    MemberChangeRefused,
    Members,
    RequestVote,
    RestoredState,
    Timing,
    VoteAnswer,
)
from bulrushhollow_core.ids import InstanceId, Seconds

ME, PEER, OTHER = InstanceId("a.1"), InstanceId("b.1"), InstanceId("c.1")
LOG = 5
NOW = Seconds(100.0)
MEMBERS = LogEntry(1, 1, Members(frozenset({ME, PEER, OTHER})).encode(), EntryKind.MEMBERS)


def restarted(*entries: LogEntry, term: int = 1) -> Consensus:
    restored = RestoredState(LOG, term, None, None, (MEMBERS, *entries))
    return Consensus(ME, True, restored, random.Random(1), NOW)


def messages_of(actions: list[msgspec.Struct], kind: type) -> list[msgspec.Struct]:
    return [a.message for a in actions if isinstance(a, Send) and isinstance(a.message, kind)]


def append(term: int, previous: LogEntry, *entries: LogEntry, **fields: object) -> Append:
    defaults = {"commit": 0, "sent_at": 1.0, "quorum_age": 0.0}
    return Append(LOG, term, previous.index, previous.term, entries=entries, **defaults | fields)


class RulesTest(unittest.TestCase):
    def test_an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas(self) -> None:
        core = restarted(LogEntry(2, 2, b"old"), term=3)
        actions = core.tick(Seconds(NOW + 5))
        core.receive(PEER, VoteAnswer(LOG, 4, True, is_pre_vote=True), Seconds(NOW + 5))
        actions = core.receive(PEER, VoteAnswer(LOG, 4, True), Seconds(NOW + 5))
        answer = AppendAnswer(LOG, 4, True, 2, 2, Seconds(NOW + 5), ClockReading(1, Seconds(1)))
        actions = core.receive(PEER, answer, Seconds(NOW + 5))
        self.assertEqual([a for a in actions if isinstance(a, Committed)], [])
        actions = core.receive(PEER, msgspec.structs.replace(answer, index=3), Seconds(NOW + 5))
        committed = [a.entry.index for a in actions if isinstance(a, Committed)]
        self.assertEqual(committed, [1, 2, 3])

    def test_a_follower_counts_as_caught_up_only_after_a_commit_of_the_leaders_term(self) -> None:
        second, third = LogEntry(2, 1, b"2"), LogEntry(3, 2, b"")
        core = restarted(second)
        (answer,) = messages_of(core.receive(PEER, append(2, second, commit=1), NOW), AppendAnswer)
        later = append(2, second, third, commit=1, echo=answer.clock_reading)
        core.receive(PEER, later, NOW)
        self.assertEqual(core.status(NOW).caught_up_age, math.inf)
        core.receive(PEER, append(2, third, commit=3, echo=answer.clock_reading), NOW)
        self.assertEqual(core.status(NOW).caught_up_age, 0)

    def test_a_peer_that_has_all_entries_is_told_of_a_commit_at_once(self) -> None:
        core = restarted(term=3)
        at = Seconds(NOW + 5)
        core.peer_connected(PEER, True, at)
        core.tick(at)
        core.receive(PEER, VoteAnswer(LOG, 4, True, is_pre_vote=True), at)
        core.receive(PEER, VoteAnswer(LOG, 4, True), at)
        core.receive(PEER, AppendAnswer(LOG, 4, True, 1, 1, at, ClockReading(1, Seconds(1))), at)
        last = AppendAnswer(LOG, 4, True, 2, 1, at, ClockReading(1, Seconds(1)))
        (notice,) = messages_of(core.receive(PEER, last, at), Append)
        self.assertEqual((notice.commit, notice.entries), (2, ()))
        self.assertEqual(messages_of(core.receive(PEER, last, at), Append), [])

    def test_members_stay_until_an_entry_of_the_leaders_term_is_committed(self) -> None:
        core = restarted(term=3)
        at = Seconds(NOW + 5)
        core.peer_connected(InstanceId("d.1"), True, at)
        core.tick(at)
        core.receive(PEER, VoteAnswer(LOG, 4, True, is_pre_vote=True), at)
        core.receive(PEER, VoteAnswer(LOG, 4, True), at)
        core.tick(at)
        self.assertEqual(core.status(at).members.learners, frozenset())
        refused = core.remove_member(OTHER, at)
        self.assertEqual(refused, MemberChangeRefused(MemberChangeReason.CHANGE_IN_PROGRESS))
        core.receive(PEER, AppendAnswer(LOG, 4, True, 2, 1, at, ClockReading(1, Seconds(1))), at)
        core.tick(at)
        self.assertEqual(core.status(at).members.learners, {"d.1"})

    def test_a_late_duplicate_of_an_append_does_not_truncate_later_entries(self) -> None:
        second, third = LogEntry(2, 1, b"2"), LogEntry(3, 1, b"3")
        core = restarted()
        core.receive(PEER, append(1, MEMBERS, second), NOW)
        core.receive(PEER, append(1, second, third), NOW)
        (answer,) = messages_of(core.receive(PEER, append(1, MEMBERS, second), NOW), AppendAnswer)
        self.assertTrue(answer.success)
        self.assertEqual(core.status(NOW).last_index, 3)

    def test_a_voter_grants_one_vote_per_term_also_after_a_restart(self) -> None:
        request = RequestVote(LOG, 2, 1, 1)
        core = restarted()
        self.assertEqual(core.receive(PEER, request, NOW), [], "an earlier lease may still last")
        later = Seconds(NOW + Timing().min_election_timeout)
        (answer,) = messages_of(core.receive(PEER, request, later), VoteAnswer)
        self.assertTrue(answer.granted)
        restored = RestoredState(LOG, 2, PEER, None, (MEMBERS,))
        for voter in (core, Consensus(ME, True, restored, random.Random(1), NOW)):
            (answer,) = messages_of(voter.receive(OTHER, request, later), VoteAnswer)
            self.assertFalse(answer.granted)

    def test_a_voter_that_hears_its_leader_grants_only_a_leadership_transfer(self) -> None:
        core = restarted()
        core.receive(PEER, append(1, MEMBERS), NOW)
        (answer,) = messages_of(
            core.receive(OTHER, RequestVote(LOG, 2, 9, 1, is_pre_vote=True), NOW), VoteAnswer
        )
        self.assertFalse(answer.granted)
        self.assertEqual(core.receive(OTHER, RequestVote(LOG, 2, 9, 1), NOW), [])
        transfer = RequestVote(LOG, 2, 9, 1, is_transfer=True)
        (answer,) = messages_of(core.receive(OTHER, transfer, NOW), VoteAnswer)
        self.assertTrue(answer.granted)

    def test_messages_of_another_log_are_dropped_and_their_sender_is_reported(self) -> None:
        core = restarted()
        foreign = msgspec.structs.replace(append(9, MEMBERS), log_id=LOG + 1)
        self.assertEqual(core.receive(PEER, foreign, NOW), [])
        self.assertEqual(core.status(NOW).foreign_peers, {PEER})


if __name__ == "__main__":
    unittest.main()
