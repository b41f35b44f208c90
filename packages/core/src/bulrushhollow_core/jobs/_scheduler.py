"""
bulrushhollow_core.jobs._scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The scheduler of one data centre as its lease holder drives it.
"""

import random
from collections.abc import Iterable

from bulrushhollow_core.ids import DataCentreId, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._calls import Calls
from bulrushhollow_core.jobs._commands import IntendStart, JobCommand
from bulrushhollow_core.jobs._departures import Departures
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet
from bulrushhollow_core.jobs._fragmentation import fragmentation, largest_shape
from bulrushhollow_core.jobs._gangs import Gangs
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import Health
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._planner import Planner
from bulrushhollow_core.jobs._queue import FairShares, JobQueue
from bulrushhollow_core.jobs._reports import Reports
from bulrushhollow_core.jobs._runs import Cause, Phase, Run, Standing
from bulrushhollow_core.jobs._views import (
    DataCentreLoad,
    Fenced,
    ProposeJob,
    QueueLength,
    SchedulerAction,
    SchedulerSettings,
    SchedulerStatus,
)
from bulrushhollow_core.models import Configuration, Drain, Profile, Shape, WorkKind
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.platform import FINAL_TASK_STATES, PlatformAnswer, PlatformCall

PLAN_INTERVAL = Seconds(1.0)
"""The queue is gone through this often even if nothing has happened."""

NO_EPOCH = Epoch(0)


class _Leadership:
    """Everything a holder knows; made new for each epoch."""

    def __init__(
        self, data_centre: DataCentreId, epoch: Epoch, settings: SchedulerSettings
    ) -> None:
        self.epoch = epoch
        self.heard = False
        self.dirty = True
        self.planned_at = Seconds(float("-inf"))
        self.records_by_job: dict[JobId, JobRecord] = {}
        self.fleet = Fleet()
        self.guarantees = GuaranteePlacements(self.fleet)
        self.health = Health(settings)
        self.estimates = Estimates()
        self.shares = FairShares()
        self.queue = JobQueue(self.estimates, self.shares)
        self.calls = Calls(settings)
        self.gangs = Gangs(
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
        self.reports = Reports(
            self.fleet,
            self.guarantees,
            self.gangs,
            self.health,
            self.calls,
            self.records_by_job,
            settings,
        )
        self.departures = Departures(data_centre, self.queue, settings)


class Scheduler:
    """
    Decides for one data centre, on the instance that holds its lease.

    :param data_centre: the data centre.
    :param rng: source of randomness.
    :param settings: times and limits.

    Usage::

        scheduler.lead(epoch, now)
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
        self._lead: _Leadership | None = None

    @property
    def urgent_call(self) -> bool:
        """Return whether the next call should not wait for the interval."""
        lead = self._lead
        return lead is not None and (lead.gangs.is_pressing or not lead.heard)

    @property
    def workers(self) -> int:
        """Return the number of workers that the platform has reported."""
        return 0 if self._lead is None else len(self._lead.fleet.workers_by_id)

    @property
    def has_work(self) -> bool:
        """Return whether any job of the data centre is queued or started."""
        return self._lead is not None and bool(self._lead.records_by_job)

    @property
    def is_busy(self) -> bool:
        """Return whether attempts wait for the log or for reports, so that time matters now."""
        lead = self._lead
        return lead is not None and (not lead.heard or lead.gangs.is_busy)

    def lead(self, epoch: Epoch, now: Seconds) -> list[SchedulerAction]:
        """
        Become the holder. Afterwards all live records of the data centre go to
        :meth:`jobs_changed`; nothing is decided before the platform has reported everything.
        """
        self._lead = _Leadership(self._data_centre, epoch, self._settings)
        self._configure(self._lead, now)
        return []

    def resign(self) -> None:
        """Stop being the holder: forget everything, send nothing any more."""
        self._lead = None

    def permit(self, starts: bool) -> None:
        """Allow or forbid starts, as the service switch and the state of the log demand."""
        self._permitted = starts
        if self._lead is not None:
            self._lead.dirty = True

    def configure(self, configuration: Configuration, now: Seconds) -> list[SchedulerAction]:
        """Take over a configuration."""
        self._configuration = configuration
        profiles = configuration.profiles_by_name.values()
        self._largest = largest_shape(p.shape for p in profiles if p.kind is WorkKind.JOB)
        if self._lead is None:
            return []
        self._configure(self._lead, now)
        return self.tick(now)

    def loads_heard(self, loads_by_data_centre: dict[DataCentreId, DataCentreLoad]) -> None:
        """Take over the loads of the other data centres, by which moved jobs are spread."""
        self._loads_by_data_centre = loads_by_data_centre
        if self._lead is not None:
            self._lead.departures.loads_by_data_centre = loads_by_data_centre

    def jobs_changed(self, records: Iterable[JobRecord], now: Seconds) -> list[SchedulerAction]:
        """Take in many records at once, as after :meth:`lead`."""
        lead = self._lead
        if lead is None:
            return []
        for record in records:
            self._job_changed(lead, record, now)
        return self.tick(now)

    def job_changed(self, record: JobRecord, now: Seconds) -> list[SchedulerAction]:
        """
        Take in what a log entry made of a job that is, or was, of this data centre.

        :return: what to propose.
        """
        return self.jobs_changed((record,), now)

    def job_refused(
        self, command: JobCommand, refusal: Refusal, now: Seconds
    ) -> list[SchedulerAction]:
        """Take in that the log refused a command of this scheduler."""
        lead = self._lead
        if lead is None or not isinstance(command, IntendStart):
            return []
        run = lead.gangs.runs_by_job.get(command.job)
        if run is None or run.phase is not Phase.INTENDING or run.proposal != command:
            return []
        lead.gangs.close(run)
        return self.tick(now)

    def platform_answered(self, answer: PlatformAnswer, now: Seconds) -> list[SchedulerAction]:
        """
        Take in an answer of the platform, which may be late or repeated.

        :return: what to propose, or :class:`Fenced` if a later holder has called the platform.
        """
        lead = self._lead
        if lead is None:
            return []
        if answer.fenced or answer.highest_epoch > lead.epoch:
            return [Fenced(answer.highest_epoch)] if answer.highest_epoch > lead.epoch else []
        sent_at = lead.calls.accept(answer)
        if sent_at is None:
            return []
        whole = lead.calls.is_whole(answer)
        if not whole and not lead.heard:
            return []
        lead.reports.workers_reported(answer.workers, whole, now)
        if not lead.heard:
            lead.heard = True
            self._adopt_all(lead, now)
        lead.reports.tasks_reported(answer.workers, now)
        lead.gangs.heard_until = sent_at
        self._apply_health(lead, now)
        lead.dirty = True
        return self.tick(now)

    def tick(self, now: Seconds) -> list[SchedulerAction]:
        """Let time pass and decide what has come up since."""
        lead = self._lead
        if lead is None or not lead.heard:
            return []
        lead.reports.tick(now)
        self._apply_health(lead, now)
        self._drain(lead, now)
        permitted = self._may_start(lead)
        self._reopen(lead, now)
        if permitted and (lead.dirty or now - lead.planned_at >= PLAN_INTERVAL):
            lead.dirty = False
            lead.planned_at = now
            lead.planner.plan(now)
        commands = lead.gangs.tick(permitted, now)
        self._reopen(lead, now)
        commands += lead.departures.due(lead.epoch, self._may_start(lead), now)
        return [ProposeJob(command) for command in commands]

    def next_call(self, epoch: Epoch, lease_left: Seconds, now: Seconds) -> PlatformCall:
        """
        Return the next call to the platform with all orders since the last one.

        :param lease_left: seconds for which the lease of the data centre is certain to last.
        """
        lead = self._lead
        if lead is None or epoch != lead.epoch:
            return PlatformCall(epoch=epoch)
        lead.gangs.is_pressing = False
        runs = (lead.gangs.runs_by_job[job] for job in lead.gangs.transit)
        return lead.calls.assemble(epoch, runs, self._may_start(lead), lease_left, now)

    def can_claim(self, profile: Profile) -> bool:
        """Return whether a slot of the profile's guarantee is unclaimed and has its place."""
        lead = self._lead
        if lead is None or not lead.heard or profile.guarantee is None:
            return False
        slot = lead.guarantees.claimable_slot(profile.workspace, profile.guarantee)
        return slot is not None and lead.guarantees.placement_of(slot) is not None

    def load(self, now: Seconds) -> DataCentreLoad:
        """Return how busy the data centre is."""
        lead = self._lead
        if lead is None:
            return DataCentreLoad(self._data_centre)
        queued = sum(
            len(queue.heap) * _size(queue.profile) * lead.estimates.expected(queue.profile)
            for queue in lead.queue.queues_by_profile.values()
        )
        return DataCentreLoad(
            data_centre=self._data_centre,
            heard=lead.heard,
            accelerators=lead.fleet.accelerators,
            free=max(0, lead.fleet.free_accelerators),
            queued=queued,
            best_rack=max((rack.free for rack in lead.fleet.racks_by_id.values()), default=0),
        )

    def status(self, now: Seconds) -> SchedulerStatus:
        """Return the state for operators."""
        lead = self._lead
        if lead is None:
            return SchedulerStatus(self._data_centre, leading=False, heard=False)
        lengths = lead.queue.lengths_by_urgency().items()
        return SchedulerStatus(
            data_centre=self._data_centre,
            leading=True,
            heard=lead.heard,
            workers=len(lead.fleet.workers_by_id),
            running=sum(r.phase is Phase.RUNNING for r in lead.gangs.runs_by_job.values()),
            fragmentation=fragmentation(lead.fleet, self._largest),
            queues=tuple(QueueLength(urgency, jobs) for urgency, jobs in lengths),
            lacking=tuple(lead.guarantees.unmet_guarantees()),
            quarantined=lead.health.quarantined,
            slowest_reclaim=lead.gangs.tally.slowest_reclaim,
            slowest_urgent_start=lead.gangs.tally.slowest_urgent_start,
        )

    def _may_start(self, lead: _Leadership) -> bool:
        return self._permitted and not lead.departures.is_out

    def _configure(self, lead: _Leadership, now: Seconds) -> None:
        workspaces = list(self._configuration.workspaces_by_id.values())
        lead.guarantees.configure(self._data_centre, workspaces)
        lead.shares.configure({workspace.id: workspace.weight for workspace in workspaces})
        lead.planner.configure(workspaces)
        lead.departures.loads_by_data_centre = self._loads_by_data_centre
        lead.departures.configure(self._configuration)
        lead.dirty = True

    def _job_changed(self, lead: _Leadership, record: JobRecord, now: Seconds) -> None:
        live = record.state is not JobState.ENDED and record.data_centre == self._data_centre
        lead.dirty = True
        if live:
            lead.records_by_job[record.job] = record
        else:
            lead.records_by_job.pop(record.job, None)
        run = lead.gangs.runs_by_job.get(record.job)
        if run is not None:
            self._run_changed(lead, run, record, live, now)
        if record.job not in lead.gangs.runs_by_job:
            self._place_record(lead, record, live, now)

    def _run_changed(
        self, lead: _Leadership, run: Run, record: JobRecord, live: bool, now: Seconds
    ) -> None:
        is_own = (record.attempt, record.epoch, record.placement) == (
            run.attempt,
            lead.epoch,
            run.place,
        )
        unstarted = run.phase in (Phase.RECLAIMING, Phase.INTENDING)
        foreign = record.state is JobState.STARTED and not is_own
        if unstarted and (not live or foreign):
            lead.gangs.close(run)
            return
        lead.gangs.record_changed(record, self._may_start(lead), now)

    def _place_record(self, lead: _Leadership, record: JobRecord, live: bool, now: Seconds) -> None:
        if not live:
            lead.queue.forget(record.job)
            lead.planner.forget(record.job)
            lead.departures.forget(record.job)
            lead.health.job_ended(record.job)
        elif record.state is JobState.QUEUED:
            if lead.reports.is_strange(record.job):
                return
            lead.queue.put(record, now)
            lead.departures.check(record)
        else:
            lead.queue.remove(record.job)
            if lead.heard:
                self._adopt(lead, record, now)
                lead.guarantees.place_missing_slots()

    def _reopen(self, lead: _Leadership, now: Seconds) -> None:
        """Queue again, or adopt, the jobs of attempts that were closed."""
        for run in lead.gangs.closed:
            for task in run.tasks_by_id.values():
                if task.state in FINAL_TASK_STATES:
                    lead.calls.acknowledge(task.id)
            record = lead.records_by_job.get(run.job)
            if record is not None and run.job not in lead.gangs.runs_by_job:
                self._place_record(lead, record, True, now)
            lead.dirty = True
        lead.gangs.closed.clear()

    def _adopt_all(self, lead: _Leadership, now: Seconds) -> None:
        """Adopt started jobs; first those that can't be preempted, which have no choice."""
        started = [r for r in lead.records_by_job.values() if r.state is JobState.STARTED]
        started.sort(key=lambda r: (_is_preemptible(r.profile), r.submitted))
        for record in started:
            self._adopt(lead, record, now)
        lead.guarantees.place_missing_slots()

    def _adopt(self, lead: _Leadership, record: JobRecord, now: Seconds) -> None:
        for worker in record.placement:
            lead.reports.expect_worker(worker, now)
        profile = record.profile
        slot: GuaranteeSlotKey | None = None
        if profile.guarantee is not None:
            slot = lead.guarantees.claimable_slot(profile.workspace, profile.guarantee)
        standing = Standing.BORROWED
        if not _is_preemptible(profile):
            lead.guarantees.admit_running(record.placement, profile.shape.per_task, slot)
            standing = Standing.FIRM if slot is None else Standing.CLAIM
        elif slot is not None and lead.guarantees.claim(slot, record.placement):
            standing = Standing.CLAIM
        else:
            slot = None
        run = lead.gangs.adopt(record, standing, slot, now)
        lost = {w for w in record.placement if not lead.fleet.workers_by_id[w].ready}
        if lost:
            detail = f"{', '.join(sorted(lost))} was lost"
            lead.gangs.stop(run, Cause.WORKER_LOST, now, detail)
        elif record.cancelled:
            lead.gangs.stop(run, Cause.CANCELLED, now)

    def _apply_health(self, lead: _Leadership, now: Seconds) -> None:
        for worker in lead.gangs.disobedient:
            lead.reports.worker_disobeyed(worker, now)
        lead.gangs.disobedient.clear()
        known = lead.fleet.workers_by_id
        for name in lead.health.newly_quarantined:
            lead.fleet.set_quarantined(known[name], True)
            lead.guarantees.worker_lost(known[name])
        lead.health.newly_quarantined.clear()
        lead.health.ended_quarantines(now)
        overdue = lead.health.overdue_probations(now)
        returned = list(lead.gangs.acquitted)
        returned += [known[name] for name in (*lead.health.pardoned, *overdue)]
        lead.gangs.acquitted.clear()
        lead.health.pardoned.clear()
        returned = [worker for worker in returned if worker.quarantined]
        for worker in returned:
            lead.fleet.set_quarantined(worker, False)
            lead.fleet.release_count += 1
            lead.guarantees.worker_returned()

    def _drain(self, lead: _Leadership, now: Seconds) -> None:
        """Checkpoint what runs in a data centre that was taken out, if operators chose so."""
        here = self._configuration.data_centres_by_id.get(self._data_centre)
        if here is None or not lead.departures.is_out:
            return
        for run in list(lead.gangs.runs_by_job.values()):
            if run.phase is Phase.RECLAIMING:
                lead.gangs.stop(run, Cause.WITHDRAWN, now)
            elif here.drain is Drain.CHECKPOINT and _can_be_drained(run):
                lead.gangs.evict(run.job, Cause.DRAINED, now)


def _can_be_drained(run: Run) -> bool:
    checkpointable = run.record.profile.checkpointable
    return run.phase is Phase.RUNNING and checkpointable and run.is_safe_to_move


def _is_preemptible(profile: Profile) -> bool:
    return profile.idempotent or profile.checkpointable


def _size(profile: Profile) -> int:
    return profile.shape.tasks * profile.shape.per_task.accelerators
