import unittest

from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    Edit,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    RemoveProfile,
    RemoveWorkspace,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.configuration import (
    ANSWERS_KEPT,
    ConfigurationLedger,
    apply_edit,
    check_edit,
)
from bulrushhollow_core.ids import (
    ChangeId,
    DataCentreId,
    EndpointId,
    GuaranteeName,
    LogIndex,
    ProfileName,
    RackId,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Drain,
    Guarantee,
    Isolation,
    Profile,
    Rack,
    Resources,
    Service,
    Shape,
    SwitchVersions,
    WorkKind,
    Workspace,
)
from bulrushhollow_core.outcomes import Reason, Refusal

NORTH = DataCentreId("north")
LARGE = Shape(4, Resources(8, 8, 1_000), Adjacency.RACK)
WORKER = Resources(8, 64, 256_000)


def rack(name: str, workers: int = 6, per_worker: Resources = WORKER) -> Rack:
    return Rack(RackId(name), workers, per_worker)


def workspace(name: str, *guarantees: Guarantee, quota: int | None = None) -> Workspace:
    return Workspace(WorkspaceId(name), accelerator_quota=quota, guarantees=guarantees)


def guarantee(name: str = "large", shape: Shape = LARGE, count: int = 1) -> Guarantee:
    return Guarantee(GuaranteeName(name), NORTH, shape, count)


def job(name: str = "grip", **fields: object) -> Profile:
    defaults: dict[str, object] = {
        "kind": WorkKind.JOB,
        "workspace": "crews",
        "shape": LARGE,
        "guarantee": "large",
    }
    return Profile(ProfileName(name), **(defaults | fields))  # type: ignore[arg-type]


def make_configuration(*edits: Edit) -> Configuration:
    configuration = Configuration()
    for edit in edits:
        refusal = check_edit(edit, configuration)
        assert refusal is None, refusal
        configuration = apply_edit(edit, configuration)
    return configuration


BASE = make_configuration(
    PutDataCentre(DataCentre(NORTH, racks=(rack("r1"), rack("r2")))),
    PutWorkspace(workspace("crews", guarantee())),
    PutProfile(job()),
)


class CheckTest(unittest.TestCase):
    def assert_refused(self, edit: Edit, reason: Reason = Reason.INVALID) -> None:
        refusal = check_edit(edit, BASE)
        self.assertIsNotNone(refusal, edit)
        assert refusal is not None
        self.assertEqual(reason, refusal.reason, refusal.detail)

    def test_invalid_profiles_are_refused(self) -> None:
        self.assert_refused(PutProfile(job("a/b")))
        self.assert_refused(PutProfile(job("x" * 65)))
        self.assert_refused(PutProfile(job(deadline=float("nan"))))
        self.assert_refused(PutProfile(job(run_limit=0.0)))
        self.assert_refused(PutProfile(job(expected_run=float("inf"))))
        self.assert_refused(PutProfile(job(service="orders")))
        self.assert_refused(PutProfile(job(shape=Shape(0, WORKER), guarantee=None)))
        self.assert_refused(PutProfile(job(shape=Shape(1, Resources(-1, 4)), guarantee=None)))
        self.assert_refused(PutProfile(job(shape=Shape(1, Resources()), guarantee=None)))
        self.assert_refused(PutProfile(job(guarantee="other")))
        self.assert_refused(PutProfile(job(shape=Shape(3, LARGE.per_task, Adjacency.RACK))))
        self.assert_refused(PutProfile(job(workspace="nobody")), Reason.NO_SUCH_WORKSPACE)
        self.assert_refused(PutProfile(job(kind=WorkKind.REQUEST, service="orders")))
        self.assert_refused(PutProfile(job(kind=WorkKind.REQUEST, guarantee=None)))
        self.assert_refused(RemoveProfile(ProfileName("none")), Reason.NO_SUCH_PROFILE)

    def test_invalid_workspaces_are_refused(self) -> None:
        self.assert_refused(PutWorkspace(workspace("")))
        self.assert_refused(PutWorkspace(Workspace(WorkspaceId("crews"), weight=0)))
        self.assert_refused(PutWorkspace(workspace("crews", guarantee(), guarantee())))
        self.assert_refused(PutWorkspace(workspace("crews", guarantee(), quota=31)))
        self.assert_refused(PutWorkspace(workspace("crews", guarantee(count=0))))
        elsewhere = Guarantee(GuaranteeName("large"), DataCentreId("moon"), LARGE)
        self.assert_refused(PutWorkspace(workspace("crews", elsewhere)), Reason.NO_SUCH_DATA_CENTRE)
        self.assert_refused(RemoveWorkspace(WorkspaceId("none")), Reason.NO_SUCH_WORKSPACE)

    def test_workspaces_and_guarantees_in_use_are_kept(self) -> None:
        self.assert_refused(RemoveWorkspace(WorkspaceId("crews")), Reason.STILL_IN_USE)
        self.assert_refused(PutWorkspace(workspace("crews")), Reason.STILL_IN_USE)
        smaller = guarantee(shape=Shape(2, LARGE.per_task, Adjacency.RACK))
        self.assert_refused(PutWorkspace(workspace("crews", smaller)), Reason.STILL_IN_USE)

    def test_guarantees_must_fit_together(self) -> None:
        too_many = PutWorkspace(workspace("other", guarantee(count=2)))
        self.assert_refused(too_many, Reason.GUARANTEES_DO_NOT_FIT)
        self.assertIsNone(check_edit(PutWorkspace(workspace("other", guarantee())), BASE))
        shrunk = PutDataCentre(DataCentre(NORTH, racks=(rack("r1", 3), rack("r2", 3))))
        self.assert_refused(shrunk, Reason.GUARANTEES_DO_NOT_FIT)

    def test_invalid_data_centres_are_refused(self) -> None:
        self.assert_refused(PutDataCentre(DataCentre(NORTH, racks=(rack("r1"), rack("r1")))))
        self.assert_refused(PutDataCentre(DataCentre(NORTH, racks=(rack("r1", 0),))))
        self.assert_refused(
            PutDataCentre(DataCentre(NORTH, racks=(rack("r1", 6, Resources(-8, 1)),)))
        )
        unknown = SetDataCentreService(DataCentreId("moon"), Service.OUT)
        self.assert_refused(unknown, Reason.NO_SUCH_DATA_CENTRE)
        self.assert_refused(SetEndpointService(EndpointId("a b"), Service.OUT))


class EditTest(unittest.TestCase):
    def test_a_new_declaration_keeps_the_service_state_of_a_data_centre(self) -> None:
        out = apply_edit(SetDataCentreService(NORTH, Service.OUT, Drain.CHECKPOINT), BASE)
        declared = DataCentre(NORTH, racks=(rack("r1"), rack("r3")))
        after = apply_edit(PutDataCentre(declared), out).data_centres_by_id[NORTH]
        self.assertEqual((Service.OUT, Drain.CHECKPOINT), (after.service, after.drain))
        self.assertEqual(declared.racks, after.racks)

    def test_the_versions_that_last_switched_a_data_centre_are_recorded(self) -> None:
        declared = BASE.data_centres_by_id[NORTH]
        out = apply_edit(SetDataCentreService(NORTH, Service.OUT), BASE)
        again = apply_edit(SetDataCentreService(NORTH, Service.OUT, Drain.CHECKPOINT), out)
        serving = DataCentre(NORTH, racks=declared.racks, isolation=Isolation.SERVE)
        after = apply_edit(PutDataCentre(serving), again)
        first = SwitchVersions(Version(1), Version(1))
        self.assertEqual(first, BASE.switched_by_data_centre[NORTH])
        last = SwitchVersions(out.version, after.version)
        self.assertEqual(last, after.switched_by_data_centre[NORTH])

    def test_endpoints_are_taken_out_and_put_back_in_service(self) -> None:
        endpoint = EndpointId("e1")
        out = apply_edit(SetEndpointService(endpoint, Service.OUT), BASE)
        self.assertEqual({endpoint}, out.out_endpoints)
        back = apply_edit(SetEndpointService(endpoint, Service.IN), out)
        self.assertEqual((frozenset(), BASE.version + 2), (back.out_endpoints, back.version))


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = ConfigurationLedger()
        self.index = 0

    def apply(self, change_id: str, edit: Edit, base: int | None) -> ChangeAccepted | Refusal:
        self.index += 1
        version = None if base is None else Version(base)
        command = ChangeConfiguration(ChangeId(change_id), edit, version)
        return self.ledger.apply(LogIndex(self.index), command)

    def reason(self, answer: ChangeAccepted | Refusal) -> Reason | None:
        return answer.reason if isinstance(answer, Refusal) else None

    def test_of_two_changes_with_the_same_base_version_the_second_is_refused(self) -> None:
        self.assertEqual(
            ChangeAccepted(Version(1)), self.apply("a", PutWorkspace(workspace("a")), 0)
        )
        conflict = self.apply("b", PutWorkspace(workspace("b")), 0)
        self.assertEqual(Reason.VERSION_CONFLICT, self.reason(conflict))
        self.assertIn(
            "present version is 1", conflict.detail if isinstance(conflict, Refusal) else ""
        )
        self.assertNotIn("b", self.ledger.configuration.workspaces_by_id)

    def test_a_resend_gets_the_first_answer_after_other_changes_and_a_restore(self) -> None:
        first = self.apply("a", PutWorkspace(workspace("a")), 0)
        conflict = self.apply("b", PutWorkspace(workspace("b")), 0)
        self.apply("c", RemoveWorkspace(WorkspaceId("a")), 1)
        self.ledger = ConfigurationLedger.restore(self.ledger.snapshot())
        self.assertEqual(first, self.apply("a", PutWorkspace(workspace("a")), 0))
        self.assertEqual(conflict, self.apply("b", PutWorkspace(workspace("b")), 0))
        self.assertEqual({}, self.ledger.configuration.workspaces_by_id)
        self.assertEqual(2, self.ledger.configuration.version)

    def test_a_change_id_with_another_edit_is_refused(self) -> None:
        self.apply("a", PutWorkspace(workspace("a")), 0)
        reused = self.apply("a", PutWorkspace(workspace("b")), 1)
        self.assertEqual(Reason.CHANGE_ID_REUSED, self.reason(reused))

    def test_only_service_states_can_be_set_without_a_version(self) -> None:
        edit = PutWorkspace(workspace("a"))
        self.assertEqual(Reason.INVALID, self.reason(self.apply("a", edit, None)))
        accepted = self.apply("b", SetEndpointService(EndpointId("e"), Service.OUT), None)
        self.assertEqual(ChangeAccepted(Version(1)), accepted)

    def test_an_invalid_change_does_not_raise_the_version(self) -> None:
        refused = self.apply("a", RemoveProfile(ProfileName("none")), 0)
        self.assertEqual(Reason.NO_SUCH_PROFILE, self.reason(refused))
        self.assertEqual(0, self.ledger.configuration.version)

    def test_a_change_with_a_base_version_is_not_applied_twice_after_its_answer_was_dropped(
        self,
    ) -> None:
        self.apply("a", PutWorkspace(workspace("a")), 0)
        self.apply("b", RemoveWorkspace(WorkspaceId("a")), 1)
        for number in range(ANSWERS_KEPT):
            self.apply(f"c{number}", SetEndpointService(EndpointId("e"), Service.OUT), None)
        self.assertEqual(ANSWERS_KEPT, len(self.ledger.snapshot().answered))
        late = self.apply("a", PutWorkspace(workspace("a")), 0)
        self.assertEqual(Reason.VERSION_CONFLICT, self.reason(late))
        self.assertNotIn("a", self.ledger.configuration.workspaces_by_id)
