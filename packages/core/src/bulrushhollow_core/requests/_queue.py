"""
bulrushhollow_core.requests._queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bounded queue of one service. The most urgent class is served first; within a class, weighted fair
queueing between workspaces; within a workspace, the earliest deadline first.
"""

import bisect
from collections.abc import Callable

import msgspec

from bulrushhollow_core.ids import RequestId, Seconds, WorkspaceId
from bulrushhollow_core.models import Urgency

URGENCIES = tuple(Urgency)
"""Classes of urgency, most urgent first."""


class QueuedRequest(msgspec.Struct, frozen=True):
    """
    A request in the queue.

    :param size: bytes of its body.
    :param weight: weight of its workspace.
    :param cost: expected seconds that it uses a slot.
    """

    request_id: RequestId
    workspace: WorkspaceId
    urgency: Urgency
    deadline: Seconds
    size: int
    weight: int = 1
    cost: Seconds = Seconds(1.0)


class _WorkspaceQueue:
    """Requests of one workspace in one class of urgency, by deadline."""

    def __init__(self, virtual_time: float) -> None:
        self.virtual_time = virtual_time
        self.weight = 1
        self.requests: list[tuple[Seconds, RequestId, QueuedRequest]] = []

    def cost(self) -> float:
        """Return the expected slot seconds of all its requests."""
        return sum(request.cost for _, _, request in self.requests)

    def remove(self, request: QueuedRequest) -> None:
        """Remove one request."""
        entry = (request.deadline, request.request_id)
        position = bisect.bisect_left(self.requests, entry, key=lambda other: other[:2])
        del self.requests[position]


class FairQueue:
    """
    The queue of one service.

    :param max_requests: maximum number of requests.
    :param max_bytes: maximum total bytes of their bodies.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._bytes = 0
        self._by_id: dict[RequestId, QueuedRequest] = {}
        self._queues_by_urgency: dict[Urgency, dict[WorkspaceId, _WorkspaceQueue]] = {
            urgency: {} for urgency in URGENCIES
        }
        self._virtual_time = dict.fromkeys(URGENCIES, 0.0)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._by_id

    def push(self, request: QueuedRequest) -> None:
        """Add a request without a check of the limits; see :meth:`select_evictions`."""
        queues = self._queues_by_urgency[request.urgency]
        queue = queues.get(request.workspace)
        if queue is None:
            queue = queues[request.workspace] = _WorkspaceQueue(self._virtual_time[request.urgency])
        queue.weight = request.weight
        bisect.insort(queue.requests, (request.deadline, request.request_id, request))
        self._by_id[request.request_id] = request
        self._bytes += request.size

    def pop(self, accepts: Callable[[QueuedRequest], bool]) -> QueuedRequest | None:
        """
        Remove and return the next request.

        :param accepts: returns whether a request can be started now. If not, the next workspace is
            tried, but no later request of the same workspace and class.
        :return: the request, or None if none can be started.
        """
        for urgency in URGENCIES:
            queues = sorted(
                self._queues_by_urgency[urgency].values(), key=lambda queue: queue.virtual_time
            )
            for queue in queues:
                _, _, request = queue.requests[0]
                if accepts(request):
                    self._virtual_time[urgency] = queue.virtual_time
                    queue.virtual_time += request.cost / queue.weight
                    self.remove(request.request_id)
                    return request
        return None

    def remove(self, request_id: RequestId) -> QueuedRequest | None:
        """Remove one request and return it, or None if it is not queued."""
        request = self._by_id.pop(request_id, None)
        if request is None:
            return None
        queues = self._queues_by_urgency[request.urgency]
        queues[request.workspace].remove(request)
        if not queues[request.workspace].requests:
            queue = queues.pop(request.workspace)
            self._virtual_time[request.urgency] = max(
                self._virtual_time[request.urgency], queue.virtual_time
            )
        self._bytes -= request.size
        return request

    def select_evictions(self, arrival: QueuedRequest) -> list[QueuedRequest] | None:
        """
        Select the requests to evict for an arrival: less urgent ones first, then those of a
        workspace that has more than its share of the queue.

        :return: the requests to evict, or None if the arrival itself must be refused.
        """
        evicted: list[QueuedRequest] = []
        if arrival.size > self._max_bytes:
            return None
        while self._exceeds_limits(arrival, evicted):
            victim = self._select_victim(arrival, {request.request_id for request in evicted})
            if victim is None:
                return None
            evicted.append(victim)
        return evicted

    def cost(self) -> float:
        """Return the expected slot seconds of all queued requests."""
        return sum(
            queue.cost() for queues in self._queues_by_urgency.values() for queue in queues.values()
        )

    def cost_ahead(self, arrival: QueuedRequest) -> float:
        """Return the expected slot seconds that are served before an arrival."""
        more_urgent = URGENCIES[: URGENCIES.index(arrival.urgency)]
        ahead = sum(
            queue.cost()
            for urgency in more_urgent
            for queue in self._queues_by_urgency[urgency].values()
        )
        peers = self._queues_by_urgency[arrival.urgency]
        own_queue = peers.get(arrival.workspace)
        own_cost = 0.0 if own_queue is None else _cost_before(own_queue, arrival.deadline)
        round_share = (own_cost + arrival.cost) / arrival.weight
        others = sum(
            min(queue.cost(), round_share * queue.weight)
            for workspace, queue in peers.items()
            if workspace != arrival.workspace
        )
        return ahead + own_cost + others

    def _exceeds_limits(self, arrival: QueuedRequest, evicted: list[QueuedRequest]) -> bool:
        size = self._bytes - sum(request.size for request in evicted) + arrival.size
        return len(self) - len(evicted) >= self._max_requests or size > self._max_bytes

    def _select_victim(
        self, arrival: QueuedRequest, evicted_ids: set[RequestId]
    ) -> QueuedRequest | None:
        for urgency in reversed(URGENCIES):
            queues = self._queues_by_urgency[urgency]
            remaining_by_workspace = {
                workspace: [
                    request
                    for _, _, request in queue.requests
                    if request.request_id not in evicted_ids
                ]
                for workspace, queue in queues.items()
            }
            largest = max(
                (workspace for workspace, remaining in remaining_by_workspace.items() if remaining),
                key=lambda workspace: len(remaining_by_workspace[workspace])
                / queues[workspace].weight,
                default=None,
            )
            if urgency is arrival.urgency:
                if largest is None or largest == arrival.workspace:
                    return None
                own_count = len(remaining_by_workspace.get(arrival.workspace, ())) + 1
                share = len(remaining_by_workspace[largest]) / queues[largest].weight
                return (
                    remaining_by_workspace[largest][-1]
                    if share > own_count / arrival.weight
                    else None
                )
            if largest is not None:
                return remaining_by_workspace[largest][-1]
        return None


def _cost_before(queue: _WorkspaceQueue, deadline: Seconds) -> float:
    return sum(request.cost for due, _, request in queue.requests if due <= deadline)
