"""
bulrushhollow_core.requests._health
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Outlier detection: this instance's observations of each endpoint. They are its failure rate, its
slowness relative to the mean time of each profile, the number of concurrent requests that it
handles, and whether it is ejected, which means that it gets no new requests for a while.
"""

import math
import random
from collections.abc import Iterable

from bulrushhollow_core.ids import EndpointId, Seconds
from bulrushhollow_core.outcomes import Reason
from bulrushhollow_core.requests._messages import AttemptEnd, AttemptResult

HISTORY_WEIGHT = 0.9
"""Weight of the previous value in exponential smoothing, per attempt."""

EJECT_AFTER_FAILURES = 5
"""Consecutive failures after which an endpoint is ejected."""

EJECT_ABOVE_RATE = 0.5
"""Smoothed failure rate above which an endpoint is ejected."""

EJECT_MIN_ATTEMPTS = 5.0
"""Smoothed number of attempts from which the failure rate counts."""

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a service's endpoints that are ejected at the same time."""

BASE_EJECTION_TIME = Seconds(1.0)
"""Seconds of a first ejection; doubles with each consecutive ejection."""

MAX_EJECTION_TIME = Seconds(30.0)
"""Maximum seconds of an ejection, without jitter."""

PROBE_SUCCESSES = 3
"""Successful requests after an ejection before an endpoint gets its full load again."""

MIN_SERVER_ERROR_STATUS = 500
"""Lowest HTTP status that counts as a failure of the endpoint."""

REFUSAL_DECREASE = 0.7
"""Factor on the concurrency limit of an endpoint that refused a request for lack of slots."""

TIMEOUT_DECREASE = 0.9
"""Factor on the concurrency limit of an endpoint that did not answer in time."""

MIN_SUCCESS_RATE = 0.05
"""Minimum success rate that a score assumes."""


class EndpointHealth:
    """Observed failures, slowness and concurrency limit of one endpoint."""

    def __init__(self) -> None:
        self.concurrency_limit = math.inf
        self.slowness = 1.0
        self.attempts = 0.0
        self.failures = 0.0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until: Seconds | None = None
        self.probes_left = 0

    def score(self, in_use: int, slots: int) -> float:
        """Return the expected relative time of one more request; lower is better."""
        success = max(MIN_SUCCESS_RATE, 1.0 - self._failure_rate())
        utilization = (in_use + 1) / max(1.0, min(self.concurrency_limit, slots))
        return float(self.slowness * (0.2 + utilization) / success**2)

    def is_ejected(self, now: Seconds) -> bool:
        """Return whether the endpoint is ejected and gets no requests."""
        return self.ejected_until is not None and now < self.ejected_until

    def is_probing(self, now: Seconds) -> bool:
        """Return whether the endpoint is on probation and gets one request at a time."""
        return self.probes_left > 0 and not self.is_ejected(now)

    def can_accept(self, in_use: int, now: Seconds) -> bool:
        """Return whether the endpoint may get one more request now."""
        if self.is_ejected(now):
            return False
        return in_use < (
            1 if self.is_probing(now) else max(1, int(min(self.concurrency_limit, 1e9)))
        )

    def record(self, result: AttemptResult, in_use: int, slots: int, slowness: float) -> bool:
        """
        Record the result of an attempt.

        :param in_use: requests of this instance on the endpoint, this one included.
        :param slots: slots of the endpoint.
        :param slowness: ratio of the time taken to the profile's mean time.
        :return: whether the endpoint should be ejected.
        """
        failed = _is_failure(result)
        self.attempts = HISTORY_WEIGHT * self.attempts + 1
        self.failures = HISTORY_WEIGHT * self.failures + failed
        if not failed:
            self.consecutive_failures = 0
            self.slowness = HISTORY_WEIGHT * self.slowness + (1 - HISTORY_WEIGHT) * slowness
            self.concurrency_limit = min(
                float(slots),
                self.concurrency_limit + 1 / max(1.0, min(self.concurrency_limit, slots)),
            )
            self._succeed_probe()
            return False
        self.consecutive_failures += 1
        if result.end is AttemptEnd.REFUSED:
            self.concurrency_limit = max(
                1.0, min(self.concurrency_limit, in_use) * REFUSAL_DECREASE
            )
        elif result.reason is Reason.DEADLINE:
            self.concurrency_limit = max(1.0, min(self.concurrency_limit, slots) * TIMEOUT_DECREASE)
        return (
            self.probes_left > 0
            or self.consecutive_failures >= EJECT_AFTER_FAILURES
            or (self.attempts >= EJECT_MIN_ATTEMPTS and self._failure_rate() > EJECT_ABOVE_RATE)
        )

    def eject(self, now: Seconds, rng: random.Random) -> None:
        """Eject the endpoint for a while; probes follow."""
        ejection_time = min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2.0**self.ejections)
        self.ejected_until = Seconds(now + ejection_time * rng.uniform(0.8, 1.2))
        self.ejections += 1
        self.consecutive_failures = 0
        self.probes_left = PROBE_SUCCESSES

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


class HealthTracker:
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
        Eject an endpoint unless this would exceed :data:`MAX_EJECTED_FRACTION`.

        :param peers: all usable endpoints of its service.
        """
        names = set(peers) | {endpoint}
        ejected = sum(self.get(name).is_ejected(now) for name in names)
        if ejected + 1 <= int(len(names) * MAX_EJECTED_FRACTION):
            self.get(endpoint).eject(now, self._rng)

    def __len__(self) -> int:
        return len(self._by_endpoint)

    def retain(self, endpoints: set[EndpointId]) -> None:
        """Drop the health of all other endpoints."""
        for endpoint in self._by_endpoint.keys() - endpoints:
            del self._by_endpoint[endpoint]


def _is_failure(result: AttemptResult) -> bool:
    return result.end is not AttemptEnd.WHOLE or result.status >= MIN_SERVER_ERROR_STATUS
