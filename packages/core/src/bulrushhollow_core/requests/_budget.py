"""
bulrushhollow_core.requests._budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Retry budget and backoff. The budget limits retries to a fraction of the first attempts, which
prevents retry storms.
"""

import random

from bulrushhollow_core.ids import Seconds

RETRIES_PER_REQUEST = 0.1
"""Retries that each first attempt adds to the budget."""

MAX_SAVED_RETRIES = 10.0
"""Maximum retries in the budget."""

BASE_BACKOFF = Seconds(0.02)
"""Seconds before the first retry, without jitter; doubles with each further retry."""

MAX_BACKOFF = Seconds(1.0)
"""Maximum seconds before a retry, without jitter."""


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self) -> None:
        self._saved_retries = MAX_SAVED_RETRIES

    def deposit(self) -> None:
        """Add :data:`RETRIES_PER_REQUEST` to the budget for a first attempt."""
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """
        Take one retry from the budget.

        :return: False if the budget holds less than one retry.
        """
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True


def backoff(retries: int, rng: random.Random) -> Seconds:
    """
    Return the time to wait before a retry: exponential backoff with random jitter.

    :param retries: number of retries made before.
    """
    base = min(MAX_BACKOFF, BASE_BACKOFF * 2.0**retries)
    return Seconds(base * rng.uniform(0.5, 1.5))
