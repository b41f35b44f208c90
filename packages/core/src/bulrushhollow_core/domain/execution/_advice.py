"""
bulrushhollow_core.domain.execution._advice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Caches the answers of the advice service, which decides which workers may run the steps of some
queues. The service is slow and answers one question at a time, so steps are asked for in advance,
with few workers per question. Whether a worker may run a step never changes, so the answers are
kept; only the ticket that proves a permission expires.

Steps that an answer may start come first, those that were never asked about before the others. No
step keeps the service to itself: every second repeated question goes to the step whose last one is
the longest ago. Tickets are renewed only for steps that may start or reserve room with them.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence, Set
from typing import NamedTuple, TypeVar

from bulrushhollow_core.domain.model import AdviceAnswered, AskAdvice, StepRef, WorkerLife
from bulrushhollow_core.ids import JobId, Seconds

Data = TypeVar("Data")

MAX_WORKERS_PER_QUESTION = 30
"""Workers named in one question; the platform allows a step the time of one such question."""

MIN_TICKET_VALIDITY = Seconds(0.3)
"""Seconds for which a ticket must still be valid to be used: the time of a commit and the delivery
of the order to the worker."""

RETRY_DELAY = Seconds(0.3)
"""Seconds between an unanswered question and the next one; the service was busy or unreachable."""

MIN_PATIENCE = Seconds(1.0)
"""Seconds after which an answer counts as lost, unless the service is known to be slower. Work that
waits for advice must start within 3 s, also if one answer is lost."""

PATIENCE_FACTOR = 3.0
"""Time for an answer beyond which it counts as lost, as a multiple of that of the last one."""

MAX_PATIENCE = Seconds(10.0)
"""Longest time for an answer."""

NEVER_ASKED = Seconds(-math.inf)
"""Time of the last question about a step that was never asked about."""


class Ticket(NamedTuple):
    """
    Proof that a worker may run a step.

    :param expires_at: time at which the ticket becomes invalid.
    """

    text: str
    expires_at: Seconds


class Candidate(NamedTuple):
    """
    A worker with room for tasks of a step.

    :param slots: number of tasks that have room there now; 1 until it is known to be permitted.
    :param rack: its rack if the step asks for one rack; empty otherwise.
    """

    life: WorkerLife
    slots: int
    rack: str = ""


class AdviceRequest(NamedTuple):
    """
    A step that waits for advice.

    :param candidates: workers with room that are not known to be denied, the best first.
    :param task_count: number of waiting tasks.
    :param is_gang: whether the tasks start only together.
    :param is_startable: whether tasks may start at once if enough candidates are permitted.
    :param may_evict: whether runs may be evicted for it, so that it may start without room.
    :param may_reserve: whether it may reserve room on workers with a ticket until it has enough.
    """

    candidates: Sequence[Candidate]
    task_count: int
    is_gang: bool
    is_startable: bool
    may_evict: bool = False
    may_reserve: bool = False

    def has_room_on(self, candidates: Iterable[Candidate]) -> bool:
        """Return whether all tasks have room on some candidates, if asked for in one rack."""
        slots_by_rack: Counter[str] = Counter()
        for candidate in candidates:
            slots_by_rack[candidate.rack] += candidate.slots
        return any(slots >= self.task_count for slots in slots_by_rack.values())


class AdviceCache:
    """Holds the answers of the advice service, and selects the next question to it."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._tickets_by_step: dict[StepRef, dict[WorkerLife, Ticket]] = {}
        self._denied_workers_by_step: dict[StepRef, set[WorkerLife]] = {}
        self._requests_by_step: dict[StepRef, AdviceRequest] = {}
        """Requests since the last plan, in its order."""
        self._asked_at_by_step: dict[StepRef, Seconds] = {}
        self._serves_oldest_next = False
        """Whether the next repeated question goes to the step whose last one is longest ago."""
        self._open_question: AskAdvice | None = None
        self._opened_at = Seconds(0.0)
        self._patience = MIN_PATIENCE
        self._next_question_at = Seconds(0.0)

    def allowed_workers(self, step: StepRef, now: Seconds) -> frozenset[WorkerLife]:
        """Return the workers with a usable ticket for a step."""
        tickets = self._tickets_by_step.get(step, {})
        return frozenset(life for life, ticket in tickets.items() if _is_usable(ticket, now))

    def is_denied(self, step: StepRef, life: WorkerLife) -> bool:
        """Return whether a worker is known not to be allowed to run a step."""
        return life in self.denied_workers(step)

    def denied_workers(self, step: StepRef) -> Set[WorkerLife]:
        """Return the workers that are known not to be allowed to run a step."""
        return self._denied_workers_by_step.get(step, frozenset())

    def ticket_for(self, step: StepRef, life: WorkerLife) -> str:
        """Return the ticket with which to start a step on a worker; empty for none."""
        ticket = self._tickets_by_step.get(step, {}).get(life)
        return ticket.text if ticket else ""

    def permitted_workers(self, step: StepRef) -> Set[WorkerLife]:
        """Return the workers that are known to be allowed to run a step, with any ticket."""
        return self._tickets_by_step.get(step, {}).keys()

    @property
    def has_requests(self) -> bool:
        """Return whether advice has been requested for any step since the last plan."""
        return bool(self._requests_by_step)

    def clear_requests(self) -> None:
        """Remove all requests; each planning pass requests the waiting steps anew, in its order."""
        self._requests_by_step.clear()

    def request(self, step: StepRef, request: AdviceRequest, now: Seconds) -> None:
        """
        Request advice for a waiting step. It does not count as startable if its tickets are valid.
        """
        tickets = self._tickets_by_step.get(step, {})
        valid = [
            each
            for each in (request.candidates if tickets else ())
            if each.life in tickets and _is_usable(tickets[each.life], now)
        ]
        self._requests_by_step[step] = request._replace(
            is_startable=request.is_startable and not request.has_room_on(valid)
        )

    def narrow_requests(
        self, unplaced: Set[StepRef], held_back: Set[StepRef], reserving: Set[StepRef]
    ) -> None:
        """
        Adapt the requests to the plan for which they were made.

        :param unplaced: steps with tasks that the plan did not place; others need no advice.
        :param held_back: those of them that could not start if all workers were permitted, unless
            runs are evicted for them.
        :param reserving: those of them that may reserve room.
        """
        self._requests_by_step = {
            step: request._replace(
                is_startable=request.is_startable and (request.may_evict or step not in held_back),
                may_reserve=step in reserving,
            )
            for step, request in self._requests_by_step.items()
            if step in unplaced
        }

    def next_question(self, now: Seconds) -> AskAdvice | None:
        """
        Return the next question, or None. At most one question is open at a time; one that was
        asked too long ago no longer counts.
        """
        is_open = self._open_question is not None and now - self._opened_at < self._patience
        if is_open or not self._requests_by_step or now < self._next_question_at:
            return None
        for step in sorted(self._requests_by_step, key=self._question_order):
            request = self._requests_by_step[step]
            workers = self._select_workers(step, request, now)
            if workers:
                if request.is_startable and step in self._asked_at_by_step:
                    self._serves_oldest_next = not self._serves_oldest_next
                self._asked_at_by_step[step] = now
                self._open_question = AskAdvice(step, tuple(workers))
                self._opened_at = now
                return self._open_question
            del self._requests_by_step[step]
        return None

    def _question_order(self, step: StepRef) -> tuple[bool, Seconds]:
        """Return the sort key of a step in the order of questions; equal ones keep the plan's."""
        is_startable = self._requests_by_step[step].is_startable
        asked_at = self._asked_at_by_step.get(step, NEVER_ASKED)
        if is_startable and not self._serves_oldest_next and asked_at > NEVER_ASKED:
            asked_at = Seconds(0.0)
        return not is_startable, asked_at

    def _select_workers(
        self, step: StepRef, request: AdviceRequest, now: Seconds
    ) -> list[WorkerLife]:
        """Return the workers to name in a question about a step; none if no answer is needed."""
        tickets = self._tickets_by_step.get(step, {})
        denied = self._denied_workers_by_step.get(step, set())
        known = [each for each in request.candidates if each.life in tickets]
        valid = [each for each in known if _is_usable(tickets[each.life], now)]
        expired = [each for each in known if not _is_usable(tickets[each.life], now)]
        unknown = [
            each
            for each in request.candidates
            if each.life not in tickets and each.life not in denied
        ]
        if not request.is_startable:
            selected = unknown or (expired if request.may_reserve else [])
        elif request.has_room_on(valid):
            # The next plan uses the tickets.
            selected = []
        elif request.is_gang and not request.has_room_on(known):
            # Tickets would expire unused while further workers are asked about.
            selected = unknown or expired
        else:
            selected = expired or unknown
        return [candidate.life for candidate in selected[:MAX_WORKERS_PER_QUESTION]]

    def handle_answer(self, answer: AdviceAnswered, now: Seconds) -> None:
        """Record the answer to a question, or that it was not answered."""
        is_expected = self._open_question == AskAdvice(answer.step, answer.workers)
        if is_expected:
            self._open_question = None
        if answer.tickets is None:
            if is_expected:
                self._next_question_at = Seconds(now + RETRY_DELAY)
            return
        took = Seconds(now - self._opened_at) if is_expected else self._patience
        self._patience = Seconds(min(max(MIN_PATIENCE, PATIENCE_FACTOR * took), MAX_PATIENCE))
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
        _forget_steps(self._tickets_by_step, job)
        _forget_steps(self._denied_workers_by_step, job)
        _forget_steps(self._asked_at_by_step, job)
        _forget_steps(self._requests_by_step, job)


def _forget_steps(data_by_step: dict[StepRef, Data], job: JobId) -> None:
    for step in [step for step in data_by_step if step.job == job]:
        del data_by_step[step]


def _is_usable(ticket: Ticket, now: Seconds) -> bool:
    return ticket.expires_at > now + MIN_TICKET_VALIDITY
