"""
bulrushhollow_daemon.tracing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A span for each hop, with the W3C trace context passed on. Without an exporter nothing is recorded,
the library is not loaded, and a caller's context is passed on as it came.
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
    One hop.

    :param traceparent: the context to pass on; None if there is none.
    """

    traceparent: str | None = None

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that pass the context on."""
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

        :param parent: the context that came with the hop.
        :param attributes: ids to record with it.
        """


class NoTracer:
    """Records nothing."""

    @contextmanager
    def span(self, name: str, parent: str | None, **attributes: str) -> Iterator[Span]:
        """Pass the context on."""
        yield Span(parent)


class LogTracer:
    """Records spans with OpenTelemetry and writes each finished one to the log."""

    def __init__(self, settings: Settings) -> None:
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import SimpleSpanProcessor
        from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

        resource = Resource.create({"service.name": "bulrushhollowd", "instance": settings.name})
        provider = TracerProvider(resource=resource)
        provider.add_span_processor(SimpleSpanProcessor(_log_exporter()))
        self._tracer = provider.get_tracer("bulrushhollow_daemon")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(self, name: str, parent: str | None, **attributes: str) -> Iterator[Span]:
        """Record a span."""
        carrier = {} if parent is None else {TRACEPARENT: parent}
        context = self._propagator.extract(carrier)
        with self._tracer.start_as_current_span(name, context, attributes=attributes):
            passed_on: dict[str, str] = {}
            self._propagator.inject(passed_on)
            yield Span(passed_on.get(TRACEPARENT))


def make_tracer(settings: Settings) -> Tracer:
    """Return the tracer that the settings ask for."""
    return NoTracer() if settings.trace is TraceExporter.NONE else LogTracer(settings)


def _log_exporter() -> Any:
    from opentelemetry.sdk.trace import ReadableSpan
    from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult

    class LogExporter(SpanExporter):
        """Writes each finished span as one line of the log."""

        def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
            for span in spans:
                logger.info("span", extra=_fields(span))
            return SpanExportResult.SUCCESS

    return LogExporter()


def _fields(span: Any) -> dict[str, Any]:
    context = span.get_span_context()
    return {
        "span": span.name,
        "trace_id": format(context.trace_id, "032x"),
        "span_id": format(context.span_id, "016x"),
        "parent_id": format(span.parent.span_id, "016x") if span.parent else "",
        "nanoseconds": span.end_time - span.start_time,
        **dict(span.attributes or {}),
    }
