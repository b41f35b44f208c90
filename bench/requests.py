"""
bench.requests
~~~~~~~~~~~~~~

Requests through real processes on loopback: latency and throughput of one instance, overload,
spillover to another data centre, and faults.

Usage::

    python -m bench requests --seed 1 --part latency
"""

import argparse
from collections.abc import Callable

from bench import requests_faults, requests_latency, requests_overload, requests_spill

PARTS: dict[str, Callable[[int], None]] = {
    "latency": requests_latency.measure,
    "overload": requests_overload.measure,
    "spill": requests_spill.measure,
    "faults": requests_faults.measure,
}


def main(arguments: list[str]) -> int:
    """Run all parts, or the one given by ``--part``."""
    parser = argparse.ArgumentParser(prog="python -m bench requests")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--part", choices=tuple(PARTS))
    options = parser.parse_args(arguments)
    for name, measure in PARTS.items():
        if options.part in (None, name):
            measure(options.seed)
    return 0
