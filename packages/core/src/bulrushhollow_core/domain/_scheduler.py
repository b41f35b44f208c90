"""
bulrushhollow_core.domain._scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The scheduler that the leader of a domain runs. It plans, proposes starts and ends of runs to the
log, and sends workers the orders for committed commands. Each new leader creates its own.
"""

import math
from collections.abc import Mapping

import msgspec

from bulrushhollow_core.domain.execution import (
    OrderAnswerHandler,
    OrderDispatcher,
    OrderLoad,
    SchedulerState,
    WorkerLossHandler,
    WorkerMonitor,
)
from bulrushhollow_core.domain.fleet import Worker
from bulrushhollow_core.domain.model import (
    AdviceAnswered,
    Availability,
    CancelJob,
    Command,
    DomainSettings,
    EndRuns,
    Event,
    Job,
    PollAnswered,
    PutConfiguration,
    RecordCrash,
    RegisterWorker,
    RunNumber,
    SetEvacuation,
    StartAnswered,
    StartRuns,
    StopAnswered,
    SubmitJob,
    TaskRef,
    WallTime,
    WorkerLife,
    WorkerNews,
    end_commands,
    log_event,
)
from bulrushhollow_core.domain.placement import (
    PlacementExplainer,
    PlanningCycle,
    withdraw_starts_over_cap,
)
from bulrushhollow_core.domain.queueing import AdmissionController
from bulrushhollow_core.domain.replica import DomainState, crash_count, crashes_workers, losses_of
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkerId

CHECK_INTERVAL = Seconds(0.1)
"""Seconds between two checks of all workers; events are handled when they arrive."""

MIN_PLAN_INTERVAL = Seconds(0.02)
"""Minimum seconds between two plans, so that one plan covers a burst of ends."""

MIN_BLOCKED_PLAN_INTERVAL = Seconds(0.05)
"""Minimum seconds to the next plan after one that left tasks waiting. Such plans take longest, and
a single end seldom frees enough for many of the waiting tasks."""


MIN_END_PROPOSAL_INTERVAL = Seconds(0.02)
"""Minimum seconds between two proposals of ends; each costs every voter a disk sync."""


class Scheduler:
    """
    Schedules the jobs of a domain on its workers while this instance leads.

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
        """Create a scheduler and adopt every run that is recorded as active."""
        self._shared = SchedulerState(state, term, settings, now, late_until_by_run)
        self._dispatcher = OrderDispatcher(self._shared)
        self._loss_handler = WorkerLossHandler(self._shared, self._dispatcher)
        self._answer_handler = OrderAnswerHandler(
            self._shared, self._dispatcher, self._loss_handler
        )
        self._worker_monitor = WorkerMonitor(self._shared, self._dispatcher, self._loss_handler)
        self._planning_cycle = PlanningCycle(self._shared, self._dispatcher)
        self.explainer = PlacementExplainer(self._shared, self._planning_cycle)
        self._planned_at = Seconds(-math.inf)
        self._min_plan_interval = MIN_PLAN_INTERVAL
        self._check_due = now
        self._ends_due = now

    def send_orders(self, now: Seconds) -> None:
        """Add the orders to start and to stop runs that may leave now to the actions."""
        self._dispatcher.send_orders(now)

    def take_actions(self, now: Seconds) -> list[msgspec.Struct]:
        """Return the orders that may leave now, and the other actions since the last call."""
        self.send_orders(now)
        outbox, self._shared.outbox = self._shared.outbox, []
        return outbox

    def take_proposals(self, now: Seconds, wall: WallTime) -> list[Command]:
        """Return the commands to propose since the last call."""
        self._propose_crashes(now, wall)
        if self._shared.pending_ends and now >= self._ends_due:
            self._ends_due = Seconds(now + MIN_END_PROPOSAL_INTERVAL)
            commands = end_commands(self._shared.pending_ends, wall)
            self._shared.proposals.extend(commands)
            self._shared.pending_ends = []
            # What was listed is recorded, and may be acknowledged, with the last of the commands.
            self._dispatcher.listed_ends_by_proposal.extend({} for _ in commands[1:])
            self._dispatcher.listed_ends_by_proposal.append(
                {
                    life: worker.last_listed_end
                    for life, worker in self._shared.fleet.workers_by_life.items()
                    if worker.last_listed_end > worker.last_recorded_end
                }
            )
        proposals, self._shared.proposals = self._shared.proposals, []
        return proposals

    def _propose_crashes(self, now: Seconds, wall: WallTime) -> None:
        # A crash goes ahead of the registration of the worker's next life, which an instance that
        # leads after this one could no longer tell from a worker that left.
        crashes: list[Command] = [
            RecordCrash(worker.life, WallTime(wall - (now - worker.heard_at)), wall)
            for worker in self._shared.pending_crashes
        ]
        self._shared.proposals = crashes + self._shared.proposals
        self._shared.pending_crashes = []

    def tick(self, now: Seconds, wall: WallTime) -> None:
        """Check workers and make a plan if either is due, and ask for advice if any is wanted."""
        if now >= self._check_due:
            self._check_due = Seconds(now + CHECK_INTERVAL)
            for worker in list(self._shared.fleet.workers_by_life.values()):
                self._worker_monitor.check(worker, now)
        if now >= max(self._shared.plan_due, self._planned_at + self._min_plan_interval):
            self._planned_at = now
            is_blocked = self._planning_cycle.plan(now, wall)
            self._min_plan_interval = MIN_BLOCKED_PLAN_INTERVAL if is_blocked else MIN_PLAN_INTERVAL
        question = self._shared.advice.next_question(now)
        if question is not None:
            self._shared.outbox.append(question)

    def find_disregard_reason(self, announcement: WorkerNews) -> str:
        """
        Return why an announcement says nothing about the workers of the domain, or an empty text.

        Until the first configuration no service is named. Announcements count as well then, unless
        they contradict what is known.
        """
        if self._shared.names_service(announcement.service):
            return ""
        known = self._shared.fleet.get(announcement.life)
        if known is not None and known.announcement is not None:
            if known.announcement.service != announcement.service:
                return "the worker has announced another service"
            if self._shared.is_vouched_for(known):
                return ""
        if self._shared.state.configuration is not None:
            return "the configuration names no such service"
        if self._shared.fleet.rivals_of(announcement):
            return "its id or address is taken, and no service is named yet"
        return ""

    def worker_announced(self, announcement: WorkerNews, now: Seconds) -> None:
        """Handle an announcement, unless it is late, repeated, or of a life that is over."""
        life = announcement.life
        known = self._shared.fleet.get(life)
        is_late = announcement.sequence <= self._shared.fleet.sequence_by_life.get(life, -1)
        if is_late and known is not None and not self._shared.is_vouched_for(known):
            # The latest number may come from an announcement that another system made.
            is_late = not self._shared.names_service(announcement.service)
        rivals = self._shared.fleet.rivals_of(announcement)
        if (
            is_late
            or life in self._shared.departed_lives
            or any(
                rival.life.born > life.born and self._shared.is_vouched_for(rival)
                for rival in rivals
            )
        ):
            return
        self._shared.fleet.sequence_by_life[life] = announcement.sequence
        is_new = known is None
        worker = self._shared.fleet.get_or_create(life, announcement.address, now)
        worker.record_clock(announcement.clock, now)
        if self._shared.names_service(announcement.service):
            self._replace_rivals(worker, rivals, now)
        previous = worker.announcement
        self._shared.fleet.record_announcement(worker, announcement, now)
        self._shared.propose_registration(announcement)
        worker.record_heard(now)
        if (
            is_new
            or previous is None
            or previous.availability is not announcement.availability
            or previous.capacity != announcement.capacity
        ):
            self._log_announcement(worker, announcement)
            self._shared.request_plan(now)
        if announcement.availability is Availability.DRAINING:
            worker.leaves_at = Seconds(now + announcement.remaining)

    def _replace_rivals(self, worker: Worker, rivals: list[Worker], now: Seconds) -> None:
        """Handle that a worker has taken over its id or address from earlier lives."""
        for rival in rivals:
            if not self._shared.is_vouched_for(rival):
                self._shared.forget_foreign_worker(rival.life)
                continue
            if rival.life.id == worker.life.id:
                self._loss_handler.transfer_runs(rival, worker, now)
            self._loss_handler.declare_lost(rival, "outlived", now)

    def deregister(self, life: WorkerLife, now: Seconds) -> None:
        """Handle that a worker leaves now; its runs end with it."""
        worker = self._shared.fleet.get(life)
        self._shared.departed_lives.add(life)
        if worker is not None:
            worker.leaves_at = now

    def find_latest_life(self, worker_id: str) -> WorkerLife | None:
        """Return the latest known life under an id, or None."""
        lives = self._shared.fleet.lives_of(WorkerId(worker_id))
        return max(lives, key=lambda life: life.born, default=None)

    @property
    def admission(self) -> AdmissionController:
        """Return the controller that refuses submissions under overload."""
        return self._shared.admission

    def command_committed(self, command: Command, now: Seconds) -> None:
        """Handle a committed command of any leader after the state has applied it."""
        match command:
            case StartRuns(starts=starts):
                for start in starts:
                    self._dispatcher.dispatch_start(start, now)
            case EndRuns(ends=ends, ended_at=at):
                for end in ends:
                    self._shared.end_recorded(end)
                self._dispatcher.handle_recorded_ends(ends, now)
                self._shared.forget_done_steps(dict.fromkeys(end.task.step_ref for end in ends))
                self._log_ended_jobs({end.task.job for end in ends}, at)
                self._dispatcher.acknowledge_ends(now)
            case RecordCrash(worker=worker, noticed_at=at):
                jobs = [job.id for job in self._shared.state.jobs_lost_with(worker)]
                self._log_ended_jobs(set(jobs), at)
                for job_id in filter(self._shared.has_ended, jobs):
                    self._dispatcher.stop_all(self._shared.fleet.runs_of(job_id), now)
                self._shared.request_plan(now)
            case CancelJob(id=job_id):
                self._shared.forget_job(job_id)
                self._dispatcher.stop_all(self._shared.fleet.runs_of(job_id), now)
            case SubmitJob(id=job_id):
                self._shared.admission.record_commit(job_id)
                self._shared.record_submission(job_id, now)
                self._shared.request_plan(now)
            case SetEvacuation():
                self._shared.request_plan(now)
            case PutConfiguration():
                withdraw_starts_over_cap(self._shared, now)
                self._shared.request_plan(now)
            case RegisterWorker(announcement=announcement):
                self._shared.pending_registrations.discard(announcement.life)

    def start_answered(self, answer: StartAnswered, now: Seconds) -> None:
        """Handle the answer to an order to start a run."""
        self._answer_handler.handle_start_answer(answer, now)

    def stop_answered(self, answer: StopAnswered, now: Seconds) -> None:
        """Handle the answer to an order to stop a run."""
        self._answer_handler.handle_stop_answer(answer, now)

    def poll_answered(self, answer: PollAnswered, now: Seconds) -> None:
        """Handle the answer to a poll: which runs a worker has, and which have ended there."""
        self._answer_handler.handle_poll_answer(answer, now)

    def advice_answered(self, answer: AdviceAnswered, now: Seconds) -> None:
        """Handle an answer of the advice service: which workers may run a step."""
        self._shared.advice.handle_answer(answer, now)
        if self._shared.has_ended(answer.step.job):
            self._shared.advice.forget_job(answer.step.job)
        self._shared.outbox.append(
            log_event(
                Event.ADVICE_ANSWERED,
                job=answer.step.job,
                step=answer.step.step,
                asked=len(answer.workers),
                allowed=-1 if answer.tickets is None else len(answer.tickets),
                valid=answer.valid_for,
            )
        )
        self._shared.request_plan(now)

    def _log_ended_jobs(self, jobs: set[JobId], at: WallTime) -> None:
        """Log the jobs that were ended by the run ends recorded at a time, and drop their data."""
        for job_id in sorted(jobs):
            job = self._shared.state.jobs_by_id.get(job_id)
            if job is None or not job.has_ended or job.ended_at != at:
                continue
            self._shared.forget_job(job_id)
            self._log_crashing_tasks(job)
            self._shared.outbox.append(
                log_event(
                    Event.JOB_ENDED,
                    job=job_id,
                    state=job.state.value,
                    seconds=round(at - job.submitted_at, 3),
                    attempts=job.queue.max_attempts,
                )
            )

    def _log_crashing_tasks(self, job: Job) -> None:
        """Log why a job was given up if its tasks have crashed their workers."""
        for task in dict.fromkeys(loss.task for loss in job.losses):
            if not crashes_workers(job, task):
                continue
            workers = [loss.worker.id for loss in losses_of(job, task) if loss.has_crashed]
            self._shared.outbox.append(
                log_event(
                    Event.JOB_GIVEN_UP,
                    job=job.id,
                    task=task,
                    crashes=crash_count(job, task),
                    workers=",".join(workers),
                )
            )

    def _log_announcement(self, worker: Worker, announcement: WorkerNews) -> None:
        self._shared.outbox.append(
            log_event(
                Event.WORKER_HEARD,
                worker=worker.life.id,
                born=worker.life.born,
                data_centre=announcement.data_centre,
                rack=announcement.rack,
                availability=announcement.availability.value,
                cores=announcement.capacity.cpu,
                memory=announcement.capacity.memory,
                accelerators=announcement.capacity.accelerators,
                sequence=announcement.sequence,
            )
        )

    def order_load(self, now: Seconds) -> OrderLoad:
        """Return the orders that wait to leave and those in flight."""
        return self._shared.orders.load(now)

    @property
    def worker_count(self) -> int:
        """Return the number of known workers."""
        return len(self._shared.fleet.workers_by_life)

    @property
    def run_count(self) -> int:
        """Return the number of runs that take resources."""
        return sum(
            len(worker.runs_by_task) for worker in self._shared.fleet.workers_by_life.values()
        )
