"""
bulrushhollow_core.domain.queueing._headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Headroom for urgent work: how many accelerators less urgent work leaves free, so that the next
urgent jobs start without waiting for an eviction.
"""

from collections import deque
from typing import NamedTuple

from bulrushhollow_core.ids import JobId, Seconds

HISTORY_LENGTH = Seconds(10.0)
"""Seconds of arrivals that set the headroom; longer than a burst takes to build up."""

REUSE_DELAY = Seconds(0.2)
"""Seconds from the end of a stopped run until its resources are used again: the worker lists the
end, the log records it, and a plan uses the resources."""


class Arrival(NamedTuple):
    """An urgent job: when it was first seen waiting, and the accelerators that it takes."""

    at: Seconds
    accelerators: int


class Headroom:
    """
    Tracks arrivals of urgent jobs. The headroom is the largest demand that recently arrived within
    the time that an eviction takes.

    :param stop_timeout: maximum seconds that a stop takes.
    """

    def __init__(self, stop_timeout: Seconds) -> None:
        """Start without arrivals."""
        self._window = Seconds(stop_timeout + REUSE_DELAY)
        self._arrivals: deque[Arrival] = deque()
        self._seen_jobs: set[JobId] = set()

    def record_arrival(self, job: JobId, accelerators: int, now: Seconds) -> None:
        """Record that an urgent job waits; each job counts once."""
        if job not in self._seen_jobs:
            self._seen_jobs.add(job)
            self._arrivals.append(Arrival(now, accelerators))

    def forget_job(self, job: JobId) -> None:
        """Drop a job that has ended."""
        self._seen_jobs.discard(job)

    def required_accelerators(self, now: Seconds) -> int:
        """Return how many accelerators to leave free."""
        while self._arrivals and now - self._arrivals[0].at > HISTORY_LENGTH:
            self._arrivals.popleft()
        largest = total = 0
        window: deque[Arrival] = deque()
        for arrival in self._arrivals:
            window.append(arrival)
            total += arrival.accelerators
            while arrival.at - window[0].at > self._window:
                total -= window.popleft().accelerators
            largest = max(largest, total)
        return largest
