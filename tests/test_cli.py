import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec

from bulrushhollow.main import main
from bulrushhollow_core.answers import DataCentreStatus, JobAnswer, JobEnd, JobStage
from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    PutDataCentre,
    PutProfile,
    PutWorkspace,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.ids import (
    DataCentreId,
    InstanceName,
    JobId,
    ProfileName,
    Version,
    WorkspaceId,
)
from bulrushhollow_core.models import (
    Adjacency,
    Configuration,
    DataCentre,
    Drain,
    Isolation,
    Profile,
    Resources,
    Service,
    WorkKind,
)
from bulrushhollow_core.outcomes import Execution, Reason
from tests.client_fakes import (
    ANSWER_LOST,
    NOT_CONNECTED,
    REQUEST_RAN,
    FakeAdapter,
    ScriptedAnswer,
    make_answer,
    make_refusal,
)

CHANGE_ACCEPTED = make_answer(
    ChangeAccepted(Version(8), (InstanceName("a1"),), (InstanceName("a2"),), "cut off")
)
CONFIGURATION = make_answer(Configuration(version=Version(7)))


def job(end: JobEnd | None, execution: Execution = Execution.RAN) -> JobAnswer:
    state = JobStage.ENDED if end else JobStage.RUNNING
    return JobAnswer(JobId("j1"), state, end=end, execution=execution)


class CommandTestCase(unittest.TestCase):
    def run_command(self, *arguments: str, answers: tuple[ScriptedAnswer, ...] = ()) -> int:
        """Run a command line against scripted answers; record its output and the calls sent."""
        self.adapter = FakeAdapter(*answers)
        out = io.TextIOWrapper(io.BytesIO(), write_through=True)
        err = io.StringIO()
        with (
            mock.patch("bulrushhollow.sessions._default_adapter", return_value=self.adapter),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            exit_code = main(arguments)
        raw_output = out.buffer
        assert isinstance(raw_output, io.BytesIO)
        self.out, self.err = raw_output.getvalue().decode(), err.getvalue()
        return exit_code

    def sent_change(self) -> ChangeConfiguration:
        return msgspec.json.decode(self.adapter.calls[-1].body, type=ChangeConfiguration)


class UsageTest(CommandTestCase):
    def test_usage_errors_print_one_line_exit_with_2_and_send_nothing(self) -> None:
        invalid_command_lines = (
            ("--bogus",),
            ("bogus",),
            ("profile", "put"),
            ("profile", "put", "p", "--kind", "song"),
            ("profile", "put", "p", "--kind", "job", "--workspace", "w", "--tasks", "many"),
            ("profile", "put", "p", "--file", "x.json"),
            ("profile", "put", "--file", "/does/not/exist"),
            ("workspace", "put"),
            ("workspace", "put", "w", "--guarantee", "name=a"),
            ("workspace", "put", "w", "--guarantee", "name=a,name=b"),
            ("workspace", "put", "w", "--guarantee", "big"),
            ("datacentre", "put", "d", "--rack", "id=r1,workers=x"),
            ("datacentre", "out", "d", "--drain", "maybe"),
            ("request",),
            ("request", "p", "--deadline", "-1"),
            ("request", "p", "--body", "a", "--body-file", "b"),
            ("job", "list", "--state", "odd"),
            ("job", "submit", "p", "--payload", "a", "--payload-file", "b"),
            ("status", "--entry", "nowhere"),
            ("domain", "explain-placement", "--file", "-", "--host", "h", "--prefix", "/p"),
            ("domain", "explain-placement", "127.0.0.1:1", "--host", "h", "--prefix", "/p"),
        )
        for arguments in invalid_command_lines:
            with self.subTest(arguments):
                self.assertEqual(2, self.run_command(*arguments))
                self.assertRegex(self.err, r"\Abulrushhollow: [^\n]+\n\Z")
                self.assertEqual(([], ""), (self.adapter.calls, self.out))

    def test_invalid_profile_file_is_named_in_the_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "p.json")
            for text in ('{"name":"p","kind":"job","workspace":"w","tasks":2}', "{", "\udcff"):
                path.write_bytes(text.encode(errors="surrogateescape"))
                self.assertEqual(2, self.run_command("profile", "put", "--file", str(path)))
                self.assertIn("p.json", self.err)

    def test_help_is_printed_for_every_subcommand(self) -> None:
        for subcommand in (
            "profile",
            "workspace",
            "datacentre",
            "endpoint",
            "job",
            "request",
            "status",
            "domain",
        ):
            self.assertEqual(0, self.run_command(subcommand, "--help"))
            self.assertIn("Usage: bulrushhollow", self.out)


class ExitCodeTest(CommandTestCase):
    def test_exit_codes_of_a_request(self) -> None:
        failed = msgspec.structs.replace(REQUEST_RAN, status_code=500)
        unknown = make_refusal(Reason.ANSWER_LOST, Execution.UNKNOWN)
        ran = make_refusal(Reason.ENDPOINT_FAILED, Execution.RAN)
        outcomes: list[tuple[ScriptedAnswer, int]] = [
            (REQUEST_RAN, 0),
            (failed, 5),
            (unknown, 4),
            (ran, 5),
        ]
        outcomes += [(make_refusal(Reason.NO_ENDPOINT), 3), (NOT_CONNECTED, 3), (ANSWER_LOST, 4)]
        for answer, exit_code in outcomes:
            self.assertEqual(exit_code, self.run_command("request", "labels", answers=(answer,)))

    def test_exit_codes_of_a_job(self) -> None:
        ends = (
            (job(JobEnd.SUCCEEDED), 0),
            (job(JobEnd.FAILED), 5),
            (job(JobEnd.CANCELLED, Execution.NOT_RUN), 3),
            (job(JobEnd.UNKNOWN, Execution.UNKNOWN), 4),
        )
        for answer, exit_code in ends:
            answers = (make_answer(job(None)), make_answer(answer))
            self.assertEqual(exit_code, self.run_command("job", "wait", "j1", answers=answers))
            self.assertEqual(2, len(self.err.splitlines()))

    def test_refusal_as_json_is_on_the_standard_output(self) -> None:
        self.run_command("job", "show", "j1", "--json", answers=(make_refusal(Reason.NO_SUCH_JOB),))
        self.assertEqual("no_such_job", msgspec.json.decode(self.out)["reason"])
        self.assertEqual("", self.err)

    def test_unknown_ids_are_refused(self) -> None:
        empty = make_answer([])
        self.assertEqual(3, self.run_command("profile", "show", "p", answers=(CONFIGURATION,)))
        self.assertEqual(3, self.run_command("workspace", "show", "w", answers=(CONFIGURATION,)))
        self.assertEqual(3, self.run_command("datacentre", "show", "d", answers=(empty,)))
        self.assertEqual(3, self.run_command("endpoint", "show", "e", answers=(empty,)))


class ChangeTest(CommandTestCase):
    def change(self, *arguments: str) -> ChangeConfiguration:
        answers = (
            (CHANGE_ACCEPTED,)
            if "out" in arguments or "in" in arguments
            else (CONFIGURATION, CHANGE_ACCEPTED)
        )
        self.assertEqual(0, self.run_command(*arguments, answers=answers))
        return self.sent_change()

    def test_profile_from_flags_is_based_on_the_present_version(self) -> None:
        gang = ("--tasks", "2", "--accelerators", "8", "--adjacency", "rack", "--checkpointable")
        change = self.change("profile", "put", "grip", "--kind", "job", "--workspace", "w", *gang)
        self.assertEqual(7, change.base_version)
        assert isinstance(change.edit, PutProfile)
        shape = change.edit.profile.shape
        self.assertEqual(
            (2, 8, Adjacency.RACK), (shape.tasks, shape.per_task.accelerators, shape.adjacency)
        )
        self.assertTrue(change.edit.profile.checkpointable)

    def test_profile_from_a_file(self) -> None:
        profile = Profile(ProfileName("p"), WorkKind.REQUEST, WorkspaceId("w"), service="orders")
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "p.json")
            path.write_bytes(msgspec.json.encode(profile))
            change = self.change("profile", "put", "--file", str(path))
        self.assertEqual(PutProfile(profile), change.edit)

    def test_workspace_with_a_guarantee(self) -> None:
        pairs = "name=big,data_centre=north,tasks=2,accelerators=8,adjacency=rack,count=3"
        change = self.change("workspace", "put", "w", "--weight", "4", "--guarantee", pairs)
        assert isinstance(change.edit, PutWorkspace)
        [guarantee] = change.edit.workspace.guarantees
        self.assertEqual(
            (3, 2, Adjacency.RACK),
            (guarantee.count, guarantee.shape.tasks, guarantee.shape.adjacency),
        )

    def test_data_centre_with_racks(self) -> None:
        racks = ("--rack", "id=r1,workers=6,accelerators=8", "--rack", "id=r2,workers=4,cores=9")
        change = self.change("datacentre", "put", "north", *racks, "--isolation", "serve")
        assert isinstance(change.edit, PutDataCentre)
        data_centre: DataCentre = change.edit.data_centre
        self.assertEqual([6, 4], [rack.workers for rack in data_centre.racks])
        self.assertEqual(Resources(cores=9), data_centre.racks[1].per_worker)
        self.assertIs(Isolation.SERVE, data_centre.isolation)

    def test_service_changes_need_no_version(self) -> None:
        out = self.change("datacentre", "out", "north", "--drain", "checkpoint")
        self.assertEqual(
            SetDataCentreService(DataCentreId("north"), Service.OUT, Drain.CHECKPOINT), out.edit
        )
        self.assertIsNone(out.base_version)
        back = self.change("endpoint", "in", "e1")
        assert isinstance(back.edit, SetEndpointService)
        self.assertIs(Service.IN, back.edit.service)

    def test_answer_lists_where_the_change_is_in_force(self) -> None:
        self.change("datacentre", "out", "north")
        self.assertEqual(
            ["accepted as version 8", "in force on a1", "not yet confirmed by a2", "cut off"],
            self.out.splitlines(),
        )

    def test_lost_answer_prints_the_change_id_for_a_resend(self) -> None:
        answers = (ANSWER_LOST,) * 4
        self.assertEqual(4, self.run_command("datacentre", "out", "north", answers=answers))
        self.assertIn(f"--change-id {self.sent_change().change_id}", self.err)

    def test_resend_keeps_id_and_version(self) -> None:
        resend = ("--change-id", "c1", "--base-version", "5")
        self.run_command("profile", "remove", "p", *resend, answers=(CHANGE_ACCEPTED,))
        change = self.sent_change()
        self.assertEqual(("c1", 5), (change.change_id, change.base_version))


class OutputTest(CommandTestCase):
    def test_request_prints_the_body_unchanged(self) -> None:
        self.run_command("request", "labels", "--body", "x", answers=(REQUEST_RAN,))
        self.assertEqual(("whole", b"x"), (self.out, self.adapter.calls[0].body))

    def test_request_as_json_distinguishes_text_from_bytes(self) -> None:
        self.run_command("request", "labels", "--json", answers=(REQUEST_RAN,))
        self.assertEqual("whole", msgspec.json.decode(self.out)["text"])
        binary = msgspec.structs.replace(REQUEST_RAN, body=b"\xff")
        self.run_command("request", "labels", "--json", answers=(binary,))
        self.assertEqual("/w==", msgspec.json.decode(self.out)["content"])

    def test_lists_are_tables_or_the_structs_as_json(self) -> None:
        statuses = [DataCentreStatus(DataCentreId("north"), Service.OUT, in_force=True)]
        self.run_command("datacentre", "list", answers=(make_answer(statuses),))
        self.assertEqual(2, len(self.out.splitlines()))
        self.run_command("datacentre", "list", "--json", answers=(make_answer(statuses),))
        self.assertEqual(statuses, msgspec.json.decode(self.out, type=list[DataCentreStatus]))

    def test_entries_come_from_the_environment(self) -> None:
        entries = {"BULRUSHHOLLOW_ENTRY": "http://10.0.0.1:80 http://10.0.0.2:80"}
        with mock.patch.dict("os.environ", entries):
            self.run_command("request", "labels", answers=(NOT_CONNECTED, REQUEST_RAN))
        self.assertEqual(
            entries["BULRUSHHOLLOW_ENTRY"].split(), [call.entry for call in self.adapter.calls]
        )


if __name__ == "__main__":
    unittest.main()
