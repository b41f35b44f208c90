"""
bulrushhollow_core.domain._planning
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Builds the demands and the room for a plan, and turns the plan into proposals and stops.
"""

import math
from collections import Counter
from collections.abc import Set

from bulrushhollow_core.domain._announcements import Availability, WorkerNews
from bulrushhollow_core.domain._commands import (
    Start,
    StartRuns,
)
from bulrushhollow_core.domain._configuration import Queue
from bulrushhollow_core.domain._demands import Demand, Victim, weight_of
from bulrushhollow_core.domain._dispatch import OrderDispatcher
from bulrushhollow_core.domain._events import Event, log_event
from bulrushhollow_core.domain._fleet import (
    HEARTBEATS_MISSED,
    Run,
    RunPhase,
    Worker,
)
from bulrushhollow_core.domain._hosts import Departure, Host
from bulrushhollow_core.domain._jobs import (
    Job,
    RunNumber,
    StepRef,
    TaskRef,
    WallTime,
    WorkerLife,
)
from bulrushhollow_core.domain._lasting import StopBudget
from bulrushhollow_core.domain._planner import Placement, Plan, Planner
from bulrushhollow_core.domain._queueing import (
    PATIENCE,
    Prospect,
    Waiting,
    accelerators_of,
    guaranteed_jobs,
    waiting_steps,
)
from bulrushhollow_core.domain._scheduler_state import SchedulerState
from bulrushhollow_core.ids import JobId, RackId, Seconds

PLAN_INTERVAL = Seconds(0.25)
"""Seconds after which the queue is looked at again although nothing happened."""

RECLAIM_AFTER = Seconds(1.0)
"""Seconds for which a job within its guarantee waits for room that costs little; after that any
victim is stopped, in time for the three seconds within which a guarantee is to be had."""

CAPACITY_INTERVAL = Seconds(1.0)
"""Seconds between two notes of the room while anything waits."""


class Planning:
    """Makes plans."""

    def __init__(self, shared: SchedulerState, dispatch: OrderDispatcher) -> None:
        """Share the state of the scheduler."""
        self._shared = shared
        self._dispatch = dispatch
        self._waiting_since_by_step: dict[StepRef, Seconds] = {}
        self._capacity_due = Seconds(-math.inf)

    def plan(self, now: Seconds, wall: WallTime) -> bool:
        """
        Look at the queue and the room, and decide.

        :return: whether anything went on waiting for room.
        """
        self._shared.plan_due = Seconds(now + PLAN_INTERVAL)
        guaranteed = guaranteed_jobs(self._shared.state)
        waiting = waiting_steps(self._shared.state, self._busy_tasks(now), guaranteed, wall)
        self._forget_waits({each.ref for each in waiting})
        if not waiting:
            return False
        hosts = self._hosts(now)
        self._note_capacity(hosts, waiting, now)
        if not hosts:
            return True
        for each in waiting:
            if each.job.queue.urgency == 0:
                self._shared.headroom.note(each.job.id, accelerators_of(each.job), now)
        self._shared.advice.clear_requests()
        planner = Planner(
            hosts,
            lambda: self._victims(guaranteed, now),
            lambda: self._departures(now),
            self._shared.headroom.accelerators(now),
        )
        racks = {host.rack for host in hosts}
        doubted = {host.life for host in hosts if host.is_doubted}
        plan = planner.make(
            self._demand(each, hosts, racks, doubted, guaranteed, now) for each in waiting
        )
        self._ask_early(waiting, hosts, now)
        self._carry_out(plan, now)
        return bool(plan.blocked)

    def _busy_tasks(self, now: Seconds) -> Set[TaskRef]:
        """Return the tasks whose start is on its way, or that may run in a worker's next life."""
        doubtful = (
            worker.doubtful_tasks(now)
            for worker in self._shared.fleet.workers_by_life.values()
            if worker.stops_due or worker.stops_over
        )
        return self._shared.proposed_by_task.keys() | set().union(*doubtful)

    def _forget_waits(self, present: set[StepRef]) -> None:
        for ref in [each for each in self._waiting_since_by_step if each not in present]:
            del self._waiting_since_by_step[ref]

    def _demand(
        self,
        waiting: Waiting,
        hosts: list[Host],
        racks: set[RackId],
        doubted: set[WorkerLife],
        guaranteed: set[JobId],
        now: Seconds,
    ) -> Demand:
        ref = waiting.ref
        step = waiting.job.work.steps[ref.step]
        since = self._waiting_since_by_step.setdefault(ref, now)
        avoided = set(self._shared.avoided_by_step.get(ref, ()))
        if self._is_last_attempt(waiting):
            avoided |= doubted
        return Demand(
            ref=ref,
            service=self._present(waiting.job.queue).service,
            step=step,
            indexes=waiting.indexes,
            urgency=waiting.job.queue.urgency,
            is_guaranteed=waiting.job.id in guaranteed,
            avoided=frozenset(avoided),
            may_leave_rack=step.data_rack not in racks or now - since > PATIENCE * step.estimate,
            duration=step.estimate,
            placed_by_worker=self._placed_by_worker(ref) if step.max_per_worker else {},
            may_evict=not waiting.standing.is_surplus
            or waiting.standing.prospect is Prospect.ON_TIME,
            is_reclaiming=waiting.job.id in guaranteed and now - since >= RECLAIM_AFTER,
            allowed=self._allowed(waiting, hosts, now),
        )

    def _allowed(
        self, waiting: Waiting, hosts: list[Host], now: Seconds
    ) -> frozenset[WorkerLife] | None:
        """Return the workers that may run a step by its queue's policy, and ask for more."""
        if not self._present(waiting.job.queue).needs_advice:
            return None
        self._want_advice(waiting.ref, waiting.job, hosts, now)
        return self._shared.advice.allowed_workers(waiting.ref, now)

    def _want_advice(self, ref: StepRef, job: Job, hosts: list[Host], now: Seconds) -> None:
        step = job.work.steps[ref.step]
        service = self._present(job.queue).service
        roomy = [
            host
            for host in hosts
            if host.serves(service, step.required_label) and step.needs.fits(host.free)
        ]
        roomy.sort(key=lambda host: -host.free.accelerators)
        self._shared.advice.request(ref, [host.life for host in roomy], now)

    def _ask_early(self, waiting: list[Waiting], hosts: list[Host], now: Seconds) -> None:
        """Ask for the steps that come after those that wait, once these have no question."""
        for job in {each.job.id: each.job for each in waiting}.values():
            if not self._present(job.queue).needs_advice:
                continue
            for occurrence, records in job.occurrences_by_number.items():
                for number, record in enumerate(records):
                    ref = StepRef(job.id, occurrence, number)
                    is_later = bool(job.work.steps[number].depends_on) and not record.is_done
                    if is_later and not self._shared.advice.allowed_workers(ref, now):
                        self._want_advice(ref, job, hosts, now)

    def _present(self, queue: Queue) -> Queue:
        """Return a queue as the configuration in force has it."""
        configuration_index = self._shared.state.configuration_index
        present = (
            configuration_index.queues_by_name.get(queue.name) if configuration_index else None
        )
        return present or queue

    def _placed_by_worker(self, ref: StepRef) -> dict[WorkerLife, int]:
        """Return how many tasks of a step each worker has, those on their way included."""
        runs = self._shared.fleet.runs_of(ref.job)
        return Counter(run.life for run in runs if run.task.step_ref == ref)

    def _is_last_attempt(self, waiting: Waiting) -> bool:
        records = waiting.job.occurrences_by_number.get(waiting.ref.occurrence)
        if records is None:
            return waiting.job.queue.max_attempts <= 1
        record = records[waiting.ref.step]
        step = waiting.job.work.steps[waiting.ref.step]
        failures = (
            record.failures
            if step.is_gang
            else max(record.tasks[index].failures for index in waiting.indexes)
        )
        return failures + 1 >= waiting.job.queue.max_attempts

    def _hosts(self, now: Seconds) -> list[Host]:
        """Return the workers that may get new work."""
        silence = HEARTBEATS_MISSED * self._shared.settings.heartbeat_interval
        return [
            self._host_of(worker, worker.news, now)
            for worker in self._shared.fleet.workers_by_life.values()
            if worker.news is not None
            and worker.news.availability is Availability.READY
            and worker.life not in self._shared.state.draining_workers
            and worker.life not in self._shared.gone
            and worker.news.data_centre not in self._shared.state.evacuated_data_centres
            and worker.has_clock
            and worker.silent_since is None
            and now - worker.heard_at < silence
            and now >= worker.no_room_until
            and now >= worker.quarantined_until
        ]

    def _host_of(self, worker: Worker, news: WorkerNews, now: Seconds) -> Host:
        host = Host(
            life=worker.life,
            service=news.service,
            data_centre=news.data_centre,
            rack=news.rack,
            labels=frozenset(news.labels),
            capacity=news.capacity,
            free=worker.free,
            is_doubted=worker.is_doubted,
            is_slow=self._shared.paces.is_slow(worker.life),
        )
        for run in worker.runs_by_task.values():
            is_ending = not run.is_gang and self._ends_soon(run, now)
            if run.phase is RunPhase.STOPPING or is_ending:
                host.expect(run.needs)
        return host

    def _victims(self, guaranteed: set[JobId], now: Seconds) -> list[Victim]:
        runs_by_unit: dict[tuple[object, ...], list[Run]] = {}
        for run in self._shared.runs():
            job = self._shared.state.jobs_by_id.get(run.task.job)
            if (
                job is None
                or job.has_ended
                or run.phase not in (RunPhase.RUNNING, RunPhase.STARTING)
            ):
                continue
            unit = (run.task.step_ref if run.is_gang else run.task, run.number)
            runs_by_unit.setdefault(unit, []).append(run)
        budget = StopBudget(self._shared.fleet)
        return [
            self._victim(runs, guaranteed, now)
            for runs in runs_by_unit.values()
            # To stop what is about to end frees its room no earlier.
            if not all(self._ends_soon(run, now) for run in runs)
            and budget.take(self._shared.state.jobs_by_id[runs[0].task.job], runs[0])
        ]

    def _ends_soon(self, run: Run, now: Seconds) -> bool:
        """Return whether a run ends by itself within the time that a stop takes."""
        if self._shared.is_lasting(run):
            return False
        return run.ends_within(self._shared.settings.stop_timeout, now)

    def _victim(self, runs: list[Run], guaranteed: set[JobId], now: Seconds) -> Victim:
        job = self._shared.state.jobs_by_id[runs[0].task.job]
        saves = job.work.steps[runs[0].task.step].is_checkpointable
        waste = sum(
            weight_of(run.needs)
            * (self._shared.settings.restore_time if saves else now - run.begun_at)
            for run in runs
        )
        return Victim(runs, job.queue.urgency, job.id in guaranteed, waste)

    def _departures(self, now: Seconds) -> list[Departure]:
        departures = []
        for run in self._shared.runs():
            job = self._shared.state.jobs_by_id.get(run.task.job)
            if job is None or not job.work.steps:
                continue
            at = Seconds(now + max(0.0, run.remaining(now)))
            departures.append(Departure(run.life, run.needs, at))
        return departures

    def _carry_out(self, plan: Plan, now: Seconds) -> None:
        for demand, victim in plan.evictions:
            for run in victim.runs:
                self._dispatch.log_stop(run, f"preempted for {demand.ref.job}")
            self._dispatch.stop_all(victim.runs, now)
        starts: list[Start] = []
        for demand, placements in plan.placements:
            record = self._shared.state.find_step(demand.ref)
            gang_run = RunNumber((record.highest_run if record else 0) + 1)
            for placement in placements:
                task = self._shared.state.find_task(placement.task)
                own = RunNumber((task.run if task else 0) + 1)
                number = gang_run if demand.step.is_gang else own
                worker = self._shared.fleet.workers_by_life[placement.life]
                duration = self._duration_at(demand, placements, worker)
                run = Run(
                    placement.task,
                    number,
                    worker.life,
                    demand.step.needs,
                    now,
                    duration,
                    demand.step.is_gang,
                )
                self._shared.fleet.place(worker, run)
                self._shared.proposed_by_task[placement.task] = run
                starts.append(Start(placement.task, number, worker.life, worker.address))
            self._note_placed(demand, len(placements), gang_run, now)
        if starts:
            self._shared.proposals.append(StartRuns(tuple(starts)))

    def _duration_at(self, demand: Demand, placements: list[Placement], worker: Worker) -> Seconds:
        """Return what a task is expected to take on a worker, away from its data or rack."""
        racks = {self._rack_of(placement.life) for placement in placements}
        rack = self._rack_of(worker.life)
        is_spread = demand.step.same_rack and len(racks) > 1
        is_remote = bool(demand.step.data_rack) and rack != demand.step.data_rack
        factor = self._shared.settings.remote_factor if is_spread or is_remote else 1.0
        return Seconds(demand.step.estimate * factor)

    def _rack_of(self, life: WorkerLife) -> RackId | None:
        news = self._shared.fleet.workers_by_life[life].news
        return news.rack if news else None

    def _note_capacity(self, hosts: list[Host], waiting: list[Waiting], now: Seconds) -> None:
        if now < self._capacity_due:
            return
        self._capacity_due = Seconds(now + CAPACITY_INTERVAL)
        phases = Counter(run.phase for run in self._shared.runs())
        self._shared.outbox.append(
            log_event(
                Event.CAPACITY,
                workers=len(self._shared.fleet.workers_by_life),
                usable=len(hosts),
                free_accelerators=sum(max(0, host.free.accelerators) for host in hosts),
                free_cores=sum(max(0, host.free.cpu) for host in hosts) // 1000,
                running=phases[RunPhase.RUNNING],
                starting=phases[RunPhase.STARTING] + phases[RunPhase.PROPOSED],
                stopping=phases[RunPhase.STOPPING],
                waiting_steps=len(waiting),
                waiting_tasks=sum(len(each.indexes) for each in waiting),
            )
        )

    def _note_placed(self, demand: Demand, count: int, run: RunNumber, now: Seconds) -> None:
        since = self._waiting_since_by_step.get(demand.ref, now)
        self._shared.outbox.append(
            log_event(
                Event.STEP_PLACED,
                job=demand.ref.job,
                occurrence=demand.ref.occurrence,
                step=demand.ref.step,
                tasks=count,
                run=run,
                waited=round(now - since, 3),
                guaranteed=demand.is_guaranteed,
                version=(
                    self._shared.state.configuration.version
                    if self._shared.state.configuration
                    else 0
                ),
            )
        )
