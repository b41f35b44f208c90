"""
bulrushhollow_core.jobs._queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The queued jobs of a data centre, one queue for each profile. Only the first job of each queue is
considered: if it does not fit, no later job of the queue fits either. The queues are ordered by
urgency, then by the response ratio of their first job, weighted by the share of its workspace.
"""

import heapq

import msgspec

from bulrushhollow_core.ids import JobId, Seconds, WorkspaceId
from bulrushhollow_core.jobs._estimates import Estimates
from bulrushhollow_core.jobs._ledger import JobRecord
from bulrushhollow_core.models import Profile, Urgency

URGENCY_RANKS = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.OVERNIGHT: 2}
"""Smaller is more urgent."""

OVERNIGHT_AGING_TIME = Seconds(12 * 3_600.0)
"""Seconds of waiting after which an overnight job counts as normal."""

BLOCKED_RETRY_INTERVAL = Seconds(5.0)
"""Seconds for which a queue whose first job did not fit is skipped unless capacity is released."""


class QueuedJob(msgspec.Struct, frozen=True, order=True):
    """An entry of a queue, ordered by submission."""

    submitted: int
    job: JobId


class ProfileQueue(msgspec.Struct):
    """
    The queued jobs of one profile.

    :param heap: queued jobs; jobs that have left the queue are removed once they come first.
    :param blocked_at: the fleet's release count when the first job last did not fit.
    :param blocked_until: when to try the first job again although nothing was released.
    :param search_after: when to search again for work to preempt.
    """

    profile: Profile
    heap: list[QueuedJob] = []
    blocked_at: int = -1
    blocked_until: Seconds = Seconds(0.0)
    search_after: Seconds = Seconds(0.0)


class FairShares:
    """Accelerators that each workspace holds, in total and beyond its guarantees."""

    def __init__(self) -> None:
        self._held_by_workspace: dict[WorkspaceId, int] = {}
        self._borrowed_by_workspace: dict[WorkspaceId, int] = {}
        self._weights_by_workspace: dict[WorkspaceId, int] = {}
        self._total_weight = 1

    def configure(self, weights_by_workspace: dict[WorkspaceId, int]) -> None:
        """Set the weights of all workspaces."""
        self._weights_by_workspace = weights_by_workspace
        self._total_weight = max(1, sum(weights_by_workspace.values()))

    def add(self, workspace: WorkspaceId, accelerators: int, borrowed: bool) -> None:
        """
        Add accelerators to what a workspace holds; a negative number subtracts them.

        :param borrowed: whether the workspace holds them beyond its guarantees.
        """
        self._held_by_workspace[workspace] = self.accelerators_held(workspace) + accelerators
        if borrowed:
            previous = self._borrowed_by_workspace.get(workspace, 0)
            self._borrowed_by_workspace[workspace] = previous + accelerators

    def accelerators_held(self, workspace: WorkspaceId) -> int:
        """Return the accelerators that a workspace holds in total."""
        return self._held_by_workspace.get(workspace, 0)

    def share_ratio(self, workspace: WorkspaceId, capacity: int) -> float:
        """Return what a workspace holds beyond its guarantees, as a multiple of its fair share."""
        borrowed = self._borrowed_by_workspace.get(workspace, 0)
        weight = self._weights_by_workspace.get(workspace, 1)
        fair_share = max(1.0, capacity * weight / self._total_weight)
        return borrowed / fair_share


class JobQueue:
    """
    The queued jobs of one data centre.

    :param estimates: expected run times.
    :param shares: accelerators that the workspaces hold.
    """

    def __init__(self, estimates: Estimates, shares: FairShares) -> None:
        self.records_by_job: dict[JobId, JobRecord] = {}
        self.queues_by_profile: dict[Profile, ProfileQueue] = {}
        self._queued_since_by_job: dict[JobId, Seconds] = {}
        self._estimates = estimates
        self._shares = shares

    def put(self, record: JobRecord, now: Seconds) -> None:
        """Add a queued job, or replace its record."""
        previous = self.records_by_job.get(record.job)
        self.records_by_job[record.job] = record
        self._queued_since_by_job.setdefault(record.job, now)
        if previous is not None:
            return
        queue = self.queues_by_profile.setdefault(record.profile, ProfileQueue(record.profile, []))
        heapq.heappush(queue.heap, QueuedJob(record.submitted, record.job))
        queue.blocked_at = -1

    def remove(self, job: JobId) -> None:
        """Remove a job from the queue; its waiting time is kept until :meth:`forget`."""
        self.records_by_job.pop(job, None)

    def forget(self, job: JobId) -> None:
        """Remove a job that will not be queued again, with its waiting time."""
        self.records_by_job.pop(job, None)
        self._queued_since_by_job.pop(job, None)

    def prune_and_peek(self, queue: ProfileQueue) -> JobRecord | None:
        """
        Return the first job of a queue after removing the entries that are no longer queued.

        :return: None if the queue is empty; it is then removed.
        """
        while queue.heap:
            record = self.records_by_job.get(queue.heap[0].job)
            if record is not None and record.profile == queue.profile:
                return record
            heapq.heappop(queue.heap)
        self.queues_by_profile.pop(queue.profile, None)
        return None

    def peek(self, queue: ProfileQueue) -> JobRecord | None:
        """Return the first job of a queue, None if it is no longer queued; remove nothing."""
        return self.records_by_job.get(queue.heap[0].job) if queue.heap else None

    def waiting_time(self, job: JobId, now: Seconds) -> Seconds:
        """Return the time since a job was first queued here, 0 if it never was."""
        return Seconds(now - self._queued_since_by_job.get(job, now))

    def lengths_by_urgency(self) -> dict[Urgency, int]:
        """Return the number of queued jobs of each class of urgency."""
        lengths = dict.fromkeys(Urgency, 0)
        for record in self.records_by_job.values():
            lengths[record.profile.urgency] += 1
        return lengths

    def urgency_rank(self, record: JobRecord, now: Seconds) -> int:
        """Return the urgency rank of a job, which rises for an overnight job that waited long."""
        rank = URGENCY_RANKS[record.profile.urgency]
        has_aged = self.waiting_time(record.job, now) > OVERNIGHT_AGING_TIME
        return min(rank, 1) if has_aged else rank

    def sort_key(self, record: JobRecord, capacity: int, now: Seconds) -> tuple[int, float, int]:
        """
        Return the sort key of a job; the smallest starts first.

        Jobs of equal urgency are ordered by their response ratio, which is waiting time plus
        expected run time over expected run time. It is lowered by the accelerators that the
        workspace already holds beyond its guarantees.

        :param capacity: usable accelerators of the data centre, which the fair shares divide.
        """
        expected = self._estimates.expected(record.profile)
        response_ratio = (self.waiting_time(record.job, now) + expected) / expected
        share_ratio = self._shares.share_ratio(record.profile.workspace, capacity)
        return (
            self.urgency_rank(record, now),
            -response_ratio / (1.0 + share_ratio),
            record.submitted,
        )
