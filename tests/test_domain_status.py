"""The command ``domain status`` shows what the status pages of a domain's processes return."""

import asyncio
import contextlib
import io
import threading
import unittest

from prometheus_client import CollectorRegistry

from bulrushhollow.main import main
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain._process import make_operator_application
from bulrushhollow_daemon.domain._status import InstanceStatus
from bulrushhollow_daemon.http_server import bound_address, open_listener
from bulrushhollow_daemon.settings import Address


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        status = InstanceStatus("front-1", "entry", "north", "10.0.0.1", True)
        application = make_operator_application(CollectorRegistry(), lambda: status)
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

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        stdout, stderr = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
            exit_code = main(["domain", "status", *arguments])
        return exit_code, stdout.getvalue(), stderr.getvalue()

    def test_the_status_is_shown(self) -> None:
        exit_code, stdout, _ = self.run_command(self.address)
        self.assertEqual(0, exit_code)
        self.assertIn("front-1 (entry): data_centre=north leader=10.0.0.1 serves=True", stdout)

    def test_a_process_that_does_not_answer_is_reported(self) -> None:
        exit_code, stdout, stderr = self.run_command(self.address, "127.0.0.1:1")
        self.assertEqual(4, exit_code)
        self.assertIn("front-1", stdout)
        self.assertIn("127.0.0.1:1: no answer", stderr)


if __name__ == "__main__":
    unittest.main()
