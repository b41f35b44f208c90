"""Any event at any moment over several whole nodes, judged by the promises of the brief."""

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

HEAL_SECONDS = 25.0
"""Time for everything to come back: a lease, an election, a catch-up, workers' leases."""

BURST = 20
"""Requests or so that come in at once."""

RECLAIM_LIMIT = 6.7
"""Seconds within which guaranteed work starts."""

WHICH = st.integers(min_value=0, max_value=11)
SITES = st.sampled_from(
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
    """Five to seven instances, two or three data centres, their workers and endpoints."""

    @initialize(seed=st.integers(0, 2**32), site=SITES)
    def found(self, seed: int, site: tuple[dict[str, int], int]) -> None:
        daemons_by_data_centre, voters = site
        self.world = World(seed, daemons_by_data_centre, voters)
        self.oracle = Oracle(self.world)
        self.numbers = itertools.count(1)
        self.asked: list[ChangeConfiguration] = []
        self.jobs: list[str] = []
        for place, number in itertools.product(daemons_by_data_centre, (1, 2)):
            name = f"{place}-e{number}"
            self.world.endpoints_by_name[name] = Endpoint(name, place)
        self.world.run(12.0)
        for place in daemons_by_data_centre:
            self.configure(PutDataCentre(DataCentre(place, racks=RACKS)))
        guarantees = tuple(Guarantee("rack", place, WHOLE_RACK) for place in daemons_by_data_centre)
        self.configure(PutWorkspace(Workspace("crew", guarantees=guarantees[:1])))
        self.configure(PutWorkspace(Workspace("shop")))
        for profile in PROFILES:
            self.configure(PutProfile(profile))
        self.world.run(3.0)

    def configure(self, edit: Edit) -> None:
        """Make a change on a calm system, where it must be accepted."""
        host = self.world.live_hosts()[0]
        assert host.node is not None
        version = host.node.configuration.version
        change = ChangeConfiguration(f"setup-{next(self.numbers)}", edit, version)
        call = self.world.change(host, change)
        self.oracle.changes_by_call[call] = change
        self.world.run(0.6)

    def host(self, which: int) -> Host:
        hosts = list(self.world.hosts_by_name.values())
        return hosts[which % len(hosts)]

    def place(self, which: int) -> str:
        places = list(self.world.platforms_by_data_centre)
        return places[which % len(places)]

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
        self.world.drop, self.world.duplicate, self.world.delay = drop, duplicate, delay

    @rule(one=WHICH, other=WHICH)
    def cut_link(self, one: int, other: int) -> None:
        self.world.cuts.add(frozenset((self.host(one).peer.name, self.host(other).peer.name)))

    @rule(which=WHICH, seconds=st.sampled_from([1.0, 6.0]))
    def cut_off_data_centre(self, which: int, seconds: float) -> None:
        inside = {h.peer.name for h in self.world.hosts_by_name.values()}
        inside = {n for n in inside if n.startswith(self.place(which))}
        outside = set(self.world.hosts_by_name) - inside
        self.world.cuts |= {frozenset(pair) for pair in itertools.product(inside, outside)}
        self.world.run(seconds)

    @rule()
    def heal_links(self) -> None:
        self.world.cuts.clear()

    # Instances.

    @rule(which=WHICH, in_batch=st.booleans())
    def kill(self, which: int, in_batch: bool) -> None:
        host = self.host(which)
        if in_batch:
            self.world.crash_in_batch(host)
        else:
            self.world.kill(host)

    @rule(which=WHICH)
    def start(self, which: int) -> None:
        if self.host(which).node is None:
            self.world.start(self.host(which))

    @rule(which=WHICH)
    def lose_disk(self, which: int) -> None:
        """Lose one disk while the log can do without it."""
        host = self.host(which)
        if host.peer.has_disk and self.is_whole() and len(self.voters()) >= 3:
            self.world.lose_disk(host)
            host.is_founder = False

    @rule(which=WHICH)
    def pause(self, which: int) -> None:
        host = self.host(which)
        if host.node is not None:
            host.paused = True

    @rule()
    def resume_all(self) -> None:
        for host in self.world.hosts_by_name.values():
            host.paused = False

    @rule(which=WHICH)
    def stop(self, which: int) -> None:
        if self.host(which).is_live and not self.host(which).stopping:
            self.world.stop(self.host(which))

    def voters(self) -> frozenset[str]:
        leaders = [
            h for h in self.world.live_hosts() if h.node and h.node.log.is_leader(self.at(h))
        ]
        if not leaders or leaders[0].node is None:
            return frozenset()
        return leaders[0].node.log.status(self.at(leaders[0])).members.voters

    def at(self, host: Host) -> float:
        return self.world.clock(host)

    def is_whole(self) -> bool:
        """Whether all instances with a disk run and vote under their present identity."""
        disks = [h for h in self.world.hosts_by_name.values() if h.peer.has_disk]
        if not all(host.is_live and host.disk_id for host in disks):
            return False
        return self.voters() == {host.disk_id for host in disks}

    # Operators.

    @rule(which=WHICH, place=WHICH, drain=st.sampled_from(Drain))
    def take_out(self, which: int, place: int, drain: Drain) -> None:
        name = self.place(place)
        if name not in self.oracle.in_doubt:
            self.ask_change(self.host(which), SetDataCentreService(name, Service.OUT, drain))

    @rule(which=WHICH, place=WHICH)
    def bring_in(self, which: int, place: int) -> None:
        name = self.place(place)
        self.oracle.note_in_asked(name)
        self.ask_change(self.host(which), SetDataCentreService(name, Service.IN))

    @rule(which=WHICH, other=WHICH, number=WHICH)
    def operators_race(self, which: int, other: int, number: int) -> None:
        """Two operators change the same version at once; one sends its change twice."""
        hosts = (self.host(which), self.host(other))
        for host, deadline in zip(hosts, (3.0, 4.0 + number), strict=True):
            if host.node is not None:
                profile = Profile("extra", WorkKind.REQUEST, "shop", deadline=deadline, service="x")
                version = host.node.configuration.version
                change = self.ask_change(host, PutProfile(profile), version)
                self.send_change(hosts[0], change)

    @rule(which=WHICH, number=WHICH)
    def resend(self, which: int, number: int) -> None:
        if self.asked:
            self.send_change(self.host(which), self.asked[-1 - number % len(self.asked)])

    @rule(which=WHICH, number=WHICH, service=st.sampled_from(Service))
    def set_endpoint(self, which: int, number: int, service: Service) -> None:
        names = list(self.world.endpoints_by_name)
        edit = SetEndpointService(names[number % len(names)], service)
        self.ask_change(self.host(which), edit)

    def ask_change(self, host: Host, edit: Edit, version: int | None = None) -> ChangeConfiguration:
        change = ChangeConfiguration(f"change-{next(self.numbers)}", edit, version)
        self.asked.append(change)
        self.send_change(host, change)
        return change

    def send_change(self, host: Host, change: ChangeConfiguration) -> None:
        edit = change.edit
        if isinstance(edit, SetDataCentreService) and edit.service is Service.IN:
            self.oracle.note_in_asked(edit.id)
        if host.node is not None:
            self.oracle.changes_by_call[self.world.change(host, change)] = change

    # Callers.

    @rule(which=WHICH, profile=st.sampled_from(["label", "order"]), keyed=st.booleans())
    def request(self, which: int, profile: str, keyed: bool) -> None:
        host = self.host(which)
        if not host.is_live:
            return
        marker = f"m{next(self.numbers)}"
        if profile == "order":
            self.oracle.once_markers.add(marker)
        for copy in range(3 if keyed else 1):
            host = self.host(which + copy)
            if host.is_live:
                self.world.request(host, profile, marker if keyed else None, marker)

    @rule(which=WHICH, profile=st.sampled_from(["label", "order"]), crash=st.booleans())
    def burst(self, which: int, profile: str, crash: bool) -> None:
        """More requests than there are slots; an endpoint may die with what it runs."""
        for number in range(BURST):
            self.request(which + number, profile, keyed=False)
        self.world.run(0.2)
        if crash:
            for endpoint in self.world.endpoints_by_name.values():
                endpoint.set(False, False, self.world.now)
            self.world.run(0.2)
            for endpoint in self.world.endpoints_by_name.values():
                endpoint.set(True, False, self.world.now)
        self.world.run(1.0)

    @rule(which=WHICH, place=WHICH, seconds=st.sampled_from([0.2, 5.0]))
    def take_out_under_load(self, which: int, place: int, seconds: float) -> None:
        """Jobs that belong to a data centre come in before and after it is taken out."""
        name = self.place(place)
        for _ in range(BURST // 2):
            self.submit_one(self.host(which), "sweep", name)
        self.take_out(which, place, Drain.FINISH)
        self.world.run(seconds)
        for profile in ("sweep", "sweep", "survey"):
            self.submit_one(self.host(which), profile, name)
        self.world.run(4.0)

    @rule(which=WHICH, profile=st.sampled_from(["model", "sweep", "survey"]), count=WHICH)
    def submit(self, which: int, profile: str, count: int) -> None:
        for _ in range(1 + count // 3):
            self.submit_one(self.host(which), profile)

    def submit_one(self, host: Host, profile: str, place: str | None = None) -> str:
        job = f"j{next(self.numbers)}"
        shape = next(p.shape for p in PROFILES if p.name == profile)
        self.oracle.gang_sizes_by_job[job] = shape.tasks
        if profile == "survey":
            self.oracle.once_jobs.add(job)
        self.jobs.append(job)
        submit = SubmitRequest(job, profile, data_centre=place)
        self.world.ask(host, lambda call: SubmitRequested(call, submit))
        return job

    @rule(which=WHICH, last=st.integers(1, 8))
    def cancel_wave(self, which: int, last: int) -> None:
        for job in self.jobs[-last:]:
            self.world.ask(self.host(which), lambda call, j=job: CancelRequested(call, j))

    # Workers and endpoints.

    @rule(place=WHICH, worker=WHICH, fails=st.booleans(), down=st.booleans())
    def change_worker(self, place: int, worker: int, fails: bool, down: bool) -> None:
        platform = self.world.platforms_by_data_centre[self.place(place)]
        names = list(platform.workers_by_id)
        name = names[worker % len(names)]
        platform.fail_starts(name, fails)
        if down:
            platform.take_down(name, self.world.now)
        else:
            platform.bring_up(name, self.world.now)

    @rule(number=WHICH, up=st.booleans(), leaving=st.booleans())
    def change_endpoint(self, number: int, up: bool, leaving: bool) -> None:
        names = list(self.world.endpoints_by_name)
        endpoint = self.world.endpoints_by_name[names[number % len(names)]]
        endpoint.set(up, leaving, self.world.now)

    # What must hold.

    @invariant()
    def promises_hold(self) -> None:
        if hasattr(self, "oracle"):
            self.oracle.check()

    def teardown(self) -> None:
        """Heal everything: accepted changes are everywhere, and guaranteed work starts in time."""
        if not hasattr(self, "oracle"):
            return
        self.heal()
        self.world.run(HEAL_SECONDS)
        self.oracle.check()
        self.oracle.accepted_changes_are_in_force()
        self.guaranteed_work_starts()

    def heal(self) -> None:
        world = self.world
        world.cuts.clear()
        world.drop, world.duplicate, world.delay = 0.0, 0.0, 0.002
        for host in world.hosts_by_name.values():
            host.paused = False
            if host.stopping:
                world.kill(host)
            if host.node is None:
                world.start(host)
        for platform in world.platforms_by_data_centre.values():
            for worker in platform.workers_by_id:
                platform.fail_starts(worker, False)
                platform.bring_up(worker, world.now)
        world.run(15.0)
        for place in world.platforms_by_data_centre:
            self.oracle.note_in_asked(place)
            self.ask_change(world.live_hosts()[0], SetDataCentreService(place, Service.IN))

    def guaranteed_work_starts(self) -> None:
        for job in self.jobs:
            host = self.world.live_hosts()[0]
            self.world.ask(host, lambda call, j=job: CancelRequested(call, j))
        for _ in range(40):
            self.submit_one(self.world.live_hosts()[0], "sweep")
        self.world.run(5.0)
        job = self.submit_one(self.world.live_hosts()[0], "model")
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
