"""
bulrushhollow_core.domain.execution._scheduler_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state that the parts of a leader's scheduler share: the replicated state, the leader's view of
the workers, and its decisions that have not been handed over yet.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Set

import msgspec

from bulrushhollow_core.domain.execution._advice import AdviceCache
from bulrushhollow_core.domain.execution._order_queue import OrderQueue
from bulrushhollow_core.domain.execution._start_holds import (
    MAX_LASTING_HOLD,
    NO_HOLD,
    NO_WORKER,
    HoldEnd,
    StartEvidence,
    StartHold,
    StartHolds,
)
from bulrushhollow_core.domain.fleet import (
    LATE_ORDER_WINDOW,
    Fleet,
    Run,
    RunPhase,
    RunRef,
    SpeedEstimator,
    StragglerDetector,
    Worker,
)
from bulrushhollow_core.domain.model import (
    Command,
    DomainSettings,
    Event,
    ForgetWorker,
    Outcome,
    Queue,
    RegisterWorker,
    RunEnd,
    RunNumber,
    ServiceName,
    StepRef,
    TaskRef,
    WorkerLife,
    WorkerNews,
    log_event,
)
from bulrushhollow_core.domain.queueing import AdmissionController, Headroom, RateMeter, ShareLedger
from bulrushhollow_core.domain.replica import DomainState
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkspaceId


class SchedulerState:
    """
    Volatile state of a leader's scheduler, next to the replicated state.

    :param state: replicated state; its owner applies the committed commands to it.
    :param term: term of this leader, which is its lowest fencing token.
    :param now: when this instance began to lead.
    :param late_until_by_run: until when orders of earlier leaders to start runs may be carried out,
        for the runs of which they may; None if that is unknown.
    """

    def __init__(
        self,
        state: DomainState,
        term: Term,
        settings: DomainSettings,
        now: Seconds,
        late_until_by_run: Mapping[tuple[TaskRef, RunNumber], Seconds] | None = None,
    ) -> None:
        """Create the state and adopt every run that is recorded as active."""
        self.state = state
        self.term = term
        self.settings = settings
        self.leading_since = now
        self._late_until_by_run = late_until_by_run
        self.plan_due = now
        self.fleet = Fleet(term)
        self.orders = OrderQueue(settings.max_orders_per_worker)
        self.proposed_runs_by_task: dict[TaskRef, Run] = {}
        """Runs whose start is proposed to the log and not yet committed."""
        self.withdrawn_starts: set[TaskRef] = set()
        """Proposed starts that must not be ordered: a new configuration lowered a cap."""
        self.cap_holds_since: dict[WorkspaceId, Seconds] = {}
        """Since when a gang's reservation of a cap holds back work that it must yield to."""
        self.excluded_workers_by_step: dict[StepRef, dict[WorkerLife, Seconds]] = {}
        """Workers on which a task of the step failed, stalled or was too slow, with when."""
        self.blamed_workers_by_task: dict[TaskRef, set[WorkerLife]] = {}
        """Workers that were quarantined because the task stalled or was too slow there."""
        self.departed_lives: set[WorkerLife] = set(state.departed_workers)
        """Lives that have left or are known to be over."""
        self.straggler_detector = StragglerDetector()
        self.speeds = SpeedEstimator()
        self.headroom = Headroom(settings.stop_timeout)
        self.advice = AdviceCache()
        self.rate_meter = RateMeter()
        self.shares = ShareLedger(self.rate_meter)
        self.admission = AdmissionController(state, settings, self.fleet, self.rate_meter)
        self.proposals: list[Command] = []
        self.pending_ends: list[RunEnd] = []
        self.unrecorded_ends_by_task: Counter[TaskRef] = Counter()
        """Number of ends of each task that are to be recorded and not yet committed."""
        self.pending_crashes: list[Worker] = []
        """Workers whose crash is to be proposed."""
        self.outbox: list[msgspec.Struct] = []
        """Orders and log lines that the owner has not taken yet."""
        self.pending_registrations: set[WorkerLife] = set()
        """Workers whose registration is proposed to the log and not yet committed."""
        self._adopt_workers(now)
        self.start_holds = StartHolds()
        for ref, number in state.runs_that_may_start_late():
            until = self._hold_limit(ref, self._earlier_start_until(ref, number), now)
            self.start_holds.add(ref, StartHold(number, now, until))
        for ref, task in state.active_tasks():
            if task.worker is not None:
                self.adopt(ref, task.run, task.worker, task.address, now)

    def _adopt_workers(self, now: Seconds) -> None:
        """Add the workers that are recorded, the earlier lives first: fencing tokens rise."""
        address_by_life = {
            task.worker: task.address
            for _, task in self.state.active_tasks()
            if task.worker is not None
        }
        announcements = self.state.announcements_by_life
        address_by_life |= {life: announcements[life].address for life in announcements}
        for life in sorted(address_by_life, key=lambda life: (life.id, life.born)):
            worker = self.fleet.get_or_create(life, address_by_life[life], now)
            announcement = announcements.get(life)
            if announcement is not None:
                worker.announcement = announcement
                # A late announcement from before this one must not replace it.
                self.fleet.sequence_by_life[life] = announcement.sequence

    def runs(self) -> Iterator[Run]:
        """Yield every run that takes resources."""
        for worker in self.fleet.workers_by_life.values():
            yield from worker.runs_by_task.values()

    def adopt(
        self, ref: TaskRef, number: RunNumber, life: WorkerLife, address: str, now: Seconds
    ) -> None:
        """Adopt a run that an earlier leader recorded."""
        job = self.state.jobs_by_id[ref.job]
        worker = self.fleet.get_or_create(life, address, now)
        step = job.work.steps[ref.step]
        run = Run(ref, number, life, step.needs, now, step.estimate, step.is_gang)
        run.phase = RunPhase.ADOPTED
        run.is_adopted = True
        run.has_uncertain_start = (ref, number) in (self._late_until_by_run or {})
        self.fleet.place(worker, run)
        worker.poll_due = now

    def propose_end(
        self, task: TaskRef, run: RunNumber, outcome: Outcome, checkpoint: str = ""
    ) -> None:
        """Propose the end of a run to the log, and write it to the decision log."""
        self.propose(RunEnd(task, run, outcome, checkpoint))

    def propose_end_of(
        self,
        run: Run,
        outcome: Outcome,
        checkpoint: str,
        now: Seconds,
        evidence: StartEvidence,
    ) -> None:
        """
        Propose the end of a run that was ordered. If its start went unanswered, its task waits
        until the order can no longer be carried out.

        A lasting task, which never ends as done, waits only for lives of its worker that are known.
        The harm that a further one could do is a second run for a moment; that of a longer wait is
        a service that is away.
        """
        held_until = self._late_start_until(run, now)
        worker = NO_WORKER
        if self.is_lasting(run.task):
            if evidence is StartEvidence.REFUSED_BY_KNOWN_LIVES:
                held_until = now
            elif evidence is StartEvidence.LEASE_EXPIRED:
                worker = run.life.id
            held_until = self._hold_limit(run.task, held_until, run.started_at)
        may_start_late = now < held_until
        if may_start_late:
            self.start_holds.add(run.task, StartHold(run.number, now, held_until, worker))
        self.propose(
            RunEnd(
                run.task,
                run.number,
                outcome,
                checkpoint,
                run.survived,
                run.loss,
                may_start_late,
            ),
            Seconds(held_until - now) if may_start_late else NO_HOLD,
        )

    def _late_start_until(self, run: Run, now: Seconds) -> Seconds:
        """Return until when the start of a run may be carried out in a life not yet known."""
        worker = self.fleet.get(run.life)
        start = worker.unanswered_starts.get(RunRef(run.task, run.number)) if worker else None
        if start is not None:
            return Seconds(start.timed_out_at + LATE_ORDER_WINDOW)
        if run.is_adopted and not run.has_been_listed:
            return self._earlier_start_until(run.task, run.number)
        return now

    def _earlier_start_until(self, task: TaskRef, number: RunNumber) -> Seconds:
        """Return until when the order of an earlier leader to start a run may be carried out."""
        if self._late_until_by_run is None:
            return Seconds(self.leading_since + LATE_ORDER_WINDOW)
        return self._late_until_by_run.get((task, number), self.leading_since)

    def _hold_limit(self, task: TaskRef, until: Seconds, ordered_at: Seconds) -> Seconds:
        """Return until when a task waits whose start may be carried out until a given time."""
        if not self.is_lasting(task):
            return until
        return Seconds(min(until, ordered_at + MAX_LASTING_HOLD))

    def end_holds_by_list(self, worker: Worker, running: Set[RunRef], now: Seconds) -> None:
        """
        End the holds that a list of a worker's runs refutes.

        :param running: the runs that it lists.
        """
        ended = self.start_holds.end_by_list(worker.life.id, running)
        if ended:
            self._log_ended_holds(ended, HoldEnd.LISTED, now)
            self.request_plan(now)

    def held_tasks(self, now: Seconds) -> Set[TaskRef]:
        """Return the tasks whose last start may still be carried out."""
        self._log_ended_holds(self.start_holds.end_expired(now), HoldEnd.EXPIRED, now)
        return self.start_holds.tasks

    def _log_ended_holds(
        self, holds: Iterable[tuple[TaskRef, StartHold]], cause: HoldEnd, now: Seconds
    ) -> None:
        self.outbox.extend(
            log_event(
                Event.START_HOLD_ENDED,
                task=task,
                run=hold.run,
                cause=cause.value,
                held=round(now - hold.since, 3),
            )
            for task, hold in holds
        )

    def propose(self, end: RunEnd, hold: Seconds = NO_HOLD) -> None:
        """
        Propose an end to the log, and write it to the decision log.

        :param hold: seconds for which the task waits for a start that may be carried out late.
        """
        self.pending_ends.append(end)
        self.unrecorded_ends_by_task[end.task] += 1
        task, run, outcome = end.task, end.run, end.outcome
        record = self.state.find_task(task)
        worker = record.worker if record is not None and record.run == run else None
        self.outbox.append(
            log_event(
                Event.RUN_ENDED,
                task=task,
                run=run,
                outcome=outcome.value,
                worker=worker.id if worker else "",
                may_start_late=end.may_start_late,
                hold=round(hold, 3),
            )
        )

    def end_recorded(self, end: RunEnd) -> None:
        """Record that a proposed end has committed."""
        self.unrecorded_ends_by_task[end.task] -= 1
        if self.unrecorded_ends_by_task[end.task] <= 0:
            del self.unrecorded_ends_by_task[end.task]

    def log_worker_event(self, event: Event, worker: Worker, **fields: object) -> None:
        """Write an event about one life of a worker to the decision log."""
        life = worker.life
        self.outbox.append(log_event(event, worker=life.id, born=life.born, **fields))

    def request_plan(self, now: Seconds) -> None:
        """Request a plan from the next tick."""
        self.plan_due = min(self.plan_due, now)

    def gang_members(self, task: TaskRef, number: RunNumber) -> Iterator[Run]:
        """Return the members of one run of a gang that take resources."""
        runs = self.fleet.runs_of(task.job)
        return (run for run in runs if run.number == number and run.task.step_ref == task.step_ref)

    def exclude_worker(self, task: TaskRef, life: WorkerLife, now: Seconds) -> None:
        """Exclude a worker from further tasks of a task's step, for a limited time."""
        self.excluded_workers_by_step.setdefault(task.step_ref, {})[life] = now

    def record_submission(self, job_id: JobId, now: Seconds) -> None:
        """Meter an accepted job."""
        job = self.state.jobs_by_id.get(job_id)
        index = self.state.configuration_index
        if job is not None and not job.has_ended and index is not None:
            weight = index.weight_of(job.workspace)
            self.rate_meter.record_submission(job_id, job.workspace, weight, now)

    def forget_job(self, job: JobId) -> None:
        """Drop all data about a job that has ended."""
        self.straggler_detector.forget_job(job)
        self.speeds.forget_job(job)
        self.headroom.forget_job(job)
        self.advice.forget_job(job)
        self.rate_meter.forget_job(job)
        for step in [step for step in self.excluded_workers_by_step if step.job == job]:
            del self.excluded_workers_by_step[step]
        for task in [task for task in self.blamed_workers_by_task if task.job == job]:
            del self.blamed_workers_by_task[task]

    def propose_registration(self, announcement: WorkerNews) -> None:
        """Propose to record an announcement, unless the state already has an equal one."""
        known = self.state.announcements_by_life.get(announcement.life)
        is_known = known is not None and known.is_equivalent(announcement)
        if not is_known and announcement.life not in self.pending_registrations:
            self.pending_registrations.add(announcement.life)
            self.proposals.append(RegisterWorker(announcement.without_times()))

    def names_service(self, service: ServiceName) -> bool:
        """Return whether the configuration in force names a service."""
        index = self.state.configuration_index
        return index is not None and service in index.services

    def is_vouched_for(self, worker: Worker) -> bool:
        """
        Return whether more than its own announcement shows that a worker belongs to the domain.

        Other systems may announce machines of the domain as their own, under services that the
        configuration does not name. A worker whose service was removed still counts if it answers
        orders or has runs.
        """
        announcement = worker.announcement
        return (
            announcement is None
            or self.names_service(announcement.service)
            or worker.has_answered_poll
            or bool(worker.runs_by_task)
        )

    def forget_foreign_worker(self, life: WorkerLife) -> None:
        """Remove a worker that nothing vouches for; a later announcement of this life is new."""
        self.fleet.sequence_by_life.pop(life, None)
        self.forget_worker(life)

    def forget_worker(self, life: WorkerLife) -> None:
        """Remove a worker, and propose to remove it from the replicated state."""
        self.fleet.remove(life)
        self.straggler_detector.forget_worker(life)
        self.speeds.forget_worker(life)
        if life in self.state.announcements_by_life or life in self.state.draining_workers:
            self.proposals.append(ForgetWorker(life))

    def checkpoint_of(self, ref: TaskRef) -> str:
        """Return the checkpoint that a task resumes from; empty for none."""
        record = self.state.find_step(ref)
        job = self.state.jobs_by_id[ref.job]
        if record is None:
            return ""
        is_gang = job.work.steps[ref.step].is_gang
        return record.checkpoint if is_gang else record.tasks[ref.member].checkpoint

    def workspace_of(self, job_id: JobId) -> WorkspaceId | None:
        """Return the workspace of a job; None if it has none or the job is unknown."""
        job = self.state.jobs_by_id.get(job_id)
        return job.workspace if job is not None else None

    def current_queue(self, queue: Queue) -> Queue:
        """Return a job's queue as the configuration in force defines it."""
        index = self.state.configuration_index
        return index.current_queue(queue) if index is not None else queue

    def ends_soon(self, run: Run, now: Seconds) -> bool:
        """Return whether a run is expected to end by itself within the time that a stop takes."""
        ends_within = run.ends_within(self.settings.stop_timeout, now)
        return ends_within and not self.is_long_running(run)

    def is_freeing_resources(self, run: Run, now: Seconds) -> bool:
        """Return whether a run frees its resources soon: it is being stopped or ends by itself."""
        return run.phase is RunPhase.STOPPING or (not run.is_gang and self.ends_soon(run, now))

    def observe_speed(self, run: Run) -> None:
        """
        Sample the pace of a run, unless that depends on the distance to its data. Workers that are
        no longer known and steps that are over are left out, since nothing drops their samples.
        """
        record = self.state.find_step(run.task)
        is_over = record is None or record.is_done or self.has_ended(run.task.job)
        if is_over or self.fleet.get(run.life) is None:
            return
        if not self.state.jobs_by_id[run.task.job].work.steps[run.task.step].data_rack:
            self.speeds.observe(run)

    def forget_done_steps(self, steps: Iterable[StepRef]) -> None:
        """Drop the samples of those steps that are done; a timed job has many occurrences."""
        for step in steps:
            record = self.state.find_step(step)
            if record is None or record.is_done:
                self.speeds.forget_step(step)

    def has_ended(self, job_id: JobId) -> bool:
        """Return whether a job has ended, or is no longer kept."""
        job = self.state.jobs_by_id.get(job_id)
        return job is None or job.has_ended

    def is_long_running(self, run: Run) -> bool:
        """Return whether a run lasts until its job is cancelled."""
        return self.is_lasting(run.task)

    def is_lasting(self, task: TaskRef) -> bool:
        """Return whether a task runs until its job is cancelled."""
        job = self.state.jobs_by_id.get(task.job)
        return (
            job is not None and bool(job.work.steps) and job.work.steps[task.step].is_long_running
        )
