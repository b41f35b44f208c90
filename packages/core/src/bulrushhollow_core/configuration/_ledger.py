"""
bulrushhollow_core.configuration._ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine of the configuration: one version sequence, compare-and-set on the
version, and the answers already given, so that a resend gets the first answer again.
"""

import hashlib
from collections import OrderedDict

import msgspec

from bulrushhollow_core.changes import (
    ChangeAccepted,
    ChangeConfiguration,
    Edit,
    SetDataCentreService,
    SetEndpointService,
)
from bulrushhollow_core.configuration._check import check_edit
from bulrushhollow_core.configuration._edits import apply_edit
from bulrushhollow_core.ids import ChangeId, LogIndex
from bulrushhollow_core.models import Configuration
from bulrushhollow_core.outcomes import Reason, Refusal

ANSWERS_KEPT = 4_096
"""Changes whose first answer is remembered; the oldest is forgotten first."""

FINGERPRINT_BYTES = 16

Answer = ChangeAccepted | Refusal


class AnsweredChange(msgspec.Struct, frozen=True):
    """
    The first answer to a change.

    :param fingerprint: digest of the edit, to tell a resend from another change.
    """

    change_id: ChangeId
    fingerprint: bytes
    answer: Answer


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """
    All state of a :class:`ConfigurationLedger`.

    :param answered: remembered answers, oldest first.
    """

    configuration: Configuration = Configuration()
    answered: tuple[AnsweredChange, ...] = ()


class ConfigurationLedger:
    """
    The configuration as the replicated log has it.

    Usage::

        >>> ledger = ConfigurationLedger()
        >>> ledger.apply(LogIndex(1), ChangeConfiguration(ChangeId("c1"), edit, Version(0)))
        ChangeAccepted(version=1, ...)
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self._answered_by_id: OrderedDict[ChangeId, AnsweredChange] = OrderedDict()

    def apply(self, index: LogIndex, command: ChangeConfiguration) -> Answer:
        """
        Apply one committed change; every replica does so in the order of the log.

        :param index: position of the change in the log.
        :return: the version that the change made, or why it changed nothing. A resend, which is
            the same edit under the same change id, changes nothing and gets the first answer.
        """
        fingerprint = _fingerprint(command.edit)
        first = self._answered_by_id.get(command.change_id)
        if first is not None and first.fingerprint == fingerprint:
            return first.answer
        if first is not None:
            return Refusal(
                Reason.CHANGE_ID_REUSED, f"{command.change_id} was sent before with another edit"
            )
        answer = self._decide(command)
        self._remember(AnsweredChange(command.change_id, fingerprint, answer))
        return answer

    def answer_for(self, change_id: ChangeId) -> Answer | None:
        """Return the first answer to a change, if it is remembered."""
        answered = self._answered_by_id.get(change_id)
        return None if answered is None else answered.answer

    def snapshot(self) -> ConfigurationSnapshot:
        """Return all state, to be restored on any instance."""
        return ConfigurationSnapshot(self.configuration, tuple(self._answered_by_id.values()))

    @classmethod
    def restore(cls, snapshot: ConfigurationSnapshot) -> "ConfigurationLedger":
        """Return a ledger that goes on from a snapshot."""
        ledger = cls()
        ledger.configuration = snapshot.configuration
        ledger._answered_by_id.update((each.change_id, each) for each in snapshot.answered)
        return ledger

    def _decide(self, command: ChangeConfiguration) -> Answer:
        present = self.configuration.version
        if command.base_version is None and not _sets_service(command.edit):
            return Refusal(Reason.INVALID, "the change must name the version that it is built on")
        if command.base_version not in (None, present):
            return Refusal(
                Reason.VERSION_CONFLICT,
                f"the present version is {present}, not {command.base_version}",
            )
        refusal = check_edit(command.edit, self.configuration)
        if refusal is not None:
            return refusal
        self.configuration = apply_edit(command.edit, self.configuration)
        return ChangeAccepted(self.configuration.version)

    def _remember(self, answered: AnsweredChange) -> None:
        self._answered_by_id[answered.change_id] = answered
        if len(self._answered_by_id) > ANSWERS_KEPT:
            self._answered_by_id.popitem(last=False)


def _fingerprint(edit: Edit) -> bytes:
    encoded = msgspec.msgpack.encode(edit)
    return hashlib.blake2b(encoded, digest_size=FINGERPRINT_BYTES).digest()


def _sets_service(edit: Edit) -> bool:
    return isinstance(edit, SetDataCentreService | SetEndpointService)
