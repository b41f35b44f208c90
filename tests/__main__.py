"""
Runs the tests, skips the entries of KNOWN-RED.txt and prints the totals. Each test module runs in
its own process.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

PROCESSES = 5
"""Test modules that run in parallel."""


class Count(NamedTuple):
    """The number of tests by result."""

    passed: int
    failed: int
    skipped: int


def known_red_ids() -> set[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt, each at the start of its entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_in_process(suite: unittest.TestSuite) -> Count:
    """Run tests in this process."""
    known_red = known_red_ids()
    selected = [test for test in flatten(suite) if test.id() not in known_red]
    result = unittest.TextTestRunner(stream=sys.stdout).run(unittest.TestSuite(selected))
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    return Count(result.testsRun - failed - skipped, failed, skipped)


def run_module(name: str) -> Count:
    """Run one test module in its own process, and print its output if it failed."""
    command = [sys.executable, "-m", "tests", name]
    completed = subprocess.run(command, capture_output=True, text=True, check=False, cwd=ROOT)
    last_line = completed.stdout.strip().rpartition("\n")[2]
    counts = [int(part) for part in re.findall(r"\d+", last_line)]
    is_all_known_red = counts[:2] == [0, 0] and any(
        test_id.startswith(f"{name}.") for test_id in known_red_ids()
    )
    if len(counts) == 3 and (completed.returncode == 0 or is_all_known_red):
        return Count(*counts)
    print(f"{name} failed:\n{completed.stdout}\n{completed.stderr}")
    return Count(0, 1, 0) if len(counts) != 3 else Count(counts[0], max(1, counts[1]), counts[2])


def run_all(pattern: str) -> Count:
    """Run the test modules whose file names match a pattern."""
    names = [f"tests.{path.stem}" for path in sorted((ROOT / "tests").glob(pattern))]
    with ThreadPoolExecutor(PROCESSES) as pool:
        counts = list(pool.map(run_module, names))
    for test_id in sorted(known_red_ids()):
        print(f"known red, not run: {test_id}")
    return Count(*(sum(column) for column in zip(*counts, strict=True)))


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests")
    parser.add_argument("names", nargs="*", help="dotted test names; all tests by default")
    parser.add_argument("--fuzz", action="store_true", help="run only the state machines")
    options = parser.parse_args()
    if options.names:
        count = run_in_process(unittest.TestLoader().loadTestsFromNames(options.names))
    else:
        count = run_all("test_*machine*.py" if options.fuzz else "test_*.py")
    print(f"{count.passed} passed, {count.failed} failed, {count.skipped} skipped")
    return 0 if count.failed == 0 and count.passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
