"""
bulrushhollow_core.node._effective
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration that an instance acts on: the accepted configuration, overridden by the local
orders that took its data centre or endpoints out of service while the log was out of reach.
"""

import msgspec

from bulrushhollow_core.authority import LocalOrder, ServiceSwitch
from bulrushhollow_core.ids import DataCentreId
from bulrushhollow_core.models import Configuration, Service


class EffectiveConfiguration:
    """
    The accepted configuration combined with the local orders.

    :param data_centre: the data centre to which the orders apply.
    """

    def __init__(self, data_centre: DataCentreId) -> None:
        self._data_centre = data_centre
        self._accepted: Configuration | None = None
        self._orders: tuple[LocalOrder, ...] = ()

    def refresh(self, accepted: Configuration, switch: ServiceSwitch) -> Configuration | None:
        """Return the configuration to act on; None if it is unchanged since the last call."""
        orders = switch.pending_orders()
        if accepted is self._accepted and orders == self._orders:
            return None
        self._accepted = accepted
        self._orders = orders
        return self._with_orders(accepted, switch) if orders else accepted

    def _with_orders(self, accepted: Configuration, switch: ServiceSwitch) -> Configuration:
        data_centres_by_id = dict(accepted.data_centres_by_id)
        declared = data_centres_by_id.get(self._data_centre)
        if declared is not None and switch.is_ordered_out:
            data_centres_by_id[declared.id] = msgspec.structs.replace(
                declared, service=Service.OUT, drain=switch.drain_mode()
            )
        return msgspec.structs.replace(
            accepted,
            data_centres_by_id=data_centres_by_id,
            out_endpoints=switch.out_endpoints(),
        )
