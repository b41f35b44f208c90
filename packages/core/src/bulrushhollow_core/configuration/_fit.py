"""
bulrushhollow_core.configuration._fit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether all guarantees of a data centre can be claimed at once.
"""

from bulrushhollow_core.configuration._packing import Demand, pack
from bulrushhollow_core.ids import DataCentreId
from bulrushhollow_core.models import Configuration, DataCentre
from bulrushhollow_core.outcomes import Reason, Refusal


def check_guarantees_fit(configuration: Configuration, data_centre: DataCentreId) -> Refusal | None:
    """
    Pack every guarantee of a data centre into its declared racks at once.

    :return: None if a packing was found; a refusal means that none was found, which for nearly
        full racks need not mean that there is none.
    """
    declared = configuration.data_centres_by_id.get(data_centre)
    if declared is None:
        return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"no data centre {data_centre}")
    demands = [
        Demand(workspace.id, guarantee)
        for workspace in configuration.workspaces_by_id.values()
        for guarantee in workspace.guarantees
        if guarantee.data_centre == data_centre
    ]
    if pack(declared.racks, demands) is not None:
        return None
    return Refusal(Reason.GUARANTEES_DO_NOT_FIT, _detail(declared, demands))


def _detail(declared: DataCentre, demands: list[Demand]) -> str:
    needed = sum(
        demand.guarantee.count
        * demand.guarantee.shape.tasks
        * demand.guarantee.shape.per_task.accelerators
        for demand in demands
    )
    there = sum(rack.workers * rack.per_worker.accelerators for rack in declared.racks)
    return (
        f"no packing of all guarantees into the racks of {declared.id}: "
        f"{needed} accelerators guaranteed, {there} declared"
    )
