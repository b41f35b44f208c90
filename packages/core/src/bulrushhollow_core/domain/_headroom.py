"""
bulrushhollow_core.domain._headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How much room less urgent work leaves free, so that urgent work that comes next need not wait until
something is stopped for it.
"""

from collections import deque
from typing import NamedTuple

from bulrushhollow_core.ids import JobId, Seconds

MEMORY = Seconds(10.0)
"""Seconds of arrivals that the headroom is judged by; longer than a burst takes to build up."""

REPLACEMENT = Seconds(0.2)
"""Seconds beyond a stop until its room is taken again: the end is listed, recorded, planned for."""


class Arrival(NamedTuple):
    """An urgent job, when it was first seen, and the accelerators that it takes."""

    at: Seconds
    accelerators: int


class Headroom:
    """
    The most urgent work that came lately within the time that it takes to make room.

    :param stop_timeout: seconds that a stop takes at the most.
    """

    def __init__(self, stop_timeout: Seconds) -> None:
        """Begin without arrivals."""
        self._window = Seconds(stop_timeout + REPLACEMENT)
        self._arrivals: deque[Arrival] = deque()
        self._seen: set[JobId] = set()

    def record_arrival(self, job: JobId, accelerators: int, now: Seconds) -> None:
        """Take in that an urgent job waits; each counts once."""
        if job not in self._seen:
            self._seen.add(job)
            self._arrivals.append(Arrival(now, accelerators))

    def forget_job(self, job: JobId) -> None:
        """Forget a job that is over."""
        self._seen.discard(job)

    def required_accelerators(self, now: Seconds) -> int:
        """Return the accelerators to leave free."""
        while self._arrivals and now - self._arrivals[0].at > MEMORY:
            self._arrivals.popleft()
        most = total = 0
        window: deque[Arrival] = deque()
        for arrival in self._arrivals:
            window.append(arrival)
            total += arrival.accelerators
            while arrival.at - window[0].at > self._window:
                total -= window.popleft().accelerators
            most = max(most, total)
        return most
