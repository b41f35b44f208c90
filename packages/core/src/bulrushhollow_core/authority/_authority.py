"""
bulrushhollow_core.authority._authority
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The lease of one data centre on one of its instances, which acts as voter, candidate and holder.
"""

import random

import msgspec

from bulrushhollow_core.actions import Send
from bulrushhollow_core.authority._ballot import WITNESS_NAME, Ballot
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
    Lease that gives the authority to start work in one data centre; at most one instance holds it
    at any time.

    Usage::

        >>> authority = Authority(me, data_centre, members, rng, now)
        >>> actions = authority.tick(now)
        >>> held = authority.held_lease(now)

    :param me: this incarnation of the instance.
    :param members: names of the data centre's instances, including this one.
    :param timing: durations, which must be the same on every instance.
    :param switch: service switch, whose local orders are exchanged with the votes.
    :param witness: this instance's own witness, which votes while this instance leads the log.
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
        self._is_retired = False
        self._known_lease = KnownLease()
        self._known_lease_until = now
        self._candidacy_at = self._add_jitter(self._ready_at)

    # State of the lease.

    def held_lease(self, now: Seconds) -> HeldLease | None:
        """
        Return the lease if this instance holds it.

        :return: None as soon as the lease may have expired, also after a pause of the process.
        """
        if self._lease is None:
            return None
        since = self._lease.majority_since()
        if since is None or now >= since + self._timing.lease_duration:
            return None
        return HeldLease(self._lease.epoch, Seconds(since + self._timing.lease_duration))

    def holder(self, now: Seconds) -> InstanceId | None:
        """Return the lease holder as far as this instance knows."""
        return self.known_lease(now).holder

    def known_lease(self, now: Seconds) -> KnownLease:
        """Return the lease holder and its epoch as far as this instance knows."""
        held = self.held_lease(now)
        if held is not None:
            return KnownLease(self._me, held.epoch)
        return self._known_lease if now < self._known_lease_until else KnownLease()

    def status(self, now: Seconds) -> AuthorityStatus:
        """Return the status of the lease for an operator."""
        held = self.held_lease(now)
        epoch = Epoch(max(self._voter.highest_epoch, self._epoch_floor))
        if held is None or self._lease is None:
            return AuthorityStatus(self._state(now), self.holder(now), epoch)
        last_round_at = Seconds(self._renewed_at - self._timing.renew_interval)
        voters = self._lease.voters_since(last_round_at)
        return AuthorityStatus(
            AuthorityState.HOLDING,
            self._me,
            epoch,
            Seconds(held.until - now),
            tuple(sorted(voters - {WITNESS_NAME})),
            WITNESS_NAME in voters,
        )

    # Events from the rest of the instance.

    def peer_connected(self, instance: InstanceId) -> None:
        """Record the current incarnation of a member."""
        self._electorate.peer_connected(instance)

    def peer_disconnected(self, instance: InstanceId) -> None:
        """Record that an incarnation can't be reached."""
        self._electorate.peer_disconnected(instance)

    def set_log_leader(self, leader: InstanceId | None) -> None:
        """Set the leader of the replicated log, which votes as the witness."""
        self._electorate.log_leader = leader

    def record_applied_version(self, version: Version, now: Seconds) -> None:
        """
        Record the configuration version that this instance has applied. From then on it grants no
        vote to a candidate with an older version, and after one lease duration no renewal to a
        holder with an older version.
        """
        self._history.record(version, now)

    def raise_epoch_floor(self, epoch: Epoch, now: Seconds) -> None:
        """
        Record an epoch that was used, as reported by the platform or the replicated log. A holder
        with a lower epoch loses the lease and stands for it again at once.
        """
        self._epoch_floor = Epoch(max(self._epoch_floor, epoch))
        self._voter.record_epoch(epoch)
        if self._lease is not None and epoch > self._lease.epoch:
            self._lease = None
            self._candidacy_at = now

    def renew(self, now: Seconds) -> Actions:
        """Renew the lease before it is due, so that a local order reaches the members at once."""
        if self.held_lease(now) is None or self._candidacy is not None:
            return []
        return self._renew(now)

    def release(self, now: Seconds) -> Actions:
        """
        Release the lease before a planned stop. This instance continues to vote but never stands
        for the lease again.
        """
        self._is_retired = True
        actions = [] if self._candidacy is None else self._abandon_candidacy(now)
        if self._lease is None:
            return actions
        successor = self._choose_successor()
        epoch = self._lease.epoch
        self._lease = None
        return actions + self._release_votes(epoch, successor)

    # Messages and time.

    def tick(self, now: Seconds) -> Actions:
        """Renew the lease, stand for it or abandon an attempt, whichever is due."""
        if self._lease is not None and self.held_lease(now) is None:
            self._lease = None
            self._candidacy_at = self._add_jitter(now)
        if self._candidacy is not None:
            return self._abandon_candidacy(now) if self._candidacy.has_timed_out(now) else []
        if self._can_start_candidacy(now):
            return self._start_candidacy(now)
        if self._lease is not None and now >= self._renewed_at + self._timing.renew_interval:
            return self._renew(now)
        return []

    def receive(self, source: InstanceId, message: msgspec.Struct, now: Seconds) -> Actions:
        """Handle a message; ignore it unless it is from a member or the witness."""
        match message:
            case WitnessGrant() if source == self._electorate.log_leader:
                return self._receive_grant(WITNESS_NAME, message, now)
            case WitnessDenial() if source == self._electorate.log_leader:
                return self._receive_denial(message, now)
        if name_of(source) not in self._electorate.members:
            return []
        match message:
            case AuthorityRequest():
                return self._receive_request(source, message, now)
            case AuthorityGrant():
                if self._switch is not None:
                    self._switch.merge_orders(name_of(source), message.orders)
                return self._receive_grant(name_of(source), message, now)
            case AuthorityDenial():
                return self._receive_denial(message, now)
            case AuthorityRelease():
                self._receive_release(source, message, now)
        return []

    # Voter.

    def _receive_request(
        self, source: InstanceId, request: AuthorityRequest, now: Seconds
    ) -> Actions:
        if request.data_centre != self._electorate.data_centre:
            return []
        if self._switch is not None:
            self._switch.merge_orders(name_of(source), request.orders)
        if request.is_holder:
            self._known_lease = KnownLease(source, request.epoch)
            self._known_lease_until = Seconds(now + self._timing.lease_duration)
        if self._is_configuration_older(request, now):
            return [Send(source, AuthorityDenial(request.epoch, self._voter.highest_epoch))]
        if request.is_pre_vote:
            vote = self._voter.pre_vote(source, now)
        else:
            vote = self._voter.vote(source, request.epoch, now)
        if not vote.granted:
            return [Send(source, AuthorityDenial(request.epoch, vote.highest_epoch, vote.wait))]
        if not request.is_pre_vote:
            self._candidacy = None
            self._candidacy_at = self._add_jitter(Seconds(now + self._timing.vote_duration))
        orders = () if self._switch is None else self._switch.pending_orders()
        grant = AuthorityGrant(
            request.epoch, request.sent_at, request.is_pre_vote, vote.highest_epoch, orders
        )
        return [Send(source, grant)]

    def _is_configuration_older(self, request: AuthorityRequest, now: Seconds) -> bool:
        required_since = Seconds(now - self._timing.lease_duration) if request.is_holder else now
        return self._history.version_at(required_since) > request.version

    def _receive_release(self, source: InstanceId, message: AuthorityRelease, now: Seconds) -> None:
        self._voter.release(source, message.epoch)
        if self._known_lease.holder == source:
            self._known_lease = KnownLease()
        if message.successor == self._me:
            self._candidacy_at = now
        elif message.successor is None:
            self._candidacy_at = self._add_jitter(now)
        else:
            self._candidacy_at = self._add_jitter(Seconds(now + MAX_CANDIDACY_JITTER))

    # Candidate.

    def _can_start_candidacy(self, now: Seconds) -> bool:
        is_vote_free = self._voter.remaining_wait(self._me, now) <= 0
        is_lease_wanted = self._lease is None or self._epoch_floor > self._lease.epoch
        return (
            is_vote_free and is_lease_wanted and not self._is_retired and now >= self._candidacy_at
        )

    def _start_candidacy(self, now: Seconds) -> Actions:
        self._candidacy = Candidacy(self._electorate.votes_needed, now)
        self._candidacy.pre_votes.record_vote(name_of(self._me), now)
        actions = self._request_votes(
            self._voter.highest_epoch, now, is_pre_vote=True, ask_witness=True
        )
        return actions + self._check_pre_votes(now)

    def _check_pre_votes(self, now: Seconds) -> Actions:
        candidacy = self._candidacy
        if candidacy is None or candidacy.votes is not None:
            return []
        if candidacy.pre_votes.majority_since() is None:
            return []
        epoch = next_epoch(Epoch(max(self._epoch_floor, self._voter.highest_epoch)), self._rng)
        votes = candidacy.start_vote(epoch, now)
        if self._voter.vote(self._me, epoch, now).granted:
            votes.record_vote(name_of(self._me), now)
        actions = self._request_votes(epoch, now, is_pre_vote=False, ask_witness=True)
        self._check_votes(now)
        return actions

    def _check_votes(self, now: Seconds) -> None:
        votes = self._candidacy.votes if self._candidacy is not None else None
        if votes is None or votes.epoch <= self._epoch_floor:
            return
        since = votes.majority_since()
        if since is None or now >= since + self._timing.lease_duration:
            return
        self._lease = votes
        self._candidacy = None
        self._renewed_at = Seconds(now - self._timing.renew_interval)

    def _receive_grant(
        self, voter: InstanceName, grant: AuthorityGrant | WitnessGrant, now: Seconds
    ) -> Actions:
        self._epoch_floor = (
            Epoch(max(self._epoch_floor, grant.highest_epoch))
            if grant.is_pre_vote
            else self._epoch_floor
        )
        candidacy = self._candidacy
        if grant.is_pre_vote:
            if candidacy is not None and grant.sent_at == candidacy.requested_at:
                candidacy.pre_votes.record_vote(voter, grant.sent_at)
            return self._check_pre_votes(now)
        ballots = (self._lease, candidacy.votes if candidacy is not None else None)
        for ballot in ballots:
            if ballot is not None and ballot.epoch == grant.epoch:
                ballot.record_vote(voter, grant.sent_at)
        self._check_votes(now)
        return []

    def _receive_denial(self, denial: AuthorityDenial | WitnessDenial, now: Seconds) -> Actions:
        if self._candidacy is not None:
            self._candidacy.record_denial(denial.wait)
        self._epoch_floor = Epoch(max(self._epoch_floor, denial.highest_epoch))
        return []

    def _abandon_candidacy(self, now: Seconds) -> Actions:
        """
        Release the votes of a failed attempt. Those votes may also have renewed a lease that this
        instance still held, so that lease ends too.
        """
        candidacy = self._candidacy
        self._candidacy = None
        if candidacy is None:
            return []
        if candidacy.votes is None:
            self._candidacy_at = self._add_jitter(Seconds(now + candidacy.retry_delay))
            return []
        self._candidacy_at = self._add_jitter(now)
        self._lease = None
        return self._release_votes(candidacy.votes.epoch, None)

    # Holder.

    def _renew(self, now: Seconds) -> Actions:
        if self._lease is None:
            return []
        unheard_members = self._electorate.members - self._lease.voters_since(self._renewed_at)
        self._renewed_at = now
        if self._voter.vote(self._me, self._lease.epoch, now).granted:
            self._lease.record_vote(name_of(self._me), now)
        return self._request_votes(
            self._lease.epoch, now, is_pre_vote=False, ask_witness=bool(unheard_members)
        )

    def _choose_successor(self) -> InstanceId | None:
        """Return a reachable member that granted a recent renewal, to stand for the lease first."""
        if self._lease is None:
            return None
        granted = self._lease.voters_since(Seconds(self._renewed_at - self._timing.renew_interval))
        return self._electorate.first_reachable(granted)

    # Sending.

    def _request_votes(
        self, epoch: Epoch, now: Seconds, is_pre_vote: bool, ask_witness: bool
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
        if not ask_witness:
            return actions
        witness_request = WitnessRequest(self._electorate.data_centre, epoch, now, is_pre_vote)
        actions += self._electorate.request_witness_vote(witness_request)
        own_answer = self._electorate.request_own_witness_vote(witness_request, now)
        return actions if own_answer is None else actions + self.receive(self._me, own_answer, now)

    def _release_votes(self, epoch: Epoch, successor: InstanceId | None) -> Actions:
        self._voter.release(self._me, epoch)
        return self._electorate.release_votes(AuthorityRelease(epoch, successor))

    def _add_jitter(self, at: Seconds) -> Seconds:
        return Seconds(at + self._rng.uniform(0.0, MAX_CANDIDACY_JITTER))

    def _state(self, now: Seconds) -> AuthorityState:
        if self._is_retired:
            return AuthorityState.RETIRED
        if now < self._ready_at:
            return AuthorityState.WAITING
        is_candidate = self._candidacy is not None
        return AuthorityState.STANDING if is_candidate else AuthorityState.FOLLOWING
