"""
bulrushhollow_core.domain._settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a scheduling domain is told of its surroundings.
"""

import msgspec

from bulrushhollow_core.ids import Seconds


class DomainSettings(msgspec.Struct, frozen=True):
    """
    Facts of the platform and of the operators' tolerance.

    :param longest_lease: longest lease that a worker grants.
    :param heartbeat_interval: seconds between two announcements of a worker.
    :param stop_timeout: seconds that a stop takes at the most.
    :param restore_time: seconds that a task takes to go on from a checkpoint.
    :param remote_factor: how many times as long a task takes away from its data or rack.
    :param voter_count: instances that vote; twice the tolerated losses and one.
    """

    longest_lease: Seconds = Seconds(10.0)
    heartbeat_interval: Seconds = Seconds(1.5)
    stop_timeout: Seconds = Seconds(0.5)
    restore_time: Seconds = Seconds(0.6)
    remote_factor: float = 3.0
    voter_count: int = 3
