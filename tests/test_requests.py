import random
import unittest

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import (
    Attempt,
    DataCentreId,
    EndpointId,
    Epoch,
    IdempotencyKey,
    InstanceId,
    InstanceName,
    LogIndex,
    ProfileName,
    RequestId,
    Seconds,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import Configuration, Profile, Urgency, WorkKind, Workspace
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from bulrushhollow_core.requests import (
    Arrival,
    AttemptEnd,
    AttemptResult,
    Dispatch,
    EndpointAnswer,
    EndpointDirectory,
    FinishRequest,
    KeyLedger,
    KeyRecord,
    ProposeReservation,
    ProposeSettlement,
    Router,
    RouterSettings,
    ShareGrant,
    ShareReport,
    ShareSettings,
    SlotShares,
)
from bulrushhollow_core.requests._granter import Granter, Pool
from bulrushhollow_core.requests._share_messages import SlotGrant

NORTH = DataCentreId("north")
LABELS = ProfileName("labels")
ORDERS = ProfileName("orders")
FORECASTS = ProfileName("forecasts")
WHOLE = AttemptResult(AttemptEnd.WHOLE, 200)
LOST = AttemptResult(AttemptEnd.LOST)
READY_AT = Seconds(10.0)


def configuration() -> Configuration:
    profiles = (
        Profile(LABELS, WorkKind.REQUEST, WorkspaceId("shop"), Urgency.URGENT, True, 5.0, "grip"),
        Profile(ORDERS, WorkKind.REQUEST, WorkspaceId("shop"), Urgency.NORMAL, False, 5.0, "grip"),
        Profile(
            FORECASTS, WorkKind.REQUEST, WorkspaceId("plan"), Urgency.OVERNIGHT, True, 30.0, "grip"
        ),
    )
    workspaces = (Workspace(WorkspaceId("shop")), Workspace(WorkspaceId("plan")))
    return Configuration(
        Version(1),
        {profile.name: profile for profile in profiles},
        {workspace.id: workspace for workspace in workspaces},
    )


def announcement(name: str = "e1", sequence: int = 1, slots: int = 8) -> Announcement:
    return Announcement(EndpointId(name), NORTH, 1, sequence, "127.0.0.1:9000", "grip", slots, 64)


class Instance:
    """The only instance of its data centre, with some endpoints."""

    def __init__(self, endpoints: int = 2, slots: int = 8, queue: int = 16) -> None:
        rng = random.Random(1)
        self.directory = EndpointDirectory(InstanceName("n1"), NORTH, {}, rng, Seconds(0.0))
        me = InstanceId("n1.00000001")
        self.shares = SlotShares(me, frozenset(), self.directory, Seconds(0.0))
        settings = RouterSettings(max_queued_requests=queue)
        self.router = Router(me, NORTH, self.directory, self.shares, rng, settings, Seconds(0.0))
        for part in (self.directory, self.shares, self.router):
            part.configure(configuration(), Seconds(0.0))
        for number in range(endpoints):
            self.directory.announce(announcement(f"e{number}", slots=slots), READY_AT)
        self.count = 0

    def arrive(self, profile: ProfileName = LABELS, key: str | None = None) -> list:
        self.count += 1
        arrival = Arrival(
            RequestId(f"r{self.count}"),
            profile,
            100,
            Seconds(READY_AT + 60.0),
            None if key is None else IdempotencyKey(key),
            "digest",
        )
        return self.router.handle_arrival(arrival, READY_AT)


def of_type(actions: list, kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


class RouterTests(unittest.TestCase):
    def test_request_is_sent_to_an_endpoint_and_answered(self) -> None:
        instance = Instance()
        (dispatch,) = instance.arrive()
        self.assertIsInstance(dispatch, Dispatch)
        actions = instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, READY_AT)
        self.assertEqual(actions, [FinishRequest(RequestId("r1"), EndpointAnswer(200, Attempt(1)))])
        self.assertTrue(instance.router.is_idle())

    def test_lost_answer_of_non_idempotent_request_is_unknown_without_retry(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS)
        (finish,) = instance.router.handle_result(RequestId("r1"), Attempt(1), LOST, READY_AT)
        self.assertEqual(finish.result.execution, Execution.UNKNOWN)

    def test_lost_answer_of_idempotent_request_is_retried_at_another_endpoint(self) -> None:
        instance = Instance()
        (first,) = instance.arrive()
        self.assertEqual(
            instance.router.handle_result(RequestId("r1"), Attempt(1), LOST, READY_AT), []
        )
        (second,) = instance.router.tick(Seconds(READY_AT + 1.0))
        self.assertNotEqual(first.endpoint, second.endpoint)

    def test_slots_limit_requests_in_flight(self) -> None:
        instance = Instance(endpoints=2, slots=2)
        actions = [action for _ in range(6) for action in instance.arrive()]
        self.assertEqual(len(of_type(actions, Dispatch)), 4)

    def test_full_queue_refuses_with_retry_after(self) -> None:
        instance = Instance(endpoints=1, slots=1, queue=1)
        actions = [action for _ in range(3) for action in instance.arrive()]
        (finish,) = of_type(actions, FinishRequest)
        self.assertEqual(finish.result.reason, Reason.QUEUE_FULL)
        self.assertEqual(finish.result.execution, Execution.NOT_RUN)
        self.assertIsNotNone(finish.result.retry_after)

    def test_urgent_request_evicts_overnight_request_from_full_queue(self) -> None:
        instance = Instance(endpoints=1, slots=1, queue=1)
        instance.arrive(FORECASTS)
        instance.arrive(FORECASTS)
        (finish,) = instance.arrive(LABELS)
        self.assertEqual(finish.request_id, RequestId("r2"))
        self.assertEqual(finish.result.execution, Execution.NOT_RUN)

    def test_silent_endpoint_gets_no_new_request(self) -> None:
        instance = Instance()
        late = Seconds(READY_AT + 3.1)
        arrival = Arrival(RequestId("late"), LABELS, 1, Seconds(late + 5.0))
        (finish,) = instance.router.handle_arrival(arrival, late)
        self.assertEqual(finish.result.reason, Reason.NO_ENDPOINT)

    def test_deadline_of_request_in_flight_finishes_it_once_as_unknown(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS)
        (finish,) = instance.router.tick(Seconds(READY_AT + 5.0))
        self.assertEqual(finish.result.execution, Execution.UNKNOWN)
        late = instance.router.handle_result(
            RequestId("r1"), Attempt(1), WHOLE, Seconds(READY_AT + 5.1)
        )
        self.assertEqual(late, [])
        self.assertTrue(instance.router.is_idle())

    def test_service_time_estimate_near_the_deadline_is_corrected(self) -> None:
        """
        Once the estimated service time exceeded the deadline, no request of the profile was sent,
        so no answer could lower the estimate again.
        """
        instance = Instance()
        self.arrive_and_answer(instance, 1, 0.1)
        for number in range(2, 40):
            self.arrive_and_answer(instance, number, 4.9)

    def arrive_and_answer(self, instance: Instance, number: int, seconds: float) -> None:
        self.assertEqual(len(of_type(instance.arrive(), Dispatch)), 1)
        request_id, answered_at = RequestId(f"r{number}"), Seconds(READY_AT + seconds)
        (finish,) = instance.router.handle_result(request_id, Attempt(1), WHOLE, answered_at)
        self.assertIsInstance(finish.result, EndpointAnswer)

    def test_key_is_reserved_before_dispatch_and_settled_with_answer(self) -> None:
        instance = Instance()
        (reserve,) = instance.arrive(ORDERS, "order-1")
        self.assertIsInstance(reserve, ProposeReservation)
        ledger = KeyLedger()
        record = ledger.apply(LogIndex(1), reserve.command)
        assert isinstance(record, KeyRecord)
        (dispatch,) = instance.router.handle_reservation(RequestId("r1"), record, READY_AT)
        self.assertIsInstance(dispatch, Dispatch)
        settle, finish = instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, READY_AT)
        self.assertIsInstance(settle, ProposeSettlement)
        self.assertEqual(finish.result, EndpointAnswer(200, Attempt(1)))
        ledger.apply(LogIndex(2), msgspec.structs.replace(settle.command, body=b"done"))
        (repeat,) = instance.arrive(ORDERS, "order-1")
        found = ledger.apply(LogIndex(3), repeat.command)
        (finish,) = instance.router.handle_reservation(RequestId("r2"), found, READY_AT)
        self.assertEqual(finish.result, EndpointAnswer(200, None, b"done"))

    def test_unreachable_log_refuses_keyed_request_as_not_run_and_frees_key(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS, "order-1")
        refusal = Refusal(Reason.NO_QUORUM)
        settle, finish = instance.router.handle_reservation(RequestId("r1"), refusal, READY_AT)
        self.assertEqual(settle.command.outcome, Execution.NOT_RUN)
        self.assertEqual(finish.result, refusal)

    def test_drain_refuses_new_requests_and_completes_pending_ones(self) -> None:
        instance = Instance()
        instance.arrive()
        instance.router.drain(READY_AT)
        (finish,) = instance.arrive()
        self.assertEqual(finish.result.reason, Reason.SHUTTING_DOWN)
        self.assertFalse(instance.router.is_idle())
        instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, READY_AT)
        self.assertTrue(instance.router.is_idle())


class SharesTests(unittest.TestCase):
    def test_lease_holder_divides_slots_by_demand(self) -> None:
        peers = {InstanceName("n1"): NORTH, InstanceName("n2"): NORTH}
        ids = {name: InstanceId(f"{name}.00000001") for name in peers}
        shares = {}
        for name in peers:
            directory = EndpointDirectory(name, NORTH, peers, random.Random(1), Seconds(0.0))
            shares[ids[name]] = SlotShares(ids[name], frozenset(peers), directory, Seconds(0.0))
            directory.announce(announcement(), READY_AT)
        holder = ids[InstanceName("n1")]
        demand_by_instance = dict.fromkeys(shares, 2)
        queue = [
            (me, action)
            for me, share in shares.items()
            for action in share.lease_changed(holder, Epoch(1), READY_AT)
        ]
        free_slots_by_step = []
        for step in range(50):
            now = Seconds(READY_AT + 0.05 * step)
            if step == 30:
                demand_by_instance = {ids[InstanceName("n1")]: 0, ids[InstanceName("n2")]: 20}
            for me, share in shares.items():
                share.set_demand({"grip": demand_by_instance[me]}, now)
                queue += [(me, action) for action in share.tick(now)]
            while queue:
                source, action = queue.pop(0)
                assert isinstance(action, Send)
                replies = shares[action.to].receive(source, action.message, now)
                queue += [(action.to, reply) for reply in replies]
            free_slots_by_step.append(
                [share.free_slots(announcement(), now) for share in shares.values()]
            )
        self.assertLessEqual(max(map(sum, free_slots_by_step)), 8)
        self.assertEqual(free_slots_by_step[29], [4, 4])
        self.assertEqual(free_slots_by_step[49], [1, 7])

    def test_base_slot_of_silent_endpoint_is_not_counted_as_granted(self) -> None:
        """
        While an endpoint was silent, a share counted its base slot as a granted one; once the
        endpoint announced itself again, it used one slot too many.
        """
        name = InstanceName("n1")
        peers = {name: NORTH, InstanceName("n2"): NORTH}
        me = InstanceId("n1.00000001")
        directory = EndpointDirectory(name, NORTH, peers, random.Random(1), Seconds(0.0))
        shares = SlotShares(me, frozenset(peers), directory, Seconds(0.0))
        holder = InstanceId("n2.00000001")
        directory.announce(announcement(), READY_AT)
        (send,) = shares.lease_changed(holder, Epoch(1), READY_AT)
        grants = (SlotGrant(EndpointId("e1"), 3),)
        shares.receive(holder, ShareGrant(Epoch(1), send.message.number, grants), READY_AT)
        for _ in range(4):
            self.assertTrue(shares.acquire(announcement(), READY_AT))
        silent_at = Seconds(READY_AT + 5.0)
        (send,) = shares.tick(silent_at)
        no_slots = (SlotGrant(EndpointId("e1"), 0),)
        shares.receive(holder, ShareGrant(Epoch(1), send.message.number, no_slots), silent_at)
        (send,) = shares.tick(Seconds(silent_at + 1.0))
        self.assertEqual(send.message.held_slots[0].slots, 3)

    def test_lease_holder_with_large_clock_reading_grants_slots(self) -> None:
        """Members were removed at once if the clock reading exceeded the maximum attempt time."""
        now = Seconds(5000.0)
        name = InstanceName("n1")
        me = InstanceId("n1.00000001")
        peers = {name: NORTH, InstanceName("n2"): NORTH}
        granter = Granter(Epoch(1), frozenset(peers), ShareSettings(), Seconds(30.0), now)
        pools = (Pool(EndpointId("e1"), "grip", 6),)
        other = InstanceId("n2.00000001")
        report = ShareReport(Epoch(1), 1, Seconds(60.0))
        granter.answer_report(me, report, pools, now)
        granter.answer_report(other, report, pools, now)
        repeat = msgspec.structs.replace(report, number=2)
        grant = granter.answer_report(me, repeat, pools, now)
        assert grant is not None
        self.assertEqual(grant.grants, (SlotGrant(EndpointId("e1"), 3),))


if __name__ == "__main__":
    unittest.main()
