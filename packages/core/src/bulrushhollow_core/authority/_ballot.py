"""
bulrushhollow_core.authority._ballot
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the votes for one epoch.
"""

from collections.abc import Iterable

from bulrushhollow_core.ids import Epoch, InstanceName, Seconds

WITNESS = InstanceName("")
"""Stands for the witness among the names of voters; no instance has an empty name."""


def votes_in_all(members: Iterable[InstanceName]) -> int:
    """Count the votes of a data centre; an even number of members is made odd by the witness."""
    count = len(set(members))
    return count + 1 if count % 2 == 0 else count


def majority(members: Iterable[InstanceName]) -> int:
    """Count the votes that make a strict majority."""
    return votes_in_all(members) // 2 + 1


class Ballot:
    """
    The votes given so far.

    :param epoch: what they are for.
    :param needed: votes that make a majority.
    """

    def __init__(self, epoch: Epoch, needed: int) -> None:
        self.epoch = epoch
        self._needed = needed
        self._sent_at_by_voter: dict[InstanceName, Seconds] = {}

    def count(self, voter: InstanceName, sent_at: Seconds) -> None:
        """Count a vote from the time at which it was asked for."""
        earlier = self._sent_at_by_voter.get(voter, sent_at)
        self._sent_at_by_voter[voter] = max(earlier, sent_at)

    def carried_since(self) -> Seconds | None:
        """Return the latest time since which a majority has voted, or None without one."""
        times = sorted(self._sent_at_by_voter.values(), reverse=True)
        return times[self._needed - 1] if len(times) >= self._needed else None

    def voters_since(self, since: Seconds) -> frozenset[InstanceName]:
        """Return the voters that answered an ask sent then or later."""
        times = self._sent_at_by_voter.items()
        return frozenset(voter for voter, sent_at in times if sent_at >= since)
