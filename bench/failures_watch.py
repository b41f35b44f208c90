"""
bench.failures_watch
~~~~~~~~~~~~~~~~~~~~

Samples the status of each daemon during a failure run and checks whether the site has recovered
from a fault.
"""

import anyio

from bench.failures_records import Kind, Records, StatusSample
from bench.failures_site import FailureSite, changed_profile, now, profile_name_of
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow_core.answers import InstanceStatus
from bulrushhollow_core.changes import PutProfile
from bulrushhollow_core.ids import name_of
from bulrushhollow_core.outcomes import Reason

SAMPLE_INTERVAL = 0.4
"""Seconds between two status samples of one daemon."""

STATUS_TIMEOUT = 1.0
"""Seconds to wait for the status of one daemon."""

PROBE_DEADLINE = 2.0
"""Seconds within which a recovered site must answer a request."""

RECOVERY_POLL_INTERVAL = 0.1
"""Seconds between two checks of whether the site has recovered."""

IDLE_SECONDS = 3.0
"""Seconds without load over which the growth of the log is measured."""

RECOVERY_LIMIT = 45.0
"""Seconds after which a site counts as not recovered."""


async def sample_statuses(site: FailureSite, records: Records) -> None:
    """Sample the status of every daemon until cancelled."""
    async with anyio.create_task_group() as tasks:
        for name in site.daemons:
            tasks.start_soon(_sample_status, site, records, name)


async def _sample_status(site: FailureSite, records: Records, name: str) -> None:
    while True:
        asked_at = now()
        status = await ask_status(site, name)
        if status is not None:
            sample = StatusSample(name, asked_at, now(), status.ready, status.configuration_version)
            records.samples.append(sample)
        await anyio.sleep(SAMPLE_INTERVAL)


async def count_idle_log_entries(site: FailureSite) -> int:
    """Return how many entries the log gains in :data:`IDLE_SECONDS` without load."""
    before = await _last_log_index(site)
    await anyio.sleep(IDLE_SECONDS)
    return await _last_log_index(site) - before


async def _last_log_index(site: FailureSite) -> int:
    statuses = [await ask_status(site, name) for name in site.daemons]
    return max((status.last_index for status in statuses if status is not None), default=0)


async def ask_status(site: FailureSite, name: str) -> InstanceStatus | None:
    """Return the status of a daemon, or None if it fails or takes too long."""
    with anyio.move_on_after(STATUS_TIMEOUT):
        try:
            return await site.session(name).status()
        except BulrushhollowError:
            return None
    return None


async def wait_until_recovered(site: FailureSite) -> float | None:
    """
    Wait until all daemons agree on one leader and serve requests and changes.

    :return: the start of the first check that passed; None if none passed in time.
    """
    with anyio.move_on_after(RECOVERY_LIMIT):
        while True:
            asked_at = now()
            if await _has_leader_and_holders(site) and await _serves_calls(site):
                return asked_at
            await anyio.sleep(RECOVERY_POLL_INTERVAL)
    return None


async def _has_leader_and_holders(site: FailureSite) -> bool:
    """Return whether all daemons are ready, see one leader and each data centre has one holder."""
    statuses = [await ask_status(site, name) for name in site.daemons]
    ready = [status for status in statuses if status is not None and status.ready]
    leaders = {status.leader and name_of(status.leader) for status in ready}
    holders = [status.data_centre for status in ready if status.holds_lease]
    return (
        len(ready) == len(site.daemons)
        and len(leaders) == 1
        and None not in leaders
        and sorted(holders) == sorted(site.cluster.data_centres)
    )


async def _serves_calls(site: FailureSite) -> bool:
    """Return whether each daemon answers a request and the log decides on a change."""
    serving: list[str] = []

    async def probe(name: str) -> None:
        if await _answers_request(site, name):
            serving.append(name)

    async with anyio.create_task_group() as tasks:
        for name in site.daemons:
            tasks.start_soon(probe, name)
    return len(serving) == len(site.daemons) and await _decides_changes(site)


async def _answers_request(site: FailureSite, name: str) -> bool:
    try:
        await site.session(name).request(
            profile_name_of(Kind.IDEMPOTENT), b"probe", deadline=PROBE_DEADLINE
        )
    except BulrushhollowError:
        return False
    return True


async def _decides_changes(site: FailureSite) -> bool:
    """
    Return whether the log decides on a change.

    A version conflict counts too, as an operator may have changed the configuration first.
    """
    session = site.session()
    try:
        version = (await session.configuration()).version
        probed = changed_profile("probe", float(version + 1))
        await session.change(PutProfile(probed), base_version=version)
    except BulrushhollowError as error:
        return error.reason is Reason.VERSION_CONFLICT
    return True
