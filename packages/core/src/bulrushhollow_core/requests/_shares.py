"""
bulrushhollow_core.requests._shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The part of each local endpoint's slots and connections that this instance may use. Every instance
of a data centre always has one slot of each endpoint that has enough of them; the others are
divided by the holder of the data centre's lease, by grants that run out.
"""

import heapq
import zlib
from collections import Counter

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import EndpointId, Epoch, InstanceId, InstanceName, Seconds, name_of
from bulrushhollow_core.models import Configuration, WorkKind
from bulrushhollow_core.requests._directory import Directory
from bulrushhollow_core.requests._granter import Granter, Pool, ShareSettings
from bulrushhollow_core.requests._share_messages import (
    ServiceDemand,
    ShareGrant,
    ShareReport,
    SlotUse,
)

SLOTS_PER_OWN = 2
"""An endpoint needs so many slots per instance for every instance to have one of its own."""

DEMAND_HALF_LIFE = Seconds(0.25)
"""Seconds in which a demand that is gone counts half."""

LONGEST_ATTEMPT = Seconds(30.0)
"""Seconds that an attempt may take while no profile says otherwise."""

NO_HOLD = Seconds(0.0)
"""The endpoint has ended its work."""

DEFAULT_SETTINGS = ShareSettings()
"""Times of the sharing unless the operators set others."""


class SlotShares:
    """
    This instance's share of the local endpoints; a :class:`~bulrushhollow_core.actions.Component`.

    Usage::

        if shares.take(endpoint, now):
            ...  # send the request
            shares.give_back(endpoint, now)

    :param me: this incarnation.
    :param names: all instances of the data centre, this one included.
    :param directory: the endpoints.
    """

    def __init__(
        self,
        me: InstanceId,
        names: frozenset[InstanceName],
        directory: Directory,
        now: Seconds,
        settings: ShareSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._me = me
        self._ordered_names = sorted(names | {name_of(me)})
        self._place = self._ordered_names.index(name_of(me))
        self._directory = directory
        self._settings = settings
        self._started_at = now
        self._longest = LONGEST_ATTEMPT
        self._longest_before = LONGEST_ATTEMPT
        self._longest_before_until = now
        self._epoch = Epoch(0)
        self._holder: InstanceId | None = None
        self._granter: Granter | None = None
        self._number = 0
        self._reported_at = Seconds(now - settings.idle_interval)
        self._reported: ShareReport | None = None
        self._may_start_until = now
        self._held: dict[EndpointId, int] = {}
        self._in_use: Counter[EndpointId] = Counter()
        self._taken: dict[EndpointId, Announcement] = {}
        self._demand_by_service: dict[str, float] = {}
        self._demand_at = now
        self._later: list[tuple[Seconds, EndpointId]] = []

    @property
    def settings(self) -> ShareSettings:
        """The times of the sharing."""
        return self._settings

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Take over how long attempts may take from the profiles' deadlines."""
        deadlines = [
            profile.deadline
            for profile in configuration.profiles_by_name.values()
            if profile.kind is WorkKind.REQUEST
        ]
        longest = Seconds(max(deadlines, default=LONGEST_ATTEMPT))
        if longest == self._longest:
            return
        self._longest_before = self._longest_attempt(now)
        self._longest_before_until = Seconds(now + self._longest_before)
        self._longest = longest

    def lease_changed(
        self, holder: InstanceId | None, epoch: Epoch, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in who holds the data centre's lease; None while nobody is known to."""
        if (holder, epoch) == (self._holder, self._epoch):
            return []
        self._holder = holder
        self._epoch = epoch
        self._granter = None
        if holder == self._me:
            names = frozenset(self._ordered_names)
            longest = self._longest_attempt(now)
            self._granter = Granter(epoch, names, self._settings, longest, now)
        return self._report(now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in one message of a peer."""
        match message:
            case ShareReport():
                grant = self._answer(source, message, now)
                return [Send(source, grant)] if grant is not None else []
            case ShareGrant():
                return self._take_grant(source, message, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Give back what was to be held for a while, and report when that is due."""
        while self._later and self._later[0][0] <= now:
            _, endpoint = heapq.heappop(self._later)
            self._release(endpoint)
        if now > self._may_start_until + self._longest_attempt(now):
            self._held = self._pooled_uses(now)
        waited = now - self._reported_at
        if waited < self._settings.busy_interval:
            return []
        if waited < self._settings.idle_interval and not self._has_changed(now):
            return []
        return self._report(now)

    def set_demand(self, demand_by_service: dict[str, int], now: Seconds) -> None:
        """
        Set how many requests are in flight and queued here for each service.

        What is reported rises at once and falls slowly, so that shares don't follow every gap.
        """
        kept = 0.5 ** ((now - self._demand_at) / DEMAND_HALF_LIFE)
        self._demand_at = now
        self._demand_by_service = {
            service: max(requests, kept * self._demand_by_service.get(service, 0.0))
            for service, requests in demand_by_service.items()
        }

    def free(self, endpoint: Announcement, now: Seconds) -> int:
        """Return how many more requests may be started on a usable endpoint."""
        used = self._in_use[endpoint.endpoint]
        pooled = self._held.get(endpoint.endpoint, 0) if now < self._may_start_until else 0
        slots = min(self._own(endpoint, now) + pooled, endpoint.slots)
        return max(0, min(slots, self.connections(endpoint)) - used)

    def in_use(self, endpoint: EndpointId) -> int:
        """Return how many requests of this instance are on an endpoint."""
        return self._in_use[endpoint]

    def take(self, endpoint: Announcement, now: Seconds) -> bool:
        """
        Take one slot and one connection.

        :return: False if there is none.
        """
        if self.free(endpoint, now) == 0:
            return False
        self._in_use[endpoint.endpoint] += 1
        self._taken[endpoint.endpoint] = endpoint
        return True

    def give_back(self, endpoint: EndpointId, now: Seconds, hold: Seconds = NO_HOLD) -> None:
        """
        Give back what :meth:`take` took.

        :param hold: seconds for which the endpoint may go on working on the request.
        """
        if hold <= 0:
            self._release(endpoint)
        else:
            heapq.heappush(self._later, (Seconds(now + hold), endpoint))

    def connections(self, endpoint: Announcement) -> int:
        """Return how many connections this instance may have open to an endpoint."""
        count = len(self._ordered_names)
        rest = endpoint.connections % count
        if rest == 0:
            return endpoint.connections // count
        first = zlib.crc32(endpoint.endpoint.encode()) % count
        return endpoint.connections // count + ((self._place - first) % count < rest)

    def _own(self, endpoint: Announcement, now: Seconds) -> int:
        """Slots that this instance has without a grant."""
        if now < self._started_at + self._settings.close_hold:
            return 0
        return self._own_each(endpoint)

    def _own_each(self, endpoint: Announcement) -> int:
        count = len(self._ordered_names)
        if count == 1:
            return endpoint.slots
        return 1 if endpoint.slots >= SLOTS_PER_OWN * count else 0

    def _pools(self, now: Seconds) -> tuple[Pool, ...]:
        count = len(self._ordered_names)
        return tuple(
            Pool(
                endpoint.endpoint,
                endpoint.service,
                endpoint.slots - count * self._own_each(endpoint),
            )
            for endpoint in self._directory.local(now)
        )

    def _longest_attempt(self, now: Seconds) -> Seconds:
        if now < self._longest_before_until:
            return max(self._longest, self._longest_before)
        return self._longest

    def _pooled_uses(self, now: Seconds) -> dict[EndpointId, int]:
        """Slots in use, by endpoint, that are not this instance's own."""
        return {
            endpoint: max(0, used - self._own(self._latest(endpoint), now))
            for endpoint, used in self._in_use.items()
        }

    def _latest(self, endpoint: EndpointId) -> Announcement:
        """Return what is known of an endpoint in use, however long it has been silent."""
        return self._directory.find(endpoint) or self._taken[endpoint]

    def _release(self, endpoint: EndpointId) -> None:
        self._in_use[endpoint] -= 1
        if self._in_use[endpoint] == 0:
            del self._in_use[endpoint]
            del self._taken[endpoint]

    def _has_changed(self, now: Seconds) -> bool:
        last = self._reported
        if last is None or last.epoch != self._epoch:
            return True
        return self._uses() != last.uses or self._demand() != last.demand

    def _uses(self) -> tuple[SlotUse, ...]:
        return tuple(SlotUse(endpoint, held) for endpoint, held in self._held.items() if held)

    def _demand(self) -> tuple[ServiceDemand, ...]:
        return tuple(
            ServiceDemand(service, round(requests))
            for service, requests in sorted(self._demand_by_service.items())
        )

    def _report(self, now: Seconds) -> list[msgspec.Struct]:
        if self._holder is None:
            return []
        self._number += 1
        self._reported_at = now
        up_for = Seconds(now - self._started_at)
        report = ShareReport(self._epoch, self._number, up_for, self._uses(), self._demand())
        self._reported = report
        if self._holder != self._me:
            return [Send(self._holder, report)]
        grant = self._answer(self._me, report, now)
        return [] if grant is None else self._take_grant(self._me, grant, now)

    def _answer(self, source: InstanceId, report: ShareReport, now: Seconds) -> ShareGrant | None:
        if self._granter is None:
            return None
        self._granter.set_longest(self._longest_attempt(now))
        return self._granter.answer(source, report, self._pools(now), now)

    def _take_grant(
        self, source: InstanceId, grant: ShareGrant, now: Seconds
    ) -> list[msgspec.Struct]:
        if source != self._holder or grant.epoch != self._epoch or grant.number != self._number:
            return []
        self._may_start_until = Seconds(self._reported_at + self._settings.grant_time)
        slots_by_endpoint = {one.endpoint: one.slots for one in grant.grants}
        pooled_uses = self._pooled_uses(now)
        self._held = {
            endpoint: max(slots_by_endpoint.get(endpoint, 0), pooled_uses.get(endpoint, 0))
            for endpoint in sorted({*slots_by_endpoint, *pooled_uses})
        }
        return []
