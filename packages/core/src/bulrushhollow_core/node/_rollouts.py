"""
bulrushhollow_core.node._rollouts
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Operators' calls that wait for an accepted change to be in force everywhere, and their answers.
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

IN_FORCE_TIMEOUT = Seconds(2.5)
"""Maximum seconds to wait for all instances to apply a change; the answer lists the others."""


class _WaitingCall(msgspec.Struct, frozen=True):
    """A call that waits for a version to be in force."""

    call: CallId
    version: Version
    edit: Edit
    recorded_at: Seconds


class RolloutWaiters:
    """
    Calls that wait for a version to be in force.

    :param rollout: the version that each instance has applied.
    :param members_by_data_centre: names of the instances of each data centre.
    """

    def __init__(
        self,
        rollout: Rollout,
        members_by_data_centre: dict[DataCentreId, frozenset[InstanceName]],
    ) -> None:
        self._rollout = rollout
        self._members_by_data_centre = members_by_data_centre
        self._waiting: list[_WaitingCall] = []

    @property
    def is_waiting(self) -> bool:
        """Whether any call waits for its answer."""
        return bool(self._waiting)

    def add(self, call: CallId, version: Version, edit: Edit, now: Seconds) -> None:
        """Answer a call when the version is in force everywhere, or after the timeout."""
        self._waiting.append(_WaitingCall(call, version, edit, now))

    def pop_due_answers(self, configuration: Configuration, now: Seconds) -> list[Reply]:
        """Return the answers that are due, and remove their calls."""
        due = [waiting for waiting in self._waiting if self._is_due(waiting, now)]
        self._waiting = [waiting for waiting in self._waiting if waiting not in due]
        return [Reply(waiting.call, self._answer(waiting, configuration, now)) for waiting in due]

    def out_of_service_status(
        self,
        data_centre: DataCentreId,
        version: Version,
        recorded_at: Seconds,
        configuration: Configuration,
        now: Seconds,
    ) -> OutOfServiceStatus | None:
        """Return where a data centre is out of service; None if the data centre is not declared."""
        members = self._members_by_data_centre.get(data_centre, frozenset())
        if data_centre not in configuration.data_centres_by_id:
            return None
        return out_of_service_status(
            version, recorded_at, data_centre, members, configuration, self._rollout, now
        )

    def _is_due(self, waiting: _WaitingCall, now: Seconds) -> bool:
        if now - waiting.recorded_at >= IN_FORCE_TIMEOUT:
            return True
        return not self._rollout.progress(waiting.version).not_yet_in

    def _answer(
        self, waiting: _WaitingCall, configuration: Configuration, now: Seconds
    ) -> ChangeAccepted:
        progress = self._rollout.progress(waiting.version)
        note = self._note(waiting, configuration, now)
        return ChangeAccepted(waiting.version, progress.in_force_in, progress.not_yet_in, note)

    def _note(self, waiting: _WaitingCall, configuration: Configuration, now: Seconds) -> str:
        edit = waiting.edit
        if not isinstance(edit, SetDataCentreService) or edit.service is Service.IN:
            return ""
        status = self.out_of_service_status(
            edit.id, waiting.version, waiting.recorded_at, configuration, now
        )
        return "" if status is None else describe_out_of_service_status(edit.id, status)


def describe_out_of_service_status(data_centre: DataCentreId, status: OutOfServiceStatus) -> str:
    """Return a sentence for operators that says where a data centre is out of service."""
    match status:
        case InForceEverywhere():
            return f"{data_centre} is out, in force everywhere"
        case InForceInside(by_hold=True):
            return f"{data_centre} starts no jobs, because it holds them without the log"
        case InForceInside():
            return (
                f"{data_centre} is out and starts no jobs; some instances have not applied it yet"
            )
        case InForceLater(within=within):
            return f"recorded; in force in {data_centre} within {within:.1f} s at the latest"
        case NotYetInForce(cut_off_for=seconds):
            return f"recorded; not in force in {data_centre}, which is cut off for {seconds:.0f} s"
        case _:
            return f"recorded; {data_centre} has not confirmed it yet"
