"""The next membership change while the number of voters is limited."""

import unittest

from bulrushhollow_core.consensus._members import next_membership_change
from bulrushhollow_core.consensus._progress import Progress, ReplicationMode
from bulrushhollow_core.consensus._types import Members
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds

NOW = 100.0
LIMIT = 3


def member(name: str, incarnation: int = 1) -> InstanceId:
    return InstanceId(f"{name}.{incarnation:08x}")


def progress(last_contact_at: float, match_index: int = 50) -> Progress:
    caught_up = Progress(LogIndex(match_index + 1), Seconds(last_contact_at))
    caught_up.mode = ReplicationMode.STREAM
    caught_up.match_index = LogIndex(match_index)
    return caught_up


def next_change(
    members: Members, last_contact_by_id: dict[InstanceId, float], can_replace: bool = True
) -> Members | None:
    reachable = [peer for peer, at in last_contact_by_id.items() if at > NOW - 2]
    return next_membership_change(
        members,
        reachable,
        {peer: progress(at) for peer, at in last_contact_by_id.items()},
        LogIndex(50),
        Seconds(NOW - 2),
        voter_limit=LIMIT,
        can_replace=can_replace,
    )


class LimitTest(unittest.TestCase):
    def setUp(self) -> None:
        # The first voter is the leader, which tracks no progress of its own.
        self.voters = frozenset({member("a"), member("b"), member("c")})
        self.learner = member("d")
        self.members = Members(self.voters, frozenset({self.learner}))

    def test_a_learner_waits_while_all_voters_are_heard(self) -> None:
        contacts = {member("b"): NOW, member("c"): NOW, self.learner: NOW}
        self.assertIsNone(next_change(self.members, contacts))

    def test_a_silent_voter_stays_until_a_learner_has_become_voter(self) -> None:
        # If the silent voter were removed first, the loss of one of the two other disks before the
        # learner becomes a voter would leave no majority (soak seed 104).
        contacts = {member("b"): NOW - 9, member("c"): NOW, self.learner: NOW}
        grown = next_change(self.members, contacts)
        assert grown is not None
        self.assertEqual(self.voters | {self.learner}, grown.voters)
        shrunk = next_change(grown, contacts)
        assert shrunk is not None
        self.assertEqual(grown.voters - {member("b")}, shrunk.voters)

    def test_a_surplus_voter_is_removed_after_a_silent_one_has_returned(self) -> None:
        grown = Members(self.voters | {self.learner}, frozenset())
        contacts = {member("b"): NOW, member("c"): NOW, self.learner: NOW}
        shrunk = next_change(grown, contacts)
        assert shrunk is not None
        self.assertEqual(LIMIT, len(shrunk.voters))

    def test_a_new_leader_gives_every_voter_time_to_be_heard(self) -> None:
        contacts = {member("b"): NOW - 9, member("c"): NOW, self.learner: NOW}
        self.assertIsNone(next_change(self.members, contacts, can_replace=False))

    def test_a_voter_with_a_lost_disk_is_removed_before_its_next_incarnation_votes(self) -> None:
        successor = member("b", 2)
        members = Members(self.voters, frozenset({successor}))
        contacts = {member("b"): NOW - 9, member("c"): NOW, successor: NOW}
        changed = next_change(members, contacts)
        assert changed is not None
        self.assertEqual(self.voters - {member("b")}, changed.voters)


class FailureDomainTest(unittest.TestCase):
    def next_change(
        self, voters: str, learners: str, domain_by_name: dict[str, str]
    ) -> Members | None:
        members = Members(
            frozenset(map(member, voters)), frozenset(member(name) for name in learners)
        )
        peers = [each for each in members.voters | members.learners if each != member("a")]
        return next_membership_change(
            members,
            peers,
            {peer: progress(NOW) for peer in peers},
            LogIndex(50),
            Seconds(NOW - 2),
            voter_limit=LIMIT,
            can_replace=True,
            failure_domains_by_name={
                InstanceName(name): domain for name, domain in domain_by_name.items()
            },
        )

    def test_the_next_voter_is_in_a_failure_domain_without_one(self) -> None:
        grown = self.next_change("a", "bc", {"a": "north", "b": "north", "c": "south"})
        assert grown is not None
        self.assertEqual({member("a"), member("c")}, grown.voters)

    def test_voters_in_one_data_centre_are_replaced_by_others(self) -> None:
        # The loss of that data centre would leave no majority.
        domain_by_name = {"a": "north", "b": "north", "c": "north", "d": "south"}
        grown = self.next_change("abc", "d", domain_by_name)
        assert grown is not None
        self.assertIn(member("d"), grown.voters)
        shrunk = self.next_change("abcd", "", domain_by_name)
        assert shrunk is not None
        self.assertIn(member("d"), shrunk.voters)
        self.assertEqual(LIMIT, len(shrunk.voters))

    def test_voters_that_are_spread_as_far_as_possible_stay(self) -> None:
        domain_by_name = {"a": "north", "b": "north", "c": "south", "d": "south"}
        self.assertIsNone(self.next_change("abc", "d", domain_by_name))


if __name__ == "__main__":
    unittest.main()
