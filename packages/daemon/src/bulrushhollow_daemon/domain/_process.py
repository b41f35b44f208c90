"""
bulrushhollow_daemon.domain._process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What every process of a domain does besides its role: signals, reloads, metrics and its log.
"""

import logging
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from prometheus_client import CollectorRegistry

from bulrushhollow_daemon.decision_log import StandardOutputHandler
from bulrushhollow_daemon.domain._metrics import render_metrics
from bulrushhollow_daemon.domain._settings import REPORT_INTERVAL, InstanceSettings
from bulrushhollow_daemon.http_messages import Receive, Request, Response, Scope, Send

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

logger = logging.getLogger("bulrushhollow.process")

Application = Callable[[Scope, Receive, Send], Awaitable[None]]
"""An ASGI application."""

SettingsReader = Callable[[], InstanceSettings | None]
"""Reads the settings anew; None if they have not changed."""


class SingleAnswer:
    """An application that answers every GET with one text."""

    def __init__(self, answer: Callable[[], Response]) -> None:
        """Answer with what a function returns."""
        self._answer = answer

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        request = Request(scope, receive)
        response = self._answer() if request.method == "GET" else Response(405, b"")
        await response.send(send)


class Pages:
    """An application that answers GET by path."""

    def __init__(self, answers_by_path: dict[str, Callable[[], Response]]) -> None:
        """Answer each path with what its function returns."""
        self._answers_by_path = answers_by_path

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        request = Request(scope, receive)
        answer = self._answers_by_path.get(request.path)
        response = answer() if answer and request.method == "GET" else Response(404, b"{}")
        await response.send(send)


def operators_pages(registry: CollectorRegistry, status: Callable[[], msgspec.Struct]) -> Pages:
    """Return an application that serves metrics and the state of the process."""
    return Pages(
        {
            "/metrics": lambda: Response(200, render_metrics(registry), METRICS_TYPE),
            "/v1/status": lambda: Response(200, msgspec.json.encode(status())),
        }
    )


async def watch_settings(
    read: SettingsReader,
    apply: Callable[[InstanceSettings], None],
    log_handler: StandardOutputHandler,
) -> None:
    """Look for changed settings, which come with or without a signal, and report on the log."""
    while True:
        await anyio.sleep(REPORT_INTERVAL)
        changed = read()
        if changed is not None:
            logger.info("settings_reloaded", extra={"seeds": ",".join(changed.seeds)})
            apply(changed)
        log_handler.report_unwritten()


async def until_stopped(stop: Callable[[], Awaitable[Any]]) -> None:
    """Wait for the signal to stop, then stop in order; a second signal ends the waiting."""
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number is signal.SIGHUP:
                logger.info("reload_asked", extra={"signal": int(number)})
                continue
            logger.info("stopping", extra={"signal": int(number)})
            break
        await stop()
