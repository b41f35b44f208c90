"""
bulrushhollow_daemon.pauses
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Measures for how long the process was held up, as by a freeze of its machine. What is read from a
socket after that may have waited there all the time, and nothing in it tells its age.
"""

import logging
from collections import deque
from typing import NamedTuple

import anyio

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock

CHECK_INTERVAL = Seconds(0.25)
"""Seconds between two checks."""

TIMER_TOLERANCE = Seconds(0.05)
"""Seconds by which a check may be late without a pause; timers fire late, and steps take time."""

BACKLOG_TIME = Seconds(1.0)
"""Seconds after a pause in which requests that arrived during it are still being read."""

MIN_LOGGED_PAUSE = Seconds(0.5)
"""Seconds of the shortest pause that is logged."""

MAX_PAUSES = 64
"""Pauses that are remembered; more than end within `BACKLOG_TIME`."""

logger = logging.getLogger(__name__)


class Pause(NamedTuple):
    """
    A time in which the process did nothing.

    :param ended_at: when the process was seen to run again.
    :param seconds: how long it lasted.
    """

    ended_at: Seconds
    seconds: Seconds


class PauseDetector:
    """Detects pauses by checks that come late."""

    def __init__(self) -> None:
        """Start without pauses; checks begin with :meth:`run`."""
        self._pauses: deque[Pause] = deque(maxlen=MAX_PAUSES)
        self._checked_at: Seconds | None = None

    async def run(self) -> None:
        """Check until cancelled."""
        self._checked_at = clock.now()
        while True:
            await anyio.sleep(CHECK_INTERVAL)
            self.check(clock.now())

    def check(self, now: Seconds) -> None:
        """Record the pause since the last check, if there was one."""
        seconds = self._present_pause(now)
        if seconds > 0:
            self._pauses.append(Pause(now, seconds))
        if seconds >= MIN_LOGGED_PAUSE:
            logger.warning("process_paused", extra={"seconds": round(seconds, 3)})
        self._checked_at = now

    def longest_wait(self, now: Seconds) -> Seconds:
        """Return for how long a request that is read now may have waited to be read, in seconds."""
        recent = (pause.seconds for pause in self._pauses if now - pause.ended_at < BACKLOG_TIME)
        return max(self._present_pause(now), *recent, Seconds(0.0))

    def _present_pause(self, now: Seconds) -> Seconds:
        """Return the longest time that a pause since the last check may have taken; 0 for none."""
        if self._checked_at is None:
            return Seconds(0.0)
        elapsed = Seconds(now - self._checked_at)
        return elapsed if elapsed > CHECK_INTERVAL + TIMER_TOLERANCE else Seconds(0.0)
