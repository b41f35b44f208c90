"""
bulrushhollow_core.domain.replica._state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine of a scheduling domain. Every instance with a disk applies the same
commands from the log and reaches the same state; no clock is read here.
"""

from collections import Counter
from collections.abc import Iterator
from typing import assert_never

import msgspec

from bulrushhollow_core.domain.model import (
    CancelJob,
    Command,
    Configuration,
    ConfigurationIndex,
    DrainWorker,
    EndRuns,
    ForgetWorker,
    Job,
    JobState,
    Loss,
    Occurrence,
    Outcome,
    PutConfiguration,
    RecordCrash,
    RegisterWorker,
    RunEnd,
    RunNumber,
    SetEvacuation,
    Start,
    StartRuns,
    StepRecord,
    StepRef,
    SubmitJob,
    Task,
    TaskRef,
    TaskState,
    WallTime,
    Work,
    WorkerLife,
    WorkerNews,
)
from bulrushhollow_core.domain.replica._crashes import (
    confirm_crash,
    crashes_workers,
    drop_losses,
    record_loss,
    record_survival,
)
from bulrushhollow_core.ids import DataCentreId, JobId

MAX_DEPARTED_WORKERS = 4096
"""Lives of departed workers that are remembered, so that a late announcement brings none of them
back. Announcements are late by seconds, in which far fewer workers leave."""

MAX_CRASHED_WORKERS = 4096
"""Lives of crashed workers that are remembered until the ends of their runs are recorded."""

ENDED_JOB_RETENTION = 900.0
"""Seconds for which an ended job is kept; several times as long as callers may ask for it."""


class DomainSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The encoded form of the whole state in a snapshot of the log."""

    configuration: Configuration | None
    jobs: list[Job]
    evacuated_data_centres: list[DataCentreId]
    draining_workers: list[WorkerLife]
    accepted_count: int
    announcements: list[WorkerNews] = []
    departed_workers: list[WorkerLife] = []
    crashed_workers: list[WorkerLife] = []


class DomainState:
    """
    Configuration, jobs, evacuated data centres and workers of a domain.

    Usage::

        >>> state = DomainState()
        >>> for command in decode_commands(entry.payload):
        ...     state.apply(command)
    """

    def __init__(self) -> None:
        """Create the empty state, as it is before the first command."""
        self.configuration_index: ConfigurationIndex | None = None
        self.jobs_by_id: dict[JobId, Job] = {}
        self.active_jobs_by_id: dict[JobId, Job] = {}
        """Jobs that have not ended, and ended jobs with tasks that may still be running."""
        self.evacuated_data_centres: set[DataCentreId] = set()
        self.draining_workers: set[WorkerLife] = set()
        self.announcements_by_life: dict[WorkerLife, WorkerNews] = {}
        """The last recorded announcement of each worker."""
        self.departed_workers: dict[WorkerLife, None] = {}
        """Lives that drained or left and were forgotten, the oldest first."""
        self.crashed_workers: dict[WorkerLife, None] = {}
        """Lives that have crashed, the oldest first."""
        self._accepted_count = 0
        self._active_count_by_job: Counter[JobId] = Counter()
        """Number of active tasks of each job that has any."""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.configuration_index.configuration if self.configuration_index else None

    # Queries.

    def find_step(self, ref: StepRef | TaskRef) -> StepRecord | None:
        """Return a step's record, or None if its occurrence has not begun or is done."""
        job = self.jobs_by_id.get(ref.job)
        steps = job.occurrences_by_number.get(ref.occurrence) if job else None
        return steps[ref.step] if steps and ref.step < len(steps) else None

    def find_task(self, ref: TaskRef) -> Task | None:
        """Return a task's record, or None if its occurrence has not begun or is done."""
        step = self.find_step(ref)
        return step.tasks[ref.member] if step and ref.member < len(step.tasks) else None

    def active_tasks(self) -> Iterator[tuple[TaskRef, Task]]:
        """Yield every task that may be running."""
        for job in self.active_jobs_by_id.values():
            yield from _active_tasks(job)

    def runs_that_may_start_late(self) -> Iterator[tuple[TaskRef, RunNumber]]:
        """Yield the last run of each waiting task whose start may still be carried out."""
        for job in self.active_jobs_by_id.values():
            for ref, task in _tasks_of(job):
                if task.may_start_late and task.state is TaskState.WAITING:
                    yield ref, task.run

    def jobs_lost_with(self, worker: WorkerLife) -> list[Job]:
        """Return the jobs with runs that were lost with a worker."""
        return [
            job
            for job in self.jobs_by_id.values()
            if any(loss.worker == worker for loss in job.losses)
        ]

    def is_current(self, start: Start) -> bool:
        """Return whether a committed start is the latest run of an active task."""
        task = self.find_task(start.task)
        if task is None or task.state is not TaskState.ACTIVE:
            return False
        return task.run == start.run and task.worker == start.worker

    def can_start(self, start: Start) -> bool:
        """Return whether the start of a committed run may be sent to its worker."""
        job = self.jobs_by_id.get(start.task.job)
        if job is None or job.has_ended or start.worker in self.draining_workers:
            return False
        return self.is_current(start)

    # Commands.

    def apply(self, command: Command) -> None:
        """Apply one committed command."""
        match command:
            case PutConfiguration(configuration=configuration):
                self._put_configuration(configuration)
            case SetEvacuation(data_centre=data_centre, is_evacuated=is_evacuated):
                (
                    self.evacuated_data_centres.add
                    if is_evacuated
                    else self.evacuated_data_centres.discard
                )(data_centre)
            case SubmitJob():
                self._submit_job(command)
            case CancelJob():
                self._cancel_job(command)
            case StartRuns(starts=starts):
                for start in starts:
                    self._start_run(start)
            case EndRuns(ends=ends, ended_at=at):
                for end in ends:
                    self._end_run(end, at)
            case DrainWorker(worker=worker):
                self.draining_workers.add(worker)
            case RegisterWorker(announcement=announcement):
                self._register_worker(announcement)
            case RecordCrash():
                self._record_crash(command)
            case ForgetWorker(worker=worker):
                self._forget_worker(worker)
            case _ as never:
                assert_never(never)

    def _put_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is None or configuration.version > current.version:
            self.configuration_index = ConfigurationIndex(configuration)

    def _submit_job(self, command: SubmitJob) -> None:
        if command.id in self.jobs_by_id:
            return
        self._remove_expired_jobs(command.submitted_at)
        self._accepted_count += 1
        job = Job(
            command.id,
            command.queue,
            command.workspace,
            command.work,
            command.submitted_at,
            self._accepted_count,
            occurrences_by_number={},
        )
        if not job.is_timed:
            _begin_occurrence(job, Occurrence(0))
        self.jobs_by_id[job.id] = job
        self.active_jobs_by_id[job.id] = job

    def _cancel_job(self, command: CancelJob) -> None:
        job = self.jobs_by_id.get(command.id)
        if job is not None and not job.has_ended:
            self._end_job(job, JobState.CANCELLED, command.cancelled_at)

    def _start_run(self, start: Start) -> None:
        job = self.jobs_by_id.get(start.task.job)
        if job is None or job.has_ended:
            return
        if start.task.occurrence == job.occurrences_begun < job.occurrence_count:
            _begin_occurrence(job, start.task.occurrence)
        task = self.find_task(start.task)
        if task is None or task.state is not TaskState.WAITING or start.run <= task.run:
            return
        self._change_task_state(job, task, TaskState.ACTIVE)
        task.may_start_late = False
        task.run = start.run
        task.worker = start.worker
        task.address = start.address
        job.has_started = True
        job.state = JobState.RUNNING

    def _end_run(self, end: RunEnd, at: WallTime) -> None:
        job = self.jobs_by_id.get(end.task.job)
        record = self.find_step(end.task)
        task = self.find_task(end.task)
        if job is None or record is None or task is None:
            return
        is_long_running = job.work.steps[end.task.step].is_long_running
        is_success = end.outcome is Outcome.DONE and not is_long_running
        # A run that was given up may have been done; its worker forgets the end that it listed.
        is_late_success = is_success and task.state is TaskState.WAITING and end.run > 0
        if task.run != end.run or not (task.state is TaskState.ACTIVE or is_late_success):
            return
        self._change_task_state(job, task, TaskState.WAITING)
        task.worker = None
        task.address = ""
        task.may_start_late = end.may_start_late
        is_gang = job.work.steps[end.task.step].is_gang
        if end.checkpoint:
            task.checkpoint = end.checkpoint
            if is_gang and (end.outcome is not Outcome.GANG_BROKEN or not record.checkpoint):
                record.checkpoint = end.checkpoint
        if is_success:
            self._record_success(job, record, end, is_gang, at)
        elif end.outcome is Outcome.FAILED:
            self._record_failure(job, record, end, is_gang, at)
        if end.loss is None:
            record_survival(job, end.task, end.survived)
        else:
            worker = end.loss.worker
            has_crashed = worker in self.crashed_workers
            record_loss(
                job,
                Loss(end.task, worker, at, end.loss.survived, end.loss.has_started, has_crashed),
            )
            self._give_up_if_crashing(job, end.task, at)
        self._release_if_inactive(job)

    def _change_task_state(self, job: Job, task: Task, state: TaskState) -> None:
        """Change the state of a task; active ones are counted, so that no job is searched for."""
        was_active, task.state = task.state is TaskState.ACTIVE, state
        self._active_count_by_job[job.id] += (state is TaskState.ACTIVE) - was_active
        if not self._active_count_by_job[job.id]:
            del self._active_count_by_job[job.id]

    def _give_up_if_crashing(self, job: Job, task: TaskRef, at: WallTime) -> None:
        if crashes_workers(job, task) and not job.has_ended:
            self._end_job(job, JobState.FAILED, at)

    def _record_success(
        self, job: Job, record: StepRecord, end: RunEnd, is_gang: bool, at: WallTime
    ) -> None:
        members = record.tasks if is_gang else [record.tasks[end.task.member]]
        for member in members:
            if member.state is not TaskState.DONE:
                self._change_task_state(job, member, TaskState.DONE)
                member.worker = None
                record.done_count += 1
        if job.losses:
            members_done = range(len(record.tasks)) if is_gang else [end.task.member]
            drop_losses(job, {end.task.step_ref.task(index) for index in members_done})
        steps = job.occurrences_by_number[end.task.occurrence]
        if all(step.is_done for step in steps):
            job.occurrences_done += 1
            del job.occurrences_by_number[end.task.occurrence]
            if job.occurrences_done >= job.occurrence_count and not job.has_ended:
                self._end_job(job, JobState.DONE, at)

    def _record_failure(
        self, job: Job, record: StepRecord, end: RunEnd, is_gang: bool, at: WallTime
    ) -> None:
        task = record.tasks[end.task.member]
        task.failures += 1
        failures = task.failures
        if is_gang:
            if record.last_failed_run < end.run:
                record.last_failed_run = end.run
                record.failures += 1
            failures = record.failures
        is_long_running = job.work.steps[end.task.step].is_long_running
        if failures >= job.queue.max_attempts and not is_long_running and not job.has_ended:
            self._end_job(job, JobState.FAILED, at)

    def _end_job(self, job: Job, state: JobState, at: WallTime) -> None:
        job.state = state
        job.ended_at = at
        self._release_if_inactive(job)

    def _release_if_inactive(self, job: Job) -> None:
        """Drop the tasks and the work of an ended job once none of its tasks can be running."""
        if not job.has_ended or job.id in self._active_count_by_job:
            return
        job.occurrences_by_number = {}
        job.work = Work("", ())
        self.active_jobs_by_id.pop(job.id, None)

    def _remove_expired_jobs(self, at: WallTime) -> None:
        while self.jobs_by_id:
            oldest = next(iter(self.jobs_by_id.values()))
            if not oldest.has_ended or oldest.id in self.active_jobs_by_id:
                return
            if at - oldest.ended_at < ENDED_JOB_RETENTION:
                return
            del self.jobs_by_id[oldest.id]

    # Workers.

    def _register_worker(self, announcement: WorkerNews) -> None:
        if announcement.life in self.departed_workers:
            return
        lives = [life for life in self.announcements_by_life if life.id == announcement.life.id]
        if any(life.born > announcement.life.born for life in lives):
            return
        for life in lives:
            if life != announcement.life:
                self._forget_worker(life)
        self.announcements_by_life[announcement.life] = announcement

    def _record_crash(self, command: RecordCrash) -> None:
        self.crashed_workers[command.worker] = None
        if len(self.crashed_workers) > MAX_CRASHED_WORKERS:
            del self.crashed_workers[next(iter(self.crashed_workers))]
        for job in self.jobs_lost_with(command.worker):
            for task in list(confirm_crash(job, command.worker, command.heard_at)):
                self._give_up_if_crashing(job, task, command.noticed_at)

    def _forget_worker(self, worker: WorkerLife) -> None:
        self.announcements_by_life.pop(worker, None)
        if worker in self.draining_workers:
            self.draining_workers.discard(worker)
            self.departed_workers[worker] = None
            if len(self.departed_workers) > MAX_DEPARTED_WORKERS:
                del self.departed_workers[next(iter(self.departed_workers))]

    # Snapshots.

    def encode(self) -> bytes:
        """Return the whole state for a snapshot of the log."""
        return msgspec.msgpack.encode(
            DomainSnapshot(
                configuration=self.configuration,
                jobs=list(self.jobs_by_id.values()),
                evacuated_data_centres=sorted(self.evacuated_data_centres),
                draining_workers=sorted(
                    self.draining_workers, key=lambda life: (life.id, life.born)
                ),
                accepted_count=self._accepted_count,
                announcements=list(self.announcements_by_life.values()),
                departed_workers=list(self.departed_workers),
                crashed_workers=list(self.crashed_workers),
            )
        )

    @classmethod
    def decode(cls, data: bytes) -> "DomainState":
        """Return the state of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=DomainSnapshot)
        state = cls()
        if snapshot.configuration:
            state.configuration_index = ConfigurationIndex(snapshot.configuration)
        state.jobs_by_id = {job.id: job for job in snapshot.jobs}
        for job in snapshot.jobs:
            active_count = sum(1 for _ in _active_tasks(job))
            if active_count:
                state._active_count_by_job[job.id] = active_count
        state.active_jobs_by_id = {
            job.id: job
            for job in snapshot.jobs
            if not job.has_ended or job.id in state._active_count_by_job
        }
        state.evacuated_data_centres = set(snapshot.evacuated_data_centres)
        state.draining_workers = set(snapshot.draining_workers)
        state._accepted_count = snapshot.accepted_count
        state.announcements_by_life = {
            announcement.life: announcement for announcement in snapshot.announcements
        }
        state.departed_workers = dict.fromkeys(snapshot.departed_workers)
        state.crashed_workers = dict.fromkeys(snapshot.crashed_workers)
        return state


def _begin_occurrence(job: Job, occurrence: Occurrence) -> None:
    job.occurrences_begun = occurrence + 1
    job.occurrences_by_number[occurrence] = [
        StepRecord([Task() for _ in range(step.count)]) for step in job.work.steps
    ]


def _active_tasks(job: Job) -> Iterator[tuple[TaskRef, Task]]:
    return ((ref, task) for ref, task in _tasks_of(job) if task.state is TaskState.ACTIVE)


def _tasks_of(job: Job) -> Iterator[tuple[TaskRef, Task]]:
    """Yield the tasks of the steps that are not done."""
    for occurrence, steps in job.occurrences_by_number.items():
        for number, step in enumerate(steps):
            if step.is_done:
                continue
            for index, task in enumerate(step.tasks):
                yield TaskRef(job.id, occurrence, number, index), task
