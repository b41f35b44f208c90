"""
bulrushhollow_core.authority._out_of_service
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The true answer to an operator who took a data centre out: where the change is in force, and when
it will be where it is not.
"""

import msgspec

from bulrushhollow_core.authority._ballot import majority
from bulrushhollow_core.authority._timing import HOLD_LIMIT, AuthorityTiming
from bulrushhollow_core.configuration import Rollout
from bulrushhollow_core.ids import DataCentreId, InstanceName, Seconds, Version
from bulrushhollow_core.models import Configuration, Isolation

CUT_OFF_LIMIT = Seconds(3.0)
"""Seconds of silence after which a data centre is said to be cut off."""


class InForceEverywhere(msgspec.Struct, frozen=True, tag="in_force_everywhere"):
    """Every instance has applied the change."""


class InForceInside(msgspec.Struct, frozen=True, tag="in_force_inside"):
    """
    The data centre starts no more work; some instances have not applied the change.

    :param by_hold: because the data centre holds without the log, not because it applied it.
    """

    not_yet_in: tuple[InstanceName, ...]
    by_hold: bool = False


class InForceLater(msgspec.Struct, frozen=True, tag="in_force_later"):
    """
    Recorded; in force in the data centre within some seconds even if it is cut off, because it
    holds without the log.

    :param within: seconds from now.
    """

    within: Seconds


class NotYetInForce(msgspec.Struct, frozen=True, tag="not_yet_in_force"):
    """
    Recorded and not in force in the data centre, which is cut off and may go on starting work.

    :param cut_off_for: seconds since any of its instances was last heard.
    """

    cut_off_for: Seconds


class NotYetKnown(msgspec.Struct, frozen=True, tag="not_yet_known"):
    """Recorded; the data centre is in reach and has not confirmed it yet."""


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
    Tell where the take-out of a data centre is in force.

    :param version: the version that takes it out.
    :param recorded_at: reading of this process's clock at which the version was known to be
        committed, or later.
    :param members: names of the data centre's own instances.
    :param configuration: the present one.
    """
    missing = rollout.in_force(version).not_yet_in
    if not missing:
        return InForceEverywhere()
    if _applied_inside(version, members, rollout, now):
        return InForceInside(missing)
    if _knows_to_hold(data_centre, members, configuration, rollout):
        within = Seconds(HOLD_LIMIT - (now - recorded_at))
        return InForceLater(within) if within > 0 else InForceInside(missing, by_hold=True)
    silence = min((now - rollout.last_heard(name, now) for name in members), default=0.0)
    return NotYetInForce(Seconds(silence)) if silence > CUT_OFF_LIMIT else NotYetKnown()


def _knows_to_hold(
    data_centre: DataCentreId,
    members: frozenset[InstanceName],
    configuration: Configuration,
    rollout: Rollout,
) -> bool:
    """Tell whether every member has applied the version that made the data centre hold."""
    declared = configuration.data_centres_by_id.get(data_centre)
    if declared is None or declared.isolation is not Isolation.HOLD:
        return False
    since = configuration.switched_by_data_centre[data_centre].isolation
    return all(rollout.applied_since(name, since) is not None for name in members)


def _applied_inside(
    version: Version, members: frozenset[InstanceName], rollout: Rollout, now: Seconds
) -> bool:
    """
    Tell whether neither the present holder nor any later one lacks a version. Members that have
    it vote for nobody who has not, and after a lease time renew nobody's lease who has not.
    """
    known = (rollout.applied_since(name, version) for name in members)
    times = sorted(time for time in known if time is not None)
    if len(times) == len(members):
        return True
    needed = majority(members)
    return len(times) >= needed and now > times[needed - 1] + AuthorityTiming().settle_time
