"""
bulrushhollow_core.configuration._fit
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks whether all guarantees of a data centre can be claimed at the same time.
"""

from bulrushhollow_core.configuration._packing import GuaranteeDemand, pack
from bulrushhollow_core.ids import DataCentreId
from bulrushhollow_core.models import Configuration, DataCentre
from bulrushhollow_core.outcomes import Reason, Refusal


def check_guarantees_fit(configuration: Configuration, data_centre: DataCentreId) -> Refusal | None:
    """
    Check that all guarantees of a data centre fit into its declared racks together.

    :return: None if a packing was found, else a refusal. The search is a heuristic: for nearly
        full racks it can miss a packing that exists.
    """
    declared = configuration.data_centres_by_id.get(data_centre)
    if declared is None:
        return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"no data centre {data_centre}")
    demands = [
        GuaranteeDemand(workspace.id, guarantee)
        for workspace in configuration.workspaces_by_id.values()
        for guarantee in workspace.guarantees
        if guarantee.data_centre == data_centre
    ]
    if pack(declared.racks, demands) is not None:
        return None
    return Refusal(Reason.GUARANTEES_DO_NOT_FIT, _misfit_detail(declared, demands))


def _misfit_detail(declared: DataCentre, demands: list[GuaranteeDemand]) -> str:
    guaranteed = sum(
        demand.guarantee.count
        * demand.guarantee.shape.tasks
        * demand.guarantee.shape.per_task.accelerators
        for demand in demands
    )
    capacity = sum(rack.workers * rack.per_worker.accelerators for rack in declared.racks)
    return (
        f"no packing of all guarantees into the racks of {declared.id}: "
        f"{guaranteed} accelerators guaranteed, {capacity} declared"
    )
