"""
bulrushhollow.adapters
~~~~~~~~~~~~~~~~~~~~~~

How calls reach an entry instance. A :class:`Session` works with any :class:`Adapter`; the one
that ships is :class:`bulrushhollow.http.HttpAdapter`.
"""

from typing import Protocol

import msgspec

from bulrushhollow.models import Header
from bulrushhollow_core.outcomes import Execution


class Call(msgspec.Struct, frozen=True):
    """
    One HTTP call to one entry instance.

    :param entry: base address, ``http://127.0.0.1:8000``.
    :param path: with its query, from the first slash on.
    :param timeout: seconds to wait for the whole answer.
    """

    method: str
    entry: str
    path: str
    body: bytes = b""
    headers: tuple[Header, ...] = ()
    timeout: float = 30.0


class WholeAnswer(msgspec.Struct, frozen=True):
    """An HTTP answer that arrived whole."""

    status_code: int
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of the first header of that lower-case name, or an empty string."""
        return next((header.value for header in self.headers if header.name == name), "")


class TransportFailure(msgspec.Struct, frozen=True):
    """
    The sentinel in place of an answer.

    :param execution: not run if no byte of the call left, otherwise unknown.
    """

    execution: Execution
    detail: str


class Adapter(Protocol):
    """Carries calls to entry instances."""

    async def send(self, call: Call) -> WholeAnswer | TransportFailure:
        """
        Carry one call, once.

        :return: the whole answer, or whether the call may have had an effect.
        """

    async def close(self) -> None:
        """Close every connection."""
