"""
bulrushhollow_daemon.domain._workers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a domain needs of the client that speaks to workers and to the advice service; an adapter
provides it.
"""

from typing import Protocol

from bulrushhollow_core.domain import (
    AdviceAnswered,
    AskAdvice,
    OrderStart,
    OrderStop,
    Poll,
    PollAnswered,
    StartAnswered,
    StopAnswered,
)


class WorkerClient(Protocol):
    """Carries orders to workers; each returns what is known, and never raises."""

    async def start(self, order: OrderStart) -> StartAnswered:
        """Order the start of a run."""

    async def stop(self, order: OrderStop) -> StopAnswered:
        """Order the stop of a run."""

    async def poll(self, order: Poll) -> PollAnswered:
        """Renew a lease, and ask what runs and what has ended."""

    async def advise(self, question: AskAdvice) -> AdviceAnswered:
        """Ask the advice service which workers may run a step."""

    async def close(self) -> None:
        """Close all connections."""
