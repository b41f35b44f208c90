"""
bulrushhollow_daemon.decision_log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Structured logs on standard output that are bounded in volume and never block the event loop. Each
event may write a limited number of lines a second; the rest are folded, which means counted and
reported in one line. While the reader is slow or gone, lines stay in a bounded buffer; lines that
do not fit are dropped and counted as well.
"""

import contextlib
import logging
import os
import sys
from collections import Counter, deque
from collections.abc import Mapping
from typing import Protocol

from pythonjsonlogger.json import JsonFormatter

from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock

MAX_LINES_PER_INTERVAL = 60
"""Lines that one event may write in one interval; a burst of jobs stays readable at this rate."""

MAX_BUFFERED_LINES = 4000
"""Lines that are kept for a slow reader; some 1 MiB."""

RATE_INTERVAL = Seconds(1.0)
"""Seconds over which the lines of an event are counted."""

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger", "message": "event"}


class UnwrittenLinesObserver(Protocol):
    """Receives the numbers of log lines that were not written."""

    def count_unwritten_lines(self, folded_by_event: Mapping[str, int], dropped: int) -> None:
        """
        Count the lines that were not written since the last report.

        :param folded_by_event: lines counted instead of written.
        :param dropped: lines lost to a slow reader or a field that is not JSON.
        """


class RateLimitFilter(logging.Filter):
    """
    Passes a limited number of lines of each event and counts the rest.

    :param max_lines: lines of one event that pass in one interval; warnings always pass.
    """

    def __init__(self, max_lines: int = MAX_LINES_PER_INTERVAL) -> None:
        super().__init__()
        self._max_lines = max_lines
        self._interval_started_at = Seconds(0.0)
        self._count_by_event: Counter[str] = Counter()
        self.folded_by_event: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may be written."""
        return self.admit(record.msg, record.levelno, clock.now())

    def admit(self, event: str, level: int, now: Seconds) -> bool:
        """Count one line of an event, and return whether it may be written."""
        if now - self._interval_started_at >= RATE_INTERVAL:
            self._interval_started_at = now
            self._count_by_event.clear()
        self._count_by_event[event] += 1
        if level >= logging.WARNING or self._count_by_event[event] <= self._max_lines:
            return True
        self.folded_by_event[event] += 1
        return False


class StandardOutputHandler(logging.Handler):
    """
    A log handler that writes to a descriptor without ever waiting for the reader.

    :param descriptor: file descriptor to write to; it is switched to non-blocking.
    :param rate_limit: filter that counts the folded lines.
    :param max_buffered_lines: lines that are kept for a slow reader.
    """

    def __init__(
        self,
        descriptor: int,
        rate_limit: RateLimitFilter,
        max_buffered_lines: int = MAX_BUFFERED_LINES,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rate_limit = rate_limit
        self._max_buffered_lines = max_buffered_lines
        self._buffer: deque[bytes] = deque()
        self.dropped = 0
        self._observer: UnwrittenLinesObserver | None = None
        self._is_reader_gone = False
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it until the reader takes more."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if len(self._buffer) >= self._max_buffered_lines:
            self.dropped += 1
            return
        self._buffer.append(line)
        self.flush()

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Count a line that can't be written as JSON as dropped."""
        self.dropped += 1

    def flush(self) -> None:
        """Write the buffered lines as far as the reader takes them."""
        while self._buffer and not self._is_reader_gone:
            line = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                self._is_reader_gone = True
                written = 0
            if written < len(line):
                self._buffer.appendleft(line[written:])
                return

    def set_observer(self, observer: UnwrittenLinesObserver) -> None:
        """Set the observer that receives the numbers of unwritten lines with each report."""
        self._observer = observer

    def report_unwritten(self) -> None:
        """Log the numbers of lines that were not written since the last report, if any."""
        self.flush()
        folded_by_event, dropped = dict(self._rate_limit.folded_by_event), self.dropped
        if not folded_by_event and not dropped:
            return
        self._rate_limit.folded_by_event.clear()
        self.dropped = 0
        if self._observer is not None:
            self._observer.count_unwritten_lines(folded_by_event, dropped)
        logging.getLogger("bulrushhollow.log").warning(
            "lines_folded", extra={"folded": folded_by_event, "dropped": dropped}
        )


class IdentityFilter(logging.Filter):
    """Adds the instance, its role and its data centre to every line."""

    def __init__(self, instance: str, role: str, data_centre: str) -> None:
        super().__init__()
        self._instance = instance
        self._role = role
        self._data_centre = data_centre

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; never drop a line."""
        record.instance = self._instance
        record.role = self._role
        record.data_centre = self._data_centre
        return True


def configure(
    instance: str, role: str, data_centre: str, level: str = "INFO"
) -> StandardOutputHandler:
    """
    Send all logs to standard output.

    :return: the handler, whose ``report_unwritten`` must be called each second.
    """
    rate_limit = RateLimitFilter()
    handler = StandardOutputHandler(sys.stdout.fileno(), rate_limit)
    handler.setFormatter(JsonFormatter(LINE_FORMAT, rename_fields=RENAMED_FIELDS))
    handler.addFilter(rate_limit)
    handler.addFilter(IdentityFilter(instance, role, data_centre))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for library in ("asyncio", "hpack", "httpcore", "grpclib", "uvicorn", "uvicorn.error"):
        logging.getLogger(library).setLevel(logging.ERROR)
    return handler
