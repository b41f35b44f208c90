"""
bench.failures_callers
~~~~~~~~~~~~~~~~~~~~~~

The callers and operators of a failure run. Each entry instance has a fixed number of callers for
each kind of work. A caller waits for the answer before it sends its next call.
"""

import random
import uuid

import anyio
import msgspec

from bench.failures_records import REQUEST_KINDS, Call, Change, Kind, Records
from bench.failures_site import (
    CHANGED_PROFILES,
    JOB_SECONDS,
    FailureSite,
    changed_profile,
    now,
    profile_name_of,
)
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow_core.changes import PutProfile
from bulrushhollow_core.outcomes import Execution, Reason
from standins._endpoint import ANSWER_PREFIX

CALLERS_PER_KIND = 2
"""Callers that send one kind of request to one entry instance."""

MEAN_REQUEST_PAUSE = 0.3
"""Mean seconds between an answer and the next request of the same caller."""

MEAN_JOB_PAUSE = 1.0
"""Mean seconds between two jobs of one submitter."""

CHANGE_INTERVAL = 1.0
"""Seconds between two rounds of concurrent changes by two operators."""

DEADLINE = 3.0
"""Seconds that a caller waits for the answer to a request."""

RESEND_RATE = 0.3
"""Share of keyed requests and of changes that are sent again after a known outcome."""

MAX_SENDS = 4
"""Most attempts to send one job, keyed request or change."""

RESEND_PAUSE = 0.5
"""Seconds before a call or change is sent again."""

JOB_KINDS = (Kind.JOB, Kind.JOB_ONCE, Kind.GANG, Kind.GANG_ONCE, Kind.CLAIM)


class Callers:
    """
    Send work and changes until stopped.

    :param records: collects each call and change with its outcome.
    """

    def __init__(self, site: FailureSite, records: Records, rng: random.Random) -> None:
        """Create the callers without sending anything."""
        self._site = site
        self._records = records
        self._rng = rng
        self._is_stopping = False
        self._last_value = 1.0

    def stop(self) -> None:
        """Stop sending new work; calls in flight still get their answers."""
        self._is_stopping = True

    async def run(self) -> None:
        """Send work until :meth:`stop`, and return when no call is in flight."""
        async with anyio.create_task_group() as tasks:
            for name in self._site.daemons:
                for kind in REQUEST_KINDS * CALLERS_PER_KIND:
                    tasks.start_soon(self._send_requests, name, kind)
                tasks.start_soon(self._send_jobs, name)
            await self._send_changes(tasks)

    def _new_marker(self) -> str:
        return str(uuid.UUID(int=self._rng.getrandbits(128), version=4))

    def _other_daemon(self, name: str) -> str:
        return self._rng.choice([other for other in self._site.daemons if other != name])

    async def _send_requests(self, name: str, kind: Kind) -> None:
        while not self._is_stopping:
            await anyio.sleep(self._rng.expovariate(1 / MEAN_REQUEST_PAUSE))
            call = await self._send_request(name, kind, self._new_marker())
            if kind is Kind.KEYED:
                await self._resend(call)

    async def _resend(self, call: Call) -> None:
        """Resend a keyed request to other entry instances while its outcome is unknown."""
        must_resend = self._rng.random() < RESEND_RATE
        for _ in range(MAX_SENDS - 1):
            if call.execution is not Execution.UNKNOWN and not must_resend:
                return
            must_resend = False
            await anyio.sleep(RESEND_PAUSE)
            call = await self._send_request(self._other_daemon(call.entry), call.kind, call.marker)

    async def _send_request(self, name: str, kind: Kind, marker: str) -> Call:
        body = marker.encode() + b"." * 64
        sent_at = now()
        call = Call(marker, kind, name, sent_at, sent_at, Execution.UNKNOWN)
        try:
            response = await self._site.session(name).request(
                profile_name_of(kind),
                body,
                idempotency_key=marker if kind is Kind.KEYED else None,
                idempotent=kind is Kind.IDEMPOTENT,
                deadline=DEADLINE,
            )
            whole = response.status_code == 200 and response.content == ANSWER_PREFIX + body
            call = msgspec.structs.replace(call, execution=Execution.RAN, whole=whole)
        except BulrushhollowError as error:
            call = _with_error(call, error)
        return self._record_call(call)

    async def _send_jobs(self, name: str) -> None:
        while not self._is_stopping:
            await anyio.sleep(self._rng.expovariate(1 / MEAN_JOB_PAUSE))
            kind = self._rng.choice(JOB_KINDS)
            call = await self._submit_job(name, kind, self._new_marker())
            for _ in range(MAX_SENDS - 1):
                if call.execution is not Execution.UNKNOWN:
                    break
                await anyio.sleep(RESEND_PAUSE)
                call = await self._submit_job(self._other_daemon(call.entry), kind, call.marker)

    async def _submit_job(self, name: str, kind: Kind, marker: str) -> Call:
        """Submit a job and return the call, which is whole if the job was accepted."""
        sent_at = now()
        call = Call(marker, kind, name, sent_at, sent_at, Execution.UNKNOWN)
        payload = f'{{"run_seconds":{JOB_SECONDS}}}'
        try:
            job = await self._site.session(name).submit(
                profile_name_of(kind), payload, job_id=marker
            )
            whole = job.job == marker
            call = msgspec.structs.replace(call, execution=job.execution, whole=whole)
        except BulrushhollowError as error:
            call = _with_error(call, error)
        return self._record_call(call)

    def _record_call(self, call: Call) -> Call:
        ended = msgspec.structs.replace(call, ended_at=now())
        self._records.calls.append(ended)
        return ended

    async def _send_changes(self, tasks: anyio.abc.TaskGroup) -> None:
        """Make two operators change the same profile concurrently, at a fixed interval."""
        while not self._is_stopping:
            profile = self._rng.choice(CHANGED_PROFILES)
            for name in self._rng.sample(sorted(self._site.daemons), 2):
                tasks.start_soon(self._make_change, name, profile)
            await anyio.sleep(CHANGE_INTERVAL)

    async def _make_change(self, name: str, profile: str) -> None:
        try:
            base_version = (await self._site.session(name).configuration()).version
        except BulrushhollowError:
            return
        self._last_value += 1.0
        change = Change(self._new_marker(), profile, self._last_value, now(), now())
        must_resend = self._rng.random() < RESEND_RATE
        for _ in range(MAX_SENDS):
            change = await self._send_change(name, change, base_version)
            if change.execution is not Execution.UNKNOWN and not must_resend:
                return
            must_resend = False
            name = self._other_daemon(name)
            await anyio.sleep(RESEND_PAUSE)

    async def _send_change(self, name: str, change: Change, base_version: int) -> Change:
        edit = PutProfile(changed_profile(change.profile, change.value))
        version: int | None = None
        execution, reason = Execution.RAN, None
        sent_at = now()
        try:
            accepted = await self._site.session(name).change(
                edit, base_version=base_version, change_id=change.change_id
            )
            version = accepted.version
        except BulrushhollowError as error:
            execution, reason = error.execution, error.reason
        answered = msgspec.structs.replace(
            change,
            sent_at=sent_at,
            answered_at=now(),
            version=version,
            execution=execution,
            reason=reason,
        )
        self._records.changes.append(answered)
        return answered


def _with_error(call: Call, error: BulrushhollowError) -> Call:
    reason: Reason | None = error.reason
    return msgspec.structs.replace(call, execution=error.execution, reason=reason)
