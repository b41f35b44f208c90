"""
bulrushhollow.adapters
~~~~~~~~~~~~~~~~~~~~~~

The transport interface of the client library. A :class:`Session` works with any :class:`Adapter`;
the default is :class:`bulrushhollow.http.HttpAdapter`.
"""

from typing import Protocol

import msgspec

from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution


class Call(msgspec.Struct, frozen=True):
    """
    One HTTP call to one entry instance.

    :param entry: base address of the instance, such as ``http://127.0.0.1:8000``.
    :param path: path and query, from the first slash on.
    :param timeout: seconds to wait for the whole answer.
    """

    method: str
    entry: str
    path: str
    body: bytes = b""
    headers: tuple[Header, ...] = ()
    timeout: float = 30.0


class WholeAnswer(msgspec.Struct, frozen=True):
    """
    An HTTP answer that arrived complete.

    :param headers: all headers; the names are in lower case.
    """

    status_code: int
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of the first header of that lower-case name, or an empty string."""
        return next((header.value for header in self.headers if header.name == name), "")


class TransportFailure(msgspec.Struct, frozen=True):
    """
    Result of a call without a complete answer.

    :param execution: not run if no byte of the call was sent, otherwise unknown.
    """

    execution: Execution
    detail: str


class Adapter(Protocol):
    """A transport that sends calls to entry instances."""

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        """
        Send a call once, without retries.

        :return: the complete answer, or a failure that states whether the call may have run.
        """

    async def close(self) -> None:
        """Close every connection."""
