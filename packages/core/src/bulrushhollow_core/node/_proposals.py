"""
bulrushhollow_core.node._proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that this instance wants in the log. Each is handed to the log's leader, handed again
until it is seen applied here, and given up at its deadline.
"""

import itertools
import random
from collections.abc import Iterator
from typing import NewType

import msgspec

from bulrushhollow_core.ids import InstanceId, Seconds
from bulrushhollow_core.node._commands import Command, Logged, encode_logged
from bulrushhollow_core.node._purposes import Purpose

ProposalNumber = NewType("ProposalNumber", int)

RESEND_INTERVAL = Seconds(0.5)
"""Seconds after which a proposal that was not seen applied is handed over again."""


NUMBER_BITS = 62
"""Size of the random number from which a process counts its proposals."""


class Pending(msgspec.Struct):
    """
    A proposal whose fate is not known yet.

    :param handed: whether a leader was ever given it; if not, it can't be in the log.
    :param send_at: when to hand it over next.
    """

    number: ProposalNumber
    payload: bytes
    command: Command
    purpose: Purpose
    deadline: Seconds
    send_at: Seconds
    handed: bool = False


class Proposals:
    """
    The proposals of one process that are not settled.

    :param me: this incarnation.
    :param rng: for the first number. An incarnation with a disk outlives its processes, and a
        later one must not take what an earlier one proposed for its own.
    """

    def __init__(self, me: InstanceId, rng: random.Random) -> None:
        self._me = me
        self._numbers: Iterator[int] = itertools.count(rng.getrandbits(NUMBER_BITS))
        self._pending_by_number: dict[ProposalNumber, Pending] = {}

    def __len__(self) -> int:
        return len(self._pending_by_number)

    def add(self, command: Command, purpose: Purpose, within: Seconds, now: Seconds) -> None:
        """
        Want a command in the log.

        :param within: seconds after which to give up.
        """
        number = ProposalNumber(next(self._numbers))
        payload = encode_logged(Logged(self._me, number, command))
        deadline = Seconds(now + within)
        self._pending_by_number[number] = Pending(number, payload, command, purpose, deadline, now)

    def due(self, now: Seconds) -> list[Pending]:
        """Return what to hand to the leader now."""
        return [p for p in self._pending_by_number.values() if p.send_at <= now]

    def handed(self, pending: Pending, now: Seconds) -> None:
        """Note that a leader was given the proposal."""
        pending.handed = True
        pending.send_at = Seconds(now + RESEND_INTERVAL)

    def settle(self, logged: Logged) -> Pending | None:
        """
        Take out the proposal that this log entry carries.

        :return: None if it is not from this incarnation, was settled before or was given up.
        """
        if logged.origin != self._me:
            return None
        return self._pending_by_number.pop(ProposalNumber(logged.number), None)

    def expire(self, now: Seconds) -> list[Pending]:
        """Take out every proposal whose deadline has passed."""
        late = [p for p in self._pending_by_number.values() if p.deadline <= now]
        for pending in late:
            del self._pending_by_number[pending.number]
        return late
