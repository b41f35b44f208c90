"""Regressions found by the state machine over whole nodes."""

import unittest

from bulrushhollow_core.answers import JobAnswer, SubmitRequest
from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    SetDataCentreService,
)
from bulrushhollow_core.ids import ChangeId, DataCentreId, JobId, ProfileName, Version, WorkspaceId
from bulrushhollow_core.models import (
    DataCentre,
    Profile,
    Resources,
    Service,
    Shape,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.node import SubmitAsked
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from tests.node_world import RACKS, Endpoint, World


class RestartTest(unittest.TestCase):
    def test_a_restarted_process_does_not_take_an_old_proposal_for_its_own(self) -> None:
        world = World(seed=1, daemons_by_data_centre={"north": 1}, voters=1)
        world.run(8.0)
        host = world.hosts_by_name["north-1"]
        first = ChangeConfiguration(
            ChangeId("first"), PutWorkspace(Workspace(WorkspaceId("a"))), Version(0)
        )
        world.change(host, first)
        world.run(1.0)
        world.kill(host)
        world.start(host)
        stale = ChangeConfiguration(
            ChangeId("second"), PutWorkspace(Workspace(WorkspaceId("b"))), Version(0)
        )
        call = world.change(host, stale)
        world.run(8.0)
        self.assertNotIsInstance(world.replies[call], ChangeAccepted)

    def test_keys_in_progress_of_an_earlier_process_turn_unknown(self) -> None:
        world = World(seed=2, daemons_by_data_centre={"north": 1}, voters=1)
        endpoint = Endpoint("e1", "north")
        endpoint.run_seconds = 60.0
        world.endpoints_by_name["e1"] = endpoint
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        order = Profile(
            ProfileName("order"), WorkKind.REQUEST, WorkspaceId("shop"), service="orders"
        )
        edits = (PutWorkspace(Workspace(WorkspaceId("shop"))), PutProfile(order))
        for number, edit in enumerate(edits):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.change(host, change)
            world.run(1.0)
        world.request(host, "order", "key", "m1")
        world.run(1.0)
        self.assertEqual(1, world.ran["m1"])
        world.kill(host)
        world.start(host)
        world.run(8.0)
        resent = world.request(host, "order", "key", "m1")
        world.run(1.0)
        result = world.finished[resent]
        assert isinstance(result, Refusal)
        self.assertIs(Reason.KEY_OUTCOME_UNKNOWN, result.reason)
        self.assertEqual(1, world.ran["m1"])


class IsolatedOrderTest(unittest.TestCase):
    def test_an_order_that_no_majority_takes_is_answered_and_dropped(self) -> None:
        world = World(seed=4, daemons_by_data_centre={"north": 3}, voters=3)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        north = DataCentreId("north")
        declared = ChangeConfiguration(
            ChangeId("c0"), PutDataCentre(DataCentre(north, racks=RACKS)), Version(0)
        )
        world.change(host, declared)
        world.run(2.0)
        world.cuts = {frozenset((host.peer.name, name)) for name in world.hosts_by_name}
        world.run(5.0)
        out = SetDataCentreService(north, Service.OUT)
        call = world.change(host, ChangeConfiguration(ChangeId("c1"), out))
        world.run(6.0)
        self.assertIsInstance(world.replies[call], Refusal)
        assert host.node is not None
        self.assertEqual((), host.node.site.switch.pending_orders())


class ResentSubmissionTest(unittest.TestCase):
    def test_an_instance_that_lags_does_not_refuse_a_job_that_was_accepted(self) -> None:
        world = World(seed=5, daemons_by_data_centre={"north": 3}, voters=3)
        world.run(12.0)
        leader, other, behind = sorted(
            world.live_hosts(), key=lambda host: not host.node.log.leads(world.clock(host))
        )
        world.cuts = {frozenset((behind.peer.name, name)) for name in world.hosts_by_name}
        sweep = Profile(
            ProfileName("sweep"),
            WorkKind.JOB,
            WorkspaceId("shop"),
            idempotent=True,
            shape=Shape(1, Resources(1, 1, 1)),
        )
        edits = (
            PutDataCentre(DataCentre(DataCentreId("north"), racks=RACKS)),
            PutWorkspace(Workspace(WorkspaceId("shop"))),
            PutProfile(sweep),
        )
        for number, edit in enumerate(edits):
            world.change(leader, ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number)))
            world.run(0.2)
        submit = SubmitRequest(JobId("j1"), ProfileName("sweep"))
        world.ask(other, lambda call: SubmitAsked(call, submit))
        world.run(0.2)
        resent = world.ask(behind, lambda call: SubmitAsked(call, submit))
        typo = SubmitRequest(JobId("j2"), ProfileName("swep"))
        wrong = world.ask(behind, lambda call: SubmitAsked(call, typo))
        world.cuts = set()
        world.run(3.0)
        self.assertIsInstance(world.replies[resent], JobAnswer)
        refusal = world.replies[wrong]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (Reason.NO_SUCH_PROFILE, Execution.NOT_RUN), (refusal.reason, refusal.execution)
        )


class BurstTest(unittest.TestCase):
    def test_a_burst_of_jobs_is_spread(self) -> None:
        world = World(seed=3, daemons_by_data_centre={"north": 1, "south": 1}, voters=1)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        sweep = Profile(
            ProfileName("sweep"),
            WorkKind.JOB,
            WorkspaceId("shop"),
            idempotent=True,
            shape=Shape(1, Resources(8, 1, 1)),
        )
        edits = (
            PutDataCentre(DataCentre(DataCentreId("north"), racks=RACKS)),
            PutDataCentre(DataCentre(DataCentreId("south"), racks=RACKS)),
            PutWorkspace(Workspace(WorkspaceId("shop"))),
            PutProfile(sweep),
        )
        for number, edit in enumerate(edits):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.change(host, change)
            world.run(1.0)
        world.run(4.0)
        for number in range(8):
            submit = SubmitRequest(JobId(f"j{number}"), ProfileName("sweep"))
            world.ask(host, lambda call, asked=submit: SubmitAsked(call, asked))
            world.run(0.05)
        world.run(2.0)
        started = {place: len(p.records) for place, p in world.platforms_by_data_centre.items()}
        self.assertGreaterEqual(min(started.values()), 3, started)


if __name__ == "__main__":
    unittest.main()
