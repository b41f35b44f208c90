"""
standins.advice
~~~~~~~~~~~~~~~

A stand-in for the users' advice service, by its published protocol: it answers one question at a
time, answers slowly, refuses questions when too many wait, and issues tickets that expire.
"""

import asyncio
import hashlib
import random
from typing import Any

import msgspec

from bulrushhollow_daemon.http_messages import Receive, Request, Response, Scope, Send

WAITING_LIMIT = 32
"""Questions that may wait for an answer; further ones are refused with status 429."""


class Question(msgspec.Struct, frozen=True):
    """A question: which of the workers may run the step."""

    step: str
    workers: tuple[str, ...]


class AdviceService:
    """
    An ASGI application that answers questions.

    :param share: share of the workers that may run a step.
    :param decision: seconds that the answer to a question takes.
    :param period: further seconds for each worker in the question.
    :param valid: seconds for which a ticket is valid.
    """

    def __init__(
        self, share: float = 0.5, decision: float = 0.05, period: float = 0.002, valid: float = 3.0
    ) -> None:
        """Start without questions."""
        self._share = share
        self._decision = decision
        self._period = period
        self._valid = valid
        self._lock = asyncio.Lock()
        self.waiting_count = 0
        self.questions: list[Question] = []
        self.issued_tickets: set[tuple[str, str, str]] = set()
        """Step, worker and ticket id of every ticket issued."""

    def may_run(self, step: str, worker: str) -> bool:
        """Return whether a worker may run a step; the answer is the same each time."""
        seed = hashlib.sha256(f"{step} {worker}".encode()).digest()
        return random.Random(seed).random() < self._share

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request = Request(scope, receive)
        body = await request.body(1_000_000, 3.0)
        if request.path != "/advise" or not isinstance(body, bytes):
            await Response(404, b"{}").send(send)
            return
        if self.waiting_count >= WAITING_LIMIT:
            await Response(429, b"{}").send(send)
            return
        self.waiting_count += 1
        try:
            async with self._lock:
                answer = await self._answer(msgspec.json.decode(body, type=Question))
        finally:
            self.waiting_count -= 1
        await Response(200, msgspec.json.encode(answer)).send(send)

    async def _answer(self, question: Question) -> dict[str, Any]:
        self.questions.append(question)
        await asyncio.sleep(self._decision + self._period * len(question.workers))
        allowed = [
            (worker, f"t{len(self.issued_tickets)}-{number}")
            for number, worker in enumerate(question.workers)
            if self.may_run(question.step, worker)
        ]
        self.issued_tickets |= {(question.step, worker, ticket) for worker, ticket in allowed}
        return {"allowed": allowed, "valid-ms": int(1000 * self._valid)}
