"""
standins.domain_site
~~~~~~~~~~~~~~~~~~~~

The configuration of a domain for tests and the soak.
"""

from bulrushhollow_core.domain import (
    CallLimits,
    Configuration,
    Queue,
    QueueName,
    Resources,
    Service,
    ServiceName,
    Workspace,
)
from bulrushhollow_core.ids import Seconds, Version, WorkspaceId

KEY = "k-team"
HOST = "jobs.example"
QUEUES = ("urgent", "usual", "later")
NO_CAP = Resources(0, 0, 0)


def queue(name: str, urgency: int, attempts: int = 3) -> Queue:
    """Return a queue of the configuration."""
    return Queue(
        QueueName(name),
        HOST,
        f"/{name}/",
        ServiceName("svc"),
        urgency,
        attempts,
        3.0,
        Seconds(1.0),
        Seconds(3.0),
        False,
    )


def configuration(
    version: int,
    guaranteed: int = 16,
    cap: Resources = NO_CAP,
    checks_admission: bool = True,
) -> Configuration:
    """Return a configuration with three queues and one workspace."""
    return Configuration(
        Version(version),
        (queue("urgent", 0), queue("usual", 1), queue("later", 2, attempts=2)),
        (Service(ServiceName("svc"), checks_admission),),
        (Workspace(WorkspaceId("team"), (KEY,), guaranteed, cap),),
        CallLimits(),
        b"version %d" % version,
    )
