"""Which change of members is due while the number of voters is limited."""

import unittest

from bulrushhollow_core.consensus._members import next_membership_change
from bulrushhollow_core.consensus._progress import Progress, ReplicationMode
from bulrushhollow_core.consensus._types import Members
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds

NOW = 100.0
LIMIT = 3


def member(name: str, life: int = 1) -> InstanceId:
    return InstanceId(f"{name}.{life:08x}")


def progress(heard: float, match: int = 50) -> Progress:
    made = Progress(LogIndex(match + 1), Seconds(heard))
    made.mode = ReplicationMode.STREAM
    made.match_index = LogIndex(match)
    return made


def due(
    members: Members, heard: dict[InstanceId, float], can_replace: bool = True
) -> Members | None:
    reachable = [peer for peer, at in heard.items() if at > NOW - 2]
    return next_membership_change(
        members,
        reachable,
        {peer: progress(at) for peer, at in heard.items()},
        LogIndex(50),
        Seconds(NOW - 2),
        voter_limit=LIMIT,
        can_replace=can_replace,
    )


class LimitTest(unittest.TestCase):
    def setUp(self) -> None:
        # The first voter leads, so that it has no progress of its own.
        self.voters = frozenset({member("a"), member("b"), member("c")})
        self.learner = member("d")
        self.members = Members(self.voters, frozenset({self.learner}))

    def test_a_learner_waits_while_all_voters_are_heard(self) -> None:
        heard = {member("b"): NOW, member("c"): NOW, self.learner: NOW}
        self.assertIsNone(due(self.members, heard))

    def test_a_silent_voter_keeps_its_place_until_a_learner_has_one(self) -> None:
        # Soak seed 104: the silent voter was removed first, and the disk of one of the two that
        # were left was lost before the learner counted.
        heard = {member("b"): NOW - 9, member("c"): NOW, self.learner: NOW}
        grown = due(self.members, heard)
        assert grown is not None
        self.assertEqual(self.voters | {self.learner}, grown.voters)
        shrunk = due(grown, heard)
        assert shrunk is not None
        self.assertEqual(grown.voters - {member("b")}, shrunk.voters)

    def test_a_voter_that_comes_back_meanwhile_costs_another_its_place(self) -> None:
        grown = Members(self.voters | {self.learner}, frozenset())
        heard = {member("b"): NOW, member("c"): NOW, self.learner: NOW}
        shrunk = due(grown, heard)
        assert shrunk is not None
        self.assertEqual(LIMIT, len(shrunk.voters))

    def test_a_new_leader_gives_every_voter_time_to_be_heard(self) -> None:
        heard = {member("b"): NOW - 9, member("c"): NOW, self.learner: NOW}
        self.assertIsNone(due(self.members, heard, can_replace=False))

    def test_an_emptied_voter_goes_before_its_successor_counts(self) -> None:
        successor = member("b", 2)
        members = Members(self.voters, frozenset({successor}))
        heard = {member("b"): NOW - 9, member("c"): NOW, successor: NOW}
        changed = due(members, heard)
        assert changed is not None
        self.assertEqual(self.voters - {member("b")}, changed.voters)


class SpreadTest(unittest.TestCase):
    def change(self, voters: str, learners: str, place: dict[str, str]) -> Members | None:
        members = Members(
            frozenset(map(member, voters)), frozenset(member(name) for name in learners)
        )
        others = [each for each in members.voters | members.learners if each != member("a")]
        return next_membership_change(
            members,
            others,
            {peer: progress(NOW) for peer in others},
            LogIndex(50),
            Seconds(NOW - 2),
            voter_limit=LIMIT,
            can_replace=True,
            failure_domain_by_name={InstanceName(name): where for name, where in place.items()},
        )

    def test_the_next_voter_is_where_none_is(self) -> None:
        grown = self.change("a", "bc", {"a": "north", "b": "north", "c": "south"})
        assert grown is not None
        self.assertEqual({member("a"), member("c")}, grown.voters)

    def test_voters_in_one_data_centre_give_way_to_others(self) -> None:
        # The loss of that data centre would leave no majority.
        place = {"a": "north", "b": "north", "c": "north", "d": "south"}
        grown = self.change("abc", "d", place)
        assert grown is not None
        self.assertIn(member("d"), grown.voters)
        shrunk = self.change("abcd", "", place)
        assert shrunk is not None
        self.assertIn(member("d"), shrunk.voters)
        self.assertEqual(LIMIT, len(shrunk.voters))

    def test_voters_that_are_spread_as_well_as_can_be_stay(self) -> None:
        place = {"a": "north", "b": "north", "c": "south", "d": "south"}
        self.assertIsNone(self.change("abc", "d", place))


if __name__ == "__main__":
    unittest.main()
