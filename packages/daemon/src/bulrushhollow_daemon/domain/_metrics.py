"""
bulrushhollow_daemon.domain._metrics
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The metrics of a domain's processes, in Prometheus' format.
"""

import collections
from collections.abc import Callable, Mapping
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from bulrushhollow_core.domain import (
    AskAdvice,
    DomainNode,
    Event,
    LogEvent,
    OrderKind,
    OrderStart,
    OrderStop,
    Poll,
    RefusalReason,
)
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.decision_log import StandardOutputHandler

PREFIX = "bulrushhollow_"

LATENCY_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)
"""Seconds; from the length of one commit to the longest time that a caller waits."""

STEP_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
"""Seconds; from an idle step to one that outlasts the leader lease several times."""

OTHER_STOP_LABEL = "other"
"""Label of a stop whose reason begins with none of the known prefixes."""

STOP_LABELS_BY_REASON_PREFIX = {
    "preempted": "preempted",
    "a run stands still": "stalled",
    "a run is slow": "slow",
    "its worker leaves": "worker_leaves",
    "its gang cannot start": "gang_incomplete",
}
"""Labels of stops, by the prefix of their reason; few, so that the metric stays bounded."""

REFUSAL_LABELS = frozenset(
    {
        RefusalReason.EXCEEDS_CAP.value,
        RefusalReason.OVERLOADED.value,
        "Refused",
        "NoSuchQueue",
        "NotAllowed",
    }
)
"""Labels of refused submissions that are written as they are."""

MALFORMED_LABEL = "malformed"
"""Label of all other refused submissions; their reasons are texts without bound."""

QUEUE_WAIT_BUCKETS = (0.05, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0)
"""Seconds; from the length of one commit to the lateness at which a result is worthless."""


ORDER_KINDS = tuple(kind.__name__ for kind in (OrderStart, OrderStop, Poll, AskAdvice))
"""Labels of orders."""


class CallMetrics:
    """Metrics of the calls that one process answers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._calls = Counter(
            PREFIX + "calls",
            "Calls answered, by kind and answer.",
            ["kind", "answer"],
            registry=registry,
        )
        self._call_seconds = Histogram(
            PREFIX + "call_seconds",
            "Time until a call is answered.",
            ["kind"],
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )

    def count_call(self, kind: str, answer: str, seconds: float) -> None:
        """Count an answered call and observe how long it took."""
        self._calls.labels(kind, answer).inc()
        self._call_seconds.labels(kind).observe(seconds)


class CoreMetrics:
    """Metrics of an instance with a disk: its decisions, its journal and the state of its node."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._decisions = Counter(
            PREFIX + "decisions", "Decisions by kind.", ["event"], registry=registry
        )
        self._run_ends = Counter(
            PREFIX + "run_ends", "Runs that ended, by outcome.", ["outcome"], registry=registry
        )
        self._lost_runs = Counter(
            PREFIX + "lost_runs",
            "Runs lost with their worker, by cause.",
            ["cause"],
            registry=registry,
        )
        self._starts = Counter(
            PREFIX + "starts", "Orders to start, by result.", ["result"], registry=registry
        )
        self._queue_wait_seconds = Histogram(
            PREFIX + "queue_wait_seconds",
            "Time that a step waited for its place.",
            buckets=QUEUE_WAIT_BUCKETS,
            registry=registry,
        )
        self._sync_seconds = Histogram(
            PREFIX + "journal_sync_seconds",
            "Time to write and sync one batch.",
            buckets=LATENCY_BUCKETS,
            registry=registry,
        )
        self._step_seconds = Histogram(
            PREFIX + "decision_seconds",
            "Processor time of one step: taking in what happened, planning and deciding.",
            buckets=STEP_BUCKETS,
            registry=registry,
        )
        self._stops = Counter(
            PREFIX + "stops", "Runs told to stop, by reason.", ["reason"], registry=registry
        )

        self._step_waits = Counter(
            PREFIX + "step_waits",
            "Lines about steps that wait while nothing of their jobs runs, by reason.",
            ["reason"],
            registry=registry,
        )
        self._refused_submissions = Counter(
            PREFIX + "refused_submissions",
            "Submissions refused, by reason.",
            ["reason"],
            registry=registry,
        )

    def add_node_gauges(self, node: DomainNode) -> None:
        """Add gauges that are read from a node when the metrics are scraped."""
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
            "order_limit": (
                "Orders to start and to stop that may be in flight, on the leader.",
                lambda: node.scheduler.order_load(clock.now()).limit if node.scheduler else 0,
            ),
        }
        for name, (help_text, read) in gauges.items():
            Gauge(PREFIX + name, help_text, registry=self._registry).set_function(read)
        waiting = Gauge(
            PREFIX + "orders_waiting",
            "Orders that wait to leave, on the leader.",
            ["kind"],
            registry=self._registry,
        )
        for kind in OrderKind:
            waiting.labels(kind.value).set_function(partial(_count_waiting, node, kind))

    def add_order_gauges(self, in_flight_by_kind: collections.Counter[str]) -> None:
        """Add a gauge for the orders in flight of each kind."""
        gauge = Gauge(
            PREFIX + "orders_in_flight",
            "Orders handed to the clients of workers and not settled.",
            ["kind"],
            registry=self._registry,
        )
        for kind in ORDER_KINDS:
            gauge.labels(kind).set_function(partial(in_flight_by_kind.__getitem__, kind))

    def observe_sync(self, seconds: float) -> None:
        """Observe how long a sync of the journal took."""
        self._sync_seconds.observe(seconds)

    def observe_step(self, seconds: float) -> None:
        """Observe how much processor time a step of the node took."""
        self._step_seconds.observe(seconds)

    def count_decision(self, log_event: LogEvent) -> None:
        """Count a decision, and what its fields add to the other metrics."""
        self._decisions.labels(log_event.event.value).inc()
        if log_event.event is Event.RUN_ENDED:
            self._run_ends.labels(str(log_event.fields["outcome"])).inc()
        elif log_event.event is Event.RUN_LOST:
            self._lost_runs.labels(str(log_event.fields["cause"])).inc()
        elif log_event.event is Event.START_ANSWERED:
            self._starts.labels(str(log_event.fields["result"])).inc()
        elif log_event.event is Event.STEP_PLACED:
            self._queue_wait_seconds.observe(float(log_event.fields["waited"]))
        elif log_event.event is Event.STEP_WAITING:
            self._step_waits.labels(str(log_event.fields["reason"])).inc()
        elif log_event.event is Event.SUBMISSION_REFUSED:
            self._refused_submissions.labels(_refusal_label(str(log_event.fields["reason"]))).inc()
        elif log_event.event is Event.RUN_STOPPED:
            self._stops.labels(_stop_label(str(log_event.fields["reason"]))).inc()


class ProcessMetrics:
    """
    Metrics that every process of a domain has.

    :param log_handler: handler whose unwritten lines are counted.
    :param is_ready: returns whether this process can serve callers or workers now.
    """

    def __init__(
        self,
        registry: CollectorRegistry,
        log_handler: StandardOutputHandler,
        is_ready: Callable[[], bool],
    ) -> None:
        gauge = Gauge(PREFIX + "ready", "1 while this process can serve.", registry=registry)
        gauge.set_function(lambda: int(is_ready()))
        self._folded_lines = Counter(
            PREFIX + "log_lines_folded",
            "Log lines counted instead of written, by event.",
            ["event"],
            registry=registry,
        )
        self._dropped_lines = Counter(
            PREFIX + "log_lines_dropped",
            "Log lines lost to a slow reader or a field that is not JSON.",
            registry=registry,
        )
        log_handler.set_observer(self)

    def count_unwritten_lines(self, folded_by_event: Mapping[str, int], dropped: int) -> None:
        """Count the log lines that were not written since the last report."""
        for event, count in folded_by_event.items():
            self._folded_lines.labels(event).inc(count)
        self._dropped_lines.inc(dropped)


def _count_waiting(node: DomainNode, kind: OrderKind) -> int:
    if node.scheduler is None:
        return 0
    return node.scheduler.order_load(clock.now()).waiting_by_kind[kind]


def _refusal_label(reason: str) -> str:
    return reason if reason in REFUSAL_LABELS else MALFORMED_LABEL


def _stop_label(reason: str) -> str:
    labels = (
        label for prefix, label in STOP_LABELS_BY_REASON_PREFIX.items() if reason.startswith(prefix)
    )
    return next(labels, OTHER_STOP_LABEL)


def render_metrics(registry: CollectorRegistry) -> bytes:
    """Return all metrics in Prometheus' text format."""
    return generate_latest(registry)
