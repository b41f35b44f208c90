"""
bulrushhollow_core.configuration._rollout
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which instance has applied which version of the configuration. Every instance tells every other
one when it applies a version, and again at each interval.
"""

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.configuration._history import VersionHistory
from bulrushhollow_core.ids import InstanceId, InstanceName, Seconds, Version, name_of

ROLLOUT_INTERVAL = Seconds(1.0)
"""Seconds between two reports to a peer while nothing changes."""


class AppliedVersion(msgspec.Struct, frozen=True, array_like=True, tag="configuration_applied"):
    """Sent by every instance to every other: what the sender has applied."""

    version: Version


class RolloutProgress(msgspec.Struct, frozen=True):
    """Where a version is in force, each in order of name."""

    in_force_in: tuple[InstanceName, ...]
    not_yet_in: tuple[InstanceName, ...]


class _Peer:
    """What one peer last said."""

    def __init__(self, now: Seconds) -> None:
        self.instance: InstanceId | None = None
        self.replaced: InstanceId | None = None
        self.history = VersionHistory()
        self.heard = now

    def fill(self, instance: InstanceId) -> None:
        """Forget what an earlier incarnation said."""
        if instance != self.instance:
            self.replaced = self.instance
            self.instance = instance
            self.history = VersionHistory()


class Rollout:
    """
    Tracks the applied version of every instance.

    :param me: name of this instance.
    :param peers: names of all other instances.
    """

    def __init__(self, me: InstanceName, peers: frozenset[InstanceName], now: Seconds) -> None:
        self._me = me
        self._own = VersionHistory()
        self._peers_by_name = {peer: _Peer(now) for peer in sorted(peers - {me})}
        self._next_report = now

    def peer_connected(self, instance: InstanceId) -> list[msgspec.Struct]:
        """
        Note which incarnation now fills a name.

        :return: a report to it.
        """
        peer = self._peers_by_name.get(name_of(instance))
        if peer is None:
            return []
        peer.fill(instance)
        return [Send(instance, AppliedVersion(self._own.newest))]

    def record_applied(self, version: Version, now: Seconds) -> list[msgspec.Struct]:
        """
        Note that this instance has applied a version.

        :return: reports to the peers if it is a new one.
        """
        if version <= self._own.newest:
            return []
        self._own.record(version, now)
        return self._report(now)

    def receive(
        self, source: InstanceId, message: msgspec.Struct, now: Seconds
    ) -> list[msgspec.Struct]:
        """Take in an :class:`AppliedVersion`; others are ignored."""
        peer = self._peers_by_name.get(name_of(source))
        if peer is None or source == peer.replaced or not isinstance(message, AppliedVersion):
            return []
        peer.fill(source)
        peer.heard = now
        peer.history.record(message.version, now)
        return []

    def tick(self, now: Seconds) -> list[msgspec.Struct]:
        """
        Let time pass.

        :return: reports to the peers once in each interval.
        """
        return self._report(now) if now >= self._next_report else []

    def progress(self, version: Version) -> RolloutProgress:
        """
        Tell where a version, or a later one, is in force.

        :return: instances that said so, and all the others.
        """
        names = sorted([self._me, *self._peers_by_name])
        applied = [name for name in names if self.applied_since(name, version) is not None]
        missing = [name for name in names if self.applied_since(name, version) is None]
        return RolloutProgress(tuple(applied), tuple(missing))

    def applied_since(self, name: InstanceName, version: Version) -> Seconds | None:
        """
        Tell since when an instance is known to have applied a version.

        :return: a reading of this process's clock; None if the present incarnation never said so.
        """
        history = self._own if name == self._me else self._peers_by_name[name].history
        return history.applied_since(version)

    def last_heard(self, peer: InstanceName, now: Seconds) -> Seconds:
        """
        Tell when a peer was last heard.

        :return: a reading of this process's clock; this instance always hears itself.
        """
        return now if peer == self._me else self._peers_by_name[peer].heard

    def _report(self, now: Seconds) -> list[msgspec.Struct]:
        self._next_report = Seconds(now + ROLLOUT_INTERVAL)
        instances = [peer.instance for peer in self._peers_by_name.values()]
        report = AppliedVersion(self._own.newest)
        return [Send(instance, report) for instance in instances if instance is not None]
