"""
bulrushhollow_core.domain.placement._caps
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Caps of workspaces: what the tasks of a workspace may take at the same time, on all workers. The
usage is counted anew for each plan, from the runs that take resources and the starts that may
still be carried out.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence, Set
from itertools import chain
from typing import NamedTuple

from bulrushhollow_core.domain.execution import SchedulerState
from bulrushhollow_core.domain.fleet import RunPhase
from bulrushhollow_core.domain.model import (
    NO_RESOURCES,
    ConfigurationIndex,
    Event,
    LogEvent,
    Resources,
    ServiceName,
    Step,
    Work,
    log_event,
    total_of,
)
from bulrushhollow_core.domain.placement._demands import Demand, Victim
from bulrushhollow_core.domain.placement._evictions import cost_of
from bulrushhollow_core.ids import Seconds, WorkspaceId

CAP_RETRY_AFTER = Seconds(30.0)
"""Seconds after which to retry a job that exceeds its workspace's cap; only a new configuration,
which operators put, helps."""

CAP_LOG_INTERVAL = Seconds(1.0)
"""Seconds between two log lines about the cap of one workspace."""

RESERVATION_HOLD = Seconds(2.0)
"""Seconds for which a reservation holds back work that it must yield to. That work must start
within 3 s; the rest is for the interval between plans, the commit and the start."""


class CapAccount:
    """The cap of one workspace, and what its tasks take."""

    def __init__(self, cap: Resources) -> None:
        """Create an account without any usage."""
        self.cap = cap
        self.used = NO_RESOURCES
        self.unconfirmed = NO_RESOURCES
        """Part of the usage of which no worker has shown that it runs: starts that went unanswered,
        and runs of an earlier leader that have not been listed yet."""
        self.ending = NO_RESOURCES
        """Part of the usage that ends soon, by a stop or by itself. What ended soon before the plan
        is counted once urgent work is held back, and the plan's own stops when it decides them."""
        self.reserved = NO_RESOURCES
        """Part of the cap that waiting gangs of the workspace reserve against later demands."""

        self.is_hold_over = False
        """Whether the reservation has held back work for so long that it yields in this plan."""
        self.is_holding = False
        """Whether the reservation holds back work of this plan that it must yield to soon."""

    def startable_count(self, needs: Resources, wanted: int, is_service_busy: bool) -> int:
        """
        Return how many tasks may start now, at most the wanted number.

        A reservation yields while the workspace uses under half of its cap on a service that is not
        busy: no job may wait for long then. It holds for a while first, so that enough of the
        running tasks can end for the gang.
        """
        count = _count_within(self.cap, self.used.plus(self.reserved), needs, wanted)
        if count == wanted or is_service_busy or self.reserved == NO_RESOURCES:
            return count
        doubled_usage, doubled_needs = self.used.plus(self.used), needs.plus(needs)
        yielded = _count_within(self.cap, doubled_usage, doubled_needs, wanted)
        if yielded <= count:
            return count
        if self.is_hold_over:
            return yielded
        self.is_holding = True
        return count

    @property
    def confirmed(self) -> Resources:
        """Return the usage without runs that may never have started."""
        return self.used.minus(self.unconfirmed)

    @property
    def used_after_stops(self) -> Resources:
        """Return the usage once every run that is being stopped has ended."""
        return self.used.minus(self.ending)

    def excess_with(self, added: Resources) -> Resources:
        """
        Return by how much further tasks would exceed the cap, beside what is reserved, once current
        stops have ended.
        """
        usage = self.used_after_stops.plus(self.reserved).plus(added)
        return Resources(
            max(0, usage.cpu - self.cap.cpu) if self.cap.cpu else 0,
            max(0, usage.memory - self.cap.memory) if self.cap.memory else 0,
            max(0, usage.accelerators - self.cap.accelerators) if self.cap.accelerators else 0,
        )


class CapRelief(NamedTuple):
    """
    How the cap can be freed for a demand.

    :param victims: runs of the workspace to stop; none if current stops free enough.
    :param task_count: tasks of the demand that may start once the stops have ended.
    """

    victims: list[Victim]
    task_count: int

    @property
    def lost_work(self) -> float:
        """Return the core-seconds of work that stopping the victims discards."""
        return sum(victim.lost_work for victim in self.victims)


class CapLedger:
    """
    The usage of all workspaces with a cap, while a plan is made. Other workspaces have no limit.

    :param accounts_by_workspace: accounts of the workspaces with a cap.
    :param busy_services: services of whose capacity half or more is in use.
    :param find_ending: returns the part of each workspace's usage that ends soon; called only if
        urgent work is held back.
    """

    def __init__(
        self,
        accounts_by_workspace: dict[WorkspaceId, CapAccount] | None = None,
        busy_services: Set[ServiceName] = frozenset(),
        find_ending: Callable[[], dict[WorkspaceId, Resources]] = dict,
    ) -> None:
        """Create a ledger; without accounts it limits nothing."""
        self._accounts_by_workspace = accounts_by_workspace or {}
        self._busy_services = busy_services
        self._find_ending: Callable[[], dict[WorkspaceId, Resources]] | None = find_ending

    def account_of(self, workspace: WorkspaceId | None) -> CapAccount | None:
        """Return the account of a workspace; None if it has no cap."""
        return self._accounts_by_workspace.get(workspace) if workspace is not None else None

    def has_spare_capacity(self, workspace: WorkspaceId | None, share: float) -> bool:
        """Return whether a workspace uses less than a share of its cap, or has none."""
        account = self.account_of(workspace)
        return account is None or account.confirmed.is_below(share, account.cap)

    def startable_count(self, demand: Demand) -> int:
        """Return how many tasks of a demand its workspace may start now."""
        wanted = len(demand.task_indexes)
        account = self.account_of(demand.workspace)
        if account is None:
            return wanted
        is_service_busy = demand.service in self._busy_services
        return account.startable_count(demand.step.needs, wanted, is_service_busy)

    def charge(self, demand: Demand, task_count: int) -> None:
        """Count tasks of a demand that the plan has placed or reserves room for."""
        account = self.account_of(demand.workspace)
        if account is not None:
            account.used = account.used.plus(demand.step.needs.times(task_count))

    def reserve(self, demand: Demand) -> None:
        """
        Reserve a part of the cap for a waiting gang, so that smaller demands of its workspace that
        are served later do not starve it. Only one gang of a workspace reserves.
        """
        account = self.account_of(demand.workspace)
        if account is None or account.reserved != NO_RESOURCES:
            return
        total = demand.step.needs.times(len(demand.task_indexes))
        if is_within(total, account.cap):
            account.reserved = total

    def apply_holds(self, held_since: Mapping[WorkspaceId, Seconds], now: Seconds) -> None:
        """Let the reservations yield that have held back work for long enough."""
        for workspace, account in self._accounts_by_workspace.items():
            account.is_hold_over = now - held_since.get(workspace, math.inf) >= RESERVATION_HOLD

    def record_holds(self, held_since: dict[WorkspaceId, Seconds], now: Seconds) -> None:
        """
        Record since when reservations hold back work that they must yield to. A hold ends when they
        yield, or when a plan has no such work.
        """
        for workspace, account in self._accounts_by_workspace.items():
            if account.is_holding:
                held_since.setdefault(workspace, now)
            else:
                held_since.pop(workspace, None)

    def count_stop(self, victim: Victim) -> None:
        """Count the runs of a victim as being stopped."""
        account = self.account_of(victim.workspace)
        if account is not None:
            account.ending = account.ending.plus(victim.freed)

    def undo_stop(self, victim: Victim) -> None:
        """Count the runs of a victim as running again."""
        account = self.account_of(victim.workspace)
        if account is not None:
            account.ending = account.ending.minus(victim.freed)

    def fits_after_stops(self, demand: Demand) -> bool:
        """Return whether all tasks of a demand may start once current stops have ended."""
        account = self.account_of(demand.workspace)
        total = demand.step.needs.times(len(demand.task_indexes))
        return account is None or account.excess_with(total) == NO_RESOURCES

    def find_relief(
        self, demand: Demand, victims: Iterable[Victim], max_lost_work: float
    ) -> CapRelief | None:
        """
        Return the cheapest victims that free the cap for a demand beside what is reserved: for all
        tasks of a gang, or for as many independent tasks as possible. None if no permitted eviction
        does.

        :param victims: runs that may be evicted for the demand; those of other workspaces and those
            that are served before the demand are skipped.
        :param max_lost_work: core-seconds of work that may be discarded at most.
        """
        account = self.account_of(demand.workspace)
        if account is None:
            return None
        self._count_ending()
        candidates = sorted(
            (
                victim
                for victim in victims
                if victim.workspace == demand.workspace
                and not victim.is_chosen
                and victim.priority > demand.standing.priority
            ),
            key=lambda victim: cost_of([victim]),
        )
        needs = demand.step.needs
        held = account.used_after_stops.plus(account.reserved)
        task_count = _count_within(
            account.cap,
            held.minus(total_of((victim.freed, 1) for victim in candidates)),
            needs,
            len(demand.task_indexes),
        )
        if task_count == 0 or (demand.step.is_gang and task_count < len(demand.task_indexes)):
            return None
        chosen = _cheapest_victims(candidates, account.excess_with(needs.times(task_count)))
        relief = CapRelief(chosen, task_count)
        return relief if relief.lost_work <= max_lost_work else None

    def _count_ending(self) -> None:
        """Count the usage that ends soon; done once, before the first use."""
        if self._find_ending is None:
            return
        for workspace, ending in self._find_ending().items():
            account = self._accounts_by_workspace[workspace]
            account.ending = account.ending.plus(ending)
        self._find_ending = None


def is_within(total: Resources, cap: Resources) -> bool:
    """Return whether resources stay within a cap; 0 means no limit on a resource."""
    return _count_within(cap, NO_RESOURCES, total, 1) == 1


def _count_within(cap: Resources, used: Resources, needs: Resources, wanted: int) -> int:
    """Return how many tasks fit under a cap: none while any limited resource exceeds it."""
    count = wanted
    for limit, taken, need in (
        (cap.cpu, used.cpu, needs.cpu),
        (cap.memory, used.memory, needs.memory),
        (cap.accelerators, used.accelerators, needs.accelerators),
    ):
        if limit == 0:
            continue
        if taken > limit:
            return 0
        if need > 0:
            count = min(count, (limit - taken) // need)
    return count


def _cheapest_victims(candidates: Sequence[Victim], excess: Resources) -> list[Victim]:
    """Return the first candidates that free an excess, without those that turn out unneeded."""
    picked: list[Victim] = []
    freed = NO_RESOURCES
    for victim in candidates:
        if excess.fits(freed):
            break
        if _frees_missing(victim.freed, excess.minus(freed)):
            picked.append(victim)
            freed = freed.plus(victim.freed)
    for victim in reversed(list(picked)):
        if excess.fits(freed.minus(victim.freed)):
            picked.remove(victim)
            freed = freed.minus(victim.freed)
    return picked


def _frees_missing(freed: Resources, missing: Resources) -> bool:
    return (
        (freed.cpu > 0 and missing.cpu > 0)
        or (freed.memory > 0 and missing.memory > 0)
        or (freed.accelerators > 0 and missing.accelerators > 0)
    )


# The ledger of a plan.


def build_cap_ledger(
    shared: SchedulerState, busy: frozenset[ServiceName], now: Seconds
) -> CapLedger:
    """
    Return the usage of the workspaces with a cap: of all runs that take resources, and of starts
    that may still be carried out.

    :param busy: services of which half or more is in use.
    """
    accounts_by_workspace = _open_accounts(shared.state.configuration_index)
    if not accounts_by_workspace:
        return CapLedger()
    workspaces = accounts_by_workspace.keys()
    for workspace, usage in _usage_by_workspace(shared, workspaces, now).items():
        account = accounts_by_workspace[workspace]
        account.unconfirmed = total_of((part, 1) for part in usage.unconfirmed)
        account.used = total_of((part, 1) for part in usage.known).plus(account.unconfirmed)
    ledger = CapLedger(accounts_by_workspace, busy, lambda: _find_ending(shared, workspaces, now))
    ledger.apply_holds(shared.cap_holds_since, now)
    return ledger


class _Usage(NamedTuple):
    """
    What runs and possible starts of a workspace take.

    :param unconfirmed: the part of which no worker has shown that it runs.
    """

    known: list[Resources]
    unconfirmed: list[Resources]


def _usage_by_workspace(
    shared: SchedulerState, workspaces: Set[WorkspaceId], now: Seconds
) -> dict[WorkspaceId, _Usage]:
    """Return what each run and each possible start takes, for the given workspaces."""
    usage_by_workspace = {workspace: _Usage([], []) for workspace in workspaces}
    for worker in shared.fleet.workers_by_life.values():
        for task, run in worker.runs_by_task.items():
            workspace = shared.workspace_of(task.job)
            if workspace in usage_by_workspace:
                known, unconfirmed = usage_by_workspace[workspace]
                (unconfirmed if run.phase is RunPhase.ADOPTED else known).append(run.needs)
        for ref, start in worker.possible_starts(now).items():
            workspace = shared.workspace_of(ref.task.job)
            if workspace in usage_by_workspace:
                usage_by_workspace[workspace].unconfirmed.append(start.needs)
    return usage_by_workspace


def _find_ending(
    shared: SchedulerState, workspaces: Set[WorkspaceId], now: Seconds
) -> dict[WorkspaceId, Resources]:
    """Return what the runs that are being stopped or end soon take, for the given workspaces."""
    ending: dict[WorkspaceId, list[Resources]] = {workspace: [] for workspace in workspaces}
    for run in shared.runs():
        workspace = shared.workspace_of(run.task.job)
        if workspace in ending and shared.is_freeing_resources(run, now):
            ending[workspace].append(run.needs)
    return {workspace: total_of((part, 1) for part in parts) for workspace, parts in ending.items()}


def _open_accounts(
    configuration_index: ConfigurationIndex | None,
) -> dict[WorkspaceId, CapAccount]:
    """Return an empty account of each workspace with a cap."""
    if configuration_index is None:
        return {}
    return {
        name: CapAccount(workspace.cap)
        for name, workspace in configuration_index.workspaces_by_name.items()
        if workspace.cap != NO_RESOURCES
    }


def withdraw_starts_over_cap(shared: SchedulerState, now: Seconds) -> None:
    """
    Withdraw the starts of workspaces that exceed a cap which has just come into force, and that
    were planned under an earlier cap and have not left yet.
    """
    ledger = build_cap_ledger(shared, frozenset(), now)
    queued = [run.task for run in shared.runs() if run.phase is RunPhase.QUEUED]
    for task in chain(shared.proposed_runs_by_task, queued):
        account = ledger.account_of(shared.workspace_of(task.job))
        if account is not None and not is_within(account.used, account.cap):
            shared.withdrawn_starts.add(task)


# Submissions and log lines.


def exceeds_cap(work: Work, cap: Resources) -> bool:
    """Return whether a gang or a single task of a job can never run under a cap."""
    return any(not is_within(_smallest_start(step), cap) for step in work.steps)


def _smallest_start(step: Step) -> Resources:
    """Return the resources that must be free at once for a step to make progress."""
    return step.needs.times(step.count if step.is_gang else 1)


class CapReporter:
    """Reports the workspaces whose work waits for their cap."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reported_at_by_workspace: dict[WorkspaceId, Seconds] = {}

    def report(
        self, held_back: Iterable[Demand], ledger: CapLedger, now: Seconds
    ) -> list[LogEvent]:
        """Return a log event for each workspace with waiting tasks, at most one each second."""
        waiting_by_workspace: dict[WorkspaceId, int] = {}
        for demand in held_back:
            if demand.workspace is not None:
                waiting = waiting_by_workspace.get(demand.workspace, 0)
                waiting_by_workspace[demand.workspace] = waiting + len(demand.task_indexes)
        events = []
        for workspace, task_count in waiting_by_workspace.items():
            account = ledger.account_of(workspace)
            reported_at = self._reported_at_by_workspace.get(workspace, -math.inf)
            if account is None or now - reported_at < CAP_LOG_INTERVAL:
                continue
            self._reported_at_by_workspace[workspace] = now
            events.append(_cap_reached(workspace, account, task_count))
        return events


def _cap_reached(workspace: WorkspaceId, account: CapAccount, task_count: int) -> LogEvent:
    return log_event(
        Event.CAP_REACHED,
        workspace=workspace,
        cpu=account.used.cpu,
        cpu_cap=account.cap.cpu,
        memory=account.used.memory,
        memory_cap=account.cap.memory,
        accelerators=account.used.accelerators,
        accelerators_cap=account.cap.accelerators,
        reserved_accelerators=account.reserved.accelerators,
        waiting_tasks=task_count,
    )
