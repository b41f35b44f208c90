"""
bulrushhollow_core.requests._queue
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The bounded queue of one service: the most urgent class first, within a class fair between
workspaces by weight, within a workspace the earliest deadline first.
"""

import bisect
from collections.abc import Callable

import msgspec

from bulrushhollow_core.ids import RequestId, Seconds, WorkspaceId
from bulrushhollow_core.models import Urgency

URGENCIES = tuple(Urgency)
"""Classes of urgency, most urgent first."""


class Waiting(msgspec.Struct, frozen=True):
    """
    A request in the queue.

    :param weight: weight of its workspace.
    :param cost: seconds that it is expected to take a slot.
    """

    request_id: RequestId
    workspace: WorkspaceId
    urgency: Urgency
    deadline: Seconds
    size: int
    weight: int = 1
    cost: Seconds = Seconds(1.0)


class _Line:
    """Requests of one workspace in one class."""

    def __init__(self, start: float) -> None:
        self.served = start
        self.weight = 1
        self.waiting: list[tuple[Seconds, RequestId, Waiting]] = []

    def cost(self) -> float:
        """Return the slot seconds that its requests are expected to take."""
        return sum(waiting.cost for _, _, waiting in self.waiting)

    def remove(self, waiting: Waiting) -> None:
        """Take one request out."""
        entry = (waiting.deadline, waiting.request_id)
        place = bisect.bisect_left(self.waiting, entry, key=lambda other: other[:2])
        del self.waiting[place]


class FairQueue:
    """
    The queue of one service.

    :param max_requests: bound on the number of requests.
    :param max_bytes: bound on the sum of their bodies' sizes.
    """

    def __init__(self, max_requests: int, max_bytes: int) -> None:
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._bytes = 0
        self._by_id: dict[RequestId, Waiting] = {}
        self._lines: dict[Urgency, dict[WorkspaceId, _Line]] = {
            urgency: {} for urgency in URGENCIES
        }
        self._virtual_time = dict.fromkeys(URGENCIES, 0.0)

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._by_id

    def push(self, waiting: Waiting) -> None:
        """Add a request, whether or not there is room; see :meth:`make_room`."""
        lines = self._lines[waiting.urgency]
        line = lines.get(waiting.workspace)
        if line is None:
            line = lines[waiting.workspace] = _Line(self._virtual_time[waiting.urgency])
        line.weight = waiting.weight
        bisect.insort(line.waiting, (waiting.deadline, waiting.request_id, waiting))
        self._by_id[waiting.request_id] = waiting
        self._bytes += waiting.size

    def pop(self, accepts: Callable[[Waiting], bool]) -> Waiting | None:
        """
        Take out the request whose turn it is.

        :param accepts: whether a request can be started now; one that can't is passed over, but
            nothing behind it in its own line is started before it.
        """
        for urgency in URGENCIES:
            lines = sorted(self._lines[urgency].values(), key=lambda line: line.served)
            for line in lines:
                _, _, waiting = line.waiting[0]
                if accepts(waiting):
                    self._virtual_time[urgency] = line.served
                    line.served += waiting.cost / line.weight
                    self.remove(waiting.request_id)
                    return waiting
        return None

    def remove(self, request_id: RequestId) -> Waiting | None:
        """Take out one request, if it is there."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        lines = self._lines[waiting.urgency]
        lines[waiting.workspace].remove(waiting)
        if not lines[waiting.workspace].waiting:
            line = lines.pop(waiting.workspace)
            self._virtual_time[waiting.urgency] = max(
                self._virtual_time[waiting.urgency], line.served
            )
        self._bytes -= waiting.size
        return waiting

    def make_room(self, arrival: Waiting) -> list[Waiting] | None:
        """
        Choose what gives way to an arrival: less urgent requests, then requests of a workspace
        that has more than its share of the queue.

        :return: the requests to remove, or None if the arrival itself is to be refused.
        """
        evicted: list[Waiting] = []
        if arrival.size > self._max_bytes:
            return None
        while self._lacks_room(arrival, evicted):
            victim = self._victim(arrival, {waiting.request_id for waiting in evicted})
            if victim is None:
                return None
            evicted.append(victim)
        return evicted

    def cost(self) -> float:
        """Return the slot seconds that all queued requests are expected to take."""
        return sum(line.cost() for lines in self._lines.values() for line in lines.values())

    def cost_ahead(self, arrival: Waiting) -> float:
        """Return the slot seconds that are expected to be served before an arrival."""
        more_urgent = URGENCIES[: URGENCIES.index(arrival.urgency)]
        ahead = sum(
            line.cost() for urgency in more_urgent for line in self._lines[urgency].values()
        )
        peers = self._lines[arrival.urgency]
        own = peers.get(arrival.workspace)
        own_cost = 0.0 if own is None else _cost_before(own, arrival.deadline)
        round_share = (own_cost + arrival.cost) / arrival.weight
        others = sum(
            min(line.cost(), round_share * line.weight)
            for workspace, line in peers.items()
            if workspace != arrival.workspace
        )
        return ahead + own_cost + others

    def _lacks_room(self, arrival: Waiting, evicted: list[Waiting]) -> bool:
        size = self._bytes - sum(waiting.size for waiting in evicted) + arrival.size
        return len(self) - len(evicted) >= self._max_requests or size > self._max_bytes

    def _victim(self, arrival: Waiting, spared: set[RequestId]) -> Waiting | None:
        for urgency in reversed(URGENCIES):
            lines = self._lines[urgency]
            left_by_workspace = {
                workspace: [
                    waiting for _, _, waiting in line.waiting if waiting.request_id not in spared
                ]
                for workspace, line in lines.items()
            }
            largest = max(
                (workspace for workspace, left in left_by_workspace.items() if left),
                key=lambda workspace: len(left_by_workspace[workspace]) / lines[workspace].weight,
                default=None,
            )
            if urgency is arrival.urgency:
                if largest is None or largest == arrival.workspace:
                    return None
                own = len(left_by_workspace.get(arrival.workspace, ())) + 1
                share = len(left_by_workspace[largest]) / lines[largest].weight
                return left_by_workspace[largest][-1] if share > own / arrival.weight else None
            if largest is not None:
                return left_by_workspace[largest][-1]
        return None


def _cost_before(line: _Line, deadline: Seconds) -> float:
    return sum(waiting.cost for due, _, waiting in line.waiting if due <= deadline)
