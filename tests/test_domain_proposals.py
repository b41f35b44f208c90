"""Calls whose commands are proposed together: none is told that it has not run if it may have."""

import random
import unittest

import msgspec

from bulrushhollow_core.consensus._types import MAX_PAYLOAD_BYTES
from bulrushhollow_core.domain import (
    CallId,
    CallReceived,
    DomainNode,
    DomainSettings,
    Done,
    NotLeader,
    OutcomeUnknown,
    PutConfig,
    Reply,
    Submit,
    WallTime,
)
from bulrushhollow_core.domain.model import Answer
from bulrushhollow_core.ids import InstanceId, Seconds
from standins.domain_site import HOST, KEY, configuration
from tests.test_domain_scheduler import SINGLE_TASK

WALL = WallTime(1000.0)


class SoleLeader:
    """A node that leads alone and commits at once."""

    def __init__(self) -> None:
        settings = DomainSettings(voter_count=1)
        self.now = Seconds(10.0)
        me = InstanceId("10.0.0.1:1.00000001")
        self.node = DomainNode(me, None, settings, random.Random(1), self.now)
        self.node.bootstrap(self.now)
        self.answers_by_call: dict[CallId, Answer] = {}
        self.step()
        self.step(CallReceived(CallId(1), PutConfig(configuration(1))))

    def step(self, *calls: CallReceived) -> None:
        self.now = Seconds(self.now + 0.1)
        for action in self.node.step(calls, self.now, WALL):
            if isinstance(action, Reply):
                self.answers_by_call[action.id] = action.answer


def submit(number: int, spec_bytes: int) -> CallReceived:
    work = msgspec.structs.replace(SINGLE_TASK, spec="x" * spec_bytes)
    return CallReceived(CallId(number), Submit(HOST, f"/usual/{number:016x}", KEY, work))


class ProposalTest(unittest.TestCase):
    def test_a_call_whose_entry_was_proposed_is_not_told_that_it_has_not_run(self) -> None:
        # Both calls were answered as not executed although the entry of the first one committed.
        leader = SoleLeader()
        leader.step(submit(2, 100), submit(3, MAX_PAYLOAD_BYTES))
        leader.step()
        self.assertEqual(1, len(leader.node.state.jobs_by_id))
        self.assertIsInstance(leader.answers_by_call[CallId(2)], OutcomeUnknown)
        leader.step(submit(4, 100))
        self.assertIsInstance(leader.answers_by_call[CallId(4)], Done)

    def test_a_call_that_was_not_proposed_is_sent_to_the_leader(self) -> None:
        leader = SoleLeader()
        leader.step(submit(2, MAX_PAYLOAD_BYTES))
        self.assertIsInstance(leader.answers_by_call[CallId(2)], NotLeader)
        self.assertEqual({}, leader.node.state.jobs_by_id)


if __name__ == "__main__":
    unittest.main()
