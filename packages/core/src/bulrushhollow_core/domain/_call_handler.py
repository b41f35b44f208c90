"""
bulrushhollow_core.domain._call_handler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Answers calls on the leader: at once, or once a command is committed.
"""

from typing import assert_never

import msgspec

from bulrushhollow_core.domain._scheduler import Scheduler
from bulrushhollow_core.domain.model import (
    Announce,
    AnnounceBatch,
    Answer,
    Availability,
    Call,
    Cancel,
    CancelJob,
    Command,
    ConfigShown,
    Deregister,
    DomainSettings,
    Done,
    DrainWorker,
    Evacuate,
    Event,
    ExplainPlacement,
    JobShown,
    JobState,
    LogEvent,
    Malformed,
    NoSuchJob,
    NoSuchQueue,
    NotAllowed,
    PlacementExplained,
    Probe,
    PutConfig,
    PutConfiguration,
    Queue,
    QueueShown,
    Read,
    ReadConfig,
    RefusalReason,
    Refused,
    Serving,
    SetEvacuation,
    Submit,
    SubmitJob,
    WallTime,
    WorkerLife,
    WorkerNews,
    detached_copy,
    find_announcement_error,
    find_invalidity,
    find_life_error,
    log_event,
)
from bulrushhollow_core.domain.placement import (
    CAP_RETRY_AFTER,
    MIN_EXPLANATION_INTERVAL,
    UNSUBMITTED_JOB,
    exceeds_cap,
)
from bulrushhollow_core.domain.queueing import AdmissionController, Refusal, count_pending_jobs
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId
from bulrushhollow_core.placements import PlacementOutlook, Verdict

CONFIGURATION_RETRY_AFTER = Seconds(1.0)
"""Seconds after which to retry a call that arrived before the first configuration, which operators
put soon after the start."""

MAX_LOGGED_TEXT = 80
"""Characters of a text from an invalid announcement that are logged."""

MAX_JOB_TASKS = 50_000
"""Most tasks of one occurrence of a job; every instance with a disk holds each in memory."""


class ImmediateAnswer(msgspec.Struct, frozen=True):
    """The answer to a call that needs no command."""

    answer: Answer
    log_events: tuple[LogEvent, ...] = ()


class DeferredAnswer(msgspec.Struct, frozen=True):
    """
    The answer to a call once its command is committed.

    :param command: command to propose to the log.
    :param answer: answer to send after the commit.
    """

    command: Command
    answer: Answer
    log_events: tuple[LogEvent, ...] = ()


class _AuthorizedCall(msgspec.Struct, frozen=True):
    """
    A call that may use its queue.

    :param path_rest: path after the queue's prefix: the id of a job, or nothing.
    """

    queue: Queue
    workspace: WorkspaceId | None
    path_rest: str


class CallHandler:
    """
    Answers calls on the leader.

    :param address: address of this instance.
    """

    def __init__(self, settings: DomainSettings, address: str) -> None:
        """Create a handler that knows no other instance."""
        self._settings = settings
        self._done = Done(address)
        self._address = address
        self.instances: tuple[str, ...] = ()
        """Addresses of all instances that may lead."""
        self.relays: tuple[str, ...] = ()
        """Addresses of the other instances that are reachable now."""

    def handle(
        self, call: Call, state: DomainState, scheduler: Scheduler, now: Seconds, wall: WallTime
    ) -> ImmediateAnswer | DeferredAnswer:
        """Return the answer to a call, with the command that must be committed first, if any."""
        match call:
            case Submit():
                return self._submit_job(call, state, scheduler, now, wall)
            case Cancel():
                return self._cancel_job(call, state, scheduler.admission, wall)
            case Read():
                return self._read_state(call, state)
            case PutConfig():
                return self._put_configuration(call, state)
            case ReadConfig():
                return self._read_configuration(state)
            case Evacuate(data_centre=data_centre, is_evacuated=is_evacuated):
                fields = {"data_centre": data_centre, "out": is_evacuated}
                changed = log_event(Event.EVACUATION_CHANGED, **fields)
                return DeferredAnswer(
                    SetEvacuation(data_centre, is_evacuated), self._done, (changed,)
                )
            case Announce():
                return self._handle_announcement(call, state, scheduler, now, wall)
            case AnnounceBatch(announcements=announcements):
                if any(news.availability is Availability.DRAINING for news in announcements):
                    return ImmediateAnswer(Malformed("a worker that drains is announced alone"))
                return self._handle_announcements(announcements, scheduler, now, wall)
            case Deregister():
                life = (
                    scheduler.find_latest_life(call.worker)
                    if call.born is None
                    else WorkerLife(call.worker, call.born)
                )
                if life is None:
                    return ImmediateAnswer(self._done)
                scheduler.deregister(life, now)
                # Recorded, so that the next leader does not use the worker either.
                return DeferredAnswer(DrainWorker(life), self._done)
            case Probe():
                configuration = state.configuration
                limits = configuration.limits if configuration else None
                return ImmediateAnswer(Serving(self._address, limits, self.instances))
            case ExplainPlacement():
                return self._explain_placement(call, state, scheduler, now, wall)
            case _ as never:
                assert_never(never)

    # Jobs.

    def _authorize(
        self, call: Submit | Cancel | Read | ExplainPlacement, state: DomainState
    ) -> _AuthorizedCall | Refused | NoSuchQueue | NotAllowed:
        configuration_index = state.configuration_index
        if configuration_index is None:
            return Refused(RefusalReason.NO_CONFIGURATION, CONFIGURATION_RETRY_AFTER)
        queue = configuration_index.find_queue(call.host, call.path)
        if queue is None:
            return NoSuchQueue()
        workspace = configuration_index.find_workspace(call.key)
        if workspace is None and not queue.is_public:
            return NotAllowed()
        return _AuthorizedCall(queue, workspace, call.path[len(queue.prefix) :])

    def _submit_job(
        self,
        call: Submit,
        state: DomainState,
        scheduler: Scheduler,
        now: Seconds,
        wall: WallTime,
    ) -> ImmediateAnswer | DeferredAnswer:
        authorization = self._authorize(call, state)
        if not isinstance(authorization, _AuthorizedCall):
            refused = log_event(
                Event.SUBMISSION_REFUSED, path=call.path, reason=type(authorization).__name__
            )
            return ImmediateAnswer(authorization, (refused,))
        job_id = JobId(authorization.path_rest)
        reason = _find_work_error(call)
        if not job_id or reason:
            reason = reason or "the path contains no job id"
            refused = log_event(Event.SUBMISSION_REFUSED, job=job_id, reason=reason)
            return ImmediateAnswer(Malformed(reason), (refused,))
        existing = state.jobs_by_id.get(job_id)
        if existing is not None:
            repeated = log_event(Event.SUBMISSION_REPEATED, job=job_id, state=existing.state.value)
            return ImmediateAnswer(self._done, (repeated,))
        command = SubmitJob(job_id, authorization.queue, authorization.workspace, call.work, wall)
        rejection = _find_rejection(command, state, scheduler.admission, now)
        if rejection is not None:
            return rejection
        scheduler.admission.record_proposal(job_id)
        configuration = state.configuration
        accepted = log_event(
            Event.SUBMISSION_ACCEPTED,
            job=job_id,
            queue=authorization.queue.name,
            workspace=authorization.workspace or "",
            steps=len(call.work.steps),
            tasks=sum(step.count for step in call.work.steps),
            accelerators=max(step.count * step.needs.accelerators for step in call.work.steps),
            version=configuration.version if configuration else 0,
        )
        return DeferredAnswer(command, self._done, (accepted,))

    def _explain_placement(
        self,
        call: ExplainPlacement,
        state: DomainState,
        scheduler: Scheduler,
        now: Seconds,
        wall: WallTime,
    ) -> ImmediateAnswer:
        """Explain a placement by the checks of a submission and by a plan; nothing is changed."""
        if not scheduler.explainer.try_begin(now):
            return ImmediateAnswer(Refused(RefusalReason.EXPLAINING, MIN_EXPLANATION_INTERVAL))
        authorization = self._authorize(call, state)
        if not isinstance(authorization, _AuthorizedCall):
            return _show_outlook(_verdict_on(authorization))
        queue, workspace = authorization.queue, authorization.workspace
        command = SubmitJob(UNSUBMITTED_JOB, queue, workspace, call.work, wall)
        reason = _find_work_error(call)
        outlook = (
            PlacementOutlook(Verdict.MALFORMED, reason)
            if reason
            else _forecast(command, state, scheduler, now, wall)
        )
        return _show_outlook(
            msgspec.structs.replace(outlook, queue=queue.name, workspace=workspace or "")
        )

    def _cancel_job(
        self, call: Cancel, state: DomainState, admission: AdmissionController, wall: WallTime
    ) -> ImmediateAnswer | DeferredAnswer:
        authorization = self._authorize(call, state)
        if not isinstance(authorization, _AuthorizedCall):
            return ImmediateAnswer(authorization)
        job_id = JobId(authorization.path_rest)
        job = state.jobs_by_id.get(job_id)
        if job is None and admission.is_proposed(job_id):
            # The submission may still commit, and its entry precedes this one.
            return DeferredAnswer(CancelJob(job_id, wall), self._done)
        if job is None or job.state in (JobState.DONE, JobState.FAILED):
            return ImmediateAnswer(NoSuchJob())
        if job.state is JobState.CANCELLED:
            return ImmediateAnswer(self._done)
        cancelled = log_event(Event.JOB_CANCELLED, job=job.id, state=job.state.value)
        return DeferredAnswer(CancelJob(job.id, wall), self._done, (cancelled,))

    def _read_state(self, call: Read, state: DomainState) -> ImmediateAnswer:
        authorization = self._authorize(call, state)
        if not isinstance(authorization, _AuthorizedCall):
            return ImmediateAnswer(authorization)
        if not authorization.path_rest:
            return ImmediateAnswer(QueueShown(count_pending_jobs(state, authorization.queue.name)))
        job = state.jobs_by_id.get(JobId(authorization.path_rest))
        return ImmediateAnswer(NoSuchJob() if job is None else JobShown(job.state))

    # Operators.

    def _put_configuration(
        self, call: PutConfig, state: DomainState
    ) -> ImmediateAnswer | DeferredAnswer:
        configuration = call.configuration
        invalidity = find_invalidity(configuration)
        if invalidity is not None:
            refused = log_event(
                Event.CONFIGURATION_REFUSED,
                version=configuration.version,
                reason=invalidity.value,
            )
            return ImmediateAnswer(Malformed(invalidity.value), (refused,))
        current = state.configuration
        if current is not None and configuration.version <= current.version:
            return ImmediateAnswer(self._done)
        accepted = log_event(
            Event.CONFIGURATION_ACCEPTED,
            version=configuration.version,
            queues=len(configuration.queues),
            before=current.version if current else 0,
        )
        return DeferredAnswer(PutConfiguration(configuration), self._done, (accepted,))

    def _read_configuration(self, state: DomainState) -> ImmediateAnswer:
        configuration = state.configuration
        if configuration is None:
            return ImmediateAnswer(
                Refused(RefusalReason.NO_CONFIGURATION, CONFIGURATION_RETRY_AFTER)
            )
        return ImmediateAnswer(ConfigShown(configuration.document))

    # Workers.

    def _handle_announcement(
        self,
        call: Announce,
        state: DomainState,
        scheduler: Scheduler,
        now: Seconds,
        wall: WallTime,
    ) -> ImmediateAnswer | DeferredAnswer:
        announcement = call.announcement
        reason = _find_error(announcement, wall)
        if reason:
            return ImmediateAnswer(
                Malformed(reason), (_announcement_refused(announcement, reason),)
            )
        reason = scheduler.find_disregard_reason(announcement)
        if reason:
            refused = _announcement_refused(announcement, reason)
            if announcement.availability is Availability.DRAINING:
                # The answer to a worker that drains promises that it gets no more work.
                refusal = Refused(RefusalReason.UNKNOWN_SERVICE, CONFIGURATION_RETRY_AFTER)
                return ImmediateAnswer(refusal, (refused,))
            return ImmediateAnswer(self._announced(scheduler), (refused,))
        scheduler.worker_announced(announcement, now)
        if (
            announcement.availability is Availability.DRAINING
            and announcement.life not in state.draining_workers
        ):
            draining = log_event(
                Event.WORKER_DRAINING, worker=announcement.life.id, remaining=announcement.remaining
            )
            return DeferredAnswer(DrainWorker(announcement.life), self._done, (draining,))
        return ImmediateAnswer(self._announced(scheduler))

    def _handle_announcements(
        self,
        announcements: tuple[WorkerNews, ...],
        scheduler: Scheduler,
        now: Seconds,
        wall: WallTime,
    ) -> ImmediateAnswer:
        """Handle a batch of announcements; one that is invalid does not affect the others."""
        refused: list[LogEvent] = []
        for news in announcements:
            reason = _find_error(news, wall) or scheduler.find_disregard_reason(news)
            if reason:
                refused.append(_announcement_refused(news, reason))
            else:
                scheduler.worker_announced(news, now)
        return ImmediateAnswer(self._announced(scheduler), tuple(refused))

    def _announced(self, scheduler: Scheduler) -> Done:
        """Return the answer to announcements, with the instances to which later ones go."""
        if scheduler.worker_count <= self._settings.max_direct_workers:
            return self._done
        return Done(self._address, self.relays)


def _find_error(announcement: WorkerNews, wall: WallTime) -> str:
    """Return why an announcement cannot come from a worker now, or an empty text if it can."""
    return find_announcement_error(announcement) or find_life_error(announcement.life, wall)


def _announcement_refused(announcement: WorkerNews, reason: str) -> LogEvent:
    return log_event(
        Event.ANNOUNCEMENT_REFUSED,
        worker=announcement.life.id[:MAX_LOGGED_TEXT],
        address=announcement.address[:MAX_LOGGED_TEXT],
        service=announcement.service[:MAX_LOGGED_TEXT],
        reason=reason,
    )


def _forecast(
    command: SubmitJob, state: DomainState, scheduler: Scheduler, now: Seconds, wall: WallTime
) -> PlacementOutlook:
    """Return what would happen to a submission of valid work."""
    rejection = _find_rejection(command, state, detached_copy(scheduler.admission), now)
    if rejection is not None and isinstance(rejection.answer, Refused):
        return _verdict_on(rejection.answer)
    forecast = scheduler.explainer.explain(command, now, wall)
    return PlacementOutlook(Verdict.ACCEPTED, position=forecast.position, steps=forecast.steps)


def _show_outlook(outlook: PlacementOutlook) -> ImmediateAnswer:
    explained = log_event(
        Event.PLACEMENT_EXPLAINED,
        verdict=outlook.verdict.value,
        queue=outlook.queue,
        workspace=outlook.workspace,
        rank=outlook.position.rank if outlook.position else 0,
        tasks=sum(step.tasks for step in outlook.steps),
        starting=sum(step.starting for step in outlook.steps),
    )
    return ImmediateAnswer(PlacementExplained(outlook), (explained,))


def _find_rejection(
    command: SubmitJob, state: DomainState, admission: AdmissionController, now: Seconds
) -> ImmediateAnswer | None:
    """Return the refusal of valid work because of a cap or of overload; None if it is accepted."""
    if admission.is_proposed(command.id):
        # An earlier submission of the job may still commit, and then it runs.
        return None
    configuration_index = state.configuration_index
    cap = configuration_index.cap_of(command.workspace) if configuration_index else None
    if cap is not None and exceeds_cap(command.work, cap):
        refused = log_event(
            Event.SUBMISSION_REFUSED,
            job=command.id,
            workspace=command.workspace or "",
            reason=RefusalReason.EXCEEDS_CAP.value,
        )
        return ImmediateAnswer(Refused(RefusalReason.EXCEEDS_CAP, CAP_RETRY_AFTER), (refused,))
    refusal = admission.find_refusal(command, now)
    return None if refusal is None else _refuse_overloaded(command, refusal)


def _verdict_on(refusal: Refused | NoSuchQueue | NotAllowed) -> PlacementOutlook:
    """Return the explanation of a job whose submission would be refused."""
    match refusal:
        case NoSuchQueue():
            return PlacementOutlook(Verdict.NO_SUCH_QUEUE)
        case NotAllowed():
            return PlacementOutlook(Verdict.NOT_ALLOWED)
        case Refused(reason=reason, retry_after=retry_after):
            return PlacementOutlook(Verdict(reason.value), retry_after=round(retry_after, 3))


def _refuse_overloaded(command: SubmitJob, refusal: Refusal) -> ImmediateAnswer:
    refused = log_event(
        Event.SUBMISSION_REFUSED,
        job=command.id,
        reason=RefusalReason.OVERLOADED.value,
        queue=command.queue.name,
        workspace=command.workspace or "",
        expected_end=round(refusal.expected_end, 3),
        limit=round(refusal.limit, 3),
        retry_after=round(refusal.retry_after, 3),
    )
    return ImmediateAnswer(Refused(RefusalReason.OVERLOADED, refusal.retry_after), (refused,))


def _find_work_error(call: Submit | ExplainPlacement) -> str:
    """Return why the work of a job is invalid, or an empty text if it is valid."""
    steps = call.work.steps
    if not steps:
        return "the job has no steps"
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"step {number} has no tasks"
        if min(step.needs.cpu, step.needs.memory, step.needs.accelerators) < 0:
            return f"step {number} needs a negative amount of a resource"
        if step.max_per_worker < 0:
            return f"step {number} allows a negative number of tasks on a worker"
        if any(not 0 <= dependency < number for dependency in step.depends_on):
            return f"step {number} depends on a step that does not precede it"
    if sum(step.count for step in steps) > MAX_JOB_TASKS:
        return f"the job has more than {MAX_JOB_TASKS} tasks"
    return ""
