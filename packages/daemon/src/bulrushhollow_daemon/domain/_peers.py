"""
bulrushhollow_daemon.domain._peers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the other instances with a disk and carries the messages of the log to them. Addresses come
from the seeds, from the members of the log and from whomever a peer knows.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from bulrushhollow_core.consensus import ConsensusMessage
from bulrushhollow_core.ids import InstanceId, Seconds, name_of
from bulrushhollow_daemon.domain._rpc import CallFailure, MessageBatch, PeerInfo, RpcClient

DELIVER_TIMEOUT = Seconds(0.8)
"""Seconds for one delivery; less than an election takes, so that a silent link is replaced before
one."""

GREETING_INTERVAL = Seconds(0.5)
"""Seconds between two deliveries when there is nothing to say."""

REDIAL_INTERVAL = Seconds(0.25)
"""Seconds between two tries to reach an instance."""

QUEUE_LIMIT = 1024
"""Messages that may wait for one instance; the oldest are dropped beyond that."""

PARCEL_MESSAGES = 64
"""Most messages in one delivery."""

FORGET_TRIES = 120
"""Failed tries in a row after which an address that only gossip named is dropped."""

logger = logging.getLogger(__name__)


class PeerObserver(Protocol):
    """Told of what happens between instances."""

    def peer_connected(self, instance: InstanceId, data_centre: str) -> None:
        """An incarnation can be reached."""

    def peer_disconnected(self, instance: InstanceId) -> None:
        """An incarnation can't be reached any more."""


class _Peer:
    """One address and what waits for it."""

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.client = RpcClient(address, port)
        self.instance: InstanceId | None = None
        self.failures = 0
        self._queue: list[ConsensusMessage] = []
        self._wake = anyio.Event()

    def put(self, message: ConsensusMessage) -> None:
        """Queue a message."""
        if len(self._queue) >= QUEUE_LIMIT:
            self._queue.pop(0)
        self._queue.append(message)
        self._wake.set()

    async def take(self) -> tuple[ConsensusMessage, ...]:
        """Wait for messages, or return none after a while."""
        if not self._queue:
            self._wake = anyio.Event()
            with anyio.move_on_after(GREETING_INTERVAL):
                await self._wake.wait()
        batch = tuple(self._queue[:PARCEL_MESSAGES])
        del self._queue[:PARCEL_MESSAGES]
        return batch

    def clear(self) -> None:
        """Drop what waits."""
        self._queue.clear()


class Peers:
    """
    All other instances with a disk.

    :param describe_self: returns who this instance is.
    :param port: port of the peer protocol, the same on every instance.
    """

    def __init__(
        self,
        address: str,
        port: int,
        describe_self: Callable[[], PeerInfo],
        observer: PeerObserver,
    ) -> None:
        """Begin without any."""
        self._address = address
        self._port = port
        self._describe_self = describe_self
        self._observer = observer
        self._tasks: TaskGroup | None = None
        self._peers_by_address: dict[str, _Peer] = {}
        self._lasting: set[str] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return all addresses in reach, this one among them."""
        reachable = [p.address for p in self._peers_by_address.values() if p.instance is not None]
        return (self._address, *sorted(reachable))

    def start(self, tasks: TaskGroup) -> None:
        """Keep connections in a task group."""
        self._tasks = tasks

    def learn(self, addresses: Iterable[str], lasting: bool = False) -> None:
        """
        Take in addresses.

        :param lasting: whether to keep trying them for ever.
        """
        for address in addresses:
            if address == self._address:
                continue
            if lasting:
                self._lasting.add(address)
            if address not in self._peers_by_address and self._tasks is not None:
                peer = _Peer(address, self._port)
                self._peers_by_address[address] = peer
                self._tasks.start_soon(self._keep, peer)

    def send(self, to: InstanceId, message: ConsensusMessage) -> None:
        """Queue a message if exactly this incarnation can be reached."""
        peer = self._peers_by_address.get(str(name_of(to)))
        if peer is not None and peer.instance == to:
            peer.put(message)

    def heard(self, sender: PeerInfo) -> None:
        """Take in that an instance has called."""
        self.learn((sender.address, *sender.known_addresses))

    async def _keep(self, peer: _Peer) -> None:
        while peer.failures < FORGET_TRIES or peer.address in self._lasting:
            messages = await peer.take() if peer.instance is not None else ()
            batch = MessageBatch(self._describe_self(), peer.instance, messages)
            result = await peer.client.deliver(batch, DELIVER_TIMEOUT)
            if isinstance(result, CallFailure):
                self._lost(peer, result.detail)
                await anyio.sleep(REDIAL_INTERVAL)
            else:
                self._reached(peer, result)
        del self._peers_by_address[peer.address]

    def _reached(self, peer: _Peer, info: PeerInfo) -> None:
        peer.failures = 0
        if peer.instance != info.instance:
            if peer.instance is not None:
                self._lost(peer, "another incarnation answered")
            peer.instance = info.instance
            logger.info("peer_connected", extra={"peer": info.instance})
            self._observer.peer_connected(info.instance, info.data_centre)
        self.learn(info.known_addresses)

    def _lost(self, peer: _Peer, detail: str) -> None:
        peer.failures += 1
        if peer.instance is None:
            return
        logger.info("peer_disconnected", extra={"peer": peer.instance, "reason": detail})
        instance, peer.instance = peer.instance, None
        peer.clear()
        self._observer.peer_disconnected(instance)
