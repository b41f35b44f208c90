"""
bulrushhollow_core.domain.model._configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The configuration of a scheduling domain: its queues, services and workspaces, and its validation.
"""

from collections import Counter
from enum import Enum
from typing import NewType

import msgspec

from bulrushhollow_core.domain.model._resources import NO_RESOURCES, Resources
from bulrushhollow_core.ids import Seconds, Version, WorkspaceId

QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """
    A queue of jobs.

    :param host: host name of calls to the queue.
    :param prefix: path prefix of calls to the queue; the longest matching prefix wins.
    :param service: service whose workers run the tasks.
    :param urgency: 0 is the most urgent; its jobs may preempt others.
    :param max_attempts: number of failed runs of one task after which the job fails.
    :param slack_factor: a job is on time if it ends within this many times its critical path,
        plus ``slo`` seconds.
    :param slo: constant part of that objective, in seconds.
    :param timeout: limit on the duration of one call, in seconds.
    :param is_public: whether calls need no key.
    :param needs_advice: whether the advice service decides which workers may run the steps.
    """

    name: QueueName
    host: str
    prefix: str
    service: ServiceName
    urgency: int
    max_attempts: int
    slack_factor: float
    slo: Seconds
    timeout: Seconds
    is_public: bool
    needs_advice: bool = False


class Service(msgspec.Struct, frozen=True, array_like=True):
    """
    A service and its pool of workers.

    :param checks_admission: whether its workers refuse tasks that do not fit.
    """

    name: ServiceName
    checks_admission: bool


class Workspace(msgspec.Struct, frozen=True, array_like=True):
    """
    A workspace: the owner of jobs, with its credentials, its guarantee and its limits.

    :param keys: credentials of its callers.
    :param guaranteed_accelerators: accelerators reserved for its jobs of urgency 0 at all times.
    :param cap: resources that its tasks may take at the same time; 0 for no limit on a resource.
    :param weight: its share of the capacity relative to other workspaces, and the number of jobs
        per second that it is entitled to submit; 0 for neither.
    """

    name: WorkspaceId
    keys: tuple[str, ...]
    guaranteed_accelerators: int
    cap: Resources = NO_RESOURCES
    weight: float = 0.0


class CallLimits(msgspec.Struct, frozen=True, array_like=True):
    """
    Limits on callers' calls.

    :param header_timeout: seconds within which all headers of a call must arrive.
    :param idle_timeout: seconds for which an idle connection is kept open.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: Seconds = Seconds(3.0)
    idle_timeout: Seconds = Seconds(15.0)


class Configuration(msgspec.Struct, frozen=True, array_like=True):
    """
    A complete configuration.

    :param document: the text that it was decoded from; a read returns this text.
    """

    version: Version
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    limits: CallLimits
    document: bytes


class Invalidity(Enum):
    """Why a configuration is invalid."""

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
    if _has_duplicates((queue.host, queue.prefix) for queue in configuration.queues):
        return Invalidity.DUPLICATE_ROUTE
    if _has_duplicates(
        key for workspace in configuration.workspaces for key in set(workspace.keys)
    ):
        return Invalidity.SHARED_KEY
    if any(queue.timeout <= 0 for queue in configuration.queues):
        return Invalidity.NO_TIMEOUT
    names = (queue.name for queue in configuration.queues)
    return Invalidity.DUPLICATE_NAME if _has_duplicates(names) else None


def _has_duplicates(values: object) -> bool:
    counts = Counter(values)  # type: ignore[call-overload]
    return any(count > 1 for count in counts.values())


class ConfigurationIndex:
    """Looks up the queues and workspaces of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Build the indexes of a configuration."""
        self.configuration = configuration
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in sorted(configuration.queues, key=lambda entry: -len(entry.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        self.queues_by_name = {queue.name: queue for queue in configuration.queues}
        self.workspaces_by_name = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        self.checks_admission_by_service = {
            service.name: service.checks_admission for service in configuration.services
        }
        self.services = frozenset(self.checks_admission_by_service)
        self.has_weights = any(workspace.weight > 0 for workspace in configuration.workspaces)
        self._workspaces_by_key = {
            key: workspace.name for workspace in configuration.workspaces for key in workspace.keys
        }

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that matches a path, or None."""
        queues = self._queues_by_host.get(host, ())
        return next((queue for queue in queues if path.startswith(queue.prefix)), None)

    def find_workspace(self, key: str) -> WorkspaceId | None:
        """Return the workspace that a key belongs to, or None."""
        return self._workspaces_by_key.get(key)

    def guaranteed_accelerators(self, workspace: WorkspaceId | None) -> int:
        """Return the number of accelerators that are guaranteed to a workspace."""
        entry = self.workspaces_by_name.get(workspace) if workspace else None
        return entry.guaranteed_accelerators if entry else 0

    def cap_of(self, workspace: WorkspaceId | None) -> Resources:
        """Return the cap of a workspace; 0 for no limit on a resource."""
        entry = self.workspaces_by_name.get(workspace) if workspace else None
        return entry.cap if entry else NO_RESOURCES

    def current_queue(self, queue: Queue) -> Queue:
        """Return a job's queue as this configuration defines it, or as it was at its submission."""
        return self.queues_by_name.get(queue.name, queue)

    def weight_of(self, workspace: WorkspaceId | None) -> float:
        """Return the weight of a workspace; 0 if it has none."""
        entry = self.workspaces_by_name.get(workspace) if workspace else None
        return entry.weight if entry else 0.0
