"""
Runs complete nodes under random sequences of calls and faults, and checks the promises of the
brief.
"""

import itertools
import os

import hypothesis
import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bulrushhollow_core.answers import SubmitRequest
from bulrushhollow_core.changes import (
    ChangeConfiguration,
    Edit,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.models import (
    Adjacency,
    DataCentre,
    Drain,
    Guarantee,
    Profile,
    Resources,
    Service,
    Shape,
    Urgency,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.node import CancelRequested, SubmitRequested
from tests.node_oracle import Oracle
from tests.node_world import RACKS, Endpoint, Host, World

STEPS = 25
FUZZ_SEED = os.environ.get("FUZZ_SEED")
EXAMPLES = int(os.environ.get("FUZZ_STEPS", "300")) // STEPS

RECOVERY_SECONDS = 25.0
"""Seconds to recover from all faults: election, lease, catch-up of the log and workers' leases."""

BURST = 20
"""Number of requests that arrive at the same time."""

RECLAIM_LIMIT = 6.7
"""Seconds within which guaranteed work starts."""

INDEX = st.integers(min_value=0, max_value=11)
TOPOLOGIES = st.sampled_from(
    [
        ({"north": 3, "south": 2, "east": 2}, 3),
        ({"north": 2, "south": 2, "east": 1}, 3),
        ({"north": 1}, 1),
    ]
)

WHOLE_RACK = Shape(2, Resources(8, 8, 1_000), Adjacency.RACK)
SMALL = Shape(1, Resources(2, 2, 1_000), Adjacency.WORKER)

PROFILES = (
    Profile("label", WorkKind.REQUEST, "shop", Urgency.URGENT, True, 4.0, "orders"),
    Profile("order", WorkKind.REQUEST, "shop", Urgency.NORMAL, False, 4.0, "orders"),
    Profile("model", WorkKind.JOB, "crew", idempotent=True, shape=WHOLE_RACK, guarantee="rack"),
    Profile("sweep", WorkKind.JOB, "shop", idempotent=True, shape=SMALL, checkpointable=True),
    Profile("survey", WorkKind.JOB, "crew", idempotent=False, shape=SMALL),
)


class NodeMachine(RuleBasedStateMachine):
    """One to seven instances in one to three data centres, with their workers and endpoints."""

    @initialize(seed=st.integers(0, 2**32), site=TOPOLOGIES)
    def found(self, seed: int, site: tuple[dict[str, int], int]) -> None:
        daemons_by_data_centre, voters = site
        self.world = World(seed, daemons_by_data_centre, voters)
        self.oracle = Oracle(self.world)
        self.numbers = itertools.count(1)
        self.sent_changes: list[ChangeConfiguration] = []
        self.jobs: list[str] = []
        for data_centre, number in itertools.product(daemons_by_data_centre, (1, 2)):
            name = f"{data_centre}-e{number}"
            self.world.endpoints_by_name[name] = Endpoint(name, data_centre)
        self.world.run(12.0)
        for data_centre in daemons_by_data_centre:
            self.configure(PutDataCentre(DataCentre(data_centre, racks=RACKS)))
        guarantees = tuple(
            Guarantee("rack", data_centre, WHOLE_RACK) for data_centre in daemons_by_data_centre
        )
        self.configure(PutWorkspace(Workspace("crew", guarantees=guarantees[:1])))
        self.configure(PutWorkspace(Workspace("shop")))
        for profile in PROFILES:
            self.configure(PutProfile(profile))
        self.world.run(3.0)

    def configure(self, edit: Edit) -> None:
        """Make a change while there are no faults, so that it must be accepted."""
        host = self.world.live_hosts()[0]
        assert host.node is not None
        version = host.node.configuration.version
        change = ChangeConfiguration(f"setup-{next(self.numbers)}", edit, version)
        call = self.world.request_change(host, change)
        self.oracle.changes_by_call[call] = change
        self.world.run(0.6)

    def host(self, which: int) -> Host:
        hosts = list(self.world.hosts_by_name.values())
        return hosts[which % len(hosts)]

    def data_centre(self, which: int) -> str:
        data_centres = list(self.world.platforms_by_data_centre)
        return data_centres[which % len(data_centres)]

    # Time and network.

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self.world.run(seconds)

    @rule(
        drop=st.sampled_from([0.0, 0.1, 0.3]),
        duplicate=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.002, 0.1, 0.6]),
    )
    def change_network(self, drop: float, duplicate: float, delay: float) -> None:
        self.world.drop_rate, self.world.duplicate_rate, self.world.mean_delay = (
            drop,
            duplicate,
            delay,
        )

    @rule(one=INDEX, other=INDEX)
    def cut_link(self, one: int, other: int) -> None:
        self.world.cut_links.add(frozenset((self.host(one).peer.name, self.host(other).peer.name)))

    @rule(which=INDEX, seconds=st.sampled_from([1.0, 6.0]))
    def cut_off_data_centre(self, which: int, seconds: float) -> None:
        inside = {host.peer.name for host in self.world.hosts_by_name.values()}
        inside = {name for name in inside if name.startswith(self.data_centre(which))}
        outside = set(self.world.hosts_by_name) - inside
        self.world.cut_links |= {frozenset(pair) for pair in itertools.product(inside, outside)}
        self.world.run(seconds)

    @rule()
    def heal_links(self) -> None:
        self.world.cut_links.clear()

    # Instances.

    @rule(which=INDEX, in_batch=st.booleans())
    def kill(self, which: int, in_batch: bool) -> None:
        host = self.host(which)
        if in_batch:
            self.world.crash_in_batch(host)
        else:
            self.world.kill(host)

    @rule(which=INDEX)
    def start(self, which: int) -> None:
        if self.host(which).node is None:
            self.world.start(self.host(which))

    @rule(which=INDEX)
    def lose_disk(self, which: int) -> None:
        """Lose one disk while the remaining disks are a quorum of the log."""
        host = self.host(which)
        if host.peer.has_disk and self.all_disk_hosts_vote() and len(self.voters()) >= 3:
            self.world.lose_disk(host)
            host.is_founder = False

    @rule(which=INDEX)
    def pause(self, which: int) -> None:
        host = self.host(which)
        if host.node is not None:
            host.is_paused = True

    @rule()
    def resume_all(self) -> None:
        for host in self.world.hosts_by_name.values():
            host.is_paused = False

    @rule(which=INDEX)
    def stop(self, which: int) -> None:
        if self.host(which).is_live and not self.host(which).is_stopping:
            self.world.stop(self.host(which))

    def voters(self) -> frozenset[str]:
        leaders = [
            host
            for host in self.world.live_hosts()
            if host.node and host.node.log.is_leader(self.clock(host))
        ]
        if not leaders or leaders[0].node is None:
            return frozenset()
        return leaders[0].node.log.status(self.clock(leaders[0])).members.voters

    def clock(self, host: Host) -> float:
        return self.world.clock(host)

    def all_disk_hosts_vote(self) -> bool:
        """Return whether all instances with a disk run and vote with their current id."""
        hosts = [host for host in self.world.hosts_by_name.values() if host.peer.has_disk]
        if not all(host.is_live and host.disk_instance for host in hosts):
            return False
        return self.voters() == {host.disk_instance for host in hosts}

    # Operators.

    @rule(which=INDEX, place=INDEX, drain=st.sampled_from(Drain))
    def take_out(self, which: int, place: int, drain: Drain) -> None:
        name = self.data_centre(place)
        if name not in self.oracle.uncertain_data_centres:
            self.request_change(self.host(which), SetDataCentreService(name, Service.OUT, drain))

    @rule(which=INDEX, place=INDEX)
    def bring_in(self, which: int, place: int) -> None:
        name = self.data_centre(place)
        self.oracle.record_return_requested(name)
        self.request_change(self.host(which), SetDataCentreService(name, Service.IN))

    @rule(which=INDEX, other=INDEX, number=INDEX)
    def operators_race(self, which: int, other: int, number: int) -> None:
        """Let two operators change the same version at once; one sends its change twice."""
        hosts = (self.host(which), self.host(other))
        for host, deadline in zip(hosts, (3.0, 4.0 + number), strict=True):
            if host.node is not None:
                profile = Profile("extra", WorkKind.REQUEST, "shop", deadline=deadline, service="x")
                version = host.node.configuration.version
                change = self.request_change(host, PutProfile(profile), version)
                self.send_change(hosts[0], change)

    @rule(which=INDEX, number=INDEX)
    def resend(self, which: int, number: int) -> None:
        if self.sent_changes:
            self.send_change(
                self.host(which), self.sent_changes[-1 - number % len(self.sent_changes)]
            )

    @rule(which=INDEX, number=INDEX, service=st.sampled_from(Service))
    def set_endpoint(self, which: int, number: int, service: Service) -> None:
        names = list(self.world.endpoints_by_name)
        edit = SetEndpointService(names[number % len(names)], service)
        self.request_change(self.host(which), edit)

    def request_change(
        self, host: Host, edit: Edit, version: int | None = None
    ) -> ChangeConfiguration:
        change = ChangeConfiguration(f"change-{next(self.numbers)}", edit, version)
        self.sent_changes.append(change)
        self.send_change(host, change)
        return change

    def send_change(self, host: Host, change: ChangeConfiguration) -> None:
        edit = change.edit
        if isinstance(edit, SetDataCentreService) and edit.service is Service.IN:
            self.oracle.record_return_requested(edit.id)
        if host.node is not None:
            self.oracle.changes_by_call[self.world.request_change(host, change)] = change

    # Callers.

    @rule(which=INDEX, profile=st.sampled_from(["label", "order"]), keyed=st.booleans())
    def request(self, which: int, profile: str, keyed: bool) -> None:
        host = self.host(which)
        if not host.is_live:
            return
        marker = f"m{next(self.numbers)}"
        if profile == "order":
            self.oracle.non_idempotent_markers.add(marker)
        for copy in range(3 if keyed else 1):
            host = self.host(which + copy)
            if host.is_live:
                self.world.send_request(host, profile, marker if keyed else None, marker)

    @rule(which=INDEX, profile=st.sampled_from(["label", "order"]), crash=st.booleans())
    def burst(self, which: int, profile: str, crash: bool) -> None:
        """Send more requests than there are slots; the endpoints may crash while they run them."""
        for number in range(BURST):
            self.request(which + number, profile, keyed=False)
        self.world.run(0.2)
        if crash:
            for endpoint in self.world.endpoints_by_name.values():
                endpoint.set_state(False, False, self.world.now)
            self.world.run(0.2)
            for endpoint in self.world.endpoints_by_name.values():
                endpoint.set_state(True, False, self.world.now)
        self.world.run(1.0)

    @rule(which=INDEX, place=INDEX, seconds=st.sampled_from([0.2, 5.0]))
    def take_out_under_load(self, which: int, place: int, seconds: float) -> None:
        """Submit jobs to a data centre before and after it is taken out of service."""
        name = self.data_centre(place)
        for _ in range(BURST // 2):
            self.submit_job(self.host(which), "sweep", name)
        self.take_out(which, place, Drain.FINISH)
        self.world.run(seconds)
        for profile in ("sweep", "sweep", "survey"):
            self.submit_job(self.host(which), profile, name)
        self.world.run(4.0)

    @rule(which=INDEX, profile=st.sampled_from(["model", "sweep", "survey"]), count=INDEX)
    def submit(self, which: int, profile: str, count: int) -> None:
        for _ in range(1 + count // 3):
            self.submit_job(self.host(which), profile)

    def submit_job(self, host: Host, profile: str, data_centre: str | None = None) -> str:
        job = f"j{next(self.numbers)}"
        shape = next(known.shape for known in PROFILES if known.name == profile)
        self.oracle.gang_sizes_by_job[job] = shape.tasks
        if profile == "survey":
            self.oracle.non_idempotent_jobs.add(job)
        self.jobs.append(job)
        submit = SubmitRequest(job, profile, data_centre=data_centre)
        self.world.call(host, lambda call: SubmitRequested(call, submit))
        return job

    @rule(which=INDEX, last=st.integers(1, 8))
    def cancel_wave(self, which: int, last: int) -> None:
        for job in self.jobs[-last:]:
            self.world.call(self.host(which), lambda call, j=job: CancelRequested(call, j))

    # Workers and endpoints.

    @rule(place=INDEX, worker=INDEX, fails=st.booleans(), down=st.booleans())
    def change_worker(self, place: int, worker: int, fails: bool, down: bool) -> None:
        platform = self.world.platforms_by_data_centre[self.data_centre(place)]
        names = list(platform.workers_by_id)
        name = names[worker % len(names)]
        platform.fail_starts(name, fails)
        if down:
            platform.take_down(name, self.world.now)
        else:
            platform.bring_up(name, self.world.now)

    @rule(number=INDEX, up=st.booleans(), leaving=st.booleans())
    def change_endpoint(self, number: int, up: bool, leaving: bool) -> None:
        names = list(self.world.endpoints_by_name)
        endpoint = self.world.endpoints_by_name[names[number % len(names)]]
        endpoint.set_state(up, leaving, self.world.now)

    # Promises.

    @invariant()
    def promises_hold(self) -> None:
        if hasattr(self, "oracle"):
            self.oracle.check()

    def teardown(self) -> None:
        """End all faults; accepted changes must be everywhere, and guaranteed work must start."""
        if not hasattr(self, "oracle"):
            return
        self.end_all_faults()
        self.world.run(RECOVERY_SECONDS)
        self.oracle.check()
        self.oracle.accepted_changes_are_in_force()
        self.check_guaranteed_work_starts()

    def end_all_faults(self) -> None:
        world = self.world
        world.cut_links.clear()
        world.drop_rate, world.duplicate_rate, world.mean_delay = 0.0, 0.0, 0.002
        for host in world.hosts_by_name.values():
            host.is_paused = False
            if host.is_stopping:
                world.kill(host)
            if host.node is None:
                world.start(host)
        for platform in world.platforms_by_data_centre.values():
            for worker in platform.workers_by_id:
                platform.fail_starts(worker, False)
                platform.bring_up(worker, world.now)
        world.run(15.0)
        for data_centre in world.platforms_by_data_centre:
            self.oracle.record_return_requested(data_centre)
            self.request_change(
                world.live_hosts()[0], SetDataCentreService(data_centre, Service.IN)
            )

    def check_guaranteed_work_starts(self) -> None:
        for job in self.jobs:
            host = self.world.live_hosts()[0]
            self.world.call(host, lambda call, j=job: CancelRequested(call, j))
        for _ in range(40):
            self.submit_job(self.world.live_hosts()[0], "sweep")
        self.world.run(5.0)
        job = self.submit_job(self.world.live_hosts()[0], "model")
        self.world.run(RECLAIM_LIMIT + 1.0)
        starts = [
            record.started_at
            for platform in self.world.platforms_by_data_centre.values()
            for record in platform.records
            if record.job == job
        ]
        assert len(starts) >= 2, "guaranteed work was not started in time"


NodeMachine.TestCase.settings = hypothesis.settings(
    derandomize=FUZZ_SEED is None,
    deadline=None,
    max_examples=max(1, EXAMPLES),
    stateful_step_count=STEPS,
    suppress_health_check=list(hypothesis.HealthCheck),
    database=None,
    print_blob=False,
)
if FUZZ_SEED is not None:
    hypothesis.seed(int(FUZZ_SEED))(NodeMachine)
NodeTest = NodeMachine.TestCase
