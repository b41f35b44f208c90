"""
bulrushhollow_daemon.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics in Prometheus' format. Gauges are read from the node when they are asked for, so that they
cost nothing in between.
"""

from collections.abc import Callable, Iterator
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from bulrushhollow_core.authority import AuthorityState
from bulrushhollow_core.ids import Seconds
from bulrushhollow_core.node import Node
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_daemon.transport import Transport

PREFIX = "bulrushhollow_"


class NodeCollector(Collector):
    """Reads the gauges of a node."""

    def __init__(self, node: Node, clock: Callable[[], Seconds]) -> None:
        self._node = node
        self._clock = clock

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Return all gauges."""
        yield from self._log()
        yield from self._requests()
        yield from self._jobs()

    def _log(self) -> Iterator[GaugeMetricFamily]:
        status = self._node.status(self._clock())
        holding = status.authority.state is AuthorityState.HOLDING
        leading = status.log.leader == self._node.identity.me
        yield _gauge("log_commit_index", "Last committed entry.", status.log.commit_index)
        yield _gauge("log_applied_index", "Last applied entry.", status.applied)
        yield _gauge("log_term", "Present term.", status.log.term)
        yield _gauge("log_leads", "1 on the leader.", int(leading))
        yield _gauge("log_proposals", "Proposals without an outcome.", status.proposals)
        yield _gauge("lease_held", "1 on the holder of the data centre's lease.", int(holding))
        yield _gauge("lease_epoch", "Highest epoch seen.", status.authority.epoch)
        yield _gauge("peers_connected", "Peers in reach.", len(self._node.connected_peers))
        version = self._node.configuration.version
        yield _gauge("configuration_version", "Version in force here.", version)

    def _requests(self) -> Iterator[GaugeMetricFamily]:
        router = self._node.entry.router.status(self._clock())
        yield _gauge("requests_queued", "Requests that wait.", router.queued)
        yield _gauge("requests_in_flight", "Attempts in flight.", router.in_flight)
        capacity = _family("slots_granted", "Slots granted to this instance.", "service")
        for service in router.services:
            capacity.add_metric([service.service], service.capacity)
        yield capacity

    def _jobs(self) -> Iterator[GaugeMetricFamily]:
        scheduler = self._node.site.scheduler.status(self._clock())
        yield _gauge(
            "fragmentation",
            "Share of free accelerators not usable by the largest shape.",
            scheduler.fragmentation,
        )
        yield _gauge("workers", "Workers that the platform reported.", scheduler.workers)
        yield _gauge("workers_quarantined", "Workers kept from work.", len(scheduler.quarantined))
        yield _gauge("gangs_running", "Gangs that run.", scheduler.running)
        yield _gauge("slowest_reclaim_seconds", "Slowest reclaim.", scheduler.slowest_reclaim)
        missing = sum(shortfall.missing for shortfall in scheduler.shortfalls)
        yield _gauge("guarantees_lacking", "Guaranteed gangs without a place.", missing)
        queued = _family("jobs_queued", "Queued jobs, on the lease holder.", "urgency")
        for queue in scheduler.queues:
            queued.add_metric([queue.urgency.value], queue.jobs)
        yield queued


class Metrics:
    """All metrics of one daemon."""

    def __init__(self, node: Node, transport: Transport, clock: Callable[[], Seconds]) -> None:
        self._registry = CollectorRegistry()
        for name, direction in (("peer_bytes_sent", "to"), ("peer_bytes_received", "from")):
            gauge = Gauge(PREFIX + name, f"Bytes {direction} peers.", registry=self._registry)
            attribute = name.removeprefix("peer_bytes_") + "_bytes"
            gauge.set_function(partial(getattr, transport, attribute))
        self._registry.register(NodeCollector(node, clock))
        self._answered = Counter(
            PREFIX + "requests_answered",
            "Requests that ended with an answer.",
            registry=self._registry,
        )
        self._refused = Counter(
            PREFIX + "requests_refused",
            "Requests that ended without an answer.",
            ["reason", "execution"],
            registry=self._registry,
        )

    def answered(self) -> None:
        """Count a request that ended with an endpoint's answer."""
        self._answered.inc()

    def refused(self, refusal: Refusal) -> None:
        """Count a request that ended without one."""
        self._refused.labels(refusal.reason.value, refusal.execution.value).inc()

    def text(self) -> bytes:
        """Return everything in Prometheus' text format."""
        return generate_latest(self._registry)


def _gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, value=value)


def _family(name: str, help_text: str, label: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, labels=[label])
