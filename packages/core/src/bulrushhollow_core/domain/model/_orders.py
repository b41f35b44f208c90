"""
bulrushhollow_core.domain.model._orders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders of the leader to workers and to the advice service, and the answers to them.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain.model._commands import Outcome
from bulrushhollow_core.domain.model._jobs import RunNumber, StepRef, TaskRef, WorkerLife
from bulrushhollow_core.ids import FencingToken, Seconds, WorkerId


class OrderStart(msgspec.Struct, frozen=True):
    """
    Start a run.

    :param lease_end: end of the worker's lease by the worker's clock.
    :param fence: fencing token of the leader for this life of the worker.
    :param checkpoint: checkpoint to resume from; empty for none.
    :param ticket: proof that the worker may run the step; empty where none is needed.
    """

    life: WorkerLife
    address: str
    task: TaskRef
    run: RunNumber
    spec: str
    lease_end: Seconds
    fence: FencingToken
    checkpoint: str
    ticket: str = ""


class OrderStop(msgspec.Struct, frozen=True):
    """Stop a run, or prevent it from starting later."""

    life: WorkerLife
    address: str
    task: TaskRef
    run: RunNumber
    fence: FencingToken


class Poll(msgspec.Struct, frozen=True):
    """
    Renew a worker's lease, and request its running and ended runs (long polling).

    :param acknowledged: number of the last recorded end; the worker may forget the ends up to it.
        0 acknowledges none.
    :param lease_end: end of the lease by the worker's clock; None leaves the lease unchanged.
    :param wait: seconds for which the worker may delay the answer until a run ends.
    """

    life: WorkerLife
    address: str
    fence: FencingToken
    acknowledged: int
    lease_end: Seconds | None
    wait: Seconds


class AskAdvice(msgspec.Struct, frozen=True):
    """Ask the advice service which of some workers may run a step."""

    step: StepRef
    workers: tuple[WorkerLife, ...]


Order = OrderStart | OrderStop | Poll | AskAdvice


class OrderResult(Enum):
    """The result of an order to a worker."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    """The worker has seen a higher fencing token; the order had no effect."""
    SUPERSEDED = "superseded"
    """A run of this or a higher number was stopped or ended there; the order had no effect."""
    LATE = "late"
    """The lease had expired when the order arrived; the order had no effect."""
    NO_ROOM = "no_room"
    """The worker lacks free resources; the order had no effect."""
    UNHEALTHY = "unhealthy"
    """The worker refuses new runs for now; the order had no effect."""
    INVALID = "invalid"
    """The worker can't interpret the order; the order had no effect."""
    NO_TICKET = "no_ticket"
    """The ticket is missing or invalid; the order had no effect."""
    OTHER_LIFE = "gone"
    """Another life of the worker, or another worker, answered at the address."""
    NOT_LISTENING = "ended"
    """No process listens at the address, so the worker has ended. Only polls are answered so."""
    NO_ANSWER = "silent"
    """No answer in time; the order may have been carried out, or may be later."""
    WITHHELD = "withheld"
    """The order has not left this instance, which says nothing of the worker."""


class StartAnswered(msgspec.Struct, frozen=True):
    """
    The answer to an :class:`OrderStart`.

    :param clock: the worker's clock when it answered; None if unknown.
    :param was_sent: whether any part of the order may have reached the worker.
    """

    life: WorkerLife
    task: TaskRef
    run: RunNumber
    result: OrderResult
    clock: Seconds | None
    was_sent: bool = True


class StopAnswered(msgspec.Struct, frozen=True):
    """The answer to an :class:`OrderStop`."""

    life: WorkerLife
    task: TaskRef
    run: RunNumber
    result: OrderResult
    clock: Seconds | None


class ListedRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as running."""

    task: TaskRef
    run: RunNumber
    checkpoint: str
    percent: int


class ListedEnd(msgspec.Struct, frozen=True):
    """
    A run that a worker lists as ended.

    :param number: sequence number among the ends of this life, from 1.
    """

    number: int
    task: TaskRef
    run: RunNumber
    outcome: Outcome
    checkpoint: str


class PollAnswered(msgspec.Struct, frozen=True):
    """
    The answer to a :class:`Poll`.

    :param successor: the other life of the same worker that answered, if one did.
    :param running: runs in progress.
    :param ended: ended runs that are not acknowledged.
    :param fence: fencing token of the poll; None if unknown.
    """

    life: WorkerLife
    result: OrderResult
    clock: Seconds | None = None
    successor: WorkerLife | None = None
    running: tuple[ListedRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()
    fence: FencingToken | None = None


class IssuedTicket(msgspec.Struct, frozen=True):
    """A ticket that permits one worker to run a step."""

    worker: WorkerId
    text: str


class AdviceAnswered(msgspec.Struct, frozen=True):
    """
    The answer to an :class:`AskAdvice`.

    :param workers: workers that the question named.
    :param tickets: tickets of the workers that may run the step; None if there was no answer.
    :param valid_for: seconds for which the tickets are valid.
    """

    step: StepRef
    workers: tuple[WorkerLife, ...]
    tickets: tuple[IssuedTicket, ...] | None
    valid_for: Seconds = Seconds(0.0)


OrderAnswer = StartAnswered | StopAnswered | PollAnswered | AdviceAnswered


def no_answer_to(order: Order, was_sent: bool = True) -> OrderAnswer:
    """
    Return the answer that a leader records for an order that got none.

    :param was_sent: whether any part of the order may have reached its worker.
    """
    return _answer_without_reply(order, OrderResult.NO_ANSWER, was_sent)


def withheld(order: Order) -> OrderAnswer:
    """Return the answer that a leader records for an order that has not left this instance."""
    return _answer_without_reply(order, OrderResult.WITHHELD, was_sent=False)


def _answer_without_reply(order: Order, result: OrderResult, was_sent: bool) -> OrderAnswer:
    match order:
        case OrderStart():
            return StartAnswered(order.life, order.task, order.run, result, None, was_sent)
        case OrderStop():
            return StopAnswered(order.life, order.task, order.run, result, None)
        case Poll():
            return PollAnswered(order.life, result, fence=order.fence)
        case AskAdvice():
            return AdviceAnswered(order.step, order.workers, None)
