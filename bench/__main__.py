"""Runs one benchmark by name: ``python -m bench NAME [options]``."""

import importlib
import sys

BENCHES = ("daemon", "state", "policy", "requests", "failures", "capacity", "domain")


def main() -> int:
    """Import the named benchmark late, so that each loads only what it needs."""
    if len(sys.argv) < 2 or sys.argv[1] not in BENCHES:
        print(f"usage: python -m bench {{{','.join(BENCHES)}}} [options]", file=sys.stderr)
        return 2
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    code: int = module.main(sys.argv[2:])
    return code


if __name__ == "__main__":
    sys.exit(main())
