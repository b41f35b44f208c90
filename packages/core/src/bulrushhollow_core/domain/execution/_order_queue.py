"""
bulrushhollow_core.domain.execution._order_queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The orders of a leader to start and to stop runs, from the decision until they settle: those that
wait to leave and those in flight. There is one copy of each order at any time.
"""

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.execution._order_limit import OrderLimit
from bulrushhollow_core.domain.fleet import RunRef
from bulrushhollow_core.domain.model import WorkerLife
from bulrushhollow_core.ids import Seconds

REPEAT_DELAY = Seconds(0.05)
"""Seconds from the failure of an order to its first repetition; the next ones take twice as long
each."""

MAX_REPEAT_DELAY = Seconds(2.0)
"""Seconds of the longest delay of a repetition."""

MAX_ORDERS_TO_SILENT_WORKERS = 4
"""Orders in flight to workers that do not answer, one for each. They have a limit of their own, so
that they keep no other order from leaving."""


class OrderKind(Enum):
    """What an order asks for."""

    START = "start"
    STOP = "stop"


class OrderKey(NamedTuple):
    """Identifies an order: there is at most one copy of it."""

    kind: OrderKind
    life: WorkerLife
    run: RunRef


class Settlement(Enum):
    """How an order was settled."""

    ANSWERED = "answered"
    TIMED_OUT = "timed_out"
    """It left, and no answer arrived in time."""
    NOT_SENT = "not_sent"
    """It has not left this process, so nothing is known of its worker."""


class OrderLoad(NamedTuple):
    """
    What a leader has decided and not settled.

    :param waiting_by_kind: orders that wait to leave.
    :param in_flight_by_kind: orders that have left.
    :param limit: orders that may be in flight.
    :param longest_wait: seconds for which the oldest order has waited.
    """

    waiting_by_kind: dict[OrderKind, int]
    in_flight_by_kind: dict[OrderKind, int]
    limit: int
    longest_wait: Seconds


class ReadyOrder(NamedTuple):
    """An order that may leave, and how many copies of it have failed."""

    key: OrderKey
    failures: int


class _Departure(NamedTuple):
    """
    How an order in flight left.

    :param was_silent: whether its worker was silent then.
    :param failures: earlier copies of it that failed.
    """

    sent_at: Seconds
    was_silent: bool
    failures: int


class _Waiting(NamedTuple):
    """An order that waits: its rank, and how many copies of it have failed."""

    rank: int
    failures: int


class _Line:
    """Orders of equal rank. Workers take turns, and the orders of one leave as they came."""

    def __init__(self) -> None:
        self._decided_at_by_life: dict[WorkerLife, dict[OrderKey, Seconds]] = {}

    def put(self, key: OrderKey, now: Seconds) -> None:
        self._decided_at_by_life.setdefault(key.life, {})[key] = now

    def remove(self, key: OrderKey) -> None:
        orders = self._decided_at_by_life[key.life]
        del orders[key]
        if not orders:
            del self._decided_at_by_life[key.life]

    def take(self, may_send_to: Callable[[WorkerLife], bool]) -> OrderKey | None:
        """Remove and return the next order to a worker that may be sent one."""
        life = next(filter(may_send_to, self._decided_at_by_life), None)
        if life is None:
            return None
        orders = self._decided_at_by_life.pop(life)
        key = next(iter(orders))
        del orders[key]
        if orders:
            self._decided_at_by_life[life] = orders
        return key

    def oldest(self, now: Seconds) -> Seconds:
        """Return when its oldest order was decided; now if it is empty."""
        firsts = (next(iter(orders.values())) for orders in self._decided_at_by_life.values())
        return min(firsts, default=now)


class OrderQueue:
    """
    The one owner of what a leader has decided to order and of what is in flight.

    Usage::

        >>> queue.put(key, rank, now)
        >>> while (order := queue.take(is_silent, now)) is not None:
        ...     queue.record_sent(order, is_silent(order.key.life), now)
        >>> failures = queue.settle(key, Settlement.TIMED_OUT, now)
        >>> queue.put(key, rank, now, failures)

    Stops and starts leave in turn: stops make room for starts, but those of a large job that was
    cancelled must not delay all other work.

    :param max_per_worker: most orders in flight to one worker.
    """

    def __init__(self, max_per_worker: int) -> None:
        """Start without any order."""
        self._max_per_worker = max_per_worker
        self._limit = OrderLimit()
        self._lines: dict[OrderKind, dict[int, _Line]] = {kind: {} for kind in OrderKind}
        self._waiting_by_key: dict[OrderKey, _Waiting] = {}
        self._due_by_key: dict[OrderKey, Seconds] = {}
        """When repetitions that are delayed may leave; they stand in no line until then."""
        self._next_due = Seconds(math.inf)
        """When the first of them may leave, or earlier."""
        self._departures_by_key: dict[OrderKey, _Departure] = {}
        self._in_flight_by_life: Counter[WorkerLife] = Counter()
        self._limited_at = Seconds(-math.inf)
        """When an order last waited because of the limit."""
        self._silent_count = 0
        """Orders in flight whose workers were silent when they left."""
        self._next_kind = OrderKind.STOP

    @property
    def limit(self) -> int:
        """Return how many orders may be in flight at present."""
        return self._limit.value

    def is_waiting(self, key: OrderKey) -> bool:
        """Return whether an order waits to leave."""
        return key in self._waiting_by_key

    def is_in_flight(self, key: OrderKey) -> bool:
        """Return whether an order has left and is not settled."""
        return key in self._departures_by_key

    def put(self, key: OrderKey, rank: int, now: Seconds, failures: int = 0) -> bool:
        """
        Add an order, unless it waits already or is in flight.

        :param rank: orders of one kind with a lower rank leave first.
        :param failures: copies of it that have failed, which delay it.
        :return: whether it was added.
        """
        if key in self._waiting_by_key or key in self._departures_by_key:
            return False
        self._waiting_by_key[key] = _Waiting(rank, failures)
        if failures == 0:
            self._line_up(key, rank, now)
            return True
        delay = min(MAX_REPEAT_DELAY, REPEAT_DELAY * 2 ** (failures - 1))
        self._due_by_key[key] = Seconds(now + delay)
        self._next_due = min(self._next_due, Seconds(now + delay))
        return True

    def withdraw(self, key: OrderKey) -> bool:
        """
        Remove an order that waits.

        :return: whether it did.
        """
        waiting = self._waiting_by_key.pop(key, None)
        if waiting is None:
            return False
        if self._due_by_key.pop(key, None) is None:
            self._lines[key.kind][waiting.rank].remove(key)
        return True

    def hasten(self, life: WorkerLife, now: Seconds) -> None:
        """End the delays of the orders to a worker that answers again."""
        for key in [key for key in self._due_by_key if key.life == life]:
            self._due_by_key[key] = now
            self._next_due = min(self._next_due, now)

    def take(self, is_silent: Callable[[WorkerLife], bool], now: Seconds) -> ReadyOrder | None:
        """
        Remove and return the next order that may leave, or None. The caller either sends it, and
        calls :meth:`record_sent`, or drops it.

        :param is_silent: whether a worker does not answer.
        """
        self._line_up_due(now)
        order = None
        if len(self._departures_by_key) - self._silent_count < self._limit.value:
            order = self._take(
                lambda life: (
                    self._in_flight_by_life[life] < self._max_per_worker and not is_silent(life)
                )
            )
        elif self._waiting_by_key:
            self._limited_at = now
        if order is None and self._silent_count < MAX_ORDERS_TO_SILENT_WORKERS:
            order = self._take(lambda life: not self._in_flight_by_life[life] and is_silent(life))
        return order

    def _line_up(self, key: OrderKey, rank: int, now: Seconds) -> None:
        lines = self._lines[key.kind]
        if rank not in lines:
            lines[rank] = _Line()
            self._lines[key.kind] = dict(sorted(lines.items()))
        self._lines[key.kind][rank].put(key, now)

    def _line_up_due(self, now: Seconds) -> None:
        if now < self._next_due:
            return
        for key in [key for key, due in self._due_by_key.items() if now >= due]:
            del self._due_by_key[key]
            self._line_up(key, self._waiting_by_key[key].rank, now)
        self._next_due = min(self._due_by_key.values(), default=Seconds(math.inf))

    def _take(self, may_send_to: Callable[[WorkerLife], bool]) -> ReadyOrder | None:
        kinds = sorted(OrderKind, key=lambda kind: kind is not self._next_kind)
        for kind in kinds:
            for line in self._lines[kind].values():
                key = line.take(may_send_to)
                if key is not None:
                    self._next_kind = next(other for other in kinds if other is not kind)
                    return ReadyOrder(key, self._waiting_by_key.pop(key).failures)
        return None

    def record_sent(self, order: ReadyOrder, is_silent: bool, now: Seconds) -> None:
        """
        Record that an order has left.

        :param is_silent: whether its worker does not answer.
        """
        self._silent_count += is_silent
        self._departures_by_key[order.key] = _Departure(now, is_silent, order.failures)
        self._in_flight_by_life[order.key.life] += 1

    def settle(self, key: OrderKey, settlement: Settlement, now: Seconds) -> int:
        """
        Record that an order in flight was answered or given up.

        :return: the copies of it that have failed if this one has, which :meth:`put` takes.
        """
        departure = self._departures_by_key.pop(key, None)
        if departure is None:
            return 1
        self._silent_count -= departure.was_silent
        self._in_flight_by_life[key.life] -= 1
        if not self._in_flight_by_life[key.life]:
            del self._in_flight_by_life[key.life]
        if settlement is Settlement.NOT_SENT:
            return departure.failures
        if settlement is Settlement.ANSWERED:
            is_limited = self._limited_at >= departure.sent_at
            self._limit.record_answer(departure.sent_at, is_limited, now)
        elif not departure.was_silent:
            self._limit.record_timeout(departure.sent_at, now)
        return departure.failures + 1

    def load(self, now: Seconds) -> OrderLoad:
        """Return what waits and what is in flight."""
        waiting = Counter(key.kind for key in self._waiting_by_key)
        in_flight = Counter(key.kind for key in self._departures_by_key)
        lines = (line for lines in self._lines.values() for line in lines.values())
        oldest = min((line.oldest(now) for line in lines), default=now)
        return OrderLoad(
            {kind: waiting[kind] for kind in OrderKind},
            {kind: in_flight[kind] for kind in OrderKind},
            self._limit.value,
            Seconds(now - oldest),
        )
