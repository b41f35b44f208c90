"""
bulrushhollow_core.domain.placement._planning
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One planning cycle: collects the waiting demands and the usable hosts, has a planner make a plan,
and turns the plan into proposed starts and stop orders.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Sequence, Set
from typing import NamedTuple, Self

from bulrushhollow_core.domain.execution import OrderDispatcher, SchedulerState
from bulrushhollow_core.domain.fleet import (
    NO_ISOLATION,
    UNORDERED_PHASES,
    Host,
    Run,
    RunPhase,
)
from bulrushhollow_core.domain.model import (
    Event,
    RunNumber,
    Start,
    StepRef,
    TaskRef,
    WallTime,
    WorkerLife,
    detached_copy,
    log_event,
    start_commands,
)
from bulrushhollow_core.domain.placement._advice_requests import AdviceRequester, narrow_requests
from bulrushhollow_core.domain.placement._caps import (
    CapLedger,
    CapReporter,
    build_cap_ledger,
)
from bulrushhollow_core.domain.placement._delay_cost import DelayPricer
from bulrushhollow_core.domain.placement._demands import (
    UNLIMITED_TIME,
    Demand,
    DemandedStep,
    HostLimits,
    Standing,
    TimeBudget,
    Timing,
)
from bulrushhollow_core.domain.placement._exclusions import ExcludedStep, find_exclusions
from bulrushhollow_core.domain.placement._host_view import HostView
from bulrushhollow_core.domain.placement._overdue import SPARE_LIMIT, OverdueSteps
from bulrushhollow_core.domain.placement._plan import Placement, Plan
from bulrushhollow_core.domain.placement._planner import Planner
from bulrushhollow_core.domain.placement._running_work import RunningWork
from bulrushhollow_core.domain.placement._service_loads import (
    BUSY_SHARE,
    ServiceLoads,
    service_parts,
)
from bulrushhollow_core.domain.placement._wait_reports import WaitReporter
from bulrushhollow_core.domain.queueing import (
    LOCALITY_WAIT_FACTOR,
    ClaimRegister,
    RecentWorkCache,
    Timeliness,
    WaitingStep,
    deadline_of,
    duration_after,
    guaranteed_jobs,
    peak_accelerators,
    waiting_steps,
)
from bulrushhollow_core.domain.replica import is_suspect, isolation_of
from bulrushhollow_core.ids import JobId, RackId, Seconds

MAX_PLAN_INTERVAL = Seconds(0.25)
"""Seconds after which a plan is made even if nothing has happened."""

RECLAIM_DELAY = Seconds(1.0)
"""Seconds for which a job within its guarantee waits for victims that lose little work. After that
any victim is evicted, so that the guarantee is met within its three seconds."""

MAX_PENDING_STARTS = 256
"""Starts without an answer at which no more are planned. This bounds what one step plans, proposes
and orders; a leader whose steps outlast its lease makes no progress."""

MIN_PENDING_STARTS = 64
"""Starts that may be pending however few orders may be in flight."""

PENDING_STARTS_PER_ORDER = 4
"""Starts that may be pending for each order that may be in flight, so that some always wait to
leave; a plan takes longer than an order."""

CAPACITY_LOG_INTERVAL = Seconds(1.0)
"""Seconds between two log lines about the free capacity while any step waits."""


class QueueView(NamedTuple):
    """
    What a plan starts from.

    :param guaranteed: jobs that fit into their workspaces' guarantees.
    :param waiting: steps with tasks that may start now, without regard to shares and claims.
    :param hosts: workers that may get new work; not collected if nothing waits.
    """

    guaranteed: set[JobId]
    waiting: list[WaitingStep]
    hosts: list[Host]


class PreparedPlan(NamedTuple):
    """
    A planner and the demands that it is to serve.

    :param waiting: waiting steps in the order in which they are served.
    :param demands: their demands, those of overdue steps twice; each is built once those before it
        are served.
    """

    waiting: list[WaitingStep]
    demands: Iterator[Demand]
    planner: Planner
    caps: CapLedger


class PlanningCycle:
    """Makes plans for the leader and carries them out."""

    def __init__(self, shared: SchedulerState, dispatcher: OrderDispatcher) -> None:
        """Create a cycle for the shared state of the scheduler."""
        self._shared = shared
        self._dispatcher = dispatcher
        self._waiting_since_by_step: dict[StepRef, Seconds] = {}
        self._waits_for_fast_since_by_step: dict[StepRef, Seconds] = {}
        """When each waiting step first waited for fast workers; a new leader starts anew."""
        self._host_view = HostView(shared)
        self._claims = ClaimRegister(shared.settings.stop_timeout)
        self._overdue_steps = OverdueSteps()
        self._cap_reporter = CapReporter()
        self._wait_reporter = WaitReporter(shared)
        self._recent_work = RecentWorkCache()
        self._pricer: DelayPricer | None = None
        """Prices of delays in the current plan; None while delays have no price."""
        self._capacity_log_due = Seconds(-math.inf)
        self._resumes_at = Seconds(-math.inf)
        """When the next plan is made after one that left tasks because many starts were pending.
        It is made earlier once half of them have left, so that it starts many tasks, too."""

    def plan(self, now: Seconds, wall: WallTime) -> bool:
        """
        Make a plan and carry it out, unless too few of the starts of the last one have left.

        :return: whether any task still waits for resources.
        """
        max_starts = self._max_pending_starts() - self._count_pending_starts()
        if now < self._resumes_at and max_starts < self._max_pending_starts() // 2:
            self._shared.request_plan(now)
            return True
        self._shared.plan_due = Seconds(now + MAX_PLAN_INTERVAL)
        expired_claims = self._claims.expire(now)
        self._update_speeds(now)
        queue = self.view_queue(now, wall)
        self._forget_waiting_times({waiting_step.ref for waiting_step in queue.waiting})
        if queue.waiting:
            # Those that are released get work from the next plan on.
            self._host_view.release_needed_workers(queue.waiting, self._waiting_since_by_step, now)
            self._log_capacity(queue.hosts, queue.waiting, now)
        watch = self._wait_reporter.watch(queue.waiting, queue.hosts, now, wall)
        if not queue.hosts:
            self._shared.outbox.extend(self._wait_reporter.report(watch, None, now, wall))
            self._shared.admission.clear_plan()
            self._shared.advice.clear_requests()
            return bool(queue.waiting)
        prepared = self.prepare(queue, now, wall, max_starts)
        plan = prepared.planner.make_plan(
            watch.observe(prepared.demands, prepared.planner.plan, prepared.caps)
        )
        prepared.caps.record_holds(self._shared.cap_holds_since, now)
        narrow_requests(self._shared.advice, plan, queue.hosts)
        self._prefetch_advice(prepared.waiting, queue.hosts, now)
        self._execute_plan(plan, now)
        self._shared.outbox.extend(self._cap_reporter.report(plan.held_back, prepared.caps, now))
        self._shared.outbox.extend(self._wait_reporter.report(watch, plan, now, wall))
        placed_by_step: Counter[StepRef] = Counter()
        for demand, placed in plan.placements:
            placed_by_step[demand.ref] += len(placed)
        self._shared.admission.record_plan(queue.hosts, prepared.waiting, placed_by_step, now, wall)
        for demand in plan.blocked:
            if demand.ref in expired_claims:
                self._log_expired_claim(demand, prepared.planner, now)
        if plan.is_cut_short:
            self._resumes_at = Seconds(now + MAX_PLAN_INTERVAL)
            self._shared.request_plan(now)
        return bool(plan.blocked or plan.held_back or plan.is_cut_short)

    def detached(self, shared: SchedulerState) -> Self:
        """
        Return a copy that prepares plans on another state and leaves this cycle as it is.

        :param shared: a copy of this cycle's state, whose outbox the copy writes to.
        """
        clone = detached_copy(self)
        clone._shared = shared
        clone._host_view = self._host_view.detached(shared)
        clone._claims = detached_copy(self._claims)
        clone._overdue_steps = detached_copy(self._overdue_steps)
        clone._recent_work = detached_copy(self._recent_work)
        return clone

    def view_queue(self, now: Seconds, wall: WallTime) -> QueueView:
        """Return what waits and the workers that it may use."""
        guaranteed = guaranteed_jobs(self._shared.state)
        waiting = waiting_steps(self._shared.state, self._busy_tasks(now), guaranteed, wall)
        return QueueView(guaranteed, waiting, self._host_view.usable_hosts(now) if waiting else [])

    def prepare(
        self, queue: QueueView, now: Seconds, wall: WallTime, max_starts: int | None = None
    ) -> PreparedPlan:
        """
        Return a planner for the queue; the caller has it make the plan.

        :param max_starts: tasks after which the plan starts nothing more; None for no limit.
        """
        guaranteed, waiting, hosts = queue
        waiting = self._order_by_claims(self._order_by_shares(waiting, hosts, now))
        for waiting_step in waiting:
            if waiting_step.job.queue.urgency == 0:
                self._shared.headroom.record_arrival(
                    waiting_step.job.id, peak_accelerators(waiting_step.job), now
                )
        self._shared.advice.clear_requests()
        loads = ServiceLoads(service_parts(self._shared))
        caps = build_cap_ledger(self._shared, loads.busy(BUSY_SHARE), now)
        self._pricer = self._create_pricer(now, wall)
        running_work = RunningWork(self._shared, self._pricer, now, wall)
        planner = Planner(
            hosts,
            lambda: running_work.find_victims(guaranteed),
            running_work.expected_ends,
            self._shared.headroom.required_accelerators(now),
            caps,
            now,
            max_starts,
        )
        racks = {host.rack for host in hosts}
        suspects = [host for host in hosts if host.is_suspect]
        adviser = AdviceRequester(self._shared.advice, hosts, now)
        overdue = self._overdue_steps.update(
            self._shared, waiting, caps, loads.busy(SPARE_LIMIT), now, wall
        )

        def build_demand(waiting_step: WaitingStep) -> Demand:
            demand = self._build_demand(waiting_step, hosts, racks, suspects, guaranteed, now, wall)
            return adviser.request_for(demand)

        demands = self._order_demands(waiting, overdue, build_demand)
        return PreparedPlan(waiting, demands, planner, caps)

    def _max_pending_starts(self) -> int:
        """Return how many starts may be pending; more would only wait to leave."""
        in_turn = PENDING_STARTS_PER_ORDER * self._shared.orders.limit
        return min(MAX_PENDING_STARTS, max(MIN_PENDING_STARTS, in_turn))

    def _count_pending_starts(self) -> int:
        """
        Return how many starts are proposed, wait to leave, or left and have no answer yet. Those
        that are repeated don't count, since their workers may be gone.
        """
        unanswered = sum(
            run.phase is RunPhase.QUEUED or (run.awaits_start_answer and run.start_attempts == 1)
            for run in self._shared.runs()
        )
        return len(self._shared.proposed_runs_by_task) + unanswered

    def _order_demands(
        self,
        waiting: Sequence[WaitingStep],
        overdue: Set[StepRef],
        build_demand: Callable[[WaitingStep], Demand],
    ) -> Iterator[Demand]:
        """
        Yield the demands in the order of the steps. If any are overdue, those of steps with a claim
        come before the others, and among both those of overdue steps first, as such, and once more
        at their own position. Otherwise overdue steps would take what evictions free for others,
        and be evicted in turn.
        """
        if not overdue:
            yield from map(build_demand, waiting)
            return
        claiming = [each for each in waiting if self._claims.is_held_by(each.ref)]
        others = [each for each in waiting if not self._claims.is_held_by(each.ref)]
        for steps in (claiming, others):
            yield from (build_demand(each).as_overdue() for each in steps if each.ref in overdue)
            yield from map(build_demand, steps)

    def _order_by_shares(
        self, waiting: list[WaitingStep], hosts: list[Host], now: Seconds
    ) -> list[WaitingStep]:
        """Return the steps with those beyond their workspaces' shares after the others."""
        shares = self._shared.shares
        ordered = shares.apply(waiting, self._shared.state, self._shared.fleet, hosts)
        self._shared.outbox.extend(shares.log_changes(now))
        return ordered

    def _create_pricer(self, now: Seconds, wall: WallTime) -> DelayPricer | None:
        settings = self._shared.settings
        if not (settings.prices_delays and settings.is_reclaim_cheap):
            return None
        recent = self._recent_work.get(self._shared.state)
        return DelayPricer(settings, recent, now, wall)

    def _order_by_claims(self, waiting: list[WaitingStep]) -> list[WaitingStep]:
        """Return the steps with those that have a claim at the position that they had for it."""
        return sorted(
            waiting,
            key=lambda waiting_step: self._claims.priority_of(
                waiting_step.ref, waiting_step.priority
            ),
        )

    def _busy_tasks(self, now: Seconds) -> Set[TaskRef]:
        """
        Return the tasks whose start is proposed, that a late order may still start, or of which an
        end is being recorded: it may show that the task is done.
        """
        possibly_started = (
            worker.possibly_started_tasks(now)
            for worker in self._shared.fleet.workers_by_life.values()
            if worker.pending_stops or worker.accepted_stops
        )
        return set().union(
            self._shared.proposed_runs_by_task,
            self._shared.held_tasks(now),
            self._shared.unrecorded_ends_by_task,
            *possibly_started,
        )

    def _forget_waiting_times(self, still_waiting: set[StepRef]) -> None:
        for since_by_step in (self._waiting_since_by_step, self._waits_for_fast_since_by_step):
            for ref in [ref for ref in since_by_step if ref not in still_waiting]:
                del since_by_step[ref]

    def _build_demand(
        self,
        waiting_step: WaitingStep,
        hosts: list[Host],
        racks: set[RackId],
        suspects: list[Host],
        guaranteed: set[JobId],
        now: Seconds,
        wall: WallTime,
    ) -> Demand:
        job, ref = waiting_step.job, waiting_step.ref
        step = job.work.steps[ref.step]
        waiting_since = self._waiting_since_by_step.setdefault(ref, now)
        service = self._shared.current_queue(job.queue).service
        allowed_workers = self._allowed_workers(waiting_step, now)
        is_last_attempt = self._is_last_attempt(waiting_step)
        exclusions = find_exclusions(
            ExcludedStep(
                service,
                step,
                len(waiting_step.task_indexes),
                allowed_workers,
                is_last_attempt,
            ),
            hosts,
            self._shared.excluded_workers_by_step.get(ref, {}),
            suspects if is_last_attempt else (),
            now,
        )
        is_remote_allowed = (
            step.data_rack not in racks
            or now - waiting_since > LOCALITY_WAIT_FACTOR * step.estimate
        )
        is_isolated = bool(job.losses) and any(
            is_suspect(job, ref.task(index)) for index in waiting_step.task_indexes
        )
        return Demand(
            DemandedStep(ref, service, step, job.workspace),
            waiting_step.task_indexes,
            self._standing_of(waiting_step, guaranteed, Seconds(now - waiting_since)),
            HostLimits(
                exclusions.excluded,
                allowed_workers,
                is_remote_allowed,
                is_isolated,
                exclusions.avoided,
            ),
            Timing(
                step.estimate,
                self._time_budget(waiting_step, wall),
                Seconds(now - self._waits_for_fast_since_by_step.get(ref, now)),
            ),
            self._count_placed_by_worker(ref) if step.max_per_worker else {},
        )

    def _standing_of(
        self, waiting_step: WaitingStep, guaranteed: set[JobId], waited: Seconds
    ) -> Standing:
        """Return what a step that has waited for some time may claim over other work."""
        job, occurrence = waiting_step.job, waiting_step.ref.occurrence
        is_guaranteed = job.id in guaranteed
        delay_cost = None
        is_deferred = False
        if self._pricer is not None:
            is_deferred = self._pricer.may_defer(job, occurrence)
            if job.queue.urgency == 0:
                delay_cost = self._pricer.cost_of_being_late(job, occurrence)
        return Standing(
            urgency=job.queue.urgency,
            priority=waiting_step.priority,
            is_guaranteed=is_guaranteed,
            may_evict=self._may_evict(waiting_step) and not is_deferred,
            is_reclaiming=is_guaranteed and waited >= RECLAIM_DELAY and not is_deferred,
            delay_cost=delay_cost,
        )

    def _time_budget(self, waiting_step: WaitingStep, wall: WallTime) -> TimeBudget:
        """Return the time until a step's job is late; it decides only on an uneven fleet."""
        job, ref = waiting_step.job, waiting_step.ref
        if not self._shared.speeds.is_uneven or job.work.steps[ref.step].is_long_running:
            return UNLIMITED_TIME
        left = Seconds(deadline_of(job, ref.occurrence) - wall)
        return TimeBudget(left, duration_after(job, ref.step))

    def _update_speeds(self, now: Seconds) -> None:
        """Update the speeds of the workers, and log when the fleet becomes even or uneven."""
        speeds = self._shared.speeds
        if speeds.update(now):
            self._shared.outbox.append(
                log_event(
                    Event.SPEEDS_CHANGED,
                    uneven=speeds.is_uneven,
                    measured_workers=speeds.measured_count,
                    slow_workers=speeds.slow_count,
                    factor=round(speeds.slow_factor, 2),
                )
            )

    def _may_evict(self, waiting_step: WaitingStep) -> bool:
        """Return whether runs may be evicted for a step: it is guaranteed or can be on time."""
        priority = waiting_step.priority
        return not priority.is_surplus or priority.timeliness is Timeliness.ON_TIME

    def _allowed_workers(
        self, waiting_step: WaitingStep, now: Seconds
    ) -> frozenset[WorkerLife] | None:
        """Return the workers that the queue's policy allows for a step; None if it allows all."""
        if not self._shared.current_queue(waiting_step.job.queue).needs_advice:
            return None
        return self._shared.advice.allowed_workers(waiting_step.ref, now)

    def _prefetch_advice(self, waiting: list[WaitingStep], hosts: list[Host], now: Seconds) -> None:
        """Request advice on later steps of waiting jobs, until any worker is permitted."""
        jobs = {waiting_step.job.id: waiting_step.job for waiting_step in waiting}.values()
        queued = ((job, self._shared.current_queue(job.queue)) for job in jobs)
        advised = [(job, queue.service) for job, queue in queued if queue.needs_advice]
        if not advised:
            return
        adviser = AdviceRequester(self._shared.advice, hosts, now)
        for job, service in advised:
            for occurrence, records in job.occurrences_by_number.items():
                for number, step in enumerate(job.work.steps):
                    if not all(records[earlier].is_done for earlier in step.depends_on):
                        adviser.request_for_later(
                            StepRef(job.id, occurrence, number), service, step
                        )

    def _count_placed_by_worker(self, ref: StepRef) -> dict[WorkerLife, int]:
        """Return how many tasks of a step each worker has, including proposed starts."""
        runs = self._shared.fleet.runs_of(ref.job)
        return Counter(run.life for run in runs if run.task.step_ref == ref)

    def _is_last_attempt(self, waiting_step: WaitingStep) -> bool:
        """Return whether the job fails if this step fails once more."""
        if waiting_step.job.work.steps[waiting_step.ref.step].is_long_running:
            return False
        records = waiting_step.job.occurrences_by_number.get(waiting_step.ref.occurrence)
        if records is None:
            return waiting_step.job.queue.max_attempts <= 1
        record = records[waiting_step.ref.step]
        step = waiting_step.job.work.steps[waiting_step.ref.step]
        failures = (
            record.failures
            if step.is_gang
            else max(record.tasks[index].failures for index in waiting_step.task_indexes)
        )
        return failures + 1 >= waiting_step.job.queue.max_attempts

    def _execute_plan(self, plan: Plan, now: Seconds) -> None:
        for demand in plan.waiting_for_fast:
            self._waits_for_fast_since_by_step.setdefault(demand.ref, now)
        for demand, _ in plan.placements:
            self._waits_for_fast_since_by_step.pop(demand.ref, None)
            self._claims.end(demand.ref)
            self._shared.shares.record_start(demand.ref.job)
        for demand, victim in plan.evictions:
            self._claims.record(demand.ref, demand.standing.priority, now)
            for run in victim.runs:
                self._dispatcher.log_stop(run, f"preempted for {demand.ref.job}")
            self._dispatcher.stop_all(victim.runs, now)
        starts: list[Start] = []
        for demand, placements in plan.placements:
            record = self._shared.state.find_step(demand.ref)
            gang_run = RunNumber((record.highest_run if record else 0) + 1)
            duration_by_life = self._expected_durations(demand, placements)
            for placement in placements:
                task_record = self._shared.state.find_task(placement.task)
                task_run = RunNumber((task_record.run if task_record else 0) + 1)
                number = gang_run if demand.step.is_gang else task_run
                worker = self._shared.fleet.workers_by_life[placement.life]
                run = Run(
                    placement.task,
                    number,
                    worker.life,
                    demand.step.needs,
                    now,
                    duration_by_life[worker.life],
                    demand.step.is_gang,
                    self._isolation_of(demand, placement.task),
                )
                self._shared.fleet.place(worker, run)
                self._shared.proposed_runs_by_task[placement.task] = run
                starts.append(Start(placement.task, number, worker.life, worker.address))
            self._log_placement(demand, len(placements), gang_run, now)
        self._shared.proposals.extend(start_commands(starts))

    def _expected_durations(
        self, demand: Demand, placements: list[Placement]
    ) -> dict[WorkerLife, Seconds]:
        """
        Return the seconds that a task is expected to take on each worker that gets one. It takes
        longer outside the rack of its data, and if its step asks for one rack and is spread over
        several.
        """
        step = demand.step
        rack_by_life = {
            life: self._rack_of(life) for life in {placement.life for placement in placements}
        }
        slowness_by_life = {life: self._shared.speeds.slowness_of(life) for life in rack_by_life}
        if step.is_gang:
            # A gang ends with its slowest member.
            slowness_by_life = dict.fromkeys(rack_by_life, max(slowness_by_life.values()))
        is_spread = step.same_rack and len(set(rack_by_life.values())) > 1

        def factor_on(rack: RackId | None) -> float:
            is_remote = bool(step.data_rack) and rack != step.data_rack
            return self._shared.settings.remote_factor if is_spread or is_remote else 1.0

        return {
            life: Seconds(step.estimate * factor_on(rack) * slowness_by_life[life])
            for life, rack in rack_by_life.items()
        }

    def _isolation_of(self, demand: Demand, task: TaskRef) -> Seconds:
        """Return the seconds for which other jobs are kept away from a run."""
        if not demand.limits.is_isolated:
            return NO_ISOLATION
        return isolation_of(self._shared.state.jobs_by_id[task.job], task)

    def _rack_of(self, life: WorkerLife) -> RackId | None:
        announcement = self._shared.fleet.workers_by_life[life].announcement
        return announcement.rack if announcement else None

    def _log_capacity(self, hosts: list[Host], waiting: list[WaitingStep], now: Seconds) -> None:
        if now < self._capacity_log_due:
            return
        self._capacity_log_due = Seconds(now + CAPACITY_LOG_INTERVAL)
        phases = Counter(run.phase for run in self._shared.runs())
        self._shared.outbox.append(
            log_event(
                Event.CAPACITY,
                workers=len(self._shared.fleet.workers_by_life),
                usable=len(hosts),
                free_accelerators=sum(max(0, host.free.accelerators) for host in hosts),
                free_cores=sum(max(0, host.free.cpu) for host in hosts) // 1000,
                running=phases[RunPhase.RUNNING],
                starting=sum(phases[phase] for phase in (*UNORDERED_PHASES, RunPhase.STARTING)),
                stopping=phases[RunPhase.STOPPING],
                waiting_steps=len(waiting),
                waiting_tasks=sum(len(waiting_step.task_indexes) for waiting_step in waiting),
            )
        )

    def _log_expired_claim(self, demand: Demand, planner: Planner, now: Seconds) -> None:
        self._shared.outbox.append(
            log_event(
                Event.CLAIM_EXPIRED,
                job=demand.ref.job,
                occurrence=demand.ref.occurrence,
                step=demand.ref.step,
                tasks=len(demand.task_indexes),
                waited=round(now - self._waiting_since_by_step.get(demand.ref, now), 3),
                guaranteed=demand.standing.is_guaranteed,
                **planner.room_for(demand),
            )
        )

    def _log_placement(self, demand: Demand, count: int, run: RunNumber, now: Seconds) -> None:
        waiting_since = self._waiting_since_by_step.get(demand.ref, now)
        self._shared.outbox.append(
            log_event(
                Event.STEP_PLACED,
                job=demand.ref.job,
                occurrence=demand.ref.occurrence,
                step=demand.ref.step,
                tasks=count,
                run=run,
                waited=round(now - waiting_since, 3),
                guaranteed=demand.standing.is_guaranteed,
                isolated=demand.limits.is_isolated,
                overdue=demand.standing.is_overdue,
                version=(
                    self._shared.state.configuration.version
                    if self._shared.state.configuration
                    else 0
                ),
            )
        )
