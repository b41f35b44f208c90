"""
bulrushhollow_core.node._proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Proposals of this instance. Each is sent to the leader of the log, sent again until this
instance has applied its command, and dropped at its deadline.
"""

import itertools
import random
from collections.abc import Iterator
from typing import NewType

import msgspec

from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_core.node._commands import Command, LoggedCommand, encode_logged_command
from bulrushhollow_core.node._purposes import Purpose

ProposalNumber = NewType("ProposalNumber", int)

RESEND_INTERVAL = Seconds(0.5)
"""Seconds after which a proposal that was not applied is sent again."""

FIRST_NUMBER_BITS = 62
"""Size in bits of the random number of a process's first proposal."""


class PendingProposal(msgspec.Struct):
    """
    A proposal that is neither applied nor expired.

    :param next_send_at: when to send it to the leader next.
    :param was_sent: whether it was ever sent to a leader; if not, it can't be in the log.
    """

    number: ProposalNumber
    payload: bytes
    command: Command
    purpose: Purpose
    deadline: Seconds
    next_send_at: Seconds
    was_sent: bool = False


class Proposals:
    """
    The pending proposals of one process.

    :param me: this incarnation.
    :param rng: source of the first number. An incarnation with a disk spans several processes, and
        a later process must not mistake a proposal of an earlier one for its own.
    """

    def __init__(self, me: InstanceId, rng: random.Random) -> None:
        self._me = me
        self._numbers: Iterator[int] = itertools.count(rng.getrandbits(FIRST_NUMBER_BITS))
        self._pending_by_number: dict[ProposalNumber, PendingProposal] = {}

    def __len__(self) -> int:
        return len(self._pending_by_number)

    def add(self, command: Command, purpose: Purpose, within: Seconds, now: Seconds) -> None:
        """
        Add a proposal.

        :param within: seconds after which the proposal expires.
        """
        number = ProposalNumber(next(self._numbers))
        payload = encode_logged_command(LoggedCommand(self._me, number, command))
        deadline = Seconds(now + within)
        self._pending_by_number[number] = PendingProposal(
            number, payload, command, purpose, deadline, now
        )

    def due(self, now: Seconds) -> list[PendingProposal]:
        """Return the proposals to send to the leader now."""
        return [
            pending for pending in self._pending_by_number.values() if pending.next_send_at <= now
        ]

    def mark_sent(self, pending: PendingProposal, now: Seconds) -> None:
        """Record that the proposal was sent to a leader."""
        pending.was_sent = True
        pending.next_send_at = Seconds(now + RESEND_INTERVAL)

    def resolve(self, logged: LoggedCommand) -> PendingProposal | None:
        """
        Remove and return the proposal that a log entry carries.

        :return: None if another incarnation proposed it, or it was resolved before or has expired.
        """
        if logged.origin != self._me:
            return None
        return self._pending_by_number.pop(ProposalNumber(logged.number), None)

    def pop_expired(self, now: Seconds) -> list[PendingProposal]:
        """Remove and return every proposal whose deadline has passed."""
        expired = [
            pending for pending in self._pending_by_number.values() if pending.deadline <= now
        ]
        for pending in expired:
            del self._pending_by_number[pending.number]
        return expired
