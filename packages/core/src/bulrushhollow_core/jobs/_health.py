"""
bulrushhollow_core.jobs._health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Detects faulty workers, as distinct from faulty jobs. A worker is quarantined after several
different jobs in a row have failed on it. A job that fails on another worker too no longer counts
as a failure of the worker, which is reinstated if too few failures are left; if the job succeeds
elsewhere later, its failures count again. After its quarantine a worker is on probation: it gets
one job as a probe, and the outcome decides whether it is reinstated or quarantined again.
"""

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._views import SchedulerSettings

MAX_PROBATION = Seconds(120.0)
"""Seconds without a probe after which a worker on probation is used again."""


class _FailureRecord(msgspec.Struct):
    """
    Failures on one worker since a task last succeeded on it.

    :param failed_jobs: different jobs, in the order in which they failed.
    :param quarantine_count: consecutive quarantines.
    :param quarantined_until: end of the current quarantine; None if there is none.
    :param failure_threshold: number of failed jobs that led to the current quarantine.
    :param is_on_probation: whether the quarantine is over but no task has succeeded since.
    :param probation_since: when the probation began.
    """

    failed_jobs: dict[JobId, None] = {}
    quarantine_count: int = 0
    quarantined_until: Seconds | None = None
    failure_threshold: int = 0
    is_on_probation: bool = False
    probation_since: Seconds = Seconds(0.0)


class WorkerHealth:
    """
    Tracks failures by worker and by job, and decides which workers are quarantined.

    :ivar newly_quarantined: workers quarantined since the caller last cleared the list.
    :ivar reinstated: workers whose quarantine was lifted since the caller last cleared the list.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._records_by_worker: dict[WorkerId, _FailureRecord] = {}
        self._workers_by_job: dict[JobId, set[WorkerId]] = {}
        self.newly_quarantined: list[WorkerId] = []
        self.reinstated: list[WorkerId] = []

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Return whether a worker is in quarantine or on probation."""
        record = self._records_by_worker.get(worker)
        return record is not None and (
            record.is_on_probation or record.quarantined_until is not None
        )

    @property
    def quarantined(self) -> tuple[WorkerId, ...]:
        """Return the workers in quarantine, without those on probation."""
        records = self._records_by_worker.items()
        return tuple(
            sorted(worker for worker, record in records if record.quarantined_until is not None)
        )

    @property
    def workers_on_probation(self) -> list[WorkerId]:
        """Return the workers whose quarantine is over and that wait for a successful probe."""
        records = self._records_by_worker.items()
        return [worker for worker, record in records if record.is_on_probation]

    def is_suspect(self, worker: WorkerId) -> bool:
        """Return whether a failure on this worker is weak evidence against the job."""
        record = self._records_by_worker.get(worker)
        if record is None:
            return False
        return (
            record.is_on_probation
            or record.quarantined_until is not None
            or len(record.failed_jobs) > 1
        )

    def workers_failed_by(self, job: JobId) -> frozenset[WorkerId]:
        """Return the workers on which a live job has failed."""
        return frozenset(self._workers_by_job.get(job, ()))

    def record_failure(self, worker: WorkerId, job: JobId, now: Seconds) -> None:
        """Record that a job failed on a worker, which may quarantine the worker."""
        workers = self._workers_by_job.setdefault(job, set())
        workers.add(worker)
        if len(workers) > 1:
            self._discount_failures(job, workers)
        else:
            self._count_failure(worker, job, now)

    def job_succeeded(self, job: JobId, now: Seconds) -> None:
        """Record that a job succeeded; its failures count against the workers it failed on."""
        for worker in sorted(self._workers_by_job.get(job, ())):
            self._count_failure(worker, job, now)

    def record_success(self, worker: WorkerId) -> None:
        """Record that a task succeeded on a worker; it does not shorten a quarantine."""
        record = self._records_by_worker.get(worker)
        if record is not None and record.quarantined_until is None:
            del self._records_by_worker[worker]

    def job_ended(self, job: JobId) -> None:
        """Drop the failures of a job that will not be started again."""
        self._workers_by_job.pop(job, None)

    def end_expired_quarantines(self, now: Seconds) -> list[WorkerId]:
        """Put workers whose quarantine is over on probation and return them."""
        expired = [
            worker
            for worker, record in self._records_by_worker.items()
            if record.quarantined_until is not None and record.quarantined_until <= now
        ]
        for worker in expired:
            record = self._records_by_worker[worker]
            record.quarantined_until = None
            record.is_on_probation = True
            record.probation_since = now
            record.failed_jobs = {}
        return expired

    def overdue_probations(self, now: Seconds) -> list[WorkerId]:
        """
        Return workers that have waited too long for a probe. They are used again, but the next
        failure quarantines them.
        """
        return [
            worker
            for worker, record in self._records_by_worker.items()
            if record.is_on_probation and now - record.probation_since >= MAX_PROBATION
        ]

    def _count_failure(self, worker: WorkerId, job: JobId, now: Seconds) -> None:
        record = self._records_by_worker.setdefault(worker, _FailureRecord())
        record.failed_jobs[job] = None
        threshold = 1 if record.is_on_probation else self._settings.failures_before_quarantine
        if record.quarantined_until is None and len(record.failed_jobs) >= threshold:
            self._quarantine(record, now)
            self.newly_quarantined.append(worker)

    def _discount_failures(self, job: JobId, workers: set[WorkerId]) -> None:
        for worker in sorted(workers):
            record = self._records_by_worker.get(worker)
            if record is None or job not in record.failed_jobs:
                continue
            del record.failed_jobs[job]
            if (
                record.quarantined_until is not None
                and len(record.failed_jobs) < record.failure_threshold
            ):
                del self._records_by_worker[worker]
                self.reinstated.append(worker)

    def _quarantine(self, record: _FailureRecord, now: Seconds) -> None:
        duration = self._settings.first_quarantine * 2**record.quarantine_count
        record.quarantined_until = Seconds(now + min(duration, self._settings.max_quarantine))
        record.failure_threshold = len(record.failed_jobs)
        record.quarantine_count += 1
        record.is_on_probation = False
