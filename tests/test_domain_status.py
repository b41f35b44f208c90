"""The commands of ``domain`` show what the operators' pages of a domain's processes return."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import threading
import unittest

import httpcore
import msgspec
from prometheus_client import CollectorRegistry

from bulrushhollow.main import main
from bulrushhollow_core.domain import (
    Answer,
    Call,
    ExplainPlacement,
    PlacementExplained,
    RefusalReason,
    Refused,
    Resources,
    Step,
    Work,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_core.placements import MAX_TASKS, PlacementOutlook, Verdict
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain._process import make_operator_application
from bulrushhollow_daemon.domain._status import InstanceStatus
from bulrushhollow_daemon.http_server import bound_address, open_listener
from bulrushhollow_daemon.settings import Address

OUTLOOK = msgspec.json.decode(
    """{"verdict": "accepted", "queue": "usual", "workspace": "team",
    "position": {"rank": 2, "waiting": 7, "is_guaranteed": false, "is_over_share": true,
        "timeliness": "on_time", "deadline_in": 12.5},
    "steps": [
        {"step": 0, "tasks": 2, "starting": 1, "held_by": "stops", "worker_count": 1,
            "workers": [{"worker": "w1", "rack": "r1", "tasks": 1}], "displaced_runs": 5,
            "displaced": [{"job": "victim", "step": 3, "runs": 2, "lost_work": 40.0}]},
        {"step": 1, "tasks": 1, "held_by": "dependencies", "depends_on": [0]}]}""",
    type=PlacementOutlook,
)
STEP = {"count": 2, "cpu": 500, "memory": 64, "accelerators": 1, "estimate": 1.5, "is_gang": True}
LAST_STEP = {"count": 1, "cpu": 1, "memory": 1, "estimate": 2, "depends_on": [0], "same_rack": True}
JOB_FILE = {"steps": [STEP, LAST_STEP]}


class OperatorsPageTestCase(unittest.TestCase):
    """Serves the operators' page of a process whose leader gives prepared answers."""

    command = ""

    def setUp(self) -> None:
        self.answer: Answer = PlacementExplained(OUTLOOK)
        self.calls: list[Call] = []
        status = InstanceStatus("front-1", "entry", "north", "10.0.0.1", True)
        application = make_operator_application(
            CollectorRegistry(), lambda: status, self.ask_leader
        )
        limits = ServerLimits(Seconds(3.0), Seconds(15.0), 10)
        self.server = make_caller_server(application, limits)
        self.sock = open_listener(Address("127.0.0.1", 0))
        self.address = str(bound_address(self.sock))
        self.thread = threading.Thread(
            target=lambda: asyncio.run(self.server.serve([self.sock])), daemon=True
        )
        self.thread.start()

    def tearDown(self) -> None:
        self.server.should_exit = True
        self.server.force_exit = True
        self.thread.join()

    async def ask_leader(self, call: Call, deadline: Seconds) -> Answer:
        self.calls.append(call)
        return self.answer

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        stdout, stderr = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
            exit_code = main(["domain", self.command, *arguments])
        return exit_code, stdout.getvalue(), stderr.getvalue()


class StatusTest(OperatorsPageTestCase):
    command = "status"

    def test_the_status_is_shown(self) -> None:
        exit_code, stdout, _ = self.run_command(self.address)
        self.assertEqual(0, exit_code)
        self.assertIn("front-1 (entry): data_centre=north leader=10.0.0.1 serves=True", stdout)

    def test_a_process_that_does_not_answer_is_reported(self) -> None:
        exit_code, stdout, stderr = self.run_command(self.address, "127.0.0.1:1")
        self.assertEqual(4, exit_code)
        self.assertIn("front-1", stdout)
        self.assertIn("127.0.0.1:1: no answer", stderr)


class ExplainPlacementTest(OperatorsPageTestCase):
    command = "explain-placement"

    def explain(
        self, *options: str, job: object = JOB_FILE, first: str = ""
    ) -> tuple[int, str, str]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "job.json")
            path.write_text(json.dumps(job))
            queue = ("--host", "Jobs.example", "--prefix", "/usual/", "--key", "k")
            addresses = [first, self.address] if first else [self.address]
            return self.run_command(*addresses, "--file", str(path), *queue, *options)

    def test_the_job_file_reaches_the_leader(self) -> None:
        self.explain()
        steps = (
            Step(2, Resources(500, 64, 1), Seconds(1.5), is_gang=True),
            Step(1, Resources(1, 1, 0), Seconds(2.0), depends_on=(0,), same_rack=True),
        )
        # Configurations hold the host names of queues in lower case.
        expected = ExplainPlacement("jobs.example", "/usual/", "k", Work("", steps))
        self.assertEqual([expected], self.calls)

    def test_the_table_and_the_json_show_the_whole_explanation(self) -> None:
        exit_code, stdout, _ = self.explain()
        self.assertEqual(0, exit_code)
        self.assertIn("accepted: queue=usual workspace=team", stdout)
        self.assertIn("rank 2 of 7 waiting steps, on_time, over its share", stdout)
        for pattern in (
            r"\n0 +2 +1 +1 +5 +stops +- +-\n",
            r"\n1 +1 +0 +0 +0 +dependencies +0 +-\n",
            r"\n0 +w1 +r1 +1\n",
            r"\n0 +victim +3 +2 +40.0\nand 3 more\n",
        ):
            self.assertRegex(stdout, pattern)
        _, stdout, _ = self.explain("--json")
        self.assertEqual(OUTLOOK, msgspec.json.decode(stdout, type=PlacementOutlook))

    def test_a_refusal_names_its_reason(self) -> None:
        for outlook, line in (
            (PlacementOutlook(Verdict.NO_SUCH_QUEUE), "refused (no_such_queue):"),
            (PlacementOutlook(Verdict.OVERLOADED, retry_after=4.5), "retry_after=4.5s"),
            (PlacementOutlook(Verdict.MALFORMED, "no steps"), "refused (malformed): no steps"),
        ):
            self.answer = PlacementExplained(outlook)
            exit_code, stdout, _ = self.explain()
            self.assertEqual(0, exit_code)
            self.assertIn(line, stdout)

    def test_the_next_process_is_asked_if_one_does_not_answer(self) -> None:
        exit_code, stdout, stderr = self.explain(first="127.0.0.1:1")
        self.assertEqual(0, exit_code)
        self.assertIn("127.0.0.1:1: no answer", stderr)
        self.assertIn("accepted", stdout)

    def test_no_explanation_without_a_leader(self) -> None:
        self.answer = Refused(RefusalReason.NO_LEADER, Seconds(1.0))
        exit_code, stdout, stderr = self.explain()
        self.assertEqual((4, ""), (exit_code, stdout))
        self.assertIn("status 503", stderr)
        self.assertIn("no_leader", stderr)

    def test_invalid_job_files_are_not_sent(self) -> None:
        for change in ({"odd": 1}, {"cpu": -1}, {"count": MAX_TASKS + 1}, {"estimate": "long"}):
            job = {"steps": [{**STEP, **change}]}
            exit_code, _, stderr = self.explain(job=job)
            self.assertEqual(2, exit_code)
            self.assertIn("job.json", stderr)
        self.assertEqual([], self.calls)

    def test_the_page_checks_what_it_is_sent(self) -> None:
        # Other programs than the command may post here, and the leader trusts decoded calls.
        for body in (b"", b"{", b'{"host": "h", "prefix": "/", "job": {"steps": [{"cpu": -1}]}}'):
            response = httpcore.request("POST", f"http://{self.address}/v1/placement", content=body)
            self.assertEqual(400, response.status)
        response = httpcore.request("GET", f"http://{self.address}/v1/placement")
        self.assertEqual(404, response.status)
        self.assertEqual([], self.calls)


if __name__ == "__main__":
    unittest.main()
