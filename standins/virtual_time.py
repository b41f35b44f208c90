"""
standins.virtual_time
~~~~~~~~~~~~~~~~~~~~~

A discrete-event clock: its time jumps from one scheduled callback to the next.
"""

import heapq
import itertools
from collections.abc import Callable


class VirtualTime:
    """A clock with scheduled callbacks; those due at the same time run in scheduling order."""

    def __init__(self) -> None:
        """Start at time 0 with nothing scheduled."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedule a callback, the delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._sequence_numbers), callback))

    def run(self, seconds: float) -> None:
        """Advance the time and run every callback that becomes due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end
