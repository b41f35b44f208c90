"""
bulrushhollow_daemon.domain._peers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds the other instances with a disk and delivers the messages of the log to them. Addresses come
from the seeds, from the members of the log, and by gossip from the peers that are in reach.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from bulrushhollow_core.consensus import ConsensusMessage
from bulrushhollow_core.ids import InstanceId, Seconds, name_of
from bulrushhollow_daemon.domain._rpc import CallFailure, MessageBatch, PeerInfo, RpcClient
from bulrushhollow_daemon.supervision import keep_running

DELIVER_TIMEOUT = Seconds(0.8)
"""Seconds within which a delivery must be answered; less than an election takes, so that a silent
connection is replaced before one starts."""

KEEPALIVE_INTERVAL = Seconds(0.5)
"""Seconds between two deliveries to a peer while no message waits for it."""

RECONNECT_INTERVAL = Seconds(0.25)
"""Seconds between two attempts to reach an instance."""

MAX_QUEUED_MESSAGES = 1024
"""Messages that may wait for one instance; beyond that the oldest are dropped."""

MAX_BATCH_MESSAGES = 64
"""Largest number of messages in one delivery."""

MAX_FAILED_DELIVERIES = 120
"""Failed deliveries in a row after which an address that is known only by gossip is dropped."""

MAX_LOGGED_TEXT = 80
"""Characters of a text from another instance that are logged."""

logger = logging.getLogger(__name__)


class PeerObserver(Protocol):
    """Is notified when an incarnation of another instance comes into reach or goes out of reach."""

    def peer_connected(self, instance: InstanceId, data_centre: str) -> None:
        """Record that an incarnation can be reached."""

    def peer_disconnected(self, instance: InstanceId, has_ended: bool) -> None:
        """Record that an incarnation can't be reached any more, or that its process has ended."""


class _Peer:
    """
    Another instance, by its address, and the messages that wait for it. Its incarnation is None
    while the address can't be reached.
    """

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.client = RpcClient(address, port)
        self.instance: InstanceId | None = None
        self.lost_instance: InstanceId | None = None
        """The incarnation that was reached last, while it is not known whether it has ended."""
        self.failed_deliveries = 0
        self._queue: list[ConsensusMessage] = []
        self._wake = anyio.Event()

    def enqueue(self, message: ConsensusMessage) -> None:
        """Queue a message."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.pop(0)
        self._queue.append(message)
        self._wake.set()

    def wake(self) -> None:
        """Try to reach the instance now instead of after the reconnect interval."""
        self._wake.set()

    async def wait_to_reconnect(self) -> None:
        """Wait for ``RECONNECT_INTERVAL``, or until woken."""
        self._wake = anyio.Event()
        with anyio.move_on_after(RECONNECT_INTERVAL):
            await self._wake.wait()

    async def next_batch(self) -> tuple[ConsensusMessage, ...]:
        """Wait for messages and return them; return none after ``KEEPALIVE_INTERVAL``."""
        if not self._queue:
            self._wake = anyio.Event()
            with anyio.move_on_after(KEEPALIVE_INTERVAL):
                await self._wake.wait()
        batch = tuple(self._queue[:MAX_BATCH_MESSAGES])
        del self._queue[:MAX_BATCH_MESSAGES]
        return batch

    def clear_queue(self) -> None:
        """Drop the messages that wait."""
        self._queue.clear()


class Peers:
    """
    All other instances with a disk, each with a connection of its own.

    :param address: address of this instance.
    :param port: port of the peer protocol, the same on every instance.
    :param describe_self: returns the description of this instance that its peers receive.
    :param observer: is notified when an incarnation comes into reach or goes out of reach.
    """

    def __init__(
        self,
        address: str,
        port: int,
        describe_self: Callable[[], PeerInfo],
        observer: PeerObserver,
    ) -> None:
        """Start without known addresses."""
        self._address = address
        self._port = port
        self._describe_self = describe_self
        self._observer = observer
        self._tasks: TaskGroup | None = None
        self._peers_by_address: dict[str, _Peer] = {}
        self._permanent_addresses: set[str] = set()

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of this instance and of all peers in reach."""
        reachable = [
            peer.address for peer in self._peers_by_address.values() if peer.instance is not None
        ]
        return (self._address, *sorted(reachable))

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group in which messages are exchanged with the peers."""
        self._tasks = tasks

    def add_addresses(self, addresses: Iterable[str], permanent: bool = False) -> None:
        """
        Add addresses of instances, and start to exchange messages with the new ones.

        :param permanent: whether to keep trying to reach them, however often that fails.
        """
        for address in addresses:
            if address == self._address:
                continue
            if permanent:
                self._permanent_addresses.add(address)
            if address not in self._peers_by_address and self._tasks is not None:
                peer = _Peer(address, self._port)
                self._peers_by_address[address] = peer
                self._tasks.start_soon(keep_running, self._exchange_messages, peer)

    def send(self, recipient: InstanceId, message: ConsensusMessage) -> None:
        """Queue a message, or drop it unless exactly this incarnation can be reached."""
        peer = self._peers_by_address.get(str(name_of(recipient)))
        if peer is not None and peer.instance == recipient:
            peer.enqueue(message)

    def add_sender(self, sender: PeerInfo) -> None:
        """
        Add the address of an instance that called, and the addresses that it knows. A process that
        has just started is thus reached at once.
        """
        self.add_addresses((sender.address, *sender.known_addresses))
        peer = self._peers_by_address.get(sender.address)
        if peer is not None and peer.instance is None:
            peer.wake()

    async def _exchange_messages(self, peer: _Peer) -> None:
        while (
            peer.failed_deliveries < MAX_FAILED_DELIVERIES
            or peer.address in self._permanent_addresses
        ):
            messages = await peer.next_batch() if peer.instance is not None else ()
            batch = MessageBatch(self._describe_self(), peer.instance, messages)
            result = _check_address(peer, await peer.client.deliver(batch, DELIVER_TIMEOUT))
            if isinstance(result, CallFailure):
                was_reachable = peer.instance is not None
                self._mark_unreachable(peer, result.detail, has_ended=result.is_refused)
                if not was_reachable:
                    await peer.wait_to_reconnect()
            else:
                self._mark_reachable(peer, result)
        del self._peers_by_address[peer.address]

    def _mark_reachable(self, peer: _Peer, info: PeerInfo) -> None:
        if peer.instance != info.instance:
            has_ended = info.instance not in (peer.instance, peer.lost_instance)
            self._mark_unreachable(peer, "another incarnation answered", has_ended)
            peer.instance, peer.lost_instance = info.instance, None
            logger.info("peer_connected", extra={"peer": info.instance})
            self._observer.peer_connected(info.instance, info.data_centre)
        peer.failed_deliveries = 0
        self.add_addresses(info.known_addresses)

    def _mark_unreachable(self, peer: _Peer, detail: str, has_ended: bool) -> None:
        """Report once that the incarnation is out of reach, and once that its process has ended."""
        peer.failed_deliveries += 1
        instance = peer.instance or (peer.lost_instance if has_ended else None)
        if instance is None:
            return
        logger.info(
            "peer_disconnected", extra={"peer": instance, "reason": detail, "ended": has_ended}
        )
        peer.instance, peer.lost_instance = None, None if has_ended else instance
        peer.clear_queue()
        self._observer.peer_disconnected(instance, has_ended)


def _check_address(peer: _Peer, result: PeerInfo | CallFailure) -> PeerInfo | CallFailure:
    """
    Return the result of a delivery; it has failed if an incarnation answers whose name is not the
    address. As a member of the log, such an incarnation could not be reached under its name.
    """
    if isinstance(result, CallFailure) or name_of(result.instance) == peer.address:
        return result
    if peer.failed_deliveries == 0:
        fields = {"address": peer.address, "peer": result.instance[:MAX_LOGGED_TEXT]}
        logger.warning("peer_refused", extra={**fields, "reason": "it has another address"})
    return CallFailure(was_sent=True, detail="an incarnation of another address answered")
