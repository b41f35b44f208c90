"""Runs the real entry application against the simulated instances of a world."""

import asyncio
import json
import logging
from typing import Any
from unittest import mock

import msgspec
from prometheus_client import CollectorRegistry
from pythonjsonlogger.json import JsonFormatter

from bulrushhollow_core.domain import Answer, Call, CallId, CallReceived
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon.caller_server import ServerLimits
from bulrushhollow_daemon.decision_log import LINE_FORMAT, RENAMED_FIELDS
from bulrushhollow_daemon.domain import CallMetrics, LeaderClient
from bulrushhollow_daemon.domain._rpc import CallFailure
from bulrushhollow_platform._entry import EntryApplication
from standins.domain_site import HOST, KEY
from tests.domain_world import MESSAGE_DELAY, World

FIRST_CALL = 1_000_000
"""Number of the first call of an entry instance; the world's own callers count from 1."""


class WorldLeader(LeaderClient):
    """A leader client that calls the instances of a world instead of using the network."""

    def __init__(self, world: World) -> None:
        super().__init__(7000)
        self._world = world
        self._next_call = FIRST_CALL
        self.add_candidates(instance.address for instance in world.instances)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        target = next(each for each in self._world.instances if each.address == address)
        if not target.is_up:
            self._world.run(MESSAGE_DELAY)
            return CallFailure(was_sent=False, detail="connection refused")
        answers: list[Answer] = []
        self._next_call += 1
        target.calls[CallId(self._next_call)] = answers.append
        target.post(CallReceived(CallId(self._next_call), call))
        if not self._world.run_until(lambda: bool(answers), timeout):
            return CallFailure(was_sent=True, detail="no answer in time")
        return answers[0]


class WorldLogHandler(logging.Handler):
    """Appends log lines of the entry instance to the world's log, with the world's time."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self._formatter = JsonFormatter(LINE_FORMAT, rename_fields=RENAMED_FIELDS)

    def emit(self, record: logging.LogRecord) -> None:
        line = json.loads(self._formatter.format(record))
        line |= {"time": f"{self._world.now:012.3f}", "instance": "front-1"}
        self._world.log.append(json.dumps(line))


class EntryInstance:
    """An entry instance with the real application."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.leader = WorldLeader(world)
        self.limits = ServerLimits(Seconds(3.0), Seconds(15.0), 100)
        self._application = EntryApplication(
            self.leader, CallMetrics(CollectorRegistry()), self.limits
        )

    def submit(self, queue: str, job: str, body: dict[str, Any]) -> int:
        """Submit a job as a caller does, and return the HTTP status."""
        messages: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            content = msgspec.json.encode(body)
            return {"type": "http.request", "body": content, "more_body": False}

        async def send(message: Any) -> None:
            messages.append(message)

        async def sleep(seconds: float) -> None:
            await asyncio.sleep(0)  # a task that is cancelled by now does not sleep
            self.world.run(seconds)

        scope = {
            "type": "http",
            "method": "POST",
            "path": f"/{queue}/{job}",
            "query_string": b"",
            "headers": [
                (b"host", HOST.encode()),
                (b"x-credential", KEY.encode()),
                (b"content-type", b"application/json"),
            ],
        }
        handler = WorldLogHandler(self.world)
        root = logging.getLogger()
        level = root.level
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        try:
            with (
                mock.patch("bulrushhollow_daemon.clock.now", lambda: Seconds(self.world.now)),
                mock.patch("bulrushhollow_daemon.domain._leader.anyio.sleep", sleep),
            ):
                asyncio.run(self._application(scope, receive, send))  # type: ignore[arg-type]
        finally:
            root.removeHandler(handler)
            root.setLevel(level)
        return int(messages[0]["status"])
