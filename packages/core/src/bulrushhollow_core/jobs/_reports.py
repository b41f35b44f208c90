"""
bulrushhollow_core.jobs._reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Takes in what the platform reports: workers that come, change and go, states of tasks, and tasks
that belong to no live attempt.
"""

import msgspec

from bulrushhollow_core.ids import JobId, RackId, Seconds, TaskId, WorkerId
from bulrushhollow_core.jobs._calls import Calls
from bulrushhollow_core.jobs._fleet import Fleet, Worker
from bulrushhollow_core.jobs._gangs import Gangs
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements
from bulrushhollow_core.jobs._health import Health
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._runs import TaskName, parse_task_id
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import (
    FINAL_TASK_STATES,
    StopTask,
    TaskReport,
    WorkerReport,
)

UNKNOWN_RACK = RackId("")
"""Rack of a worker that the log names but the platform does not."""


class Stranger(msgspec.Struct):
    """A reported task of which the log, as far as it is known here, says nothing."""

    worker: WorkerId
    task: TaskId
    job: JobId
    final: bool
    since: Seconds


class Reports:
    """What the platform has said to one holder."""

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        gangs: Gangs,
        health: Health,
        calls: Calls,
        records_by_job: dict[JobId, JobRecord],
        settings: SchedulerSettings,
    ) -> None:
        self.strangers_by_task: dict[TaskId, Stranger] = {}
        self._fleet = fleet
        self._guarantees = guarantees
        self._gangs = gangs
        self._health = health
        self._calls = calls
        self._records_by_job = records_by_job
        self._settings = settings

    def workers_reported(
        self, reports: tuple[WorkerReport, ...], whole: bool, now: Seconds
    ) -> None:
        """
        Take in capacities and losses of workers.

        :param whole: whether a worker that is not listed does not exist any more.
        """
        for report in reports:
            self._worker_reported(report, now)
        if whole:
            listed = {report.worker for report in reports}
            for worker in self._fleet.workers_by_id.values():
                if worker.id not in listed:
                    self._set_ready(worker, False, now)

    def tasks_reported(self, reports: tuple[WorkerReport, ...], now: Seconds) -> None:
        """Take in the states of tasks, and notice tasks that are not listed any more."""
        for report in reports:
            for task in report.tasks:
                self._task_reported(report.worker, task, now)
            if report.ready and not self._fleet.workers_by_id[report.worker].silent:
                self._notice_missing(report, now)

    def expect_worker(self, worker: WorkerId, now: Seconds) -> None:
        """Enter a worker that the log names although the platform has not listed it."""
        if worker in self._fleet.workers_by_id:
            return
        self._fleet.put(worker, UNKNOWN_RACK, Resources())
        self._set_ready(self._fleet.workers_by_id[worker], False, now)

    def worker_disobeyed(self, worker: Worker, now: Seconds) -> None:
        """
        Treat a worker as lost that goes on listing a task it was told to stop: the platform has
        lost sight of it without noticing.
        """
        if worker.ready:
            worker.silent = True
            self._set_ready(worker, False, now)

    def tick(self, now: Seconds) -> None:
        """Stop strangers, or drop them, once the log had time to explain them."""
        for stranger in list(self.strangers_by_task.values()):
            if now - stranger.since < self._settings.stranger_grace:
                continue
            if stranger.final:
                self._calls.acknowledge(stranger.task)
                del self.strangers_by_task[stranger.task]
            else:
                self._stop(stranger, now)

    def is_strange(self, job: JobId) -> bool:
        """Return whether tasks of a job are about that belong to no live attempt."""
        return any(s.job == job for s in self.strangers_by_task.values())

    def _worker_reported(self, report: WorkerReport, now: Seconds) -> None:
        known = self._fleet.workers_by_id.get(report.worker)
        if known is None:
            worker = self._fleet.put(report.worker, report.rack, report.capacity)
            worker.reported = report.tasks
            self._set_ready(worker, report.ready, now)
            self._guarantees.worker_returned()
            return
        changed = known.capacity != report.capacity or known.rack != report.rack
        if changed:
            self._fleet.put(report.worker, report.rack, report.capacity)
            self._guarantees.worker_lost(known)
        known.silent = known.silent and known.reported == report.tasks
        known.reported = report.tasks
        self._set_ready(known, report.ready and not known.silent, now)

    def _set_ready(self, worker: Worker, ready: bool, now: Seconds) -> None:
        if worker.ready == ready:
            return
        self._fleet.set_ready(worker, ready)
        if ready:
            self._fleet.release_count += 1
            self._guarantees.worker_returned()
            return
        worker.leased_until = Seconds(now + self._settings.worker_lease)
        self._guarantees.worker_lost(worker)
        self._gangs.worker_down(worker, now)

    def _task_reported(self, worker: WorkerId, report: TaskReport, now: Seconds) -> None:
        name = parse_task_id(report.task)
        if name is None:
            return
        run = self._gangs.runs_by_job.get(name.job)
        if run is not None and report.task in run.tasks_by_id:
            self.strangers_by_task.pop(report.task, None)
            self._gangs.task_reported(run, report, now)
            return
        final = report.state in FINAL_TASK_STATES
        known = self.strangers_by_task.get(report.task)
        since = now if known is None else known.since
        stranger = Stranger(worker, report.task, name.job, final, since)
        if not self._is_over(name):
            self.strangers_by_task[report.task] = stranger
        elif final:
            self.strangers_by_task.pop(report.task, None)
            self._calls.acknowledge(report.task)
        else:
            self.strangers_by_task[report.task] = stranger
            self._stop(stranger, now)

    def _is_over(self, name: TaskName) -> bool:
        """Return whether the log says that an attempt is over."""
        record = self._records_by_job.get(name.job)
        if record is None:
            return False
        if record.attempt == name.attempt:
            return record.state is not JobState.STARTED
        return record.attempt > name.attempt

    def _stop(self, stranger: Stranger, now: Seconds) -> None:
        self._calls.stop_stranger(StopTask(stranger.worker, stranger.task))
        stranger.since = now

    def _notice_missing(self, report: WorkerReport, now: Seconds) -> None:
        listed = {task.task for task in report.tasks}
        for stranger in list(self.strangers_by_task.values()):
            if stranger.worker == report.worker and stranger.task not in listed:
                del self.strangers_by_task[stranger.task]
        worker = self._fleet.workers_by_id[report.worker]
        runs = [self._gangs.runs_by_job[job] for job in worker.tasks_by_job]
        missing = [
            (run, task)
            for run in runs
            for task in run.tasks_by_id.values()
            if task.worker == worker.id and task.state is not None and task.id not in listed
        ]
        for run, task in missing:
            self._gangs.task_missing(run, task, now)
