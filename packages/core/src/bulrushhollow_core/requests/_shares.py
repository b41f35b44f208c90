"""
bulrushhollow_core.requests._shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This instance's share of the slots and connections of each local endpoint. Every instance of a data
centre always has a base share: one slot of each endpoint that has enough slots. The lease holder of
the data centre divides the other slots, the pool, by grants that expire.
"""

import heapq
import zlib
from collections import Counter

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import EndpointId, Epoch, InstanceId, InstanceName, Seconds, name_of
from bulrushhollow_core.models import Configuration, WorkKind
from bulrushhollow_core.requests._directory import EndpointDirectory
from bulrushhollow_core.requests._granter import Granter, Pool, ShareSettings
from bulrushhollow_core.requests._share_messages import (
    HeldSlots,
    ServiceDemand,
    ShareGrant,
    ShareReport,
)

MIN_SLOTS_PER_INSTANCE = 2
"""Slots per instance that an endpoint must have for every instance to have a base slot."""

DEMAND_HALF_LIFE = Seconds(0.25)
"""Seconds after which demand that has ended still counts half."""

DEFAULT_MAX_ATTEMPT_TIME = Seconds(30.0)
"""Maximum seconds of an attempt if there is no profile of requests."""

NO_HOLD = Seconds(0.0)
"""No hold: the endpoint no longer works on the request."""

DEFAULT_SETTINGS = ShareSettings()
"""Default timing of slot sharing."""


class SlotShares:
    """
    This instance's share of the local endpoints; a :class:`~bulrushhollow_core.actions.Component`.

    Usage::

        if shares.acquire(endpoint, now):
            ...  # send the request
            shares.release(endpoint, now)

    :param me: identifier of this incarnation of the instance.
    :param names: all instances of the data centre, this one included.
    :param directory: the known endpoints.
    """

    def __init__(
        self,
        me: InstanceId,
        names: frozenset[InstanceName],
        directory: EndpointDirectory,
        now: Seconds,
        settings: ShareSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._me = me
        self._ordered_names = sorted(names | {name_of(me)})
        self._position = self._ordered_names.index(name_of(me))
        self._directory = directory
        self._settings = settings
        self._started_at = now
        self._max_attempt_time = DEFAULT_MAX_ATTEMPT_TIME
        self._previous_max_attempt_time = DEFAULT_MAX_ATTEMPT_TIME
        self._previous_max_until = now
        self._epoch = Epoch(0)
        self._holder: InstanceId | None = None
        self._granter: Granter | None = None
        self._report_number = 0
        self._reported_at = Seconds(now - settings.idle_interval)
        self._last_report: ShareReport | None = None
        self._grant_expires_at = now
        self._held_by_endpoint: dict[EndpointId, int] = {}
        self._slots_in_use: Counter[EndpointId] = Counter()
        self._announcements_in_use: dict[EndpointId, Announcement] = {}
        self._demand_by_service: dict[str, float] = {}
        self._demand_at = now
        self._delayed_releases: list[tuple[Seconds, EndpointId]] = []

    @property
    def settings(self) -> ShareSettings:
        """Timing of slot sharing."""
        return self._settings

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Set the maximum time of an attempt to the longest deadline of the profiles."""
        deadlines = [
            profile.deadline
            for profile in configuration.profiles_by_name.values()
            if profile.kind is WorkKind.REQUEST
        ]
        max_attempt_time = Seconds(max(deadlines, default=DEFAULT_MAX_ATTEMPT_TIME))
        if max_attempt_time == self._max_attempt_time:
            return
        self._previous_max_attempt_time = self._effective_max_attempt_time(now)
        self._previous_max_until = Seconds(now + self._previous_max_attempt_time)
        self._max_attempt_time = max_attempt_time

    def lease_changed(
        self, holder: InstanceId | None, epoch: Epoch, now: Seconds
    ) -> list[msgspec.Struct]:
        """Set the holder of the data centre's lease; None while it is not known."""
        if (holder, epoch) == (self._holder, self._epoch):
            return []
        self._holder = holder
        self._epoch = epoch
        self._granter = None
        if holder == self._me:
            names = frozenset(self._ordered_names)
            max_attempt_time = self._effective_max_attempt_time(now)
            self._granter = Granter(epoch, names, self._settings, max_attempt_time, now)
        return self._send_report(now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Process one message of a peer."""
        match message:
            case ShareReport():
                grant = self._answer_report(source, message, now)
                return [Send(source, grant)] if grant is not None else []
            case ShareGrant():
                return self._apply_grant(source, message, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Release slots whose hold has ended, and send the report that is due."""
        while self._delayed_releases and self._delayed_releases[0][0] <= now:
            _, endpoint = heapq.heappop(self._delayed_releases)
            self._free_slot(endpoint)
        if now > self._grant_expires_at + self._effective_max_attempt_time(now):
            self._held_by_endpoint = self._pooled_slots_in_use(now)
        elapsed = now - self._reported_at
        if elapsed < self._settings.busy_interval:
            return []
        if elapsed < self._settings.idle_interval and not self._has_report_changed(now):
            return []
        return self._send_report(now)

    def set_demand(self, demand_by_service: dict[str, int], now: Seconds) -> None:
        """
        Set the number of this instance's requests in flight and queued for each service.

        The reported demand rises at once and decays slowly, so that the shares don't follow every
        short gap in the load.
        """
        decay = 0.5 ** ((now - self._demand_at) / DEMAND_HALF_LIFE)
        self._demand_at = now
        self._demand_by_service = {
            service: max(requests, decay * self._demand_by_service.get(service, 0.0))
            for service, requests in demand_by_service.items()
        }

    def free_slots(self, endpoint: Announcement, now: Seconds) -> int:
        """Return how many more requests may be started on a usable endpoint."""
        used = self._slots_in_use[endpoint.endpoint]
        pooled = (
            self._held_by_endpoint.get(endpoint.endpoint, 0) if now < self._grant_expires_at else 0
        )
        slots = min(self._base_slots(endpoint, now) + pooled, endpoint.slots)
        return max(0, min(slots, self.connection_limit(endpoint)) - used)

    def slots_in_use(self, endpoint: EndpointId) -> int:
        """Return the slots of an endpoint that requests of this instance use."""
        return self._slots_in_use[endpoint]

    def acquire(self, endpoint: Announcement, now: Seconds) -> bool:
        """
        Acquire one slot and one connection of an endpoint.

        :return: False if none is free.
        """
        if self.free_slots(endpoint, now) == 0:
            return False
        self._slots_in_use[endpoint.endpoint] += 1
        self._announcements_in_use[endpoint.endpoint] = endpoint
        return True

    def release(self, endpoint: EndpointId, now: Seconds, hold: Seconds = NO_HOLD) -> None:
        """
        Release a slot and a connection of an endpoint.

        :param hold: seconds for which they stay in use, because the endpoint may still work on the
            request.
        """
        if hold <= 0:
            self._free_slot(endpoint)
        else:
            heapq.heappush(self._delayed_releases, (Seconds(now + hold), endpoint))

    def connection_limit(self, endpoint: Announcement) -> int:
        """Return how many connections this instance may have open to an endpoint."""
        count = len(self._ordered_names)
        remainder = endpoint.connections % count
        if remainder == 0:
            return endpoint.connections // count
        first = zlib.crc32(endpoint.endpoint.encode()) % count
        return endpoint.connections // count + ((self._position - first) % count < remainder)

    def _base_slots(self, endpoint: Announcement, now: Seconds) -> int:
        """Return the slots that this instance may use without a grant."""
        if now < self._started_at + self._settings.close_hold:
            return 0
        return self._base_slots_per_instance(endpoint)

    def _base_slots_per_instance(self, endpoint: Announcement) -> int:
        count = len(self._ordered_names)
        if count == 1:
            return endpoint.slots
        return 1 if endpoint.slots >= MIN_SLOTS_PER_INSTANCE * count else 0

    def _pools(self, now: Seconds) -> tuple[Pool, ...]:
        count = len(self._ordered_names)
        return tuple(
            Pool(
                endpoint.endpoint,
                endpoint.service,
                endpoint.slots - count * self._base_slots_per_instance(endpoint),
            )
            for endpoint in self._directory.local_endpoints(now)
        )

    def _effective_max_attempt_time(self, now: Seconds) -> Seconds:
        """Return the maximum time of the attempts that may be in flight under any configuration."""
        if now < self._previous_max_until:
            return max(self._max_attempt_time, self._previous_max_attempt_time)
        return self._max_attempt_time

    def _pooled_slots_in_use(self, now: Seconds) -> dict[EndpointId, int]:
        """Return the slots in use beyond the base slots, by endpoint."""
        return {
            endpoint: max(0, used - self._base_slots(self._latest_announcement(endpoint), now))
            for endpoint, used in self._slots_in_use.items()
        }

    def _latest_announcement(self, endpoint: EndpointId) -> Announcement:
        """Return the latest announcement of an endpoint in use, even if the endpoint is silent."""
        return self._directory.find_announcement(endpoint) or self._announcements_in_use[endpoint]

    def _free_slot(self, endpoint: EndpointId) -> None:
        self._slots_in_use[endpoint] -= 1
        if self._slots_in_use[endpoint] == 0:
            del self._slots_in_use[endpoint]
            del self._announcements_in_use[endpoint]

    def _has_report_changed(self, now: Seconds) -> bool:
        last = self._last_report
        if last is None or last.epoch != self._epoch:
            return True
        return self._held_slots() != last.held_slots or self._service_demand() != last.demand

    def _held_slots(self) -> tuple[HeldSlots, ...]:
        return tuple(
            HeldSlots(endpoint, held) for endpoint, held in self._held_by_endpoint.items() if held
        )

    def _service_demand(self) -> tuple[ServiceDemand, ...]:
        return tuple(
            ServiceDemand(service, round(requests))
            for service, requests in sorted(self._demand_by_service.items())
        )

    def _send_report(self, now: Seconds) -> list[msgspec.Struct]:
        if self._holder is None:
            return []
        self._report_number += 1
        self._reported_at = now
        uptime = Seconds(now - self._started_at)
        report = ShareReport(
            self._epoch, self._report_number, uptime, self._held_slots(), self._service_demand()
        )
        self._last_report = report
        if self._holder != self._me:
            return [Send(self._holder, report)]
        grant = self._answer_report(self._me, report, now)
        return [] if grant is None else self._apply_grant(self._me, grant, now)

    def _answer_report(
        self, source: InstanceId, report: ShareReport, now: Seconds
    ) -> ShareGrant | None:
        if self._granter is None:
            return None
        self._granter.set_max_attempt_time(self._effective_max_attempt_time(now))
        return self._granter.answer_report(source, report, self._pools(now), now)

    def _apply_grant(
        self, source: InstanceId, grant: ShareGrant, now: Seconds
    ) -> list[msgspec.Struct]:
        if (
            source != self._holder
            or grant.epoch != self._epoch
            or grant.number != self._report_number
        ):
            return []
        self._grant_expires_at = Seconds(self._reported_at + self._settings.grant_time)
        slots_by_endpoint = {slot_grant.endpoint: slot_grant.slots for slot_grant in grant.grants}
        pooled_in_use = self._pooled_slots_in_use(now)
        self._held_by_endpoint = {
            endpoint: max(slots_by_endpoint.get(endpoint, 0), pooled_in_use.get(endpoint, 0))
            for endpoint in sorted({*slots_by_endpoint, *pooled_in_use})
        }
        return []
