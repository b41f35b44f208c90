import random
import unittest

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority import (
    Authority,
    AuthorityDenial,
    AuthorityGrant,
    AuthorityRelease,
    AuthorityRequest,
    AuthorityTiming,
    Witness,
    WitnessDenial,
    WitnessGrant,
    WitnessRequest,
)
from bulrushhollow_core.authority._witness import TERM_SHIFT
from bulrushhollow_core.ids import DataCentreId, Epoch, InstanceId, InstanceName, Seconds, Term

NORTH = DataCentreId("north")
ME, A2, A3 = InstanceId("a1.01"), InstanceId("a2.01"), InstanceId("a3.01")
NAMES = frozenset(InstanceName(name) for name in ("a1", "a2", "a3"))
TIMING = AuthorityTiming()
READY = 10.0


class InstanceTestCase(unittest.TestCase):
    """Base of tests that call one instance directly; it booted at time 0."""

    def setUp(self) -> None:
        self.authority = Authority(ME, NORTH, NAMES, random.Random(1), Seconds(0.0))
        for peer in (A2, A3):
            self.authority.peer_connected(peer)

    def request_vote(
        self, source: InstanceId, epoch: int, at: float, is_pre_vote: bool = False
    ) -> AuthorityGrant | AuthorityDenial:
        request = AuthorityRequest(NORTH, Epoch(epoch), Seconds(at), is_pre_vote)
        actions = self.authority.receive(source, request, Seconds(at))
        assert isinstance(actions[0], Send) and actions[0].to == source
        assert isinstance(actions[0].message, AuthorityGrant | AuthorityDenial)
        return actions[0].message

    def is_granted(self, source: InstanceId, epoch: int, at: float) -> bool:
        return isinstance(self.request_vote(source, epoch, at), AuthorityGrant)


class VoterTest(InstanceTestCase):
    def test_no_vote_after_a_restart_until_an_earlier_promise_has_expired(self) -> None:
        self.assertFalse(self.is_granted(A2, 5, TIMING.vote_duration - 0.01))
        self.assertTrue(self.is_granted(A2, 5, TIMING.vote_duration))

    def test_a_voter_has_one_promise_at_a_time(self) -> None:
        self.assertTrue(self.is_granted(A2, 5, READY))
        denial = self.request_vote(A3, 6, READY + 1)
        self.assertEqual(
            AuthorityDenial(Epoch(6), Epoch(5), Seconds(TIMING.vote_duration - 1)), denial
        )
        self.assertTrue(self.is_granted(A2, 5, READY + 2))
        self.assertFalse(self.is_granted(A3, 6, READY + 2 + TIMING.lease_duration))
        self.assertTrue(self.is_granted(A3, 6, READY + 2 + TIMING.vote_duration))

    def test_no_vote_for_an_epoch_below_one_that_was_used(self) -> None:
        self.assertTrue(self.is_granted(A2, 5, READY))
        self.assertFalse(self.is_granted(A3, 4, READY + 10))
        self.assertFalse(self.is_granted(A3, 5, READY + 10))
        self.assertTrue(self.is_granted(A2, 5, READY + 20))

    def test_a_pre_vote_does_not_bind_the_voter(self) -> None:
        self.assertIsInstance(self.request_vote(A2, 0, READY, is_pre_vote=True), AuthorityGrant)
        self.assertTrue(self.is_granted(A3, 5, READY))
        self.assertIsInstance(self.request_vote(A2, 0, READY, is_pre_vote=True), AuthorityDenial)

    def test_a_released_vote_is_free_at_once_and_a_late_request_is_denied(self) -> None:
        self.assertTrue(self.is_granted(A2, 5, READY))
        self.authority.receive(A2, AuthorityRelease(Epoch(5)), Seconds(READY))
        self.assertFalse(self.is_granted(A2, 5, READY))
        self.assertTrue(self.is_granted(A3, 6, READY))

    def test_a_late_release_does_not_free_a_newer_vote(self) -> None:
        self.assertTrue(self.is_granted(A2, 7, READY))
        self.authority.receive(A2, AuthorityRelease(Epoch(5)), Seconds(READY))
        self.authority.receive(A3, AuthorityRelease(Epoch(7)), Seconds(READY))
        self.assertFalse(self.is_granted(A3, 8, READY))

    def test_other_instances_and_other_data_centres_get_no_vote(self) -> None:
        request = AuthorityRequest(NORTH, Epoch(5), Seconds(0.0))
        self.assertEqual([], self.authority.receive(InstanceId("b1.01"), request, Seconds(READY)))
        other_request = AuthorityRequest(DataCentreId("south"), Epoch(5), Seconds(0.0))
        self.assertEqual([], self.authority.receive(A2, other_request, Seconds(READY)))


class CandidateTest(InstanceTestCase):
    def start_vote(self, at: float, highest_epoch: int = 0) -> AuthorityRequest:
        """Let the instance win a pre-vote; return its vote request."""
        requests = self.vote_requests(self.authority.tick(Seconds(at)))
        self.assertTrue(requests[0].is_pre_vote)
        pre_vote = AuthorityGrant(
            requests[0].epoch, requests[0].sent_at, True, Epoch(highest_epoch)
        )
        return self.vote_requests(self.authority.receive(A2, pre_vote, Seconds(at)))[0]

    def vote_requests(self, actions: list[msgspec.Struct]) -> list[AuthorityRequest]:
        messages = [action.message for action in actions if isinstance(action, Send)]
        return [message for message in messages if isinstance(message, AuthorityRequest)]

    def grant(self, request: AuthorityRequest, at: float, source: InstanceId = A2) -> None:
        self.authority.receive(source, AuthorityGrant(request.epoch, request.sent_at), Seconds(at))

    def test_the_lease_starts_when_the_vote_was_requested(self) -> None:
        request = self.start_vote(READY)
        self.grant(request, READY + 0.4)
        held = self.authority.held_lease(Seconds(READY + 0.4))
        assert held is not None
        self.assertEqual((request.epoch, READY + TIMING.lease_duration), (held.epoch, held.until))
        self.authority.tick(Seconds(READY + 1))
        self.grant(request, READY + 2.9)
        self.assertIsNone(self.authority.held_lease(Seconds(READY + TIMING.lease_duration)))

    def test_an_epoch_is_above_all_that_the_voters_have_seen(self) -> None:
        self.assertGreater(self.start_vote(READY, highest_epoch=9_000_000).epoch, 9_000_000)

    def test_votes_for_another_epoch_do_not_count(self) -> None:
        request = self.start_vote(READY)
        other = msgspec.structs.replace(request, epoch=Epoch(request.epoch - 1))
        self.grant(other, READY)
        self.assertIsNone(self.authority.held_lease(Seconds(READY)))

    def test_a_candidacy_without_a_majority_releases_its_votes(self) -> None:
        request = self.start_vote(READY)
        actions = self.authority.tick(Seconds(READY + 0.6))
        released = [action.message for action in actions if isinstance(action, Send)]
        self.assertEqual([AuthorityRelease(request.epoch)] * 2, released)
        self.grant(request, READY + 0.7)
        self.assertIsNone(self.authority.held_lease(Seconds(READY + 0.7)))
        self.assertTrue(self.is_granted(A3, request.epoch + 1, READY + 0.7))

    def test_a_holder_that_releases_votes_of_a_higher_epoch_loses_the_lease(self) -> None:
        request = self.start_vote(READY)
        self.grant(request, READY)
        denial = AuthorityDenial(request.epoch, Epoch(request.epoch + 1_000_000))
        self.authority.receive(A3, denial, Seconds(READY + 0.1))
        self.assertIsNotNone(self.authority.held_lease(Seconds(READY + 0.1)))
        higher_request = self.start_vote(READY + 0.1)
        self.assertGreater(higher_request.epoch, denial.highest_epoch)
        self.authority.tick(Seconds(READY + 0.7))
        self.assertIsNone(self.authority.held_lease(Seconds(READY + 0.7)))


class WitnessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.witness = Witness({InstanceName("a1"): NORTH, InstanceName("a2"): NORTH})

    def request_vote(self, source: InstanceId, at: float, term: int = 1, offset: int = 0) -> object:
        request = WitnessRequest(NORTH, Epoch((term << TERM_SHIFT) + 5 + offset), Seconds(at))
        return self.witness.vote(source, request, Seconds(at))

    def lead(self, at: float, term: int = 1) -> None:
        self.witness.set_leading(True, Term(term), Seconds(at))

    def test_only_the_leader_votes_and_only_after_the_witness_delay(self) -> None:
        self.assertIsNone(self.request_vote(ME, 0.0))
        self.lead(0.0)
        self.assertIsInstance(self.request_vote(ME, 0.0), WitnessDenial)
        self.lead(TIMING.witness_delay)
        self.assertIsInstance(self.request_vote(ME, TIMING.witness_delay), WitnessGrant)
        self.assertIsInstance(self.request_vote(A2, TIMING.witness_delay, offset=1), WitnessDenial)

    def test_a_leader_does_not_vote_after_a_pause(self) -> None:
        self.lead(0.0)
        self.lead(20.0)
        self.assertIsNone(self.request_vote(ME, 20.5))

    def test_every_new_term_waits_again(self) -> None:
        self.lead(0.0)
        self.lead(20.0, term=3)
        self.assertIsInstance(self.request_vote(ME, 20.0), WitnessDenial)
        self.witness.set_leading(False, Term(3), Seconds(21.0))
        self.assertIsNone(self.request_vote(ME, 21.0))

    def test_an_epoch_of_an_earlier_term_gets_no_vote(self) -> None:
        self.lead(0.0, term=2)
        self.lead(20.0, term=2)
        denial = self.request_vote(ME, 20.0, term=1)
        assert isinstance(denial, WitnessDenial)
        self.assertEqual(2 << TERM_SHIFT, denial.highest_epoch)

    def test_only_members_of_the_data_centre_are_answered(self) -> None:
        self.lead(0.0)
        self.lead(20.0)
        self.assertIsNone(self.request_vote(InstanceId("b1.01"), 20.0))
