"""
bulrushhollow_core.jobs._queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs in lanes of equal profiles, of which only the first job of each is ever considered: if
that one does not fit, the others don't either. Lanes are ordered by urgency, then by how long
their first job has waited for its size against the share its workspace already has.
"""

import heapq

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.models import Profile, Urgency

URGENCY_RANKS = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.OVERNIGHT: 2}
"""Smaller is more urgent."""

OVERNIGHT_PATIENCE = Seconds(12 * 3_600.0)
"""Overnight work that has waited longer is treated as normal."""

BLOCKED_RETRY_INTERVAL = Seconds(5.0)
"""A queue whose first job did not fit is tried again after this time, even without a release."""


class QueuedJob(msgspec.Struct, frozen=True, order=True):
    """A queued job, ordered by submission."""

    submitted: int
    job: JobId


class ProfileQueue(msgspec.Struct):
    """
    The queued jobs of one profile.

    :param heap: queued jobs; those that left the queue otherwise are dropped when they come up.
    :param blocked_at: number of the fleet's releases when the first job last did not fit.
    :param blocked_until: when to look again although nothing was released.
    :param search_after: when to look again for work that could be moved aside.
    """

    profile: Profile
    heap: list[QueuedJob] = []
    blocked_at: int = -1
    blocked_until: Seconds = Seconds(0.0)
    search_after: Seconds = Seconds(0.0)


class FairShares:
    """Accelerators that each workspace holds beyond its guarantees, and in all."""

    def __init__(self) -> None:
        self._held_by_workspace: dict[WorkspaceId, int] = {}
        self._borrowed_by_workspace: dict[WorkspaceId, int] = {}
        self._weights_by_workspace: dict[WorkspaceId, int] = {}
        self._all_weights = 1

    def configure(self, weights_by_workspace: dict[WorkspaceId, int]) -> None:
        """Take over the weights of all workspaces."""
        self._weights_by_workspace = weights_by_workspace
        self._all_weights = max(1, sum(weights_by_workspace.values()))

    def add(self, workspace: WorkspaceId, accelerators: int, borrowed: bool) -> None:
        """Add to what a workspace holds; a negative number takes away."""
        self._held_by_workspace[workspace] = self.accelerators_held(workspace) + accelerators
        if borrowed:
            before = self._borrowed_by_workspace.get(workspace, 0)
            self._borrowed_by_workspace[workspace] = before + accelerators

    def accelerators_held(self, workspace: WorkspaceId) -> int:
        """Return the accelerators that a workspace holds in all."""
        return self._held_by_workspace.get(workspace, 0)

    def share_ratio(self, workspace: WorkspaceId, capacity: int) -> float:
        """Return what a workspace holds beyond guarantees as a multiple of its fair share."""
        borrowed = self._borrowed_by_workspace.get(workspace, 0)
        weight = self._weights_by_workspace.get(workspace, 1)
        fair = max(1.0, capacity * weight / self._all_weights)
        return borrowed / fair


class JobQueue:
    """
    The queued jobs of one data centre.

    :param estimates: expected run times.
    :param shares: what workspaces hold.
    """

    def __init__(self, estimates: Estimates, shares: FairShares) -> None:
        self.records_by_job: dict[JobId, JobRecord] = {}
        self.queues_by_profile: dict[Profile, ProfileQueue] = {}
        self._since_by_job: dict[JobId, Seconds] = {}
        self._estimates = estimates
        self._shares = shares

    def put(self, record: JobRecord, now: Seconds) -> None:
        """Add a queued job, or take over its new record."""
        known = self.records_by_job.get(record.job)
        self.records_by_job[record.job] = record
        self._since_by_job.setdefault(record.job, now)
        if known is not None:
            return
        queue = self.queues_by_profile.setdefault(record.profile, ProfileQueue(record.profile, []))
        heapq.heappush(queue.heap, QueuedJob(record.submitted, record.job))
        queue.blocked_at = -1

    def remove(self, job: JobId) -> None:
        """Take a job out of the queue; its waiting time is remembered until it is forgotten."""
        self.records_by_job.pop(job, None)

    def forget(self, job: JobId) -> None:
        """Forget a job that will not come back."""
        self.records_by_job.pop(job, None)
        self._since_by_job.pop(job, None)

    def prune_and_peek(self, queue: ProfileQueue) -> JobRecord | None:
        """Return the first job of a queue, or None after dropping a queue that is empty."""
        while queue.heap:
            record = self.records_by_job.get(queue.heap[0].job)
            if record is not None and record.profile == queue.profile:
                return record
            heapq.heappop(queue.heap)
        self.queues_by_profile.pop(queue.profile, None)
        return None

    def peek(self, queue: ProfileQueue) -> JobRecord | None:
        """Return the first job of a queue without dropping anything."""
        return self.records_by_job.get(queue.heap[0].job) if queue.heap else None

    def waiting_time(self, job: JobId, now: Seconds) -> Seconds:
        """Return how long a job has been known."""
        return Seconds(now - self._since_by_job.get(job, now))

    def lengths_by_urgency(self) -> dict[Urgency, int]:
        """Return the number of queued jobs of each class."""
        lengths = dict.fromkeys(Urgency, 0)
        for record in self.records_by_job.values():
            lengths[record.profile.urgency] += 1
        return lengths

    def urgency_rank(self, record: JobRecord, now: Seconds) -> int:
        """Return the class of urgency that counts now."""
        rank = URGENCY_RANKS[record.profile.urgency]
        overdue = self.waiting_time(record.job, now) > OVERNIGHT_PATIENCE
        return min(rank, 1) if overdue else rank

    def sort_key(self, record: JobRecord, capacity: int, now: Seconds) -> tuple[int, float, int]:
        """
        Return the sort key of a job, smaller first.

        Among equals in urgency, it is the response ratio (waiting time over expected run time)
        that counts, lowered by what the workspace already holds beyond its fair share.
        """
        expected = self._estimates.expected(record.profile)
        ratio = (self.waiting_time(record.job, now) + expected) / expected
        excess = self._shares.share_ratio(record.profile.workspace, capacity)
        return (self.urgency_rank(record, now), -ratio / (1.0 + excess), record.submitted)
