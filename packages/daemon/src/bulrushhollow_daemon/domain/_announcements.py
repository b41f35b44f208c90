"""
bulrushhollow_daemon.domain._announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the announcements of workers on to the leader, in batches if it hears many workers.
"""

from collections.abc import Awaitable, Callable

import anyio

from bulrushhollow_core.domain import (
    Announce,
    AnnounceBatch,
    Answer,
    Availability,
    Call,
    Done,
    OutcomeUnknown,
    WorkerNews,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.waiters import Waiter

BATCH_INTERVAL = Seconds(0.05)
"""Seconds for which announcements are collected; a small part of their interval."""


class AnnouncementForwarder:
    """
    Passes announcements on.

    :param ask: sends a call to the leader by a deadline, and returns the answer.
    """

    def __init__(self, ask: Callable[[Call, Seconds], Awaitable[Answer]]) -> None:
        """Start without batches, which only a leader that names relays understands."""
        self._ask = ask
        self._may_batch = False
        self._pending: list[tuple[WorkerNews, Waiter[Answer]]] = []

    async def forward(self, announcement: WorkerNews, deadline: Seconds) -> Answer:
        """Return the leader's answer to an announcement."""
        if not self._may_batch or announcement.availability is Availability.DRAINING:
            answer = await self._ask(Announce(announcement), deadline)
            self._may_batch = isinstance(answer, Done) and bool(answer.relays)
            return answer
        waiter: Waiter[Answer] = Waiter()
        self._pending.append((announcement, waiter))
        if len(self._pending) == 1:
            # The first announcement of a batch sends it; the others must not lose theirs with it.
            with anyio.CancelScope(shield=True):
                await anyio.sleep(BATCH_INTERVAL)
                await self._send_batch(deadline)
        return await waiter.wait()

    async def _send_batch(self, deadline: Seconds) -> None:
        batch, self._pending = self._pending, []
        call = AnnounceBatch(tuple(announcement for announcement, _ in batch))
        answer: Answer = OutcomeUnknown()
        try:
            answer = await self._ask(call, deadline)
        finally:
            self._may_batch = isinstance(answer, Done) and bool(answer.relays)
            for _, waiter in batch:
                waiter.set_result(answer)
