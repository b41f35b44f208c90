"""
bulrushhollow_daemon.clock
~~~~~~~~~~~~~~~~~~~~~~~~~~

The one clock that decisions are fed from. It is monotonic and also counts time during which the
machine was suspended, so that a lease never outlives a suspension.
"""

import time

from bulrushhollow_core.ids import Seconds


def now() -> Seconds:
    """Return seconds since an arbitrary start; never goes back."""
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))
