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
from bulrushhollow_core.requests._pending import Pending
from bulrushhollow_core.requests._shares import SlotShares

OVERNIGHT_SHARE = 0.8
"""Part of this instance's slots that overnight requests may take, so that urgent ones find one."""

SPILL_AFTER = Seconds(0.1)
"""Expected seconds in the own queue from which on slots of other data centres are used."""

SHUNNED_FOR = Seconds(1.0)
"""Seconds for which nothing is forwarded to an instance that could not be reached."""

ALTERNATIVES = 2
"""Endpoints that are drawn at random and compared."""


class Chooser:
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
        self.overnight_by_service: Counter[str] = Counter()
        self.forwarded_by_instance: Counter[InstanceName] = Counter()
        self._stated: dict[InstanceName, tuple[Seconds | None, int]] = {}
        self._shunned_until: dict[InstanceName, Seconds] = {}

    def capacity(self, service: str, now: Seconds) -> int:
        """Return how many requests of a service this instance may have in flight here."""
        return sum(
            self._shares.in_use(endpoint.endpoint) + self._free(endpoint, now)
            for endpoint in self._directory.usable(service, now)
            if not self._health.get(endpoint.endpoint).is_ejected(now)
        )

    def free(self, service: str, now: Seconds) -> int:
        """Return how many more requests of a service could be started here."""
        return sum(self._free(endpoint, now) for endpoint in self._directory.usable(service, now))

    def has_free(self, service: str, now: Seconds) -> bool:
        """Return whether a request of a service could be started here."""
        usable = self._directory.usable(service, now)
        return any(self._free(endpoint, now) > 0 for endpoint in usable)

    def endpoint(self, pending: Pending, now: Seconds) -> Announcement | None:
        """Return a local endpoint that can take the request now."""
        service = pending.profile.service
        if pending.profile.urgency is Urgency.OVERNIGHT:
            limit = max(1, int(self.capacity(service, now) * OVERNIGHT_SHARE))
            if self.overnight_by_service[service] >= limit:
                return None
        usable = self._directory.usable(service, now)
        shuffled = self._rng.sample(usable, len(usable))
        untried = [one for one in shuffled if one.endpoint not in pending.tried]
        if not pending.profile.idempotent:
            steady = [one for one in untried if not self._is_probing(one, now)]
            return self._best(steady, now) or self._best(shuffled, now)
        return self._best(untried, now) or self._best(shuffled, now)

    def remote(self, pending: Pending, queue_wait: float, now: Seconds) -> RemoteInstance | None:
        """
        Return an instance of another data centre to which to forward the request.

        :param queue_wait: seconds that the own queue is expected to take.
        """
        if pending.arrival.forwarded:
            return None
        service = pending.profile.service
        remotes = [
            remote
            for remote in self._directory.remotes(service, now)
            if self._shunned_until.get(remote.instance, now) <= now
        ]
        if not remotes:
            return None
        spare = [remote for remote in remotes if self._spare(remote) > 0]
        has_local = bool(self._directory.usable(service, now))
        if has_local and (queue_wait < SPILL_AFTER or not spare):
            return None
        return min(
            spare or remotes,
            key=lambda remote: (remote.load.wait, -self._spare(remote), self._rng.random()),
        )

    def shun(self, instance: InstanceName, now: Seconds) -> None:
        """Forward nothing to an instance for a while, after it could not be reached."""
        self._shunned_until[instance] = Seconds(now + SHUNNED_FOR)

    def _spare(self, remote: RemoteInstance) -> int:
        """Return its idle slots, less what was forwarded to it since it stated them."""
        if remote.load.queued:
            return 0
        forwarded = self.forwarded_by_instance[remote.instance]
        as_of, then = self._stated.get(remote.instance, (None, 0))
        if as_of != remote.as_of:
            then = forwarded
            self._stated[remote.instance] = (remote.as_of, then)
        return remote.load.free - (forwarded - then)

    def _free(self, endpoint: Announcement, now: Seconds) -> int:
        in_use = self._shares.in_use(endpoint.endpoint)
        if not self._health.get(endpoint.endpoint).can_accept(in_use, now):
            return 0
        return self._shares.free(endpoint, now)

    def _is_probing(self, endpoint: Announcement, now: Seconds) -> bool:
        return self._health.get(endpoint.endpoint).is_probing(now)

    def _best(self, endpoints: list[Announcement], now: Seconds) -> Announcement | None:
        """Return the better of the first few that can take a request."""
        open_endpoints = (one for one in endpoints if self._free(one, now) > 0)
        return min(islice(open_endpoints, ALTERNATIVES), key=self._score, default=None)

    def _score(self, endpoint: Announcement) -> float:
        in_use = self._shares.in_use(endpoint.endpoint)
        return self._health.get(endpoint.endpoint).score(in_use, endpoint.slots)
