"""
standins.advice
~~~~~~~~~~~~~~~

A stand-in for the users' advice service, by its published protocol: it takes one question at a
time for each caller, answers slowly, refuses when too many wait, and gives tickets that expire.
"""

import asyncio
import hashlib
import random
from typing import Any

import msgspec

from bulrushhollow_daemon.http_messages import Receive, Request, Response, Scope, Send

WAITING_LIMIT = 32
"""Questions that may wait; further ones are refused."""


class Question(msgspec.Struct, frozen=True):
    """What it is asked."""

    step: str
    workers: tuple[str, ...]


class AdviceService:
    """
    An application that answers questions.

    :param share: part of the workers that may run a step.
    :param decision: seconds that a question takes.
    :param period: seconds more for each worker that it names.
    :param valid: seconds for which tickets are valid.
    """

    def __init__(
        self, share: float = 0.5, decision: float = 0.05, period: float = 0.002, valid: float = 3.0
    ) -> None:
        """Begin with nothing asked."""
        self._share = share
        self._decision = decision
        self._period = period
        self._valid = valid
        self._turn = asyncio.Lock()
        self.waiting = 0
        self.questions: list[Question] = []
        self.given: set[tuple[str, str, str]] = set()
        """Step, worker and ticket of every ticket."""

    def may_run(self, step: str, worker: str) -> bool:
        """Return whether a worker may run a step, which never changes."""
        seed = hashlib.sha256(f"{step} {worker}".encode()).digest()
        return random.Random(seed).random() < self._share

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        request = Request(scope, receive)
        body = await request.body(1_000_000, 3.0)
        if request.path != "/advise" or not isinstance(body, bytes):
            await Response(404, b"{}").send(send)
            return
        if self.waiting >= WAITING_LIMIT:
            await Response(429, b"{}").send(send)
            return
        self.waiting += 1
        try:
            async with self._turn:
                said = await self._answer(msgspec.json.decode(body, type=Question))
        finally:
            self.waiting -= 1
        await Response(200, msgspec.json.encode(said)).send(send)

    async def _answer(self, question: Question) -> dict[str, Any]:
        self.questions.append(question)
        await asyncio.sleep(self._decision + self._period * len(question.workers))
        rows = [
            (worker, f"t{len(self.given)}-{number}")
            for number, worker in enumerate(question.workers)
            if self.may_run(question.step, worker)
        ]
        self.given |= {(question.step, worker, ticket) for worker, ticket in rows}
        return {"allowed": rows, "valid-ms": int(1000 * self._valid)}
