"""
bulrushhollow_core.node._founding
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Whether an instance that was told to found a log may do so: never beside a log that exists.
"""

from bulrushhollow_core.ids import InstanceId, InstanceName, name_of


class Founding:
    """
    Watches what the peers say of themselves until it is safe to found.

    :param wanted: whether this instance was told to found.
    :param disk_peers: names of all other instances with a disk; each must say that it belongs to
        no log, since any of them may hold one.
    """

    def __init__(self, wanted: bool, disk_peers: frozenset[InstanceName]) -> None:
        self._wanted = wanted
        self._unheard = disk_peers

    def heard(self, peer: InstanceId, belongs: bool) -> None:
        """Note what a peer said; one that belongs to a log ends the founding for good."""
        self._unheard = self._unheard - {name_of(peer)}
        if belongs:
            self._wanted = False

    def take(self) -> bool:
        """Tell whether to found now; True at most once."""
        if not self._wanted or self._unheard:
            return False
        self._wanted = False
        return True
