"""
Commands that are proposed together: no call is told that it has not run if it may have, and none is
proposed twice.
"""

import random
import unittest
from unittest import mock

import msgspec

from bulrushhollow_core.consensus import NotLeader as LogNotLeader
from bulrushhollow_core.consensus import Proposed, TooLarge
from bulrushhollow_core.consensus._types import MAX_PAYLOAD_BYTES
from bulrushhollow_core.domain import (
    Announce,
    CallId,
    CallReceived,
    DomainNode,
    DomainSettings,
    Done,
    ListedEnd,
    Malformed,
    NotLeader,
    OrderResult,
    OrderStart,
    Outcome,
    OutcomeUnknown,
    Poll,
    PollAnswered,
    PutConfig,
    Reply,
    Resources,
    RunNumber,
    StartAnswered,
    Step,
    Submit,
    WallTime,
    Work,
    WorkerLife,
)
from bulrushhollow_core.domain.model import Answer, decode_commands
from bulrushhollow_core.ids import InstanceId, Seconds, WorkerId
from standins.domain_site import HOST, KEY, configuration
from tests.test_domain_scheduler import SINGLE_TASK, announcement

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
        self.orders: list[OrderStart | Poll] = []
        self.step()
        self.step(CallReceived(CallId(1), PutConfig(configuration(1))))

    def step(self, *inputs: msgspec.Struct) -> None:
        self.now = Seconds(self.now + 0.1)
        for action in self.node.step(inputs, self.now, WALL):
            if isinstance(action, Reply):
                self.answers_by_call[action.id] = action.answer
            elif isinstance(action, OrderStart | Poll):
                self.orders.append(action)

    def announce(self, worker: str, labels: tuple[str, ...] = ("a",)) -> None:
        life = WorkerLife(WorkerId(worker), 1)
        news = msgspec.structs.replace(
            announcement(1, address=f"{worker}:1"), life=life, labels=labels
        )
        self.step(CallReceived(CallId(len(self.answers_by_call) + 10), Announce(news)))

    def starts(self) -> list[OrderStart]:
        return [order for order in self.orders if isinstance(order, OrderStart)]

    def end(self, start: OrderStart, checkpoint: str = "") -> None:
        """Have a worker list the end of its only run."""
        ended = ListedEnd(1, start.task, start.run, Outcome.DONE, checkpoint)
        clock = Seconds(40.0 + self.now)
        self.step(PollAnswered(start.life, OrderResult.ACCEPTED, clock, ended=(ended,)))


WHOLE_WORKER = Work("spec", (Step(1, Resources(1000, 100, 8), Seconds(1.0)),))


def submit(number: int, spec_bytes: int, work: Work = SINGLE_TASK) -> CallReceived:
    work = msgspec.structs.replace(work, spec="x" * spec_bytes)
    return CallReceived(CallId(number), Submit(HOST, f"/usual/{number:016x}", KEY, work))


def announce_large(number: int) -> CallReceived:
    """Return an announcement of which only a few fit into one entry."""
    life = WorkerLife(WorkerId(f"w{number}"), 1)
    news = msgspec.structs.replace(
        announcement(1, address=f"w{number}:1"), life=life, labels=("\N{SNOWMAN}" * 16_000,)
    )
    return CallReceived(CallId(100 + number), Announce(news))


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

    # Guards against one heartbeat that keeps a leader from recording any start or end.
    def test_an_announcement_that_no_entry_can_hold_is_refused(self) -> None:
        leader = SoleLeader()
        leader.announce("w")
        leader.announce("x", labels=("",) * MAX_PAYLOAD_BYTES)
        self.assertIsInstance(list(leader.answers_by_call.values())[-1], Malformed)
        leader.step(submit(2, 100))
        leader.step()
        self.assertEqual(1, len(leader.starts()))

    # Guards against commands that commit once a step, since a later one of their batch was refused.
    def test_commands_that_the_log_has_accepted_are_not_proposed_again(self) -> None:
        leader = SoleLeader()
        log = leader.node._log
        propose, accepted = log.propose, []
        refusals = iter((False, False, True))

        def propose_or_refuse(payload: bytes, now: Seconds) -> Proposed | LogNotLeader | TooLarge:
            if next(refusals, False):
                return LogNotLeader(None)
            accepted.extend(decode_commands(payload))
            return propose(payload, now)

        with mock.patch.object(log, "propose", propose_or_refuse):
            leader.step(*(announce_large(number) for number in range(4)))
            self.assertEqual(2, len(accepted))
            leader.step()
        lives = [command.announcement.life.id for command in accepted]
        self.assertEqual(["w0", "w1", "w2", "w3"], lives)

    # Guards against a leader that records nothing any more, since the ends of all runs that were
    # lost at one moment are proposed as one command that no entry can hold.
    def test_many_ends_at_one_moment_are_recorded(self) -> None:
        leader = SoleLeader()
        leader.announce("w")
        leader.step(submit(2, 100))
        leader.step()
        [start] = leader.starts()
        listed = tuple(
            ListedEnd(number, start.task, RunNumber(1 + number), Outcome.STOPPED, "x" * 100)
            for number in range(1, 10_001)
        )
        done = ListedEnd(10_001, start.task, start.run, Outcome.DONE, "")
        leader.orders.clear()
        leader.step(
            PollAnswered(start.life, OrderResult.ACCEPTED, Seconds(50.0), ended=(*listed, done))
        )
        leader.step()
        leader.step()
        self.assertTrue(leader.node.state.jobs_by_id[start.task.job].has_ended)
        acknowledged = [order.acknowledged for order in leader.orders if isinstance(order, Poll)]
        self.assertEqual([10_001], acknowledged)

    # Guards against an end that is acknowledged to its worker when another worker's end commits
    # for the second time, before its own record has committed.
    def test_an_end_is_acknowledged_only_once_its_own_record_has_committed(self) -> None:
        leader = SoleLeader()
        for number in range(3):
            leader.announce(f"w{number}")
        for number in range(3):
            leader.step(submit(2 + number, 100, WHOLE_WORKER))
        leader.step()
        starts = {start.life.id: start for start in leader.starts()}
        self.assertEqual(3, len(starts))
        for start in starts.values():
            leader.step(
                StartAnswered(
                    start.life, start.task, start.run, OrderResult.ACCEPTED, Seconds(50.0)
                )
            )
        with mock.patch.object(leader.node._log, "propose", return_value=LogNotLeader(None)):
            # As during a transfer of the leadership that is abandoned later.
            leader.end(starts["w0"])
            leader.end(starts["w1"], checkpoint="x" * MAX_PAYLOAD_BYTES)
            leader.end(starts["w2"])
        leader.orders.clear()
        for _ in range(3):
            leader.step()
        acknowledged = {o.life.id for o in leader.orders if isinstance(o, Poll) and o.acknowledged}
        done = {
            worker
            for worker, start in starts.items()
            if leader.node.state.jobs_by_id[start.task.job].has_ended
        }
        self.assertEqual(({"w0"}, {"w0"}), (done, acknowledged))


if __name__ == "__main__":
    unittest.main()
