"""
bulrushhollow_core.domain.execution._advice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Caches the answers of the advice service, which decides which workers may run the steps of some
queues. The service is slow and answers one question at a time, so steps are asked for in advance,
with few workers per question. Whether a worker may run a step never changes, so the answers are
kept; only the ticket that proves a permission expires.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.model import AdviceAnswered, AskAdvice, StepRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds

MAX_WORKERS_PER_QUESTION = 30
"""Workers named in one question; the platform allows a step the time of one such question."""

MIN_TICKET_VALIDITY = Seconds(0.3)
"""Seconds for which a ticket must still be valid to be used: the time of a commit and the delivery
of the order to the worker."""

RETRY_DELAY = Seconds(0.3)
"""Seconds between an unanswered question and the next one; the service was busy or unreachable."""


class Ticket(NamedTuple):
    """
    Proof that a worker may run a step.

    :param expires_at: time at which the ticket becomes invalid.
    """

    text: str
    expires_at: Seconds


class AdviceCache:
    """Holds the answers of the advice service, and selects the next question to it."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._tickets_by_step: dict[StepRef, dict[WorkerLife, Ticket]] = {}
        self._denied_workers_by_step: dict[StepRef, set[WorkerLife]] = {}
        self._requested_workers_by_step: dict[StepRef, list[WorkerLife]] = {}
        self._has_open_question = False
        self._next_question_at = Seconds(0.0)

    def allowed_workers(self, step: StepRef, now: Seconds) -> frozenset[WorkerLife]:
        """Return the workers with a usable ticket for a step."""
        tickets = self._tickets_by_step.get(step, {})
        return frozenset(life for life, ticket in tickets.items() if _is_usable(ticket, now))

    def is_denied(self, step: StepRef, life: WorkerLife) -> bool:
        """Return whether a worker is known not to be allowed to run a step."""
        return life in self._denied_workers_by_step.get(step, ())

    def ticket_for(self, step: StepRef, life: WorkerLife) -> str:
        """Return the ticket with which to start a step on a worker; empty for none."""
        ticket = self._tickets_by_step.get(step, {}).get(life)
        return ticket.text if ticket else ""

    def clear_requests(self) -> None:
        """Remove all requests; each planning pass requests the waiting steps anew, in its order."""
        self._requested_workers_by_step.clear()

    def request(self, step: StepRef, candidates: Sequence[WorkerLife], now: Seconds) -> None:
        """
        Request advice for a waiting step.

        :param candidates: workers with enough free resources, the best first.
        """
        tickets = self._tickets_by_step.get(step, {})
        denied = self._denied_workers_by_step.get(step, set())
        expired = [
            life for life in candidates if life in tickets and not _is_usable(tickets[life], now)
        ]
        unknown = [life for life in candidates if life not in tickets and life not in denied]
        selected = (expired or unknown)[:MAX_WORKERS_PER_QUESTION]
        if selected:
            self._requested_workers_by_step[step] = selected

    def next_question(self, now: Seconds) -> AskAdvice | None:
        """Return the next question, or None; at most one question is open at a time."""
        if (
            self._has_open_question
            or not self._requested_workers_by_step
            or now < self._next_question_at
        ):
            return None
        step, workers = next(iter(self._requested_workers_by_step.items()))
        del self._requested_workers_by_step[step]
        self._has_open_question = True
        return AskAdvice(step, tuple(workers))

    def handle_answer(self, answer: AdviceAnswered, now: Seconds) -> None:
        """Record the answer to the open question, or that it was not answered."""
        self._has_open_question = False
        if answer.tickets is None:
            self._next_question_at = Seconds(now + RETRY_DELAY)
            return
        tickets = self._tickets_by_step.setdefault(answer.step, {})
        denied = self._denied_workers_by_step.setdefault(answer.step, set())
        text_by_id = {issued.worker: issued.text for issued in answer.tickets}
        expires_at = Seconds(now + answer.valid_for)
        for life in answer.workers:
            if life.id in text_by_id:
                tickets[life] = Ticket(text_by_id[life.id], expires_at)
            else:
                denied.add(life)

    def invalidate_ticket(self, step: StepRef, life: WorkerLife) -> None:
        """Invalidate a ticket that a worker refused, so that it is requested again."""
        tickets = self._tickets_by_step.get(step, {})
        if life in tickets:
            tickets[life] = Ticket("", Seconds(0.0))

    def forget_job(self, job: JobId) -> None:
        """Remove the steps of a job that has ended."""
        for step in [step for step in self._tickets_by_step if step.job == job]:
            del self._tickets_by_step[step]
        for step in [step for step in self._denied_workers_by_step if step.job == job]:
            del self._denied_workers_by_step[step]


def _is_usable(ticket: Ticket, now: Seconds) -> bool:
    return ticket.expires_at > now + MIN_TICKET_VALIDITY
