"""
bulrushhollow_core.requests._budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A bound on retries relative to first attempts, so that retries can't become a storm, and the times
between them.
"""

import random

from bulrushhollow_core.ids import Seconds

RETRIES_PER_REQUEST = 0.1
"""Retries that each first attempt earns."""

MAX_SAVED_RETRIES = 10.0
"""Retries that can be saved up."""

BASE_BACKOFF = Seconds(0.02)
"""Seconds before a first retry, before jitter; each further one waits twice as long."""

MAX_BACKOFF = Seconds(1.0)
"""Seconds before any retry at most, before jitter."""


class RetryBudget:
    """Counts first attempts against retries."""

    def __init__(self) -> None:
        self._saved_retries = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Take in a first attempt."""
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """
        Take one retry.

        :return: False if there is none left.
        """
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True


def backoff(retries: int, rng: random.Random) -> Seconds:
    """
    Return the time to wait before a retry, with full jitter.

    :param retries: retries made before.
    """
    ceiling = min(MAX_BACKOFF, BASE_BACKOFF * 2.0**retries)
    return Seconds(ceiling * rng.uniform(0.5, 1.5))
