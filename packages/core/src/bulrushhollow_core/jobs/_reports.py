"""
bulrushhollow_core.jobs._reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Processes the reports of the platform: workers that join, change or are lost, states of tasks, and
orphaned tasks, which belong to no live attempt.
"""

import msgspec

from bulrushhollow_core.ids import JobId, RackId, Seconds, TaskId, WorkerId
from bulrushhollow_core.jobs._fleet import Fleet, Worker
from bulrushhollow_core.jobs._gangs import GangController
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements
from bulrushhollow_core.jobs._health import WorkerHealth
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._platform_session import PlatformSession
from bulrushhollow_core.jobs._runs import AttemptKey, parse_task_id
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Resources
from bulrushhollow_core.platform import (
    FINAL_TASK_STATES,
    StopTask,
    TaskReport,
    WorkerReport,
)

UNKNOWN_RACK = RackId("")
"""Rack of a worker that the log names but the platform has not reported."""


class OrphanTask(msgspec.Struct):
    """
    A reported task that belongs to no live attempt.

    :param is_final: whether its last reported state is final.
    :param since: when it was first reported, or last ordered to stop.
    """

    worker: WorkerId
    task: TaskId
    job: JobId
    is_final: bool
    since: Seconds


class ReportHandler:
    """
    Applies the reports of the platform to the fleet and to the live attempts.

    :param records_by_job: all live records of the data centre; the scheduler updates them.
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        gangs: GangController,
        health: WorkerHealth,
        session: PlatformSession,
        records_by_job: dict[JobId, JobRecord],
        settings: SchedulerSettings,
    ) -> None:
        self.orphans_by_task: dict[TaskId, OrphanTask] = {}
        self._fleet = fleet
        self._guarantees = guarantees
        self._gangs = gangs
        self._health = health
        self._session = session
        self._records_by_job = records_by_job
        self._settings = settings

    def workers_reported(
        self, reports: tuple[WorkerReport, ...], is_full: bool, now: Seconds
    ) -> None:
        """
        Process the capacity and the readiness of workers.

        :param is_full: whether the reports list every worker, so that all others are lost.
        """
        for report in reports:
            self._process_worker(report, now)
        if is_full:
            listed = {report.worker for report in reports}
            for worker in self._fleet.workers_by_id.values():
                if worker.id not in listed:
                    self._set_ready(worker, False, now)

    def tasks_reported(self, reports: tuple[WorkerReport, ...], now: Seconds) -> None:
        """Process the states of tasks, and detect tasks that are no longer listed."""
        for report in reports:
            for task in report.tasks:
                self._process_task(report.worker, task, now)
            if report.ready and not self._fleet.workers_by_id[report.worker].silent:
                self._detect_missing_tasks(report, now)

    def ensure_worker(self, worker: WorkerId, now: Seconds) -> None:
        """Add a worker that the log names, as not ready, unless the platform has reported it."""
        if worker in self._fleet.workers_by_id:
            return
        self._fleet.put(worker, UNKNOWN_RACK, Resources())
        self._set_ready(self._fleet.workers_by_id[worker], False, now)

    def worker_unresponsive(self, worker: Worker, now: Seconds) -> None:
        """
        Treat a worker as lost that still lists a task after the deadline of its stop order: the
        platform has lost contact with the worker without noticing.
        """
        if worker.ready:
            worker.silent = True
            self._set_ready(worker, False, now)

    def tick(self, now: Seconds) -> None:
        """Stop or drop orphaned tasks that the log has not explained within the grace period."""
        for orphan in list(self.orphans_by_task.values()):
            if now - orphan.since < self._settings.orphan_grace:
                continue
            if orphan.is_final:
                self._session.acknowledge(orphan.task)
                del self.orphans_by_task[orphan.task]
            else:
                self._stop_orphan(orphan, now)

    def has_orphans(self, job: JobId) -> bool:
        """Return whether a job has orphaned tasks."""
        return any(orphan.job == job for orphan in self.orphans_by_task.values())

    def _process_worker(self, report: WorkerReport, now: Seconds) -> None:
        worker = self._fleet.workers_by_id.get(report.worker)
        if worker is None:
            new_worker = self._fleet.put(report.worker, report.rack, report.capacity)
            new_worker.reported = report.tasks
            self._set_ready(new_worker, report.ready, now)
            self._guarantees.worker_returned()
            return
        has_changed = worker.capacity != report.capacity or worker.rack != report.rack
        if has_changed:
            self._fleet.put(report.worker, report.rack, report.capacity)
            self._guarantees.worker_lost(worker)
        worker.silent = worker.silent and worker.reported == report.tasks
        worker.reported = report.tasks
        self._set_ready(worker, report.ready and not worker.silent, now)

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

    def _process_task(self, worker: WorkerId, report: TaskReport, now: Seconds) -> None:
        key = parse_task_id(report.task)
        if key is None:
            return
        run = self._gangs.runs_by_job.get(key.job)
        if run is not None and report.task in run.tasks_by_id:
            self.orphans_by_task.pop(report.task, None)
            self._gangs.task_reported(run, report, now)
            return
        is_final = report.state in FINAL_TASK_STATES
        previous = self.orphans_by_task.get(report.task)
        since = now if previous is None else previous.since
        orphan = OrphanTask(worker, report.task, key.job, is_final, since)
        if not self._has_ended(key):
            self.orphans_by_task[report.task] = orphan
        elif is_final:
            self.orphans_by_task.pop(report.task, None)
            self._session.acknowledge(report.task)
        else:
            self.orphans_by_task[report.task] = orphan
            self._stop_orphan(orphan, now)

    def _has_ended(self, key: AttemptKey) -> bool:
        """Return whether an attempt has ended according to the log."""
        record = self._records_by_job.get(key.job)
        if record is None:
            return False
        if record.attempt == key.attempt:
            return record.state is not JobState.STARTED
        return record.attempt > key.attempt

    def _stop_orphan(self, orphan: OrphanTask, now: Seconds) -> None:
        self._session.stop_orphan(StopTask(orphan.worker, orphan.task))
        orphan.since = now

    def _detect_missing_tasks(self, report: WorkerReport, now: Seconds) -> None:
        listed = {task.task for task in report.tasks}
        for orphan in list(self.orphans_by_task.values()):
            if orphan.worker == report.worker and orphan.task not in listed:
                del self.orphans_by_task[orphan.task]
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
