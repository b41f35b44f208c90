"""
bulrushhollow_core.node._rollouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Operators who wait for an accepted change to be in force everywhere, and what they are told.
"""

import msgspec

from bulrushhollow_core.authority import (
    InForceEverywhere,
    InForceInside,
    InForceLater,
    NotYetInForce,
    OutOfServiceStatus,
    out_of_service_status,
)
from bulrushhollow_core.changes import ChangeAccepted, Edit, SetDataCentreService
from bulrushhollow_core.configuration import Rollout
from bulrushhollow_core.ids import DataCentreId, InstanceName, Seconds, Version
from bulrushhollow_core.models import Configuration, Service
from bulrushhollow_core.node._actions import Reply
from bulrushhollow_core.node._events import CallId

IN_FORCE_WAIT = Seconds(2.5)
"""Longest wait for instances that have not applied a change, before its answer names them."""


class _Waiting(msgspec.Struct, frozen=True):
    call: CallId
    version: Version
    edit: Edit
    recorded_at: Seconds


class Rollouts:
    """
    Calls that wait until a version is in force.

    :param rollout: who has applied which version.
    :param members_by_data_centre: names of each data centre's instances.
    """

    def __init__(
        self,
        rollout: Rollout,
        members_by_data_centre: dict[DataCentreId, frozenset[InstanceName]],
    ) -> None:
        self._rollout = rollout
        self._members_by_data_centre = members_by_data_centre
        self._waiting: list[_Waiting] = []

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits."""
        return bool(self._waiting)

    def wait(self, call: CallId, version: Version, edit: Edit, now: Seconds) -> None:
        """Answer a call once the version is in force everywhere, or after a bounded wait."""
        self._waiting.append(_Waiting(call, version, edit, now))

    def answer(self, configuration: Configuration, now: Seconds) -> list[Reply]:
        """Return the answers that are due."""
        due = [w for w in self._waiting if self._is_due(w, now)]
        self._waiting = [w for w in self._waiting if w not in due]
        return [Reply(w.call, self._accepted(w, configuration, now)) for w in due]

    def outlook(
        self,
        data_centre: DataCentreId,
        version: Version,
        recorded_at: Seconds,
        configuration: Configuration,
        now: Seconds,
    ) -> OutOfServiceStatus | None:
        """Tell where the take-out of a data centre is in force; None if it is not declared."""
        members = self._members_by_data_centre.get(data_centre, frozenset())
        if data_centre not in configuration.data_centres_by_id:
            return None
        return out_of_service_status(
            version, recorded_at, data_centre, members, configuration, self._rollout, now
        )

    def _is_due(self, waiting: _Waiting, now: Seconds) -> bool:
        if now - waiting.recorded_at >= IN_FORCE_WAIT:
            return True
        return not self._rollout.progress(waiting.version).not_yet_in

    def _accepted(
        self, waiting: _Waiting, configuration: Configuration, now: Seconds
    ) -> ChangeAccepted:
        reached = self._rollout.progress(waiting.version)
        note = self._note(waiting, configuration, now)
        return ChangeAccepted(waiting.version, reached.in_force_in, reached.not_yet_in, note)

    def _note(self, waiting: _Waiting, configuration: Configuration, now: Seconds) -> str:
        edit = waiting.edit
        if not isinstance(edit, SetDataCentreService) or edit.service is Service.IN:
            return ""
        outlook = self.outlook(edit.id, waiting.version, waiting.recorded_at, configuration, now)
        return "" if outlook is None else describe(edit.id, outlook)


def describe(data_centre: DataCentreId, outlook: OutOfServiceStatus) -> str:
    """Return one plain sentence that tells an operator where a take-out is in force."""
    match outlook:
        case InForceEverywhere():
            return f"{data_centre} is out, in force everywhere"
        case InForceInside(by_hold=True):
            return f"{data_centre} starts no jobs, since it holds without the log"
        case InForceInside():
            return f"{data_centre} is out and starts no jobs; some instances lag behind"
        case InForceLater(within=within):
            return f"recorded; in force in {data_centre} within {within:.1f} s at the latest"
        case NotYetInForce(cut_off_for=silence):
            return f"recorded; not in force in {data_centre}, which is cut off for {silence:.0f} s"
        case _:
            return f"recorded; {data_centre} has not confirmed it yet"
