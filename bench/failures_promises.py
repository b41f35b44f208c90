"""
bench.failures_promises
~~~~~~~~~~~~~~~~~~~~~~~

Finds the breaches of each promise in the records of a failure run.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator

from bench.failures_records import (
    ONCE_JOB_KINDS,
    REQUEST_KINDS,
    Attempt,
    Call,
    Kind,
    Records,
    RequestRun,
    StartCutoff,
    StatusSample,
    Window,
)
from bulrushhollow_core.outcomes import Execution

IN_FORCE_LIMIT = 3.0
"""Seconds within which an accepted change must be in force everywhere, from its sending."""

SETTLE_SECONDS = 3.0
"""Seconds after the end of a fault before all links count as up."""

MAX_IDLE_LOG_ENTRIES = 30
"""Entries that the log may gain in the seconds without load; ends of late work need a few."""

TASKS_BY_KIND = {Kind.JOB: 1, Kind.JOB_ONCE: 1, Kind.GANG: 4, Kind.GANG_ONCE: 4, Kind.CLAIM: 4}
"""Tasks of a job of each kind."""


def doubles(records: Records) -> list[str]:
    """Return non-idempotent work that ran more than once."""
    kinds_by_marker = {call.marker: call.kind for call in records.calls}
    requests = [
        marker
        for marker, runs in records.runs_by_marker().items()
        if len(runs) > 1 and kinds_by_marker.get(marker) in (Kind.ONCE, Kind.KEYED)
    ]
    attempts = Counter(attempt.job for attempt in records.attempts)
    jobs = [
        job
        for job, count in attempts.items()
        if count > 1 and kinds_by_marker.get(job) in ONCE_JOB_KINDS
    ]
    tasks = [task for task, count in records.starts_by_task.items() if count > 1]
    return [*requests, *jobs, *tasks]


def false_not_run(records: Records) -> list[str]:
    """Return work that ran although its caller was told that it had not run."""
    started_jobs = {attempt.job for attempt in records.attempts}
    runs_by_marker = records.runs_by_marker()
    calls_by_marker = records.calls_by_marker()
    requests = [
        marker
        for marker, calls in calls_by_marker.items()
        if calls[0].kind in REQUEST_KINDS
        and _contradicts_not_run(calls, runs_by_marker.get(marker, []))
    ]
    submissions = [
        marker
        for marker, calls in calls_by_marker.items()
        if calls[0].kind not in REQUEST_KINDS
        and marker in started_jobs
        and all(call.execution is Execution.NOT_RUN and not call.whole for call in calls)
    ]
    ends = [
        outcome.job
        for outcome in records.job_outcomes
        if outcome.has_ended
        and outcome.execution is Execution.NOT_RUN
        and outcome.job in started_jobs
    ]
    return [*requests, *submissions, *ends]


def _contradicts_not_run(calls: list[Call], runs: list[RequestRun]) -> bool:
    """
    Return whether runs contradict an answer that the work did not run.

    Runs from the first send with another outcome on are allowed: they may belong to that send.
    """
    refused = [call for call in calls if call.execution is Execution.NOT_RUN]
    if not refused:
        return False
    others = [call for call in calls if call.execution is not Execution.NOT_RUN]
    if not others:
        return bool(runs)
    first_other = min(call.sent_at for call in others)
    return any(run.at < first_other for run in runs)


def wrong_answers(records: Records) -> list[str]:
    """Return work whose answer was incomplete or wrong, or that was answered without a run."""
    run_markers = {run.marker for run in records.runs}
    answers = [call for call in records.calls if call.execution is Execution.RAN]
    requests = [
        call.marker
        for call in answers
        if call.kind in REQUEST_KINDS and (not call.whole or call.marker not in run_markers)
    ]
    started_jobs = {attempt.job for attempt in records.attempts}
    jobs = [
        outcome.job
        for outcome in records.job_outcomes
        if outcome.has_ended
        and outcome.execution is Execution.RAN
        and outcome.job not in started_jobs
    ]
    return [*requests, *jobs]


def part_gangs(records: Records) -> list[str]:
    """Return attempts that started only some tasks of their gang."""
    kinds_by_job = {call.marker: call.kind for call in records.calls}
    return [
        f"{attempt.job}/{attempt.attempt}"
        for attempt in records.attempts
        if attempt.job in kinds_by_job and _is_partial(attempt, kinds_by_job[attempt.job])
    ]


def _is_partial(attempt: Attempt, kind: Kind) -> bool:
    return attempt.starts != TASKS_BY_KIND[kind]


def starts_after_out(records: Records) -> list[str]:
    """Return data centres that started tasks after the cutoff for being out of service."""
    return _late_starts(records.out_cutoffs)


def work_to_leaving_endpoint(records: Records) -> list[str]:
    """Return endpoints that started work after the cutoff for leaving."""
    return _late_starts(records.leaving_cutoffs)


def _late_starts(cutoffs: Iterable[StartCutoff]) -> list[str]:
    return [
        f"{cutoff.target} {cutoff.last_start_at - cutoff.allowed_until:+.2f} s"
        for cutoff in cutoffs
        if cutoff.last_start_at is not None and cutoff.last_start_at > cutoff.allowed_until
    ]


def cut_by_planned_stop(records: Records) -> list[str]:
    """Return calls and changes of unknown outcome that were in flight during a planned stop."""
    calls = (
        Window(call.marker, call.sent_at, call.ended_at)
        for call in records.calls
        if call.execution is Execution.UNKNOWN
    )
    changes = (
        Window(change.change_id, change.sent_at, change.answered_at)
        for change in records.changes
        if change.execution is Execution.UNKNOWN
    )
    return [
        unresolved.name
        for unresolved in itertools.chain(calls, changes)
        if any(stop.overlaps(unresolved.start, unresolved.end) for stop in records.planned_stops)
    ]


def configuration_reverts(records: Records) -> list[str]:
    """Return decreases of an applied version, lost changes and versions given to two changes."""
    decreases = [
        f"{name} from {before.version} to {after.version}"
        for name, samples in _ready_samples_by_name(records.samples).items()
        for before, after in itertools.pairwise(samples)
        if after.version < before.version
    ]
    return [*decreases, *_lost_changes(records), *_reused_versions(records)]


def _ready_samples_by_name(samples: Iterable[StatusSample]) -> dict[str, list[StatusSample]]:
    by_name: defaultdict[str, list[StatusSample]] = defaultdict(list)
    for sample in samples:
        if sample.ready:
            by_name[sample.name].append(sample)
    return by_name


def _lost_changes(records: Records) -> Iterator[str]:
    """Yield profiles whose final value is neither the last accepted nor one of unknown outcome."""
    accepted = [change for change in records.changes if change.version is not None]
    latest_by_profile = {
        change.profile: change
        for change in sorted(accepted, key=lambda change: change.version or 0)
    }
    possible_values_by_profile: defaultdict[str, set[float]] = defaultdict(set)
    settled = {change.change_id for change in accepted}
    for change in records.changes:
        if change.execution is Execution.UNKNOWN and change.change_id not in settled:
            possible_values_by_profile[change.profile].add(change.value)
    for profile, change in latest_by_profile.items():
        found = records.final_values_by_profile.get(profile)
        if found != change.value and found not in possible_values_by_profile[profile]:
            yield f"{profile}: {found} instead of {change.value}"


def _reused_versions(records: Records) -> Iterator[str]:
    """Yield versions given to two changes, and changes given two versions."""
    ids_by_version: defaultdict[int, set[str]] = defaultdict(set)
    versions_by_id: defaultdict[str, set[int]] = defaultdict(set)
    for change in records.changes:
        if change.version is not None:
            ids_by_version[change.version].add(change.change_id)
            versions_by_id[change.change_id].add(change.version)
    for version, ids in ids_by_version.items():
        if len(ids) > 1:
            yield f"version {version} given to {len(ids)} changes"
    for change_id, versions in versions_by_id.items():
        if len(versions) > 1:
            yield f"{change_id} accepted as {sorted(versions)}"


def slow_configuration(records: Records) -> list[str]:
    """Return accepted changes that an instance applied too late while all links were up."""
    samples_by_name = _ready_samples_by_name(records.samples)
    return [
        f"version {change.version} on {name}"
        for change in records.changes
        if change.version is not None and _is_clear_of_faults(records, change.sent_at)
        for name, samples in samples_by_name.items()
        if _lacks_version(samples, change.version, change.sent_at + IN_FORCE_LIMIT)
    ]


def _is_clear_of_faults(records: Records, sent_at: float) -> bool:
    return not any(
        fault.overlaps(sent_at - SETTLE_SECONDS, sent_at + IN_FORCE_LIMIT)
        for fault in records.faults
    )


def _lacks_version(samples: list[StatusSample], version: int, at: float) -> bool:
    first = next((sample for sample in samples if sample.asked_at >= at), None)
    return first is not None and first.version < version


def slots_exceeded(records: Records) -> list[str]:
    """Return one entry for each request sent to an endpoint without a free slot."""
    return ["request"] * records.requests_beyond_slots


def jobs_left(records: Records) -> list[str]:
    """Return accepted jobs that had not ended at the end of the run."""
    accepted = {
        call.marker for call in records.calls if call.kind not in REQUEST_KINDS and call.whole
    }
    ended = {outcome.job for outcome in records.job_outcomes if outcome.has_ended}
    return sorted(accepted - ended)


def idle_log_growth(records: Records) -> list[str]:
    """Return a breach if the log keeps growing without load."""
    if records.idle_log_entries <= MAX_IDLE_LOG_ENTRIES:
        return []
    return [f"{records.idle_log_entries} entries without load"]


PROMISES: dict[str, Callable[[Records], list[str]]] = {
    count.__name__: count
    for count in (
        doubles,
        false_not_run,
        wrong_answers,
        part_gangs,
        starts_after_out,
        work_to_leaving_endpoint,
        cut_by_planned_stop,
        configuration_reverts,
        slow_configuration,
        slots_exceeded,
        jobs_left,
        idle_log_growth,
    )
}
"""Functions that return the breaches of each promise, by the name of the promise."""
