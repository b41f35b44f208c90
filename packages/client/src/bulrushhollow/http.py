"""
bulrushhollow.http
~~~~~~~~~~~~~~~~~~

The adapter that sends calls over HTTP/1.1, with httpcore on anyio.
"""

import anyio
import httpcore

from bulrushhollow.adapters import Call, TransportFailure, WholeAnswer
from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution

CONNECT_TIMEOUT = 2.0
"""Seconds to wait for a connection to an entry instance."""

KEEPALIVE_EXPIRY = 4.0
"""Seconds after which an idle connection is closed; shorter than the keep-alive of the servers."""


class HttpAdapter:
    """
    Sends calls over HTTP/1.1 with a pool of connections.

    :param max_connections: most connections open at once, over all entry instances.
    """

    def __init__(self, max_connections: int = 100) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            keepalive_expiry=KEEPALIVE_EXPIRY,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        """Send a call once, without retries."""
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
            response = await self._pool.request(
                call.method,
                call.entry + call.path,
                headers=[(header.name, header.value) for header in call.headers],
                content=call.body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout) as error:
            detail = f"cannot connect to {call.entry}: {_describe_error(error)}"
            return TransportFailure(Execution.NOT_RUN, detail)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            detail = f"no whole answer from {call.entry}: {_describe_error(error)}"
            return TransportFailure(Execution.UNKNOWN, detail)
        return WholeAnswer(
            status_code=response.status,
            headers=tuple(
                Header(name.decode("latin-1").lower(), value.decode("latin-1"))
                for name, value in response.headers
            ),
            body=response.content,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__
