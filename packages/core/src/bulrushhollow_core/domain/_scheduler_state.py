"""
bulrushhollow_core.domain._scheduler_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the parts of a leader's scheduler share: the replicated state, what it believes of the
workers, and what it has decided and not yet handed over.
"""

from collections.abc import Iterator

import msgspec

from bulrushhollow_core.domain._advice import AdviceCache
from bulrushhollow_core.domain._announcements import WorkerNews
from bulrushhollow_core.domain._commands import (
    Command,
    ForgetWorker,
    Outcome,
    RegisterWorker,
    RunEnd,
)
from bulrushhollow_core.domain._events import Event, log_event
from bulrushhollow_core.domain._fleet import (
    Fleet,
    Run,
    RunPhase,
)
from bulrushhollow_core.domain._headroom import Headroom
from bulrushhollow_core.domain._jobs import (
    RunNumber,
    StepRef,
    TaskRef,
    WorkerLife,
)
from bulrushhollow_core.domain._paces import Paces
from bulrushhollow_core.domain._settings import DomainSettings
from bulrushhollow_core.domain._state import DomainState
from bulrushhollow_core.ids import JobId, Seconds, Term


class SchedulerState:
    """The leader's own view.

    :param state: the replicated state, which its owner applies commands to.
    :param fence: fencing token of this leader.
    :param now: when it began to lead.
    """

    def __init__(
        self, state: DomainState, fence: Term, settings: DomainSettings, now: Seconds
    ) -> None:
        """Take over every run that is recorded as active."""
        self.state = state
        self.fence = fence
        self.settings = settings
        self.led_since = now
        self.plan_due = now
        self.fleet = Fleet()
        self.proposed_by_task: dict[TaskRef, Run] = {}
        self.avoided_by_step: dict[StepRef, set[WorkerLife]] = {}
        self.gone: set[WorkerLife] = set()
        self.paces = Paces()
        self.headroom = Headroom(settings.stop_timeout)
        self.advice = AdviceCache()
        self.proposals: list[Command] = []
        self.ends: list[RunEnd] = []
        self.outbox: list[msgspec.Struct] = []
        self.registering: set[WorkerLife] = set()
        """Workers whose registration is on its way into the log."""
        for life, news in state.announcements_by_life.items():
            worker = self.fleet.ensure(life, news.address, now)
            worker.news = news
        for ref, task in state.active_tasks():
            if task.worker is not None:
                self.adopt(ref, task.run, task.worker, task.address, now)

    def runs(self) -> Iterator[Run]:
        """Return every run that takes room."""
        for worker in self.fleet.workers_by_life.values():
            yield from worker.runs_by_task.values()

    def adopt(
        self, ref: TaskRef, number: RunNumber, life: WorkerLife, address: str, now: Seconds
    ) -> None:
        """Take over a run that an earlier leader recorded."""
        job = self.state.jobs_by_id[ref.job]
        worker = self.fleet.ensure(life, address, now)
        step = job.work.steps[ref.step]
        run = Run(ref, number, life, step.needs, now, step.estimate, step.is_gang)
        run.phase = RunPhase.ADOPTED
        self.fleet.place(worker, run)
        worker.poll_due = now

    def end(self, task: TaskRef, run: RunNumber, outcome: Outcome, saved: str = "") -> None:
        """Propose the end of a run."""
        self.ends.append(RunEnd(task, run, outcome, saved))
        record = self.state.find_task(task)
        worker = record.worker if record is not None and record.run == run else None
        self.outbox.append(
            log_event(
                Event.RUN_ENDED,
                task=task,
                run=run,
                outcome=outcome.value,
                worker=worker.id if worker else "",
            )
        )

    def plan_soon(self, now: Seconds) -> None:
        """Have the next tick plan."""
        self.plan_due = min(self.plan_due, now)

    def gang_of(self, task: TaskRef, number: RunNumber) -> Iterator[Run]:
        """Return the members of one run of a gang that may be running."""
        runs = self.fleet.runs_of(task.job)
        return (run for run in runs if run.number == number and run.task.step_ref == task.step_ref)

    def avoid(self, task: TaskRef, life: WorkerLife) -> None:
        """Start no task of a step on a worker that has failed one."""
        self.avoided_by_step.setdefault(task.step_ref, set()).add(life)

    def forget_job(self, job: JobId) -> None:
        """Forget what was learnt of a job that is over."""
        self.paces.forget_job(job)
        self.headroom.forget_job(job)
        self.advice.forget_job(job)
        for step in [each for each in self.avoided_by_step if each.job == job]:
            del self.avoided_by_step[step]

    def register(self, news: WorkerNews) -> None:
        """Propose to record what a worker is, unless that is known."""
        lasting = news.without_volatile_fields()
        if self.state.announcements_by_life.get(news.life) != lasting and (
            news.life not in self.registering
        ):
            self.registering.add(news.life)
            self.proposals.append(RegisterWorker(lasting))

    def forget_worker(self, life: WorkerLife) -> None:
        """Forget a worker, also in the log."""
        self.fleet.drop(life)
        self.paces.forget_worker(life)
        if life in self.state.announcements_by_life or life in self.state.draining_workers:
            self.proposals.append(ForgetWorker(life))

    def saved_of(self, ref: TaskRef) -> str:
        """Return the checkpoint that a task goes on from; empty for none."""
        record = self.state.find_step(ref)
        job = self.state.jobs_by_id[ref.job]
        if record is None:
            return ""
        is_gang = job.work.steps[ref.step].is_gang
        return record.checkpoint if is_gang else record.tasks[ref.member].checkpoint

    def is_lasting(self, run: Run) -> bool:
        """Return whether a run goes on until its job is cancelled."""
        job = self.state.jobs_by_id.get(run.task.job)
        return (
            job is not None
            and bool(job.work.steps)
            and job.work.steps[run.task.step].is_long_running
        )
