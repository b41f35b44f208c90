"""
standins.virtual_time
~~~~~~~~~~~~~~~~~~~~~

Time that passes only when something is due.
"""

import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """A clock and what is due by it; acts that are due at one moment keep their order."""

    def __init__(self) -> None:
        """Begin at zero."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def later(self, delay: float, act: Callable[[], None]) -> None:
        """Act after a delay."""
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), act))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, act = heapq.heappop(self._events)
            act()
        self.now = end
