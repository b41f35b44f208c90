import random
import unittest

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    DataCentreId,
    EndpointId,
    IdempotencyKey,
    InstanceId,
    InstanceName,
    LogIndex,
    RequestId,
    Seconds,
    WorkspaceId,
)
from bulrushhollow_core.models import Urgency
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import (
    AttemptEnd,
    AttemptResult,
    EndpointDirectory,
    KeyLedger,
    MarkOwnerLost,
    ReserveKey,
    SettleKey,
)
from bulrushhollow_core.requests._health import HealthTracker
from bulrushhollow_core.requests._queue import FairQueue, QueuedRequest

NORTH = DataCentreId("north")
SHOP = WorkspaceId("shop")


class DirectoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = {InstanceName(name): NORTH for name in ("n1", "n2")}
        self.n1 = self.directory("n1")
        self.n2 = self.directory("n2")

    def directory(self, name: str) -> EndpointDirectory:
        return EndpointDirectory(
            InstanceName(name), NORTH, self.peers, random.Random(1), Seconds(0.0)
        )

    def announce(self, now: float, sequence: int, leaving: bool = False) -> list:
        announced = self.n1.announce(
            Announcement(
                EndpointId("e1"), NORTH, 1, sequence, "127.0.0.1:9", "grip", 8, 64, leaving
            ),
            Seconds(now),
        )
        assert not isinstance(announced, Refusal)
        return list(announced.actions)

    def connect(self) -> None:
        n1, n2 = InstanceId("n1.1"), InstanceId("n2.1")
        for send in self.n1.peer_connected(n2, Seconds(0.0)):
            self.n2.receive(n1, send.message, Seconds(0.0))
        for send in self.n2.peer_connected(n1, Seconds(0.0)):
            self.n1.receive(n2, send.message, Seconds(0.0))

    def exchange(self, actions: list, now: float) -> None:
        queue = [(self.n1, action) for action in actions]
        while queue:
            source, send = queue.pop(0)
            target, name = (self.n2, "n1.1") if source is self.n1 else (self.n1, "n2.1")
            replies = target.receive(InstanceId(name), send.message, Seconds(now))
            queue += [(target, reply) for reply in replies]

    def usable(self, now: float) -> int:
        return len(self.n2.usable_endpoints("grip", Seconds(now)))

    def test_new_and_leaving_endpoint_are_sent_to_peer_immediately(self) -> None:
        self.connect()
        self.exchange(self.announce(0.1, 1), 0.1)
        self.assertEqual(self.usable(0.1), 1)
        self.exchange(self.announce(0.2, 2, leaving=True), 0.2)
        self.assertEqual(self.usable(0.2), 0)

    def test_announcement_in_delayed_message_is_not_fresh(self) -> None:
        self.connect()
        self.exchange(self.announce(0.1, 1), 60.0)
        self.assertEqual(self.usable(60.0), 0)

    def test_lost_announcement_is_queried(self) -> None:
        self.connect()
        self.announce(0.1, 1)
        self.announce(0.2, 2)
        self.exchange(self.n1.tick(Seconds(0.8)), 0.8)
        self.assertEqual(self.usable(0.8), 1)


class KeyLedgerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = KeyLedger(max_keys=2)
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.ledger.apply(LogIndex(self.index), command)

    def reserve(self, key: str, request: str = "r1", digest: str = "d"):
        owner = InstanceId("n1.1")
        return self.apply(ReserveKey(IdempotencyKey(key), SHOP, digest, owner, RequestId(request)))

    def settle(self, key: str, outcome: Execution, request: str = "r1"):
        owner = InstanceId("n1.1")
        return self.apply(
            SettleKey(IdempotencyKey(key), SHOP, owner, RequestId(request), outcome, 200, b"x")
        )

    def test_repeated_request_finds_progress_conflict_and_first_outcome(self) -> None:
        self.reserve("k")
        self.assertEqual(self.reserve("k", "r2").reason, Reason.KEY_IN_PROGRESS)
        self.assertEqual(self.reserve("k", "r2", "other").reason, Reason.KEY_BODY_DIFFERS)
        self.settle("k", Execution.RAN)
        self.ledger = KeyLedger.restore(self.ledger.snapshot(), max_keys=2)
        self.assertEqual(self.reserve("k", "r2").body, b"x")

    def test_key_of_lost_owner_is_unknown_until_settled(self) -> None:
        self.reserve("k")
        self.apply(MarkOwnerLost(InstanceId("n1.1")))
        self.assertEqual(self.reserve("k", "r2").reason, Reason.KEY_OUTCOME_UNKNOWN)
        self.settle("k", Execution.RAN)
        self.assertEqual(self.reserve("k", "r2").outcome, Execution.RAN)

    def test_key_of_request_that_did_not_run_can_be_reserved_again(self) -> None:
        self.reserve("k")
        self.settle("k", Execution.NOT_RUN)
        self.assertEqual(self.reserve("k").reason, Reason.CANCELLED)
        self.assertIsNone(self.reserve("k", "r2").outcome)

    def test_settlement_applied_before_its_reservation_wins(self) -> None:
        self.settle("k", Execution.NOT_RUN)
        self.assertEqual(self.reserve("k").reason, Reason.CANCELLED)

    def test_oldest_settled_key_is_evicted_but_no_key_in_progress(self) -> None:
        for key in ("a", "b"):
            self.reserve(key)
        self.assertEqual(self.reserve("c").reason, Reason.OVERLOADED)
        self.settle("b", Execution.RAN)
        self.assertIsNone(self.reserve("c").outcome)
        self.assertIsNone(self.ledger.find(SHOP, IdempotencyKey("b")))


class QueueTests(unittest.TestCase):
    def queued(
        self, number: int, workspace: str, urgency=Urgency.NORMAL, weight=1
    ) -> QueuedRequest:
        request = RequestId(f"{workspace}{number}")
        name = WorkspaceId(workspace)
        return QueuedRequest(request, name, urgency, Seconds(100.0 + number), 1, weight)

    def test_urgent_requests_first_then_workspaces_by_weight(self) -> None:
        queue = FairQueue(100, 1000)
        for number in range(12):
            queue.push(self.queued(number, "a", weight=1))
            queue.push(self.queued(number, "b", weight=3))
        queue.push(self.queued(0, "c", Urgency.URGENT))
        served = [queue.pop(lambda _: True) for _ in range(9)]
        names = [str(request.workspace) for request in served if request is not None]
        self.assertEqual(names[0], "c")
        self.assertEqual((names.count("a"), names.count("b")), (2, 6))

    def test_request_of_workspace_above_its_share_is_evicted(self) -> None:
        queue = FairQueue(4, 1000)
        for number in range(4):
            queue.push(self.queued(number, "a"))
        evicted = queue.select_evictions(self.queued(0, "b"))
        self.assertEqual(evicted, [self.queued(3, "a")])
        self.assertIsNone(queue.select_evictions(self.queued(9, "a")))


class HealthTests(unittest.TestCase):
    def test_at_most_half_of_the_endpoints_are_ejected(self) -> None:
        tracker = HealthTracker(random.Random(1))
        names = [EndpointId(f"e{number}") for number in range(5)]
        lost = AttemptResult(AttemptEnd.LOST)
        for _ in range(10):
            for name in names:
                if tracker.get(name).record(lost, 1, 8, 1.0):
                    tracker.eject(name, names, Seconds(0.0))
        ejected = [name for name in names if tracker.get(name).is_ejected(Seconds(0.1))]
        self.assertEqual(len(ejected), 2)
        self.assertTrue(all(tracker.get(name).is_probing(Seconds(60.0)) for name in ejected))

    def test_fast_failures_do_not_improve_the_score(self) -> None:
        tracker = HealthTracker(random.Random(1))
        good, failing = tracker.get(EndpointId("good")), tracker.get(EndpointId("failing"))
        for _ in range(4):
            good.record(AttemptResult(AttemptEnd.WHOLE, 200), 1, 8, 1.0)
            failing.record(AttemptResult(AttemptEnd.WHOLE, 500), 1, 8, 0.01)
        self.assertGreater(failing.score(0, 8), good.score(4, 8))


if __name__ == "__main__":
    unittest.main()
