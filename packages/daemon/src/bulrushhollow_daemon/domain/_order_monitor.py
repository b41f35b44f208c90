"""
bulrushhollow_daemon.domain._order_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a leader has in flight to workers, for its metrics and its log. Whether workers are slow or
this process is shows in the difference between the orders that wait and those that are in flight.
"""

import logging
from collections import Counter

from bulrushhollow_core.domain import OrderLoad
from bulrushhollow_core.ids import Seconds

LOG_INTERVAL = Seconds(1.0)
"""Seconds between two log lines about the orders that wait or are in flight."""

MIN_LOGGED_ORDERS = 64
"""Orders, waiting or in flight, below which nothing is logged."""

logger = logging.getLogger("bulrushhollow.domain")


class OrderMonitor:
    """The orders in flight, by kind."""

    def __init__(self) -> None:
        """Start without any order."""
        self.in_flight_by_kind: Counter[str] = Counter()
        self._unanswered_by_kind: Counter[str] = Counter()
        """Orders that were given up since the last log line."""
        self._log_due = Seconds(0.0)

    def record_sent(self, kind: str) -> None:
        """Record that an order was handed to the client of its worker."""
        self.in_flight_by_kind[kind] += 1

    def record_settled(self, kind: str, has_answer: bool) -> None:
        """Record that an order was answered or given up."""
        self.in_flight_by_kind[kind] -= 1
        if not has_answer:
            self._unanswered_by_kind[kind] += 1

    def is_log_due(self, now: Seconds) -> bool:
        """Return whether the last line was some time ago."""
        return now >= self._log_due

    def log(self, decided: OrderLoad, awaiting_connection: int, now: Seconds) -> None:
        """
        Log the load if it is high.

        :param decided: what the node has decided and not settled.
        :param awaiting_connection: orders in flight that wait for a connection in this process.
        """
        waiting = sum(decided.waiting_by_kind.values())
        in_flight = {kind: count for kind, count in self.in_flight_by_kind.items() if count}
        self._log_due = Seconds(now + LOG_INTERVAL)
        if waiting + sum(in_flight.values()) < MIN_LOGGED_ORDERS:
            return
        logger.info(
            "orders_pending",
            extra={
                "waiting": {kind.value: count for kind, count in decided.waiting_by_kind.items()},
                "longest_wait": round(decided.longest_wait, 3),
                "limit": decided.limit,
                "in_flight": in_flight,
                "awaiting_connection": awaiting_connection,
                "unanswered": dict(self._unanswered_by_kind),
            },
        )
        self._unanswered_by_kind.clear()
