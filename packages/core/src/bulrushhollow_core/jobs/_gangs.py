"""
bulrushhollow_core.jobs._gangs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The life of all attempts of one data centre: start whole or stop whole, preempt, adopt what a
former holder started, and tell the log the truth about each.
"""

import heapq

import msgspec

from bulrushhollow_core.ids import Attempt, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._commands import IntendStart, JobCommand
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import Health
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._queue import FairShares
from bulrushhollow_core.jobs._runs import (
    TRANSIT_PHASES,
    Cause,
    GangTask,
    Phase,
    Run,
    Standing,
    make_tasks,
    note_state,
)
from bulrushhollow_core.jobs._verdicts import judge
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Urgency
from bulrushhollow_core.platform import FINAL_TASK_STATES, TaskReport, TaskState

LOST_STATES = frozenset({TaskState.FAILED, TaskState.REFUSED, TaskState.STOPPED})
"""Final states after which the rest of a gang has to stop."""

REPORT_MARGIN = Seconds(1.0)
"""A start that the platform may still have carried out shows in its reports within this time."""


class _Limit(msgspec.Struct, frozen=True, order=True):
    """When a run reaches its run limit."""

    at: float
    job: JobId
    attempt: Attempt


class Tally(msgspec.Struct):
    """Longest times seen, in seconds."""

    slowest_reclaim: float = 0.0
    slowest_urgent_start: float = 0.0


class Gangs:
    """
    All live attempts.

    :param fleet: takes the physical room of tasks from it.
    :param guarantees: takes the room of non-preemptible work from it.
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        health: Health,
        estimates: Estimates,
        shares: FairShares,
        settings: SchedulerSettings,
    ) -> None:
        self.runs_by_job: dict[JobId, Run] = {}
        self.transit: dict[JobId, None] = {}
        self.tally = Tally()
        self.acquitted: list[Worker] = []
        self.disobedient: list[Worker] = []
        self.closed: list[Run] = []
        self.is_pressing = False
        self.heard_until = Seconds(float("-inf"))
        self._limits: list[_Limit] = []
        self._waiting: dict[JobId, None] = {}
        self._failed_checkpoints: set[JobId] = set()
        self._fleet = fleet
        self._guarantees = guarantees
        self._health = health
        self._estimates = estimates
        self._shares = shares
        self._settings = settings
        self.epoch = Epoch(0)

    @property
    def is_busy(self) -> bool:
        """Return whether any attempt waits for something that is expected within seconds."""
        return bool(self.transit or self._waiting or self.closed)

    def open(
        self,
        record: JobRecord,
        place: Placement,
        standing: Standing,
        slot: GuaranteeSlotKey | None,
        now: Seconds,
    ) -> Run:
        """
        Reserve workers for the next attempt of a job. Room of non-preemptible work has already
        been taken from the guarantees.

        :return: the attempt; it waits until its workers are free.
        """
        attempt = Attempt(record.attempt + 1)
        run = self._add(record, attempt, place, standing, slot, Phase.RECLAIMING, now)
        run.claimed_at = now
        self._waiting[run.job] = None
        return run

    def adopt(
        self, record: JobRecord, standing: Standing, slot: GuaranteeSlotKey | None, now: Seconds
    ) -> Run:
        """Take over a started attempt of a former holder; its tasks are yet to be heard of."""
        run = self._add(
            record, record.attempt, record.placement, standing, slot, Phase.ADOPTING, now
        )
        run.deadline = Seconds(now + self._settings.start_window + REPORT_MARGIN)
        run.sent = True
        run.claimed_at = now
        return run

    def record_changed(self, record: JobRecord, permitted: bool, now: Seconds) -> None:
        """Take in a log entry about a job that has a live attempt."""
        run = self.runs_by_job[record.job]
        run.record = record
        if record.state is JobState.STARTED and record.attempt == run.attempt:
            self._started(run, permitted, now)
        elif run.phase is Phase.SETTLING:
            self.close(run)
        elif run.phase in (Phase.RECLAIMING, Phase.INTENDING):
            if record.state is not JobState.QUEUED or record.attempt >= run.attempt:
                self.close(run)
        else:
            self.stop(run, Cause.WITHDRAWN, now)

    def forget(self, job: JobId) -> None:
        """Forget a job that will not be started here again."""
        self._failed_checkpoints.discard(job)

    def evict(self, job: JobId, cause: Cause, now: Seconds) -> None:
        """Checkpoint an attempt, or stop it if it can't be; it is over within the grace limit."""
        run = self.runs_by_job[job]
        if run.is_leaving:
            return
        if not run.record.profile.checkpointable or run.phase is not Phase.RUNNING:
            self.stop(run, cause, now)
            return
        run.cause = cause
        self._enter(run, Phase.CHECKPOINTING, now, Seconds(now + self._settings.grace))

    def stop(self, run: Run, cause: Cause, now: Seconds, detail: str = "") -> None:
        """Stop every task of an attempt at once."""
        if run.phase in (Phase.STOPPING, Phase.SETTLING):
            return
        run.cause = run.cause or cause
        run.detail = run.detail or detail
        if run.phase is Phase.RECLAIMING:
            self.close(run)
            return
        if run.phase is Phase.INTENDING:
            return
        window = self._settings.start_window + REPORT_MARGIN
        self._enter(run, Phase.STOPPING, now, Seconds(now + window))

    def task_reported(self, run: Run, report: TaskReport, now: Seconds) -> None:
        """Take in the state of one task of a live attempt."""
        task = run.tasks_by_id[report.task]
        if task.state is report.state:
            return
        if task.state is TaskState.CHECKPOINTING and report.state is TaskState.RUNNING:
            self._failed_checkpoints.add(run.job)
            run.checkpoint_failed = True
        note_state(task, report.state)
        if task.state in FINAL_TASK_STATES:
            self._task_over(run, task, report, now)
        self._look(run, now)

    def task_missing(self, run: Run, task: GangTask, now: Seconds) -> None:
        """Note that a worker which is up no longer has a task that was seen on it."""
        if task.gone:
            return
        self._let_go(run, task)
        self.stop(run, Cause.WORKER_LOST, now, f"{task.worker} no longer has {task.id}")
        self._look(run, now)

    def worker_down(self, worker: Worker, now: Seconds) -> None:
        """Stop every gang that has a task on a worker that was lost."""
        for job in list(worker.tasks_by_job):
            run = self.runs_by_job[job]
            if run.phase is Phase.RECLAIMING:
                self.close(run)
                continue
            if run.phase is Phase.INTENDING:
                run.cause = run.cause or Cause.WITHDRAWN
                continue
            started = run.running_since or run.claimed_at
            run.lost_quickly = now - started < self._settings.quick_loss
            run.job_suspected = run.job_suspected or run.lost_quickly
            self.stop(run, Cause.WORKER_LOST, now, f"{worker.id} was lost")

    def tick(self, permitted: bool, now: Seconds) -> list[JobCommand]:
        """
        Let time pass.

        :return: commands to propose now.
        """
        self._start_reclaimed(permitted, now)
        self._check_limits(now)
        for job in list(self.transit):
            self._tick_transit(self.runs_by_job[job], permitted, now)
        return self._due_proposals(now)

    def _check_limits(self, now: Seconds) -> None:
        while self._limits and self._limits[0].at <= now:
            limit = heapq.heappop(self._limits)
            run = self.runs_by_job.get(limit.job)
            if run is not None and run.attempt == limit.attempt:
                self.stop(run, Cause.RUN_LIMIT, now, "the run limit was reached")

    def close(self, run: Run) -> None:
        """Forget an attempt and give back whatever it still holds."""
        for task in run.tasks_by_id.values():
            self._let_go(run, task)
        if run.slot is not None:
            self._guarantees.release_claim(run.slot, run.place, run.need)
        elif run.standing is not Standing.BORROWED:
            self._guarantees.release(run.place, run.need)
        borrowed = run.standing is not Standing.CLAIM
        self._shares.add(run.record.profile.workspace, -run.accelerators, borrowed)
        del self.runs_by_job[run.job]
        self.closed.append(run)
        self.transit.pop(run.job, None)
        self._waiting.pop(run.job, None)

    def _add(
        self,
        record: JobRecord,
        attempt: Attempt,
        place: Placement,
        standing: Standing,
        slot: GuaranteeSlotKey | None,
        phase: Phase,
        now: Seconds,
    ) -> Run:
        run = Run(record, attempt, place, standing, phase, now, slot)
        run.tasks_by_id = make_tasks(record.job, attempt, place)
        run.checkpoint_failed = record.job in self._failed_checkpoints
        self.runs_by_job[record.job] = run
        for task in run.tasks_by_id.values():
            self._fleet.allocate(run.job, task.worker, run.need, 1)
        borrowed = standing is not Standing.CLAIM
        self._shares.add(record.profile.workspace, run.accelerators, borrowed)
        if phase in TRANSIT_PHASES:
            self.transit[run.job] = None
        return run

    def _enter(self, run: Run, phase: Phase, now: Seconds, deadline: Seconds) -> None:
        run.enter(phase, now, deadline)
        if phase in TRANSIT_PHASES:
            self.transit[run.job] = None
            self.is_pressing = True
        else:
            self.transit.pop(run.job, None)
        if phase in (Phase.INTENDING, Phase.SETTLING):
            self._waiting[run.job] = None

    def _started(self, run: Run, permitted: bool, now: Seconds) -> None:
        if run.phase is Phase.INTENDING:
            self._waiting.pop(run.job, None)
            run.proposal = None
            if run.cause is not None or run.record.cancelled or not permitted:
                run.cause = run.cause or Cause.WITHDRAWN
                self._settle(run, now)
                return
            deadline = Seconds(now + self._settings.start_window)
            self._enter(run, Phase.STARTING, now, deadline)
        elif run.record.cancelled:
            self.stop(run, Cause.CANCELLED, now)

    def _start_reclaimed(self, permitted: bool, now: Seconds) -> None:
        if not permitted:
            return
        room = self._settings.open_intents - sum(
            self.runs_by_job[job].phase is Phase.INTENDING for job in self._waiting
        )
        for job in list(self._waiting):
            run = self.runs_by_job[job]
            if room > 0 and run.phase is Phase.RECLAIMING and self._is_clear(run):
                room -= 1
                self._intend(run, now)

    def _is_clear(self, run: Run) -> bool:
        """Return whether all room of an attempt is free but for what later claims wait for."""
        workers = (self._fleet.workers_by_id[worker] for worker in set(run.place))
        return not any(self._is_taken(worker, run) for worker in workers)

    def _is_taken(self, worker: Worker, run: Run) -> bool:
        if not worker.free.is_overcommitted():
            return False
        room = worker.free.copy()
        for job, tasks in worker.tasks_by_job.items():
            other = self.runs_by_job[job]
            later = (other.claimed_at, other.job) > (run.claimed_at, run.job)
            if later and other.phase is Phase.RECLAIMING:
                room.add(other.need, tasks)
        return room.is_overcommitted()

    def _intend(self, run: Run, now: Seconds) -> None:
        if run.standing is Standing.CLAIM:
            waited = now - run.claimed_at
            self.tally.slowest_reclaim = max(self.tally.slowest_reclaim, waited)
        record = run.record
        run.proposal = IntendStart(
            record.job, run.attempt, self.epoch, run.place, record.data_centre
        )
        run.proposed_at = Seconds(float("-inf"))
        self._enter(run, Phase.INTENDING, now, Seconds(float("inf")))

    def _tick_transit(self, run: Run, permitted: bool, now: Seconds) -> None:
        if run.phase is Phase.STARTING and (not permitted and not run.sent):
            run.cause = Cause.WITHDRAWN
            self._settle(run, now)
            return
        if now < run.deadline:
            return
        match run.phase:
            case Phase.STARTING if now >= run.deadline + REPORT_MARGIN:
                self._blame_silent_workers(run, now)
                self.stop(run, Cause.WORKER_LOST, now, "not all tasks started in time")
            case Phase.ADOPTING:
                self.stop(run, Cause.WORKER_LOST, now, "not all tasks were found running")
            case Phase.CHECKPOINTING:
                self.stop(run, Cause.PREEMPTED, now)
            case Phase.STOPPING:
                self._give_up_silent_tasks(run, now)

    def _blame_silent_workers(self, run: Run, now: Seconds) -> None:
        for task in run.tasks_by_id.values():
            if task.state is None:
                self._blame(run, task, now)

    def _give_up_silent_tasks(self, run: Run, now: Seconds) -> None:
        """Count tasks as gone that can't run any more although nobody has said so."""
        for task in run.tasks_by_id.values():
            worker = self._fleet.workers_by_id[task.worker]
            heard = worker.ready and self.heard_until >= run.deadline
            if heard and not task.gone and task.state is not None:
                self.disobedient.append(worker)
            never_seen = heard and task.state is None
            lease_over = not worker.ready and now >= worker.leased_until
            if not task.gone and (never_seen or lease_over):
                self._let_go(run, task)
        self._look(run, now)

    def _look(self, run: Run, now: Seconds) -> None:
        """Go on to the next phase if the reports of the tasks allow or demand it."""
        if run.phase in (Phase.STARTING, Phase.ADOPTING):
            if run.all_in(*RUNNING_STATES):
                self._all_running(run, now)
            elif run.any_in(*LOST_STATES, TaskState.CHECKPOINTED):
                self.stop(run, Cause.WORKER_LOST, now, "a task ended before all had started")
        if run.phase is Phase.RUNNING and run.any_in(*LOST_STATES, TaskState.CHECKPOINTED):
            self.stop(run, Cause.WORKER_LOST, now, "a task ended unexpectedly")
        if run.phase is Phase.CHECKPOINTING and run.any_in(*LOST_STATES):
            self.stop(run, Cause.WORKER_LOST, now, "a task ended during the checkpoint")
        if run.phase not in UNSTARTED_PHASES and all(t.gone for t in run.tasks_by_id.values()):
            self._settle(run, now)

    def _all_running(self, run: Run, now: Seconds) -> None:
        if run.running_since is None:
            run.running_since = now
            limit = now + run.record.profile.run_limit
            heapq.heappush(self._limits, _Limit(limit, run.job, run.attempt))
        urgent = run.record.profile.urgency is Urgency.URGENT
        if urgent and run.phase is Phase.STARTING:
            waited = now - run.claimed_at
            self.tally.slowest_urgent_start = max(self.tally.slowest_urgent_start, waited)
        self._enter(run, Phase.RUNNING, now, Seconds(float("inf")))
        if run.record.cancelled:
            self.stop(run, Cause.CANCELLED, now)

    def _task_over(self, run: Run, task: GangTask, report: TaskReport, now: Seconds) -> None:
        worker = self._fleet.workers_by_id[task.worker]
        if task.state is TaskState.SUCCEEDED:
            self._health.succeeded(worker.id)
            if worker.quarantined and not self._health.is_quarantined(worker.id):
                self.acquitted.append(worker)
        failed = task.state in (TaskState.FAILED, TaskState.REFUSED)
        if failed and run.cause is None:
            self._blame(run, task, now)
            self.stop(run, Cause.TASK_FAILED, now, report.detail)
        self._let_go(run, task)

    def _blame(self, run: Run, task: GangTask, now: Seconds) -> None:
        suspect = self._health.is_suspect(task.worker)
        self._health.failed(task.worker, run.job, now)
        widespread = len(self._health.workers_failed_by(run.job)) >= self._settings.failure_limit
        if task.state is TaskState.FAILED and (widespread or not suspect):
            run.job_suspected = True

    def _let_go(self, run: Run, task: GangTask) -> None:
        if not task.gone:
            task.gone = True
            self._fleet.deallocate(run.job, task.worker, run.need, 1)

    def _settle(self, run: Run, now: Seconds) -> None:
        for task in run.tasks_by_id.values():
            self._let_go(run, task)
        if run.record.state is not JobState.STARTED or run.record.attempt != run.attempt:
            self.close(run)
            return
        if run.all_in(TaskState.SUCCEEDED) and run.running_since is not None:
            elapsed = Seconds(now - run.running_since)
            self._estimates.observe(run.record.profile, elapsed)
            self._health.job_succeeded(run.job, now)
        run.proposal = judge(run, self.epoch, self._settings)
        run.proposed_at = Seconds(float("-inf"))
        self._enter(run, Phase.SETTLING, now, Seconds(float("inf")))

    def _due_proposals(self, now: Seconds) -> list[JobCommand]:
        commands: list[JobCommand] = []
        for job in self._waiting:
            run = self.runs_by_job[job]
            if run.proposal is None:
                continue
            if now - run.proposed_at >= self._settings.proposal_timeout:
                run.proposed_at = now
                commands.append(run.proposal)
        return commands


UNSTARTED_PHASES = frozenset({Phase.RECLAIMING, Phase.INTENDING, Phase.SETTLING})
"""Phases in which reports of tasks mean nothing."""

RUNNING_STATES = (TaskState.RUNNING, TaskState.SUCCEEDED, TaskState.CHECKPOINTING)
"""States that show that a task was started whole."""
