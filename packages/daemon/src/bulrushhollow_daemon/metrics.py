"""
bulrushhollow_daemon.metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics in Prometheus' format. Gauges are read from the node when the metrics are scraped, so that
they cost nothing in between.
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
    """Reads the gauges of a node when the metrics are scraped."""

    def __init__(self, node: Node, clock: Callable[[], Seconds]) -> None:
        self._node = node
        self._clock = clock

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield all gauges."""
        yield from self._log_gauges()
        yield from self._request_gauges()
        yield from self._job_gauges()

    def _log_gauges(self) -> Iterator[GaugeMetricFamily]:
        status = self._node.status(self._clock())
        holds_lease = status.authority.state is AuthorityState.HOLDING
        is_leader = status.log.leader == self._node.identity.me
        yield _gauge("log_commit_index", "Last committed entry.", status.log.commit_index)
        yield _gauge("log_applied_index", "Last applied entry.", status.applied)
        yield _gauge("log_term", "Present term.", status.log.term)
        yield _gauge("log_leads", "1 on the leader.", int(is_leader))
        yield _gauge("log_proposals", "Proposals without an outcome.", status.proposals)
        yield _gauge("lease_held", "1 on the holder of the data centre's lease.", int(holds_lease))
        yield _gauge("lease_epoch", "Highest epoch seen.", status.authority.epoch)
        yield _gauge("peers_connected", "Peers in reach.", len(self._node.connected_peers))
        version = self._node.configuration.version
        yield _gauge("configuration_version", "Version in force here.", version)

    def _request_gauges(self) -> Iterator[GaugeMetricFamily]:
        router = self._node.entry.router.status(self._clock())
        yield _gauge("requests_queued", "Requests that wait.", router.queued)
        yield _gauge("requests_in_flight", "Attempts in flight.", router.in_flight)
        capacity = _labelled_gauge("slots_granted", "Slots granted to this instance.", "service")
        for service in router.services:
            capacity.add_metric([service.service], service.capacity)
        yield capacity

    def _job_gauges(self) -> Iterator[GaugeMetricFamily]:
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
        missing_gangs = sum(shortfall.missing for shortfall in scheduler.shortfalls)
        yield _gauge("guarantees_lacking", "Guaranteed gangs without a place.", missing_gangs)
        queued = _labelled_gauge("jobs_queued", "Queued jobs, on the lease holder.", "urgency")
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
        self._answers = Counter(
            PREFIX + "requests_answered",
            "Requests that ended with an answer.",
            registry=self._registry,
        )
        self._refusals = Counter(
            PREFIX + "requests_refused",
            "Requests that ended without an answer.",
            ["reason", "execution"],
            registry=self._registry,
        )

    def count_answer(self) -> None:
        """Count a request that ended with an endpoint's answer."""
        self._answers.inc()

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a request that ended without an endpoint's answer."""
        self._refusals.labels(refusal.reason.value, refusal.execution.value).inc()

    def render_text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)


def _gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, value=value)


def _labelled_gauge(name: str, help_text: str, label: str) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, labels=[label])
