"""
standins._announcer
~~~~~~~~~~~~~~~~~~~

Announces a stand-in endpoint to entry instances.
"""

import httpcore
import msgspec

from bulrushhollow_core.endpoints import Announcement, AnnouncementAnswer
from standins._http import post

FIRST_ANNOUNCE_WITHIN = 1.0
"""Seconds within which to announce again until an entry instance states its own limit."""


class Announcer:
    """
    Announces an endpoint to the entry instances in turn, as through a load balancer.

    :param announcement: the announcement, whose ``sequence`` and ``leaving`` are filled in.
    :param entries: base addresses of the entry instances, at least one.
    """

    def __init__(self, announcement: Announcement, entries: tuple[str, ...]) -> None:
        """Prepare the announcer without sending anything."""
        self._announcement = announcement
        self._entries = entries
        self._sequence = 0
        self._pool = httpcore.AsyncConnectionPool(network_backend=httpcore.AnyIOBackend())
        self.interval = FIRST_ANNOUNCE_WITHIN / 2

    async def announce_to_next(self, leaving: bool) -> None:
        """Announce to the next entry instance in turn that answers."""
        for _ in self._entries:
            if await self._announce(self._entries[self._sequence % len(self._entries)], leaving):
                return

    async def announce_to_all(self, leaving: bool) -> None:
        """Announce to every entry instance."""
        for entry in self._entries:
            await self._announce(entry, leaving)

    async def _announce(self, entry: str, leaving: bool) -> bool:
        self._sequence += 1
        announcement = msgspec.structs.replace(
            self._announcement, sequence=self._sequence, leaving=leaving
        )
        answer = await post(self._pool, f"{entry}/v1/endpoints", announcement, AnnouncementAnswer)
        if answer is None:
            return False
        self.interval = answer.announce_within / 2
        return True

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.aclose()
