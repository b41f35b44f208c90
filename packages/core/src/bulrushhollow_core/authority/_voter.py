"""
bulrushhollow_core.authority._voter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

One vote on the lease of one data centre: to whom it is promised, and until when.
"""

import msgspec

from bulrushhollow_core.authority._timing import AuthorityTiming
from bulrushhollow_core.ids import Epoch, InstanceId, Seconds


class Promise(msgspec.Struct, frozen=True):
    """
    A vote given.

    :param until: reading of the voter's clock up to which nobody else gets the vote.
    """

    holder: InstanceId
    epoch: Epoch
    until: Seconds


class Vote(msgspec.Struct, frozen=True):
    """
    Answer of a voter.

    :param highest_epoch: highest epoch that the voter has seen.
    :param wait: seconds for which the voter is bound otherwise; 0 if it is granted.
    """

    granted: bool
    highest_epoch: Epoch
    wait: Seconds = Seconds(0.0)


class Voter:
    """
    Gives one vote at a time.

    :param ready_at: reading of the clock before which it gives none, as it may have promised its
        vote before it was started.
    """

    def __init__(self, timing: AuthorityTiming, ready_at: Seconds) -> None:
        self._timing = timing
        self._ready_at = ready_at
        self._promise: Promise | None = None
        self._highest_epoch = Epoch(0)
        self._highest_epoch_holder: InstanceId | None = None
        self._closed = Epoch(0)

    @property
    def highest_epoch(self) -> Epoch:
        """The highest epoch seen."""
        return self._highest_epoch

    def promise(self, now: Seconds) -> Promise | None:
        """Return the promise that binds this voter, if any."""
        bound = self._promise is not None and now < self._promise.until
        return self._promise if bound else None

    def bound_for(self, source: InstanceId, now: Seconds) -> Seconds:
        """Tell for how many seconds this voter can't vote for an instance."""
        promise = self.promise(now)
        other = promise is not None and promise.holder != source
        bound_until = promise.until if promise is not None and other else now
        return Seconds(max(bound_until, self._ready_at, now) - now)

    def pre_vote(self, source: InstanceId, now: Seconds) -> Vote:
        """Tell whether an instance would get the vote for an epoch above the highest."""
        wait = self.bound_for(source, now)
        return Vote(wait <= 0, self._highest_epoch, wait)

    def vote(self, source: InstanceId, epoch: Epoch, now: Seconds) -> Vote:
        """
        Give or renew the vote if it is free.

        :return: granted only for an epoch above all others seen, or for the renewal of it.
        """
        wait = self.bound_for(source, now)
        renewal = epoch == self._highest_epoch and self._highest_epoch_holder in (None, source)
        if wait > 0 or epoch <= self._closed or not (epoch > self._highest_epoch or renewal):
            if now < self._ready_at:
                self.note(epoch)
            return Vote(False, self._highest_epoch, wait)
        self._highest_epoch = epoch
        self._highest_epoch_holder = source
        self._promise = Promise(source, epoch, Seconds(now + self._timing.vote_duration))
        return Vote(True, epoch)

    def note(self, epoch: Epoch) -> None:
        """Note an epoch that was used, by whomever."""
        if epoch > self._highest_epoch:
            self._highest_epoch = epoch
            self._highest_epoch_holder = None

    def release(self, source: InstanceId, epoch: Epoch) -> None:
        """Take back a promise to an instance that has given up its epoch for good."""
        self.note(epoch)
        self._closed = Epoch(max(self._closed, epoch))
        promise = self._promise
        if promise is not None and promise.holder == source and promise.epoch <= epoch:
            self._promise = None
