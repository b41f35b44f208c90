"""
bench.policy_watch
~~~~~~~~~~~~~~~~~~

Watches a replay from outside, by what the platforms run: gangs that run in part, jobs that run
twice, starts in a data centre that is out, and guarantees that could not be claimed.
"""

from collections import Counter

from bench.policy_platform import Violation
from bench.policy_site import Site
from bulrushhollow_core.ids import DataCentreId, JobId, Seconds
from bulrushhollow_core.jobs import JobEnd
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.platform import TaskState

PART_LIMIT = Seconds(5.0)
"""A gang may be seen in part for this long while it starts or stops."""

OUT_LIMIT = Seconds(3.0)
"""Starts may still happen for this long after a data centre was taken out."""


class InvariantChecker:
    """What has been seen so far."""

    def __init__(self, configuration: Configuration) -> None:
        """Start with nothing seen."""
        self.violations: list[Violation] = []
        self.whole_at_by_job: dict[JobId, float] = {}
        self.succeeded_at_by_job: dict[JobId, float] = {}
        self._configuration = configuration
        self._part_since_by_job: dict[JobId, float] = {}
        self._out_since: dict[DataCentreId, Seconds] = {}
        self._starts_seen: Counter[DataCentreId] = Counter()
        self._late: set[JobId] = set()

    def service_changed(self, data_centre: DataCentreId, service: Service, now: Seconds) -> None:
        """Note that operators have taken a data centre out or in."""
        if service is Service.OUT:
            self._out_since[data_centre] = now
        else:
            self._out_since.pop(data_centre, None)

    def look(self, site: Site) -> None:
        """Look at everything as it is now."""
        self._look_at_gangs(site)
        self._look_at_starts(site)
        for record in site.ended:
            if record.end is JobEnd.SUCCEEDED:
                self.succeeded_at_by_job[record.job] = site.now
            self.whole_at_by_job.setdefault(record.job, site.now)
        site.ended.clear()

    def _look_at_gangs(self, site: Site) -> None:
        running: Counter[JobId] = Counter()
        attempts: dict[JobId, set[int]] = {}
        for platform in site.platforms_by_id.values():
            for task in platform.live_tasks():
                attempts.setdefault(task.job, set()).add(task.attempt)
                running[task.job] += 1
        for job, seen in attempts.items():
            if len(seen) > 1:
                self.violations.append(Violation("double", job, site.now))
        for job, tasks in running.items():
            self._look_at_gang(site, job, tasks)
        for job in [job for job in self._part_since_by_job if job not in running]:
            del self._part_since_by_job[job]

    def _look_at_gang(self, site: Site, job: JobId, tasks: int) -> None:
        record = site.ledger.jobs_by_id[job]
        if tasks == record.profile.shape.tasks:
            self._part_since_by_job.pop(job, None)
            self.whole_at_by_job.setdefault(job, site.now)
            return
        since = self._part_since_by_job.setdefault(job, site.now)
        if site.now - since > PART_LIMIT and not self._is_finishing(site, job):
            self.violations.append(Violation("part_gang", job, site.now))

    def _is_finishing(self, site: Site, job: JobId) -> bool:
        """Return whether the missing tasks of a gang have succeeded, or their worker is lost."""
        lost = any(
            worker.cut_off and any(task.job == job for task in worker.tasks_by_id.values())
            for platform in site.platforms_by_id.values()
            for worker in platform.workers_by_id.values()
        )
        succeeded = any(
            task.job == job and task.state is TaskState.SUCCEEDED
            for platform in site.platforms_by_id.values()
            for worker in platform.workers_by_id.values()
            for task in worker.tasks_by_id.values()
        )
        return lost or succeeded

    def _look_at_starts(self, site: Site) -> None:
        for name, platform in site.platforms_by_id.items():
            fresh = platform.starts[self._starts_seen[name] :]
            self._starts_seen[name] = len(platform.starts)
            out_since = self._out_since.get(name)
            if out_since is None:
                continue
            for at, task in fresh:
                if at > out_since + OUT_LIMIT:
                    self.violations.append(Violation("start_after_out", task, at))
