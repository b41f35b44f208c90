"""
bulrushhollow_core.node._jobs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Callers' jobs: what a submission puts into the log, and what callers are told.
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


class _Waiting(msgspec.Struct, frozen=True):
    call: CallId
    job: JobId
    deadline: Seconds


class JobWaits:
    """Calls that wait until a job has ended."""

    def __init__(self) -> None:
        self._waiting: list[_Waiting] = []
        self._stopping = False

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits."""
        return bool(self._waiting)

    def wait(self, call: CallId, job: JobId, deadline: Seconds) -> None:
        """Answer a call when the job ends, or with its state at the deadline."""
        self._waiting.append(_Waiting(call, job, deadline))

    def stop(self) -> None:
        """Hold back no answer any longer, since this instance stops."""
        self._stopping = True

    def answer(self, ledger: JobLedger, now: Seconds) -> list[Reply]:
        """Return the answers that are due."""
        due = [
            w
            for w in self._waiting
            if self._stopping or w.deadline <= now or _has_ended(w.job, ledger)
        ]
        if due:
            self._waiting = [w for w in self._waiting if w not in due]
        return [Reply(w.call, job_answer(w.job, ledger)) for w in due]


def submission(
    submit: SubmitRequest,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
    ledger: JobLedger,
) -> SubmitJob | Refusal:
    """
    Return the command that accepts a job, or why it is refused.

    :param loads_by_data_centre: what the lease holders said last.
    :param ledger: tells of jobs that came in since.
    """
    if not 0 < len(submit.job_id) <= JOB_ID_LIMIT or "/" in submit.job_id:
        return Refusal(Reason.INVALID, f"a job id has 1 to {JOB_ID_LIMIT} characters and no '/'")
    if len(submit.payload.encode()) > PAYLOAD_LIMIT:
        return Refusal(Reason.TOO_LARGE, f"a payload may have {PAYLOAD_LIMIT} bytes at most")
    profile = configuration.profiles_by_name.get(submit.profile)
    if profile is None:
        return Refusal(Reason.NO_SUCH_PROFILE, f"no profile {submit.profile} is known")
    if profile.kind is not WorkKind.JOB:
        return Refusal(Reason.WRONG_KIND, f"{submit.profile} is a profile of requests")
    loads = {load.data_centre: _with_ledger(load, ledger) for load in loads_by_data_centre.values()}
    place = _place(submit, profile, configuration, loads)
    if isinstance(place, Refusal):
        return place
    return SubmitJob(submit.job_id, profile, place, submit.payload)


def job_answer(job: JobId, ledger: JobLedger) -> JobAnswer | Refusal:
    """Return the state of a job."""
    record = ledger.jobs_by_id.get(job)
    if record is None:
        return no_such_job(job)
    return describe_job(record)


def describe_job(record: JobRecord) -> JobAnswer:
    """Return what a caller is told of a job."""
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


def _place(
    submit: SubmitRequest,
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    wanted = submit.data_centre
    if wanted is None:
        return _choose(profile, configuration, loads_by_data_centre)
    declared = configuration.data_centres_by_id.get(wanted)
    if declared is None:
        return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"no data centre {wanted} is known")
    if not shape_fits(profile.shape, declared):
        return Refusal(Reason.NEVER_FITS, f"{wanted} can't hold the shape even when empty")
    return wanted


def _with_ledger(load: DataCentreLoad, ledger: JobLedger) -> DataCentreLoad:
    """Return a load by the jobs that the ledger has now, which the holder may not have had."""
    started = ledger.started_by_data_centre.get(load.data_centre, ())
    queued = ledger.queued_by_data_centre.get(load.data_centre, ())
    in_use = sum(_size(ledger.jobs_by_id[job].profile) for job in started)
    waiting = sum(_need(ledger.jobs_by_id[job].profile) for job in queued)
    return msgspec.structs.replace(
        load,
        free=max(0, load.accelerators - in_use),
        queued=waiting,
    )


def _size(profile: Profile) -> int:
    """Return the accelerators of a whole gang."""
    return profile.shape.tasks * profile.shape.per_task.accelerators


def _need(profile: Profile) -> float:
    """Return the accelerator-seconds that a job is declared to need."""
    return _size(profile) * profile.expected_run


def _choose(
    profile: Profile,
    configuration: Configuration,
    loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
) -> DataCentreId | Refusal:
    """Choose a data centre in service, or else one that is out, where the job waits for it."""
    chosen = choose_data_centre(profile, configuration, loads_by_data_centre)
    if not isinstance(chosen, Refusal) or chosen.reason is not Reason.DATA_CENTRE_OUT:
        return chosen
    back_in = {
        place.id: msgspec.structs.replace(place, service=Service.IN)
        for place in configuration.data_centres_by_id.values()
    }
    later = msgspec.structs.replace(configuration, data_centres_by_id=back_in)
    return choose_data_centre(profile, later, loads_by_data_centre)


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
    started = record.state is JobState.STARTED or record.may_have_run
    return Execution.UNKNOWN if started else Execution.NOT_RUN
