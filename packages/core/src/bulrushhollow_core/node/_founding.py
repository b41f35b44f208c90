"""
bulrushhollow_core.node._founding
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether the instance that was told to found the log may bootstrap it: only if no log exists
yet.
"""

from bulrushhollow_core.ids import InstanceId, InstanceName, name_of


class BootstrapGuard:
    """
    Collects the reports of the peers until it is safe to bootstrap the log.

    :param is_founder: whether this instance was told to found the log.
    :param disk_peers: names of all other instances with a disk; each must report that it has joined
        no log, because any of them may store one.
    """

    def __init__(self, is_founder: bool, disk_peers: frozenset[InstanceName]) -> None:
        self._may_bootstrap = is_founder
        self._unconfirmed_peers = disk_peers

    def record_peer(self, peer: InstanceId, has_joined_log: bool) -> None:
        """Record the report of a peer; a peer that has joined a log rules out another log."""
        self._unconfirmed_peers = self._unconfirmed_peers - {name_of(peer)}
        if has_joined_log:
            self._may_bootstrap = False

    def claim(self) -> bool:
        """Return whether to bootstrap the log now; it returns True at most once."""
        if not self._may_bootstrap or self._unconfirmed_peers:
            return False
        self._may_bootstrap = False
        return True
