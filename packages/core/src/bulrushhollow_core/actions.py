"""
bulrushhollow_core.actions
~~~~~~~~~~~~~~~~~~~~~~~~~~

Actions that every component of the core returns, and the interface that components share. Actions
are carried out in the order of the list: an action after a :class:`Persist` is carried out only
once the record is synced to disk.
"""

from typing import Protocol

import msgspec

from bulrushhollow_core.ids import InstanceId, Seconds


class Send(msgspec.Struct, frozen=True):
    """
    Send a message to a peer; it may be lost, delayed, repeated or reordered.

    :param to: the receiving instance.
    :param message: a message type of the component that sends it.
    """

    to: InstanceId
    message: msgspec.Struct


class Persist(msgspec.Struct, frozen=True):
    """
    Append a record to the journal and sync it before any later action.

    :param record: a journal record type of the component that writes it.
    """

    record: msgspec.Struct


class Component(Protocol):
    """A component of the core that exchanges messages with its peers on other instances."""

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """
        Handle a message; its type is one of this component's own message types.

        :return: actions in the order in which to carry them out.
        """

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Handle timeouts and periodic work; called every :data:`TICK_INTERVAL` or more often.

        :return: actions in the order in which to carry them out.
        """


TICK_INTERVAL = Seconds(0.05)
"""Seconds between two ticks of a daemon while work is in progress."""

IDLE_TICK_INTERVAL = Seconds(0.2)
"""Seconds between two ticks of a daemon while it is idle."""
