"""
bulrushhollow_daemon.domain._leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

A client that sends calls to the current leader. Every call is safe to repeat, so a call without an
answer is retried at the next leader until its deadline.
"""

import logging
import math
import random
from collections.abc import Awaitable, Callable, Iterable, Iterator

import anyio

from bulrushhollow_core.domain import (
    Answer,
    Call,
    Deregister,
    Expired,
    ExplainPlacement,
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
    is_dated,
)
from bulrushhollow_core.ids import Seconds
from bulrushhollow_daemon import clock
from bulrushhollow_daemon.domain._rpc import CallFailure, RpcClient
from bulrushhollow_daemon.http_messages import CallerDisconnectedError, Request
from bulrushhollow_daemon.pauses import PauseDetector

ATTEMPT_TIMEOUT = Seconds(0.7)
"""Seconds for one attempt. A commit takes some 20 ms, ten times that on a slow disk."""

HEDGE_DELAY = Seconds(0.15)
"""Seconds without an answer after which the other instances are asked whether one of them leads. A
commit takes longer only on a slow disk."""

EXPECTED_OUTAGE = Seconds(4.0)
"""Seconds after the leader's last answer, or after the start of this process, within which a new
leader is expected. A restart of all instances and an election take about half of it."""

QUORUM_MEMORY = Seconds(1.0)
"""Seconds for which an instance that reached a quorum is expected to reach it still. After that,
this process counts as cut off, and its callers are refused early so that they ask elsewhere."""

MAX_SEARCH_TIME = Seconds(2.0)
"""Longest time, in seconds, for which a call that was certainly not executed waits for an expected
leader. Callers wait three seconds as a rule."""

MIN_SEARCH_TIME = Seconds(0.25)
"""Seconds for which a call searches for a leader when none is expected; enough to ask every known
instance."""

RETRY_WINDOW = Seconds(2.0)
"""Seconds for which a call that may have been executed is retried at the next leader before its
outcome is reported as unknown. An election and the search for its winner take less."""

SEARCH_INTERVAL = Seconds(0.1)
"""Seconds between two rounds of the search for a leader."""

SEARCH_FANOUT = 3
"""Instances that one round of a search asks, chosen at random. Each of them knows a new leader as
soon as it hears it, and hundreds of entry instances search at the same time."""

SEARCH_TIMEOUT = Seconds(0.25)
"""Seconds within which an instance must answer whether it leads."""

MIN_RETRY_AFTER = Seconds(1.0)
"""Seconds after which the caller of a refused call should retry at the earliest; an election takes
about as long."""

MAX_RETRY_AFTER = Seconds(3.0)
"""Seconds after which the caller of a refused call should retry at the latest."""

FAILURE_BACKOFF = Seconds(0.6)
"""Seconds for which an instance that did not answer is skipped while other instances can be
asked."""

PROBE_TIMEOUT = Seconds(0.7)
"""Seconds within which a probe must be answered, including the search for a leader."""

logger = logging.getLogger(__name__)

REFUSAL_ANSWERS = (Refused, NoSuchQueue, NotAllowed)
"""Answers with which a leader refuses a call without executing it, because of its state and
configuration at that moment."""

READ_ONLY_CALLS = (Read, ReadConfig, Probe, ExplainPlacement)
"""Calls that change nothing; one without an answer counts as not executed."""


class LeaderClient:
    """
    Finds the leader and sends calls to it.

    :param port: port of the peer protocol, the same on every instance.
    :param local_handler: address of this process, and a function that answers calls in it unless
        they expire before; None for a process that never leads.
    """

    def __init__(
        self,
        port: int,
        local_handler: tuple[str, Callable[[Call, Seconds], Awaitable[Answer]]] | None = None,
    ) -> None:
        """Start without a known leader."""
        self._port = port
        self._local_handler = local_handler
        self._clients_by_address: dict[str, RpcClient] = {}
        self._candidates: list[str] = []
        self._probe_answer: Serving | None = None
        self._probe_answered_at = Seconds(-math.inf)
        self._last_answered_at = clock.now()
        """Reading of this process's clock when a leader last answered any call, or at the start."""
        self._quorum_reached_at = Seconds(clock.now() + EXPECTED_OUTAGE - QUORUM_MEMORY)
        """Reading of this process's clock when an instance last reached a quorum. A quorum is
        expected as long as a leader after the start of this process."""
        self.pauses = PauseDetector()
        """Pauses of this process; its owner runs the checks."""
        self._is_searching = False
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

    async def relay(self, call: Call, request: Request, deadline: Seconds) -> Answer:
        """
        Return the leader's answer to a call that has just been read from a connection.

        A call that must not be executed late is not passed on if it may have waited so long to be
        read that its caller waits no longer.

        :param deadline: when the caller stops waiting if the call was read at once.
        :raises CallerDisconnectedError: if the caller has closed its connection already.
        """
        if not is_dated(call):
            return await self.ask(call, deadline)
        waited = self.pauses.longest_wait(clock.now())
        # A worker that leaves may end without waiting for the answer.
        if not isinstance(call, Deregister) and await request.is_disconnected():
            self._log_outdated(call, waited, "the caller has closed its connection")
            raise CallerDisconnectedError
        if clock.now() + waited >= deadline:
            self._log_outdated(call, waited, "the process was paused")
            return OutcomeUnknown()
        return await self.ask(call, Seconds(deadline - waited))

    def _log_outdated(self, call: Call, waited: Seconds, reason: str) -> None:
        fields = {"kind": type(call).__name__, "waited": round(waited, 3), "reason": reason}
        logger.warning("call_outdated", extra=fields)

    async def ask(self, call: Call, deadline: Seconds) -> Answer:
        """
        Return the leader's answer to a call.

        :param deadline: reading of this process's clock by which an answer is needed.
        :return: the answer, :class:`OutcomeUnknown` if the call may have been executed without an
            answer, or :class:`Refused` if no leader was found.
        """
        started = clock.now()
        is_outcome_unknown = False
        for address in self._addresses_to_ask():
            now = clock.now()
            window = RETRY_WINDOW if is_outcome_unknown else self._search_time(now)
            if now >= min(deadline, started + window):
                break
            if address is None:
                await self._search_for_leader(deadline)
                continue
            timeout = Seconds(min(ATTEMPT_TIMEOUT, deadline - now))
            answer = await self._ask_unless_replaced(address, call, timeout)
            if isinstance(answer, CallFailure):
                is_outcome_unknown |= answer.was_sent and not isinstance(call, READ_ONLY_CALLS)
                self._mark_failed(address, answer.detail)
            elif isinstance(answer, NotLeader):
                self._follow_redirect(address, answer)
            elif isinstance(answer, Expired):
                logger.warning("attempt_expired", extra={"leader": address})
            elif isinstance(answer, OutcomeUnknown):
                is_outcome_unknown = True
                self._mark_failed(address, "outcome unknown")
            else:
                return self._accept_answer(address, answer, is_outcome_unknown)
        if is_outcome_unknown:
            return OutcomeUnknown()
        return Refused(RefusalReason.NO_LEADER, self._retry_after(clock.now()))

    def _search_time(self, now: Seconds) -> Seconds:
        """Return the seconds for which a call may search for a leader."""
        is_leader_expected = (
            now - self._last_answered_at < EXPECTED_OUTAGE
            and now - self._quorum_reached_at < QUORUM_MEMORY
        )
        return MAX_SEARCH_TIME if is_leader_expected else MIN_SEARCH_TIME

    def _retry_after(self, now: Seconds) -> Seconds:
        """Return when to retry: an outage is expected to last as long again as it has lasted."""
        outage = now - self._last_answered_at
        return Seconds(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, outage)))

    def _addresses_to_ask(self) -> Iterator[str | None]:
        """
        Yield the addresses to ask, without end: the known leader, also when it changes meanwhile,
        then once every other instance, then each leader that a search finds. None stands for a
        search.
        """
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
        while True:
            yield None
            if self.address is not None:
                yield self.address

    async def _ask_unless_replaced(
        self, address: str, call: Call, timeout: Seconds
    ) -> Answer | CallFailure:
        """Ask an instance, but stop waiting for its answer once another instance leads."""
        answer: Answer | CallFailure = CallFailure(was_sent=True, detail="another instance leads")
        async with anyio.create_task_group() as tasks:
            attempt_ends_at = Seconds(clock.now() + timeout)
            tasks.start_soon(self._cancel_if_replaced, address, attempt_ends_at, tasks.cancel_scope)
            answer = await self._ask_at(address, call, timeout)
            tasks.cancel_scope.cancel()
        return answer

    async def _cancel_if_replaced(
        self, address: str, deadline: Seconds, attempt: anyio.CancelScope
    ) -> None:
        """Cancel an attempt at an instance that is slow to answer once another instance leads."""
        await anyio.sleep(HEDGE_DELAY)
        while self.address in (None, address):
            await self._search_for_leader(deadline, other_than=address)
        attempt.cancel()

    async def _search_for_leader(self, deadline: Seconds, other_than: str | None = None) -> None:
        """
        Ask some instances at once who leads, and wait ``SEARCH_INTERVAL`` if none knows. One search
        serves all calls that wait.
        """
        if self._is_searching:
            await anyio.sleep(_limited(SEARCH_INTERVAL, deadline))
            return
        others = [address for address in self._candidates if address != other_than]
        asked = set(random.sample(others, min(SEARCH_FANOUT, len(others))))
        timeout = _limited(SEARCH_TIMEOUT, deadline)
        self._is_searching = True
        try:
            async with anyio.create_task_group() as tasks:
                skipped = {*asked, other_than}
                for address in asked:
                    tasks.start_soon(
                        self._ask_whether_leading, address, skipped, timeout, tasks.cancel_scope
                    )
            if self.address in (None, other_than):
                await anyio.sleep(_limited(SEARCH_INTERVAL, deadline))
        finally:
            self._is_searching = False

    async def _ask_whether_leading(
        self, address: str, skipped: set[str | None], timeout: Seconds, search: anyio.CancelScope
    ) -> None:
        """
        Ask one instance whether it leads, and end the search if it does. If it names another
        instance that is not skipped, that one is asked in turn.
        """
        answer = await self._ask_at(address, Probe(), timeout)
        if isinstance(answer, NotLeader):
            self._record_follower(answer)
            if answer.leader is not None and answer.leader not in skipped:
                skipped.add(answer.leader)
                await self._ask_whether_leading(answer.leader, skipped, timeout, search)
        elif not isinstance(answer, CallFailure | OutcomeUnknown):
            self._record_leader(address)
            search.cancel()

    def _record_follower(self, answer: NotLeader) -> None:
        """Record what an instance that does not lead knows of the others."""
        if answer.reaches_quorum:
            self._quorum_reached_at = max(self._quorum_reached_at, clock.now())
        if answer.leader is not None:
            self.add_candidates((answer.leader,))

    def _eligible_candidates(self) -> list[str]:
        """Return the candidates that have not failed lately, or all if every one has."""
        eligible = [address for address in self._candidates if not self._is_backing_off(address)]
        return eligible or list(self._candidates)

    def _is_backing_off(self, address: str) -> bool:
        return clock.now() < self._retry_at_by_address.get(address, -math.inf)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        if self._local_handler is not None and address == self._local_handler[0]:
            with anyio.move_on_after(timeout):
                return await self._local_handler[1](call, Seconds(clock.now() + timeout))
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
        self._record_leader(address)
        is_refusal = isinstance(answer, REFUSAL_ANSWERS)
        return OutcomeUnknown() if is_outcome_unknown and is_refusal else answer

    def _record_leader(self, address: str) -> None:
        if self.address != address:
            logger.info("leader_found", extra={"leader": address})
        self.address = address
        self._last_answered_at = self._quorum_reached_at = clock.now()
        self.add_candidates((address,))

    def _follow_redirect(self, address: str, answer: NotLeader) -> None:
        self._record_follower(answer)
        leader = answer.leader
        if leader is not None and leader != address and not self._is_backing_off(leader):
            self.address = leader
        elif self.address == address:
            self.address = None

    def _mark_failed(self, address: str, detail: str) -> None:
        self._retry_at_by_address[address] = Seconds(clock.now() + FAILURE_BACKOFF)
        if self.address == address:
            logger.info("leader_lost", extra={"leader": address, "reason": detail})
            self.address = None


def _limited(duration: Seconds, deadline: Seconds) -> Seconds:
    """Return a duration, shortened so that it ends at a deadline."""
    return Seconds(max(0.0, min(duration, deadline - clock.now())))
