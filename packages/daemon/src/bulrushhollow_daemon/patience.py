"""
bulrushhollow_daemon.patience
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Timeouts that tell a peer's silence from delays of this process.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from bulrushhollow_core.ids import Seconds

MAX_LATENESS = Seconds(0.02)
"""Seconds by which a timer of a process that is not held up may be late."""

EXTENSION = Seconds(0.1)
"""Seconds by which a timeout is extended if this process was held up, so that it reads what has
arrived meanwhile."""

MAX_EXTENSIONS = 4
"""Extensions of one timeout, since a process may be held up all the time."""

ResultType = TypeVar("ResultType")


class _Timer:
    """Cancels a scope after a timeout, later if this process was held up."""

    # A timer of the loop instead of a task for each call, since most calls are answered at once.
    def __init__(self, scope: anyio.CancelScope, timeout: Seconds) -> None:
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._extensions = 0
        self._set(timeout)

    def _set(self, seconds: Seconds) -> None:
        self._due = self._loop.time() + seconds
        self._handle = self._loop.call_at(self._due, self._expire)

    def _expire(self) -> None:
        was_held_up = self._loop.time() - self._due > MAX_LATENESS
        if was_held_up and self._extensions < MAX_EXTENSIONS:
            self._extensions += 1
            self._set(EXTENSION)
        else:
            self._scope.cancel()

    def cancel(self) -> None:
        self._handle.cancel()


async def wait_patiently(
    function: Callable[[], Awaitable[ResultType]], timeout: Seconds
) -> ResultType:
    """
    Return the result of a call, and give it up after a timeout. An answer that arrived while this
    process was paused, or busy with other work, is still read.

    :raises TimeoutError: if the call takes longer.
    """
    with anyio.CancelScope() as scope:
        timer = _Timer(scope, timeout)
        try:
            return await function()
        finally:
            timer.cancel()
    raise TimeoutError
