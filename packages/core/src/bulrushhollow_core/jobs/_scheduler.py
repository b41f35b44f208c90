"""
bulrushhollow_core.jobs._scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The scheduler of one data centre, which the holder of the data centre's lease runs.
"""

import random
from collections.abc import Iterable

from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._commands import IntendStart, JobCommand
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._fragmentation import fragmentation, largest_shape
from bulrushhollow_core.jobs._gangs import GangController
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import WorkerHealth
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._planner import Planner
from bulrushhollow_core.jobs._platform_session import PlatformSession
from bulrushhollow_core.jobs._queue import FairShares, JobQueue
from bulrushhollow_core.jobs._rebalancer import Rebalancer
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
from bulrushhollow_core.models import Configuration, Drain, Profile, Shape, WorkKind
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import FINAL_TASK_STATES, PlatformAnswer, PlatformCall

PLAN_INTERVAL = Seconds(1.0)
"""Seconds between two passes through the queue if nothing has happened in between."""


class _ActiveState:
    """
    State of an active scheduler; created anew for each epoch of the lease.

    :ivar has_synced: whether a full report of the platform has arrived.
    :ivar needs_planning: whether something has happened since the last pass through the queue.
    """

    def __init__(
        self, data_centre: DataCentreId, epoch: Epoch, settings: SchedulerSettings
    ) -> None:
        self.epoch = epoch
        self.has_synced = False
        self.needs_planning = True
        self.last_planned_at = Seconds(float("-inf"))
        self.records_by_job: dict[JobId, JobRecord] = {}
        self.refused_until_by_job: dict[JobId, Seconds] = {}
        """Jobs whose start the log refused, and until when each stays out of the queue."""
        self.fleet = Fleet()
        self.guarantees = GuaranteePlacements(self.fleet)
        self.health = WorkerHealth(settings)
        self.estimates = Estimates()
        self.shares = FairShares()
        self.queue = JobQueue(self.estimates, self.shares)
        self.session = PlatformSession(settings)
        self.gangs = GangController(
            self.fleet, self.guarantees, self.health, self.estimates, self.shares, settings
        )
        self.gangs.epoch = epoch
        self.planner = Planner(
            self.fleet,
            self.guarantees,
            self.gangs,
            self.queue,
            self.shares,
            self.estimates,
            self.health,
            settings,
        )
        self.reports = ReportHandler(
            self.fleet,
            self.guarantees,
            self.gangs,
            self.health,
            self.session,
            self.records_by_job,
            settings,
        )
        self.rebalancer = Rebalancer(data_centre, self.queue, settings)


class Scheduler:
    """
    Schedules the jobs of one data centre. It is active on the instance that holds the lease of the
    data centre, and does nothing on the others.

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
        self._largest_shape = Shape()
        self._starts_permitted = True
        self._active: _ActiveState | None = None

    @property
    def is_call_urgent(self) -> bool:
        """Return whether the next call to the platform should be made before it is due."""
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
        """Return whether attempts wait for the log or for reports and need frequent ticks."""
        active = self._active
        return active is not None and (not active.has_synced or active.gangs.is_busy)

    def activate(self, epoch: Epoch, now: Seconds) -> list[SchedulerAction]:
        """
        Start scheduling as the holder of the lease. The caller passes all live records of the data
        centre to :meth:`jobs_changed` next. Nothing is scheduled before a full report of the
        platform has arrived.

        :param epoch: fencing token of the lease.
        """
        self._active = _ActiveState(self._data_centre, epoch, self._settings)
        self._apply_configuration(self._active, now)
        return []

    def deactivate(self) -> None:
        """Stop scheduling, as the lease is lost, and drop all state."""
        self._active = None

    def permit_starts(self, permitted: bool) -> None:
        """Allow or forbid starts, according to the service switch and the state of the log."""
        self._starts_permitted = permitted
        if self._active is not None:
            self._active.needs_planning = True

    def configure(self, configuration: Configuration, now: Seconds) -> list[SchedulerAction]:
        """
        Apply a configuration.

        :return: what to propose.
        """
        self._configuration = configuration
        profiles = configuration.profiles_by_name.values()
        self._largest_shape = largest_shape(p.shape for p in profiles if p.kind is WorkKind.JOB)
        if self._active is None:
            return []
        self._apply_configuration(self._active, now)
        return self.tick(now)

    def loads_reported(self, loads_by_data_centre: dict[DataCentreId, DataCentreLoad]) -> None:
        """Update the loads of the other data centres, which decide where jobs are moved."""
        self._loads_by_data_centre = loads_by_data_centre
        if self._active is not None:
            self._active.rebalancer.loads_by_data_centre = loads_by_data_centre

    def jobs_changed(self, records: Iterable[JobRecord], now: Seconds) -> list[SchedulerAction]:
        """Process many records at once, for example after :meth:`activate`."""
        active = self._active
        if active is None:
            return []
        for record in records:
            self._job_changed(active, record, now)
        return self.tick(now)

    def job_changed(self, record: JobRecord, now: Seconds) -> list[SchedulerAction]:
        """
        Process the new record of a job that is, or was, in this data centre.

        :param record: the job after a log entry was applied.
        :return: what to propose.
        """
        return self.jobs_changed((record,), now)

    def command_refused(
        self, command: JobCommand, refusal: Refusal, now: Seconds
    ) -> list[SchedulerAction]:
        """
        Release the attempt whose start the log refused; ignore other refused commands. The job is
        queued again when its record changes, or after a delay.
        """
        active = self._active
        if active is None or not isinstance(command, IntendStart):
            return []
        run = active.gangs.runs_by_job.get(command.job)
        if run is None or run.phase is not Phase.COMMITTING_START or run.proposal != command:
            return []
        active.gangs.release(run)
        active.refused_until_by_job[run.job] = Seconds(now + self._settings.proposal_timeout)
        return self.tick(now)

    def platform_answered(self, answer: PlatformAnswer, now: Seconds) -> list[SchedulerAction]:
        """
        Process an answer of the platform, which may be late or repeated.

        :return: what to propose, or :class:`Fenced` if a later holder has called the platform.
        """
        active = self._active
        if active is None:
            return []
        if answer.fenced or answer.highest_epoch > active.epoch:
            return [Fenced(answer.highest_epoch)] if answer.highest_epoch > active.epoch else []
        if answer.highest_epoch < active.epoch:
            # An answer to a call of an earlier epoch; the numbers of calls start anew in each.
            return []
        sent_at = active.session.accept(answer)
        if sent_at is None:
            return []
        is_full = active.session.is_full_report(answer)
        if not is_full and not active.has_synced:
            return []
        active.reports.workers_reported(answer.workers, is_full, now)
        if not active.has_synced:
            active.has_synced = True
            self._adopt_started(active, now)
        active.reports.tasks_reported(answer.workers, now)
        active.gangs.reported_as_of = sent_at
        self._apply_health(active, now)
        active.needs_planning = True
        return self.tick(now)

    def tick(self, now: Seconds) -> list[SchedulerAction]:
        """
        Handle expired timers and plan the queue if that is due.

        :return: what to propose.
        """
        active = self._active
        if active is None or not active.has_synced:
            return []
        active.reports.tick(now)
        self._apply_health(active, now)
        self._drain(active, now)
        can_start = self._can_start(active)
        self._requeue_refused(active, now)
        self._requeue_released(active, now)
        if can_start and (active.needs_planning or now - active.last_planned_at >= PLAN_INTERVAL):
            active.needs_planning = False
            active.last_planned_at = now
            active.planner.plan(now)
        commands = active.gangs.tick(can_start, now)
        self._requeue_released(active, now)
        commands += active.rebalancer.due_commands(active.epoch, self._can_start(active), now)
        return [ProposeCommand(command) for command in commands]

    def next_call(self, epoch: Epoch, lease_left: Seconds, now: Seconds) -> PlatformCall:
        """
        Return the next call to the platform with all orders since the last call.

        :param lease_left: seconds for which the lease of the data centre is certain to last.
        """
        active = self._active
        if active is None or epoch != active.epoch:
            return PlatformCall(epoch=epoch)
        active.gangs.has_urgent_orders = False
        runs = (active.gangs.runs_by_job[job] for job in active.gangs.transitional_jobs)
        return active.session.build_call(epoch, runs, self._can_start(active), lease_left, now)

    def can_claim(self, profile: Profile) -> bool:
        """Return whether an unclaimed slot of the profile's guarantee has a placement."""
        active = self._active
        if active is None or not active.has_synced or profile.guarantee is None:
            return False
        slot = active.guarantees.claimable_slot(profile.workspace, profile.guarantee)
        return slot is not None and active.guarantees.placement_of(slot) is not None

    def load(self, now: Seconds) -> DataCentreLoad:
        """Return the load of the data centre."""
        active = self._active
        if active is None:
            return DataCentreLoad(self._data_centre)
        queued = sum(
            len(profile_queue.heap)
            * _gang_accelerators(profile_queue.profile)
            * active.estimates.expected(profile_queue.profile)
            for profile_queue in active.queue.queues_by_profile.values()
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
        """Return the status that operators see."""
        active = self._active
        if active is None:
            return SchedulerStatus(self._data_centre, is_active=False, has_synced=False)
        lengths = active.queue.lengths_by_urgency().items()
        return SchedulerStatus(
            data_centre=self._data_centre,
            is_active=True,
            has_synced=active.has_synced,
            workers=len(active.fleet.workers_by_id),
            running=sum(run.phase is Phase.RUNNING for run in active.gangs.runs_by_job.values()),
            fragmentation=fragmentation(active.fleet, self._largest_shape),
            queues=tuple(QueueLength(urgency, jobs) for urgency, jobs in lengths),
            shortfalls=tuple(active.guarantees.unmet_guarantees()),
            quarantined=active.health.quarantined,
            slowest_reclaim=active.gangs.latency_maxima.slowest_reclaim,
            slowest_urgent_start=active.gangs.latency_maxima.slowest_urgent_start,
        )

    def _can_start(self, active: _ActiveState) -> bool:
        return self._starts_permitted and not active.rebalancer.is_out

    def _apply_configuration(self, active: _ActiveState, now: Seconds) -> None:
        workspaces = list(self._configuration.workspaces_by_id.values())
        active.guarantees.configure(self._data_centre, workspaces)
        active.shares.configure({workspace.id: workspace.weight for workspace in workspaces})
        active.planner.configure(workspaces)
        active.rebalancer.loads_by_data_centre = self._loads_by_data_centre
        active.rebalancer.configure(self._configuration)
        active.needs_planning = True

    def _job_changed(self, active: _ActiveState, record: JobRecord, now: Seconds) -> None:
        is_live = record.state is not JobState.ENDED and record.data_centre == self._data_centre
        active.needs_planning = True
        active.refused_until_by_job.pop(record.job, None)
        if is_live:
            active.records_by_job[record.job] = record
        else:
            active.records_by_job.pop(record.job, None)
        run = active.gangs.runs_by_job.get(record.job)
        if run is not None:
            self._update_run(active, run, record, is_live, now)
        if record.job not in active.gangs.runs_by_job:
            self._queue_or_adopt(active, record, is_live, now)

    def _update_run(
        self, active: _ActiveState, run: Run, record: JobRecord, is_live: bool, now: Seconds
    ) -> None:
        is_current_attempt = (record.attempt, record.epoch, record.placement) == (
            run.attempt,
            active.epoch,
            run.placement,
        )
        is_unstarted = run.phase in (Phase.RECLAIMING, Phase.COMMITTING_START)
        is_other_attempt = record.state is JobState.STARTED and not is_current_attempt
        if is_unstarted and (not is_live or is_other_attempt):
            active.gangs.release(run)
            return
        active.gangs.record_changed(record, self._can_start(active), now)

    def _queue_or_adopt(
        self, active: _ActiveState, record: JobRecord, is_live: bool, now: Seconds
    ) -> None:
        if not is_live:
            active.queue.forget(record.job)
            active.planner.forget(record.job)
            active.rebalancer.forget(record.job)
            active.health.job_ended(record.job)
        elif record.state is JobState.QUEUED:
            if active.reports.has_orphans(record.job) or record.job in active.refused_until_by_job:
                return
            active.queue.put(record, now)
            active.rebalancer.check_fit(record)
        else:
            active.queue.remove(record.job)
            if active.has_synced:
                self._adopt(active, record, now)
                active.guarantees.place_missing_slots()

    def _requeue_released(self, active: _ActiveState, now: Seconds) -> None:
        """Queue again, or adopt, the jobs of released attempts."""
        for run in active.gangs.released_runs:
            for task in run.tasks_by_id.values():
                if task.state in FINAL_TASK_STATES:
                    active.session.acknowledge(task.id)
            record = active.records_by_job.get(run.job)
            if record is not None and run.job not in active.gangs.runs_by_job:
                self._queue_or_adopt(active, record, True, now)
            active.needs_planning = True
        active.gangs.released_runs.clear()

    def _requeue_refused(self, active: _ActiveState, now: Seconds) -> None:
        """Queue the jobs again whose refused starts may be proposed once more."""
        due = [job for job, until in active.refused_until_by_job.items() if now >= until]
        for job in due:
            del active.refused_until_by_job[job]
            if job in active.records_by_job and job not in active.gangs.runs_by_job:
                self._queue_or_adopt(active, active.records_by_job[job], True, now)
                active.needs_planning = True

    def _adopt_started(self, active: _ActiveState, now: Seconds) -> None:
        """Adopt started jobs; non-preemptible ones come first, since they can't be moved."""
        started = [
            record for record in active.records_by_job.values() if record.state is JobState.STARTED
        ]
        started.sort(key=lambda record: (_is_preemptible(record.profile), record.submitted))
        for record in started:
            self._adopt(active, record, now)
        active.guarantees.place_missing_slots()

    def _adopt(self, active: _ActiveState, record: JobRecord, now: Seconds) -> None:
        for worker in record.placement:
            active.reports.ensure_worker(worker, now)
        profile = record.profile
        slot: GuaranteeSlotKey | None = None
        if profile.guarantee is not None:
            slot = active.guarantees.claimable_slot(profile.workspace, profile.guarantee)
        allocation = AllocationKind.PREEMPTIBLE
        if not _is_preemptible(profile):
            active.guarantees.admit_running(record.placement, profile.shape.per_task, slot)
            allocation = (
                AllocationKind.NON_PREEMPTIBLE if slot is None else AllocationKind.GUARANTEED
            )
        elif slot is not None and active.guarantees.claim(slot, record.placement):
            allocation = AllocationKind.GUARANTEED
        else:
            slot = None
        run = active.gangs.adopt(record, allocation, slot, now)
        lost_workers = {
            worker for worker in record.placement if not active.fleet.workers_by_id[worker].ready
        }
        if lost_workers:
            detail = f"lost workers: {', '.join(sorted(lost_workers))}"
            active.gangs.stop(run, Cause.WORKER_LOST, now, detail)
        elif record.cancelled:
            active.gangs.stop(run, Cause.CANCELLED, now)

    def _apply_health(self, active: _ActiveState, now: Seconds) -> None:
        for worker in active.gangs.unresponsive_workers:
            active.reports.worker_unresponsive(worker, now)
        active.gangs.unresponsive_workers.clear()
        workers = active.fleet.workers_by_id
        for worker_id in active.health.newly_quarantined:
            active.fleet.set_quarantined(workers[worker_id], True)
            active.guarantees.worker_lost(workers[worker_id])
        active.health.newly_quarantined.clear()
        active.health.end_expired_quarantines(now)
        overdue = active.health.overdue_probations(now)
        recovered = list(active.gangs.recovered_workers)
        recovered += [workers[worker_id] for worker_id in (*active.health.reinstated, *overdue)]
        active.gangs.recovered_workers.clear()
        active.health.reinstated.clear()
        recovered = [worker for worker in recovered if worker.quarantined]
        for worker in recovered:
            active.fleet.set_quarantined(worker, False)
            active.fleet.release_count += 1
            active.guarantees.worker_returned()

    def _drain(self, active: _ActiveState, now: Seconds) -> None:
        """
        While the data centre is out, withdraw attempts that are not started, and checkpoint
        running ones if its drain setting says so.
        """
        data_centre = self._configuration.data_centres_by_id.get(self._data_centre)
        if data_centre is None or not active.rebalancer.is_out:
            return
        for run in list(active.gangs.runs_by_job.values()):
            if run.phase is Phase.RECLAIMING:
                active.gangs.stop(run, Cause.WITHDRAWN, now)
            elif data_centre.drain is Drain.CHECKPOINT and _can_be_drained(run):
                active.gangs.evict(run.job, Cause.DRAINED, now)


def _can_be_drained(run: Run) -> bool:
    checkpointable = run.record.profile.checkpointable
    return run.phase is Phase.RUNNING and checkpointable and run.is_safe_to_preempt


def _is_preemptible(profile: Profile) -> bool:
    return profile.idempotent or profile.checkpointable


def _gang_accelerators(profile: Profile) -> int:
    return profile.shape.tasks * profile.shape.per_task.accelerators
