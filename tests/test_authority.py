import random
import unittest

from bulrushhollow_core.authority import Authority, AuthorityState, AuthorityTiming, ServiceInForce
from bulrushhollow_core.changes import ChangeConfiguration, SetDataCentreService
from bulrushhollow_core.ids import ChangeId, Epoch, InstanceId, InstanceName, Seconds, Version
from bulrushhollow_core.models import Service
from tests.authority_net import NORTH, Network, Node

LEASE = AuthorityTiming().lease_duration


class LeaseTest(unittest.TestCase):
    def network_with_holder(self, size: int, leader: bool = True) -> tuple[Network, Node]:
        net = Network(size, seed=size)
        if leader:
            net.set_leader(net.nodes[-1])
        net.run(12)
        self.assertEqual(1, len(net.holders()))
        return net, net.holders()[0]

    def assert_taken_over(self, net: Network, previous: Node, within: float) -> Node:
        epoch = previous.authority.status(previous.clock(net.time)).epoch
        net.run(within)
        others = [node for node in net.holders() if node is not previous]
        self.assertEqual(1, len(others))
        held = others[0].held_lease(net.time)
        assert held is not None
        self.assertGreater(held.epoch, epoch)
        return others[0]

    def test_a_single_instance_holds_the_lease_after_one_lease_duration(self) -> None:
        me = InstanceId("a1.00000000")
        members = frozenset({InstanceName("a1")})
        authority = Authority(me, NORTH, members, random.Random(1), Seconds(100.0))
        self.assertEqual([], authority.tick(Seconds(103.0)))
        self.assertIsNone(authority.held_lease(Seconds(103.0)))
        authority.tick(Seconds(103.5))
        self.assertIsNotNone(authority.held_lease(Seconds(103.5)))
        self.assertEqual(me, authority.holder(Seconds(103.5)))

    def test_one_instance_holds_the_lease_and_all_know_it(self) -> None:
        for size in (1, 2, 3, 4, 5):
            net, holder = self.network_with_holder(size, leader=False)
            known_holders = {node.authority.holder(node.clock(net.time)) for node in net.nodes}
            self.assertEqual({holder.id}, known_holders)

    def test_another_takes_over_within_four_seconds_when_the_holder_dies(self) -> None:
        for size in (2, 3, 4, 5):
            net, holder = self.network_with_holder(size)
            net.set_leader(next(node for node in net.nodes if node is not holder))
            net.run(6)
            holder.paused = True
            self.assert_taken_over(net, holder, 4.0)

    def test_a_paused_holder_resumes_without_the_lease(self) -> None:
        net, holder = self.network_with_holder(3)
        holder.paused = True
        net.run(10)
        self.assertIsNone(holder.held_lease(net.time))

    def test_a_holder_cut_off_silently_loses_the_lease_before_another_has_it(self) -> None:
        net, holder = self.network_with_holder(3)
        net.isolate(holder)
        net.on_step = lambda: self.assertLessEqual(len(net.holders()), 1)
        self.assert_taken_over(net, holder, 4.5)
        net.cut_links.clear()
        net.run(5)
        self.assertEqual(1, len(net.holders()))

    def test_of_two_instances_cut_off_from_each_other_and_the_leader_none_holds(self) -> None:
        net, holder = self.network_with_holder(2, leader=False)
        net.isolate(holder)
        net.run(8)
        self.assertEqual([], net.holders())

    def test_the_witness_waits_out_the_votes_of_an_earlier_leader(self) -> None:
        net, holder = self.network_with_holder(2, leader=False)
        other = next(node for node in net.nodes if node is not holder)
        holder.paused = True
        net.run(4)
        net.set_leader(other)
        net.run(AuthorityTiming().witness_delay - 0.5)
        self.assertEqual([], net.holders())
        net.run(1.5)
        self.assertEqual([other], net.holders())

    def test_epochs_rise_when_another_leader_of_the_log_is_the_witness(self) -> None:
        net, holder = self.network_with_holder(2, leader=False)
        other = next(node for node in net.nodes if node is not holder)
        net.isolate(other)
        net.set_leader(holder)
        for _ in range(2):
            holder.paused = True
            net.run(4)
            holder.paused = False
            net.run(8)
            self.assertEqual([holder], net.holders())
        net.set_leader(other)
        self.assert_taken_over(net, holder, 10.0)

    def test_a_planned_stop_transfers_the_lease_at_once(self) -> None:
        net, holder = self.network_with_holder(3)
        net.send(holder, holder.authority.release(holder.clock(net.time)))
        self.assertIsNone(holder.held_lease(net.time))
        self.assert_taken_over(net, holder, 0.5)
        net.run(10)
        state = holder.authority.status(holder.clock(net.time)).state
        self.assertEqual(AuthorityState.RETIRED, state)

    def test_a_higher_epoch_from_the_platform_is_exceeded_at_once(self) -> None:
        net, holder = self.network_with_holder(3)
        reported = Epoch(7_000_000)
        holder.authority.raise_epoch_floor(reported, holder.clock(net.time))
        self.assertIsNone(holder.held_lease(net.time))
        net.run(4)
        held = net.holders()[0].held_lease(net.time)
        assert held is not None
        self.assertGreater(held.epoch, reported)

    def test_epochs_differ_even_if_every_voter_forgot_the_earlier_ones(self) -> None:
        epochs = set()
        for _ in range(5):
            net, holder = self.network_with_holder(3)
            net.rng.seed(len(epochs))
            for node in net.nodes:
                net.reboot(node)
            net.run(8)
            epochs |= {node.authority.status(node.clock(net.time)).epoch for node in net.holders()}
        self.assertEqual(5, len(epochs))

    def test_the_lease_does_not_go_to_an_instance_with_an_older_configuration(self) -> None:
        net, holder = self.network_with_holder(3)
        up_to_date = next(node for node in net.nodes if node is not holder)
        for node in (holder, up_to_date):
            node.authority.record_applied_version(Version(5), node.clock(net.time))
        holder.paused = True
        self.assertEqual(up_to_date, self.assert_taken_over(net, holder, 8.0))

    def test_a_holder_with_an_older_configuration_loses_the_lease(self) -> None:
        net, holder = self.network_with_holder(3)
        others = [node for node in net.nodes if node is not holder]
        for node in others:
            node.authority.record_applied_version(Version(5), node.clock(net.time))
        net.run(1)
        self.assertEqual([holder], net.holders())
        net.run(AuthorityTiming().settle_time + 1)
        self.assertIn(net.holders()[0], others)

    def test_an_idle_data_centre_sends_one_request_to_each_member_a_second(self) -> None:
        net, holder = self.network_with_holder(3)
        sent: list[object] = []
        send = net.send
        net.send = lambda node, actions: (sent.extend(actions), send(node, actions))[1]  # type: ignore[method-assign]
        net.run(10)
        self.assertLessEqual(len(sent), 10 * 2 * 2 + 4)

    def test_a_local_order_survives_the_holder_that_accepted_it(self) -> None:
        net, holder = self.network_with_holder(3, leader=False)
        first, last = (node for node in net.nodes if node is not holder)
        net.isolate(last)
        change = ChangeConfiguration(ChangeId("c"), SetDataCentreService(NORTH, Service.OUT))
        holder.switch.submit_order(change)
        net.send(holder, holder.authority.renew(holder.clock(net.time)))
        net.run(0.2)
        self.assertTrue(holder.switch.is_accepted(ChangeId("c")))
        holder.paused = first.paused = True
        net.cut_links.clear()
        net.run(2)
        first.paused = False
        first.authority.release(first.clock(net.time))
        successor = self.assert_taken_over(net, holder, 6.0)
        self.assertEqual(last, successor)
        self.assertEqual(ServiceInForce.OUT, last.switch.service_in_force(Seconds(0.0)))
