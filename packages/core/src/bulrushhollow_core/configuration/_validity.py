"""
bulrushhollow_core.configuration._validity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks single values of a configuration: names, counts, durations, resources and shapes.
"""

import math
import re
from collections.abc import Iterable

from bulrushhollow_core.models import Resources, Shape
from bulrushhollow_core.outcomes import Reason, Refusal

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}", re.ASCII)
"""Names are part of HTTP headers, paths and task ids, which rules out other characters."""

MAX_TASKS = 1_024
"""Largest number of tasks of one gang."""

MAX_WORKERS_PER_RACK = 1_024
"""Largest number of workers of one rack."""

MAX_RACKS = 1_024
"""Largest number of racks of one data centre."""

MAX_GUARANTEES = 64
"""Largest number of guarantees of one workspace."""

MAX_GUARANTEE_COUNT = 1_024
"""Largest number of gangs of one guarantee."""

MAX_AMOUNT = 2**40
"""Largest amount of any one resource, weight or quota."""

MAX_OUT_ENDPOINTS = 10_000
"""Largest number of endpoints that can be out of service at once."""


def invalid_refusal(detail: str) -> Refusal:
    """Return a refusal with the reason ``INVALID``."""
    return Refusal(Reason.INVALID, detail)


def first_refusal(refusals: Iterable[Refusal | None]) -> Refusal | None:
    """Return the first refusal, None if all checks passed; later checks are not evaluated."""
    return next((refusal for refusal in refusals if refusal is not None), None)


def check_name(what: str, name: str) -> Refusal | None:
    """Check a name that an operator has chosen."""
    if NAME_PATTERN.fullmatch(name):
        return None
    return invalid_refusal(
        f"{what} {name[:80]!r} is not 1 to 64 of letters, digits, '.', '_', ':', '-'"
    )


def check_count(what: str, number: int, minimum: int, maximum: int) -> Refusal | None:
    """Check that a whole number is within two bounds, both included."""
    if minimum <= number <= maximum:
        return None
    return invalid_refusal(f"{what} is {number}, not within {minimum} to {maximum}")


def check_duration(what: str, seconds: float) -> Refusal | None:
    """Check that a duration is finite and positive."""
    if math.isfinite(seconds) and seconds > 0:
        return None
    return invalid_refusal(f"{what} is {seconds} s, not a positive duration")


def check_resources(what: str, resources: Resources) -> Refusal | None:
    """Check that no amount is negative or too large and that at least one is not 0."""
    amounts = (resources.accelerators, resources.cores, resources.memory_mb)
    if all(0 <= amount <= MAX_AMOUNT for amount in amounts) and any(amounts):
        return None
    return invalid_refusal(
        f"{what} has a negative amount, an amount that is too large, or no amount at all"
    )


def check_shape(what: str, shape: Shape) -> Refusal | None:
    """Check the number of tasks of a gang and the resources of each task."""
    return first_refusal(
        (
            check_count(f"tasks of {what}", shape.tasks, 1, MAX_TASKS),
            check_resources(f"a task of {what}", shape.per_task),
        )
    )
