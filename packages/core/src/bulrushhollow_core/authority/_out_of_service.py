"""
bulrushhollow_core.authority._out_of_service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports to an operator who took a data centre out of service where the change is in force, and when
it will be in force elsewhere.
"""

import msgspec

from bulrushhollow_core.authority._ballot import majority
from bulrushhollow_core.authority._timing import HOLD_LIMIT, AuthorityTiming
from bulrushhollow_core.configuration import Rollout
from bulrushhollow_core.ids import DataCentreId, InstanceName, Seconds, Version
from bulrushhollow_core.models import Configuration, Isolation

CUT_OFF_LIMIT = Seconds(3.0)
"""Seconds without a message after which a data centre is reported as cut off."""


class InForceEverywhere(msgspec.Struct, frozen=True, tag="in_force_everywhere"):
    """All instances have applied the change."""


class InForceInside(msgspec.Struct, frozen=True, tag="in_force_inside"):
    """
    The data centre starts no more work, but some instances have not applied the change.

    :param by_hold: whether the reason is that the data centre is set to hold, so that it starts no
        work while it can't reach the log, rather than that it has applied the change.
    """

    not_yet_in: tuple[InstanceName, ...]
    by_hold: bool = False


class InForceLater(msgspec.Struct, frozen=True, tag="in_force_later"):
    """
    The change is recorded. It will be in force in the data centre even if that is cut off, because
    a data centre set to hold starts no work while it can't reach the log.

    :param within: seconds from now until it is in force at the latest.
    """

    within: Seconds


class NotYetInForce(msgspec.Struct, frozen=True, tag="not_yet_in_force"):
    """
    The change is recorded but not in force in the data centre, which is cut off and may continue to
    start work.

    :param cut_off_for: seconds since any of its instances was last heard.
    """

    cut_off_for: Seconds


class NotYetKnown(msgspec.Struct, frozen=True, tag="not_yet_known"):
    """The change is recorded; the data centre can be reached but has not confirmed it yet."""


OutOfServiceStatus = InForceEverywhere | InForceInside | InForceLater | NotYetInForce | NotYetKnown


def out_of_service_status(
    version: Version,
    recorded_at: Seconds,
    data_centre: DataCentreId,
    members: frozenset[InstanceName],
    configuration: Configuration,
    rollout: Rollout,
    now: Seconds,
) -> OutOfServiceStatus:
    """
    Return where the change that takes a data centre out of service is in force.

    :param version: configuration version of the change.
    :param recorded_at: reading of this process's clock at which the version was known to be
        committed, or later.
    :param members: names of the data centre's instances.
    :param configuration: the current configuration.
    """
    missing = rollout.progress(version).not_yet_in
    if not missing:
        return InForceEverywhere()
    if _is_in_force_inside(version, members, rollout, now):
        return InForceInside(missing)
    if _has_applied_hold(data_centre, members, configuration, rollout):
        within = Seconds(HOLD_LIMIT - (now - recorded_at))
        return InForceLater(within) if within > 0 else InForceInside(missing, by_hold=True)
    silence = min((now - rollout.last_heard(name, now) for name in members), default=0.0)
    return NotYetInForce(Seconds(silence)) if silence > CUT_OFF_LIMIT else NotYetKnown()


def _has_applied_hold(
    data_centre: DataCentreId,
    members: frozenset[InstanceName],
    configuration: Configuration,
    rollout: Rollout,
) -> bool:
    """Return whether every member has applied the version that set the data centre to hold."""
    configured = configuration.data_centres_by_id.get(data_centre)
    if configured is None or configured.isolation is not Isolation.HOLD:
        return False
    since = configuration.switched_by_data_centre[data_centre].isolation
    return all(rollout.applied_since(name, since) is not None for name in members)


def _is_in_force_inside(
    version: Version, members: frozenset[InstanceName], rollout: Rollout, now: Seconds
) -> bool:
    """
    Return whether the current holder and any later one certainly have applied a version. Members
    that have applied it grant no vote to a candidate that has not, and after one lease duration no
    renewal to a holder that has not.
    """
    applied_times = (rollout.applied_since(name, version) for name in members)
    times = sorted(time for time in applied_times if time is not None)
    if len(times) == len(members):
        return True
    votes_needed = majority(members)
    return (
        len(times) >= votes_needed and now > times[votes_needed - 1] + AuthorityTiming().settle_time
    )
