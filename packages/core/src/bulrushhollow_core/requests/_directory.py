"""
bulrushhollow_core.requests._directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The endpoints of this instance's data centre, and what instances of other data centres say they can
take over. Every instance passes the announcements that it hears itself to the instances of the
endpoint's data centre; an instance that misses one asks for it.
"""

import ipaddress
import random

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.answers import EndpointStatus
from bulrushhollow_core.endpoints import Announcement, AnnouncementAnswer
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
    Described,
    EndpointNews,
    EndpointQuestion,
    Heard,
    ServiceLoad,
)
from bulrushhollow_core.requests._table import EndpointTable, Entry, content_checksum

ANNOUNCE_WITHIN = Seconds(1.0)
"""Seconds within which an endpoint is told to announce itself again."""

SILENT_AFTER = Seconds(3.0)
"""Seconds without news of an endpoint after which it gets no new work."""

SUSPECT_AFTER = Seconds(2.0)
"""Seconds without news of an endpoint after which a peer is asked about it."""

NEAR_INTERVAL = Seconds(0.5)
"""Seconds between two messages to a peer of the own data centre."""

FAR_INTERVAL = Seconds(1.0)
"""Seconds between two messages to a peer of another data centre when nothing was announced."""

MAX_SLOTS = 65_536
"""Most slots or connections that an endpoint may announce."""

UNDATED = Seconds(float("-inf"))
"""Time of news that can't be dated."""


class Announced(msgspec.Struct, frozen=True):
    """
    An announcement was taken in.

    :param answer: what to answer to the endpoint.
    :param actions: actions to carry out.
    """

    answer: AnnouncementAnswer
    actions: tuple[msgspec.Struct, ...] = ()


class RemoteInstance(msgspec.Struct, frozen=True):
    """
    An entry instance of another data centre that may take requests for a service.

    :param as_of: a time at or before which it stated its load.
    """

    instance: InstanceName
    data_centre: DataCentreId
    address: str
    load: ServiceLoad
    as_of: Seconds


class _Peer:
    """What is known of one other place in the settings."""

    def __init__(self, name: InstanceName, data_centre: DataCentreId) -> None:
        self.name = name
        self.data_centre = data_centre
        self.instance: InstanceId | None = None
        self.stamp: Seconds | None = None
        self.send_at = UNDATED
        self.urgent = False
        self.unsent: dict[EndpointId, None] = {}
        self.contents_by_endpoint: dict[EndpointId, int] = {}
        self.other_digest = False
        self.load_by_service: dict[str, ServiceLoad] = {}
        self.load_at = UNDATED
        self.address = ""

    def meet(self, instance: InstanceId) -> None:
        """Start anew with an incarnation of the peer."""
        self.instance = instance
        self.stamp = None
        self.send_at = UNDATED
        self.contents_by_endpoint.clear()
        self.load_by_service = {}


class Directory:
    """
    Table of endpoints of one instance; a :class:`~bulrushhollow_core.actions.Component`.

    :param me: this instance's name.
    :param data_centre: this instance's data centre.
    :param peers_by_name: data centre of every other instance.
    :param http_address: IP number and port at which this instance takes requests, told to the
        other data centres so that they can forward some; empty if they shall not.
    """

    def __init__(
        self,
        me: InstanceName,
        data_centre: DataCentreId,
        peers_by_name: dict[InstanceName, DataCentreId],
        rng: random.Random,
        now: Seconds,
        http_address: str = "",
    ) -> None:
        self._data_centre = data_centre
        self._http_address = http_address
        self._rng = rng
        self._table = EndpointTable()
        self._configuration = Configuration()
        self._load: tuple[ServiceLoad, ...] = ()
        self._ask_at = now
        self._forget_at = now
        self._peers_by_name = {
            name: _Peer(name, peer_data_centre)
            for name, peer_data_centre in peers_by_name.items()
            if name != me
        }
        self._data_centres = {data_centre, *peers_by_name.values()}

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Take over the service states of a newer configuration."""
        self._configuration = configuration

    def set_load(self, load: tuple[ServiceLoad, ...]) -> None:
        """Set what is told to other data centres with the next messages."""
        self._load = load

    def meet(self, peer: InstanceId, now: Seconds) -> list[msgspec.Struct]:
        """Take in that an incarnation of a peer can be reached; called at each connection."""
        known = self._peers_by_name.get(name_of(peer))
        if known is None:
            return []
        known.meet(peer)
        return self._send_news(known, now) + self._ask(known, (), now)

    def announce(self, announcement: Announcement, now: Seconds) -> Announced | Refusal:
        """
        Take in what an endpoint sent to this instance.

        :return: a refusal if the announcement makes no sense.
        """
        refusal = self._check(announcement)
        if refusal is not None:
            return refusal
        known = self._table.get(announcement.endpoint)
        content = content_checksum(announcement)
        changed = known is None or content_checksum(known.announcement) != content
        actions: list[msgspec.Struct] = []
        if self._table.put(announcement, now):
            for peer in self._peers_by_name.values():
                if peer.data_centre == announcement.data_centre:
                    peer.unsent[announcement.endpoint] = None
                    peer.urgent = peer.urgent or changed
        if changed:
            actions = self.tick(now)
        return Announced(AnnouncementAnswer(ANNOUNCE_WITHIN), tuple(actions))

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in one message of a peer."""
        peer = self._peers_by_name.get(name_of(source))
        if peer is None:
            return []
        if peer.instance != source:
            peer.meet(source)
        match message:
            case EndpointNews():
                return self._take_news(peer, message, now)
            case EndpointQuestion():
                return self._answer(peer, message, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Send what is due."""
        if now >= self._forget_at:
            self._forget_at = Seconds(now + SILENT_AFTER)
            self._table.forget(now)
        actions: list[msgspec.Struct] = []
        for peer in self._peers_by_name.values():
            if peer.instance is not None and self._is_due(peer, now):
                actions += self._send_news(peer, now)
        if now >= self._ask_at:
            self._ask_at = Seconds(now + NEAR_INTERVAL)
            actions += self._ask_for_suspects(now)
        return actions

    def usable(self, service: str, now: Seconds) -> tuple[Announcement, ...]:
        """Return the endpoints of the own data centre that may get new work of a service."""
        return tuple(
            entry.announcement
            for entry in self._table.entries()
            if entry.announcement.service == service and self._is_usable(entry, now)
        )

    def local(self, now: Seconds) -> tuple[Announcement, ...]:
        """Return the endpoints of the own data centre that were heard of lately."""
        return tuple(
            entry.announcement
            for entry in self._table.entries()
            if entry.announcement.data_centre == self._data_centre
            and now - entry.heard_at <= SILENT_AFTER
        )

    def find(self, endpoint: EndpointId) -> Announcement | None:
        """Return the latest announcement of an endpoint, however old."""
        entry = self._table.get(endpoint)
        return None if entry is None else entry.announcement

    def is_usable(self, endpoint: EndpointId, now: Seconds) -> bool:
        """Return whether an endpoint may get new work from this instance."""
        entry = self._table.get(endpoint)
        return entry is not None and self._is_usable(entry, now)

    def remotes(self, service: str, now: Seconds) -> tuple[RemoteInstance, ...]:
        """Return the entry instances of other data centres that have endpoints of a service."""
        return tuple(
            RemoteInstance(peer.name, peer.data_centre, peer.address, load, peer.load_at)
            for peer in self._peers_by_name.values()
            if peer.data_centre != self._data_centre
            and peer.address
            and now - peer.load_at <= SILENT_AFTER
            and self.in_service(peer.data_centre)
            and (load := peer.load_by_service.get(service)) is not None
            and load.endpoints > 0
        )

    def in_service(self, data_centre: DataCentreId) -> bool:
        """Return whether operators have a data centre in service."""
        declared = self._configuration.data_centres_by_id.get(data_centre)
        return declared is None or declared.service is Service.IN

    def status(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return every endpoint that is known here or taken out by operators."""
        known = {entry.announcement.endpoint: entry for entry in self._table.entries()}
        names = sorted({*known, *self._configuration.out_endpoints})
        return tuple(self._status(name, known.get(name), now) for name in names)

    def _check(self, announcement: Announcement) -> Refusal | None:
        if announcement.data_centre not in self._data_centres:
            return Refusal(Reason.NO_SUCH_DATA_CENTRE, f"{announcement.data_centre} is not known")
        counts = (announcement.slots, announcement.connections)
        if not all(1 <= count <= MAX_SLOTS for count in counts):
            return Refusal(Reason.INVALID, f"slots and connections are 1 to {MAX_SLOTS}")
        if not announcement.endpoint or not announcement.service:
            return Refusal(Reason.INVALID, "endpoint and service need a name")
        if not _is_address(announcement.address):
            return Refusal(Reason.INVALID, f"{announcement.address!r} is not IP:PORT")
        return None

    def _is_usable(self, entry: Entry, now: Seconds) -> bool:
        announcement = entry.announcement
        return (
            announcement.data_centre == self._data_centre
            and not announcement.leaving
            and now - entry.heard_at <= SILENT_AFTER
            and announcement.endpoint not in self._configuration.out_endpoints
            and self.in_service(self._data_centre)
        )

    def _is_due(self, peer: _Peer, now: Seconds) -> bool:
        near = peer.data_centre == self._data_centre or bool(peer.unsent)
        interval = NEAR_INTERVAL if near else FAR_INTERVAL
        return peer.urgent or now >= peer.send_at + interval

    def _send_news(self, peer: _Peer, now: Seconds) -> list[msgspec.Struct]:
        assert peer.instance is not None
        near = peer.data_centre == self._data_centre
        described: list[Described] = []
        heard: list[Heard] = []
        for endpoint in peer.unsent:
            entry = self._table.get(endpoint)
            if entry is None:
                continue
            content = content_checksum(entry.announcement)
            age = Seconds(now - entry.heard_at)
            if peer.contents_by_endpoint.get(endpoint) == content:
                heard.append(_heard(entry.announcement, content, age))
            else:
                peer.contents_by_endpoint[endpoint] = content
                described.append(Described(entry.announcement, age))
        peer.unsent.clear()
        peer.urgent = False
        peer.send_at = now
        news = EndpointNews(
            stamp=now,
            echo=peer.stamp,
            described=tuple(described),
            heard=tuple(heard),
            digest=self._digest(now) if near else 0,
            load=() if near else self._load,
            address="" if near else self._http_address,
        )
        return [Send(peer.instance, news)]

    def _take_news(self, peer: _Peer, news: EndpointNews, now: Seconds) -> list[msgspec.Struct]:
        if peer.stamp is None or news.stamp > peer.stamp:
            peer.stamp = news.stamp
        echo = UNDATED if news.echo is None else min(news.echo, now)
        for described in news.described:
            self._table.put(described.announcement, Seconds(echo - described.age))
        unknown = tuple(
            heard.endpoint
            for heard in news.heard
            if not self._table.refresh(heard, Seconds(echo - heard.age))
        )
        if peer.data_centre != self._data_centre:
            peer.load_by_service = {load.service: load for load in news.load}
            peer.load_at = echo
            peer.address = news.address
        other_digest = news.digest not in (0, self._digest(now))
        ask_all = other_digest and peer.other_digest
        peer.other_digest = other_digest and not ask_all
        if ask_all:
            return self._ask(peer, (), now)
        return self._ask(peer, unknown, now) if unknown else []

    def _ask(
        self, peer: _Peer, endpoints: tuple[EndpointId, ...], now: Seconds
    ) -> list[msgspec.Struct]:
        assert peer.instance is not None
        return [Send(peer.instance, EndpointQuestion(now, endpoints))]

    def _ask_for_suspects(self, now: Seconds) -> list[msgspec.Struct]:
        suspects = tuple(
            entry.announcement.endpoint
            for entry in self._table.entries()
            if entry.announcement.data_centre == self._data_centre
            and SUSPECT_AFTER < now - entry.heard_at <= SILENT_AFTER + SUSPECT_AFTER
        )
        peers = [peer for peer in self._peers_by_name.values() if peer.instance is not None]
        if not suspects or not peers:
            return []
        return self._ask(self._rng.choice(peers), suspects, now)

    def _answer(
        self, peer: _Peer, question: EndpointQuestion, now: Seconds
    ) -> list[msgspec.Struct]:
        assert peer.instance is not None
        entries = [
            entry
            for entry in self._table.entries()
            if entry.announcement.data_centre == peer.data_centre
            and now - entry.heard_at <= SILENT_AFTER
            and (not question.endpoints or entry.announcement.endpoint in question.endpoints)
        ]
        if not entries:
            return []
        described = tuple(
            Described(entry.announcement, Seconds(now - entry.heard_at)) for entry in entries
        )
        news = EndpointNews(now, question.stamp, described, load=self._load)
        news = msgspec.structs.replace(news, address=self._http_address)
        return [Send(peer.instance, news)]

    def _digest(self, now: Seconds) -> int:
        return self._table.digest(self._data_centre, Seconds(now - SILENT_AFTER))

    def _status(self, name: EndpointId, entry: Entry | None, now: Seconds) -> EndpointStatus:
        out = name in self._configuration.out_endpoints
        service = Service.OUT if out else Service.IN
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


def _heard(announcement: Announcement, content: int, age: Seconds) -> Heard:
    return Heard(
        announcement.endpoint, announcement.incarnation, announcement.sequence, content, age
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= 65_535
