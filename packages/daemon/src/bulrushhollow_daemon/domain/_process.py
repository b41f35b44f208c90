"""
bulrushhollow_daemon.domain._process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What every process of a domain does besides its role: it handles signals, reloads its settings and
serves its metrics and status.
"""

import logging
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import msgspec
from prometheus_client import CollectorRegistry

from bulrushhollow_core.placements import PLACEMENT_PATH
from bulrushhollow_daemon.decision_log import StandardOutputHandler
from bulrushhollow_daemon.domain._metrics import render_metrics
from bulrushhollow_daemon.domain._placement import LeaderAsker, PlacementPage
from bulrushhollow_daemon.domain._settings import HOUSEKEEPING_INTERVAL, InstanceSettings
from bulrushhollow_daemon.http_messages import (
    CallerDisconnectedError,
    Receive,
    Request,
    Response,
    Scope,
    Send,
)

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

logger = logging.getLogger("bulrushhollow.process")

Application = Callable[[Scope, Receive, Send], Awaitable[None]]
"""An ASGI application."""

SettingsReader = Callable[[], InstanceSettings | None]
"""Reads the settings again; returns None if they have not changed."""


class SingleResponse:
    """
    An ASGI application that answers GET the same way on every path.

    :param respond: returns the response.
    """

    def __init__(self, respond: Callable[[], Response]) -> None:
        """Create the application."""
        self._respond = respond

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        request = Request(scope, receive)
        response = self._respond() if request.method == "GET" else Response(405, b"")
        await response.send(send)


class PathRouter:
    """
    An ASGI application that answers GET and POST by path.

    :param responders_by_path: functions that return the response to GET of a path.
    :param post_responders_by_path: functions that return the response to POST of a path.
    """

    def __init__(
        self,
        responders_by_path: dict[str, Callable[[], Response]],
        post_responders_by_path: dict[str, Callable[[Request], Awaitable[Response]]],
    ) -> None:
        """Create the application."""
        self._responders_by_path = responders_by_path
        self._post_responders_by_path = post_responders_by_path

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        request = Request(scope, receive)
        try:
            response = await self._respond(request)
        except CallerDisconnectedError:
            return
        await response.send(send)

    async def _respond(self, request: Request) -> Response:
        respond = self._responders_by_path.get(request.path)
        if respond is not None and request.method == "GET":
            return respond()
        respond_to_post = self._post_responders_by_path.get(request.path)
        if respond_to_post is not None and request.method == "POST":
            return await respond_to_post(request)
        return Response(404, b"{}")


def make_operator_application(
    registry: CollectorRegistry,
    read_status: Callable[[], msgspec.Struct],
    ask_leader: LeaderAsker,
) -> PathRouter:
    """
    Return the application for operators, which serves the metrics and the status of the process,
    and explains placements.

    :param read_status: returns the present status.
    :param ask_leader: sends a call to the leader.
    """
    return PathRouter(
        {
            "/metrics": lambda: Response(200, render_metrics(registry), METRICS_TYPE),
            "/v1/status": lambda: Response(200, msgspec.json.encode(read_status())),
        },
        {PLACEMENT_PATH: PlacementPage(ask_leader).respond},
    )


async def watch_settings(
    read_settings: SettingsReader,
    apply_settings: Callable[[InstanceSettings], None],
    log_handler: StandardOutputHandler,
) -> None:
    """
    Apply changed settings, and report unwritten log lines, at a regular interval. The settings are
    read whether or not a signal asked for a reload.
    """
    while True:
        await anyio.sleep(HOUSEKEEPING_INTERVAL)
        settings = read_settings()
        if settings is not None:
            logger.info("settings_reloaded", extra={"seeds": ",".join(settings.seeds)})
            apply_settings(settings)
        log_handler.report_unwritten()


async def stop_on_signal(stop: Callable[[], Awaitable[Any]]) -> None:
    """
    Wait for the signal to stop, then call ``stop``. Further signals are ignored while it runs.

    :param stop: ends the process in order.
    """
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled_signals) as signals:
        async for signal_number in signals:
            if signal_number is signal.SIGHUP:
                logger.info("reload_asked", extra={"signal": int(signal_number)})
                continue
            logger.info("stopping", extra={"signal": int(signal_number)})
            break
        await stop()
