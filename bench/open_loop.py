"""
bench.open_loop
~~~~~~~~~~~~~~~

A lightweight open-loop load generator: it sends requests at planned times, whether or not earlier
ones have been answered, and does not retry.
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

ANSWER_GRACE = 1.0
"""Seconds for which a caller waits beyond the deadline."""

MAX_CONNECTIONS = 4000
"""Most connections to one entry instance."""

ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, OSError)


class RequestSample(msgspec.Struct, frozen=True):
    """
    One request and its outcome.

    :param latency: seconds from the planned time to the end.
    :param send_lag: seconds from the planned time to the sending, a delay of the generator itself.
    :param whole: whether the answer is complete and belongs to this request.
    """

    profile: str
    latency: float
    send_lag: float
    execution: Execution
    whole: bool


class OpenLoop:
    """
    Send a mix of requests at random times with exponential intervals.

    :param entries: base addresses of entry instances, used in turn.
    :param traffic: the kinds of requests with their weights and deadlines.
    :param rate: mean requests per second.
    :param seconds: duration of the load.
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
        self._pools = [(address, ConnectionPool(address)) for address in addresses]
        self.samples: list[RequestSample] = []

    async def run(self) -> None:
        """Send requests for the whole duration and wait for all answers."""
        started_at = time.monotonic()
        offset = 0.0
        request_number = 0
        weights = [traffic.weight for traffic in self._traffic]
        async with anyio.create_task_group() as tasks:
            while offset < self._seconds:
                await anyio.sleep(max(0.0, started_at + offset - time.monotonic()))
                [traffic] = self._rng.choices(self._traffic, weights)
                address, pool = self._pools[request_number % len(self._pools)]
                tasks.start_soon(self._send_request, address, pool, traffic, started_at + offset)
                offset += self._rng.expovariate(self._rate)
                request_number += 1
        for _, pool in self._pools:
            await pool.close()

    async def _send_request(
        self, address: str, pool: ConnectionPool, traffic: Traffic, planned_at: float
    ) -> None:
        send_lag = time.monotonic() - planned_at
        body = uuid.uuid4().hex.encode().ljust(traffic.body_bytes, b".")
        execution, whole = Execution.UNKNOWN, False
        assert traffic.deadline is not None
        with anyio.move_on_after(traffic.deadline + ANSWER_GRACE):
            with contextlib.suppress(*ERRORS):
                execution, whole = await self._exchange(address, pool, traffic, body)
        latency = time.monotonic() - planned_at
        self.samples.append(RequestSample(traffic.profile, latency, send_lag, execution, whole))

    async def _exchange(
        self, address: str, pool: ConnectionPool, traffic: Traffic, body: bytes
    ) -> tuple[Execution, bool]:
        connection = await pool.acquire(Seconds(5.0), MAX_IDLE_TIME, MAX_CONNECTIONS)
        is_reusable = False
        try:
            response = await connection.http.handle_async_request(_request(address, traffic, body))
            content = b"".join([chunk async for chunk in response.aiter_stream()])
            await response.aclose()
            is_reusable = True
        finally:
            await pool.release(connection, is_reusable)
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
