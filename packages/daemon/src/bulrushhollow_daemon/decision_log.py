"""
bulrushhollow_daemon.decision_log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Structured logs on standard output, bounded in volume, that never block the loop. Each event may
write some lines a second; the rest are counted and reported in one line. A reader that is slow or
gone makes lines wait in a bounded buffer, and what does not fit is counted as well.
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

LINES_PER_EVENT = 60
"""Lines that one event may write in a second; a burst of jobs stays readable below that."""

BUFFER_LINES = 4000
"""Lines that wait for a slow reader; some 1 MiB."""

INTERVAL = Seconds(1.0)
"""Seconds that a rate is counted over."""

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"

RENAMED = {"asctime": "time", "levelname": "level", "name": "logger", "message": "event"}


class MissedLines(Protocol):
    """Told of log lines that were not written."""

    def lines_missed(self, folded: Mapping[str, int], dropped: int) -> None:
        """
        Take in what was not written since the last report.

        :param folded: lines counted instead of written, by event.
        :param dropped: lines lost to a slow reader.
        """


class RateFilter(logging.Filter):
    """
    Lets a number of lines of each event through and counts the rest.

    :param lines: lines of one event in one interval; warnings always pass.
    """

    def __init__(self, lines: int = LINES_PER_EVENT) -> None:
        super().__init__()
        self._lines = lines
        self._since = Seconds(0.0)
        self._seen: Counter[str] = Counter()
        self.folded: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may be written."""
        return self.admits(record.msg, record.levelno, clock.now())

    def admits(self, event: str, level: int, now: Seconds) -> bool:
        """Count one line of an event, and return whether it may be written."""
        if now - self._since >= INTERVAL:
            self._since = now
            self._seen.clear()
        self._seen[event] += 1
        if level >= logging.WARNING or self._seen[event] <= self._lines:
            return True
        self.folded[event] += 1
        return False


class StandardOutput(logging.Handler):
    """
    Writes lines without ever waiting for the reader.

    :param descriptor: where to write; it is switched to non-blocking.
    :param rates: counts the lines that were not written.
    """

    def __init__(
        self, descriptor: int, rates: RateFilter, buffer_lines: int = BUFFER_LINES
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rates = rates
        self._buffer_lines = buffer_lines
        self._waiting: deque[bytes] = deque()
        self.dropped = 0
        self._missed: MissedLines | None = None
        self._is_gone = False
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until the reader takes more."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        if len(self._waiting) >= self._buffer_lines:
            self.dropped += 1
            return
        self._waiting.append(line)
        self.flush()

    def handleError(self, record: logging.LogRecord) -> None:  # noqa: N802
        """Count a line that can't be written as JSON, and go on."""
        self.dropped += 1

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting and not self._is_gone:
            line = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                self._is_gone = True
                written = 0
            if written < len(line):
                self._waiting.appendleft(line[written:])
                return

    def watch(self, missed: MissedLines) -> None:
        """Tell somebody of the lines that are not written, with each report."""
        self._missed = missed

    def report(self) -> None:
        """Write one line about the lines that were not written since the last report."""
        self.flush()
        folded, dropped = dict(self._rates.folded), self.dropped
        if not folded and not dropped:
            return
        self._rates.folded.clear()
        self.dropped = 0
        if self._missed is not None:
            self._missed.lines_missed(folded, dropped)
        logging.getLogger("bulrushhollow.log").warning(
            "lines_folded", extra={"folded": folded, "dropped": dropped}
        )


class IdentityFilter(logging.Filter):
    """Adds the instance, its role and its data centre to every line."""

    def __init__(self, instance: str, role: str, data_centre: str) -> None:
        super().__init__()
        self._instance = instance
        self._role = role
        self._data_centre = data_centre

    def filter(self, record: logging.LogRecord) -> bool:
        """Never drops a line."""
        record.instance = self._instance
        record.role = self._role
        record.data_centre = self._data_centre
        return True


def configure(instance: str, role: str, data_centre: str, level: str = "INFO") -> StandardOutput:
    """
    Send all logs to standard output.

    :return: the handler, whose ``report`` is to be called each second.
    """
    rates = RateFilter()
    handler = StandardOutput(sys.stdout.fileno(), rates)
    handler.setFormatter(JsonFormatter(FIELDS, rename_fields=RENAMED))
    handler.addFilter(rates)
    handler.addFilter(IdentityFilter(instance, role, data_centre))
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for noisy in ("asyncio", "hpack", "httpcore", "grpclib", "uvicorn", "uvicorn.error"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
    return handler
