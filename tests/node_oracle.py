"""
tests.node_oracle
~~~~~~~~~~~~~~~~~

Checks of the promises of the system, one method each, on the records of a
:class:`~tests.node_world.World`.
"""

from collections import Counter, defaultdict

import msgspec

from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    Edit,
    SetDataCentreService,
)
from bulrushhollow_core.ids import JobId, Version
from bulrushhollow_core.jobs import JobState
from bulrushhollow_core.models import Service
from bulrushhollow_core.node import CallId
from bulrushhollow_core.outcomes import Execution, Refusal
from bulrushhollow_core.platform import TaskState
from tests.node_world import SLOTS, World

MAX_LATE_START = 3.5
"""Seconds for which work may still start after a data centre or an endpoint was taken out."""

MAX_INCOMPLETE_GANG = 25.0
"""Seconds after its first start for which a gang may be incomplete: the start window, and the lease
of the workers if the lease holder of the data centre is lost at that moment."""


class Oracle:
    """
    Records calls and their answers, and checks the promises.

    Attribute ``gang_sizes_by_job`` holds the number of tasks of each submitted job.

    :param world: the simulation to check.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.changes_by_call: dict[CallId, ChangeConfiguration] = {}
        self.gang_sizes_by_job: dict[JobId, int] = {}
        self.non_idempotent_jobs: set[JobId] = set()
        self.non_idempotent_markers: set[str] = set()
        self._accepted_by_version: dict[Version, ChangeConfiguration] = {}
        self._recorded_calls: set[CallId] = set()
        self._versions_by_incarnation: dict[str, Version] = {}
        self._out_since_by_data_centre: dict[str, float] = {}
        self.uncertain_data_centres: set[str] = set()
        self._in_version_by_data_centre: Counter[str] = Counter()
        self._records_checked: Counter[str] = Counter()
        self._incomplete_since: dict[tuple[str, int], float] = {}

    def record_return_requested(self, data_centre: str) -> None:
        """
        Record that an operator asked to put a data centre back in service; from now on it may be in
        service at any time.
        """
        self._out_since_by_data_centre.pop(data_centre, None)
        self.uncertain_data_centres.add(data_centre)

    def check(self) -> None:
        """Check the promises that must hold at any time."""
        self.configuration_never_reverts()
        self._record_answers()
        self.nothing_starts_in_a_data_centre_that_is_out()
        self.no_gang_stays_incomplete()
        self.not_run_is_truthful()
        self.at_most_once()
        self.leaving_endpoints_get_no_work()
        self.slots_are_never_exceeded()

    def configuration_never_reverts(self) -> None:
        for host in self._world.hosts_by_name.values():
            if host.node is not None:
                version = host.node.configuration.version
                previous = self._versions_by_incarnation.get(host.node.identity.me, Version(0))
                is_replaying = host.peer.has_disk and not host.node.is_ready
                assert version >= previous or is_replaying, "a configuration reverted"
                self._versions_by_incarnation[host.node.identity.me] = max(version, previous)

    def nothing_starts_in_a_data_centre_that_is_out(self) -> None:
        for name, platform in self._world.platforms_by_data_centre.items():
            new_records = platform.records[self._records_checked[name] :]
            self._records_checked[name] = len(platform.records)
            out_since = self._out_since_by_data_centre.get(name)
            late_starts = [
                record
                for record in new_records
                if out_since is not None and record.started_at > out_since + MAX_LATE_START
            ]
            assert (
                not late_starts
            ), f"a task started in {name}, which is out of service: {late_starts}"

    def no_gang_stays_incomplete(self) -> None:
        running_tasks: dict[tuple[str, int], int] = defaultdict(int)
        for platform in self._world.platforms_by_data_centre.values():
            for record in platform.running():
                running_tasks[record.job, record.attempt] += 1
        incomplete = {
            run
            for run, tasks in running_tasks.items()
            if tasks < self.gang_sizes_by_job[run[0]] and not self._has_succeeded_task(run)
        }
        now = self._world.now
        self._incomplete_since = {run: self._incomplete_since.get(run, now) for run in incomplete}
        for run, since in self._incomplete_since.items():
            assert now - since <= MAX_INCOMPLETE_GANG, f"gang {run} is incomplete since {since}"

    def not_run_is_truthful(self) -> None:
        for request, result in self._world.results_by_request.items():
            if isinstance(result, Refusal) and result.execution is Execution.NOT_RUN:
                assert not self._world.runs_by_request[
                    request
                ], f"{request} ran, but the answer says that it did not"

    def at_most_once(self) -> None:
        for marker in self.non_idempotent_markers:
            assert (
                self._world.runs_by_marker[marker] <= 1
            ), f"{marker} ran {self._world.runs_by_marker[marker]} times"
        for job in self.non_idempotent_jobs:
            attempts = {
                record.attempt
                for platform in self._world.platforms_by_data_centre.values()
                for record in platform.records
                if record.job == job
            }
            assert len(attempts) <= 1, f"{job} ran in attempts {attempts}"

    def leaving_endpoints_get_no_work(self) -> None:
        for endpoint in self._world.endpoints_by_name.values():
            late = [
                delay for delay in endpoint.start_delays_after_leaving if delay > MAX_LATE_START
            ]
            assert not late, f"{endpoint.name} got work {late} s after it announced that it leaves"

    def slots_are_never_exceeded(self) -> None:
        for endpoint in self._world.endpoints_by_name.values():
            assert endpoint.max_running <= SLOTS, f"{endpoint.name} ran {endpoint.max_running}"

    def accepted_changes_are_in_force(self) -> None:
        """Check that every instance has the newest version, after all faults have ended."""
        self._record_answers()
        newest = max(self._accepted_by_version, default=Version(0))
        for host in self._world.live_hosts():
            assert host.node is not None
            version = host.node.configuration.version
            assert (
                version >= newest
            ), f"{host.peer.name} has version {version}; version {newest} was accepted"

    def unfinished_jobs(self) -> list[str]:
        """Return the jobs that have not ended long after all faults have ended."""
        host = self._world.live_hosts()[0]
        assert host.node is not None
        jobs = host.node.log.ledgers.jobs.jobs_by_id.values()
        return [record.job for record in jobs if record.state is not JobState.ENDED]

    def _record_answers(self) -> None:
        for call, change in self.changes_by_call.items():
            answer = self._world.answers_by_call.get(call)
            if call in self._recorded_calls or not isinstance(answer, ChangeAccepted):
                continue
            self._recorded_calls.add(call)
            if answer.note and not answer.in_force_in:
                continue
            first = self._accepted_by_version.setdefault(answer.version, change)
            is_same = msgspec.structs.replace(change, change_id=first.change_id) == first
            assert is_same, f"two changes were accepted as version {answer.version}"
            self._record_service_change(call, change.edit, answer.version)

    def _record_service_change(self, call: CallId, edit: Edit, version: Version) -> None:
        """
        Record whether a data centre is out of service. The answer to a resent change is
        ignored if a later change has put the data centre back in, because a resend gets the first
        answer again.
        """
        if not isinstance(edit, SetDataCentreService):
            return
        if edit.service is Service.IN:
            self.uncertain_data_centres.discard(edit.id)
            self._in_version_by_data_centre[edit.id] = max(
                version, self._in_version_by_data_centre[edit.id]
            )
        elif (
            edit.id not in self.uncertain_data_centres
            and version > self._in_version_by_data_centre[edit.id]
        ):
            self._out_since_by_data_centre.setdefault(
                edit.id, self._world.answered_at_by_call[call]
            )

    def _has_succeeded_task(self, run: tuple[str, int]) -> bool:
        """
        Return whether a task of a gang has succeeded. Tasks end independently, so such a gang does
        not count as incomplete.
        """
        return any(
            record.job == run[0]
            and record.attempt == run[1]
            and record.state is TaskState.SUCCEEDED
            for platform in self._world.platforms_by_data_centre.values()
            for record in platform.records
        )
