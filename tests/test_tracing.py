import unittest

from bulrushhollow_core.ids import DataCentreId, InstanceName
from bulrushhollow_daemon.settings import Address, Settings, TraceExporter
from bulrushhollow_daemon.tracing import make_tracer

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"
LOOPBACK = Address("127.0.0.1", 0)


def make_settings(exporter: TraceExporter) -> Settings:
    name = InstanceName("a1")
    return Settings(name, DataCentreId("north"), LOOPBACK, LOOPBACK, trace=exporter)


class TracingTest(unittest.TestCase):
    def test_without_an_exporter_the_context_is_passed_on_unchanged(self) -> None:
        with make_tracer(make_settings(TraceExporter.NONE)).span("request", TRACEPARENT) as span:
            self.assertEqual([(b"traceparent", TRACEPARENT.encode())], span.headers())

    def test_each_hop_is_a_span_of_the_same_trace(self) -> None:
        tracer = make_tracer(make_settings(TraceExporter.LOG))
        with (
            self.assertLogs("bulrushhollow_daemon.tracing") as logs,
            tracer.span("request", TRACEPARENT, request="r1") as outer,
            tracer.span("dispatch", outer.traceparent, request="r1") as inner,
        ):
            pass
        assert inner.traceparent is not None
        self.assertIn(TRACE_ID, inner.traceparent)
        self.assertNotEqual(outer.traceparent, inner.traceparent)
        dispatch, request = (vars(record) for record in logs.records)
        self.assertEqual(("dispatch", "request"), (dispatch["span"], request["span"]))
        self.assertEqual(request["span_id"], dispatch["parent_id"])


if __name__ == "__main__":
    unittest.main()
