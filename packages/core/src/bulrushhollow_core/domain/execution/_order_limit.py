"""
bulrushhollow_core.domain.execution._order_limit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How many orders may be in flight at once. The limit follows the time that answers take, as the
congestion window of a transport protocol does, so that orders settle before they time out, however
fast this process and the workers are.
"""

import math

from bulrushhollow_core.ids import Seconds

INITIAL_LIMIT = 4
"""Orders in flight before anything is known of the time that answers take."""

MAX_LIMIT = 64
"""Orders that may leave after one step. More would keep a leader from sending heartbeats."""

MIN_LIMIT_BY_TIMEOUTS = 2
"""Orders in flight that timeouts alone leave; slow answers lower the limit to one. With one order
in flight, nothing would tell a worker that does not answer from an overload."""

SLOW_ANSWER = Seconds(0.15)
"""Seconds from which on an answer counts as slow. The limit doubles at most in the time that an
answer takes, so answers arrive within twice as long; orders time out later than that."""


class OrderLimit:
    """
    Limits the orders in flight: it rises with quick answers and falls with slow ones.

    A slow answer, or none, counts only until an order that left later is answered quickly. If that
    happens, the worker is slow and not the way to it.
    """

    def __init__(self) -> None:
        """Start low; quick answers double the limit in the time that one answer takes."""
        self.value = INITIAL_LIMIT
        self._lowered_at = Seconds(-math.inf)
        self._quick_sent_at = Seconds(-math.inf)
        """When the latest of the orders left that were answered quickly."""

    def record_answer(self, sent_at: Seconds, is_limited: bool, now: Seconds) -> None:
        """
        Adapt the limit to the time that an answer took.

        :param sent_at: when the order left.
        :param is_limited: whether the limit has kept other orders from leaving since then. If not,
            the answer shows nothing of a higher limit.
        """
        if now - sent_at > SLOW_ANSWER:
            self._lower(max(1, self.value // 2), sent_at, now)
            return
        self._quick_sent_at = max(self._quick_sent_at, sent_at)
        if is_limited:
            self.value = min(MAX_LIMIT, self.value + 1)

    def record_timeout(self, sent_at: Seconds, now: Seconds) -> None:
        """Lower the limit far, since an order went unanswered."""
        lowered = min(INITIAL_LIMIT, self.value // 2)
        self._lower(min(self.value, max(MIN_LIMIT_BY_TIMEOUTS, lowered)), sent_at, now)

    def _lower(self, limit: int, sent_at: Seconds, now: Seconds) -> None:
        # Orders that left under an earlier limit say nothing of the present one.
        if sent_at >= self._lowered_at and sent_at >= self._quick_sent_at:
            self.value = limit
            self._lowered_at = now
