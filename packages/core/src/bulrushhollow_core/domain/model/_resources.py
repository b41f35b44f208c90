"""
bulrushhollow_core.domain.model._resources
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Amounts of cores, memory and accelerators.
"""

from collections.abc import Iterable

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """
    Resources that a task needs or a worker has.

    :param cpu: CPU in thousandths of a core.
    :param memory: memory in MiB.
    """

    cpu: int
    memory: int
    accelerators: int

    def fits(self, free: "Resources") -> bool:
        """Return whether a demand of this size fits into the free resources."""
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def is_below(self, share: float, limits: "Resources") -> bool:
        """Return whether it is less than a share of each limit; 0 means no limit on a resource."""
        return all(
            limit == 0 or amount < share * limit
            for amount, limit in (
                (self.cpu, limits.cpu),
                (self.memory, limits.memory),
                (self.accelerators, limits.accelerators),
            )
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both, resource by resource."""
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of both, resource by resource."""
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return the resources of several tasks."""
        return Resources(self.cpu * count, self.memory * count, self.accelerators * count)


NO_RESOURCES = Resources(0, 0, 0)
"""The zero of :class:`Resources`."""

CORES_PER_ACCELERATOR = 8
"""Cores that one accelerator counts as when amounts of work are compared; the platform's figure."""


def core_equivalents(needs: Resources) -> float:
    """Return the cores that a task takes, with its accelerators converted into cores."""
    return needs.cpu / 1000 + CORES_PER_ACCELERATOR * needs.accelerators


def total_of(amounts: Iterable[tuple[Resources, int]]) -> Resources:
    """Return the sum of resources, each multiplied by a count."""
    cpu = memory = accelerators = 0
    for needs, count in amounts:
        cpu += needs.cpu * count
        memory += needs.memory * count
        accelerators += needs.accelerators * count
    return Resources(cpu, memory, accelerators)
