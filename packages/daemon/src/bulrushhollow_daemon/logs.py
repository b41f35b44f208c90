"""
bulrushhollow_daemon.logs
~~~~~~~~~~~~~~~~~~~~~~~~~

Structured logs: one line for each event, with its ids as fields. A log call passes the name of the
event as the message and everything else through ``extra``.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from bulrushhollow_daemon.settings import LogFormat, Settings

LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class InstanceFilter(logging.Filter):
    """Adds the instance and its data centre to every line."""

    def __init__(self, name: str, data_centre: str) -> None:
        super().__init__()
        self._name = name
        self._data_centre = data_centre

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the fields; never drop a line."""
        record.instance = self._name
        record.data_centre = self._data_centre
        return True


def configure(settings: Settings) -> None:
    """Send all logs to standard error in the format that the settings ask for."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.log_format is LogFormat.JSON:
        renamed_fields = {
            "asctime": "time",
            "levelname": "level",
            "name": "logger",
            "message": "event",
        }
        handler.setFormatter(JsonFormatter(LINE_FORMAT, rename_fields=renamed_fields))
    else:
        handler.setFormatter(logging.Formatter(LINE_FORMAT))
    handler.addFilter(InstanceFilter(settings.name, settings.data_centre))
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
    for library in ("hpack", "httpcore", "grpclib", "uvicorn.access"):
        logging.getLogger(library).setLevel(logging.WARNING)
