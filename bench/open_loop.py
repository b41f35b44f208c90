"""
bench.open_loop
~~~~~~~~~~~~~~~

A light caller that sends requests at planned times, however long earlier ones take, and does not
repeat any.
"""

import contextlib
import random
import time
import uuid
from collections.abc import Sequence

import anyio
import httpcore
import msgspec

from bulrushhollow_core.endpoints import DEADLINE_HEADER, EXECUTION_HEADER, REQUEST_PATH
from bulrushhollow_core.ids import Seconds
from bulrushhollow_core.outcomes import Execution
from bulrushhollow_daemon.dispatch._connections import MAX_IDLE_TIME, ConnectionPool
from standins._endpoint import ANSWER_PREFIX
from standins.load import Traffic

GRACE = 1.0
"""Seconds beyond the deadline for which a caller waits."""

MOST_CONNECTIONS = 4000
"""Connections to one entry instance."""

ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


class Sample(msgspec.Struct, frozen=True):
    """
    One request.

    :param took: seconds from the planned time to the end.
    :param lag: seconds from the planned time to the sending; the caller's own fault.
    """

    profile: str
    took: float
    lag: float
    execution: Execution
    whole: bool


class OpenLoop:
    """
    Sends a mix of requests at random times.

    :param entries: base addresses, used in turn.
    :param rate: requests a second on average.
    """

    def __init__(
        self,
        entries: Sequence[str],
        traffic: Sequence[Traffic],
        rate: float,
        seconds: float,
        seed: int,
    ) -> None:
        self._traffic = traffic
        self._rate = rate
        self._seconds = seconds
        self._rng = random.Random(seed)
        addresses = [entry.removeprefix("http://") for entry in entries]
        self._connections = [(address, ConnectionPool(address)) for address in addresses]
        self.samples: list[Sample] = []

    async def run(self) -> None:
        """Send until the time is over and wait for all answers."""
        began = time.monotonic()
        at = 0.0
        number = 0
        weights = [traffic.weight for traffic in self._traffic]
        async with anyio.create_task_group() as tasks:
            while at < self._seconds:
                await anyio.sleep(max(0.0, began + at - time.monotonic()))
                [traffic] = self._rng.choices(self._traffic, weights)
                address, connections = self._connections[number % len(self._connections)]
                tasks.start_soon(self._send, address, connections, traffic, began + at)
                at += self._rng.expovariate(self._rate)
                number += 1
        for _, connections in self._connections:
            await connections.close()

    async def _send(
        self, address: str, connections: ConnectionPool, traffic: Traffic, planned: float
    ) -> None:
        lag = time.monotonic() - planned
        body = uuid.uuid4().hex.encode().ljust(traffic.body_bytes, b".")
        execution, whole = Execution.UNKNOWN, False
        assert traffic.deadline is not None
        with anyio.move_on_after(traffic.deadline + GRACE):
            with contextlib.suppress(*ERRORS):
                execution, whole = await self._exchange(address, connections, traffic, body)
        took = time.monotonic() - planned
        self.samples.append(Sample(traffic.profile, took, lag, execution, whole))

    async def _exchange(
        self, address: str, connections: ConnectionPool, traffic: Traffic, body: bytes
    ) -> tuple[Execution, bool]:
        connection = await connections.acquire(Seconds(5.0), MAX_IDLE_TIME, MOST_CONNECTIONS)
        is_reusable = False
        try:
            response = await connection.http.handle_async_request(_request(address, traffic, body))
            content = b"".join([chunk async for chunk in response.aiter_stream()])
            await response.aclose()
            is_reusable = True
        finally:
            await connections.release(connection, is_reusable)
        return _execution(response), content == ANSWER_PREFIX + body


def _request(address: str, traffic: Traffic, body: bytes) -> httpcore.Request:
    headers = [
        ("host", address),
        ("content-length", str(len(body))),
        (DEADLINE_HEADER, f"{traffic.deadline:g}"),
    ]
    url = f"http://{address}{REQUEST_PATH}{traffic.profile}"
    return httpcore.Request("POST", url, headers=headers, content=body)


def _execution(response: httpcore.Response) -> Execution:
    values = [
        value for name, value in response.headers if name.lower() == EXECUTION_HEADER.encode()
    ]
    return Execution(values[0].decode()) if values else Execution.UNKNOWN
