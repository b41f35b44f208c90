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
BOOTED = Seconds(10.0)


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
    """One instance that is alone in its data centre."""

    def __init__(self, endpoints: int = 2, slots: int = 8, queue: int = 16) -> None:
        rng = random.Random(1)
        self.directory = EndpointDirectory(InstanceName("n1"), NORTH, {}, rng, Seconds(0.0))
        me = InstanceId("n1.00000001")
        self.shares = SlotShares(me, frozenset(), self.directory, Seconds(0.0))
        settings = RouterSettings(queued_requests=queue)
        self.router = Router(me, NORTH, self.directory, self.shares, rng, settings, Seconds(0.0))
        for part in (self.directory, self.shares, self.router):
            part.configure(configuration(), Seconds(0.0))
        for number in range(endpoints):
            self.directory.announce(announcement(f"e{number}", slots=slots), BOOTED)
        self.count = 0

    def arrive(self, profile: ProfileName = LABELS, key: str | None = None) -> list:
        self.count += 1
        arrival = Arrival(
            RequestId(f"r{self.count}"),
            profile,
            100,
            Seconds(BOOTED + 60.0),
            None if key is None else IdempotencyKey(key),
            "digest",
        )
        return self.router.handle_arrival(arrival, BOOTED)


def only(actions: list, kind: type) -> list:
    return [action for action in actions if isinstance(action, kind)]


class RouterTests(unittest.TestCase):
    def test_request_goes_to_an_endpoint_and_is_answered(self) -> None:
        instance = Instance()
        (dispatch,) = instance.arrive()
        self.assertIsInstance(dispatch, Dispatch)
        actions = instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, BOOTED)
        self.assertEqual(actions, [FinishRequest(RequestId("r1"), EndpointAnswer(200, Attempt(1)))])
        self.assertTrue(instance.router.is_idle())

    def test_lost_answer_of_a_request_that_is_not_idempotent_is_unknown_at_once(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS)
        (finish,) = instance.router.handle_result(RequestId("r1"), Attempt(1), LOST, BOOTED)
        self.assertEqual(finish.result.execution, Execution.UNKNOWN)

    def test_lost_answer_of_an_idempotent_request_is_retried_at_another_endpoint(self) -> None:
        instance = Instance()
        (first,) = instance.arrive()
        self.assertEqual(
            instance.router.handle_result(RequestId("r1"), Attempt(1), LOST, BOOTED), []
        )
        (second,) = instance.router.tick(Seconds(BOOTED + 1.0))
        self.assertNotEqual(first.endpoint, second.endpoint)

    def test_slots_bound_what_is_in_flight(self) -> None:
        instance = Instance(endpoints=2, slots=2)
        actions = [action for _ in range(6) for action in instance.arrive()]
        self.assertEqual(len(only(actions, Dispatch)), 4)

    def test_full_queue_refuses_at_once_and_names_a_time(self) -> None:
        instance = Instance(endpoints=1, slots=1, queue=1)
        actions = [action for _ in range(3) for action in instance.arrive()]
        (finish,) = only(actions, FinishRequest)
        self.assertEqual(finish.result.reason, Reason.QUEUE_FULL)
        self.assertEqual(finish.result.execution, Execution.NOT_RUN)
        self.assertIsNotNone(finish.result.retry_after)

    def test_urgent_request_takes_the_place_of_an_overnight_one(self) -> None:
        instance = Instance(endpoints=1, slots=1, queue=1)
        instance.arrive(FORECASTS)
        instance.arrive(FORECASTS)
        (finish,) = instance.arrive(LABELS)
        self.assertEqual(finish.request_id, RequestId("r2"))
        self.assertEqual(finish.result.execution, Execution.NOT_RUN)

    def test_silent_endpoint_gets_no_new_work(self) -> None:
        instance = Instance()
        late = Seconds(BOOTED + 3.1)
        arrival = Arrival(RequestId("late"), LABELS, 1, Seconds(late + 5.0))
        (finish,) = instance.router.handle_arrival(arrival, late)
        self.assertEqual(finish.result.reason, Reason.NO_ENDPOINT)

    def test_deadline_in_flight_ends_as_unknown_exactly_once(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS)
        (finish,) = instance.router.tick(Seconds(BOOTED + 5.0))
        self.assertEqual(finish.result.execution, Execution.UNKNOWN)
        late = instance.router.handle_result(
            RequestId("r1"), Attempt(1), WHOLE, Seconds(BOOTED + 5.1)
        )
        self.assertEqual(late, [])
        self.assertTrue(instance.router.is_idle())

    def test_estimate_that_became_too_great_is_corrected(self) -> None:
        """A profile whose usual time passed its deadline would otherwise never be sent again."""
        instance = Instance()
        self.arrive_and_answer(instance, 1, 0.1)
        for number in range(2, 40):
            self.arrive_and_answer(instance, number, 4.9)

    def arrive_and_answer(self, instance: Instance, number: int, seconds: float) -> None:
        self.assertEqual(len(only(instance.arrive(), Dispatch)), 1)
        request_id, later = RequestId(f"r{number}"), Seconds(BOOTED + seconds)
        (finish,) = instance.router.handle_result(request_id, Attempt(1), WHOLE, later)
        self.assertIsInstance(finish.result, EndpointAnswer)

    def test_key_is_reserved_before_sending_and_settled_with_the_answer(self) -> None:
        instance = Instance()
        (reserve,) = instance.arrive(ORDERS, "order-1")
        self.assertIsInstance(reserve, ProposeReservation)
        ledger = KeyLedger()
        record = ledger.apply(LogIndex(1), reserve.command)
        assert isinstance(record, KeyRecord)
        (dispatch,) = instance.router.handle_reservation(RequestId("r1"), record, BOOTED)
        self.assertIsInstance(dispatch, Dispatch)
        settle, finish = instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, BOOTED)
        self.assertIsInstance(settle, ProposeSettlement)
        self.assertEqual(finish.result, EndpointAnswer(200, Attempt(1)))
        ledger.apply(LogIndex(2), msgspec.structs.replace(settle.command, body=b"done"))
        (again,) = instance.arrive(ORDERS, "order-1")
        found = ledger.apply(LogIndex(3), again.command)
        (finish,) = instance.router.handle_reservation(RequestId("r2"), found, BOOTED)
        self.assertEqual(finish.result, EndpointAnswer(200, None, b"done"))

    def test_unreachable_log_refuses_a_keyed_request_as_not_run_and_frees_the_key(self) -> None:
        instance = Instance()
        instance.arrive(ORDERS, "order-1")
        refusal = Refusal(Reason.NO_QUORUM)
        settle, finish = instance.router.handle_reservation(RequestId("r1"), refusal, BOOTED)
        self.assertEqual(settle.command.outcome, Execution.NOT_RUN)
        self.assertEqual(finish.result, refusal)

    def test_drain_refuses_new_requests_and_ends_the_others(self) -> None:
        instance = Instance()
        instance.arrive()
        instance.router.drain(BOOTED)
        (finish,) = instance.arrive()
        self.assertEqual(finish.result.reason, Reason.SHUTTING_DOWN)
        self.assertFalse(instance.router.is_idle())
        instance.router.handle_result(RequestId("r1"), Attempt(1), WHOLE, BOOTED)
        self.assertTrue(instance.router.is_idle())


class SharesTests(unittest.TestCase):
    def test_holder_divides_the_slots_and_moves_them_to_the_load(self) -> None:
        peers = {InstanceName("n1"): NORTH, InstanceName("n2"): NORTH}
        ids = {name: InstanceId(f"{name}.00000001") for name in peers}
        shares = {}
        for name in peers:
            directory = EndpointDirectory(name, NORTH, peers, random.Random(1), Seconds(0.0))
            shares[ids[name]] = SlotShares(ids[name], frozenset(peers), directory, Seconds(0.0))
            directory.announce(announcement(), BOOTED)
        holder = ids[InstanceName("n1")]
        demand_by_id = dict.fromkeys(shares, 2)
        queue = [
            (me, action)
            for me, share in shares.items()
            for action in share.lease_changed(holder, Epoch(1), BOOTED)
        ]
        frees = []
        for step in range(50):
            now = Seconds(BOOTED + 0.05 * step)
            if step == 30:
                demand_by_id = {ids[InstanceName("n1")]: 0, ids[InstanceName("n2")]: 20}
            for me, share in shares.items():
                share.set_demand({"grip": demand_by_id[me]}, now)
                queue += [(me, action) for action in share.tick(now)]
            while queue:
                source, action = queue.pop(0)
                assert isinstance(action, Send)
                replies = shares[action.to].receive(source, action.message, now)
                queue += [(action.to, reply) for reply in replies]
            frees.append([share.free_slots(announcement(), now) for share in shares.values()])
        self.assertLessEqual(max(map(sum, frees)), 8)
        self.assertEqual(frees[29], [4, 4])
        self.assertEqual(frees[49], [1, 7])

    def test_silence_of_an_endpoint_leaves_the_own_slot_out_of_the_grants(self) -> None:
        """A share that took its own slot for a granted one later used one slot too many."""
        name = InstanceName("n1")
        peers = {name: NORTH, InstanceName("n2"): NORTH}
        me = InstanceId("n1.00000001")
        directory = EndpointDirectory(name, NORTH, peers, random.Random(1), Seconds(0.0))
        shares = SlotShares(me, frozenset(peers), directory, Seconds(0.0))
        holder = InstanceId("n2.00000001")
        directory.announce(announcement(), BOOTED)
        (send,) = shares.lease_changed(holder, Epoch(1), BOOTED)
        grants = (SlotGrant(EndpointId("e1"), 3),)
        shares.receive(holder, ShareGrant(Epoch(1), send.message.number, grants), BOOTED)
        for _ in range(4):
            self.assertTrue(shares.acquire(announcement(), BOOTED))
        silent = Seconds(BOOTED + 5.0)
        (send,) = shares.tick(silent)
        none = (SlotGrant(EndpointId("e1"), 0),)
        shares.receive(holder, ShareGrant(Epoch(1), send.message.number, none), silent)
        (send,) = shares.tick(Seconds(silent + 1.0))
        self.assertEqual(send.message.held_slots[0].slots, 3)

    def test_holder_whose_clock_is_far_on_grants_slots(self) -> None:
        """Members were forgotten at once when the clock read more than an attempt takes."""
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
        again = msgspec.structs.replace(report, number=2)
        grant = granter.answer_report(me, again, pools, now)
        assert grant is not None
        self.assertEqual(grant.grants, (SlotGrant(EndpointId("e1"), 3),))


if __name__ == "__main__":
    unittest.main()
