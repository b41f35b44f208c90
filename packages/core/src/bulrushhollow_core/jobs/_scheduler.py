"""
bulrushhollow_core.jobs._scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The scheduler of one data centre as its lease holder drives it.
"""

import random
from collections.abc import Iterable

from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._calls import PlatformSession
from bulrushhollow_core.jobs._commands import IntendStart, JobCommand
from bulrushhollow_core.jobs._departures import Rebalancer
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._fragmentation import fragmentation, largest_shape
from bulrushhollow_core.jobs._gangs import GangController
from bulrushhollow_core.jobs._health import WorkerHealth
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._planner import Planner
from bulrushhollow_core.jobs._queue import JobQueue, Shares
from bulrushhollow_core.jobs._reports import ReportHandler
from bulrushhollow_core.jobs._runs import AllocationKind, Cause, Phase, Run
from bulrushhollow_core.jobs._views import (
    DataCentreLoad,
    Fenced,
    ProposeCommand,
    QueueLength,
    SchedulerAction,
    SchedulerSettings,
    SchedulerStatus,
)
from bulrushhollow_core.jobs._witness import UnitKey, Witness
from bulrushhollow_core.models import Configuration, Drain, Profile, Shape, WorkKind
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import FINAL_TASK_STATES, PlatformAnswer, PlatformCall

PLAN_INTERVAL = Seconds(1.0)
"""The queue is gone through this often even if nothing has happened."""

NO_EPOCH = Epoch(0)


class _ActiveState:
    """Everything a holder knows; made new for each epoch."""

    def __init__(
        self, data_centre: DataCentreId, epoch: Epoch, settings: SchedulerSettings
    ) -> None:
        self.epoch = epoch
        self.has_synced = False
        self.dirty = True
        self.planned_at = Seconds(float("-inf"))
        self.records_by_job: dict[JobId, JobRecord] = {}
        self.fleet = Fleet()
        self.witness = Witness(self.fleet)
        self.health = WorkerHealth(settings)
        self.estimates = Estimates()
        self.shares = Shares()
        self.queue = JobQueue(self.estimates, self.shares)
        self.session = PlatformSession(settings)
        self.gangs = GangController(
            self.fleet, self.witness, self.health, self.estimates, self.shares, settings
        )
        self.gangs.epoch = epoch
        self.planner = Planner(
            self.fleet,
            self.witness,
            self.gangs,
            self.queue,
            self.shares,
            self.estimates,
            self.health,
            settings,
        )
        self.reports = ReportHandler(
            self.fleet,
            self.witness,
            self.gangs,
            self.health,
            self.session,
            self.records_by_job,
            settings,
        )
        self.rebalancer = Rebalancer(data_centre, self.queue, settings)


class Scheduler:
    """
    Decides for one data centre, on the instance that holds its lease.

    :param data_centre: the data centre.
    :param rng: source of randomness.
    :param settings: times and limits.

    Usage::

        scheduler.activate(epoch, now)
        scheduler.jobs_changed(ledger.live_records(data_centre), now)
        call = scheduler.next_call(epoch, lease_left, now)
        actions = scheduler.platform_answered(answer, now)
    """

    def __init__(
        self,
        data_centre: DataCentreId,
        rng: random.Random,
        settings: SchedulerSettings = SchedulerSettings(),  # noqa: B008
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._settings = settings
        self._configuration = Configuration()
        self._loads_by_data_centre: dict[DataCentreId, DataCentreLoad] = {}
        self._largest = Shape()
        self._permitted = True
        self._active: _ActiveState | None = None

    @property
    def is_call_urgent(self) -> bool:
        """Return whether the next call should not wait for the interval."""
        active = self._active
        return active is not None and (active.gangs.has_urgent_orders or not active.has_synced)

    @property
    def worker_count(self) -> int:
        """Return the number of workers that the platform has reported."""
        return 0 if self._active is None else len(self._active.fleet.workers_by_id)

    @property
    def has_work(self) -> bool:
        """Return whether any job of the data centre is queued or started."""
        return self._active is not None and bool(self._active.records_by_job)

    @property
    def is_busy(self) -> bool:
        """Return whether attempts wait for the log or for reports, so that time matters now."""
        active = self._active
        return active is not None and (not active.has_synced or active.gangs.is_busy)

    def activate(self, epoch: Epoch, now: Seconds) -> list[SchedulerAction]:
        """
        Become the holder. Afterwards all live records of the data centre go to
        :meth:`jobs_changed`; nothing is decided before the platform has reported everything.
        """
        self._active = _ActiveState(self._data_centre, epoch, self._settings)
        self._configure(self._active, now)
        return []

    def deactivate(self) -> None:
        """Stop being the holder: forget everything, send nothing any more."""
        self._active = None

    def permit_starts(self, starts: bool) -> None:
        """Allow or forbid starts, as the service switch and the state of the log demand."""
        self._permitted = starts
        if self._active is not None:
            self._active.dirty = True

    def configure(self, configuration: Configuration, now: Seconds) -> list[SchedulerAction]:
        """Take over a configuration."""
        self._configuration = configuration
        profiles = configuration.profiles_by_name.values()
        self._largest = largest_shape(p.shape for p in profiles if p.kind is WorkKind.JOB)
        if self._active is None:
            return []
        self._configure(self._active, now)
        return self.tick(now)

    def loads_reported(self, loads_by_data_centre: dict[DataCentreId, DataCentreLoad]) -> None:
        """Take over the loads of the other data centres, by which moved jobs are spread."""
        self._loads_by_data_centre = loads_by_data_centre
        if self._active is not None:
            self._active.rebalancer.loads_by_data_centre = loads_by_data_centre

    def jobs_changed(self, records: Iterable[JobRecord], now: Seconds) -> list[SchedulerAction]:
        """Take in many records at once, as after :meth:`activate`."""
        active = self._active
        if active is None:
            return []
        for record in records:
            self._job_changed(active, record, now)
        return self.tick(now)

    def job_changed(self, record: JobRecord, now: Seconds) -> list[SchedulerAction]:
        """
        Take in what a log entry made of a job that is, or was, of this data centre.

        :return: what to propose.
        """
        return self.jobs_changed((record,), now)

    def command_refused(
        self, command: JobCommand, refusal: Refusal, now: Seconds
    ) -> list[SchedulerAction]:
        """Take in that the log refused a command of this scheduler."""
        active = self._active
        if active is None or not isinstance(command, IntendStart):
            return []
        run = active.gangs.runs_by_job.get(command.job)
        if run is None or run.phase is not Phase.COMMITTING_START or run.proposal != command:
            return []
        active.gangs.release(run)
        return self.tick(now)

    def platform_answered(self, answer: PlatformAnswer, now: Seconds) -> list[SchedulerAction]:
        """
        Take in an answer of the platform, which may be late or repeated.

        :return: what to propose, or :class:`Fenced` if a later holder has called the platform.
        """
        active = self._active
        if active is None:
            return []
        if answer.fenced or answer.highest_epoch > active.epoch:
            return [Fenced(answer.highest_epoch)] if answer.highest_epoch > active.epoch else []
        sent_at = active.session.accept(answer)
        if sent_at is None:
            return []
        whole = active.session.is_whole(answer)
        if not whole and not active.has_synced:
            return []
        active.reports.workers_reported(answer.workers, whole, now)
        if not active.has_synced:
            active.has_synced = True
            self._adopt_all(active, now)
        active.reports.tasks_reported(answer.workers, now)
        active.gangs.reported_as_of = sent_at
        self._apply_health(active, now)
        active.dirty = True
        return self.tick(now)

    def tick(self, now: Seconds) -> list[SchedulerAction]:
        """Let time pass and decide what has come up since."""
        active = self._active
        if active is None or not active.has_synced:
            return []
        active.reports.tick(now)
        self._apply_health(active, now)
        self._drain(active, now)
        permitted = self._may_start(active)
        self._reopen(active, now)
        if permitted and (active.dirty or now - active.planned_at >= PLAN_INTERVAL):
            active.dirty = False
            active.planned_at = now
            active.planner.plan(now)
        commands = active.gangs.tick(permitted, now)
        self._reopen(active, now)
        commands += active.rebalancer.due(active.epoch, self._may_start(active), now)
        return [ProposeCommand(command) for command in commands]

    def next_call(self, epoch: Epoch, lease_left: Seconds, now: Seconds) -> PlatformCall:
        """
        Return the next call to the platform with all orders since the last one.

        :param lease_left: seconds for which the lease of the data centre is certain to last.
        """
        active = self._active
        if active is None or epoch != active.epoch:
            return PlatformCall(epoch=epoch)
        active.gangs.has_urgent_orders = False
        runs = (active.gangs.runs_by_job[job] for job in active.gangs.transitional_jobs)
        return active.session.assemble(epoch, runs, self._may_start(active), lease_left, now)

    def can_claim(self, profile: Profile) -> bool:
        """Return whether a unit of the profile's guarantee is unclaimed and has its place."""
        active = self._active
        if active is None or not active.has_synced or profile.guarantee is None:
            return False
        unit = active.witness.claimable(profile.workspace, profile.guarantee)
        return unit is not None and active.witness.place_of(unit) is not None

    def load(self, now: Seconds) -> DataCentreLoad:
        """Return how busy the data centre is."""
        active = self._active
        if active is None:
            return DataCentreLoad(self._data_centre)
        queued = sum(
            len(lane.heap) * _size(lane.profile) * active.estimates.expected(lane.profile)
            for lane in active.queue.lanes_by_profile.values()
        )
        return DataCentreLoad(
            data_centre=self._data_centre,
            heard=active.has_synced,
            accelerators=active.fleet.accelerators,
            free=max(0, active.fleet.free_accelerators),
            queued=queued,
            best_rack=max((rack.free for rack in active.fleet.racks_by_id.values()), default=0),
        )

    def status(self, now: Seconds) -> SchedulerStatus:
        """Return the state for operators."""
        active = self._active
        if active is None:
            return SchedulerStatus(self._data_centre, is_active=False, has_synced=False)
        lengths = active.queue.lengths().items()
        return SchedulerStatus(
            data_centre=self._data_centre,
            is_active=True,
            has_synced=active.has_synced,
            workers=len(active.fleet.workers_by_id),
            running=sum(r.phase is Phase.RUNNING for r in active.gangs.runs_by_job.values()),
            fragmentation=fragmentation(active.fleet, self._largest),
            queues=tuple(QueueLength(urgency, jobs) for urgency, jobs in lengths),
            shortfalls=tuple(active.witness.lacking()),
            quarantined=active.health.quarantined,
            slowest_reclaim=active.gangs.latency_maxima.slowest_reclaim,
            slowest_urgent_start=active.gangs.latency_maxima.slowest_urgent_start,
        )

    def _may_start(self, active: _ActiveState) -> bool:
        return self._permitted and not active.rebalancer.is_out

    def _configure(self, active: _ActiveState, now: Seconds) -> None:
        workspaces = list(self._configuration.workspaces_by_id.values())
        active.witness.configure(self._data_centre, workspaces)
        active.shares.configure({workspace.id: workspace.weight for workspace in workspaces})
        active.planner.configure(workspaces)
        active.rebalancer.loads_by_data_centre = self._loads_by_data_centre
        active.rebalancer.configure(self._configuration)
        active.dirty = True

    def _job_changed(self, active: _ActiveState, record: JobRecord, now: Seconds) -> None:
        live = record.state is not JobState.ENDED and record.data_centre == self._data_centre
        active.dirty = True
        if live:
            active.records_by_job[record.job] = record
        else:
            active.records_by_job.pop(record.job, None)
        run = active.gangs.runs_by_job.get(record.job)
        if run is not None:
            self._run_changed(active, run, record, live, now)
        if record.job not in active.gangs.runs_by_job:
            self._place_record(active, record, live, now)

    def _run_changed(
        self, active: _ActiveState, run: Run, record: JobRecord, live: bool, now: Seconds
    ) -> None:
        is_own = (record.attempt, record.epoch, record.placement) == (
            run.attempt,
            active.epoch,
            run.placement,
        )
        unstarted = run.phase in (Phase.RECLAIMING, Phase.COMMITTING_START)
        foreign = record.state is JobState.STARTED and not is_own
        if unstarted and (not live or foreign):
            active.gangs.release(run)
            return
        active.gangs.record_changed(record, self._may_start(active), now)

    def _place_record(
        self, active: _ActiveState, record: JobRecord, live: bool, now: Seconds
    ) -> None:
        if not live:
            active.queue.forget(record.job)
            active.planner.forget(record.job)
            active.rebalancer.forget(record.job)
            active.health.job_ended(record.job)
        elif record.state is JobState.QUEUED:
            if active.reports.has_orphans(record.job):
                return
            active.queue.put(record, now)
            active.rebalancer.check(record)
        else:
            active.queue.remove(record.job)
            if active.has_synced:
                self._adopt(active, record, now)
                active.witness.restore_lacking()

    def _reopen(self, active: _ActiveState, now: Seconds) -> None:
        """Queue again, or adopt, the jobs of attempts that were closed."""
        for run in active.gangs.released_runs:
            for task in run.tasks_by_id.values():
                if task.state in FINAL_TASK_STATES:
                    active.session.acknowledge(task.id)
            record = active.records_by_job.get(run.job)
            if record is not None and run.job not in active.gangs.runs_by_job:
                self._place_record(active, record, True, now)
            active.dirty = True
        active.gangs.released_runs.clear()

    def _adopt_all(self, active: _ActiveState, now: Seconds) -> None:
        """Adopt started jobs; first those that can't be preempted, which have no choice."""
        started = [r for r in active.records_by_job.values() if r.state is JobState.STARTED]
        started.sort(key=lambda r: (_is_preemptible(r.profile), r.submitted))
        for record in started:
            self._adopt(active, record, now)
        active.witness.restore_lacking()

    def _adopt(self, active: _ActiveState, record: JobRecord, now: Seconds) -> None:
        for worker in record.placement:
            active.reports.ensure_worker(worker, now)
        profile = record.profile
        unit: UnitKey | None = None
        if profile.guarantee is not None:
            unit = active.witness.claimable(profile.workspace, profile.guarantee)
        allocation = AllocationKind.PREEMPTIBLE
        if not _is_preemptible(profile):
            active.witness.force(record.placement, profile.shape.per_task, unit)
            allocation = (
                AllocationKind.NON_PREEMPTIBLE if unit is None else AllocationKind.GUARANTEED
            )
        elif unit is not None and active.witness.claim(unit, record.placement):
            allocation = AllocationKind.GUARANTEED
        else:
            unit = None
        run = active.gangs.adopt(record, allocation, unit, now)
        lost = {w for w in record.placement if not active.fleet.workers_by_id[w].ready}
        if lost:
            detail = f"{', '.join(sorted(lost))} was lost"
            active.gangs.stop(run, Cause.WORKER_LOST, now, detail)
        elif record.cancelled:
            active.gangs.stop(run, Cause.CANCELLED, now)

    def _apply_health(self, active: _ActiveState, now: Seconds) -> None:
        for worker in active.gangs.unresponsive_workers:
            active.reports.worker_unresponsive(worker, now)
        active.gangs.unresponsive_workers.clear()
        known = active.fleet.workers_by_id
        for name in active.health.newly_quarantined:
            active.fleet.set_quarantined(known[name], True)
            active.witness.worker_lost(known[name])
        active.health.newly_quarantined.clear()
        active.health.end_expired_quarantines(now)
        overdue = active.health.overdue_probations(now)
        returned = list(active.gangs.recovered_workers)
        returned += [known[name] for name in (*active.health.reinstated, *overdue)]
        active.gangs.recovered_workers.clear()
        active.health.reinstated.clear()
        returned = [worker for worker in returned if worker.quarantined]
        for worker in returned:
            active.fleet.set_quarantined(worker, False)
            active.fleet.releases += 1
            active.witness.worker_returned()

    def _drain(self, active: _ActiveState, now: Seconds) -> None:
        """Checkpoint what runs in a data centre that was taken out, if operators chose so."""
        here = self._configuration.data_centres_by_id.get(self._data_centre)
        if here is None or not active.rebalancer.is_out:
            return
        for run in list(active.gangs.runs_by_job.values()):
            if run.phase is Phase.RECLAIMING:
                active.gangs.stop(run, Cause.WITHDRAWN, now)
            elif here.drain is Drain.CHECKPOINT and _can_be_drained(run):
                active.gangs.evict(run.job, Cause.DRAINED, now)


def _can_be_drained(run: Run) -> bool:
    checkpointable = run.record.profile.checkpointable
    return run.phase is Phase.RUNNING and checkpointable and run.is_safe_to_preempt


def _is_preemptible(profile: Profile) -> bool:
    return profile.idempotent or profile.checkpointable


def _size(profile: Profile) -> int:
    return profile.shape.tasks * profile.shape.per_task.accelerators
