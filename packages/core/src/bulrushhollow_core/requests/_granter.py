"""
bulrushhollow_core.requests._granter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How the holder of a data centre's lease divides the pooled slots of each endpoint. It keeps, for
every incarnation of an instance, an upper bound on what that may have in use, and grants only what
no bound covers.
"""

import math
import zlib

import msgspec

from bulrushhollow_core.ids import EndpointId, Epoch, InstanceId, InstanceName, Seconds, name_of
from bulrushhollow_core.requests._share_messages import ShareGrant, ShareReport, SlotGrant

LIVE_FOR = Seconds(1.5)
"""Seconds since its last report for which an instance gets a part of what is free."""

CLOCK_MARGIN = 1.05
"""Factor by which the holder waits longer than the receiver of a grant may use it."""


class ShareSettings(msgspec.Struct, frozen=True):
    """
    Times of the sharing of slots; equal on all instances of a data centre.

    :param grant_time: seconds for which requests may be started under a grant.
    :param close_hold: seconds for which an endpoint may go on working on a request whose
        connection was closed.
    :param late_hold: seconds for which it may go on working on a request that it did not answer
        in time.
    :param busy_interval: seconds between two reports while the load changes.
    :param idle_interval: seconds between two reports otherwise.
    """

    grant_time: Seconds = Seconds(3.0)
    close_hold: Seconds = Seconds(2.0)
    late_hold: Seconds = Seconds(10.0)
    busy_interval: Seconds = Seconds(0.2)
    idle_interval: Seconds = Seconds(0.5)


class Pool(msgspec.Struct, frozen=True):
    """
    The slots of one endpoint that are divided by grants.

    :param slots: what the endpoint has, less what every instance always has.
    """

    endpoint: EndpointId
    service: str
    slots: int


class _Member:
    """What the holder knows of one incarnation of an instance."""

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.name = name_of(instance)
        self.number = 0
        self.heard_at = Seconds(-math.inf)
        self.started_at = Seconds(0.0)
        self.may_start_until = Seconds(-math.inf)
        self.bounds_by_endpoint: dict[EndpointId, int] = {}
        self.demand_by_service: dict[str, int] = {}

    def take(self, report: ShareReport, now: Seconds) -> None:
        """Take in a report; it tells all that the member has, as no older grant counts any more."""
        self.number = report.number
        self.heard_at = now
        self.may_start_until = max(self.may_start_until, now)
        self.started_at = Seconds(now - report.up_for)
        self.bounds_by_endpoint = {use.endpoint: use.held for use in report.uses}
        self.demand_by_service = {demand.service: demand.requests for demand in report.demand}


class Granter:
    """
    Divides slots during one term of a data centre's lease.

    :param names: all instances of the data centre.
    :param longest: seconds that the longest attempt of a request may take.
    """

    def __init__(
        self,
        epoch: Epoch,
        names: frozenset[InstanceName],
        settings: ShareSettings,
        longest: Seconds,
        now: Seconds,
    ) -> None:
        self.epoch = epoch
        self._names = names
        self._settings = settings
        self._longest = longest
        self._took_office = now
        self._members_by_id: dict[InstanceId, _Member] = {}

    def set_longest(self, longest: Seconds) -> None:
        """Set how long the longest attempt may take."""
        self._longest = longest

    def answer(
        self, source: InstanceId, report: ShareReport, pools: tuple[Pool, ...], now: Seconds
    ) -> ShareGrant | None:
        """
        Take in a report and decide what its sender may use.

        :return: None for a report that is out of date.
        """
        member = self._members_by_id.setdefault(source, _Member(source))
        if report.epoch != self.epoch or report.number <= member.number:
            return None
        member.take(report, now)
        self._drop_ended(now)
        grants = tuple(self._grant(member, pool, now) for pool in pools)
        for grant in grants:
            bound = member.bounds_by_endpoint.get(grant.endpoint, 0)
            member.bounds_by_endpoint[grant.endpoint] = max(bound, grant.slots)
        member.may_start_until = Seconds(now + self._settings.grant_time * CLOCK_MARGIN)
        return ShareGrant(self.epoch, report.number, grants)

    def _grant(self, member: _Member, pool: Pool, now: Seconds) -> SlotGrant:
        bound = member.bounds_by_endpoint.get(pool.endpoint, 0)
        target = self._targets(pool, now).get(member.instance, 0)
        return SlotGrant(pool.endpoint, min(target, bound + self._free(pool, now)))

    def _free(self, pool: Pool, now: Seconds) -> int:
        if now < self._rest_held_until():
            return 0
        bounds = (
            member.bounds_by_endpoint.get(pool.endpoint, 0)
            for member in self._members_by_id.values()
        )
        return max(0, pool.slots - sum(bounds))

    def _rest_held_until(self) -> Seconds:
        """Until when instances that have not reported may hold all that is not accounted for."""
        started_by_name = {
            member.name: member.started_at
            for member in sorted(self._members_by_id.values(), key=lambda one: one.started_at)
        }
        lapsed = Seconds(
            self._took_office + self._settings.grant_time * CLOCK_MARGIN + self._longest
        )
        return max(
            (
                min(lapsed, Seconds(started_by_name[name] + self._settings.close_hold))
                if name in started_by_name
                else lapsed
            )
            for name in self._names
        )

    def _targets(self, pool: Pool, now: Seconds) -> dict[InstanceId, int]:
        """Split a pool by demand, in whole slots, by the largest remainder."""
        live = [
            member for member in self._members_by_id.values() if now - member.heard_at <= LIVE_FOR
        ]
        weights = {
            member.instance: 1 + member.demand_by_service.get(pool.service, 0) for member in live
        }
        total = sum(weights.values())
        exact = {instance: pool.slots * weight / total for instance, weight in weights.items()}
        targets = {instance: int(share) for instance, share in exact.items()}
        by_remainder = sorted(
            targets,
            key=lambda instance: (
                targets[instance] - exact[instance],
                zlib.crc32(f"{pool.endpoint}/{instance}".encode()),
            ),
        )
        for instance in by_remainder[: pool.slots - sum(targets.values())]:
            targets[instance] += 1
        return targets

    def _drop_ended(self, now: Seconds) -> None:
        """Forget incarnations that can have nothing in use any more."""
        started_by_name: dict[InstanceName, Seconds] = {}
        for member in self._members_by_id.values():
            latest = started_by_name.get(member.name, member.started_at)
            started_by_name[member.name] = max(latest, member.started_at)
        ended = [
            member.instance
            for member in self._members_by_id.values()
            if now > member.may_start_until + self._longest
            or (
                member.started_at < started_by_name[member.name]
                and now > started_by_name[member.name] + self._settings.close_hold
            )
        ]
        for instance in ended:
            del self._members_by_id[instance]
