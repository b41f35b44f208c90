"""
soak._faults
~~~~~~~~~~~~

Faults from outside. Several run at the same time, and each mends itself.
"""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak._fleet import Program, Surroundings
from soak._proxy import Mode


class Faults:
    """
    Injects faults, at most one wiped disk at a time and never two while one is catching up.

    :param history: told of each fault, for the report of a failure.
    """

    def __init__(
        self, around: Surroundings, rng: random.Random, history: Callable[[str], None]
    ) -> None:
        """Inject nothing yet."""
        self._around = around
        self._rng = rng
        self._history = history
        self._wiped_until = 0.0
        self._kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self._kill,
            "kill_entry": self._kill_entry,
            "stop": self._stop,
            "pause": self._pause,
            "wipe": self._wipe,
            "herd": self._herd,
            "reload": self._reload,
            "delay": lambda: self._network(Mode.DELAY),
            "silence": lambda: self._network(Mode.SILENCE),
            "one_way": lambda: self._network(Mode.ONE_WAY),
            "reset": self._reset,
            "crash_worker": self._crash_worker,
            "cut_worker": self._cut_worker,
            "grey_worker": self._grey_worker,
        }

    async def one(self) -> None:
        """Inject one fault and mend it."""
        kind = self._rng.choice(sorted(self._kinds))
        self._history(f"fault {kind}")
        await self._kinds[kind]()

    def _core(self) -> Program | None:
        free = [core for core in self._around.cores if core.is_up and not core.is_busy]
        return self._rng.choice(free) if free else None

    async def _restart(self, program: Program, after: float) -> None:
        await asyncio.sleep(after)
        if not program.is_up:
            program.write_settings(self._around.seeds)
            program.start()

    async def _kill(self) -> None:
        core = self._core()
        if core is not None:
            core.is_busy = True
            core.end()
            if self._rng.random() < 0.5:
                core.tear()
            await self._restart(core, self._rng.uniform(0.2, 3))
            core.is_busy = False

    async def _kill_entry(self) -> None:
        entry = self._rng.choice(self._around.entries)
        entry.end()
        await self._restart(entry, self._rng.uniform(0.2, 2))

    async def _stop(self) -> None:
        program = self._rng.choice(self._around.programs)
        if program.is_busy or not program.is_up:
            return
        program.is_busy = True
        program.signal(signal.SIGTERM)
        for _ in range(60):
            if not program.is_up:
                break
            await asyncio.sleep(0.1)
        if program.is_up:
            program.end()
            raise AssertionError(f"{program.name} did not stop within 6 s")
        await self._restart(program, 0.2)
        program.is_busy = False

    async def _pause(self) -> None:
        program = self._rng.choice(self._around.programs)
        program.signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.5, 4))
        program.signal(signal.SIGCONT)

    async def _wipe(self) -> None:
        core = self._core()
        if core is None or self._around.now < self._wiped_until:
            return
        if any(each.is_busy or not each.is_up for each in self._around.cores):
            return
        core.is_busy = True
        self._wiped_until = self._around.now + 12
        core.end()
        core.wipe()
        await self._restart(core, self._rng.uniform(0.3, 2))
        await asyncio.sleep(4)
        core.is_busy = False

    async def _herd(self) -> None:
        if any(core.is_busy for core in self._around.cores):
            return
        for core in self._around.cores:
            core.is_busy = True
            core.end()
        for core in self._around.cores:
            await self._restart(core, self._rng.uniform(0, 0.5))
            core.is_busy = False

    async def _reload(self) -> None:
        program = self._rng.choice(self._around.programs)
        program.write_settings(self._rng.sample([c.address for c in self._around.cores], 2))
        program.signal(signal.SIGHUP)

    async def _network(self, mode: Mode) -> None:
        proxies = self._rng.choice(list(self._around.proxies_by_name.values()))
        for proxy in proxies:
            proxy.mode = mode
        await asyncio.sleep(self._rng.uniform(1, 4))
        for proxy in proxies:
            proxy.mode = Mode.PASS

    async def _reset(self) -> None:
        for proxies in self._around.proxies_by_name.values():
            for proxy in proxies:
                if self._rng.random() < 0.5:
                    proxy.reset()

    async def _crash_worker(self) -> None:
        worker = self._rng.choice(self._around.worker_pool.workers)
        if not worker.is_up:
            return
        worker.crash()
        await asyncio.sleep(self._rng.uniform(0.3, 3))
        worker.begin_life(worker.life.born + 1)

    async def _cut_worker(self) -> None:
        worker = self._rng.choice(self._around.worker_pool.workers)
        self._around.cut_workers.add(worker.name)
        await asyncio.sleep(self._rng.uniform(1, 8))
        self._around.cut_workers.discard(worker.name)

    async def _grey_worker(self) -> None:
        worker = self._rng.choice(self._around.worker_pool.workers)
        worker.is_grey = True
        await asyncio.sleep(self._rng.uniform(1, 4))
        worker.is_grey = False
