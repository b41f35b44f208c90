"""
bulrushhollow_core.configuration._rollout
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Tracks which instance has applied which version of the configuration. Every instance reports the
version that it has applied to all others, at once when it changes and then at fixed intervals.
"""

from typing import Annotated

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.configuration._history import VersionHistory
from bulrushhollow_core.ids import COUNT, InstanceId, InstanceName, Seconds, Version, name_of

ROLLOUT_INTERVAL = Seconds(1.0)
"""Seconds between two reports to a peer while the version stays the same."""


class AppliedVersion(msgspec.Struct, frozen=True, array_like=True, tag="configuration_applied"):
    """A report to a peer: the newest version that the sender has applied."""

    version: Annotated[Version, COUNT]


class RolloutProgress(msgspec.Struct, frozen=True):
    """The instances that have applied a version and those that have not, ordered by name."""

    in_force_in: tuple[InstanceName, ...]
    not_yet_in: tuple[InstanceName, ...]


class _Peer:
    """
    The last reports of one peer.

    :ivar instance: the current incarnation of the peer.
    :ivar previous_instance: the incarnation before it, whose late reports are ignored.
    :ivar history: the versions that the current incarnation has applied.
    :ivar last_report_at: when the last report arrived.
    """

    def __init__(self, now: Seconds) -> None:
        self.instance: InstanceId | None = None
        self.previous_instance: InstanceId | None = None
        self.history = VersionHistory()
        self.last_report_at = now

    def set_incarnation(self, instance: InstanceId) -> None:
        """Set the current incarnation; a new one starts with an empty history."""
        if instance != self.instance:
            self.previous_instance = self.instance
            self.instance = instance
            self.history = VersionHistory()


class Rollout:
    """
    Tracks the applied version of every instance.

    :param own_name: name of this instance.
    :param peers: names of all other instances.
    """

    def __init__(
        self, own_name: InstanceName, peers: frozenset[InstanceName], now: Seconds
    ) -> None:
        self._own_name = own_name
        self._own_history = VersionHistory()
        self._peers_by_name = {peer: _Peer(now) for peer in sorted(peers - {own_name})}
        self._next_report_at = now

    def peer_connected(self, instance: InstanceId) -> list[msgspec.Struct]:
        """
        Record the current incarnation of a peer that has connected.

        :return: a report to the peer.
        """
        peer = self._peers_by_name.get(name_of(instance))
        if peer is None:
            return []
        peer.set_incarnation(instance)
        return [Send(instance, AppliedVersion(self._own_history.newest))]

    def record_applied(self, version: Version, now: Seconds) -> list[msgspec.Struct]:
        """
        Record that this instance has applied a version.

        :return: reports to the peers if the version is new.
        """
        if version <= self._own_history.newest:
            return []
        self._own_history.record(version, now)
        return self._reports_to_peers(now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Record an :class:`AppliedVersion` of a peer; ignore any other message."""
        peer = self._peers_by_name.get(name_of(source))
        if (
            peer is None
            or source == peer.previous_instance
            or not isinstance(message, AppliedVersion)
        ):
            return []
        peer.set_incarnation(source)
        peer.last_report_at = now
        peer.history.record(message.version, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """Return the periodic reports if they are due."""
        return self._reports_to_peers(now) if now >= self._next_report_at else []

    def progress(self, version: Version) -> RolloutProgress:
        """
        Return the progress of a version across the instances.

        :return: the instances that have confirmed the version or a later one, and all others.
        """
        names = sorted([self._own_name, *self._peers_by_name])
        applied = [name for name in names if self.applied_since(name, version) is not None]
        missing = [name for name in names if self.applied_since(name, version) is None]
        return RolloutProgress(tuple(applied), tuple(missing))

    def applied_since(self, name: InstanceName, version: Version) -> Seconds | None:
        """
        Return since when an instance is known to have applied a version.

        :return: a reading of this process's clock; None if the current incarnation of the
            instance has not confirmed the version.
        """
        history = self._own_history if name == self._own_name else self._peers_by_name[name].history
        return history.applied_since(version)

    def last_heard(self, peer: InstanceName, now: Seconds) -> Seconds:
        """
        Return when the last report of an instance arrived.

        :return: a reading of this process's clock; for this instance always ``now``.
        """
        return now if peer == self._own_name else self._peers_by_name[peer].last_report_at

    def _reports_to_peers(self, now: Seconds) -> list[msgspec.Struct]:
        self._next_report_at = Seconds(now + ROLLOUT_INTERVAL)
        instances = [peer.instance for peer in self._peers_by_name.values()]
        report = AppliedVersion(self._own_history.newest)
        return [Send(instance, report) for instance in instances if instance is not None]
