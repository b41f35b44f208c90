"""
bench.policy_watch
~~~~~~~~~~~~~~~~~~

Checks the scheduler's invariants during a replay by the tasks that the platforms run: all tasks of
a gang run together, no job runs in two attempts at once, and no task starts in a data centre that
is out.
"""

from collections import Counter

from bench.policy_platform import Violation
from bench.policy_site import Site
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds
from bulrushhollow_core.jobs import JobEnd
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.platform import TaskState

PARTIAL_GANG_LIMIT = Seconds(5.0)
"""Seconds for which only some tasks of a gang may run while the gang starts or stops."""

START_AFTER_OUT_LIMIT = Seconds(3.0)
"""Seconds for which tasks may still start after a data centre was taken out."""


class InvariantChecker:
    """
    Checks a site after each step of a replay and records when its jobs ran.

    :ivar violations: violations found so far.
    :ivar whole_at_by_job: first moment at which all tasks of a job ran, or at which it ended.
    :ivar succeeded_at_by_job: moment at which a job succeeded.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Create a checker for a site whose data centres are all in service."""
        self.violations: list[Violation] = []
        self.whole_at_by_job: dict[JobId, float] = {}
        self.succeeded_at_by_job: dict[JobId, float] = {}
        self._configuration = configuration
        self._partial_since_by_job: dict[JobId, float] = {}
        self._out_since_by_data_centre: dict[DataCentreId, Seconds] = {}
        self._checked_starts_by_data_centre: Counter[DataCentreId] = Counter()
        self._late: set[JobId] = set()

    def service_changed(self, data_centre: DataCentreId, service: Service, now: Seconds) -> None:
        """Record that a data centre was taken out of service or brought back."""
        if service is Service.OUT:
            self._out_since_by_data_centre[data_centre] = now
        else:
            self._out_since_by_data_centre.pop(data_centre, None)

    def check(self, site: Site) -> None:
        """Check the present state of a site, and record and clear its newly ended jobs."""
        self._check_gangs(site)
        self._check_starts(site)
        for record in site.ended:
            if record.end is JobEnd.SUCCEEDED:
                self.succeeded_at_by_job[record.job] = site.now
            self.whole_at_by_job.setdefault(record.job, site.now)
        site.ended.clear()

    def _check_gangs(self, site: Site) -> None:
        live_tasks_by_job: Counter[JobId] = Counter()
        attempts_by_job: dict[JobId, set[int]] = {}
        for platform in site.platforms_by_id.values():
            for task in platform.live_tasks():
                attempts_by_job.setdefault(task.job, set()).add(task.attempt)
                live_tasks_by_job[task.job] += 1
        for job, job_attempts in attempts_by_job.items():
            if len(job_attempts) > 1:
                self.violations.append(Violation("double", job, site.now))
        for job, tasks in live_tasks_by_job.items():
            self._check_gang(site, job, tasks)
        for job in [job for job in self._partial_since_by_job if job not in live_tasks_by_job]:
            del self._partial_since_by_job[job]

    def _check_gang(self, site: Site, job: JobId, tasks: int) -> None:
        record = site.ledger.jobs_by_id[job]
        if tasks == record.profile.shape.tasks:
            self._partial_since_by_job.pop(job, None)
            self.whole_at_by_job.setdefault(job, site.now)
            return
        since = self._partial_since_by_job.setdefault(job, site.now)
        if site.now - since > PARTIAL_GANG_LIMIT and not self._is_gang_ending(site, job):
            self.violations.append(Violation("part_gang", job, site.now))

    def _is_gang_ending(self, site: Site, job: JobId) -> bool:
        """Return whether a task of a gang has succeeded or one of its workers is cut off."""
        is_worker_lost = any(
            worker.cut_off and any(task.job == job for task in worker.tasks_by_id.values())
            for platform in site.platforms_by_id.values()
            for worker in platform.workers_by_id.values()
        )
        has_succeeded_task = any(
            task.job == job and task.state is TaskState.SUCCEEDED
            for platform in site.platforms_by_id.values()
            for worker in platform.workers_by_id.values()
            for task in worker.tasks_by_id.values()
        )
        return is_worker_lost or has_succeeded_task

    def _check_starts(self, site: Site) -> None:
        for name, platform in site.platforms_by_id.items():
            new_starts = platform.starts[self._checked_starts_by_data_centre[name] :]
            self._checked_starts_by_data_centre[name] = len(platform.starts)
            out_since = self._out_since_by_data_centre.get(name)
            if out_since is None:
                continue
            for at, task in new_starts:
                if at > out_since + START_AFTER_OUT_LIMIT:
                    self.violations.append(Violation("start_after_out", task, at))
