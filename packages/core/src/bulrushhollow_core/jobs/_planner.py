"""
bulrushhollow_core.jobs._planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which queued job starts next and on which workers.
"""

import heapq
from collections.abc import Callable

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._eviction import Eviction, EvictionFinder
from bulrushhollow_core.jobs._fleet import Fleet, Placement
from bulrushhollow_core.jobs._gangs import GangController
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import WorkerHealth
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.jobs._packing import (
    NO_WORKERS,
    Headroom,
    excluding,
    find_free_worker,
    find_placement,
    free_headroom,
    non_preemptible_headroom,
)
from bulrushhollow_core.jobs._queue import (
    BLOCKED_RETRY_INTERVAL,
    URGENCY_RANKS,
    FairShares,
    JobQueue,
    ProfileQueue,
)
from bulrushhollow_core.jobs._reservations import Reservations
from bulrushhollow_core.jobs._runs import AllocationKind, Cause, Phase, Run
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Adjacency, Profile, Shape, Urgency, Workspace

MAX_WASTE_RATIO = 0.25
"""Largest share of a large gang's own expected work that preemption for it may waste."""

MIN_WORKERS_PER_AVOIDED = 4
"""A job avoids workers on which it failed only while at most one worker in this many is avoided."""

EVICTION_SEARCHES_PER_PASS = 1
"""Searches for jobs to preempt for large gangs without a claim, in one pass through the queue."""

MAX_VICTIM_RATIO = 0.5
"""Largest share of a large gang's accelerators that a job preempted for it may hold."""


FailedSearch = tuple[Shape, AllocationKind, frozenset[WorkerId]]
"""A search of one pass that found no placement: shape, allocation kind and excluded workers."""


class Planner:
    """
    Starts the queued jobs of one data centre.

    :param fleet: the workers of the data centre.
    :param gangs: carries out starts and preemptions.
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        gangs: GangController,
        queue: JobQueue,
        shares: FairShares,
        estimates: Estimates,
        health: WorkerHealth,
        settings: SchedulerSettings,
    ) -> None:
        self._fleet = fleet
        self._guarantees = guarantees
        self._gangs = gangs
        self._queue = queue
        self._shares = shares
        self._estimates = estimates
        self._health = health
        self._settings = settings
        self._eviction_finder = EvictionFinder(fleet, gangs.runs_by_job)
        self._reservations = Reservations(
            fleet, gangs.runs_by_job, estimates, settings.max_reservations
        )
        self._eviction_counts_by_job: dict[JobId, int] = {}
        self._eviction_searches_left = EVICTION_SEARCHES_PER_PASS
        self._quotas_by_workspace: dict[str, int | None] = {}

    def configure(self, workspaces: list[Workspace]) -> None:
        """Set the accelerator quotas of all workspaces."""
        self._quotas_by_workspace = {
            workspace.id: workspace.accelerator_quota for workspace in workspaces
        }

    def forget(self, job: JobId) -> None:
        """Remove all state of a job that will not be started here again."""
        self._reservations.drop(job)
        self._gangs.forget(job)
        self._eviction_counts_by_job.pop(job, None)

    def plan(self, now: Seconds) -> None:
        """Go through the queue once and start every job that fits, in the order of the sort key."""
        self._probe_workers(now)
        self._eviction_searches_left = EVICTION_SEARCHES_PER_PASS
        heads: list[tuple[tuple[int, float, int], JobId, ProfileQueue]] = []
        for profile_queue in list(self._queue.queues_by_profile.values()):
            self._push_head(heads, profile_queue, now)
        heapq.heapify(heads)
        failed_searches: set[FailedSearch] = set()
        while heads:
            _, job, profile_queue = heapq.heappop(heads)
            record = self._queue.records_by_job[job]
            if self._start(record, failed_searches, now):
                self._queue.remove(job)
                self._reservations.drop(job)
                self._push_head(heads, profile_queue, now, heapq.heappush)
            else:
                profile_queue.blocked_at = self._fleet.release_count
                profile_queue.blocked_until = Seconds(now + BLOCKED_RETRY_INTERVAL)

    def _push_head(
        self,
        heads: list[tuple[tuple[int, float, int], JobId, ProfileQueue]],
        profile_queue: ProfileQueue,
        now: Seconds,
        push: Callable[..., None] = lambda heads, item: heads.append(item),
    ) -> None:
        """Add the first job of a profile's queue, unless there is none or it is blocked."""
        record = self._queue.prune_and_peek(profile_queue)
        if record is None:
            return
        if (
            profile_queue.blocked_at == self._fleet.release_count
            and now < profile_queue.blocked_until
        ):
            return
        sort_key = self._queue.sort_key(record, self._fleet.accelerators, now)
        push(heads, (sort_key, record.job, profile_queue))

    def _start(self, record: JobRecord, failed_searches: set[FailedSearch], now: Seconds) -> bool:
        """Start a job if it fits now; return whether it was started."""
        profile = record.profile
        if profile.guarantee is not None:
            slot = self._guarantees.claimable_slot(profile.workspace, profile.guarantee)
            if slot is not None and self._guarantees.placement_of(slot) is not None:
                return self._start_claim(record, slot, now)
        if self._is_over_quota(profile):
            return False
        if profile.idempotent or profile.checkpointable:
            return self._start_preemptible(record, failed_searches, now)
        return self._start_non_preemptible(record, failed_searches, now)

    def _start_claim(self, record: JobRecord, slot: GuaranteeSlotKey, now: Seconds) -> bool:
        """
        Start a job on its guarantee: on free workers, else where preemption costs least, else at
        the placement reserved for the slot.
        """
        shape = record.profile.shape
        reserved = self._guarantees.placement_of(slot)
        assert reserved is not None
        free_placement = self._find_placement(
            shape, excluding(free_headroom(shape), self._avoided_workers(record))
        )
        if free_placement is not None and self._guarantees.claim(slot, free_placement):
            self._gangs.allocate(record, free_placement, AllocationKind.GUARANTEED, slot, now)
            return True
        cheapest = self._eviction_finder.cheapest(shape, _is_preemptible, now)
        at_reserved = self._eviction_finder.eviction_at(reserved, shape, _is_preemptible, now)
        is_cheaper = at_reserved is None or (
            cheapest is not None and cheapest.cost < at_reserved.cost
        )
        if cheapest is not None and is_cheaper and self._guarantees.claim(slot, cheapest.placement):
            self._start_with_eviction(record, cheapest, AllocationKind.GUARANTEED, slot, now)
            return True
        if at_reserved is None:
            return False
        self._guarantees.claim(slot, reserved)
        self._start_with_eviction(record, at_reserved, AllocationKind.GUARANTEED, slot, now)
        return True

    def _start_non_preemptible(
        self, record: JobRecord, failed_searches: set[FailedSearch], now: Seconds
    ) -> bool:
        shape = record.profile.shape
        if self._guarantees.has_unplaced_slots:
            return False
        excluded = self._excluded_workers(record, now)
        search = (shape, AllocationKind.NON_PREEMPTIBLE, excluded)
        placement = (
            None if search in failed_searches else self._find_non_preemptible(shape, excluded)
        )
        if placement is not None and self._guarantees.admit(placement, shape.per_task):
            self._gangs.allocate(record, placement, AllocationKind.NON_PREEMPTIBLE, None, now)
            return True
        eviction = self._eviction_for(record, now)
        if eviction is not None and self._guarantees.admit(eviction.placement, shape.per_task):
            self._start_with_eviction(record, eviction, AllocationKind.NON_PREEMPTIBLE, None, now)
            return True
        failed_searches.add(search)
        self._reserve_if_starving(record, now)
        return False

    def _find_non_preemptible(
        self, shape: Shape, excluded: frozenset[WorkerId]
    ) -> Placement | None:
        """Find free workers outside the placements reserved for guarantees, else any free ones."""
        placement = self._find_placement(
            shape, excluding(non_preemptible_headroom(shape), excluded)
        )
        if placement is None:
            placement = self._find_placement(shape, excluding(free_headroom(shape), excluded))
        return placement

    def _start_preemptible(
        self, record: JobRecord, failed_searches: set[FailedSearch], now: Seconds
    ) -> bool:
        shape = record.profile.shape
        excluded = self._excluded_workers(record, now)
        search = (shape, AllocationKind.PREEMPTIBLE, excluded)
        if search not in failed_searches:
            placement = self._find_placement(shape, excluding(free_headroom(shape), excluded))
            if placement is not None:
                self._gangs.allocate(record, placement, AllocationKind.PREEMPTIBLE, None, now)
                return True
            failed_searches.add(search)
        eviction = self._eviction_for(record, now)
        if eviction is not None:
            self._start_with_eviction(record, eviction, AllocationKind.PREEMPTIBLE, None, now)
            return True
        self._reserve_if_starving(record, now)
        return False

    def _start_with_eviction(
        self,
        record: JobRecord,
        eviction: Eviction,
        allocation: AllocationKind,
        slot: GuaranteeSlotKey | None,
        now: Seconds,
    ) -> None:
        self._gangs.allocate(record, eviction.placement, allocation, slot, now)
        for victim in sorted(eviction.victims):
            if allocation is not AllocationKind.GUARANTEED:
                count = self._eviction_counts_by_job.get(victim, 0)
                self._eviction_counts_by_job[victim] = count + 1
            self._gangs.evict(victim, Cause.PREEMPTED, now)

    def _eviction_for(self, record: JobRecord, now: Seconds) -> Eviction | None:
        """Return the jobs to preempt for a job without a claim, or None if it should wait."""
        profile = record.profile
        if profile.urgency is Urgency.URGENT:
            return self._eviction_finder.cheapest(
                profile.shape, self._is_less_urgent_than(profile), now
            )
        if not is_large(profile.shape):
            return None
        if self._queue.waiting_time(record.job, now) < self._settings.eviction_age:
            return None
        profile_queue = self._queue.queues_by_profile[profile]
        if self._eviction_searches_left <= 0 or now < profile_queue.search_after:
            return None
        self._eviction_searches_left -= 1
        profile_queue.search_after = Seconds(now + BLOCKED_RETRY_INTERVAL)
        eviction = self._eviction_finder.cheapest(
            profile.shape, self._is_victim_for(record, now), now
        )
        if eviction is None:
            return None
        gang_accelerators = profile.shape.tasks * profile.shape.per_task.accelerators
        max_waste = self._estimates.expected(profile) * gang_accelerators * MAX_WASTE_RATIO
        return eviction if eviction.waste <= max_waste else None

    def _is_less_urgent_than(self, profile: Profile) -> Callable[[Run], bool]:
        """Return a predicate for the runs that an urgent job may preempt."""
        rank = URGENCY_RANKS[profile.urgency]
        return lambda run: (
            run.is_preemptible
            and run.is_safe_to_preempt
            and URGENCY_RANKS[run.record.profile.urgency] > rank
        )

    def _is_victim_for(self, record: JobRecord, now: Seconds) -> Callable[[Run], bool]:
        """Return a predicate for the runs that a large gang may preempt."""
        profile = record.profile
        rank = self._queue.urgency_rank(record, now)
        max_accelerators = (
            profile.shape.tasks * profile.shape.per_task.accelerators * MAX_VICTIM_RATIO
        )
        max_evictions = self._settings.max_evictions_per_job
        has_reservation = self._reservations.has_reservation(record.job, now)

        def can_be_evicted_again(run: Run) -> bool:
            since = run.running_since
            has_settled = (
                since is not None and now - since >= self._settings.min_run_before_eviction
            )
            return has_settled and self._eviction_counts_by_job.get(run.job, 0) < max_evictions

        def is_victim(run: Run) -> bool:
            return (
                run.is_preemptible
                and run.phase is Phase.RUNNING
                and run.is_safe_to_preempt
                and run.record.profile.checkpointable
                and run.accelerators <= max_accelerators
                and URGENCY_RANKS[run.record.profile.urgency] >= rank
                and (has_reservation or can_be_evicted_again(run))
            )

        return is_victim

    def _reserve_if_starving(self, record: JobRecord, now: Seconds) -> None:
        if not is_large(record.profile.shape) or self._reservations.has_reservation(
            record.job, now
        ):
            return
        if self._queue.waiting_time(record.job, now) < self._settings.starvation_age:
            return
        self._reservations.drop(record.job)
        if self._reservations.can_reserve:
            self._reservations.reserve(record, now)

    def _excluded_workers(self, record: JobRecord, now: Seconds) -> frozenset[WorkerId]:
        """Return the workers on which a job without a claim must not be started."""
        expected = self._estimates.expected(record.profile)
        reserved = self._reservations.excluded_workers(record, expected, now)
        avoided = self._avoided_workers(record)
        return reserved | avoided if avoided else reserved

    def _avoided_workers(self, record: JobRecord) -> frozenset[WorkerId]:
        """Return the workers on which a job has failed, or none if these are too many to avoid."""
        failed = self._health.workers_failed_by(record.job)
        too_many = len(failed) * MIN_WORKERS_PER_AVOIDED > len(self._fleet.workers_by_id)
        return NO_WORKERS if too_many else failed

    def _find_placement(self, shape: Shape, headroom: Headroom) -> Placement | None:
        if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
            return find_free_worker(self._fleet, shape, headroom)
        return find_placement(self._fleet, shape, headroom)

    def _is_over_quota(self, profile: Profile) -> bool:
        quota = self._quotas_by_workspace.get(profile.workspace)
        if quota is None:
            return False
        needed = profile.shape.tasks * profile.shape.per_task.accelerators
        return self._shares.accelerators_held(profile.workspace) + needed > quota

    def _probe_workers(self, now: Seconds) -> None:
        """Start one idempotent job on each idle worker on probation, to test whether it works."""
        for worker_id in self._health.workers_on_probation:
            worker = self._fleet.workers_by_id.get(worker_id)
            if worker is None or not worker.ready or worker.tasks_by_job:
                continue
            record = self._find_probe(worker_id)
            if record is not None:
                self._queue.remove(record.job)
                placement = (worker_id,) * record.profile.shape.tasks
                self._gangs.allocate(record, placement, AllocationKind.PREEMPTIBLE, None, now)

    def _find_probe(self, worker_id: WorkerId) -> JobRecord | None:
        """Return a queued idempotent job that fits on one worker and has not failed there."""
        free = self._fleet.workers_by_id[worker_id].free
        for profile_queue in list(self._queue.queues_by_profile.values()):
            record = self._queue.prune_and_peek(profile_queue)
            if record is None or not record.profile.idempotent:
                continue
            if worker_id in self._health.workers_failed_by(record.job):
                continue
            shape = record.profile.shape
            if shape.adjacency is not Adjacency.WORKER and shape.tasks > 1:
                continue
            if free.fitting_tasks(shape.per_task) >= shape.tasks:
                return record
        return None


def is_large(shape: Shape) -> bool:
    """Return whether a gang has several tasks that need more than one accelerator in total."""
    return shape.tasks > 1 and shape.tasks * shape.per_task.accelerators > 1


def _is_preemptible(run: Run) -> bool:
    return run.is_preemptible
