"""The log of decisions is bounded in volume, never blocks and contains no secrets."""

import json
import logging
import os
import unittest

from pythonjsonlogger.json import JsonFormatter

from bulrushhollow_core.domain import Event, Submit, Work, log_event
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.decision_log import (
    LINE_FORMAT,
    RENAMED_FIELDS,
    RateLimitFilter,
    StandardOutputHandler,
)


class RateLimitFilterTest(unittest.TestCase):
    def test_lines_of_an_event_beyond_the_limit_are_folded_until_the_next_second(self) -> None:
        rate_limit = RateLimitFilter(max_lines=3)
        admitted = [rate_limit.admit("placed", logging.INFO, Seconds(10.0)) for _ in range(9)]
        self.assertEqual(3, sum(admitted))
        self.assertEqual({"placed": 6}, dict(rate_limit.folded_by_event))
        self.assertTrue(rate_limit.admit("placed", logging.INFO, Seconds(11.0)))

    def test_a_warning_always_passes(self) -> None:
        rate_limit = RateLimitFilter(max_lines=0)
        self.assertTrue(rate_limit.admit("failed", logging.WARNING, Seconds(1.0)))


class StandardOutputHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.rate_limit = RateLimitFilter(max_lines=1_000_000)
        self.handler = StandardOutputHandler(self.writer, self.rate_limit, max_buffered_lines=50)
        self.handler.setFormatter(JsonFormatter(LINE_FORMAT, rename_fields=RENAMED_FIELDS))
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def tearDown(self) -> None:
        for descriptor in (self.reader, self.writer):
            try:
                os.close(descriptor)
            except OSError:
                continue

    def test_a_reader_that_does_not_read_does_not_block_logging(self) -> None:
        for number in range(5000):
            self.logger.info("placed", extra={"job": f"{number:016x}", "text": "x" * 100})
        self.assertGreater(self.handler.dropped, 0)

    def test_a_closed_reader_raises_no_error(self) -> None:
        os.close(self.reader)
        for _ in range(5000):
            self.logger.info("placed")
        self.assertGreater(self.handler.dropped, 0)

    def test_lines_are_complete_json_after_the_reader_resumes(self) -> None:
        for number in range(2000):
            self.logger.info("placed", extra={"number": number, "text": "x" * 100})
        data = b""
        while chunk := os.read(self.reader, 65_536):
            data += chunk
            self.handler.flush()
            if data.endswith(b"\n") and not self.handler._buffer:
                break
        lines = [json.loads(line) for line in data.splitlines()]
        self.assertTrue(all(line["event"] == "placed" for line in lines))


class SecretsTest(unittest.TestCase):
    def test_a_log_event_contains_neither_keys_nor_bodies(self) -> None:
        call = Submit("host", "/queue/1", "secret-key", Work("secret body", ()))
        fields = log_event(Event.SUBMISSION_REFUSED, path=call.path, reason="x").fields
        self.assertNotIn("secret", str(fields))


if __name__ == "__main__":
    unittest.main()
