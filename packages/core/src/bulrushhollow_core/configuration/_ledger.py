"""
bulrushhollow_core.configuration._ledger
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The replicated state machine of the configuration. It has one sequence of versions and applies a
change by compare-and-set on the version. It keeps the answers to past changes, so that a change
that is sent again gets its first answer.
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
"""Number of changes whose first answer is kept; the oldest is removed first."""

FINGERPRINT_BYTES = 16

Answer = ChangeAccepted | Refusal


class AnsweredChange(msgspec.Struct, frozen=True):
    """
    A change that was answered, with its first answer.

    :param fingerprint: digest of the edit, which distinguishes a resend from another edit that
        reuses the change id.
    """

    change_id: ChangeId
    fingerprint: bytes
    answer: Answer


class ConfigurationSnapshot(msgspec.Struct, frozen=True):
    """
    The whole state of a :class:`ConfigurationLedger`.

    :param answered: changes whose answers are kept, oldest first.
    """

    configuration: Configuration = Configuration()
    answered: tuple[AnsweredChange, ...] = ()


class ConfigurationLedger:
    """
    The configuration as of the last applied entry of the replicated log.

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
        Apply one committed change. Every replica applies the changes in the order of the log.

        :param index: position of the change in the log.
        :return: the new version, or a refusal if the change was not applied. A resend, which is
            the same edit under the same change id, changes nothing and gets the first answer.
        """
        fingerprint = _fingerprint(command.edit)
        previous = self._answered_by_id.get(command.change_id)
        if previous is not None and previous.fingerprint == fingerprint:
            return previous.answer
        if previous is not None:
            return Refusal(
                Reason.CHANGE_ID_REUSED,
                f"change id {command.change_id} was used before for another edit",
            )
        answer = self._apply_new(command)
        self._keep_answer(AnsweredChange(command.change_id, fingerprint, answer))
        return answer

    def answer_for(self, change_id: ChangeId) -> Answer | None:
        """Return the first answer to a change, None if it is not kept."""
        answered = self._answered_by_id.get(change_id)
        return None if answered is None else answered.answer

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the whole state, from which :meth:`restore` makes an equal ledger."""
        return ConfigurationSnapshot(self.configuration, tuple(self._answered_by_id.values()))

    @classmethod
    def restore(cls, snapshot: ConfigurationSnapshot) -> "ConfigurationLedger":
        """Return a ledger with the state of a snapshot."""
        ledger = cls()
        ledger.configuration = snapshot.configuration
        ledger._answered_by_id.update(
            (answered.change_id, answered) for answered in snapshot.answered
        )
        return ledger

    def _apply_new(self, command: ChangeConfiguration) -> Answer:
        """Apply a change that is not a resend."""
        current = self.configuration.version
        if command.base_version is None and not _sets_service_state(command.edit):
            return Refusal(Reason.INVALID, "the change must name the version on which it is based")
        if command.base_version not in (None, current):
            return Refusal(
                Reason.VERSION_CONFLICT,
                f"the present version is {current}, not {command.base_version}",
            )
        refusal = check_edit(command.edit, self.configuration)
        if refusal is not None:
            return refusal
        self.configuration = apply_edit(command.edit, self.configuration)
        return ChangeAccepted(self.configuration.version)

    def _keep_answer(self, answered: AnsweredChange) -> None:
        self._answered_by_id[answered.change_id] = answered
        if len(self._answered_by_id) > ANSWERS_KEPT:
            self._answered_by_id.popitem(last=False)


def _fingerprint(edit: Edit) -> bytes:
    encoded = msgspec.msgpack.encode(edit)
    return hashlib.blake2b(encoded, digest_size=FINGERPRINT_BYTES).digest()


def _sets_service_state(edit: Edit) -> bool:
    return isinstance(edit, SetDataCentreService | SetEndpointService)
