"""
bulrushhollow_core.node._entry
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

This instance as an entry for requests: the directory of endpoints, its share of their slots and
the router.
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
    Directory, shares and router of one instance.

    :param me: this incarnation.
    :param data_centres_by_name: the data centre of every instance, this one included.
    :param http_address: where other instances may forward requests to.
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
        near = frozenset(n for n, where in data_centres_by_name.items() if where == data_centre)
        self.directory = EndpointDirectory(
            name, data_centre, data_centres_by_name, rng, now, http_address
        )
        self.shares = SlotShares(me, near, self.directory, now)
        self.router = Router(me, data_centre, self.directory, self.shares, rng, settings, now)

    def configure(self, configuration: Configuration, now: Seconds) -> None:
        """Take over a configuration."""
        self.directory.configure(configuration, now)
        self.shares.configure(configuration, now)
        self.router.configure(configuration, now)

    def connected(self, peer: InstanceId, now: Seconds) -> list[msgspec.Struct]:
        """Take in that an incarnation of a peer can be reached."""
        return self.directory.peer_connected(peer, now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in a message of the directory or of the shares."""
        if isinstance(message, EndpointUpdate | EndpointQuery):
            return self.directory.receive(source, message, now)
        return self.shares.receive(source, message, now)

    def announce(
        self, call: CallId, announcement: Announcement, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in what an endpoint says of itself, and answer it."""
        announced = self.directory.announce(announcement, now)
        if isinstance(announced, Refusal):
            return [Reply(call, announced)]
        return [Reply(call, announced.answer), *announced.actions]

    def follow_lease(self, lease: KnownLease, now: Seconds) -> list[msgspec.Struct]:
        """Take in who divides the slots."""
        return self.shares.lease_changed(lease.holder, lease.epoch, now)

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Let time pass."""
        return [*self.directory.tick(now), *self.shares.tick(now), *self.router.tick(now)]

    def endpoints(self, now: Seconds) -> tuple[EndpointStatus, ...]:
        """Return the state of every endpoint."""
        return self.router.status(now).endpoints
