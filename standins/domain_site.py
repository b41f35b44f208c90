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

TEAM = WorkspaceId("team")
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


def key_of(workspace: WorkspaceId) -> str:
    """Return the credential of a workspace."""
    return f"k-{workspace}"


def workspace_with(name: str, cap: Resources) -> Workspace:
    """Return a further workspace of the configuration, without a guarantee."""
    return Workspace(WorkspaceId(name), (key_of(WorkspaceId(name)),), 0, cap)


def configuration(
    version: int,
    guaranteed: int = 16,
    cap: Resources = NO_CAP,
    checks_admission: bool = True,
    further_workspaces: tuple[Workspace, ...] = (),
) -> Configuration:
    """Return a configuration with three queues, one workspace and further ones if any are given."""
    return Configuration(
        Version(version),
        (queue("urgent", 0), queue("usual", 1), queue("later", 2, attempts=2)),
        (Service(ServiceName("svc"), checks_admission),),
        (Workspace(TEAM, (KEY,), guaranteed, cap), *further_workspaces),
        CallLimits(),
        b"version %d" % version,
    )
