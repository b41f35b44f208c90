import subprocess
import sys
import unittest

DEMO_SECONDS = 180.0
"""Seconds after which the demo counts as hung."""


class DemoTest(unittest.TestCase):
    def test_every_step_of_the_demo_passes(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-m", "standins.demo"],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=DEMO_SECONDS,
            check=False,
        )
        output = completed.stdout.decode()
        self.assertEqual(0, completed.returncode, output)
        self.assertNotIn("Traceback", output)


if __name__ == "__main__":
    unittest.main()
