"""The metrics of a domain's processes, and the table that documents them."""

import os
import pathlib
import random
import re
import unittest

from prometheus_client import CollectorRegistry

from bulrushhollow_core.consensus import Restorer
from bulrushhollow_core.domain import DomainNode, DomainSettings, Event, log_event
from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_daemon.decision_log import RateFilter, StandardOutput
from bulrushhollow_daemon.domain._metrics import (
    CallMetrics,
    CoreMetrics,
    ProcessMetrics,
    text_of,
)
from bulrushhollow_platform._settings import SettingsFile, SettingsFileError

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
MADE_BY_LIBRARY = re.compile(r"_(bucket|sum|count)$")


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = CollectorRegistry()
        reading, self.writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, self.writing)
        self.rates = RateFilter(1)
        self.output = StandardOutput(self.writing, self.rates)
        self.is_ready = False
        self.process = ProcessMetrics(self.registry, self.output, lambda: self.is_ready)
        self.core = CoreMetrics(self.registry)
        self.calls = CallMetrics(self.registry)
        me = InstanceId("10.0.0.1.00000001")
        node = DomainNode(
            me, Restorer().restored(), DomainSettings(), random.Random(1), Seconds(0.0)
        )
        self.core.watch(node)

    def value(self, name: str, **labels: str) -> float | None:
        return self.registry.get_sample_value(f"bulrushhollow_{name}", labels or None)

    def test_the_page_names_every_metric_and_no_other(self) -> None:
        served = {
            MADE_BY_LIBRARY.sub("", line.split("{")[0].split(" ")[0])
            for line in self.full_text().splitlines()
            if not line.startswith("#") and "_created" not in line
        }
        table = PAGE.read_text(encoding="utf-8").partition("## Metrics")[2].partition("## ")[0]
        named = set(re.findall(r"^\| `(\w+)`|(?<=, )`(\w+)`(?=[^|]*\| counts)", table, re.M))
        names = {f"bulrushhollow_{first or second}" for first, second in named}
        self.assertEqual(names, served)

    def full_text(self) -> str:
        self.calls.answered("Submit", "Done", 0.1)
        self.core.noted(log_event(Event.RUN_ENDED, outcome="done"))
        self.core.noted(log_event(Event.START_ANSWERED, result="accepted"))
        self.core.noted(log_event(Event.RUN_STOPPED, reason="preempted for j"))
        self.process.lines_missed({"run_ended": 1}, 0)
        return text_of(self.registry).decode()

    def test_lines_that_are_not_written_are_counted(self) -> None:
        for _ in range(4):
            self.rates.admits("run_ended", 20, Seconds(1.0))
        self.output.dropped = 2
        self.output.report()
        self.assertEqual(3, self.value("log_lines_folded_total", event="run_ended"))
        self.assertEqual(2, self.value("log_lines_dropped_total"))

    def test_stops_are_told_apart_by_a_bounded_label(self) -> None:
        for reason in ("preempted for 00ab", "preempted for 00cd", "a run is slow", "whatever"):
            self.core.noted(log_event(Event.RUN_STOPPED, reason=reason))
        self.assertEqual(2, self.value("stops_total", reason="preempted"))
        self.assertEqual(1, self.value("stops_total", reason="other"))

    def test_readiness_is_read_when_it_is_asked_for(self) -> None:
        self.assertEqual(0, self.value("ready"))
        self.is_ready = True
        self.assertEqual(1, self.value("ready"))

    def test_no_configuration_has_no_age(self) -> None:
        self.assertEqual(-1, self.value("configuration_age_seconds"))


class LogLevelTest(unittest.TestCase):
    def test_the_level_is_checked(self) -> None:
        self.assertEqual("INFO", SettingsFile({}).log_level)
        quiet = SettingsFile({"BULRUSHHOLLOW_LOG_LEVEL": "WARNING"})
        self.assertEqual("WARNING", quiet.log_level)
        with self.assertRaises(SettingsFileError):
            _ = SettingsFile({"BULRUSHHOLLOW_LOG_LEVEL": "loud"}).log_level


if __name__ == "__main__":
    unittest.main()
