"""
bulrushhollow_core.node._entry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Components of an instance that handle requests: the directory of endpoints, this instance's share of
their slots, and the router.
"""

import random

import msgspec

from bulrushhollow_core.answers import EndpointStatus
from bulrushhollow_core.authority import KnownLease
from bulrushhollow_core.endpoints import Announcement
from bulrushhollow_core.ids import DataCentreId, InstanceId, InstanceName, Seconds, name_of
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.node._actions import Reply
from bulrushhollow_core.node._events import CallId
from bulrushhollow_core.outcomes import Refusal
from bulrushhollow_core.requests import (
    EndpointDirectory,
    EndpointQuery,
    EndpointUpdate,
    Router,
    RouterSettings,
    SlotShares,
)


class Entry:
    """
    Directory, slot shares and router of one instance.

    :param me: this incarnation.
    :param data_centres_by_name: the data centre of every instance, this one included.
    :param http_address: address to which other instances may forward requests.
    """

    def __init__(
        self,
        me: InstanceId,
        data_centres_by_name: dict[InstanceName, DataCentreId],
        http_address: str,
        settings: RouterSettings,
        rng: random.Random,
        now: Seconds,
    ) -> None:
        name = name_of(me)
        data_centre = data_centres_by_name[name]
        local_names = frozenset(
            other for other, location in data_centres_by_name.items() if location == data_centre
        )
        self.directory = EndpointDirectory(
            name, data_centre, data_centres_by_name, rng, now, http_address
        )
        self.shares = SlotShares(me, local_names, self.directory, now)
        self.router = Router(me, data_centre, self.directory, self.shares, rng, settings, now)

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Apply a configuration."""
        self.directory.configure(configuration, now)
        self.shares.configure(configuration, now)
        self.router.configure(configuration, now)

    def peer_connected(self, peer: InstanceId, now: Seconds) -> list[msgspec.Struct]:
        """Handle that an incarnation of a peer can be reached."""
        return self.directory.peer_connected(peer, now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Handle a message of the directory or of the slot shares."""
        if isinstance(message, EndpointUpdate | EndpointQuery):
            return self.directory.receive(source, message, now)
        return self.shares.receive(source, message, now)

    def announce(
        self, call: CallId, announcement: Announcement, now: Seconds
    ) -> list[msgspec.Struct]:
        """Handle the announcement of an endpoint, and answer it."""
        announced = self.directory.announce(announcement, now)
        if isinstance(announced, Refusal):
            return [Reply(call, announced)]
        return [Reply(call, announced.answer), *announced.actions]

    def lease_changed(self, lease: KnownLease, now: Seconds) -> list[msgspec.Struct]:
        """Handle a change of the lease; its holder divides the slots among the instances."""
        return self.shares.lease_changed(lease.holder, lease.epoch, now)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Handle timeouts and periodic work of all three components."""
        return [*self.directory.tick(now), *self.shares.tick(now), *self.router.tick(now)]

    def endpoints(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return the state of every known endpoint."""
        return self.router.status(now).endpoints
