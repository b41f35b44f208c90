"""
bulrushhollow_core.domain.placement._wait_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports jobs of which nothing runs although a task's turn has come, with the reason why the step
that has waited longest does not start. What a plan does with that step is observed while the plan
is made, and changes nothing of it.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import Host, group_by_rack, slots_in
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    Event,
    Job,
    LogEvent,
    Resources,
    ServiceName,
    StepRef,
    TaskState,
    WallTime,
    WorkerLife,
    log_event,
    total_of,
)
from bulrushhollow_core.domain.placement._caps import (
    CapAccount,
    CapLedger,
    is_within,
)
from bulrushhollow_core.domain.placement._demands import Demand
from bulrushhollow_core.domain.placement._groups import can_ever_hold
from bulrushhollow_core.domain.placement._holds import find_hold, is_known_to_run
from bulrushhollow_core.domain.placement._plan import Plan
from bulrushhollow_core.domain.placement._planner import BACKGROUND_URGENCY
from bulrushhollow_core.domain.placement._service_loads import busy_services, service_parts
from bulrushhollow_core.domain.queueing import WaitingStep, due_occurrences
from bulrushhollow_core.ids import JobId, RackId, Seconds, WorkspaceId

MIN_REPORTED_WAIT = Seconds(2.0)
"""Seconds for which nothing of a job has run before it is reported."""

REPORT_INTERVAL = Seconds(1.0)
"""Seconds between two lines about one workspace."""

OBSERVATION_INTERVAL = Seconds(0.25)
"""Seconds between two looks at which jobs have something running."""

START_GRACE = Seconds(1.0)
"""Seconds for which a start that is under way counts as if the job ran."""

MAX_REPORTS_PER_PLAN = 8
"""Workspaces that one plan reports; the others follow in the next plans."""


class WaitReason(Enum):
    """Why a step does not start."""

    HELD = "held"
    """It is not among the steps that wait, although its turn has come."""
    CAP = "cap"
    """The workspace's usage leaves no room under its cap."""
    CAP_ORDER = "cap_order"
    """Work of the workspace that is served earlier in the same plan takes the rest of the cap."""
    CAP_RESERVED = "cap_reserved"
    """A waiting gang of the workspace reserves the rest of the cap."""
    NO_WORKER = "no_worker"
    """No usable worker could run one of its tasks, even if nothing else ran there."""
    NO_ROOM = "no_room"
    """The workers have too little room before the plan places anything."""
    NO_TICKET = "no_ticket"
    """The advice service has not permitted workers that have room."""
    EXCLUDED = "excluded"
    """It stays away from workers that have room, since it failed there."""
    ONE_RACK = "one_rack"
    """All workers together have room for the gang, and no single rack has."""
    DATA_RACK = "data_rack"
    """It waits for the rack of its data."""
    FAST_WORKERS = "fast_workers"
    """It waits for fast workers."""
    HEADROOM = "headroom"
    """The room is left to urgent work."""
    STOPS = "stops"
    """Runs that are being stopped or end soon free room for it."""
    RESERVED = "reserved"
    """The plan holds room for other work: for a waiting gang, or until stops have ended."""
    ORDER = "order"
    """Work that is served earlier in the same plan takes the room."""
    UNKNOWN = "unknown"
    """None of these."""


class _StandingStep(NamedTuple):
    """
    A step whose turn has come, of a job of which nothing runs.

    :param since: since when nothing of its job has run.
    :param is_waiting: whether it is among the steps that wait.
    """

    job: Job
    ref: StepRef
    task_indexes: list[int]
    since: Seconds
    is_waiting: bool


class _Report(NamedTuple):
    """
    The step to report of a workspace.

    :param more_steps: further steps of the workspace that have waited long enough.
    :param uncertain: usage of the workspace that is not known to run.
    """

    step: _StandingStep
    more_steps: int
    more_tasks: int
    uncertain: Resources


class _View(NamedTuple):
    """
    What a plan has for a demand when it serves it.

    :param rank: position among the demands, from 1.
    :param free: free resources of the workers then.
    :param free_after_stops: the same once current stops have ended.
    :param placed_before: number of demands that the plan has placed by then.
    :param used_before: usage of the workspace when the plan began.
    :param used: usage of the workspace then, with what the plan has placed or holds room for.
    """

    demand: Demand
    rank: int
    free: dict[WorkerLife, Resources]
    free_after_stops: dict[WorkerLife, Resources]
    placed_before: int
    account: CapAccount | None
    used_before: Resources
    used: Resources
    reserved: Resources


class _Places(NamedTuple):
    """
    Tasks that have room.

    :param in_rack: the same in the rack with the most room.
    """

    total: int
    in_rack: int


class PlanWatch:
    """
    Observes what one plan does with the steps that are to be reported.

    :param reports_by_step: reports that are due; the plan is not observed if there are none.
    :param hosts: workers that may get new work, as the plan starts from them.
    :param busy: services of which half or more is in use.
    """

    def __init__(
        self,
        reports_by_step: Mapping[StepRef, _Report],
        hosts: Sequence[Host],
        busy: Set[ServiceName] = frozenset(),
    ) -> None:
        """Remember the free resources before the plan changes them."""
        self.reports_by_step = reports_by_step
        self.hosts = hosts
        self.views_by_step: dict[StepRef, _View] = {}
        self.free_by_life: dict[WorkerLife, Resources] = {}
        self.busy_services = busy
        if reports_by_step:
            self.free_by_life = {host.life: host.free for host in hosts}

    def observe(self, demands: Iterator[Demand], plan: Plan, caps: CapLedger) -> Iterator[Demand]:
        """Return the demands; those to be reported are looked at when the plan serves them."""
        return self._observe(demands, plan, caps) if self.reports_by_step else demands

    def _observe(self, demands: Iterator[Demand], plan: Plan, caps: CapLedger) -> Iterator[Demand]:
        used_by_workspace = {}
        for report in self.reports_by_step.values():
            account = caps.account_of(report.step.job.workspace)
            used_by_workspace[report.step.job.workspace] = account.used if account else NO_RESOURCES
        for rank, demand in enumerate(demands, start=1):
            if demand.ref in self.reports_by_step:
                account = caps.account_of(demand.workspace)
                self.views_by_step[demand.ref] = _View(
                    demand,
                    rank,
                    {host.life: host.free for host in self.hosts},
                    {host.life: host.free_after_stops for host in self.hosts},
                    len(plan.placements),
                    account,
                    used_by_workspace[demand.workspace],
                    account.used if account else NO_RESOURCES,
                    account.reserved if account else NO_RESOURCES,
                )
            yield demand


class WaitReporter:
    """Reports the steps that wait for long while nothing of their jobs runs."""

    def __init__(self, shared: SchedulerState) -> None:
        """Start without reports."""
        self._shared = shared
        self._idle_since_by_job: dict[JobId, Seconds] = {}
        """Since when nothing has run of each job with a task whose turn has come."""
        self._observe_due = Seconds(-math.inf)
        self._reported_at_by_workspace: dict[WorkspaceId | None, Seconds] = {}

    def watch(
        self, waiting: Iterable[WaitingStep], hosts: Sequence[Host], now: Seconds, wall: WallTime
    ) -> PlanWatch:
        """
        Return a watch on the next plan, for the workspaces of which a line is due.

        :param waiting: steps with tasks that may start now.
        :param hosts: workers that may get new work.
        """
        if now < self._observe_due:
            return PlanWatch({}, hosts)
        self._observe_due = Seconds(now + OBSERVATION_INTERVAL)
        self._observe_jobs(now, wall)
        steps_by_workspace = self._standing_steps(waiting, now, wall)
        uncertain_by_workspace = self._uncertain_usage(steps_by_workspace, now)
        reports_by_step = {}
        for workspace, steps in steps_by_workspace.items():
            first = min(steps, key=lambda step: (step.since, not step.is_waiting))
            reports_by_step[first.ref] = _Report(
                first,
                len(steps) - 1,
                sum(len(step.task_indexes) for step in steps) - len(first.task_indexes),
                total_of(uncertain_by_workspace.get(workspace, {}).items()),
            )
        busy = busy_services(service_parts(self._shared)) if reports_by_step else frozenset()
        return PlanWatch(reports_by_step, hosts, busy)

    def report(
        self, watch: PlanWatch, plan: Plan | None, now: Seconds, wall: WallTime
    ) -> list[LogEvent]:
        """
        Return a log event for each watched step that the plan does not start.

        :param plan: None if no worker may get new work, or nothing waits.
        """
        placed = {demand.ref for demand, _ in plan.placements} if plan else set()
        events = []
        for ref, report in watch.reports_by_step.items():
            if ref not in placed:
                self._reported_at_by_workspace[report.step.job.workspace] = now
                events.append(self._step_waiting(watch, report, plan, now, wall))
        return events

    # Jobs of which nothing runs.

    def _observe_jobs(self, now: Seconds, wall: WallTime) -> None:
        """Record which jobs have a task whose turn has come and nothing that runs."""
        idle_since_by_job = {}
        for job in self._shared.state.active_jobs_by_id.values():
            if job.has_ended or any(map(is_known_to_run, self._shared.fleet.runs_of(job.id))):
                continue
            occurrence = next(due_occurrences(job, wall), None)
            if occurrence is None:
                continue
            since = self._idle_since_by_job.get(job.id)
            if since is None:
                waited = 0.0 if job.has_started else max(0.0, wall - job.due_at(occurrence))
                since = Seconds(now - waited)
            idle_since_by_job[job.id] = since
        self._idle_since_by_job = idle_since_by_job

    def _standing_steps(
        self, waiting: Iterable[WaitingStep], now: Seconds, wall: WallTime
    ) -> dict[WorkspaceId | None, list[_StandingStep]]:
        """Return the steps that wait for long, of some workspaces of which a line is due."""
        self._reported_at_by_workspace = {
            workspace: at
            for workspace, at in self._reported_at_by_workspace.items()
            if now - at < REPORT_INTERVAL
        }
        since_by_job: dict[JobId, Seconds] = {}
        steps_by_workspace: dict[WorkspaceId | None, list[_StandingStep]] = {}
        for job_id, since in self._idle_since_by_job.items():
            workspace = self._shared.workspace_of(job_id)
            is_due = (
                workspace in steps_by_workspace or len(steps_by_workspace) < MAX_REPORTS_PER_PLAN
            ) and workspace not in self._reported_at_by_workspace
            if is_due and now - since >= MIN_REPORTED_WAIT and not self._is_starting(job_id, now):
                since_by_job[job_id] = since
                steps_by_workspace.setdefault(workspace, [])
        waiting_jobs = set()
        for each in waiting if since_by_job else ():
            if each.job.id in since_by_job:
                waiting_jobs.add(each.job.id)
                since = since_by_job[each.job.id]
                steps_by_workspace[each.job.workspace].append(
                    _StandingStep(each.job, each.ref, each.task_indexes, since, True)
                )
        for job_id, since in since_by_job.items():
            if job_id not in waiting_jobs:
                job = self._shared.state.jobs_by_id[job_id]
                steps_by_workspace[job.workspace].extend(
                    _StandingStep(job, ref, task_indexes, since, False)
                    for ref, task_indexes in _due_steps(job, wall)
                )
        return {workspace: steps for workspace, steps in steps_by_workspace.items() if steps}

    def _is_starting(self, job_id: JobId, now: Seconds) -> bool:
        """Return whether a start of a job has been under way for a moment only."""
        runs = self._shared.fleet.runs_of(job_id)
        return any(run.loss is None and now - run.started_at < START_GRACE for run in runs)

    def _uncertain_usage(
        self, workspaces: Iterable[WorkspaceId | None], now: Seconds
    ) -> dict[WorkspaceId | None, Counter[Resources]]:
        """
        Return what the usage of workspaces counts that is not known to run: starts without an
        answer, runs that their workers have not listed yet, and lost ones.
        """
        usage: dict[WorkspaceId | None, Counter[Resources]] = {
            workspace: Counter() for workspace in workspaces
        }
        for worker in self._shared.fleet.workers_by_life.values() if usage else ():
            for task, run in worker.runs_by_task.items():
                workspace = self._shared.workspace_of(task.job)
                if workspace in usage and not is_known_to_run(run):
                    usage[workspace][run.needs] += 1
            for ref, start in worker.possible_starts(now).items():
                workspace = self._shared.workspace_of(ref.task.job)
                if workspace in usage:
                    usage[workspace][start.needs] += 1
        return usage

    # Lines.

    def _step_waiting(
        self, watch: PlanWatch, report: _Report, plan: Plan | None, now: Seconds, wall: WallTime
    ) -> LogEvent:
        step, view = report.step, watch.views_by_step.get(report.step.ref)
        shared = self._shared
        spec = step.job.work.steps[step.ref.step]
        service = shared.current_queue(step.job.queue).service
        fields: dict[str, object] = {}
        if not step.is_waiting:
            hold = find_hold(shared, step.job, step.ref, step.task_indexes, now, wall)
            reason = WaitReason.HELD
            fields |= {
                "hold": hold.kind.value,
                "hold_left": round(hold.left, 3),
                "worker": hold.worker,
            }
        elif view is None or plan is None:
            reason = WaitReason.UNKNOWN if watch.hosts else WaitReason.NO_WORKER
        else:
            room = _Room(watch, view, plan)
            reason = room.find_reason()
            fields |= room.fields()
        configuration = shared.state.configuration
        return log_event(
            Event.STEP_WAITING,
            job=step.job.id,
            occurrence=step.ref.occurrence,
            step=step.ref.step,
            workspace=step.job.workspace or "",
            waited=round(now - step.since, 3),
            reason=reason.value,
            tasks=len(step.task_indexes),
            needs=_as_text(spec.needs),
            gang=spec.is_gang,
            same_rack=spec.same_rack,
            **fields,
            uncertain=_as_text(report.uncertain),
            usable=sum(host.service == service for host in watch.hosts),
            known=sum(
                worker.announcement is not None and worker.announcement.service == service
                for worker in shared.fleet.workers_by_life.values()
            ),
            more_steps=report.more_steps,
            more_tasks=report.more_tasks,
            version=configuration.version if configuration else 0,
            leading=round(now - shared.leading_since, 3),
        )


class _Room:
    """The room that a plan had for one demand that it did not place."""

    def __init__(self, watch: PlanWatch, view: _View, plan: Plan) -> None:
        """Find the workers that the demand may use."""
        demand, limits = view.demand, view.demand.limits
        self._demand = demand
        self._view = view
        self._plan = plan
        self._wanted = len(demand.task_indexes) if demand.step.is_gang else 1
        self._is_busy = demand.service in watch.busy_services
        self._free_before = watch.free_by_life
        self._free_after = {host.life: host.free for host in watch.hosts}
        self._capable = [
            host
            for host in watch.hosts
            if host.can_run(demand.service, demand.step.required_label)
            and demand.step.needs.fits(host.capacity)
        ]
        self._permitted = [
            host
            for host in self._capable
            if limits.allowed_workers is None or host.life in limits.allowed_workers
        ]
        self._eligible = [
            host for host in self._permitted if host.life not in limits.excluded_workers
        ]
        local = [host for host in self._eligible if host.rack == demand.step.data_rack]
        is_local = bool(local) and not demand.step.is_gang and not limits.may_leave_data_rack
        self._bound = local if is_local else self._eligible
        # A gang that no rack can ever hold may be spread over all.
        self._needs_one_rack = (
            demand.step.is_gang
            and demand.step.same_rack
            and any(can_ever_hold(demand, rack) for rack in group_by_rack(self._eligible).values())
        )

    def find_reason(self) -> WaitReason:
        """Return why the plan does not start the demand."""
        ref = self._demand.ref
        if any(demand.ref == ref for demand, _ in self._plan.evictions):
            return WaitReason.STOPS
        if any(demand.ref == ref for demand in self._plan.held_back):
            return self._cap_reason()
        if any(demand.ref == ref for demand in self._plan.waiting_for_fast):
            return WaitReason.FAST_WORKERS
        if self._fits(self._free_before):
            return self._order_reason()
        return WaitReason.STOPS if self._fits(self._view.free_after_stops) else self._limit_reason()

    def _cap_reason(self) -> WaitReason:
        """Return why the cap holds the demand back."""
        view = self._view
        needs = self._demand.step.needs.times(self._wanted)
        if view.account is None:
            return WaitReason.UNKNOWN
        if is_within(view.used.plus(needs), view.account.cap):
            return WaitReason.CAP_RESERVED
        is_taken = is_within(view.used_before.plus(needs), view.account.cap)
        return WaitReason.CAP_ORDER if is_taken else WaitReason.CAP

    def _limit_reason(self) -> WaitReason:
        """Return why the demand has no room when the plan begins."""
        if not self._capable:
            return WaitReason.NO_WORKER
        steps = (
            (self._capable, WaitReason.NO_ROOM),
            (self._permitted, WaitReason.NO_TICKET),
            (self._eligible, WaitReason.EXCLUDED),
            (self._bound, WaitReason.DATA_RACK),
        )
        for hosts, reason in steps:
            if self._count(hosts, self._free_before).total < self._wanted:
                return reason
        return WaitReason.ONE_RACK

    def _order_reason(self) -> WaitReason:
        """Return what the plan did with the room that the demand had when the plan began."""
        view, demand = self._view, self._demand
        if self._fits(view.free):
            is_background = demand.standing.urgency >= BACKGROUND_URGENCY
            if is_background and not demand.step.is_gang and demand.step.needs.accelerators > 0:
                return WaitReason.HEADROOM
            return WaitReason.UNKNOWN
        unplaced = dict(self._free_before)
        for placed, placements in self._plan.placements[: view.placed_before]:
            for placement in placements:
                unplaced[placement.life] = unplaced[placement.life].minus(placed.step.needs)
        return WaitReason.RESERVED if self._fits(unplaced) else WaitReason.ORDER

    def _fits(self, free_by_life: Mapping[WorkerLife, Resources]) -> bool:
        places = self._count(self._bound, free_by_life)
        return (places.in_rack if self._needs_one_rack else places.total) >= self._wanted

    def _count(
        self, hosts: Iterable[Host], free_by_life: Mapping[WorkerLife, Resources]
    ) -> _Places:
        """Return how many tasks have room; on each host at most twice as many as wait."""
        demand = self._demand
        limit = 2 * len(demand.task_indexes)
        counts: Counter[RackId] = Counter()
        for host in hosts:
            most = demand.max_tasks_on(host) if demand.step.max_per_worker else limit
            counts[host.rack] += slots_in(free_by_life[host.life], demand.step.needs, most)
        return _Places(counts.total(), max(counts.values(), default=0))

    def fields(self) -> dict[str, object]:
        """Return what the log line states of the plan."""
        view, account = self._view, self._view.account
        places = self._count(self._capable, self._free_before)
        fields: dict[str, object] = {
            "rank": view.rank,
            "places": places.total,
            "places_in_rack": places.in_rack,
            "places_in_turn": self._count(self._bound, view.free).total,
            "places_left": self._count(self._bound, self._free_after).total,
            "eligible": len(self._bound),
            "busy": self._is_busy,
        }
        if account is not None:
            fields |= {
                "cap": _as_text(account.cap),
                "used": _as_text(view.used_before),
                "planned": _as_text(view.used.minus(view.used_before)),
                "reserved": _as_text(view.reserved),
                "under_half": view.used_before.is_below(0.5, account.cap),
            }
        return fields


def _due_steps(job: Job, wall: WallTime) -> Iterator[tuple[StepRef, list[int]]]:
    """Yield the steps of a job whose turn has come, with their tasks that are not done."""
    for occurrence in due_occurrences(job, wall):
        records = job.occurrences_by_number.get(occurrence)
        for number, step in enumerate(job.work.steps):
            if records is None:
                task_indexes = [] if step.depends_on else list(range(step.count))
            elif all(records[dependency].is_done for dependency in step.depends_on):
                tasks = enumerate(records[number].tasks)
                task_indexes = [index for index, task in tasks if task.state is not TaskState.DONE]
            else:
                task_indexes = []
            if task_indexes:
                yield StepRef(job.id, occurrence, number), task_indexes


def _as_text(resources: Resources) -> str:
    """Return thousandths of cores, MiB of memory and accelerators, divided by slashes."""
    return f"{resources.cpu}/{resources.memory}/{resources.accelerators}"
