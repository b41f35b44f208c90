"""
bulrushhollow_daemon.domain._leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Hands calls to whichever instance leads. Every call may be made twice, so one without an answer is
made again at the next leader until its deadline.
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
from bulrushhollow_daemon.domain._rpc import CallFailure, Link

ATTEMPT_TIMEOUT = Seconds(0.7)
"""Seconds for one attempt; a commit takes some 20 ms, ten times that on a slow disk."""

ELECTION_TIME = Seconds(1.2)
"""Seconds since the leader's last word within which another one is likely to answer; an election
takes about as long. After that, calls are refused at once."""

REFUSE_AFTER = Seconds(0.6)
"""Seconds for which a call that surely was not made waits for an election at the most; callers
do better to come again later."""

REFUSE_AT_ONCE = Seconds(0.12)
"""Seconds in which every known instance is asked for the leader once more."""

GIVE_UP_AFTER = Seconds(1.4)
"""Seconds for which a call that may have been made is made again at the next leader, before it is
answered as unknown; an election and the way to its winner take less, and a caller that waits three
seconds has as long again to ask elsewhere."""

LOOK_INTERVAL = Seconds(0.1)
"""Seconds between two looks for a leader."""

ELECTION_WAIT = Seconds(1.0)
"""Seconds after which a refused call may find a leader; an election takes about as long."""

SHUN = Seconds(0.6)
"""Seconds for which an instance that did not answer is not asked again if others can be."""

PROBE_TIMEOUT = Seconds(0.7)
"""Seconds for one probe of the leader."""

logger = logging.getLogger(__name__)

REFUSALS = (Refused, NoSuchQueue, NotAllowed)
"""Answers that say that nothing was done, by what is in force at that moment."""

READ_ONLY = (Read, ReadConfig, Probe)
"""Calls that change nothing, so that one without an answer was surely not done."""


class Leader:
    """
    The leader as one process knows it.

    :param port: port of the peer protocol, the same on every instance.
    :param own: address of this process and a function that answers here; None for a process
        that never leads.
    """

    def __init__(
        self,
        port: int,
        own: tuple[str, Callable[[Call], Awaitable[Answer]]] | None = None,
    ) -> None:
        """Begin without knowing it."""
        self._port = port
        self._own = own
        self._links_by_address: dict[str, Link] = {}
        self._candidates: list[str] = []
        self._serving: Serving | None = None
        self._served_at = Seconds(-math.inf)
        self._settled_at = Seconds(-math.inf)
        """When the leader answered last."""
        self._shunned_until_by_address: dict[str, Seconds] = {}
        self.address: str | None = None

    def learn(self, addresses: Iterable[str]) -> None:
        """Take in addresses of instances that may lead or know who does."""
        for address in addresses:
            if address not in self._candidates:
                self._candidates.append(address)

    def serving(self, within: Seconds) -> Serving | None:
        """Return what the leader last said of itself, unless that is too long ago."""
        return self._serving if clock.now() - self._served_at <= within else None

    async def probe(self) -> None:
        """Ask whether the leader serves, and look for one if none answers."""
        answer = await self.ask(Probe(), Seconds(clock.now() + PROBE_TIMEOUT))
        if isinstance(answer, Serving):
            self._serving, self._served_at = answer, clock.now()
            self.learn(answer.instances)

    async def ask(self, call: Call, deadline: Seconds) -> Answer:
        """
        Return the leader's answer.

        :param deadline: reading of this process's clock by which an answer is needed.
        """
        started = clock.now()
        refuse_at = started + self._patience(started)
        is_open = False
        for address in self._addresses():
            now = clock.now()
            if now >= min(deadline, started + GIVE_UP_AFTER if is_open else refuse_at):
                break
            if address is None:
                await anyio.sleep(min(LOOK_INTERVAL, max(0.0, deadline - now)))
                continue
            timeout = Seconds(min(ATTEMPT_TIMEOUT, deadline - now))
            answer = await self._ask_at(address, call, timeout)
            if isinstance(answer, CallFailure):
                is_open |= answer.was_sent and not isinstance(call, READ_ONLY)
                self._forget(address, answer.detail)
            elif isinstance(answer, NotLeader):
                self._follow(address, answer)
            elif isinstance(answer, OutcomeUnknown):
                is_open = True
                self._forget(address, "outcome unknown")
            else:
                return self._settle(address, answer, is_open)
        if is_open:
            return OutcomeUnknown()
        return Refused(RefusalReason.NO_LEADER, ELECTION_WAIT)

    def _patience(self, now: Seconds) -> Seconds:
        """Return for how long a call may wait for a leader to be found."""
        left = self._settled_at + ELECTION_TIME - now
        return Seconds(min(REFUSE_AFTER, max(REFUSE_AT_ONCE, left)))

    def _addresses(self) -> Iterator[str | None]:
        """Return where to ask next, without end; None for a pause after all were asked."""
        while True:
            asked = set()
            while self.address is not None and self.address not in asked:
                asked.add(self.address)
                yield self.address
            for address in self._in_reach():
                if self.address is not None and self.address not in asked:
                    asked.add(self.address)
                    yield self.address
                if address not in asked:
                    asked.add(address)
                    yield address
            yield None

    def _in_reach(self) -> list[str]:
        """Return the candidates that have not just failed, or all if every one has."""
        fresh = [address for address in self._candidates if not self._is_shunned(address)]
        return fresh or list(self._candidates)

    def _is_shunned(self, address: str) -> bool:
        return clock.now() < self._shunned_until_by_address.get(address, -math.inf)

    async def _ask_at(self, address: str, call: Call, timeout: Seconds) -> Answer | CallFailure:
        if self._own is not None and address == self._own[0]:
            with anyio.move_on_after(timeout):
                return await self._own[1](call)
            return CallFailure(was_sent=True, detail="no answer in time")
        link = self._links_by_address.get(address)
        if link is None:
            link = self._links_by_address[address] = Link(address, self._port)
        return await link.ask(call, timeout)

    def _settle(self, address: str, answer: Answer, is_open: bool) -> Answer:
        """Keep the leader; a refusal proves nothing if an earlier attempt is open."""
        if self.address != address:
            logger.info("leader_found", extra={"leader": address})
        self.address = address
        self._settled_at = clock.now()
        self.learn((address,))
        is_refusal = isinstance(answer, REFUSALS)
        return OutcomeUnknown() if is_open and is_refusal else answer

    def _follow(self, address: str, answer: NotLeader) -> None:
        leader = answer.leader
        if leader is not None and leader != address and not self._is_shunned(leader):
            self.learn((leader,))
            self.address = leader
        elif self.address == address:
            self.address = None

    def _forget(self, address: str, detail: str) -> None:
        self._shunned_until_by_address[address] = Seconds(clock.now() + SHUN)
        if self.address == address:
            logger.info("leader_lost", extra={"leader": address, "reason": detail})
            self.address = None
