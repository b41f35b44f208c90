"""The log of decisions: bounded in volume, never blocking, and without secrets."""

import json
import logging
import os
import unittest

from pythonjsonlogger.json import JsonFormatter

from bulrushhollow_core.domain import Event, Submit, Work, log_event
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.decision_log import FIELDS, RENAMED, RateFilter, StandardOutput


class RateFilterTest(unittest.TestCase):
    def test_an_event_writes_a_bounded_number_of_lines_a_second(self) -> None:
        rates = RateFilter(lines=3)
        admitted = [rates.admits("placed", logging.INFO, Seconds(10.0)) for _ in range(9)]
        self.assertEqual(3, sum(admitted))
        self.assertEqual({"placed": 6}, dict(rates.folded))
        self.assertTrue(rates.admits("placed", logging.INFO, Seconds(11.0)))

    def test_a_warning_always_passes(self) -> None:
        rates = RateFilter(lines=0)
        self.assertTrue(rates.admits("failed", logging.WARNING, Seconds(1.0)))


class StandardOutputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.rates = RateFilter(lines=1_000_000)
        self.handler = StandardOutput(self.writer, self.rates, buffer_lines=50)
        self.handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED))
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def tearDown(self) -> None:
        for descriptor in (self.reader, self.writer):
            try:
                os.close(descriptor)
            except OSError:
                continue

    def test_a_reader_that_does_not_read_blocks_nothing(self) -> None:
        for number in range(5000):
            self.logger.info("placed", extra={"job": f"{number:016x}", "text": "x" * 100})
        self.assertGreater(self.handler.dropped, 0)

    def test_a_reader_that_is_gone_ends_nothing(self) -> None:
        os.close(self.reader)
        for _ in range(5000):
            self.logger.info("placed")
        self.assertGreater(self.handler.dropped, 0)

    def test_lines_are_json_and_whole_after_the_reader_comes_back(self) -> None:
        for number in range(2000):
            self.logger.info("placed", extra={"number": number, "text": "x" * 100})
        data = b""
        while chunk := os.read(self.reader, 65_536):
            data += chunk
            self.handler.flush()
            if data.endswith(b"\n") and not self.handler._waiting:
                break
        lines = [json.loads(line) for line in data.splitlines()]
        self.assertTrue(all(line["event"] == "placed" for line in lines))


class SecretsTest(unittest.TestCase):
    def test_a_note_holds_neither_keys_nor_bodies(self) -> None:
        call = Submit("host", "/queue/1", "secret-key", Work("secret body", ()))
        fields = log_event(Event.SUBMISSION_REFUSED, path=call.path, reason="x").fields
        self.assertNotIn("secret", str(fields))


if __name__ == "__main__":
    unittest.main()
