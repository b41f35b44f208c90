"""
bulrushhollow_core.requests._table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Table of the endpoints that one instance knows, each with its latest announcement and the earliest
time at which an instance can have received it.
"""

import zlib
from collections.abc import Iterator

import msgspec

from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import DataCentreId, EndpointId, Seconds
from bulrushhollow_core.requests._gossip import AnnouncementRefresh

FORGET_AFTER = Seconds(60.0)
"""Seconds without an announcement after which an endpoint is removed."""


class EndpointEntry(msgspec.Struct, frozen=True):
    """
    Latest announcement of one endpoint.

    :param announcement: the latest one, by incarnation and sequence.
    :param heard_at: on this instance's clock, the time at which an instance received it from the
        endpoint; the earliest possible time if a peer passed it on.
    """

    announcement: Announcement
    heard_at: Seconds


class EndpointTable:
    """Keeps the latest announcement of each endpoint."""

    def __init__(self) -> None:
        self._by_id: dict[EndpointId, EndpointEntry] = {}

    def get(self, endpoint: EndpointId) -> EndpointEntry | None:
        """Return the entry of an endpoint, or None."""
        return self._by_id.get(endpoint)

    def entries(self) -> Iterator[EndpointEntry]:
        """Return all entries in the order of their first announcements."""
        return iter(self._by_id.values())

    def update(self, announcement: Announcement, heard_at: Seconds) -> bool:
        """
        Store an announcement unless the table has a newer one.

        :return: whether the table had no announcement of the endpoint or an older one.
        """
        entry = self._by_id.get(announcement.endpoint)
        if entry is not None:
            sequence_key = _sequence_key(announcement)
            if sequence_key < _sequence_key(entry.announcement):
                return False
            if sequence_key == _sequence_key(entry.announcement):
                self._refresh_time(entry, heard_at)
                return False
            heard_at = max(entry.heard_at, heard_at)
        self._by_id[announcement.endpoint] = EndpointEntry(announcement, heard_at)
        return True

    def refresh(self, refresh: AnnouncementRefresh, heard_at: Seconds) -> bool:
        """
        Store that an endpoint repeated its announcement without a change of content.

        :return: False if the content of that announcement is unknown.
        """
        entry = self._by_id.get(refresh.endpoint)
        if entry is None:
            return False
        if (refresh.incarnation, refresh.sequence) < _sequence_key(entry.announcement):
            return True
        if content_checksum(entry.announcement) != refresh.checksum:
            return False
        announcement = msgspec.structs.replace(entry.announcement, sequence=refresh.sequence)
        self._by_id[refresh.endpoint] = EndpointEntry(announcement, max(entry.heard_at, heard_at))
        return True

    def remove_silent(self, now: Seconds) -> None:
        """Remove endpoints that have been silent for :data:`FORGET_AFTER`."""
        silent = [
            endpoint
            for endpoint, entry in self._by_id.items()
            if now - entry.heard_at > FORGET_AFTER
        ]
        for endpoint in silent:
            del self._by_id[endpoint]

    def digest(self, data_centre: DataCentreId, heard_after: Seconds) -> int:
        """
        Return a checksum over the incarnations of a data centre's endpoints.

        :param heard_after: endpoints that were last heard at this time or earlier are left out.
        :return: the checksum; never 0.
        """
        incarnations = sorted(
            f"{entry.announcement.endpoint}/{entry.announcement.incarnation}"
            for entry in self.entries()
            if entry.announcement.data_centre == data_centre and entry.heard_at > heard_after
        )
        return zlib.crc32(" ".join(incarnations).encode()) or 1

    def _refresh_time(self, entry: EndpointEntry, heard_at: Seconds) -> None:
        if heard_at > entry.heard_at:
            self._by_id[entry.announcement.endpoint] = EndpointEntry(entry.announcement, heard_at)


def content_checksum(announcement: Announcement) -> int:
    """Return a checksum over an announcement without its sequence."""
    content = msgspec.structs.replace(announcement, sequence=0)
    return zlib.crc32(msgspec.msgpack.encode(content))


def _sequence_key(announcement: Announcement) -> tuple[int, int]:
    return announcement.incarnation, announcement.sequence
