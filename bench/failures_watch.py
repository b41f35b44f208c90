"""
bench.failures_watch
~~~~~~~~~~~~~~~~~~~~

Watches the daemons of a failure run: their applied versions all the time, and whether the site
has recovered from a fault.
"""

import anyio

from bench.failures_records import Kind, Records, Sample
from bench.failures_site import Site, changed_profile, now, profile_of
from bulrushhollow.exceptions import BulrushhollowError
from bulrushhollow_core.answers import InstanceStatus
from bulrushhollow_core.changes import PutProfile
from bulrushhollow_core.ids import name_of
from bulrushhollow_core.outcomes import Reason

SAMPLE_INTERVAL = 0.4
"""Seconds between two looks at one daemon."""

STATUS_TIMEOUT = 1.0
"""Seconds to wait for the status of one daemon."""

PROBE_DEADLINE = 2.0
"""Seconds within which a request must be answered by a site that has recovered."""

RECOVERED_POLL = 0.1
"""Seconds between two looks at whether the site has recovered."""

RECOVERY_LIMIT = 45.0
"""Seconds after which a site that has not recovered is given up."""


async def watch(site: Site, records: Records) -> None:
    """Sample the status of every daemon until cancelled."""
    async with anyio.create_task_group() as tasks:
        for name in site.daemons:
            tasks.start_soon(_watch_one, site, records, name)


async def _watch_one(site: Site, records: Records, name: str) -> None:
    while True:
        asked_at = now()
        status = await ask_status(site, name)
        if status is not None:
            sample = Sample(name, asked_at, now(), status.ready, status.configuration_version)
            records.samples.append(sample)
        await anyio.sleep(SAMPLE_INTERVAL)


async def ask_status(site: Site, name: str) -> InstanceStatus | None:
    """Return the status of a daemon, or None if it does not answer soon."""
    with anyio.move_on_after(STATUS_TIMEOUT):
        try:
            return await site.session(name).status()
        except BulrushhollowError:
            return None
    return None


async def wait_until_recovered(site: Site) -> float | None:
    """
    Wait until all daemons agree and serve.

    :return: the time at which that was so; None if it never was.
    """
    with anyio.move_on_after(RECOVERY_LIMIT):
        while not (await _agrees(site) and await _serves(site)):
            await anyio.sleep(RECOVERED_POLL)
        return now()
    return None


async def _agrees(site: Site) -> bool:
    """Tell whether all daemons are ready under one leader and each data centre has a holder."""
    statuses = [await ask_status(site, name) for name in site.daemons]
    known = [status for status in statuses if status is not None and status.ready]
    leaders = {status.leader and name_of(status.leader) for status in known}
    holders = [status.data_centre for status in known if status.holds_lease]
    return (
        len(known) == len(site.daemons)
        and len(leaders) == 1
        and None not in leaders
        and sorted(holders) == sorted(site.cluster.data_centres)
    )


async def _serves(site: Site) -> bool:
    """Tell whether each daemon answers a request and a change is accepted."""
    try:
        for name in site.daemons:
            await site.session(name).request(
                profile_of(Kind.IDEMPOTENT), b"probe", deadline=PROBE_DEADLINE
            )
        session = site.session()
        configuration = await session.configuration()
        probed = changed_profile("probe", float(configuration.version + 1))
        await session.change(PutProfile(probed), base_version=configuration.version)
    except BulrushhollowError as error:
        return error.reason is Reason.VERSION_CONFLICT
    return True
