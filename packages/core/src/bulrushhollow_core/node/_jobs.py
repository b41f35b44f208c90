"""
bulrushhollow_core.node._jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Submissions and states of jobs: the command that a submission adds to the log, and the answers to
callers.
"""

import msgspec

from bulrushhollow_core.answers import JobAnswer, JobEnd, JobStage, SubmitRequest
from bulrushhollow_core.ids import DataCentreId, JobId, ProfileName, Seconds
from bulrushhollow_core.jobs import (
    DataCentreLoad,
    JobLedger,
    JobRecord,
    JobState,
    SubmitJob,
    choose_data_centre,
    no_such_job,
    shape_fits,
)
from bulrushhollow_core.models import Configuration, Profile, Service, WorkKind
from bulrushhollow_core.node._actions import Reply
from bulrushhollow_core.node._events import CallId
from bulrushhollow_core.outcomes import Execution, Reason, Refusal

PAYLOAD_LIMIT = 16 * 1024
"""Longest payload of a job, in bytes."""

JOB_ID_LIMIT = 128
"""Longest id of a job, in characters."""


class _WaitingCall(msgspec.Struct, frozen=True):
    """A call that waits for a job to end, until its deadline."""

    call: CallId
    job: JobId
    deadline: Seconds


class JobWaiters:
    """Calls that wait for a job to end."""

    def __init__(self) -> None:
        self._waiting: list[_WaitingCall] = []
        self._is_stopping = False

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits for its answer."""
        return bool(self._waiting)

    def add(self, call: CallId, job: JobId, deadline: Seconds) -> None:
        """Answer a call when the job ends; at the deadline, answer with the state it has then."""
        self._waiting.append(_WaitingCall(call, job, deadline))

    def stop(self) -> None:
        """Answer all calls at once from now on, because this instance stops."""
        self._is_stopping = True

    def pop_due_answers(self, ledger: JobLedger, now: Seconds) -> list[Reply]:
        """Return the answers that are due, and remove their calls."""
        due = [
            waiting
            for waiting in self._waiting
            if self._is_stopping or waiting.deadline <= now or _has_ended(waiting.job, ledger)
        ]
        if due:
            self._waiting = [waiting for waiting in self._waiting if waiting not in due]
        return [Reply(waiting.call, job_answer(waiting.job, ledger)) for waiting in due]


def build_submission(
    submit: SubmitRequest,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
    ledger: JobLedger,
) -> SubmitJob | Refusal:
    """
    Return the command that submits a job, or a refusal.

    :param loads_by_data_centre: the last load report of each lease holder.
    :param ledger: the jobs, including those submitted since the load reports.
    """
    if not 0 < len(submit.job_id) <= JOB_ID_LIMIT or "/" in submit.job_id:
        return Refusal(Reason.INVALID, f"a job id has 1 to {JOB_ID_LIMIT} characters and no '/'")
    if len(submit.payload.encode()) > PAYLOAD_LIMIT:
        return Refusal(Reason.TOO_LARGE, f"a payload may have {PAYLOAD_LIMIT} bytes at most")
    profile = configuration.profiles_by_name.get(submit.profile)
    if profile is None:
        return Refusal(Reason.NO_SUCH_PROFILE, f"profile {submit.profile} does not exist")
    if profile.kind is not WorkKind.JOB:
        return Refusal(Reason.WRONG_KIND, f"{submit.profile} is a profile for requests")
    loads = {load.data_centre: _update_load(load, ledger) for load in loads_by_data_centre.values()}
    data_centre = _select_data_centre(submit, profile, configuration, loads)
    if isinstance(data_centre, Refusal):
        return data_centre
    return SubmitJob(submit.job_id, profile, data_centre, submit.payload)


def job_answer(job: JobId, ledger: JobLedger) -> JobAnswer | Refusal:
    """Return the state of a job, or a refusal if the ledger does not have it."""
    record = ledger.jobs_by_id.get(job)
    if record is None:
        return no_such_job(job)
    return describe_job(record)


def describe_job(record: JobRecord) -> JobAnswer:
    """Return the state of a job as the API shows it."""
    return JobAnswer(
        job=record.job,
        state=_stage(record),
        data_centre=record.data_centre,
        attempt=record.attempt,
        end=None if record.end is None else JobEnd(record.end.value),
        reason=record.reason,
        detail=record.detail,
        execution=_execution(record),
        profile=ProfileName(record.profile.name),
        workspace=record.profile.workspace,
    )


def _select_data_centre(
    submit: SubmitRequest,
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    requested = submit.data_centre
    if requested is None:
        return _choose_data_centre(profile, configuration, loads_by_data_centre)
    declared = configuration.data_centres_by_id.get(requested)
    if declared is None:
        return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"data centre {requested} does not exist")
    if not shape_fits(profile.shape, declared):
        return Refusal(
            Reason.NEVER_FITS, f"the gang does not fit into {requested} even when it is empty"
        )
    return requested


def _update_load(load: DataCentreLoad, ledger: JobLedger) -> DataCentreLoad:
    """Return a load with figures updated from the ledger, which may be newer than the report."""
    started_jobs = ledger.started_by_data_centre.get(load.data_centre, ())
    queued_jobs = ledger.queued_by_data_centre.get(load.data_centre, ())
    accelerators_in_use = sum(
        _gang_accelerators(ledger.jobs_by_id[job].profile) for job in started_jobs
    )
    accelerator_seconds_queued = sum(
        _expected_accelerator_seconds(ledger.jobs_by_id[job].profile) for job in queued_jobs
    )
    return msgspec.structs.replace(
        load,
        free=max(0, load.accelerators - accelerators_in_use),
        queued=accelerator_seconds_queued,
    )


def _gang_accelerators(profile: Profile) -> int:
    """Return the number of accelerators that a gang needs."""
    return profile.shape.tasks * profile.shape.per_task.accelerators


def _expected_accelerator_seconds(profile: Profile) -> float:
    """Return the declared demand of a job in accelerator-seconds."""
    return _gang_accelerators(profile) * profile.expected_run


def _choose_data_centre(
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    """
    Choose a data centre that is in service. If all that fit are out of service, choose one of them;
    the job then waits until that data centre is back in service.
    """
    chosen = choose_data_centre(profile, configuration, loads_by_data_centre)
    if not isinstance(chosen, Refusal) or chosen.reason is not Reason.DATA_CENTRE_OUT:
        return chosen
    all_in_service = {
        data_centre.id: msgspec.structs.replace(data_centre, service=Service.IN)
        for data_centre in configuration.data_centres_by_id.values()
    }
    configuration_in_service = msgspec.structs.replace(
        configuration, data_centres_by_id=all_in_service
    )
    return choose_data_centre(profile, configuration_in_service, loads_by_data_centre)


def _has_ended(job: JobId, ledger: JobLedger) -> bool:
    record = ledger.jobs_by_id.get(job)
    return record is None or record.state is JobState.ENDED


def _stage(record: JobRecord) -> JobStage:
    if record.state is JobState.STARTED:
        return JobStage.STOPPING if record.cancelled else JobStage.RUNNING
    return JobStage.QUEUED if record.state is JobState.QUEUED else JobStage.ENDED


def _execution(record: JobRecord) -> Execution:
    if record.state is JobState.ENDED:
        return record.execution
    may_have_run = record.state is JobState.STARTED or record.may_have_run
    return Execution.UNKNOWN if may_have_run else Execution.NOT_RUN
