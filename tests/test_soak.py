"""A short soak: real processes on loopback under injected faults."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent


class SoakTest(unittest.TestCase):
    def test_a_short_soak_keeps_every_promise(self) -> None:
        command = [sys.executable, "-m", "soak", "--seed", "3", "--seconds", "8"]
        completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
        self.assertEqual(0, completed.returncode, completed.stdout + completed.stderr)


if __name__ == "__main__":
    unittest.main()
