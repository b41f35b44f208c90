"""
bulrushhollow_core.consensus._members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the next membership change: one instance at a time, and learners before voters.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from bulrushhollow_core.consensus._progress import Progress, ReplicationMode
from bulrushhollow_core.consensus._types import Members
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds, name_of

NO_FAILURE_DOMAINS: Mapping[InstanceName, str] = {}
"""Default for instances whose failure domains are unknown."""

MAX_CAUGHT_UP_LAG = 16
"""Maximum entries by which a learner may lag behind the commit index when it becomes a voter."""


def with_learner(members: Members, peer: InstanceId) -> Members:
    """Return the members with a new learner, which replaces its earlier incarnations."""
    name = name_of(peer)
    other_learners = {learner for learner in members.learners if name_of(learner) != name}
    return Members(members.voters, frozenset(other_learners | {peer}))


def with_voter(members: Members, learner: InstanceId) -> Members:
    """Return the members with a learner promoted to voter."""
    return Members(members.voters | {learner}, members.learners - {learner})


def without_member(members: Members, instance: InstanceId) -> Members:
    """Return the members without one instance."""
    return Members(members.voters - {instance}, members.learners - {instance})


def earlier_incarnation(members: Members, peer: InstanceId) -> InstanceId | None:
    """Return the voter with the same name as a peer, if there is one."""
    name = name_of(peer)
    return next((voter for voter in sorted(members.voters) if name_of(voter) == name), None)


def has_caught_up(progress: Progress, commit_index: LogIndex) -> bool:
    """Return whether a learner's log is close enough to the commit index to become a voter."""
    return (
        progress.mode is ReplicationMode.STREAM
        and progress.match_index + MAX_CAUGHT_UP_LAG >= commit_index
    )


def _is_silent(progress: Progress, silent_before: Seconds) -> bool:
    return progress.last_contact_at < silent_before


def _voter_to_remove(
    members: Members,
    progress_by_id: dict[InstanceId, Progress],
    silent_before: Seconds,
    failure_domains_by_name: Mapping[InstanceName, str],
) -> InstanceId | None:
    """
    Return the voter to remove: preferably a silent one, then a voter in the failure domain with
    the most voters, then the voter whose log lags furthest behind.
    """
    removable = [voter for voter in sorted(members.voters) if voter in progress_by_id]
    voter_counts_by_domain = Counter(
        failure_domains_by_name.get(name_of(voter), "") for voter in members.voters
    )
    return min(
        removable,
        key=lambda voter: (
            not _is_silent(progress_by_id[voter], silent_before),
            -voter_counts_by_domain[failure_domains_by_name.get(name_of(voter), "")],
            progress_by_id[voter].match_index,
        ),
        default=None,
    )


def _has_silent_voter(
    members: Members, progress_by_id: dict[InstanceId, Progress], silent_before: Seconds
) -> bool:
    return any(
        _is_silent(progress_by_id[voter], silent_before)
        for voter in members.voters
        if voter in progress_by_id
    )


def next_membership_change(
    members: Members,
    candidates: Iterable[InstanceId],
    progress_by_id: dict[InstanceId, Progress],
    commit_index: LogIndex,
    silent_before: Seconds,
    voter_limit: int | None = None,
    can_replace: bool = False,
    failure_domains_by_name: Mapping[InstanceName, str] = NO_FAILURE_DOMAINS,
) -> Members | None:
    """
    Return the members after the next change that turns reachable peers with a disk into voters.

    A voter that has returned with an empty disk never returns under its old id, so it is removed
    before its next incarnation becomes a voter. A voter that is only silent may return with its
    disk, so its replacement is added before it is removed: with fewer voters in between, the loss
    of one more disk could leave the log without a majority for good.

    :param candidates: reachable peers with a disk.
    :param silent_before: a voter last heard before this time may be replaced.
    :param voter_limit: maximum number of voters, except during a replacement; None for no limit.
    :param can_replace: whether a learner may replace a voter once the limit is reached.
    :param failure_domains_by_name: failure domains of instances; voters are spread over them.
    :return: None if no change is due.
    """
    is_over_limit = voter_limit is not None and len(members.voters) > voter_limit
    if is_over_limit and can_replace:
        removed = _voter_to_remove(members, progress_by_id, silent_before, failure_domains_by_name)
        return None if removed is None else without_member(members, removed)
    voter_counts_by_domain = Counter(
        failure_domains_by_name.get(name_of(voter), "") for voter in members.voters
    )

    def voters_in_domain(peer: InstanceId) -> int:
        return voter_counts_by_domain[failure_domains_by_name.get(name_of(peer), "")]

    for peer in sorted(
        set(candidates) - members.voters,
        key=lambda candidate: (voters_in_domain(candidate), candidate),
    ):
        if peer not in members.learners:
            return with_learner(members, peer)
        if not has_caught_up(progress_by_id[peer], commit_index):
            continue
        earlier = earlier_incarnation(members, peer)
        if earlier is not None:
            earlier_progress = progress_by_id.get(earlier)
            if earlier_progress and _is_silent(earlier_progress, silent_before):
                return without_member(members, earlier)
            continue
        has_vacancy = voter_limit is None or len(members.voters) < voter_limit
        has_silent_voter = _has_silent_voter(members, progress_by_id, silent_before)
        is_domain_crowded = (
            bool(failure_domains_by_name)
            and max(voter_counts_by_domain.values()) > voters_in_domain(peer) + 1
        )
        is_replacement_due = (
            can_replace and not is_over_limit and (has_silent_voter or is_domain_crowded)
        )
        if has_vacancy or is_replacement_due:
            return with_voter(members, peer)
    return None
