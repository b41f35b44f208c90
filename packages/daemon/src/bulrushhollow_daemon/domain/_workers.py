"""
bulrushhollow_daemon.domain._workers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The interface of the client that a domain uses to call workers and the advice service; an adapter
implements it.
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
    """
    Carries orders to workers and questions to the advice service. Its methods never raise an
    error; an answer says what is known when the call failed.
    """

    @property
    def waiting_count(self) -> int:
        """Return the number of calls that wait for a connection in this process."""

    async def start(self, order: OrderStart) -> StartAnswered:
        """Order the start of a run."""

    async def stop(self, order: OrderStop) -> StopAnswered:
        """Order the stop of a run."""

    async def poll(self, order: Poll) -> PollAnswered:
        """Renew a worker's lease, and ask which runs it has and which have ended."""

    async def advise(self, question: AskAdvice) -> AdviceAnswered:
        """Ask the advice service which of the workers may run a step."""

    async def close(self) -> None:
        """Close all connections."""
