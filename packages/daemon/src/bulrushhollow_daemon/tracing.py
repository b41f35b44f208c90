"""
bulrushhollow_daemon.tracing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracing: a span for each hop, with the W3C trace context passed on. Without an exporter nothing is
recorded, OpenTelemetry is not loaded, and a caller's context is passed on unchanged.
"""

import logging
from collections.abc import Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from typing import Any, Protocol

import msgspec

from bulrushhollow_daemon.settings import Settings, TraceExporter

TRACEPARENT = "traceparent"
"""Header that carries the trace context."""

logger = logging.getLogger(__name__)


class Span(msgspec.Struct, frozen=True):
    """
    One hop of a request.

    :param traceparent: the trace context to pass on; None if there is none.
    """

    traceparent: str | None = None

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that carry the trace context to the next hop."""
        if self.traceparent is None:
            return []
        return [(TRACEPARENT.encode(), self.traceparent.encode("latin-1"))]


class Tracer(Protocol):
    """Opens spans."""

    def span(
        self, name: str, parent: str | None, **attributes: str
    ) -> AbstractContextManager[Span]:
        """
        Open a span for one hop.

        :param parent: the trace context that the hop received; None if it received none.
        :param attributes: ids to record with the span.
        """


class NoTracer:
    """A tracer that records nothing."""

    @contextmanager
    def span(self, name: str, parent: str | None, **attributes: str) -> Iterator[Span]:
        """Pass the trace context on unchanged."""
        yield Span(parent)


class LogTracer:
    """A tracer that records spans with OpenTelemetry and writes each finished one to the log."""

    def __init__(self, settings: Settings) -> None:
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor
        from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

        resource = Resource.create({"service.name": "bulrushhollowd", "instance": settings.name})
        provider = TracerProvider(resource=resource)
        provider.add_span_processor(SimpleSpanProcessor(_make_log_exporter()))
        self._tracer = provider.get_tracer("bulrushhollow_daemon")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(self, name: str, parent: str | None, **attributes: str) -> Iterator[Span]:
        """Record a span that is a child of the received context."""
        incoming_carrier = {} if parent is None else {TRACEPARENT: parent}
        context = self._propagator.extract(incoming_carrier)
        with self._tracer.start_as_current_span(name, context, attributes=attributes):
            outgoing_carrier: dict[str, str] = {}
            self._propagator.inject(outgoing_carrier)
            yield Span(outgoing_carrier.get(TRACEPARENT))


def make_tracer(settings: Settings) -> Tracer:
    """Return the tracer that the settings select."""
    return NoTracer() if settings.trace is TraceExporter.NONE else LogTracer(settings)


def _make_log_exporter() -> Any:
    from opentelemetry.sdk.trace import ReadableSpan
    from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

    class LogExporter(SpanExporter):
        """Writes each finished span as one line of the log."""

        def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
            for span in spans:
                logger.info("span", extra=_log_fields(span))
            return SpanExportResult.SUCCESS

    return LogExporter()


def _log_fields(span: Any) -> dict[str, Any]:
    context = span.get_span_context()
    return {
        "span": span.name,
        "trace_id": format(context.trace_id, "032x"),
        "span_id": format(context.span_id, "016x"),
        "parent_id": format(span.parent.span_id, "016x") if span.parent else "",
        "nanoseconds": span.end_time - span.start_time,
        **dict(span.attributes or {}),
    }
