"""
bulrushhollow_core.jobs._planner
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which queued job starts next and where.
"""

import heapq
from collections.abc import Callable

from bulrushhollow_core.ids import JobId, Seconds, WorkerId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._eviction import Eviction, EvictionFinder
from bulrushhollow_core.jobs._fleet import Fleet, Placement
from bulrushhollow_core.jobs._gangs import Gangs
from bulrushhollow_core.jobs._guarantees import GuaranteePlacements, GuaranteeSlotKey
from bulrushhollow_core.jobs._health import Health
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
from bulrushhollow_core.jobs._runs import Cause, Phase, Run, Standing
from bulrushhollow_core.jobs._views import SchedulerSettings
from bulrushhollow_core.models import Adjacency, Profile, Shape, Urgency, Workspace

WORTH_MOVING = 0.25
"""Work may be moved aside for a gang if that wastes at most this share of the gang's own work."""

MOST_AVOIDED = 4
"""A job avoids workers on which it failed only while they are at most one in this many."""

SEARCHES_PER_PASS = 1
"""Searches for work to move aside for gangs without a claim, in one pass through the queue."""

SMALLER = 0.5
"""Only jobs of at most this share of a gang's accelerators are moved aside for it."""


Misfit = tuple[Shape, Standing, frozenset[WorkerId]]
"""A shape for which no room was found in a pass, and the workers that were closed to it."""


class Planner:
    """
    The decisions of one data centre about its queue.

    :param gangs: carries the decisions out.
    """

    def __init__(
        self,
        fleet: Fleet,
        guarantees: GuaranteePlacements,
        gangs: Gangs,
        queue: JobQueue,
        shares: FairShares,
        estimates: Estimates,
        health: Health,
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
        self._finder = EvictionFinder(fleet, gangs.runs_by_job)
        self._reservations = Reservations(
            fleet, gangs.runs_by_job, estimates, settings.reservations
        )
        self._evictions_by_job: dict[JobId, int] = {}
        self._searches_left = SEARCHES_PER_PASS
        self._quotas: dict[str, int | None] = {}

    def configure(self, workspaces: list[Workspace]) -> None:
        """Take over the quotas of all workspaces."""
        self._quotas = {workspace.id: workspace.accelerator_quota for workspace in workspaces}

    def forget(self, job: JobId) -> None:
        """Forget a job that will not be started here again."""
        self._reservations.drop(job)
        self._gangs.forget(job)
        self._evictions_by_job.pop(job, None)

    def plan(self, now: Seconds) -> None:
        """Go through the queue once, the first job of each profile at a time."""
        self._probe_workers(now)
        self._searches_left = SEARCHES_PER_PASS
        heads: list[tuple[tuple[int, float, int], JobId, ProfileQueue]] = []
        for profile_queue in list(self._queue.queues_by_profile.values()):
            self._push_head(heads, profile_queue, now)
        heapq.heapify(heads)
        misfits: set[Misfit] = set()
        while heads:
            _, job, profile_queue = heapq.heappop(heads)
            record = self._queue.records_by_job[job]
            if self._start(record, misfits, now):
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
        record = self._queue.prune_and_peek(profile_queue)
        if record is None:
            return
        if (
            profile_queue.blocked_at == self._fleet.release_count
            and now < profile_queue.blocked_until
        ):
            return
        order = self._queue.sort_key(record, self._fleet.accelerators, now)
        push(heads, (order, record.job, profile_queue))

    def _start(self, record: JobRecord, misfits: set[Misfit], now: Seconds) -> bool:
        profile = record.profile
        if profile.guarantee is not None:
            slot = self._guarantees.claimable_slot(profile.workspace, profile.guarantee)
            if slot is not None and self._guarantees.placement_of(slot) is not None:
                return self._claim(record, slot, now)
        if self._is_over_quota(profile):
            return False
        if profile.idempotent or profile.checkpointable:
            return self._borrow(record, misfits, now)
        return self._start_firm(record, misfits, now)

    def _claim(self, record: JobRecord, slot: GuaranteeSlotKey, now: Seconds) -> bool:
        shape = record.profile.shape
        kept = self._guarantees.placement_of(slot)
        assert kept is not None
        free = self._find(shape, excluding(free_headroom(shape), self._failed_on(record)))
        if free is not None and self._guarantees.claim(slot, free):
            self._gangs.open(record, free, Standing.CLAIM, slot, now)
            return True
        cheapest = self._finder.cheapest(shape, _is_borrowed, now)
        at_kept = self._finder.eviction_at(kept, shape, _is_borrowed, now)
        better = at_kept is None or (cheapest is not None and cheapest.cost < at_kept.cost)
        if cheapest is not None and better and self._guarantees.claim(slot, cheapest.placement):
            self._open(record, cheapest, Standing.CLAIM, slot, now)
            return True
        if at_kept is None:
            return False
        self._guarantees.claim(slot, kept)
        self._open(record, at_kept, Standing.CLAIM, slot, now)
        return True

    def _start_firm(self, record: JobRecord, misfits: set[Misfit], now: Seconds) -> bool:
        shape = record.profile.shape
        if self._guarantees.has_unplaced_slots:
            return False
        closed = self._closed_to(record, now)
        misfit = (shape, Standing.FIRM, closed)
        place = None if misfit in misfits else self._find_firm(shape, closed)
        if place is not None and self._guarantees.admit(place, shape.per_task):
            self._gangs.open(record, place, Standing.FIRM, None, now)
            return True
        eviction = self._eviction_for(record, now)
        if eviction is not None and self._guarantees.admit(eviction.placement, shape.per_task):
            self._open(record, eviction, Standing.FIRM, None, now)
            return True
        misfits.add(misfit)
        self._reserve_if_starving(record, now)
        return False

    def _find_firm(self, shape: Shape, closed: frozenset[WorkerId]) -> Placement | None:
        """Find free room beside the kept places, or else free room with some in the way."""
        place = self._find(shape, excluding(non_preemptible_headroom(shape), closed))
        if place is None:
            place = self._find(shape, excluding(free_headroom(shape), closed))
        return place

    def _borrow(self, record: JobRecord, misfits: set[Misfit], now: Seconds) -> bool:
        shape = record.profile.shape
        closed = self._closed_to(record, now)
        misfit = (shape, Standing.BORROWED, closed)
        if misfit not in misfits:
            place = self._find(shape, excluding(free_headroom(shape), closed))
            if place is not None:
                self._gangs.open(record, place, Standing.BORROWED, None, now)
                return True
            misfits.add(misfit)
        eviction = self._eviction_for(record, now)
        if eviction is not None:
            self._open(record, eviction, Standing.BORROWED, None, now)
            return True
        self._reserve_if_starving(record, now)
        return False

    def _open(
        self,
        record: JobRecord,
        eviction: Eviction,
        standing: Standing,
        slot: GuaranteeSlotKey | None,
        now: Seconds,
    ) -> None:
        self._gangs.open(record, eviction.placement, standing, slot, now)
        for victim in sorted(eviction.victims):
            if standing is not Standing.CLAIM:
                moved = self._evictions_by_job.get(victim, 0)
                self._evictions_by_job[victim] = moved + 1
            self._gangs.evict(victim, Cause.PREEMPTED, now)

    def _eviction_for(self, record: JobRecord, now: Seconds) -> Eviction | None:
        """Return work to move aside for a job without a claim, if that is worth it."""
        profile = record.profile
        if profile.urgency is Urgency.URGENT:
            return self._finder.cheapest(profile.shape, self._less_urgent_than(profile), now)
        if not is_large(profile.shape):
            return None
        if self._queue.waiting_time(record.job, now) < self._settings.eviction_age:
            return None
        profile_queue = self._queue.queues_by_profile[profile]
        if self._searches_left <= 0 or now < profile_queue.search_after:
            return None
        self._searches_left -= 1
        profile_queue.search_after = Seconds(now + BLOCKED_RETRY_INTERVAL)
        eviction = self._finder.cheapest(profile.shape, self._movable_for(record, now), now)
        if eviction is None:
            return None
        size = profile.shape.tasks * profile.shape.per_task.accelerators
        worth = self._estimates.expected(profile) * size * WORTH_MOVING
        return eviction if eviction.waste <= worth else None

    def _less_urgent_than(self, profile: Profile) -> Callable[[Run], bool]:
        rank = URGENCY_RANKS[profile.urgency]
        return lambda run: (
            run.is_borrowed
            and run.is_safe_to_move
            and URGENCY_RANKS[run.record.profile.urgency] > rank
        )

    def _movable_for(self, record: JobRecord, now: Seconds) -> Callable[[Run], bool]:
        profile = record.profile
        rank = self._queue.urgency_rank(record, now)
        most = profile.shape.tasks * profile.shape.per_task.accelerators * SMALLER
        limit = self._settings.evictions_per_job
        reserved = self._reservations.has_reservation(record.job, now)

        def may_move_again(run: Run) -> bool:
            since = run.running_since
            settled = since is not None and now - since >= self._settings.settled_run
            return settled and self._evictions_by_job.get(run.job, 0) < limit

        def is_movable(run: Run) -> bool:
            return (
                run.is_borrowed
                and run.phase is Phase.RUNNING
                and run.is_safe_to_move
                and run.record.profile.checkpointable
                and run.accelerators <= most
                and URGENCY_RANKS[run.record.profile.urgency] >= rank
                and (reserved or may_move_again(run))
            )

        return is_movable

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

    def _closed_to(self, record: JobRecord, now: Seconds) -> frozenset[WorkerId]:
        expected = self._estimates.expected(record.profile)
        reserved = self._reservations.excluded_workers(record, expected, now)
        failed = self._failed_on(record)
        return reserved | failed if failed else reserved

    def _failed_on(self, record: JobRecord) -> frozenset[WorkerId]:
        """Return workers to avoid for a job, unless that would leave it too few."""
        failed = self._health.workers_failed_by(record.job)
        few = len(failed) * MOST_AVOIDED > len(self._fleet.workers_by_id)
        return NO_WORKERS if few else failed

    def _find(self, shape: Shape, room: Headroom) -> Placement | None:
        if shape.adjacency is Adjacency.WORKER or shape.tasks == 1:
            return find_free_worker(self._fleet, shape, room)
        return find_placement(self._fleet, shape, room)

    def _is_over_quota(self, profile: Profile) -> bool:
        quota = self._quotas.get(profile.workspace)
        if quota is None:
            return False
        size = profile.shape.tasks * profile.shape.per_task.accelerators
        return self._shares.accelerators_held(profile.workspace) + size > quota

    def _probe_workers(self, now: Seconds) -> None:
        """Give each worker on probation one small idempotent job."""
        for worker_id in self._health.on_probation:
            worker = self._fleet.workers_by_id.get(worker_id)
            if worker is None or not worker.ready or worker.tasks_by_job:
                continue
            record = self._probe_for(worker_id)
            if record is not None:
                self._queue.remove(record.job)
                place = (worker_id,) * record.profile.shape.tasks
                self._gangs.open(record, place, Standing.BORROWED, None, now)

    def _probe_for(self, worker: WorkerId) -> JobRecord | None:
        free = self._fleet.workers_by_id[worker].free
        for profile_queue in list(self._queue.queues_by_profile.values()):
            record = self._queue.prune_and_peek(profile_queue)
            if record is None or not record.profile.idempotent:
                continue
            if worker in self._health.workers_failed_by(record.job):
                continue
            shape = record.profile.shape
            if shape.adjacency is not Adjacency.WORKER and shape.tasks > 1:
                continue
            if free.fitting_tasks(shape.per_task) >= shape.tasks:
                return record
        return None


def is_large(shape: Shape) -> bool:
    """Return whether a gang needs more than one worker or a whole group of tasks at once."""
    return shape.tasks > 1 and shape.tasks * shape.per_task.accelerators > 1


def _is_borrowed(run: Run) -> bool:
    return run.is_borrowed
