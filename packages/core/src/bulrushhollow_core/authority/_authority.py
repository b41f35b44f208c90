"""
bulrushhollow_core.authority._authority
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The lease of one data centre as one of its instances sees it: voter, candidate and holder.
"""

import random

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority._ballot import WITNESS, Ballot
from bulrushhollow_core.authority._candidacy import Candidacy, next_epoch
from bulrushhollow_core.authority._electorate import Electorate
from bulrushhollow_core.authority._messages import (
    AuthorityDenial,
    AuthorityGrant,
    AuthorityRelease,
    AuthorityRequest,
    WitnessDenial,
    WitnessGrant,
    WitnessRequest,
)
from bulrushhollow_core.authority._status import (
    AuthorityState,
    AuthorityStatus,
    HeldLease,
    KnownLease,
)
from bulrushhollow_core.authority._switch import ServiceSwitch
from bulrushhollow_core.authority._timing import MAX_CANDIDACY_JITTER, AuthorityTiming
from bulrushhollow_core.authority._voter import Voter
from bulrushhollow_core.authority._witness import Witness
from bulrushhollow_core.configuration import VersionHistory
from bulrushhollow_core.ids import (
    DataCentreId,
    Epoch,
    InstanceId,
    InstanceName,
    Seconds,
    Version,
    name_of,
)

Actions = list[msgspec.Struct]


class Authority:
    """
    Authority to start work in one data centre: at most one instance holds it at any time.

    Usage::

        >>> authority = Authority(me, data_centre, members, rng, now)
        >>> actions = authority.tick(now)
        >>> held = authority.held_lease(now)

    :param me: this incarnation.
    :param members: names of the data centre's own instances, this one among them.
    :param timing: alike on every instance.
    :param switch: take-outs given inside the data centre travel with the votes.
    :param witness: this instance's own witness, asked when this instance leads the log itself.
    """

    def __init__(
        self,
        me: InstanceId,
        data_centre: DataCentreId,
        members: frozenset[InstanceName],
        rng: random.Random,
        now: Seconds,
        timing: AuthorityTiming | None = None,
        switch: ServiceSwitch | None = None,
        witness: Witness | None = None,
    ) -> None:
        self._me = me
        self._electorate = Electorate(me, data_centre, members, witness)
        self._rng = rng
        self._timing = timing or AuthorityTiming()
        self._switch = switch
        self._ready_at = Seconds(now + self._timing.vote_duration)
        self._voter = Voter(self._timing, self._ready_at)
        self._history = VersionHistory()
        self._epoch_floor = Epoch(0)
        self._candidacy: Candidacy | None = None
        self._lease: Ballot | None = None
        self._renewed_at = now
        self._retired = False
        self._known = KnownLease()
        self._known_until = now
        self._stand_at = self._jittered(self._ready_at)

    # What the rest of the instance asks.

    def held_lease(self, now: Seconds) -> HeldLease | None:
        """
        Tell whether this instance holds the lease.

        :return: None as soon as the lease may have lapsed, also after a pause of the process.
        """
        if self._lease is None:
            return None
        since = self._lease.carried_since()
        if since is None or now >= since + self._timing.lease_duration:
            return None
        return HeldLease(self._lease.epoch, Seconds(since + self._timing.lease_duration))

    def holder(self, now: Seconds) -> InstanceId | None:
        """Return who holds the lease as far as this instance knows."""
        return self.known_lease(now).holder

    def known_lease(self, now: Seconds) -> KnownLease:
        """Return who holds the lease as far as this instance knows, and under which epoch."""
        held = self.held_lease(now)
        if held is not None:
            return KnownLease(self._me, held.epoch)
        return self._known if now < self._known_until else KnownLease()

    def status(self, now: Seconds) -> AuthorityStatus:
        """Describe the state of the lease for an operator."""
        held = self.held_lease(now)
        epoch = Epoch(max(self._voter.highest_epoch, self._epoch_floor))
        if held is None or self._lease is None:
            return AuthorityStatus(self._state(now), self.holder(now), epoch)
        last_round = Seconds(self._renewed_at - self._timing.renew_interval)
        voters = self._lease.voters_since(last_round)
        return AuthorityStatus(
            AuthorityState.HOLDING,
            self._me,
            epoch,
            Seconds(held.until - now),
            tuple(sorted(voters - {WITNESS})),
            WITNESS in voters,
        )

    # What the rest of the instance tells.

    def peer_connected(self, instance: InstanceId) -> None:
        """Note which incarnation now fills a member's place."""
        self._electorate.peer_connected(instance)

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Note that messages can't reach an incarnation."""
        self._electorate.peer_disconnected(instance)

    def set_log_leader(self, leader: InstanceId | None) -> None:
        """Note which instance leads the replicated log and so may vote as the witness."""
        self._electorate.leader = leader

    def record_applied_version(self, version: Version, now: Seconds) -> None:
        """
        Note the configuration in force here. No vote goes to a candidate with an older one, and
        after a lease time no renewal to a holder with an older one.
        """
        self._history.note(version, now)

    def raise_epoch_floor(self, epoch: Epoch, now: Seconds) -> None:
        """
        Note an epoch that was used, as told by the platform or by the replicated log. A holder
        whose own epoch is lower holds the lease no more and stands again at once.
        """
        self._epoch_floor = Epoch(max(self._epoch_floor, epoch))
        self._voter.note(epoch)
        if self._lease is not None and epoch > self._lease.epoch:
            self._lease = None
            self._stand_at = now

    def renew(self, now: Seconds) -> Actions:
        """Renew the lease before it is due, so that a local order reaches the members at once."""
        if self.held_lease(now) is None or self._candidacy is not None:
            return []
        return self._renew(now)

    def release(self, now: Seconds) -> Actions:
        """
        Hand the lease over before a planned stop. This instance goes on to vote, and never stands
        again.
        """
        self._retired = True
        actions = [] if self._candidacy is None else self._abandon(now)
        if self._lease is None:
            return actions
        successor = self._successor()
        epoch = self._lease.epoch
        self._lease = None
        return actions + self._give_up(epoch, successor)

    # Messages and time.

    def tick(self, now: Seconds) -> Actions:
        """Renew, stand for the lease or give up a try, whichever is due."""
        if self._lease is not None and self.held_lease(now) is None:
            self._lease = None
            self._stand_at = self._jittered(now)
        if self._candidacy is not None:
            return self._abandon(now) if self._candidacy.failed(now) else []
        if self._may_stand(now):
            return self._stand(now)
        if self._lease is not None and now >= self._renewed_at + self._timing.renew_interval:
            return self._renew(now)
        return []

    def receive(self, source: InstanceId, message: msgspec.Struct, now: Seconds) -> Actions:
        """Take in a message of this part; one from a stranger is ignored."""
        match message:
            case WitnessGrant() if source == self._electorate.leader:
                return self._granted(WITNESS, message, now)
            case WitnessDenial() if source == self._electorate.leader:
                return self._denied(message, now)
        if name_of(source) not in self._electorate.members:
            return []
        match message:
            case AuthorityRequest():
                return self._asked(source, message, now)
            case AuthorityGrant():
                if self._switch is not None:
                    self._switch.merge_orders(name_of(source), message.orders)
                return self._granted(name_of(source), message, now)
            case AuthorityDenial():
                return self._denied(message, now)
            case AuthorityRelease():
                self._released(source, message, now)
        return []

    # Voter.

    def _asked(self, source: InstanceId, request: AuthorityRequest, now: Seconds) -> Actions:
        if request.data_centre != self._electorate.data_centre:
            return []
        if self._switch is not None:
            self._switch.merge_orders(name_of(source), request.orders)
        if request.is_holder:
            self._known = KnownLease(source, request.epoch)
            self._known_until = Seconds(now + self._timing.lease_duration)
        if self._is_behind(request, now):
            return [Send(source, AuthorityDenial(request.epoch, self._voter.highest_epoch))]
        if request.is_pre_vote:
            vote = self._voter.pre_vote(source, now)
        else:
            vote = self._voter.vote(source, request.epoch, now)
        if not vote.granted:
            return [Send(source, AuthorityDenial(request.epoch, vote.highest_epoch, vote.wait))]
        if not request.is_pre_vote:
            self._candidacy = None
            self._stand_at = self._jittered(Seconds(now + self._timing.vote_duration))
        orders = () if self._switch is None else self._switch.pending_orders()
        grant = AuthorityGrant(
            request.epoch, request.sent_at, request.is_pre_vote, vote.highest_epoch, orders
        )
        return [Send(source, grant)]

    def _is_behind(self, request: AuthorityRequest, now: Seconds) -> bool:
        required_since = Seconds(now - self._timing.lease_duration) if request.is_holder else now
        return self._history.had(required_since) > request.version

    def _released(self, source: InstanceId, message: AuthorityRelease, now: Seconds) -> None:
        self._voter.release(source, message.epoch)
        if self._known.holder == source:
            self._known = KnownLease()
        if message.successor == self._me:
            self._stand_at = now
        elif message.successor is None:
            self._stand_at = self._jittered(now)
        else:
            self._stand_at = self._jittered(Seconds(now + MAX_CANDIDACY_JITTER))

    # Candidate.

    def _may_stand(self, now: Seconds) -> bool:
        free = self._voter.bound_for(self._me, now) <= 0
        wanted = self._lease is None or self._epoch_floor > self._lease.epoch
        return free and wanted and not self._retired and now >= self._stand_at

    def _stand(self, now: Seconds) -> Actions:
        self._candidacy = Candidacy(self._electorate.needed, now)
        self._candidacy.willing.count(name_of(self._me), now)
        actions = self._request_votes(
            self._voter.highest_epoch, now, is_pre_vote=True, witness=True
        )
        return actions + self._count_willing(now)

    def _count_willing(self, now: Seconds) -> Actions:
        candidacy = self._candidacy
        if candidacy is None or candidacy.votes is not None:
            return []
        if candidacy.willing.carried_since() is None:
            return []
        epoch = next_epoch(Epoch(max(self._epoch_floor, self._voter.highest_epoch)), self._rng)
        votes = candidacy.ask_for_votes(epoch, now)
        if self._voter.vote(self._me, epoch, now).granted:
            votes.count(name_of(self._me), now)
        actions = self._request_votes(epoch, now, is_pre_vote=False, witness=True)
        self._count_votes(now)
        return actions

    def _count_votes(self, now: Seconds) -> None:
        votes = self._candidacy.votes if self._candidacy is not None else None
        if votes is None or votes.epoch <= self._epoch_floor:
            return
        since = votes.carried_since()
        if since is None or now >= since + self._timing.lease_duration:
            return
        self._lease = votes
        self._candidacy = None
        self._renewed_at = Seconds(now - self._timing.renew_interval)

    def _granted(
        self, voter: InstanceName, grant: AuthorityGrant | WitnessGrant, now: Seconds
    ) -> Actions:
        self._epoch_floor = (
            Epoch(max(self._epoch_floor, grant.highest_epoch))
            if grant.is_pre_vote
            else self._epoch_floor
        )
        candidacy = self._candidacy
        if grant.is_pre_vote:
            if candidacy is not None and grant.sent_at == candidacy.asked_at:
                candidacy.willing.count(voter, grant.sent_at)
            return self._count_willing(now)
        ballots = (self._lease, candidacy.votes if candidacy is not None else None)
        for ballot in ballots:
            if ballot is not None and ballot.epoch == grant.epoch:
                ballot.count(voter, grant.sent_at)
        self._count_votes(now)
        return []

    def _denied(self, denial: AuthorityDenial | WitnessDenial, now: Seconds) -> Actions:
        if self._candidacy is not None:
            self._candidacy.denied(denial.wait)
        self._epoch_floor = Epoch(max(self._epoch_floor, denial.highest_epoch))
        return []

    def _abandon(self, now: Seconds) -> Actions:
        """Free the votes of a try that failed; they may have been carrying the lease as well."""
        candidacy = self._candidacy
        self._candidacy = None
        if candidacy is None:
            return []
        if candidacy.votes is None:
            self._stand_at = self._jittered(Seconds(now + candidacy.wait))
            return []
        self._stand_at = self._jittered(now)
        self._lease = None
        return self._give_up(candidacy.votes.epoch, None)

    # Holder.

    def _renew(self, now: Seconds) -> Actions:
        if self._lease is None:
            return []
        missing = self._electorate.members - self._lease.voters_since(self._renewed_at)
        self._renewed_at = now
        if self._voter.vote(self._me, self._lease.epoch, now).granted:
            self._lease.count(name_of(self._me), now)
        return self._request_votes(self._lease.epoch, now, is_pre_vote=False, witness=bool(missing))

    def _successor(self) -> InstanceId | None:
        """Pick a member that answered of late to stand first."""
        if self._lease is None:
            return None
        answered = self._lease.voters_since(Seconds(self._renewed_at - self._timing.renew_interval))
        return self._electorate.first_of(answered)

    # Sending.

    def _request_votes(
        self, epoch: Epoch, now: Seconds, is_pre_vote: bool, witness: bool
    ) -> Actions:
        request = AuthorityRequest(
            self._electorate.data_centre,
            epoch,
            now,
            is_pre_vote,
            is_holder=self.held_lease(now) is not None,
            version=self._history.newest,
            orders=() if self._switch is None else self._switch.pending_orders(),
        )
        actions = self._electorate.request_votes(request)
        if not witness:
            return actions
        to_witness = WitnessRequest(self._electorate.data_centre, epoch, now, is_pre_vote)
        actions += self._electorate.request_witness_vote(to_witness)
        own = self._electorate.request_own_witness_vote(to_witness, now)
        return actions if own is None else actions + self.receive(self._me, own, now)

    def _give_up(self, epoch: Epoch, successor: InstanceId | None) -> Actions:
        self._voter.release(self._me, epoch)
        return self._electorate.release(AuthorityRelease(epoch, successor))

    def _jittered(self, at: Seconds) -> Seconds:
        return Seconds(at + self._rng.uniform(0.0, MAX_CANDIDACY_JITTER))

    def _state(self, now: Seconds) -> AuthorityState:
        if self._retired:
            return AuthorityState.RETIRED
        if now < self._ready_at:
            return AuthorityState.WAITING
        standing = self._candidacy is not None
        return AuthorityState.STANDING if standing else AuthorityState.FOLLOWING
