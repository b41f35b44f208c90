import os

import hypothesis
import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    PutWorkspace,
    RemoveWorkspace,
    SetEndpointService,
)
from bulrushhollow_core.configuration import ConfigurationLedger, ConfigurationSnapshot
from bulrushhollow_core.ids import ChangeId, EndpointId, LogIndex, Version, WorkspaceId
from bulrushhollow_core.models import Service, Workspace
from bulrushhollow_core.outcomes import Reason, Refusal

STEPS_PER_EXAMPLE = 50
FUZZ_SEED = os.environ.get("FUZZ_SEED")
EXAMPLES = int(os.environ.get("FUZZ_STEPS", "5000")) // STEPS_PER_EXAMPLE

workspace_ids = st.sampled_from([WorkspaceId("w1"), WorkspaceId("w2")])
edits = st.one_of(
    st.builds(PutWorkspace, st.builds(Workspace, workspace_ids, st.integers(0, 3))),
    st.builds(RemoveWorkspace, workspace_ids),
    st.builds(SetEndpointService, st.just(EndpointId("e1")), st.sampled_from(Service)),
)


class LedgerMachine(RuleBasedStateMachine):
    """
    Operators make concurrent changes, resend them and reuse change ids, while replicas restart from
    snapshots. The oracle derives the expected configuration from the list of accepted changes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replicas = [ConfigurationLedger(), ConfigurationLedger()]
        self.sent: list[ChangeConfiguration] = []
        self.first_answers: list[ChangeAccepted | Refusal] = []
        self.accepted: list[ChangeConfiguration] = []

    def apply(self, change: ChangeConfiguration) -> ChangeAccepted | Refusal:
        index = LogIndex(len(self.sent) + 1)
        answers = [replica.apply(index, change) for replica in self.replicas]
        assert answers[0] == answers[1]
        return answers[0]

    @rule(edit=edits, lag=st.integers(-1, 2), blind=st.booleans())
    def change(
        self, edit: PutWorkspace | RemoveWorkspace | SetEndpointService, lag: int, blind: bool
    ) -> None:
        base = None if blind else Version(len(self.accepted) - lag)
        change = ChangeConfiguration(ChangeId(f"c{len(self.sent)}"), edit, base)
        answer = self.apply(change)
        is_conflict = not blind and lag != 0
        assert is_conflict == (
            isinstance(answer, Refusal) and answer.reason is Reason.VERSION_CONFLICT
        )
        must_name_version = blind and not isinstance(edit, SetEndpointService)
        workspace_ids_present = {workspace.id for workspace in self.expected_workspaces().values()}
        is_valid = not (isinstance(edit, PutWorkspace) and edit.workspace.weight < 1) and not (
            isinstance(edit, RemoveWorkspace) and edit.id not in workspace_ids_present
        )
        if not is_conflict and not must_name_version and is_valid:
            self.accepted.append(change)
            assert answer == ChangeAccepted(Version(len(self.accepted)))
        else:
            assert isinstance(answer, Refusal)
        self.sent.append(change)
        self.first_answers.append(answer)

    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        if self.sent:
            number = data.draw(st.integers(0, len(self.sent) - 1))
            assert self.apply(self.sent[number]) == self.first_answers[number]

    @rule(data=st.data(), edit=edits)
    def reuse(self, data: st.DataObject, edit: PutWorkspace) -> None:
        if self.sent:
            number = data.draw(st.integers(0, len(self.sent) - 1))
            change = msgspec.structs.replace(self.sent[number], edit=edit)
            answer = self.apply(change)
            if edit != self.sent[number].edit:
                assert isinstance(answer, Refusal) and answer.reason is Reason.CHANGE_ID_REUSED
            else:
                assert answer == self.first_answers[number]

    @rule(number=st.integers(0, 1))
    def restart(self, number: int) -> None:
        encoded = msgspec.msgpack.encode(self.replicas[number].snapshot())
        snapshot = msgspec.msgpack.decode(encoded, type=ConfigurationSnapshot)
        self.replicas[number] = ConfigurationLedger.restore(snapshot)

    @invariant()
    def replicas_have_what_was_accepted(self) -> None:
        endpoint_edits = [
            change.edit for change in self.accepted if isinstance(change.edit, SetEndpointService)
        ]
        is_out = bool(endpoint_edits) and endpoint_edits[-1].service is Service.OUT
        for replica in self.replicas:
            configuration = replica.configuration
            assert configuration.version == len(self.accepted)
            assert configuration.workspaces_by_id == self.expected_workspaces()
            assert bool(configuration.out_endpoints) == is_out

    def expected_workspaces(self) -> dict[WorkspaceId, Workspace]:
        workspaces_by_id: dict[WorkspaceId, Workspace] = {}
        for change in self.accepted:
            if isinstance(change.edit, PutWorkspace):
                workspaces_by_id[change.edit.workspace.id] = change.edit.workspace
            elif isinstance(change.edit, RemoveWorkspace):
                del workspaces_by_id[change.edit.id]
        return workspaces_by_id


LedgerMachine.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS_PER_EXAMPLE,
    derandomize=FUZZ_SEED is None,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
if FUZZ_SEED is not None:
    hypothesis.seed(int(FUZZ_SEED))(LedgerMachine)
LedgerMachineTest = LedgerMachine.TestCase
