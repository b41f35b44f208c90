"""
bulrushhollow_daemon.clock
~~~~~~~~~~~~~~~~~~~~~~~~~~

The clock of the process, which all decisions use. It is monotonic and also counts the time during
which the machine was suspended, so that a lease never outlives a suspension.
"""

import time

from bulrushhollow_core.ids import Seconds


def now() -> Seconds:
    """Return the seconds since an arbitrary start; the value never decreases."""
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))
