"""
bulrushhollow_core.requests._granter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Division of the pooled slots of each endpoint by the holder of a data centre's lease. For every
incarnation of an instance it keeps an upper bound on the slots that the incarnation may have in
use, and it grants only slots that no bound covers.
"""

import math
import zlib

import msgspec

from bulrushhollow_core.ids import EndpointId, Epoch, InstanceId, InstanceName, Seconds, name_of
from bulrushhollow_core.requests._share_messages import ShareGrant, ShareReport, SlotGrant

REPORT_TIMEOUT = Seconds(1.5)
"""Seconds after its last report for which an instance counts in the division of slots."""

CLOCK_MARGIN = 1.05
"""Factor by which the holder extends the grant time, as clocks run at different speeds."""


class ShareSettings(msgspec.Struct, frozen=True):
    """
    Timing of slot sharing; must be equal on all instances of a data centre.

    :param grant_time: seconds for which requests may be started under a grant.
    :param close_hold: seconds for which a slot stays in use after the connection of its request
        was closed, because the endpoint may still work on it.
    :param late_hold: the same for a request that the endpoint did not answer in time.
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

    :param slots: slots of the endpoint without the base slots that every instance always has.
    """

    endpoint: EndpointId
    service: str
    slots: int


class _Member:
    """The holder's record of one incarnation of an instance."""

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.name = name_of(instance)
        self.number = 0
        self.reported_at = Seconds(-math.inf)
        self.started_at = Seconds(0.0)
        self.grant_expires_at = Seconds(-math.inf)
        self.bounds_by_endpoint: dict[EndpointId, int] = {}
        self.demand_by_service: dict[str, int] = {}

    def apply_report(self, report: ShareReport, now: Seconds) -> None:
        """Replace the bounds by the slots in a report; no earlier grant is valid then."""
        self.number = report.number
        self.reported_at = now
        self.grant_expires_at = max(self.grant_expires_at, now)
        self.started_at = Seconds(now - report.uptime)
        self.bounds_by_endpoint = {held.endpoint: held.slots for held in report.held_slots}
        self.demand_by_service = {demand.service: demand.requests for demand in report.demand}


class Granter:
    """
    Divides slots during one term of a data centre's lease.

    :param instance_names: all instances of the data centre.
    :param max_attempt_time: maximum seconds that an attempt of a request takes.
    """

    def __init__(
        self,
        epoch: Epoch,
        instance_names: frozenset[InstanceName],
        settings: ShareSettings,
        max_attempt_time: Seconds,
        now: Seconds,
    ) -> None:
        self.epoch = epoch
        self._instance_names = instance_names
        self._settings = settings
        self._max_attempt_time = max_attempt_time
        self._granting_since = now
        self._members_by_id: dict[InstanceId, _Member] = {}

    def set_max_attempt_time(self, max_attempt_time: Seconds) -> None:
        """Set the maximum time of an attempt."""
        self._max_attempt_time = max_attempt_time

    def answer_report(
        self, source: InstanceId, report: ShareReport, pools: tuple[Pool, ...], now: Seconds
    ) -> ShareGrant | None:
        """
        Process a report and decide which slots its sender may use.

        :return: the grant, or None if the report is out of date.
        """
        member = self._members_by_id.setdefault(source, _Member(source))
        if report.epoch != self.epoch or report.number <= member.number:
            return None
        member.apply_report(report, now)
        self._remove_ended_members(now)
        grants = tuple(self._grant(member, pool, now) for pool in pools)
        for grant in grants:
            bound = member.bounds_by_endpoint.get(grant.endpoint, 0)
            member.bounds_by_endpoint[grant.endpoint] = max(bound, grant.slots)
        member.grant_expires_at = Seconds(now + self._settings.grant_time * CLOCK_MARGIN)
        return ShareGrant(self.epoch, report.number, grants)

    def _grant(self, member: _Member, pool: Pool, now: Seconds) -> SlotGrant:
        bound = member.bounds_by_endpoint.get(pool.endpoint, 0)
        target = self._targets(pool, now).get(member.instance, 0)
        return SlotGrant(pool.endpoint, min(target, bound + self._ungranted_slots(pool, now)))

    def _ungranted_slots(self, pool: Pool, now: Seconds) -> int:
        if now < self._unreported_held_until():
            return 0
        bounds = (
            member.bounds_by_endpoint.get(pool.endpoint, 0)
            for member in self._members_by_id.values()
        )
        return max(0, pool.slots - sum(bounds))

    def _unreported_held_until(self) -> Seconds:
        """Return the time until which instances without a report may hold any ungranted slots."""
        started_by_name = {
            member.name: member.started_at
            for member in sorted(self._members_by_id.values(), key=lambda member: member.started_at)
        }
        all_expired_at = Seconds(
            self._granting_since + self._settings.grant_time * CLOCK_MARGIN + self._max_attempt_time
        )
        return max(
            (
                min(all_expired_at, Seconds(started_by_name[name] + self._settings.close_hold))
                if name in started_by_name
                else all_expired_at
            )
            for name in self._instance_names
        )

    def _targets(self, pool: Pool, now: Seconds) -> dict[InstanceId, int]:
        """Divide a pool by demand into whole slots with the largest remainder method."""
        live = [
            member
            for member in self._members_by_id.values()
            if now - member.reported_at <= REPORT_TIMEOUT
        ]
        weights = {
            member.instance: 1 + member.demand_by_service.get(pool.service, 0) for member in live
        }
        total = sum(weights.values())
        exact_shares = {
            instance: pool.slots * weight / total for instance, weight in weights.items()
        }
        targets = {instance: int(share) for instance, share in exact_shares.items()}
        by_remainder = sorted(
            targets,
            key=lambda instance: (
                targets[instance] - exact_shares[instance],
                zlib.crc32(f"{pool.endpoint}/{instance}".encode()),
            ),
        )
        for instance in by_remainder[: pool.slots - sum(targets.values())]:
            targets[instance] += 1
        return targets

    def _remove_ended_members(self, now: Seconds) -> None:
        """Remove incarnations that can no longer have any slot in use."""
        started_by_name: dict[InstanceName, Seconds] = {}
        for member in self._members_by_id.values():
            latest = started_by_name.get(member.name, member.started_at)
            started_by_name[member.name] = max(latest, member.started_at)
        ended = [
            member.instance
            for member in self._members_by_id.values()
            if now > member.grant_expires_at + self._max_attempt_time
            or (
                member.started_at < started_by_name[member.name]
                and now > started_by_name[member.name] + self._settings.close_hold
            )
        ]
        for instance in ended:
            del self._members_by_id[instance]
