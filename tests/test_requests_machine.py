import itertools
import os
import unittest

import hypothesis
import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bulrushhollow_core.ids import EndpointId
from bulrushhollow_core.models import DataCentre, Service
from tests.requests_world import DATA_CENTRES_BY_INSTANCE, ENDPOINTS, NORTH, PROFILES, SOUTH, World

NAMES = sorted(DATA_CENTRES_BY_INSTANCE)
STEPS = int(os.environ.get("FUZZ_STEPS", "30"))


class RequestsMachine(RuleBasedStateMachine):
    """Random requests, operator changes and faults in a simulated :class:`World`."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.world = World(seed)
        self.world.advance(3.0)

    def is_running(self, name: str) -> bool:
        return name in self.world.nodes

    @rule(name=st.sampled_from(NAMES), profile=st.sampled_from(PROFILES), count=st.integers(1, 15))
    def requests(self, name, profile, count) -> None:
        for _ in range(count):
            if self.is_running(name):
                self.world.request(name, profile, None)

    @rule(place=st.sampled_from((NORTH, SOUTH)), rounds=st.integers(1, 8), data=st.data())
    def burst(self, place, rounds, data) -> None:
        """Send requests of many profiles to all instances of a data centre."""
        for _ in range(rounds):
            for name in [
                name for name in self.world.nodes if DATA_CENTRES_BY_INSTANCE[name] == place
            ]:
                for profile in data.draw(st.sampled_from((PROFILES, PROFILES[:2], PROFILES[3:]))):
                    self.world.request(name, profile, None)
            self.world.advance(0.1)

    @rule(rounds=st.integers(1, 8))
    def burst_everywhere(self, rounds) -> None:
        for _ in range(rounds):
            for name, profile in itertools.product(self.world.nodes, PROFILES):
                self.world.request(name, profile, None)
            self.world.advance(0.2)

    @rule()
    def heal(self) -> None:
        """End all faults, so that requests of the following steps get into flight."""
        world = self.world
        world.cut_links.clear()
        world.without_log.clear()
        world.loss_rate = 0.0
        for endpoint in world.endpoints.values():
            endpoint.behaviour = "good"
            endpoint.up = True
            endpoint.silent = False
            endpoint.leaving_since = None
            endpoint.leaving = False
        for name in NAMES:
            if not self.is_running(name):
                world.start(name)
        data_centres = {place: DataCentre(place) for place in (NORTH, SOUTH)}
        self.configure(data_centres_by_id=data_centres, out_endpoints=frozenset())
        world.advance(3.0)

    @rule(
        name=st.sampled_from(NAMES),
        profile=st.sampled_from([profile for profile in PROFILES if not profile.idempotent]),
        key=st.integers(0, 20),
    )
    def keyed_request(self, name, profile, key) -> None:
        if self.is_running(name):
            self.world.request(name, profile, f"{key}")

    @rule(name=st.sampled_from(NAMES), data=st.data())
    def caller_goes(self, name, data) -> None:
        if not self.is_running(name):
            return
        node = self.world.nodes[name]
        waiting = [
            request_id
            for request_id, call in self.world.calls.items()
            if call.node == node.id and not call.finished
        ]
        if waiting:
            request_id = data.draw(st.sampled_from(waiting))
            actions = node.router.cancel(request_id, node.clock_reading(self.world.now))
            self.world.carry_out(node, actions)

    @rule(steps=st.integers(1, 40))
    def time_passes(self, steps) -> None:
        self.world.advance(0.05 * steps)

    @rule(name=st.sampled_from(NAMES))
    def kill_or_start(self, name) -> None:
        if self.is_running(name):
            self.world.kill(name)
        else:
            self.world.start(name)

    @rule(name=st.sampled_from(NAMES))
    def kill_and_restart(self, name) -> None:
        if self.is_running(name):
            self.world.kill(name)
            self.world.start(name)

    @rule(place=st.sampled_from((NORTH, SOUTH)))
    def lease_lapses(self, place) -> None:
        if self.world.holders_by_data_centre[place] is not None:
            self.world.end_lease(place)

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def cut_or_heal_link(self, one, other) -> None:
        if one != other:
            self.world.cut_links ^= {frozenset((one, other))}

    @rule()
    def cut_or_heal_data_centres(self) -> None:
        links = {
            frozenset((one, other))
            for one in NAMES
            for other in NAMES
            if DATA_CENTRES_BY_INSTANCE[one] != DATA_CENTRES_BY_INSTANCE[other]
        }
        self.world.cut_links = (
            self.world.cut_links - links
            if links <= self.world.cut_links
            else self.world.cut_links | links
        )

    @rule(name=st.sampled_from(NAMES))
    def lose_or_find_log(self, name) -> None:
        self.world.without_log ^= {name}

    @rule(loss=st.sampled_from((0.0, 0.0, 0.1, 0.4)))
    def network_loses(self, loss) -> None:
        self.world.loss_rate = loss

    @rule(
        name=st.sampled_from(sorted(ENDPOINTS)),
        mood=st.sampled_from(("good", "good", "slow", "lose", "fail", "refuse")),
    )
    def endpoint_behaves(self, name, mood) -> None:
        self.world.endpoints[name].behaviour = mood

    @rule(name=st.sampled_from(sorted(ENDPOINTS)))
    def endpoint_leaves_or_comes(self, name) -> None:
        endpoint = self.world.endpoints[name]
        endpoint.leaving = not endpoint.leaving
        endpoint.leaving_since = self.world.now if endpoint.leaving else None
        endpoint.announce_at = self.world.now

    @rule(name=st.sampled_from(sorted(ENDPOINTS)), silent=st.booleans())
    def endpoint_falls_silent(self, name, silent) -> None:
        self.world.endpoints[name].silent = silent

    @rule(name=st.sampled_from(sorted(ENDPOINTS)))
    def endpoint_dies_or_restarts(self, name) -> None:
        endpoint = self.world.endpoints[name]
        endpoint.up = not endpoint.up
        if endpoint.up:
            endpoint.incarnation += 1
            endpoint.running.clear()

    @rule(name=st.sampled_from(sorted(ENDPOINTS)), out=st.booleans())
    def operator_takes_endpoint(self, name, out) -> None:
        change = {EndpointId(name)}
        present = self.world.configuration.out_endpoints
        self.configure(out_endpoints=present | change if out else present - change)

    @rule(place=st.sampled_from((NORTH, SOUTH)), service=st.sampled_from(Service))
    def operator_takes_data_centre(self, place, service) -> None:
        present = self.world.configuration.data_centres_by_id
        changed = {place: DataCentre(place, service=service)}
        self.configure(data_centres_by_id={**present, **changed})

    def configure(self, **changes) -> None:
        world = self.world
        world.configuration = msgspec.structs.replace(world.configuration, **changes)
        for node in world.nodes.values():
            node.configure(world.configuration, world.now)

    @rule(name=st.sampled_from(NAMES))
    @precondition(lambda self: self.world.now > 20)
    def planned_stop(self, name) -> None:
        if not self.is_running(name):
            return
        node = self.world.nodes[name]
        node.router.drain(node.clock_reading(self.world.now))
        self.world.advance(4.2)
        if self.world.nodes.get(name) is node:
            calls = [call for call in self.world.calls.values() if call.node == node.id]
            assert all(call.finished for call in calls), "a planned stop left a request unfinished"
            self.world.kill(name)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.advance(5.0)


RequestsMachine.TestCase.settings = hypothesis.settings(
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "40")),
    stateful_step_count=STEPS,
    deadline=None,
    derandomize="FUZZ_SEED" not in os.environ,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
)


class RequestsMachineTest(RequestsMachine.TestCase):
    pass


if "FUZZ_SEED" in os.environ:
    RequestsMachineTest = hypothesis.seed(int(os.environ["FUZZ_SEED"]))(RequestsMachineTest)

if __name__ == "__main__":
    unittest.main()
