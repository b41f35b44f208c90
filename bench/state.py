"""
bench.state
~~~~~~~~~~~

Measures the replicated log, on disk, in the core alone and between daemons:
``python -m bench state --seed N [--part disk|core|cluster]``.
"""

import argparse
from pathlib import Path

from bench import state_cluster, state_core, state_disk


def main(argv: list[str]) -> int:
    """Run all parts of the benchmark, or the chosen one."""
    parser = argparse.ArgumentParser(prog="python -m bench state")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", choices=("disk", "core", "cluster"))
    parser.add_argument(
        "--folder",
        type=Path,
        help="parent of the data folders; default: the system's temporary folder",
    )
    options = parser.parse_args(argv)
    if options.part in (None, "disk"):
        state_disk.measure(options.seed, options.folder)
    if options.part in (None, "core"):
        state_core.measure(options.seed)
    if options.part in (None, "cluster"):
        state_cluster.measure(options.seed, options.folder)
    return 0
