"""Connections between instances: when a peer counts as ended, and how soon it is reached again."""

import asyncio
import unittest
from unittest import mock

import anyio

from bulrushhollow_core.ids import InstanceId
from bulrushhollow_daemon.domain import _peers
from bulrushhollow_daemon.domain._peers import Peers
from bulrushhollow_daemon.domain._rpc import CallFailure, PeerInfo, RpcClient

PEER = PeerInfo(InstanceId("10.0.0.2.1"), "10.0.0.2", ())
NEXT_PEER = PeerInfo(InstanceId("10.0.0.2.2"), "10.0.0.2", ())
RESET = CallFailure(was_sent=True, detail="reset")
TIMED_OUT = CallFailure(was_sent=True, detail="no answer in time")
REFUSED = CallFailure(was_sent=False, detail="refused", is_refused=True)


class Observer:
    """Records which incarnations were reached, lost, or ended."""

    def __init__(self) -> None:
        self.events: list[tuple[str, InstanceId]] = []

    def peer_connected(self, instance: InstanceId, data_centre: str) -> None:
        self.events.append(("connected", instance))

    def peer_disconnected(self, instance: InstanceId, has_ended: bool) -> None:
        self.events.append(("ended" if has_ended else "lost", instance))


def observe(script: list[PeerInfo | CallFailure]) -> list[tuple[str, InstanceId]]:
    """Return what is reported while the deliveries to a peer have the scripted results."""
    observer = Observer()
    results = list(script)

    async def deliver(*arguments: object) -> PeerInfo | CallFailure:
        if results:
            return results.pop(0)
        await anyio.sleep_forever()
        raise AssertionError("unreachable")

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            peers = Peers("10.0.0.1", 7000, lambda: PEER, observer)
            peers.start(tasks)
            peers.add_addresses(["10.0.0.2"])
            while results:
                await anyio.sleep(0.01)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    with (
        mock.patch.object(RpcClient, "deliver", side_effect=deliver),
        mock.patch.object(_peers, "KEEPALIVE_INTERVAL", 0.01),
        mock.patch.object(_peers, "RECONNECT_INTERVAL", 0.01),
    ):
        asyncio.run(run())
    return observer.events


class PeerEndTest(unittest.TestCase):
    def test_a_reset_connection_is_no_proof_of_an_end(self) -> None:
        connected, lost = ("connected", PEER.instance), ("lost", PEER.instance)
        self.assertEqual([connected, lost, connected], observe([PEER, RESET, PEER]))
        self.assertEqual([connected, lost], observe([PEER, TIMED_OUT, TIMED_OUT]))

    def test_a_refused_connection_shows_that_the_process_has_ended(self) -> None:
        connected, lost = ("connected", PEER.instance), ("lost", PEER.instance)
        ended = ("ended", PEER.instance)
        self.assertEqual([connected, lost, ended], observe([PEER, RESET, REFUSED, REFUSED]))

    def test_another_incarnation_shows_that_the_process_has_ended(self) -> None:
        expected = [
            ("connected", PEER.instance),
            ("lost", PEER.instance),
            ("ended", PEER.instance),
            ("connected", NEXT_PEER.instance),
        ]
        self.assertEqual(expected, observe([PEER, RESET, NEXT_PEER]))


class ReconnectTest(unittest.TestCase):
    def test_an_instance_that_calls_is_reached_at_once(self) -> None:
        observer = Observer()
        is_up = False

        async def deliver(*arguments: object) -> PeerInfo | CallFailure:
            return PEER if is_up else TIMED_OUT

        async def run() -> None:
            nonlocal is_up
            async with anyio.create_task_group() as tasks:
                peers = Peers("10.0.0.1", 7000, lambda: PEER, observer)
                peers.start(tasks)
                peers.add_addresses(["10.0.0.2"])
                await anyio.sleep(0.05)
                is_up = True
                peers.add_sender(PEER)
                await anyio.sleep(0.05)
                tasks.cancel_scope.cancel()

        with (
            mock.patch.object(RpcClient, "deliver", side_effect=deliver),
            mock.patch.object(_peers, "RECONNECT_INTERVAL", 10.0),
        ):
            asyncio.run(run())
        self.assertEqual([("connected", PEER.instance)], observer.events)


if __name__ == "__main__":
    unittest.main()
