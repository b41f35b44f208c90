"""
standins.worker_platform
~~~~~~~~~~~~~~~~~~~~~~~~

The stand-in worker platform of one data centre without its sockets: it handles calls at a given
time and answers by the protocol of ``bulrushhollow_core.platform``. Tests call it directly.
"""

import random
from collections import Counter

import msgspec

from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds, TaskId, WorkerId
from bulrushhollow_core.models import Rack
from bulrushhollow_core.platform import (
    CheckpointTask,
    Order,
    PlatformAnswer,
    PlatformCall,
    StartTask,
    StopTask,
    TaskState,
    ThrottleTask,
)
from standins._worker import LIVE_STATES, NEVER, RunRecord, Task, Worker, read_payload

FAILED_START_SECONDS = 0.05
"""Seconds from the start of a task to its failure on a worker that fails every start."""


class PlatformTimings(msgspec.Struct, frozen=True):
    """
    The timings of the platform, in seconds but for the jitter.

    :param run_seconds: duration of a task whose payload does not state one.
    :param run_jitter: from 0 to 1; each duration differs by up to this fraction.
    :param checkpoint_seconds: time from the order to the written checkpoint.
    :param usage_lag: age of the reported use of resources.
    :param start_delay: time from the receipt of a start to the start.
    """

    run_seconds: float = 2.0
    run_jitter: float = 0.0
    checkpoint_seconds: float = 0.2
    usage_lag: float = 3.0
    start_delay: float = 0.0


class AttemptCount(msgspec.Struct, frozen=True):
    """The number of tasks that were started for one attempt of a job."""

    job: JobId
    attempt: int
    starts: int


class PlatformCounts(msgspec.Struct, frozen=True):
    """
    Counts of what the platform ran, for oracles.

    :param starts_fenced: start orders that were refused because of a stale epoch.
    :param last_start_at: time of the last start in the data centre; None before the first.
    """

    data_centre: DataCentreId
    starts_by_task: dict[TaskId, int]
    starts_by_attempt: tuple[AttemptCount, ...]
    starts_fenced: int
    calls_fenced: int
    most_accelerators_by_worker: dict[WorkerId, int]
    last_start_at: Seconds | None
    running: int


class WorkerPlatform:
    """
    The workers of several racks, which run tasks under leases.

    Usage::

        platform = WorkerPlatform(DataCentreId("north"), racks, seed=1)
        answer = platform.sync(PlatformCall(epoch=Epoch(1), lease=5.0), now)

    :param racks: racks whose workers are named ``rack-number``, from 1 on.
    :param seed: seed of the jitter of run times.
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        racks: tuple[Rack, ...],
        seed: int,
        timings: PlatformTimings | None = None,
    ) -> None:
        """Start with every worker up, without leases and tasks."""
        self.data_centre = data_centre
        self.timings = timings or PlatformTimings()
        self.checkpoints_fail = False
        self.workers_by_id = {worker.id: worker for rack in racks for worker in _workers_of(rack)}
        self.records: list[RunRecord] = []
        self._random = random.Random(seed)
        self._revision = 1
        self._highest_epoch = Epoch(0)
        self._progress_by_checkpoint: dict[tuple[JobId, str], float] = {}
        self._calls_fenced = 0
        self._starts_fenced = 0

    def sync(self, call: PlatformCall, now: Seconds) -> PlatformAnswer:
        """
        Handle one call: renew the leases, carry out the orders in turn and report the changes.

        :return: the answer; ``fenced`` if the call had no effect because of a stale epoch.
        """
        self.advance(now)
        if call.epoch < self._highest_epoch:
            self._calls_fenced += 1
            self._starts_fenced += sum(isinstance(order, StartTask) for order in call.orders)
            return self._reject(call, now, fenced=True)
        if call.valid_until and now > call.valid_until:
            return self._reject(call, now, fenced=False)
        self._highest_epoch = call.epoch
        self._acknowledge(call.acknowledged)
        self._renew_leases(call.lease, now)
        for order in call.orders:
            self._execute(order, call.epoch, now)
        return self._answer(call, now)

    def advance(self, now: Seconds) -> None:
        """Apply every start, end, checkpoint and lease expiry that is due, each at its own time."""
        for worker in self.workers_by_id.values():
            while (at := worker.next_event_at()) <= now:
                self._apply_event(worker, worker.next_event_task(), at)
            self._update_reported_use(worker, now)

    def next_event_at(self) -> Seconds:
        """Return the time of the next event that needs no call; infinity without one."""
        return min(
            (worker.next_event_at() for worker in self.workers_by_id.values()), default=NEVER
        )

    def running(self) -> list[RunRecord]:
        """Return the run records of the live tasks."""
        return [
            task.record
            for worker in self.workers_by_id.values()
            for task in worker.live_tasks()
            if task.record is not None
        ]

    def counts(self) -> PlatformCounts:
        """Return the counts since the start of the platform."""
        attempts = Counter((record.job, record.attempt) for record in self.records)
        return PlatformCounts(
            data_centre=self.data_centre,
            starts_by_task=dict(Counter(record.task for record in self.records)),
            starts_by_attempt=tuple(
                AttemptCount(job, attempt, starts) for (job, attempt), starts in attempts.items()
            ),
            starts_fenced=self._starts_fenced,
            calls_fenced=self._calls_fenced,
            most_accelerators_by_worker={
                worker.id: worker.most_accelerators for worker in self.workers_by_id.values()
            },
            last_start_at=max((record.started_at for record in self.records), default=None),
            running=len(self.running()),
        )

    def fail_starts(self, worker_id: WorkerId, failing: bool) -> None:
        """Set whether every later start on a worker fails."""
        self.workers_by_id[worker_id].fails_starts = failing

    def take_down(self, worker_id: WorkerId, now: Seconds) -> None:
        """Crash a worker: its tasks end, and the platform reports it as not ready."""
        self.advance(now)
        worker = self.workers_by_id[worker_id]
        worker.is_down = True
        for task in worker.tasks_by_id.values():
            if task.state is None:
                worker.end(task, TaskState.REFUSED, now, "the worker went down")
            elif task.state in LIVE_STATES:
                worker.end(task, TaskState.FAILED, now, "the worker went down")
        self._mark_changed(worker)

    def bring_up(self, worker_id: WorkerId, now: Seconds) -> None:
        """Restart a worker after :meth:`take_down`, or restore its link after :meth:`silence`."""
        self.advance(now)
        worker = self.workers_by_id[worker_id]
        worker.is_down = False
        worker.stale_report = None
        self._mark_changed(worker)

    def silence(self, worker_id: WorkerId, now: Seconds) -> None:
        """
        Cut a worker off from the platform: its tasks run until its lease expires, orders to it are
        lost, and the platform repeats its last report.
        """
        self.advance(now)
        worker = self.workers_by_id[worker_id]
        worker.stale_report = worker.report(now, Seconds(self.timings.usage_lag))

    def _mark_changed(self, worker: Worker) -> None:
        self._revision += 1
        worker.revision = self._revision

    def _acknowledge(self, task_ids: tuple[TaskId, ...]) -> None:
        for worker in self.workers_by_id.values():
            for task_id in task_ids:
                worker.acknowledge(task_id)

    def _renew_leases(self, lease: float, now: Seconds) -> None:
        if lease <= 0:
            return
        for worker in self.workers_by_id.values():
            if not worker.is_down and worker.stale_report is None:
                worker.lease_until = Seconds(max(worker.lease_until, now + lease))

    def _execute(self, order: Order, epoch: Epoch, now: Seconds) -> None:
        worker = self.workers_by_id.get(order.worker)
        if worker is None or worker.stale_report is not None:
            return
        task = worker.find_task(order.task)
        if isinstance(order, StartTask):
            if task is None:
                self._receive_start(worker, order, epoch, now)
        elif isinstance(order, StopTask):
            self._stop(worker, task, order.task, now)
        elif task is not None and task.state in LIVE_STATES:
            self._change_live_task(task, order, now)
        self._mark_changed(worker)

    def _receive_start(self, worker: Worker, order: StartTask, epoch: Epoch, now: Seconds) -> None:
        payload = read_payload(order.payload)
        jitter = 1.0 + self.timings.run_jitter * self._random.uniform(-1.0, 1.0)
        task = Task(
            id=order.task,
            state=None,
            order=order,
            epoch=epoch,
            received_at=now,
            starts_at=Seconds(now + self.timings.start_delay),
            run_seconds=payload.run_seconds or self.timings.run_seconds * jitter,
            fails=payload.fail,
        )
        if order.resume:
            task.progress = self._progress_by_checkpoint.get(_checkpoint_key(task), 0.0)
        worker.tasks_by_id[order.task] = task
        if task.starts_at <= now:
            self._start(worker, task, now)

    def _start(self, worker: Worker, task: Task, at: Seconds) -> None:
        if worker.fails_starts:
            task.run_seconds = task.progress + FAILED_START_SECONDS
            task.fails = True
        record = worker.start(task, at)
        if record is not None:
            self.records.append(record)

    def _stop(self, worker: Worker, task: Task | None, task_id: TaskId, now: Seconds) -> None:
        if task is None:
            worker.tasks_by_id[task_id] = Task(task_id, TaskState.STOPPED, detail="never started")
        elif task.state is None or task.state in LIVE_STATES:
            worker.end(task, TaskState.STOPPED, now, "stopped by order")

    def _change_live_task(
        self, task: Task, order: CheckpointTask | ThrottleTask, now: Seconds
    ) -> None:
        if isinstance(order, ThrottleTask):
            task.throttle(order.share, now)
        elif task.state is TaskState.RUNNING:
            task.state = TaskState.CHECKPOINTING
            task.checkpoint_at = Seconds(now + self.timings.checkpoint_seconds)

    def _apply_event(self, worker: Worker, task: Task, at: Seconds) -> None:
        if task.state is None:
            self._start(worker, task, at)
        elif worker.lease_until <= at:
            worker.end(task, TaskState.STOPPED, at, "the lease ran out")
        elif task.checkpoint_at <= at:
            self._finish_checkpoint(worker, task, at)
        elif task.fails:
            worker.end(task, TaskState.FAILED, at, "the task failed")
        else:
            worker.end(task, TaskState.SUCCEEDED, at)
        self._mark_changed(worker)

    def _finish_checkpoint(self, worker: Worker, task: Task, at: Seconds) -> None:
        task.checkpoint_at = NEVER
        if self.checkpoints_fail:
            task.state = TaskState.RUNNING
            task.detail = "the checkpoint failed"
            return
        self._progress_by_checkpoint[_checkpoint_key(task)] = task.compute_progress(at)
        worker.end(task, TaskState.CHECKPOINTED, at)

    def _update_reported_use(self, worker: Worker, now: Seconds) -> None:
        used = worker.used_at(Seconds(now - self.timings.usage_lag))
        if used != worker.reported_use:
            worker.reported_use = used
            self._mark_changed(worker)

    def _reject(self, call: PlatformCall, now: Seconds, fenced: bool) -> PlatformAnswer:
        return PlatformAnswer(
            highest_epoch=self._highest_epoch,
            fenced=fenced,
            cursor=call.since,
            number=call.number,
            clock=now,
            late=not fenced,
        )

    def _answer(self, call: PlatformCall, now: Seconds) -> PlatformAnswer:
        lag = Seconds(self.timings.usage_lag)
        since = call.since
        is_full_report = since <= 0 or since > self._revision
        return PlatformAnswer(
            highest_epoch=self._highest_epoch,
            fenced=False,
            cursor=self._revision,
            workers=tuple(
                worker.report(now, lag)
                for worker in self.workers_by_id.values()
                if is_full_report or worker.revision > since or worker.has_ended_tasks()
            ),
            number=call.number,
            clock=now,
        )


def _workers_of(rack: Rack) -> list[Worker]:
    names = [WorkerId(f"{rack.id}-{number}") for number in range(1, rack.workers + 1)]
    return [Worker(name, rack.id, rack.per_worker, revision=1) for name in names]


def _checkpoint_key(task: Task) -> tuple[JobId, str]:
    """Return the key of a task's checkpoint, which every attempt of the job shares."""
    assert task.order is not None
    return task.order.job, task.id.rsplit("/", 1)[-1]
