"""
bulrushhollow_daemon.domain._metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of the processes of a domain, in Prometheus' format.
"""

from collections.abc import Callable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from bulrushhollow_core.domain import DomainNode, Event, LogEvent
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.decision_log import StandardOutput

PREFIX = "bulrushhollow_"

LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
"""Seconds; from one commit to the longest wait of a caller."""

STEP_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5)
"""Seconds; from an idle step to one that holds up a heartbeat."""

OTHER_STOP = "other"
"""Label of a stop for a reason that is not in the table."""

STOP_LABELS = {
    "preempted": "preempted",
    "a run stands still": "stalled",
    "a run is slow": "slow",
    "its worker leaves": "worker_leaves",
}
"""Labels of stops, by how their reason begins."""

WAIT_BUCKETS = (0.05, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)
"""Seconds; from one commit to the lateness after which a result is worth nothing."""


class CallMetrics:
    """What callers see of one process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._calls = Counter(
            PREFIX + "calls",
            "Calls answered, by kind and answer.",
            ["kind", "answer"],
            registry=registry,
        )
        self._seconds = Histogram(
            PREFIX + "call_seconds",
            "Time until a call is answered.",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )

    def answered(self, kind: str, answer: str, seconds: float) -> None:
        """Count one call."""
        self._calls.labels(kind, answer).inc()
        self._seconds.labels(kind).observe(seconds)


class CoreMetrics:
    """What an instance with a disk measures."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._events = Counter(
            PREFIX + "decisions", "Decisions by kind.", ["event"], registry=registry
        )
        self._run_ends = Counter(
            PREFIX + "run_ends", "Runs that ended, by outcome.", ["outcome"], registry=registry
        )
        self._starts = Counter(
            PREFIX + "starts", "Orders to start, by result.", ["result"], registry=registry
        )
        self._waits = Histogram(
            PREFIX + "queue_wait_seconds",
            "Time that a step waited for its place.",
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self._syncs = Histogram(
            PREFIX + "journal_sync_seconds",
            "Time to write and sync one batch.",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self._steps = Histogram(
            PREFIX + "decision_seconds",
            "Processor time of one step: taking in what happened, planning and deciding.",
            buckets=STEP_BUCKETS,
            registry=registry,
        )
        self._stops = Counter(
            PREFIX + "stops", "Runs told to stop, by reason.", ["reason"], registry=registry
        )

    def watch(self, node: DomainNode) -> None:
        """Read gauges from a node when they are asked for."""
        gauges = {
            "leads": ("1 on the leader.", lambda: int(node.is_leading(clock.now()))),
            "configuration_version": (
                "Version in force here.",
                lambda: node.state.configuration.version if node.state.configuration else 0,
            ),
            "configuration_age_seconds": (
                "Seconds since the version in force here was applied; -1 before the first.",
                lambda: node.configuration_age(clock.now()),
            ),
            "jobs_open": ("Jobs that are not over.", lambda: len(node.state.active_jobs_by_id)),
            "workers": (
                "Workers that the leader knows.",
                lambda: node.scheduler.worker_count if node.scheduler else 0,
            ),
            "runs": (
                "Runs that take room, on the leader.",
                lambda: node.scheduler.run_count if node.scheduler else 0,
            ),
        }
        for name, (text, read) in gauges.items():
            Gauge(PREFIX + name, text, registry=self._registry).set_function(read)

    def synced(self, seconds: float) -> None:
        """Take in how long a sync took."""
        self._syncs.observe(seconds)

    def stepped(self, seconds: float) -> None:
        """Take in how much processor time a step took."""
        self._steps.observe(seconds)

    def noted(self, log_event: LogEvent) -> None:
        """Count a decision."""
        self._events.labels(log_event.event.value).inc()
        if log_event.event is Event.RUN_ENDED:
            self._run_ends.labels(str(log_event.fields["outcome"])).inc()
        elif log_event.event is Event.START_ANSWERED:
            self._starts.labels(str(log_event.fields["result"])).inc()
        elif log_event.event is Event.STEP_PLACED:
            self._waits.observe(float(log_event.fields["waited"]))
        elif log_event.event is Event.RUN_STOPPED:
            self._stops.labels(_stop_label(str(log_event.fields["reason"]))).inc()


class ProcessMetrics:
    """
    What every process of a domain measures of itself.

    :param is_ready: whether it would be sent callers or workers now.
    """

    def __init__(
        self, registry: CollectorRegistry, output: StandardOutput, is_ready: Callable[[], bool]
    ) -> None:
        gauge = Gauge(PREFIX + "ready", "1 while this process can serve.", registry=registry)
        gauge.set_function(lambda: int(is_ready()))
        self._folded = Counter(
            PREFIX + "log_lines_folded",
            "Log lines counted instead of written, by event.",
            ["event"],
            registry=registry,
        )
        self._dropped = Counter(
            PREFIX + "log_lines_dropped",
            "Log lines lost to a slow reader or a field that is not JSON.",
            registry=registry,
        )
        output.watch(self)

    def lines_missed(self, folded: Mapping[str, int], dropped: int) -> None:
        """Take in what was not written since the last report."""
        for event, count in folded.items():
            self._folded.labels(event).inc(count)
        self._dropped.inc(dropped)


def _stop_label(reason: str) -> str:
    labels = (label for start, label in STOP_LABELS.items() if reason.startswith(start))
    return next(labels, OTHER_STOP)


def text_of(registry: CollectorRegistry) -> bytes:
    """Return all metrics in Prometheus' text format."""
    return generate_latest(registry)
