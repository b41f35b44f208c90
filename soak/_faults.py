"""
soak._faults
~~~~~~~~~~~~

Injects faults from outside the processes. Several last at the same time; each ends by itself.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak._fleet import DaemonProcess, Testbed
from soak._proxy import Mode

WORKER_FAULTS = ("crash_worker", "cut_worker", "grey_worker")
"""Faults of workers; all others count as faults of the core, also those of entry instances."""


class Faults:
    """
    Injects faults. At most one disk is wiped at a time, and no other until its instance has caught
    up.

    :param log: called with a line for each fault, for the report of a failure.
    """

    def __init__(self, testbed: Testbed, rng: random.Random, log: Callable[[str], None]) -> None:
        """Start without any fault."""
        self._testbed = testbed
        self._rng = rng
        self._log = log
        self._wiped_until = 0.0
        self._injectors_by_kind: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill,
            "kill_entry": self._kill_entry,
            "stop": self._stop,
            "pause": self._pause,
            "wipe": self._wipe,
            "herd": self._restart_all_cores,
            "reload": self._reload,
            "delay": lambda: self._set_proxy_mode(Mode.DELAY),
            "silence": lambda: self._set_proxy_mode(Mode.SILENCE),
            "one_way": lambda: self._set_proxy_mode(Mode.ONE_WAY),
            "reset": self._reset_connections,
            "crash_worker": self._crash_worker,
            "cut_worker": self._cut_worker,
            "grey_worker": self._grey_worker,
        }

    async def inject_one(self) -> None:
        """Inject a random fault and end it after a while."""
        kind = self._rng.choice(sorted(self._injectors_by_kind))
        self._log(f"fault {kind}")
        if kind in WORKER_FAULTS:
            await self._injectors_by_kind[kind]()
            return
        self._testbed.core_faults_in_force += 1
        try:
            await self._injectors_by_kind[kind]()
        finally:
            self._testbed.core_faults_in_force -= 1

    def _choose_core(self) -> DaemonProcess | None:
        candidates = [core for core in self._testbed.cores if core.is_up and not core.is_restarting]
        return self._rng.choice(candidates) if candidates else None

    async def _restart(self, daemon: DaemonProcess, delay: float) -> None:
        await asyncio.sleep(delay)
        if not daemon.is_up:
            daemon.write_settings(self._testbed.seed_hosts)
            daemon.start()

    async def _kill(self) -> None:
        core = self._choose_core()
        if core is not None:
            core.is_restarting = True
            core.kill()
            if self._rng.random() < 0.5:
                core.write_torn_frame()
            await self._restart(core, self._rng.uniform(0.2, 3))
            core.is_restarting = False

    async def _kill_entry(self) -> None:
        entry = self._rng.choice(self._testbed.entries)
        entry.kill()
        await self._restart(entry, self._rng.uniform(0.2, 2))

    async def _stop(self) -> None:
        daemon = self._rng.choice(self._testbed.daemons)
        if daemon.is_restarting or not daemon.is_up:
            return
        daemon.is_restarting = True
        daemon.signal(signal.SIGTERM)
        for _ in range(60):
            if not daemon.is_up:
                break
            await asyncio.sleep(0.1)
        if daemon.is_up:
            daemon.kill()
            raise AssertionError(f"{daemon.name} did not stop within 6 s")
        await self._restart(daemon, 0.2)
        daemon.is_restarting = False

    async def _pause(self) -> None:
        daemon = self._rng.choice(self._testbed.daemons)
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        daemon.signal(signal.SIGCONT)

    async def _wipe(self) -> None:
        core = self._choose_core()
        if core is None or self._testbed.now < self._wiped_until:
            return
        if any(other.is_restarting or not other.is_up for other in self._testbed.cores):
            return
        core.is_restarting = True
        self._wiped_until = self._testbed.now + 12
        core.kill()
        core.wipe_disk()
        await self._restart(core, self._rng.uniform(0.3, 2))
        await asyncio.sleep(4)
        core.is_restarting = False

    async def _restart_all_cores(self) -> None:
        if any(core.is_restarting for core in self._testbed.cores):
            return
        for core in self._testbed.cores:
            core.is_restarting = True
            core.kill()
        for core in self._testbed.cores:
            await self._restart(core, self._rng.uniform(0, 0.5))
            core.is_restarting = False

    async def _reload(self) -> None:
        daemon = self._rng.choice(self._testbed.daemons)
        daemon.write_settings(self._rng.sample([core.address for core in self._testbed.cores], 2))
        daemon.signal(signal.SIGHUP)

    async def _set_proxy_mode(self, mode: Mode) -> None:
        proxies = self._rng.choice(list(self._testbed.proxies_by_name.values()))
        for proxy in proxies:
            proxy.mode = mode
        await asyncio.sleep(self._rng.uniform(1, 4))
        for proxy in proxies:
            proxy.mode = Mode.PASS

    async def _reset_connections(self) -> None:
        for proxies in self._testbed.proxies_by_name.values():
            for proxy in proxies:
                if self._rng.random() < 0.5:
                    proxy.reset()

    async def _crash_worker(self) -> None:
        worker = self._rng.choice(self._testbed.worker_pool.workers)
        if not worker.is_up:
            return
        worker.crash()
        await asyncio.sleep(self._rng.uniform(0.3, 3))
        worker.begin_life(worker.life.born + 1)

    async def _cut_worker(self) -> None:
        worker = self._rng.choice(self._testbed.worker_pool.workers)
        self._testbed.cut_workers.add(worker.name)
        await asyncio.sleep(self._rng.uniform(1, 8))
        self._testbed.cut_workers.discard(worker.name)

    async def _grey_worker(self) -> None:
        worker = self._rng.choice(self._testbed.worker_pool.workers)
        worker.is_grey = True
        await asyncio.sleep(self._rng.uniform(1, 4))
        worker.is_grey = False
