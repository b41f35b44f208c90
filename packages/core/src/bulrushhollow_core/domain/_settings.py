"""
bulrushhollow_core.domain._settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Settings of a scheduling domain.
"""

import msgspec

from bulrushhollow_core.ids import Seconds

CHEAP_RECLAIM_TIME = Seconds(0.5)
"""Seconds for a stop and a restore below which capacity can be reclaimed cheaply. Work may then be
delayed until its latest start, since an eviction is still in time."""


class DomainSettings(msgspec.Struct, frozen=True):
    """
    Properties of the platform, and how many lost instances the operators tolerate.

    :param longest_lease: longest lease that a worker accepts, in seconds.
    :param heartbeat_interval: seconds between two announcements of a worker.
    :param stop_timeout: longest duration of a stop, in seconds.
    :param restore_time: seconds that a task takes to resume from a checkpoint.
    :param remote_factor: factor by which a task is slower away from its data or rack.
    :param voter_count: number of voting instances: twice the tolerated losses plus one.
    """

    longest_lease: Seconds = Seconds(10.0)
    heartbeat_interval: Seconds = Seconds(1.5)
    stop_timeout: Seconds = Seconds(0.5)
    restore_time: Seconds = Seconds(0.6)
    remote_factor: float = 3.0
    voter_count: int = 3

    @property
    def is_reclaim_cheap(self) -> bool:
        """Return whether a run can be stopped and resumed quickly, so that delays can be priced."""
        return self.stop_timeout + self.restore_time < CHEAP_RECLAIM_TIME
