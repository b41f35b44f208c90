"""
bulrushhollow_core.domain.placement._plan_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Observes what one plan does with steps that have waited for long, and finds why it does not start
them. The plan is not changed.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence, Set
from enum import Enum
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Host, group_by_rack, slots_in
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    Job,
    Resources,
    ServiceName,
    StepRef,
    WorkerLife,
)
from bulrushhollow_core.domain.placement._caps import (
    CapAccount,
    CapLedger,
    is_within,
)
from bulrushhollow_core.domain.placement._demands import Demand
from bulrushhollow_core.domain.placement._groups import can_ever_hold
from bulrushhollow_core.domain.placement._plan import Plan
from bulrushhollow_core.domain.placement._planner import BACKGROUND_URGENCY
from bulrushhollow_core.ids import RackId, Seconds


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


class StandingStep(NamedTuple):
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


class WaitReport(NamedTuple):
    """
    The step to report of a workspace.

    :param more_steps: further steps of the workspace that have waited long enough.
    :param uncertain: usage of the workspace that is not known to run.
    """

    step: StandingStep
    more_steps: int
    more_tasks: int
    uncertain: Resources


class DemandView(NamedTuple):
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


class Places(NamedTuple):
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
        reports_by_step: Mapping[StepRef, WaitReport],
        hosts: Sequence[Host],
        busy: Set[ServiceName] = frozenset(),
    ) -> None:
        """Remember the free resources before the plan changes them."""
        self.reports_by_step = reports_by_step
        self.hosts = hosts
        self.views_by_step: dict[StepRef, DemandView] = {}
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
                self.views_by_step[demand.ref] = DemandView(
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


class DemandRoom:
    """The room that a plan had for one demand that it did not place."""

    def __init__(self, watch: PlanWatch, view: DemandView, plan: Plan) -> None:
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

    def _count(self, hosts: Iterable[Host], free_by_life: Mapping[WorkerLife, Resources]) -> Places:
        """Return how many tasks have room; on each host at most twice as many as wait."""
        demand = self._demand
        limit = 2 * len(demand.task_indexes)
        counts: Counter[RackId] = Counter()
        for host in hosts:
            most = demand.max_tasks_on(host) if demand.step.max_per_worker else limit
            counts[host.rack] += slots_in(free_by_life[host.life], demand.step.needs, most)
        return Places(counts.total(), max(counts.values(), default=0))

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
                "cap": as_text(account.cap),
                "used": as_text(view.used_before),
                "planned": as_text(view.used.minus(view.used_before)),
                "reserved": as_text(view.reserved),
                "under_half": view.used_before.is_below(0.5, account.cap),
            }
        return fields


def as_text(resources: Resources) -> str:
    """Return thousandths of cores, MiB of memory and accelerators, divided by slashes."""
    return f"{resources.cpu}/{resources.memory}/{resources.accelerators}"
