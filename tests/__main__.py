"""Runs every test, passes over the entries of KNOWN-RED.txt, and prints a closing count."""

import argparse
import os
import pathlib
import sys
import unittest
from collections.abc import Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red_ids() -> set[str]:
    """Read the test ids at the start of each entry line; indented lines explain the entry."""
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


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m tests")
    parser.add_argument("names", nargs="*", help="dotted test names; all tests by default")
    parser.add_argument("--fuzz", action="store_true", help="only the state machines")
    options = parser.parse_args()
    if options.fuzz:
        os.environ.setdefault("FUZZ_SEED", "1")
    loader = unittest.TestLoader()
    if options.names:
        found = loader.loadTestsFromNames(options.names)
    else:
        pattern = "test_*machine*.py" if options.fuzz else "test_*.py"
        found = loader.discover(str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT))
    red = known_red_ids()
    chosen = [test for test in flatten(found) if test.id() not in red]
    skipped = sorted(red)
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(unittest.TestSuite(chosen))
    for test_id in skipped:
        print(f"known red, not run: {test_id}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped) + len(skipped)} skipped")
    return 0 if failed == 0 and result.testsRun > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
