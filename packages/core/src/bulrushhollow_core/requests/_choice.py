"""
bulrushhollow_core.requests._choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selection of the target of a request: an endpoint of the own data centre, or an entry instance of
another data centre that has free slots.
"""

import random
from collections import Counter
from itertools import islice

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import InstanceName, Seconds
from bulrushhollow_core.models import Urgency
from bulrushhollow_core.requests._directory import EndpointDirectory, RemoteInstance
from bulrushhollow_core.requests._health import HealthTracker
from bulrushhollow_core.requests._pending import PendingRequest
from bulrushhollow_core.requests._shares import SlotShares

OVERNIGHT_SHARE = 0.8
"""Fraction of the own slots that overnight requests may use, to keep some free for urgent ones."""

SPILLOVER_WAIT = Seconds(0.1)
"""Expected seconds in the local queue from which requests are forwarded to other data centres."""

UNREACHABLE_PAUSE = Seconds(1.0)
"""Seconds for which no request is forwarded to an instance that could not be reached."""

CANDIDATES = 2
"""Number of random endpoints of which the best is selected (power of two choices)."""


class TargetSelector:
    """Selects endpoints and remote instances by load and health, with random tie-breaking."""

    def __init__(
        self,
        directory: EndpointDirectory,
        shares: SlotShares,
        health: HealthTracker,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._shares = shares
        self._health = health
        self._rng = rng
        self.overnight_in_flight_by_service: Counter[str] = Counter()
        self.forwarded_in_flight_by_instance: Counter[InstanceName] = Counter()
        self._forwarded_at_report: dict[InstanceName, tuple[Seconds | None, int]] = {}
        self._avoid_until_by_instance: dict[InstanceName, Seconds] = {}

    def capacity(self, service: str, now: Seconds) -> int:
        """Return how many requests of a service this instance may have in flight locally."""
        return sum(
            self._shares.slots_in_use(endpoint.endpoint) + self._endpoint_free_slots(endpoint, now)
            for endpoint in self._directory.usable_endpoints(service, now)
            if not self._health.get(endpoint.endpoint).is_ejected(now)
        )

    def free_slots(self, service: str, now: Seconds) -> int:
        """Return how many more requests of a service could be started locally."""
        return sum(
            self._endpoint_free_slots(endpoint, now)
            for endpoint in self._directory.usable_endpoints(service, now)
        )

    def has_free_slot(self, service: str, now: Seconds) -> bool:
        """Return whether a request of a service could be started locally."""
        usable = self._directory.usable_endpoints(service, now)
        return any(self._endpoint_free_slots(endpoint, now) > 0 for endpoint in usable)

    def select_endpoint(self, pending: PendingRequest, now: Seconds) -> Announcement | None:
        """Return a local endpoint with a free slot for the request, or None."""
        service = pending.profile.service
        if pending.profile.urgency is Urgency.OVERNIGHT:
            limit = max(1, int(self.capacity(service, now) * OVERNIGHT_SHARE))
            if self.overnight_in_flight_by_service[service] >= limit:
                return None
        usable = self._directory.usable_endpoints(service, now)
        candidates = self._rng.sample(usable, len(usable))
        untried = [
            endpoint for endpoint in candidates if endpoint.endpoint not in pending.tried_endpoints
        ]
        if not pending.profile.idempotent:
            not_probing = [endpoint for endpoint in untried if not self._is_probing(endpoint, now)]
            return self._best_candidate(not_probing, now) or self._best_candidate(candidates, now)
        return self._best_candidate(untried, now) or self._best_candidate(candidates, now)

    def select_remote(
        self, pending: PendingRequest, queue_wait: float, now: Seconds
    ) -> RemoteInstance | None:
        """
        Return an instance of another data centre to forward the request to, or None.

        :param queue_wait: expected seconds until the local queue has been served.
        """
        if pending.arrival.is_forwarded:
            return None
        service = pending.profile.service
        remotes = [
            remote
            for remote in self._directory.remote_instances(service, now)
            if self._avoid_until_by_instance.get(remote.instance, now) <= now
        ]
        if not remotes:
            return None
        with_spare_slots = [remote for remote in remotes if self._spare_slots(remote) > 0]
        has_local = bool(self._directory.usable_endpoints(service, now))
        if has_local and (queue_wait < SPILLOVER_WAIT or not with_spare_slots):
            return None
        return min(
            with_spare_slots or remotes,
            key=lambda remote: (
                remote.load.expected_wait,
                -self._spare_slots(remote),
                self._rng.random(),
            ),
        )

    def avoid(self, instance: InstanceName, now: Seconds) -> None:
        """Exclude an instance that could not be reached for :data:`UNREACHABLE_PAUSE`."""
        self._avoid_until_by_instance[instance] = Seconds(now + UNREACHABLE_PAUSE)

    def _spare_slots(self, remote: RemoteInstance) -> int:
        """Return an instance's free slots, less the requests forwarded since it reported them."""
        if remote.load.queued:
            return 0
        forwarded = self.forwarded_in_flight_by_instance[remote.instance]
        as_of, forwarded_then = self._forwarded_at_report.get(remote.instance, (None, 0))
        if as_of != remote.as_of:
            forwarded_then = forwarded
            self._forwarded_at_report[remote.instance] = (remote.as_of, forwarded_then)
        return remote.load.free_slots - (forwarded - forwarded_then)

    def _endpoint_free_slots(self, endpoint: Announcement, now: Seconds) -> int:
        in_use = self._shares.slots_in_use(endpoint.endpoint)
        if not self._health.get(endpoint.endpoint).can_accept(in_use, now):
            return 0
        return self._shares.free_slots(endpoint, now)

    def _is_probing(self, endpoint: Announcement, now: Seconds) -> bool:
        return self._health.get(endpoint.endpoint).is_probing(now)

    def _best_candidate(self, endpoints: list[Announcement], now: Seconds) -> Announcement | None:
        """Return the better of the first :data:`CANDIDATES` endpoints that can accept a request."""
        accepting = (
            endpoint for endpoint in endpoints if self._endpoint_free_slots(endpoint, now) > 0
        )
        return min(islice(accepting, CANDIDATES), key=self._score, default=None)

    def _score(self, endpoint: Announcement) -> float:
        in_use = self._shares.slots_in_use(endpoint.endpoint)
        return self._health.get(endpoint.endpoint).score(in_use, endpoint.slots)
