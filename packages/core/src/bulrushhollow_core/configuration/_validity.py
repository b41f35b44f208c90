"""
bulrushhollow_core.configuration._validity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rules for single values of a configuration: names, counts, durations and shapes.
"""

import math
import re
from collections.abc import Iterable

from bulrushhollow_core.models import Resources, Shape
from bulrushhollow_core.outcomes import Reason, Refusal

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}", re.ASCII)
"""Names travel in HTTP headers, paths and task ids, hence no other characters."""

MAX_TASKS = 1_024
"""Most tasks of one gang."""

MAX_WORKERS_PER_RACK = 1_024
MAX_RACKS = 1_024
"""Most racks of one data centre."""

MAX_GUARANTEES = 64
"""Most guarantees of one workspace."""

MAX_GUARANTEE_COUNT = 1_024
"""Most gangs of one guarantee."""

MAX_AMOUNT = 2**40
"""Largest amount of any one resource, weight or quota."""

MAX_OUT_ENDPOINTS = 10_000
"""Most endpoints that can be out of service at once."""


def invalid(detail: str) -> Refusal:
    """Refuse a value."""
    return Refusal(Reason.INVALID, detail)


def first(refusals: Iterable[Refusal | None]) -> Refusal | None:
    """Return the first refusal, if any; later checks are not evaluated."""
    return next((refusal for refusal in refusals if refusal is not None), None)


def check_name(what: str, name: str) -> Refusal | None:
    """Check a name that an operator chose."""
    if NAME.fullmatch(name):
        return None
    return invalid(f"{what} {name[:80]!r} is not 1 to 64 of letters, digits, '.', '_', ':', '-'")


def check_count(what: str, number: int, least: int, most: int) -> Refusal | None:
    """Check a whole number."""
    if least <= number <= most:
        return None
    return invalid(f"{what} is {number}, not within {least} to {most}")


def check_duration(what: str, seconds: float) -> Refusal | None:
    """Check that a duration is finite and positive."""
    if math.isfinite(seconds) and seconds > 0:
        return None
    return invalid(f"{what} is {seconds} s, not a positive duration")


def check_resources(what: str, resources: Resources) -> Refusal | None:
    """Check amounts of capacity, none of which may be negative and one of which must not be 0."""
    amounts = (resources.accelerators, resources.cores, resources.memory_mb)
    if all(0 <= amount <= MAX_AMOUNT for amount in amounts) and any(amounts):
        return None
    return invalid(f"{what} has a negative, too large or no amount at all")


def check_shape(what: str, shape: Shape) -> Refusal | None:
    """Check a gang."""
    return first(
        (
            check_count(f"tasks of {what}", shape.tasks, 1, MAX_TASKS),
            check_resources(f"a task of {what}", shape.per_task),
        )
    )
