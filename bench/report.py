"""
bench.report
~~~~~~~~~~~~

Prints the figures of all benchmarks as JSON lines with bench, seed, subject, metric, value, unit.
"""

import json


def emit(bench: str, seed: int, subject: str, metric: str, value: float, unit: str) -> None:
    """Print a measured value as one JSON line."""
    record = {
        "bench": bench,
        "seed": seed,
        "subject": subject,
        "metric": metric,
        "value": value,
        "unit": unit,
    }
    print(json.dumps(record), flush=True)


def percentile(values: list[float], fraction: float) -> float:
    """
    Return a percentile of a list by nearest rank.

    :param fraction: 0.5 for the median, 0.99 for p99.
    """
    ordered = sorted(values)
    rank = min(len(ordered) - 1, max(0, round(fraction * len(ordered)) - 1))
    return ordered[rank]
