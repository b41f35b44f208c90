"""
bulrushhollow.http
~~~~~~~~~~~~~~~~~~

The adapter that speaks HTTP/1.1 through httpcore on anyio.
"""

import anyio
import httpcore

from bulrushhollow.adapters import Call, TransportFailure, WholeAnswer
from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution

CONNECT_TIMEOUT = 2.0
"""Seconds to wait for a connection to an entry instance."""

KEEPALIVE_EXPIRY = 4.0
"""Seconds after which an idle connection is not used again; shorter than a server's own limit."""


class HttpAdapter:
    """
    Carries calls over HTTP/1.1 with a pool of connections.

    :param max_connections: connections open at once, over all entry instances.
    """

    def __init__(self, max_connections: int = 100) -> None:
        """Open no connection yet."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        """Carry one call, once."""
        with anyio.move_on_after(call.timeout):
            return await self._exchange(call)
        return TransportFailure(Execution.UNKNOWN, f"no answer from {call.entry} in time")

    async def _exchange(self, call: Call) -> WholeAnswer | TransportFailure:
        timeouts = {
            "connect": min(CONNECT_TIMEOUT, call.timeout),
            "pool": call.timeout,
            "read": call.timeout,
            "write": call.timeout,
        }
        try:
            answer = await self._pool.request(
                call.method,
                call.entry + call.path,
                headers=[(header.name, header.value) for header in call.headers],
                content=call.body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            detail = f"cannot connect to {call.entry}: {_reason_of(error)}"
            return TransportFailure(Execution.NOT_RUN, detail)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            detail = f"no whole answer from {call.entry}: {_reason_of(error)}"
            return TransportFailure(Execution.UNKNOWN, detail)
        return WholeAnswer(
            status_code=answer.status,
            headers=tuple(
                Header(name.decode("latin-1").lower(), value.decode("latin-1"))
                for name, value in answer.headers
            ),
            body=answer.content,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


def _reason_of(error: Exception) -> str:
    return str(error) or type(error).__name__
