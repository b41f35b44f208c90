"""
bulrushhollow_core.node._duties
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leader of the log does on behalf of instances that are gone: the keys they had in
progress turn unknown, and the queue of a data centre that is out moves on.
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
"""Seconds without a stream to an incarnation after which its keys in progress turn unknown."""

SILENT_HOLDER_AFTER = Seconds(10.0)
"""Seconds without word of a lease holder after which the leader moves the queue of a data centre
that is out."""

MOVES_PER_ROUND = 64
"""Most queued jobs moved in one round."""


class LeaderDuties:
    """
    The duties of one instance, done only while it leads the log.

    :param me: this incarnation, which is never lost to itself.
    """

    def __init__(self, me: InstanceId, now: Seconds) -> None:
        self._me = me
        self._due_at = now
        self._absent_since_by_owner: dict[InstanceId, Seconds] = {}
        self._heard_by_data_centre: dict[DataCentreId, Seconds] = {}
        self._leads_since: Seconds | None = None

    def heard(self, load: DataCentreLoad, now: Seconds) -> None:
        """Note that the holder of a data centre's lease was heard."""
        self._heard_by_data_centre[load.data_centre] = now

    def due(
        self,
        leads: bool,
        connected: frozenset[InstanceId],
        ledgers: Ledgers,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> list[Command]:
        """Return what to commit now."""
        if not leads:
            self._leads_since = None
            self._absent_since_by_owner.clear()
            return []
        if self._leads_since is None:
            self._leads_since = now
        if now < self._due_at:
            return []
        self._due_at = Seconds(now + DUTY_INTERVAL)
        lost = self._lost_owners(connected, ledgers, now)
        moves = self._moves(ledgers, loads_by_data_centre, now)
        return [*(MarkOwnerLost(owner) for owner in lost), *moves]

    def _lost_owners(
        self, connected: frozenset[InstanceId], ledgers: Ledgers, now: Seconds
    ) -> list[InstanceId]:
        absent = ledgers.keys.owners_in_progress() - connected - {self._me}
        known = self._absent_since_by_owner
        self._absent_since_by_owner = {owner: known.get(owner, now) for owner in absent}
        return sorted(
            owner
            for owner, since in self._absent_since_by_owner.items()
            if now - since >= OWNER_LOST_AFTER
        )

    def _moves(
        self,
        ledgers: Ledgers,
        loads_by_data_centre: dict[DataCentreId, DataCentreLoad],
        now: Seconds,
    ) -> list[Command]:
        configuration = ledgers.configuration.configuration
        records = (
            ledgers.jobs.jobs_by_id[job]
            for data_centre in self._abandoned(configuration, now)
            for job in ledgers.jobs.queued_by_data_centre.get(data_centre, ())
        )
        first = itertools.islice(records, MOVES_PER_ROUND)
        return [*plan_moves(first, configuration, loads_by_data_centre)]

    def _abandoned(self, configuration: Configuration, now: Seconds) -> list[DataCentreId]:
        """Return the data centres that are out and have had no holder for a while."""
        assert self._leads_since is not None
        return [
            data_centre.id
            for data_centre in configuration.data_centres_by_id.values()
            if data_centre.service is Service.OUT
            and now - self._heard_by_data_centre.get(data_centre.id, self._leads_since)
            >= SILENT_HOLDER_AFTER
        ]
