"""Regression tests for faults that the state machine over complete nodes found."""

import unittest

from bulrushhollow_core.answers import JobAnswer, SubmitRequest
from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    Edit,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    SetDataCentreService,
)
from bulrushhollow_core.ids import (
    ChangeId,
    DataCentreId,
    Epoch,
    JobId,
    ProfileName,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.jobs import JobEnd
from bulrushhollow_core.models import (
    DataCentre,
    Profile,
    Resources,
    Service,
    Shape,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.node import SubmitRequested
from bulrushhollow_core.outcomes import Execution, Reason, Refusal
from tests.node_world import RACKS, Endpoint, World


def edits_for_jobs(*data_centres: str, accelerators: int = 1) -> tuple[Edit, ...]:
    """Return the edits that configure data centres and a profile `sweep` of jobs with one task."""
    profile = Profile(
        ProfileName("sweep"),
        WorkKind.JOB,
        WorkspaceId("shop"),
        idempotent=True,
        shape=Shape(1, Resources(accelerators, 1, 1)),
    )
    declared = (PutDataCentre(DataCentre(DataCentreId(name), racks=RACKS)) for name in data_centres)
    return (*declared, PutWorkspace(Workspace(WorkspaceId("shop"))), PutProfile(profile))


class RestartTest(unittest.TestCase):
    def test_restarted_process_does_not_mistake_old_proposal_for_its_own(self) -> None:
        world = World(seed=1, daemons_by_data_centre={"north": 1}, voters=1)
        world.run(8.0)
        host = world.hosts_by_name["north-1"]
        first_change = ChangeConfiguration(
            ChangeId("first"), PutWorkspace(Workspace(WorkspaceId("a"))), Version(0)
        )
        world.request_change(host, first_change)
        world.run(1.0)
        world.kill(host)
        world.start(host)
        stale_change = ChangeConfiguration(
            ChangeId("second"), PutWorkspace(Workspace(WorkspaceId("b"))), Version(0)
        )
        call = world.request_change(host, stale_change)
        world.run(8.0)
        self.assertNotIsInstance(world.answers_by_call[call], ChangeAccepted)

    def test_keys_in_progress_of_earlier_process_become_unknown(self) -> None:
        world = World(seed=2, daemons_by_data_centre={"north": 1}, voters=1)
        endpoint = Endpoint("e1", "north")
        endpoint.run_seconds = 60.0
        world.endpoints_by_name["e1"] = endpoint
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        profile = Profile(
            ProfileName("order"), WorkKind.REQUEST, WorkspaceId("shop"), service="orders"
        )
        edits = (PutWorkspace(Workspace(WorkspaceId("shop"))), PutProfile(profile))
        for number, edit in enumerate(edits):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.request_change(host, change)
            world.run(1.0)
        world.send_request(host, "order", "key", "m1")
        world.run(1.0)
        self.assertEqual(1, world.runs_by_marker["m1"])
        world.kill(host)
        world.start(host)
        world.run(8.0)
        resent_request = world.send_request(host, "order", "key", "m1")
        world.run(1.0)
        result = world.results_by_request[resent_request]
        assert isinstance(result, Refusal)
        self.assertIs(Reason.KEY_OUTCOME_UNKNOWN, result.reason)
        self.assertEqual(1, world.runs_by_marker["m1"])


class LocalOrderTest(unittest.TestCase):
    def test_local_order_without_majority_is_refused_and_withdrawn(self) -> None:
        world = World(seed=4, daemons_by_data_centre={"north": 3}, voters=3)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        north = DataCentreId("north")
        declaration = ChangeConfiguration(
            ChangeId("c0"), PutDataCentre(DataCentre(north, racks=RACKS)), Version(0)
        )
        world.request_change(host, declaration)
        world.run(2.0)
        world.cut_links = {frozenset((host.peer.name, name)) for name in world.hosts_by_name}
        world.run(5.0)
        take_out = SetDataCentreService(north, Service.OUT)
        call = world.request_change(host, ChangeConfiguration(ChangeId("c1"), take_out))
        world.run(6.0)
        self.assertIsInstance(world.answers_by_call[call], Refusal)
        assert host.node is not None
        self.assertEqual((), host.node.site.switch.pending_orders())


class ResentSubmissionTest(unittest.TestCase):
    def test_lagging_instance_does_not_refuse_accepted_job(self) -> None:
        world = World(seed=5, daemons_by_data_centre={"north": 3}, voters=3)
        world.run(12.0)
        leader, other, lagging = sorted(
            world.live_hosts(), key=lambda host: not host.node.log.is_leader(world.clock(host))
        )
        world.cut_links = {frozenset((lagging.peer.name, name)) for name in world.hosts_by_name}
        edits = edits_for_jobs("north")
        for number, edit in enumerate(edits):
            world.request_change(
                leader, ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            )
            world.run(0.2)
        submit = SubmitRequest(JobId("j1"), ProfileName("sweep"))
        world.call(other, lambda call: SubmitRequested(call, submit))
        world.run(0.2)
        resent_call = world.call(lagging, lambda call: SubmitRequested(call, submit))
        misspelt = SubmitRequest(JobId("j2"), ProfileName("swep"))
        misspelt_call = world.call(lagging, lambda call: SubmitRequested(call, misspelt))
        world.cut_links = set()
        world.run(3.0)
        self.assertIsInstance(world.answers_by_call[resent_call], JobAnswer)
        refusal = world.answers_by_call[misspelt_call]
        assert isinstance(refusal, Refusal)
        self.assertEqual(
            (Reason.NO_SUCH_PROFILE, Execution.NOT_RUN), (refusal.reason, refusal.execution)
        )


class FencedHolderTest(unittest.TestCase):
    def test_a_holder_whose_epoch_the_log_has_overtaken_stands_for_the_lease_again(self) -> None:
        # bench failures, out_while_cut: the log refused every start of a holder as fenced. The
        # holder kept its lease and proposed the same starts some hundred times a second.
        world = World(seed=6, daemons_by_data_centre={"north": 1}, voters=1)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        edits = edits_for_jobs("north")
        for number, edit in enumerate(edits):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.request_change(host, change)
            world.run(1.0)
        assert host.node is not None
        epochs_by_data_centre = host.node.log.ledgers.jobs._epochs_by_data_centre
        held = host.node.site.authority.held_lease(world.clock(host))
        assert held is not None
        epochs_by_data_centre[DataCentreId("north")] = Epoch(held.epoch + 1_000_000)
        applied_before = host.node.log.ledgers.applied
        submit = SubmitRequest(JobId("j1"), ProfileName("sweep"))
        world.call(host, lambda call: SubmitRequested(call, submit))
        world.run(8.0)
        record = host.node.log.ledgers.jobs.jobs_by_id[JobId("j1")]
        self.assertEqual((1, JobEnd.SUCCEEDED), (record.attempt, record.end))
        self.assertLess(host.node.log.ledgers.applied - applied_before, 10)


class BurstTest(unittest.TestCase):
    def test_burst_of_jobs_is_spread_over_data_centres(self) -> None:
        world = World(seed=3, daemons_by_data_centre={"north": 1, "south": 1}, voters=1)
        world.run(12.0)
        host = world.hosts_by_name["north-1"]
        edits = edits_for_jobs("north", "south", accelerators=8)
        for number, edit in enumerate(edits):
            change = ChangeConfiguration(ChangeId(f"c{number}"), edit, Version(number))
            world.request_change(host, change)
            world.run(1.0)
        world.run(4.0)
        for number in range(8):
            submit = SubmitRequest(JobId(f"j{number}"), ProfileName("sweep"))
            world.call(host, lambda call, submission=submit: SubmitRequested(call, submission))
            world.run(0.05)
        world.run(2.0)
        starts_by_data_centre = {
            data_centre: len(platform.records)
            for data_centre, platform in world.platforms_by_data_centre.items()
        }
        self.assertGreaterEqual(min(starts_by_data_centre.values()), 3, starts_by_data_centre)


if __name__ == "__main__":
    unittest.main()
