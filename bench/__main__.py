"""Command line of the benchmarks: ``python -m bench NAME [options]``."""

import importlib
import sys

BENCHES = ("daemon", "state", "policy", "requests", "failures", "capacity", "domain")


def main() -> int:
    """Run the named benchmark. Its module is imported here, so that no other one is loaded."""
    if len(sys.argv) < 2 or sys.argv[1] not in BENCHES:
        print(f"usage: python -m bench {{{','.join(BENCHES)}}} [options]", file=sys.stderr)
        return 2
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    exit_code: int = module.main(sys.argv[2:])
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
