"""
bulrushhollow_core.requests._names
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The name of an instance within the identifier of one of its incarnations.
"""

from bulrushhollow_core.ids import InstanceId, InstanceName


def name_of(instance: InstanceId) -> InstanceName:
    """Return the name of an incarnation, ``a1`` of ``a1.0f3c6e21``."""
    name, _, _ = instance.rpartition(".")
    return InstanceName(name or instance)
