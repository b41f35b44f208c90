"""
bulrushhollow_core.jobs._ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of all jobs, as a replicated state machine. Every instance applies the same commands of
the log in the same order, so all instances hold the same ledger. The ledger reads no clock.
"""

import hashlib
from enum import Enum

import msgspec

from bulrushhollow_core.ids import Attempt, DataCentreId, Epoch, JobId, LogIndex, WorkerId
from bulrushhollow_core.jobs._commands import (
    CancelJob,
    EndJob,
    IntendStart,
    JobCommand,
    JobEnd,
    MoveJob,
    RequeueJob,
    RequeueProof,
    SubmitJob,
)
from bulrushhollow_core.models import Profile
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

MAX_ENDED_JOBS = 8_000
"""Number of ended jobs that are kept; those that ended first are removed first."""

NO_EPOCH = Epoch(0)
"""Epoch of a job before its first start; lower than that of any lease."""


class JobState(Enum):
    """The state of a job according to the log."""

    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"


class JobRecord(msgspec.Struct, frozen=True):
    """
    The record of one job.

    :param submitted: log index of its submission.
    :param attempt: the last attempt for which a start was recorded; 0 before the first.
    :param epoch: epoch of the lease holder that recorded that start.
    :param placement: workers of the tasks of a started attempt.
    :param resume: whether the next attempt, or the started one, starts from a checkpoint.
    :param cancelled: whether a cancellation was accepted.
    :param may_have_run: whether any task may have run in an attempt before the current one.
    :param failures: number of lost attempts whose loss the job itself may have caused.
    :param end: how it ended; None before.
    :param execution: whether it ran; valid once it has ended.
    :param payload: passed to tasks; dropped when the job ends.
    :param digest: digest of the payload, which identifies a repeated submission.
    """

    job: JobId
    profile: Profile
    data_centre: DataCentreId
    submitted: LogIndex
    state: JobState = JobState.QUEUED
    attempt: Attempt = Attempt(0)
    epoch: Epoch = NO_EPOCH
    placement: tuple[WorkerId, ...] = ()
    resume: bool = False
    cancelled: bool = False
    may_have_run: bool = False
    failures: int = 0
    end: JobEnd | None = None
    reason: Reason | None = None
    detail: str = ""
    execution: Execution = Execution.NOT_RUN
    payload: str = ""
    digest: str = ""


class JobLedgerSnapshot(msgspec.Struct, frozen=True):
    """
    The whole ledger as of one log index.

    :param live: queued and started jobs.
    :param ended: ended jobs, in the order in which they ended.
    :param epochs_by_data_centre: highest epoch in any command so far.
    """

    live: tuple[JobRecord, ...] = ()
    ended: tuple[JobRecord, ...] = ()
    epochs_by_data_centre: dict[DataCentreId, Epoch] = {}


class JobLedger:
    """
    All jobs, changed only by commands of the log.

    :param max_ended: number of ended jobs that are kept; must be the same on every instance.

    Usage::

        ledger = JobLedger()
        outcome = ledger.apply(index, SubmitJob(job, profile, data_centre))
    """

    def __init__(self, max_ended: int = MAX_ENDED_JOBS) -> None:
        self.jobs_by_id: dict[JobId, JobRecord] = {}
        self.queued_by_data_centre: dict[DataCentreId, dict[JobId, None]] = {}
        self.started_by_data_centre: dict[DataCentreId, dict[JobId, None]] = {}
        self._ended_jobs: dict[JobId, None] = {}
        self._max_ended = max_ended
        self._epochs_by_data_centre: dict[DataCentreId, Epoch] = {}
        self._interned_profiles: dict[Profile, Profile] = {}

    def apply(self, index: LogIndex, command: JobCommand) -> JobRecord | Refusal:
        """
        Apply one committed command.

        :param index: log index of the command.
        :return: the new record of the job, or why the command was refused and changed nothing.
        """
        match command:
            case SubmitJob():
                return self._submit(index, command)
            case IntendStart():
                return self._intend_start(command)
            case EndJob():
                return self._end(command)
            case RequeueJob():
                return self._requeue(command)
            case CancelJob():
                return self._cancel(command)
            case MoveJob():
                return self._move(command)

    def highest_epoch(self, data_centre: DataCentreId) -> Epoch:
        """Return the highest epoch of a data centre's lease in any command so far."""
        return self._epochs_by_data_centre.get(data_centre, NO_EPOCH)

    def live_records(self, data_centre: DataCentreId) -> list[JobRecord]:
        """Return the queued and started jobs of a data centre in the order of submission."""
        job_ids = [
            *self.queued_by_data_centre.get(data_centre, ()),
            *self.started_by_data_centre.get(data_centre, ()),
        ]
        return sorted(
            (self.jobs_by_id[job] for job in job_ids), key=lambda record: record.submitted
        )

    def snapshot(self) -> JobLedgerSnapshot:
        """Return the state for a snapshot of the log."""
        live = tuple(
            record for record in self.jobs_by_id.values() if record.state is not JobState.ENDED
        )
        ended = tuple(self.jobs_by_id[job] for job in self._ended_jobs)
        return JobLedgerSnapshot(live, ended, dict(self._epochs_by_data_centre))

    @classmethod
    def restore(cls, snapshot: JobLedgerSnapshot, max_ended: int = MAX_ENDED_JOBS) -> "JobLedger":
        """Return the ledger that a snapshot holds."""
        ledger = cls(max_ended)
        ledger._epochs_by_data_centre = dict(snapshot.epochs_by_data_centre)
        for record in (*snapshot.live, *snapshot.ended):
            interned = msgspec.structs.replace(
                record, profile=ledger._intern_profile(record.profile)
            )
            ledger._store(interned)
        return ledger

    def _submit(self, index: LogIndex, command: SubmitJob) -> JobRecord | Refusal:
        digest = hashlib.blake2b(command.payload.encode(), digest_size=8).hexdigest()
        existing = self.jobs_by_id.get(command.job)
        if existing is None:
            return self._store(
                JobRecord(
                    job=command.job,
                    profile=self._intern_profile(command.profile),
                    data_centre=command.data_centre,
                    submitted=index,
                    payload=command.payload,
                    digest=digest,
                )
            )
        if existing.profile.name == command.profile.name and existing.digest == digest:
            return existing
        return Refusal(Reason.CHANGE_ID_REUSED, "another job was submitted under this id")

    def _intend_start(self, command: IntendStart) -> JobRecord | Refusal:
        record = self.jobs_by_id.get(command.job)
        if record is None:
            return no_such_job(command.job)
        if record.data_centre != command.data_centre:
            return _moved()
        if record.state is not JobState.QUEUED or record.cancelled:
            return Refusal(Reason.INVALID, "the job is not queued")
        if command.attempt != record.attempt + 1:
            return Refusal(Reason.INVALID, "the attempt does not follow the last recorded one")
        if self._is_fenced(record.data_centre, command.epoch):
            return _fenced()
        return self._store(
            msgspec.structs.replace(
                record,
                state=JobState.STARTED,
                attempt=command.attempt,
                epoch=command.epoch,
                placement=command.placement,
            )
        )

    def _end(self, command: EndJob) -> JobRecord | Refusal:
        record = self._current_record(command)
        if isinstance(record, Refusal):
            return record
        if record.state is JobState.QUEUED and command.end is JobEnd.SUCCEEDED:
            return Refusal(Reason.INVALID, "a queued job can't have succeeded")
        execution = _overall_execution(record, command.execution)
        return self._store_ended(record, command.end, command.reason, command.detail, execution)

    def _requeue(self, command: RequeueJob) -> JobRecord | Refusal:
        record = self._current_record(command)
        if isinstance(record, Refusal):
            return record
        if record.state is not JobState.STARTED:
            return Refusal(Reason.INVALID, "the job is not started")
        never_started = command.proof is RequeueProof.NEVER_STARTED
        if record.cancelled:
            execution = _overall_execution(
                record, Execution.NOT_RUN if never_started else Execution.UNKNOWN
            )
            return self._store_ended(record, JobEnd.CANCELLED, Reason.CANCELLED, "", execution)
        if command.proof is RequeueProof.NONE and not record.profile.idempotent:
            detail = "the attempt was lost after its tasks may have started"
            return self._store_ended(
                record, JobEnd.UNKNOWN, command.reason, detail, Execution.UNKNOWN
            )
        return self._store(
            msgspec.structs.replace(
                record,
                state=JobState.QUEUED,
                placement=(),
                resume=command.resume or (record.resume and never_started),
                may_have_run=record.may_have_run or not never_started,
                failures=record.failures + command.blame,
                reason=command.reason,
            )
        )

    def _cancel(self, command: CancelJob) -> JobRecord | Refusal:
        record = self.jobs_by_id.get(command.job)
        if record is None:
            return no_such_job(command.job)
        if record.state is JobState.ENDED:
            return record
        if record.state is JobState.STARTED:
            return self._store(msgspec.structs.replace(record, cancelled=True))
        execution = _overall_execution(record, Execution.NOT_RUN)
        cancelled = msgspec.structs.replace(record, cancelled=True)
        return self._store_ended(cancelled, JobEnd.CANCELLED, Reason.CANCELLED, "", execution)

    def _move(self, command: MoveJob) -> JobRecord | Refusal:
        record = self.jobs_by_id.get(command.job)
        if record is None:
            return no_such_job(command.job)
        if record.state is not JobState.QUEUED:
            return Refusal(Reason.INVALID, "only a queued job can be moved")
        if record.data_centre == command.data_centre:
            return record
        refusal = self._check_lease(record, command.lease_data_centre, command.epoch)
        return refusal or self._store(
            msgspec.structs.replace(record, data_centre=command.data_centre)
        )

    def _current_record(self, command: EndJob | RequeueJob) -> JobRecord | Refusal:
        record = self.jobs_by_id.get(command.job)
        if record is None:
            return no_such_job(command.job)
        if record.state is JobState.ENDED:
            return Refusal(Reason.INVALID, "the job has ended")
        if record.attempt != command.attempt:
            return Refusal(Reason.INVALID, "another attempt is the current one")
        return self._check_lease(record, command.lease_data_centre, command.epoch) or record

    def _check_lease(
        self, record: JobRecord, lease_data_centre: DataCentreId | None, epoch: Epoch | None
    ) -> Refusal | None:
        """
        Return why the holder of a lease may not change a job, or None if it may.

        :param lease_data_centre: the data centre of the lease; None in commands that were logged
            before they named it.
        :param epoch: epoch of the lease; None for a command without a lease.
        """
        if epoch is None:
            return None
        if lease_data_centre not in (None, record.data_centre):
            return _moved()
        return _fenced() if self._is_fenced(record.data_centre, epoch) else None

    def _is_fenced(self, data_centre: DataCentreId, epoch: Epoch) -> bool:
        if epoch < self.highest_epoch(data_centre):
            return True
        self._epochs_by_data_centre[data_centre] = epoch
        return False

    def _store_ended(
        self,
        record: JobRecord,
        end: JobEnd,
        reason: Reason | None,
        detail: str,
        execution: Execution,
    ) -> JobRecord:
        return self._store(
            msgspec.structs.replace(
                record,
                state=JobState.ENDED,
                end=end,
                reason=reason,
                detail=detail,
                execution=execution,
                payload="",
                placement=(),
            )
        )

    def _store(self, record: JobRecord) -> JobRecord:
        previous = self.jobs_by_id.get(record.job)
        if previous is not None:
            self._unindex(previous)
        self.jobs_by_id[record.job] = record
        match record.state:
            case JobState.QUEUED:
                self.queued_by_data_centre.setdefault(record.data_centre, {})[record.job] = None
            case JobState.STARTED:
                self.started_by_data_centre.setdefault(record.data_centre, {})[record.job] = None
            case JobState.ENDED:
                self._ended_jobs[record.job] = None
                self._remove_oldest_ended()
        return record

    def _unindex(self, record: JobRecord) -> None:
        self.queued_by_data_centre.get(record.data_centre, {}).pop(record.job, None)
        self.started_by_data_centre.get(record.data_centre, {}).pop(record.job, None)

    def _remove_oldest_ended(self) -> None:
        while len(self._ended_jobs) > self._max_ended:
            oldest = next(iter(self._ended_jobs))
            del self._ended_jobs[oldest]
            del self.jobs_by_id[oldest]

    def _intern_profile(self, profile: Profile) -> Profile:
        if len(self._interned_profiles) > self._max_ended:
            self._interned_profiles.clear()
        return self._interned_profiles.setdefault(profile, profile)


def _overall_execution(record: JobRecord, last_execution: Execution) -> Execution:
    """Return whether a job ran, given whether its last attempt ran."""
    if record.state is JobState.QUEUED:
        last_execution = Execution.NOT_RUN
    if last_execution is Execution.NOT_RUN and record.may_have_run:
        return Execution.UNKNOWN
    return last_execution


def no_such_job(job: JobId) -> Refusal:
    """Return the refusal for an unknown job; it may have run and been removed since."""
    detail = f"no job {job} is known; jobs that ended long ago are removed"
    return Refusal(Reason.NO_SUCH_JOB, detail, Execution.UNKNOWN)


def _moved() -> Refusal:
    return Refusal(Reason.INVALID, "the job was moved to another data centre")


def _fenced() -> Refusal:
    return Refusal(Reason.INVALID, "a later holder of the data centre's lease has sent commands")
