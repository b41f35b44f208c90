"""
bulrushhollow_core.domain._orders
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Orders of the leader to workers, and what came of them.
"""

from enum import Enum

import msgspec

from bulrushhollow_core.domain._commands import Outcome
from bulrushhollow_core.domain._jobs import RunNumber, StepRef, TaskRef, WorkerLife
from bulrushhollow_core.ids import Seconds, Term, WorkerId


class OrderStart(msgspec.Struct, frozen=True):
    """
    Start a run.

    :param lease_end: end of the worker's lease by its own clock.
    :param fence: fencing token.
    :param checkpoint: checkpoint to go on from; empty for none.
    :param ticket: proof that the worker may run the step; empty where none is needed.
    """

    life: WorkerLife
    address: str
    task: TaskRef
    run: RunNumber
    spec: str
    lease_end: Seconds
    fence: Term
    checkpoint: str
    ticket: str = ""


class OrderStop(msgspec.Struct, frozen=True):
    """Stop a run, or make sure that it never starts."""

    life: WorkerLife
    address: str
    task: TaskRef
    run: RunNumber
    fence: Term


class Poll(msgspec.Struct, frozen=True):
    """
    Renew a worker's lease and ask what runs and what has ended.

    :param acknowledged: number of the last end that is recorded.
    :param lease_end: end of the lease by the worker's clock; None leaves it as it is.
    :param wait: seconds for which the answer may wait for an end.
    """

    life: WorkerLife
    address: str
    fence: Term
    acknowledged: int
    lease_end: Seconds | None
    wait: Seconds


class AskAdvice(msgspec.Struct, frozen=True):
    """Ask the advice service which workers may run a step."""

    step: StepRef
    workers: tuple[WorkerLife, ...]


Order = OrderStart | OrderStop | Poll | AskAdvice


class OrderResult(Enum):
    """What is known of an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    """A greater fencing token was seen; nothing was done."""
    SUPERSEDED = "superseded"
    """A run of this or a greater number was stopped or ended there; nothing was done."""
    LATE = "late"
    """The lease's end had passed; nothing was done."""
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    """The worker refused for now; nothing was done."""
    INVALID = "invalid"
    """The worker can't make sense of it; nothing was done."""
    NO_TICKET = "no_ticket"
    """The ticket is missing or not valid there; nothing was done."""
    OTHER_LIFE = "gone"
    """Another life answered at the address."""
    NO_ANSWER = "silent"
    """No answer; it may have been carried out, or may be later."""


class StartAnswered(msgspec.Struct, frozen=True):
    """
    What came of an :class:`OrderStart`.

    :param clock: the worker's clock in its answer, if it said.
    """

    life: WorkerLife
    task: TaskRef
    run: RunNumber
    result: OrderResult
    clock: Seconds | None


class StopAnswered(msgspec.Struct, frozen=True):
    """What came of an :class:`OrderStop`."""

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

    :param number: position among the ends of this life, from 1.
    """

    number: int
    task: TaskRef
    run: RunNumber
    outcome: Outcome
    checkpoint: str


class PollAnswered(msgspec.Struct, frozen=True):
    """
    What came of a :class:`Poll`.

    :param successor: if the worker is gone, the later life under its id that answered, if it did.
    """

    life: WorkerLife
    result: OrderResult
    clock: Seconds | None = None
    successor: WorkerLife | None = None
    running: tuple[ListedRun, ...] = ()
    ended: tuple[ListedEnd, ...] = ()


class IssuedTicket(msgspec.Struct, frozen=True):
    """A ticket for one worker."""

    worker: WorkerId
    text: str


class AdviceAnswered(msgspec.Struct, frozen=True):
    """
    What came of an :class:`AskAdvice`.

    :param tickets: for the workers that may run the step; None if there was no answer.
    :param valid_for: seconds for which the tickets are valid.
    """

    step: StepRef
    workers: tuple[WorkerLife, ...]
    tickets: tuple[IssuedTicket, ...] | None
    valid_for: Seconds = Seconds(0.0)


OrderAnswer = StartAnswered | StopAnswered | PollAnswered | AdviceAnswered
