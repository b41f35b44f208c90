"""
bulrushhollow_daemon.supervision
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the background tasks of a process running, so that an unexpected error in one of them does not
end the process.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio

from bulrushhollow_core.ids import Seconds

RESTART_DELAY = Seconds(0.5)
"""Seconds after which a background task that failed is started again."""

logger = logging.getLogger(__name__)


async def keep_running(function: Callable[..., Awaitable[None]], *args: object) -> None:
    """
    Run a background task until it returns or is cancelled.

    :param function: the task; an error that it raises is logged, and it is called again.
    """
    while True:
        try:
            return await function(*args)
        except Exception:
            logger.exception("task_failed", extra={"task": getattr(function, "__qualname__", "")})
        await anyio.sleep(RESTART_DELAY)
