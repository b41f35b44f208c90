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
from tests.client_fakes import LOST, NOT_CONNECTED, RAN, FakeAdapter, Step, answered, refused

ACCEPTED = answered(
    ChangeAccepted(Version(8), (InstanceName("a1"),), (InstanceName("a2"),), "cut off")
)
PRESENT = answered(Configuration(version=Version(7)))


def job(end: JobEnd | None, execution: Execution = Execution.RAN) -> JobAnswer:
    state = JobStage.ENDED if end else JobStage.RUNNING
    return JobAnswer(JobId("j1"), state, end=end, execution=execution)


class CommandCase(unittest.TestCase):
    def command(self, *arguments: str, steps: tuple[Step, ...] = ()) -> int:
        """Run a command line against scripted answers; keep what it printed and sent."""
        self.adapter = FakeAdapter(*steps)
        out = io.TextIOWrapper(io.BytesIO(), write_through=True)
        err = io.StringIO()
        with (
            mock.patch("bulrushhollow.sessions._default_adapter", return_value=self.adapter),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            code = main(arguments)
        raw = out.buffer
        assert isinstance(raw, io.BytesIO)
        self.out, self.err = raw.getvalue().decode(), err.getvalue()
        return code

    def sent_change(self) -> ChangeConfiguration:
        return msgspec.json.decode(self.adapter.calls[-1].body, type=ChangeConfiguration)


class UsageTest(CommandCase):
    def test_mistakes_are_one_line_and_exit_2_with_nothing_sent(self) -> None:
        mistakes = (
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
        )
        for arguments in mistakes:
            with self.subTest(arguments):
                self.assertEqual(2, self.command(*arguments))
                self.assertRegex(self.err, r"\Abulrushhollow: [^\n]+\n\Z")
                self.assertEqual(([], ""), (self.adapter.calls, self.out))

    def test_broken_profile_file_names_the_field(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "p.json")
            for text in ('{"name":"p","kind":"job","workspace":"w","tasks":2}', "{", "\udcff"):
                path.write_bytes(text.encode(errors="surrogateescape"))
                self.assertEqual(2, self.command("profile", "put", "--file", str(path)))
                self.assertIn("p.json", self.err)

    def test_help_is_printed_for_every_subcommand(self) -> None:
        for part in ("profile", "workspace", "datacentre", "endpoint", "job", "request", "status"):
            self.assertEqual(0, self.command(part, "--help"))
            self.assertIn("Usage: bulrushhollow", self.out)


class ExitTest(CommandCase):
    def test_outcomes_of_a_request(self) -> None:
        failed = msgspec.structs.replace(RAN, status_code=500)
        unknown = refused(Reason.ANSWER_LOST, Execution.UNKNOWN)
        ran = refused(Reason.ENDPOINT_FAILED, Execution.RAN)
        outcomes: list[tuple[Step, int]] = [(RAN, 0), (failed, 5), (unknown, 4), (ran, 5)]
        outcomes += [(refused(Reason.NO_ENDPOINT), 3), (NOT_CONNECTED, 3), (LOST, 4)]
        for step, code in outcomes:
            self.assertEqual(code, self.command("request", "labels", steps=(step,)))

    def test_outcomes_of_a_job(self) -> None:
        ends = (
            (job(JobEnd.SUCCEEDED), 0),
            (job(JobEnd.FAILED), 5),
            (job(JobEnd.CANCELLED, Execution.NOT_RUN), 3),
            (job(JobEnd.UNKNOWN, Execution.UNKNOWN), 4),
        )
        for answer, code in ends:
            steps = (answered(job(None)), answered(answer))
            self.assertEqual(code, self.command("job", "wait", "j1", steps=steps))
            self.assertEqual(2, len(self.err.splitlines()))

    def test_refusal_as_json_is_on_the_standard_output(self) -> None:
        self.command("job", "show", "j1", "--json", steps=(refused(Reason.NO_SUCH_JOB),))
        self.assertEqual("no_such_job", msgspec.json.decode(self.out)["reason"])
        self.assertEqual("", self.err)

    def test_unknown_ids_are_refused(self) -> None:
        empty = answered([])
        self.assertEqual(3, self.command("profile", "show", "p", steps=(PRESENT,)))
        self.assertEqual(3, self.command("workspace", "show", "w", steps=(PRESENT,)))
        self.assertEqual(3, self.command("datacentre", "show", "d", steps=(empty,)))
        self.assertEqual(3, self.command("endpoint", "show", "e", steps=(empty,)))


class ChangeTest(CommandCase):
    def change(self, *arguments: str) -> ChangeConfiguration:
        steps = (ACCEPTED,) if "out" in arguments or "in" in arguments else (PRESENT, ACCEPTED)
        self.assertEqual(0, self.command(*arguments, steps=steps))
        return self.sent_change()

    def test_profile_from_flags_is_built_on_the_present_version(self) -> None:
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

    def test_switches_need_no_version(self) -> None:
        out = self.change("datacentre", "out", "north", "--drain", "checkpoint")
        self.assertEqual(
            SetDataCentreService(DataCentreId("north"), Service.OUT, Drain.CHECKPOINT), out.edit
        )
        self.assertIsNone(out.base_version)
        back = self.change("endpoint", "in", "e1")
        assert isinstance(back.edit, SetEndpointService)
        self.assertIs(Service.IN, back.edit.service)

    def test_answer_says_where_the_change_is_in_force(self) -> None:
        self.change("datacentre", "out", "north")
        self.assertEqual(
            ["accepted as version 8", "in force on a1", "not yet confirmed by a2", "cut off"],
            self.out.splitlines(),
        )

    def test_lost_answer_prints_how_to_resend(self) -> None:
        steps = (LOST,) * 4
        self.assertEqual(4, self.command("datacentre", "out", "north", steps=steps))
        self.assertIn(f"--change-id {self.sent_change().change_id}", self.err)

    def test_resend_keeps_id_and_version(self) -> None:
        resend = ("--change-id", "c1", "--base-version", "5")
        self.command("profile", "remove", "p", *resend, steps=(ACCEPTED,))
        change = self.sent_change()
        self.assertEqual(("c1", 5), (change.change_id, change.base_version))


class OutputTest(CommandCase):
    def test_request_prints_the_body_as_it_is(self) -> None:
        self.command("request", "labels", "--body", "x", steps=(RAN,))
        self.assertEqual(("whole", b"x"), (self.out, self.adapter.calls[0].body))

    def test_request_as_json_tells_text_from_bytes(self) -> None:
        self.command("request", "labels", "--json", steps=(RAN,))
        self.assertEqual("whole", msgspec.json.decode(self.out)["text"])
        binary = msgspec.structs.replace(RAN, body=b"\xff")
        self.command("request", "labels", "--json", steps=(binary,))
        self.assertEqual("/w==", msgspec.json.decode(self.out)["content"])

    def test_lists_are_aligned_and_as_json_they_are_the_structs(self) -> None:
        found = [DataCentreStatus(DataCentreId("north"), Service.OUT, in_force=True)]
        self.command("datacentre", "list", steps=(answered(found),))
        self.assertEqual(2, len(self.out.splitlines()))
        self.command("datacentre", "list", "--json", steps=(answered(found),))
        self.assertEqual(found, msgspec.json.decode(self.out, type=list[DataCentreStatus]))

    def test_entries_come_from_the_environment(self) -> None:
        entries = {"BULRUSHHOLLOW_ENTRY": "http://10.0.0.1:80 http://10.0.0.2:80"}
        with mock.patch.dict("os.environ", entries):
            self.command("request", "labels", steps=(NOT_CONNECTED, RAN))
        self.assertEqual(
            entries["BULRUSHHOLLOW_ENTRY"].split(), [call.entry for call in self.adapter.calls]
        )


if __name__ == "__main__":
    unittest.main()
