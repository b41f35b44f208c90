"""
bulrushhollow_core.requests._admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Admission control: a request is refused if its profile does not exist, if its queue is full, or if
the work ahead of it would make it miss its deadline.
"""

import msgspec

from bulrushhollow_core.ids import DataCentreId, Seconds
from bulrushhollow_core.models import Configuration, Profile, WorkKind
from bulrushhollow_core.outcomes import Reason, Refusal
from bulrushhollow_core.requests._choice import TargetSelector
from bulrushhollow_core.requests._directory import EndpointDirectory
from bulrushhollow_core.requests._estimates import ServiceTimes, SlotLoad
from bulrushhollow_core.requests._messages import Arrival
from bulrushhollow_core.requests._pending import PendingRequest
from bulrushhollow_core.requests._queue import FairQueue, QueuedRequest

NO_ENDPOINT_RETRY_AFTER = Seconds(1.0)
"""Seconds to retry after when no endpoint is known; endpoints announce themselves this often."""

MIN_RETRY_AFTER = Seconds(0.1)
"""Minimum seconds to retry after."""

WAIT_MARGIN = 1.2
"""Factor on the expected wait, so that few admitted requests time out in the queue."""

MIN_CAPACITY_FRACTION = 0.05
"""Minimum fraction of the slots that a class is expected to get beside more urgent classes."""


class RouterSettings(msgspec.Struct, frozen=True):
    """
    Limits of a router.

    :param max_queued_requests: maximum number of requests in the queue of one service.
    :param max_queued_bytes: maximum bytes of their bodies.
    """

    max_queued_requests: int = 512
    max_queued_bytes: int = 32 * 1024 * 1024


class AdmissionController:
    """Admits or refuses the requests of one router, and owns its queues."""

    def __init__(
        self,
        data_centre: DataCentreId,
        directory: EndpointDirectory,
        selector: TargetSelector,
        times: ServiceTimes,
        settings: RouterSettings,
    ) -> None:
        self._data_centre = data_centre
        self._directory = directory
        self._selector = selector
        self._times = times
        self._settings = settings
        self._queues_by_service: dict[str, FairQueue] = {}
        self._loads_by_service: dict[str, SlotLoad] = {}

    @property
    def services(self) -> tuple[str, ...]:
        """All services that requests have been received for."""
        return tuple(self._queues_by_service)

    def queue(self, service: str) -> FairQueue:
        """Return the queue of a service, creating it on first use."""
        queue = self._queues_by_service.get(service)
        if queue is None:
            settings = self._settings
            queue = FairQueue(settings.max_queued_requests, settings.max_queued_bytes)
            self._queues_by_service[service] = queue
        return queue

    def find_profile(self, arrival: Arrival, configuration: Configuration) -> Profile | Refusal:
        """Return the profile of a request, or a refusal if it has none of kind request."""
        profile = configuration.profiles_by_name.get(arrival.profile_name)
        if profile is None:
            return Refusal(Reason.NO_SUCH_PROFILE, f"no profile {arrival.profile_name}")
        if profile.kind is not WorkKind.REQUEST:
            return Refusal(Reason.WRONG_KIND, f"profile {profile.name} is not for requests")
        return profile

    def admit(self, pending: PendingRequest, now: Seconds) -> tuple[QueuedRequest, ...] | Refusal:
        """
        Decide whether to admit a request.

        :return: the queued requests to evict for it, or the refusal.
        """
        if pending.deadline <= now:
            return Refusal(Reason.DEADLINE, "the deadline has passed")
        service = pending.profile.service
        usable = self._directory.usable_endpoints(service, now)
        remotes = (
            () if pending.arrival.is_forwarded else self._directory.remote_instances(service, now)
        )
        if not usable and not remotes:
            return self.no_endpoint_refusal()
        cost = self._times.expected(pending.profile.name)
        time_needed = self.min_time_left(pending)
        expected_waits = [remote.load.expected_wait for remote in remotes]
        if usable:
            expected_waits.append(self.expected_wait(pending, now))
        shortfall = WAIT_MARGIN * min(expected_waits) + time_needed - (pending.deadline - now)
        if shortfall > 0 and time_needed > 0:
            retry_after = max(MIN_RETRY_AFTER, shortfall)
            detail = "it could not be answered before its deadline"
            return Refusal(Reason.OVERLOADED, detail, retry_after=retry_after)
        evicted = self.queue(service).select_evictions(pending.queue_entry(cost))
        if evicted is None:
            retry_after = max(MIN_RETRY_AFTER, min(expected_waits))
            return Refusal(Reason.QUEUE_FULL, "the queue is full", retry_after=retry_after)
        return tuple(evicted)

    def min_time_left(self, pending: PendingRequest) -> Seconds:
        """
        Return the time that must be left for a request to be sent.

        It is at most half of the time that the request had on arrival. Otherwise no request would
        be sent once the estimate is too high, and no answer would correct it.
        """
        initial_time = pending.deadline - pending.arrived_at
        return Seconds(min(self._times.upper_estimate(pending.profile.name), initial_time / 2))

    def expected_wait(self, pending: PendingRequest, now: Seconds) -> Seconds:
        """Return the expected seconds that a request waits for a local slot."""
        service = pending.profile.service
        if not len(self.queue(service)) and self._selector.has_free_slot(service, now):
            return Seconds(0.0)
        cost = self._times.expected(pending.profile.name)
        ahead = self.queue(service).cost_ahead(pending.queue_entry(cost)) + cost
        capacity = max(1, self._selector.capacity(service, now))
        slots_taken = self._slot_load(service).slots_used_above(pending.profile.urgency, now)
        return Seconds(ahead / max(capacity - slots_taken, MIN_CAPACITY_FRACTION * capacity))

    def record_start(self, pending: PendingRequest, now: Seconds) -> None:
        """Record that a request was sent to a local endpoint."""
        cost = self._times.expected(pending.profile.name)
        self._slot_load(pending.profile.service).record(pending.profile.urgency, cost, now)

    def _slot_load(self, service: str) -> SlotLoad:
        return self._loads_by_service.setdefault(service, SlotLoad())

    def queue_wait(self, service: str, now: Seconds) -> Seconds:
        """Return the expected seconds until all queued requests of a service have been served."""
        capacity = max(1, self._selector.capacity(service, now))
        return Seconds(self.queue(service).cost() / capacity)

    def no_endpoint_refusal(self) -> Refusal:
        """Return the refusal of a request that no endpoint can take."""
        if not self._directory.is_in_service(self._data_centre):
            return Refusal(
                Reason.DATA_CENTRE_OUT,
                f"{self._data_centre} is out and no other data centre can take the request",
                retry_after=NO_ENDPOINT_RETRY_AFTER,
            )
        detail = "no endpoint of the service can be reached"
        return Refusal(Reason.NO_ENDPOINT, detail, retry_after=NO_ENDPOINT_RETRY_AFTER)
