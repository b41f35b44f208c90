"""
bulrushhollow_core.domain._scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader of a domain does with its workers: it plans, proposes starts and ends to the log,
and gives orders for what is committed. A new leader begins with a new one.
"""

import math

import msgspec

from bulrushhollow_core.domain._announcements import Availability, WorkerNews
from bulrushhollow_core.domain._answers import OrderAnswerHandler
from bulrushhollow_core.domain._commands import (
    CancelJob,
    Command,
    EndRuns,
    RegisterWorker,
    SetEvacuation,
    StartRuns,
    SubmitJob,
)
from bulrushhollow_core.domain._dispatch import OrderDispatcher
from bulrushhollow_core.domain._events import Event, log_event
from bulrushhollow_core.domain._fleet import Worker
from bulrushhollow_core.domain._jobs import (
    WallTime,
    WorkerLife,
)
from bulrushhollow_core.domain._losses import Losses
from bulrushhollow_core.domain._orders import (
    AdviceAnswered,
    PollAnswered,
    StartAnswered,
    StopAnswered,
)
from bulrushhollow_core.domain._planning import Planning
from bulrushhollow_core.domain._scheduler_state import SchedulerState
from bulrushhollow_core.domain._settings import DomainSettings
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.domain._watch import Watch
from bulrushhollow_core.ids import JobId, Seconds, Term, WorkerId

LOOK_INTERVAL = Seconds(0.1)
"""Seconds between two looks at all workers; what an event touches is looked at with it."""

PLAN_SPACING = Seconds(0.02)
"""Seconds between two plans at the least, so that a burst of ends is planned for at once."""

BLOCKED_SPACING = Seconds(0.05)
"""The same after a plan that left something waiting: such plans take longest, and little of what
ends makes room for much of what waits."""


END_SPACING = Seconds(0.02)
"""Seconds between two proposals of ends at the least; each costs every voter a sync."""


class Scheduler:
    """The leader's side of all workers.

    :param state: the replicated state, which its owner applies commands to.
    :param fence: fencing token of this leader.
    :param now: when it began to lead.
    """

    def __init__(
        self, state: DomainState, fence: Term, settings: DomainSettings, now: Seconds
    ) -> None:
        """Take over every run that is recorded as active."""
        self._shared = SchedulerState(state, fence, settings, now)
        self._dispatch = OrderDispatcher(self._shared)
        self._losses = Losses(self._shared, self._dispatch)
        self._answers = OrderAnswerHandler(self._shared, self._dispatch, self._losses)
        self._watch = Watch(self._shared, self._dispatch, self._losses)
        self._planning = Planning(self._shared, self._dispatch)
        self._planned_at = Seconds(-math.inf)
        self._spacing = PLAN_SPACING
        self._look_due = now
        self._ends_due = now

    def drain(self) -> list[msgspec.Struct]:
        """Return the orders and notes since the last call."""
        outbox, self._shared.outbox = self._shared.outbox, []
        return outbox

    def take_proposals(self, now: Seconds, wall: WallTime) -> list[Command]:
        """Return the commands to propose since the last call."""
        if self._shared.ends and now >= self._ends_due:
            self._ends_due = Seconds(now + END_SPACING)
            self._shared.proposals.append(EndRuns(tuple(self._shared.ends), wall))
            self._shared.ends = []
            self._dispatch.listed_ends_by_proposal.append(
                {
                    life: worker.listed_end
                    for life, worker in self._shared.fleet.workers_by_life.items()
                    if worker.listed_end > worker.recorded_end
                }
            )
        proposals, self._shared.proposals = self._shared.proposals, []
        return proposals

    def tick(self, now: Seconds, wall: WallTime) -> None:
        """Let time pass: polls, leases that have run out, stalled runs, and planning."""
        if now >= self._look_due:
            self._look_due = Seconds(now + LOOK_INTERVAL)
            for worker in list(self._shared.fleet.workers_by_life.values()):
                self._watch.look_after(worker, now)
        if now >= max(self._shared.plan_due, self._planned_at + self._spacing):
            self._planned_at = now
            is_blocked = self._planning.plan(now, wall)
            self._spacing = BLOCKED_SPACING if is_blocked else PLAN_SPACING
        question = self._shared.advice.next_question(now)
        if question is not None:
            self._shared.outbox.append(question)

    def hear(self, news: WorkerNews, now: Seconds) -> None:
        """Take in what a worker announced; late, repeated and outlived announcements count not."""
        life = news.life
        last = self._shared.fleet.sequence_by_life.get(life, -1)
        if (
            life in self._shared.gone
            or news.sequence <= last
            or self._shared.fleet.is_outlived(news)
        ):
            return
        self._shared.fleet.sequence_by_life[life] = news.sequence
        is_new = self._shared.fleet.get(life) is None
        worker = self._shared.fleet.ensure(life, news.address, now)
        worker.note_clock(news.clock, now)
        for old in self._shared.fleet.outlived_by(news):
            if old.life.id == life.id:
                self._losses.move_runs(old, worker, now)
            self._losses.lose_runs(old, "outlived", now)
        before = worker.news
        self._shared.fleet.take_news(worker, news)
        self._shared.register(news)
        worker.heard_at = now
        if is_new or before is None or before.availability is not news.availability:
            self._note_worker(worker, news)
            self._shared.plan_soon(now)
        if news.availability is Availability.DRAINING:
            worker.leaves_at = Seconds(now + news.remaining)

    def deregister(self, life: WorkerLife, now: Seconds) -> None:
        """Take in that a worker leaves now; what it runs ends with it."""
        worker = self._shared.fleet.get(life)
        self._shared.gone.add(life)
        if worker is not None:
            worker.leaves_at = now

    def find_life(self, worker_id: str) -> WorkerLife | None:
        """Return the latest known life under an id."""
        lives = self._shared.fleet.lives_of(WorkerId(worker_id))
        return max(lives, key=lambda life: life.born, default=None)

    def committed(self, command: Command, now: Seconds) -> None:
        """Take in that the state has applied a command of this leader or an earlier one."""
        match command:
            case StartRuns(starts=starts):
                for start in starts:
                    self._dispatch.dispatch_start(start, now)
            case EndRuns(ends=ends, ended_at=at):
                for end in ends:
                    self._dispatch.handle_recorded_end(end, now)
                self._note_jobs_over({end.task.job for end in ends}, at)
                self._dispatch.acknowledge_ends(now)
            case CancelJob(id=job_id):
                self._dispatch.stop_all(self._shared.fleet.runs_of(job_id), now)
            case SubmitJob():
                self._shared.plan_soon(now)
            case SetEvacuation():
                self._shared.plan_soon(now)
            case RegisterWorker(announcement=news):
                self._shared.registering.discard(news.life)

    def start_answered(self, answer: StartAnswered, now: Seconds) -> None:
        """Take in what came of an order to start."""
        self._answers.handle_start_answer(answer, now)

    def stop_answered(self, answer: StopAnswered, now: Seconds) -> None:
        """Take in what came of an order to stop."""
        self._answers.handle_stop_answer(answer, now)

    def poll_answered(self, answer: PollAnswered, now: Seconds) -> None:
        """Take in what a worker runs and what has ended there."""
        self._answers.handle_poll_answer(answer, now)

    def advice_answered(self, answer: AdviceAnswered, now: Seconds) -> None:
        """Take in which workers may run a step."""
        self._shared.advice.handle_answer(answer, now)
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
        self._shared.plan_soon(now)

    def _note_jobs_over(self, jobs: set[JobId], at: WallTime) -> None:
        """Log the jobs that came to their end with the ends recorded at a time."""
        for job_id in sorted(jobs):
            job = self._shared.state.jobs_by_id.get(job_id)
            if job is None or not job.has_ended or job.ended_at != at:
                continue
            self._shared.forget_job(job_id)
            self._shared.outbox.append(
                log_event(
                    Event.JOB_ENDED,
                    job=job_id,
                    state=job.state.value,
                    seconds=round(at - job.submitted_at, 3),
                    attempts=job.queue.max_attempts,
                )
            )

    def _note_worker(self, worker: Worker, news: WorkerNews) -> None:
        self._shared.outbox.append(
            log_event(
                Event.WORKER_HEARD,
                worker=worker.life.id,
                born=worker.life.born,
                data_centre=news.data_centre,
                rack=news.rack,
                availability=news.availability.value,
                sequence=news.sequence,
            )
        )

    @property
    def worker_count(self) -> int:
        """Return the number of workers that are known."""
        return len(self._shared.fleet.workers_by_life)

    @property
    def run_count(self) -> int:
        """Return the number of runs that take room."""
        return sum(len(each.runs_by_task) for each in self._shared.fleet.workers_by_life.values())
