"""
bulrushhollow_core.consensus._members
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which change of members is due: one at a time, and learners before voters.
"""

from collections import Counter
from collections.abc import Iterable, Mapping

from bulrushhollow_core.consensus._progress import Flow, Progress
from bulrushhollow_core.consensus._types import Members
from bulrushhollow_core.ids import InstanceId, InstanceName, LogIndex, Seconds, name_of

NO_FAILURE_DOMAINS: Mapping[InstanceName, str] = {}
"""Failure domains of instances where none are known."""

CAUGHT_UP_LAG = 16
"""Most entries by which a learner's log may trail the commit index when it becomes a voter."""


def with_learner(members: Members, peer: InstanceId) -> Members:
    """Return the members with a new learner in place of earlier incarnations of it."""
    name = name_of(peer)
    others = {learner for learner in members.learners if name_of(learner) != name}
    return Members(members.voters, frozenset(others | {peer}))


def with_voter(members: Members, learner: InstanceId) -> Members:
    """Return the members with a learner made voter."""
    return Members(members.voters | {learner}, members.learners - {learner})


def without(members: Members, instance: InstanceId) -> Members:
    """Return the members without one of them."""
    return Members(members.voters - {instance}, members.learners - {instance})


def former_voter(members: Members, peer: InstanceId) -> InstanceId | None:
    """Return the voter that is an earlier incarnation of a peer, if there is one."""
    name = name_of(peer)
    return next((v for v in sorted(members.voters) if name_of(v) == name), None)


def has_caught_up(progress: Progress, commit_index: LogIndex) -> bool:
    """Return whether a learner's log is as good as a voter's."""
    return progress.flow is Flow.STREAM and progress.match_index + CAUGHT_UP_LAG >= commit_index


def _is_silent(progress: Progress, silent_before: Seconds) -> bool:
    return progress.heard_at < silent_before


def _surplus_voter(
    members: Members,
    progress_by_id: dict[InstanceId, Progress],
    silent_before: Seconds,
    failure_domain_by_name: Mapping[InstanceName, str],
) -> InstanceId | None:
    """
    Return the voter to give up: a silent one, else one where most voters are, else the one that
    is furthest behind.
    """
    others = [voter for voter in sorted(members.voters) if voter in progress_by_id]
    voter_count_by_domain = Counter(failure_domain_by_name.get(name_of(voter), "") for voter in members.voters)
    return min(
        others,
        key=lambda voter: (
            not _is_silent(progress_by_id[voter], silent_before),
            -voter_count_by_domain[failure_domain_by_name.get(name_of(voter), "")],
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
    failure_domain_by_name: Mapping[InstanceName, str] = NO_FAILURE_DOMAINS,
) -> Members | None:
    """
    Return the next change that makes reachable peers with a disk voters.

    A voter that came back empty is dead, so it is removed before its successor counts. One that is
    only silent may come back with its disk, so its place is filled first: with fewer voters in
    between, the loss of another disk would leave no majority for ever.

    :param candidates: reachable peers with a disk.
    :param silent_before: a voter not heard since then may give way to its successor.
    :param voter_limit: most voters for long; None for no limit.
    :param can_replace: whether a voter may give way to any learner at that limit.
    :param failure_domain_by_name: failure domains of instances; voters are spread over them.
    :return: None if nothing is due.
    """
    is_over_limit = voter_limit is not None and len(members.voters) > voter_limit
    if is_over_limit and can_replace:
        surplus = _surplus_voter(members, progress_by_id, silent_before, failure_domain_by_name)
        return None if surplus is None else without(members, surplus)
    voter_count_by_domain = Counter(failure_domain_by_name.get(name_of(voter), "") for voter in members.voters)

    def crowd(peer: InstanceId) -> int:
        return voter_count_by_domain[failure_domain_by_name.get(name_of(peer), "")]

    for peer in sorted(set(candidates) - members.voters, key=lambda each: (crowd(each), each)):
        if peer not in members.learners:
            return with_learner(members, peer)
        if not has_caught_up(progress_by_id[peer], commit_index):
            continue
        former = former_voter(members, peer)
        if former is not None:
            former_progress = progress_by_id.get(former)
            if former_progress and _is_silent(former_progress, silent_before):
                return without(members, former)
            continue
        has_place = voter_limit is None or len(members.voters) < voter_limit
        is_silent = _has_silent_voter(members, progress_by_id, silent_before)
        is_crowded = bool(failure_domain_by_name) and max(voter_count_by_domain.values()) > crowd(peer) + 1
        is_better = can_replace and not is_over_limit and (is_silent or is_crowded)
        if has_place or is_better:
            return with_voter(members, peer)
    return None
