"""
standins._children
~~~~~~~~~~~~~~~~~~

Child processes of the demo and the benches, started and stopped in an orderly way.
"""

import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from typing import Self

import httpcore
import msgspec

from standins._http import Announced

STOP_TIMEOUT = 20.0
"""Seconds that a child has for its graceful shutdown."""

POLL_INTERVAL = 0.05
"""Seconds between two looks at something that is waited for."""


class ChildError(Exception):
    """A child did not start, answer or stop as it should."""


def free_address() -> str:
    """Return a loopback address with a port that the kernel just had free."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def program(name: str) -> str:
    """Return the path of a command installed beside this interpreter."""
    return str(Path(sys.executable).with_name(name))


class Child:
    """
    A child process that is ended when its context ends.

    :param command: the command line.
    :param log: file for its output; None to read its announced address from it.
    """

    def __init__(self, name: str, command: Sequence[str], log: Path | None = None) -> None:
        """Start the process."""
        self.name = name
        self._log = log.open("wb") if log else None
        self._process = subprocess.Popen(
            command,
            stdout=self._log or subprocess.PIPE,
            stderr=subprocess.STDOUT if self._log else None,
        )

    def __enter__(self) -> Self:
        """Return the child itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the process at once if it still runs, and close its output."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for stream in (self._log, self._process.stdout):
            if stream is not None:
                stream.close()

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def address(self) -> str:
        """Read the address that a stand-in prints on its start."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        try:
            return msgspec.json.decode(line, type=Announced).address
        except msgspec.DecodeError:
            raise ChildError(f"{self.name} did not start") from None

    def wait_until_ready(self, url: str, seconds: float) -> None:
        """Wait until the readiness check of a daemon is good."""
        give_up_at = time.monotonic() + seconds
        while time.monotonic() < give_up_at:
            if self._process.poll() is not None:
                raise ChildError(f"{self.name} ended with code {self._process.returncode}")
            if _status_of(f"{url}/readyz") == 200:
                return
            time.sleep(POLL_INTERVAL)
        raise ChildError(f"{self.name} was not ready within {seconds:g} s")

    def stop(self) -> int:
        """Ask for a graceful shutdown and return the exit code."""
        self._process.terminate()
        try:
            return self._process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            raise ChildError(f"{self.name} did not stop within {STOP_TIMEOUT:g} s") from None


def _status_of(url: str) -> int:
    try:
        return httpcore.request("GET", url).status
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return 0
