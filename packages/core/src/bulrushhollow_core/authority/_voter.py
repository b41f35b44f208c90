"""
bulrushhollow_core.authority._voter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One voter on the lease of one data centre: the instance that has its vote, and until when.
"""

import msgspec

from bulrushhollow_core.authority._timing import AuthorityTiming
from bulrushhollow_core.ids import Epoch, InstanceId, Seconds


class Promise(msgspec.Struct, frozen=True):
    """
    The promise that binds a voter to one holder.

    :param until: reading of the voter's clock until which no other instance gets the vote.
    """

    holder: InstanceId
    epoch: Epoch
    until: Seconds


class Vote(msgspec.Struct, frozen=True):
    """
    Answer of a voter.

    :param highest_epoch: highest epoch that the voter has seen.
    :param wait: seconds for which the voter can't vote for the candidate; 0 if it is granted.
    """

    granted: bool
    highest_epoch: Epoch
    wait: Seconds = Seconds(0.0)


class Voter:
    """
    Voter that has at most one promise at a time.

    :param ready_at: reading of the clock before which it grants no vote, since it may have promised
        its vote to an instance before it restarted.
    """

    def __init__(self, timing: AuthorityTiming, ready_at: Seconds) -> None:
        self._timing = timing
        self._ready_at = ready_at
        self._promise: Promise | None = None
        self._highest_epoch = Epoch(0)
        self._highest_epoch_holder: InstanceId | None = None
        self._released_epoch = Epoch(0)

    @property
    def highest_epoch(self) -> Epoch:
        """Return the highest epoch seen."""
        return self._highest_epoch

    def promise(self, now: Seconds) -> Promise | None:
        """Return the promise that binds this voter, if any."""
        is_bound = self._promise is not None and now < self._promise.until
        return self._promise if is_bound else None

    def remaining_wait(self, source: InstanceId, now: Seconds) -> Seconds:
        """Return the seconds for which this voter can't vote for an instance."""
        promise = self.promise(now)
        is_bound_elsewhere = promise is not None and promise.holder != source
        bound_until = promise.until if promise is not None and is_bound_elsewhere else now
        return Seconds(max(bound_until, self._ready_at, now) - now)

    def pre_vote(self, source: InstanceId, now: Seconds) -> Vote:
        """Return whether an instance would get the vote for an epoch above the highest one."""
        wait = self.remaining_wait(source, now)
        return Vote(wait <= 0, self._highest_epoch, wait)

    def vote(self, source: InstanceId, epoch: Epoch, now: Seconds) -> Vote:
        """
        Grant or renew the vote if this voter is not bound to another instance.

        :return: granted only for an epoch above all others seen, or to renew the highest one.
        """
        wait = self.remaining_wait(source, now)
        is_renewal = epoch == self._highest_epoch and self._highest_epoch_holder in (None, source)
        if (
            wait > 0
            or epoch <= self._released_epoch
            or not (epoch > self._highest_epoch or is_renewal)
        ):
            if now < self._ready_at:
                self.record_epoch(epoch)
            return Vote(False, self._highest_epoch, wait)
        self._highest_epoch = epoch
        self._highest_epoch_holder = source
        self._promise = Promise(source, epoch, Seconds(now + self._timing.vote_duration))
        return Vote(True, epoch)

    def record_epoch(self, epoch: Epoch) -> None:
        """Record an epoch that some instance has used."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self._highest_epoch_holder = None

    def release(self, source: InstanceId, epoch: Epoch) -> None:
        """End the promise to an instance that has released its epoch for good."""
        self.record_epoch(epoch)
        self._released_epoch = Epoch(max(self._released_epoch, epoch))
        promise = self._promise
        if promise is not None and promise.holder == source and promise.epoch <= epoch:
            self._promise = None
