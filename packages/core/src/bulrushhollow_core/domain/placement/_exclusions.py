"""
bulrushhollow_core.domain.placement._exclusions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which workers a step stays away from since work failed on them, and for how long. A failure
may be the task's own, or the worker may recover, so no worker is excluded for good.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from bulrushhollow_core.domain.fleet import Host, slots_in
from bulrushhollow_core.domain.model import ServiceName, Step, WorkerLife
from bulrushhollow_core.ids import Seconds

LASTING_EXCLUSION_TIME = Seconds(1.0)
"""Seconds for which a long-running step stays away from a worker; its tasks may always fail."""

EXCLUSION_TIME = Seconds(2.5)
"""Seconds for which a step stays away from a worker if no other one may run it."""

LAST_EXCLUSION_TIME = Seconds(6.0)
"""The same for its last attempt, which decides about the job: the shortest quarantine."""

LONG_EXCLUSION_TIME = Seconds(10.0)
"""Seconds for which a step stays away from a worker while other workers may run it."""


class ExcludedStep(NamedTuple):
    """
    A step with tasks that wait.

    :param service: service whose workers may run the tasks.
    :param task_count: number of waiting tasks.
    :param allowed_workers: the only workers that may run the tasks; None for no such limit.
    :param is_last_attempt: whether the job fails if the step fails once more.
    """

    service: ServiceName
    step: Step
    task_count: int
    allowed_workers: frozenset[WorkerLife] | None
    is_last_attempt: bool


class Exclusions(NamedTuple):
    """
    Workers that a step stays away from.

    :param excluded: workers that must not run its tasks now.
    :param avoided: workers that run its tasks only if no others have room for them.
    """

    excluded: frozenset[WorkerLife]
    avoided: frozenset[WorkerLife]


NO_EXCLUSIONS = Exclusions(frozenset(), frozenset())
"""Exclusions of a step that has not failed."""


def exclusion_time(is_long_running: bool, is_last_attempt: bool) -> Seconds:
    """Return the seconds for which a step stays away from a worker if no other may run it."""
    if is_long_running:
        return LASTING_EXCLUSION_TIME
    return LAST_EXCLUSION_TIME if is_last_attempt else EXCLUSION_TIME


def find_exclusions(
    step: ExcludedStep,
    hosts: Sequence[Host],
    failed_at_by_worker: Mapping[WorkerLife, Seconds],
    suspects: Sequence[Host],
    now: Seconds,
) -> Exclusions:
    """
    Return the workers that a step stays away from.

    :param failed_at_by_worker: workers on which the step has failed, with when it did so last.
    :param suspects: workers on which any work has failed, which count for a last attempt; none for
        another one.
    """
    if not failed_at_by_worker and not suspects:
        return NO_EXCLUSIONS
    since_by_worker = dict(failed_at_by_worker)
    for host in suspects:
        since = since_by_worker.get(host.life, host.failed_at)
        since_by_worker[host.life] = max(since, host.failed_at)
    others = [host for host in hosts if host.life not in since_by_worker]
    limit = exclusion_time(step.step.is_long_running, step.is_last_attempt)
    if not step.step.is_long_running and _can_run_on(step, others):
        limit = LONG_EXCLUSION_TIME
    excluded = frozenset(life for life, since in since_by_worker.items() if now - since < limit)
    return Exclusions(excluded, frozenset(since_by_worker.keys() - excluded))


def _can_run_on(step: ExcludedStep, hosts: Sequence[Host]) -> bool:
    """Return whether hosts could run the waiting tasks if nothing else ran there."""
    capable = [
        host
        for host in hosts
        if host.can_run(step.service, step.step.required_label)
        and (step.allowed_workers is None or host.life in step.allowed_workers)
    ]
    if not step.step.is_gang:
        return any(step.step.needs.fits(host.capacity) for host in capable)
    limit = step.step.max_per_worker or step.task_count
    return sum(slots_in(host.capacity, step.step.needs, limit) for host in capable) >= (
        step.task_count
    )
