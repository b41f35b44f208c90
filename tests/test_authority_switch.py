import unittest

from bulrushhollow_core.authority import (
    HOLD_LIMIT,
    ISOLATION_LIMIT,
    AuthorityTiming,
    InForceEverywhere,
    InForceInside,
    InForceLater,
    LocalOrder,
    NotYetInForce,
    NotYetKnown,
    OutOfServiceStatus,
    ServiceInForce,
    ServiceSwitch,
    out_of_service_status,
)
from bulrushhollow_core.changes import (
    ChangeConfiguration,
    Edit,
    PutDataCentre,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.configuration import AppliedVersion, ConfigurationLedger, Rollout
from bulrushhollow_core.ids import (
    ChangeId,
    DataCentreId,
    EndpointId,
    InstanceId,
    InstanceName,
    LogIndex,
    Seconds,
    Version,
)
from bulrushhollow_core.models import Configuration, DataCentre, Drain, Isolation, Service
from bulrushhollow_core.outcomes import Reason, Refusal

NORTH = DataCentreId("north")
NAMES = tuple(InstanceName(name) for name in ("n1", "n2", "n3"))
FRESH, STALE = Seconds(0.1), Seconds(ISOLATION_LIMIT + 0.1)


class SwitchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ConfigurationLedger()
        self.switch = ServiceSwitch(NAMES[0], NORTH, frozenset(NAMES), self.ledger)

    def commit(self, change_id: str, edit: Edit, base: int | None = None) -> None:
        version = None if base is None else Version(base)
        change = ChangeConfiguration(ChangeId(change_id), edit, version)
        self.assertNotIsInstance(self.ledger.apply(LogIndex(1), change), Refusal)

    def configure(self, isolation: Isolation = Isolation.HOLD) -> None:
        self.commit("declare", PutDataCentre(DataCentre(NORTH, isolation=isolation)), 0)

    def out_change(
        self, change_id: str = "out", drain: Drain = Drain.FINISH
    ) -> ChangeConfiguration:
        return ChangeConfiguration(
            ChangeId(change_id), SetDataCentreService(NORTH, Service.OUT, drain)
        )

    def test_a_data_centre_set_to_hold_starts_nothing_without_the_log(self) -> None:
        self.configure()
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(FRESH))
        self.assertEqual(ServiceInForce.HOLD, self.switch.service_in_force(STALE))

    def test_a_data_centre_set_to_serve_continues_without_the_log(self) -> None:
        self.configure(Isolation.SERVE)
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(STALE))

    def test_nothing_starts_before_the_data_centre_is_configured(self) -> None:
        self.assertEqual(ServiceInForce.HOLD, self.switch.service_in_force(FRESH))

    def test_a_data_centre_configured_out_of_service_is_out(self) -> None:
        self.configure()
        self.commit("out", SetDataCentreService(NORTH, Service.OUT, Drain.CHECKPOINT))
        self.assertEqual(ServiceInForce.OUT, self.switch.service_in_force(FRESH))
        self.assertEqual(Drain.CHECKPOINT, self.switch.drain_mode())

    def test_a_local_order_is_in_force_at_once_and_accepted_by_a_majority(self) -> None:
        self.configure(Isolation.SERVE)
        order = self.switch.submit_order(self.out_change(drain=Drain.CHECKPOINT))
        assert isinstance(order, LocalOrder)
        self.assertEqual(ServiceInForce.OUT, self.switch.service_in_force(STALE))
        self.assertEqual(Drain.CHECKPOINT, self.switch.drain_mode())
        self.assertFalse(self.switch.is_accepted(ChangeId("out")))
        self.switch.merge_orders(NAMES[1], [order])
        self.assertTrue(self.switch.is_accepted(ChangeId("out")))
        self.assertEqual((order.change,), self.switch.unrecorded_changes())

    def test_a_member_learns_from_the_holder_that_an_order_is_accepted(self) -> None:
        self.configure()
        order = self.switch.submit_order(self.out_change())
        assert isinstance(order, LocalOrder)
        five = frozenset(InstanceName(f"n{number}") for number in range(1, 6))
        member = ServiceSwitch(NAMES[1], NORTH, five, self.ledger)
        member.merge_orders(NAMES[0], [order])
        self.assertFalse(member.is_accepted(ChangeId("out")))
        self.switch.merge_orders(NAMES[1], [order])
        member.merge_orders(NAMES[0], self.switch.pending_orders())
        self.assertTrue(member.is_accepted(ChangeId("out")))

    def test_an_order_that_no_other_member_has_can_be_withdrawn(self) -> None:
        self.configure(Isolation.SERVE)
        order = self.switch.submit_order(self.out_change())
        assert isinstance(order, LocalOrder)
        self.assertTrue(self.switch.withdraw_order(ChangeId("out")))
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(STALE))
        self.switch.merge_orders(NAMES[1], [order])
        self.assertFalse(self.switch.withdraw_order(ChangeId("out")))
        self.assertEqual(ServiceInForce.OUT, self.switch.service_in_force(STALE))

    def test_a_later_change_to_in_overrides_an_order_only_once_the_order_is_recorded(self) -> None:
        self.configure(Isolation.SERVE)
        self.switch.submit_order(self.out_change())
        self.commit("in", SetDataCentreService(NORTH, Service.IN))
        self.assertEqual(ServiceInForce.OUT, self.switch.service_in_force(FRESH))
        self.commit("out", SetDataCentreService(NORTH, Service.OUT))
        self.assertEqual((), self.switch.unrecorded_changes())
        self.assertEqual(ServiceInForce.OUT, self.switch.service_in_force(FRESH))
        self.commit("in again", SetDataCentreService(NORTH, Service.IN))
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(FRESH))

    def test_a_recorded_order_is_not_added_again_by_a_member_that_lags_behind(self) -> None:
        self.configure()
        order = self.switch.submit_order(self.out_change())
        assert isinstance(order, LocalOrder)
        self.commit("out", order.change.edit)
        self.commit("in", SetDataCentreService(NORTH, Service.IN))
        self.switch.merge_orders(NAMES[2], [order])
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(FRESH))

    def test_only_this_data_centre_and_endpoints_can_be_ordered_out_locally(self) -> None:
        self.configure()
        for edit in (
            SetDataCentreService(NORTH, Service.IN),
            SetDataCentreService(DataCentreId("south"), Service.OUT),
            SetEndpointService(EndpointId("e1"), Service.IN),
            PutDataCentre(DataCentre(NORTH)),
        ):
            refusal = self.switch.submit_order(ChangeConfiguration(ChangeId("c"), edit))
            assert isinstance(refusal, Refusal)
            self.assertEqual(Reason.NO_QUORUM, refusal.reason)
        out = SetEndpointService(EndpointId("e1"), Service.OUT)
        self.switch.submit_order(ChangeConfiguration(ChangeId("e"), out))
        self.assertEqual({"e1"}, self.switch.out_endpoints())
        self.assertEqual(ServiceInForce.IN, self.switch.service_in_force(FRESH))

    def test_a_resent_order_is_the_same_and_a_reused_id_is_refused(self) -> None:
        self.configure()
        self.assertEqual(
            self.switch.submit_order(self.out_change()), self.switch.submit_order(self.out_change())
        )
        refusal = self.switch.submit_order(self.out_change(drain=Drain.CHECKPOINT))
        assert isinstance(refusal, Refusal)
        self.assertEqual(Reason.CHANGE_ID_REUSED, refusal.reason)


class OutOfServiceStatusTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rollout = Rollout(InstanceName("s1"), frozenset(NAMES), Seconds(0.0))
        self.rollout.record_applied(Version(5), Seconds(0.0))
        self.receive_versions(NAMES, 1, 0.0)

    def receive_versions(self, names: tuple[InstanceName, ...], version: int, at: float) -> None:
        for name in names:
            applied = AppliedVersion(Version(version))
            self.rollout.receive(InstanceId(f"{name}.00000001"), applied, Seconds(at))

    def status(self, isolation: Isolation, now: float) -> OutOfServiceStatus:
        ledger = ConfigurationLedger()
        edit = PutDataCentre(DataCentre(NORTH, isolation=isolation))
        ledger.apply(LogIndex(1), ChangeConfiguration(ChangeId("c"), edit, Version(0)))
        return self.status_with(ledger.configuration, now)

    def status_with(self, configuration: Configuration, now: float) -> OutOfServiceStatus:
        members = frozenset(NAMES)
        return out_of_service_status(
            Version(5), Seconds(10.0), NORTH, members, configuration, self.rollout, Seconds(now)
        )

    def test_in_force_everywhere(self) -> None:
        self.receive_versions(NAMES, 5, 10.0)
        self.assertEqual(InForceEverywhere(), self.status(Isolation.SERVE, 10.1))

    def test_a_cut_off_data_centre_set_to_hold_stops_within_a_known_time(self) -> None:
        self.assertEqual(InForceLater(HOLD_LIMIT), self.status(Isolation.HOLD, 10.0))
        later = self.status(Isolation.HOLD, 10.1 + HOLD_LIMIT)
        self.assertEqual(InForceInside(NAMES, by_hold=True), later)

    def test_a_cut_off_data_centre_set_to_serve_is_not_reported_as_out(self) -> None:
        self.receive_versions(NAMES, 4, 2.0)
        self.assertEqual(NotYetInForce(Seconds(8.0)), self.status(Isolation.SERVE, 10.0))
        self.assertEqual(NotYetInForce(Seconds(98.0)), self.status(Isolation.SERVE, 100.0))

    def test_a_data_centre_cut_off_before_it_was_set_to_hold_is_not_reported_to_hold(
        self,
    ) -> None:
        ledger = ConfigurationLedger()
        for version, isolation in enumerate((Isolation.SERVE, Isolation.HOLD)):
            edit = PutDataCentre(DataCentre(NORTH, isolation=isolation))
            change = ChangeConfiguration(ChangeId(f"c{version}"), edit, Version(version))
            ledger.apply(LogIndex(version + 1), change)
        restored = ConfigurationLedger.restore(ledger.snapshot()).configuration
        self.assertIsInstance(self.status_with(restored, 20.0), NotYetInForce)
        self.receive_versions(NAMES, 2, 20.0)
        self.assertIsInstance(self.status_with(restored, 20.0), InForceInside)

    def test_a_reachable_data_centre_that_has_not_confirmed_is_not_yet_known(self) -> None:
        self.receive_versions(NAMES, 4, 9.9)
        self.assertEqual(NotYetKnown(), self.status(Isolation.SERVE, 10.0))

    def test_a_majority_suffices_once_leases_without_the_version_have_expired(self) -> None:
        self.receive_versions(NAMES[:2], 5, 10.0)
        settle_time = AuthorityTiming().settle_time
        self.assertNotIsInstance(self.status(Isolation.SERVE, 9.9 + settle_time), InForceInside)
        self.assertEqual(InForceInside(NAMES[2:]), self.status(Isolation.SERVE, 10.1 + settle_time))
        self.receive_versions(NAMES[2:], 5, 11.0)
        self.assertEqual(InForceEverywhere(), self.status(Isolation.SERVE, 11.0))
