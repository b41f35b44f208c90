"""
bulrushhollow_core.domain.placement._advice_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Requests advice on the workers that have room for the steps of one plan.
"""

import itertools
from collections.abc import Sequence

from bulrushhollow_core.domain.execution import AdviceCache, AdviceRequest, Candidate
from bulrushhollow_core.domain.fleet import Host, slots_in
from bulrushhollow_core.domain.model import ServiceName, Step, StepRef
from bulrushhollow_core.domain.placement._demands import Demand
from bulrushhollow_core.domain.placement._groups import can_ever_hold, can_hold
from bulrushhollow_core.domain.placement._plan import Plan
from bulrushhollow_core.domain.placement._planner import MAX_GANG_RESERVATIONS
from bulrushhollow_core.ids import Seconds


class AdviceRequester:
    """
    Requests advice while one plan is made.

    :param hosts: workers that may get new work.
    """

    def __init__(self, advice: AdviceCache, hosts: Sequence[Host], now: Seconds) -> None:
        """Sort the hosts: the emptiest are asked about first."""
        self._advice = advice
        self._hosts = sorted(hosts, key=lambda host: -host.free.accelerators)
        self._now = now
        self._eligible_by_kind: dict[tuple[ServiceName, str], list[tuple[Host, Candidate]]] = {}

    def request_for(self, demand: Demand) -> Demand:
        """Return a demand, and request advice on workers with room for it if it needs any."""
        if demand.limits.allowed_workers is None:
            return demand
        step, count = demand.step, len(demand.task_indexes)
        skipped = self._advice.denied_workers(demand.ref) | demand.limits.excluded_workers
        if step.max_per_worker:
            skipped |= {
                life
                for life, placed in demand.placed_by_worker.items()
                if placed >= step.max_per_worker
            }
        permitted = self._advice.permitted_workers(demand.ref)
        fitting = [
            (host, candidate)
            for host, candidate in self._eligible(demand.service, step)
            if host.life not in skipped and step.needs.fits(host.free)
        ]
        candidates = [
            _count_slots(demand, host) if host.life in permitted else candidate
            for host, candidate in fitting
        ]
        hosts = [host for host, _ in fitting]
        has_room = can_hold(demand, hosts, False) if step.is_gang else bool(hosts)
        may_evict = demand.standing.urgency == 0 and demand.standing.may_evict
        request = AdviceRequest(candidates, count, step.is_gang, has_room or may_evict, may_evict)
        self._advice.request(demand.ref, request, self._now)
        return demand

    def request_for_later(self, ref: StepRef, service: ServiceName, step: Step) -> None:
        """Request advice on a step that waits for others, unless any worker is permitted."""
        if self._advice.permitted_workers(ref):
            return
        denied = self._advice.denied_workers(ref)
        candidates = [
            candidate
            for host, candidate in self._eligible(service, step)
            if host.life not in denied and step.needs.fits(host.free)
        ]
        request = AdviceRequest(candidates, step.count, step.is_gang, is_startable=False)
        self._advice.request(ref, request, self._now)

    def _eligible(self, service: ServiceName, step: Step) -> list[tuple[Host, Candidate]]:
        """Return the hosts that may run a step, each as a candidate for one task."""
        kind = (service, step.required_label)
        if kind not in self._eligible_by_kind:
            self._eligible_by_kind[kind] = [
                (host, Candidate(host.life, 1)) for host in self._hosts if host.can_run(*kind)
            ]
        return self._eligible_by_kind[kind]


def _count_slots(demand: Demand, host: Host) -> Candidate:
    """Return a host that is permitted, with its room for tasks of a demand."""
    slots = slots_in(host.free, demand.step.needs, demand.max_tasks_on(host))
    is_in_rack = demand.step.is_gang and demand.step.same_rack
    return Candidate(host.life, slots, host.rack if is_in_rack else "")


def narrow_requests(advice: AdviceCache, plan: Plan, hosts: Sequence[Host]) -> None:
    """Drop the requests for steps that a plan has placed, and put off those held back."""
    if not advice.has_requests:
        return
    blocked = {demand.ref for demand in plan.blocked}
    held_back = {demand.ref for demand in plan.held_back}
    gangs = (
        demand.ref
        for demand in plan.blocked
        if demand.step.is_gang and can_ever_hold(demand, hosts)
    )
    reserving = set(itertools.islice(gangs, MAX_GANG_RESERVATIONS))
    advice.narrow_requests(blocked | held_back, held_back - blocked, reserving)
