"""The state of a domain's processes, from the page to the command line."""

import asyncio
import contextlib
import io
import threading
import unittest

from prometheus_client import CollectorRegistry

from bulrushhollow.main import main
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.caller_server import ServerLimits, make_caller_server
from bulrushhollow_daemon.domain._process import operators_pages
from bulrushhollow_daemon.domain._status import InstanceStatus
from bulrushhollow_daemon.http_server import bound_address, open_listener
from bulrushhollow_daemon.settings import Address


class StatusTest(unittest.TestCase):
    def setUp(self) -> None:
        status = InstanceStatus("front-1", "entry", "north", "10.0.0.1", True)
        pages = operators_pages(CollectorRegistry(), lambda: status)
        limits = ServerLimits(Seconds(3.0), Seconds(15.0), 10)
        self.server = make_caller_server(pages, limits)
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
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(["domain", "status", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_the_status_is_shown(self) -> None:
        code, out, _ = self.run_command(self.address)
        self.assertEqual(0, code)
        self.assertIn("front-1 (entry): data_centre=north leader=10.0.0.1 serves=True", out)

    def test_a_process_that_does_not_answer_is_told(self) -> None:
        code, out, err = self.run_command(self.address, "127.0.0.1:1")
        self.assertEqual(4, code)
        self.assertIn("front-1", out)
        self.assertIn("127.0.0.1:1: no answer", err)


if __name__ == "__main__":
    unittest.main()
