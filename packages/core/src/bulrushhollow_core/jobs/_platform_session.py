"""
bulrushhollow_core.jobs._platform_session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds the calls to the platform, and drops answers that are outdated or repeated.
"""

import itertools
from collections.abc import Iterable, Iterator

from bulrushhollow_core.ids import Epoch, Seconds, TaskId
from bulrushhollow_core.jobs._runs import GangTask, Phase, Run
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.platform import (
    FINAL_TASK_STATES,
    CheckpointTask,
    Order,
    PlatformAnswer,
    PlatformCall,
    StartTask,
    StopTask,
    TaskState,
    ThrottleTask,
)

THROTTLED_SHARE = 0.2
"""Processor share of a task whose checkpoint failed, until its next checkpoint is done."""


class PlatformSession:
    """The state of the calls to the platform under one epoch of the lease."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._cursor = 0
        self._last_number = 0
        self._last_answered = 0
        self._sent_at_by_number: dict[int, Seconds] = {}
        self._full_call_number: int | None = None
        self._tasks_to_acknowledge: dict[TaskId, None] = {}
        self._orphan_stops: list[StopTask] = []

    def acknowledge(self, task: TaskId) -> None:
        """Acknowledge the final state of a task with the next call."""
        self._tasks_to_acknowledge[task] = None

    def stop_orphan(self, order: StopTask) -> None:
        """Send an order to stop an orphaned task with the next call."""
        self._orphan_stops.append(order)

    def build_call(
        self, epoch: Epoch, runs: Iterable[Run], can_start: bool, lease_left: Seconds, now: Seconds
    ) -> PlatformCall:
        """
        Return the next call.

        :param runs: attempts that need orders.
        :param can_start: whether start orders may be sent.
        :param lease_left: seconds for which the lease of the data centre lasts at least.
        """
        orders = itertools.chain.from_iterable(
            self._orders_for(run, can_start, lease_left, now) for run in runs
        )
        self._last_number += 1
        self._sent_at_by_number[self._last_number] = now
        if self._cursor == 0:
            self._full_call_number = self._last_number
        call = PlatformCall(
            epoch=epoch,
            lease=self._settings.worker_lease if lease_left > 0 else 0.0,
            orders=(*self._orphan_stops, *orders),
            since=self._cursor,
            acknowledged=tuple(self._tasks_to_acknowledge),
            number=self._last_number,
        )
        self._orphan_stops.clear()
        return call

    def accept(self, answer: PlatformAnswer) -> Seconds | None:
        """
        Check an answer and advance the cursor.

        :return: when its call was sent, or None if the answer is outdated, repeated or unusable.
        """
        number = answer.number or self._last_number
        if number <= self._last_answered or number not in self._sent_at_by_number:
            return None
        sent_at = self._sent_at_by_number[number]
        self._last_answered = number
        for earlier in [sent for sent in self._sent_at_by_number if sent <= number]:
            del self._sent_at_by_number[earlier]
        if answer.cursor < self._cursor:
            self._cursor = 0
            return None
        self._cursor = answer.cursor
        self._tasks_to_acknowledge.clear()
        return sent_at

    def is_full_report(self, answer: PlatformAnswer) -> bool:
        """Return whether an accepted answer lists every worker, not only those that changed."""
        full_number = self._full_call_number
        if full_number is None or (answer.number and answer.number != full_number):
            return False
        self._full_call_number = None
        return True

    def _orders_for(
        self, run: Run, can_start: bool, lease_left: Seconds, now: Seconds
    ) -> Iterator[Order]:
        match run.phase:
            case Phase.STARTING:
                not_after = min(run.deadline - now, lease_left)
                if can_start and not_after > 0:
                    run.start_sent = True
                    yield from _start_orders(run, not_after)
            case Phase.CHECKPOINTING:
                for task in run.tasks_by_id.values():
                    yield from self._checkpoint_orders(task, now)
            case Phase.STOPPING:
                for task in run.tasks_by_id.values():
                    if not task.is_released:
                        yield StopTask(task.worker, task.id)

    def _checkpoint_orders(self, task: GangTask, now: Seconds) -> Iterator[Order]:
        if task.state in FINAL_TASK_STATES or task.state is TaskState.CHECKPOINTING:
            return
        if now - task.checkpoint_requested_at < self._settings.checkpoint_retry:
            return
        if task.checkpoint_requested_at > float("-inf") and not task.is_throttled:
            task.is_throttled = True
            yield ThrottleTask(task.worker, task.id, THROTTLED_SHARE)
        task.checkpoint_requested_at = now
        yield CheckpointTask(task.worker, task.id)


def _start_orders(run: Run, not_after: float) -> Iterator[StartTask]:
    for task in run.tasks_by_id.values():
        if task.state is None:
            yield StartTask(
                worker=task.worker,
                task=task.id,
                job=run.job,
                attempt=run.attempt,
                resources=run.per_task,
                not_after=not_after,
                resume=run.record.resume,
                payload=run.record.payload,
            )
