"""
bulrushhollow_core.node._duties
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Work that the leader of the log does on behalf of instances that are lost: it marks their
idempotency keys in progress as unknown, and it moves the queued jobs of a data centre that is out
of service and has no lease holder.
"""

import itertools

from bulrushhollow_core.ids import DataCentreId, InstanceId, Seconds
from bulrushhollow_core.jobs import DataCentreLoad, plan_moves
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.node._commands import Command
from bulrushhollow_core.node._ledgers import Ledgers
from bulrushhollow_core.requests import MarkOwnerLost

DUTY_INTERVAL = Seconds(1.0)
"""Seconds between two rounds of the leader's duties."""

OWNER_LOST_AFTER = Seconds(10.0)
"""Seconds without a stream to an incarnation after which its keys in progress become unknown."""

HOLDER_LOST_AFTER = Seconds(10.0)
"""Seconds without a load report of a lease holder after which the leader moves the queued jobs of a
data centre that is out of service."""

MOVES_PER_ROUND = 64
"""Maximum number of queued jobs moved in one round."""


class LeaderDuties:
    """
    The leader's duties, performed by an instance only while it leads the log.

    :param me: this incarnation; it never counts as lost.
    """

    def __init__(self, me: InstanceId, now: Seconds) -> None:
        self._me = me
        self._due_at = now
        self._absent_since_by_owner: dict[InstanceId, Seconds] = {}
        self._last_report_at_by_data_centre: dict[DataCentreId, Seconds] = {}
        self._leader_since: Seconds | None = None

    def record_report(self, load: DataCentreLoad, now: Seconds) -> None:
        """Record when the holder of a data centre's lease last reported its load."""
        self._last_report_at_by_data_centre[load.data_centre] = now

    def commands_due(
        self,
        is_leader: bool,
        connected_peers: frozenset[InstanceId],
        ledgers: Ledgers,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> list[Command]:
        """Return the commands to propose now."""
        if not is_leader:
            self._leader_since = None
            self._absent_since_by_owner.clear()
            return []
        if self._leader_since is None:
            self._leader_since = now
        if now < self._due_at:
            return []
        self._due_at = Seconds(now + DUTY_INTERVAL)
        lost_owners = self._lost_owners(connected_peers, ledgers, now)
        moves = self._moves_of_queued_jobs(ledgers, loads_by_data_centre, now)
        return [*(MarkOwnerLost(owner) for owner in lost_owners), *moves]

    def _lost_owners(
        self, connected_peers: frozenset[InstanceId], ledgers: Ledgers, now: Seconds
    ) -> list[InstanceId]:
        absent = ledgers.keys.owners_in_progress() - connected_peers - {self._me}
        absent_since = self._absent_since_by_owner
        self._absent_since_by_owner = {owner: absent_since.get(owner, now) for owner in absent}
        return sorted(
            owner
            for owner, since in self._absent_since_by_owner.items()
            if now - since >= OWNER_LOST_AFTER
        )

    def _moves_of_queued_jobs(
        self,
        ledgers: Ledgers,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> list[Command]:
        configuration = ledgers.configuration.configuration
        records = (
            ledgers.jobs.jobs_by_id[job]
            for data_centre in self._data_centres_without_holder(configuration, now)
            for job in ledgers.jobs.queued_by_data_centre.get(data_centre, ())
        )
        limited = itertools.islice(records, MOVES_PER_ROUND)
        return [*plan_moves(limited, configuration, loads_by_data_centre)]

    def _data_centres_without_holder(
        self, configuration: Configuration, now: Seconds
    ) -> list[DataCentreId]:
        """Return the data centres that are out of service and whose lease holder is lost."""
        assert self._leader_since is not None
        return [
            data_centre.id
            for data_centre in configuration.data_centres_by_id.values()
            if data_centre.service is Service.OUT
            and now - self._last_report_at_by_data_centre.get(data_centre.id, self._leader_since)
            >= HOLDER_LOST_AFTER
        ]
