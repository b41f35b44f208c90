"""
bulrushhollow_daemon.domain._leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A client that sends calls to the current leader. Every call is safe to repeat, so a call without an
answer is retried at the next leader until its deadline.
"""

import logging
import math
from collections.abc import Awaitable, Callable, Iterable, Iterator

import anyio

from bulrushhollow_core.domain import (
    Answer,
    Call,
    NoSuchQueue,
    NotAllowed,
    NotLeader,
    OutcomeUnknown,
    Probe,
    Read,
    ReadConfig,
    RefusalReason,
    Refused,
    Serving,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain._rpc import CallFailure, RpcClient

ATTEMPT_TIMEOUT = Seconds(0.7)
"""Seconds for one attempt. A commit takes some 20 ms, ten times that on a slow disk."""

ELECTION_DURATION = Seconds(1.2)
"""Seconds after the leader's last answer within which a new leader is likely to answer; an election
takes about as long. After that, a call searches no longer than ``MIN_SEARCH_TIME``."""

MAX_SEARCH_TIME = Seconds(0.6)
"""Longest time, in seconds, for which a call that was certainly not executed searches for a leader;
after that, its caller should retry later."""

MIN_SEARCH_TIME = Seconds(0.12)
"""Seconds for which a call searches for a leader when an election should be over; enough to ask
every known instance once more."""

RETRY_WINDOW = Seconds(1.4)
"""Seconds for which a call that may have been executed is retried at the next leader before its
outcome is reported as unknown. An election and the search for its winner take less, and a caller
that waits three seconds has as long again to ask another instance."""

SEARCH_INTERVAL = Seconds(0.1)
"""Seconds between two rounds of the search for a leader."""

RETRY_AFTER = Seconds(1.0)
"""Seconds after which the caller of a refused call should retry; an election takes about as
long."""

FAILURE_BACKOFF = Seconds(0.6)
"""Seconds for which an instance that did not answer is skipped while other instances can be
asked."""

PROBE_TIMEOUT = Seconds(0.7)
"""Seconds within which a probe must be answered, including the search for a leader."""

logger = logging.getLogger(__name__)

REFUSAL_ANSWERS = (Refused, NoSuchQueue, NotAllowed)
"""Answers with which a leader refuses a call without executing it, because of its state and
configuration at that moment."""

READ_ONLY_CALLS = (Read, ReadConfig, Probe)
"""Calls that change nothing; one without an answer counts as not executed."""


class LeaderClient:
    """
    Finds the leader and sends calls to it.

    :param port: port of the peer protocol, the same on every instance.
    :param local_handler: address of this process, and a function that answers calls in it; None
        for a process that never leads.
    """

    def __init__(
        self,
        port: int,
        local_handler: tuple[str, Callable[[Call], Awaitable[Answer]]] | None = None,
    ) -> None:
        """Start without a known leader."""
        self._port = port
        self._local_handler = local_handler
        self._clients_by_address: dict[str, RpcClient] = {}
        self._candidates: list[str] = []
        self._probe_answer: Serving | None = None
        self._probe_answered_at = Seconds(-math.inf)
        self._last_answered_at = Seconds(-math.inf)
        """Reading of this process's clock when a leader last answered any call."""
        self._retry_at_by_address: dict[str, Seconds] = {}
        self.address: str | None = None

    def add_candidates(self, addresses: Iterable[str]) -> None:
        """Add addresses of instances that may lead or may know the leader."""
        for address in addresses:
            if address not in self._candidates:
                self._candidates.append(address)

    def recent_probe_answer(self, max_age: Seconds) -> Serving | None:
        """Return the leader's last answer to a probe, or None if it is older than ``max_age``."""
        return self._probe_answer if clock.now() - self._probe_answered_at <= max_age else None

    async def probe(self) -> None:
        """Ask the leader whether it serves; search for a new leader if it does not answer."""
        answer = await self.ask(Probe(), Seconds(clock.now() + PROBE_TIMEOUT))
        if isinstance(answer, Serving):
            self._probe_answer, self._probe_answered_at = answer, clock.now()
            self.add_candidates(answer.instances)

    async def ask(self, call: Call, deadline: Seconds) -> Answer:
        """
        Return the leader's answer to a call.

        :param deadline: reading of this process's clock by which an answer is needed.
        :return: the answer, :class:`OutcomeUnknown` if the call may have been executed without an
            answer, or :class:`Refused` if no leader was found.
        """
        started = clock.now()
        search_until = started + self._search_timeout(started)
        is_outcome_unknown = False
        for address in self._addresses_to_ask():
            now = clock.now()
            if now >= min(deadline, started + RETRY_WINDOW if is_outcome_unknown else search_until):
                break
            if address is None:
                await anyio.sleep(min(SEARCH_INTERVAL, max(0.0, deadline - now)))
                continue
            timeout = Seconds(min(ATTEMPT_TIMEOUT, deadline - now))
            answer = await self._ask_at(address, call, timeout)
            if isinstance(answer, CallFailure):
                is_outcome_unknown |= answer.was_sent and not isinstance(call, READ_ONLY_CALLS)
                self._mark_failed(address, answer.detail)
            elif isinstance(answer, NotLeader):
                self._follow_redirect(address, answer)
            elif isinstance(answer, OutcomeUnknown):
                is_outcome_unknown = True
                self._mark_failed(address, "outcome unknown")
            else:
                return self._accept_answer(address, answer, is_outcome_unknown)
        if is_outcome_unknown:
            return OutcomeUnknown()
        return Refused(RefusalReason.NO_LEADER, RETRY_AFTER)

    def _search_timeout(self, now: Seconds) -> Seconds:
        """Return the seconds for which a call may search for a leader."""
        remaining = self._last_answered_at + ELECTION_DURATION - now
        return Seconds(min(MAX_SEARCH_TIME, max(MIN_SEARCH_TIME, remaining)))

    def _addresses_to_ask(self) -> Iterator[str | None]:
        """
        Yield the addresses to ask, without end. The known leader comes first, also when it changes
        meanwhile; None stands for a pause after all addresses were asked.
        """
        while True:
            asked = set()
            while self.address is not None and self.address not in asked:
                asked.add(self.address)
                yield self.address
            for address in self._eligible_candidates():
                if self.address is not None and self.address not in asked:
                    asked.add(self.address)
                    yield self.address
                if address not in asked:
                    asked.add(address)
                    yield address
            yield None

    def _eligible_candidates(self) -> list[str]:
        """Return the candidates that have not failed lately, or all if every one has."""
        eligible = [address for address in self._candidates if not self._is_backing_off(address)]
        return eligible or list(self._candidates)

    def _is_backing_off(self, address: str) -> bool:
        return clock.now() < self._retry_at_by_address.get(address, -math.inf)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        if self._local_handler is not None and address == self._local_handler[0]:
            with anyio.move_on_after(timeout):
                return await self._local_handler[1](call)
            return CallFailure(was_sent=True, detail="no answer in time")
        client = self._clients_by_address.get(address)
        if client is None:
            client = self._clients_by_address[address] = RpcClient(address, self._port)
        return await client.ask(call, timeout)

    def _accept_answer(self, address: str, answer: Answer, is_outcome_unknown: bool) -> Answer:
        """
        Record the leader that answered, and return its answer. A refusal does not show that an
        earlier attempt without an answer was not executed, so that outcome stays unknown.
        """
        if self.address != address:
            logger.info("leader_found", extra={"leader": address})
        self.address = address
        self._last_answered_at = clock.now()
        self.add_candidates((address,))
        is_refusal = isinstance(answer, REFUSAL_ANSWERS)
        return OutcomeUnknown() if is_outcome_unknown and is_refusal else answer

    def _follow_redirect(self, address: str, answer: NotLeader) -> None:
        leader = answer.leader
        if leader is not None and leader != address and not self._is_backing_off(leader):
            self.add_candidates((leader,))
            self.address = leader
        elif self.address == address:
            self.address = None

    def _mark_failed(self, address: str, detail: str) -> None:
        self._retry_at_by_address[address] = Seconds(clock.now() + FAILURE_BACKOFF)
        if self.address == address:
            logger.info("leader_lost", extra={"leader": address, "reason": detail})
            self.address = None
