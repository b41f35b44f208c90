"""
bulrushhollow_core.requests._health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What this instance has seen of each endpoint: how often it fails, how slow it is compared with the
others, how many requests it really takes at once, and whether it is kept from new work.
"""

import math
import random
from collections.abc import Iterable

from bulrushhollow_core.ids import EndpointId, Seconds
from bulrushhollow_core.outcomes import Reason
from bulrushhollow_core.requests._messages import AttemptEnd, AttemptResult

MEMORY = 0.9
"""Weight of the past in smoothed figures, per attempt."""

EJECT_AFTER_FAILURES = 5
"""Failures in a row after which an endpoint is ejected."""

EJECT_ABOVE_RATE = 0.5
"""Smoothed rate of failures above which an endpoint is ejected."""

EJECT_MIN_ATTEMPTS = 5.0
"""Smoothed count of attempts from which on the rate is judged."""

EJECTED_AT_MOST = 0.5
"""Part of a service's endpoints that may be ejected at once."""

FIRST_EJECTION = Seconds(1.0)
"""Seconds of a first ejection; each further one in a row takes twice as long."""

LONGEST_EJECTION = Seconds(30.0)
"""Seconds that an ejection takes at most."""

PROBES = 3
"""Successes after an ejection before an endpoint gets full work again."""

SERVER_ERROR = 500
"""HTTP statuses from here on count as failures of the endpoint."""

REFUSED_FACTOR = 0.7
"""Factor on the limit of an endpoint that refused a request for want of slots."""

LATE_FACTOR = 0.9
"""Factor on the limit of an endpoint that did not answer in time."""

LEAST_SUCCESS = 0.05
"""Least rate of success that a score reckons with."""


class EndpointHealth:
    """Figures of one endpoint, as this instance has seen them."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.slowness = 1.0
        self.attempts = 0.0
        self.failures = 0.0
        self.failures_in_row = 0
        self.ejections = 0
        self.ejected_until: Seconds | None = None
        self.probes_left = 0

    def score(self, in_use: int, slots: int) -> float:
        """Return the relative time that a request is expected to take; less is better."""
        success = max(LEAST_SUCCESS, 1.0 - self._failure_rate())
        crowding = (in_use + 1) / max(1.0, min(self.limit, slots))
        return float(self.slowness * (0.2 + crowding) / success**2)

    def is_ejected(self, now: Seconds) -> bool:
        """Return whether it gets no work at all for now."""
        return self.ejected_until is not None and now < self.ejected_until

    def is_probing(self, now: Seconds) -> bool:
        """Return whether it gets one request at a time for now."""
        return self.probes_left > 0 and not self.is_ejected(now)

    def allows(self, in_use: int, now: Seconds) -> bool:
        """Return whether one more request is within what it has shown to take."""
        if self.is_ejected(now):
            return False
        return in_use < (1 if self.is_probing(now) else max(1, int(min(self.limit, 1e9))))

    def record(self, result: AttemptResult, in_use: int, slots: int, slowness: float) -> bool:
        """
        Take in the result of an attempt.

        :param in_use: requests of this instance on the endpoint, this one included.
        :param slowness: time taken, relative to what the profile usually takes.
        :return: whether the endpoint should be ejected.
        """
        failed = _is_failure(result)
        self.attempts = MEMORY * self.attempts + 1
        self.failures = MEMORY * self.failures + failed
        if not failed:
            self.failures_in_row = 0
            self.slowness = MEMORY * self.slowness + (1 - MEMORY) * slowness
            self.limit = min(float(slots), self.limit + 1 / max(1.0, min(self.limit, slots)))
            self._succeed_probe()
            return False
        self.failures_in_row += 1
        if result.end is AttemptEnd.REFUSED:
            self.limit = max(1.0, min(self.limit, in_use) * REFUSED_FACTOR)
        elif result.reason is Reason.DEADLINE:
            self.limit = max(1.0, min(self.limit, slots) * LATE_FACTOR)
        return (
            self.probes_left > 0
            or self.failures_in_row >= EJECT_AFTER_FAILURES
            or (self.attempts >= EJECT_MIN_ATTEMPTS and self._failure_rate() > EJECT_ABOVE_RATE)
        )

    def eject(self, now: Seconds, rng: random.Random) -> None:
        """Keep it from work for a while, then probe it."""
        time = min(LONGEST_EJECTION, FIRST_EJECTION * 2.0**self.ejections)
        self.ejected_until = Seconds(now + time * rng.uniform(0.8, 1.2))
        self.ejections += 1
        self.failures_in_row = 0
        self.probes_left = PROBES

    def _failure_rate(self) -> float:
        return self.failures / self.attempts if self.attempts else 0.0

    def _succeed_probe(self) -> None:
        if self.probes_left == 0:
            return
        self.probes_left -= 1
        if self.probes_left == 0:
            self.ejections = 0
            self.ejected_until = None
            self.attempts = 0.0
            self.failures = 0.0


class HealthBook:
    """Health of all endpoints that this instance has sent requests to."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._by_endpoint: dict[EndpointId, EndpointHealth] = {}

    def get(self, endpoint: EndpointId) -> EndpointHealth:
        """Return the health of an endpoint."""
        health = self._by_endpoint.get(endpoint)
        if health is None:
            health = self._by_endpoint[endpoint] = EndpointHealth()
        return health

    def eject(self, endpoint: EndpointId, peers: Iterable[EndpointId], now: Seconds) -> None:
        """
        Eject an endpoint unless too many are ejected.

        :param peers: all usable endpoints of its service.
        """
        names = set(peers) | {endpoint}
        ejected = sum(self.get(name).is_ejected(now) for name in names)
        if ejected + 1 <= int(len(names) * EJECTED_AT_MOST):
            self.get(endpoint).eject(now, self._rng)

    def __len__(self) -> int:
        return len(self._by_endpoint)

    def keep(self, endpoints: set[EndpointId]) -> None:
        """Forget all endpoints but these."""
        for endpoint in self._by_endpoint.keys() - endpoints:
            del self._by_endpoint[endpoint]


def _is_failure(result: AttemptResult) -> bool:
    return result.end is not AttemptEnd.WHOLE or result.status >= SERVER_ERROR
