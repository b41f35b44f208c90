"""
bulrushhollow_core.jobs._gangs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Controls the life cycle of all attempts of one data centre. The tasks of an attempt start together
or not at all. Attempts are preempted, stopped, and adopted if a former holder of the lease started
them; the end of each is proposed to the log.
"""

import heapq

import msgspec

from bulrushhollow_core.ids import Attempt, Epoch, JobId, Seconds
from bulrushhollow_core.jobs._commands import IntendStart, JobCommand
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._fleet import Fleet, Placement, Worker
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import WorkerHealth
from bulrushhollow_core.jobs._ledger import JobRecord, JobState
from bulrushhollow_core.jobs._outcomes import decide_outcome
from bulrushhollow_core.jobs._queue import FairShares
from bulrushhollow_core.jobs._runs import (
    TRANSITIONAL_PHASES,
    AllocationKind,
    Cause,
    GangTask,
    Phase,
    Run,
    build_tasks,
    update_task_state,
)
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Urgency
from bulrushhollow_core.platform import FINAL_TASK_STATES, TaskReport, TaskState

UNSUCCESSFUL_STATES = frozenset({TaskState.FAILED, TaskState.REFUSED, TaskState.STOPPED})
"""Final states of a task after which the other tasks of its gang are stopped."""

REPORT_MARGIN = Seconds(1.0)
"""Seconds within which the platform reports a task that it started just before a deadline."""


class _RunLimit(msgspec.Struct, frozen=True, order=True):
    """
    The time at which an attempt reaches its run limit.

    :param at: time of the scheduler's clock.
    """

    at: float
    job: JobId
    attempt: Attempt


class LatencyMaxima(msgspec.Struct):
    """
    The longest latencies so far, in seconds.

    :param slowest_reclaim: from a claim to the release of all its workers.
    :param slowest_urgent_start: from the reservation of the workers of an urgent job to its start.
    """

    slowest_reclaim: float = 0.0
    slowest_urgent_start: float = 0.0


class GangController:
    """
    Owns all live attempts and moves each through its phases.

    :param fleet: accounts for the capacity that tasks occupy.
    :param guarantees: accounts for the spare capacity that non-preemptible work takes.
    :ivar transitional_jobs: jobs whose attempt needs orders or has a deadline, in order of arrival.
    :ivar recovered_workers: quarantined workers on which a probe has succeeded.
    :ivar unresponsive_workers: workers that still report tasks after the stop deadline.
    :ivar released_runs: attempts that were released and whose jobs the scheduler has yet to handle.
    :ivar has_urgent_orders: whether orders wait that the next call to the platform should carry.
    :ivar reported_as_of: time up to which the reports of the platform are complete.
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        health: WorkerHealth,
        estimates: Estimates,
        shares: FairShares,
        settings: SchedulerSettings,
    ) -> None:
        self.runs_by_job: dict[JobId, Run] = {}
        self.transitional_jobs: dict[JobId, None] = {}
        self.latency_maxima = LatencyMaxima()
        self.recovered_workers: list[Worker] = []
        self.unresponsive_workers: list[Worker] = []
        self.released_runs: list[Run] = []
        self.has_urgent_orders = False
        self.reported_as_of = Seconds(float("-inf"))
        self._run_limits: list[_RunLimit] = []
        self._waiting_jobs: dict[JobId, None] = {}
        self._jobs_with_failed_checkpoint: set[JobId] = set()
        self._fleet = fleet
        self._guarantees = guarantees
        self._health = health
        self._estimates = estimates
        self._shares = shares
        self._settings = settings
        self.epoch = Epoch(0)

    @property
    def is_busy(self) -> bool:
        """Return whether any attempt waits for an event that is expected within seconds."""
        return bool(self.transitional_jobs or self._waiting_jobs or self.released_runs)

    def allocate(
        self,
        record: JobRecord,
        placement: Placement,
        allocation: AllocationKind,
        slot: GuaranteeSlotKey | None,
        now: Seconds,
    ) -> Run:
        """
        Allocate workers to the next attempt of a job. For non-preemptible work, the caller has
        already taken the spare capacity of the workers.

        :return: the attempt; it starts once its workers are free.
        """
        attempt = Attempt(record.attempt + 1)
        run = self._add_run(record, attempt, placement, allocation, slot, Phase.RECLAIMING, now)
        run.reserved_at = now
        self._waiting_jobs[run.job] = None
        return run

    def adopt(
        self,
        record: JobRecord,
        allocation: AllocationKind,
        slot: GuaranteeSlotKey | None,
        now: Seconds,
    ) -> Run:
        """Adopt an attempt that a former holder started; its tasks are still to be reported."""
        run = self._add_run(
            record, record.attempt, record.placement, allocation, slot, Phase.ADOPTING, now
        )
        run.deadline = Seconds(now + self._settings.start_window + REPORT_MARGIN)
        run.start_sent = True
        run.reserved_at = now
        return run

    def record_changed(self, record: JobRecord, can_start: bool, now: Seconds) -> None:
        """Process the new record of a job that has a live attempt."""
        run = self.runs_by_job[record.job]
        run.record = record
        if record.state is JobState.STARTED and record.attempt == run.attempt:
            self._start_committed(run, can_start, now)
        elif run.phase is Phase.COMMITTING_END:
            self.release(run)
        elif run.phase in (Phase.RECLAIMING, Phase.COMMITTING_START):
            if record.state is not JobState.QUEUED or record.attempt >= run.attempt:
                self.release(run)
        else:
            self.stop(run, Cause.WITHDRAWN, now)

    def forget(self, job: JobId) -> None:
        """Drop the state of a job that will not be started here again."""
        self._jobs_with_failed_checkpoint.discard(job)

    def evict(self, job: JobId, cause: Cause, now: Seconds) -> None:
        """
        Checkpoint and end an attempt, or stop it if it can't be checkpointed. It is stopped if the
        checkpoint takes longer than the grace period.
        """
        run = self.runs_by_job[job]
        if run.is_terminating:
            return
        if not run.record.profile.checkpointable or run.phase is not Phase.RUNNING:
            self.stop(run, cause, now)
            return
        run.cause = cause
        self._enter_phase(
            run, Phase.CHECKPOINTING, now, Seconds(now + self._settings.checkpoint_grace)
        )

    def stop(self, run: Run, cause: Cause, now: Seconds, detail: str = "") -> None:
        """Stop every task of an attempt at once, or withdraw the attempt before its start."""
        if run.phase in (Phase.STOPPING, Phase.COMMITTING_END):
            return
        run.cause = run.cause or cause
        run.detail = run.detail or detail
        if run.phase is Phase.RECLAIMING:
            self.release(run)
            return
        if run.phase is Phase.COMMITTING_START:
            return
        window = self._settings.start_window + REPORT_MARGIN
        self._enter_phase(run, Phase.STOPPING, now, Seconds(now + window))

    def task_reported(self, run: Run, report: TaskReport, now: Seconds) -> None:
        """Process the reported state of one task of a live attempt."""
        task = run.tasks_by_id[report.task]
        if task.state is report.state:
            return
        if task.state is TaskState.CHECKPOINTING and report.state is TaskState.RUNNING:
            self._jobs_with_failed_checkpoint.add(run.job)
            run.checkpoint_failed = True
        update_task_state(task, report.state)
        if task.state in FINAL_TASK_STATES:
            self._task_ended(run, task, report, now)
        self._advance_phase(run, now)

    def task_missing(self, run: Run, task: GangTask, now: Seconds) -> None:
        """Stop an attempt of which a worker that is up no longer reports a task."""
        if task.is_released:
            return
        self._release_task(run, task)
        self.stop(
            run, Cause.WORKER_LOST, now, f"worker {task.worker} no longer reports task {task.id}"
        )
        self._advance_phase(run, now)

    def worker_down(self, worker: Worker, now: Seconds) -> None:
        """Stop every gang that has a task on a lost worker."""
        for job in list(worker.tasks_by_job):
            run = self.runs_by_job[job]
            if run.phase is Phase.RECLAIMING:
                self.release(run)
                continue
            if run.phase is Phase.COMMITTING_START:
                run.cause = run.cause or Cause.WITHDRAWN
                continue
            started_at = run.running_since or run.reserved_at
            run.lost_early = now - started_at < self._settings.early_loss_window
            run.is_job_suspect = run.is_job_suspect or run.lost_early
            self.stop(run, Cause.WORKER_LOST, now, f"worker {worker.id} was lost")

    def tick(self, can_start: bool, now: Seconds) -> list[JobCommand]:
        """
        Propose starts whose workers are free, and enforce run limits and phase deadlines.

        :return: commands to propose now.
        """
        self._propose_starts(can_start, now)
        self._enforce_run_limits(now)
        for job in list(self.transitional_jobs):
            self._check_deadline(self.runs_by_job[job], can_start, now)
        return self._due_proposals(now)

    def _enforce_run_limits(self, now: Seconds) -> None:
        while self._run_limits and self._run_limits[0].at <= now:
            limit = heapq.heappop(self._run_limits)
            run = self.runs_by_job.get(limit.job)
            if run is not None and run.attempt == limit.attempt:
                self.stop(run, Cause.RUN_LIMIT, now, "the run limit was reached")

    def release(self, run: Run) -> None:
        """Remove an attempt and release all capacity that it still holds."""
        for task in run.tasks_by_id.values():
            self._release_task(run, task)
        if run.slot is not None:
            self._guarantees.release_claim(run.slot, run.placement, run.per_task)
        elif run.allocation is not AllocationKind.PREEMPTIBLE:
            self._guarantees.release(run.placement, run.per_task)
        is_beyond_guarantee = run.allocation is not AllocationKind.GUARANTEED
        self._shares.add(run.record.profile.workspace, -run.accelerators, is_beyond_guarantee)
        del self.runs_by_job[run.job]
        self.released_runs.append(run)
        self.transitional_jobs.pop(run.job, None)
        self._waiting_jobs.pop(run.job, None)

    def _add_run(
        self,
        record: JobRecord,
        attempt: Attempt,
        placement: Placement,
        allocation: AllocationKind,
        slot: GuaranteeSlotKey | None,
        phase: Phase,
        now: Seconds,
    ) -> Run:
        run = Run(record, attempt, placement, allocation, phase, now, slot)
        run.tasks_by_id = build_tasks(record.job, attempt, placement)
        run.checkpoint_failed = record.job in self._jobs_with_failed_checkpoint
        self.runs_by_job[record.job] = run
        for task in run.tasks_by_id.values():
            self._fleet.allocate(run.job, task.worker, run.per_task, 1)
        is_beyond_guarantee = allocation is not AllocationKind.GUARANTEED
        self._shares.add(record.profile.workspace, run.accelerators, is_beyond_guarantee)
        if phase in TRANSITIONAL_PHASES:
            self.transitional_jobs[run.job] = None
        return run

    def _enter_phase(self, run: Run, phase: Phase, now: Seconds, deadline: Seconds) -> None:
        run.enter_phase(phase, now, deadline)
        if phase in TRANSITIONAL_PHASES:
            self.transitional_jobs[run.job] = None
            self.has_urgent_orders = True
        else:
            self.transitional_jobs.pop(run.job, None)
        if phase in (Phase.COMMITTING_START, Phase.COMMITTING_END):
            self._waiting_jobs[run.job] = None

    def _start_committed(self, run: Run, can_start: bool, now: Seconds) -> None:
        if run.phase is Phase.COMMITTING_START:
            self._waiting_jobs.pop(run.job, None)
            run.proposal = None
            if run.cause is not None or run.record.cancelled or not can_start:
                run.cause = run.cause or Cause.WITHDRAWN
                self._propose_end(run, now)
                return
            deadline = Seconds(now + self._settings.start_window)
            self._enter_phase(run, Phase.STARTING, now, deadline)
        elif run.record.cancelled:
            self.stop(run, Cause.CANCELLED, now)

    def _propose_starts(self, can_start: bool, now: Seconds) -> None:
        if not can_start:
            return
        starts_left = self._settings.max_pending_starts - sum(
            self.runs_by_job[job].phase is Phase.COMMITTING_START for job in self._waiting_jobs
        )
        for job in list(self._waiting_jobs):
            run = self.runs_by_job[job]
            if starts_left > 0 and run.phase is Phase.RECLAIMING and self._has_capacity(run):
                starts_left -= 1
                self._propose_start(run, now)

    def _has_capacity(self, run: Run) -> bool:
        """
        Return whether the workers of an attempt have enough free resources for it. Resources that
        are allocated to later attempts that also wait count as free.
        """
        workers = (self._fleet.workers_by_id[worker] for worker in set(run.placement))
        return not any(self._is_overcommitted(worker, run) for worker in workers)

    def _is_overcommitted(self, worker: Worker, run: Run) -> bool:
        if not worker.free.is_overcommitted():
            return False
        remaining = worker.free.copy()
        for job, tasks in worker.tasks_by_job.items():
            other = self.runs_by_job[job]
            is_later = (other.reserved_at, other.job) > (run.reserved_at, run.job)
            if is_later and other.phase is Phase.RECLAIMING:
                remaining.add(other.per_task, tasks)
        return remaining.is_overcommitted()

    def _propose_start(self, run: Run, now: Seconds) -> None:
        if run.allocation is AllocationKind.GUARANTEED:
            waited = now - run.reserved_at
            self.latency_maxima.slowest_reclaim = max(self.latency_maxima.slowest_reclaim, waited)
        record = run.record
        run.proposal = IntendStart(
            record.job, run.attempt, self.epoch, run.placement, record.data_centre
        )
        run.proposed_at = Seconds(float("-inf"))
        self._enter_phase(run, Phase.COMMITTING_START, now, Seconds(float("inf")))

    def _check_deadline(self, run: Run, can_start: bool, now: Seconds) -> None:
        if run.phase is Phase.STARTING and (not can_start and not run.start_sent):
            run.cause = Cause.WITHDRAWN
            self._propose_end(run, now)
            return
        if now < run.deadline:
            return
        match run.phase:
            case Phase.STARTING if now >= run.deadline + REPORT_MARGIN:
                self._record_start_failures(run, now)
                self.stop(run, Cause.WORKER_LOST, now, "not all tasks started in time")
            case Phase.ADOPTING:
                self.stop(run, Cause.WORKER_LOST, now, "not all tasks were found running")
            case Phase.CHECKPOINTING:
                self.stop(run, Cause.PREEMPTED, now)
            case Phase.STOPPING:
                self._release_expired_tasks(run, now)

    def _record_start_failures(self, run: Run, now: Seconds) -> None:
        for task in run.tasks_by_id.values():
            if task.state is None:
                self._record_failure(run, task, now)

    def _release_expired_tasks(self, run: Run, now: Seconds) -> None:
        """Release tasks that certainly can't run any more, although no report shows it."""
        for task in run.tasks_by_id.values():
            worker = self._fleet.workers_by_id[task.worker]
            has_report = worker.ready and self.reported_as_of >= run.deadline
            if has_report and not task.is_released and task.state is not None:
                self.unresponsive_workers.append(worker)
            was_never_seen = has_report and task.state is None
            is_lease_over = not worker.ready and now >= worker.leased_until
            if not task.is_released and (was_never_seen or is_lease_over):
                self._release_task(run, task)
        self._advance_phase(run, now)

    def _advance_phase(self, run: Run, now: Seconds) -> None:
        """Enter the next phase if the reported states of the tasks allow or require it."""
        if run.phase in (Phase.STARTING, Phase.ADOPTING):
            if run.all_tasks_in(*STARTED_STATES):
                self._enter_running(run, now)
            elif run.any_task_in(*UNSUCCESSFUL_STATES, TaskState.CHECKPOINTED):
                self.stop(run, Cause.WORKER_LOST, now, "a task ended before all had started")
        if run.phase is Phase.RUNNING and run.any_task_in(
            *UNSUCCESSFUL_STATES, TaskState.CHECKPOINTED
        ):
            self.stop(run, Cause.WORKER_LOST, now, "a task ended unexpectedly")
        if run.phase is Phase.CHECKPOINTING and run.any_task_in(*UNSUCCESSFUL_STATES):
            self.stop(run, Cause.WORKER_LOST, now, "a task ended during the checkpoint")
        if run.phase not in PHASES_WITHOUT_TASKS and all(
            t.is_released for t in run.tasks_by_id.values()
        ):
            self._propose_end(run, now)

    def _enter_running(self, run: Run, now: Seconds) -> None:
        if run.running_since is None:
            run.running_since = now
            limit = now + run.record.profile.run_limit
            heapq.heappush(self._run_limits, _RunLimit(limit, run.job, run.attempt))
        is_urgent = run.record.profile.urgency is Urgency.URGENT
        if is_urgent and run.phase is Phase.STARTING:
            waited = now - run.reserved_at
            self.latency_maxima.slowest_urgent_start = max(
                self.latency_maxima.slowest_urgent_start, waited
            )
        self._enter_phase(run, Phase.RUNNING, now, Seconds(float("inf")))
        if run.record.cancelled:
            self.stop(run, Cause.CANCELLED, now)

    def _task_ended(self, run: Run, task: GangTask, report: TaskReport, now: Seconds) -> None:
        worker = self._fleet.workers_by_id[task.worker]
        if task.state is TaskState.SUCCEEDED:
            self._health.record_success(worker.id)
            if worker.quarantined and not self._health.is_quarantined(worker.id):
                self.recovered_workers.append(worker)
        has_failed = task.state in (TaskState.FAILED, TaskState.REFUSED)
        if has_failed and run.cause is None:
            self._record_failure(run, task, now)
            self.stop(run, Cause.TASK_FAILED, now, report.detail)
        self._release_task(run, task)

    def _record_failure(self, run: Run, task: GangTask, now: Seconds) -> None:
        is_worker_suspect = self._health.is_suspect(task.worker)
        self._health.record_failure(task.worker, run.job, now)
        is_widespread = len(self._health.workers_failed_by(run.job)) >= self._settings.failure_limit
        if task.state is TaskState.FAILED and (is_widespread or not is_worker_suspect):
            run.is_job_suspect = True

    def _release_task(self, run: Run, task: GangTask) -> None:
        if not task.is_released:
            task.is_released = True
            self._fleet.deallocate(run.job, task.worker, run.per_task, 1)

    def _propose_end(self, run: Run, now: Seconds) -> None:
        for task in run.tasks_by_id.values():
            self._release_task(run, task)
        if run.record.state is not JobState.STARTED or run.record.attempt != run.attempt:
            self.release(run)
            return
        if run.all_tasks_in(TaskState.SUCCEEDED) and run.running_since is not None:
            elapsed = Seconds(now - run.running_since)
            self._estimates.observe(run.record.profile, elapsed)
            self._health.job_succeeded(run.job, now)
        run.proposal = decide_outcome(run, self.epoch, self._settings)
        run.proposed_at = Seconds(float("-inf"))
        self._enter_phase(run, Phase.COMMITTING_END, now, Seconds(float("inf")))

    def _due_proposals(self, now: Seconds) -> list[JobCommand]:
        commands: list[JobCommand] = []
        for job in self._waiting_jobs:
            run = self.runs_by_job[job]
            if run.proposal is None:
                continue
            if now - run.proposed_at >= self._settings.proposal_timeout:
                run.proposed_at = now
                commands.append(run.proposal)
        return commands


PHASES_WITHOUT_TASKS = frozenset({Phase.RECLAIMING, Phase.COMMITTING_START, Phase.COMMITTING_END})
"""Phases in which no task is expected to run, so that reports do not change the phase."""

STARTED_STATES = (TaskState.RUNNING, TaskState.SUCCEEDED, TaskState.CHECKPOINTING)
"""States that show that a task was started."""
