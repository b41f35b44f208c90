import os

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bulrushhollow_core.authority import AuthorityTiming, LocalOrder, ServiceInForce
from bulrushhollow_core.changes import ChangeConfiguration, PutDataCentre, SetDataCentreService
from bulrushhollow_core.ids import ChangeId, Epoch, InstanceId, LogIndex, Seconds, Version
from bulrushhollow_core.models import DataCentre, Isolation, Service
from tests.authority_net import CLOCK_ERROR, NORTH, Network, Node

STEPS_PER_EXAMPLE = 40
FUZZ_SEED = os.environ.get("FUZZ_SEED")
EXAMPLES = int(os.environ.get("FUZZ_STEPS", "2000")) // STEPS_PER_EXAMPLE
SETTLE = AuthorityTiming().settle_time * (1 + CLOCK_ERROR)
DECLARED = PutDataCentre(DataCentre(NORTH, isolation=Isolation.SERVE))

some_node = st.integers(0, 4)


class AuthorityMachine(RuleBasedStateMachine):
    """
    One data centre with an unreliable network. The oracle records the holder of each epoch, the
    changes in the log, and when a majority had applied each of them.
    """

    @initialize(size=st.integers(2, 5), seed=st.integers(0, 10_000), led=st.booleans())
    def begin(self, size: int, seed: int, led: bool) -> None:
        self.net = Network(size, seed)
        self.platform_epoch = Epoch(0)
        self.holder_by_epoch: dict[Epoch, InstanceId] = {}
        self.has_rebooted = False
        self.log: list[ChangeConfiguration] = []
        self.majority_applied_at: list[float] = []
        self.applied_count_by_name = {node.name: 0 for node in self.net.nodes}
        self.accepted_ids: set[ChangeId] = set()
        self.net.on_step = self.check_holders
        self.commit(DECLARED, Version(0))
        for node in self.net.nodes:
            self.catch_up(node)
        if led:
            self.net.set_leader(self.net.nodes[0])
        self.net.run(5)

    # Rules.

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0, 4.0, 8.0)))
    def run(self, seconds: float) -> None:
        self.net.run(seconds)

    @rule(
        chance=st.sampled_from((0.0, 0.1, 0.5)), kind=st.sampled_from(("loss", "repeat", "delay"))
    )
    def spoil(self, chance: float, kind: str) -> None:
        setattr(self.net, kind, chance)

    @rule(first=some_node, second=some_node)
    def cut(self, first: int, second: int) -> None:
        self.net.cut_links.add(frozenset((self.node(first).name, self.node(second).name)))

    @rule(number=some_node)
    def isolate(self, number: int) -> None:
        self.net.isolate(self.node(number))

    @rule()
    def isolate_holder(self) -> None:
        for node in self.net.holders():
            self.net.isolate(node)

    @rule()
    def heal(self) -> None:
        self.net.cut_links.clear()

    @rule(number=some_node)
    def pause(self, number: int) -> None:
        self.node(number).paused = True

    @rule()
    def resume(self) -> None:
        for node in self.net.nodes:
            node.paused = False

    @rule(number=some_node)
    def reboot(self, number: int) -> None:
        self.reboot_node(self.node(number))

    @rule(number=st.integers(0, 6))
    def lead(self, number: int) -> None:
        self.net.set_leader(self.net.nodes[number] if number < len(self.net.nodes) else None)

    @rule(number=some_node, seconds=st.sampled_from((1.0, 4.0)))
    def lead_from_elsewhere(self, number: int, seconds: float) -> None:
        """Isolate an instance in its data centre; then other data centres elect it log leader."""
        self.net.isolate(self.node(number))
        self.net.run(seconds)
        self.net.set_leader(self.node(number))
        self.net.run(seconds)

    @rule(number=some_node)
    def stop_gracefully(self, number: int) -> None:
        node = self.node(number)
        self.net.send(node, node.authority.release(node.clock(self.net.time)))
        assert node.held_lease(self.net.time) is None

    @rule(service=st.sampled_from(Service))
    def switch(self, service: Service) -> None:
        self.commit(SetDataCentreService(NORTH, service), None)

    @rule(number=some_node)
    def apply(self, number: int) -> None:
        self.catch_up(self.node(number))

    @rule()
    def order_out_inside(self) -> None:
        for node in self.net.holders():
            edit = SetDataCentreService(NORTH, Service.OUT)
            change = ChangeConfiguration(ChangeId(f"local{self.net.time:.3f}"), edit)
            assert isinstance(node.switch.submit_order(change), LocalOrder)
            self.net.send(node, node.authority.renew(node.clock(self.net.time)))

    @rule()
    def record(self) -> None:
        for node in self.net.holders():
            changes = node.switch.unrecorded_changes()
            self.log += [change for change in changes if change not in self.log]
            self.majority_applied_at += [float("inf")] * (
                len(self.log) - len(self.majority_applied_at)
            )

    # Checks.

    def check_holders(self) -> None:
        holders = self.net.holders()
        assert len(holders) <= 1, [holder.id for holder in holders]
        for holder in holders:
            self.check_epoch(holder)
            self.check_configuration(holder)

    def check_epoch(self, holder: Node) -> None:
        held = holder.held_lease(self.net.time)
        assert held is not None
        assert self.holder_by_epoch.setdefault(held.epoch, holder.id) == holder.id
        assert self.has_rebooted or held.epoch == max(self.holder_by_epoch)
        if held.epoch < self.platform_epoch and not holder.paused:
            holder.authority.raise_epoch_floor(self.platform_epoch, holder.clock(self.net.time))
            assert holder.held_lease(self.net.time) is None
        self.platform_epoch = Epoch(max(self.platform_epoch, held.epoch))

    def check_configuration(self, holder: Node) -> None:
        applied = self.applied_count_by_name[holder.name]
        required = sum(since + SETTLE < self.net.time for since in self.majority_applied_at)
        assert applied >= required, (applied, required)
        last = self.log[:applied][-1].edit
        in_force = holder.switch.service_in_force(Seconds(0.0))
        if isinstance(last, SetDataCentreService) and last.service is Service.OUT:
            assert in_force is ServiceInForce.OUT
        self.accepted_ids |= {
            change.change_id
            for change in holder.switch.unrecorded_changes()
            if holder.switch.is_accepted(change.change_id) and not holder.paused
        }
        recorded_ids = {change.change_id for change in self.log[:applied]}
        assert not self.accepted_ids - recorded_ids or in_force is ServiceInForce.OUT

    @invariant()
    def clocks_differ(self) -> None:
        assert len({node.rate for node in self.net.nodes}) == len(self.net.nodes)

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        net = self.net
        net.loss = net.repeat = net.delay = 0.0
        self.heal()
        self.resume()
        for node in net.nodes:
            if node.authority.status(node.clock(net.time)).state.value == "retired":
                self.reboot_node(node)
        net.set_leader(net.nodes[0])
        net.run(8)
        for _ in range(2):
            for node in net.nodes:
                self.catch_up(node)
            net.run(10)
            self.record()
        assert len(net.holders()) == 1
        assert net.holders()[0].held_lease(net.time).epoch == self.platform_epoch  # type: ignore[union-attr]
        for node in net.nodes:
            self.catch_up(node)
            assert node.switch.unrecorded_changes() == ()

    # Helpers.

    def node(self, number: int) -> Node:
        return self.net.nodes[number % len(self.net.nodes)]

    def reboot_node(self, node: Node) -> None:
        self.has_rebooted = True
        self.accepted_ids.clear()
        self.net.reboot(node)
        self.catch_up(node)

    def commit(self, edit: PutDataCentre | SetDataCentreService, base: Version | None) -> None:
        self.log.append(ChangeConfiguration(ChangeId(f"c{len(self.log)}"), edit, base))
        self.majority_applied_at.append(float("inf"))

    def catch_up(self, node: Node) -> None:
        """Apply the rest of the log, as a rebooted instance also does before it serves."""
        for index in range(self.applied_count_by_name[node.name], len(self.log)):
            node.ledger.apply(LogIndex(index + 1), self.log[index])
        self.applied_count_by_name[node.name] = len(self.log)
        version = node.ledger.configuration.version
        node.authority.record_applied_version(version, node.clock(self.net.time))
        counts = sorted(self.applied_count_by_name.values(), reverse=True)
        for index in range(counts[len(counts) // 2]):
            self.majority_applied_at[index] = min(self.majority_applied_at[index], self.net.time)


AuthorityMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS_PER_EXAMPLE,
    derandomize=FUZZ_SEED is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if FUZZ_SEED is not None:
    hypothesis.seed(int(FUZZ_SEED))(AuthorityMachine)
AuthorityMachineTest = AuthorityMachine.TestCase
