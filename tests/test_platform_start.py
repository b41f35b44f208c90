"""What a process on the users' platform does before it has loaded its modules."""

import pathlib
import socket
import subprocess
import sys
import tempfile
import unittest

from bulrushhollow_daemon.http_server import open_listener
from bulrushhollow_daemon.settings import Address
from bulrushhollow_platform._start import FILE_VARIABLE, listen_early


class EarlyListenerTest(unittest.TestCase):
    """Pattern: all processes are killed at once, and callers use up their tries meanwhile."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = pathlib.Path(folder.name, "settings.conf")
        with socket.create_server(("127.0.0.1", 0)) as sock:
            self.port = sock.getsockname()[1]

    def listen(self, text: str) -> None:
        self.file.write_text(text)
        listen_early({FILE_VARIABLE: str(self.file)})

    # Guards against callers that are refused for the half second in which a process starts.
    def test_callers_wait_in_the_queue_of_the_listener_while_the_process_starts(self) -> None:
        self.listen(f"role=front\nlisten.front=127.0.0.1:{self.port}\nseeds=\n")
        caller = socket.create_connection(("127.0.0.1", self.port), timeout=1.0)
        self.addCleanup(caller.close)
        listener = open_listener(Address("127.0.0.1", self.port))
        self.addCleanup(listener.close)
        accepted, address = listener.accept()
        accepted.close()
        self.assertEqual(caller.getsockname(), address)

    def test_roles_without_callers_and_unreadable_settings_are_left_to_the_start(self) -> None:
        for text in ("role=core\n", "listen.front=\n", "listen.front=127.0.0.1:x\n"):
            with self.subTest(text=text):
                self.listen(text)
        listen_early({FILE_VARIABLE: str(self.file.with_name("missing"))})
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", self.port), timeout=1.0)

    # Guards against an import that makes the early listener late.
    def test_the_package_loads_little_before_it_listens(self) -> None:
        script = "import sys, bulrushhollow_platform; print('asyncio' in sys.modules)"
        process = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        self.assertEqual("False", process.stdout.strip())


if __name__ == "__main__":
    unittest.main()
