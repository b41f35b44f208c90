"""
bulrushhollow_core.authority._ballot
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Counts the lease votes for one epoch.
"""

from collections.abc import Iterable

from bulrushhollow_core.ids import Epoch, InstanceName, Seconds

WITNESS_NAME = InstanceName("")
"""Name of the witness among the voters; no instance has an empty name."""


def total_votes(members: Iterable[InstanceName]) -> int:
    """Return the number of votes in a data centre; the witness makes an even number odd."""
    count = len(set(members))
    return count + 1 if count % 2 == 0 else count


def majority(members: Iterable[InstanceName]) -> int:
    """Return the number of votes in a strict majority."""
    return total_votes(members) // 2 + 1


class Ballot:
    """
    The votes granted for one epoch so far.

    :param votes_needed: number of votes in a majority.
    """

    def __init__(self, epoch: Epoch, votes_needed: int) -> None:
        self.epoch = epoch
        self._votes_needed = votes_needed
        self._sent_at_by_voter: dict[InstanceName, Seconds] = {}

    def record_vote(self, voter: InstanceName, sent_at: Seconds) -> None:
        """Record a vote, which counts from the time at which it was requested."""
        earlier = self._sent_at_by_voter.get(voter, sent_at)
        self._sent_at_by_voter[voter] = max(earlier, sent_at)

    def majority_since(self) -> Seconds | None:
        """Return the time from which the votes of a majority count, or None without a majority."""
        times = sorted(self._sent_at_by_voter.values(), reverse=True)
        return times[self._votes_needed - 1] if len(times) >= self._votes_needed else None

    def voters_since(self, since: Seconds) -> frozenset[InstanceName]:
        """Return the voters that granted a request sent at a time or later."""
        times = self._sent_at_by_voter.items()
        return frozenset(voter for voter, sent_at in times if sent_at >= since)
