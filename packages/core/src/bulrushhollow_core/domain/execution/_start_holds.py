"""
bulrushhollow_core.domain.execution._start_holds
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tasks that must not start again yet, because the order to start their last run went unanswered and
may still be carried out.
"""

from collections.abc import Iterable, Set
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import RunRef
from bulrushhollow_core.domain.model import RunNumber, TaskRef
from bulrushhollow_core.ids import Seconds, WorkerId

NO_HOLD = Seconds(0.0)
"""Hold of a task that may start again at once."""

MAX_LASTING_HOLD = Seconds(8.5)
"""Seconds from the order of an unanswered start for which a lasting task waits at most. Such a task
may be away for nine seconds, and its next start takes a part of them."""

NO_WORKER = WorkerId("")
"""Worker of a hold that no list ends."""


class StartEvidence(Enum):
    """What is known of the unanswered start of a run when its end is proposed."""

    NONE = "none"
    LEASE_EXPIRED = "lease_expired"
    """The worker is silent; the order is void in its present life, whose lease has run out."""
    REFUSED_BY_KNOWN_LIVES = "refused_by_known_lives"
    """No known life of the worker carries the order out any more: it has accepted the stop, has
    listed the end of the run or has seen a higher fencing token, or another worker has taken its
    address. Only a further life under its id could, before it gets any other order."""


class HoldEnd(Enum):
    """Why a task no longer waits for an unanswered start."""

    EXPIRED = "expired"
    """The order can no longer be carried out, or the task may not wait any longer."""
    LISTED = "listed"
    """The worker lists its runs, and the run is not among them."""


class StartHold(NamedTuple):
    """
    Keeps a task from starting again while its last start may still be carried out.

    :param run: number of the run whose start went unanswered.
    :param since: when the end of that run was proposed, or when this instance began to lead.
    :param until: when the hold expires.
    :param worker: worker whose next list without the run ends the hold; empty if none does.
    """

    run: RunNumber
    since: Seconds
    until: Seconds
    worker: WorkerId = NO_WORKER


class StartHolds:
    """The holds of a leader, by task and by the worker whose list ends them."""

    def __init__(self) -> None:
        """Start without any hold."""
        self._holds_by_task: dict[TaskRef, StartHold] = {}
        self._tasks_by_worker: dict[WorkerId, set[TaskRef]] = {}

    @property
    def tasks(self) -> Set[TaskRef]:
        """Return the tasks that are held, also those whose hold has expired and was not removed."""
        return self._holds_by_task.keys()

    def get(self, task: TaskRef) -> StartHold | None:
        """Return the hold of a task, or None."""
        return self._holds_by_task.get(task)

    def add(self, task: TaskRef, hold: StartHold) -> None:
        """Hold a task; this replaces an earlier hold."""
        self._remove(task)
        self._holds_by_task[task] = hold
        if hold.worker != NO_WORKER:
            self._tasks_by_worker.setdefault(hold.worker, set()).add(task)

    def awaits_list_of(self, worker: WorkerId) -> bool:
        """Return whether a list of a worker's runs would end a hold."""
        return worker in self._tasks_by_worker

    def end_expired(self, now: Seconds) -> list[tuple[TaskRef, StartHold]]:
        """Remove and return the holds that have expired."""
        expired = [task for task, hold in self._holds_by_task.items() if now >= hold.until]
        return self._remove_all(expired)

    def end_by_list(
        self, worker: WorkerId, running: Set[RunRef]
    ) -> list[tuple[TaskRef, StartHold]]:
        """
        Remove and return the holds that a list of a worker's runs refutes. The worker refuses the
        orders: its lease has run out in this life, and a later life has seen a higher token.

        :param running: the runs that the worker lists.
        """
        refuted = [
            task
            for task in self._tasks_by_worker.get(worker, ())
            if RunRef(task, self._holds_by_task[task].run) not in running
        ]
        return self._remove_all(sorted(refuted))

    def _remove_all(self, tasks: Iterable[TaskRef]) -> list[tuple[TaskRef, StartHold]]:
        removed = ((task, self._remove(task)) for task in tasks)
        return [(task, hold) for task, hold in removed if hold is not None]

    def _remove(self, task: TaskRef) -> StartHold | None:
        hold = self._holds_by_task.pop(task, None)
        if hold is not None and hold.worker != NO_WORKER:
            tasks = self._tasks_by_worker[hold.worker]
            tasks.discard(task)
            if not tasks:
                del self._tasks_by_worker[hold.worker]
        return hold
