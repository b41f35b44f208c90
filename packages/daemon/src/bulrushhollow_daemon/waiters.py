"""
bulrushhollow_daemon.waiters
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A result that one task waits for and another task sets.
"""

from typing import Generic, TypeVar

import anyio

T = TypeVar("T")


class Waiter(Generic[T]):
    """A result that is not known yet. Only the first result that is set counts."""

    def __init__(self) -> None:
        self._is_set = anyio.Event()
        self._results: list[T] = []

    def set_result(self, result: T) -> None:
        """Set the result, unless one was set before."""
        if not self._results:
            self._results.append(result)
            self._is_set.set()

    async def wait(self) -> T:
        """Wait until the result is set, and return it."""
        await self._is_set.wait()
        return self._results[0]
