"""
bulrushhollow_core.authority._switch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether work may start in a data centre: the accepted configuration, take-outs given inside the
data centre while it is cut off, and how long the log has been out of reach.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from bulrushhollow_core.authority._ballot import majority
from bulrushhollow_core.authority._messages import LocalOrder
from bulrushhollow_core.authority._timing import ISOLATION_LIMIT
from bulrushhollow_core.changes import (
    ChangeConfiguration,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.configuration import ConfigurationLedger
from bulrushhollow_core.ids import ChangeId, DataCentreId, EndpointId, InstanceName, Seconds
from bulrushhollow_core.models import DataCentre, Drain, Isolation, Service
from bulrushhollow_core.outcomes import Reason, Refusal

MAX_LOCAL_ORDERS = 64
"""Most take-outs given inside a data centre that can wait for the log."""


class ServiceInForce(Enum):
    """What the scheduler of a data centre may do."""

    IN = "in"
    HOLD = "hold"
    OUT = "out"


class ServiceSwitch:
    """
    The service state that is in force in one data centre.

    :param me: name of this instance.
    :param members: names of the data centre's own instances.
    :param ledger: the configuration as this instance has applied it.
    """

    def __init__(
        self,
        me: InstanceName,
        data_centre: DataCentreId,
        members: frozenset[InstanceName],
        ledger: ConfigurationLedger,
    ) -> None:
        self._me = me
        self._data_centre = data_centre
        self._needed = majority(members)
        self._ledger = ledger
        self._orders_by_id: dict[ChangeId, LocalOrder] = {}
        self._known_by_id: dict[ChangeId, set[InstanceName]] = {}

    def set_ledger(self, ledger: ConfigurationLedger) -> None:
        """Go on with another ledger, as after a snapshot was installed."""
        self._ledger = ledger

    def service_in_force(self, quorum_age: Seconds) -> ServiceInForce:
        """
        Tell whether jobs may start in the data centre.

        :param quorum_age: seconds since a round trip to the log's leader began that proved its
            quorum and whose committed entries this instance has applied.
        """
        declared = self._declared()
        if self._ordered_out() or (declared is not None and declared.service is Service.OUT):
            return ServiceInForce.OUT
        if declared is None:
            return ServiceInForce.HOLD
        if declared.isolation is Isolation.HOLD and quorum_age > ISOLATION_LIMIT:
            return ServiceInForce.HOLD
        return ServiceInForce.IN

    @property
    def is_ordered_out(self) -> bool:
        """Whether a take-out of the data centre was given inside and waits for the log."""
        return self._ordered_out()

    def drain_mode(self) -> Drain:
        """Tell what happens to running tasks while the data centre is out."""
        drains = [
            order.change.edit.drain
            for order in self.pending_orders()
            if isinstance(order.change.edit, SetDataCentreService)
        ]
        declared = self._declared()
        if declared is not None and declared.service is Service.OUT:
            drains.append(declared.drain)
        return Drain.CHECKPOINT if Drain.CHECKPOINT in drains else Drain.FINISH

    def out_endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that get no new work, configured or ordered inside."""
        ordered = frozenset(
            order.change.edit.id
            for order in self.pending_orders()
            if isinstance(order.change.edit, SetEndpointService)
        )
        return self._ledger.configuration.out_endpoints | ordered

    def submit_order(self, change: ChangeConfiguration) -> LocalOrder | Refusal:
        """
        Give a take-out inside the data centre while the log is out of reach.

        :return: the order, which this instance obeys at once; it is accepted only once
            :meth:`is_accepted` says so. Any other change needs the log.
        """
        if not self._may_be_local(change):
            return Refusal(
                Reason.NO_QUORUM,
                "the log is out of reach; only this data centre or an endpoint can be taken out",
            )
        present = self._orders_by_id.get(change.change_id)
        if present is not None and present.change != change:
            return Refusal(
                Reason.CHANGE_ID_REUSED, f"{change.change_id} was sent before with another edit"
            )
        if present is None and len(self._orders_by_id) >= MAX_LOCAL_ORDERS:
            return Refusal(Reason.QUEUE_FULL, "too many take-outs wait for the log")
        order = present or LocalOrder(change, self._ledger.configuration.version)
        self.merge_orders(self._me, [order])
        return order

    def is_accepted(self, change_id: ChangeId) -> bool:
        """Tell whether a majority of the members knows an order, so that it outlives a holder."""
        order = self._orders_by_id.get(change_id)
        return order is not None and order.accepted

    def merge_orders(self, member: InstanceName, orders: Iterable[LocalOrder]) -> None:
        """Note the orders that a member knows; those that the log has are settled."""
        for order in orders:
            if self._ledger.answer_for(order.change.change_id) is None:
                self._merge_order(member, order)

    def withdraw_order(self, change_id: ChangeId) -> bool:
        """
        Drop an order that no majority took in time, so that it does not surprise anybody later.

        :return: False if it is accepted or another member is known to have it: it then stays. An
            order that was on its way to a member comes back from there.
        """
        known_by = self._known_by_id.get(change_id, set())
        if self.is_accepted(change_id) or known_by - {self._me}:
            return False
        self._known_by_id.pop(change_id, None)
        return self._orders_by_id.pop(change_id, None) is not None

    def pending_orders(self) -> tuple[LocalOrder, ...]:
        """Return the orders that the log has not recorded yet."""
        settled = [id for id in self._orders_by_id if self._ledger.answer_for(id) is not None]
        for change_id in settled:
            del self._orders_by_id[change_id]
            del self._known_by_id[change_id]
        return tuple(self._orders_by_id.values())

    def unrecorded_changes(self) -> tuple[ChangeConfiguration, ...]:
        """Return the changes to propose to the log as soon as it is in reach."""
        return tuple(order.change for order in self.pending_orders())

    def _merge_order(self, member: InstanceName, order: LocalOrder) -> None:
        change_id = order.change.change_id
        known_by = self._known_by_id.setdefault(change_id, {self._me})
        known_by.add(member)
        present = self._orders_by_id.get(change_id, order)
        accepted = order.accepted or present.accepted or len(known_by) >= self._needed
        self._orders_by_id[change_id] = msgspec.structs.replace(present, accepted=accepted)

    def _declared(self) -> DataCentre | None:
        return self._ledger.configuration.data_centres_by_id.get(self._data_centre)

    def _ordered_out(self) -> bool:
        edits = (order.change.edit for order in self.pending_orders())
        return any(isinstance(edit, SetDataCentreService) for edit in edits)

    def _may_be_local(self, change: ChangeConfiguration) -> bool:
        edit = change.edit
        if change.base_version is not None:
            return False
        if isinstance(edit, SetDataCentreService):
            return edit.id == self._data_centre and edit.service is Service.OUT
        return isinstance(edit, SetEndpointService) and edit.service is Service.OUT
