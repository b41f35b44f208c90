"""
bulrushhollow_daemon.waiters
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A value that one task waits for and another one gives.
"""

from typing import Generic, TypeVar

import anyio

T = TypeVar("T")


class Waiter(Generic[T]):
    """A value to come; only the first one given counts."""

    def __init__(self) -> None:
        self._given = anyio.Event()
        self._values: list[T] = []

    def give(self, value: T) -> None:
        """Give the value."""
        if not self._values:
            self._values.append(value)
            self._given.set()

    async def get(self) -> T:
        """Wait for the value."""
        await self._given.wait()
        return self._values[0]
