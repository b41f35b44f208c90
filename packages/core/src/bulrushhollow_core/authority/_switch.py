"""
bulrushhollow_core.authority._switch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether work may start in a data centre. This depends on the accepted configuration, on
local orders, which take it out of service while it is cut off from the log, and on how long the log
has been out of reach.
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
"""Maximum number of local orders that wait to be recorded in the log."""


class ServiceInForce(Enum):
    """
    Whether the scheduler of a data centre may start work.

    IN permits starts. HOLD forbids them while the log is out of reach or the data centre is not
    configured. OUT forbids them because of the configuration or a local order.
    """

    IN = "in"
    HOLD = "hold"
    OUT = "out"


class ServiceSwitch:
    """
    The service state that is in force in one data centre.

    :param me: name of this instance.
    :param members: names of the data centre's instances.
    :param ledger: the configuration that this instance has applied.
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
        self._votes_needed = majority(members)
        self._ledger = ledger
        self._orders_by_change_id: dict[ChangeId, LocalOrder] = {}
        self._members_by_change_id: dict[ChangeId, set[InstanceName]] = {}

    def set_ledger(self, ledger: ConfigurationLedger) -> None:
        """Use another ledger, as after a snapshot was installed."""
        self._ledger = ledger

    def service_in_force(self, caught_up_age: Seconds) -> ServiceInForce:
        """
        Return whether jobs may start in the data centre.

        :param caught_up_age: seconds since this instance had certainly applied every committed
            entry, counted from the start of the round trip to the log's leader that proved it.
        """
        configured = self._configured_data_centre()
        if self._has_out_order() or (configured is not None and configured.service is Service.OUT):
            return ServiceInForce.OUT
        if configured is None:
            return ServiceInForce.HOLD
        if configured.isolation is Isolation.HOLD and caught_up_age > ISOLATION_LIMIT:
            return ServiceInForce.HOLD
        return ServiceInForce.IN

    @property
    def is_ordered_out(self) -> bool:
        """Return whether a local order to take the data centre out is not recorded yet."""
        return self._has_out_order()

    def drain_mode(self) -> Drain:
        """Return what happens to running tasks while the data centre is out of service."""
        drain_modes = [
            order.change.edit.drain
            for order in self.pending_orders()
            if isinstance(order.change.edit, SetDataCentreService)
        ]
        configured = self._configured_data_centre()
        if configured is not None and configured.service is Service.OUT:
            drain_modes.append(configured.drain)
        return Drain.CHECKPOINT if Drain.CHECKPOINT in drain_modes else Drain.FINISH

    def out_endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints out of service, by the configuration or a local order."""
        ordered = frozenset(
            order.change.edit.id
            for order in self.pending_orders()
            if isinstance(order.change.edit, SetEndpointService)
        )
        return self._ledger.configuration.out_endpoints | ordered

    def submit_order(self, change: ChangeConfiguration) -> LocalOrder | Refusal:
        """
        Order the data centre or an endpoint out of service while the log is out of reach.

        :return: the order, which this instance obeys at once. It is accepted only once
            :meth:`is_accepted` returns True. A refusal if the change needs the log.
        """
        if not self._can_order_locally(change):
            return Refusal(
                Reason.NO_QUORUM,
                "the log is out of reach; only this data centre or an endpoint can be taken out",
            )
        pending = self._orders_by_change_id.get(change.change_id)
        if pending is not None and pending.change != change:
            return Refusal(
                Reason.CHANGE_ID_REUSED, f"{change.change_id} was sent before with another edit"
            )
        if pending is None and len(self._orders_by_change_id) >= MAX_LOCAL_ORDERS:
            return Refusal(Reason.QUEUE_FULL, "too many local orders are not recorded yet")
        order = pending or LocalOrder(change, self._ledger.configuration.version)
        self.merge_orders(self._me, [order])
        return order

    def is_accepted(self, change_id: ChangeId) -> bool:
        """Return whether a majority of the members knows an order, so that it outlasts a holder."""
        order = self._orders_by_change_id.get(change_id)
        return order is not None and order.accepted

    def merge_orders(self, member: InstanceName, orders: Iterable[LocalOrder]) -> None:
        """Add the orders that a member knows, except those that the log has recorded."""
        for order in orders:
            if self._ledger.answer_for(order.change.change_id) is None:
                self._merge_order(member, order)

    def withdraw_order(self, change_id: ChangeId) -> bool:
        """
        Withdraw an order that no majority confirmed in time, so that it does not come into force
        after the operator was told that it failed.

        :return: False if the order stays, since it is accepted or another member is known to have
            it. A copy in transit to another member may restore the order.
        """
        members = self._members_by_change_id.get(change_id, set())
        if self.is_accepted(change_id) or members - {self._me}:
            return False
        self._members_by_change_id.pop(change_id, None)
        return self._orders_by_change_id.pop(change_id, None) is not None

    def pending_orders(self) -> tuple[LocalOrder, ...]:
        """Return the orders that the log has not recorded yet."""
        recorded_ids = [
            change_id
            for change_id in self._orders_by_change_id
            if self._ledger.answer_for(change_id) is not None
        ]
        for change_id in recorded_ids:
            del self._orders_by_change_id[change_id]
            del self._members_by_change_id[change_id]
        return tuple(self._orders_by_change_id.values())

    def unrecorded_changes(self) -> tuple[ChangeConfiguration, ...]:
        """Return the changes to propose to the log as soon as it can be reached."""
        return tuple(order.change for order in self.pending_orders())

    def _merge_order(self, member: InstanceName, order: LocalOrder) -> None:
        change_id = order.change.change_id
        members = self._members_by_change_id.setdefault(change_id, {self._me})
        members.add(member)
        pending = self._orders_by_change_id.get(change_id, order)
        accepted = order.accepted or pending.accepted or len(members) >= self._votes_needed
        self._orders_by_change_id[change_id] = msgspec.structs.replace(pending, accepted=accepted)

    def _configured_data_centre(self) -> DataCentre | None:
        return self._ledger.configuration.data_centres_by_id.get(self._data_centre)

    def _has_out_order(self) -> bool:
        edits = (order.change.edit for order in self.pending_orders())
        return any(isinstance(edit, SetDataCentreService) for edit in edits)

    def _can_order_locally(self, change: ChangeConfiguration) -> bool:
        edit = change.edit
        if change.base_version is not None:
            return False
        if isinstance(edit, SetDataCentreService):
            return edit.id == self._data_centre and edit.service is Service.OUT
        return isinstance(edit, SetEndpointService) and edit.service is Service.OUT
