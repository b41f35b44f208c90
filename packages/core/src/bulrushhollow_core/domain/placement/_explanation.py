"""
bulrushhollow_core.domain.placement._explanation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Explains where a job would be placed now. The job is added to a copy of the leader's state, and the
planner makes a plan for it that is never carried out, so that explanations follow from the same
code as decisions.
"""

import math
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import Host
from bulrushhollow_core.domain.model import (
    Job,
    StepRef,
    SubmitJob,
    WallTime,
    WorkerLife,
    detached_copy,
)
from bulrushhollow_core.domain.placement._demands import Demand, Victim
from bulrushhollow_core.domain.placement._plan import Placement, Plan
from bulrushhollow_core.domain.placement._planner import (
    BACKGROUND_URGENCY,
    MAX_GANG_RESERVATIONS,
    Planner,
)
from bulrushhollow_core.domain.placement._planning import PlanningCycle
from bulrushhollow_core.domain.queueing import WaitingStep
from bulrushhollow_core.ids import JobId, RackId, Seconds
from bulrushhollow_core.placements import (
    DisplacedWork,
    HoldReason,
    QueuePosition,
    StepOutlook,
    WorkerShare,
)

MIN_EXPLANATION_INTERVAL = Seconds(0.25)
"""Minimum seconds between two explanations. Each costs about as much as a plan, and a leader that
only waits makes plans at this interval."""

MAX_LISTED = 100
"""Workers, and displaced steps, that one explanation lists; it states the total of the rest."""

UNSUBMITTED_JOB = JobId("")
"""Id of the job that is explained. No submitted job has it: their ids are not empty."""


class Forecast(NamedTuple):
    """
    What would happen to a job after its submission.

    :param position: None if no step of it could start now.
    """

    position: QueuePosition | None
    steps: tuple[StepOutlook, ...]


class _Observation(NamedTuple):
    """
    The room that a demand had before the planner served it.

    :param is_permitted: whether the advice service has permitted any worker, if it is needed.
    :param has_usable_worker: whether a task fits on an empty worker that may run it.
    :param slots: tasks that had room.
    :param slots_after_stops: tasks that had room once current stops have ended.
    :param fits_at: when a gang without room is expected to fit; None if this is unknown.
    """

    demand: Demand
    is_permitted: bool
    has_usable_worker: bool
    slots: int
    slots_after_stops: int
    fits_at: Seconds | None


class PlacementExplainer:
    """
    Explains placements on a leader.

    :param shared: state of the leader's scheduler; it is never changed.
    :param cycle: planning cycle of the leader; it is never changed.
    """

    def __init__(self, shared: SchedulerState, cycle: PlanningCycle) -> None:
        """Start without explanations."""
        self._shared = shared
        self._cycle = cycle
        self._explained_at = Seconds(-math.inf)

    def try_begin(self, now: Seconds) -> bool:
        """Return whether an explanation may be made now, and count it if so."""
        if now - self._explained_at < MIN_EXPLANATION_INTERVAL:
            return False
        self._explained_at = now
        return True

    def explain(self, command: SubmitJob, now: Seconds, wall: WallTime) -> Forecast:
        """Return what a plan would do now if a job were accepted."""
        shared = _detached_state(self._shared)
        shared.state.apply(command)
        shared.record_submission(command.id, now)
        cycle = self._cycle.detached(shared)
        queue = cycle.view_queue(now, wall)
        job = shared.state.jobs_by_id[command.id]
        waiting, plan, recorder = queue.waiting, Plan(), _ObservationRecorder(job.id, queue.hosts)
        if queue.hosts:
            prepared = cycle.prepare(queue, now, wall)
            waiting = prepared.waiting
            own_count = sum(waiting_step.job.id == job.id for waiting_step in waiting)
            demands = recorder.record(prepared.demands, prepared.planner, own_count)
            plan = prepared.planner.make_plan(demands)
        outlook = _PlanReader(
            shared, job, waiting, plan, recorder.observations_by_step, queue.hosts, now
        )
        return Forecast(_position_of(job.id, waiting, wall), outlook.read_steps())


def _detached_state(original: SchedulerState) -> SchedulerState:
    """Return a copy of a scheduler's state on which a plan can be prepared for one more job."""
    shared = detached_copy(original)
    shared.state = detached_copy(original.state)
    shared.headroom = detached_copy(original.headroom)
    shared.advice = detached_copy(original.advice)
    shared.rate_meter = detached_copy(original.rate_meter)
    shared.shares = original.shares.detached(shared.rate_meter)
    return shared


def _position_of(
    job: JobId, waiting: Iterable[WaitingStep], wall: WallTime
) -> QueuePosition | None:
    steps = list(waiting)
    for rank, waiting_step in enumerate(steps, start=1):
        if waiting_step.job.id == job:
            priority = waiting_step.priority
            return QueuePosition(
                rank=rank,
                waiting=len(steps),
                is_guaranteed=not priority.is_surplus,
                is_over_share=priority.is_over_share,
                timeliness=priority.timeliness.name.lower(),
                deadline_in=round(priority.deadline - wall, 3),
            )
    return None


class _ObservationRecorder:
    """Records the room that each demand of one job has when the planner serves it."""

    def __init__(self, job: JobId, hosts: list[Host]) -> None:
        self._job = job
        self._hosts = hosts
        self._expected_starts = 0
        self.observations_by_step: dict[int, _Observation] = {}

    def record(
        self, demands: Iterator[Demand], planner: Planner, own_count: int
    ) -> Iterator[Demand]:
        """
        Yield the demands up to the last one of the job; those after it don't change its placement.

        :param own_count: number of the job's demands.
        """
        for demand in demands:
            if demand.ref.job == self._job:
                self.observations_by_step[demand.ref.step] = self._observe(demand, planner)
            yield demand
            if len(self.observations_by_step) == own_count:
                return

    def _observe(self, demand: Demand, planner: Planner) -> _Observation:
        room = planner.room_for(demand)
        return _Observation(
            demand,
            is_permitted=demand.limits.allowed_workers is None
            or bool(demand.limits.allowed_workers),
            has_usable_worker=any(
                host.can_run(demand.service, demand.step.required_label)
                and demand.step.needs.fits(host.capacity)
                for host in self._hosts
            ),
            slots=room["slots"],
            slots_after_stops=room["slots_after_stops"],
            fits_at=self._expected_start(demand, planner, room["slots_after_stops"]),
        )

    def _expected_start(self, demand: Demand, planner: Planner, slots: int) -> Seconds | None:
        """Return when a gang without room is expected to fit; for as many gangs as a plan does."""
        is_due = demand.step.is_gang and slots < len(demand.task_indexes)
        if not is_due or self._expected_starts >= MAX_GANG_RESERVATIONS:
            return None
        self._expected_starts += 1
        return planner.expected_start(demand)


class _PlanReader:
    """Reads from a plan what would happen to the steps of one job."""

    def __init__(
        self,
        shared: SchedulerState,
        job: Job,
        waiting: Iterable[WaitingStep],
        plan: Plan,
        observations_by_step: dict[int, _Observation],
        hosts: Iterable[Host],
        now: Seconds,
    ) -> None:
        self._job = job
        self._startable = {each.ref.step for each in waiting if each.job.id == job.id}
        self._placements_by_step = {
            demand.ref.step: placements
            for demand, placements in plan.placements
            if demand.ref.job == job.id
        }
        self._victims_by_step: dict[int, list[Victim]] = {}
        for demand, victim in plan.evictions:
            if demand.ref.job == job.id:
                self._victims_by_step.setdefault(demand.ref.step, []).append(victim)
        self._held_back = {demand.ref.step for demand in plan.held_back if demand.ref.job == job.id}
        self._observations_by_step = observations_by_step
        self._racks_by_life = {host.life: host.rack for host in hosts}
        self._stop_timeout = shared.settings.stop_timeout
        self._now = now

    def read_steps(self) -> tuple[StepOutlook, ...]:
        """Return what would happen to each step, with lists of bounded length."""
        outlooks = []
        unlisted_workers = unlisted_displaced = MAX_LISTED
        for number in range(len(self._job.work.steps)):
            outlook = self._read_step(number, unlisted_workers, unlisted_displaced)
            unlisted_workers -= len(outlook.workers)
            unlisted_displaced -= len(outlook.displaced)
            outlooks.append(outlook)
        return tuple(outlooks)

    def _read_step(self, number: int, max_workers: int, max_displaced: int) -> StepOutlook:
        step = self._job.work.steps[number]
        if number not in self._startable:
            reason = HoldReason.DEPENDENCIES if step.depends_on else HoldReason.NOT_DUE
            return StepOutlook(number, step.count, held_by=reason, depends_on=step.depends_on)
        placements = self._placements_by_step.get(number, [])
        victims = self._victims_by_step.get(number, [])
        workers = _shares_of(placements, self._racks_by_life)
        held_by = None if len(placements) == step.count else self._hold_reason(number)
        return StepOutlook(
            number,
            step.count,
            starting=len(placements),
            workers=tuple(workers[:max_workers]),
            worker_count=len(workers),
            held_by=held_by,
            displaced=tuple(_displaced_by(victims)[:max_displaced]),
            displaced_runs=sum(len(victim.runs) for victim in victims),
            room_expected_in=self._room_expected_in(number, held_by),
        )

    def _hold_reason(self, number: int) -> HoldReason:
        """Return why some tasks of a step that could start now would not."""
        observation = self._observations_by_step.get(number)
        if observation is None or not observation.has_usable_worker:
            return HoldReason.NO_USABLE_WORKER
        if not observation.is_permitted:
            return HoldReason.ADVICE
        if number in self._held_back:
            return HoldReason.CAP
        demand = observation.demand
        if number in self._victims_by_step or observation.slots_after_stops >= demand.step.count:
            has_room = observation.slots >= demand.step.count
            return _rule_of(demand) if has_room else HoldReason.STOPS
        starting = len(self._placements_by_step.get(number, ()))
        return _rule_of(demand) if observation.slots > starting else HoldReason.NO_ROOM

    def _room_expected_in(self, number: int, held_by: HoldReason | None) -> float | None:
        observation = self._observations_by_step.get(number)
        if observation is None or not observation.demand.step.is_gang:
            return None
        if held_by is HoldReason.STOPS:
            return self._stop_timeout
        if held_by is not HoldReason.NO_ROOM or observation.fits_at is None:
            return None
        return round(observation.fits_at - self._now, 3)


def _rule_of(demand: Demand) -> HoldReason:
    """Return the rule that keeps independent tasks from room that is left."""
    if demand.step.data_rack and not demand.limits.may_leave_data_rack:
        return HoldReason.DATA_RACK
    is_background = (
        demand.standing.urgency >= BACKGROUND_URGENCY and demand.step.needs.accelerators > 0
    )
    return HoldReason.HEADROOM if is_background else HoldReason.NO_ROOM


def _shares_of(
    placements: Iterable[Placement], racks_by_life: dict[WorkerLife, RackId]
) -> list[WorkerShare]:
    counts = Counter(placement.life for placement in placements)
    return [WorkerShare(life.id, racks_by_life[life], count) for life, count in counts.items()]


def _displaced_by(victims: Iterable[Victim]) -> list[DisplacedWork]:
    """Return the displaced runs by step."""
    victims_by_step: dict[StepRef, list[Victim]] = {}
    for victim in victims:
        victims_by_step.setdefault(victim.runs[0].task.step_ref, []).append(victim)
    return [
        DisplacedWork(
            ref.job,
            ref.step,
            runs=sum(len(victim.runs) for victim in step_victims),
            lost_work=round(sum(victim.lost_work for victim in step_victims), 3),
        )
        for ref, step_victims in victims_by_step.items()
    ]
