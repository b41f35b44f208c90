"""
bulrushhollow_core.requests._directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Directory of the endpoints of this instance's data centre, and of the instances of other data
centres that can take requests. Announcements spread by gossip: an instance that receives an
announcement from an endpoint passes it on to the instances of the endpoint's data centre. An
instance that missed an announcement queries its peers for it.
"""

import math
import random

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.answers import EndpointStatus
from bulrushhollow_core.endpoints import Announcement, AnnouncementAnswer, is_address
from bulrushhollow_core.ids import (
    DataCentreId,
    EndpointId,
    InstanceId,
    InstanceName,
    Seconds,
    name_of,
)
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.outcomes import Reason, Refusal
from bulrushhollow_core.requests._gossip import (
    AgedAnnouncement,
    AnnouncementRefresh,
    EndpointQuery,
    EndpointUpdate,
    ServiceLoad,
)
from bulrushhollow_core.requests._table import EndpointEntry, EndpointTable, content_checksum

ANNOUNCE_WITHIN = Seconds(1.0)
"""Seconds within which an endpoint must announce itself again."""

SILENT_AFTER = Seconds(3.0)
"""Seconds without an announcement after which an endpoint gets no new work."""

SUSPECT_AFTER = Seconds(2.0)
"""Seconds without an announcement after which a peer is queried about the endpoint."""

LOCAL_GOSSIP_INTERVAL = Seconds(0.5)
"""Seconds between two updates to a peer of the own data centre."""

REMOTE_GOSSIP_INTERVAL = Seconds(1.0)
"""Seconds between two updates to a peer of another data centre if nothing new was announced."""

MAX_SLOTS = 65_536
"""Maximum slots or connections that an endpoint may announce."""

UNDATED = Seconds(float("-inf"))
"""Time assumed for information of unknown age."""


class AnnouncementResult(msgspec.Struct, frozen=True):
    """
    Result of an accepted announcement.

    :param answer: the answer to send to the endpoint.
    :param actions: actions to carry out.
    """

    answer: AnnouncementAnswer
    actions: tuple[msgspec.Struct, ...] = ()


class RemoteInstance(msgspec.Struct, frozen=True):
    """
    An entry instance of another data centre that may take requests for a service.

    :param load: the load that it last reported for the service.
    :param as_of: the earliest time at which it can have reported that load.
    """

    instance: InstanceName
    data_centre: DataCentreId
    address: str
    load: ServiceLoad
    as_of: Seconds


class _Peer:
    """Gossip state of one other instance that the settings name."""

    def __init__(self, name: InstanceName, data_centre: DataCentreId) -> None:
        self.name = name
        self.data_centre = data_centre
        self.instance: InstanceId | None = None
        self.stamp: Seconds | None = None
        self.last_sent_at = UNDATED
        self.send_immediately = False
        self.unsent_endpoints: dict[EndpointId, None] = {}
        self.checksums_by_endpoint: dict[EndpointId, int] = {}
        self.digest_differs = False
        self.loads_by_service: dict[str, ServiceLoad] = {}
        self.load_as_of = UNDATED
        self.address = ""

    def start_incarnation(self, instance: InstanceId) -> None:
        """Reset the state for a new connection or incarnation of the peer."""
        self.instance = instance
        self.stamp = None
        self.last_sent_at = UNDATED
        self.checksums_by_endpoint.clear()
        self.loads_by_service = {}


class EndpointDirectory:
    """
    Endpoints and remote instances known to one instance; a
    :class:`~bulrushhollow_core.actions.Component`.

    :param me: this instance's name.
    :param data_centre: this instance's data centre.
    :param data_centres_by_name: data centre of every instance; may include this one.
    :param http_address: IP address and port at which this instance accepts requests. It is sent to
        instances of other data centres, which may forward requests to it; empty to receive none.
    """

    def __init__(
        self,
        me: InstanceName,
        data_centre: DataCentreId,
        data_centres_by_name: dict[InstanceName, DataCentreId],
        rng: random.Random,
        now: Seconds,
        http_address: str = "",
    ) -> None:
        self._data_centre = data_centre
        self._http_address = http_address
        self._rng = rng
        self._table = EndpointTable()
        self._configuration = Configuration()
        self._loads: tuple[ServiceLoad, ...] = ()
        self._next_query_at = now
        self._next_cleanup_at = now
        self._peers_by_name = {
            name: _Peer(name, peer_data_centre)
            for name, peer_data_centre in data_centres_by_name.items()
            if name != me
        }
        self._data_centres = {data_centre, *data_centres_by_name.values()}

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Apply the service states of a newer configuration."""
        self._configuration = configuration

    def set_advertised_loads(self, loads: tuple[ServiceLoad, ...]) -> None:
        """Set the loads that the next updates to other data centres contain."""
        self._loads = loads

    def peer_connected(self, instance: InstanceId, now: Seconds) -> list[msgspec.Struct]:
        """Exchange endpoints with a peer; called whenever a connection to it is established."""
        peer = self._peers_by_name.get(name_of(instance))
        if peer is None:
            return []
        peer.start_incarnation(instance)
        return self._send_update(peer, now) + self._query(peer, (), now)

    def announce(self, announcement: Announcement, now: Seconds) -> AnnouncementResult | Refusal:
        """
        Process an announcement that an endpoint sent to this instance.

        :return: the result, or a refusal if the announcement is invalid.
        """
        refusal = self._validate(announcement)
        if refusal is not None:
            return refusal
        previous = self._table.get(announcement.endpoint)
        checksum = content_checksum(announcement)
        is_changed = previous is None or content_checksum(previous.announcement) != checksum
        actions: list[msgspec.Struct] = []
        if self._table.update(announcement, now):
            for peer in self._peers_by_name.values():
                if peer.data_centre == announcement.data_centre:
                    peer.unsent_endpoints[announcement.endpoint] = None
                    peer.send_immediately = peer.send_immediately or is_changed
        if is_changed:
            actions = self.tick(now)
        return AnnouncementResult(AnnouncementAnswer(ANNOUNCE_WITHIN), tuple(actions))

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Process one message of a peer."""
        peer = self._peers_by_name.get(name_of(source))
        if peer is None:
            return []
        if peer.instance != source:
            peer.start_incarnation(source)
        match message:
            case EndpointUpdate():
                return self._apply_update(peer, message, now)
            case EndpointQuery():
                return self._answer_query(peer, message, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Send the updates and queries that are due."""
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = Seconds(now + SILENT_AFTER)
            self._table.remove_silent(now)
        actions: list[msgspec.Struct] = []
        for peer in self._peers_by_name.values():
            if peer.instance is not None and self._is_due(peer, now):
                actions += self._send_update(peer, now)
        if now >= self._next_query_at:
            self._next_query_at = Seconds(now + LOCAL_GOSSIP_INTERVAL)
            actions += self._query_suspects(now)
        return actions

    def usable_endpoints(self, service: str, now: Seconds) -> tuple[Announcement, ...]:
        """Return the endpoints of the own data centre that may get new requests of a service."""
        return tuple(
            entry.announcement
            for entry in self._table.entries()
            if entry.announcement.service == service and self._is_usable(entry, now)
        )

    def local_endpoints(self, now: Seconds) -> tuple[Announcement, ...]:
        """Return the endpoints of the own data centre that are not silent."""
        return tuple(
            entry.announcement
            for entry in self._table.entries()
            if entry.announcement.data_centre == self._data_centre
            and now - entry.heard_at <= SILENT_AFTER
        )

    def find_announcement(self, endpoint: EndpointId) -> Announcement | None:
        """Return the latest announcement of an endpoint, even if the endpoint is silent."""
        entry = self._table.get(endpoint)
        return None if entry is None else entry.announcement

    def is_usable(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether an endpoint may get new requests from this instance."""
        entry = self._table.get(endpoint)
        return entry is not None and self._is_usable(entry, now)

    def remote_instances(self, service: str, now: Seconds) -> tuple[RemoteInstance, ...]:
        """Return the instances of other data centres that have usable endpoints of a service."""
        return tuple(
            RemoteInstance(peer.name, peer.data_centre, peer.address, load, peer.load_as_of)
            for peer in self._peers_by_name.values()
            if peer.data_centre != self._data_centre
            and peer.address
            and now - peer.load_as_of <= SILENT_AFTER
            and self.is_in_service(peer.data_centre)
            and (load := peer.loads_by_service.get(service)) is not None
            and load.endpoints > 0
        )

    def is_in_service(self, data_centre: DataCentreId) -> bool:
        """Return whether the configuration has a data centre in service."""
        declared = self._configuration.data_centres_by_id.get(data_centre)
        return declared is None or declared.service is Service.IN

    def status(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return the status of every endpoint that is known or taken out of service."""
        entries_by_id = {entry.announcement.endpoint: entry for entry in self._table.entries()}
        names = sorted({*entries_by_id, *self._configuration.out_endpoints})
        return tuple(self._status(name, entries_by_id.get(name), now) for name in names)

    def _validate(self, announcement: Announcement) -> Refusal | None:
        if announcement.data_centre not in self._data_centres:
            return Refusal(
                Reason.NO_SUCH_DATA_CENTRE, f"there is no data centre {announcement.data_centre}"
            )
        counts = (announcement.slots, announcement.connections)
        if not all(1 <= count <= MAX_SLOTS for count in counts):
            return Refusal(Reason.INVALID, f"slots and connections must be 1 to {MAX_SLOTS}")
        if not announcement.endpoint or not announcement.service:
            return Refusal(Reason.INVALID, "endpoint and service must have a name")
        if not is_address(announcement.address):
            return Refusal(Reason.INVALID, f"{announcement.address!r} is not IP:PORT")
        return None

    def _is_usable(self, entry: EndpointEntry, now: Seconds) -> bool:
        announcement = entry.announcement
        return (
            announcement.data_centre == self._data_centre
            and not announcement.leaving
            and now - entry.heard_at <= SILENT_AFTER
            and announcement.endpoint not in self._configuration.out_endpoints
            and self.is_in_service(self._data_centre)
        )

    def _is_due(self, peer: _Peer, now: Seconds) -> bool:
        is_frequent = peer.data_centre == self._data_centre or bool(peer.unsent_endpoints)
        interval = LOCAL_GOSSIP_INTERVAL if is_frequent else REMOTE_GOSSIP_INTERVAL
        return peer.send_immediately or now >= peer.last_sent_at + interval

    def _send_update(self, peer: _Peer, now: Seconds) -> list[msgspec.Struct]:
        assert peer.instance is not None
        is_local = peer.data_centre == self._data_centre
        announcements: list[AgedAnnouncement] = []
        refreshes: list[AnnouncementRefresh] = []
        for endpoint in peer.unsent_endpoints:
            entry = self._table.get(endpoint)
            if entry is None:
                continue
            checksum = content_checksum(entry.announcement)
            age = Seconds(now - entry.heard_at)
            if peer.checksums_by_endpoint.get(endpoint) == checksum:
                refreshes.append(_refresh_message(entry.announcement, checksum, age))
            else:
                peer.checksums_by_endpoint[endpoint] = checksum
                announcements.append(AgedAnnouncement(entry.announcement, age))
        peer.unsent_endpoints.clear()
        peer.send_immediately = False
        peer.last_sent_at = now
        update = EndpointUpdate(
            stamp=now,
            echo=peer.stamp,
            announcements=tuple(announcements),
            refreshes=tuple(refreshes),
            digest=self._digest(now) if is_local else 0,
            loads=() if is_local else self._loads,
            address="" if is_local else self._http_address,
        )
        return [Send(peer.instance, update)]

    def _apply_update(
        self, peer: _Peer, update: EndpointUpdate, now: Seconds
    ) -> list[msgspec.Struct]:
        if peer.stamp is None or update.stamp > peer.stamp:
            peer.stamp = update.stamp
        echo = UNDATED
        if update.echo is not None and not math.isnan(update.echo):
            echo = min(update.echo, now)
        for aged in update.announcements:
            if aged.age >= 0 and self._validate(aged.announcement) is None:
                self._table.update(aged.announcement, Seconds(echo - aged.age))
        unknown = tuple(
            refresh.endpoint
            for refresh in update.refreshes
            if refresh.age >= 0 and not self._table.refresh(refresh, Seconds(echo - refresh.age))
        )
        if peer.data_centre != self._data_centre:
            peer.loads_by_service = {load.service: load for load in update.loads}
            peer.load_as_of = echo
            peer.address = update.address
        digest_differs = update.digest not in (0, self._digest(now))
        query_all = digest_differs and peer.digest_differs
        peer.digest_differs = digest_differs and not query_all
        if query_all:
            return self._query(peer, (), now)
        return self._query(peer, unknown, now) if unknown else []

    def _query(
        self, peer: _Peer, endpoints: tuple[EndpointId, ...], now: Seconds
    ) -> list[msgspec.Struct]:
        assert peer.instance is not None
        return [Send(peer.instance, EndpointQuery(now, endpoints))]

    def _query_suspects(self, now: Seconds) -> list[msgspec.Struct]:
        suspects = tuple(
            entry.announcement.endpoint
            for entry in self._table.entries()
            if entry.announcement.data_centre == self._data_centre
            and SUSPECT_AFTER < now - entry.heard_at <= SILENT_AFTER + SUSPECT_AFTER
        )
        peers = [peer for peer in self._peers_by_name.values() if peer.instance is not None]
        if not suspects or not peers:
            return []
        return self._query(self._rng.choice(peers), suspects, now)

    def _answer_query(
        self, peer: _Peer, query: EndpointQuery, now: Seconds
    ) -> list[msgspec.Struct]:
        assert peer.instance is not None
        entries = [
            entry
            for entry in self._table.entries()
            if entry.announcement.data_centre == peer.data_centre
            and now - entry.heard_at <= SILENT_AFTER
            and (not query.endpoints or entry.announcement.endpoint in query.endpoints)
        ]
        if not entries:
            return []
        announcements = tuple(
            AgedAnnouncement(entry.announcement, Seconds(now - entry.heard_at)) for entry in entries
        )
        update = EndpointUpdate(now, query.stamp, announcements, loads=self._loads)
        update = msgspec.structs.replace(update, address=self._http_address)
        return [Send(peer.instance, update)]

    def _digest(self, now: Seconds) -> int:
        return self._table.digest(self._data_centre, Seconds(now - SILENT_AFTER))

    def _status(
        self, name: EndpointId, entry: EndpointEntry | None, now: Seconds
    ) -> EndpointStatus:
        is_out = name in self._configuration.out_endpoints
        service = Service.OUT if is_out else Service.IN
        if entry is None:
            return EndpointStatus(name, service)
        announcement = entry.announcement
        return EndpointStatus(
            id=name,
            service=service,
            service_name=announcement.service,
            data_centre=announcement.data_centre,
            address=announcement.address,
            slots=announcement.slots,
            connections=announcement.connections,
            leaving=announcement.leaving,
            heard_ago=now - entry.heard_at,
        )


def _refresh_message(
    announcement: Announcement, checksum: int, age: Seconds
) -> AnnouncementRefresh:
    return AnnouncementRefresh(
        announcement.endpoint, announcement.incarnation, announcement.sequence, checksum, age
    )
