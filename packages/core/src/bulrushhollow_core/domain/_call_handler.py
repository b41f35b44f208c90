"""
bulrushhollow_core.domain._call_handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How the leader answers calls: at once, or when a command is committed.
"""

from typing import assert_never

import msgspec

from bulrushhollow_core.domain._announcements import Availability
from bulrushhollow_core.domain._calls import (
    Announce,
    Answer,
    Call,
    Cancel,
    ConfigShown,
    Deregister,
    Done,
    Evacuate,
    JobShown,
    Malformed,
    NoSuchJob,
    NoSuchQueue,
    NotAllowed,
    Probe,
    PutConfig,
    QueueShown,
    Read,
    ReadConfig,
    RefusalReason,
    Refused,
    Serving,
    Submit,
)
from bulrushhollow_core.domain._commands import (
    CancelJob,
    Command,
    DrainWorker,
    PutConfiguration,
    SetEvacuation,
    SubmitJob,
)
from bulrushhollow_core.domain._configuration import Queue, find_invalidity
from bulrushhollow_core.domain._events import Event, LogEvent, log_event
from bulrushhollow_core.domain._jobs import JobState, WallTime, WorkerLife
from bulrushhollow_core.domain._queueing import pending_jobs
from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain._settings import DomainSettings
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId

CONFIGURATION_WAIT = Seconds(1.0)
"""Seconds after which a call may find the first configuration; operators send it at the start."""


class Now(msgspec.Struct, frozen=True):
    """A call that is answered at once."""

    answer: Answer
    log_events: tuple[LogEvent, ...] = ()


class Later(msgspec.Struct, frozen=True):
    """
    A call that is answered once a command is committed.

    :param answer: the answer then.
    """

    command: Command
    answer: Answer
    log_events: tuple[LogEvent, ...] = ()


class _Admitted(msgspec.Struct, frozen=True):
    """A call that its queue admits."""

    queue: Queue
    workspace: WorkspaceId | None
    rest: str


class CallHandler:
    """
    Answers calls on the leader.

    :param address: address of this instance.
    """

    def __init__(self, settings: DomainSettings, address: str) -> None:
        """Keep what answers need."""
        self._settings = settings
        self._done = Done(address)
        self._address = address
        self.instances: tuple[str, ...] = ()
        """Addresses of all instances that may lead."""

    def take(
        self, call: Call, state: DomainState, scheduler: Scheduler, now: Seconds, wall: WallTime
    ) -> Now | Later:
        """Answer a call, or name the command that has to be committed first."""
        match call:
            case Submit():
                return self._submit(call, state, wall)
            case Cancel():
                return self._cancel(call, state, wall)
            case Read():
                return self._read(call, state)
            case PutConfig():
                return self._put(call, state)
            case ReadConfig():
                return self._read_config(state)
            case Evacuate(data_centre=data_centre, is_evacuated=is_evacuated):
                fields = {"data_centre": data_centre, "out": is_evacuated}
                changed = log_event(Event.EVACUATION_CHANGED, **fields)
                return Later(SetEvacuation(data_centre, is_evacuated), self._done, (changed,))
            case Announce():
                return self._announce(call, state, scheduler, now)
            case Deregister():
                life = (
                    scheduler.find_life(call.worker)
                    if call.born is None
                    else WorkerLife(call.worker, call.born)
                )
                if life is not None:
                    scheduler.deregister(life, now)
                return Now(self._done)
            case Probe():
                configuration = state.configuration
                limits = configuration.limits if configuration else None
                return Now(Serving(self._address, limits, self.instances))
            case _ as never:
                assert_never(never)

    # Jobs.

    def _admit(
        self, call: Submit | Cancel | Read, state: DomainState
    ) -> _Admitted | Refused | NoSuchQueue | NotAllowed:
        configuration_index = state.configuration_index
        if configuration_index is None:
            return Refused(RefusalReason.NO_CONFIGURATION, CONFIGURATION_WAIT)
        queue = configuration_index.find_queue(call.host, call.path)
        if queue is None:
            return NoSuchQueue()
        workspace = configuration_index.find_workspace(call.key)
        if workspace is None and not queue.is_public:
            return NotAllowed()
        return _Admitted(queue, workspace, call.path[len(queue.prefix) :])

    def _submit(self, call: Submit, state: DomainState, wall: WallTime) -> Now | Later:
        admitted = self._admit(call, state)
        if not isinstance(admitted, _Admitted):
            refused = log_event(
                Event.SUBMISSION_REFUSED, path=call.path, reason=type(admitted).__name__
            )
            return Now(admitted, (refused,))
        job_id = JobId(admitted.rest)
        reason = _malformation(call)
        if not job_id or reason:
            reason = reason or "the path names no job"
            refused = log_event(Event.SUBMISSION_REFUSED, job=job_id, reason=reason)
            return Now(Malformed(reason), (refused,))
        known = state.jobs_by_id.get(job_id)
        if known is not None:
            repeated = log_event(Event.SUBMISSION_REPEATED, job=job_id, state=known.state.value)
            return Now(self._done, (repeated,))
        command = SubmitJob(job_id, admitted.queue, admitted.workspace, call.work, wall)
        configuration = state.configuration
        accepted = log_event(
            Event.SUBMISSION_ACCEPTED,
            job=job_id,
            queue=admitted.queue.name,
            workspace=admitted.workspace or "",
            steps=len(call.work.steps),
            tasks=sum(step.count for step in call.work.steps),
            accelerators=max(s.count * s.needs.accelerators for s in call.work.steps),
            version=configuration.version if configuration else 0,
        )
        return Later(command, self._done, (accepted,))

    def _cancel(self, call: Cancel, state: DomainState, wall: WallTime) -> Now | Later:
        admitted = self._admit(call, state)
        if not isinstance(admitted, _Admitted):
            return Now(admitted)
        job = state.jobs_by_id.get(JobId(admitted.rest))
        if job is None or job.state in (JobState.DONE, JobState.FAILED):
            return Now(NoSuchJob())
        if job.state is JobState.CANCELLED:
            return Now(self._done)
        cancelled = log_event(Event.JOB_CANCELLED, job=job.id, state=job.state.value)
        return Later(CancelJob(job.id, wall), self._done, (cancelled,))

    def _read(self, call: Read, state: DomainState) -> Now:
        admitted = self._admit(call, state)
        if not isinstance(admitted, _Admitted):
            return Now(admitted)
        if not admitted.rest:
            return Now(QueueShown(pending_jobs(state, admitted.queue.name)))
        job = state.jobs_by_id.get(JobId(admitted.rest))
        return Now(NoSuchJob() if job is None else JobShown(job.state))

    # Operators.

    def _put(self, call: PutConfig, state: DomainState) -> Now | Later:
        configuration = call.configuration
        invalidity = find_invalidity(configuration)
        if invalidity is not None:
            refused = log_event(
                Event.CONFIGURATION_REFUSED,
                version=configuration.version,
                reason=invalidity.value,
            )
            return Now(Malformed(invalidity.value), (refused,))
        present = state.configuration
        if present is not None and configuration.version <= present.version:
            return Now(self._done)
        accepted = log_event(
            Event.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            queues=len(configuration.queues),
            before=present.version if present else 0,
        )
        return Later(PutConfiguration(configuration), self._done, (accepted,))

    def _read_config(self, state: DomainState) -> Now:
        configuration = state.configuration
        if configuration is None:
            return Now(Refused(RefusalReason.NO_CONFIGURATION, CONFIGURATION_WAIT))
        return Now(ConfigShown(configuration.document))

    # Workers.

    def _announce(
        self, call: Announce, state: DomainState, scheduler: Scheduler, now: Seconds
    ) -> Now | Later:
        announcement = call.announcement
        scheduler.hear(announcement, now)
        if (
            announcement.availability is Availability.DRAINING
            and announcement.life not in state.draining_workers
        ):
            draining = log_event(
                Event.WORKER_DRAINING, worker=announcement.life.id, remaining=announcement.remaining
            )
            return Later(DrainWorker(announcement.life), self._done, (draining,))
        return Now(self._done)


def _malformation(call: Submit) -> str:
    """Return what makes a job impossible to accept, or nothing."""
    steps = call.work.steps
    if not steps:
        return "the job has no steps"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            return f"step {number} depends on a step that is not before it"
    return ""
