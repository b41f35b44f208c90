"""
bulrushhollow_core.domain._configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration of a scheduling domain: queues, services and workspaces, and which ones are valid.
"""

from collections import Counter
from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.ids import Seconds, Version, WorkspaceId

QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """
    A queue of jobs.

    :param host: host name that callers use.
    :param prefix: path that callers use; the longest one that matches counts.
    :param service: whose workers run its tasks.
    :param urgency: 0 is the most urgent and may preempt others.
    :param attempts: failed runs of one task after which its job has failed.
    :param slack_factor: a job is on time within this many times its longest chain of work.
    :param slo: seconds more that a job may take to be on time.
    :param timeout: longest time that one call may take.
    :param is_public: whether calls need no key.
    :param needs_advice: whether only the advice service knows which workers may run its steps.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    urgency: int
    attempts: int
    slack_factor: float
    slo: Seconds
    timeout: Seconds
    is_public: bool
    needs_advice: bool = False


class Service(msgspec.Struct, frozen=True, array_like=True):
    """
    A service and its pool of workers.

    :param checks_admission: whether its workers refuse what does not fit.
    """

    name: ServiceName
    checks_admission: bool


class Workspace(msgspec.Struct, frozen=True, array_like=True):
    """
    A workspace.

    :param keys: credentials of its callers.
    :param guaranteed_accelerators: accelerators that belong to its jobs of urgency 0 at all times.
    """

    name: WorkspaceId
    keys: tuple[str, ...]
    guaranteed_accelerators: int


class CallLimits(msgspec.Struct, frozen=True, array_like=True):
    """
    Limits on callers' calls.

    :param header_timeout: seconds within which the head of a call must be whole.
    :param idle_timeout: seconds for which a connection without a call is kept.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout: Seconds = Seconds(3.0)
    idle_timeout: Seconds = Seconds(15.0)


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """
    One whole configuration.

    :param document: the text it was decoded from, which is what a read returns.
    """

    version: Version
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallLimits
    document: bytes


class Invalidity(Enum):
    """Why a configuration is refused."""

    UNKNOWN_SERVICE = "a queue names a service that is not in the configuration"
    DUPLICATE_ROUTE = "two queues have the same host and prefix"
    SHARED_KEY = "two workspaces share a key"
    NO_TIMEOUT = "a queue allows its calls no time"
    DUPLICATE_NAME = "two entries of one kind have the same name"


def find_invalidity(configuration: Configuration) -> Invalidity | None:
    """Return why a configuration can't be put in force, or None if it can."""
    services = {service.name for service in configuration.services}
    if any(queue.service not in services for queue in configuration.queues):
        return Invalidity.UNKNOWN_SERVICE
    if _repeats((queue.host, queue.prefix) for queue in configuration.queues):
        return Invalidity.DUPLICATE_ROUTE
    if _repeats(key for each in configuration.workspaces for key in set(each.keys)):
        return Invalidity.SHARED_KEY
    if any(queue.timeout <= 0 for queue in configuration.queues):
        return Invalidity.NO_TIMEOUT
    names = (each.name for each in configuration.queues)
    return Invalidity.DUPLICATE_NAME if _repeats(names) else None


def _repeats(values: object) -> bool:
    counts = Counter(values)  # type: ignore[call-overload]
    return any(count > 1 for count in counts.values())


class ConfigurationIndex:
    """Finds queues and workspaces of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index a configuration."""
        self.configuration = configuration
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in sorted(configuration.queues, key=lambda each: -len(each.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        self.queues_by_name = {queue.name: queue for queue in configuration.queues}
        self.workspaces_by_name = {each.name: each for each in configuration.workspaces}
        self._workspaces_by_key = {
            key: workspace.name for workspace in configuration.workspaces for key in workspace.keys
        }

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest that a path begins with."""
        queues = self._queues_by_host.get(host, ())
        return next((queue for queue in queues if path.startswith(queue.prefix)), None)

    def find_workspace(self, key: str) -> WorkspaceId | None:
        """Return the workspace that a key belongs to."""
        return self._workspaces_by_key.get(key)

    def guaranteed_accelerators(self, workspace: WorkspaceId | None) -> int:
        """Return the accelerators that are guaranteed to a workspace."""
        found = self.workspaces_by_name.get(workspace) if workspace else None
        return found.guaranteed_accelerators if found else 0
