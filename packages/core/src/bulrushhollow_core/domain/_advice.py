"""
bulrushhollow_core.domain._advice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which workers may run the steps of queues whose policy only an advice service knows. It answers
slowly and one question at a time, so it is asked early, for few workers at a time, and its answers
are kept: whether a worker may run a step never changes, only the ticket that proves it expires.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bulrushhollow_core.domain._jobs import StepRef, WorkerLife
from bulrushhollow_core.domain._orders import AdviceAnswered, AskAdvice
from bulrushhollow_core.ids import JobId, Seconds

MAX_WORKERS_PER_QUESTION = 30
"""Workers that one question names; the platform allows a step the time of one such question."""

MIN_TICKET_VALIDITY = Seconds(0.3)
"""Seconds that a ticket must still be valid to be used; a commit and the way to the worker."""

RETRY_DELAY = Seconds(0.3)
"""Seconds after a question without an answer until the next one; the service was busy or away."""


class Ticket(NamedTuple):
    """Proof that a worker may run a step, and until when it is valid."""

    text: str
    until: Seconds


class AdviceCache:
    """What the advice service has said, and what to ask it next."""

    def __init__(self) -> None:
        """Begin without any answer."""
        self._tickets_by_step: dict[StepRef, dict[WorkerLife, Ticket]] = {}
        self._barred_by_step: dict[StepRef, set[WorkerLife]] = {}
        self._wanted: dict[StepRef, list[WorkerLife]] = {}
        self._is_asking = False
        self._ask_at = Seconds(0.0)

    def allowed_workers(self, step: StepRef, now: Seconds) -> frozenset[WorkerLife]:
        """Return the workers with a ticket for a step that can still be used."""
        tickets = self._tickets_by_step.get(step, {})
        return frozenset(life for life, ticket in tickets.items() if _is_usable(ticket, now))

    def ticket_for(self, step: StepRef, life: WorkerLife) -> str:
        """Return the ticket to start a step on a worker; empty for none."""
        ticket = self._tickets_by_step.get(step, {}).get(life)
        return ticket.text if ticket else ""

    def clear_requests(self) -> None:
        """Forget what was wanted: the next plan says anew what waits, and in which order."""
        self._wanted.clear()

    def request(self, step: StepRef, candidates: Sequence[WorkerLife], now: Seconds) -> None:
        """
        Note that a step waits for advice.

        :param candidates: workers that have room for it, the best first.
        """
        tickets = self._tickets_by_step.get(step, {})
        barred = self._barred_by_step.get(step, set())
        expired = [c for c in candidates if c in tickets and not _is_usable(tickets[c], now)]
        unknown = [c for c in candidates if c not in tickets and c not in barred]
        asked = (expired or unknown)[:MAX_WORKERS_PER_QUESTION]
        if asked:
            self._wanted[step] = asked

    def next_question(self, now: Seconds) -> AskAdvice | None:
        """Return what to ask now, if anything; one question is open at a time."""
        if self._is_asking or not self._wanted or now < self._ask_at:
            return None
        step, workers = next(iter(self._wanted.items()))
        del self._wanted[step]
        self._is_asking = True
        return AskAdvice(step, tuple(workers))

    def handle_answer(self, answer: AdviceAnswered, now: Seconds) -> None:
        """Take in an answer, or that there was none."""
        self._is_asking = False
        if answer.tickets is None:
            self._ask_at = Seconds(now + RETRY_DELAY)
            return
        tickets = self._tickets_by_step.setdefault(answer.step, {})
        barred = self._barred_by_step.setdefault(answer.step, set())
        text_by_id = {given.worker: given.text for given in answer.tickets}
        until = Seconds(now + answer.valid_for)
        for life in answer.workers:
            if life.id in text_by_id:
                tickets[life] = Ticket(text_by_id[life.id], until)
            else:
                barred.add(life)

    def invalidate_ticket(self, step: StepRef, life: WorkerLife) -> None:
        """Take in that a worker refused its ticket; it has to be asked for again."""
        tickets = self._tickets_by_step.get(step, {})
        if life in tickets:
            tickets[life] = Ticket("", Seconds(0.0))

    def forget_job(self, job: JobId) -> None:
        """Forget a job that is over."""
        for step in [step for step in self._tickets_by_step if step.job == job]:
            del self._tickets_by_step[step]
        for step in [step for step in self._barred_by_step if step.job == job]:
            del self._barred_by_step[step]


def _is_usable(ticket: Ticket, now: Seconds) -> bool:
    return ticket.until > now + MIN_TICKET_VALIDITY
