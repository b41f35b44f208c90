"""
bulrushhollow_daemon.domain
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The processes of a scheduling domain: instances with a disk, and entry instances. An adapter
provides their settings, the client that calls workers, and the ASGI applications that serve
workers, operators and callers.
"""

from bulrushhollow_daemon.domain._announcements import AnnouncementForwarder
from bulrushhollow_daemon.domain._core import CoreInstance
from bulrushhollow_daemon.domain._entry import EntryInstance
from bulrushhollow_daemon.domain._leader import LeaderClient
from bulrushhollow_daemon.domain._metrics import CallMetrics
from bulrushhollow_daemon.domain._process import Application
from bulrushhollow_daemon.domain._settings import InstanceSettings, connection_budget
from bulrushhollow_daemon.domain._workers import WorkerClient

__all__ = [
    "AnnouncementForwarder",
    "Application",
    "CallMetrics",
    "CoreInstance",
    "EntryInstance",
    "InstanceSettings",
    "LeaderClient",
    "WorkerClient",
    "connection_budget",
]
