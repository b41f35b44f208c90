"""
bulrushhollow_core.requests._choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Where the next request goes: to an endpoint of the own data centre, or to an entry instance of
another one that has slots to spare.
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
"""Part of this instance's slots that overnight requests may take, so that urgent ones find one."""

SPILLOVER_WAIT = Seconds(0.1)
"""Expected seconds in the own queue from which on slots of other data centres are used."""

UNREACHABLE_PAUSE = Seconds(1.0)
"""Seconds for which nothing is forwarded to an instance that could not be reached."""

CANDIDATES = 2
"""Endpoints that are drawn at random and compared."""


class TargetSelector:
    """Chooses endpoints and remote instances by load, health and chance."""

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
        """Return how many requests of a service this instance may have in flight here."""
        return sum(
            self._shares.slots_in_use(endpoint.endpoint) + self._endpoint_free_slots(endpoint, now)
            for endpoint in self._directory.usable_endpoints(service, now)
            if not self._health.get(endpoint.endpoint).is_ejected(now)
        )

    def free_slots(self, service: str, now: Seconds) -> int:
        """Return how many more requests of a service could be started here."""
        return sum(
            self._endpoint_free_slots(endpoint, now)
            for endpoint in self._directory.usable_endpoints(service, now)
        )

    def has_free_slot(self, service: str, now: Seconds) -> bool:
        """Return whether a request of a service could be started here."""
        usable = self._directory.usable_endpoints(service, now)
        return any(self._endpoint_free_slots(endpoint, now) > 0 for endpoint in usable)

    def select_endpoint(self, pending: PendingRequest, now: Seconds) -> Announcement | None:
        """Return a local endpoint that can take the request now."""
        service = pending.profile.service
        if pending.profile.urgency is Urgency.OVERNIGHT:
            limit = max(1, int(self.capacity(service, now) * OVERNIGHT_SHARE))
            if self.overnight_in_flight_by_service[service] >= limit:
                return None
        usable = self._directory.usable_endpoints(service, now)
        candidates = self._rng.sample(usable, len(usable))
        untried = [one for one in candidates if one.endpoint not in pending.tried_endpoints]
        if not pending.profile.idempotent:
            not_probing = [one for one in untried if not self._is_probing(one, now)]
            return self._best_candidate(not_probing, now) or self._best_candidate(candidates, now)
        return self._best_candidate(untried, now) or self._best_candidate(candidates, now)

    def select_remote(
        self, pending: PendingRequest, queue_wait: float, now: Seconds
    ) -> RemoteInstance | None:
        """
        Return an instance of another data centre to which to forward the request.

        :param queue_wait: seconds that the own queue is expected to take.
        """
        if pending.arrival.forwarded:
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
        """Forward nothing to an instance for a while, after it could not be reached."""
        self._avoid_until_by_instance[instance] = Seconds(now + UNREACHABLE_PAUSE)

    def _spare_slots(self, remote: RemoteInstance) -> int:
        """Return its idle slots, less what was forwarded to it since it stated them."""
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
        """Return the better of the first few that can take a request."""
        accepting = (one for one in endpoints if self._endpoint_free_slots(one, now) > 0)
        return min(islice(accepting, CANDIDATES), key=self._score, default=None)

    def _score(self, endpoint: Announcement) -> float:
        in_use = self._shares.slots_in_use(endpoint.endpoint)
        return self._health.get(endpoint.endpoint).score(in_use, endpoint.slots)
