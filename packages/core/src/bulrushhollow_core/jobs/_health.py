"""
bulrushhollow_core.jobs._health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tells workers on which everything fails from jobs that fail everywhere. A worker is quarantined
when several different jobs in a row failed on it. A job that then fails elsewhere too is no
evidence any more, and the worker is pardoned; one that succeeds elsewhere confirms it. After a
while a quarantined worker gets one job as a probe, whose outcome decides.
"""

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._views import SchedulerSettings

PROBATION = Seconds(120.0)
"""A worker for which no probe turns up within this time is used again without one."""


class _Record(msgspec.Struct):
    """
    Failures of one worker since anything last succeeded on it.

    :param failed_jobs: different jobs, in the order in which they failed.
    :param spells: quarantines in a row.
    :param until: end of the present quarantine.
    :param limit: number of failed jobs that brought it into quarantine.
    :param probing: whether the quarantine is over but not yet lifted by a success.
    """

    failed_jobs: dict[JobId, None] = {}
    spells: int = 0
    until: Seconds | None = None
    limit: int = 0
    probing: bool = False
    probing_since: Seconds = Seconds(0.0)


class WorkerHealth:
    """Which workers are fit for work."""

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._records_by_worker: dict[WorkerId, _Record] = {}
        self._workers_by_job: dict[JobId, set[WorkerId]] = {}
        self.newly_quarantined: list[WorkerId] = []
        self.pardoned: list[WorkerId] = []

    def is_quarantined(self, worker: WorkerId) -> bool:
        """Return whether a worker is in quarantine or on probation."""
        record = self._records_by_worker.get(worker)
        return record is not None and (record.probing or record.until is not None)

    @property
    def quarantined(self) -> tuple[WorkerId, ...]:
        """Return the workers that get no work at present."""
        records = self._records_by_worker.items()
        return tuple(sorted(worker for worker, record in records if record.until is not None))

    @property
    def on_probation(self) -> list[WorkerId]:
        """Return the workers that have to prove themselves."""
        records = self._records_by_worker.items()
        return [worker for worker, record in records if record.probing]

    def is_suspect(self, worker: WorkerId) -> bool:
        """Return whether a failure on this worker says little about the job."""
        record = self._records_by_worker.get(worker)
        if record is None:
            return False
        return record.probing or record.until is not None or len(record.failed_jobs) > 1

    def workers_failed_by(self, job: JobId) -> frozenset[WorkerId]:
        """Return the workers on which a live job has failed before."""
        return frozenset(self._workers_by_job.get(job, ()))

    def failed(self, worker: WorkerId, job: JobId, now: Seconds) -> None:
        """Note that a job failed on a worker, which may bring the worker into quarantine."""
        workers = self._workers_by_job.setdefault(job, set())
        workers.add(worker)
        if len(workers) > 1:
            self._withdraw(job, workers)
        else:
            self._accuse(worker, job, now)

    def job_succeeded(self, job: JobId, now: Seconds) -> None:
        """Note that a job ran well in the end, which tells against workers it failed on."""
        for worker in sorted(self._workers_by_job.get(job, ())):
            self._accuse(worker, job, now)

    def succeeded(self, worker: WorkerId) -> None:
        """Note that a task ran well on a worker; it does not shorten a quarantine."""
        record = self._records_by_worker.get(worker)
        if record is not None and record.until is None:
            del self._records_by_worker[worker]

    def job_ended(self, job: JobId) -> None:
        """Forget a job that will not be started again."""
        self._workers_by_job.pop(job, None)

    def ended_quarantines(self, now: Seconds) -> list[WorkerId]:
        """Return workers whose quarantine is over by now; each is then on probation."""
        over = [
            worker
            for worker, record in self._records_by_worker.items()
            if record.until is not None and record.until <= now
        ]
        for worker in over:
            record = self._records_by_worker[worker]
            record.until = None
            record.probing = True
            record.probing_since = now
            record.failed_jobs = {}
        return over

    def overdue_probations(self, now: Seconds) -> list[WorkerId]:
        """Return workers that waited in vain for a probe and are used again with reserve."""
        return [
            worker
            for worker, record in self._records_by_worker.items()
            if record.probing and now - record.probing_since >= PROBATION
        ]

    def _accuse(self, worker: WorkerId, job: JobId, now: Seconds) -> None:
        record = self._records_by_worker.setdefault(worker, _Record())
        record.failed_jobs[job] = None
        limit = 1 if record.probing else self._settings.suspect_failures
        if record.until is None and len(record.failed_jobs) >= limit:
            self._quarantine(record, now)
            self.newly_quarantined.append(worker)

    def _withdraw(self, job: JobId, workers: set[WorkerId]) -> None:
        for worker in sorted(workers):
            record = self._records_by_worker.get(worker)
            if record is None or job not in record.failed_jobs:
                continue
            del record.failed_jobs[job]
            if record.until is not None and len(record.failed_jobs) < record.limit:
                del self._records_by_worker[worker]
                self.pardoned.append(worker)

    def _quarantine(self, record: _Record, now: Seconds) -> None:
        length = self._settings.quarantine * 2**record.spells
        record.until = Seconds(now + min(length, self._settings.longest_quarantine))
        record.limit = len(record.failed_jobs)
        record.spells += 1
        record.probing = False
